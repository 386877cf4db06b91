/* Internal structures of the directory, shared by directory.c (calls of targets, expiry),
 * directory_entry.c (entries by name and on the board), directory_list.c (list of the targets of
 * this host), directory_sync.c (requests, answers and pushes sent), directory_receive.c (messages
 * received) and directory_ready.c (readiness after a start). */
#ifndef DIRECTORY_STATE_H
#define DIRECTORY_STATE_H

#include "directory.h"
#include "directory_wire.h"
#include "rng.h"
#include <uthash.h>

#define DIRECTORY_ENTRIES_MAX (2 * BOARD_TARGETS_MAX)

/* A target that neither renews nor leaves is removed from the board after this time. */
#define DIRECTORY_LAPSED_RETENTION (60 * USEC_PER_SEC)

/* A target's last incarnation and sequence are kept for this long after it is removed, so that a
 * replayed announcement is recognised as old. */
#define DIRECTORY_ENTRY_RETENTION (3600 * USEC_PER_SEC)

/* A removed target stays in its home's list as a tombstone for this long, so that other hosts learn
 * of the removal. */
#define DIRECTORY_TOMBSTONE_RETENTION (60 * USEC_PER_SEC)

/* This host requests load reports of targets on which it had work in flight within this time. */
#define DIRECTORY_USE_WINDOW (10 * USEC_PER_SEC)

struct directory_home;

/* What is known of a target, by name; outlives its entry on the board. */
struct directory_entry
{
  UT_hash_handle hh;
  char name[RESOURCE_NAME_SIZE];
  uint64_t incarnation;
  uint64_t sequence;
  enum directory_phase phase;
  struct directory_home *home; /* NULL: none; the entry only keeps incarnation and sequence */
  uint32_t slot;               /* in its home's list */
  struct handle target;        /* the none handle when it is not on the board */
  int64_t renewed_at; /* on the home: by the target; on other hosts: by an answer of the home */
  int64_t used_at;    /* when this host last had work in flight on it */
  int64_t changed_at;
  uint64_t next_cache_event; /* number of its next cache event, 0 before the first */
};

/* A host whose list this host replicates, or this host itself. */
struct directory_home
{
  UT_hash_handle hh; /* by name */
  char name[RESOURCE_NAME_SIZE];
  uint64_t epoch;   /* incarnation of its process */
  uint64_t version; /* its list is known up to this version */
  uint64_t base;    /* its version when reading the list began, or when it was last complete */
  uint32_t n_ready; /* entries that are ready or leaving */
  struct directory_entry **slots;
  uint32_t n_slots;
  int64_t next_request_at;
  uint32_t unanswered_requests; /* requests since its last answer */
  uint32_t interest_cursor;     /* slot at which the interest of the next request starts */
};

/* An item of this host's own list.  A removed target leaves a tombstone: `entry` is NULL, and
 * `name`, `incarnation`, `sequence` and `removed_at` are set. */
struct directory_item
{
  struct directory_item *prev;
  struct directory_item *next; /* by version */
  uint32_t slot;
  uint64_t version;
  struct directory_entry *entry;
  char name[RESOURCE_NAME_SIZE];
  uint64_t incarnation;
  uint64_t sequence;
  int64_t removed_at;
};

struct directory
{
  struct board *board;
  struct directory_wire *wire;
  struct directory_cache_sink *cache;
  struct rng rng;
  struct directory_entry *entries;
  struct directory_home *homes;
  struct directory_home *own_home;
  struct directory_item *items; /* this host's list, by version */
  struct directory_item **item_slots;
  uint32_t n_item_slots;
  uint64_t dropped_version; /* highest version of a tombstone dropped from this host's list */
  uint64_t pushed_version;  /* version of this host's list at the last push */
  int64_t ready_deadline;   /* the targets count as known from then on; 0 once they do */
  int64_t push_at;          /* USEC_NEVER when nothing changed since the last push */
  uint32_t load_cursor;
  struct counter *refused_outdated;
  struct counter *malformed;
  struct counter *lapsed;
  struct counter *cache_gaps;
  struct counter *messages_out;
  struct counter *bytes_out;
};

/* directory_entry.c */
struct directory_entry *directory_find_entry (const struct directory *directory, const char *name);

/* NULL when the directory is full. */
struct directory_entry *directory_add_entry (struct directory *directory, const char *name);

/* Compares an announcement with the known one: below, equal to or above 0 when it is older, the
 * same or newer. */
int directory_compare (const struct directory_entry *entry,
                       uint64_t incarnation,
                       uint64_t sequence);

/* Update the target on the board from the record, or add it; a new incarnation becomes a new target
 * there. */
enum status directory_update_target (struct directory *directory,
                                     struct directory_entry *entry,
                                     const struct directory_record *record,
                                     int64_t now);
void directory_remove_target (struct directory *directory,
                              struct directory_entry *entry,
                              int64_t now);

/* Add the entry to a home's list, or remove it; removing it ends its lease. */
enum status directory_attach (struct directory *directory,
                              struct directory_entry *entry,
                              struct directory_home *home,
                              uint32_t slot);
void directory_detach (struct directory *directory, struct directory_entry *entry, int64_t now);

/* Remove the entry from its home's list but keep its lease, which expires on its own: the home lost
 * its list, the target did not leave. */
void directory_detach_keep_lease (struct directory *directory,
                                  struct directory_entry *entry,
                                  int64_t now);
void directory_set_phase (struct directory *directory,
                          struct directory_entry *entry,
                          enum directory_phase phase,
                          int64_t now);
void directory_set_lease (struct directory *directory,
                          const struct directory_entry *entry,
                          int64_t until);

/* The entry's target on the board; NULL when there is none. */
struct board_target *directory_board_target (const struct directory *directory,
                                             const struct directory_entry *entry);

/* Whether a target in this phase counts in `n_ready` and holds a lease. */
bool directory_phase_has_lease (enum directory_phase phase);

/* directory_list.c */
enum status directory_list_add (struct directory *directory,
                                struct directory_entry *entry,
                                int64_t now);
void directory_list_mark_changed (struct directory *directory, uint32_t slot, int64_t now);
void directory_list_remove (struct directory *directory,
                            struct directory_entry *entry,
                            int64_t now);
void directory_list_tick (struct directory *directory, int64_t now);

/* directory_sync.c */
struct directory_home *directory_find_or_add_home (struct directory *directory, const char *name);
void directory_sync_tick (struct directory *directory, int64_t now);

/* Time until the next request to this home, in microseconds. */
int64_t directory_request_delay (struct directory *directory, const struct directory_home *home);

/* Answer a request for this host's own list. */
void directory_send_answer (struct directory *directory,
                            const char *host,
                            const struct directory_request_message *request,
                            int64_t now);

/* directory_ready.c */
void directory_ready_tick (struct directory *directory, int64_t now);

#endif
