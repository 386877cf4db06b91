/* The encoding of keys and bindings. */
#include "binding_wire.h"
#include <string.h>

void
binding_write_key (struct bytes *out, const struct binding_key *key)
{
  pack_binary (out, key->bytes, sizeof key->bytes);
}

void
binding_read_key (struct pack_reader *in, struct binding_key *out)
{
  size_t length = 0;
  const void *bytes = pack_read_binary (in, sizeof out->bytes, &length);

  if (length != sizeof out->bytes)
    in->failed = true;
  else
    memcpy (out->bytes, bytes, sizeof out->bytes);
}

void
binding_write (struct bytes *out, const struct binding *binding)
{
  pack_text (out, binding->pool);
  pack_text (out, binding->target);
  pack_uint (out, binding->started);
  pack_bool (out, binding->version_known);
  pack_text (out, binding->version);
}

void
binding_read (struct pack_reader *in, struct binding *out)
{
  pack_read_text (in, out->pool, sizeof out->pool);
  pack_read_text (in, out->target, sizeof out->target);
  out->started = pack_read_uint (in, UINT64_MAX);
  out->version_known = pack_read_bool (in);
  pack_read_text (in, out->version, sizeof out->version);
}
