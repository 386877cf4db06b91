// The environment of hosts under test: their syncs take a known time (sync_shim.c), so that no test
// depends on the disk of the machine.
#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>

namespace
{

class WholeEnvironment : public testing::Environment
{
public:
  void
  SetUp () override
  {
    std::filesystem::path shim =
        std::filesystem::read_symlink ("/proc/self/exe").parent_path () / "sync_shim.so";

    ASSERT_TRUE (std::filesystem::exists (shim));
    setenv ("LD_PRELOAD", shim.c_str (), 0);
  }
};

testing::Environment *const environment = testing::AddGlobalTestEnvironment (new WholeEnvironment);

}
