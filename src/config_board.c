/* Applies the store's objects to the board's entries. */
#include "config_board.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>

#define OPERATORS_MAX 1024

/* An operator registered with access.c, kept so that one deleted while this host was cut off is
 * removed there as well. */
struct known_operator
{
  char name[RESOURCE_NAME_SIZE];
};

struct config_board
{
  struct board *board;
  struct access *access;
  struct table *operators; /* struct known_operator */
};

struct config_board *
config_board_new (void *parent, struct board *board, struct access *access)
{
  struct config_board *self = talloc_zero (parent, struct config_board);

  if (self == NULL)
    return NULL;
  self->board = board;
  self->access = access;
  self->operators = table_new (self, sizeof (struct known_operator), OPERATORS_MAX);
  if (self->operators == NULL)
    talloc_free (self);
  return self->operators == NULL ? NULL : self;
}

/* Set the handles of the stages' pools; the handle of a missing pool is empty. */
static void
set_pool_handles (const struct board *board, struct board_pipeline *pipeline)
{
  uint32_t i;

  memset (pipeline->pools, 0, sizeof pipeline->pools);
  for (i = 0; i < pipeline->spec.n_stages; i++)
    board_find_pool (board, pipeline->spec.stages[i].pool, &pipeline->pools[i]);
}

static void
set_all_pool_handles (const struct board *board)
{
  struct board_pipeline *pipeline;
  uint32_t cursor = 0;

  while ((pipeline = table_next (board->pipelines, &cursor, NULL)) != NULL)
    set_pool_handles (board, pipeline);
}

static enum status
set_pool (struct board *board, const struct pool_spec *spec, uint64_t revision)
{
  struct handle handle;
  struct board_pool *pool = board_find_pool (board, spec->name, &handle);
  bool added = pool == NULL;

  if (added)
    pool = table_add (board->pools, &handle);
  if (pool == NULL)
    return status_fail (STATUS_LIMIT, "no room on the board for pool %s", spec->name);
  pool->spec = *spec;
  pool->revision = revision;
  if (added)
    set_all_pool_handles (board);
  return STATUS_OK;
}

static enum status
set_pipeline (struct board *board, const struct pipeline_spec *spec, uint64_t revision)
{
  struct handle handle;
  struct board_pipeline *pipeline = board_find_pipeline (board, spec->name, &handle);

  if (pipeline == NULL)
    pipeline = table_add (board->pipelines, &handle);
  if (pipeline == NULL)
    return status_fail (STATUS_LIMIT, "no room on the board for pipeline %s", spec->name);
  pipeline->spec = *spec;
  pipeline->revision = revision;
  set_pool_handles (board, pipeline);
  return STATUS_OK;
}

static enum status
set_organisation (struct board *board, const struct organisation_spec *spec, uint64_t revision)
{
  struct handle handle;
  struct board_organisation *entry = board_find_organisation (board, spec->name, &handle);

  if (entry == NULL)
    entry = table_add (board->organisations, &handle);
  if (entry == NULL)
    return status_fail (STATUS_LIMIT, "no room on the board for organisation %s", spec->name);
  entry->spec = *spec;
  entry->revision = revision;
  return STATUS_OK;
}

static struct known_operator *
find_operator (const struct config_board *self, const char *name, struct handle *out)
{
  struct known_operator *known;
  uint32_t cursor = 0;

  while ((known = table_next (self->operators, &cursor, out)) != NULL)
    if (strcmp (known->name, name) == 0)
      return known;
  return NULL;
}

static enum status
set_operator (struct config_board *self, const struct operator_spec *spec)
{
  static const enum access_role roles[] = {
    [OPERATOR_ROLE_READ] = ACCESS_READ,
    [OPERATOR_ROLE_WRITE] = ACCESS_WRITE,
    [OPERATOR_ROLE_ADMIN] = ACCESS_ADMIN,
  };
  struct handle handle;
  struct known_operator *known = find_operator (self, spec->name, &handle);

  if (self->access == NULL)
    return STATUS_OK;
  if (known == NULL)
    known = table_add (self->operators, &handle);
  if (known == NULL)
    return status_fail (STATUS_LIMIT, "no room for operator %s", spec->name);
  text_copy_truncated (known->name, sizeof known->name, spec->name);
  return access_set_operator (self->access, spec->name, roles[spec->role], spec->token_hash);
}

static void
remove_operator (struct config_board *self, const char *name)
{
  static const uint8_t no_hash[RESOURCE_TOKEN_HASH_SIZE];
  struct handle handle;

  if (find_operator (self, name, &handle) == NULL)
    return;
  access_set_operator (self->access, name, ACCESS_NONE, no_hash);
  table_remove (self->operators, handle);
}

static enum status
set_object (struct config_board *self,
            enum resource_kind kind,
            const char *name,
            const char *text,
            uint64_t revision)
{
  union resource_spec spec;
  struct resource_problem problem;
  json_t *json = json_loads (text, JSON_REJECT_DUPLICATES, NULL);
  enum status status = resource_parse (kind, name, json, &spec, &problem);

  json_decref (json);
  if (status != STATUS_OK)
    return status_fail (STATUS_UNSUPPORTED, "%s %s cannot be read by this release: %s",
                        resource_kind_plural (kind), name, problem.field);
  switch (kind)
    {
    case RESOURCE_PIPELINE:
    case RESOURCE_SERVICE:
      return set_pipeline (self->board, &spec.pipeline, revision);
    case RESOURCE_POOL:
      return set_pool (self->board, &spec.pool, revision);
    case RESOURCE_ORGANISATION:
      return set_organisation (self->board, &spec.organisation, revision);
    case RESOURCE_OPERATOR:
      return set_operator (self, &spec.access);
    case RESOURCE_HOST:
    case RESOURCE_ASSIGNMENT:
    case RESOURCE_KIND_COUNT:
      break;
    }
  return STATUS_OK;
}

static void
remove_object (struct config_board *self, enum resource_kind kind, const char *name)
{
  struct board *board = self->board;
  struct handle handle = { 0 };

  switch (kind)
    {
    case RESOURCE_PIPELINE:
    case RESOURCE_SERVICE:
      board_find_pipeline (board, name, &handle);
      table_remove (board->pipelines, handle);
      break;
    case RESOURCE_POOL:
      board_find_pool (board, name, &handle);
      table_remove (board->pools, handle);
      set_all_pool_handles (board);
      break;
    case RESOURCE_ORGANISATION:
      board_find_organisation (board, name, &handle);
      table_remove (board->organisations, handle);
      break;
    case RESOURCE_OPERATOR:
      remove_operator (self, name);
      break;
    case RESOURCE_HOST:
    case RESOURCE_ASSIGNMENT:
    case RESOURCE_KIND_COUNT:
      break;
    }
}

enum status
config_board_apply (struct config_board *self, const struct store_event *event)
{
  if (event->type != STORE_EVENT_DELETED)
    return set_object (self, event->kind, event->name, event->spec, event->revision);
  remove_object (self, event->kind, event->name);
  return STATUS_OK;
}

static void
remove_missing (struct config_board *self, const struct store *store)
{
  struct board *board = self->board;
  const struct known_operator *known;
  const struct board_pool *pool;
  const struct board_pipeline *pipeline;
  const struct board_organisation *organisation;
  struct handle handle;
  uint32_t cursor;

  for (cursor = 0; (pool = table_next (board->pools, &cursor, &handle)) != NULL;)
    if (store_find (store, RESOURCE_POOL, pool->spec.name) == NULL)
      table_remove (board->pools, handle);
  for (cursor = 0; (pipeline = table_next (board->pipelines, &cursor, &handle)) != NULL;)
    if (store_find (store, RESOURCE_PIPELINE, pipeline->spec.name) == NULL
        && store_find (store, RESOURCE_SERVICE, pipeline->spec.name) == NULL)
      table_remove (board->pipelines, handle);
  for (cursor = 0; (organisation = table_next (board->organisations, &cursor, &handle)) != NULL;)
    if (store_find (store, RESOURCE_ORGANISATION, organisation->spec.name) == NULL)
      table_remove (board->organisations, handle);
  for (cursor = 0; (known = table_next (self->operators, &cursor, NULL)) != NULL;)
    if (store_find (store, RESOURCE_OPERATOR, known->name) == NULL)
      remove_operator (self, known->name);
}

uint32_t
config_board_replace (struct config_board *self, const struct store *store)
{
  uint32_t n_failed = 0;
  int kind;

  remove_missing (self, store);
  for (kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
    {
      const struct store_object *object = store_next (store, (enum resource_kind) kind, "");

      for (; object != NULL; object = store_next (store, object->kind, object->name))
        {
          if (set_object (self, object->kind, object->name, object->spec, object->revision)
              == STATUS_OK)
            continue;
          n_failed++;
          log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "spec-not-read", "{s:s}", "message",
                     status_message ());
        }
    }
  set_all_pool_handles (self->board);
  return n_failed;
}
