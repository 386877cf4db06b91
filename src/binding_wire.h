/* The encoding of keys and bindings, in messages between hosts and on disk. */
#ifndef BINDING_WIRE_H
#define BINDING_WIRE_H

#include "binding.h"
#include "decls.h"
#include "pack.h"

BEGIN_DECLS

void binding_write_key (struct bytes *out, const struct binding_key *key);
void binding_read_key (struct pack_reader *in, struct binding_key *out);
void binding_write (struct bytes *out, const struct binding *binding);
void binding_read (struct pack_reader *in, struct binding *out);

END_DECLS

#endif
