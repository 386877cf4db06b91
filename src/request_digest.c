/* Digest that identifies equal requests. */
#include "request_digest.h"
#include <sodium.h>
#include <string.h>

_Static_assert(REQUEST_DIGEST_SIZE >= crypto_generichash_BYTES_MIN
                   && REQUEST_DIGEST_SIZE <= crypto_generichash_BYTES_MAX,
               "REQUEST_DIGEST_SIZE is not a valid size of a BLAKE2b digest");

/* Hashes the length first, so that different lists of parts never give the same bytes. */
static void
hash_part (crypto_generichash_state *state, const void *part, size_t length)
{
  uint64_t size = length;

  crypto_generichash_update (state, (const unsigned char *) &size, sizeof size);
  if (length > 0)
    crypto_generichash_update (state, part, length);
}

static void
hash_text (crypto_generichash_state *state, const char *text)
{
  hash_part (state, text, strlen (text));
}

void
request_digest_compute (const struct h1_head *head,
                        const struct bytes *body,
                        const char *organisation,
                        struct request_digest *out)
{
  const char *host = h1_field_value (head, "host");
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, REQUEST_DIGEST_SIZE);
  hash_text (&state, http_method_str ((enum http_method) head->method));
  hash_text (&state, host == NULL ? "" : host);
  hash_text (&state, head->target);
  hash_text (&state, organisation);
  hash_part (&state, body->data, body->length);
  crypto_generichash_final (&state, out->bytes, REQUEST_DIGEST_SIZE);
}

bool
request_digest_equal (const struct request_digest *a, const struct request_digest *b)
{
  return memcmp (a->bytes, b->bytes, REQUEST_DIGEST_SIZE) == 0;
}

void
request_digest_format (const struct request_digest *digest, char out[REQUEST_DIGEST_TEXT_SIZE])
{
  sodium_bin2hex (out, REQUEST_DIGEST_TEXT_SIZE, digest->bytes, REQUEST_DIGEST_SIZE);
}

bool
request_digest_parse (const char *text, struct request_digest *out)
{
  size_t length;

  return sodium_hex2bin (out->bytes, REQUEST_DIGEST_SIZE, text, strlen (text), NULL, &length, NULL)
             == 0
         && length == REQUEST_DIGEST_SIZE;
}
