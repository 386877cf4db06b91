// The API calls of targets, and callers' requests for the list of hosts, on a fake HTTP exchange.
#include "counter.h"
#include "entries_api.h"
#include "target_api.h"
#include "text.h"
#include <cstring>
#include <gtest/gtest.h>
#include <jansson.h>
#include <string>
#include <talloc.h>

namespace
{

struct exchange
{
  struct http_exchange http; // first member
  int code = 0;
  std::string answer;

  static void
  reply (struct http_exchange *e,
         int code,
         const struct http_field *,
         size_t,
         const void *body,
         size_t length)
  {
    auto *self = reinterpret_cast<struct exchange *> (e);

    self->code = code;
    self->answer.assign (static_cast<const char *> (body), length);
  }
  static inline const struct http_exchange_ops ops = { .reply = reply,
                                                       .begin = nullptr,
                                                       .write = nullptr,
                                                       .finish = nullptr,
                                                       .abort = nullptr,
                                                       .unsent = nullptr };
};

void
no_send (struct directory_wire *, const char *, const void *, size_t)
{
}

struct host
{
  void *memory = talloc_new (nullptr);
  struct directory_wire_ops wire_ops = { .send = no_send };
  struct directory_wire wire = { &wire_ops };
  struct board *board = board_new (memory);
  struct counters *counters = counters_new (memory);
  struct directory *directory;
  struct target_api *targets;
  struct entries *entries;
  int64_t now = 1000 * USEC_PER_SEC;

  host ()
  {
    add ("self", "127.0.0.1:1", "127.0.0.1:2")->self = true;
    add ("other", "127.0.0.2:1", "127.0.0.2:2");
    struct directory_config config = { .board = board,
                                       .counters = counters,
                                       .wire = &wire,
                                       .cache = nullptr,
                                       .self = "self",
                                       .incarnation = 1,
                                       .seed = 1 };
    directory = directory_new (memory, &config);
    struct target_api_config api = {
      .board = board, .directory = directory, .json_depth = 8, .seed = 1
    };
    targets = target_api_new (memory, &api);
    struct entries_config list = {
      .board = board, .counters = counters, .list_keep = 10 * USEC_PER_SEC, .seed = 1
    };
    entries = entries_new (memory, &list);
  }
  ~host ()
  {
    talloc_free (memory);
  }
  host (const host &) = delete;
  host &operator= (const host &) = delete;

  struct board_host *
  add (const char *name, const char *entry, const char *target)
  {
    struct handle handle;
    auto *h = static_cast<struct board_host *> (table_add (board->hosts, &handle));

    text_copy (h->name, sizeof h->name, name);
    text_copy (h->entry_address, sizeof h->entry_address, entry);
    text_copy (h->target_address, sizeof h->target_address, target);
    if (handle_is_none (board->self))
      board->self = handle;
    return h;
  }

  struct exchange
  call (struct http_route *route, const char *method, const char *path, const std::string &body)
  {
    struct exchange e = {};

    e.http.ops = &exchange::ops;
    e.http.method = method;
    e.http.path = path;
    e.http.query = "";
    e.http.body = body.c_str ();
    e.http.body_length = body.size ();
    route->ops->request (route, &e.http, now);
    return e;
  }

  struct exchange
  post (const char *call_name, const std::string &body)
  {
    return call (target_api_route (targets), "POST",
                 (std::string ("/v1/targets/") + call_name).c_str (), body);
  }
};

const char *const ANNOUNCE =
    "{\"name\":\"t\",\"pool\":\"runners\",\"kind\":\"generate\",\"address\":\"127.0.0.1:9\","
    "\"domain\":\"a\",\"models\":[\"m\"],\"slots\":4,\"incarnation\":5,\"sequence\":1}";

json_t *
parse (const std::string &text)
{
  return json_loadb (text.data (), text.size (), 0, nullptr);
}

TEST (TargetApi, AnnouncePutsTheTargetOnTheBoardAndNamesOtherHosts)
{
  struct host h;
  struct exchange e = h.post ("announce", ANNOUNCE);
  json_t *body = parse (e.answer);

  EXPECT_EQ (e.code, 200);
  EXPECT_EQ (json_integer_value (json_object_get (body, "lease_ms")), 3000);
  EXPECT_EQ (json_integer_value (json_object_get (body, "renew_ms")), 1000);
  ASSERT_EQ (json_array_size (json_object_get (body, "hosts")), 1u);
  EXPECT_STREQ (json_string_value (json_array_get (json_object_get (body, "hosts"), 0)),
                "127.0.0.2:2");
  json_decref (body);
  const struct board_target *t = board_find_target (h.board, "t", nullptr);
  ASSERT_NE (t, nullptr);
  EXPECT_TRUE (board_target_is_usable (t, h.now));
  EXPECT_EQ (t->slots, 4u);
  EXPECT_STREQ (t->models[0], "m");
}

TEST (TargetApi, StatusCodesFollowTheStateOfTheTarget)
{
  struct host h;

  EXPECT_EQ (h.post ("renew", "{\"name\":\"t\",\"incarnation\":5,\"sequence\":1}").code, 404);
  h.post ("announce", ANNOUNCE);
  EXPECT_EQ (h.post ("renew", "{\"name\":\"t\",\"incarnation\":5,\"sequence\":1}").code, 200);
  EXPECT_EQ (h.post ("renew", "{\"name\":\"t\",\"incarnation\":4,\"sequence\":9}").code, 409);
  EXPECT_EQ (h.post ("load", "{\"name\":\"t\",\"incarnation\":5,\"age_ms\":40,\"running\":2,"
                             "\"waiting\":1,\"kv_used\":0.5}")
                 .code,
             200);
  const struct board_target *t = board_find_target (h.board, "t", nullptr);
  EXPECT_EQ (t->report.running, 2u);
  EXPECT_EQ (t->report.measured_at, h.now - 40 * USEC_PER_MSEC);
  EXPECT_EQ (h.post ("cache", "{\"name\":\"t\",\"incarnation\":5,\"first\":1,\"events\":"
                              "[{\"block\":\"00000000000000ff\",\"stored\":true}]}")
                 .code,
             200);
  EXPECT_EQ (h.post ("leave", "{\"name\":\"t\",\"incarnation\":5,\"sequence\":2}").code, 200);
  EXPECT_FALSE (board_target_is_usable (board_find_target (h.board, "t", nullptr), h.now));
  EXPECT_EQ (h.post ("announce", ANNOUNCE).code, 409);
}

// A target's home is shutting down.  The target must get another host's address before the home
// exits, and keep its lease meanwhile.
TEST (TargetApi, LeavingHostRefusesRenewalsAndNamesOtherHosts)
{
  struct host h;

  h.post ("announce", ANNOUNCE);
  h.board->leaving = true;
  h.now += 2 * USEC_PER_SEC;
  struct exchange e = h.post ("renew", "{\"name\":\"t\",\"incarnation\":5,\"sequence\":1}");
  EXPECT_EQ (e.code, 404);
  EXPECT_NE (e.answer.find ("127.0.0.2:2"), std::string::npos);
  EXPECT_EQ (h.post ("announce", ANNOUNCE).code, 503);
  h.now += 2 * USEC_PER_SEC;
  EXPECT_TRUE (board_target_is_usable (board_find_target (h.board, "t", nullptr), h.now));
}

// A faulty target, or any client that reaches the port, sends an invalid announcement.
TEST (TargetApi, InvalidBodiesAreRefused)
{
  struct host h;
  std::string deep = std::string (9, '[') + std::string (9, ']');

  EXPECT_EQ (h.post ("announce", "").code, 400);
  EXPECT_EQ (h.post ("announce", "[1]").code, 400);
  EXPECT_EQ (h.post ("announce", "{\"name\":\"a\",\"name\":\"b\"}").code, 400);
  EXPECT_EQ (h.post ("announce", "{\"name\":" + deep + "}").code, 400);
  EXPECT_EQ (h.post ("nothing", "{}").code, 404);
  EXPECT_EQ (h.call (target_api_route (h.targets), "GET", "/v1/targets/announce", "").code, 405);
  const std::pair<const char *, const char *> changes[] = {
    { "\"t\"", "\"no spaces\"" },
    { "\"generate\"", "\"other\"" },
    { "\"127.0.0.1:9\"", "\"localhost\"" },
    { "\"slots\":4", "\"slots\":-1" },
    { "\"sequence\":1", "\"sequence\":1.5" },
    { "[\"m\"]", "\"m\"" },
  };
  for (const auto &[from, to] : changes)
    {
      std::string body = ANNOUNCE;

      body.replace (body.find (from), strlen (from), to);
      EXPECT_EQ (h.post ("announce", body).code, 400) << to;
    }
  EXPECT_EQ (table_count (h.board->targets), 0u);
}

TEST (EntriesApi, NamesHostsAndHowLongToKeepThem)
{
  struct host h;
  struct exchange e = h.call (entries_route (h.entries), "GET", "/v1/entries", "");
  json_t *body = parse (e.answer);
  json_int_t keep = json_integer_value (json_object_get (body, "keep_ms"));

  EXPECT_EQ (e.code, 200);
  EXPECT_EQ (json_array_size (json_object_get (body, "hosts")), 2u);
  EXPECT_GE (keep, 7500);
  EXPECT_LE (keep, 10000);
  json_decref (body);
  EXPECT_EQ (h.call (entries_route (h.entries), "POST", "/v1/entries", "").code, 405);
  EXPECT_EQ (h.call (entries_route (h.entries), "GET", "/v1/entries/x", "").code, 404);
}

} // namespace
