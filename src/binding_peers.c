/* Lists of hosts that hold replicas of bindings. */
#include "binding_peers.h"
#include <string.h>

static uint32_t
list_hosts (struct binding_peers *peers,
            const struct binding_key *key,
            uint32_t max,
            const char **out)
{
  struct binding_peers_view *view = (struct binding_peers_view *) peers;

  return binding_order_hosts (subscriber_hosts (view->subscriber), view->self, key, max, out);
}

static uint32_t
list_controllers (struct binding_peers *peers,
                  const struct binding_key *key,
                  uint32_t max,
                  const char **out)
{
  struct binding_peers_view *view = (struct binding_peers_view *) peers;
  const char *names[SYNC_HOSTS_MAX];
  uint32_t n = subscriber_list_controllers (view->subscriber, names);

  binding_order_names (key, names, n);
  n = n < max ? n : max;
  memcpy (out, names, n * sizeof *names);
  return n;
}

static bool
is_complete (struct binding_peers *peers)
{
  const struct subscriber *subscriber = ((struct binding_peers_view *) peers)->subscriber;

  return subscriber_knows_hosts (subscriber) && subscriber_reaches_all_controllers (subscriber);
}

static const struct binding_peers_ops peers_ops = {
  .list_hosts = list_hosts,
  .list_controllers = list_controllers,
  .is_complete = is_complete,
};

void
binding_peers_init (struct binding_peers_view *view,
                    struct subscriber *subscriber,
                    const char *self)
{
  *view = (struct binding_peers_view){
    .peers.ops = &peers_ops,
    .subscriber = subscriber,
    .self = self,
  };
}
