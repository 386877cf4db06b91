/* Maps tokens to organisations and operators.
 *
 * Only hashes of tokens are stored.  A caller's token is looked up by its hash in an index that is
 * rebuilt whenever a configuration comes into force: a linear scan of 560 organisations would cost
 * each request more than its routing.  The look-up time depends on the hash of the token sent; a
 * sender cannot choose enough bytes of a hash for a timing attack on another's token. */
#include "access.h"
#include "text.h"
#include <sodium.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

#define BEARER "Bearer "
#define BEARER_LENGTH (sizeof BEARER - 1)
#define DEFAULT_ORGANISATION "default"
#define ADMIN_NAME "admin"
#define ANONYMOUS_NAME "anonymous"
/* Bytes.  Longer than any token that keygen generates; a longer one is rejected unhashed. */
#define TOKEN_BYTES_MAX 256

struct token
{
  uint8_t hash[RESOURCE_TOKEN_HASH_SIZE];
  struct handle organisation;
  UT_hash_handle hh;
};

struct operator_entry
{
  char name[RESOURCE_NAME_SIZE];
  enum access_role role;
  uint8_t hash[RESOURCE_TOKEN_HASH_SIZE];
  UT_hash_handle hh; /* by name */
};

struct access
{
  struct board_subscriber subscriber;
  struct board *board;
  bool require_tokens;
  bool has_admin;
  uint8_t admin_hash[RESOURCE_TOKEN_HASH_SIZE];
  struct operator_entry *operators;
  struct token *tokens;
  void *token_memory; /* parent of `tokens` */
};

/* uthash's macros are long; the functions are not.
 * NOLINTBEGIN(readability-function-size) */

static void
add_token (struct access *access,
           const uint8_t hash[RESOURCE_TOKEN_HASH_SIZE],
           struct handle organisation)
{
  struct token *token;

  HASH_FIND (hh, access->tokens, hash, RESOURCE_TOKEN_HASH_SIZE, token);
  /* A token shared by two organisations would authenticate as whichever came first, so it
   * authenticates neither. */
  if (token != NULL)
    {
      if (!handle_equal (token->organisation, organisation))
        token->organisation = (struct handle){ .generation = 0 };
      return;
    }
  token = talloc_zero (access->token_memory, struct token);
  if (token == NULL)
    return;
  memcpy (token->hash, hash, RESOURCE_TOKEN_HASH_SIZE);
  token->organisation = organisation;
  HASH_ADD (hh, access->tokens, hash, RESOURCE_TOKEN_HASH_SIZE, token);
}

static const struct token *
find_token (const struct access *access, const uint8_t hash[RESOURCE_TOKEN_HASH_SIZE])
{
  struct token *token;

  HASH_FIND (hh, access->tokens, hash, RESOURCE_TOKEN_HASH_SIZE, token);
  return token;
}

static struct operator_entry *
find_operator (const struct access *access, const char *name)
{
  struct operator_entry *entry;

  HASH_FIND_STR (access->operators, name, entry);
  return entry;
}

static void
add_operator (struct access *access, struct operator_entry *entry)
{
  HASH_ADD_STR (access->operators, name, entry);
}

static void
remove_operator (struct access *access, struct operator_entry *entry)
{
  HASH_DEL (access->operators, entry);
  talloc_free (entry);
}

static void
clear_tokens (struct access *access)
{
  HASH_CLEAR (hh, access->tokens);
  TALLOC_FREE (access->token_memory);
}

static int
access_destroy (struct access *access)
{
  clear_tokens (access);
  HASH_CLEAR (hh, access->operators);
  return 0;
}

/* NOLINTEND(readability-function-size) */

static void
rebuild_token_index (struct access *access)
{
  const struct board_organisation *organisation;
  struct handle handle;
  uint32_t cursor = 0;
  uint32_t i;

  clear_tokens (access);
  access->token_memory = talloc_new (access);
  while ((organisation = table_next (access->board->organisations, &cursor, &handle)) != NULL)
    {
      for (i = 0; i < organisation->spec.n_tokens; i++)
        add_token (access, organisation->spec.token_hashes[i], handle);
    }
}

static void
board_changed (struct board_subscriber *subscriber,
               enum board_event event,
               struct handle handle,
               int64_t now)
{
  (void) handle;
  (void) now;
  if (event == BOARD_CONFIG_CHANGED)
    rebuild_token_index ((struct access *) subscriber);
}

static const struct board_subscriber_ops subscriber_ops = { .changed = board_changed };

struct access *
access_new (void *parent, struct board *board, const struct settings *settings)
{
  struct access *access;
  size_t length = 0;

  if (sodium_init () < 0)
    return NULL;
  access = talloc_zero (parent, struct access);
  if (access == NULL)
    return NULL;
  talloc_set_destructor (access, access_destroy);
  access->subscriber.ops = &subscriber_ops;
  access->board = board;
  access->require_tokens = settings->require_tokens;
  access->has_admin = settings->admin_token_hash[0] != '\0';
  if (access->has_admin
      && (sodium_hex2bin (access->admin_hash, sizeof access->admin_hash, settings->admin_token_hash,
                          strlen (settings->admin_token_hash), NULL, &length, NULL)
              != 0
          || length != sizeof access->admin_hash))
    {
      status_fail (STATUS_INVALID, "admin_token_hash: expected 64 hex digits");
      talloc_free (access);
      return NULL;
    }
  board_subscribe (board, &access->subscriber);
  rebuild_token_index (access);
  return access;
}

/* Hashes the bearer token; false when it is missing, empty or longer than TOKEN_BYTES_MAX. */
static bool
hash_bearer_token (const struct http_exchange *exchange, uint8_t out[RESOURCE_TOKEN_HASH_SIZE])
{
  const char *value = http_header (exchange, "authorization");

  if (value == NULL || strncasecmp (value, BEARER, BEARER_LENGTH) != 0)
    return false;
  value += BEARER_LENGTH;
  if (value[0] == '\0' || strlen (value) > TOKEN_BYTES_MAX)
    return false;
  access_hash_token (value, out);
  return true;
}

/* `named` is the value of the x-organisation header, NULL when absent. */
static enum status
authenticate_by_token (struct access *access,
                       const struct http_exchange *exchange,
                       const char *named,
                       struct handle *out,
                       char name[RESOURCE_NAME_SIZE])
{
  uint8_t hash[RESOURCE_TOKEN_HASH_SIZE];
  const struct board_organisation *organisation = NULL;
  const struct token *token = NULL;

  if (hash_bearer_token (exchange, hash))
    token = find_token (access, hash);
  if (token != NULL)
    organisation = table_get (access->board->organisations, token->organisation);
  if (organisation == NULL)
    return status_fail (STATUS_DENIED, "authorization: the token is not known");
  if (named != NULL && strcmp (named, organisation->spec.name) != 0)
    return status_fail (STATUS_DENIED, "x-organisation: the token is another organisation's");
  *out = token->organisation;
  text_copy_truncated (name, RESOURCE_NAME_SIZE, organisation->spec.name);
  return STATUS_OK;
}

enum status
access_authenticate_caller (struct access *access,
                            const struct http_exchange *exchange,
                            struct handle *out,
                            char name[RESOURCE_NAME_SIZE])
{
  const char *named = http_header (exchange, "x-organisation");

  *out = (struct handle){ .generation = 0 };
  name[0] = '\0';
  if (http_header (exchange, "authorization") != NULL)
    return authenticate_by_token (access, exchange, named, out, name);
  if (access->require_tokens)
    return status_fail (STATUS_DENIED, "authorization: expected Bearer and a token");
  if (named == NULL)
    named = DEFAULT_ORGANISATION;
  if (named[0] == '\0' || !text_copy (name, RESOURCE_NAME_SIZE, named))
    return status_fail (STATUS_INVALID, "x-organisation: expected 1 to %d characters",
                        RESOURCE_NAME_SIZE - 1);
  board_find_organisation (access->board, name, out);
  return STATUS_OK;
}

enum access_role
access_authenticate_operator (struct access *access,
                              const struct http_exchange *exchange,
                              char name[RESOURCE_NAME_SIZE])
{
  uint8_t hash[RESOURCE_TOKEN_HASH_SIZE];
  const struct operator_entry *entry;

  name[0] = '\0';
  if (!access->has_admin && access->operators == NULL)
    {
      text_copy_truncated (name, RESOURCE_NAME_SIZE, ANONYMOUS_NAME);
      return ACCESS_ADMIN;
    }
  if (!hash_bearer_token (exchange, hash))
    return ACCESS_NONE;
  if (access->has_admin && sodium_memcmp (hash, access->admin_hash, sizeof hash) == 0)
    {
      text_copy_truncated (name, RESOURCE_NAME_SIZE, ADMIN_NAME);
      return ACCESS_ADMIN;
    }
  for (entry = access->operators; entry != NULL; entry = entry->hh.next)
    {
      if (sodium_memcmp (hash, entry->hash, sizeof hash) != 0)
        continue;
      text_copy_truncated (name, RESOURCE_NAME_SIZE, entry->name);
      return entry->role;
    }
  return ACCESS_NONE;
}

enum status
access_set_operator (struct access *access,
                     const char *name,
                     enum access_role role,
                     const uint8_t token_hash[RESOURCE_TOKEN_HASH_SIZE])
{
  struct operator_entry *entry = find_operator (access, name);

  if (role == ACCESS_NONE)
    {
      if (entry != NULL)
        remove_operator (access, entry);
      return STATUS_OK;
    }
  if (entry == NULL)
    {
      entry = talloc_zero (access, struct operator_entry);
      if (entry == NULL)
        return status_fail (STATUS_NO_MEMORY, "operator %s: out of memory", name);
      if (!text_copy (entry->name, sizeof entry->name, name))
        {
          talloc_free (entry);
          return status_fail (STATUS_INVALID, "operator name too long");
        }
      add_operator (access, entry);
    }
  entry->role = role;
  memcpy (entry->hash, token_hash, sizeof entry->hash);
  return STATUS_OK;
}
