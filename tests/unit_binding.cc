// What streams are bound to: the table, the hosts that keep bindings, and lookups at them.
#include "binding_log.h"
#include "binding_store.h"
#include "disk_fake.h"
#include "held_worker.h"
#include "sync_harness.h"
#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <talloc.h>

namespace
{

struct binding_key
key_of (const std::string &id)
{
  struct binding_key key;

  binding_key_compute ("org", "route", id.c_str (), &key);
  return key;
}

struct binding
binding_of (const char *pool, const char *version)
{
  struct binding binding = {};

  snprintf (binding.pool, sizeof binding.pool, "%s", pool);
  snprintf (binding.version, sizeof binding.version, "%s", version);
  binding.version_known = true;
  return binding;
}

struct registry_registration
target_of (const char *id, uint64_t started, const char *version)
{
  struct registry_registration target = make_word (id, "p", "a:1", REGISTRY_READY, 1);

  target.started_unix_ms = started;
  target.version_known = version != nullptr;
  snprintf (target.version, sizeof target.version, "%s", version == nullptr ? "" : version);
  return target;
}

// Whether a stream that `writer` began may go on at `target`.
bool
may_go_on (const struct registry_registration &writer, const struct registry_registration &target)
{
  struct binding binding;

  binding_to (&writer, &binding);
  return binding_allows (&binding, &target);
}

TEST (Binding, AllowsTheSameVersionOrTheSameIncarnation)
{
  struct registry_registration writer = target_of ("i", 1, "v1");
  struct registry_registration unknown = target_of ("i", 1, nullptr);
  struct registry_registration other_pool = target_of ("j", 2, "v1");

  EXPECT_TRUE (may_go_on (writer, target_of ("j", 2, "v1")));
  EXPECT_FALSE (may_go_on (writer, target_of ("j", 2, "v1.0")));
  EXPECT_FALSE (may_go_on (writer, target_of ("j", 2, nullptr)));
  EXPECT_TRUE (may_go_on (writer, unknown));
  EXPECT_TRUE (may_go_on (unknown, unknown));
  EXPECT_TRUE (may_go_on (unknown, writer));
  EXPECT_FALSE (may_go_on (unknown, target_of ("j", 1, nullptr)));
  EXPECT_FALSE (may_go_on (unknown, target_of ("i", 2, nullptr)));
  EXPECT_FALSE (may_go_on (unknown, target_of ("j", 1, "")));
  EXPECT_TRUE (may_go_on (target_of ("i", 1, ""), target_of ("j", 2, "")));
  snprintf (other_pool.pool, sizeof other_pool.pool, "q");
  EXPECT_FALSE (may_go_on (writer, other_pool));
}

class BindingTableTest : public ::testing::Test
{
protected:
  void *parent = talloc_new (nullptr);
  struct binding_table *table = binding_table_new (parent);
  int64_t now = 10 * USEC_PER_SEC;

  void
  TearDown () override
  {
    talloc_free (parent);
  }

  void
  put (const std::string &id, const struct binding &binding, int64_t lifetime = USEC_PER_SEC)
  {
    struct binding_key key = key_of (id);

    binding_table_put (table, &key, &binding, lifetime, now);
  }

  const struct binding_record *
  find (const std::string &id)
  {
    struct binding_key key = key_of (id);

    return binding_table_find (table, &key, now);
  }
};

TEST_F (BindingTableTest, KeepsABindingForItsLifetime)
{
  put ("a", binding_of ("p", "v1"));
  now += USEC_PER_SEC - 1;
  ASSERT_NE (find ("a"), nullptr);
  EXPECT_STREQ (find ("a")->binding.version, "v1");
  put ("a", binding_of ("p", "v1"));
  now += USEC_PER_SEC - 1;
  ASSERT_NE (find ("a"), nullptr);
  EXPECT_FALSE (find ("a")->is_ambiguous);
  now++;
  EXPECT_EQ (find ("a"), nullptr);
  put ("a", binding_of ("p", "v2"));
  EXPECT_FALSE (find ("a")->is_ambiguous);
}

// A lifetime from another host is bounded.
TEST_F (BindingTableTest, KeepsABindingForTheLongestTimeAtMost)
{
  put ("a", binding_of ("p", "v1"), INT64_MAX);
  now += BINDING_LIFETIME_MAX;
  EXPECT_EQ (find ("a"), nullptr);
}

TEST_F (BindingTableTest, AnIdWithDifferentBindingsIsAmbiguous)
{
  put ("a", binding_of ("p", "v1"));
  put ("a", binding_of ("q", "v1"));
  EXPECT_TRUE (find ("a")->is_ambiguous);
  put ("b", binding_of ("p", "v1"));
  put ("b", binding_of ("p", "v1.1"));
  EXPECT_TRUE (find ("b")->is_ambiguous);
}

// A host that does not know the version yet, and one that does, keep the same stream.
TEST_F (BindingTableTest, AVersionThatBecomesKnownReplacesNone)
{
  struct registry_registration writer = target_of ("i", 1, "v1");
  struct registry_registration unknown = target_of ("i", 1, nullptr);
  struct binding with;
  struct binding without;

  binding_to (&writer, &with);
  binding_to (&unknown, &without);
  put ("a", without);
  put ("a", with);
  put ("a", without);
  EXPECT_FALSE (find ("a")->is_ambiguous);
  EXPECT_TRUE (find ("a")->binding.version_known);
}

TEST_F (BindingTableTest, TheOldestMakesRoom)
{
  put ("kept", binding_of ("p", "v1"), 60 * USEC_PER_SEC);
  put ("oldest", binding_of ("p", "v1"), 60 * USEC_PER_SEC);
  put ("kept", binding_of ("p", "v1"), 60 * USEC_PER_SEC);
  for (uint32_t i = 0; i < BINDINGS_MAX - 1; i++)
    put ("i" + std::to_string (i), binding_of ("p", "v1"), 60 * USEC_PER_SEC);
  EXPECT_EQ (binding_table_count (table), BINDINGS_MAX);
  EXPECT_EQ (binding_table_evicted (table), 1u);
  EXPECT_EQ (find ("oldest"), nullptr);
  EXPECT_NE (find ("kept"), nullptr);
}

TEST_F (BindingTableTest, KeysOfDifferentTextsDiffer)
{
  std::set<std::string> keys;
  const char *const texts[][3] = {
    { "a", "b", "c" }, { "ab", "", "c" }, { "", "ab", "c" }, { "a", "bc", "" }, { "a", "b", "d" },
  };

  for (const auto &text : texts)
    {
      struct binding_key key;

      binding_key_compute (text[0], text[1], text[2], &key);
      keys.insert (std::string ((const char *) key.bytes, sizeof key.bytes));
    }
  EXPECT_EQ (keys.size (), 5u);
}

// A fleet of hosts in failure domains of equal size.
class BindingOrderTest : public ::testing::Test
{
protected:
  std::vector<std::unique_ptr<struct sync_host>> hosts;
  struct host_view view = {};

  void
  make (size_t n, size_t domains)
  {
    for (size_t i = 0; i < n; i++)
      {
        auto host = std::make_unique<struct sync_host> ();

        *host = {};
        snprintf (host->name, sizeof host->name, "10.0.0.%zu:7", i);
        snprintf (host->domain, sizeof host->domain, "d%zu", i % domains);
        host_view_add (&view, host.get (), 1);
        hosts.push_back (std::move (host));
      }
  }

  std::vector<std::string>
  order (const std::string &id, const std::string &self, uint32_t max)
  {
    struct binding_key key = key_of (id);
    const char *out[BINDING_LOOKUP_HOSTS];
    uint32_t n = binding_order_hosts (&view, self.c_str (), &key, max, out);

    return { out, out + n };
  }
};

TEST_F (BindingOrderTest, ReplicasAreOnOtherHostsInDifferentDomains)
{
  make (9, 3);
  for (int i = 0; i < 200; i++)
    {
      std::string self = hosts[(size_t) i % 9]->name;
      std::set<std::string> domains;

      for (const auto &name : order ("s" + std::to_string (i), self, BINDING_REPLICA_HOSTS))
        {
          EXPECT_NE (name, self);
          domains.insert (host_view_find (&view, name.c_str ())->domain);
        }
      EXPECT_EQ (domains.size (), 3u);
    }
}

TEST_F (BindingOrderTest, FewHostsAllHoldReplicas)
{
  make (2, 2);
  EXPECT_EQ (order ("s", hosts[0]->name, BINDING_REPLICA_HOSTS),
             std::vector<std::string>{ hosts[1]->name });
}

// Hosts that end, with the one that began the stream among them, share of the streams of which a
// replica is left and is found by a host that has another view.
TEST_F (BindingOrderTest, MostStreamsHaveAReplicaLeftWhenSixInTenHostsEnd)
{
  const int STREAMS = 1000;
  int found = 0;

  make (30, 3);
  for (int i = 0; i < STREAMS; i++)
    {
      auto is_left = [i] (size_t host) { return (host * 7 + (size_t) i) % 10 >= 6; };
      std::string id = "s" + std::to_string (i);
      std::string began_at;
      std::string resumed_at;
      std::set<std::string> kept;
      struct host_view all = view;

      for (size_t host = 0; host < hosts.size (); host++)
        (is_left (host) ? resumed_at : began_at) = hosts[host]->name;
      for (const auto &name : order (id, began_at, BINDING_REPLICA_HOSTS))
        kept.insert (name);
      for (size_t host = 0; host < hosts.size (); host++)
        if (!is_left (host))
          {
            kept.erase (hosts[host]->name);
            host_view_remove (&view, hosts[host]->name);
          }
      bool known = kept.count (resumed_at) > 0;

      for (const auto &name : order (id, resumed_at, BINDING_LOOKUP_HOSTS))
        known = known || kept.count (name) > 0;
      found += known ? 1 : 0;
      view = all;
    }
  EXPECT_GE (found, STREAMS / 2);
  printf ("%d of %d streams are known\n", found, STREAMS);
}

// Two stores that send to each other.
class BindingStoreTest : public ::testing::Test
{
protected:
  struct peers : binding_peers
  {
    std::vector<std::string> hosts;
    std::vector<std::string> controllers;
    bool complete = true; // it has all lists
  };

  struct host
  {
    recording_port port;
    struct peers peers;
    struct binding_store *store = nullptr;
  };

  struct lookup_client
  {
    struct binding_lookup lookup; // must be first: cast to lookup_client
    std::vector<struct binding_answer> answers;
  };

  void *parent = talloc_new (nullptr);
  struct timer_service *timers = timer_service_new (parent);
  struct counters *counters = counters_new (parent);
  std::map<std::string, host> hosts;
  int64_t now = 10 * USEC_PER_SEC;
  struct binding_key key = key_of ("r1");
  lookup_client client = {};

  void
  SetUp () override
  {
    static const struct binding_lookup_ops ops = {
      .answered =
          [] (struct binding_lookup *base, const struct binding_answer *answer, int64_t) {
            reinterpret_cast<lookup_client *> (base)->answers.push_back (*answer);
          },
    };

    client.lookup.ops = &ops;
  }

  void
  TearDown () override
  {
    talloc_free (parent);
  }

  host &
  add (const std::string &name,
       const std::vector<std::string> &others,
       const struct binding_log_config *log = nullptr)
  {
    static const struct binding_peers_ops ops = {
      .list_hosts =
          [] (struct binding_peers *base, const struct binding_key *, uint32_t max,
              const char **out) {
            return list (static_cast<struct peers *> (base)->hosts, max, out);
          },
      .list_controllers =
          [] (struct binding_peers *base, const struct binding_key *, uint32_t max,
              const char **out) {
            return list (static_cast<struct peers *> (base)->controllers, max, out);
          },
      .is_complete =
          [] (struct binding_peers *base) { return static_cast<struct peers *> (base)->complete; },
    };
    host &made = hosts[name];
    struct binding_store_config config = {
      .peers = &made.peers,
      .port = &made.port.port,
      .timers = timers,
      .counters = counters,
      .log = log,
    };

    made.peers.ops = &ops;
    made.peers.hosts = others;
    made.store = binding_store_new (parent, &config);
    return made;
  }

  static uint32_t
  list (const std::vector<std::string> &names, uint32_t max, const char **out)
  {
    uint32_t n = 0;

    for (; n < names.size () && n < max; n++)
      out[n] = names[n].c_str ();
    return n;
  }

  // Delivers what the hosts have sent, and what they send in answer.
  void
  deliver ()
  {
    for (bool any = true; any;)
      {
        any = false;
        for (auto &[name, from] : hosts)
          {
            auto sent = std::move (from.port.sent);

            from.port.sent.clear ();
            for (const auto &[to, channel, text] : sent)
              {
                struct bytes message = {};

                if (hosts.count (to) == 0)
                  continue;
                any = true;
                bytes_init (&message, nullptr);
                bytes_append (&message, text.data (), text.size ());
                hosts[to].port.deliver (name.c_str (), channel, &message, now);
                bytes_clear (&message);
              }
          }
      }
  }

  void
  put (const std::string &name, const struct binding &binding)
  {
    binding_store_put (hosts[name].store, &key, &binding, 60 * USEC_PER_SEC, now);
  }

  void
  look_up (const std::string &name)
  {
    binding_store_look_up (hosts[name].store, &client.lookup, &key, now);
  }

  void
  advance (int64_t span)
  {
    now += span;
    timer_service_run (timers, now);
  }

  // Enough turns of the loop for a log to be read or written.
  void
  settle ()
  {
    for (int i = 0; i < 5; i++)
      advance (BINDING_LOG_WRITE_PERIOD / 4);
  }
};

TEST_F (BindingStoreTest, AnotherHostAnswersAfterTheFirstOneEnded)
{
  add ("a", { "b", "c" });
  add ("b", { "a", "c" });
  add ("c", { "b", "a" });
  put ("a", binding_of ("p", "v2"));
  deliver ();
  hosts.erase ("a");
  now += 5 * USEC_PER_SEC;
  look_up ("c");
  EXPECT_TRUE (client.answers.empty ());
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_KNOWN);
  EXPECT_STREQ (client.answers[0].binding.pool, "p");
  EXPECT_STREQ (client.answers[0].binding.version, "v2");
  EXPECT_TRUE (client.answers[0].binding.version_known);
  EXPECT_STREQ (client.answers[0].from, "b");
  EXPECT_EQ (client.answers[0].age, 5 * USEC_PER_SEC);
}

// A controller keeps bindings for the case that all entry hosts end at once.
TEST_F (BindingStoreTest, AControllerAnswersAfterAllHostsEnded)
{
  add ("controller", {});
  add ("a", {}).peers.controllers = { "controller" };
  put ("a", binding_of ("p", "v2"));
  deliver ();
  hosts.erase ("a");
  add ("b", {}).peers.controllers = { "controller" };
  look_up ("b");
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_KNOWN);
}

// Guards against a controller that forgets what it keeps for others when it ends, or says that it
// does not know a stream before it has read its disk.
TEST_F (BindingStoreTest, AControllerAnswersFromItsDiskAfterARestart)
{
  held_worker worker;
  struct binding_log_config log = {};
  struct disk *disk = disk_fake_new (parent, 1);

  log.disk = disk;
  log.worker = &worker.worker;
  log.wall_clock = [] { return INT64_C (0); };
  add ("controller", {}, &log);
  add ("a", {}).peers.controllers = { "controller" };
  settle ();
  put ("a", binding_of ("p", "v2"));
  deliver ();
  settle ();
  talloc_free (hosts["controller"].store);
  hosts.erase ("a");
  worker.holds = true;
  add ("controller", {}, &log);
  add ("b", {}).peers.controllers = { "controller" };
  look_up ("b");
  advance (BINDING_LOOKUP_PERIOD);
  deliver ();
  EXPECT_TRUE (client.answers.empty ());
  worker.release (now);
  settle ();
  advance (BINDING_LOOKUP_PERIOD);
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_KNOWN);
  EXPECT_STREQ (client.answers[0].binding.version, "v2");
  talloc_free (hosts["controller"].store);
}

// One host that knows is enough, whatever others say and whether they say anything.
TEST_F (BindingStoreTest, OneThatKnowsIsEnough)
{
  add ("a", { "b" });
  add ("b", {});
  add ("c", {});
  put ("a", binding_of ("p", "v2"));
  deliver ();
  add ("d", { "c", "dead", "b" });
  look_up ("d");
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_KNOWN);
  advance (BINDING_LOOKUP_TIMEOUT);
  EXPECT_EQ (client.answers.size (), 1u);
}

TEST_F (BindingStoreTest, EndsAtOnceWhenAllSayThatTheyDoNotKnow)
{
  add ("a", { "b", "c" });
  add ("b", {});
  add ("c", {});
  look_up ("a");
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_UNKNOWN);
}

// A host that was just started has no connection at first; the lookup is repeated.
TEST_F (BindingStoreTest, RepeatsTheLookup)
{
  add ("a", { "b" });
  add ("b", {});
  put ("b", binding_of ("p", "v1"));
  hosts["a"].port.unreachable["b"] = true;
  look_up ("a");
  deliver ();
  EXPECT_TRUE (client.answers.empty ());
  hosts["a"].port.unreachable["b"] = false;
  advance (BINDING_LOOKUP_PERIOD);
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_KNOWN);
}

// Guards against a host that takes the answer of the one host that it reaches so far for that of
// all.
TEST_F (BindingStoreTest, WaitsForHostsThatItDoesNotReachYet)
{
  add ("a", { "b", "c" });
  add ("b", {});
  add ("c", {});
  put ("c", binding_of ("p", "v1"));
  hosts["a"].port.unreachable["c"] = true;
  look_up ("a");
  deliver ();
  EXPECT_TRUE (client.answers.empty ());
  hosts["a"].port.unreachable["c"] = false;
  advance (BINDING_LOOKUP_PERIOD);
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_KNOWN);
}

// The same where it does not know yet which hosts there are.
TEST_F (BindingStoreTest, WaitsForListsThatItDoesNotHaveYet)
{
  add ("a", { "b" }).peers.complete = false;
  add ("b", {});
  add ("c", {});
  put ("c", binding_of ("p", "v1"));
  look_up ("a");
  deliver ();
  EXPECT_TRUE (client.answers.empty ());
  hosts["a"].peers.hosts = { "b", "c" };
  hosts["a"].peers.complete = true;
  advance (BINDING_LOOKUP_PERIOD);
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_KNOWN);
}

TEST_F (BindingStoreTest, GivesUpWhenNobodyAnswers)
{
  add ("a", { "dead" });
  look_up ("a");
  for (int64_t waited = 0; waited < BINDING_LOOKUP_TIMEOUT; waited += BINDING_LOOKUP_PERIOD)
    {
      EXPECT_TRUE (client.answers.empty ());
      advance (BINDING_LOOKUP_PERIOD);
    }
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_UNKNOWN);
}

// An answer to a lookup that its owner has withdrawn, or to another one, reaches nobody.
TEST_F (BindingStoreTest, IgnoresAnswersToOtherLookups)
{
  add ("a", { "b" });
  add ("b", {});
  put ("b", binding_of ("p", "v1"));
  look_up ("a");
  binding_store_cancel (&client.lookup);
  deliver ();
  advance (BINDING_LOOKUP_TIMEOUT);
  EXPECT_TRUE (client.answers.empty ());
}

TEST_F (BindingStoreTest, SaysThatAnIdIsOfSeveralStreams)
{
  add ("a", { "b" });
  add ("b", {});
  put ("b", binding_of ("p", "v1"));
  put ("b", binding_of ("p", "v2"));
  look_up ("a");
  deliver ();
  ASSERT_EQ (client.answers.size (), 1u);
  EXPECT_EQ (client.answers[0].outcome, BINDING_AMBIGUOUS);
}

// Messages cut at any byte, or with any byte changed, are read or ignored.
TEST_F (BindingStoreTest, ReadsMalformedMessages)
{
  add ("a", { "b" });
  add ("b", {});
  put ("a", binding_of ("p", "v1"));
  look_up ("a");
  auto sent = hosts["a"].port.sent;

  for (const auto &[to, channel, text] : sent)
    for (size_t i = 0; i < text.size (); i++)
      for (int change = 0; change < 256; change++)
        {
          std::string changed = change == 0 ? text.substr (0, i) : text;
          struct bytes message = {};

          if (change > 0)
            changed[i] = (char) (changed[i] + change);
          bytes_init (&message, nullptr);
          bytes_append (&message, changed.data (), changed.size ());
          if (!changed.empty ())
            hosts["b"].port.deliver ("a", channel, &message, now);
          bytes_clear (&message);
        }
  SUCCEED ();
}

}
