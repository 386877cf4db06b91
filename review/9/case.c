/* Configurations follow each other, each with a stage service of another name.  The table of pools
 * with stage work never forgets a name: once it is full, routes that were added later are not
 * served. */
#include "../lib-2/stand.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTACT_MS 3000
#define STORMS 4
#define CHANGES 17 /* of a storm */
#define GAP_MS 330
#define PAUSE_MS 2000 /* between storms */
#define SETTLE_MS 12000
#define REQUESTS 40 /* on each route */
#define CALL_MS 150
#define ITEM_MS 16

static struct stand_system site;
static struct stand_runner engine;
static struct stand_runner first_stage;
static struct stand_runner later_stage;

static void
write_service (char *out, size_t size, int number)
{
  snprintf (out, size,
            ",{\"Name\":\"vault-%d\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,"
            "\"Protocol\":\"h1\",\"Tls\":false,\"Segments\":{\"Slots\":1,\"Queue\":2,\"Batch\":8,"
            "\"CallMs\":%d.0,\"ItemMs\":%d.0,\"HeadroomMb\":43.0,\"HandleTtlS\":4.0,"
            "\"LinkMbps\":10000}}",
            number, CALL_MS, ITEM_MS);
}

static void
write_route (char *out, size_t size, int number)
{
  snprintf (out, size,
            "{\"Name\":\"r-%d\",\"Host\":\"demand.example\",\"PathPrefix\":\"/demand-%d/\","
            "\"Type\":\"streaming\",\"TimeoutMs\":12000,\"ObjectiveMs\":1700,\"Priority\":1,"
            "\"Service\":\"pool\",\"MaxAttempts\":1,\"Phases\":[{\"Service\":\"vault-%d\","
            "\"After\":[],\"ByteCount\":8000}],\"Public\":false,\"Sticky\":true,"
            "\"Resumable\":false,\"GapObjectiveMs\":300}",
            number, number, number);
}

/* The first route and, over 0, the one with that number. */
static bool
configure (int number)
{
  static char config[8192];
  char routes[2][1024] = { "", "" };
  char services[2][1024] = { "", "" };

  write_route (routes[0], sizeof routes[0], 0);
  write_service (services[0], sizeof services[0], 0);
  if (number > 0)
    {
      write_route (routes[1], sizeof routes[1], number);
      write_service (services[1], sizeof services[1], number);
    }
  snprintf (config, sizeof config,
            "{\"Version\":%d,\"Routes\":[%s%s%s],"
            "\"Services\":[{\"Name\":\"pool\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,"
            "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacity\":598406,"
            "\"KvBytes\":327680,\"LinkMbps\":320000.0,\"Moves\":true,\"Backups\":true,"
            "\"Stride\":4,\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleTtlS\":5.0,"
            "\"Models\":[{\"Name\":\"m\"}]}}%s%s],"
            "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            "\"Tenants\":[{\"Name\":\"tenant-1\",\"ApiKeys\":[\"key-1-of-tenant-1\"],"
            "\"Priority\":1}]}",
            3 + 2 * number, routes[0], number > 0 ? "," : "", routes[1], services[0], services[1]);
  return stand_configure (&site, config, 10000);
}

/* ---- runners ---- */

static bool
reply_json (struct stand_connection *connection, const char *body)
{
  char answer[4096];
  int n = snprintf (answer, sizeof answer,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "X-Instance-Load: 0,0,1\r\nContent-Length: %zu\r\n\r\n%s",
                    strlen (body), body);

  return stand_write (connection, answer, (size_t) n);
}

static bool
serve_stage (void *user, struct stand_connection *connection, const struct stand_message *request)
{
  struct stand_runner *runner = user;
  const char *at = request->body;
  char body[3000] = "{\"Entries\":[";
  int n = 0;

  if (strcmp (request->target, "/v1/stage-run") != 0)
    return reply_json (connection, "{}");
  for (; (at = strstr (at, "\"Id\":\"")) != NULL; at++, n++)
    {
      size_t length = strlen (body);
      char id[17];

      stand_id (id);
      snprintf (body + length, sizeof body - length, "%s{\"Handle\":\"%s:%d/%.10s\"}",
                n == 0 ? "" : ",", runner->ip, STAND_RUNNER_PORT, id);
    }
  strcat (body, "]}");
  stand_sleep_ms (CALL_MS + n * ITEM_MS);
  return reply_json (connection, body);
}

static bool
serve_engine (void *user, struct stand_connection *connection, const struct stand_message *request)
{
  char attempt[32] = "";
  char inputs[1024] = "";
  char answer[1024];
  int n;

  (void) user;
  if (!stand_header (request, "X-Attempt-Id", attempt, sizeof attempt)
      || !stand_header (request, "X-Input-Count", inputs, sizeof inputs))
    {
      n = snprintf (answer, sizeof answer,
                    "HTTP/1.1 400 Bad Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n",
                    attempt);
      return stand_write (connection, answer, (size_t) n);
    }
  stand_sleep_ms (30);
  n = snprintf (answer, sizeof answer,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\n"
                "X-Server-Signature: s.%s\r\nX-Weight-Versions: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n",
                attempt, attempt);
  return stand_write (connection, answer, (size_t) n);
}

static void
add_runner (struct stand_runner *runner, const char *service, int machine, int slots,
            stand_handler handler)
{
  char id[17];

  stand_id (id);
  snprintf (runner->id, sizeof runner->id, "i-%.10s", id);
  snprintf (runner->service, sizeof runner->service, "%s", service);
  snprintf (runner->zone, sizeof runner->zone, "z-a");
  snprintf (runner->version, sizeof runner->version, "v1");
  snprintf (runner->ip, sizeof runner->ip, "%s", stand_ip (machine));
  runner->slots = slots;
  runner->born = stand_unix_ms ();
  runner->system = &site;
  stand_serve (runner->ip, STAND_RUNNER_PORT, handler, runner);
  stand_begin_heartbeats (runner);
}

/* ---- clients ---- */

static int
send_request (int route, int number)
{
  struct stand_process *entry = &site.entries[number % site.n_entries];
  struct stand_connection connection;
  struct stand_message answer = { 0 };
  char head[1024];
  char id[17];
  int status;
  int n;

  stand_id (id);
  n = snprintf (head, sizeof head,
                "POST /demand-%d/%s HTTP/1.1\r\nHost: demand.example\r\nX-Attempt-Id: %s\r\n"
                "X-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,%.8s:660\r\n"
                "X-Chunk-Count: 1\r\nX-Chunk-Key: %s\r\nX-Deadline-Ms: 12000\r\n"
                "X-Credential: key-1-of-tenant-1\r\nContent-Length: 4\r\n\r\nbody",
                route, id, id, id, id);
  if (stand_dial (&connection, stand_ip (entry->machine), STAND_CLIENT_PORT))
    {
      if (stand_write (&connection, head, (size_t) n))
        stand_read (&connection, true, 13000, &answer);
      stand_hang_up (&connection);
    }
  status = answer.status;
  stand_message_clear (&answer);
  stand_note ("client: %s on route r-%d at %s ends with %d", id, route, entry->name, status);
  return status;
}

int
main (int argc, char **argv)
{
  int last = stand_trouble () ? STORMS * CHANGES : 1;
  int served[2] = { 0, 0 };
  char service[32];

  if (argc != 2 || !stand_open (argv[1], 115))
    return STAND_COULD_NOT_RUN;
  stand_start_system (&site, 3, 2, 260);
  if (!configure (0))
    stand_exit (STAND_COULD_NOT_RUN, "the configuration was not acknowledged");
  add_runner (&engine, "pool", 101, 64, serve_engine);
  add_runner (&first_stage, "vault-0", 102, 1, serve_stage);
  for (int i = 0; i < site.n_entries; i++)
    if (!stand_wait_ready (&site.entries[i], 10000))
      stand_exit (STAND_COULD_NOT_RUN, "%s is not ready", site.entries[i].name);
  stand_sleep_ms (CONTACT_MS);
  for (int i = 1; i <= last; i++)
    {
      int64_t begun = stand_now_ms ();

      if (!configure (i))
        stand_exit (STAND_COULD_NOT_RUN, "change %d was not acknowledged", i);
      stand_sleep_ms (begun + GAP_MS - stand_now_ms ());
      if (i % CHANGES == 0)
        stand_sleep_ms (PAUSE_MS);
    }
  snprintf (service, sizeof service, "vault-%d", last);
  add_runner (&later_stage, service, 103, 1, serve_stage);
  stand_note ("waits for steady state");
  stand_sleep_ms (SETTLE_MS);
  for (int i = 0; i < REQUESTS; i++)
    {
      served[0] += send_request (0, i) == 200 ? 1 : 0;
      served[1] += send_request (last, i) == 200 ? 1 : 0;
    }
  if (served[0] < REQUESTS / 2)
    stand_exit (STAND_COULD_NOT_RUN, "only %d of %d were served on the first route", served[0],
                REQUESTS);
  stand_exit (4 * served[1] < served[0] ? STAND_BROKEN : STAND_HELD,
              "CONFIG: after %d changes %d of %d requests were served on the first route, %d of %d "
              "on the one added last",
              last, served[0], REQUESTS, served[1], REQUESTS);
}
