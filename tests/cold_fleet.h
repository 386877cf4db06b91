// Replays a pool with cold targets and its entry hosts without a network: each host decides by the
// product's own `balance`, from records and news that arrive late.
#ifndef COLD_FLEET_H
#define COLD_FLEET_H

#include "balance.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <talloc.h>
#include <vector>

namespace cold
{

constexpr const char *POOL = "p";
constexpr struct cold_spec SPEC = { .per_sec = 8.1, .start_time = 3 * USEC_PER_SEC };
constexpr struct cold_bounds BOUNDS = { .overrun = 1.5, .slack = 5 };
constexpr double BOUND = 8.1 * 1.5 + 5;
constexpr int64_t STEP = USEC_PER_MSEC;
constexpr int64_t ALL_TIME = 1000 * USEC_PER_SEC;

struct host
{
  void *parent = talloc_new (nullptr);
  std::string name;
  struct registry *registry = registry_new (parent);
  struct balance balance = {};
  struct host_view view = {};
  struct rate_share share = {};

  host () = default;
  host (const host &) = delete;

  ~host ()
  {
    talloc_free (parent);
  }

  void
  update (const std::string &id)
  {
    balance_update (&balance, parent, registry_find (registry, id.c_str ()));
  }
};

struct target
{
  std::string id;
  uint64_t sequence = 0;
  int64_t cold_from = 0; // as it is, whatever hosts know
  int64_t cold_until = 0;
  std::vector<int64_t> received; // while it was cold
};

class fleet
{
public:
  int64_t now = 100 * USEC_PER_SEC;
  size_t n_served = 0;
  size_t n_refused = 0;
  size_t n_cold = 0; // served by cold targets
  std::vector<std::unique_ptr<host>> hosts;
  std::vector<target> targets;

  fleet (uint64_t seed, uint32_t n_hosts, uint32_t n_targets) : targets (n_targets)
  {
    rng_init (&rng, seed);
    for (uint32_t i = 0; i < n_targets; i++)
      targets[i].id = "t" + std::to_string (i);
    list.resize (n_hosts);
    for (uint32_t i = 0; i < n_hosts; i++)
      add_host (i);
    for (uint32_t i = 0; i < n_hosts; i++)
      know (i, 0, n_hosts);
    for (auto &at : targets)
      announce (at, 0, 0);
    now += 2 * USEC_PER_SEC;
  }

  // The host's list has the hosts from `first` to before `last`.
  void
  know (uint32_t index, uint32_t first, uint32_t last)
  {
    struct host_view &view = hosts[index]->view;

    host_view_clear (&view);
    for (uint32_t i = first; i < last; i++)
      view.hosts[view.n++] = &list[i];
    hosts[index]->share.known_since = now - RATE_SHARE_SETTLE;
    hosts[index]->share.count = {};
  }

  // The target turns cold; the hosts learn of it within `latest`, at the earliest after `first`.
  void
  turn_cold (target &at, int64_t duration, int64_t first, int64_t latest)
  {
    be_cold (at, duration);
    announce (at, first, latest);
  }

  void
  be_cold (target &at, int64_t duration)
  {
    at.cold_from = now;
    at.cold_until = now + duration;
  }

  // Calls `act` for each host at a time of its own.
  void
  spread (int64_t first, int64_t latest, const std::function<void (host &)> &act)
  {
    for (auto &at : hosts)
      later (first + random_time (latest - first), [&at, act] { act (*at); });
  }

  void
  play (int64_t duration, double per_sec)
  {
    for (int64_t end = now + duration; now < end; now += STEP)
      {
        while (!due.empty () && due.begin ()->first <= now)
          {
            auto act = due.begin ()->second;

            due.erase (due.begin ());
            act ();
          }
        for (double left = per_sec * STEP / USEC_PER_SEC; left > 0; left -= 1)
          if (rng_unit (&rng) < left)
            request (static_cast<uint32_t> (rng_below (&rng, hosts.size ())));
      }
  }

  // The most that a cold target received in any second.
  size_t
  most () const
  {
    size_t worst = 0;

    for (const auto &at : targets)
      for (size_t first = 0, last = 0; last < at.received.size (); last++)
        {
          while (at.received[last] - at.received[first] > USEC_PER_SEC)
            first++;
          worst = std::max (worst, last - first + 1);
        }
    return worst;
  }

private:
  struct rng rng;
  std::vector<struct sync_host> list;
  std::multimap<int64_t, std::function<void ()>> due;

  int64_t
  random_time (int64_t most)
  {
    return most <= 0 ? 0 : static_cast<int64_t> (rng_unit (&rng) * static_cast<double> (most));
  }

  void
  later (int64_t delay, std::function<void ()> act)
  {
    due.emplace (now + delay, std::move (act));
  }

  void
  add_host (uint32_t index)
  {
    struct routing routing = {};
    struct pool pool = {};
    auto added = std::make_unique<host> ();

    added->name = "host-" + std::to_string (index);
    snprintf (list[index].name, sizeof list[index].name, "%s", added->name.c_str ());
    snprintf (pool.name, sizeof pool.name, "%s", POOL);
    pool.cold = SPEC;
    routing.pools = &pool;
    routing.n_pools = 1;
    balance_init (&added->balance, "a", nullptr, rng_u64 (&rng));
    balance_set_cold_pools (&added->balance, &routing, &BOUNDS);
    added->share.view = &added->view;
    added->share.name = added->name.c_str ();
    added->balance.rate_share = &added->share;
    hosts.push_back (std::move (added));
  }

  // A heartbeat of the target, now; the hosts hear of it later.
  void
  announce (target &at, int64_t first, int64_t latest)
  {
    struct registry_registration word = {};
    int64_t sent = now;

    snprintf (word.id, sizeof word.id, "%s", at.id.c_str ());
    snprintf (word.pool, sizeof word.pool, "%s", POOL);
    snprintf (word.address, sizeof word.address, "%s:1", at.id.c_str ());
    snprintf (word.domain, sizeof word.domain, "a");
    word.sequence = ++at.sequence;
    word.warmup_remaining = at.cold_until > now ? at.cold_until - now : 0;
    auto merge = [this, word, sent] (host &to) {
      struct registry_target *record;

      registry_merge (to.registry, &word, now - sent, now, &record);
      to.update (word.id);
    };
    if (latest == 0)
      for (auto &to : hosts)
        merge (*to);
    else
      spread (first, latest, merge);
  }

  void
  request (uint32_t index)
  {
    host &from = *hosts[index];
    struct balance_query query = {
      .pool = POOL, .binding = nullptr, .prompt = nullptr, .tried = nullptr, .n_tried = 0
    };
    struct balance_target *chosen = balance_choose (&from.balance, &query, now);

    if (chosen == nullptr)
      {
        n_refused++;
        return;
      }
    target &to = targets[std::stoul (chosen->id + 1)];
    bool cold = now < to.cold_until;

    n_served++;
    n_cold += cold ? 1 : 0;
    balance_started (&from.balance, chosen, BALANCE_REQUEST, now);
    later (random_time (20 * USEC_PER_MSEC), [this, &to] {
      if (now >= to.cold_from && now < to.cold_until)
        to.received.push_back (now);
    });
    later ((cold ? 600 : 100) * USEC_PER_MSEC,
           [this, chosen] { balance_ended (chosen, false, 100 * USEC_PER_MSEC, now); });
    // Batched by the sender and by a host that relays.
    later (15 * USEC_PER_MSEC + random_time (30 * USEC_PER_MSEC), [this, index, chosen] {
      for (uint32_t i = 0; i < hosts.size (); i++)
        if (i != index)
          balance_started_elsewhere (&hosts[i]->balance, chosen->id_hash, now);
    });
  }
};

}

#endif
