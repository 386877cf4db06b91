/* Texts compressed for the wire, whole or as the difference from a base that the reader holds. */
#ifndef PATCH_H
#define PATCH_H

#include "bytes.h"
#include "decls.h"
#include "status.h"

BEGIN_DECLS

/* Append the compressed text to `out`; `base` is NULL for a text that is sent whole. */
enum status patch_write (const struct bytes *base, const struct bytes *text, struct bytes *out);

/* Append the text to `out`.  STATUS_CORRUPT if the patch cannot be read, was written for another
 * base, or holds a text of more than `max` bytes. */
enum status patch_read (
    const struct bytes *base, const void *patch, size_t length, size_t max, struct bytes *out);

END_DECLS

#endif
