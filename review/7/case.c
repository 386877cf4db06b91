/* Runners leave and start again under their ids, one after the other.  Then one controller loses its
 * disk, and the runners turn to the one that they had told of their leave. */
#include "../lib-2/stand.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_RUNNERS 2
#define CONTACT_MS 3000
#define RECOVER_MS 12000
#define LEAVE_MS 2500 /* DrainMs and a little longer: a runner that leaves serves on */
#define START_MS 1500 /* from the end of a runner to its start */
#define DOWN_MS 1400  /* of the controller that loses its disk; the largest down_s of the site */
#define PERIOD_MS 100 /* between two requests */

struct place
{
  struct stand_runner runner; /* the incarnation that lives at the address */
  volatile bool is_up;
  volatile int served;
  volatile int misdirected;
};

static struct stand_system site;
static struct place places[N_RUNNERS];

static char config[4096];

static const char config_format[] =
    "{\"Version\":%d,\"Routes\":[{\"Name\":\"r-status\",\"Host\":\"status.example\","
    "\"PathPrefix\":\"/status/\",\"Type\":\"idempotent\",\"TimeoutMs\":4000,\"ObjectiveMs\":300,"
    "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Phases\":[],\"Public\":false,"
    "\"Sticky\":false,\"Resumable\":false,\"GapObjectiveMs\":0}],"
    "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":96,"
    "\"Protocol\":\"h1\",\"Tls\":false}],"
    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000},"
    "\"Tenants\":[{\"Name\":\"tenant-1\",\"ApiKeys\":[\"key-1-of-tenant-1\"],\"Priority\":1}]}";

/* ---- runners ---- */

static bool
run_request (void *user, struct stand_connection *connection, const struct stand_message *request)
{
  struct place *place = user;
  char attempt[64] = "";
  char expected[64] = "";
  char answer[512];
  int n;

  if (!place->is_up)
    {
      stand_reset (connection);
      return false;
    }
  stand_header (request, "X-Attempt-Id", attempt, sizeof attempt);
  if (stand_header (request, "X-Expect-Instance", expected, sizeof expected)
      && strcmp (expected, place->runner.id) != 0)
    {
      place->misdirected++;
      stand_note ("runner %s: 421 to %s, which is for %s", place->runner.id, attempt, expected);
      n = snprintf (answer, sizeof answer,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\n"
                    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    attempt);
      return stand_write (connection, answer, (size_t) n);
    }
  stand_sleep_ms (15);
  place->served++;
  n = snprintf (answer, sizeof answer,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s.%s\r\n"
                "Content-Length: 3\r\n\r\nok\n",
                attempt, attempt);
  return stand_write (connection, answer, (size_t) n);
}

static void
start_incarnation (struct place *place, int controller)
{
  char id[17];

  stand_id (id);
  snprintf (place->runner.id, sizeof place->runner.id, "i-%.10s", id);
  place->runner.born = stand_unix_ms ();
  place->runner.sequence = 0;
  place->runner.controller = controller;
  place->is_up = true;
}

static void
add_runner (struct place *place, int number)
{
  struct stand_runner *runner = &place->runner;

  runner->system = &site;
  runner->slots = 6;
  snprintf (runner->service, sizeof runner->service, "desk");
  snprintf (runner->zone, sizeof runner->zone, "z-a");
  snprintf (runner->version, sizeof runner->version, "v1");
  snprintf (runner->ip, sizeof runner->ip, "%s", stand_ip (101 + number));
  stand_serve (runner->ip, STAND_RUNNER_PORT, run_request, place);
  start_incarnation (place, 0);
  stand_note ("runner %s starts at %s", runner->id, runner->ip);
  stand_begin_heartbeats (runner);
}

/* ---- clients ---- */

/* Sends requests for that long, to the entry hosts in turn; the share that is served. */
static double
send_requests (int64_t span_ms, const char *what)
{
  int64_t until = stand_now_ms () + span_ms;
  int statuses[600] = { 0 };
  int n = 0;

  for (; stand_now_ms () < until; n++)
    {
      struct stand_process *entry = &site.entries[n % site.n_entries];
      char fields[512];
      char id[17];
      int status;

      stand_id (id);
      snprintf (fields, sizeof fields,
                "Host: status.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n"
                "X-Credential: key-1-of-tenant-1\r\n",
                id);
      {
        struct stand_connection connection;
        struct stand_message answer = { 0 };
        char head[1024];
        int length = snprintf (head, sizeof head, "GET /status/%s HTTP/1.1\r\n%s\r\n", id, fields);

        status = 0;
        if (stand_dial (&connection, stand_ip (entry->machine), STAND_CLIENT_PORT))
          {
            if (stand_write (&connection, head, (size_t) length)
                && stand_read (&connection, true, 4500, &answer))
              status = answer.status;
            stand_hang_up (&connection);
          }
        stand_message_clear (&answer);
      }
      statuses[status < 600 ? status : 0]++;
      if (status != 200)
        stand_note ("client: %s at %s: %d", id, entry->name, status);
      stand_sleep_ms (PERIOD_MS);
    }
  for (int i = 0; i < 600; i++)
    if (statuses[i] > 0)
      stand_note ("%s: %d of %d requests ended with %d", what, statuses[i], n, i);
  return n == 0 ? 0 : (double) statuses[200] / n;
}

/* ---- the case ---- */

/* A runner leaves in order, ends and starts again under its id and at its address. */
static void
restart_in_place (struct place *place, int controller)
{
  struct stand_runner *runner = &place->runner;
  char target[128];
  int status;

  snprintf (target, sizeof target, "/v1/instances/%.31s/deregister", runner->id);
  status = stand_call (stand_ip (site.controllers[controller].machine), STAND_CONTROL_PORT, "POST",
                       target, "", NULL, 0, 1000, NULL);
  stand_note ("runner %s leaves: controller %d answers %d", runner->id, controller + 1, status);
  runner->beats = false;
  stand_sleep_ms (LEAVE_MS);
  place->is_up = false;
  stand_note ("runner %s ends", runner->id);
  stand_sleep_ms (START_MS);
  runner->born = stand_unix_ms ();
  runner->sequence = 0;
  runner->controller = 0;
  place->is_up = true;
  stand_note ("runner %s starts again, born %lld", runner->id, (long long) runner->born);
  stand_begin_heartbeats (runner);
  stand_sleep_ms (CONTACT_MS);
}

static bool
configure (int version)
{
  snprintf (config, sizeof config, config_format, version);
  return stand_configure (&site, config, 15000);
}

int
main (int argc, char **argv)
{
  double before;
  double after;

  if (argc != 2 || !stand_open (argv[1], 110))
    return STAND_COULD_NOT_RUN;
  stand_start_system (&site, 3, 2, 260);
  if (!configure (3))
    stand_exit (STAND_COULD_NOT_RUN, "the configuration was not acknowledged");
  for (int i = 0; i < N_RUNNERS; i++)
    add_runner (&places[i], i);
  for (int i = 0; i < site.n_entries; i++)
    if (!stand_wait_ready (&site.entries[i], 10000))
      stand_exit (STAND_COULD_NOT_RUN, "%s is not ready", site.entries[i].name);
  stand_sleep_ms (CONTACT_MS);
  before = send_requests (6000, "before");
  if (before < 0.9)
    stand_exit (STAND_COULD_NOT_RUN, "only %.0f in 100 were served before", 100 * before);
  for (int i = 0; i < N_RUNNERS; i++)
    restart_in_place (&places[i], 1);
  before = send_requests (6000, "after the restarts");
  if (before < 0.9)
    stand_exit (STAND_COULD_NOT_RUN, "only %.0f in 100 were served after the restarts",
                100 * before);
  if (!configure (5))
    stand_exit (STAND_COULD_NOT_RUN, "the change was not acknowledged");
  if (stand_trouble ())
    stand_wipe (&site, &site.controllers[0], DOWN_MS);
  stand_note ("waits for RecoverS");
  stand_sleep_ms (RECOVER_MS + 1000);
  after = send_requests (15000, "after");
  for (int i = 0; i < N_RUNNERS; i++)
    stand_note ("runner %s: lives, renews %s, served %d, 421 to %d", places[i].runner.id,
                places[i].runner.beats ? "yes" : "no", places[i].served, places[i].misdirected);
  stand_exit (after < 0.25 ? STAND_BROKEN : STAND_HELD,
              "RECOVER: %.0f in 100 served before, %.0f in 100 later than RecoverS after",
              100 * before, 100 * after);
}
