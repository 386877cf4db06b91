// Fakes of the request path's interfaces: HTTP exchange, HTTP client, claims.
#ifndef FLOW_FAKES_H
#define FLOW_FAKES_H

#include "claim.h"
#include "http.h"
#include "http_client.h"
#include "text.h"
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flow_harness
{

using fields = std::map<std::string, std::string>;

struct fake_exchange
{
  struct http_exchange base
  {
  };
  std::string path, body;
  fields sent;
  std::vector<struct http_field> list;

  int code = 0;
  fields answer_fields;
  std::string answer;
  bool begun = false, ended = false, aborted = false;
  int answers = 0; // calls of reply(), finish() and abort(): at most 1

  std::string
  outcome () const
  {
    auto found = answer_fields.find ("x-outcome");

    return found == answer_fields.end () ? "" : found->second;
  }
};

inline fake_exchange *
exchange_of (struct http_exchange *exchange)
{
  return reinterpret_cast<fake_exchange *> (exchange);
}

inline void
take_fields (fake_exchange *self, int code, const struct http_field *list, size_t n)
{
  self->code = code;
  for (size_t i = 0; i < n; i++)
    self->answer_fields[list[i].name] = list[i].value;
}

inline void
reply_whole (struct http_exchange *exchange,
             int code,
             const struct http_field *list,
             size_t n,
             const void *body,
             size_t length)
{
  auto *self = exchange_of (exchange);

  EXPECT_FALSE (self->begun);
  take_fields (self, code, list, n);
  self->answer.assign (static_cast<const char *> (body), length);
  self->ended = true;
  self->answers++;
}

inline void
begin_parts (struct http_exchange *exchange, int code, const struct http_field *list, size_t n)
{
  EXPECT_FALSE (exchange_of (exchange)->begun);
  take_fields (exchange_of (exchange), code, list, n);
  exchange_of (exchange)->begun = true;
}

inline void
write_part (struct http_exchange *exchange, const void *data, size_t length)
{
  exchange_of (exchange)->answer.append (static_cast<const char *> (data), length);
}

inline void
finish_parts (struct http_exchange *exchange)
{
  exchange_of (exchange)->ended = true;
  exchange_of (exchange)->answers++;
}

inline void
abort_answer (struct http_exchange *exchange)
{
  exchange_of (exchange)->aborted = true;
  exchange_of (exchange)->answers++;
}

inline size_t
none_unsent (const struct http_exchange *)
{
  return 0;
}

inline const struct http_exchange_ops exchange_ops = {
  .reply = reply_whole,
  .begin = begin_parts,
  .write = write_part,
  .finish = finish_parts,
  .abort = abort_answer,
  .unsent = none_unsent,
};

struct fake_call
{
  std::string address, path, body;
  fields headers;
  struct http_call_sink *sink = nullptr;
  bool open = true; // not ended, failed or closed by the flow
  bool closed = false;

  std::string
  attempt () const
  {
    return headers.at ("x-attempt");
  }
};

struct fake_client
{
  struct http_client base
  {
  };
  std::vector<std::unique_ptr<fake_call>> calls;
  std::vector<std::unique_ptr<fake_call>> cancels; // POST /v1/cancel
  enum status start_status = STATUS_OK;            // returned by start() when not STATUS_OK
};

inline fake_client *
client_of (struct http_client *client)
{
  return reinterpret_cast<fake_client *> (client);
}

inline enum status
start_call (struct http_client *client,
            const struct http_call_spec *spec,
            struct http_call_sink *sink,
            int64_t,
            struct http_call **out)
{
  auto *self = client_of (client);
  auto call = std::make_unique<fake_call> ();

  if (self->start_status != STATUS_OK)
    return self->start_status;
  call->address = spec->address;
  call->path = spec->path;
  call->body.assign (static_cast<const char *> (spec->body), spec->body_length);
  for (size_t i = 0; i < spec->n_headers; i++)
    call->headers[spec->headers[i].name] = spec->headers[i].value;
  call->sink = sink;
  *out = reinterpret_cast<struct http_call *> (call.get ());
  (call->path == "/v1/cancel" ? self->cancels : self->calls).push_back (std::move (call));
  return STATUS_OK;
}

inline void
close_call (struct http_client *, struct http_call *call)
{
  auto *self = reinterpret_cast<fake_call *> (call);

  EXPECT_TRUE (self->open);
  self->open = false;
  self->closed = true;
}

inline const struct http_client_ops client_ops = { .start = start_call, .cancel = close_call };

struct fake_claims
{
  struct settled
  {
    int code;
    std::string outcome, body;
  };

  struct claims base
  {
  };
  std::vector<struct claim_waiter *> waiting;
  std::map<std::string, settled> settlements;
  int taken = 0, released = 0, withdrawn = 0;
  int64_t deadline = 0;                       // of the last acquire
  std::vector<struct claim_waiter *> storing; // answered by the store() of flow_harness.h
  bool manual_store = false;                  // outcomes are stored only by an explicit store()
};

inline fake_claims *
claims_of (struct claims *claims)
{
  return reinterpret_cast<fake_claims *> (claims);
}

inline enum status
take_claim (struct claims *claims,
            const struct claim_request *,
            struct claim_waiter *waiter,
            int64_t deadline,
            int64_t)
{
  claims_of (claims)->taken++;
  claims_of (claims)->deadline = deadline;
  claims_of (claims)->waiting.push_back (waiter);
  return STATUS_OK;
}

inline enum status
settle_claim (struct claims *claims,
              const struct claim_key *key,
              int code,
              const char *outcome,
              const void *body,
              size_t length,
              struct claim_waiter *waiter,
              int64_t)
{
  if (waiter != nullptr)
    claims_of (claims)->storing.push_back (waiter);
  claims_of (claims)->settlements[key->request_id] = {
    code, outcome, std::string (static_cast<const char *> (body), length)
  };
  return STATUS_OK;
}

inline enum status
release_claim (struct claims *claims, const struct claim_key *, int64_t)
{
  claims_of (claims)->released++;
  return STATUS_OK;
}

inline void
withdraw_claim (struct claims *claims, struct claim_waiter *)
{
  claims_of (claims)->withdrawn++;
  claims_of (claims)->waiting.clear ();
  claims_of (claims)->storing.clear ();
}

inline const struct claims_ops claims_ops = {
  .acquire = take_claim,
  .settle = settle_claim,
  .release = release_claim,
  .withdraw = withdraw_claim,
};

}

#endif
