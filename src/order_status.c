/* Writes the progress of assignments back as their status. */
#include "container.h"
#include "order_private.h"
#include "store_group.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define STATUS_PERIOD (2 * USEC_PER_SEC) /* between two writes, of any assignment */
#define STATUS_PROPOSAL_TIMEOUT (2 * USEC_PER_SEC)
#define STATUS_WAITING_MAX 8

/* Counts, and the first STATUS_WAITING_MAX targets that are not as wanted, each with its last
 * fault. */
static json_t *
build_status (const struct orders *orders, const char *assignment)
{
  const struct order_target *target;
  json_t *waiting = json_array ();
  json_int_t targets = 0;
  json_int_t done = 0;

  DL_FOREACH (orders->targets, target)
    {
      if (strcmp (target->assignment, assignment) != 0)
        continue;
      targets++;
      if (target->phase == ORDER_PHASE_DONE)
        done++;
      else if (json_array_size (waiting) < STATUS_WAITING_MAX)
        json_array_append_new (
            waiting, json_pack ("{s:s,s:s}", "target", target->name, "fault", target->fault));
    }
  return json_pack ("{s:I,s:I,s:o}", "targets", targets, "asWanted", done, "waiting", waiting);
}

static void
done (struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct orders *orders = CONTAINER_OF (proposal, struct orders, status_proposal);

  (void) status; /* a status that was not written still differs, so it is proposed again */
  (void) result;
  (void) length;
  (void) now;
  orders->status_proposed = false;
}

const struct proposal_ops order_status_ops = { .done = done };

static void
propose (struct orders *orders, const struct store_object *object, const char *text, int64_t now)
{
  struct consensus *consensus = orders->config.consensus;
  struct store_change change = {
    .op = STORE_STATUS,
    .kind = RESOURCE_ASSIGNMENT,
    .text = text,
    .length = strlen (text),
    .time_ms = now / USEC_PER_MSEC + orders->config.wall_offset_ms,
  };
  struct bytes entry;

  text_copy_truncated (change.name, sizeof change.name, object->name);
  text_copy_truncated (change.host, sizeof change.host, orders->config.host);
  bytes_init (&entry, orders);
  store_group_begin_entry (STORE_PART_RESOURCES, &entry);
  store_change_pack (&change, &entry);
  orders->status_proposed =
      !bytes_has_failed (&entry)
      && consensus->ops->propose (consensus, entry.data, entry.length, &orders->status_proposal,
                                  now + STATUS_PROPOSAL_TIMEOUT, now)
             == STATUS_OK;
  bytes_clear (&entry);
  orders->status_proposed_at = now;
}

void
order_status_write (struct orders *orders, int64_t now)
{
  const struct store *store = orders->config.store;
  const struct store_object *object = store_next (store, RESOURCE_ASSIGNMENT, "");
  const struct store_object *first = store_next (store, RESOURCE_ASSIGNMENT, orders->status_cursor);
  uint32_t left = store_count (store, RESOURCE_ASSIGNMENT);

  if (orders->status_proposed || now < orders->status_proposed_at + STATUS_PERIOD)
    return;
  /* Round robin, so that an assignment that changes constantly does not starve the others. */
  for (object = first != NULL ? first : object; object != NULL && left > 0; left--)
    {
      json_t *status = build_status (orders, object->name);
      char *text = json_dumps (status, JSON_COMPACT | JSON_SORT_KEYS);
      bool differs = text != NULL && (object->status == NULL || strcmp (object->status, text) != 0);

      json_decref (status);
      text_copy_truncated (orders->status_cursor, sizeof orders->status_cursor, object->name);
      if (differs)
        propose (orders, object, text, now);
      free (text);
      if (differs)
        return;
      object = store_next (store, RESOURCE_ASSIGNMENT, object->name);
      if (object == NULL)
        object = store_next (store, RESOURCE_ASSIGNMENT, "");
    }
}
