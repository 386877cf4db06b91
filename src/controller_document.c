/* Sends the configuration to entry hosts that request it. */
#include "controller_private.h"
#include "log.h"
#include <jansson.h>

void
controller_keep_document (struct controller *controller)
{
  const struct document *document = controller->config.document;

  if (document_version (document) > 0)
    document_history_add (controller->history, document_version (document),
                          document_text (document));
}

bool
controller_host_requests_documents (const struct entry_host_record *host)
{
  return host->requests_documents != 0 && host->requests_documents == host->info.incarnation;
}

static void
send_document (struct controller *controller,
               const struct sync_document_request *request,
               const char *host)
{
  struct sync_document header = {
    .number = request->number,
    .version = document_version (controller->config.document),
  };
  struct peer_port *port = controller->config.port;
  const struct bytes *text;
  struct bytes out;
  enum status status = STATUS_NO_MEMORY;

  text = document_history_encode (controller->history, request->held, &header.base);
  bytes_init (&out, NULL);
  if (text != NULL)
    {
      sync_write_header (SYNC_DOCUMENT, &out);
      sync_write_document (&header, &out);
      pack_binary (&out, text->data, text->length);
    }
  if (text != NULL && !bytes_has_failed (&out))
    status = port->ops->send (port, host, PEER_CHANNEL_SYNC, out.data, out.length);
  bytes_clear (&out);
  if (status == STATUS_OK)
    {
      counter_add (controller->documents, 1);
      counter_add (controller->document_bytes, (double) text->length);
      return;
    }
  /* The host asks another controller. */
  log_event (LOG_MODULE_STORE, LOG_LEVEL_WARNING, "document-not-sent", "{s:s,s:I,s:I,s:s}", "host",
             host, "version", (json_int_t) header.version, "held", (json_int_t) request->held,
             "outcome", status_text (status));
}

void
controller_handle_document_request (struct controller *controller,
                                    struct pack_reader *in,
                                    const char *from,
                                    int64_t now)
{
  struct sync_document_request request;
  struct entry_host_record *host;

  if (!sync_read_document_request (in, &request))
    {
      counter_add (controller->malformed, 1);
      return;
    }
  host = controller_add_host (controller, from, now);
  if (host == NULL)
    return;
  host->requests_documents = request.incarnation;
  if (request.wanted && document_version (controller->config.document) > request.held)
    send_document (controller, &request, from);
}
