// Targets that leave, hang or give wrong answers under load.
#include "whole_launch.h"

namespace
{

class WholeTargets : public WholeLaunch
{
protected:
  json_int_t
  count_of (const char *target, const char *what)
  {
    json_t *counts = launch_counts (launch_);
    json_t *entry;
    json_int_t value = -1;
    size_t i;

    json_array_foreach (counts, i, entry)
      {
        if (strcmp (json_string_value (json_object_get (entry, "name")), target) == 0)
          value = json_integer_value (json_object_get (entry, what));
      }
    json_decref (counts);
    return value;
  }

  // Inject the fault into one of the two runners after 50 requests; all answers must be whole.
  void
  expect_whole_despite (const char *prefix, const char *fault)
  {
    bool injected = false;

    start (3);
    const struct replay_result *result =
        send (prefix, 300, 10 * USEC_PER_MSEC, [&] (uint32_t ended) {
          if (injected || ended < 50)
            return;
          injected = true;
          json_t *json = json_loads (fault, 0, nullptr);

          json_object_set_new (json, "target", json_string ("runners-1"));
          check (launch_inject_fault (launch_, "runners", json));
        });

    ASSERT_TRUE (injected);
    EXPECT_GT (count_of ("runners-1", "faults"), 0);
    expect_all_attained (result);
  }
};

// A runner leaves under load.  It must finish its work, every request must be answered whole, and
// once the hosts know of the leave it must get no new work.
TEST_F (WholeTargets, ALeavingTargetGetsNoNewWorkAndNothingIsLost)
{
  bool left = false;

  start (3);
  const struct replay_result *result =
      send ("leave", 300, 10 * USEC_PER_MSEC, [&] (uint32_t ended) {
        if (left || ended < 50)
          return;
        left = true;
        check (launch_inject_fault (launch_, "runners",
                                    json_pack ("{s:s, s:b}", "target", "runners-1", "leave", 1)));
      });

  ASSERT_TRUE (left);
  expect_all_attained (result);
  check (launch_wait_targets (launch_, all_targets - 1));
  json_int_t calls = count_of ("runners-1", "calls");

  expect_all_attained (send ("left", 60, 10 * USEC_PER_MSEC));
  EXPECT_EQ (count_of ("runners-1", "calls"), calls);
  EXPECT_EQ (count_of ("runners-1", "cancelled"), 0);
}

// A runner accepts work and never answers, with no socket error.  Its calls must time out early
// enough for another runner to give the answer.
TEST_F (WholeTargets, ATargetThatHangsCostsNoAnswer)
{
  expect_whole_despite ("hang", "{\"hang\": true}");
}

// A runner's connections break in the middle of its streams.  Callers must get the whole text, with
// no duplicates where another runner resumed.
TEST_F (WholeTargets, ATargetThatDiesMidAnswerCostsNoAnswer)
{
  expect_whole_despite ("die", "{\"die\": true}");
}

// A runner sends each piece of its streams twice.  The duplicates must not reach a caller.
TEST_F (WholeTargets, DuplicatePiecesReachNoCaller)
{
  expect_whole_despite ("twice", "{\"twice\": true}");
}

// A runner answers with the id of another request.  No caller may get that answer.
TEST_F (WholeTargets, AnAnswerForAnotherRequestReachesNoCaller)
{
  expect_whole_despite ("other", "{\"other\": true}");
}

// A runner refuses work as not run.  Another runner must do it.
TEST_F (WholeTargets, ATargetThatRefusesCostsNoAnswer)
{
  expect_whole_despite ("refuse", "{\"refuse\": true}");
}

} // namespace
