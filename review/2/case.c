/* One entry host at a time freezes for some seconds.  The others go on, in touch, and owe an
 * answer to each request that they passed on from a kept connection to a sound target. */
#include "../lib/stand.h"
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ENTRIES 3
#define FREEZE_MS 1000
#define CONTACT_MS 3000
#define CALL_MS 150
#define ITEM_MS 16
#define BATCH 8
#define STAGE_TARGETS 4 /* of each stage service */
#define PIECES 3
#define PIPELINE_PERIOD_MS 50 /* of each entry host's callers */
#define PLAIN_CLIENTS 6       /* of each entry host */
#define PLAIN_WORK_MS 250

static const char config[] =
    "{\"Version\":1,\"Routes\":["
    "{\"Name\":\"docs\",\"Host\":\"h.example\",\"PathPrefix\":\"/docs/\",\"Type\":\"streaming\","
    "\"TimeoutMs\":10000,\"ObjectiveMs\":800,\"Priority\":1,\"Service\":\"llm\","
    "\"MaxAttempts\":1,\"Phases\":["
    "{\"Service\":\"prep\",\"After\":[],\"ByteCount\":8000},"
    "{\"Service\":\"prep\",\"After\":[],\"ByteCount\":8000}],"
    "\"Public\":false,\"Sticky\":true,\"Resumable\":false,\"GapObjectiveMs\":300},"
    "{\"Name\":\"mail\",\"Host\":\"h.example\",\"PathPrefix\":\"/mail/\",\"Type\":\"streaming\","
    "\"TimeoutMs\":10000,\"ObjectiveMs\":800,\"Priority\":1,\"Service\":\"llm\","
    "\"MaxAttempts\":1,\"Phases\":["
    "{\"Service\":\"find\",\"After\":[],\"ByteCount\":8000},"
    "{\"Service\":\"find\",\"After\":[],\"ByteCount\":8000}],"
    "\"Public\":false,\"Sticky\":true,\"Resumable\":false,\"GapObjectiveMs\":300},"
    "{\"Name\":\"look\",\"Host\":\"h.example\",\"PathPrefix\":\"/look/\",\"Type\":\"idempotent\","
    "\"TimeoutMs\":4000,\"ObjectiveMs\":1000,\"Priority\":2,\"Service\":\"desk\","
    "\"MaxAttempts\":1,\"Public\":false,\"Sticky\":false,\"Resumable\":false}],"
    "\"Services\":["
    "{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\","
    "\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacity\":598406,\"KvBytes\":327680,"
    "\"LinkMbps\":320000.0,\"Stride\":4,\"Models\":[{\"Name\":\"m\"}]}},"
    "{\"Name\":\"prep\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\","
    "\"Tls\":false,\"Segments\":{\"Slots\":1,\"Queue\":2,\"Batch\":8,\"CallMs\":150.0,"
    "\"ItemMs\":16.0,\"HeadroomMb\":43.0,\"HandleTtlS\":4.0,\"LinkMbps\":10000}},"
    "{\"Name\":\"find\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\","
    "\"Tls\":false,\"Segments\":{\"Slots\":1,\"Queue\":2,\"Batch\":8,\"CallMs\":150.0,"
    "\"ItemMs\":16.0,\"HeadroomMb\":43.0,\"HandleTtlS\":4.0,\"LinkMbps\":10000}},"
    "{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\","
    "\"Tls\":false}],"
    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000},"
    "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key1\"],\"Priority\":1}]}";

static atomic_int n_ids;
static atomic_bool stopping;
static atomic_int n_served;
static atomic_int n_docs;
static atomic_int n_docs_served;
static atomic_int lost[ENTRIES];
static atomic_int lost_excused;

/* The ids of plain requests that a target has run. */
#define RUNS_MAX 100000
static atomic_bool ran[RUNS_MAX];

/* ---- targets ---- */

static void
reply (struct conn *conn, const char *fields, const char *body)
{
  char text[8192];

  snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s", fields,
            strlen (body), body);
  send_all (conn->fd, text, strlen (text));
}

static void
serve_stage (struct target *target, struct conn *conn, const struct message *request)
{
  static atomic_uint n_handles;
  static pthread_mutex_t slots[2][STAGE_TARGETS] = {
    { PTHREAD_MUTEX_INITIALIZER, PTHREAD_MUTEX_INITIALIZER, PTHREAD_MUTEX_INITIALIZER,
      PTHREAD_MUTEX_INITIALIZER },
    { PTHREAD_MUTEX_INITIALIZER, PTHREAD_MUTEX_INITIALIZER, PTHREAD_MUTEX_INITIALIZER,
      PTHREAD_MUTEX_INITIALIZER },
  };
  pthread_mutex_t *slot = &slots[target->id[0] == 'f'][target->id[4] - '0'];
  char body[4096] = "{\"Entries\":[";
  const char *at = request->body;
  int n = 0;

  if (!target_is_addressed (target, conn, request))
    return;
  if (strcmp (request->path, "/v1/stage-run") != 0)
    {
      reply (conn, "X-Instance-Load: 0,0,1\r\n", "{}");
      return;
    }
  while (at != NULL && (at = strstr (at, "\"Segment\"")) != NULL)
    {
      sprintf (body + strlen (body), "%s{\"Handle\":\"%s/%08x%08x\"}", n > 0 ? "," : "",
               target->address, (unsigned) target->born, atomic_fetch_add (&n_handles, 1));
      n++;
      at++;
    }
  strcat (body, "]}");
  pthread_mutex_lock (slot);
  sleep_ms (CALL_MS + n * ITEM_MS);
  pthread_mutex_unlock (slot);
  reply (conn, "Content-Type: application/json\r\nX-Instance-Load: 0,0,1\r\n", body);
}

static void
serve_llm (struct target *target, struct conn *conn, const struct message *request)
{
  char id[64];
  char fields[512];
  char body[2048] = "";

  if (!target_is_addressed (target, conn, request))
    return;
  field (request, "x-attempt-id", id, sizeof id);
  snprintf (fields, sizeof fields,
            "X-Attempt-Id: %s\r\nX-Server-Signature: %s\r\nContent-Type: text/event-stream\r\n", id,
            target->id);
  sleep_ms (60);
  for (int i = 1; i <= 5; i++)
    sprintf (body + strlen (body), "id: %d\ndata: %s\n\n", i, id);
  reply (conn, fields, body);
}

static void
serve_desk (struct target *target, struct conn *conn, const struct message *request)
{
  char id[64];
  char fields[512];
  int number;

  if (!target_is_addressed (target, conn, request))
    return;
  field (request, "x-attempt-id", id, sizeof id);
  number = atoi (id + 1);
  if (number > 0 && number < RUNS_MAX)
    ran[number] = true;
  record ("run %s at %s", id, target->id);
  snprintf (fields, sizeof fields, "X-Attempt-Id: %s\r\nX-Server-Signature: %s\r\n", id,
            target->id);
  sleep_ms (PLAIN_WORK_MS);
  reply (conn, fields, id);
}

/* ---- callers ---- */

/* Is the host excused, as it was disturbed in the last ContactMs? */
static bool
is_in_touch (const struct host *host)
{
  return now_ms () > host->disturbed_until + CONTACT_MS;
}

static void *
call_docs (void *argument)
{
  struct host *host = argument;
  int number = atomic_fetch_add (&n_ids, 1);
  char text[1024];
  int status;

  snprintf (text, sizeof text,
            "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: d%d\r\nX-Model: m\r\n"
            "X-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,%x:250\r\n"
            "X-Deadline-Ms: 10000\r\nX-Credential: key1\r\nX-Chunk-Count: %d,%d\r\n"
            "X-Chunk-Key: k%d\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
            number % 2 == 0 ? "docs" : "mail", number, 0x1000 + number, PIECES, PIECES, number);
  record ("sent d%d to %s", number, host->name);
  status = call_once (host->ip, FRONT_PORT, text, 10000, NULL, 0);
  record ("answer d%d from %s: %d", number, host->name, status);
  atomic_fetch_add (&n_docs, 1);
  if (status == 200)
    atomic_fetch_add (&n_docs_served, 1);
  return NULL;
}

static void *
send_docs (void *argument)
{
  while (!stopping)
    {
      start_thread (call_docs, argument);
      sleep_ms (PIPELINE_PERIOD_MS);
    }
  return NULL;
}

/* One plain request; false if the connection is over. */
static bool
look_once (struct host *host, struct conn *conn, struct message *answer, bool kept)
{
  int number = atomic_fetch_add (&n_ids, 1);
  bool in_touch = is_in_touch (host);
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
    atomic_fetch_add (&n_served, 1);
  if (!whole && kept && !stopping && number < RUNS_MAX && ran[number])
    {
      bool counts = in_touch && is_in_touch (host);

      record ("LOST l%d: passed on by %s, closed without an answer%s", number, host->name,
              counts ? "" : " (not in touch)");
      for (int i = 0; i < ENTRIES && counts; i++)
        if (entry_host (i) == host)
          atomic_fetch_add (&lost[i], 1);
      if (!counts)
        atomic_fetch_add (&lost_excused, 1);
    }
  return whole && !answer->close;
}

static void *
look (void *argument)
{
  struct host *host = argument;
  struct conn *conn = calloc (1, sizeof *conn);
  struct message *answer = calloc (1, sizeof *answer);

  while (!stopping)
    {
      bool kept = false;

      conn->used = 0;
      conn->fd = dial (host->ip, FRONT_PORT, 1000);
      if (conn->fd < 0)
        {
          sleep_ms (200);
          continue;
        }
      while (!stopping && look_once (host, conn, answer, kept))
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

/* ---- the day ---- */

static bool
is_ready (const struct host *host)
{
  char text[128];

  snprintf (text, sizeof text, "GET /v1/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  return call_once (host->ip, READY_PORT, text, 500, NULL, 0) == 200;
}

static void
wait_for_hosts (void)
{
  int64_t until = now_ms () + 20000;

  for (int i = 0; i < ENTRIES; i++)
    while (!is_ready (entry_host (i)))
      {
        if (now_ms () > until)
          stand_cannot_run ("the entry hosts do not become ready");
        sleep_ms (200);
      }
}

static void
freeze (struct host *host)
{
  host->disturbed_until = INT64_MAX / 2;
  host_signal (host, SIGSTOP);
  sleep_ms (FREEZE_MS);
  host_signal (host, SIGCONT);
  host->disturbed_until = now_ms ();
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "a", "b", "c" };
  int broken = 0;
  char id[32];

  stand_begin (argc > 1 ? argv[1] : ".");
  atomic_store (&n_ids, 1);
  stand_start_hosts (3, ENTRIES);
  operator_replace (config, 20000);
  for (int i = 0; i < STAGE_TARGETS; i++)
    {
      snprintf (id, sizeof id, "prep%d", i);
      target_new (id, "prep", "v1", zones[i % 3], serve_stage);
      snprintf (id, sizeof id, "find%d", i);
      target_new (id, "find", "v1", zones[i % 3], serve_stage);
    }
  for (int i = 0; i < 3; i++)
    {
      snprintf (id, sizeof id, "llm%d", i);
      target_new (id, "llm", "v1", zones[i], serve_llm);
      snprintf (id, sizeof id, "desk%d", i);
      target_new (id, "desk", "v1", zones[i], serve_desk);
    }
  wait_for_hosts ();
  sleep_ms (2000);
  for (int i = 0; i < ENTRIES; i++)
    {
      entry_host (i)->disturbed_until = 0;
      start_thread (send_docs, entry_host (i));
      for (int j = 0; j < PLAIN_CLIENTS; j++)
        start_thread (look, entry_host (i));
    }
  sleep_ms (4000);
  for (int round = 0; round < 7; round++)
    for (int i = 0; i < ENTRIES; i++)
      {
        if (stand_has_trouble ())
          freeze (entry_host (i));
        else
          sleep_ms (FREEZE_MS);
        sleep_ms (CONTACT_MS + 200);
      }
  stopping = true;
  sleep_ms (500);
  for (int i = 0; i < ENTRIES; i++)
    {
      record ("%s: %d requests lost while in touch; it ended by itself %d times",
              entry_host (i)->name, (int) lost[i], entry_host (i)->ended_by_itself);
      if (lost[i] > 3)
        broken = 1;
    }
  record ("plain requests served: %d; pipelines sent: %d, served: %d; lost but excused: %d",
          (int) n_served, (int) n_docs, (int) n_docs_served, (int) lost_excused);
  if (n_served < 100 || n_docs_served < 50)
    stand_cannot_run ("too little was served");
  stand_finish (broken);
}
