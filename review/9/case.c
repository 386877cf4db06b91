/* Runners say that they are brittle: one that has to turn more than so many requests away in a
 * second falls over.  In a burst they fall over one after the other, with all that they run. */
#include "../lib-2/stand.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTACT_MS 3000
#define N_RUNNERS 5
#define SLOTS 2
#define WAITING_MAX 2 /* requests that a runner lets wait */
#define BRITTLE 3     /* Server-Brittle: requests a second that it can turn away */
#define WORK_MS 300
#define BACK_MS 2000 /* until a runner that fell over is back */
#define PER_SEC 20   /* usual requests; the runners can run 33 */
#define BURST_X 2.6
#define BURST_MS 6500
#define CALM_MS 6000
#define DEADLINE_MS 4000
#define REQUESTS_MAX 2000
#define REJECTED_KEPT 64

struct runner
{
  struct stand_runner runner;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  int number;
  int generation; /* counts its starts */
  bool is_up;
  int running;
  int waiting;
  int64_t rejected[REJECTED_KEPT]; /* times */
  int n_rejected;
};

struct request
{
  char id[17];
  volatile bool began;
  volatile bool cut; /* its runner fell over while it ran */
  volatile int status;
};

static struct stand_system site;
static struct runner runners[N_RUNNERS];
static struct request requests[REQUESTS_MAX];
static int n_requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool is_brittle;
static volatile int n_falls;

static const char config[] =
    "{\"Version\":3,\"Routes\":[{\"Name\":\"r-intake\",\"Host\":\"intake.example\","
    "\"PathPrefix\":\"/intake/\",\"Type\":\"non_idempotent\",\"TimeoutMs\":4000,"
    "\"ObjectiveMs\":1000,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1,\"Phases\":[],"
    "\"Public\":false,\"Sticky\":false,\"Resumable\":false,\"GapObjectiveMs\":0}],"
    "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":96,"
    "\"Protocol\":\"h1\",\"Tls\":false}],"
    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000},"
    "\"Tenants\":[{\"Name\":\"tenant-1\",\"ApiKeys\":[\"key-1-of-tenant-1\"],\"Priority\":1}]}";

static struct request *
find_request (const char *id)
{
  struct request *found = NULL;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < n_requests && found == NULL; i++)
    if (strcmp (requests[i].id, id) == 0)
      found = &requests[i];
  pthread_mutex_unlock (&lock);
  return found;
}

/* ---- runners ---- */

static void *
start_again (void *argument)
{
  struct runner *runner = argument;
  char id[17];

  stand_sleep_ms (BACK_MS);
  stand_id (id);
  pthread_mutex_lock (&runner->lock);
  snprintf (runner->runner.id, sizeof runner->runner.id, "i-%.10s", id);
  runner->runner.born = stand_unix_ms ();
  runner->runner.sequence = 0;
  runner->n_rejected = 0;
  runner->is_up = true;
  pthread_mutex_unlock (&runner->lock);
  stand_note ("runner %d is back as %s", runner->number, runner->runner.id);
  stand_begin_heartbeats (&runner->runner);
  return NULL;
}

/* All that it runs and lets wait ends with it.  The lock is held. */
static void
fall_over (struct runner *runner)
{
  pthread_t thread;

  stand_note ("runner %d falls over: %d requests turned away in a second, %d allowed; it runs %d",
              runner->number, runner->n_rejected, BRITTLE, runner->running);
  runner->is_up = false;
  runner->generation++;
  runner->running = 0;
  runner->waiting = 0;
  runner->runner.beats = false;
  n_falls++;
  pthread_cond_broadcast (&runner->changed);
  pthread_create (&thread, NULL, start_again, runner);
  pthread_detach (thread);
}

/* Counts a rejection; false if the runner falls over for it.  The lock is held. */
static bool
note_rejection (struct runner *runner)
{
  int64_t now = stand_now_ms ();
  int kept = 0;

  for (int i = 0; i < runner->n_rejected; i++)
    if (now - runner->rejected[i] < 1000)
      runner->rejected[kept++] = runner->rejected[i];
  runner->n_rejected = kept;
  if (kept < REJECTED_KEPT)
    runner->rejected[runner->n_rejected++] = now;
  if (!is_brittle || runner->n_rejected <= BRITTLE)
    return true;
  fall_over (runner);
  return false;
}

static void
wait_until (struct runner *runner, int64_t at, int generation)
{
  while (runner->generation == generation && stand_now_ms () < at)
    {
      pthread_mutex_unlock (&runner->lock);
      stand_sleep_ms (5);
      pthread_mutex_lock (&runner->lock);
    }
}

enum end
{
  SERVED,
  FULL,
  FALLEN,
};

static enum end
run (struct runner *runner, struct request *request)
{
  int generation = runner->generation;

  if (runner->running >= SLOTS && runner->waiting >= WAITING_MAX)
    return note_rejection (runner) ? FULL : FALLEN;
  runner->waiting++;
  while (runner->generation == generation && runner->running >= SLOTS)
    pthread_cond_wait (&runner->changed, &runner->lock);
  if (runner->generation != generation)
    return FALLEN;
  runner->waiting--;
  runner->running++;
  if (request != NULL)
    request->began = true;
  wait_until (runner, stand_now_ms () + WORK_MS, generation);
  if (runner->generation != generation)
    {
      if (request != NULL)
        request->cut = true;
      return FALLEN;
    }
  runner->running--;
  pthread_cond_broadcast (&runner->changed);
  return SERVED;
}

static bool
serve (void *user, struct stand_connection *connection, const struct stand_message *message)
{
  struct runner *runner = user;
  char attempt[64] = "";
  char expected[64] = "";
  char brittle[64] = "";
  char answer[512];
  enum end end;
  bool is_mine;
  int n;

  stand_header (message, "X-Attempt-Id", attempt, sizeof attempt);
  pthread_mutex_lock (&runner->lock);
  if (!runner->is_up)
    {
      pthread_mutex_unlock (&runner->lock);
      stand_reset (connection);
      return false;
    }
  is_mine = !stand_header (message, "X-Expect-Instance", expected, sizeof expected)
            || strcmp (expected, runner->runner.id) == 0;
  end = is_mine ? run (runner, find_request (attempt)) : FULL;
  pthread_mutex_unlock (&runner->lock);
  if (end == FALLEN)
    {
      stand_reset (connection);
      return false;
    }
  if (is_brittle)
    snprintf (brittle, sizeof brittle, "Server-Brittle: %d\r\n", BRITTLE);
  if (end == SERVED)
    n = snprintf (answer, sizeof answer,
                  "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s.%s\r\n%s"
                  "Content-Length: 3\r\n\r\nok\n",
                  attempt, attempt, brittle);
  else
    n = snprintf (answer, sizeof answer,
                  "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n%s"
                  "Content-Length: 0\r\n\r\n",
                  is_mine ? "503 Service Unavailable" : "421 Misdirected Request", attempt, brittle);
  return stand_write (connection, answer, (size_t) n);
}

static void
add_runner (struct runner *runner, int number)
{
  char id[17];

  stand_id (id);
  pthread_mutex_init (&runner->lock, NULL);
  pthread_cond_init (&runner->changed, NULL);
  runner->number = number + 1;
  runner->is_up = true;
  runner->runner.system = &site;
  runner->runner.slots = SLOTS;
  runner->runner.born = stand_unix_ms ();
  runner->runner.controller = number;
  snprintf (runner->runner.id, sizeof runner->runner.id, "i-%.10s", id);
  snprintf (runner->runner.service, sizeof runner->runner.service, "desk");
  snprintf (runner->runner.zone, sizeof runner->runner.zone, "z-a");
  snprintf (runner->runner.version, sizeof runner->runner.version, "v1");
  snprintf (runner->runner.ip, sizeof runner->runner.ip, "%s", stand_ip (101 + number));
  stand_serve (runner->runner.ip, STAND_RUNNER_PORT, serve, runner);
  stand_begin_heartbeats (&runner->runner);
}

/* ---- clients ---- */

static void *
send_request (void *argument)
{
  struct request *request = argument;
  struct stand_process *entry = &site.entries[(request - requests) % site.n_entries];
  struct stand_connection connection;
  struct stand_message answer = { 0 };
  char head[1024];
  int n = snprintf (head, sizeof head,
                    "POST /intake/%s HTTP/1.1\r\nHost: intake.example\r\nX-Attempt-Id: %s\r\n"
                    "X-Deadline-Ms: %d\r\nX-Credential: key-1-of-tenant-1\r\n"
                    "Content-Length: 4\r\n\r\nbody",
                    request->id, request->id, DEADLINE_MS);

  if (stand_dial (&connection, stand_ip (entry->machine), STAND_CLIENT_PORT))
    {
      if (stand_write (&connection, head, (size_t) n))
        stand_read (&connection, true, DEADLINE_MS + 500, &answer);
      stand_hang_up (&connection);
    }
  request->status = answer.status;
  stand_message_clear (&answer);
  return NULL;
}

static void
send_requests (int64_t span_ms, double per_sec)
{
  int64_t begun = stand_now_ms ();

  for (int i = 0; i < (int) (per_sec * (double) span_ms / 1000); i++)
    {
      struct request *request;
      pthread_t thread;

      stand_sleep_ms (begun + (int64_t) (1000 * i / per_sec) - stand_now_ms ());
      pthread_mutex_lock (&lock);
      if (n_requests == REQUESTS_MAX)
        stand_exit (STAND_COULD_NOT_RUN, "too many requests");
      request = &requests[n_requests];
      stand_id (request->id);
      n_requests++;
      pthread_mutex_unlock (&lock);
      pthread_create (&thread, NULL, send_request, request);
      pthread_detach (thread);
    }
}

int
main (int argc, char **argv)
{
  int statuses[600] = { 0 };
  int n_cut = 0;

  if (argc != 2 || !stand_open (argv[1], 110))
    return STAND_COULD_NOT_RUN;
  stand_start_system (&site, 3, 2, 260);
  if (!stand_configure (&site, config, 15000))
    stand_exit (STAND_COULD_NOT_RUN, "the configuration was not acknowledged");
  for (int i = 0; i < N_RUNNERS; i++)
    add_runner (&runners[i], i);
  for (int i = 0; i < site.n_entries; i++)
    if (!stand_wait_ready (&site.entries[i], 10000))
      stand_exit (STAND_COULD_NOT_RUN, "%s is not ready", site.entries[i].name);
  stand_sleep_ms (CONTACT_MS);
  is_brittle = true;
  stand_note ("the runners say that they are brittle: Server-Brittle: %d", BRITTLE);
  send_requests (CALM_MS, PER_SEC);
  if (n_falls > 0)
    stand_exit (STAND_COULD_NOT_RUN, "a runner fell over under the usual load");
  if (stand_trouble ())
    stand_note ("burst: %.1f times the requests", BURST_X);
  send_requests (BURST_MS, PER_SEC * (stand_trouble () ? BURST_X : 1));
  send_requests (CALM_MS, PER_SEC);
  stand_sleep_ms (DEADLINE_MS + 1000);
  for (int i = 0; i < n_requests; i++)
    {
      statuses[requests[i].status < 600 ? requests[i].status : 0]++;
      if (requests[i].cut)
        {
          stand_note ("%s: cut off at a runner that fell over; its client got %d", requests[i].id,
                      requests[i].status);
          n_cut++;
        }
    }
  for (int i = 0; i < 600; i++)
    if (statuses[i] > 0)
      stand_note ("%d of %d requests ended with %d", statuses[i], n_requests, i);
  stand_exit (n_falls > 2 + 0.1 * N_RUNNERS ? STAND_BROKEN : STAND_HELD,
              "LIMIT: %d falls of %d brittle runners, %.1f allowed; %d requests that ran were cut "
              "off by them",
              n_falls, N_RUNNERS, 2 + 0.1 * N_RUNNERS, n_cut);
}
