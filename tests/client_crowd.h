// Clients outside the limits: many connections that send what a test gives and read nothing.
#ifndef CLIENT_CROWD_H
#define CLIENT_CROWD_H

#include "unit_edges_support.h"
#include <linux/sockios.h>
#include <memory>
#include <sys/ioctl.h>

// What a client sends: `head`, `unit` so many times, `tail`.
struct crowd_script
{
  std::string head;
  std::string unit;
  size_t units = 0;
  std::string tail;
};

struct crowd_client
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const crowd_script *script;
  size_t sent = 0;
  bool closed = false; // by the other side

  crowd_client (const std::string &ip, int port, const crowd_script *of) : script (of)
  {
    struct sockaddr_in address = {};

    address.sin_family = AF_INET;
    address.sin_port = htons (static_cast<uint16_t> (port));
    inet_pton (AF_INET, ip.c_str (), &address.sin_addr);
    EXPECT_GE (fd, 0);
    (void) connect (fd, reinterpret_cast<struct sockaddr *> (&address), sizeof address);
  }

  crowd_client (const crowd_client &) = delete;

  ~crowd_client ()
  {
    close (fd);
  }

  size_t
  size () const
  {
    return script->head.size () + script->unit.size () * script->units + script->tail.size ();
  }

  // Sends what the socket takes, in turns with the others.
  void
  pump ()
  {
    const size_t TURN = 256u << 10;
    size_t until = sent + TURN;

    while (!closed && sent < size () && sent < until)
      {
        std::string bytes = next_bytes ();
        ssize_t n = send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);

        if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
          return;
        closed = n < 0;
        sent += n < 0 ? 0 : static_cast<size_t> (n);
      }
  }

  // Has the other side taken all bytes, or closed?
  bool
  is_settled () const
  {
    struct tcp_info info = {};
    socklen_t length = sizeof info;
    int queued = 0;

    if (closed
        || (sent > 0 && getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0
            && info.tcpi_state == TCP_CLOSE))
      return true;
    if (size () > 0 && sent == 0)
      return false;
    return sent == size () && ioctl (fd, SIOCOUTQ, &queued) == 0 && queued == 0;
  }

private:
  std::string
  next_bytes () const
  {
    const size_t BATCH = 64u << 10;
    size_t units = script->unit.size () * script->units;
    size_t at = sent;
    std::string bytes;

    if (at < script->head.size ())
      return script->head.substr (at);
    at -= script->head.size ();
    if (at >= units)
      return script->tail.substr (at - units);
    bytes = script->unit.substr (at % script->unit.size ());
    while (bytes.size () < BATCH && bytes.size () < units - at)
      bytes += script->unit;
    return bytes;
  }
};

struct client_crowd
{
  std::vector<std::unique_ptr<crowd_client>> clients;

  void
  add (const std::string &ip, int port, size_t n, const crowd_script &script)
  {
    for (size_t i = 0; i < n; i++)
      clients.push_back (std::make_unique<crowd_client> (ip, port, &script));
  }

  void
  pump ()
  {
    for (auto &client : clients)
      client->pump ();
  }

  bool
  is_settled () const
  {
    for (const auto &client : clients)
      if (!client->is_settled ())
        return false;
    return true;
  }
};

#endif
