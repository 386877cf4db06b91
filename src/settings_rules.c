/* Checks of rules that involve several settings keys. */
#include "settings_private.h"
#include <string.h>

/* Rejects two listeners on one address; otherwise the second bind would fail at the start of the
 * host. */
static void
check_listeners (struct settings_parser *parser)
{
  const struct settings *out = parser->out;
  const struct
  {
    const char *name;
    const char *address;
  } listeners[] = {
    { "callers", out->listen_callers },
    { "operators", out->listen_operators },
    { "targets", out->listen_targets },
    { "peers", out->listen_peers },
  };
  size_t n = sizeof listeners / sizeof listeners[0];
  size_t i;
  size_t j;

  for (i = 0; i < n; i++)
    {
      for (j = 0; j < i; j++)
        {
          if (strcmp (listeners[i].address, listeners[j].address) == 0
              && strcmp (strrchr (listeners[i].address, ':'), ":0") != 0)
            settings_report_problem (parser,
                                     settings_key_line (parser, "listen", listeners[i].name),
                                     "[listen] %s: expected another address than `%s` has",
                                     listeners[i].name, listeners[j].name);
        }
    }
}

/* With a key file every other host needs a pinned key.  Without one a pinned key would be silently
 * ignored, so it is rejected. */
static void
check_peer_key (struct settings_parser *parser, const char *key, const struct settings_peer *peer)
{
  const struct settings *out = parser->out;
  int line = settings_key_line (parser, "cluster", key);

  if (out->key_file[0] == '\0' && peer->public_key[0] != '\0')
    settings_report_problem (parser, line, "[cluster] %s: %s has a key, expected [keys] file too",
                             key, peer->name);
  if (out->key_file[0] != '\0' && peer->public_key[0] == '\0'
      && strcmp (peer->name, out->name) != 0)
    settings_report_problem (parser, line,
                             "[cluster] %s: expected %s@%s/KEY, since [keys] file is given", key,
                             peer->name, peer->address);
}

static void
check_peers (struct settings_parser *parser,
             const char *key,
             const struct settings_peer *peers,
             uint32_t n_peers)
{
  const struct settings *out = parser->out;
  int line = settings_key_line (parser, "cluster", key);
  uint32_t i;
  uint32_t j;

  for (i = 0; i < n_peers; i++)
    {
      check_peer_key (parser, key, &peers[i]);
      for (j = 0; j < i; j++)
        {
          if (strcmp (peers[i].name, peers[j].name) == 0)
            settings_report_problem (parser, line, "[cluster] %s: %s given twice, expected once",
                                     key, peers[i].name);
          else if (strcmp (peers[i].address, peers[j].address) == 0)
            settings_report_problem (parser, line,
                                     "[cluster] %s: %s and %s share an address, expected one each",
                                     key, peers[j].name, peers[i].name);
        }
      if (strcmp (peers[i].name, out->name) == 0
          && strcmp (peers[i].address, out->listen_peers) != 0)
        settings_report_problem (
            parser, line, "[cluster] %s: this host is at %s, expected its [listen] peers, %s", key,
            peers[i].address, out->listen_peers);
    }
}

static void
check_voters (struct settings_parser *parser)
{
  const struct settings *out = parser->out;
  int line = settings_key_line (parser, "cluster", "voters");
  uint32_t i;

  if (out->n_voters == 0 && out->n_seeds == 0)
    settings_report_problem (
        parser, line,
        "[cluster] voters: expected voters or seeds; a host alone names itself as voter");
  for (i = 0; i < out->n_voters; i++)
    {
      if (strcmp (out->voters[i].name, out->name) == 0 && out->data_folder[0] == '\0')
        settings_report_problem (
            parser, line, "[cluster] voters: this host is a voter, expected [data] folder too");
    }
}

void
settings_check_rules (struct settings_parser *parser)
{
  const struct settings *out = parser->out;

  check_listeners (parser);
  check_peers (parser, "seeds", out->seeds, out->n_seeds);
  check_peers (parser, "voters", out->voters, out->n_voters);
  check_voters (parser);
  if ((out->tls_certificate[0] == '\0') != (out->tls_key[0] == '\0'))
    settings_report_problem (
        parser,
        settings_key_line (parser, "keys", "tls_key")
            + settings_key_line (parser, "keys", "tls_certificate"),
        "[keys] tls_key: expected both tls_certificate and tls_key, or neither");
  if (out->connections_per_caller > out->connections)
    settings_report_problem (parser, settings_key_line (parser, "limits", "connections_per_caller"),
                             "[limits] connections_per_caller: expected at most `connections`, %u",
                             out->connections);
  if (out->body_bytes >= ((uint64_t) out->client_memory_mb << 20) / 2)
    settings_report_problem (parser, settings_key_line (parser, "limits", "client_memory_mb"),
                             "[limits] client_memory_mb: expected more than twice body_bytes, %u",
                             out->body_bytes);
  /* A host that shuts down keeps serving for as long as callers may cache an old list, then
   * finishes the requests in flight. */
  if (out->drain_bound <= out->list_keep)
    settings_report_problem (parser, settings_key_line (parser, "entry", "drain_bound_ms"),
                             "[entry] drain_bound_ms: expected more than list_keep_ms, %lld",
                             (long long) (out->list_keep / USEC_PER_MSEC));
}
