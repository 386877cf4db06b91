// Hosts of pipelines, and callers, operators and targets that do not keep to the limits.
#include "client_crowd.h"
#include "whole_launch.h"
#include <filesystem>
#include <fstream>

namespace
{

// A host at rest (docs/CAPACITY.md), and what its clients may hold by default.
const long MEMORY_MB = 64 + 64;

const size_t BODY_BYTES = 4u << 20; // [limits] body_bytes of the settings under test
const uint32_t CONNECTIONS = 256;   // [limits] connections

// Descriptors that are no connections of clients: other hosts, targets, files.
const uint32_t OWN_DESCRIPTORS = 64;

const std::string POST_HEAD = "POST /v1/services/quote/requests HTTP/1.1\r\nHost: h\r\n"
                              "x-organisation: north\r\nx-request-id: i1\r\n";

std::string
announce (size_t length)
{
  return POST_HEAD + "Content-Length: " + std::to_string (length) + "\r\n\r\n";
}

// One byte short of `BODY_BYTES`.
const crowd_script announced = { announce (BODY_BYTES), std::string (4096, ' '), 1023,
                                 std::string (4095, ' ') };
const crowd_script announced_too_large = { announce (16 * BODY_BYTES), std::string (4096, ' '),
                                           2048, "" };
const crowd_script large_chunks = { POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n",
                                    "1000\r\n" + std::string (4096, ' ') + "\r\n", 2048, "" };
const crowd_script small_chunks = { POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n",
                                    BODY_BYTES / 4, "" };
const crowd_script nothing = {};
const crowd_script part_of_a_head = { "POST /v1/ HTTP/1.1\r\nHost: h\r\nx-a: ", "", 0, "" };

class WholeCallersAt : public WholeLaunch, public testing::WithParamInterface<enum launch_port>
{
protected:
  void
  start_one ()
  {
    start (1, "", CONNECTIONS);
  }

  const char *
  address (enum launch_port port) const
  {
    return launch_->hosts[0].addresses[port];
  }

  void
  join (size_t n, const crowd_script &script)
  {
    const std::string text = address (GetParam ());
    const size_t colon = text.rfind (':');

    crowd_.add (text.substr (0, colon), std::stoi (text.substr (colon + 1)), n, script);
  }

  // Waits until everything is sent or refused, or for long, and a second for what the host has yet
  // to read; then checks it.
  void
  expect_bounds_and_answers ()
  {
    struct loop *loop = caller_loop (launch_->caller);
    int status = 0;
    int64_t until;

    wait_until ([&] {
      crowd_.pump ();
      return crowd_.is_settled ();
    });
    until = loop_now (loop) + USEC_PER_SEC;
    wait_until ([&] { return loop_now (loop) > until; });
    expect_bounds ();
    json_decref (call_json (launch_->caller, address (LAUNCH_CALLERS), "GET", "/v1/entries",
                            nullptr, 20 * USEC_PER_SEC, &status));
    EXPECT_EQ (status, 200);
    status = 0;
    json_decref (call_json (launch_->caller, address (GetParam ()), "GET", "/v1/nothing", nullptr,
                            20 * USEC_PER_SEC, &status));
    EXPECT_EQ (status, 404);
    expect_bounds ();
  }

  void
  expect_bounds ()
  {
    struct launch_process *process = &launch_->hosts[0].process;
    const std::string folder = "/proc/" + std::to_string (process->pid);
    std::ifstream status (folder + "/status");
    std::filesystem::directory_iterator open (folder + "/fd");
    std::string line;

    ASSERT_FALSE (launch_wait_exit (launch_, process, 0));
    while (std::getline (status, line) && line.rfind ("VmHWM:", 0) != 0)
      ;
    EXPECT_LE (atol (line.c_str () + 6) * 1024, MEMORY_MB * 1000000);
    EXPECT_LE (std::distance (begin (open), end (open)), long{ CONNECTIONS + OWN_DESCRIPTORS });
  }

  client_crowd crowd_;
};

// Guards against a host whose memory grows with the bodies that clients begin and do not end.
TEST_P (WholeCallersAt, BodiesThatStopShortOfTheirEnd)
{
  start_one ();
  join (100, announced);
  expect_bounds_and_answers ();
}

// Guards against a host whose memory grows with bodies over the limit or without a length.
TEST_P (WholeCallersAt, BodiesOverTheLimit)
{
  start_one ();
  join (40, announced_too_large);
  join (40, large_chunks);
  join (4, small_chunks);
  expect_bounds_and_answers ();
}

// Guards against connections without a request that take all descriptors, so that others are not
// accepted.
TEST_P (WholeCallersAt, ConnectionsThatSendNothing)
{
  start_one ();
  join (300, nothing);
  expect_bounds_and_answers ();
}

// Guards against connections with a part of a request that take all descriptors.
TEST_P (WholeCallersAt, HeadsThatStopShortOfTheirEnd)
{
  start_one ();
  join (300, part_of_a_head);
  expect_bounds_and_answers ();
}

std::string
name_of (const testing::TestParamInfo<enum launch_port> &of)
{
  static const char *const names[] = { "callers", "operators", "targets" };

  return names[of.param];
}

INSTANTIATE_TEST_SUITE_P (Listeners,
                          WholeCallersAt,
                          testing::Values (LAUNCH_CALLERS, LAUNCH_OPERATORS, LAUNCH_TARGETS),
                          name_of);

}
