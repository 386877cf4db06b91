/* The HTTP client: calls started and cancelled, connections kept per address. */
#include "http_client.h"
#include "http_client_private.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>

/* Seconds that an unused connection is kept; below what servers commonly allow, so that it is
 * rarely the other side that closes one just as it is used. */
#define KEEP_SECONDS 20

static const struct lws_protocols client_protocols[] = {
  { .name = "http-client", .callback = client_on_event },
  { .name = NULL },
};

static void
free_slot (struct lws_vhost *vhost, void *arg)
{
  (void) vhost;
  talloc_free (arg);
}

/* The slot outlives the client until lws lets go of its vhost. */
static struct client_slot *
make_slot (struct client *client)
{
  struct client_slot *slot = talloc_zero (NULL, struct client_slot);
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .protocols = client_protocols,
    .vhost_name = "client",
    .user = slot,
    .alpn = "http/1.1",
    .options = client->config.tls_ca == NULL ? 0 : LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT,
    .client_ssl_ca_filepath = client->config.tls_ca,
    .finalize = free_slot,
    .finalize_arg = slot,
  };

  if (slot == NULL)
    return NULL;
  slot->vhost = lws_create_vhost (loop_context (client->config.loop), &info);
  if (slot->vhost == NULL)
    {
      talloc_free (slot);
      return NULL;
    }
  slot->client = client;
  DL_APPEND2 (client->slots, slot, all_prev, all_next);
  return slot;
}

/* uthash's macros are long; the functions are not.
 * NOLINTBEGIN(readability-function-size) */

static struct client_endpoint *
find_endpoint (struct client *client, const char *address, bool make)
{
  struct client_endpoint *endpoint;

  HASH_FIND_STR (client->endpoints, address, endpoint);
  if (endpoint != NULL || !make)
    return endpoint;
  endpoint = talloc_zero (client, struct client_endpoint);
  if (endpoint == NULL)
    return NULL;
  text_copy_cut (endpoint->address, sizeof endpoint->address, address);
  HASH_ADD_STR (client->endpoints, address, endpoint);
  return endpoint;
}

static void
leave_endpoint (struct client *client, struct client_slot *slot)
{
  struct client_endpoint *endpoint = slot->endpoint;

  slot->endpoint = NULL;
  DL_DELETE (endpoint->idle, slot);
  if (endpoint->idle != NULL)
    return;
  HASH_DEL (client->endpoints, endpoint);
  talloc_free (endpoint);
}

/* NOLINTEND(readability-function-size) */

/* A slot with an idle connection to the address, or one without any. */
static struct client_slot *
take_slot (struct client *client, const char *address)
{
  struct client_endpoint *endpoint = find_endpoint (client, address, false);
  struct client_slot *slot;

  if (endpoint != NULL)
    {
      slot = endpoint->idle;
      leave_endpoint (client, slot);
      return slot;
    }
  slot = client->free;
  if (slot != NULL)
    {
      DL_DELETE (client->free, slot);
      return slot;
    }
  client_count (client, CLIENT_CONNECTIONS);
  return make_slot (client);
}

static void
kill_connection (struct lws *wsi)
{
  lws_set_opaque_user_data (wsi, NULL);
  lws_set_timeout (wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void
client_call_free (struct http_call *call, bool keep)
{
  struct client *client = call->client;
  struct client_slot *slot = call->slot;
  struct client_endpoint *endpoint = NULL;

  timer_disarm (client->timers, &call->timer);
  client->n_calls--;
  slot->call = NULL;
  if (slot->wsi != NULL && keep)
    endpoint = find_endpoint (client, call->address, true);
  if (endpoint != NULL)
    {
      lws_set_opaque_user_data (slot->wsi, NULL);
      slot->endpoint = endpoint;
      DL_PREPEND (endpoint->idle, slot);
    }
  else if (slot->wsi != NULL)
    kill_connection (slot->wsi);
  talloc_free (call);
}

void
client_slot_closed (struct client_slot *slot, struct lws *wsi)
{
  struct client *client = slot->client;

  /* A connection that was handed on to a new call has a new wsi by now. */
  if (slot->wsi != wsi)
    return;
  slot->wsi = NULL;
  if (client == NULL)
    return;
  if (slot->endpoint != NULL)
    leave_endpoint (client, slot);
  DL_PREPEND (client->free, slot);
}

static bool
copy_headers (struct http_call *call, const struct http_call_spec *spec)
{
  call->headers = talloc_array (call, struct http_field, spec->n_headers);
  if (call->headers == NULL)
    return false;
  for (size_t i = 0; i < spec->n_headers; i++)
    {
      char *name = talloc_asprintf (call, "%s:", spec->headers[i].name);
      char *value = talloc_strdup (call, spec->headers[i].value);

      if (name == NULL || value == NULL)
        return false;
      call->headers[i] = (struct http_field){ .name = name, .value = value };
    }
  call->n_headers = spec->n_headers;
  return true;
}

static enum status
check_spec (const struct http_call_spec *spec, struct inet_address *address)
{
  if (strlen (spec->address) >= CLIENT_ADDRESS_SIZE)
    return status_fail (STATUS_INVALID, "the address is too long");
  if (!http_headers_clean (spec->path) || strchr (spec->path, ' ') != NULL)
    return status_fail (STATUS_INVALID, "a path must not hold spaces or control characters");
  for (size_t i = 0; i < spec->n_headers; i++)
    if (!http_headers_clean (spec->headers[i].name) || !http_headers_clean (spec->headers[i].value))
      return status_fail (STATUS_INVALID, "a header must not hold control characters");
  return inet_address_parse (spec->address, address);
}

static struct http_call *
make_call (struct client *client, const struct http_call_spec *spec, struct http_call_sink *sink)
{
  struct http_call *call = talloc_zero (client, struct http_call);

  if (call == NULL)
    return NULL;
  call->client = client;
  call->sink = sink;
  call->timer.ops = &client_call_timer_ops;
  call->deadline = spec->deadline;
  text_copy_cut (call->address, sizeof call->address, spec->address);
  call->method = talloc_strdup (call, spec->method);
  call->body = talloc_memdup (call, spec->body_length > 0 ? spec->body : "", spec->body_length + 1);
  call->body_length = spec->body_length;
  call->max_body_bytes =
      spec->max_body_bytes > 0 ? spec->max_body_bytes : client->config.answer_bytes_max;
  if (call->method == NULL || call->body == NULL || !copy_headers (call, spec))
    {
      talloc_free (call);
      return NULL;
    }
  return call;
}

/* Have lws connect, or use the slot's idle connection; false when neither works. */
static bool
connect_call (struct http_call *call, const char *path, const struct inet_address *address)
{
  struct client_slot *slot = call->slot;
  struct lws *idle = slot->wsi;
  struct lws_client_connect_info info = {
    .context = loop_context (call->client->config.loop),
    .address = address->ip,
    .port = address->port,
    .path = path,
    .host = address->ip, /* lws finds the idle connection by this */
    .method = call->method,
    .protocol = client_protocols[0].name,
    .vhost = slot->vhost,
    .alpn = "http/1.1",
    .opaque_user_data = call,
    .pwsi = &slot->wsi,
    .keep_warm_secs = KEEP_SECONDS,
    .ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT,
  };

  /* Addresses are IP numbers, which lws cannot match with a certificate's: whoever the authority
   * of `tls_ca` certified is trusted. */
  if (call->client->config.tls_ca != NULL)
    info.ssl_connection |= LCCSCF_USE_SSL | LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
  slot->call = call;
  call->starting = true;
  if (lws_client_connect_via_info (&info) == NULL)
    {
      if (slot->wsi == NULL || slot->wsi == idle)
        slot->wsi = NULL;
      return false;
    }
  call->starting = false;
  return true;
}

static enum status
start (struct http_client *http,
       const struct http_call_spec *spec,
       struct http_call_sink *sink,
       int64_t now,
       struct http_call **out)
{
  struct client *client = (struct client *) http;
  struct inet_address address;
  struct http_call *call;
  int64_t connect_until = now + client->config.connect_timeout;
  enum status status = check_spec (spec, &address);

  if (status != STATUS_OK)
    return status;
  if (client->n_calls >= client->config.calls_max)
    return status_fail (STATUS_LIMIT, "%u calls at one time are the limit", client->n_calls);
  call = make_call (client, spec, sink);
  if (call != NULL)
    call->slot = take_slot (client, call->address);
  if (call == NULL || call->slot == NULL)
    {
      talloc_free (call);
      return status_fail (STATUS_NO_MEMORY, "no memory for a call");
    }
  client->n_calls++;
  timer_arm (client->timers, &call->timer,
             connect_until < spec->deadline ? connect_until : spec->deadline);
  if (!connect_call (call, spec->path, &address))
    {
      struct client_slot *slot = call->slot;

      client_call_free (call, false);
      if (slot->wsi == NULL)
        DL_PREPEND (client->free, slot);
      return status_fail (STATUS_UNAVAILABLE, "cannot connect to %s", spec->address);
    }
  client_count (client, CLIENT_CALLS);
  *out = call;
  return STATUS_OK;
}

static void
cancel (struct http_client *http, struct http_call *call)
{
  (void) http;
  client_call_free (call, false);
}

static const struct http_client_ops client_ops = { .start = start, .cancel = cancel };

static int
destroy_client (struct client *client)
{
  struct client_slot *slot;
  struct client_slot *next;

  DL_FOREACH_SAFE2 (client->slots, slot, next, all_next)
  {
    slot->client = NULL;
    if (slot->call != NULL)
      timer_disarm (client->timers, &slot->call->timer);
    slot->call = NULL;
    if (slot->wsi != NULL)
      lws_set_opaque_user_data (slot->wsi, NULL);
    lws_vhost_destroy (slot->vhost);
  }
  HASH_CLEAR (hh, client->endpoints);
  return 0;
}

struct http_client *
http_client_new (void *parent, const struct http_client_config *config)
{
  static const char *const names[][2] = {
#define X(name, text, help) { text, help },
    CLIENT_COUNTER_LIST (X)
#undef X
  };
  struct client *client = talloc_zero (parent, struct client);

  if (client == NULL)
    return NULL;
  client->http.ops = &client_ops;
  client->config = *config;
  client->config.tls_ca = talloc_strdup (client, config->tls_ca);
  client->timers = loop_timers (config->loop);
  for (int i = 0; i < CLIENT_COUNTER_COUNT && config->counters != NULL; i++)
    client->counters[i] = counter_get (config->counters, names[i][0], names[i][1], NULL);
  talloc_set_destructor (client, destroy_client);
  return &client->http;
}
