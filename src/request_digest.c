/* Digest that identifies equal requests, and keys of parts of prompts. */
#include "request_digest.h"
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

_Static_assert(REQUEST_DIGEST_SIZE >= crypto_generichash_BYTES_MIN
                   && REQUEST_DIGEST_SIZE <= crypto_generichash_BYTES_MAX,
               "REQUEST_DIGEST_SIZE is not a valid size of a BLAKE2b digest");

/* A key of a part: the mark, the number of the part, and a hash of the pool's name. */
#define REQUEST_PART_MARK "part\0\0\0"
#define MARK_SIZE (sizeof REQUEST_PART_MARK)
#define NUMBER_SIZE (sizeof (uint64_t))

_Static_assert(MARK_SIZE + NUMBER_SIZE + sizeof (XXH128_canonical_t) == REQUEST_DIGEST_SIZE,
               "a key of a part does not fill a digest");

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
request_part_digest (const char *pool, uint64_t part, struct request_digest *out)
{
  XXH64_canonical_t number;
  XXH128_canonical_t space;

  XXH64_canonicalFromHash (&number, part);
  XXH128_canonicalFromHash (&space, XXH3_128bits (pool, strlen (pool)));
  memcpy (out->bytes, REQUEST_PART_MARK, MARK_SIZE);
  memcpy (out->bytes + MARK_SIZE, &number, NUMBER_SIZE);
  memcpy (out->bytes + MARK_SIZE + NUMBER_SIZE, &space, sizeof space);
}

bool
request_digest_is_part (const struct request_digest *digest, uint64_t *part)
{
  XXH64_canonical_t number;

  if (memcmp (digest->bytes, REQUEST_PART_MARK, MARK_SIZE) != 0)
    return false;
  memcpy (&number, digest->bytes + MARK_SIZE, NUMBER_SIZE);
  *part = XXH64_hashFromCanonical (&number);
  return true;
}

void
request_digest_format (const struct request_digest *digest, char out[REQUEST_DIGEST_TEXT_SIZE])
{
  sodium_bin2hex (out, REQUEST_DIGEST_TEXT_SIZE, digest->bytes, REQUEST_DIGEST_SIZE);
}

bool
request_parts_share_pool (const struct request_digest *a, const struct request_digest *b)
{
  size_t pool = MARK_SIZE + NUMBER_SIZE;

  return memcmp (a->bytes + pool, b->bytes + pool, REQUEST_DIGEST_SIZE - pool) == 0;
}

void
request_digest_format_part (const struct request_digest *digest, char out[REQUEST_PART_TEXT_SIZE])
{
  uint64_t part;

  out[0] = '\0';
  if (request_digest_is_part (digest, &part))
    snprintf (out, REQUEST_PART_TEXT_SIZE, "%llx", (unsigned long long) part);
}

bool
request_digest_parse (const char *text, struct request_digest *out)
{
  size_t length;

  return sodium_hex2bin (out->bytes, REQUEST_DIGEST_SIZE, text, strlen (text), NULL, &length, NULL)
             == 0
         && length == REQUEST_DIGEST_SIZE;
}
