// Parsing of settings files: defaults, and the errors for invalid files.
#include "bytes.h"
#include "settings.h"
#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <sstream>
#include <string>

namespace
{

const char *const GOOD = "[host]\n"
                         "name = bkk-a1\n"
                         "domain = bkk-a\n"
                         "[listen]\n"
                         "callers = 127.0.0.1:8001\n"
                         "operators = 127.0.0.1:8002\n"
                         "targets = 127.0.0.1:8003\n"
                         "peers = 127.0.0.1:8004\n"
                         "[data]\n"
                         "folder = /var/lib/cherryarch\n"
                         "[cluster]\n"
                         "voters = bkk-a1@127.0.0.1:8004, bkk-b1@127.0.0.2:8004\n";

struct parsed
{
  enum status status;
  std::string message;
  std::string problems;
  struct settings settings;
};

std::unique_ptr<struct parsed>
parse (const std::string &text)
{
  auto out = std::make_unique<struct parsed> ();
  struct bytes problems;

  bytes_init (&problems, nullptr);
  out->status = settings_parse ("h.ini", text.data (), text.size (), &out->settings, &problems);
  out->message = out->status == STATUS_OK ? "" : status_message ();
  out->problems = problems.data == nullptr ? "" : problems.data;
  bytes_clear (&problems);
  return out;
}

TEST (Settings, ReadsAFileAndFillsInDefaults)
{
  auto p = parse (std::string (GOOD)
                  + "[limits]\nbody_bytes = 2048 ; a comment\nidle_timeout_ms=1500\n"
                    "[keys]\nrequire_tokens = yes\n[log]\nlevel = warning\npeer = debug\n");

  ASSERT_EQ (p->status, STATUS_OK) << p->problems;
  EXPECT_STREQ (p->settings.name, "bkk-a1");
  EXPECT_STREQ (p->settings.region, "default");
  EXPECT_STREQ (p->settings.listen_peers, "127.0.0.1:8004");
  ASSERT_EQ (p->settings.n_voters, 2u);
  EXPECT_STREQ (p->settings.voters[1].name, "bkk-b1");
  EXPECT_STREQ (p->settings.voters[1].address, "127.0.0.2:8004");
  EXPECT_EQ (p->settings.body_bytes, 2048u);
  EXPECT_EQ (p->settings.idle_timeout, 1500 * USEC_PER_MSEC);
  EXPECT_EQ (p->settings.json_depth, 32u);
  EXPECT_TRUE (p->settings.require_tokens);
  EXPECT_EQ (p->settings.module_levels[LOG_MODULE_PEER], LOG_LEVEL_DEBUG);
  EXPECT_EQ (p->settings.module_levels[LOG_MODULE_FLOW], LOG_LEVEL_WARNING);
}

// A Z85 key may contain '@', ':' and '/', which separate the other parts of a peer.
TEST (Settings, PeerKeysMayContainTheSeparators)
{
  std::string key = "@:/a.-:+=^!/*?&<>()[]{}@%$#0123456789ABC";
  auto p = parse (std::string (GOOD) + "seeds = s1@10.0.0.1:9/" + key + "\n[keys]\nfile = k\n");

  ASSERT_EQ (key.size (), 40u);
  // The missing key of the voter is reported; the seed is parsed.
  EXPECT_NE (p->problems.find ("expected bkk-b1@127.0.0.2:8004/KEY"), std::string::npos);
  ASSERT_EQ (p->settings.n_seeds, 1u);
  EXPECT_EQ (p->settings.seeds[0].public_key, key);
  EXPECT_STREQ (p->settings.seeds[0].address, "10.0.0.1:9");
}

struct fault
{
  const char *append;
  const char *message; // its beginning
};

// Each error names the file, the line, the key and the expected value.
TEST (Settings, ErrorsNameLineKeyAndExpectedValue)
{
  const struct fault faults[] = {
    { "[limits]\nbody_byte = 1\n",
      "h.ini:14: [limits] body_byte: unknown key, expected one of header_bytes, body_bytes" },
    { "[limit]\nbody_bytes = 1\n",
      "h.ini:14: [limit]: unknown section, expected one of host, listen, cluster, data" },
    { "[limits]\nbody_bytes = 1\n",
      "h.ini:14: [limits] body_bytes: expected a whole number from 1024 to 16777216, got \"1\"" },
    { "[limits]\nbody_bytes = 99999999999999999999\n",
      "h.ini:14: [limits] body_bytes: expected a whole number" },
    { "[limits]\nbody_bytes = -5000\n", "h.ini:14: [limits] body_bytes: expected a whole number" },
    { "[limits]\nbody_bytes = 5000 bytes\n",
      "h.ini:14: [limits] body_bytes: expected a whole number" },
    { "[limits]\nbody_bytes =\n", "h.ini:14: [limits] body_bytes: expected a whole number" },
    { "[limits]\njson_depth = 8\njson_depth = 9\n",
      "h.ini:15: [limits] json_depth: given twice, expected once; first on line 14" },
    { "[host]\nname = other\n",
      "h.ini:14: [host] name: given twice, expected once; first on line 2" },
    { "[entry]\nlist_keep_ms = 5s\n", "h.ini:14: [entry] list_keep_ms: expected milliseconds" },
    { "seeds = b@host.example:80\n",
      "h.ini:13: [cluster] seeds: expected at most 16 of NAME@IP:PORT" },
    { "seeds = b@10.0.0.1:0\n", "h.ini:13: [cluster] seeds: expected" },
    { "seeds = b@10.0.0.1\n", "h.ini:13: [cluster] seeds: expected" },
    { "seeds = b@10.0.0.1:80/short\n", "h.ini:13: [cluster] seeds: expected" },
    { "seeds = b@10.0.0.1:80,,c@10.0.0.2:80\n", "h.ini:13: [cluster] seeds: expected" },
    { "seeds = b@10.0.0.1:80, b@10.0.0.2:80\n", "h.ini:13: [cluster] seeds: b given twice" },
    { "seeds = b@10.0.0.1:80, c@10.0.0.1:80\n",
      "h.ini:13: [cluster] seeds: b and c share an address" },
    { "seeds = bkk-a1@10.0.0.1:80\n", "h.ini:13: [cluster] seeds: this host is at 10.0.0.1:80, "
                                      "expected its [listen] peers, 127.0.0.1:8004" },
    { "seeds = b@10.0.0.1:80/0123456789012345678901234567890123456789\n",
      "h.ini:13: [cluster] seeds: b has a key, expected [keys] file too" },
    { "[keys]\nfile = k\n", "h.ini:12: [cluster] voters: expected bkk-b1@127.0.0.2:8004/KEY, since "
                            "[keys] file is given" },
    { "[keys]\ntls_key = k\n", "h.ini:14: [keys] tls_key: expected both" },
    { "[keys]\nadmin_token_hash = ABC\n",
      "h.ini:14: [keys] admin_token_hash: expected 64 lower-case hex digits" },
    { "[keys]\nrequire_tokens = true\n",
      "h.ini:14: [keys] require_tokens: expected yes or no, got \"true\"" },
    { "[log]\nlevel = loud\n", "h.ini:14: [log] level: expected error, warning, info or debug" },
    { "[entry]\nlist_keep_ms = 5000\ndrain_bound_ms = 5000\n",
      "h.ini:15: [entry] drain_bound_ms: expected more than list_keep_ms, 5000" },
    { "[limits]\nconnections = 100\n", "h.ini: [limits] connections_per_caller: expected at most" },
    { "just words\n", "h.ini:13: expected [section], key = value, or a comment" },
    { "[limits\n", "h.ini:13: expected [section], key = value, or a comment" },
  };

  for (const struct fault &fault : faults)
    {
      auto p = parse (std::string (GOOD) + fault.append);

      EXPECT_EQ (p->status, STATUS_INVALID) << fault.append;
      EXPECT_EQ (p->message.substr (0, strlen (fault.message)), fault.message);
      EXPECT_EQ (p->problems.substr (0, p->message.size ()), p->message);
    }
}

TEST (Settings, ListenAddressesThatCannotBeAdvertisedAreRefused)
{
  for (const char *bad : { "0.0.0.0:80", "localhost:80", "127.0.0.1", "127.0.0.1:65536", "127.1:80",
                           "[::1]:80", "127.0.0.1:", "127.0.0.1:+8", " " })
    {
      std::string text = GOOD;
      auto p = parse (text.replace (text.find ("127.0.0.1:8001"), 14, bad));

      EXPECT_EQ (p->message.substr (0, 26), "h.ini:5: [listen] callers:") << bad;
    }
}

TEST (Settings, VoterNeedsDataFolderAndHostNeedsVotersOrSeeds)
{
  std::string text = GOOD;
  auto p = parse (text.replace (text.find ("folder"), strlen ("folder = /var/lib/cherryarch"), ""));

  EXPECT_EQ (p->message,
             "h.ini:12: [cluster] voters: this host is a voter, expected [data] folder too");
  text = GOOD;
  p = parse (text.substr (0, text.find ("[cluster]")));
  EXPECT_EQ (p->message.substr (0, 63),
             "h.ini: [cluster] voters: expected voters or seeds; a host alone");
}

TEST (Settings, MissingKeysAreNamedAndEveryErrorIsReported)
{
  auto p = parse ("[host]\nname = a\n[limits]\nx = 1\njson_depth = many\n");

  EXPECT_EQ (std::count (p->problems.begin (), p->problems.end (), '\n'), 7);
  EXPECT_NE (p->problems.find ("h.ini: [listen] peers: missing, expected IP:PORT"),
             std::string::npos);
}

// A binary file given by mistake is refused, and the message contains printable characters only.
TEST (Settings, BinaryAndOverlongLinesAreRefusedAndShownAsText)
{
  auto p = parse (std::string (GOOD) + std::string ("a\0b = 1\n", 8));
  EXPECT_EQ (p->message.substr (0, 33), "h.ini:13: expected a line of text");
  p = parse (std::string (GOOD) + "seeds = " + std::string (10000, 'x') + "\n[log]\nx=1\n");
  EXPECT_EQ (p->message.substr (0, 33), "h.ini:13: expected a line of text");
  EXPECT_NE (p->problems.find ("h.ini:15: [log] x: unknown key"), std::string::npos);
  p = parse (std::string (GOOD) + "[log]\nlevel = \x1b[2J\xff\n");
  EXPECT_NE (p->message.find ("got \"?[2J?\""), std::string::npos) << p->message;
}

TEST (Settings, MissingFileIsReported)
{
  auto settings = std::make_unique<struct settings> ();

  EXPECT_EQ (settings_load ("/nonexistent.ini", settings.get ()), STATUS_IO);
  EXPECT_STREQ (status_message (), "/nonexistent.ini: No such file or directory");
}

// docs/SETTINGS.md must contain the generated tables; a key added to the code only would be
// undocumented.
TEST (Settings, DocumentationContainsTheGeneratedTables)
{
  std::ifstream in ("docs/SETTINGS.md");
  std::stringstream page;
  struct bytes table;

  page << in.rdbuf ();
  bytes_init (&table, nullptr);
  settings_write_table (&table);
  ASSERT_FALSE (bytes_has_failed (&table));
  EXPECT_NE (page.str ().find (table.data), std::string::npos)
      << "run: cherryarch check --keys, and replace the tables in docs/SETTINGS.md";
  bytes_clear (&table);
}

// New operators copy the example files.  An invalid file, or hosts of one site that disagree on the
// voters, would start a split system.
TEST (Settings, SiteExamplesAreValidAndAgreeOnVoters)
{
  for (const char *site : { "examples/bkk", "examples/ar-centro" })
    {
      std::string voters;
      std::set<std::string> names;
      std::set<std::string> domains;

      for (const auto &entry : std::filesystem::directory_iterator (site))
        {
          auto settings = std::make_unique<struct settings> ();
          std::string own;

          if (entry.path ().extension () != ".ini")
            continue;
          ASSERT_EQ (settings_load (entry.path ().c_str (), settings.get ()), STATUS_OK)
              << status_message ();
          EXPECT_EQ (entry.path ().stem (), settings->name);
          names.insert (settings->name);
          domains.insert (settings->domain);
          for (uint32_t i = 0; i < settings->n_voters; i++)
            own += std::string (settings->voters[i].name) + settings->voters[i].address + " ";
          if (voters.empty ())
            voters = own;
          EXPECT_EQ (own, voters) << entry.path ();
        }
      EXPECT_GE (names.size (), 6u);
      EXPECT_LE (names.size (), 9u);
      EXPECT_EQ (domains.size (), 3u);
    }
}

} // namespace
