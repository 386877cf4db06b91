// The operator interface over fake HTTP exchanges: changes, conflicts, resends, lists, watches and
// waits.
#include "config_wait.h"
#include "operator.h"
#include "store_group.h"
#include "unit_store_log.h"
#include <memory>
#include <vector>

namespace
{

constexpr int64_t SEC = USEC_PER_SEC;

// An HTTP exchange that records its answer.
struct exchange
{
  struct http_exchange http = {}; // first member
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::vector<std::string> values;
  std::vector<struct http_field> fields;
  int code = 0;
  int ends = 0;
  bool aborted = false;
  std::string sent;
  size_t unsent_bytes = 0;

  exchange (const std::string &with_method,
            const std::string &url,
            const std::string &with_body = "",
            const std::vector<std::string> &headers = {})
      : method (with_method), body (with_body), values (headers)
  {
    static const struct http_exchange_ops ops = { reply, begin, write, finish, abort_op, unsent };
    size_t mark = url.find ('?');

    path = url.substr (0, mark);
    query = mark == std::string::npos ? "" : url.substr (mark + 1);
    for (size_t i = 0; i + 1 < values.size (); i += 2)
      fields.push_back ({ values[i].c_str (), values[i + 1].c_str () });
    http.ops = &ops;
    http.listener = HTTP_LISTENER_OPERATORS;
    http.method = method.c_str ();
    http.path = path.c_str ();
    http.query = query.c_str ();
    http.headers = fields.data ();
    http.n_headers = fields.size ();
    http.body = body.c_str ();
    http.body_length = body.size ();
  }

  static struct exchange *
  of (struct http_exchange *http)
  {
    return reinterpret_cast<struct exchange *> (http);
  }

  static void
  reply (struct http_exchange *http,
         int code,
         const struct http_field *,
         size_t,
         const void *body,
         size_t length)
  {
    of (http)->code = code;
    of (http)->ends++;
    of (http)->sent.assign (static_cast<const char *> (body), length);
  }

  static void
  begin (struct http_exchange *http, int code, const struct http_field *, size_t)
  {
    of (http)->code = code;
  }

  static void
  write (struct http_exchange *http, const void *data, size_t length)
  {
    of (http)->sent.append (static_cast<const char *> (data), length);
  }

  static void
  finish (struct http_exchange *http)
  {
    of (http)->ends++;
  }

  static void
  abort_op (struct http_exchange *http)
  {
    of (http)->ends++;
    of (http)->aborted = true;
  }

  static size_t
  unsent (const struct http_exchange *http)
  {
    return reinterpret_cast<const struct exchange *> (http)->unsent_bytes;
  }

  bool
  has (const std::string &text) const
  {
    return sent.find (text) != std::string::npos;
  }

  int
  count (const std::string &text) const
  {
    int found = 0;

    for (size_t at = sent.find (text); at != std::string::npos; at = sent.find (text, at + 1))
      found++;
    return found;
  }
};

// A host with its operator interface, store and log.
class Operator : public testing::Test
{
protected:
  struct test_clock clock;
  void *memory = talloc_new (nullptr);
  struct store_config store_config = {};
  struct store *store = nullptr;
  struct store_group *group = store_group_new (memory);
  struct board *board = board_new (memory);
  struct counters *counters = counters_new (memory);
  struct dump dump = {};
  std::unique_ptr<struct test_log> log;
  struct operator_api *api = nullptr;

  Operator ()
  {
    struct config_config config = {};
    struct config_wait_config wait = {};
    struct operator_api_config own = {};

    store_config.history_events_max = 16;
    store = store_new (memory, &store_config);
    store_group_add (group, STORE_PART_RESOURCES, store_machine (store));
    log = std::make_unique<struct test_log> (store_group_machine (group), clock.timers);
    config.store = store;
    config.board = board;
    config.consensus = &log->consensus;
    config.timers = clock.timers;
    config.counters = counters;
    config.dump = &dump;
    config_new (memory, &config, clock.now);
    wait.board = board;
    wait.timers = clock.timers;
    own.store = store;
    own.board = board;
    own.consensus = &log->consensus;
    own.wait = config_wait_new (memory, &wait);
    own.timers = clock.timers;
    own.counters = counters;
    own.dump = &dump;
    own.host = "a";
    api = operator_api_new (memory, &own);
  }

  ~Operator () override
  {
    talloc_free (memory);
  }

  // Limits the interface to `more` bytes above its present size; SIZE_MAX for no limit.
  void
  limit_memory (size_t more)
  {
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated-declarations"
    ASSERT_EQ (talloc_set_memlimit (api, more == SIZE_MAX ? 0 : talloc_total_size (api) + more), 0);
#pragma GCC diagnostic pop
  }

  void
  send (struct exchange &exchange)
  {
    struct http_route **routes;
    uint32_t count = operator_api_routes (api, &routes);
    struct http_route *best = nullptr;

    for (uint32_t i = 0; i < count; i++)
      if (exchange.path.rfind (routes[i]->prefix, 0) == 0
          && (best == nullptr || strlen (routes[i]->prefix) > strlen (best->prefix)))
        best = routes[i];
    ASSERT_NE (best, nullptr);
    best->ops->request (best, &exchange.http, clock.now);
  }

  // Sends a request and runs the clock until it is answered.
  struct exchange
  call (const std::string &method,
        const std::string &url,
        const std::string &body = "",
        const std::vector<std::string> &headers = {})
  {
    struct exchange exchange (method, url, body, headers);

    clock.run (SEC);
    send (exchange);
    clock.run (SEC);
    EXPECT_EQ (exchange.ends, 1) << method << " " << url;
    return exchange;
  }
};

const char *const POOL = "{\"spec\":{\"kind\":\"generate\",\"slots\":4}}";

TEST_F (Operator, RefusesRequestsBeforeAConfirmedConfiguration)
{
  struct exchange early ("GET", "/v1/pools");

  log->quorum = false;
  send (early);
  EXPECT_EQ (early.code, 503);
  EXPECT_EQ (call ("GET", "/v1/health").code, 503);
}

TEST_F (Operator, PutGetDelete)
{
  struct exchange put = call ("PUT", "/v1/pools/gen", POOL);

  EXPECT_EQ (put.code, 201);
  EXPECT_TRUE (put.has ("\"resourceVersion\":1"));
  EXPECT_EQ (call ("PUT", "/v1/pools/gen", POOL).code, 200);
  struct exchange get = call ("GET", "/v1/pools/gen");
  EXPECT_EQ (get.code, 200);
  EXPECT_TRUE (get.has ("\"generation\":1"));
  EXPECT_TRUE (get.has ("\"here\":true"));
  EXPECT_EQ (call ("DELETE", "/v1/pools/gen").code, 200);
  EXPECT_EQ (call ("GET", "/v1/pools/gen").code, 404);
  EXPECT_EQ (call ("DELETE", "/v1/pools/gen").code, 404);
  EXPECT_EQ (call ("GET", "/v1/health").code, 200);
  EXPECT_TRUE (call ("GET", "/v1/revision").has ("\"revision\":2"));
  EXPECT_TRUE (call ("GET", "/v1/dump").has ("\"config\""));
  EXPECT_TRUE (call ("GET", "/metrics").has ("cherryarch_operator_changes_total 3"));
}

TEST_F (Operator, BadInputNamesItsField)
{
  struct exchange bad = call ("PUT", "/v1/pools/gen", "{\"spec\":{\"kind\":\"x\"}}");

  EXPECT_EQ (bad.code, 400);
  EXPECT_TRUE (bad.has ("\"field\":\"spec.kind\""));
  EXPECT_EQ (call ("PUT", "/v1/pools/gen", "{\"spec\":{},\"spec\":{}}").code, 400);
  EXPECT_EQ (call ("PUT", "/v1/pools/gen", std::string (100, '[')).code, 400);
  EXPECT_EQ (call ("PUT", "/v1/pools/gen", "").code, 400);
  EXPECT_TRUE (call ("PUT", "/v1/pools/gen",
                     "{\"metadata\":{\"name\":\"other\"},\"spec\":{\"kind\":\"call\"}}")
                   .has ("metadata.name"));
  EXPECT_EQ (call ("PUT", "/v1/pools/a%2", POOL).code, 404);
  EXPECT_EQ (call ("POST", "/v1/pools/gen", POOL).code, 405);
  EXPECT_EQ (call ("PUT", "/v1/pools", POOL).code, 405);
  EXPECT_EQ (call ("GET", "/v1/poolsx").code, 404);
  EXPECT_TRUE (call ("PUT", "/v1/services/s", "{\"spec\":{\"pool\":\"none\",\"deadlineMs\":5}}")
                   .has ("none"));
}

// Two operators read revision 1, and both send a change conditional on it.
TEST_F (Operator, ConflictingChangeGetsTheCurrentObject)
{
  call ("PUT", "/v1/pools/gen", POOL);
  EXPECT_EQ (call ("PUT", "/v1/pools/gen",
                   "{\"metadata\":{\"resourceVersion\":1},"
                   "\"spec\":{\"kind\":\"generate\",\"slots\":5}}")
                 .code,
             200);
  struct exchange loser = call ("PUT", "/v1/pools/gen",
                                "{\"metadata\":{\"resourceVersion\":\"1\"},"
                                "\"spec\":{\"kind\":\"generate\",\"slots\":6}}");
  EXPECT_EQ (loser.code, 409);
  EXPECT_TRUE (loser.has ("\"slots\":5"));
  EXPECT_EQ (call ("DELETE", "/v1/pools/gen?resourceVersion=1").code, 409);
  EXPECT_EQ (call ("PATCH", "/v1/pools/gen",
                   "{\"metadata\":{\"resourceVersion\":1},\"spec\":{\"slots\":7}}")
                 .code,
             409);
}

// The answer is lost, and the operator's client sends the change again with the same id.
TEST_F (Operator, AResentChangeGetsTheFirstAnswer)
{
  const std::vector<std::string> id = { "x-change-id", "c1" };
  struct exchange first = call ("PUT", "/v1/pools/gen", POOL, id);

  call ("PUT", "/v1/pools/gen", "{\"spec\":{\"kind\":\"generate\",\"slots\":9}}");
  struct exchange again = call ("PUT", "/v1/pools/gen", POOL, id);
  EXPECT_EQ (again.code, first.code);
  EXPECT_EQ (again.sent, first.sent);
  EXPECT_TRUE (call ("GET", "/v1/pools/gen").has ("\"slots\":9"));
  EXPECT_EQ (call ("PUT", "/v1/pools/gen", "{\"spec\":{\"kind\":\"generate\"}}", id).code, 422);
  EXPECT_EQ (call ("DELETE", "/v1/pools/gen", "", id).code, 422);
}

// The log's answer is lost: the entry was applied, and the host sees a timeout.  With a change id
// the host proposes it again and gets the first answer.  Without one it must not apply the change
// twice, and answers that the outcome is unknown.
TEST_F (Operator, ChangeOfUnknownOutcomeIsRetriedOnlyWithChangeId)
{
  struct exchange with ("PUT", "/v1/pools/gen", POOL, { "x-change-id", "c1" });
  struct exchange without ("PUT", "/v1/pools/b", POOL);

  clock.run (SEC);
  log->delivery_mode = delivery_mode::ANSWER_LOST;
  send (with);
  send (without);
  clock.run (SEC);
  log->delivery_mode = delivery_mode::APPLIED;
  int before = log->proposals;
  clock.run (4 * SEC);
  EXPECT_EQ (with.code, 201);
  EXPECT_EQ (without.code, 504);
  EXPECT_EQ (log->proposals, before + 1);
  EXPECT_EQ (store_revision (store), 2u);
}

TEST_F (Operator, ChangeWithoutALeaderIsRefused)
{
  struct exchange put ("PUT", "/v1/pools/gen", POOL);

  clock.run (SEC);
  log->delivery_mode = delivery_mode::REFUSED;
  send (put);
  clock.run (20 * SEC);
  EXPECT_EQ (put.code, 503);
  EXPECT_EQ (put.ends, 1);
}

// The operator's connection closes while the change is in progress.
TEST_F (Operator, DisconnectedOperatorIsNotAnswered)
{
  struct exchange put ("PUT", "/v1/pools/gen", POOL);

  clock.run (SEC);
  send (put);
  put.http.watcher->ops->closed (put.http.watcher, clock.now);
  clock.run (SEC);
  EXPECT_EQ (put.ends, 0);
  EXPECT_EQ (store_revision (store), 1u);
}

TEST_F (Operator, PatchMergesIntoTheSpec)
{
  call ("PUT", "/v1/pools/gen", POOL);
  struct exchange patched =
      call ("PATCH", "/v1/pools/gen", "{\"spec\":{\"costPerSecond\":2.5,\"slots\":null}}");
  EXPECT_EQ (patched.code, 200);
  EXPECT_TRUE (patched.has ("\"costPerSecond\":2.5"));
  EXPECT_FALSE (patched.has ("slots"));
  EXPECT_EQ (call ("PATCH", "/v1/pools/gen", "{\"spec\":{\"kind\":null}}").code, 400);
  EXPECT_EQ (call ("PATCH", "/v1/pools/none", "{\"spec\":{\"slots\":1}}").code, 404);
}

// A PATCH is applied, its answer is lost, and another operator deletes the object.  The resend must
// get the first answer although there is no object left to merge into.
TEST_F (Operator, ResentPatchOfADeletedObjectGetsTheFirstAnswer)
{
  const std::vector<std::string> id = { "x-change-id", "p1" };

  call ("PUT", "/v1/pools/gen", POOL);
  struct exchange first = call ("PATCH", "/v1/pools/gen", "{\"spec\":{\"slots\":7}}", id);
  call ("DELETE", "/v1/pools/gen");
  struct exchange again = call ("PATCH", "/v1/pools/gen", "{\"spec\":{\"slots\":7}}", id);
  EXPECT_EQ (first.code, 200);
  EXPECT_EQ (again.code, 200);
  EXPECT_EQ (again.sent, first.sent);
}

// An operator watches the pools through a host that shuts down.  An open watch would delay the
// shutdown until its timeout, so it ends, with a bookmark to resume from at another host.
TEST_F (Operator, AWatchEndsWhenItsHostRefusesNewWork)
{
  call ("PUT", "/v1/pools/a", POOL);
  struct exchange watch ("GET", "/v1/pools?watch=1&resourceVersion=1");
  send (watch);
  clock.run (SEC);
  EXPECT_EQ (watch.ends, 0);
  board->refusing = true;
  clock.run (3 * SEC);
  EXPECT_EQ (watch.ends, 1);
  EXPECT_TRUE (watch.has ("BOOKMARK"));
}

TEST_F (Operator, AListComesInPagesOfOneRevision)
{
  for (int i = 0; i < 5; i++)
    call ("PUT", "/v1/organisations/o" + std::to_string (i), "{\"spec\":{}}");
  struct exchange first = call ("GET", "/v1/organisations?limit=2");
  EXPECT_EQ (first.count ("\"name\""), 2);
  EXPECT_TRUE (first.has ("\"continue\":\"5:o1\""));
  call ("PUT", "/v1/organisations/o9", "{\"spec\":{}}");
  struct exchange second = call ("GET", "/v1/organisations?limit=9&continue=5:o1");
  EXPECT_EQ (second.count ("\"name\""), 4);
  EXPECT_TRUE (second.has ("\"metadata\":{\"resourceVersion\":5}"));
  EXPECT_EQ (call ("GET", "/v1/organisations?continue=x").code, 400);
  EXPECT_TRUE (call ("GET", "/v1/pools").has ("\"items\":[]"));
}

TEST_F (Operator, AWatchResumesFollowsAndBookmarks)
{
  call ("PUT", "/v1/pools/a", POOL);
  call ("PUT", "/v1/pools/b", POOL);
  struct exchange watch ("GET", "/v1/pools?watch=1&resourceVersion=1");
  send (watch);
  clock.run (SEC);
  EXPECT_EQ (watch.count ("\"ADDED\""), 1);
  call ("PUT", "/v1/organisations/o", "{\"spec\":{}}");
  call ("DELETE", "/v1/pools/a");
  clock.run (4 * SEC);
  EXPECT_EQ (watch.count ("\"DELETED\""), 1);
  EXPECT_FALSE (watch.has ("organisations"));
  EXPECT_TRUE (watch.has ("\"BOOKMARK\",\"object\":{\"kind\":\"pools\",\"metadata\":{"
                          "\"resourceVersion\":4}}"));
  watch.http.watcher->ops->closed (watch.http.watcher, clock.now);
  call ("DELETE", "/v1/pools/b");
  EXPECT_EQ (watch.count ("\"DELETED\""), 1);
}

// A watcher was away for longer than the history covers; a resumed watch would miss changes.
TEST_F (Operator, WatchOlderThanTheHistoryIsToldToListAgain)
{
  struct exchange slow ("GET", "/v1/organisations?watch=1&resourceVersion=0");

  clock.run (SEC);
  send (slow);
  slow.unsent_bytes = 10u << 20;
  for (int i = 0; i < 20; i++)
    call ("PUT", "/v1/organisations/o" + std::to_string (i), "{\"spec\":{}}");
  EXPECT_EQ (call ("GET", "/v1/organisations?watch=1&resourceVersion=1").code, 410);
  EXPECT_EQ (slow.ends, 0);
  slow.unsent_bytes = 0;
  clock.run (5 * SEC);
  EXPECT_EQ (slow.ends, 1);
  EXPECT_TRUE (slow.has ("\"code\":410"));
}

// There is no memory for the event of a change.  A watch that went on would lack the change, while
// its bookmarks would cover it.
TEST_F (Operator, WatchThatLacksAChangeIsAborted)
{
  struct exchange watch ("GET", "/v1/pools?watch=1&resourceVersion=0");
  struct exchange all ("GET", "/v1/pools?watch=1");

  call ("PUT", "/v1/pools/a", POOL);
  send (watch);
  limit_memory (0);
  clock.run (5 * SEC);
  limit_memory (SIZE_MAX);
  EXPECT_TRUE (watch.aborted);
  EXPECT_FALSE (watch.has ("\"resourceVersion\":1"));
  limit_memory (600);
  send (all);
  limit_memory (SIZE_MAX);
  clock.run (5 * SEC);
  EXPECT_TRUE (all.aborted || all.count ("\"ADDED\"") == 1) << all.sent;
  EXPECT_EQ (watch.ends, 1);
}

// The pages of a list come from two hosts, and the second is behind.  Changes that it lacks would
// be missing from the list, and from a watch that starts at the list's revision.
TEST_F (Operator, HostBehindAListRefusesToContinueIt)
{
  for (int i = 0; i < 3; i++)
    call ("PUT", "/v1/organisations/o" + std::to_string (i), "{\"spec\":{}}");
  EXPECT_EQ (call ("GET", "/v1/organisations?continue=3:o1").code, 200);
  struct exchange behind = call ("GET", "/v1/organisations?continue=4:o1");
  EXPECT_EQ (behind.code, 503);
  EXPECT_FALSE (behind.has ("resourceVersion"));
}

TEST_F (Operator, ChangeWithAWaitReportsWhereItIsInForce)
{
  struct handle handle;
  struct board_host *self = static_cast<struct board_host *> (table_add (board->hosts, &handle));

  snprintf (self->name, sizeof self->name, "a");
  self->self = true;
  struct exchange put = call ("PUT", "/v1/pools/gen?wait=2000", POOL);
  EXPECT_EQ (put.code, 201);
  EXPECT_TRUE (put.has ("\"everywhere\":true"));
  EXPECT_TRUE (put.has ("\"hosts\":1"));
}

}
