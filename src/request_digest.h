/* Digest that identifies equal requests: those with the same effect on a target; and keys of the
 * parts of their prompts.
 *
 * A digest covers the method, host, path with query, organisation and body.  Identities, deadlines
 * and connection headers are left out, because they differ from one try to the next.  The
 * organisation is included so that requests of different organisations never compare equal. */
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
#define REQUEST_PART_TEXT_SIZE 17

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

/* A property that a request shares with others under which targets end: its whole content, or a
 * part of its prompt. */
struct request_feature
{
  struct request_digest digest;
  bool is_counted; /* its current run is counted among those of a suspect */
};

/* The key of a part of the prompts that a pool gets, whoever sends them.  Keys of parts and digests
 * of requests are told apart by REQUEST_PART_MARK, so that one table holds both. */
void request_part_digest (const char *pool, uint64_t part, struct request_digest *out);

/* False if the digest is that of a request; else `part` receives the number of the part. */
bool request_digest_is_part (const struct request_digest *digest, uint64_t *part);

/* Hexadecimal digits, as in logs and commands. */
void request_digest_format (const struct request_digest *digest,
                            char out[REQUEST_DIGEST_TEXT_SIZE]);

/* Whether two keys of parts are of one pool. */
bool request_parts_share_pool (const struct request_digest *a, const struct request_digest *b);

/* The number of a part in hexadecimal digits; "" for the digest of a request. */
void request_digest_format_part (const struct request_digest *digest,
                                 char out[REQUEST_PART_TEXT_SIZE]);

/* False if `text` is not a digest. */
bool request_digest_parse (const char *text, struct request_digest *out);

END_DECLS

#endif
