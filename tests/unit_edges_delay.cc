// Streams must not be delayed by the TCP of the caller.
#include "unit_edges_support.h"
#include <netinet/tcp.h>

namespace
{

// The socket option at the server end of the connection: this process holds both ends.
int
no_delay_of_server_end (const struct raw_caller &caller)
{
  struct sockaddr_in near = {};
  socklen_t size = sizeof near;

  EXPECT_EQ (getsockname (caller.fd, reinterpret_cast<struct sockaddr *> (&near), &size), 0);
  for (int fd = 0; fd < 4096; fd++)
    {
      struct sockaddr_in peer = {};
      socklen_t length = sizeof peer;
      int on = -1;
      socklen_t on_size = sizeof on;

      if (getpeername (fd, reinterpret_cast<struct sockaddr *> (&peer), &length) != 0
          || peer.sin_family != AF_INET || peer.sin_port != near.sin_port)
        continue;
      EXPECT_EQ (getsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, &on_size), 0);
      return on;
    }
  return -1;
}

// A caller that reads a stream, or a host that reads a generator stream, gets the first event at
// once and the rest 40 ms later.  The server writes the head, then each event, as small segments;
// TCP holds the second until the first is acknowledged (Nagle), and the reader, which has nothing
// to send, delays its acknowledgement by 40 ms.
TEST (HttpServer, SendsSmallSegmentsWithoutDelay)
{
  struct test_server server;

  for (int i = 0; i < HTTP_LISTENER_COUNT; i++)
    {
      struct raw_caller caller (server.loop, server.port (static_cast<enum http_listener> (i)));

      caller.send ("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
      ASSERT_TRUE (caller.wait_for ("HTTP/1.1 "));
      EXPECT_EQ (no_delay_of_server_end (caller), 1) << "listener " << i;
    }
}

} // namespace
