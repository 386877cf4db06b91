/* Whether an attempt that has no answer yet is left for another target, or kept.
 *
 * Load that this answers: a pool whose targets all answer, but later than a fixed share of the
 * objective, from the start or for some seconds; and in the same pool one target that accepts
 * requests and never answers.  Silence of a target is evidence against it only if other targets of
 * its pool do better at the same time:
 *
 * - Until the attempt has taken longer than other targets take, by their complete answers, it is
 *   kept.
 * - Then it is kept while more of the other targets owe an answer for longer than that than have
 *   answered a request that was sent later.  This covers the time in which a pool turns slow, when
 *   no slow answer is complete yet.
 * - Else it is late: its target has failed, and the attempt is left if a retry is granted.
 *
 * State: a few numbers for each target on each host, from this host's own attempts; never shared
 * or stored.  No I/O and no clock: the time is an argument. */
#ifndef SLOW_ATTEMPT_H
#define SLOW_ATTEMPT_H

#include "decls.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* What one host has observed of one target. */
struct slow_target
{
  double mean;            /* time to the first byte of complete answers, us; 0: none yet */
  double deviation;       /* mean absolute deviation of it, us */
  int64_t newest_sent_at; /* when the newest request with a complete answer was sent */
  uint32_t waiting;       /* attempts without a byte of an answer */
  int64_t silent_since;   /* while `waiting`: it has owed an answer since, and begun none */
};

/* An attempt was sent. */
void slow_target_sent (struct slow_target *target, int64_t now);

/* The attempt's answer has begun, or the attempt ended without one. */
void slow_target_answers (struct slow_target *target, int64_t now);
void slow_target_ended (struct slow_target *target);

/* The answer to a request sent at `sent_at` is complete; its first byte came after `first` us. */
void slow_target_learn (struct slow_target *target, int64_t sent_at, int64_t first);

/* For how long the target has owed an answer and begun none; 0 while it owes none. */
int64_t slow_target_silence (const struct slow_target *target, int64_t now);

/* name, text */
#define SLOW_VERDICT_LIST(X)                                                                       \
  X (IN_TIME, "other targets take as long")                                                        \
  X (POOL_SLOW, "other targets owe answers for as long")                                           \
  X (LATE, "other targets answer sooner")

enum slow_verdict
{
#define X(name, text) SLOW_##name,
  SLOW_VERDICT_LIST (X)
#undef X
      SLOW_VERDICT_COUNT
};

const char *slow_verdict_text (enum slow_verdict verdict);

/* An attempt without a byte of its answer. */
struct slow_attempt
{
  const struct slow_target *target;
  int64_t sent_at;
  int64_t least; /* it is never late before it took this long, us */
};

struct slow_judgement
{
  enum slow_verdict verdict;
  double mean;        /* time of the other targets' answers, us; 0: not known */
  int64_t limit;      /* after its send, the attempt is longer than usual; us */
  uint32_t n_late;    /* other targets that owe an answer for longer than usual */
  uint32_t n_sooner;  /* other targets that answered a request that was sent later */
  int64_t look_again; /* when to judge again if it is kept */
};

/* `others`: the other targets of the pool that are in use. */
struct slow_judgement slow_attempt_judge (const struct slow_attempt *attempt,
                                          const struct slow_target *const *others,
                                          uint32_t n,
                                          int64_t now);

END_DECLS

#endif
