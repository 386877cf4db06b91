/* Which requests are the same: those that would do the same to a target.
 *
 * Method, host, path with its query, organisation and body count; identities, deadlines and what
 * concerns one connection differ from one try to the next and do not.  The organisation is in it,
 * so that nobody's requests can be mistaken for another's. */
#ifndef REQUEST_DIGEST_H
#define REQUEST_DIGEST_H

#include "bytes.h"
#include "decls.h"
#include "h1.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define REQUEST_DIGEST_SIZE 32 /* bytes of BLAKE2b: nobody makes two requests that share one */
#define REQUEST_DIGEST_TEXT (2 * REQUEST_DIGEST_SIZE + 1)

struct request_digest
{
  uint8_t bytes[REQUEST_DIGEST_SIZE];
};

/* `organisation` is "" where requests bear no keys. */
void request_digest_of (const struct h1_head *head,
                        const struct bytes *body,
                        const char *organisation,
                        struct request_digest *out);

bool request_digest_equal (const struct request_digest *a, const struct request_digest *b);

/* In hexadecimal digits, as logs and commands name it. */
void request_digest_write (const struct request_digest *digest, char out[REQUEST_DIGEST_TEXT]);

/* False when it is not one. */
bool request_digest_read (const char *text, struct request_digest *out);

END_DECLS

#endif
