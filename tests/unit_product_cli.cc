// Reading of resource files by the command line, and its output as tables.
#include "cli_object.h"
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <string>

namespace
{

struct folder : testing::Test
{
  std::string path;

  void
  SetUp () override
  {
    char name[] = "/tmp/cherryarch-cli-XXXXXX";

    ASSERT_NE (mkdtemp (name), nullptr);
    path = name;
  }

  void
  TearDown () override
  {
    std::filesystem::remove_all (path);
  }

  void
  write (const char *name, const std::string &text)
  {
    std::ofstream (path + "/" + name) << text;
  }

  enum status
  read (const std::string &from, std::string *names)
  {
    struct cli_objects objects;
    enum status status = cli_objects_read (nullptr, from.c_str (), &objects);

    for (size_t i = 0; i < objects.count; i++)
      *names += std::string (objects.items[i].name) + " ";
    cli_objects_clear (&objects);
    return status;
  }
};

using Objects = folder;

std::string
object (const char *kind, const char *name)
{
  return std::string ("{\"kind\":\"") + kind + "\",\"metadata\":{\"name\":\"" + name
         + "\"},\"spec\":{}}";
}

// A pipeline can only be declared after its pools, so files are applied in the order of their
// names. Hidden files and files with another suffix are skipped.
TEST_F (Objects, FolderIsReadInNameOrderAndOnlyJsonFiles)
{
  std::string names;

  write ("20-pipelines.json", object ("pipelines", "c"));
  write ("10-pools.json", "[" + object ("pools", "a") + "," + object ("pools", "b") + "]");
  write ("bkk-a1.ini", "[host]\n");
  write (".hidden.json", "no JSON");
  EXPECT_EQ (read (path, &names), STATUS_OK) << status_message ();
  EXPECT_EQ (names, "a b c ");
}

// The second file is invalid.  No object of the first may be applied in that case, so no object is
// returned.
TEST_F (Objects, InvalidFileReturnsNoObjectsAndNamesTheError)
{
  const struct
  {
    std::string text;
    const char *message;
  } faults[] = {
    { "{\"kind\":\"pools\",\n\"kind\":\"pools\"}", "/20.json:2:6: duplicate object key" },
    { "{", "/20.json:1:1: " },
    { "[" + object ("pools", "x") + "," + object ("pool", "y") + "]",
      "/20.json: object 2: kind: expected one of pipelines, services, pools" },
    { "{\"kind\":\"pools\"}", "/20.json: object 1 (pools): metadata.name: expected a name" },
    { object ("pools", "../operators/x"), "/20.json: object 1 (pools): metadata.name" },
    { "[1]", "/20.json: object 1: kind: expected one of" },
  };

  write ("10.json", object ("pools", "a"));
  for (const auto &fault : faults)
    {
      std::string names;

      write ("20.json", fault.text);
      EXPECT_EQ (read (path, &names), STATUS_INVALID) << fault.text;
      EXPECT_EQ (names, "");
      EXPECT_EQ (std::string (status_message ()).substr (0, (path + fault.message).size ()),
                 path + fault.message);
    }
}

TEST_F (Objects, MissingPathAndEmptyFolderAreReported)
{
  std::string names;

  EXPECT_EQ (read (path + "/none", &names), STATUS_IO);
  EXPECT_EQ (read (path, &names), STATUS_INVALID);
  EXPECT_EQ (std::string (status_message ()), path + ": expected at least one object");
}

TEST (Table, ColumnsAreAsWideAsTheirWidestCell)
{
  json_t *items = json_loads (
      "[{\"metadata\":{\"name\":\"long-name\",\"resourceVersion\":3},\"spec\":{\"deadlineMs\":4000,"
      "\"stages\":[{\"name\":\"a\"},{\"name\":\"b\"}]}},"
      "{\"metadata\":{\"name\":\"x\",\"resourceVersion\":12},\"spec\":{\"objective\":\"cost\"}}]",
      0, nullptr);

  ASSERT_NE (items, nullptr);
  testing::internal::CaptureStdout ();
  cli_print_table (RESOURCE_PIPELINE, items);
  fflush (stdout);
  EXPECT_EQ (testing::internal::GetCapturedStdout (),
             "NAME       DEADLINE-MS  OBJECTIVE  STAGES  VERSION\n"
             "long-name  4000         -          a,b     3\n"
             "x          -            cost       -       12\n");
  json_decref (items);
}

} // namespace
