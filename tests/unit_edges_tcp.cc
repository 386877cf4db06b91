// TCP streams: sending more than the buffers hold, and how the end of a connection is reported.
#include "loop.h"
#include "tcp.h"
#include "unit_edges_support.h"
#include <gtest/gtest.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

namespace
{

const struct tcp_stream_ops silent_ops = {
  .connected = [] (struct tcp_stream *, int64_t) {},
  .received = [] (struct tcp_stream *, const char *, size_t, int64_t) {},
  .ended = [] (struct tcp_stream *, enum tcp_end, int64_t) {},
  .sent = nullptr,
};

// A configuration of some hundred routes is read over a link whose buffers hold half of it.  The
// first two buffers of the answer arrive and nothing more, because the loop lost a writable request
// that was made within the writable callback.  The reader gives up.
TEST (Tcp, SendsAllDataHoweverOftenTheBufferIsFull)
{
  struct loop *loop = loop_new_without_tls (nullptr, 16);
  struct tcp_stream stream = {};
  std::string data (1u << 20, 'x');
  std::string got;
  int small = 4096;
  int ends[2];

  ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
  setsockopt (ends[0], SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
  ASSERT_EQ (tcp_accept (&stream, &silent_ops, loop, ends[0]), STATUS_OK);
  tcp_write (&stream, data.data (), data.size ());
  for (int idle = 0; got.size () < data.size () && idle < 50;)
    {
      char buffer[65536];
      ssize_t n;

      loop_run_once (loop, USEC_PER_MSEC);
      idle++;
      while ((n = recv (ends[1], buffer, sizeof buffer, 0)) > 0)
        {
          got.append (buffer, static_cast<size_t> (n));
          idle = 0;
        }
    }
  EXPECT_EQ (got.size (), data.size ());
  EXPECT_EQ (tcp_unsent (&stream), 0u);
  tcp_close (&stream, true);
  close (ends[1]);
  talloc_free (loop);
}

// A local stream and the socket of its peer, over loopback.
class TcpEnd : public testing::Test
{
protected:
  TcpEnd ()
  {
    static const struct tcp_listener_ops ops = {
      .accepted = [] (struct tcp_listener *, int fd, int64_t) { accepted = fd; },
    };
    struct tcp_listener listener = {};

    accepted = -1;
    EXPECT_EQ (tcp_listen (&listener, &ops, loop, "127.0.0.1:0"), STATUS_OK);
    peer = std::make_unique<raw_caller> (loop, inet_address_bound_port (listener.fd));
    EXPECT_TRUE (run_until (loop, [] { return accepted >= 0; }));
    tcp_listener_close (&listener);
    ours.test = this;
    EXPECT_EQ (tcp_accept (&ours.stream, &ops_, loop, accepted), STATUS_OK);
  }

  ~TcpEnd () override
  {
    tcp_close (&ours.stream, true);
    peer.reset ();
    talloc_free (loop);
  }

  void
  write (const std::string &bytes)
  {
    tcp_write (&ours.stream, bytes.data (), bytes.size ());
  }

  // Writes more than the kernel buffers take.
  void
  fill ()
  {
    while (tcp_unsent (&ours.stream) < (1u << 20))
      write (std::string (1u << 20, 'f'));
  }

  void
  reset_by_peer ()
  {
    const struct linger at_once = { 1, 0 };

    setsockopt (peer->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    peer->shut ();
  }

  bool
  wait_ended ()
  {
    return run_until (loop, [this] { return n_ends > 0; });
  }

  // Reads at the peer to the end; true where that is a reset.
  bool
  sees_reset ()
  {
    EXPECT_TRUE (peer->wait_closed ());
    return peer->reset;
  }

  struct loop *loop = loop_new_without_tls (nullptr, 16);
  struct
  {
    struct tcp_stream stream; // must be the first member
    TcpEnd *test;
  } ours = {};
  std::unique_ptr<raw_caller> peer;
  std::string got;
  enum tcp_end end = TCP_END_COUNT;
  int n_ends = 0;

private:
  static TcpEnd *
  test_of (struct tcp_stream *stream)
  {
    return reinterpret_cast<decltype (ours) *> (stream)->test;
  }

  static inline int accepted;
  static inline const struct tcp_stream_ops ops_ = {
    .connected = [] (struct tcp_stream *, int64_t) {},
    .received =
        [] (struct tcp_stream *stream, const char *data, size_t length, int64_t) {
          test_of (stream)->got.append (data, length);
        },
    .ended =
        [] (struct tcp_stream *stream, enum tcp_end how, int64_t) {
          test_of (stream)->end = how;
          test_of (stream)->n_ends++;
        },
    .sent = nullptr,
  };
};

// A send consumes the error of a reset, after which a read reports the end as orderly.
TEST_F (TcpEnd, IsAResetWhenASendSeesItFirst)
{
  peer->send ("half");
  reset_by_peer ();
  write ("more");
  write ("more");
  EXPECT_TRUE (wait_ended ());
  EXPECT_EQ (end, TCP_END_RESET);
  EXPECT_EQ (got, "half");
}

// A complete answer arrived before a reset, on a connection that its user may reuse: data lost by a
// failed send must count as unsent, or the next request would be sent on this connection.
TEST_F (TcpEnd, CountsBytesOfAFailedSendAsUnsent)
{
  peer->send ("whole");
  reset_by_peer ();
  write ("the rest");
  EXPECT_TRUE (run_until (loop, [this] { return got == "whole"; }));
  EXPECT_GT (tcp_unsent (&ours.stream), 0u);
  EXPECT_TRUE (wait_ended ());
}

// A reset that occurs while the loop sends buffered bytes.
TEST_F (TcpEnd, IsAResetWhenTheSendOfTheLoopSeesItFirst)
{
  fill ();
  peer->send ("half");
  reset_by_peer ();
  EXPECT_TRUE (wait_ended ());
  EXPECT_EQ (end, TCP_END_RESET);
  EXPECT_EQ (got, "half");
}

// No other event occurs on the connection: the user must be notified of the failed stream
// nevertheless.
TEST_F (TcpEnd, IsReportedSoonWhenThePeerIsIdle)
{
  fill ();
  write (std::string (TCP_UNSENT_MAX_BYTES, 'x'));
  loop_run_once (loop, 0);
  loop_run_once (loop, 0);
  EXPECT_EQ (n_ends, 1);
}

// Guards against a stream truncated at the buffer limit that ends in order for the peer.
TEST_F (TcpEnd, OfAnOverflowIsAResetForThePeer)
{
  fill ();
  write (std::string (TCP_UNSENT_MAX_BYTES, 'x'));
  write ("behind the gap");
  EXPECT_TRUE (wait_ended ());
  EXPECT_EQ (end, TCP_END_OVERFLOW);
  EXPECT_TRUE (sees_reset ());
  EXPECT_EQ (peer->got.find_first_not_of ('f'), std::string::npos);
}

// The same, with our end requested before the loop has reported the failure.
TEST_F (TcpEnd, OfAnOverflowIsAResetAlsoWhenTheUserEndsTheStream)
{
  fill ();
  write (std::string (TCP_UNSENT_MAX_BYTES, 'x'));
  tcp_close_when_sent (&ours.stream);
  EXPECT_TRUE (wait_ended ());
  EXPECT_EQ (end, TCP_END_OVERFLOW);
  EXPECT_TRUE (sees_reset ());
}

// Bytes that cannot be buffered leave a gap in the stream, followed by later bytes.
TEST_F (TcpEnd, OutOfMemoryIsAResetForThePeer)
{
  fill ();
  ours.stream.unsent->failed = true; // state after a failed allocation
  write (std::string (4u << 20, 'x'));
  write ("behind the gap");
  EXPECT_TRUE (wait_ended ());
  EXPECT_EQ (end, TCP_END_MEMORY);
  EXPECT_TRUE (sees_reset ());
  EXPECT_EQ (peer->got.find_first_not_of ('f'), std::string::npos);
}

// Bytes discarded by a close in the middle of a stream would look like an orderly end to the peer.
TEST_F (TcpEnd, OfACloseWithUnsentBytesIsAReset)
{
  fill ();
  tcp_close (&ours.stream, false);
  EXPECT_TRUE (sees_reset ());
}

TEST_F (TcpEnd, OfAResetIsAResetWithUnsentBytes)
{
  fill ();
  tcp_close (&ours.stream, true);
  EXPECT_TRUE (sees_reset ());
}

TEST_F (TcpEnd, OfAResetIsAResetWithoutUnsentBytes)
{
  write ("text");
  tcp_close (&ours.stream, true);
  EXPECT_TRUE (sees_reset ());
}

TEST_F (TcpEnd, OfACloseIsOrderly)
{
  write ("text");
  tcp_close (&ours.stream, false);
  EXPECT_FALSE (sees_reset ());
  EXPECT_EQ (peer->got, "text");
}

// Both sides have ended: the loop reports the hang-up while received bytes are still unread.
TEST_F (TcpEnd, IsOrderlyAfterBytesReceivedAfterOurEnd)
{
  std::string much (100000, 'm');

  tcp_close_when_sent (&ours.stream);
  EXPECT_TRUE (peer->wait_closed ());
  peer->send (much);
  ASSERT_EQ (shutdown (peer->fd, SHUT_WR), 0);
  EXPECT_TRUE (wait_ended ());
  EXPECT_EQ (end, TCP_END_ORDERLY);
  EXPECT_EQ (got.size (), much.size ());
}

// A reset after bytes that are still unread must not be reported as an orderly end.
TEST_F (TcpEnd, IsAResetAfterUnreadBytes)
{
  peer->send (std::string (100000, 'm'));
  reset_by_peer ();
  EXPECT_TRUE (wait_ended ());
  EXPECT_EQ (end, TCP_END_RESET);
}

// All data of a stream that ends in order arrives, even when the peer ends its side meanwhile.
TEST_F (TcpEnd, FollowsAllSentData)
{
  fill ();
  size_t unsent = tcp_unsent (&ours.stream);

  tcp_close_when_sent (&ours.stream);
  EXPECT_FALSE (sees_reset ());
  EXPECT_GT (peer->got.size (), unsent);
  EXPECT_EQ (tcp_unsent (&ours.stream), 0u);
}

// Failure: a connection stays in the backlog and wakes the loop without end where no descriptor is
// left, and its client waits.
TEST (TcpListener, RefusesConnectionsWhenNoDescriptorIsLeft)
{
  static const struct tcp_listener_ops ops = {
    .accepted = [] (struct tcp_listener *, int fd, int64_t) { close (fd); },
  };
  struct loop *loop = loop_new_without_tls (nullptr, 16);
  struct tcp_listener listener = {};
  struct rlimit own;
  std::vector<int> taken;

  ASSERT_EQ (tcp_listen (&listener, &ops, loop, "127.0.0.1:0"), STATUS_OK);
  ASSERT_EQ (getrlimit (RLIMIT_NOFILE, &own), 0);
  {
    // Its connection is in the backlog.
    raw_caller caller (loop, inet_address_bound_port (listener.fd));
    struct rlimit low = own;

    low.rlim_cur = static_cast<rlim_t> (caller.fd) + 8;
    ASSERT_EQ (setrlimit (RLIMIT_NOFILE, &low), 0);
    for (int fd = dup (0); fd >= 0; fd = dup (0))
      taken.push_back (fd);
    EXPECT_TRUE (caller.wait_closed ());
    for (int fd : taken)
      close (fd);
    EXPECT_EQ (setrlimit (RLIMIT_NOFILE, &own), 0);
  }
  tcp_listener_close (&listener);
  talloc_free (loop);
}

}
