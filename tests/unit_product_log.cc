// Log lines and counters, in the formats read by operator tools.
#include "bytes.h"
#include "counter.h"
#include "log.h"
#include <cmath>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <jansson.h>
#include <string>
#include <talloc.h>
#include <unistd.h>
#include <vector>

namespace
{

struct log_file : testing::Test
{
  std::string path;

  void
  SetUp () override
  {
    char name[] = "/tmp/cherryarch-log-XXXXXX";
    int fd = mkstemp (name);

    ASSERT_GE (fd, 0);
    close (fd);
    path = name;
  }

  void
  TearDown () override
  {
    log_close ();
    unlink (path.c_str ());
  }

  std::vector<std::string>
  lines () const
  {
    std::ifstream in (path);
    std::vector<std::string> all;
    std::string line;

    while (std::getline (in, line))
      all.push_back (line);
    return all;
  }
};

std::string
field (const std::string &line, const char *name)
{
  json_t *object = json_loads (line.c_str (), JSON_REJECT_DUPLICATES, nullptr);
  const char *text = json_string_value (json_object_get (object, name));
  std::string out = text == nullptr ? "(none)" : text;

  if (object == nullptr)
    out = "(not JSON)";
  json_decref (object);
  return out;
}

using Log = log_file;

// A request id with quotes and line feeds must not be able to forge a second log line.
TEST_F (Log, EachEventIsOneJsonObjectWhateverItsFieldsContain)
{
  ASSERT_EQ (log_open (path.c_str (), LOG_LEVEL_INFO), STATUS_OK);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "request", "{s:s}", "id", "a\"}\n{\"level\":\"x");
  log_event (LOG_MODULE_HOST, LOG_LEVEL_ERROR, "bare", nullptr);
  auto all = lines ();
  ASSERT_EQ (all.size (), 2u);
  EXPECT_EQ (field (all[0], "id"), "a\"}\n{\"level\":\"x");
  EXPECT_EQ (field (all[0], "module"), "flow");
  EXPECT_EQ (field (all[0], "level"), "info");
  EXPECT_EQ (field (all[0], "event"), "request");
  EXPECT_EQ (field (all[0], "time").size (), sizeof "2026-01-01T00:00:00.000000Z" - 1);
  EXPECT_EQ (field (all[1], "level"), "error");
}

// A caller sends an id that is not UTF-8; the log line of the outcome would be lost with the
// invalid field.
TEST_F (Log, InvalidUtf8FieldDropsTheFieldsAndNotTheEvent)
{
  ASSERT_EQ (log_open (path.c_str (), LOG_LEVEL_INFO), STATUS_OK);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "request", "{s:s}", "id", "\xff\xfe");
  auto all = lines ();
  ASSERT_EQ (all.size (), 1u);
  EXPECT_EQ (field (all[0], "event"), "request");
  EXPECT_NE (field (all[0], "fields_error"), "(none)");
}

TEST_F (Log, FieldCannotReplaceTheLevelOrTheTime)
{
  ASSERT_EQ (log_open (path.c_str (), LOG_LEVEL_INFO), STATUS_OK);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "e", "{s:s}", "level", "error");
  EXPECT_EQ (field (lines ().at (0), "level"), "info");
}

TEST_F (Log, LevelsArePerModule)
{
  ASSERT_EQ (log_open (path.c_str (), LOG_LEVEL_WARNING), STATUS_OK);
  log_set_level (LOG_MODULE_PEER, LOG_LEVEL_DEBUG);
  log_event (LOG_MODULE_PEER, LOG_LEVEL_DEBUG, "seen", nullptr);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "unseen", nullptr);
  EXPECT_TRUE (log_is_enabled (LOG_MODULE_PEER, LOG_LEVEL_DEBUG));
  EXPECT_FALSE (log_is_enabled (LOG_MODULE_FLOW, LOG_LEVEL_INFO));
  ASSERT_EQ (lines ().size (), 1u);
  EXPECT_EQ (field (lines ()[0], "event"), "seen");
}

TEST_F (Log, EventsBeforeOpenAreDiscarded)
{
  log_event (LOG_MODULE_HOST, LOG_LEVEL_ERROR, "early", nullptr);
  EXPECT_FALSE (log_is_enabled (LOG_MODULE_HOST, LOG_LEVEL_ERROR));
  EXPECT_EQ (lines ().size (), 0u);
  EXPECT_EQ (log_open ("/nonexistent/folder/log", LOG_LEVEL_INFO), STATUS_IO);
}

// The log collector stops reading and its pipe fills.  A host that blocked on it would stop
// serving.  Lines are dropped instead, no line is truncated, and the number of dropped lines is
// logged once the pipe is read again.
TEST_F (Log, StalledReaderDropsLinesAndNeverBlocks)
{
  unlink (path.c_str ());
  ASSERT_EQ (mkfifo (path.c_str (), 0600), 0);
  int reader = open (path.c_str (), O_RDONLY | O_NONBLOCK);
  std::string filler (3000, 'x');
  std::string text;
  char buffer[65536];
  ssize_t n;

  ASSERT_GE (reader, 0);
  ASSERT_EQ (log_open (path.c_str (), LOG_LEVEL_INFO), STATUS_OK);
  for (int i = 0; i < 200; i++)
    log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "filler", "{s:s}", "text", filler.c_str ());
  while ((n = read (reader, buffer, sizeof buffer)) > 0)
    text.append (buffer, static_cast<size_t> (n));
  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "after", nullptr);
  while ((n = read (reader, buffer, sizeof buffer)) > 0)
    text.append (buffer, static_cast<size_t> (n));
  close (reader);

  int fillers = 0;
  json_int_t dropped = 0;
  bool after = false;
  for (size_t from = 0, to; (to = text.find ('\n', from)) != std::string::npos; from = to + 1)
    {
      json_t *object = json_loadb (text.data () + from, to - from, 0, nullptr);

      ASSERT_NE (object, nullptr) << text.substr (from, 100);
      std::string event = json_string_value (json_object_get (object, "event"));
      fillers += event == "filler";
      after = after || event == "after";
      if (event == "log_lines_dropped")
        dropped += json_integer_value (json_object_get (object, "lines"));
      json_decref (object);
    }
  EXPECT_TRUE (after);
  EXPECT_GT (dropped, 0);
  EXPECT_EQ (fillers + dropped, 200);
}

// A flood of requests, each with its log lines: lines beyond the limit per second are counted
// instead of written, and warnings are always written.
TEST_F (Log, LimitsTheLinesPerSecond)
{
  const int lines = 3 * LOG_LINES_PER_SECOND;
  std::ifstream in;
  std::string line;
  int flood = 0;
  bool warned = false;
  bool counted = false;

  ASSERT_EQ (log_open (path.c_str (), LOG_LEVEL_INFO), STATUS_OK);
  for (int i = 0; i < lines; i++)
    log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "flood", nullptr);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "warned", nullptr);
  in.open (path);
  while (std::getline (in, line))
    {
      flood += line.find ("\"flood\"") != std::string::npos ? 1 : 0;
      warned = warned || line.find ("\"warned\"") != std::string::npos;
      counted = counted || line.find ("log_lines_dropped") != std::string::npos;
    }
  // The loop may span two seconds, on a slow machine several.
  EXPECT_LE (flood, lines);
  EXPECT_GE (flood, LOG_LINES_PER_SECOND);
  EXPECT_TRUE (warned);
  EXPECT_EQ (counted, flood < lines);
}

// The disk of the log is full.  The host must continue and report the failure once, not once per
// request.
TEST_F (Log, FullDiskIsReportedOnceAndServingContinues)
{
  ASSERT_EQ (log_open ("/dev/full", LOG_LEVEL_INFO), STATUS_OK);
  testing::internal::CaptureStderr ();
  for (int i = 0; i < 5; i++)
    log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "event", nullptr);
  std::string said = testing::internal::GetCapturedStderr ();
  EXPECT_EQ (said, "cherryarch: log not written: No space left on device\n");
}

std::string
exposition (const struct counters *counters)
{
  struct bytes out;

  bytes_init (&out, nullptr);
  counters_write (counters, &out);
  std::string text = out.data == nullptr ? "" : out.data;
  bytes_clear (&out);
  return text;
}

TEST (Counter, WritesTheTextFormatWithOneHeaderPerName)
{
  struct counters *counters = counters_new (nullptr);

  counter_add (counter_get (counters, "a_total", "Things\nseen", "stage=\"x\""), 2);
  counter_add (counter_get (counters, "a_total", "Things\nseen", "stage=\"y\""), 1);
  counter_add (counter_get (counters, "a_total", "Things\nseen", "stage=\"x\""), 3e9);
  gauge_set (gauge_get (counters, "b", "Level", nullptr), 0.5);
  EXPECT_EQ (exposition (counters), "# HELP a_total Things\\nseen\n# TYPE a_total counter\n"
                                    "a_total{stage=\"x\"} 3000000002\na_total{stage=\"y\"} 1\n"
                                    "# HELP b Level\n# TYPE b gauge\nb 0.5\n");
  talloc_free (counters);
}

TEST (Counter, HistogramBucketsAreCumulativeAndEndWithInf)
{
  struct counters *counters = counters_new (nullptr);
  struct histogram *histogram = histogram_get (counters, "h", "Spans", "k=\"v\"");

  for (double value : { 0.5, 1.5, 3.0, 3.5 })
    histogram_record (histogram, value);
  EXPECT_EQ (exposition (counters),
             "# HELP h Spans\n# TYPE h histogram\n"
             "h_bucket{k=\"v\",le=\"2\"} 2\nh_bucket{k=\"v\",le=\"4\"} 4\n"
             "h_bucket{k=\"v\",le=\"+Inf\"} 4\nh_sum{k=\"v\"} 8.5\nh_count{k=\"v\"} 4\n");
  talloc_free (counters);
}

TEST (Counter, QuantilesAreWithinTheStatedErrorOverTheWholeRange)
{
  auto histogram = std::make_unique<struct histogram> ();

  EXPECT_EQ (histogram_quantile (histogram.get (), 0.5), 0);
  for (double value = 1; value < std::ldexp (1, 41); value *= 1.01)
    {
      *histogram = {};
      histogram_record (histogram.get (), value);
      ASSERT_NEAR (histogram_quantile (histogram.get (), 0.99) / value, 1, 0.032) << value;
    }
  *histogram = {};
  for (int i = 1; i <= 1000; i++)
    histogram_record (histogram.get (), i);
  EXPECT_NEAR (histogram_quantile (histogram.get (), 0.5), 500, 16);
  EXPECT_NEAR (histogram_quantile (histogram.get (), 0.99), 990, 32);
}

// A clock step or an invalid value from outside must not write outside the buckets.
TEST (Counter, ValuesOutOfRangeCountInTheEndBuckets)
{
  auto histogram = std::make_unique<struct histogram> ();

  for (double value : { -1.0, 0.0, std::nan (""), 1e300, (double) INFINITY })
    histogram_record (histogram.get (), value);
  EXPECT_EQ (histogram->buckets[0], 3u);
  EXPECT_EQ (histogram->buckets[HISTOGRAM_BUCKETS - 1], 2u);
}

} // namespace
