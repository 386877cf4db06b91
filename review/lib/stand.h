/* Stand-ins for the platform, callers, targets and the operator, for one small deployment on
 * loopback addresses.  Blocking sockets and threads; everything ends with stand_finish(). */
#ifndef STAND_H
#define STAND_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define FRONT_PORT 8625
#define READY_PORT 8621
#define CONTROL_PORT 8628
#define LIST_PORT 8620
#define HOSTS_MAX 16
#define TEXT_MAX 65536

/* ---- the run ---- */

/* Reads TROUBLE, opens record.txt in the folder of the case, chooses free loopback addresses. */
void stand_begin (const char *case_folder);
bool stand_has_trouble (void);

/* Ends all processes, removes the temporary folder, exits: 1 broken, 0 held, 2 could not run. */
_Noreturn void stand_finish (int code);
_Noreturn void stand_cannot_run (const char *why);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
int64_t now_ms (void);
int64_t unix_ms (void);
void sleep_ms (int64_t ms);
void start_thread (void *(*run) (void *), void *argument);

/* ---- hosts ---- */

struct host
{
  char name[32];
  char ip[48];
  char zone[16];
  bool controller;
  pid_t pid; /* 0: ended or not started */
  bool started_before;
  int ended_by_itself;     /* how often it ended though nobody ended it */
  int64_t ended_at;        /* the newest such end */
  int64_t disturbed_until; /* signals were sent to it until then */
  bool ending;             /* it is being ended by the platform */
};

extern struct host hosts[HOSTS_MAX];
extern int n_hosts;

/* Controllers first, in zones a, b, c; then the entry hosts.  Waits until a configuration can be
 * sent.  A host that ends by itself is started again after half a second, as the platform does. */
void stand_start_hosts (int n_controllers, int n_entries);
void host_signal (struct host *host, int signal);
void host_start (struct host *host);
struct host *entry_host (int i);
struct host *controller (int i);
int n_entry_hosts (void);
/* Resident memory in MB; 0 if it does not run. */
int host_memory_mb (const struct host *host);

/* ---- HTTP ---- */

struct message
{
  char start[1024]; /* the first line */
  int status;       /* of a response */
  char method[16];
  char path[512];
  char head[16384]; /* all fields, with their line ends */
  char *body;       /* malloc'd, with a NUL */
  size_t length;
  bool whole;
  bool close; /* the connection ends after it */
};

/* A buffered connection. */
struct conn
{
  int fd;
  char data[TEXT_MAX];
  size_t used;
};

int dial (const char *ip, int port, int64_t timeout);
bool send_all (int fd, const void *data, size_t length);
/* Reads a head; false at an end or after `timeout` ms. */
bool read_head (struct conn *conn, struct message *out, bool response, int64_t timeout);
/* Reads the rest of the message whose head was read. */
bool read_body (struct conn *conn, struct message *out, bool response, int64_t timeout);
void message_clear (struct message *message);
/* Reads one line of a chunked body, without its end; false at the end (`*ended`) or on a failure.
 */
const char *field (const struct message *message, const char *name, char *out, size_t size);
/* One call on a new connection; the status, 0 without a whole answer.  `body` may be NULL. */
int call_once (
    const char *ip, int port, const char *text, int64_t timeout, char *body, size_t size);
int post_json (const char *ip, int port, const char *path, const char *json, int64_t timeout);

/* ---- targets ---- */

struct target
{
  char id[32];
  char service[32];
  char version[32];
  char zone[16];
  char address[64];
  int port;
  int listener;
  int64_t born;
  uint64_t sequence;
  volatile bool quiet;    /* sends no heartbeats */
  volatile bool refusing; /* closes what connects: its process is down */
  void (*serve) (struct target *target, struct conn *conn, const struct message *request);
  int fds[1024];
  int n_fds;
  pthread_mutex_t lock;
};

struct target *target_new (const char *id,
                           const char *service,
                           const char *version,
                           const char *zone,
                           void (*serve) (struct target *, struct conn *, const struct message *));
/* Closes all its connections with a reset, as a process that ends does. */
void target_reset_all (struct target *target);
bool target_heartbeat (struct target *target);
bool target_is_addressed (const struct target *target,
                          struct conn *conn,
                          const struct message *request);

/* ---- the operator ---- */

/* Sends it until it is acknowledged; the time of that. */
int64_t operator_replace (const char *json, int64_t timeout);

#endif
