// An entry host of the users' platform as a process: its settings file, its signals, its log.
#include "cli.h"
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace
{

// What never comes ends a test after so many looks; no verdict depends on how long one takes.
const int LOOKS_MAX = 2000;
const useconds_t LOOK_PERIOD = 10000; // microseconds

class EntryProcess : public testing::Test
{
protected:
  EntryProcess ()
  {
    char name[] = "/tmp/cherryarch-entry-XXXXXX";

    folder_ = mkdtemp (name);
    ip_ = "127." + std::to_string (64 + getpid () / 65536 % 64) + "."
          + std::to_string (getpid () / 256 % 256) + "." + std::to_string (getpid () % 254 + 1);
  }

  ~EntryProcess () override
  {
    if (pid_ > 0)
      {
        kill (pid_, SIGKILL);
        waitpid (pid_, nullptr, 0);
      }
    std::filesystem::remove_all (folder_);
  }

  std::string
  settings (const std::string &seeds) const
  {
    return R"({"NodeName":"e","Ip":")" + ip_ + R"(","Zone":"a","Region":"r","Listen":{)"
           + R"("Frontend":")" + ip_ + R"(:18625","Ready":")" + ip_ + R"(:18621"},)"
           + R"("InternalPorts":[17740],"Seeds":[)" + seeds
           + R"(],"Bootstrap":true,"Limits":{"MaxFds":512},"DataDir":null,"HeartbeatMs":400,)"
           + R"("FaultTolerance":{"Machines":1},"Bounds":{"GraceS":4,"RevokeMs":5000,)"
           + R"("RetryRatio":0.2,"RetrySlack":50}})";
  }

  // Put in place whole, as an operator's tool does: a half-written file is never seen.
  void
  write_settings (const std::string &text)
  {
    std::ofstream (folder_ + "/new.json") << text;
    std::filesystem::rename (folder_ + "/new.json", folder_ + "/settings.json");
  }

  void
  start ()
  {
    std::string variable = "CHERRYARCH_SETTINGS=" + folder_ + "/settings.json";
    std::string log = folder_ + "/log";
    const char *const argv[] = { "cherryarch", "entry", nullptr };
    char *const env[] = { variable.data (), nullptr };
    posix_spawn_file_actions_t actions;

    posix_spawn_file_actions_init (&actions);
    for (int fd : { 1, 2 })
      posix_spawn_file_actions_addopen (&actions, fd, log.c_str (), O_WRONLY | O_CREAT | O_APPEND,
                                        0600);
    ASSERT_EQ (posix_spawn (&pid_, "./cherryarch", &actions, nullptr,
                            const_cast<char *const *> (argv), env),
               0);
    posix_spawn_file_actions_destroy (&actions);
  }

  std::string
  log () const
  {
    std::stringstream text;

    text << std::ifstream (folder_ + "/log").rdbuf ();
    return text.str ();
  }

  // Does the log come to hold the text?
  bool
  logs (const std::string &text) const
  {
    for (int i = 0; i < LOOKS_MAX; i++, usleep (LOOK_PERIOD))
      if (log ().find (text) != std::string::npos)
        return true;
    return false;
  }

  bool
  runs () const
  {
    return kill (pid_, 0) == 0 && waitpid (pid_, nullptr, WNOHANG) == 0;
  }

  // The exit code; -1 where a signal ended it.
  int
  wait_end ()
  {
    int state = 0;

    EXPECT_EQ (waitpid (pid_, &state, 0), pid_);
    pid_ = 0;
    return WIFEXITED (state) ? WEXITSTATUS (state) : -1;
  }

  std::string folder_;
  std::string ip_;
  pid_t pid_ = 0;
};

// The controllers move while an entry host runs, and its settings file is changed without a signal.
// It must look for the new ones; were it to keep the old list it would lose its configuration at
// the next restart of the last controller it knows.
TEST_F (EntryProcess, TakesNewSeedsFromAChangedFile)
{
  write_settings (settings ("\"127.0.0.1:9\""));
  start ();
  ASSERT_TRUE (logs ("\"started\"")) << log ();
  write_settings (settings ("\"127.0.0.1:9\",\"127.0.0.2:9\""));
  ASSERT_TRUE (logs ("\"reloaded\"")) << log ();
  EXPECT_TRUE (logs ("\"seeds\":2")) << log ();
}

// An operator puts a file in place that is not what it should be, and says so by a signal.  The
// process goes on with what it has, and says what is wrong.
TEST_F (EntryProcess, GoesOnWhereAChangedFileIsWrong)
{
  write_settings (settings ("\"127.0.0.1:9\""));
  start ();
  ASSERT_TRUE (logs ("\"started\"")) << log ();
  write_settings ("{\"NodeName\":");
  ASSERT_EQ (kill (pid_, SIGHUP), 0);
  EXPECT_TRUE (logs ("\"reload-failed\"")) << log ();
  EXPECT_TRUE (runs ());
  write_settings (settings ("\"127.0.0.1:9\""));
  EXPECT_TRUE (logs ("\"reloaded\"")) << log ();
}

TEST_F (EntryProcess, EndsInOrderOnSigterm)
{
  write_settings (settings ("\"127.0.0.1:9\""));
  start ();
  ASSERT_TRUE (logs ("\"started\"")) << log ();
  ASSERT_EQ (kill (pid_, SIGTERM), 0);
  EXPECT_EQ (wait_end (), 0) << log ();
  EXPECT_TRUE (logs ("\"stopped\"")) << log ();
}

TEST_F (EntryProcess, SaysWhichSettingIsWrong)
{
  std::string text = settings ("\"127.0.0.1:9\"");

  text.replace (text.find ("\"Zone\":\"a\""), 10, "\"Zone\":7  ");
  write_settings (text);
  start ();
  EXPECT_EQ (wait_end (), CLI_EXIT_SETTINGS);
  EXPECT_NE (log ().find ("Zone"), std::string::npos) << log ();
}

}
