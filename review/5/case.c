/* Many callers come at once.  Their bodies are within MaxBodyBytes; the targets take their time.
 * The platform ends a process that uses more than MemoryMb, and with it all that it had passed
 * on. */
#include "../lib/stand.h"
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ENTRIES 2
#define MEMORY_MB 260
#define BODY_BYTES 4000000 /* MaxBodyBytes is 4194304 */
#define USUAL_CALLERS 24   /* of each entry host */
#define BURST 2.5
#define BURST_MS 6000
#define BETWEEN_MS 6000
#define ROUNDS 4
#define WORK_MS 2500
#define PLAIN_CLIENTS 6 /* of each entry host */
#define PLAIN_WORK_MS 250
#define IDS_MAX 100000

static const char config[] =
    "{\"Version\":1,\"Routes\":["
    "{\"Name\":\"scan\",\"Host\":\"h.example\",\"PathPrefix\":\"/scan/\",\"Type\":\"idempotent\","
    "\"TimeoutMs\":8000,\"ObjectiveMs\":4000,\"Priority\":2,\"Service\":\"scan\","
    "\"MaxAttempts\":1,\"Public\":false},"
    "{\"Name\":\"look\",\"Host\":\"h.example\",\"PathPrefix\":\"/look/\",\"Type\":\"idempotent\","
    "\"TimeoutMs\":4000,\"ObjectiveMs\":1000,\"Priority\":2,\"Service\":\"desk\","
    "\"MaxAttempts\":1,\"Public\":false}],"
    "\"Services\":["
    "{\"Name\":\"scan\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\","
    "\"Tls\":false},"
    "{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\","
    "\"Tls\":false}],"
    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000},"
    "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key1\"],\"Priority\":1}]}";

static atomic_int n_ids;
static atomic_bool stopping;
static atomic_bool bursting;
static atomic_int n_scans;
static atomic_int n_plain;
static atomic_int n_refused;
static atomic_int lost[ENTRIES];
static atomic_int killed[ENTRIES];
static int peak_mb[ENTRIES];
static atomic_bool ran[IDS_MAX];
static char *large;

/* ---- targets ---- */

static void
serve (struct target *target, struct conn *conn, const struct message *request)
{
  char id[64];
  char text[512];
  int number;

  if (!target_is_addressed (target, conn, request))
    return;
  field (request, "x-attempt-id", id, sizeof id);
  number = atoi (id + 1);
  if (number > 0 && number < IDS_MAX)
    ran[number] = true;
  record ("run %s at %s, a body of %zu bytes", id, target->id, request->length);
  sleep_ms (target->service[0] == 's' ? WORK_MS : PLAIN_WORK_MS);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            id, target->id, strlen (id), id);
  send_all (conn->fd, text, strlen (text));
}

/* ---- callers ---- */

struct caller
{
  struct host *host;
  int number;
};

/* Callers beyond the usual ones call only during the burst. */
static void *
call_scan (void *argument)
{
  struct caller *caller = argument;
  struct conn *conn = calloc (1, sizeof *conn);
  struct message *answer = calloc (1, sizeof *answer);

  while (!stopping)
    {
      char text[512];
      bool whole;
      int number;

      if (caller->number >= USUAL_CALLERS && !bursting)
        {
          sleep_ms (50);
          continue;
        }
      conn->used = 0;
      conn->fd = dial (caller->host->ip, FRONT_PORT, 1000);
      if (conn->fd < 0)
        {
          sleep_ms (500);
          continue;
        }
      number = atomic_fetch_add (&n_ids, 1);
      snprintf (text, sizeof text,
                "POST /scan/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s%d\r\n"
                "X-Deadline-Ms: 8000\r\nX-Credential: key1\r\nConnection: close\r\n"
                "Content-Length: %d\r\n\r\n",
                number, BODY_BYTES);
      record ("sent s%d to %s", number, caller->host->name);
      whole = send_all (conn->fd, text, strlen (text)) && send_all (conn->fd, large, BODY_BYTES)
              && read_head (conn, answer, true, 9000) && read_body (conn, answer, true, 9000);
      record ("answer s%d from %s: %d", number, caller->host->name, whole ? answer->status : 0);
      if (whole && answer->status == 200)
        atomic_fetch_add (&n_scans, 1);
      else
        {
          atomic_fetch_add (&n_refused, 1);
          sleep_ms (500);
        }
      message_clear (answer);
      close (conn->fd);
    }
  return NULL;
}

static bool
look_once (struct host *host, int place, struct conn *conn, struct message *answer, bool kept)
{
  int number = atomic_fetch_add (&n_ids, 1);
  char text[512];
  bool whole;

  snprintf (text, sizeof text,
            "GET /look/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: l%d\r\n"
            "X-Deadline-Ms: 4000\r\nX-Credential: key1\r\n\r\n",
            number);
  record ("sent l%d to %s on a %s connection", number, host->name, kept ? "kept" : "new");
  whole = send_all (conn->fd, text, strlen (text)) && read_head (conn, answer, true, 6000)
          && read_body (conn, answer, true, 6000);
  record ("answer l%d from %s: %d%s", number, host->name, answer->status, whole ? "" : ", none");
  if (whole && answer->status == 200)
    atomic_fetch_add (&n_plain, 1);
  if (!whole && kept && !stopping && number < IDS_MAX && ran[number])
    {
      record ("LOST l%d: passed on by %s, closed without an answer", number, host->name);
      atomic_fetch_add (&lost[place], 1);
    }
  return whole && !answer->close;
}

static void *
look (void *argument)
{
  struct caller *caller = argument;
  struct conn *conn = calloc (1, sizeof *conn);
  struct message *answer = calloc (1, sizeof *answer);

  while (!stopping)
    {
      bool kept = false;

      conn->used = 0;
      conn->fd = dial (caller->host->ip, FRONT_PORT, 1000);
      if (conn->fd < 0)
        {
          sleep_ms (200);
          continue;
        }
      while (!stopping && look_once (caller->host, caller->number, conn, answer, kept))
        {
          kept = true;
          if (answer->status != 200)
            sleep_ms (250);
          message_clear (answer);
        }
      message_clear (answer);
      close (conn->fd);
    }
  return NULL;
}

/* ---- the platform ---- */

/* Ends a process that uses more than MemoryMb, and starts it again. */
static void *
bound_memory (void *unused)
{
  (void) unused;
  while (!stopping)
    {
      for (int i = 0; i < ENTRIES; i++)
        {
          struct host *host = entry_host (i);
          int mb = (int) ((double) host_memory_mb (host) * 1000 / 1024 * 1000 / 1024);

          if (mb > peak_mb[i])
            peak_mb[i] = mb;
          if (mb <= MEMORY_MB || host->pid <= 0)
            continue;
          record ("%s uses %d MiB of %d and is ended", host->name, mb, MEMORY_MB);
          atomic_fetch_add (&killed[i], 1);
          kill (host->pid, SIGKILL);
          sleep_ms (100);
        }
      sleep_ms (10);
    }
  return NULL;
}

static void
start_callers (int place)
{
  struct host *host = entry_host (place);

  for (int i = 0; i < (int) (USUAL_CALLERS * BURST); i++)
    {
      struct caller *caller = calloc (1, sizeof *caller);

      *caller = (struct caller){ .host = host, .number = i };
      start_thread (call_scan, caller);
    }
  for (int i = 0; i < PLAIN_CLIENTS; i++)
    {
      struct caller *caller = calloc (1, sizeof *caller);

      *caller = (struct caller){ .host = host, .number = place };
      start_thread (look, caller);
    }
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "a", "b", "c" };
  int broken = 0;
  char id[32];

  stand_begin (argc > 1 ? argv[1] : ".");
  atomic_store (&n_ids, 1);
  large = malloc (BODY_BYTES);
  memset (large, 'x', BODY_BYTES);
  stand_start_hosts (3, ENTRIES);
  operator_replace (config, 20000);
  for (int i = 0; i < 3; i++)
    {
      snprintf (id, sizeof id, "scan%d", i);
      target_new (id, "scan", "v1", zones[i], serve);
      snprintf (id, sizeof id, "desk%d", i);
      target_new (id, "desk", "v1", zones[i], serve);
    }
  sleep_ms (5000);
  start_thread (bound_memory, NULL);
  for (int i = 0; i < ENTRIES; i++)
    start_callers (i);
  sleep_ms (BETWEEN_MS);
  for (int i = 0; i < ROUNDS; i++)
    {
      bursting = stand_has_trouble ();
      sleep_ms (BURST_MS);
      bursting = false;
      sleep_ms (BETWEEN_MS);
    }
  stopping = true;
  sleep_ms (500);
  for (int i = 0; i < ENTRIES; i++)
    {
      record ("%s: %d requests lost; %d MiB at its peak, ended for that %d times",
              entry_host (i)->name, (int) lost[i], peak_mb[i], (int) killed[i]);
      if (lost[i] > 3)
        broken = 1;
    }
  record ("SUM plain requests served: %d; large ones served: %d, not served: %d", (int) n_plain,
          (int) n_scans, (int) n_refused);
  if (n_plain < 100 || n_scans < 20)
    stand_cannot_run ("too little was served");
  stand_finish (broken);
}
