/* Messages about suspects. */
#include "quarantine_wire.h"
#include "pack.h"
#include <string.h>

static void
pack_age (int64_t at, int64_t now, struct bytes *out)
{
  pack_uint (out, at > now ? 0 : (uint64_t) (now - at));
}

/* Ages are capped at 2 * QUARANTINE_SUSPECT_TTL; nothing that old is kept. */
static int64_t
read_age (struct pack_reader *in, int64_t now)
{
  uint64_t age = pack_read_uint (in, UINT64_MAX);

  return now
         - (age > 2 * (uint64_t) QUARANTINE_SUSPECT_TTL ? 2 * QUARANTINE_SUSPECT_TTL
                                                        : (int64_t) age);
}

void
quarantine_encode_header (enum quarantine_message kind, uint32_t n, struct bytes *out)
{
  pack_uint (out, kind);
  pack_array (out, n);
}

void
quarantine_encode_suspect (const struct quarantine_suspect *suspect, int64_t now, struct bytes *out)
{
  pack_binary (out, suspect->digest.bytes, REQUEST_DIGEST_SIZE);
  pack_text (out, suspect->organisation);
  pack_text (out, suspect->route);
  pack_age (suspect->last_seen, now, out);
  pack_uint (out, suspect->n_trials);
  pack_age (suspect->last_trial, now, out);
  pack_array (out, suspect->n_crashes);
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      pack_uint (out, suspect->crashes[i].incarnation);
      pack_age (suspect->crashes[i].from, now, out);
      pack_age (suspect->crashes[i].to, now, out);
      pack_bool (out, suspect->crashes[i].retracted);
    }
}

void
quarantine_encode_summary (enum quarantine_message kind, uint64_t summary, struct bytes *out)
{
  pack_uint (out, kind);
  pack_uint (out, summary);
}

static void
read_digest (struct pack_reader *in, struct request_digest *out)
{
  size_t length = 0;
  const void *bytes = pack_read_binary (in, REQUEST_DIGEST_SIZE, &length);

  if (length != REQUEST_DIGEST_SIZE)
    in->failed = true;
  if (pack_read_is_ok (in))
    memcpy (out->bytes, bytes, REQUEST_DIGEST_SIZE);
}

static bool
read_suspect (struct pack_reader *in, int64_t now, struct quarantine_suspect *out)
{
  memset (out, 0, sizeof *out);
  read_digest (in, &out->digest);
  pack_read_text (in, out->organisation, sizeof out->organisation);
  pack_read_text (in, out->route, sizeof out->route);
  out->last_seen = read_age (in, now);
  out->n_trials = (uint32_t) pack_read_uint (in, QUARANTINE_TRIALS_MAX);
  out->last_trial = read_age (in, now);
  out->n_crashes = pack_read_array (in, QUARANTINE_CRASHES_MAX);
  for (uint32_t i = 0; i < out->n_crashes && pack_read_is_ok (in); i++)
    {
      out->crashes[i].incarnation = pack_read_uint (in, UINT64_MAX);
      out->crashes[i].from = read_age (in, now);
      out->crashes[i].to = read_age (in, now);
      out->crashes[i].retracted = pack_read_bool (in);
    }
  return pack_read_is_ok (in);
}

bool
quarantine_decode (const void *data, size_t length, int64_t now, struct quarantine_decoded *out)
{
  struct pack_reader in;

  pack_reader_init (&in, data, length);
  out->kind = (enum quarantine_message) pack_read_uint (&in, QUARANTINE_SUMMARY_REPLY);
  out->summary = 0;
  out->n = 0;
  switch (out->kind)
    {
    case QUARANTINE_UPDATE:
    case QUARANTINE_RELAY:
      out->n = pack_read_array (&in, QUARANTINE_MESSAGE_SUSPECTS_MAX);
      for (uint32_t i = 0; i < out->n; i++)
        if (!read_suspect (&in, now, &out->suspects[i]))
          return false;
      break;
    case QUARANTINE_SUMMARY:
    case QUARANTINE_SUMMARY_REPLY:
      out->summary = pack_read_uint (&in, UINT64_MAX);
      break;
    default:
      return false;
    }
  return pack_read_is_complete (&in);
}
