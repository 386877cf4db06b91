/* Orders of evacuation at a controller.
 *
 * Each order begins with a quorum read: its outcome is then judged by all that was acknowledged,
 * and a caller that has disconnected while this process did not run is known to be gone. */
#include "evacuation_control.h"
#include "container.h"
#include "log.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

/* A controller that started within this time may not know of a domain's targets and entry hosts
 * yet; these call within their periods. */
#define LEARNING_TIME (3 * USEC_PER_SEC)

struct evacuation_control
{
  struct evacuation_control_config config;
};

static const char *const result_texts[] = {
#define X(name, text) [EVACUATION_RESULT_##name] = text,
  EVACUATION_RESULT_LIST (X)
#undef X
};

const char *
evacuation_result_text (enum evacuation_result result)
{
  return result_texts[result];
}

static bool
is_known (const struct evacuation_control *control, const char *domain)
{
  for (uint32_t i = 0; i < control->config.n_domains; i++)
    if (strcmp (control->config.domains[i], domain) == 0)
      return true;
  return controller_knows_domain (control->config.controller, domain);
}

static void
log_order (const struct evacuation_call *call, const char *outcome, int64_t now)
{
  struct consensus *consensus = call->control->config.consensus;
  const struct evacuation_set *set = document_evacuations (call->control->config.document);
  json_t *position = consensus->ops->position (consensus);

  log_event (LOG_MODULE_AUDIT, LOG_LEVEL_INFO, "evacuation", "{s:s,s:s,s:s,s:I,s:I,s:i,s:O}",
             "order", call->order.begins ? "begin" : "finish", "domain", call->order.domain,
             "outcome", outcome, "revision", (json_int_t) set->revision, "age_ms",
             (json_int_t) ((now - call->started_at) / USEC_PER_MSEC), "evacuated",
             (int) evacuation_count (set), "position", position);
  json_decref (position);
}

static void
finish (struct evacuation_call *call,
        enum evacuation_result result,
        const char *outcome,
        int64_t now)
{
  log_order (call, outcome, now);
  call->ops->done (call, result, now);
}

static void start_read (struct evacuation_call *call, int64_t now);

static void
proposed (
    struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct evacuation_call *call = CONTAINER_OF (proposal, struct evacuation_call, proposal);
  enum evacuation_outcome outcome;

  if (status != STATUS_OK)
    finish (call, EVACUATION_RESULT_UNAVAILABLE, status_text (status), now);
  else if (!document_read_evacuation_outcome (result, length, &outcome))
    finish (call, EVACUATION_RESULT_UNAVAILABLE, "not understood by the leader", now);
  else if (outcome == EVACUATION_SUPERSEDED)
    start_read (call, now);
  else
    finish (call, outcome == EVACUATION_FULL ? EVACUATION_RESULT_REFUSED : EVACUATION_RESULT_DONE,
            evacuation_outcome_text (outcome), now);
}

static const struct proposal_ops propose_ops = { .done = proposed };

static void
propose (struct evacuation_call *call, int64_t now)
{
  struct consensus *consensus = call->control->config.consensus;
  struct bytes entry;
  enum status status = STATUS_NO_MEMORY;

  bytes_init (&entry, NULL);
  document_evacuation_pack (&call->order, &entry);
  call->proposal.ops = &propose_ops;
  if (!bytes_has_failed (&entry))
    status = consensus->ops->propose (consensus, entry.data, entry.length, &call->proposal,
                                      call->started_at + EVACUATION_ORDER_TIMEOUT, now);
  bytes_clear (&entry);
  if (status != STATUS_OK)
    finish (call, EVACUATION_RESULT_UNAVAILABLE, status_text (status), now);
}

/* The set held has by now all that was acknowledged before. */
static void
judge (struct evacuation_call *call, int64_t now)
{
  const struct evacuation_control *control = call->control;
  const struct evacuation_domain *held =
      evacuation_find (document_evacuations (control->config.document), call->order.domain);

  if (!is_known (control, call->order.domain))
    {
      bool learning = control->config.n_domains == 0 && now - control->config.now < LEARNING_TIME;

      finish (call, learning ? EVACUATION_RESULT_UNAVAILABLE : EVACUATION_RESULT_UNKNOWN,
              "unknown domain", now);
      return;
    }
  if ((held != NULL && held->is_evacuated) == call->order.begins)
    {
      finish (call, EVACUATION_RESULT_DONE, evacuation_outcome_text (EVACUATION_UNCHANGED), now);
      return;
    }
  call->order.base = held == NULL ? 0 : held->revision;
  propose (call, now);
}

static void
read_done (
    struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct evacuation_call *call = CONTAINER_OF (proposal, struct evacuation_call, proposal);

  (void) result;
  (void) length;
  if (status == STATUS_OK)
    judge (call, now);
  else
    finish (call, EVACUATION_RESULT_UNAVAILABLE, status_text (status), now);
}

static const struct proposal_ops read_ops = { .done = read_done };

static void
start_read (struct evacuation_call *call, int64_t now)
{
  struct consensus *consensus = call->control->config.consensus;
  enum status status;

  call->proposal.ops = &read_ops;
  status = consensus->ops->read (consensus, &call->proposal,
                                 call->started_at + EVACUATION_ORDER_TIMEOUT, now);
  if (status != STATUS_OK)
    finish (call, EVACUATION_RESULT_UNAVAILABLE, status_text (status), now);
}

void
evacuation_control_order (struct evacuation_control *control,
                          struct evacuation_call *call,
                          const char *domain,
                          bool begins,
                          int64_t now)
{
  call->control = control;
  call->order = (struct evacuation_order){ .begins = begins };
  text_copy_truncated (call->order.domain, sizeof call->order.domain, domain);
  call->started_at = now;
  start_read (call, now);
}

void
evacuation_control_cancel (struct evacuation_call *call, int64_t now)
{
  struct consensus *consensus = call->control->config.consensus;

  consensus->ops->withdraw (consensus, &call->proposal);
  log_order (call, "the caller is gone", now);
}

const struct evacuation_view *
evacuation_control_view (const struct evacuation_control *control)
{
  return controller_evacuations (control->config.controller);
}

struct evacuation_control *
evacuation_control_new (void *parent, const struct evacuation_control_config *config)
{
  struct evacuation_control *control = talloc_zero (parent, struct evacuation_control);

  if (control != NULL)
    control->config = *config;
  return control;
}
