// The operator client against hosts that lose answers, have no leader or are not reachable.
#include "cli_session.h"
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <talloc.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

// Answers successive connections with the given texts; "" closes the connection without an answer.
struct scripted_host
{
  int fd = -1;
  std::string address;
  std::vector<std::string> answers;
  std::vector<std::string> requests;
  std::thread thread;

  explicit scripted_host (std::vector<std::string> script) : answers (std::move (script))
  {
    struct sockaddr_in at = {};
    socklen_t size = sizeof at;

    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    fd = socket (AF_INET, SOCK_STREAM, 0);
    if (bind (fd, reinterpret_cast<struct sockaddr *> (&at), sizeof at) != 0 || listen (fd, 8) != 0
        || getsockname (fd, reinterpret_cast<struct sockaddr *> (&at), &size) != 0)
      abort ();
    address = "127.0.0.1:" + std::to_string (ntohs (at.sin_port));
    thread = std::thread ([this] { serve (); });
  }

  ~scripted_host ()
  {
    shutdown (fd, SHUT_RDWR);
    thread.join ();
    close (fd);
  }

  void
  serve ()
  {
    for (const std::string &answer : answers)
      {
        int peer = accept (fd, nullptr, nullptr);

        if (peer < 0)
          return;
        requests.push_back (read_request (peer));
        if (!answer.empty ())
          send (peer, answer.data (), answer.size (), MSG_NOSIGNAL);
        close (peer);
      }
  }

  static std::string
  read_request (int peer)
  {
    std::string text;
    char buffer[4096];
    size_t body = 0;
    size_t end;
    ssize_t n;

    while ((end = text.find ("\r\n\r\n")) == std::string::npos || text.size () < end + 4 + body)
      {
        n = recv (peer, buffer, sizeof buffer, 0);
        if (n <= 0)
          break;
        text.append (buffer, static_cast<size_t> (n));
        std::string length = header (text, "content-length");
        body = length.empty () ? 0 : std::stoul (length);
      }
    return text;
  }

  static std::string
  header (const std::string &request, const std::string &name)
  {
    std::string lower = request;

    for (char &c : lower)
      c = static_cast<char> (tolower (c));
    size_t at = lower.find ("\r\n" + name + ":");
    if (at == std::string::npos)
      return "";
    at = lower.find_first_not_of (" ", at + name.size () + 3);
    return request.substr (at, request.find ("\r\n", at) - at);
  }
};

std::string
answer (int code, const std::string &body, const char *type = "application/json")
{
  return "HTTP/1.1 " + std::to_string (code) + " X\r\ncontent-type: " + type
         + "\r\nconnection: close\r\ncontent-length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

struct session_fixture : testing::Test
{
  void *root = talloc_new (nullptr);
  struct cli_options options = {};
  struct cli_answer got = {};

  void
  TearDown () override
  {
    talloc_free (root);
  }

  void
  add (const std::string &address)
  {
    snprintf (options.hosts[options.n_hosts++], RESOURCE_ADDRESS_SIZE, "%s", address.c_str ());
  }

  enum status
  call (const char *method, const char *body, const char *change_id)
  {
    options.timeout = 20 * USEC_PER_SEC;
    struct cli_session *session = cli_session_new (root, &options);
    struct cli_request request = {};

    if (session == nullptr)
      return STATUS_INVALID;
    request.method = method;
    request.path = "/v1/pools/p";
    request.body = body;
    request.length = body == nullptr ? 0 : strlen (body);
    request.change_id = change_id;
    return cli_call (session, &request, &got);
  }
};

using Session = session_fixture;

// An operator applies a change; the host accepts it and fails before its answer.  Without a retry
// the outcome is unknown; a retry under another id would apply the change twice.
TEST_F (Session, ChangeWithALostAnswerIsRetriedAtTheNextHostUnderTheSameId)
{
  scripted_host dies ({ "" });
  scripted_host lives ({ answer (200, "{\"a\":1}") });

  add (dies.address);
  add (lives.address);
  ASSERT_EQ (call ("PUT", "{\"x\":2}", "id-1"), STATUS_OK) << status_message ();
  EXPECT_EQ (got.code, 200);
  EXPECT_STREQ (got.body.data, "{\"a\":1}");
  EXPECT_EQ (got.host, lives.address);
  ASSERT_EQ (dies.requests.size (), 1u);
  ASSERT_EQ (lives.requests.size (), 1u);
  EXPECT_EQ (scripted_host::header (dies.requests[0], "x-change-id"), "id-1");
  EXPECT_EQ (scripted_host::header (lives.requests[0], "x-change-id"), "id-1");
  EXPECT_NE (lives.requests[0].find ("\r\n\r\n{\"x\":2}"), std::string::npos);
}

TEST_F (Session, HostWithoutALeaderIsSkippedAndAConflictIsReported)
{
  scripted_host leaderless ({ answer (503, "{}") });
  scripted_host refuses ({ answer (409, "{}") });
  scripted_host unused ({ answer (200, "{}") });

  add (leaderless.address);
  add (refuses.address);
  add (unused.address);
  ASSERT_EQ (call ("PUT", "{}", "id"), STATUS_OK);
  EXPECT_EQ (got.code, 409);
  EXPECT_EQ (unused.requests.size (), 0u);
}

// No leader for a short time, as after the loss of a host: the client retries and does not fail.
TEST_F (Session, RetriesWhileThereIsNoLeader)
{
  scripted_host host ({ answer (503, "{}"), answer (200, "{}") });

  add (host.address);
  ASSERT_EQ (call ("GET", nullptr, nullptr), STATUS_OK) << status_message ();
  EXPECT_EQ (got.code, 200);
}

TEST_F (Session, UnreachableHostsAreReportedAtOnce)
{
  std::string gone;
  {
    scripted_host host ({});
    gone = host.address;
  }
  add (gone);
  EXPECT_EQ (call ("GET", nullptr, nullptr), STATUS_UNAVAILABLE);
  EXPECT_NE (std::string (status_message ()).find (gone), std::string::npos) << status_message ();
}

TEST_F (Session, TokenIsSentAsABearerToken)
{
  scripted_host host ({ answer (200, "{}") });

  add (host.address);
  snprintf (options.token, sizeof options.token, "secret");
  ASSERT_EQ (call ("GET", nullptr, nullptr), STATUS_OK);
  EXPECT_EQ (scripted_host::header (host.requests.at (0), "authorization"), "Bearer secret");
}

struct events
{
  struct cli_stream stream;
  std::vector<std::string> seen;
  size_t stop_after;
};

bool
take (struct cli_stream *stream, const char *data, size_t length)
{
  auto *self = reinterpret_cast<struct events *> (stream);

  self->seen.emplace_back (data, length);
  return self->seen.size () < self->stop_after;
}

const struct cli_stream_ops take_ops = { .event = take };

TEST_F (Session, StreamDeliversItsEventsAndStopsOnRequest)
{
  scripted_host host ({ answer (200, "data: 1\n\ndata: 2\n\ndata: 3\n\n", "text/event-stream"),
                        answer (410, "{\"error\":{}}") });
  struct events events = { .stream = { &take_ops }, .seen = {}, .stop_after = 2 };
  struct bytes error;
  int code = 0;

  bytes_init (&error, root);
  add (host.address);
  options.timeout = USEC_PER_SEC;
  struct cli_session *session = cli_session_new (root, &options);
  ASSERT_NE (session, nullptr);
  EXPECT_EQ (cli_read_stream (session, "/v1/pools?watch=1", &events.stream, &code, &error),
             STATUS_OK);
  EXPECT_EQ (code, 200);
  EXPECT_EQ (events.seen, (std::vector<std::string>{ "1", "2" }));
  EXPECT_EQ (cli_read_stream (session, "/v1/pools?watch=1", &events.stream, &code, &error),
             STATUS_OK);
  EXPECT_EQ (code, 410);
  EXPECT_STREQ (error.data, "{\"error\":{}}");
}

} // namespace
