/* The latest texts of the document, and the newest one compressed for readers that hold one of
 * them. */
#ifndef DOCUMENT_HISTORY_H
#define DOCUMENT_HISTORY_H

#include "bytes.h"
#include "decls.h"
#include <stdint.h>

BEGIN_DECLS

struct document_history;

/* Freed with `parent`.  NULL when out of memory. */
struct document_history *document_history_new (void *parent);

/* Add a newer version. */
void document_history_add (struct document_history *history,
                           uint64_t version,
                           const struct bytes *text);

/* The newest version for a reader that holds `held`, 0 for none.  `base` receives the version that
 * it is a difference from, 0 for a whole text.  NULL when out of memory.  Valid until the next call
 * for this history. */
const struct bytes *document_history_encode (struct document_history *history,
                                             uint64_t held,
                                             uint64_t *base);

END_DECLS

#endif
