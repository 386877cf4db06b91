// The messages between controllers and entry hosts, with the peers simulated by the test.
#ifndef SYNC_HARNESS_H
#define SYNC_HARNESS_H

#include "peer.h"
#include "registry.h"
#include "sync.h"
#include <cstdio>
#include <map>
#include <string>
#include <tuple>
#include <vector>

// A peer port that records what is sent and lets the test deliver messages.
struct recording_port
{
  struct peer_port port;
  std::vector<std::tuple<std::string, enum peer_channel, std::string>> sent;
  std::map<int, struct peer_listener *> listeners;
  std::map<std::string, bool> unreachable;
  std::vector<std::string> removed; // hosts whose connection was closed

  recording_port ()
  {
    static const struct peer_port_ops ops = {
      .set_address = [] (struct peer_port *, const char *, const char *,
                         const char *) { return STATUS_OK; },
      .remove_host =
          [] (struct peer_port *base, const char *host) {
            reinterpret_cast<recording_port *> (base)->removed.emplace_back (host);
          },
      .send =
          [] (struct peer_port *base, const char *host, enum peer_channel channel, const void *data,
              size_t length) {
            auto *self = reinterpret_cast<recording_port *> (base);

            if (self->unreachable[host])
              return STATUS_AGAIN;
            self->sent.emplace_back (host, channel,
                                     std::string (static_cast<const char *> (data), length));
            return STATUS_OK;
          },
      .set_listener =
          [] (struct peer_port *base, enum peer_channel channel, struct peer_listener *listener) {
            reinterpret_cast<recording_port *> (base)->listeners[channel] = listener;
          },
    };

    port.ops = &ops;
  }

  void
  deliver (const char *from, enum peer_channel channel, const struct bytes *message, int64_t now)
  {
    struct peer_listener *listener = listeners[channel];

    listener->ops->received (listener, from, message->data, message->length, now);
  }
};

// The content of a state that a controller sends to an entry host.
struct state_message
{
  struct sync_state head = {};
  std::string document;
  std::vector<std::pair<struct registry_registration, int64_t>> targets; // with their ages in us
  std::vector<std::string> hosts;                                        // names of entry hosts
  std::map<std::string, std::string> domains; // of hosts, "a" for those not listed
  std::vector<std::string> controllers;
};

inline void
write_state (const state_message &state, struct bytes *out)
{
  bytes_init (out, nullptr);
  sync_write_header (SYNC_STATE, out);
  sync_write_state (&state.head, out);
  if (state.head.has_document)
    pack_binary (out, state.document.data (), state.document.size ());
  pack_array (out, state.targets.size ());
  for (const auto &[word, age] : state.targets)
    {
      struct registry_target target = {};

      target.registration = word;
      target.last_heard_at = 0;
      registry_write (&target, age, out);
    }
  pack_array (out, 0);
  if (state.head.has_hosts)
    pack_array (out, state.hosts.size ());
  for (const auto &name : state.hosts)
    {
      struct sync_host host = {};

      snprintf (host.name, sizeof host.name, "%s", name.c_str ());
      auto domain = state.domains.find (name);

      snprintf (host.domain, sizeof host.domain, "%s",
                domain == state.domains.end () ? "a" : domain->second.c_str ());
      sync_write_host (&host, out);
    }
  pack_array (out, state.controllers.size ());
  for (const auto &name : state.controllers)
    pack_text (out, name.c_str ());
}

// The latest request that was sent to a controller.
inline bool
last_request (const recording_port &port, const std::string &controller, struct sync_request *out)
{
  for (auto at = port.sent.rbegin (); at != port.sent.rend (); ++at)
    {
      struct pack_reader in;
      enum sync_message type;

      if (std::get<0> (*at) != controller || std::get<1> (*at) != PEER_CHANNEL_SYNC)
        continue;
      pack_reader_init (&in, std::get<2> (*at).data (), std::get<2> (*at).size ());
      if (sync_read_type (&in, &type) && type == SYNC_REQUEST && sync_read_request (&in, out))
        return true;
    }
  return false;
}

// The versions that a controller sends for targets of one start, by their ids.
inline void
write_versions (const std::map<std::string, std::string> &versions, struct bytes *out)
{
  bytes_init (out, nullptr);
  sync_write_header (SYNC_VERSIONS, out);
  pack_array (out, versions.size ());
  for (const auto &[id, name] : versions)
    {
      struct registry_target target = {};

      target.id_hash = registry_id_hash (id.c_str ());
      target.registration.version_known = true;
      snprintf (target.registration.version, sizeof target.registration.version, "%s",
                name.c_str ());
      registry_write_version (&target, out);
    }
}

// The ids whose versions were requested of a controller last, as hashes.
inline std::vector<uint64_t>
last_version_request (const recording_port &port, const std::string &controller)
{
  for (auto at = port.sent.rbegin (); at != port.sent.rend (); ++at)
    {
      struct sync_version_request request = {};
      struct pack_reader in;
      enum sync_message type;

      pack_reader_init (&in, std::get<2> (*at).data (), std::get<2> (*at).size ());
      if (std::get<0> (*at) == controller && std::get<1> (*at) == PEER_CHANNEL_SYNC
          && sync_read_type (&in, &type) && type == SYNC_VERSION_REQUEST
          && sync_read_version_request (&in, &request))
        return { request.id_hashes, request.id_hashes + request.n };
    }
  return {};
}

inline struct registry_registration
make_word (const std::string &id,
           const std::string &pool,
           const std::string &address,
           enum registry_state state,
           uint64_t sequence)
{
  struct registry_registration word = {};

  snprintf (word.id, sizeof word.id, "%s", id.c_str ());
  snprintf (word.pool, sizeof word.pool, "%s", pool.c_str ());
  snprintf (word.address, sizeof word.address, "%s", address.c_str ());
  snprintf (word.domain, sizeof word.domain, "a");
  word.state = state;
  word.sequence = sequence;
  word.slots = 8;
  return word;
}

#endif
