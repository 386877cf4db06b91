/* Requests of a launch to its running processes: readiness, resources, faults, counters. */
#include "launch.h"
#include "text.h"
#include <math.h>
#include <string.h>
#include <talloc.h>

/* Timeouts are long, so that a busy machine does not cause a failure; readiness is polled far more
 * often. */
#define READY_TIMEOUT (60 * USEC_PER_SEC)
#define CALL_TIMEOUT (5 * USEC_PER_SEC)
#define POLL_INTERVAL (20 * USEC_PER_MSEC)

typedef bool condition_function (struct launch *launch, void *arg);

static enum status
wait_until (struct launch *launch, condition_function *condition, void *arg, const char *what)
{
  struct loop *loop = caller_loop (launch->caller);
  int64_t until = loop_now (loop) + READY_TIMEOUT;

  while (!condition (launch, arg))
    {
      if (loop_now (loop) >= until)
        return status_fail (STATUS_TIMEOUT, "timed out waiting until %s (logs in %s)", what,
                            launch->folder);
      loop_run_once (loop, POLL_INTERVAL);
    }
  return STATUS_OK;
}

static json_t *
get_from_host (struct launch *launch, uint32_t host, const char *path, int *code)
{
  return call_json (launch->caller, launch->hosts[host].addresses[LAUNCH_OPERATORS], "GET", path,
                    NULL, CALL_TIMEOUT, code);
}

static bool
all_healthy (struct launch *launch, void *arg)
{
  (void) arg;
  for (uint32_t i = 0; i < launch->n_hosts; i++)
    {
      int code = 0;

      if (launch->hosts[i].process.pid == 0)
        continue;
      json_decref (get_from_host (launch, i, "/v1/health", &code));
      if (code != 200)
        return false;
    }
  return true;
}

enum status
launch_wait_healthy (struct launch *launch)
{
  return wait_until (launch, all_healthy, NULL, "every host is healthy");
}

uint32_t
launch_usable_targets (struct launch *launch, uint32_t host)
{
  json_t *dump = get_from_host (launch, host, "/v1/dump", NULL);
  json_t *targets = json_object_get (json_object_get (dump, "board"), "targets");
  json_t *target;
  uint32_t usable = 0;
  size_t i;

  /* A host may know a target before it holds a lease on it. */
  json_array_foreach (targets, i, target)
    {
      const char *state = json_string_value (json_object_get (target, "state"));

      usable += state && strcmp (state, "ready") == 0
                && json_integer_value (json_object_get (target, "lease_ms")) > 0;
    }
  json_decref (dump);
  return usable;
}

static bool
targets_known (struct launch *launch, void *arg)
{
  const uint32_t *targets = arg;

  for (uint32_t i = 0; i < launch->n_hosts; i++)
    if (launch->hosts[i].process.pid != 0 && launch_usable_targets (launch, i) != *targets)
      return false;
  return true;
}

enum status
launch_wait_targets (struct launch *launch, uint32_t targets)
{
  return wait_until (launch, targets_known, &targets, "every host may use the targets");
}

/* True if every running host is reachable and reports the same revision. */
static bool
revisions_agree (struct launch *launch, void *arg)
{
  json_int_t wanted = -1;

  (void) arg;
  for (uint32_t i = 0; i < launch->n_hosts; i++)
    {
      int code = 0;
      json_t *answer;
      json_int_t revision;

      if (launch->hosts[i].process.pid == 0)
        continue;
      answer = get_from_host (launch, i, "/v1/revision", &code);
      revision = json_integer_value (json_object_get (answer, "revision"));
      json_decref (answer);
      if (code != 200 || (wanted >= 0 && revision != wanted))
        return false;
      wanted = revision;
    }
  return true;
}

enum status
launch_wait_revision (struct launch *launch)
{
  return wait_until (launch, revisions_agree, NULL, "every host has the newest revision");
}

struct put
{
  const char *path;
  json_t *body;
  int code;
  char error[256];
};

/* Put through the first host that answers; a permanent rejection also ends the wait. */
static bool
put_on_any_host (struct launch *launch, void *arg)
{
  struct put *put = arg;

  for (uint32_t i = 0; i < launch->n_hosts; i++)
    {
      json_t *answer;
      const char *message;

      if (launch->hosts[i].process.pid == 0)
        continue;
      answer = call_json (launch->caller, launch->hosts[i].addresses[LAUNCH_OPERATORS], "PUT",
                          put->path, json_incref (put->body), CALL_TIMEOUT, &put->code);
      message = json_string_value (json_object_get (json_object_get (answer, "error"), "message"));
      text_copy_truncated (put->error, sizeof put->error, message ? message : "");
      json_decref (answer);
      if (put->code >= 200 && put->code < 500 && put->code != 429)
        return true;
    }
  return false;
}

enum status
launch_apply (struct launch *launch, enum resource_kind kind, const char *name, json_t *spec)
{
  static const char *const plurals[] = {
#define X(word, plural) [RESOURCE_##word] = plural,
    RESOURCE_KIND_LIST (X)
#undef X
  };
  char path[RESOURCE_NAME_SIZE + 32];
  struct put put = { .path = path };
  enum status status;

  snprintf (path, sizeof path, "/v1/%s/%s", plurals[kind], name);
  put.body = json_pack ("{s:s, s:{s:s}, s:o}", "kind", plurals[kind], "metadata", "name", name,
                        "spec", spec);
  status = wait_until (launch, put_on_any_host, &put, "a host accepts the resource");
  json_decref (put.body);
  if (status == STATUS_OK && put.code >= 300)
    return status_fail (STATUS_INVALID, "PUT %s: %d: %s", path, put.code, put.error);
  return status;
}

static const char *
kind_text (enum stage_kind kind)
{
  static const char *const kinds[] = {
#define X(name, text) [STAGE_##name] = text,
    STAGE_KIND_LIST (X)
#undef X
  };

  return kinds[kind];
}

enum status
launch_apply_pool (struct launch *launch, const struct pool_spec *spec)
{
  return launch_apply (launch, RESOURCE_POOL, spec->name,
                       json_pack ("{s:s, s:f, s:I, s:f}", "kind", kind_text (spec->kind),
                                  "costPerSecond", spec->cost_per_second, "slots",
                                  (json_int_t) spec->slots, "ejectShareMax",
                                  spec->eject_share_max));
}

static json_t *
policy_json (const struct pipeline_spec *spec)
{
  return json_pack ("{s:I, s:s, s:I, s:f, s:f, s:I, s:b}", "deadlineMs",
                    (json_int_t) (spec->deadline / USEC_PER_MSEC), "objective",
                    spec->objective == OBJECTIVE_COST ? "cost" : "attainment", "maxAttempts",
                    (json_int_t) spec->max_attempts, "retryShare", spec->retry_share, "hedgeShare",
                    spec->hedge_share, "priority", (json_int_t) spec->priority, "repeatable",
                    spec->repeatable);
}

static json_t *
stage_json (const struct stage_spec *stage)
{
  json_t *json = json_pack ("{s:s, s:s, s:s}", "name", stage->name, "kind", kind_text (stage->kind),
                            "pool", stage->pool);

  if (stage->max_tokens > 0)
    json_object_set_new (json, "maxTokens", json_integer (stage->max_tokens));
  if (stage->top > 0)
    json_object_set_new (json, "top", json_integer (stage->top));
  return json;
}

enum status
launch_apply_pipeline (struct launch *launch, const struct pipeline_spec *spec)
{
  json_t *json = policy_json (spec);
  json_t *stages;

  if (spec->service)
    {
      json_object_set_new (json, "pool", json_string (spec->stages[0].pool));
      return launch_apply (launch, RESOURCE_SERVICE, spec->name, json);
    }
  stages = json_array ();
  for (uint32_t i = 0; i < spec->n_stages; i++)
    json_array_append_new (stages, stage_json (&spec->stages[i]));
  json_object_set_new (json, "stages", stages);
  return launch_apply (launch, RESOURCE_PIPELINE, spec->name, json);
}

static enum status
apply_site_pipelines (struct launch *launch, const struct site *site, double time_scale)
{
  enum status status = STATUS_OK;

  for (uint32_t i = 0; i < site->n_pipelines && status == STATUS_OK; i++)
    {
      struct pipeline_spec spec;

      site_pipeline_spec (site, i, &spec);
      spec.deadline = (int64_t) llround ((double) spec.deadline * time_scale);
      status = launch_apply_pipeline (launch, &spec);
    }
  return status;
}

enum status
launch_apply_site (struct launch *launch, const struct site *site, double time_scale)
{
  enum status status = STATUS_OK;

  for (uint32_t i = 0; i < site->n_pools && status == STATUS_OK; i++)
    {
      struct pool_spec spec;

      site_pool_spec (site, i, &spec);
      status = launch_apply_pool (launch, &spec);
    }
  for (uint32_t i = 0; i < SITE_ORGANISATIONS && status == STATUS_OK; i++)
    status = launch_apply (launch, RESOURCE_ORGANISATION, site->organisations[i].name,
                           json_pack ("{s:f}", "weight", 1.0));
  return status == STATUS_OK ? apply_site_pipelines (launch, site, time_scale) : status;
}

enum status
launch_start_site (struct launch *launch,
                   const struct site *site,
                   double time_scale,
                   const char *const *more)
{
  char domains[SITE_DOMAINS * RESOURCE_NAME_SIZE];
  enum status status = STATUS_OK;

  snprintf (domains, sizeof domains, "%s,%s,%s", site->domains[0], site->domains[1],
            site->domains[2]);
  for (uint32_t i = 0; i < site->n_pools && status == STATUS_OK; i++)
    {
      struct launch_fakes fakes = { .targets = site->pools[i].targets,
                                    .domains = domains,
                                    .time_scale = time_scale,
                                    .reports_load = site->pools[i].reports_load,
                                    .more = more };

      site_pool_spec (site, i, &fakes.spec);
      status = launch_start_fakes (launch, &fakes);
    }
  return status;
}

enum status
launch_inject_fault (struct launch *launch, const char *pool, json_t *fault)
{
  enum status status = status_fail (STATUS_NOT_FOUND, "no such pool: %s", pool);

  for (uint32_t i = 0; i < launch->n_pools; i++)
    {
      int code = 0;

      if (strcmp (launch->pools[i].spec.name, pool) != 0)
        continue;
      json_decref (call_json (launch->caller, launch->pools[i].control, "POST", "/v1/fault",
                              json_incref (fault), CALL_TIMEOUT, &code));
      status = code == 200 ? STATUS_OK
                           : status_fail (STATUS_INVALID, "fault at %s: code %d", pool, code);
    }
  json_decref (fault);
  return status;
}

json_t *
launch_counts (struct launch *launch)
{
  json_t *all = json_array ();

  for (uint32_t i = 0; i < launch->n_pools; i++)
    {
      json_t *answer = call_json (launch->caller, launch->pools[i].control, "GET",
                                  "/v1/fake/counts", NULL, CALL_TIMEOUT, NULL);

      json_array_extend (all, json_object_get (answer, "targets"));
      json_decref (answer);
    }
  return all;
}

uint32_t
launch_executions (struct launch *launch, const char *pool, const char *request_id)
{
  json_t *counts = launch_counts (launch);
  json_t *target;
  uint32_t executions = 0;
  size_t i;

  json_array_foreach (counts, i, target)
    {
      if (strcmp (json_string_value (json_object_get (target, "pool")), pool) == 0)
        executions += (uint32_t) json_integer_value (
            json_object_get (json_object_get (target, "executions"), request_id));
    }
  json_decref (counts);
  return executions;
}
