/* A versioned configuration document as a replicated state machine: the highest version wins.
 * Beside it the machine keeps the evacuated failure domains.
 *
 * A change whose version is not higher than the current one has no effect but still succeeds: an
 * operator resends a change that got no response, and the resend must not be refused.
 *
 * No document has version 0.  An entry with that version carries an order of evacuation;
 * controllers of releases that know none apply it as a superseded change. */
#ifndef DOCUMENT_H
#define DOCUMENT_H

#include "consensus.h"
#include "decls.h"
#include "evacuation.h"
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

  /* The set of evacuated domains has changed.  May be NULL. */
  void (*evacuated) (struct document_listener *listener, const struct document *document);
};

/* Freed with `parent`.  `listener` may be NULL. */
struct document *document_new (void *parent, struct document_listener *listener);
struct machine *document_machine (struct document *document);

/* 0 while there is no document. */
uint64_t document_version (const struct document *document);
const struct bytes *document_text (const struct document *document);
const struct evacuation_set *document_evacuations (const struct document *document);

/* Identifies a document's content in log lines: operators may send different content under one
 * version.  Writes 16 hex digits and a NUL. */
#define DOCUMENT_DIGEST_SIZE 17
void document_digest (const void *text, size_t length, char out[DOCUMENT_DIGEST_SIZE]);

/* Appends the log entry for a change to `out`. */
void document_change_pack (uint64_t version, const void *text, size_t length, struct bytes *out);

/* Appends the log entry for an order of evacuation to `out`. */
void document_evacuation_pack (const struct evacuation_order *order, struct bytes *out);

/* Reads the outcome of such an entry from the result of its proposal; false if it was applied by a
 * controller of a release that knows no evacuations. */
bool document_read_evacuation_outcome (const void *result,
                                       size_t length,
                                       enum evacuation_outcome *out);

/* Replaces the document with a newer version; false if `version` is not newer or memory is out. */
bool document_update (struct document *document, uint64_t version, const void *text, size_t length);

END_DECLS

#endif
