// Rate limits that hosts share, and the retries of a fleet whose hosts start, stop and lose sight
// of each other.
#include "retry_budget.h"
#include "rng.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace
{

constexpr int64_t STEP = 20 * USEC_PER_MSEC;
constexpr int64_t WINDOW = 10 * USEC_PER_SEC;
constexpr int64_t LIST_DELAY_MAX = USEC_PER_SEC; // of a change, to the host that learns of it

TEST (RatePart, PartsAddUpToTheLimit)
{
  const struct rate_limit limit = { .per_sec = 12, .burst = 7.5 };

  for (uint32_t n : { 1u, 3u, 7u, 8u, 200u })
    {
      double rate = 0;
      double burst = 0;

      for (uint32_t rank = 0; rank < n; rank++)
        {
          struct rate_limit part = rate_part_of (&limit, n, rank);

          rate += part.per_sec;
          burst += part.burst;
          EXPECT_TRUE (part.burst == 0 || part.burst >= 1);
        }
      EXPECT_NEAR (rate, 12, 1e-9);
      EXPECT_GT (burst, 6.9);
      EXPECT_LT (burst, 7.6);
    }
}

TEST (RatePart, AHostWithoutAListHasNoPart)
{
  const struct rate_limit limit = { .per_sec = 12, .burst = 7 };
  struct rate_limit part = rate_part_of (&limit, 0, 0);
  struct rate_bucket bucket = rate_bucket_new (5);

  EXPECT_EQ (part.per_sec, 0);
  EXPECT_FALSE (rate_bucket_take (&bucket, &part, 3600 * USEC_PER_SEC));
  EXPECT_EQ (rate_bucket_wait (&bucket, &part, 3600 * USEC_PER_SEC), USEC_NEVER);
}

TEST (RatePart, ABucketTellsWhenItHasOne)
{
  const struct rate_limit part = { .per_sec = 2, .burst = 3 };
  struct rate_bucket bucket = rate_bucket_new (USEC_PER_SEC);
  int64_t wait = rate_bucket_wait (&bucket, &part, USEC_PER_SEC);

  EXPECT_NEAR (static_cast<double> (wait), USEC_PER_SEC / 2.0, 2);
  EXPECT_FALSE (rate_bucket_take (&bucket, &part, USEC_PER_SEC + wait / 2));
  EXPECT_TRUE (rate_bucket_take (&bucket, &part, USEC_PER_SEC + wait));
  EXPECT_FALSE (rate_bucket_take (&bucket, &part, USEC_PER_SEC + wait));
}

TEST (RatePart, FewerHostsCountOnlyAfterAWhile)
{
  struct host_count count = {};
  int64_t now = USEC_PER_SEC;

  EXPECT_EQ (host_count_update (&count, 7, now), 7u);
  for (; now < HOST_COUNT_HOLD; now += USEC_PER_SEC)
    EXPECT_EQ (host_count_update (&count, 1, now), 7u);
  EXPECT_EQ (host_count_update (&count, 9, now), 9u);
  for (int i = 0; i < 30; i++)
    host_count_update (&count, 2, now += USEC_PER_SEC);
  EXPECT_EQ (host_count_update (&count, 2, now), 2u);
}

// A fleet whose targets reject all requests for some of the time; a host then wants three retries
// of each.
class retry_fleet
{
public:
  retry_fleet (uint64_t seed, uint32_t n) : hosts (n)
  {
    rng_init (&rng, seed);
    retry_limit = { .share = 0.2, .spare = 54, .window = WINDOW };
    rate = 4 + 60 * rng_unit (&rng);
    list_delay = rng_unit (&rng) < 0.5 ? 0 : LIST_DELAY_MAX;
    restarts = rng_unit (&rng) < 0.7;
    splits = rng_unit (&rng) < 0.3;
    uptime = static_cast<double> (USEC_PER_SEC) * (0.3 + 6 * rng_unit (&rng));
    for (auto &host : hosts)
      start (host);
  }

  void
  play (int64_t duration)
  {
    for (int64_t end = now + duration; now < end; now += STEP)
      {
        for (auto &host : hosts)
          live (host);
        if (now >= phase_until)
          begin_phase ();
        for (double left = rate * STEP / USEC_PER_SEC; left > 0; left -= 1)
          if (rng_unit (&rng) < left)
            serve (hosts[rng_below (&rng, hosts.size ())]);
      }
  }

  // The most that any window exceeds the limit by; negative if none does.
  double
  excess () const
  {
    double worst = -1e9;

    for (int64_t to : retries)
      {
        int64_t from = to - WINDOW;
        size_t requested =
            std::max ({ count (requests, from, to), count (requests, from - WINDOW, to - WINDOW),
                        count (requests, from - WINDOW / 2, to - WINDOW / 2) });
        double allowed = retry_limit.share * static_cast<double> (requested) + retry_limit.spare;

        worst = std::max (worst, static_cast<double> (count (retries, from, to)) - allowed);
      }
    return worst;
  }

  size_t
  n_retries () const
  {
    return retries.size ();
  }

private:
  struct member
  {
    bool up;
    int64_t until; // its next start or end
    int64_t list_at;
    uint32_t side;
    uint32_t n_listed; // 0: none yet
    uint32_t rank;
    struct host_count count;
    struct retry_budget budget;
  };

  void
  start (member &host)
  {
    host = { .up = true,
             .until = restarts ? now + static_cast<int64_t> (rng_exponential (&rng, uptime))
                               : USEC_NEVER,
             .list_at = now + static_cast<int64_t> (rng_unit (&rng) * list_delay),
             .side = 0,
             .n_listed = 0,
             .rank = 0,
             .count = {},
             .budget = retry_budget_new (now) };
  }

  void
  begin_phase ()
  {
    rejecting = !rejecting;
    phase_until = now + static_cast<int64_t> (rng_exponential (&rng, WINDOW));
  }

  // The hosts that are up on its side, in one order.
  void
  read_list (member &reader)
  {
    uint32_t n = 0;

    for (auto &host : hosts)
      {
        if (&host == &reader)
          reader.rank = n;
        n += host.up && host.side == reader.side ? 1 : 0;
      }
    reader.n_listed = n;
    reader.list_at = now + static_cast<int64_t> (rng_unit (&rng) * list_delay);
  }

  void
  live (member &host)
  {
    if (splits && host.up && rng_unit (&rng) < 0.002)
      host.side = rng_below (&rng, 2);
    if (now >= host.until && host.up)
      {
        host.up = false;
        host.until = now + static_cast<int64_t> (rng_exponential (&rng, 300 * USEC_PER_MSEC));
      }
    else if (now >= host.until)
      start (host);
    if (host.up && now >= host.list_at)
      read_list (host);
  }

  void
  serve (member &host)
  {
    struct rate_limit spare = retry_limit_spare (&retry_limit);

    requests.push_back (now);
    if (!host.up)
      return;
    uint32_t n = host.n_listed == 0 ? 0 : host_count_update (&host.count, host.n_listed, now);
    struct rate_limit part = rate_part_of (&spare, n, host.rank);

    retry_budget_add (&host.budget, &retry_limit, now);
    for (int i = 0;
         rejecting && i < 3 && retry_budget_take (&host.budget, &retry_limit, &part, now); i++)
      retries.push_back (now);
  }

  static size_t
  count (const std::vector<int64_t> &times, int64_t from, int64_t to)
  {
    return static_cast<size_t> (std::upper_bound (times.begin (), times.end (), to)
                                - std::upper_bound (times.begin (), times.end (), from));
  }

  std::vector<member> hosts;
  std::vector<int64_t> requests;
  std::vector<int64_t> retries;
  struct rng rng;
  struct retry_limit retry_limit;
  double rate;
  bool restarts;
  bool splits;
  double uptime;
  double list_delay;
  bool rejecting = false;
  int64_t phase_until = 0;
  int64_t now = 100 * USEC_PER_SEC;
};

// Guards against fleets whose hosts together exceed the limit while they start, stop and split.
TEST (RetryBudget, HostsThatComeAndGoKeepTheFleetsLimit)
{
  size_t granted = 0;

  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      const uint32_t sizes[] = { 1, 3, 7, 9, 30, 191 };
      retry_fleet fleet (seed, sizes[seed % 6]);

      fleet.play (60 * USEC_PER_SEC);
      EXPECT_LE (fleet.excess (), 0) << "seed " << seed;
      granted += fleet.n_retries ();
    }
  EXPECT_GT (granted, 60u * 20u);
}

// Guards against a limit that is kept by granting nothing: a steady fleet uses most of it.
TEST (RetryBudget, ASteadyFleetUsesItsSpareRetries)
{
  const struct retry_limit limit = { .share = 0.2, .spare = 54, .window = WINDOW };
  const struct rate_limit spare = retry_limit_spare (&limit);
  double granted = 0;

  for (uint32_t rank = 0; rank < 7; rank++)
    {
      struct rate_limit part = rate_part_of (&spare, 7, rank);
      struct retry_budget budget = retry_budget_new (0);

      for (int64_t now = WINDOW; now < 2 * WINDOW; now += STEP)
        granted += retry_budget_take (&budget, &limit, &part, now) ? 1 : 0;
    }
  EXPECT_GT (granted, 0.45 * limit.spare);
  EXPECT_LE (granted, RETRY_SPARE_USED * limit.spare);
}

} // namespace
