/* Decoders of text: settings, key files, event streams, JSON from targets, operators and
 * callers. */
#include "fuzz_parts.h"
#include "keyfile.h"
#include "resource_parse.h"
#include "settings.h"
#include "sse.h"
#include "stage.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define COUNT(array) (sizeof (array) / sizeof (array)[0])
#define EVENT_MAX 4096
#define DEPTH_MAX 32

static void
take_text (const char *const *texts, uint32_t i, struct bytes *out)
{
  bytes_append_text (out, texts[i]);
}

/* ---- settings ---- */

static const char *const settings_samples[] = {
  "[host]\nname = a\ndomain = d\n[listen]\ncallers = 127.0.0.1:1\noperators = 127.0.0.1:2\n"
  "targets = 127.0.0.1:3\npeers = 127.0.0.1:4\n[cluster]\nvoters = a@127.0.0.1:4\n[data]\n"
  "folder = /x\n",
  "[host]\nname = a\ndomain = d\nregion = r ; here\n[listen]\ncallers = 127.0.0.1:0\n"
  "operators = 127.0.0.1:0\ntargets = 127.0.0.1:0\npeers = 127.0.0.1:0\n[cluster]\n"
  "seeds = b@10.0.0.1:80/0123456789012345678901234567890123456789, "
  "c@10.0.0.2:80/abcdefghijabcdefghijabcdefghijabcdefghij\n[keys]\nfile = k\n"
  "require_tokens = yes\n[limits]\nbody_bytes = 2048\nidle_timeout_ms = 5000\n[log]\npeer = "
  "debug\n",
};

static void
settings_sample (uint32_t i, struct bytes *out)
{
  take_text (settings_samples, i, out);
}

static enum status
settings_decode (void *parent, const void *data, size_t length)
{
  struct settings *settings = talloc (parent, struct settings);
  struct bytes problems;

  bytes_init (&problems, parent);
  return settings_parse ("file", data, length, settings, &problems);
}

const struct fuzz_decoder fuzz_settings = {
  .name = "settings",
  .n_samples = COUNT (settings_samples),
  .sample = settings_sample,
  .decode = settings_decode,
};

/* ---- key file ---- */

static void
keyfile_sample (uint32_t i, struct bytes *out)
{
  /* A key pair used only here. */
  static struct key_pair pair;

  (void) i;
  if (pair.public_key[0] == '\0')
    key_pair_generate (&pair);
  bytes_append_format (out, "public_key = %s\nsecret_key = %s\n", pair.public_key, pair.secret_key);
}

static enum status
keyfile_decode (void *parent, const void *data, size_t length)
{
  struct key_pair pair;

  return keyfile_parse ("file", talloc_strndup (parent, data, length), &pair);
}

const struct fuzz_decoder fuzz_keyfile = {
  .name = "keyfile",
  .n_samples = 1,
  .sample = keyfile_sample,
  .decode = keyfile_decode,
};

/* ---- event stream ---- */

static const char *const sse_samples[] = {
  "event: token\ndata: {\"text\": \"a\", \"index\": 0}\n\n: note\r\ndata: one\r\ndata: two\r\n\r\n",
  "data: {\"choices\":[{\"text\":\"b\",\"index\":1}]}\n\ndata: [DONE]\n\n",
};

static void
sse_sample (uint32_t i, struct bytes *out)
{
  take_text (sse_samples, i, out);
}

struct event_counter
{
  struct sse_sink sink;
  uint32_t events;
};

static bool
count_event (struct sse_sink *sink, const char *name, const char *data, size_t length)
{
  volatile size_t seen = strlen (name);

  if (length > 0)
    seen += (unsigned char) data[length - 1];
  ((struct event_counter *) sink)->events++;
  return true;
}

static const struct sse_sink_ops event_ops = { .event = count_event };

/* Feeds the data in pieces of 1 to 16 bytes; the first byte of each piece gives its length. */
static enum status
sse_decode (void *parent, const void *data, size_t length)
{
  struct event_counter counter = { .sink = { &event_ops } };
  struct sse_decoder decoder;
  const unsigned char *from = data;
  enum status status = STATUS_OK;

  sse_init (&decoder, parent, EVENT_MAX);
  while (length > 0 && status == STATUS_OK)
    {
      size_t piece = 1 + from[0] % 16;

      if (piece > length)
        piece = length;
      status = sse_feed (&decoder, from, piece, &counter.sink);
      from += piece;
      length -= piece;
    }
  sse_clear (&decoder);
  if (status == STATUS_OK && counter.events == 0)
    return status_fail (STATUS_MALFORMED, "no event");
  return status;
}

const struct fuzz_decoder fuzz_sse = {
  .name = "sse",
  .n_samples = COUNT (sse_samples),
  .sample = sse_sample,
  .decode = sse_decode,
};

/* ---- targets' answers ---- */

static const char *const answer_samples[] = {
  "{\"data\":[{\"embedding\":[0.5,-1,2e3]}],\"usage\":{\"prompt_tokens\":7}}",
  "{\"documents\":[{\"id\":\"a\",\"text\":\"one\"},{\"id\":\"b\",\"text\":\"two\"}]}",
  "{\"results\":[{\"index\":1,\"relevance_score\":0.9},{\"index\":0,\"relevance_score\":0.1}]}",
  "{\"any\":[1,{\"x\":null}]}",
};

static const enum stage_kind answer_kinds[] = {
  STAGE_ENCODE,
  STAGE_RETRIEVE,
  STAGE_RERANK,
  STAGE_CALL,
};

static void
answer_sample (uint32_t i, struct bytes *out)
{
  take_text (answer_samples, i, out);
}

/* Parses the answer as every stage kind; fails if none accepts it.  A sample that none accepts is a
 * defect of the sample. */
static enum status
answer_decode (void *parent, const void *data, size_t length)
{
  enum status status = STATUS_MALFORMED;
  size_t i;

  for (i = 0; i < COUNT (answer_kinds); i++)
    {
      struct stage_spec spec = { .name = "s", .kind = answer_kinds[i], .top = 2 };
      struct stage_data carried = {
        .input = json_string ("question"),
        .documents =
            json_pack ("[{s:s,s:s},{s:s,s:s}]", "id", "a", "text", "1", "id", "b", "text", "2"),
      };
      struct stage_usage usage;

      if (stage_accept_answer (&spec, &carried, data, length, &usage) == STATUS_OK)
        {
          struct bytes body;

          bytes_init (&body, parent);
          stage_append_body (&spec, &carried, &(struct stage_call){ .max_tokens = 1 }, &body);
          bytes_clear (&body);
          status = STATUS_OK;
        }
      stage_data_clear (&carried);
    }
  return status;
}

const struct fuzz_decoder fuzz_target_answer = {
  .name = "target-answer",
  .n_samples = COUNT (answer_samples),
  .sample = answer_sample,
  .decode = answer_decode,
};

static const char *const piece_samples[] = {
  "{\"choices\":[{\"text\":\"word \",\"index\":3}]}",
  "{\"choices\":[{\"text\":\"\",\"index\":9,\"finish_reason\":\"stop\"}],"
  "\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":9,\"cached_tokens\":1}}",
};

static void
piece_sample (uint32_t i, struct bytes *out)
{
  take_text (piece_samples, i, out);
}

static enum status
piece_decode (void *parent, const void *data, size_t length)
{
  struct stage_piece piece;
  enum status status = stage_piece_parse (data, length, &piece);

  (void) parent;
  if (status == STATUS_OK)
    stage_piece_clear (&piece);
  return status;
}

const struct fuzz_decoder fuzz_target_piece = {
  .name = "target-piece",
  .n_samples = COUNT (piece_samples),
  .sample = piece_sample,
  .decode = piece_decode,
};

/* ---- resources ---- */

static const char *const resource_samples[] = {
  "{\"stages\":[{\"name\":\"e\",\"kind\":\"encode\",\"pool\":\"p\"},{\"name\":\"g\",\"kind\":"
  "\"generate\",\"pool\":\"q\",\"model\":\"m\",\"maxTokens\":64}],\"deadlineMs\":4000,"
  "\"objective\":\"cost\",\"maxAttempts\":3,\"retryShare\":0.1,\"hedgeShare\":0.05,"
  "\"priority\":5,\"repeatable\":true}",
  "{\"pool\":\"p\",\"deadlineMs\":800,\"repeatable\":false}",
  "{\"kind\":\"generate\",\"costPerSecond\":0.5,\"slots\":8,\"ejectShareMax\":0.3}",
  "{\"weight\":2,\"requestsPerSecond\":50,\"burst\":10,\"tokensPerSecond\":9000,"
  "\"concurrency\":64,\"tokenHashes\":"
  "[\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\"]}",
  "{\"domain\":\"d\",\"region\":\"r\",\"address\":\"10.0.0.1:80\",\"voter\":true}",
  "{\"role\":\"write\",\"tokenHash\":"
  "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\"}",
  "{\"pool\":\"p\",\"models\":[\"m\",\"n\"],\"adapters\":[\"a\"],\"version\":\"v2\"}",
};

static void
resource_sample (uint32_t i, struct bytes *out)
{
  take_text (resource_samples, i, out);
}

static enum status
resource_decode (void *parent, const void *data, size_t length)
{
  json_t *spec = stage_parse_json (data, length, DEPTH_MAX);
  union resource_spec *parsed = talloc (parent, union resource_spec);
  struct resource_reference references[RESOURCE_REFERENCES_MAX];
  struct resource_problem problem;
  enum status status = STATUS_MALFORMED;
  int kind;

  for (kind = 0; kind < RESOURCE_KIND_COUNT && spec != NULL; kind++)
    {
      if (resource_parse ((enum resource_kind) kind, "name", spec, parsed, &problem) != STATUS_OK)
        continue;
      resource_references ((enum resource_kind) kind, parsed, references);
      status = STATUS_OK;
    }
  json_decref (spec);
  return status;
}

const struct fuzz_decoder fuzz_resource = {
  .name = "resource",
  .n_samples = COUNT (resource_samples),
  .sample = resource_sample,
  .decode = resource_decode,
};
