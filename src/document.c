/* A versioned configuration document as a replicated state machine. */
#include "document.h"
#include "container.h"
#include "log.h"
#include "pack.h"
#include <jansson.h>
#include <stdio.h>
#include <talloc.h>
#include <xxhash.h>

struct document
{
  struct machine machine;
  struct document_listener *listener;
  uint64_t version;
  struct bytes text;
  struct evacuation_set evacuations;
};

bool
document_update (struct document *document, uint64_t version, const void *text, size_t length)
{
  struct bytes copy;

  if (version <= document->version)
    return false;
  bytes_init (&copy, document);
  bytes_append (&copy, text, length);
  if (bytes_has_failed (&copy))
    return false;
  bytes_clear (&document->text);
  document->text = copy;
  document->version = version;
  if (document->listener != NULL)
    document->listener->ops->changed (document->listener, document);
  return true;
}

static void
report_evacuations (struct document *document)
{
  if (document->listener != NULL && document->listener->ops->evacuated != NULL)
    document->listener->ops->evacuated (document->listener, document);
}

static void
log_not_read (uint64_t index)
{
  log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "entry-not-read", "{s:I}", "index",
             (json_int_t) index);
}

static void
apply_order (struct document *document,
             uint64_t index,
             const void *data,
             size_t length,
             struct bytes *result)
{
  struct evacuation_order order;
  struct pack_reader in;
  enum evacuation_outcome outcome;

  pack_reader_init (&in, data, length);
  if (!evacuation_order_unpack (&in, &order))
    {
      log_not_read (index);
      return;
    }
  outcome = evacuation_apply (&document->evacuations, &order, index);
  pack_uint (result, outcome);
  if (outcome == EVACUATION_CHANGED)
    report_evacuations (document);
}

static void
apply (
    struct machine *machine, uint64_t index, const void *entry, size_t length, struct bytes *result)
{
  struct document *document = CONTAINER_OF (machine, struct document, machine);
  struct pack_reader in;
  uint64_t version;
  const void *text;
  size_t text_length = 0;

  pack_reader_init (&in, entry, length);
  version = pack_read_uint (&in, UINT64_MAX);
  text = pack_read_binary (&in, RAFT_ENTRY_MAX, &text_length);
  if (!pack_read_is_complete (&in))
    log_not_read (index);
  /* Running on after a failed allocation would leave this replica with an older document than the
   * log implies, until the next start. */
  else if (!document_update (document, version, text, text_length))
    INVARIANT (document->version >= version);
  pack_uint (result, document->version);
  if (pack_read_is_complete (&in) && version == 0)
    apply_order (document, index, text, text_length, result);
}

static enum status
save (struct machine *machine, struct bytes *out)
{
  struct document *document = CONTAINER_OF (machine, struct document, machine);

  document_change_pack (document->version, document->text.data, document->text.length, out);
  if (document->evacuations.revision != 0)
    evacuation_set_pack (&document->evacuations, out);
  return bytes_has_failed (out) ? status_fail (STATUS_NO_MEMORY, "no memory for a snapshot")
                                : STATUS_OK;
}

static enum status
load (struct machine *machine, uint64_t index, const void *data, size_t length)
{
  struct document *document = CONTAINER_OF (machine, struct document, machine);
  struct pack_reader in;
  uint64_t version;
  const void *text;
  size_t text_length = 0;
  struct evacuation_set evacuations = { .revision = 0 };

  (void) index;
  pack_reader_init (&in, data, length);
  version = pack_read_uint (&in, UINT64_MAX);
  text = pack_read_binary (&in, RAFT_ENTRY_MAX, &text_length);
  if (pack_read_is_ok (&in) && in.left > 0)
    evacuation_set_unpack (&in, &evacuations);
  if (!pack_read_is_complete (&in))
    return status_fail (STATUS_CORRUPT, "a snapshot of the document cannot be read");
  if (!document_update (document, version, text, text_length) && document->version < version)
    return status_fail (STATUS_NO_MEMORY, "no memory for a snapshot of the document");
  /* A snapshot of a release that knows no evacuations has no set. */
  if (evacuations.revision > document->evacuations.revision)
    {
      document->evacuations = evacuations;
      report_evacuations (document);
    }
  return STATUS_OK;
}

static const struct machine_ops machine_ops = { .apply = apply, .save = save, .load = load };

struct document *
document_new (void *parent, struct document_listener *listener)
{
  struct document *document = talloc_zero (parent, struct document);

  if (document == NULL)
    return NULL;
  document->machine.ops = &machine_ops;
  document->listener = listener;
  bytes_init (&document->text, document);
  return document;
}

struct machine *
document_machine (struct document *document)
{
  return &document->machine;
}

uint64_t
document_version (const struct document *document)
{
  return document->version;
}

const struct bytes *
document_text (const struct document *document)
{
  return &document->text;
}

const struct evacuation_set *
document_evacuations (const struct document *document)
{
  return &document->evacuations;
}

void
document_digest (const void *text, size_t length, char out[DOCUMENT_DIGEST_SIZE])
{
  snprintf (out, DOCUMENT_DIGEST_SIZE, "%016llx", (unsigned long long) XXH3_64bits (text, length));
}

void
document_change_pack (uint64_t version, const void *text, size_t length, struct bytes *out)
{
  pack_uint (out, version);
  pack_binary (out, text, length);
}

void
document_evacuation_pack (const struct evacuation_order *order, struct bytes *out)
{
  struct bytes packed;

  bytes_init (&packed, NULL);
  evacuation_order_pack (order, &packed);
  document_change_pack (0, packed.data, packed.length, out);
  out->failed = out->failed || bytes_has_failed (&packed);
  bytes_clear (&packed);
}

bool
document_read_evacuation_outcome (const void *result, size_t length, enum evacuation_outcome *out)
{
  struct pack_reader in;

  pack_reader_init (&in, result, length);
  (void) pack_read_uint (&in, UINT64_MAX);
  *out = (enum evacuation_outcome) pack_read_uint (&in, EVACUATION_OUTCOME_COUNT - 1);
  return pack_read_is_complete (&in);
}
