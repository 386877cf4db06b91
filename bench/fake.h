/* A fake target: a model engine, a retriever, a plain service, behind docs/INTERFACES.md.
 *
 * It answers as answer.h says, takes as long as service_time.h says, announces itself, and fails
 * when it is told to.  Many live in one process. */
#ifndef FAKE_H
#define FAKE_H

#include "counter.h"
#include "decls.h"
#include "fake_cache.h"
#include "http.h"
#include "http_server.h"
#include "loop.h"
#include "resource.h"
#include "rng.h"
#include <jansson.h>

BEGIN_DECLS

#define FAKE_HOSTS_MAX 16

/* What all targets of a process share. */
struct fake_options
{
  enum stage_kind kind;
  const char *pool;
  const char *model;
  double time_scale;     /* of every service time; 0 answers at once */
  uint32_t slots;        /* 0: service_slots() */
  uint32_t queue_max;    /* calls that wait for a slot */
  uint32_t cache_blocks; /* of a generating target */
  uint32_t piece_tokens; /* tokens in one event of a stream */
  bool reports_load;
  bool checks_orders;
  int64_t report_interval; /* of load and cache events */
  int64_t report_lag;
  double report_drop; /* share of the reports that are lost */
  uint64_t seed;
  char hosts[FAKE_HOSTS_MAX][RESOURCE_ADDRESS_SIZE]; /* to announce to */
  uint32_t n_hosts;
};

/* What goes wrong, set by POST /v1/fault, until "recover". */
struct fake_fault
{
  double slow;   /* times the service time; 1 normal */
  bool refuse;   /* 503 with x-not-run */
  bool hang;     /* take the work and never answer */
  bool die;      /* close in the middle of the answer */
  bool twice;    /* the answer, or each piece, two times */
  bool other;    /* the answer carries another request's id */
  bool silent;   /* no renewals, no reports */
  int64_t late;  /* hold a finished answer for this long */
  int64_t times; /* calls the fault is for; 0: all */
};

struct fake_counts
{
  uint64_t calls; /* taken */
  uint64_t refused;
  uint64_t answered;
  uint64_t cancelled; /* the host went away or cancelled */
  uint64_t faults;    /* calls a fault spoilt */
  uint64_t announced;
  int64_t busy;                  /* slot time spent, not scaled back */
  int64_t wasted;                /* of that, on calls that were not answered */
  uint64_t after_leave;          /* calls that came after it said it leaves, by time since */
  int64_t last_call_after_leave; /* span from leave to the last new call */
};

struct fake_task;
struct fake_register;

struct fake_target
{
  struct http_route route; /* first: the route's callbacks cast back */
  const struct fake_options *options;
  struct loop *loop;
  struct http_client *client;
  struct http_server *server;
  struct rng rng;
  char name[RESOURCE_NAME_SIZE];
  char domain[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  struct fake_cache *cache;
  struct fake_fault fault;
  struct fake_counts counts;
  struct fake_task *waiting; /* by priority, then by arrival */
  struct fake_task *running;
  uint32_t n_waiting;
  uint32_t n_running;
  struct fake_execution *executions; /* by request id */
  struct fake_register *registration;
  uint64_t incarnation;
  uint64_t fence;  /* the highest of an order */
  int64_t left_at; /* 0 until it leaves */
};

/* Listens on `listen`, port 0 for one of the kernel's.  NULL with status_message(). */
struct fake_target *fake_target_new (void *parent,
                                     const struct fake_options *options,
                                     struct loop *loop,
                                     struct http_client *client,
                                     struct counters *counters,
                                     const char *name,
                                     const char *domain,
                                     const char *listen);

/* Apply a fault's JSON: STATUS_INVALID with a message on unknown fields. */
enum status fake_target_fault (struct fake_target *target, const json_t *fault, int64_t now);

/* Say to the host that it leaves; work in flight goes on. */
void fake_target_leave (struct fake_target *target, int64_t now);

/* A host took the leave, or there was none to tell. */
bool fake_target_left (const struct fake_target *target);

/* Nothing in flight. */
bool fake_target_idle (const struct fake_target *target);

/* Counts and executions, a new reference. */
json_t *fake_target_describe (const struct fake_target *target);

/* ---- parts, for each other ---- */

uint32_t fake_target_slots (const struct fake_target *target);

/* Takes the reference to `body`. */
void fake_reply_json (struct http_exchange *exchange, int code, json_t *body);

/* Take a call of the target's kind (fake_task.c). */
void fake_task_take (struct fake_target *target, struct http_exchange *exchange, int64_t now);
void fake_task_cancel (struct fake_target *target,
                       const char *id,
                       const char *attempt,
                       int64_t now);
/* Let go of calls that hang. */
void fake_task_release (struct fake_target *target, int64_t now);

/* The JSON of an answer that comes whole (fake_reply.c); false when the body is bad. */
bool fake_reply_whole (enum stage_kind kind, const char *body, size_t length, struct bytes *out);

/* Announce, renew, report, leave (fake_register.c). */
struct fake_register *fake_register_new (struct fake_target *target, int64_t now);
void fake_register_leave (struct fake_register *registration, int64_t now);
bool fake_register_announced (const struct fake_register *registration);
bool fake_register_left (const struct fake_register *registration);

END_DECLS

#endif
