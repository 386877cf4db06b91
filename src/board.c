/* The blackboard: tables, look-ups by name, and subscribers. */
#include "board.h"
#include <string.h>
#include <talloc.h>

static const char *const host_states[] = {
#define X(name, text) [HOST_##name] = text,
  HOST_STATE_LIST (X)
#undef X
};

const char *
host_state_text (enum host_state state)
{
  return (unsigned) state < HOST_STATE_COUNT ? host_states[state] : "unknown";
}

struct board *
board_new (void *parent)
{
  struct board *board = talloc_zero (parent, struct board);

  if (board == NULL)
    return NULL;
  board->hosts = table_new (board, sizeof (struct board_host), BOARD_HOSTS_MAX);
  board->targets = table_new (board, sizeof (struct board_target), BOARD_TARGETS_MAX);
  board->pools = table_new (board, sizeof (struct board_pool), BOARD_POOLS_MAX);
  board->pipelines = table_new (board, sizeof (struct board_pipeline), BOARD_PIPELINES_MAX);
  board->organisations =
      table_new (board, sizeof (struct board_organisation), BOARD_ORGANISATIONS_MAX);
  if (board->hosts == NULL || board->targets == NULL || board->pools == NULL
      || board->pipelines == NULL || board->organisations == NULL)
    {
      talloc_free (board);
      return NULL;
    }
  return board;
}

void
board_subscribe (struct board *board, struct board_subscriber *subscriber)
{
  subscriber->next = board->subscribers;
  board->subscribers = subscriber;
}

void
board_publish (struct board *board, enum board_event event, struct handle handle, int64_t now)
{
  struct board_subscriber *subscriber;

  for (subscriber = board->subscribers; subscriber != NULL; subscriber = subscriber->next)
    subscriber->ops->changed (subscriber, event, handle, now);
}

/* XXX: linear scan; add an index by name when look-ups show up in a profile. */
static void *
find_by_name (const struct table *table, size_t name_offset, const char *name, struct handle *out)
{
  uint32_t cursor = 0;
  struct handle handle;
  char *entry;

  while ((entry = table_next (table, &cursor, &handle)) != NULL)
    {
      if (strcmp (entry + name_offset, name) != 0)
        continue;
      if (out != NULL)
        *out = handle;
      return entry;
    }
  return NULL;
}

struct board_host *
board_find_host (const struct board *board, const char *name, struct handle *out)
{
  return find_by_name (board->hosts, offsetof (struct board_host, name), name, out);
}

struct board_target *
board_find_target (const struct board *board, const char *name, struct handle *out)
{
  return find_by_name (board->targets, offsetof (struct board_target, name), name, out);
}

struct board_pool *
board_find_pool (const struct board *board, const char *name, struct handle *out)
{
  return find_by_name (board->pools, offsetof (struct board_pool, spec.name), name, out);
}

struct board_pipeline *
board_find_pipeline (const struct board *board, const char *name, struct handle *out)
{
  return find_by_name (board->pipelines, offsetof (struct board_pipeline, spec.name), name, out);
}

struct board_organisation *
board_find_organisation (const struct board *board, const char *name, struct handle *out)
{
  return find_by_name (board->organisations, offsetof (struct board_organisation, spec.name), name,
                       out);
}
