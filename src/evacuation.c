/* The evacuated failure domains. */
#include "evacuation.h"
#include "text.h"
#include <string.h>

/* Format of orders in the log. */
#define ORDER_FORMAT 1

static const char *const outcome_texts[] = {
#define X(name, text) [EVACUATION_##name] = text,
  EVACUATION_OUTCOME_LIST (X)
#undef X
};

const char *
evacuation_outcome_text (enum evacuation_outcome outcome)
{
  return outcome_texts[outcome];
}

bool
evacuation_name_is_valid (const char *name)
{
  size_t length = strlen (name);

  if (length == 0 || length >= ROUTING_NAME_SIZE)
    return false;
  for (size_t i = 0; i < length; i++)
    if ((unsigned char) name[i] <= ' ' || name[i] == 0x7f || strchr ("%/?#", name[i]) != NULL)
      return false;
  return true;
}

/* ---- the set ---- */

const struct evacuation_domain *
evacuation_find (const struct evacuation_set *set, const char *name)
{
  for (uint32_t i = 0; i < set->n; i++)
    if (strcmp (set->domains[i].name, name) == 0)
      return &set->domains[i];
  return NULL;
}

bool
evacuation_includes (const struct evacuation_set *set, const char *name)
{
  const struct evacuation_domain *domain = evacuation_find (set, name);

  return domain != NULL && domain->is_evacuated;
}

uint32_t
evacuation_count (const struct evacuation_set *set)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < set->n; i++)
    n += set->domains[i].is_evacuated ? 1 : 0;
  return n;
}

/* A place for another domain; NULL if all are taken by evacuated ones. */
static struct evacuation_domain *
take_place (struct evacuation_set *set)
{
  struct evacuation_domain *oldest = NULL;

  if (set->n < EVACUATION_DOMAINS_MAX)
    return &set->domains[set->n++];
  for (uint32_t i = 0; i < set->n; i++)
    if (!set->domains[i].is_evacuated
        && (oldest == NULL || set->domains[i].revision < oldest->revision))
      oldest = &set->domains[i];
  return oldest;
}

enum evacuation_outcome
evacuation_apply (struct evacuation_set *set, const struct evacuation_order *order, uint64_t index)
{
  struct evacuation_domain *domain =
      (struct evacuation_domain *) evacuation_find (set, order->domain);

  if ((domain != NULL && domain->is_evacuated) == order->begins)
    return EVACUATION_UNCHANGED;
  if (domain != NULL && domain->revision > order->base)
    return EVACUATION_SUPERSEDED;
  if (domain == NULL)
    domain = take_place (set);
  if (domain == NULL)
    return EVACUATION_FULL;
  *domain = (struct evacuation_domain){ .is_evacuated = order->begins, .revision = index };
  text_copy_truncated (domain->name, sizeof domain->name, order->domain);
  set->revision = index;
  return EVACUATION_CHANGED;
}

/* ---- encoding ---- */

void
evacuation_order_pack (const struct evacuation_order *order, struct bytes *out)
{
  pack_uint (out, ORDER_FORMAT);
  pack_text (out, order->domain);
  pack_bool (out, order->begins);
  pack_uint (out, order->base);
}

bool
evacuation_order_unpack (struct pack_reader *in, struct evacuation_order *order)
{
  if (pack_read_uint (in, ORDER_FORMAT) != ORDER_FORMAT)
    in->failed = true;
  pack_read_text (in, order->domain, sizeof order->domain);
  order->begins = pack_read_bool (in);
  order->base = pack_read_uint (in, UINT64_MAX);
  return pack_read_is_complete (in) && evacuation_name_is_valid (order->domain);
}

static void
pack_domain (const struct evacuation_domain *domain, struct bytes *out)
{
  pack_text (out, domain->name);
  pack_bool (out, domain->is_evacuated);
  pack_uint (out, domain->revision);
}

static void
unpack_domain (struct pack_reader *in, struct evacuation_domain *domain)
{
  pack_read_text (in, domain->name, sizeof domain->name);
  domain->is_evacuated = pack_read_bool (in);
  domain->revision = pack_read_uint (in, UINT64_MAX);
}

void
evacuation_set_pack (const struct evacuation_set *set, struct bytes *out)
{
  pack_uint (out, set->revision);
  pack_array (out, set->n);
  for (uint32_t i = 0; i < set->n; i++)
    pack_domain (&set->domains[i], out);
}

bool
evacuation_set_unpack (struct pack_reader *in, struct evacuation_set *set)
{
  *set = (struct evacuation_set){ .revision = pack_read_uint (in, UINT64_MAX) };
  set->n = pack_read_array (in, EVACUATION_DOMAINS_MAX);
  for (uint32_t i = 0; i < set->n; i++)
    unpack_domain (in, &set->domains[i]);
  return pack_read_is_ok (in);
}

/* ---- views ---- */

bool
evacuation_view_update (struct evacuation_view *view,
                        const struct evacuation_set *set,
                        const int64_t *ages,
                        int64_t now)
{
  struct evacuation_view before = *view;

  if (set->revision <= view->set.revision)
    return false;
  view->set = *set;
  for (uint32_t i = 0; i < set->n; i++)
    {
      const struct evacuation_domain *held = evacuation_find (&before.set, set->domains[i].name);
      int64_t age = ages == NULL ? 0 : ages[i];

      if (held != NULL && held->revision == set->domains[i].revision)
        view->changed_at[i] = before.changed_at[held - before.set.domains];
      else
        view->changed_at[i] = age < now ? now - age : 1;
    }
  return true;
}

int64_t
evacuation_view_restored_at (const struct evacuation_view *view, const char *name)
{
  const struct evacuation_domain *domain = evacuation_find (&view->set, name);

  return domain == NULL || domain->is_evacuated ? 0 : view->changed_at[domain - view->set.domains];
}

void
evacuation_view_write (const struct evacuation_view *view, int64_t now, struct bytes *out)
{
  pack_uint (out, view->set.revision);
  pack_array (out, view->set.n);
  for (uint32_t i = 0; i < view->set.n; i++)
    {
      pack_domain (&view->set.domains[i], out);
      pack_uint (out, now < view->changed_at[i] ? 0 : (uint64_t) (now - view->changed_at[i]));
    }
}

bool
evacuation_message_read (struct pack_reader *in, struct evacuation_message *message)
{
  struct evacuation_set *set = &message->set;

  *set = (struct evacuation_set){ .revision = pack_read_uint (in, UINT64_MAX) };
  set->n = pack_read_array (in, EVACUATION_DOMAINS_MAX);
  for (uint32_t i = 0; i < set->n; i++)
    {
      unpack_domain (in, &set->domains[i]);
      message->ages[i] = (int64_t) pack_read_uint (in, INT64_MAX);
    }
  return pack_read_is_complete (in);
}

json_t *
evacuation_view_describe (const struct evacuation_view *view, int64_t now)
{
  json_t *domains = json_array ();

  for (uint32_t i = 0; i < view->set.n; i++)
    {
      const struct evacuation_domain *domain = &view->set.domains[i];

      json_array_append_new (
          domains,
          json_pack ("{s:s,s:b,s:I,s:I}", "domain", domain->name, "evacuated", domain->is_evacuated,
                     "revision", (json_int_t) domain->revision, "age_ms",
                     (json_int_t) ((now - view->changed_at[i]) / USEC_PER_MSEC)));
    }
  return json_pack ("{s:I,s:o}", "revision", (json_int_t) view->set.revision, "domains", domains);
}
