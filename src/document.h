/* A versioned configuration document as a replicated state machine: the highest version wins.
 *
 * A change whose version is not higher than the current one has no effect but still succeeds: an
 * operator resends a change that got no response, and the resend must not be refused. */
#ifndef DOCUMENT_H
#define DOCUMENT_H

#include "consensus.h"
#include "decls.h"
#include "raft_message.h"

BEGIN_DECLS

/* Most bytes of a log entry for the version and the length of the text. */
#define DOCUMENT_ENTRY_OVERHEAD 32

/* Largest text of a new document. */
#define DOCUMENT_BYTES_MAX (RAFT_ENTRY_MAX - DOCUMENT_ENTRY_OVERHEAD)

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

/* 0 while there is no document. */
uint64_t document_version (const struct document *document);
const struct bytes *document_text (const struct document *document);

/* Identifies a document's content in log lines: operators may send different content under one
 * version.  Writes 16 hex digits and a NUL. */
#define DOCUMENT_DIGEST_SIZE 17
void document_digest (const void *text, size_t length, char out[DOCUMENT_DIGEST_SIZE]);

/* Appends the log entry for a change to `out`. */
void document_change_pack (uint64_t version, const void *text, size_t length, struct bytes *out);

/* Replaces the document with a newer version; false if `version` is not newer or memory is out. */
bool document_update (struct document *document, uint64_t version, const void *text, size_t length);

END_DECLS

#endif
