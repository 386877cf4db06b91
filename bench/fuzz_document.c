/* Decoders of the messages about the configuration between entry hosts and controllers. */
#include "fuzz_parts.h"
#include "patch.h"
#include "raft_message.h"
#include "sync.h"
#include <string.h>

static const char base_text[] = "{\"Version\":1,\"Routes\":[{\"Name\":\"a\"},{\"Name\":\"b\"}]}";
static const char new_text[] = "{\"Version\":2,\"Routes\":[{\"Name\":\"a\"},{\"Name\":\"c\"}]}";

static void
set_text (struct bytes *bytes, void *parent, const char *text)
{
  bytes_init (bytes, parent);
  bytes_append (bytes, text, strlen (text));
}

/* 0: a request; 1: a whole text; 2: a difference. */
static void
document_sample (uint32_t i, struct bytes *out)
{
  const struct sync_document_request request = {
    .incarnation = 7,
    .number = 3,
    .wanted = true,
    .held = 1,
  };
  const struct sync_document header = { .number = 3, .version = 2, .base = i == 2 ? 1 : 0 };
  struct bytes base;
  struct bytes text;
  struct bytes patch;

  set_text (&base, NULL, base_text);
  set_text (&text, NULL, new_text);
  bytes_init (&patch, NULL);
  sync_write_header (i == 0 ? SYNC_DOCUMENT_REQUEST : SYNC_DOCUMENT, out);
  if (i == 0)
    sync_write_document_request (&request, out);
  else if (patch_write (i == 2 ? &base : NULL, &text, &patch) == STATUS_OK)
    {
      sync_write_document (&header, out);
      pack_binary (out, patch.data, patch.length);
    }
  bytes_clear (&base);
  bytes_clear (&text);
  bytes_clear (&patch);
}

static enum status
decode_document (void *parent, struct pack_reader *in)
{
  struct sync_document header;
  struct bytes base;
  struct bytes out;
  const void *patch = NULL;
  size_t length = 0;

  if (sync_read_document (in, &header))
    patch = pack_read_binary (in, RAFT_ENTRY_MAX, &length);
  if (!pack_read_is_complete (in))
    return STATUS_MALFORMED;
  set_text (&base, parent, base_text);
  bytes_init (&out, parent);
  return patch_read (header.base == 0 ? NULL : &base, patch, length, RAFT_ENTRY_MAX, &out);
}

static enum status
document_decode (void *parent, const void *data, size_t length)
{
  struct sync_document_request request;
  struct pack_reader in;
  enum sync_message type;

  pack_reader_init (&in, data, length);
  if (!sync_read_type (&in, &type))
    return STATUS_MALFORMED;
  if (type == SYNC_DOCUMENT)
    return decode_document (parent, &in);
  return sync_read_document_request (&in, &request) ? STATUS_OK : STATUS_MALFORMED;
}

const struct fuzz_decoder fuzz_document = {
  .name = "document",
  .n_samples = 3,
  .sample = document_sample,
  .decode = document_decode,
};
