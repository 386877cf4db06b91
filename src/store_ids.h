/* Recent change ids, each with its first answer and the hash of its body.
 *
 * An operator whose answer was lost sends the change again, to this or another host.  Every replica
 * has stored the id from the log, so the resend gets the first answer and is not applied again.
 * Ids are kept for a fixed span of log time and never evicted earlier: when the table is full, a
 * new id is refused instead. */
#ifndef STORE_IDS_H
#define STORE_IDS_H

#include "decls.h"
#include "store_entry.h"
#include "store_pack.h"

BEGIN_DECLS

struct store_ids;

struct store_ids_config
{
  uint32_t count_max;
  size_t bytes_max; /* of all stored answers */
  int64_t retention_ms;
};

struct store_ids *store_ids_new (void *parent, const struct store_ids_config *config);

/* Remove the ids that are older than retention_ms. */
void store_ids_expire (struct store_ids *ids, int64_t now_ms);

/* The first answer to the id as it was packed; NULL when the id is unknown. */
const struct bytes *store_ids_find (const struct store_ids *ids,
                                    const char *change_id,
                                    const uint8_t body_hash[STORE_BODY_HASH_SIZE],
                                    bool *same_body);

bool store_ids_is_full (const struct store_ids *ids);

void store_ids_add (struct store_ids *ids,
                    const char *change_id,
                    const uint8_t body_hash[STORE_BODY_HASH_SIZE],
                    int64_t now_ms,
                    const void *answer,
                    size_t length);

uint32_t store_ids_count (const struct store_ids *ids);
void store_ids_clear (struct store_ids *ids);
void store_ids_save (const struct store_ids *ids, struct bytes *out);
void store_ids_load (struct store_ids *ids, struct pack_reader *in);

END_DECLS

#endif
