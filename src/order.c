/* Orders to targets: leadership, fencing numbers, and the pass over the board. */
#include "container.h"
#include "log.h"
#include "order_private.h"
#include "store_group.h"
#include "text.h"
#include <string.h>
#include <utlist.h>

#define PASS_PERIOD (USEC_PER_SEC / 4)
#define FENCE_TIMEOUT (2 * USEC_PER_SEC)
#define FENCE_RETRY_PERIOD (2 * USEC_PER_SEC) /* between two proposals for a fencing number */

/* An assignment of the target itself takes precedence over one of its pool; among equals the first
 * by name does. */
const struct assignment_spec *
order_find_assignment (const struct orders *orders, const struct board_target *target)
{
  const struct assignment_spec *of_pool = NULL;
  uint32_t i;

  for (i = 0; i < orders->n_assignments; i++)
    {
      const struct assignment_spec *spec = &orders->assignments[i];

      if (strcmp (spec->target, target->name) == 0)
        return spec;
      if (of_pool == NULL && spec->pool[0] != '\0' && strcmp (spec->pool, target->pool) == 0)
        of_pool = spec;
    }
  return of_pool;
}

static void
read_assignments (struct orders *orders)
{
  const struct store *store = orders->config.store;
  const struct store_object *object = store_next (store, RESOURCE_ASSIGNMENT, "");
  uint32_t count = store_count (store, RESOURCE_ASSIGNMENT);

  talloc_free (orders->assignments);
  orders->n_assignments = 0;
  orders->assignments = talloc_zero_array (orders, struct assignment_spec, count + 1);
  if (orders->assignments == NULL)
    return; /* `assignments_stale` stays set, so the next pass tries again */
  for (; object != NULL; object = store_next (store, RESOURCE_ASSIGNMENT, object->name))
    {
      union resource_spec spec;
      struct resource_problem problem;
      json_t *json = json_loads (object->spec, JSON_REJECT_DUPLICATES, NULL);

      if (resource_parse (RESOURCE_ASSIGNMENT, object->name, json, &spec, &problem) == STATUS_OK)
        orders->assignments[orders->n_assignments++] = spec.assignment;
      json_decref (json);
    }
  orders->assignments_stale = false;
}

static struct order_target *
find_target (const struct orders *orders, const char *name)
{
  struct order_target *target;

  DL_FOREACH (orders->targets, target)
    if (strcmp (target->name, name) == 0)
      return target;
  return NULL;
}

static struct order_target *
add_target (struct orders *orders, const char *name, int64_t now)
{
  struct order_target *target = talloc_zero (orders, struct order_target);

  if (target == NULL)
    return NULL;
  target->sink.ops = &order_target_sink_ops;
  target->orders = orders;
  target->next_at = now;
  target->backoff = USEC_PER_SEC;
  bytes_init (&target->body, target);
  text_copy_truncated (target->name, sizeof target->name, name);
  DL_APPEND (orders->targets, target);
  return target;
}

static void
drop_all (struct orders *orders)
{
  while (orders->targets != NULL)
    order_target_drop (orders->targets);
}

/* Orders go only to usable targets: not to one that is leaving or whose lease has expired. */
static void
reconcile_targets (struct orders *orders, int64_t now)
{
  const struct board_target *entry;
  struct order_target *target;
  struct order_target *following;
  uint32_t cursor = 0;

  DL_FOREACH (orders->targets, target)
    target->seen = false;
  while ((entry = table_next (orders->config.board->targets, &cursor, NULL)) != NULL)
    {
      const struct assignment_spec *wanted = order_find_assignment (orders, entry);

      if (wanted == NULL || !board_target_is_usable (entry, now))
        continue;
      target = find_target (orders, entry->name);
      if (target == NULL)
        target = add_target (orders, entry->name, now);
      if (target == NULL)
        continue;
      target->seen = true;
      text_copy_truncated (target->assignment, sizeof target->assignment, wanted->name);
      order_target_advance (target, entry, now);
    }
  DL_FOREACH_SAFE (orders->targets, target, following)
    if (!target->seen)
      order_target_drop (target);
}

/* The assignments changed: the targets that were done are due again at once. */
static void
recheck_done_targets (struct orders *orders, int64_t now)
{
  struct order_target *target;

  DL_FOREACH (orders->targets, target)
    if (target->call == NULL && target->phase == ORDER_PHASE_DONE)
      target->next_at = now;
}

static void
propose_fence (struct orders *orders, int64_t now)
{
  struct consensus *consensus = orders->config.consensus;
  struct store_change change = {
    .op = STORE_FENCE,
    .text = "",
    .version = orders->fence_seen,
    .time_ms = now / USEC_PER_MSEC + orders->config.wall_offset_ms,
  };
  struct bytes entry;

  if (orders->fence_proposed
      || (orders->fence_proposed_at != 0 && now < orders->fence_proposed_at + FENCE_RETRY_PERIOD))
    return;
  orders->fence_proposed_at = now;
  text_copy_truncated (change.host, sizeof change.host, orders->config.host);
  bytes_init (&entry, orders);
  store_group_begin_entry (STORE_PART_RESOURCES, &entry);
  store_change_pack (&change, &entry);
  orders->fence_proposed =
      !bytes_has_failed (&entry)
      && consensus->ops->propose (consensus, entry.data, entry.length, &orders->fence_proposal,
                                  now + FENCE_TIMEOUT, now)
             == STATUS_OK;
  bytes_clear (&entry);
}

static void
fence_done (
    struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct orders *orders = CONTAINER_OF (proposal, struct orders, fence_proposal);
  struct store_answer answer;

  (void) now;
  orders->fence_proposed = false;
  if (status == STATUS_OK && store_answer_unpack (&answer, result, length) == STATUS_OK
      && answer.verdict == STORE_CHANGED && orders->leading)
    orders->fence = answer.revision;
}

static void
take_over (struct orders *orders, int64_t now)
{
  orders->leading = true;
  orders->led_since = now;
  orders->fence = 0;
  orders->fence_proposed_at = 0;
  log_event (LOG_MODULE_STORE, LOG_LEVEL_INFO, "orders-take-over", NULL);
}

/* Cancel the calls in flight: a follower's orders could interleave with the new leader's. */
static void
step_down (struct orders *orders)
{
  orders->leading = false;
  orders->fence = 0;
  drop_all (orders);
  log_event (LOG_MODULE_STORE, LOG_LEVEL_INFO, "orders-step-down", NULL);
}

/* Whether the former leader's orders have certainly ended.  Failure guarded against: it was cut off
 * after it had sent an order, which arrives after ours at a target that ignores the fencing number,
 * and undoes ours.  After this time its lease has expired, so it sends nothing new, and its last
 * call has reached its deadline. */
static bool
former_leader_has_expired (const struct orders *orders, int64_t now)
{
  int64_t lease = orders->config.former_lease;

  return now >= orders->led_since + (lease > 0 ? lease : ORDER_FORMER_LEASE) + ORDER_CALL_TIMEOUT;
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct orders *orders = CONTAINER_OF (timer, struct orders, timer);
  struct consensus *consensus = orders->config.consensus;
  bool leads = consensus->ops->is_leader (consensus);

  timer_arm (orders->config.timers, timer, now + PASS_PERIOD);
  if (leads && !orders->leading)
    take_over (orders, now);
  else if (!leads && orders->leading)
    step_down (orders);
  if (!orders->leading || !orders->config.board->config_ready
      || !former_leader_has_expired (orders, now))
    return;
  if (orders->assignments_stale)
    {
      read_assignments (orders);
      recheck_done_targets (orders, now);
    }
  if (orders->n_assignments == 0 && orders->targets == NULL)
    return;
  if (orders->fence == 0)
    propose_fence (orders, now);
  else
    reconcile_targets (orders, now);
  order_status_write (orders, now);
}

static void
changed (struct store_listener *listener, const struct store_event *event)
{
  if (event == NULL || event->kind == RESOURCE_ASSIGNMENT)
    CONTAINER_OF (listener, struct orders, listener)->assignments_stale = true;
}

static void
replaced (struct store_listener *listener)
{
  changed (listener, NULL);
}

static json_t *
describe (struct dump_source *source, int64_t now)
{
  const struct orders *orders = CONTAINER_OF (source, struct orders, source);
  const struct order_target *target;
  json_t *targets = json_array ();

  (void) now;
  DL_FOREACH (orders->targets, target)
    json_array_append_new (targets,
                           json_pack ("{s:s,s:s,s:s,s:s}", "target", target->name, "assignment",
                                      target->assignment, "phase", order_phase_text (target->phase),
                                      "fault", target->fault));
  return json_pack ("{s:b,s:I,s:I,s:o}", "leading", orders->leading, "fence",
                    (json_int_t) orders->fence, "in_flight", (json_int_t) orders->in_flight,
                    "targets", targets);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };
static const struct store_listener_ops listener_ops = { .changed = changed, .replaced = replaced };
static const struct proposal_ops fence_ops = { .done = fence_done };
static const struct dump_source_ops source_ops = { .describe = describe };

static int
destroy (struct orders *orders)
{
  struct consensus *consensus = orders->config.consensus;

  drop_all (orders);
  timer_disarm (orders->config.timers, &orders->timer);
  store_remove_listener (orders->config.store, &orders->listener);
  if (orders->fence_proposed)
    consensus->ops->withdraw (consensus, &orders->fence_proposal);
  if (orders->status_proposed)
    consensus->ops->withdraw (consensus, &orders->status_proposal);
  return 0;
}

struct orders *
order_new (void *parent, const struct order_config *config, int64_t now)
{
  struct orders *orders = talloc_zero (parent, struct orders);

  if (orders == NULL)
    return NULL;
  orders->config = *config;
  orders->config.host = talloc_strdup (orders, config->host);
  if (orders->config.host == NULL)
    {
      talloc_free (orders);
      return NULL;
    }
  orders->timer.ops = &timer_ops;
  orders->listener.ops = &listener_ops;
  orders->fence_proposal.ops = &fence_ops;
  orders->status_proposal.ops = &order_status_ops;
  orders->source.ops = &source_ops;
  orders->source.name = "orders";
  orders->assignments_stale = true;
  orders->sent =
      counter_get (config->counters, "cherryarch_orders_sent_total", "Orders to targets.", NULL);
  orders->done = counter_get (config->counters, "cherryarch_orders_done_total",
                              "Targets brought to what their assignment wants.", NULL);
  orders->refused = counter_get (config->counters, "cherryarch_orders_refused_total",
                                 "Orders that targets refused.", NULL);
  store_add_listener (config->store, &orders->listener);
  if (config->dump != NULL)
    dump_add (config->dump, &orders->source);
  timer_arm (config->timers, &orders->timer, now);
  talloc_set_destructor (orders, destroy);
  return orders;
}
