// Waits for a revision that end, begin and cancel others as they end.
#include "config_wait.h"
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t SEC = USEC_PER_SEC;

struct waiting
{
  struct config_waiter waiter = {}; // first member
  std::function<void ()> on_done;   // may free this wait and others
};

// Without hosts a wait is complete at its first check.
class ConfigWaits : public ::testing::Test
{
protected:
  void *memory = talloc_new (nullptr);
  struct timer_service *timers = timer_service_new (memory);
  struct config_wait *wait = nullptr;
  std::vector<std::unique_ptr<waiting>> all;
  int n_done = 0;

  ConfigWaits ()
  {
    struct config_wait_config config = {};

    config.board = board_new (memory);
    config.timers = timers;
    wait = config_wait_new (memory, &config);
  }

  ~ConfigWaits () override
  {
    talloc_free (memory);
  }

  size_t
  add (const std::function<void (size_t)> &on_done)
  {
    static const struct config_waiter_ops ops = {
      .done =
          [] (struct config_waiter *base, const struct config_wait_result *, int64_t) {
            std::function<void ()> then =
                std::move (reinterpret_cast<struct waiting *> (base)->on_done);

            then ();
          },
    };
    size_t at = all.size ();

    all.push_back (std::make_unique<waiting> ());
    all[at]->waiter.ops = &ops;
    all[at]->on_done = [this, at, on_done] {
      all[at].reset ();
      n_done++;
      on_done (at);
    };
    EXPECT_EQ (config_wait_start (wait, &all[at]->waiter, 1, 10 * SEC, 0), STATUS_OK);
    return at;
  }

  void
  cancel (size_t i)
  {
    if (all[i] == nullptr)
      return;
    config_wait_cancel (wait, &all[i]->waiter);
    all[i].reset ();
  }
};

// Guards against use of a freed wait when one that ends cancels the next one.
TEST_F (ConfigWaits, OneThatEndsMayCancelTheNextOne)
{
  for (int i = 0; i < 4; i++)
    add ([this] (size_t at) {
      if (at + 1 < all.size ())
        cancel (at + 1);
    });
  timer_service_run (timers, SEC);
  EXPECT_EQ (n_done, 2);
}

// Guards against use of a freed wait when one that ends cancels all others.
TEST_F (ConfigWaits, OneThatEndsMayCancelAllOthers)
{
  for (int i = 0; i < 4; i++)
    add ([this] (size_t) {
      for (size_t j = 0; j < all.size (); j++)
        cancel (j);
    });
  timer_service_run (timers, SEC);
  EXPECT_EQ (n_done, 1);
}

// Guards against a check that never ends, as each wait that ends begins another.
TEST_F (ConfigWaits, OneThatEndsMayBeginAnother)
{
  std::function<void (size_t)> again = [&] (size_t) { add (again); };

  add (again);
  add (again);
  timer_service_run (timers, SEC);
  EXPECT_EQ (n_done, 2);
  timer_service_run (timers, 2 * SEC);
  EXPECT_EQ (n_done, 4);
}

}
