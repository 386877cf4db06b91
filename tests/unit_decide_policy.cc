// Policies simulated in virtual time, reproducible from their seeds: bounds that changes of the
// decisions must keep.
#include "policy.h"
#include <gtest/gtest.h>

namespace
{

struct policy_config
config_of (enum trace_site site, enum policy_arm arm, enum policy_experiment experiment)
{
  struct policy_config config = {};

  config.site = site;
  config.arm = arm;
  config.experiment = experiment;
  config.seed = 1;
  config.hosts = 6;
  config.scale = 1;
  config.length = 45 * USEC_PER_SEC;
  config.rate = site == TRACE_BKK ? 36 : 85; // 0.45 of the generating pool's capacity
  return config;
}

double
attained (const struct policy_result &result)
{
  return static_cast<double> (result.attained) / result.requests;
}

double
cost_each (const struct policy_result &result)
{
  double cost = 0;

  for (double part : result.cost)
    cost += part;
  return cost / result.attained;
}

class PolicyTest : public ::testing::TestWithParam<enum trace_site>
{
};

TEST_P (PolicyTest, CalmLoadIsAttainedAtLowerCostThanLeastLoad)
{
  auto config = config_of (GetParam (), POLICY_OURS, POLICY_CALM);
  auto ours = policy_simulate (&config);
  config.arm = POLICY_LEAST_LOAD;
  auto least = policy_simulate (&config);

  EXPECT_GE (attained (ours), 0.995);
  EXPECT_LT (cost_each (ours), 0.95 * cost_each (least));
}

// A burst of three times the load.  If all of it is admitted, every answer is late and goodput
// collapses; it must stay at nine tenths of the capacity.
TEST_P (PolicyTest, GoodputHoldsAtThreeTimesTheLoad)
{
  auto config = config_of (GetParam (), POLICY_OURS, POLICY_BURST);
  auto ours = policy_simulate (&config);

  EXPECT_GE (ours.goodput, 0.9 * policy_capacity (GetParam (), 1, 1));
}

// In every experiment unrepeatable work is sent once at most, targets that left or were lost for
// long get no work, and retries stay under a tenth of the attempts.
TEST_P (PolicyTest, InvariantsHoldInEveryExperiment)
{
  for (int experiment = 0; experiment < POLICY_EXPERIMENT_COUNT; experiment++)
    {
      auto config =
          config_of (GetParam (), POLICY_OURS, static_cast<enum policy_experiment> (experiment));
      auto result = policy_simulate (&config);
      const char *name = policy_experiment_text (config.experiment);

      EXPECT_EQ (result.duplicates, 0u) << name;
      EXPECT_EQ (result.to_unusable, 0u) << name;
      EXPECT_LE (result.retries, 0.1 * result.attempts) << name;
    }
}

TEST_P (PolicyTest, IsReproducibleFromItsSeed)
{
  auto config = config_of (GetParam (), POLICY_OURS, POLICY_DOMAIN_LOST);
  auto first = policy_simulate (&config);
  auto second = policy_simulate (&config);

  EXPECT_EQ (first.attained, second.attained);
  EXPECT_EQ (first.attempts, second.attempts);
  EXPECT_EQ (cost_each (first), cost_each (second));
}

INSTANTIATE_TEST_SUITE_P (Sites, PolicyTest, ::testing::Values (TRACE_BKK, TRACE_AR_CENTRO));

} // namespace
