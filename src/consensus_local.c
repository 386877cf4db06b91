/* A consensus group of one host, in memory. */
#include "consensus_local.h"
#include "resource.h"
#include "text.h"
#include <talloc.h>
#include <utlist.h>

/* A proposal whose entry is applied but whose done() has not been called. */
struct local_pending
{
  struct local_pending *prev;
  struct local_pending *next;
  struct proposal *proposal;
  struct bytes result;
};

struct consensus_local
{
  struct consensus consensus;
  struct timer timer;
  struct timer_service *timers;
  struct machine *machine;
  char name[RESOURCE_NAME_SIZE];
  uint64_t index;
  struct local_pending *pending;
};

static enum status
add_pending (struct consensus_local *local,
             struct proposal *proposal,
             const void *entry,
             size_t length,
             int64_t now)
{
  struct local_pending *pending = talloc_zero (local, struct local_pending);

  if (pending == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for a proposal");
  pending->proposal = proposal;
  proposal->owner = pending;
  bytes_init (&pending->result, pending);
  if (entry != NULL)
    local->machine->ops->apply (local->machine, ++local->index, entry, length, &pending->result);
  DL_APPEND (local->pending, pending);
  timer_arm (local->timers, &local->timer, now);
  return STATUS_OK;
}

static enum status
propose (struct consensus *consensus,
         const void *entry,
         size_t length,
         struct proposal *proposal,
         int64_t deadline,
         int64_t now)
{
  (void) deadline;
  return add_pending ((struct consensus_local *) consensus, proposal, entry, length, now);
}

static enum status
read_barrier (struct consensus *consensus, struct proposal *proposal, int64_t deadline, int64_t now)
{
  (void) deadline;
  return add_pending ((struct consensus_local *) consensus, proposal, NULL, 0, now);
}

static void
withdraw (struct consensus *consensus, struct proposal *proposal)
{
  struct consensus_local *local = (struct consensus_local *) consensus;
  struct local_pending *pending = proposal->owner;

  if (pending == NULL)
    return;
  proposal->owner = NULL;
  DL_DELETE (local->pending, pending);
  talloc_free (pending);
}

static void
fire (struct timer *timer, int64_t now)
{
  struct consensus_local *local =
      (struct consensus_local *) ((char *) timer - offsetof (struct consensus_local, timer));

  const struct local_pending *each;
  uint32_t count;

  /* Proposals made by done() wait for the next iteration, so that they cannot block the event
   * loop. */
  DL_COUNT (local->pending, each, count);
  while (count-- > 0 && local->pending != NULL)
    {
      struct local_pending *pending = local->pending;

      DL_DELETE (local->pending, pending);
      pending->proposal->owner = NULL;
      pending->proposal->ops->done (pending->proposal, STATUS_OK, pending->result.data,
                                    pending->result.length, now);
      talloc_free (pending);
    }
}

static bool
is_leader (const struct consensus *consensus)
{
  return consensus != NULL;
}

static const char *
leader (const struct consensus *consensus)
{
  return ((const struct consensus_local *) consensus)->name;
}

static json_t *
describe (const struct consensus *consensus)
{
  const struct consensus_local *local = (const struct consensus_local *) consensus;

  return json_pack ("{s:s,s:I}", "role", "alone", "applied", (json_int_t) local->index);
}

static const struct consensus_ops consensus_ops = {
  .propose = propose,
  .read = read_barrier,
  .withdraw = withdraw,
  .is_leader = is_leader,
  .leader = leader,
  .describe = describe,
  .position = describe,
};

static const struct timer_ops timer_ops = { .fire = fire };

static int
destroy (struct consensus_local *local)
{
  timer_disarm (local->timers, &local->timer);
  return 0;
}

struct consensus *
consensus_local_new (void *parent, const struct consensus_local_config *config)
{
  struct consensus_local *local = talloc_zero (parent, struct consensus_local);

  if (local == NULL)
    return NULL;
  local->consensus.ops = &consensus_ops;
  local->timer.ops = &timer_ops;
  local->timers = config->timers;
  local->machine = config->machine;
  text_copy_truncated (local->name, sizeof local->name, config->name);
  talloc_set_destructor (local, destroy);
  return &local->consensus;
}
