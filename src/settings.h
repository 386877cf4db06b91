/* The settings of a host, read from an INI file and checked. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "bytes.h"
#include "decls.h"
#include "log.h"
#include "resource.h"
#include "status.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define SETTINGS_SEEDS_MAX 16
#define SETTINGS_VOTERS_MAX 7
#define SETTINGS_PATH_SIZE 256

/* A peer, written as "name@ip:port" or "name@ip:port/Z85-public-key". */
struct settings_peer
{
  char name[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  char public_key[48];
};

struct settings
{
  /* [host] */
  char name[RESOURCE_NAME_SIZE];
  char domain[RESOURCE_NAME_SIZE];
  char region[RESOURCE_NAME_SIZE];

  /* [listen]: "ip:port", port 0 lets the kernel choose */
  char listen_callers[RESOURCE_ADDRESS_SIZE];
  char listen_operators[RESOURCE_ADDRESS_SIZE];
  char listen_targets[RESOURCE_ADDRESS_SIZE];
  char listen_peers[RESOURCE_ADDRESS_SIZE];

  /* [cluster] */
  struct settings_peer seeds[SETTINGS_SEEDS_MAX]; /* hosts to contact at start */
  uint32_t n_seeds;
  struct settings_peer voters[SETTINGS_VOTERS_MAX]; /* initial voters, the same on every host */
  uint32_t n_voters;

  /* [data] */
  char data_folder[SETTINGS_PATH_SIZE]; /* "" for a host without a disk */

  /* [keys] */
  char key_file[SETTINGS_PATH_SIZE]; /* made by keygen; "" disables CURVE */
  char tls_certificate[SETTINGS_PATH_SIZE];
  char tls_key[SETTINGS_PATH_SIZE];
  char admin_token_hash[65]; /* hex, of the first operator; "" for no authentication until an
                                operator resource exists */
  bool require_tokens;       /* callers must send an organisation's token */

  /* [limits] */
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t json_depth;
  uint32_t connections;            /* total */
  uint32_t connections_per_caller; /* per IP address */
  uint32_t client_memory_mb;       /* of all clients together, MiB */
  uint32_t requests_in_flight;
  int64_t idle_timeout; /* microseconds */
  int64_t body_timeout; /* microseconds in which a whole request must arrive; limits slow senders */

  /* [entry] */
  int64_t target_backoff_max; /* the longest backoff that a target is granted, microseconds */
  int64_t list_keep;          /* how long a caller may cache the list of hosts, microseconds */
  int64_t drain_bound;        /* time limit of a graceful shutdown, microseconds */

  /* [claims] */
  int64_t claim_retention; /* microseconds */
  uint32_t claim_answer_bytes;

  /* [log] */
  char log_file[SETTINGS_PATH_SIZE]; /* "" for standard error */
  enum log_level log_level;
  enum log_level module_levels[LOG_MODULE_COUNT];
};

/* Reads and checks the file at `path`.  On failure status_message() gives file, line, key and the
 * expected value. */
enum status settings_load (const char *path, struct settings *out);

/* Same as settings_load(), and appends every problem found to `problems`, one per line; the status
 * and its message are those of the first. */
enum status settings_check (const char *path, struct settings *out, struct bytes *problems);

/* Parses settings in memory; `name` is the file name used in messages.  `problems` may be NULL. */
enum status settings_parse (const char *name,
                            const char *text,
                            size_t length,
                            struct settings *out,
                            struct bytes *problems);

/* Sets every key to its default, and to zero or "" if it has none. */
void settings_set_defaults (struct settings *out);

/* Appends Markdown tables of the keys, as in docs/SETTINGS.md. */
void settings_write_table (struct bytes *out);

END_DECLS

#endif
