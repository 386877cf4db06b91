/* Messages between entry hosts and controllers. */
#include "sync.h"
#include <string.h>
#include <xxhash.h>

#define SYNC_VERSION 1

void
sync_write_header (enum sync_message type, struct bytes *out)
{
  pack_uint (out, SYNC_VERSION);
  pack_uint (out, type);
}

bool
sync_read_type (struct pack_reader *in, enum sync_message *type)
{
  if (pack_read_uint (in, UINT64_MAX) != SYNC_VERSION)
    in->failed = true;
  *type = (enum sync_message) pack_read_uint (in, SYNC_MESSAGE_COUNT - 1);
  return pack_read_is_ok (in);
}

void
sync_write_host (const struct sync_host *host, struct bytes *out)
{
  pack_text (out, host->name);
  pack_text (out, host->address);
  pack_text (out, host->domain);
  pack_text (out, host->region);
  pack_uint (out, host->incarnation);
  pack_bool (out, host->ready);
  pack_bool (out, host->leaving);
}

bool
sync_read_host (struct pack_reader *in, struct sync_host *host)
{
  pack_read_text (in, host->name, sizeof host->name);
  pack_read_text (in, host->address, sizeof host->address);
  pack_read_text (in, host->domain, sizeof host->domain);
  pack_read_text (in, host->region, sizeof host->region);
  host->incarnation = pack_read_uint (in, UINT64_MAX);
  host->ready = pack_read_bool (in);
  host->leaving = pack_read_bool (in);
  return pack_read_is_ok (in);
}

void
sync_write_request (const struct sync_request *request, struct bytes *out)
{
  pack_uint (out, request->nonce);
  pack_uint (out, request->document);
  pack_uint (out, request->controller);
  pack_uint (out, request->targets);
  pack_uint (out, request->hosts);
  sync_write_host (&request->self, out);
}

bool
sync_read_request (struct pack_reader *in, struct sync_request *request)
{
  request->nonce = pack_read_uint (in, UINT64_MAX);
  request->document = pack_read_uint (in, UINT64_MAX);
  request->controller = pack_read_uint (in, UINT64_MAX);
  request->targets = pack_read_uint (in, UINT64_MAX);
  request->hosts = pack_read_uint (in, UINT64_MAX);
  return sync_read_host (in, &request->self);
}

void
sync_write_unanswered (uint64_t nonce, struct bytes *out)
{
  pack_uint (out, nonce);
}

bool
sync_read_unanswered (struct pack_reader *in, uint64_t *nonce)
{
  *nonce = pack_read_uint (in, UINT64_MAX);
  return pack_read_is_complete (in);
}

void
sync_write_reach (const struct sync_reach *reach, struct bytes *out)
{
  pack_bool (out, reach->requests_lost);
  pack_array (out, reach->n);
  for (uint32_t i = 0; i < reach->n; i++)
    pack_text (out, reach->pools[i]);
}

bool
sync_read_reach (struct pack_reader *in, struct sync_reach *reach)
{
  reach->requests_lost = pack_read_bool (in);
  reach->n = pack_read_array (in, SYNC_LOST_POOLS_MAX);
  for (uint32_t i = 0; i < reach->n; i++)
    pack_read_text (in, reach->pools[i], sizeof reach->pools[i]);
  return pack_read_is_ok (in);
}

void
sync_write_version_request (const struct sync_version_request *request, struct bytes *out)
{
  pack_array (out, request->n);
  for (uint32_t i = 0; i < request->n; i++)
    pack_uint (out, request->id_hashes[i]);
}

bool
sync_read_version_request (struct pack_reader *in, struct sync_version_request *request)
{
  request->n = pack_read_array (in, SYNC_VERSIONS_MAX);
  for (uint32_t i = 0; i < request->n; i++)
    request->id_hashes[i] = pack_read_uint (in, UINT64_MAX);
  return pack_read_is_complete (in);
}

void
sync_write_document_request (const struct sync_document_request *request, struct bytes *out)
{
  pack_uint (out, request->incarnation);
  pack_uint (out, request->number);
  pack_bool (out, request->wanted);
  pack_uint (out, request->held);
}

bool
sync_read_document_request (struct pack_reader *in, struct sync_document_request *request)
{
  request->incarnation = pack_read_uint (in, UINT64_MAX);
  request->number = pack_read_uint (in, UINT64_MAX);
  request->wanted = pack_read_bool (in);
  request->held = pack_read_uint (in, UINT64_MAX);
  return pack_read_is_complete (in);
}

void
sync_write_document (const struct sync_document *document, struct bytes *out)
{
  pack_uint (out, document->number);
  pack_uint (out, document->version);
  pack_uint (out, document->base);
}

bool
sync_read_document (struct pack_reader *in, struct sync_document *document)
{
  document->number = pack_read_uint (in, UINT64_MAX);
  document->version = pack_read_uint (in, UINT64_MAX);
  document->base = pack_read_uint (in, UINT64_MAX);
  return pack_read_is_ok (in);
}

uint64_t
sync_lost_hash (const char *host, const char *pool)
{
  return XXH3_64bits_withSeed (host, strlen (host), XXH3_64bits (pool, strlen (pool)));
}

void
sync_write_state (const struct sync_state *state, struct bytes *out)
{
  pack_uint (out, state->controller);
  pack_uint (out, state->nonce);
  pack_bool (out, state->confirmed);
  pack_uint (out, state->document);
  pack_uint (out, state->targets);
  pack_uint (out, state->hosts);
  pack_bool (out, state->has_document);
  pack_bool (out, state->has_hosts);
}

bool
sync_read_state (struct pack_reader *in, struct sync_state *state)
{
  state->controller = pack_read_uint (in, UINT64_MAX);
  state->nonce = pack_read_uint (in, UINT64_MAX);
  state->confirmed = pack_read_bool (in);
  state->document = pack_read_uint (in, UINT64_MAX);
  state->targets = pack_read_uint (in, UINT64_MAX);
  state->hosts = pack_read_uint (in, UINT64_MAX);
  state->has_document = pack_read_bool (in);
  state->has_hosts = pack_read_bool (in);
  return pack_read_is_ok (in);
}

void
sync_write_renewal (const struct sync_renewal *renewal, struct bytes *out)
{
  pack_uint (out, renewal->id_hash);
  pack_uint (out, renewal->started);
  pack_uint (out, renewal->sequence);
  pack_uint (out, renewal->age);
}

bool
sync_read_renewal (struct pack_reader *in, struct sync_renewal *renewal)
{
  renewal->id_hash = pack_read_uint (in, UINT64_MAX);
  renewal->started = pack_read_uint (in, UINT64_MAX);
  renewal->sequence = pack_read_uint (in, UINT64_MAX);
  renewal->age = pack_read_uint (in, INT64_MAX);
  return pack_read_is_ok (in);
}
