// A network of fake peer ports on virtual time: messages take a millisecond, hosts can be cut off.
#pragma once
#include "peer.h"
#include "timer.h"
#include <list>
#include <map>
#include <set>
#include <string>

struct test_network;

struct test_port
{
  struct peer_port port = {}; // first member
  struct test_network *network = nullptr;
  std::string name = {};
  struct peer_listener *listeners[PEER_CHANNEL_COUNT] = {};
};

struct test_network
{
  struct timer_service *timers;
  const int64_t *now;
  std::map<std::string, struct test_port> ports = {};
  std::set<std::string> cut = {}; // hosts that no message leaves or reaches
  int drop_next = 0;              // messages to lose
  uint64_t messages = 0;
  uint64_t bytes = 0;

  struct message
  {
    struct timer timer;
    struct test_network *network;
    std::string from;
    std::string to;
    enum peer_channel channel;
    std::string data;
  };
  std::list<struct message> in_flight = {};

  test_network (struct timer_service *on, const int64_t *clock) : timers (on), now (clock)
  {
  }

  ~test_network ()
  {
    for (auto &each : in_flight)
      timer_disarm (timers, &each.timer);
  }

  struct peer_port *
  add (const std::string &name)
  {
    static const struct peer_port_ops ops = { nullptr, nullptr, send, listen };
    struct test_port &port = ports[name];

    port.port.ops = &ops;
    port.network = this;
    port.name = name;
    return &port.port;
  }

  static void
  listen (struct peer_port *port, enum peer_channel channel, struct peer_listener *listener)
  {
    reinterpret_cast<struct test_port *> (port)->listeners[channel] = listener;
  }

  static void
  arrive (struct timer *timer, int64_t now)
  {
    struct message *each = reinterpret_cast<struct message *> (timer);
    struct test_network *network = each->network;
    struct message own = *each;

    network->in_flight.remove_if ([each] (const struct message &other) { return &other == each; });
    if (network->cut.count (own.from) + network->cut.count (own.to) > 0)
      return;
    struct peer_listener *listener = network->ports[own.to].listeners[own.channel];
    if (listener != nullptr)
      listener->ops->received (listener, own.from.c_str (), own.data.data (), own.data.size (),
                               now);
  }

  static enum status
  send (struct peer_port *port,
        const char *host,
        enum peer_channel channel,
        const void *data,
        size_t length)
  {
    static const struct timer_ops ops = { arrive };
    struct test_port *own = reinterpret_cast<struct test_port *> (port);
    struct test_network *network = own->network;

    network->messages++;
    network->bytes += length;
    if (network->drop_next > 0)
      {
        network->drop_next--;
        return STATUS_OK;
      }
    network->in_flight.push_back ({ {},
                                    network,
                                    own->name,
                                    host,
                                    channel,
                                    std::string (static_cast<const char *> (data), length) });
    network->in_flight.back ().timer.ops = &ops;
    timer_arm (network->timers, &network->in_flight.back ().timer, *network->now + USEC_PER_MSEC);
    return STATUS_OK;
  }
};
