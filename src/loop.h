/* The single-threaded event loop of the process: the libwebsockets poll loop with the timer
 * service. */
#ifndef LOOP_H
#define LOOP_H

#include "decls.h"
#include "status.h"
#include "timer.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

struct loop;
struct lws_context;

struct loop_watch;

struct loop_watch_ops
{
  /* The descriptor is readable. */
  void (*readable) (struct loop_watch *watch, int64_t now);

  /* The descriptor is writable, as requested by loop_request_writable(); NULL where never
   * requested. */
  void (*writable) (struct loop_watch *watch, int64_t now);

  /* The loop closed an adopted descriptor after the peer hung up; NULL where none is adopted. */
  void (*hung_up) (struct loop_watch *watch, int64_t now);
};

/* Embedded in the structure that waits for a descriptor. */
struct loop_watch
{
  const struct loop_watch_ops *ops;
  void *slot; /* internal state of the loop */
};

struct loop_signal;

struct loop_signal_ops
{
  void (*raised) (struct loop_signal *handler, int signo, int64_t now);
};

struct loop_signal
{
  const struct loop_signal_ops *ops;
};

/* `connections_max` limits the accepted connections.  The descriptor limit of the process is
 * lowered to it plus a reserve, so that memory use does not depend on `ulimit -n`.  NULL with
 * status_message() on failure. */
struct loop *loop_new (void *parent, uint32_t connections_max);

/* As loop_new(), without TLS: the OpenSSL initialisation reads all certificates of the system,
 * which takes a host with a seventh of a core a quarter of a second at each start. */
struct loop *loop_new_without_tls (void *parent, uint32_t connections_max);

struct timer_service *loop_timers (struct loop *loop);

/* Reads the monotonic clock, in microseconds.  Only edges call it and pass `now` down. */
int64_t loop_now (const struct loop *loop);

/* The monotonic clock including the time the machine is suspended, in microseconds.  For the age of
 * rights that expire, which a suspended holder must not keep longer. */
int64_t loop_boottime (void);

uint32_t loop_connections_max (const struct loop *loop);

struct lws_context *loop_context (struct loop *loop);

/* Watches a descriptor for reading; the caller keeps ownership of it. */
enum status loop_watch_fd (struct loop *loop, struct loop_watch *watch, int fd);
void loop_unwatch (struct loop *loop, struct loop_watch *watch);

/* Watches a socket and takes ownership of it: loop_unwatch() has it closed in the next iteration.
 * On failure it is closed at once. */
enum status loop_adopt_socket (struct loop *loop, struct loop_watch *watch, int fd);

/* Requests one writable() call when the descriptor accepts data. */
void loop_request_writable (struct loop_watch *watch);

/* Calls `handler` from the loop when one of `signals` arrives.  One handler serves all signals. */
enum status loop_on_signal (struct loop *loop,
                            struct loop_signal *handler,
                            const int *signals,
                            int n_signals);

/* Runs until loop_stop(). */
void loop_run (struct loop *loop);
void loop_stop (struct loop *loop);

/* Runs one iteration, waiting for at most `wait` microseconds; for tests. */
void loop_run_once (struct loop *loop, int64_t wait);

END_DECLS

#endif
