// Attempts without an answer, judged by what other targets of the pool do at the same time.
#include "slow_attempt.h"
#include <gtest/gtest.h>
#include <vector>

namespace
{

constexpr int64_t MS = USEC_PER_MSEC;
constexpr int64_t LEAST = 250 * MS;

// A pool of which the first target has the attempt that is judged.
struct pool
{
  std::vector<struct slow_target> targets;

  explicit pool (size_t n) : targets (n)
  {
  }

  void
  answer (size_t at, int64_t sent_at, int64_t span)
  {
    slow_target_sent (&targets[at], sent_at);
    slow_target_answers (&targets[at], sent_at + span);
    slow_target_learn (&targets[at], sent_at, span);
  }

  void
  teach (int64_t span, int n = 20)
  {
    for (size_t i = 0; i < targets.size (); i++)
      for (int k = 0; k < n; k++)
        answer (i, -1000 * MS, span);
  }

  struct slow_judgement
  judge (int64_t now) const
  {
    std::vector<const struct slow_target *> others;
    struct slow_attempt attempt = { .target = &targets[0], .sent_at = 0, .least = LEAST };

    for (size_t i = 1; i < targets.size (); i++)
      others.push_back (&targets[i]);
    return slow_attempt_judge (&attempt, others.data (), static_cast<uint32_t> (others.size ()),
                               now);
  }
};

// Guards against attempts that are left although all targets are known to take as long.
TEST (SlowAttempt, IsKeptForAsLongAsOthersTake)
{
  pool pool (16);

  pool.teach (1000 * MS);
  EXPECT_EQ (pool.judge (1000 * MS).verdict, SLOW_IN_TIME);
  EXPECT_EQ (pool.judge (1300 * MS).verdict, SLOW_LATE);
}

// Guards against attempts that are left as their pool turns slow: nobody answers.
TEST (SlowAttempt, IsKeptWhileOthersTurnSlow)
{
  pool pool (16);

  pool.teach (50 * MS);
  slow_target_sent (&pool.targets[0], 0);
  slow_target_sent (&pool.targets[1], 33 * MS);
  EXPECT_EQ (pool.judge (260 * MS).verdict, SLOW_POOL_SLOW);
}

// Guards against the same in a pool of which nothing is known yet.
TEST (SlowAttempt, IsKeptWhileNothingIsKnownAndOthersAreSilentToo)
{
  pool pool (16);

  slow_target_sent (&pool.targets[0], 0);
  slow_target_sent (&pool.targets[1], 33 * MS);
  EXPECT_EQ (pool.judge (260 * MS).verdict, SLOW_POOL_SLOW);
}

// Guards against a silent target that is kept while the others answer.
TEST (SlowAttempt, IsLateWhileOthersAnswer)
{
  pool pool (16);

  pool.teach (50 * MS);
  slow_target_sent (&pool.targets[0], 0);
  pool.answer (1, 33 * MS, 50 * MS);
  slow_target_sent (&pool.targets[2], 240 * MS);
  EXPECT_EQ (pool.judge (260 * MS).verdict, SLOW_LATE);
}

// Guards against a domain of silent targets that excuse each other while the others answer.
TEST (SlowAttempt, IsLateWhileMoreOthersAnswerThanAreSilent)
{
  pool pool (16);

  pool.teach (50 * MS);
  for (size_t i = 0; i < 5; i++)
    slow_target_sent (&pool.targets[i], 0);
  for (size_t i = 5; i < 9; i++)
    pool.answer (i, 33 * MS, 50 * MS);
  EXPECT_EQ (pool.judge (260 * MS).verdict, SLOW_LATE);
}

// Guards against a silent target that is kept where a pool gets few requests or has no other
// target.
TEST (SlowAttempt, IsLateWhereNoOtherTargetIsInUse)
{
  EXPECT_EQ (pool (16).judge (260 * MS).verdict, SLOW_LATE);
  EXPECT_EQ (pool (1).judge (260 * MS).verdict, SLOW_LATE);
  EXPECT_EQ (pool (1).judge (LEAST - 1).verdict, SLOW_IN_TIME);
}

// Guards against attempts at a target that is slower than the others but answers, which are left
// again and again.
TEST (SlowAttempt, IsKeptForAsLongAsItsOwnTargetTakes)
{
  pool pool (16);

  pool.teach (50 * MS);
  pool.targets[0] = {};
  for (int i = 0; i < 20; i++)
    pool.answer (0, -1000 * MS, 400 * MS);
  EXPECT_EQ (pool.judge (420 * MS).verdict, SLOW_IN_TIME);
  EXPECT_EQ (pool.judge (600 * MS).verdict, SLOW_LATE);
}

// Guards against an attempt that is judged too late after its pool has become fast again, or in a
// busy loop.
TEST (SlowAttempt, IsJudgedAgainSoonButNotAtOnce)
{
  for (int64_t now = LEAST; now < 60000 * MS; now *= 2)
    {
      pool pool (2);

      pool.teach (2 * now);
      EXPECT_GE (pool.judge (now).look_again, now + 20 * MS);
      EXPECT_LE (pool.judge (now).look_again, now + now / 4);
    }
}

} // namespace
