/* Hosts and fake targets as real processes on loopback, for the demo, the bench and tests.
 *
 * All files are in a temporary folder and all state is under one talloc parent: freeing the launch
 * ends every process and removes the folder. */
#ifndef LAUNCH_H
#define LAUNCH_H

#include "call.h"
#include "decls.h"
#include "resource.h"
#include "site.h"
#include "status.h"
#include <jansson.h>
#include <sys/types.h>

BEGIN_DECLS

#define LAUNCH_HOSTS_MAX 40
#define LAUNCH_POOLS_MAX 48
#define LAUNCH_VOTERS 3
#define LAUNCH_CONNECTIONS 4096
#define LAUNCH_PATH_SIZE 256

/* name, settings key */
#define LAUNCH_PORT_LIST(X)                                                                        \
  X (CALLERS, "callers")                                                                           \
  X (OPERATORS, "operators")                                                                       \
  X (TARGETS, "targets")                                                                           \
  X (PEERS, "peers")

enum launch_port
{
#define X(name, text) LAUNCH_##name,
  LAUNCH_PORT_LIST (X)
#undef X
      LAUNCH_PORT_COUNT
};

struct launch_process
{
  char name[RESOURCE_NAME_SIZE];
  pid_t pid; /* 0: not running */
  int exit_status;
};

struct launch_host
{
  struct launch_process process;
  char public_key[48]; /* "" if keys are not used */
  char domain[RESOURCE_NAME_SIZE];
  char addresses[LAUNCH_PORT_COUNT][RESOURCE_ADDRESS_SIZE];
};

/* One process of fake targets. */
struct launch_pool
{
  struct launch_process process;
  char control[RESOURCE_ADDRESS_SIZE];
  struct pool_spec spec;
  uint32_t targets;
};

struct launch
{
  char folder[LAUNCH_PATH_SIZE];
  char programs[LAUNCH_PATH_SIZE]; /* folder of the project's binaries */
  struct caller *caller;
  struct launch_host hosts[LAUNCH_HOSTS_MAX];
  uint32_t n_hosts;
  struct launch_pool pools[LAUNCH_POOLS_MAX];
  uint32_t n_pools;
  char extra_settings[1024]; /* appended to every host's settings file */
  uint32_t connections; /* of each host, also of one IP address; set before launch_add_hosts() */
  bool keys;            /* set before launch_add_hosts(): hosts pin each other's keys */
};

/* Options of a process of fake targets. */
struct launch_fakes
{
  struct pool_spec spec;
  uint32_t targets;
  const char *domains; /* "a,b,c" */
  double time_scale;
  bool reports_load;
  const char *hosts;       /* hosts' targets addresses to announce to, "a,b"; NULL: all hosts */
  const char *const *more; /* further arguments, NULL-terminated; may be NULL */
};

/* Programs are looked up in the running program's folder.  NULL on error, with status_message(). */
struct launch *launch_new (void *parent);

/* Reserve ports for `count` hosts and write their settings; domains are assigned round-robin. */
enum status launch_add_hosts (struct launch *launch,
                              uint32_t count,
                              const char *const *domains,
                              uint32_t n_domains);

/* Replace the host's key by one that differs from the key pinned by the others. */
enum status launch_replace_key (struct launch *launch, uint32_t host);

enum status launch_start_host (struct launch *launch, uint32_t host);
enum status launch_start_hosts (struct launch *launch);
enum status launch_start_fakes (struct launch *launch, const struct launch_fakes *fakes);

/* Wait until every running host reports that it is healthy. */
enum status launch_wait_healthy (struct launch *launch);

/* Wait until every running host may send work to `targets` targets. */
enum status launch_wait_targets (struct launch *launch, uint32_t targets);

/* Wait until all running hosts report the same revision. */
enum status launch_wait_revision (struct launch *launch);

/* Put one resource; takes the reference to `spec`. */
enum status launch_apply (struct launch *launch,
                          enum resource_kind kind,
                          const char *name,
                          json_t *spec);

/* Put all pools, pipelines, services and organisations of a site, with deadlines multiplied by
 * `time_scale`. */
enum status launch_apply_site (struct launch *launch, const struct site *site, double time_scale);
enum status launch_apply_pipeline (struct launch *launch, const struct pipeline_spec *spec);
enum status launch_apply_pool (struct launch *launch, const struct pool_spec *spec);

void launch_signal (struct launch_process *process, int signo);

/* Wait at most `timeout` us for the process to end.  False if it still runs. */
bool launch_wait_exit (struct launch *launch, struct launch_process *process, int64_t timeout);

/* Inject a fault (see docs/INTERFACES.md) into a process of fakes.  Takes the reference to
 * `fault`. */
enum status launch_inject_fault (struct launch *launch, const char *pool, json_t *fault);

/* Counters of all fakes: a new reference to an array of targets. */
json_t *launch_counts (struct launch *launch);

/* How often the pool's targets executed the request. */
uint32_t launch_executions (struct launch *launch, const char *pool, const char *request_id);

/* Number of targets a host may send new work to: ready and leased by it. */
uint32_t launch_usable_targets (struct launch *launch, uint32_t host);

/* Start the fakes of all the site's pools; `more` as in struct launch_fakes. */
enum status launch_start_site (struct launch *launch,
                               const struct site *site,
                               double time_scale,
                               const char *const *more);

END_DECLS

#endif
