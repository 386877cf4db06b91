/* The final fault: right after a change was acknowledged, all processes are killed, in the middle
 * of streams that targets of two versions write.  Callers take their streams up again when the
 * hosts are in touch.  Without the fault, their own connections break at that moment. */
#include "../lib/stand.h"
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ENTRIES 3
#define TARGETS 6 /* half of them of each version */
#define DOWN_MS 600
#define CONTACT_MS 3000
#define EVENTS 100
#define EVENT_MS 80
#define PERIOD_MS 300 /* between two streams at one entry host */
#define GAP_MS 7600   /* after which callers abandon a stream: four times the objective */
#define TAKEN_UP_MIN 12
#define STREAMS_MAX 10000

static const char config[] =
    "{\"Version\":%d,\"Routes\":["
    "{\"Name\":\"chat\",\"Host\":\"h.example\",\"PathPrefix\":\"/chat/\",\"Type\":\"streaming\","
    "\"TimeoutMs\":20000,\"ObjectiveMs\":1900,\"Priority\":0,\"Service\":\"llm\","
    "\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":true,"
    "\"GapObjectiveMs\":300}],"
    "\"Services\":["
    "{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Protocol\":\"h1\","
    "\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacity\":564688,\"KvBytes\":327680,"
    "\"LinkMbps\":320000.0,\"Stride\":4,\"Models\":[{\"Name\":\"m\"}]}}],"
    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000},"
    "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key1\"],\"Priority\":1}]}";

static atomic_int n_ids;
static atomic_bool stopping;
static _Atomic int64_t fault_at;    /* 0: not yet */
static _Atomic int64_t in_touch_at; /* 0: not yet */
static atomic_int n_taken_up;
static atomic_int n_gone_on;
static atomic_int n_new;
static atomic_int n_new_begun;
static atomic_int n_mixed;
static atomic_int n_early;         /* tries to go on before the hosts are in touch */
static atomic_int n_early_gone_on; /* of these */
static int fds[STREAMS_MAX];
static pthread_mutex_t fds_lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- targets ---- */

static void
serve (struct target *target, struct conn *conn, const struct message *request)
{
  char id[64];
  char last[32];
  char text[512];
  char event[256];
  int from = 0;

  if (!target_is_addressed (target, conn, request))
    return;
  field (request, "x-attempt-id", id, sizeof id);
  if (field (request, "last-event-id", last, sizeof last) != NULL)
    from = atoi (last);
  record ("run %s at %s of %s from event %d", id, target->id, target->version, from + 1);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            id, target->id);
  send_all (conn->fd, text, strlen (text));
  for (int i = from + 1; i <= EVENTS; i++)
    {
      sleep_ms (EVENT_MS);
      snprintf (event, sizeof event, "id: %d\ndata: %s of %s for %s\n\n", i, target->version,
                target->id, id);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      if (!send_all (conn->fd, text, strlen (text)))
        return;
    }
  send_all (conn->fd, "0\r\n\r\n", 5);
}

/* ---- callers ---- */

/* What a caller has of its stream. */
struct stream
{
  int number;
  char first_id[32]; /* of the attempt that brought its first event */
  int last_event;
  bool of_v1;
  bool of_v2;
};

/* Notes the complete events of an answer; how many there are. */
static int
take_events (struct stream *stream, const char *body, const char *id)
{
  int n = 0;

  for (const char *at = body; at != NULL && (at = strstr (at, "id: ")) != NULL; at += 4)
    {
      const char *data = strstr (at, "data: ");

      if (data == NULL || strstr (data, "\n\n") == NULL)
        break;
      if (stream->first_id[0] == '\0')
        snprintf (stream->first_id, sizeof stream->first_id, "%s", id);
      stream->last_event = atoi (at + 4);
      stream->of_v1 = stream->of_v1 || strncmp (data + 6, "v1", 2) == 0;
      stream->of_v2 = stream->of_v2 || strncmp (data + 6, "v2", 2) == 0;
      n++;
    }
  return n;
}

/* One attempt; the number of events that it brought.  `tail`: it need not be read to its end. */
static int
attempt (struct stream *stream, struct host *host, int try, bool tail)
{
  struct conn *conn = calloc (1, sizeof *conn);
  struct message *answer = calloc (1, sizeof *answer);
  char resume[128] = "";
  char text[640];
  char id[32];
  int n;

  snprintf (id, sizeof id, "c%d-%d", stream->number, try);
  if (stream->last_event > 0)
    snprintf (resume, sizeof resume, "Last-Event-Id: %d\r\nResumes: %s\r\n", stream->last_event,
              stream->first_id);
  snprintf (text, sizeof text,
            "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Model: m\r\n"
            "X-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,%x:410,%x:250\r\n"
            "X-Deadline-Ms: 20000\r\nX-Credential: key1\r\n%sConnection: close\r\n"
            "Content-Length: 4\r\n\r\nbody",
            id, 0x91 + stream->number % 16, 0x1000 + stream->number, resume);
  record ("sent %s to %s%s", id, host->name, resume[0] != '\0' ? " to go on" : "");
  conn->fd = dial (host->ip, FRONT_PORT, 1000);
  pthread_mutex_lock (&fds_lock);
  fds[stream->number % STREAMS_MAX] = conn->fd;
  pthread_mutex_unlock (&fds_lock);
  if (conn->fd >= 0 && send_all (conn->fd, text, strlen (text))
      && read_head (conn, answer, true, 5000))
    read_body (conn, answer, true, tail ? 1500 : 20000);
  pthread_mutex_lock (&fds_lock);
  fds[stream->number % STREAMS_MAX] = -1;
  if (conn->fd >= 0)
    close (conn->fd);
  pthread_mutex_unlock (&fds_lock);
  n = answer->status == 200 ? take_events (stream, answer->body, id) : 0;
  record ("answer %s from %s: %d, %d events, newest %d%s", id, host->name, answer->status, n,
          stream->last_event, stream->of_v1 && stream->of_v2 ? ", MIXED" : "");
  message_clear (answer);
  free (answer);
  free (conn);
  return n;
}

static struct host *
next_host (int number)
{
  return entry_host (number % ENTRIES);
}

/* Takes the stream up again: twice while the hosts are not in touch, and then once more. */
static void
take_up (struct stream *stream)
{
  int64_t broke_at = now_ms ();
  int n = 0;

  for (int try = 1; try <= 2 && n == 0; try++)
    {
      sleep_ms (1200);
      n = attempt (stream, next_host (stream->number + try), try, true);
      atomic_fetch_add (&n_early, 1);
      atomic_fetch_add (&n_early_gone_on, n > 0 ? 1 : 0);
    }
  while (n == 0 && (in_touch_at == 0 || now_ms () < in_touch_at))
    sleep_ms (20);
  if (n > 0 || now_ms () - broke_at > GAP_MS)
    return;
  n = attempt (stream, next_host (stream->number), 3, true);
  atomic_fetch_add (&n_taken_up, 1);
  atomic_fetch_add (&n_gone_on, n > 0 ? 1 : 0);
}

static void *
call_chat (void *argument)
{
  struct stream stream = { .number = atomic_fetch_add (&n_ids, 1) };
  bool is_new = in_touch_at != 0 && now_ms () >= in_touch_at;
  bool before = fault_at == 0;
  int n = attempt (&stream, argument, 0, is_new);

  if (is_new)
    {
      atomic_fetch_add (&n_new, 1);
      atomic_fetch_add (&n_new_begun, n > 0 ? 1 : 0);
    }
  if (before && fault_at != 0 && n > 0 && stream.last_event < EVENTS && !stopping)
    take_up (&stream);
  atomic_fetch_add (&n_mixed, stream.of_v1 && stream.of_v2 ? 1 : 0);
  return NULL;
}

static void *
send_chats (void *argument)
{
  while (!stopping)
    {
      start_thread (call_chat, argument);
      sleep_ms (PERIOD_MS);
    }
  return NULL;
}

/* ---- the day ---- */

static void
kill_all (void)
{
  for (int i = 0; i < n_hosts; i++)
    host_signal (&hosts[i], SIGKILL);
  sleep_ms (DOWN_MS);
  for (int i = 0; i < n_hosts; i++)
    host_start (&hosts[i]);
}

static void
break_connections (void)
{
  pthread_mutex_lock (&fds_lock);
  for (int i = 0; i < STREAMS_MAX; i++)
    if (fds[i] > 0)
      shutdown (fds[i], SHUT_RDWR);
  pthread_mutex_unlock (&fds_lock);
  record ("all callers' connections break");
  sleep_ms (DOWN_MS);
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "a", "b", "c" };
  char text[8192];
  char id[32];
  double going_on;
  double beginning;

  stand_begin (argc > 1 ? argv[1] : ".");
  atomic_store (&n_ids, 1);
  stand_start_hosts (3, ENTRIES);
  snprintf (text, sizeof text, config, 1);
  operator_replace (text, 20000);
  for (int i = 0; i < TARGETS; i++)
    {
      snprintf (id, sizeof id, "llm%d", i);
      target_new (id, "llm", i % 2 == 0 ? "v1" : "v2", zones[i % 3], serve);
    }
  sleep_ms (5000);
  for (int i = 0; i < ENTRIES; i++)
    start_thread (send_chats, entry_host (i));
  sleep_ms (10000);
  snprintf (text, sizeof text, config, 2);
  operator_replace (text, 5000);
  fault_at = now_ms ();
  if (stand_has_trouble ())
    kill_all ();
  else
    break_connections ();
  in_touch_at = now_ms () + 2 * CONTACT_MS;
  sleep_ms (2 * CONTACT_MS + 4000);
  stopping = true;
  sleep_ms (2000);
  going_on = n_taken_up == 0 ? 1 : (double) n_gone_on / n_taken_up;
  beginning = n_new == 0 ? 0 : (double) n_new_begun / n_new;
  record ("SUM taken up again in touch: %d, gone on: %d; new in touch: %d, begun: %d; of two "
          "versions: %d; taken up before: %d, gone on: %d",
          (int) n_taken_up, (int) n_gone_on, (int) n_new, (int) n_new_begun, (int) n_mixed,
          (int) n_early, (int) n_early_gone_on);
  if (n_new < 10 || beginning < 0.5)
    stand_cannot_run ("too little was served");
  stand_finish (n_taken_up >= TAKEN_UP_MIN && going_on < beginning / 2 ? 1 : 0);
}
