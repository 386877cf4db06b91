/* A client's TLS session apart from its connection: bytes in, bytes out. */
#ifndef TLS_SESSION_H
#define TLS_SESSION_H

#include "bytes.h"
#include "decls.h"
#include "status.h"
#include <stdbool.h>
#include <stddef.h>

BEGIN_DECLS

/* Whose certificates are trusted. */
struct tls_trust;

/* `ca_file` holds the authority's certificate.  NULL with status_message() when it cannot be read.
 */
struct tls_trust *tls_trust_new (void *parent, const char *ca_file);

struct tls_session;

/* NULL when memory is out.  Freed before its trust. */
struct tls_session *tls_session_new (void *parent, const struct tls_trust *trust);

/* The first bytes to send are appended to `out`. */
enum status tls_session_begin (struct tls_session *session, struct bytes *out);

/* Is the handshake done?  Only then may tls_session_write() be called. */
bool tls_session_is_ready (const struct tls_session *session);

/* Take bytes that came: what they say is appended to `plain`, what is to be sent for them to `out`.
 * On failure the connection is of no use, but for what is in `out`. */
enum status tls_session_read (struct tls_session *session,
                              const char *data,
                              size_t length,
                              struct bytes *plain,
                              struct bytes *out);

/* What is to be sent for `data` is appended to `out`. */
enum status tls_session_write (struct tls_session *session,
                               const char *data,
                               size_t length,
                               struct bytes *out);

END_DECLS

#endif
