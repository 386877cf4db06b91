// Cost of the request path, for callgrind: run twice with different CHERRYARCH_COST_REQUESTS and
// divide the difference in cost by the difference in requests, which excludes process startup.
// Without the variable, three requests of each kind run and must be answered completely.
#include "flow_harness.h"
#include <cstdlib>

namespace
{

class FlowCost : public flow_harness::flow_fixture
{
protected:
  static int
  requests ()
  {
    const char *text = std::getenv ("CHERRYARCH_COST_REQUESTS");

    return text != nullptr ? std::atoi (text) : 3;
  }

  void
  run (const std::string &path, const std::string &body)
  {
    for (int i = 0; i < requests (); i++)
      {
        auto *x = send (path, body, { { "x-request-id", "r" + std::to_string (i) } });

        while (x->answers == 0)
          answer_with_success (last_call ());
        ASSERT_EQ (x->outcome (), "whole");
        client.calls.clear ();
        exchanges.clear ();
      }
  }

  static std::string
  input (size_t length)
  {
    std::string text;

    while (text.size () < length)
      text += R"(the passenger says: \"late\" by 3 hours.\n)";
    return R"({"input": ")" + text + R"("})";
  }
};

TEST_F (FlowCost, Service)
{
  run ("/v1/services/orders/requests", R"({"units": 1})");
}

TEST_F (FlowCost, FourStages)
{
  run ("/v1/pipelines/claims/requests", input (80));
}

TEST_F (FlowCost, FourStagesOf32Kilobytes)
{
  run ("/v1/pipelines/claims/requests", input (32768));
}

} // namespace
