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

/* A peer as settings name it: "name@ip:port" or "name@ip:port/Z85-public-key". */
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
  struct settings_peer seeds[SETTINGS_SEEDS_MAX]; /* hosts to ask at start */
  uint32_t n_seeds;
  struct settings_peer voters[SETTINGS_VOTERS_MAX]; /* the first voters, same on every host */
  uint32_t n_voters;

  /* [data] */
  char data_folder[SETTINGS_PATH_SIZE]; /* "" for a host without a disk */

  /* [keys] */
  char key_file[SETTINGS_PATH_SIZE]; /* made by keygen; "" turns CURVE off */
  char tls_certificate[SETTINGS_PATH_SIZE];
  char tls_key[SETTINGS_PATH_SIZE];
  char admin_token_hash[65]; /* hex; the first operator, "" leaves operators open */
  bool require_tokens;       /* callers must show an organisation's token */

  /* [limits] */
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t json_depth;
  uint32_t connections;            /* in all */
  uint32_t connections_per_caller; /* by IP address */
  uint32_t requests_in_flight;
  int64_t idle_timeout;
  int64_t body_timeout; /* for a whole request to arrive: slow senders */

  /* [entry] */
  int64_t list_keep;   /* how long a caller may keep the list of hosts */
  int64_t drain_bound; /* a shutdown ends by then */

  /* [claims] */
  int64_t claim_retention;
  uint32_t claim_answer_bytes;

  /* [log] */
  char log_file[SETTINGS_PATH_SIZE]; /* "" for standard error */
  enum log_level log_level;
  enum log_level module_levels[LOG_MODULE_COUNT];
};

/* Read and check `path`.  On failure status_message() gives file, line, key and what was
 * expected. */
enum status settings_load (const char *path, struct settings *out);

/* The same, with every problem found appended to `problems`, one a line; the status and its message
 * are of the first. */
enum status settings_check (const char *path, struct settings *out, struct bytes *problems);

/* Read from memory; `name` stands for the file in messages and `problems` may be NULL. */
enum status settings_parse (const char *name,
                            const char *text,
                            size_t length,
                            struct settings *out,
                            struct bytes *problems);

/* Every key at its default, and "" where there is none. */
void settings_default (struct settings *out);

/* The keys as a table in Markdown, for docs/SETTINGS.md. */
void settings_write_table (struct bytes *out);

END_DECLS

#endif
