/* Digest that identifies equal requests: those with the same effect on a target.
 *
 * It covers the method, host, path with query, organisation and body.  Identities, deadlines and
 * connection headers are left out, because they differ from one try to the next.  The organisation
 * is included so that requests of different organisations never compare equal. */
#ifndef REQUEST_DIGEST_H
#define REQUEST_DIGEST_H

#include "bytes.h"
#include "decls.h"
#include "h1.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define REQUEST_DIGEST_SIZE 32 /* bytes of BLAKE2b: collisions are infeasible */
#define REQUEST_DIGEST_TEXT_SIZE (2 * REQUEST_DIGEST_SIZE + 1)

struct request_digest
{
  uint8_t bytes[REQUEST_DIGEST_SIZE];
};

/* `organisation` is "" where requests carry no API keys. */
void request_digest_compute (const struct h1_head *head,
                             const struct bytes *body,
                             const char *organisation,
                             struct request_digest *out);

bool request_digest_equal (const struct request_digest *a, const struct request_digest *b);

/* Hexadecimal digits, as in logs and commands. */
void request_digest_format (const struct request_digest *digest,
                            char out[REQUEST_DIGEST_TEXT_SIZE]);

/* False if `text` is not a digest. */
bool request_digest_parse (const char *text, struct request_digest *out);

END_DECLS

#endif
