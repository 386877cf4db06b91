/* Measures the time from the proposal of a change until it is in force on every host, and the time
 * from the start of a voter and of a follower until its configuration is confirmed.
 *
 * Uses real processes on loopback; three are voters with real syncs.
 *
 *     in_force HOSTS CHANGES */
#include "launch.h"
#include <signal.h>
#include <stdlib.h>
#include <talloc.h>

#define CALL_TIMEOUT (20 * USEC_PER_SEC)
#define EXIT_TIMEOUT (30 * USEC_PER_SEC)

static int
compare (const void *a, const void *b)
{
  int64_t one = *(const int64_t *) a;
  int64_t other = *(const int64_t *) b;

  return (one > other) - (one < other);
}

static double
milliseconds (int64_t span)
{
  return (double) span / (double) USEC_PER_MSEC;
}

/* Propose one change at one host.  Returns false when it does not come into force on all hosts. */
static bool
propose_change (struct launch *launch, uint32_t host, uint32_t number, int64_t *span)
{
  struct loop *loop = caller_loop (launch->caller);
  int64_t begin = loop_now (loop);
  int code = 0;
  json_t *answer = call_json (launch->caller, launch->hosts[host].addresses[LAUNCH_OPERATORS],
                              "PUT", "/v1/organisations/probe?wait=10000",
                              json_pack ("{s:{s:f}}", "spec", "weight", 1 + number * 0.001),
                              CALL_TIMEOUT, &code);
  const json_t *in_force = json_object_get (answer, "inForce");
  bool good = (code == 200 || code == 201)
              && json_is_true (json_object_get (in_force, "everywhere"))
              && json_integer_value (json_object_get (in_force, "hosts")) == launch->n_hosts;

  *span = loop_now (loop) - begin;
  json_decref (answer);
  return good;
}

static void
measure_changes (struct launch *launch, uint32_t count)
{
  int64_t *spans = talloc_zero_array (launch, int64_t, count);
  uint32_t missed = 0;
  uint32_t i;

  INVARIANT (spans != NULL);
  for (i = 0; i < count; i++)
    if (!propose_change (launch, i % launch->n_hosts, i, &spans[i]))
      missed++;
  qsort (spans, count, sizeof *spans, compare);
  printf ("%u hosts, %u changes in turn: in force everywhere after p50 %.1f, p90 %.1f, p99 %.1f, "
          "max %.1f ms; %u were not in force everywhere\n",
          launch->n_hosts, count, milliseconds (spans[count / 2]),
          milliseconds (spans[count * 9 / 10]), milliseconds (spans[count * 99 / 100]),
          milliseconds (spans[count - 1]), missed);
  talloc_free (spans);
}

static void
measure_restart (struct launch *launch, uint32_t host, const char *what)
{
  struct loop *loop = caller_loop (launch->caller);
  int64_t begin;

  launch_signal (&launch->hosts[host].process, SIGKILL);
  if (!launch_wait_exit (launch, &launch->hosts[host].process, EXIT_TIMEOUT))
    return;
  begin = loop_now (loop);
  if (launch_start_host (launch, host) != STATUS_OK || launch_wait_healthy (launch) != STATUS_OK)
    printf ("restart of a %s: %s\n", what, status_message ());
  else
    printf ("restart of a %s: a confirmed configuration after %.0f ms\n", what,
            milliseconds (loop_now (loop) - begin));
}

int
main (int argc, char **argv)
{
  static const char *const domains[] = { "a", "b", "c" };
  uint32_t hosts = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 9;
  uint32_t changes = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : 500;
  struct launch *launch = launch_new (NULL);

  if (launch == NULL || hosts < LAUNCH_VOTERS || hosts > LAUNCH_HOSTS_MAX || changes == 0
      || launch_add_hosts (launch, hosts, domains, sizeof domains / sizeof *domains) != STATUS_OK
      || launch_start_hosts (launch) != STATUS_OK || launch_wait_healthy (launch) != STATUS_OK)
    {
      fprintf (stderr, "in_force HOSTS CHANGES, 3 to %d hosts: %s\n", LAUNCH_HOSTS_MAX,
               status_message ());
      talloc_free (launch);
      return 1;
    }
  measure_changes (launch, changes);
  measure_restart (launch, 1, "voter");
  if (hosts > LAUNCH_VOTERS)
    measure_restart (launch, hosts - 1, "follower");
  talloc_free (launch);
  return 0;
}
