/* A request that crashes each runner that begins it is held back after the third crash.  All
 * processes are killed at one moment: what was held is forgotten, and it crashes runners anew. */
#include "../lib-2/stand.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTACT_MS 3000
#define N_RUNNERS 5
#define WORK_MS 100
#define CRASH_MS 50  /* from the begin of the request to the crash */
#define BACK_MS 2500 /* until a crashed runner is back */
#define DOWN_MS 1000 /* kill_all: all are back within a second */
#define POISON_MS 500
#define SOUND_MS 50 /* between two sound requests */
#define FIRST_MS 20000
#define LAST_MS 25000
#define LATE_MAX 3
#define REQUESTS_MAX 4000

struct runner
{
  struct stand_runner runner;
  pthread_mutex_t lock;
  int number;
  int generation; /* counts its ends */
  bool is_up;
  bool crashes; /* the request runs */
};

struct request
{
  char id[17];
  bool poison;
  volatile bool cut; /* its runner crashed while it ran */
  volatile int status;
};

static struct stand_system site;
static struct runner runners[N_RUNNERS];
static struct request requests[REQUESTS_MAX];
static int n_requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile int n_crashes;
static volatile int64_t third_at;
static volatile int64_t in_touch_from;
static volatile int n_late;
static volatile bool sends_poison;
static volatile bool is_over;

static const char config[] =
    "{\"Version\":3,\"Routes\":[{\"Name\":\"r-status\",\"Host\":\"status.example\","
    "\"PathPrefix\":\"/status/\",\"Type\":\"idempotent\",\"TimeoutMs\":4000,\"ObjectiveMs\":1000,"
    "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Phases\":[],\"Public\":false,"
    "\"Sticky\":false,\"Resumable\":false,\"GapObjectiveMs\":0},"
    "{\"Name\":\"r-intake\",\"Host\":\"intake.example\",\"PathPrefix\":\"/intake/\","
    "\"Type\":\"non_idempotent\",\"TimeoutMs\":4000,\"ObjectiveMs\":1000,\"Priority\":2,"
    "\"Service\":\"desk\",\"MaxAttempts\":1,\"Phases\":[],\"Public\":false,\"Sticky\":false,"
    "\"Resumable\":false,\"GapObjectiveMs\":0}],"
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

static struct request *
new_request (bool poison)
{
  struct request *request;

  pthread_mutex_lock (&lock);
  if (n_requests == REQUESTS_MAX)
    stand_exit (STAND_COULD_NOT_RUN, "too many requests");
  request = &requests[n_requests];
  stand_id (request->id);
  request->poison = poison;
  n_requests++;
  pthread_mutex_unlock (&lock);
  return request;
}

/* ---- runners ---- */

static void *
crash (void *argument)
{
  struct runner *runner = argument;
  char id[17];

  stand_sleep_ms (CRASH_MS);
  pthread_mutex_lock (&runner->lock);
  runner->is_up = false;
  runner->generation++;
  runner->runner.beats = false;
  n_crashes++;
  if (n_crashes == 3)
    third_at = stand_now_ms ();
  stand_note ("runner %d crashes: crash %d", runner->number, n_crashes);
  pthread_mutex_unlock (&runner->lock);
  stand_sleep_ms (BACK_MS);
  stand_id (id);
  pthread_mutex_lock (&runner->lock);
  snprintf (runner->runner.id, sizeof runner->runner.id, "i-%.10s", id);
  runner->runner.born = stand_unix_ms ();
  runner->runner.sequence = 0;
  runner->crashes = false;
  runner->is_up = true;
  pthread_mutex_unlock (&runner->lock);
  stand_begin_heartbeats (&runner->runner);
  return NULL;
}

/* The request reached a runner.  It counts where it was sent by a machine in touch, later than
 * ContactMs after the third crash. */
static void
note_poison (const struct runner *runner, const char *attempt)
{
  int64_t now = stand_now_ms ();
  bool late = third_at != 0 && now - third_at > CONTACT_MS && now >= in_touch_from;

  if (late)
    n_late++;
  stand_note ("runner %d: begins %s, which crashes it%s", runner->number, attempt,
              late ? ": late" : "");
}

/* Waits for the work to be done; false if the runner crashed meanwhile.  The lock is held. */
static bool
work (struct runner *runner, int64_t span_ms)
{
  int generation = runner->generation;
  int64_t until = stand_now_ms () + span_ms;

  while (runner->generation == generation && stand_now_ms () < until)
    {
      pthread_mutex_unlock (&runner->lock);
      stand_sleep_ms (5);
      pthread_mutex_lock (&runner->lock);
    }
  return runner->generation == generation;
}

static bool
serve (void *user, struct stand_connection *connection, const struct stand_message *message)
{
  struct runner *runner = user;
  char attempt[64] = "";
  char expected[64] = "";
  char answer[512];
  struct request *request;
  bool done;
  int n;

  stand_header (message, "X-Attempt-Id", attempt, sizeof attempt);
  request = find_request (attempt);
  pthread_mutex_lock (&runner->lock);
  if (!runner->is_up)
    {
      pthread_mutex_unlock (&runner->lock);
      stand_reset (connection);
      return false;
    }
  if (stand_header (message, "X-Expect-Instance", expected, sizeof expected)
      && strcmp (expected, runner->runner.id) != 0)
    {
      pthread_mutex_unlock (&runner->lock);
      n = snprintf (answer, sizeof answer,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\n"
                    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    attempt);
      return stand_write (connection, answer, (size_t) n);
    }
  if (request != NULL && request->poison)
    {
      pthread_t thread;

      note_poison (runner, attempt);
      if (!runner->crashes)
        {
          runner->crashes = true;
          pthread_create (&thread, NULL, crash, runner);
          pthread_detach (thread);
        }
      done = work (runner, 10000);
    }
  else
    done = work (runner, WORK_MS);
  pthread_mutex_unlock (&runner->lock);
  if (!done)
    {
      if (request != NULL && !request->poison)
        request->cut = true;
      stand_reset (connection);
      return false;
    }
  n = snprintf (answer, sizeof answer,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s.%s\r\n"
                "Content-Length: 3\r\n\r\nok\n",
                attempt, attempt);
  return stand_write (connection, answer, (size_t) n);
}

static void
add_runner (struct runner *runner, int number)
{
  char id[17];

  stand_id (id);
  pthread_mutex_init (&runner->lock, NULL);
  runner->number = number + 1;
  runner->is_up = true;
  runner->runner.system = &site;
  runner->runner.slots = 6;
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
  int n;

  if (request->poison)
    n = snprintf (head, sizeof head,
                  "GET /status/the-same HTTP/1.1\r\nHost: status.example\r\nX-Attempt-Id: %s\r\n"
                  "X-Deadline-Ms: 4000\r\nX-Credential: key-1-of-tenant-1\r\n\r\n",
                  request->id);
  else
    n = snprintf (head, sizeof head,
                  "POST /intake/%s HTTP/1.1\r\nHost: intake.example\r\nX-Attempt-Id: %s\r\n"
                  "X-Deadline-Ms: 4000\r\nX-Credential: key-1-of-tenant-1\r\n"
                  "Content-Length: 4\r\n\r\nbody",
                  request->id, request->id);
  if (stand_dial (&connection, stand_ip (entry->machine), STAND_CLIENT_PORT))
    {
      if (stand_write (&connection, head, (size_t) n))
        stand_read (&connection, true, 4500, &answer);
      stand_hang_up (&connection);
    }
  request->status = answer.status;
  stand_message_clear (&answer);
  return NULL;
}

static void *
send_all (void *poison)
{
  while (!is_over)
    {
      pthread_t thread;

      if (poison == NULL || sends_poison)
        {
          pthread_create (&thread, NULL, send_request, new_request (poison != NULL));
          pthread_detach (thread);
        }
      stand_sleep_ms (poison == NULL ? SOUND_MS : POISON_MS);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t threads[2];
  int n_before;
  int n_cut = 0;
  int n_lost = 0;

  if (argc != 2 || !stand_open (argv[1], 115))
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
  pthread_create (&threads[0], NULL, send_all, NULL);
  pthread_create (&threads[1], NULL, send_all, (void *) &sends_poison);
  sends_poison = true;
  stand_sleep_ms (FIRST_MS);
  if (third_at == 0)
    stand_exit (STAND_COULD_NOT_RUN, "the request crashed only %d runners", n_crashes);
  n_before = n_late;
  stand_note ("%d crashes, %d late sends so far", n_crashes, n_late);
  if (stand_trouble ())
    {
      sends_poison = false;
      stand_sleep_ms (1000);
      stand_kill_all (&site);
      stand_sleep_ms (DOWN_MS);
      stand_start_all (&site);
      in_touch_from = stand_now_ms () + 2 * CONTACT_MS;
      stand_sleep_ms (2 * CONTACT_MS + 1000);
      sends_poison = true;
      stand_note ("the request comes again");
    }
  stand_sleep_ms (LAST_MS);
  is_over = true;
  stand_sleep_ms (5000);
  for (int i = 0; i < n_requests; i++)
    if (requests[i].cut)
      {
        stand_note ("%s: a sound request, cut off by a crash; its client got %d", requests[i].id,
                    requests[i].status);
        n_cut++;
        n_lost += requests[i].status != 200 ? 1 : 0;
      }
  stand_exit (n_late > LATE_MAX ? STAND_BROKEN : STAND_HELD,
              "BUDGET: %d late sends before and %d after all were killed, %d allowed; %d crashes, "
              "which cut off %d sound requests, %d of them for good",
              n_before, n_late - n_before, LATE_MAX, n_crashes, n_cut, n_lost);
}
