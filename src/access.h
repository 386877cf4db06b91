/* Who may do what: organisations' tokens for callers, operators' tokens and roles. */
#ifndef ACCESS_H
#define ACCESS_H

#include "board.h"
#include "decls.h"
#include "http.h"
#include "settings.h"

BEGIN_DECLS

/* name, text */
#define ACCESS_ROLE_LIST(X)                                                                        \
  X (NONE, "none")                                                                                 \
  X (READ, "read")                                                                                 \
  X (WRITE, "write")                                                                               \
  X (ADMIN, "admin")

enum access_role
{
#define X(name, text) ACCESS_##name,
  ACCESS_ROLE_LIST (X)
#undef X
      ACCESS_ROLE_COUNT
};

struct access;

/* Freed with `parent`.  NULL when memory is out, libsodium cannot start, or the operator's hash in
 * the settings is not 64 hex digits. */
struct access *access_new (void *parent, struct board *board, const struct settings *settings);

/* The organisation a caller speaks for: by its token, or by `x-organisation` where the settings do
 * not require tokens.  STATUS_DENIED with a message for a wrong or missing token, or a token of
 * another organisation than the header names.  `out` is none for an undeclared organisation where
 * tokens are not required; `name` takes its name, "default" when the caller gave none. */
enum status access_caller (struct access *access,
                           const struct http_exchange *exchange,
                           struct handle *out,
                           char name[RESOURCE_NAME_SIZE]);

/* The operator's role and name.  With no admin token in the settings and no operator resources
 * every operator is admin "anonymous". */
enum access_role access_operator (struct access *access,
                                  const struct http_exchange *exchange,
                                  char name[RESOURCE_NAME_SIZE]);

/* The operator resource of that name came into force, or went (`role` ACCESS_NONE). */
enum status access_set_operator (struct access *access,
                                 const char *name,
                                 enum access_role role,
                                 const uint8_t token_hash[RESOURCE_TOKEN_HASH_SIZE]);

/* The stored form of a token: BLAKE2b of its text.  Tokens are 128 bits or more of chance, made by
 * `keygen --token`, so a slow hash would add nothing. */
void access_hash_token (const char *token, uint8_t out[RESOURCE_TOKEN_HASH_SIZE]);

END_DECLS

#endif
