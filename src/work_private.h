/* Declarations shared by the files of stage work. */
#ifndef WORK_PRIVATE_H
#define WORK_PRIVATE_H

#include "pack.h"
#include "work.h"

#define WORK_FORMAT 3

enum work_message
{
  WORK_RUN = 0,       /* to the owner: an order */
  WORK_DONE = 1,      /* from the owner: how an order ended */
  WORK_CANCEL = 2,    /* to the owner: an order is withdrawn */
  WORK_FREE = 3,      /* to the owner: results that are no longer needed */
  WORK_PING = 4,      /* to the owner */
  WORK_PONG = 5,      /* from the owner: answer to WORK_PING */
  WORK_TAKEN = 6,     /* from the owner: all pieces of an order are in calls */
  WORK_EVICTABLE = 7, /* to the owner: results that may be evicted where room is short */
  WORK_BOOK = 8,      /* to the owner: a stage is booked */
  WORK_UNBOOK = 9,    /* to the owner: a booking is cancelled */
  WORK_BUSY = 10,     /* from the owner: a booked stage could not be in time */
  WORK_MESSAGE_COUNT
};

struct work_owner
{
  char name[ROUTING_NAME_SIZE];
  int64_t last_heard;
  int64_t suspect_until;
  uint32_t n_orders;
};

/* The part of a pool that one owner has, and the waits that it reported. */
struct work_shard
{
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  int64_t wait;
  int64_t smoothed_wait; /* beyond the expected time of an order */
  int64_t reported_at;
};

struct work
{
  struct work_config config;
  struct work_shard shards[WORK_SHARDS_MAX];
  uint32_t n_shards;
  struct peer_listener listener;
  struct timer ping;
  struct timer warm;
  struct work_owner owners[WORK_OWNERS_MAX];
  uint32_t n_owners;
  struct work_order *orders;
  struct work_booking *bookings;
  uint64_t last_number;
  struct counter *submitted;
  struct counter *resent;
  struct counter *failed;
};

/* ---- work_owner.c: who owns a pool, and where its pieces are made ---- */

struct work_owner *work_owner_find (struct work *work, const char *name);

/* The record of an owner, created on first use.  When the table is full it replaces one without
 * orders; NULL if there is none. */
struct work_owner *work_owner_get (struct work *work, const char *name);

/* The host with the highest score among those that reach the pool, or among all if none does; if
 * the pool is split, one in the targets' failure domain.  This host if no other is known to be
 * alive.  `unreaching`: owners that are known not to reach it; NULL for none. */
const char *work_owner_of (struct work *work,
                           const char *pool,
                           const char *domain,
                           const struct work_owner_list *unreaching,
                           int64_t now);

/* Records that the order's owner reaches no target of the pool.  Returns false if there is no other
 * owner to send it to. */
bool work_note_unreaching (struct work *work, struct work_order *order, int64_t now);

/* Adds `change` to the number of this host's orders at the owner. */
void work_owner_add_orders (struct work *work, const char *name, int change);

void work_owner_heard (struct work *work, const char *name, int64_t now);

/* Is the pool split by failure domain? */
bool work_pool_is_split (const struct work *work, const char *pool);

/* Chooses the shard of a pool to make pieces in, "" if it is not split: the wanted one, unless the
 * wait there is longer than at another by more than the cost of crossing domains.  Returns false,
 * and leaves `out` unchanged, if all shards have refused. */
bool work_choose_shard (struct work *work,
                        const char *pool,
                        const char *wanted,
                        const struct work_shard_list *refused,
                        char out[ROUTING_NAME_SIZE],
                        int64_t now);

/* Records that the shard refused.  Returns false if there is no other one to ask. */
bool work_note_refusal (struct work *work,
                        const char *request,
                        const char *pool,
                        const char *domain,
                        struct work_shard_list *refused);

/* Sets the order's `domain`: that of the targets which make its pieces. */
void work_choose_domain (struct work *work, struct work_order *order, int64_t now);

/* Records the waits that an owner reported, in microseconds. */
void work_note_wait (struct work *work,
                     const char *pool,
                     const char *domain,
                     int64_t wait,
                     int64_t smoothed_wait,
                     int64_t now);

/* ---- work_message.c ---- */

void work_message_begin (enum work_message type, struct bytes *out);

/* Sends and frees `out`. */
enum status work_message_send (struct work *work, const char *host, struct bytes *out);

/* Sends a message without a body. */
void work_message_send_short (struct work *work, const char *host, enum work_message type);

enum status work_message_send_run (struct work *work, const struct work_order *order, int64_t now);

void work_message_write_result (const struct stage_result *result, struct bytes *out);

bool work_message_read_result (struct pack_reader *in, struct stage_result *out);

/* ---- work_book.c ---- */

void work_book_handle_book (struct work *work,
                            struct pack_reader *in,
                            const char *from,
                            int64_t now);
void work_book_handle_unbook (struct work *work, struct pack_reader *in);
void work_book_handle_busy (struct work *work,
                            struct pack_reader *in,
                            const char *from,
                            int64_t now);
void work_book_drop_all (struct work *work);

/* Cancels what was booked in a shard with its owner. */
void work_book_cancel (struct work *work,
                       const char *owner,
                       const char *pool,
                       const char *domain,
                       const char *request,
                       uint32_t stage);

/* ---- work_remote.c: orders of other hosts, for pools that this host owns ---- */

void work_remote_run (struct work *work, struct pack_reader *in, const char *from, int64_t now);

void work_remote_cancel (struct work *work, struct pack_reader *in, const char *from, int64_t now);

/* Releases results for another host. */
void work_remote_release (struct work *work,
                          struct pack_reader *in,
                          enum batch_release how,
                          int64_t now);

#endif
