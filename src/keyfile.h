/* A host's long-term CURVE key pair and the file that stores it. */
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

enum status key_pair_generate (struct key_pair *out);

/* Creates the file with mode 0600 and syncs it.  STATUS_EXISTS if the file exists: an overwritten
 * key could not be recovered. */
enum status keyfile_write (const char *path, const struct key_pair *pair);

/* STATUS_DENIED if the group or others have any access to the file, STATUS_CORRUPT if it does not
 * hold a pair or its two keys do not match. */
enum status keyfile_read (const char *path, struct key_pair *out);

/* Parses a key file in memory; `path` is used in messages only. */
enum status keyfile_parse (const char *path, const char *text, struct key_pair *out);

END_DECLS

#endif
