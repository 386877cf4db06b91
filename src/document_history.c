/* The latest texts of the document, and the newest one compressed for readers that hold one of
 * them. */
#include "document_history.h"
#include "patch.h"
#include <talloc.h>

#define VERSIONS_MAX 16

/* Of all texts but the newest. */
#define BYTES_MAX (4u << 20)

struct version
{
  uint64_t number;
  struct bytes text;
  struct bytes patch; /* to the newest version; empty until it is needed */
};

struct document_history
{
  uint32_t n;
  struct version versions[VERSIONS_MAX]; /* newest first */
  struct bytes whole;                    /* the newest version compressed; empty until needed */
};

static void
clear_version (struct version *version)
{
  bytes_clear (&version->text);
  bytes_clear (&version->patch);
}

/* Keeps the newest versions that fit; the newest one always does. */
static void
limit_size (struct document_history *history)
{
  size_t total = 0;
  uint32_t kept = history->n == 0 ? 0 : 1;

  while (kept < history->n && total + history->versions[kept].text.length <= BYTES_MAX)
    total += history->versions[kept++].text.length;
  while (history->n > kept)
    clear_version (&history->versions[--history->n]);
}

void
document_history_add (struct document_history *history, uint64_t version, const struct bytes *text)
{
  if (history->n == VERSIONS_MAX)
    clear_version (&history->versions[--history->n]);
  bytes_clear (&history->whole);
  for (uint32_t i = history->n; i > 0; i--)
    {
      bytes_clear (&history->versions[i - 1].patch);
      history->versions[i] = history->versions[i - 1];
    }
  history->n++;
  history->versions[0].number = version;
  bytes_init (&history->versions[0].text, history);
  bytes_init (&history->versions[0].patch, history);
  bytes_append (&history->versions[0].text, text->data, text->length);
  /* Without memory for it nothing is sent until the next version; readers ask other hosts. */
  while (history->n > 0 && bytes_has_failed (&history->versions[0].text))
    clear_version (&history->versions[--history->n]);
  limit_size (history);
}

static struct version *
find_base (struct document_history *history, uint64_t held)
{
  for (uint32_t i = 1; i < history->n; i++)
    if (history->versions[i].number == held)
      return &history->versions[i];
  return NULL;
}

const struct bytes *
document_history_encode (struct document_history *history, uint64_t held, uint64_t *base)
{
  struct version *from = find_base (history, held);
  struct bytes *out = from == NULL ? &history->whole : &from->patch;

  *base = from == NULL ? 0 : held;
  if (history->n == 0)
    return NULL;
  if (out->length > 0)
    return out;
  if (patch_write (from == NULL ? NULL : &from->text, &history->versions[0].text, out) == STATUS_OK)
    return out;
  bytes_clear (out);
  return NULL;
}

struct document_history *
document_history_new (void *parent)
{
  struct document_history *history = talloc_zero (parent, struct document_history);

  if (history != NULL)
    bytes_init (&history->whole, history);
  return history;
}
