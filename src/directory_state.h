/* The directory's own structures, shared by its parts: directory.c (what targets say),
 * directory_entry.c (entries by name and on the board), directory_list.c (the list we are home of),
 * directory_sync.c and directory_told.c (between hosts). */
#ifndef DIRECTORY_STATE_H
#define DIRECTORY_STATE_H

#include "directory.h"
#include "directory_wire.h"
#include "rng.h"
#include <uthash.h>

#define DIRECTORY_ENTRIES_MAX (2 * BOARD_TARGETS_MAX)

/* A target that neither renews nor leaves is taken from the board after this. */
#define DIRECTORY_KEEP_LAPSED (60 * USEC_PER_SEC)

/* What a target last said is remembered for this long after it went, so that an old announcement
 * that is sent again is known to be old. */
#define DIRECTORY_REMEMBER (3600 * USEC_PER_SEC)

/* A target that ended stays in its home's list for this long, so that others hear of it. */
#define DIRECTORY_TOMBSTONE (60 * USEC_PER_SEC)

/* Work of ours on a target within this time makes us want its load reports. */
#define DIRECTORY_IN_USE (10 * USEC_PER_SEC)

struct directory_home;

/* What is known of a target, by name; outlives its place on the board. */
struct directory_entry
{
  UT_hash_handle hh;
  char name[RESOURCE_NAME_SIZE];
  uint64_t incarnation;
  uint64_t sequence;
  enum directory_phase phase;
  struct directory_home *home; /* NULL: has none, is only remembered */
  uint32_t slot;               /* in its home's list */
  struct handle target;        /* none when it is not on the board */
  int64_t renewed_at;          /* at home: by the target; elsewhere: by an answer of the home */
  int64_t used_at;             /* work of ours was last seen on it */
  int64_t changed_at;
  uint64_t cache_next; /* number of its next cache event, 0 before the first */
};

/* A host whose list we follow, or ourselves. */
struct directory_home
{
  UT_hash_handle hh; /* by name */
  char name[RESOURCE_NAME_SIZE];
  uint64_t epoch;   /* incarnation of its process */
  uint64_t version; /* we know its list up to here */
  uint64_t base;    /* its version when we began to read the list, or when we had all of it */
  uint32_t n_ready; /* entries that are ready or leaving */
  struct directory_entry **slots;
  uint32_t n_slots;
  int64_t ask_at;
  uint32_t unanswered;    /* questions since its last answer */
  uint32_t interest_turn; /* where the next question's interest starts */
};

/* A place in our own list.  A target that went leaves a tombstone: `entry` NULL and `last`. */
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
  int64_t gone_at;
};

struct directory
{
  struct board *board;
  struct directory_wire *wire;
  struct directory_cache_sink *cache;
  struct rng rng;
  struct directory_entry *entries;
  struct directory_home *homes;
  struct directory_home *ours;
  struct directory_item *items; /* our list, by version */
  struct directory_item **item_slots;
  uint32_t n_item_slots;
  uint64_t dropped; /* highest version of a tombstone that left our list */
  uint64_t pushed;  /* version of our list at the last push */
  int64_t ready_by; /* the board's targets count as known then, whoever is silent; 0 once they do */
  int64_t push_at;  /* USEC_NEVER when nothing changed since */
  uint32_t load_turn;
  struct counter *refused_old;
  struct counter *malformed;
  struct counter *lapsed;
  struct counter *cache_gaps;
  struct counter *messages_out;
  struct counter *bytes_out;
};

/* directory_entry.c */
struct directory_entry *directory_find (const struct directory *directory, const char *name);

/* NULL when the directory is full. */
struct directory_entry *directory_add (struct directory *directory, const char *name);

/* The order of a target's words: below, equal or above 0 as what is said is older, the same or
 * newer than what is known. */
int directory_compare (const struct directory_entry *entry,
                       uint64_t incarnation,
                       uint64_t sequence);

/* Bring the board's target up to what was said; a new incarnation is a new target there. */
enum status directory_show (struct directory *directory,
                            struct directory_entry *entry,
                            const struct directory_record *said,
                            int64_t now);
void directory_hide (struct directory *directory, struct directory_entry *entry, int64_t now);

/* Put the entry into a home's list, or take it out; out of any list it has no lease. */
enum status directory_attach (struct directory *directory,
                              struct directory_entry *entry,
                              struct directory_home *home,
                              uint32_t slot);
void directory_detach (struct directory *directory, struct directory_entry *entry, int64_t now);

/* Take it out of its home's list and leave it the lease it has, which ends by itself: the home lost
 * its list, the target did not leave. */
void directory_release (struct directory *directory, struct directory_entry *entry, int64_t now);
void directory_set_phase (struct directory *directory,
                          struct directory_entry *entry,
                          enum directory_phase phase,
                          int64_t now);
void directory_set_lease (struct directory *directory,
                          const struct directory_entry *entry,
                          int64_t until);

/* On the board; NULL when it is not there. */
struct board_target *directory_target_of (const struct directory *directory,
                                          const struct directory_entry *entry);

/* May a target in this phase get work? */
bool directory_counts_ready (enum directory_phase phase);

/* directory_list.c */
enum status directory_list_add (struct directory *directory,
                                struct directory_entry *entry,
                                int64_t now);
void directory_list_changed (struct directory *directory, uint32_t slot, int64_t now);
void directory_list_remove (struct directory *directory,
                            struct directory_entry *entry,
                            int64_t now);
void directory_list_tick (struct directory *directory, int64_t now);

/* directory_sync.c */
struct directory_home *directory_home_of (struct directory *directory, const char *name);
void directory_sync_tick (struct directory *directory, int64_t now);

/* Until the next question to a home that answered. */
int64_t directory_ask_span (struct directory *directory, const struct directory_home *home);

/* Answer a question about our own list. */
void directory_answer (struct directory *directory,
                       const char *host,
                       const struct directory_ask_message *question,
                       int64_t now);

/* directory_ready.c */
void directory_ready_tick (struct directory *directory, int64_t now);

#endif
