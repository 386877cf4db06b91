/* A host's long-term CURVE key pair and the file it is kept in. */
#ifndef KEYFILE_H
#define KEYFILE_H

#include "decls.h"
#include "status.h"

BEGIN_DECLS

#define KEYFILE_TEXT_SIZE 48 /* 40 characters of Z85 and the NUL */

struct key_pair
{
  char public_key[KEYFILE_TEXT_SIZE];
  char secret_key[KEYFILE_TEXT_SIZE];
};

enum status key_pair_make (struct key_pair *out);

/* Make the file, readable by its owner alone and synced.  STATUS_EXISTS when there is one: an
 * overwritten key could not be had back. */
enum status keyfile_write (const char *path, const struct key_pair *pair);

/* STATUS_DENIED for a file that others may read, STATUS_CORRUPT for one that holds no pair or one
 * whose halves do not belong together. */
enum status keyfile_read (const char *path, struct key_pair *out);

/* Read from memory; `path` stands in messages. */
enum status keyfile_parse (const char *path, const char *text, struct key_pair *out);

END_DECLS

#endif
