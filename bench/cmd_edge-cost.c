/* Measures the HTTP server and client: resident memory when idle and with requests in flight, and
 * processor time per request.  The server has a trivial route; both run on one loop in this
 * process.
 *
 * edge-cost [REQUESTS [IN-FLIGHT [HOLD-MS]]]; the server holds the requests of a round until all
 * have arrived and HOLD-MS has passed. */
#include "http_client.h"
#include "http_server.h"
#include "loop.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <talloc.h>
#include <unistd.h>

#define CONNECTIONS_MAX 4096
#define BODY_BYTES 256
#define COST_IN_FLIGHT 32

struct bench;

struct bench_call
{
  struct http_call_sink sink;
  struct bench *bench;
};

struct bench
{
  struct http_route route;
  struct timer release;
  struct loop *loop;
  struct http_server *server;
  struct http_client *client;
  struct bench_call *calls;
  struct http_exchange **held;
  char address[64];
  char body[BODY_BYTES];
  unsigned to_start;
  unsigned running;
  unsigned whole;
  unsigned failed;
  unsigned n_held;
  unsigned hold_count; /* answer once this many are held; 0: answer at once */
  int64_t hold;
};

static void
answer (struct bench *bench, struct http_exchange *exchange)
{
  static const struct http_field type = { "content-type", "application/json" };

  exchange->ops->reply (exchange, 200, &type, 1, bench->body, sizeof bench->body);
}

static long
resident_kib (void)
{
  FILE *file = fopen ("/proc/self/statm", "r");
  char line[128] = "";
  char *at = NULL;

  if (file == NULL)
    return 0;
  if (fgets (line, sizeof line, file) != NULL)
    at = strchr (line, ' ');
  fclose (file);
  return at == NULL ? 0 : strtol (at, NULL, 10) * (sysconf (_SC_PAGESIZE) / 1024);
}

static void
release (struct timer *timer, int64_t now)
{
  struct bench *bench = (struct bench *) ((char *) timer - offsetof (struct bench, release));

  (void) now;
  printf ("resident with %u in flight: %ld KiB\n", bench->n_held, resident_kib ());
  for (unsigned i = 0; i < bench->n_held; i++)
    answer (bench, bench->held[i]);
  bench->n_held = 0;
}

static void
request (struct http_route *route, struct http_exchange *exchange, int64_t now)
{
  struct bench *bench = (struct bench *) route;

  if (bench->hold_count == 0)
    {
      answer (bench, exchange);
      return;
    }
  bench->held[bench->n_held++] = exchange;
  if (bench->n_held == bench->hold_count)
    timer_arm (loop_timers (bench->loop), &bench->release, now + bench->hold);
}

static void
start_call (struct bench *bench, struct bench_call *call, int64_t now)
{
  static const struct http_field headers[] = {
    { "x-request-id", "r-123456" }, { "x-attempt", "1" },  { "x-deadline-ms", "4000" },
    { "x-organisation", "claims" }, { "x-priority", "5" },
  };
  struct http_call_spec spec = {
    .address = bench->address,
    .method = "POST",
    .path = "/v1/call",
    .headers = headers,
    .n_headers = sizeof headers / sizeof headers[0],
    .body = bench->body,
    .body_length = sizeof bench->body,
    .deadline = now + 120 * USEC_PER_SEC,
  };
  struct http_call *out;

  bench->to_start--;
  if (bench->client->ops->start (bench->client, &spec, &call->sink, now, &out) == STATUS_OK)
    bench->running++;
  else
    bench->failed++;
}

static void
finish_call (struct bench_call *call, int64_t now)
{
  struct bench *bench = call->bench;

  bench->running--;
  if (bench->to_start > 0)
    start_call (bench, call, now);
  else if (bench->running == 0)
    loop_stop (bench->loop);
}

static void
on_head (struct http_call_sink *sink,
         int code,
         const struct http_field *headers,
         size_t n_headers,
         int64_t now)
{
  (void) sink;
  (void) code;
  (void) headers;
  (void) n_headers;
  (void) now;
}

static void
on_data (struct http_call_sink *sink, const void *data, size_t length, int64_t now)
{
  (void) sink;
  (void) data;
  (void) length;
  (void) now;
}

static void
on_end (struct http_call_sink *sink, int64_t now)
{
  struct bench_call *call = (struct bench_call *) sink;

  call->bench->whole++;
  finish_call (call, now);
}

static void
on_failed (struct http_call_sink *sink, enum status why, bool sent, int64_t now)
{
  struct bench_call *call = (struct bench_call *) sink;

  (void) sent;
  if (call->bench->failed++ == 0)
    printf ("first failure: %s: %s\n", status_text (why), status_message ());
  finish_call (call, now);
}

static const struct http_call_sink_ops sink_ops = {
  .head = on_head, .data = on_data, .end = on_end, .failed = on_failed
};
static const struct http_route_ops route_ops = { .request = request };
static const struct timer_ops release_ops = { .fire = release };

static int64_t
cpu_now (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * USEC_PER_SEC + usage.ru_utime.tv_usec
         + usage.ru_stime.tv_usec;
}

/* Run `requests` over `in_flight` connections and print processor time and throughput. */
static void
run (struct bench *bench, const char *what, unsigned requests, unsigned in_flight)
{
  int64_t cpu = cpu_now ();
  int64_t start = loop_now (bench->loop);
  double seconds;

  bench->whole = bench->failed = 0;
  bench->to_start = requests;
  for (unsigned i = 0; i < in_flight && bench->to_start > 0; i++)
    start_call (bench, &bench->calls[i], loop_now (bench->loop));
  if (bench->running > 0)
    loop_run (bench->loop);
  cpu = cpu_now () - cpu;
  seconds = (double) (loop_now (bench->loop) - start) / (double) USEC_PER_SEC;
  printf ("%s: %u whole, %u failed, %.1f us of processor time a request, %.0f a second\n", what,
          bench->whole, bench->failed, (double) cpu / requests, requests / seconds);
}

static bool
open_server_and_client (struct bench *bench)
{
  struct http_server_config server = {
    .loop = bench->loop,
    .listen = { [HTTP_LISTENER_CALLERS] = "127.0.0.1:0" },
    .limits = { .header_bytes = 8192,
                .body_bytes = 1 << 20,
                .idle_timeout = 60 * USEC_PER_SEC,
                .body_timeout = 60 * USEC_PER_SEC,
                .unsent_bytes = 1 << 20 },
  };
  struct http_client_config client = {
    .loop = bench->loop,
    .calls_max = CONNECTIONS_MAX,
    .answer_bytes_max = 1 << 20,
    .connect_timeout = 5 * USEC_PER_SEC,
  };

  bench->server = http_server_new (bench->loop, &server);
  bench->client = http_client_new (bench->loop, &client);
  if (bench->server == NULL || bench->client == NULL)
    return false;
  snprintf (bench->address, sizeof bench->address, "127.0.0.1:%u",
            http_server_port (bench->server, HTTP_LISTENER_CALLERS));
  bench->route = (struct http_route){ .ops = &route_ops, .prefix = "/" };
  bench->release.ops = &release_ops;
  memset (bench->body, 'x', sizeof bench->body);
  return http_server_add_route (bench->server, &bench->route) == STATUS_OK;
}

int
main (int argc, char **argv)
{
  unsigned requests = argc > 1 ? (unsigned) strtoul (argv[1], NULL, 10) : 20000;
  unsigned in_flight = argc > 2 ? (unsigned) strtoul (argv[2], NULL, 10) : 1000;
  int64_t hold = argc > 3 ? strtol (argv[3], NULL, 10) * USEC_PER_MSEC : 0;
  struct bench *bench = talloc_zero (NULL, struct bench);

  bench->loop = loop_new (bench, CONNECTIONS_MAX);
  bench->calls = talloc_zero_array (bench, struct bench_call, CONNECTIONS_MAX);
  bench->held = talloc_zero_array (bench, struct http_exchange *, CONNECTIONS_MAX);
  if (bench->loop == NULL || !open_server_and_client (bench) || in_flight > CONNECTIONS_MAX / 2)
    return EXIT_FAILURE;
  for (unsigned i = 0; i < CONNECTIONS_MAX; i++)
    bench->calls[i] = (struct bench_call){ .sink = { .ops = &sink_ops }, .bench = bench };
  printf ("resident idle: %ld KiB\n", resident_kib ());
  run (bench, "32 in flight", requests, COST_IN_FLIGHT);
  bench->hold_count = in_flight;
  bench->hold = hold;
  run (bench, "held", in_flight, in_flight);
  bench->hold_count = 0;
  run (bench, "many in flight", requests, in_flight);
  printf ("resident at the end: %ld KiB\n", resident_kib ());
  talloc_free (bench);
  return EXIT_SUCCESS;
}
