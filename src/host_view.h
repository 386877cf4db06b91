/* The entry hosts that may share work, merged from the controllers' lists into one array, sorted by
 * name, each host once.
 *
 * The view is rebuilt when a list changes, not when it is read: every request and every message
 * reads it, while lists change only as hosts join and leave.  No I/O and no clock. */
#ifndef HOST_VIEW_H
#define HOST_VIEW_H

#include "decls.h"
#include "sync.h"

BEGIN_DECLS

struct host_view
{
  const struct sync_host *hosts[SYNC_HOSTS_MAX]; /* sorted by name; owned by the lists */
  uint32_t n;
  uint32_t n_omitted; /* hosts beyond SYNC_HOSTS_MAX */
  uint64_t revision;  /* changes each time the view is rebuilt */
};

void host_view_clear (struct host_view *view);

/* Add the hosts of one list; a host already in the view keeps its first entry. */
void host_view_add (struct host_view *view, const struct sync_host *list, uint32_t n);

/* Remove a host; no effect when it is not in the view. */
void host_view_remove (struct host_view *view, const char *name);

/* NULL when it is not in the view. */
const struct sync_host *host_view_find (const struct host_view *view, const char *name);

END_DECLS

#endif
