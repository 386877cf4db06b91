// Hosts that pin each other's public keys.
#include "whole_launch.h"

namespace
{

class WholeKeys : public WholeLaunch
{
protected:
  void
  prepare (uint32_t hosts)
  {
    const struct site *site = site_demo ();

    launch_ = launch_new (nullptr);
    ASSERT_NE (launch_, nullptr) << status_message ();
    launch_->keys = true;
    check (launch_add_hosts (launch_, hosts, site->domains, SITE_DOMAINS));
  }

  void
  start_site ()
  {
    check (launch_start_site (launch_, site_demo (), 0.2, nullptr));
    check (launch_apply_site (launch_, site_demo (), 1));
    check (launch_wait_revision (launch_));
    check (launch_wait_targets (launch_, all_targets));
  }
};

TEST_F (WholeKeys, HostsWithTheKeysTheyPinServe)
{
  prepare (3);
  check (launch_start_hosts (launch_));
  check (launch_wait_healthy (launch_));
  start_site ();
  expect_all_attained (send ("keys", 60, 10 * USEC_PER_MSEC));
}

// A host starts under the name and address of one that the others pin, but with another key.  The
// others must keep serving without it, list it to no caller and send it nothing: it must not get
// the configuration.
TEST_F (WholeKeys, AHostWithAnotherKeyIsExcluded)
{
  prepare (4);
  for (uint32_t i = 0; i < 3; i++)
    check (launch_start_host (launch_, i));
  check (launch_wait_healthy (launch_));
  start_site ();
  check (launch_replace_key (launch_, 3));
  check (launch_start_host (launch_, 3));
  pid_t stranger = launch_->hosts[3].process.pid;

  launch_->hosts[3].process.pid = 0; /* not waited for, not asked */
  expect_all_attained (send ("stranger", 200, 10 * USEC_PER_MSEC));
  for (uint32_t i = 0; i < 3; i++)
    EXPECT_FALSE (is_listed (i, 3));
  launch_->hosts[3].process.pid = stranger;
  struct call_answer asked = post (3, "price", "stranger-1", "{}");

  EXPECT_STRNE (asked.outcome, "whole");
  EXPECT_EQ (launch_executions (launch_, "counter", "stranger-1"), 0u);
}

} // namespace
