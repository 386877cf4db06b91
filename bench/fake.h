/* A fake target (model engine, retriever or plain service) with the interface of
 * docs/INTERFACES.md.
 *
 * Its answers come from answer.h and its service times from service_time.h.  It announces itself to
 * the hosts and injects faults on request.  One process runs many of them. */
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

/* Options shared by all targets of a process. */
struct fake_options
{
  enum stage_kind kind;
  const char *pool;
  const char *model;
  double time_scale;     /* factor on every service time; 0: no delay */
  uint32_t slots;        /* 0: service_time_slots() */
  uint32_t queue_max;    /* max. calls that wait for a slot */
  uint32_t cache_blocks; /* prefix cache capacity of a generating target */
  uint32_t piece_tokens; /* tokens per event of a stream */
  bool reports_load;
  bool checks_orders;
  int64_t report_interval; /* of load and cache events */
  int64_t report_lag;
  double report_drop; /* fraction of the reports lost */
  uint64_t seed;
  char hosts[FAKE_HOSTS_MAX][RESOURCE_ADDRESS_SIZE]; /* hosts to announce to */
  uint32_t n_hosts;
};

/* Injected faults, set by POST /v1/fault and cleared by "recover". */
struct fake_fault
{
  double slow;   /* factor on the service time; 1: normal */
  bool refuse;   /* 503 with x-not-run */
  bool hang;     /* accept the call and never answer */
  bool die;      /* close in the middle of the answer */
  bool twice;    /* send the answer, or each piece, twice */
  bool other;    /* answer with another request's id */
  bool silent;   /* send no renewals and no reports */
  int64_t late;  /* delay of a finished answer */
  int64_t times; /* number of calls affected; 0: all */
};

struct fake_counts
{
  uint64_t calls; /* accepted */
  uint64_t refused;
  uint64_t answered;
  uint64_t cancelled; /* the host disconnected or cancelled */
  uint64_t faults;    /* calls affected by a fault */
  uint64_t announced;
  int64_t busy;                  /* slot time used, in us; includes time_scale */
  int64_t wasted;                /* part of it on calls not answered */
  uint64_t after_leave;          /* calls received after it announced its leave */
  int64_t last_call_after_leave; /* time from the leave to the last new call */
};

struct fake_task;
struct fake_register;

struct fake_target
{
  struct http_route route; /* must be first: the route's callbacks cast it back */
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
  uint64_t fence;  /* highest fence seen in an order */
  int64_t left_at; /* time of the leave; 0: none */
};

/* Listens on `listen`; port 0: assigned by the kernel.  NULL on error, with status_message(). */
struct fake_target *fake_target_new (void *parent,
                                     const struct fake_options *options,
                                     struct loop *loop,
                                     struct http_client *client,
                                     struct counters *counters,
                                     const char *name,
                                     const char *domain,
                                     const char *listen);

/* Apply a fault given as JSON.  STATUS_INVALID with a message on unknown fields. */
enum status fake_target_set_fault (struct fake_target *target, const json_t *fault, int64_t now);

/* Announce the leave to the host; calls in flight continue. */
void fake_target_leave (struct fake_target *target, int64_t now);

/* True if a host acknowledged the leave or there is no host to notify. */
bool fake_target_has_left (const struct fake_target *target);

/* True if no call is in flight. */
bool fake_target_is_idle (const struct fake_target *target);

/* Counters and executions; a new reference. */
json_t *fake_target_describe (const struct fake_target *target);

/* ---- shared by the files of the fake target ---- */

uint32_t fake_target_slots (const struct fake_target *target);

/* Takes the reference to `body`. */
void fake_reply_json (struct http_exchange *exchange, int code, json_t *body);

/* Accept a call of the target's kind (fake_task.c). */
void fake_task_accept (struct fake_target *target, struct http_exchange *exchange, int64_t now);
void fake_task_cancel (struct fake_target *target,
                       const char *id,
                       const char *attempt,
                       int64_t now);
/* Release the calls that a fault made hang. */
void fake_task_release_hung (struct fake_target *target, int64_t now);

/* The JSON of an answer that is not streamed (fake_reply.c).  False if the body is invalid. */
bool fake_reply_body (enum stage_kind kind, const char *body, size_t length, struct bytes *out);

/* Announce, renew, report, leave (fake_register.c). */
struct fake_register *fake_register_new (struct fake_target *target, int64_t now);
void fake_register_leave (struct fake_register *registration, int64_t now);
bool fake_register_is_announced (const struct fake_register *registration);
bool fake_register_has_left (const struct fake_register *registration);

END_DECLS

#endif
