/* One configuration document under a version, as a replicated state machine: the highest version
 * stays.
 *
 * A change whose version is not higher than the one held changes nothing and is still a success:
 * its operator resends what it got no answer for, and must not be told to stop. */
#ifndef DOCUMENT_H
#define DOCUMENT_H

#include "consensus.h"
#include "decls.h"

BEGIN_DECLS

struct document;

struct document_listener
{
  const struct document_listener_ops *ops;
};

struct document_listener_ops
{
  void (*changed) (struct document_listener *listener, const struct document *document);
};

/* Freed with `parent`.  `listener` may be NULL. */
struct document *document_new (void *parent, struct document_listener *listener);
struct machine *document_machine (struct document *document);

/* 0 while there is none. */
uint64_t document_version (const struct document *document);
const struct bytes *document_text (const struct document *document);

/* An entry for the log. */
void document_write_change (uint64_t version, const void *text, size_t length, struct bytes *out);

/* Take a newer version from a host that has it; for hosts that are no members of the log. */
bool document_take (struct document *document, uint64_t version, const void *text, size_t length);

END_DECLS

#endif
