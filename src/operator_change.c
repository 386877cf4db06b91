/* Changes of resources: proposes them to the log, retries where that is safe, replies and writes
 * the audit log. */
#include "config_wait.h"
#include "container.h"
#include "log.h"
#include "operator_body.h"
#include "store_group.h"
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define CHANGE_TIMEOUT (8 * USEC_PER_SEC) /* of a request, excluding the wait for hosts */
#define PROPOSAL_TIMEOUT (2 * USEC_PER_SEC)
#define PROPOSAL_RETRY_DELAY (USEC_PER_SEC / 10) /* between proposals */
#define PATCH_CONFLICTS_MAX 8
#define WAIT_MAX_MS 60000

/* A change that has not been answered yet. */
struct operator_pending_change
{
  struct http_watcher watcher;
  struct operator_api *api;
  struct http_exchange *exchange; /* NULL once the operator has disconnected */
  struct proposal proposal;
  struct timer retry;
  struct config_waiter waiter;
  struct store_change change;
  char operator_name[RESOURCE_NAME_SIZE];
  json_t *patch;      /* NULL unless the request is a PATCH */
  bool version_given; /* the PATCH names the resourceVersion it applies to, `version` */
  uint64_t version;
  uint32_t conflicts;
  bool proposed;
  bool waiting;
  int64_t deadline;
  int64_t wait; /* for hosts to apply the change, microseconds; 0 for none */
  int code;     /* HTTP status of the response, kept while waiting for hosts */
  struct bytes object;
};

static int
pending_destroy (struct operator_pending_change *pending)
{
  const struct operator_api_config *config = &pending->api->config;

  timer_disarm (config->timers, &pending->retry);
  if (pending->proposed)
    config->consensus->ops->withdraw (config->consensus, &pending->proposal);
  if (pending->waiting)
    config_wait_cancel (config->wait, &pending->waiter);
  if (pending->exchange != NULL && pending->exchange->watcher == &pending->watcher)
    pending->exchange->watcher = NULL;
  json_decref (pending->patch);
  return 0;
}

static void
audit (const struct operator_pending_change *pending, const char *result, uint64_t revision)
{
  static const char *const ops[] = {
    [STORE_PUT] = "put",
    [STORE_DELETE] = "delete",
    [STORE_STATUS] = "status",
    [STORE_FENCE] = "fence",
  };

  log_event (LOG_MODULE_AUDIT, LOG_LEVEL_INFO, "change", "{s:s,s:s,s:s,s:s,s:s,s:s,s:I}",
             "operator", pending->operator_name, "op",
             pending->patch != NULL ? "patch" : ops[pending->change.op], "kind",
             resource_kind_plural (pending->change.kind), "name", pending->change.name, "change_id",
             pending->change.change_id, "result", result, "revision", (json_int_t) revision);
}

/* The operator disconnected: the change continues, and a resend gets its result. */
static void
closed (struct http_watcher *watcher, int64_t now)
{
  (void) now;
  CONTAINER_OF (watcher, struct operator_pending_change, watcher)->exchange = NULL;
}

static void
finish_with_error (struct operator_pending_change *pending,
                   int code,
                   const char *field,
                   const char *message,
                   const char *object,
                   size_t length,
                   int64_t now)
{
  struct http_exchange *exchange = pending->exchange;

  pending->exchange = NULL;
  if (exchange != NULL)
    operator_reply_error (pending->api, exchange, code, field, message, object, length, now);
  talloc_free (pending);
}

static void
finish_with_object (struct operator_pending_change *pending, int64_t now)
{
  struct http_exchange *exchange = pending->exchange;

  pending->exchange = NULL;
  if (exchange != NULL)
    operator_reply (pending->api, exchange, pending->code, pending->object.data,
                    pending->object.length, now);
  talloc_free (pending);
}

static void propose_change (struct operator_pending_change *pending, int64_t now);

static uint64_t
version_of (const struct store_answer *answer)
{
  json_t *object = json_loadb (answer->text, answer->length, 0, NULL);
  json_t *metadata = json_object_get (object, "metadata");
  uint64_t version = (uint64_t) json_integer_value (json_object_get (metadata, "resourceVersion"));

  json_decref (object);
  return version;
}

static void
finish_with_conflict (struct operator_pending_change *pending,
                      const struct store_answer *answer,
                      int64_t now)
{
  audit (pending, store_verdict_message (STORE_CONFLICT), answer->revision);
  counter_add (pending->api->conflicts, 1);
  finish_with_error (pending, 409, "metadata.resourceVersion",
                     store_verdict_message (STORE_CONFLICT), answer->text, answer->length, now);
}

/* Builds the spec of a PATCH from `current`; false if an error was sent and `pending` freed. */
static bool
merge_patch (struct operator_pending_change *pending,
             const char *current,
             size_t length,
             int64_t now)
{
  json_t *object = json_loadb (current, length, 0, NULL);
  json_t *metadata = json_object_get (object, "metadata");
  json_t *spec = json_deep_copy (json_object_get (object, "spec"));
  struct operator_fault fault;
  bool valid;

  pending->change.has_version = true;
  pending->change.version =
      (uint64_t) json_integer_value (json_object_get (metadata, "resourceVersion"));
  spec = operator_merge_patch (spec, json_deep_copy (pending->patch));
  valid = operator_body_check (spec, pending, &pending->change, &fault);
  json_decref (spec);
  json_decref (object);
  if (!valid)
    finish_with_error (pending, fault.code, fault.field, fault.message, NULL, 0, now);
  return valid;
}

/* The object has changed since the patch was merged: merge it into the current object. */
static void
patch_conflict (struct operator_pending_change *pending,
                const struct store_answer *answer,
                int64_t now)
{
  if (answer->length == 0)
    finish_with_error (pending, 404, NULL, "no such object", NULL, 0, now);
  else if (pending->version_given && version_of (answer) != pending->version)
    finish_with_conflict (pending, answer, now);
  else if (++pending->conflicts > PATCH_CONFLICTS_MAX)
    finish_with_error (pending, 409, NULL, "the object keeps changing: try again", answer->text,
                       answer->length, now);
  else if (merge_patch (pending, answer->text, answer->length, now))
    propose_change (pending, now);
}

static void
wait_done (struct config_waiter *waiter, const struct config_wait_result *result, int64_t now)
{
  struct operator_pending_change *pending =
      CONTAINER_OF (waiter, struct operator_pending_change, waiter);
  json_t *object = json_loadb (pending->object.data, pending->object.length, 0, NULL);
  char *text;

  pending->waiting = false;
  json_object_set_new (object, "inForce",
                       json_pack ("{s:I,s:b,s:I,s:O,s:O}", "revision",
                                  (json_int_t) result->revision, "everywhere", result->everywhere,
                                  "hosts", (json_int_t) result->hosts, "behind", result->behind,
                                  "unreachable", result->cut_off));
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  if (text != NULL)
    {
      bytes_clear (&pending->object);
      bytes_append_text (&pending->object, text);
    }
  free (text);
  finish_with_object (pending, now);
}

static const struct config_waiter_ops waiter_ops = { .done = wait_done };

static void
handle_accepted (struct operator_pending_change *pending,
                 const struct store_answer *answer,
                 int64_t now)
{
  struct operator_api *api = pending->api;

  counter_add (answer->resent ? api->resent : api->changes, 1);
  pending->code = store_verdict_code (answer->verdict);
  bytes_append (&pending->object, answer->text, answer->length);
  pending->waiter.ops = &waiter_ops;
  pending->waiting = pending->wait > 0 && api->config.wait != NULL
                     && config_wait_start (api->config.wait, &pending->waiter, answer->revision,
                                           now + pending->wait, now)
                            == STATUS_OK;
  if (!pending->waiting)
    finish_with_object (pending, now);
}

static void
handle_answer (struct operator_pending_change *pending,
               const struct store_answer *answer,
               int64_t now)
{
  char message[256];

  if (answer->verdict == STORE_CONFLICT && pending->change.retry_on_conflict)
    {
      patch_conflict (pending, answer, now);
      return;
    }
  if (answer->verdict == STORE_CONFLICT)
    {
      finish_with_conflict (pending, answer, now);
      return;
    }
  audit (pending, answer->resent ? "resent" : store_verdict_message (answer->verdict),
         answer->revision);
  if (answer->verdict < STORE_CONFLICT)
    {
      handle_accepted (pending, answer, now);
      return;
    }
  snprintf (message, sizeof message, "%s%s%.*s", store_verdict_message (answer->verdict),
            answer->length > 0 ? ": " : "", (int) answer->length,
            answer->length > 0 ? answer->text : "");
  finish_with_error (pending, store_verdict_code (answer->verdict), NULL, message, NULL, 0, now);
}

/* A proposal failed.  After a timeout or STATUS_UNAVAILABLE the entry may have been applied or may
 * still be.  With a change id it is retried, since the state machine recognises a duplicate;
 * without one the operator has to decide.  After any other failure the entry was not applied, and
 * it is retried also without a change id.  Retries end at the deadline. */
static void
handle_failed_proposal (struct operator_pending_change *pending, enum status status, int64_t now)
{
  bool known_not_applied = status != STATUS_TIMEOUT && status != STATUS_UNAVAILABLE;

  if ((known_not_applied || pending->change.change_id[0] != '\0')
      && now + PROPOSAL_RETRY_DELAY < pending->deadline)
    {
      timer_arm (pending->api->config.timers, &pending->retry, now + PROPOSAL_RETRY_DELAY);
      return;
    }
  audit (pending, known_not_applied ? "not applied" : "unknown", 0);
  if (known_not_applied)
    finish_with_error (pending, 503, NULL, "not applied: the configuration has no leader", NULL, 0,
                       now);
  else
    finish_with_error (
        pending, 504, NULL,
        "it is not known whether the change was applied: send it again with the same "
        "x-change-id, or read the object",
        NULL, 0, now);
}

static void
done (struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct operator_pending_change *pending =
      CONTAINER_OF (proposal, struct operator_pending_change, proposal);
  struct store_answer answer;

  pending->proposed = false;
  if (status == STATUS_OK)
    status = store_answer_unpack (&answer, result, length);
  if (status == STATUS_OK)
    handle_answer (pending, &answer, now);
  else
    handle_failed_proposal (pending, status, now);
}

static const struct proposal_ops proposal_ops = { .done = done };
static const struct http_watcher_ops watcher_ops = { .closed = closed };

static void
propose_change (struct operator_pending_change *pending, int64_t now)
{
  struct consensus *consensus = pending->api->config.consensus;
  int64_t deadline =
      now + PROPOSAL_TIMEOUT < pending->deadline ? now + PROPOSAL_TIMEOUT : pending->deadline;
  struct bytes entry;
  enum status status;

  bytes_init (&entry, pending);
  store_group_begin_entry (STORE_PART_RESOURCES, &entry);
  store_change_pack (&pending->change, &entry);
  status = bytes_has_failed (&entry) ? status_fail (STATUS_NO_MEMORY, "no memory for an entry")
                                     : consensus->ops->propose (consensus, entry.data, entry.length,
                                                                &pending->proposal, deadline, now);
  bytes_clear (&entry);
  pending->proposed = status == STATUS_OK;
  if (status != STATUS_OK)
    handle_failed_proposal (pending, STATUS_NOT_LEADER, now);
}

static void
retry_due (struct timer *timer, int64_t now)
{
  propose_change (CONTAINER_OF (timer, struct operator_pending_change, retry), now);
}

static const struct timer_ops retry_ops = { .fire = retry_due };

/* Reads the change id and hashes the request; false if an error was sent. */
static bool
read_change_id (const struct operator_request *request, struct store_change *change)
{
  const struct http_exchange *exchange = request->exchange;
  const char *id = http_header (exchange, "x-change-id");
  char version[24] = "";
  crypto_generichash_state state;

  if (id != NULL && (id[0] == '\0' || !text_copy (change->change_id, sizeof change->change_id, id)))
    {
      http_reply_error (request->exchange, 400, "x-change-id", "expected 1 to 128 characters");
      return false;
    }
  http_query (exchange, "resourceVersion", version, sizeof version);
  crypto_generichash_init (&state, NULL, 0, sizeof change->body_hash);
  crypto_generichash_update (&state, (const uint8_t *) version, strlen (version) + 1);
  crypto_generichash_update (&state, (const uint8_t *) exchange->method,
                             strlen (exchange->method) + 1);
  crypto_generichash_update (&state, (const uint8_t *) exchange->path, strlen (exchange->path) + 1);
  crypto_generichash_update (&state, (const uint8_t *) exchange->body, exchange->body_length);
  crypto_generichash_final (&state, change->body_hash, sizeof change->body_hash);
  return true;
}

static bool
refuse (struct operator_request *request, const struct operator_fault *fault)
{
  http_reply_error (request->exchange, fault->code, fault->field[0] == '\0' ? NULL : fault->field,
                    fault->message);
  return false;
}

/* Merges the patch into this host's copy of the object if it has the version named.  Otherwise the
 * outcome is left to the log, since the request may be a resend of an applied change and this host
 * may lag behind: an empty spec is proposed with version UINT64_MAX, which no object has, so it
 * conflicts and is never stored. */
static bool
read_patch (struct operator_pending_change *pending,
            const struct operator_body *body,
            struct operator_fault *fault)
{
  const struct store_object *object =
      store_find (pending->api->config.store, pending->change.kind, pending->change.name);
  json_t *spec;
  bool valid;

  pending->patch = json_incref (body->spec);
  pending->version_given = body->has_version;
  pending->version = body->version;
  pending->change.retry_on_conflict = true;
  pending->change.has_version = true;
  if (object == NULL || (body->has_version && body->version != object->revision))
    {
      pending->change.version = UINT64_MAX;
      pending->change.text = "{}";
      pending->change.length = 2;
      return true;
    }
  pending->change.version = object->revision;
  spec = operator_merge_patch (json_loads (object->spec, 0, NULL), json_deep_copy (body->spec));
  valid = operator_body_check (spec, pending, &pending->change, fault);
  json_decref (spec);
  return valid;
}

static bool
read_delete (const struct operator_request *request, struct store_change *change)
{
  char text[24];

  change->op = STORE_DELETE;
  change->text = "";
  change->has_version =
      http_query (request->exchange, "resourceVersion", text, sizeof text) && text[0] != '\0';
  if (change->has_version)
    change->version = strtoull (text, NULL, 10);
  return true;
}

/* Reads the request into `pending->change`; false if an error was sent. */
static bool
read_change (struct operator_request *request, struct operator_pending_change *pending)
{
  const char *method = request->exchange->method;
  struct store_change *change = &pending->change;
  struct operator_fault fault;
  struct operator_body body;
  bool valid;

  if (strcmp (method, "DELETE") == 0)
    return read_delete (request, change);
  if (strcmp (method, "PUT") != 0 && strcmp (method, "PATCH") != 0)
    {
      http_reply_error (request->exchange, 405, NULL, "GET, PUT, PATCH or DELETE");
      return false;
    }
  if (!operator_body_read (request, &body, &fault))
    return refuse (request, &fault);
  change->op = STORE_PUT;
  change->has_version = body.has_version;
  change->version = body.version;
  if (strcmp (method, "PATCH") == 0)
    valid = read_patch (pending, &body, &fault);
  else
    valid = operator_body_check (body.spec, pending, change, &fault);
  json_decref (body.spec);
  return valid || refuse (request, &fault);
}

static int64_t
read_wait (const struct http_exchange *exchange)
{
  char text[16];
  long wait;

  if (!http_query (exchange, "wait", text, sizeof text))
    return 0;
  wait = strtol (text, NULL, 10);
  if (wait < 0)
    wait = 0;
  return (wait > WAIT_MAX_MS ? WAIT_MAX_MS : wait) * USEC_PER_MSEC;
}

void
operator_change (struct operator_request *request)
{
  struct operator_api *api = request->api;
  struct operator_pending_change *pending = talloc_zero (api, struct operator_pending_change);

  if (pending == NULL)
    {
      http_reply_error (request->exchange, 500, NULL, "out of memory");
      return;
    }
  pending->api = api;
  pending->watcher.ops = &watcher_ops;
  pending->proposal.ops = &proposal_ops;
  pending->retry.ops = &retry_ops;
  bytes_init (&pending->object, pending);
  talloc_set_destructor (pending, pending_destroy);
  pending->change.kind = request->kind;
  text_copy_truncated (pending->change.name, sizeof pending->change.name, request->name);
  text_copy_truncated (pending->change.host, sizeof pending->change.host, api->config.host);
  text_copy_truncated (pending->operator_name, sizeof pending->operator_name,
                       request->operator_name);
  pending->change.time_ms = request->now / USEC_PER_MSEC + api->config.wall_offset_ms;
  pending->deadline = request->now + CHANGE_TIMEOUT;
  pending->wait = read_wait (request->exchange);
  if (!read_change_id (request, &pending->change) || !read_change (request, pending))
    {
      talloc_free (pending);
      return;
    }
  pending->exchange = request->exchange;
  request->exchange->watcher = &pending->watcher;
  propose_change (pending, request->now);
}
