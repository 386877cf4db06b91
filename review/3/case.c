/* Targets that are full ask for a short backoff, and some of them send a second copy of an answer,
 * late: it comes at the point where the answer to the next request on that connection is expected.
 * A request that may run once must not run twice, nor be reported as not run. */
#include "../lib/stand.h"
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES 6
#define SERVICES 12
#define TARGETS 2        /* of each service, with one slot each */
#define FAULTY 1         /* of the targets of each service */
#define EXTRA_SHARE 0.03 /* of the answers of a faulty target, while it is faulty */
#define FAULTY_MS 5000
#define SOUND_MS 200
#define ROUNDS 17
#define PERIOD_MS 1200 /* between two requests to a service at one entry host, in the mean */
#define IDS_MAX 100000

/* Targets differ in speed, and ask for backoffs (Retry-After, in seconds) to match. */
static const int work_ms[TARGETS] = { 150, 400 };
static const char *const backoffs[TARGETS] = { "0.2", "1" };

static atomic_int n_ids;
static atomic_bool stopping;
static atomic_bool faulty;
static atomic_int n_extra;
static atomic_int n_busy;
static atomic_int n_twice;
static atomic_int n_refused_but_run;
static atomic_int n_served;
static atomic_int n_sent;
static atomic_int runs[IDS_MAX];
static atomic_bool refused[IDS_MAX];
static atomic_int working[SERVICES][TARGETS];

/* ---- targets ---- */

/* The place of a target: "desk" SERVICE "-" NUMBER. */
static int
number_of (const struct target *target)
{
  return atoi (strchr (target->id, '-') + 1);
}

/* The copy of an answer that this connection still sends; "" for none. */
static __thread char extra[1024];

static void
reply (const struct target *target, struct conn *conn, const char *text)
{
  send_all (conn->fd, text, strlen (text));
  if (faulty && number_of (target) < FAULTY && (double) random () / (double) RAND_MAX < EXTRA_SHARE)
    snprintf (extra, sizeof extra, "%s", text);
}

static void
send_extra (const struct target *target, struct conn *conn)
{
  if (extra[0] == '\0')
    return;
  record ("%s sends a second copy of an answer: %.40s", target->id, extra);
  atomic_fetch_add (&n_extra, 1);
  send_all (conn->fd, extra, strlen (extra));
  extra[0] = '\0';
}

static void
note_run (const struct target *target, const char *id)
{
  int number = atoi (id + 1);

  record ("run %s at %s", id, target->id);
  if (atomic_fetch_add (&runs[number], 1) > 0)
    {
      record ("TWICE: %s runs again", id);
      atomic_fetch_add (&n_twice, 1);
    }
  if (refused[number])
    {
      record ("REFUSED: %s was answered as not run and runs", id);
      atomic_fetch_add (&n_refused_but_run, 1);
    }
}

static void
serve (struct target *target, struct conn *conn, const struct message *request)
{
  atomic_int *busy = &working[atoi (target->id + 4)][number_of (target)];
  char id[64];
  char text[512];

  send_extra (target, conn);
  if (!target_is_addressed (target, conn, request))
    return;
  field (request, "x-attempt-id", id, sizeof id);
  if (atomic_fetch_add (busy, 1) >= 1)
    {
      atomic_fetch_sub (busy, 1);
      atomic_fetch_add (&n_busy, 1);
      record ("%s turns %s away", target->id, id);
      snprintf (text, sizeof text,
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\n"
                "X-Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
                id, target->id, backoffs[number_of (target)]);
      reply (target, conn, text);
      return;
    }
  note_run (target, id);
  sleep_ms (work_ms[number_of (target)]);
  atomic_fetch_sub (busy, 1);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            id, target->id, strlen (id), id);
  reply (target, conn, text);
}

/* ---- callers ---- */

struct caller
{
  struct host *host;
  int service;
};

static void *
call_order (void *argument)
{
  const struct caller *caller = argument;
  const struct host *host = caller->host;
  int number = atomic_fetch_add (&n_ids, 1);
  char text[512];
  int status;

  snprintf (text, sizeof text,
            "POST /order%d/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: o%d\r\n"
            "X-Deadline-Ms: 6000\r\nX-Credential: key1\r\nConnection: close\r\n"
            "Content-Length: 4\r\n\r\nbody",
            caller->service, number);
  record ("sent o%d to %s", number, host->name);
  status = call_once (host->ip, FRONT_PORT, text, 6500, NULL, 0);
  record ("answer o%d from %s: %d", number, host->name, status);
  atomic_fetch_add (&n_sent, 1);
  if (status == 200)
    atomic_fetch_add (&n_served, 1);
  if (status != 503 && status != 429)
    return NULL;
  refused[number] = true;
  if (runs[number] > 0)
    {
      record ("REFUSED: o%d is answered as not run and has run", number);
      atomic_fetch_add (&n_refused_but_run, 1);
    }
  return NULL;
}

static void *
send_orders (void *argument)
{
  while (!stopping)
    {
      start_thread (call_order, argument);
      sleep_ms (PERIOD_MS / 3 + random () % (PERIOD_MS * 4 / 3));
    }
  return NULL;
}

/* One route and one service for each number. */
static const char *
format_config (void)
{
  static char text[16384];

  strcpy (text, "{\"Version\":1,\"Routes\":[");
  for (int i = 0; i < SERVICES; i++)
    sprintf (text + strlen (text),
             "%s{\"Name\":\"order%d\",\"Host\":\"h.example\",\"PathPrefix\":\"/order%d/\","
             "\"Type\":\"non_idempotent\",\"TimeoutMs\":6000,\"ObjectiveMs\":3000,"
             "\"Priority\":2,\"Service\":\"desk%d\",\"MaxAttempts\":2,\"Public\":false}",
             i == 0 ? "" : ",", i, i, i);
  strcat (text, "],\"Services\":[");
  for (int i = 0; i < SERVICES; i++)
    sprintf (text + strlen (text),
             "%s{\"Name\":\"desk%d\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,"
             "\"Protocol\":\"h1\",\"Tls\":false}",
             i == 0 ? "" : ",", i);
  strcat (text, "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key1\"],\"Priority\":1}]}");
  return text;
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "a", "b", "c" };
  static struct caller callers[ENTRIES][SERVICES];
  char service[32];
  char id[32];

  stand_begin (argc > 1 ? argv[1] : ".");
  srandom ((unsigned) unix_ms ());
  atomic_store (&n_ids, 1);
  stand_start_hosts (3, ENTRIES);
  operator_replace (format_config (), 20000);
  for (int i = 0; i < SERVICES; i++)
    for (int j = 0; j < TARGETS; j++)
      {
        snprintf (service, sizeof service, "desk%d", i);
        snprintf (id, sizeof id, "desk%d-%d", i, j);
        target_new (id, service, "v1", zones[j % 3], serve);
      }
  sleep_ms (5000);
  for (int i = 0; i < ENTRIES; i++)
    for (int j = 0; j < SERVICES; j++)
      {
        callers[i][j] = (struct caller){ .host = entry_host (i), .service = j };
        start_thread (send_orders, &callers[i][j]);
      }
  sleep_ms (3000);
  for (int i = 0; i < ROUNDS; i++)
    {
      faulty = stand_has_trouble ();
      sleep_ms (FAULTY_MS);
      faulty = false;
      sleep_ms (SOUND_MS);
    }
  stopping = true;
  sleep_ms (3000);
  record ("SUM sent: %d, served: %d; turned away by targets: %d; second copies of answers: %d; "
          "run twice: %d; answered as not run though they ran: %d",
          (int) n_sent, (int) n_served, (int) n_busy, (int) n_extra, (int) n_twice,
          (int) n_refused_but_run);
  if (n_served < 100)
    stand_cannot_run ("too little was served");
  stand_finish (n_twice + n_refused_but_run > 0 ? 1 : 0);
}
