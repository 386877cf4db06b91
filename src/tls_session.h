/* Client TLS session independent of the transport: converts between TLS records and plaintext. */
#ifndef TLS_SESSION_H
#define TLS_SESSION_H

#include "bytes.h"
#include "decls.h"
#include "status.h"
#include <stdbool.h>
#include <stddef.h>

BEGIN_DECLS

/* The certificate authority that servers are verified against. */
struct tls_trust;

/* `ca_file` holds the authority's certificate.  NULL, with status_message() set, when it cannot be
 * loaded. */
struct tls_trust *tls_trust_new (void *parent, const char *ca_file);

struct tls_session;

/* NULL when memory is out.  The session must be freed before `trust`. */
struct tls_session *tls_session_new (void *parent, const struct tls_trust *trust);

/* Start the handshake; the first bytes to send are appended to `out`. */
enum status tls_session_begin (struct tls_session *session, struct bytes *out);

/* Is the handshake complete?  tls_session_write() requires it. */
bool tls_session_is_ready (const struct tls_session *session);

/* Process received bytes: plaintext is appended to `plain`, bytes to send to `out`.  After a
 * failure the session is unusable; `out` (an alert) should still be sent and `plain` is valid. */
enum status tls_session_read (struct tls_session *session,
                              const char *data,
                              size_t length,
                              struct bytes *plain,
                              struct bytes *out);

/* Encrypt `data` and append the records to `out`. */
enum status tls_session_write (struct tls_session *session,
                               const char *data,
                               size_t length,
                               struct bytes *out);

END_DECLS

#endif
