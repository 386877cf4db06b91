/* The configuration that an entry host holds. */
#include "document.h"
#include "log.h"
#include "subscriber_private.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>

/* A newer version that is known for this long and not in force is logged. */
#define LAG_LOGGED_AFTER (500 * USEC_PER_MSEC)

uint64_t
subscriber_version (const struct subscriber *self)
{
  return self->routing == NULL ? 0 : self->routing->version;
}

void
subscriber_learn_version (struct subscriber *self, uint64_t version)
{
  if (version > subscriber_version (self))
    version_lag_learn (&self->lag, version, self->config.boottime ());
}

/* In us; 0 if this host knows of no newer version. */
static int64_t
time_behind (const struct subscriber *self)
{
  int64_t since = version_lag_since (&self->lag);

  return since == USEC_NEVER ? 0 : self->config.boottime () - since;
}

bool
subscriber_is_outdated (const struct subscriber *self)
{
  return time_behind (self) > self->config.outdated_after;
}

void
subscriber_report_lag (struct subscriber *self)
{
  int64_t behind = time_behind (self);

  gauge_set (self->behind_gauge, (double) behind / (double) USEC_PER_SEC);
  if (behind < LAG_LOGGED_AFTER)
    self->lag_logged = false;
  if (behind < LAG_LOGGED_AFTER || self->lag_logged)
    return;
  self->lag_logged = true;
  log_event (LOG_MODULE_STORE, LOG_LEVEL_WARNING, "routing-behind", "{s:I,s:I,s:I,s:I,s:I}", "held",
             (json_int_t) subscriber_version (self), "newest",
             (json_int_t) version_lag_newest (&self->lag), "known_ms",
             (json_int_t) (behind / USEC_PER_MSEC), "documents",
             (json_int_t) self->documents->value, "superseded",
             (json_int_t) self->superseded->value);
}

/* Once per version: it is received again with each answer. */
static void
log_not_understood (struct subscriber *self, uint64_t version, const char *message)
{
  counter_add (self->malformed, 1);
  if (self->not_understood == version)
    return;
  self->not_understood = version;
  log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "document-not-understood", "{s:I,s:I,s:s}",
             "version", (json_int_t) version, "held", (json_int_t) subscriber_version (self),
             "message", message);
}

/* The route of that name; most often it has the place that it had before. */
static const struct route *
find_route (const struct routing *routing, uint32_t place, const char *name)
{
  if (place < routing->n_routes && strcmp (routing->routes[place].name, name) == 0)
    return &routing->routes[place];
  for (uint32_t i = 0; i < routing->n_routes; i++)
    if (strcmp (routing->routes[i].name, name) == 0)
      return &routing->routes[i];
  return NULL;
}

static bool
have_same_pools (const struct routing *before,
                 const struct route *old,
                 const struct routing *routing,
                 const struct route *route)
{
  if (old->n_shares != route->n_shares)
    return false;
  for (uint32_t i = 0; i < route->n_shares; i++)
    if (strcmp (before->pools[old->shares[i].pool].name, routing->pools[route->shares[i].pool].name)
        != 0)
      return false;
  return true;
}

static void
note_shares_since (const struct routing *before, struct routing *routing, int64_t now)
{
  for (uint32_t i = 0; i < routing->n_routes; i++)
    {
      struct route *route = &routing->routes[i];
      const struct route *old = before == NULL ? NULL : find_route (before, i, route->name);

      route->shares_since =
          old != NULL && have_same_pools (before, old, routing, route) ? old->shares_since : now;
    }
}

/* A confirmation is as good as on its arrival: the version held is not older than the one that was
 * the newest then. */
static void
apply_early_confirmations (struct subscriber *self)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      struct early_confirmation *early = &self->controllers[i].early;

      if (early->document == 0 || early->document > subscriber_version (self))
        continue;
      subscriber_confirm (self, early->requested_at);
      early->document = 0;
    }
}

static void
keep_text (struct subscriber *self, const void *text, size_t length)
{
  bytes_clear (&self->document);
  bytes_append (&self->document, text, length);
  if (bytes_has_failed (&self->document))
    bytes_clear (&self->document);
}

void
subscriber_apply_document (struct subscriber *self,
                           const struct known_controller *from,
                           uint64_t version,
                           const void *text,
                           size_t length)
{
  struct routing *before = self->routing;
  struct routing *routing;
  int64_t behind = time_behind (self);
  char digest[DOCUMENT_DIGEST_SIZE];

  if (version <= subscriber_version (self))
    {
      counter_add (self->superseded, 1);
      return;
    }
  routing = self->config.codec->ops->decode (self->config.codec, self, text, length);
  if (routing == NULL || routing->version != version)
    {
      log_not_understood (self, version,
                          routing == NULL ? status_message () : "its text has another version");
      talloc_free (routing);
      return;
    }
  note_shares_since (before, routing, self->now);
  self->routing = routing;
  keep_text (self, text, length);
  version_lag_hold (&self->lag, version);
  self->fetch.out = self->fetch.out && version_lag_newest (&self->lag) != 0;
  gauge_set (self->version_gauge, (double) version);
  document_digest (text, length, digest);
  log_event (LOG_MODULE_STORE, LOG_LEVEL_INFO, "routing-in-force", "{s:I,s:s,s:i,s:i,s:s,s:I}",
             "version", (json_int_t) version, "content", digest, "routes", (int) routing->n_routes,
             "pools", (int) routing->n_pools, "from", from->name, "known_ms",
             (json_int_t) (behind / USEC_PER_MSEC));
  self->config.listener->ops->routing (self->config.listener, routing, self->now);
  talloc_free (before);
  apply_early_confirmations (self);
}
