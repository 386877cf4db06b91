/* Client TLS sessions: OpenSSL over memory BIOs. */
#include "tls_session.h"
#include <limits.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <talloc.h>

#define PIECE_BYTES 16384

struct tls_trust
{
  SSL_CTX *context;
};

struct tls_session
{
  SSL *ssl;
  BIO *in; /* both owned by `ssl` */
  BIO *out;
};

static enum status
tls_failed (const char *what)
{
  char reason[160];
  unsigned long error = ERR_get_error ();

  ERR_error_string_n (error, reason, sizeof reason);
  ERR_clear_error ();
  return status_fail (STATUS_IO, "%s: %s", what, error == 0 ? "no reason given" : reason);
}

static int
free_trust (struct tls_trust *trust)
{
  SSL_CTX_free (trust->context);
  return 0;
}

struct tls_trust *
tls_trust_new (void *parent, const char *ca_file)
{
  struct tls_trust *trust = talloc_zero (parent, struct tls_trust);

  if (trust == NULL)
    return NULL;
  trust->context = SSL_CTX_new (TLS_client_method ());
  talloc_set_destructor (trust, free_trust);
  if (trust->context == NULL || SSL_CTX_load_verify_locations (trust->context, ca_file, NULL) != 1)
    {
      tls_failed (ca_file);
      talloc_free (trust);
      return NULL;
    }
  /* Servers are addressed by IP address, which their certificates need not contain, so no host name
   * is checked: any certificate of the authority is trusted. */
  SSL_CTX_set_verify (trust->context, SSL_VERIFY_PEER, NULL);
  SSL_CTX_set_min_proto_version (trust->context, TLS1_2_VERSION);
  return trust;
}

static int
free_session (struct tls_session *session)
{
  SSL_free (session->ssl);
  return 0;
}

struct tls_session *
tls_session_new (void *parent, const struct tls_trust *trust)
{
  struct tls_session *session = talloc_zero (parent, struct tls_session);

  if (session == NULL)
    return NULL;
  session->ssl = SSL_new (trust->context);
  session->in = BIO_new (BIO_s_mem ());
  session->out = BIO_new (BIO_s_mem ());
  if (session->ssl == NULL || session->in == NULL || session->out == NULL)
    {
      BIO_free (session->in);
      BIO_free (session->out);
      SSL_free (session->ssl);
      talloc_free (session);
      return NULL;
    }
  SSL_set_bio (session->ssl, session->in, session->out);
  SSL_set_connect_state (session->ssl);
  talloc_set_destructor (session, free_session);
  return session;
}

/* ---- bytes ---- */

static enum status
drain_output (struct tls_session *session, struct bytes *out)
{
  char piece[PIECE_BYTES];
  int n;

  while ((n = BIO_read (session->out, piece, sizeof piece)) > 0)
    bytes_append (out, piece, (size_t) n);
  return bytes_has_failed (out) ? status_fail (STATUS_NO_MEMORY, "out of memory") : STATUS_OK;
}

static bool
wants_more (const struct tls_session *session, int result)
{
  return SSL_get_error (session->ssl, result) == SSL_ERROR_WANT_READ;
}

static enum status
do_handshake (struct tls_session *session)
{
  int result;

  ERR_clear_error ();
  result = SSL_do_handshake (session->ssl);
  return result == 1 || wants_more (session, result) ? STATUS_OK : tls_failed ("no TLS session");
}

static enum status
read_plain (struct tls_session *session, struct bytes *plain)
{
  char piece[PIECE_BYTES];
  int n;

  ERR_clear_error ();
  while ((n = SSL_read (session->ssl, piece, sizeof piece)) > 0)
    bytes_append (plain, piece, (size_t) n);
  if (bytes_has_failed (plain))
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  if (wants_more (session, n) || SSL_get_error (session->ssl, n) == SSL_ERROR_ZERO_RETURN)
    return STATUS_OK;
  return tls_failed ("TLS session broken");
}

enum status
tls_session_begin (struct tls_session *session, struct bytes *out)
{
  enum status status = do_handshake (session);

  return status != STATUS_OK ? status : drain_output (session, out);
}

bool
tls_session_is_ready (const struct tls_session *session)
{
  return SSL_is_init_finished (session->ssl) == 1;
}

enum status
tls_session_read (struct tls_session *session,
                  const char *data,
                  size_t length,
                  struct bytes *plain,
                  struct bytes *out)
{
  enum status status = STATUS_OK;
  enum status sent;

  if (length > INT_MAX || BIO_write (session->in, data, (int) length) != (int) length)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  if (!tls_session_is_ready (session))
    status = do_handshake (session);
  if (status == STATUS_OK && tls_session_is_ready (session))
    status = read_plain (session, plain);
  sent = drain_output (session, out);
  return status != STATUS_OK ? status : sent;
}

enum status
tls_session_write (struct tls_session *session, const char *data, size_t length, struct bytes *out)
{
  ERR_clear_error ();
  if (length > INT_MAX
      || (length > 0 && SSL_write (session->ssl, data, (int) length) != (int) length))
    return tls_failed ("cannot send over TLS");
  return drain_output (session, out);
}
