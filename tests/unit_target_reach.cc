// Which targets are asked to accept a connection.
#include "target_reach.h"
#include "unit_edges_support.h"
#include <cstdio>
#include <vector>

namespace
{

// Counts the connections that it accepts.
struct accepting
{
  struct tcp_listener listener;
  int accepted = 0;

  explicit accepting (struct loop *loop)
  {
    static const struct tcp_listener_ops ops = {
      .accepted =
          [] (struct tcp_listener *base, int fd, int64_t) {
            reinterpret_cast<accepting *> (base)->accepted++;
            close (fd);
          },
    };

    EXPECT_EQ (tcp_listen (&listener, &ops, loop, "127.0.0.1:0"), STATUS_OK);
  }

  ~accepting ()
  {
    tcp_listener_close (&listener);
  }
};

// Guards against one target that is probed by all hosts of a fleet.
TEST (TargetReach, ProbesOfASoundPoolAreSpreadOverItsTargets)
{
  void *parent = talloc_new (nullptr);
  struct loop *loop = loop_new_without_tls (parent, 64);
  struct balance balance = {};
  struct balance_target targets[3] = {};
  struct registry_target record = {};
  struct target_reach_config config = {};

  {
    accepting all[3] = { accepting (loop), accepting (loop), accepting (loop) };

    for (size_t i = 0; i < 3; i++)
      {
        struct sockaddr_in at = {};
        socklen_t size = sizeof at;

        getsockname (all[i].listener.fd, reinterpret_cast<struct sockaddr *> (&at), &size);
        snprintf (targets[i].address, sizeof targets[i].address, "127.0.0.1:%u",
                  (unsigned) ntohs (at.sin_port));
        snprintf (targets[i].pool, sizeof targets[i].pool, "p");
        targets[i].id_hash = (i + 1) << 60;
        targets[i].record = &record;
        targets[i].usable = true;
        targets[i].next = i < 2 ? &targets[i + 1] : nullptr;
      }
    balance_init (&balance, "a", nullptr, 1);
    balance.targets = targets;
    config.loop = loop;
    config.balance = &balance;
    config.counters = counters_new (parent);
    EXPECT_NE (target_reach_new (parent, &config), nullptr);
    EXPECT_TRUE (run_until (
        loop, [&] { return all[0].accepted > 0 && all[1].accepted > 0 && all[2].accepted > 0; }));
  }
  talloc_free (parent);
}

}
