// Access control by token: organisations of callers and roles of operators.
#include "access.h"
#include <gtest/gtest.h>
#include <sodium.h>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

struct access_fixture : testing::Test
{
  void *root = talloc_new (nullptr);
  struct board *board = board_new (root);
  struct settings settings;
  struct access *access = nullptr;
  std::vector<struct http_field> headers;
  struct handle organisation;
  char name[RESOURCE_NAME_SIZE];

  void
  SetUp () override
  {
    settings_set_defaults (&settings);
  }

  void
  TearDown () override
  {
    talloc_free (root);
  }

  void
  start ()
  {
    access = access_new (root, board, &settings);
    ASSERT_NE (access, nullptr);
  }

  struct handle
  declare (const char *who, const char *token)
  {
    struct handle handle;
    auto *entry =
        static_cast<struct board_organisation *> (table_add (board->organisations, &handle));

    snprintf (entry->spec.name, sizeof entry->spec.name, "%s", who);
    access_hash_token (token, entry->spec.token_hashes[0]);
    entry->spec.n_tokens = 1;
    board_publish (board, BOARD_CONFIG_CHANGED, {}, 0);
    return handle;
  }

  struct http_exchange
  exchange ()
  {
    struct http_exchange out = {};

    out.headers = headers.data ();
    out.n_headers = headers.size ();
    return out;
  }

  enum status
  caller ()
  {
    struct http_exchange e = exchange ();

    return access_authenticate_caller (access, &e, &organisation, name);
  }

  enum access_role
  role ()
  {
    struct http_exchange e = exchange ();

    return access_authenticate_operator (access, &e, name);
  }

  void
  set_operator (const char *who, enum access_role as, const char *token)
  {
    uint8_t hash[RESOURCE_TOKEN_HASH_SIZE];

    access_hash_token (token, hash);
    ASSERT_EQ (access_set_operator (access, who, as, hash), STATUS_OK);
  }
};

using Access = access_fixture;

TEST_F (Access, WithoutTokensTheHeaderNamesTheOrganisation)
{
  start ();
  struct handle north = declare ("north", "t1");

  EXPECT_EQ (caller (), STATUS_OK);
  EXPECT_STREQ (name, "default");
  EXPECT_TRUE (handle_is_none (organisation));
  headers = { { "x-organisation", "north" } };
  EXPECT_EQ (caller (), STATUS_OK);
  EXPECT_STREQ (name, "north");
  EXPECT_TRUE (handle_equal (organisation, north));
  std::string longer (RESOURCE_NAME_SIZE, 'x');
  headers = { { "x-organisation", longer.c_str () } };
  EXPECT_EQ (caller (), STATUS_INVALID);
}

// A caller sends a valid token and another organisation's name, to use up that one's share.
TEST_F (Access, ATokenAuthenticatesOnlyItsOwnOrganisation)
{
  settings.require_tokens = true;
  start ();
  declare ("north", "t1");
  struct handle south = declare ("south", "t2");

  EXPECT_EQ (caller (), STATUS_DENIED);
  headers = { { "x-organisation", "north" } };
  EXPECT_EQ (caller (), STATUS_DENIED);
  headers = { { "authorization", "Bearer t2" } };
  EXPECT_EQ (caller (), STATUS_OK);
  EXPECT_STREQ (name, "south");
  EXPECT_TRUE (handle_equal (organisation, south));
  headers = { { "authorization", "Bearer t2" }, { "x-organisation", "north" } };
  EXPECT_EQ (caller (), STATUS_DENIED);
  EXPECT_NE (std::string (status_message ()).find ("another organisation"), std::string::npos);
  for (const char *bad : { "Bearer t3", "Bearer ", "Basic t2", "", "Bearer t2 " })
    {
      headers = { { "authorization", bad } };
      EXPECT_EQ (caller (), STATUS_DENIED) << bad;
    }
}

// An operator replaces a leaked token; from that revision on the old one must be rejected on every
// request.
TEST_F (Access, ARevokedTokenIsRejectedAfterTheConfigurationChange)
{
  settings.require_tokens = true;
  start ();
  struct handle north = declare ("north", "old");
  auto *entry = static_cast<struct board_organisation *> (table_get (board->organisations, north));

  access_hash_token ("new", entry->spec.token_hashes[0]);
  board_publish (board, BOARD_CONFIG_CHANGED, {}, 0);
  headers = { { "authorization", "Bearer old" } };
  EXPECT_EQ (caller (), STATUS_DENIED);
  headers = { { "authorization", "Bearer new" } };
  EXPECT_EQ (caller (), STATUS_OK);
}

// Two organisations are declared with the same token by mistake: their requests would be charged to
// whichever is stored first.
TEST_F (Access, ATokenOfTwoOrganisationsAuthenticatesNeither)
{
  settings.require_tokens = true;
  start ();
  declare ("north", "same");
  declare ("south", "same");
  headers = { { "authorization", "Bearer same" } };
  EXPECT_EQ (caller (), STATUS_DENIED);
}

TEST_F (Access, OperatorsAreAnonymousAdminsUntilOneIsDeclared)
{
  start ();
  EXPECT_EQ (role (), ACCESS_ADMIN);
  EXPECT_STREQ (name, "anonymous");
  set_operator ("ann", ACCESS_READ, "a");
  EXPECT_EQ (role (), ACCESS_NONE);
  headers = { { "authorization", "Bearer a" } };
  EXPECT_EQ (role (), ACCESS_READ);
  EXPECT_STREQ (name, "ann");
  set_operator ("ann", ACCESS_WRITE, "b");
  EXPECT_EQ (role (), ACCESS_NONE);
  headers = { { "authorization", "bearer b" } };
  EXPECT_EQ (role (), ACCESS_WRITE);
  set_operator ("ann", ACCESS_NONE, "b");
  EXPECT_EQ (role (), ACCESS_ADMIN);
}

TEST_F (Access, TheAdminTokenOfTheSettingsNeedsNoResource)
{
  uint8_t hash[RESOURCE_TOKEN_HASH_SIZE];

  access_hash_token ("root", hash);
  sodium_bin2hex (settings.admin_token_hash, sizeof settings.admin_token_hash, hash, sizeof hash);
  start ();
  EXPECT_EQ (role (), ACCESS_NONE);
  headers = { { "authorization", "Bearer root" } };
  EXPECT_EQ (role (), ACCESS_ADMIN);
  EXPECT_STREQ (name, "admin");
}

} // namespace
