/* The tables of the claim state machine: holders and claims, in an order that is the same on every
 * replica. */
#ifndef CLAIM_TABLE_H
#define CLAIM_TABLE_H

#include "claim_entry.h"
#include "decls.h"
#include "store_pack.h"
#include "table.h"
#include <uthash.h>

BEGIN_DECLS

enum claim_state
{
  CLAIM_STATE_HELD,
  CLAIM_STATE_SETTLED,
  CLAIM_STATE_RELEASED,
  CLAIM_STATE_EXPIRED,
  CLAIM_STATE_COUNT
};

/* An acquire that its requester abandoned: a late copy of its entry is refused. */
struct claim_abandoned
{
  uint64_t epoch;
  uint64_t acquire_id;
};

#define CLAIM_ABANDONED_MAX 128 /* the latest of each host; copies are late by seconds at most */

/* A host that holds or held claims. */
struct claim_host
{
  UT_hash_handle hh;
  struct claim_host *prev; /* in order of last use */
  struct claim_host *next;
  struct handle handle;
  char name[RESOURCE_NAME_SIZE];
  uint64_t epoch;                    /* the latest seen; earlier ones are over */
  uint64_t dead_epoch_max;           /* epochs up to this one are declared dead */
  uint32_t n_claims;                 /* number of records that refer to it */
  struct claim_abandoned *abandoned; /* ring buffer; NULL while empty */
  uint32_t n_abandoned;
  uint32_t next_abandoned;
};

struct claim_record
{
  UT_hash_handle hh;
  struct claim_record *prev; /* in order of expiry */
  struct claim_record *next;
  struct claim_host *host;
  struct handle handle;
  uint64_t epoch;
  uint64_t acquire_id;
  int64_t expires_ms;
  int64_t retention_ms;
  char *body;
  uint32_t body_length;
  uint16_t code;
  uint8_t state; /* enum claim_state */
  bool body_kept;
  char outcome[CLAIM_OUTCOME_SIZE];
  uint8_t key[CLAIM_KEY_SIZE];
  uint8_t body_hash[CLAIM_HASH_SIZE];
};

struct claim_table
{
  struct table *host_entries;
  struct table *record_entries;
  struct claim_host *hosts_by_name;
  struct claim_host *hosts; /* least recently used first */
  struct claim_record *by_key;
  struct claim_record *live; /* soonest to expire first */
  struct claim_record *expired;
  uint32_t count;
  size_t answer_bytes;
};

/* Freed with `parent`.  NULL when out of memory. */
struct claim_table *claim_table_new (void *parent, uint32_t records_max, uint32_t hosts_max);
void claim_table_clear (struct claim_table *table);

/* Find or add the host and mark it as used.  NULL when the table is full. */
struct claim_host *claim_table_get_host (struct claim_table *table, const char *name);

void claim_table_add_abandoned (struct claim_table *table,
                                struct claim_host *host,
                                uint64_t epoch,
                                uint64_t acquire_id);
bool claim_table_is_abandoned (const struct claim_host *host, uint64_t epoch, uint64_t acquire_id);

struct claim_record *claim_table_find (const struct claim_table *table,
                                       const uint8_t key[CLAIM_KEY_SIZE]);

/* Add a record with that key to the live list; NULL when the table is full. */
struct claim_record *claim_table_add (struct claim_table *table,
                                      const uint8_t key[CLAIM_KEY_SIZE],
                                      struct claim_host *host);
void claim_table_set_host (struct claim_record *record, struct claim_host *host);
void claim_table_set_body (struct claim_table *table,
                           struct claim_record *record,
                           const void *body,
                           size_t length);
void claim_table_drop_body (struct claim_table *table, struct claim_record *record);

/* Move a live record to the end of the expiry order, with a new expiry time. */
void claim_table_renew (struct claim_table *table, struct claim_record *record, int64_t expires_ms);

/* Mark records that are due as expired, and remove those that have been expired for another
 * retention.  Until then a late resend is refused. */
void claim_table_expire (struct claim_table *table, int64_t now_ms);

void claim_table_save (const struct claim_table *table, struct bytes *out);
void claim_table_load (struct claim_table *table, struct pack_reader *in);

END_DECLS

#endif
