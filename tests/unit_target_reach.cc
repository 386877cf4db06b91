// Which targets are asked to accept a connection.
#include "target_reach.h"
#include "unit_edges_support.h"
#include <cstdio>
#include <memory>
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

// A pool of three targets.
struct TargetReach : ::testing::Test
{
  std::unique_ptr<void, int (*) (void *)> parent{ talloc_new (nullptr), [] (void *owner) {
                                                   return talloc_free (owner);
                                                 } };
  struct loop *loop = loop_new_without_tls (parent.get (), 64);
  struct balance balance = {};
  struct balance_target targets[3] = {};
  struct registry_target record = {};
  struct target_reach_config config = {};
  struct target_reach *reach = nullptr;
  accepting all[3] = { accepting (loop), accepting (loop), accepting (loop) };

  TargetReach ()
  {
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
    config.counters = counters_new (parent.get ());
    reach = target_reach_new (parent.get (), &config);
    EXPECT_NE (reach, nullptr);
  }

  ~TargetReach () override
  {
    talloc_free (reach);
  }

  int
  accepted () const
  {
    return all[0].accepted + all[1].accepted + all[2].accepted;
  }

  // An answer over an open connection.
  void
  use ()
  {
    struct h1_path_listener *paths = target_reach_path_listener (reach);

    paths->ops->worked (paths, targets[0].address, false, loop_now (loop));
  }
};

// Guards against one target that is probed by all hosts of a fleet.
TEST_F (TargetReach, ProbesOfASoundPoolAreSpreadOverItsTargets)
{
  EXPECT_TRUE (run_until (loop, [&] {
    use ();
    return all[0].accepted > 0 && all[1].accepted > 0 && all[2].accepted > 0;
  }));
}

// Load: 66 hosts with five pools, of which each host uses two.  Probes of the others were most
// connections that targets had to accept.
TEST_F (TargetReach, APoolThatNoCallUsesIsProbedSeldom)
{
  int64_t end = loop_now (loop) + 3 * USEC_PER_SEC;

  EXPECT_TRUE (run_until (loop, [&] { return loop_now (loop) >= end; }));
  EXPECT_LE (accepted (), 1);
}

}
