/* The form of a message between hosts: [version, sender, channel, payload] in MessagePack. */
#include "pack.h"
#include "peer_zmq_private.h"
#include <string.h>

#define ENVELOPE_PARTS 4

void
peer_envelope_write (struct bytes *out,
                     const char *from,
                     enum peer_channel channel,
                     const void *payload,
                     size_t length)
{
  pack_array (out, ENVELOPE_PARTS);
  pack_uint (out, PEER_ENVELOPE_VERSION);
  pack_text (out, from);
  pack_uint (out, channel);
  pack_binary (out, payload, length);
}

enum status
peer_envelope_read (struct peer_envelope *out, const void *data, size_t length)
{
  struct pack_reader reader;
  uint32_t parts;
  uint64_t version;

  memset (out, 0, sizeof *out);
  pack_reader_init (&reader, data, length);
  parts = pack_read_array (&reader, ENVELOPE_PARTS);
  version = pack_read_uint (&reader, PEER_ENVELOPE_VERSION);
  pack_read_text (&reader, out->from, sizeof out->from);
  out->channel = (enum peer_channel) pack_read_uint (&reader, PEER_CHANNEL_COUNT - 1);
  out->payload = pack_read_binary (&reader, PEER_MESSAGE_MAX, &out->length);
  if (!pack_read_end (&reader) || parts != ENVELOPE_PARTS || version != PEER_ENVELOPE_VERSION
      || out->from[0] == '\0')
    return status_fail (STATUS_MALFORMED, "not an envelope");
  return STATUS_OK;
}
