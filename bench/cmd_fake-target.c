/* Runs fake targets of one pool in one process; one control address serves fault injection and
 * counts. */
#include "fake.h"
#include "http_client.h"
#include "text.h"
#include <argp.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define CONNECTIONS_MAX 20000
#define TARGETS_MAX 4300
#define DOMAINS_MAX 16
#define CALLS_MAX 16384
#define ANSWER_BYTES_MAX 65536
#define CONNECT_TIMEOUT (500 * USEC_PER_MSEC)
#define QUIT_TIMEOUT (10 * USEC_PER_SEC)
#define QUIT_POLL_INTERVAL (20 * USEC_PER_MSEC)

struct program
{
  struct http_route route; /* first member: the callback casts it to the program */
  struct timer quit_timer;
  struct loop_signal signal;
  struct loop *loop;
  struct http_server *server;
  struct fake_options options;
  struct fake_target *targets[TARGETS_MAX];
  uint32_t count;
  const char *name_prefix;
  const char *listen;
  const char *control;
  char domains[DOMAINS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_domains;
  int64_t quit_deadline; /* 0 until a signal arrives */
};

enum option_key
{
  OPTION_KIND = 256,
  OPTION_POOL,
  OPTION_MODEL,
  OPTION_COUNT,
  OPTION_NAME_PREFIX,
  OPTION_DOMAIN,
  OPTION_HOSTS,
  OPTION_LISTEN,
  OPTION_CONTROL,
  OPTION_TIME_SCALE,
  OPTION_SLOTS,
  OPTION_QUEUE,
  OPTION_CACHE_BLOCKS,
  OPTION_PIECE_TOKENS,
  OPTION_REPORT_MS,
  OPTION_REPORT_LAG_MS,
  OPTION_REPORT_DROP,
  OPTION_NO_REPORTS,
  OPTION_CHECKS_ORDERS,
  OPTION_SEED,
};

static const struct argp_option option_list[] = {
  { "kind", OPTION_KIND, "KIND", 0, "encode, retrieve, rerank, generate or call", 0 },
  { "pool", OPTION_POOL, "NAME", 0, "the pool to announce", 0 },
  { "model", OPTION_MODEL, "NAME", 0, "the model to announce (default: default)", 0 },
  { "count", OPTION_COUNT, "N", 0, "targets (default 1)", 0 },
  { "name-prefix", OPTION_NAME_PREFIX, "TEXT", 0, "names are TEXT-1, TEXT-2 (default: the pool)",
    0 },
  { "domain", OPTION_DOMAIN, "NAME,...", 0, "failure domains, assigned round-robin", 0 },
  { "hosts", OPTION_HOSTS, "IP:PORT,...", 0, "targets addresses of hosts to announce to", 0 },
  { "listen", OPTION_LISTEN, "IP:PORT", 0, "listen address of each target (default 127.0.0.1:0)",
    0 },
  { "control", OPTION_CONTROL, "IP:PORT", 0, "control address for faults and counts of all targets",
    0 },
  { "time-scale", OPTION_TIME_SCALE, "X", 0, "factor on every service time; 0 answers at once", 0 },
  { "slots", OPTION_SLOTS, "N", 0, "concurrent calls (default depends on the kind)", 0 },
  { "queue", OPTION_QUEUE, "N", 0, "calls that wait for a slot (default 64)", 0 },
  { "cache-blocks", OPTION_CACHE_BLOCKS, "N", 0, "prefix blocks held (default 2048)", 0 },
  { "piece-tokens", OPTION_PIECE_TOKENS, "N", 0, "tokens in an event of a stream (default 8)", 0 },
  { "report-ms", OPTION_REPORT_MS, "N", 0, "interval between load reports (default 200)", 0 },
  { "report-lag-ms", OPTION_REPORT_LAG_MS, "N", 0, "age of reports when sent (default 100)", 0 },
  { "report-drop", OPTION_REPORT_DROP, "SHARE", 0, "share of load reports lost (default 0)", 0 },
  { "no-reports", OPTION_NO_REPORTS, NULL, 0, "never report load", 0 },
  { "checks-orders", OPTION_CHECKS_ORDERS, NULL, 0, "refuse orders with an old fence", 0 },
  { "seed", OPTION_SEED, "N", 0, "seed of the random numbers (default 1)", 0 },
  { 0 },
};

static bool
parse_kind (const char *text, enum stage_kind *out)
{
  static const char *const kinds[] = {
#define X(name, word) [STAGE_##name] = word,
    STAGE_KIND_LIST (X)
#undef X
  };

  for (int i = 0; i < STAGE_KIND_COUNT; i++)
    if (strcmp (text, kinds[i]) == 0)
      {
        *out = (enum stage_kind) i;
        return true;
      }
  return false;
}

static bool
parse_number (const char *text, double max, double *out)
{
  char *end;

  *out = strtod (text, &end);
  return end != text && *end == '\0' && isfinite (*out) && *out >= 0 && *out <= max;
}

/* Split `text` at commas into fields of `size` bytes each. */
static bool
parse_list (const char *text, char *fields, size_t size, uint32_t max, uint32_t *count)
{
  while (*count < max)
    {
      size_t length = strcspn (text, ",");

      if (length == 0 || length >= size)
        return false;
      memcpy (fields + *count * size, text, length);
      fields[*count * size + length] = '\0';
      ++*count;
      if (text[length] == '\0')
        return true;
      text += length + 1;
    }
  return false;
}

static bool
parse_u32 (const char *text, uint32_t max, uint32_t *out)
{
  double number;

  if (!parse_number (text, max, &number))
    return false;
  *out = (uint32_t) number;
  return true;
}

static bool
parse_msec (const char *text, int64_t *out)
{
  double number;

  if (!parse_number (text, 1e9, &number))
    return false;
  *out = (int64_t) (number * USEC_PER_MSEC);
  return true;
}

static bool
parse_number_option (struct fake_options *options,
                     struct program *program,
                     int key,
                     const char *value)
{
  uint32_t seed = 0;
  bool valid;

  switch (key)
    {
    case OPTION_COUNT:
      return parse_u32 (value, TARGETS_MAX, &program->count) && program->count > 0;
    case OPTION_TIME_SCALE:
      return parse_number (value, 1000, &options->time_scale);
    case OPTION_SLOTS:
      return parse_u32 (value, 100000, &options->slots);
    case OPTION_QUEUE:
      return parse_u32 (value, 100000, &options->queue_max) && options->queue_max > 0;
    case OPTION_CACHE_BLOCKS:
      return parse_u32 (value, 1000000, &options->cache_blocks);
    case OPTION_PIECE_TOKENS:
      return parse_u32 (value, 100000, &options->piece_tokens) && options->piece_tokens > 0;
    case OPTION_REPORT_MS:
      return parse_msec (value, &options->report_interval);
    case OPTION_REPORT_LAG_MS:
      return parse_msec (value, &options->report_lag);
    case OPTION_REPORT_DROP:
      return parse_number (value, 1, &options->report_drop);
    default:
      valid = parse_u32 (value, UINT32_MAX, &seed);
      options->seed = seed;
      return valid;
    }
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct program *program = state->input;
  struct fake_options *options = &program->options;
  bool valid = true;

  switch (key)
    {
    case OPTION_KIND:
      valid = parse_kind (value, &options->kind);
      break;
    case OPTION_POOL:
      options->pool = value;
      break;
    case OPTION_MODEL:
      options->model = value;
      break;
    case OPTION_NAME_PREFIX:
      program->name_prefix = value;
      break;
    case OPTION_LISTEN:
      program->listen = value;
      break;
    case OPTION_CONTROL:
      program->control = value;
      break;
    case OPTION_DOMAIN:
      valid = parse_list (value, program->domains[0], RESOURCE_NAME_SIZE, DOMAINS_MAX,
                          &program->n_domains);
      break;
    case OPTION_HOSTS:
      valid = parse_list (value, options->hosts[0], RESOURCE_ADDRESS_SIZE, FAKE_HOSTS_MAX,
                          &options->n_hosts);
      break;
    case OPTION_NO_REPORTS:
      options->reports_load = false;
      break;
    case OPTION_CHECKS_ORDERS:
      options->checks_orders = true;
      break;
    case ARGP_KEY_END:
      if (!options->pool)
        argp_error (state, "--pool is missing");
      break;
    default:
      if (key < OPTION_KIND || key > OPTION_SEED)
        return ARGP_ERR_UNKNOWN;
      valid = parse_number_option (options, program, key, value);
    }
  if (!valid)
    argp_error (state, "invalid value: %s", value);
  return 0;
}

static void
reply_counts (struct program *program, struct http_exchange *exchange)
{
  json_t *targets = json_array ();

  for (uint32_t i = 0; i < program->count; i++)
    json_array_append_new (targets, fake_target_describe (program->targets[i]));
  fake_reply_json (exchange, 200, json_pack ("{s:o}", "targets", targets));
}

/* Inject the fault into the named target, or into all when no name is given. */
static void
apply_fault (struct program *program, struct http_exchange *exchange, int64_t now)
{
  json_t *fault = json_loadb (exchange->body, exchange->body_length, JSON_REJECT_DUPLICATES, NULL);
  const char *name = json_string_value (json_object_get (fault, "target"));
  enum status status = STATUS_NOT_FOUND;

  status_fail (status, "no such target");
  for (uint32_t i = 0; i < program->count; i++)
    if (!name || strcmp (name, program->targets[i]->name) == 0)
      {
        status = fake_target_set_fault (program->targets[i], fault, now);
        if (status != STATUS_OK)
          break;
      }
  json_decref (fault);
  if (status == STATUS_OK)
    fake_reply_json (exchange, 200, json_object ());
  else
    http_reply_error (exchange, 400, NULL, status_message ());
}

static void
on_request (struct http_route *route, struct http_exchange *exchange, int64_t now)
{
  struct program *program = (struct program *) route;

  if (strcmp (exchange->path, "/v1/fake/counts") == 0)
    reply_counts (program, exchange);
  else if (strcmp (exchange->path, "/v1/fault") == 0)
    apply_fault (program, exchange, now);
  else if (strcmp (exchange->path, "/v1/health") == 0)
    fake_reply_json (exchange, 200, json_object ());
  else
    http_reply_error (exchange, 404, NULL, "not a call of the control address");
}

static void
on_quit (struct timer *timer, int64_t now)
{
  struct program *program =
      (struct program *) ((char *) timer - offsetof (struct program, quit_timer));
  bool idle = true;

  for (uint32_t i = 0; i < program->count; i++)
    idle = idle && fake_target_is_idle (program->targets[i])
           && fake_target_has_left (program->targets[i]);
  if (idle || now >= program->quit_deadline)
    loop_stop (program->loop);
  else
    timer_arm (loop_timers (program->loop), timer, now + QUIT_POLL_INTERVAL);
}

/* Make all targets leave, and exit when no call is in flight or QUIT_TIMEOUT has passed; a second
 * signal exits at once. */
static void
on_signal (struct loop_signal *handler, int signo, int64_t now)
{
  struct program *program =
      (struct program *) ((char *) handler - offsetof (struct program, signal));

  (void) signo;
  if (program->quit_deadline > 0)
    {
      loop_stop (program->loop);
      return;
    }
  program->quit_deadline = now + QUIT_TIMEOUT;
  for (uint32_t i = 0; i < program->count; i++)
    fake_target_leave (program->targets[i], now);
  on_quit (&program->quit_timer, now);
}

static bool
start_control (struct program *program, struct counters *counters)
{
  static const struct http_route_ops ops = { .request = on_request };
  const struct http_server_config config = {
    .loop = program->loop,
    .counters = counters,
    .listen = { [HTTP_LISTENER_OPERATORS] = program->control },
    .limits = { .header_bytes = 8192,
                .body_bytes = 65536,
                .idle_timeout = 60 * USEC_PER_SEC,
                .body_timeout = 10 * USEC_PER_SEC,
                .unsent_bytes = 64 * 1024 * 1024 },
  };

  if (!program->control)
    return true;
  program->server = http_server_new (program, &config);
  program->route =
      (struct http_route){ .ops = &ops, .listener = HTTP_LISTENER_OPERATORS, .prefix = "/" };
  return program->server && http_server_add_route (program->server, &program->route) == STATUS_OK;
}

static bool
start_targets (struct program *program, struct counters *counters)
{
  const struct http_client_config config = {
    .loop = program->loop,
    .counters = counters,
    .calls_max = CALLS_MAX,
    .answer_bytes_max = ANSWER_BYTES_MAX,
    .connect_timeout = CONNECT_TIMEOUT,
  };
  struct http_client *client = http_client_new (program, &config);

  for (uint32_t i = 0; client && i < program->count; i++)
    {
      char name[RESOURCE_NAME_SIZE];

      snprintf (name, sizeof name, "%s-%u", program->name_prefix, i + 1);
      program->targets[i] =
          fake_target_new (program, &program->options, program->loop, client, counters, name,
                           program->domains[i % program->n_domains], program->listen);
      if (!program->targets[i])
        return false;
    }
  return client != NULL;
}

static bool
start (struct program *program)
{
  static const struct loop_signal_ops signal_ops = { .raised = on_signal };
  static const struct timer_ops quit_ops = { .fire = on_quit };
  static const int signals[] = { SIGTERM, SIGINT };
  struct counters *counters = counters_new (program);

  program->loop = loop_new (program, CONNECTIONS_MAX);
  if (!program->loop)
    return false;
  program->signal.ops = &signal_ops;
  program->quit_timer.ops = &quit_ops;
  return loop_on_signal (program->loop, &program->signal, signals, 2) == STATUS_OK
         && start_targets (program, counters) && start_control (program, counters);
}

int
main (int argc, char **argv)
{
  static const struct argp argp = { option_list, parse_option, NULL, "Fake targets of one pool.",
                                    NULL,        NULL,         NULL };
  struct program *program = talloc_zero (NULL, struct program);
  bool started;

  program->count = 1;
  program->listen = "127.0.0.1:0";
  program->options = (struct fake_options){ .kind = STAGE_CALL,
                                            .model = "default",
                                            .time_scale = 1,
                                            .queue_max = 64,
                                            .cache_blocks = 2048,
                                            .piece_tokens = 8,
                                            .reports_load = true,
                                            .report_interval = 200 * USEC_PER_MSEC,
                                            .report_lag = 100 * USEC_PER_MSEC,
                                            .seed = 1 };
  if (argp_parse (&argp, argc, argv, 0, NULL, program) != 0)
    return EXIT_FAILURE;
  if (!program->name_prefix)
    program->name_prefix = program->options.pool;
  if (program->n_domains == 0)
    {
      text_copy_truncated (program->domains[0], RESOURCE_NAME_SIZE, "default");
      program->n_domains = 1;
    }
  started = start (program);
  if (started)
    loop_run (program->loop);
  else
    fprintf (stderr, "fake-target: %s\n", status_message ());
  /* Calls in flight hold pointers into the targets, so the process exits without freeing them. */
  return started ? EXIT_SUCCESS : EXIT_FAILURE;
}
