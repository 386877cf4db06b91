// Key files: written by `keygen` and read by a host.
#include "keyfile.h"
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

namespace
{

struct folder : testing::Test
{
  char path[64] = "/tmp/cherryarch-keys-XXXXXX";
  std::string file;

  void
  SetUp () override
  {
    ASSERT_NE (mkdtemp (path), nullptr);
    file = std::string (path) + "/host.key";
  }

  void
  TearDown () override
  {
    unlink (file.c_str ());
    rmdir (path);
  }
};

using KeyFile = folder;

TEST_F (KeyFile, RoundTripsThePairWithMode0600)
{
  struct key_pair made;
  struct key_pair read;
  struct stat about;

  ASSERT_EQ (key_pair_generate (&made), STATUS_OK);
  ASSERT_EQ (keyfile_write (file.c_str (), &made), STATUS_OK);
  ASSERT_EQ (stat (file.c_str (), &about), 0);
  EXPECT_EQ (about.st_mode & 0777, 0600u);
  ASSERT_EQ (keyfile_read (file.c_str (), &read), STATUS_OK) << status_message ();
  EXPECT_STREQ (read.public_key, made.public_key);
  EXPECT_STREQ (read.secret_key, made.secret_key);
}

// An operator runs keygen twice on one host.  Overwriting the key would lose it, and every peer
// that has pinned it would refuse the host.
TEST_F (KeyFile, IsNeverOverwritten)
{
  struct key_pair first;
  struct key_pair second;
  struct key_pair read;

  ASSERT_EQ (key_pair_generate (&first), STATUS_OK);
  ASSERT_EQ (key_pair_generate (&second), STATUS_OK);
  ASSERT_EQ (keyfile_write (file.c_str (), &first), STATUS_OK);
  EXPECT_EQ (keyfile_write (file.c_str (), &second), STATUS_EXISTS);
  ASSERT_EQ (keyfile_read (file.c_str (), &read), STATUS_OK);
  EXPECT_STREQ (read.public_key, first.public_key);
}

// A key copied with a permissive umask could be read by every user of the machine.
TEST_F (KeyFile, ReadableByOthersIsRefused)
{
  struct key_pair pair;

  ASSERT_EQ (key_pair_generate (&pair), STATUS_OK);
  ASSERT_EQ (keyfile_write (file.c_str (), &pair), STATUS_OK);
  ASSERT_EQ (chmod (file.c_str (), 0640), 0);
  EXPECT_EQ (keyfile_read (file.c_str (), &pair), STATUS_DENIED);
}

// A file with keys of two different pairs: every peer would refuse the host without an error
// message.  Truncated files are refused as well.
TEST_F (KeyFile, IncompleteOrMismatchedPairIsRefused)
{
  struct key_pair a;
  struct key_pair b;
  struct key_pair out;

  ASSERT_EQ (key_pair_generate (&a), STATUS_OK);
  ASSERT_EQ (key_pair_generate (&b), STATUS_OK);
  std::string mine = std::string ("public_key = ") + a.public_key + "\n";
  std::string other = std::string ("secret_key = ") + b.secret_key + "\n";

  for (const std::string &text :
       { std::string (), mine, mine + other, mine + mine, mine + "secret_key = short\n",
         "[x]\n" + mine, mine + std::string ("secret_key = ") + std::string (40, '~') })
    EXPECT_EQ (keyfile_parse ("k", text.c_str (), &out), STATUS_CORRUPT) << text;
  EXPECT_EQ (keyfile_read ((file + "none").c_str (), &out), STATUS_IO);
}

} // namespace
