// A target that answers each request with a first text and then repeats another one without end.
#ifndef ENDLESS_TARGET_H
#define ENDLESS_TARGET_H

#include "unit_edges_support.h"

// While it exists, talloc also tracks memory without a parent.
struct memory_meter
{
  size_t most = 0;

  memory_meter ()
  {
    talloc_enable_null_tracking ();
  }

  memory_meter (const memory_meter &) = delete;

  ~memory_meter ()
  {
    talloc_disable_null_tracking ();
  }

  // What is held beyond `base`, a talloc context that began with `size` bytes.
  void
  look (const void *base, size_t size)
  {
    size_t held = talloc_total_size (nullptr) + talloc_total_size (base) - size;

    most = held > most ? held : most;
  }
};

struct endless_target : raw_target
{
  std::string first;
  std::string unit;
  size_t pause = 0; // bytes a call of pump() sends at most; 0: as many as the socket takes
  size_t sent = 0;  // on the newest connection
  size_t most = 0;  // of `sent` over all connections
  int closed = 0;   // connections that the other side closed
  int flooded = 0;  // the number of the connection that bytes are sent on

  using raw_target::raw_target;

  ~endless_target ()
  {
    for (int fd : silent)
      close (fd);
  }

  // Sends more bytes to the newest connection if a request arrived on it.
  void
  pump ()
  {
    take_connections ();
    look ();
    if (flooded != connections && got.find ("\r\n\r\n") != std::string::npos)
      {
        flooded = connections;
        sent = 0;
      }
    if (peer < 0 || flooded != connections)
      return;
    for (size_t left = pause > 0 ? pause : SIZE_MAX; left > 0;)
      {
        std::string bytes = next_bytes (left);

        if (bytes.empty ())
          return;
        ssize_t n = send (peer, bytes.data (), bytes.size (), MSG_NOSIGNAL | MSG_DONTWAIT);

        if (n < 0 && errno == EAGAIN)
          return;
        if (n < 0)
          {
            closed++;
            hang_up ();
            return;
          }
        sent += static_cast<size_t> (n);
        left -= static_cast<size_t> (n);
        most = sent > most ? sent : most;
      }
  }

private:
  std::vector<int> silent; // connections without bytes yet, such as probes

  // The newest connection with bytes replaces the one before.
  void
  take_connections ()
  {
    int next;

    while ((next = accept (listener, nullptr, nullptr)) >= 0)
      silent.push_back (next);
    for (size_t i = 0; i < silent.size ();)
      {
        char byte;
        ssize_t n = recv (silent[i], &byte, 1, MSG_PEEK | MSG_DONTWAIT);

        if (n < 0 && errno == EAGAIN)
          {
            i++;
            continue;
          }
        if (n > 0)
          {
            hang_up ();
            peer = silent[i];
            connections++;
            got.clear ();
          }
        else
          close (silent[i]);
        silent.erase (silent.begin () + static_cast<ptrdiff_t> (i));
      }
  }

  std::string
  next_bytes (size_t max) const
  {
    const size_t BATCH = 64u << 10;
    size_t want = max < BATCH ? max : BATCH;
    std::string bytes;

    if (sent < first.size ())
      bytes = first.substr (sent, want);
    else if (!unit.empty ())
      bytes = unit.substr ((sent - first.size ()) % unit.size ());
    while (bytes.size () < want && !unit.empty ())
      bytes += unit;
    if (bytes.size () > want)
      bytes.resize (want);
    return bytes;
  }
};

#endif
