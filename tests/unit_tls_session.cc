// Client TLS sessions against an in-memory server: segmented and damaged records, untrusted
// servers.
#include "certificate.h"
#include "tls_session.h"
#include <openssl/ssl.h>
#include <talloc.h>

namespace
{

// An OpenSSL server over memory BIOs.
struct memory_server
{
  SSL_CTX *context = SSL_CTX_new (TLS_server_method ());
  SSL *ssl;
  BIO *in = BIO_new (BIO_s_mem ());
  BIO *out = BIO_new (BIO_s_mem ());
  std::string got;

  explicit memory_server (const certificate &own)
  {
    EXPECT_EQ (
        SSL_CTX_use_certificate_file (context, own.certificate_path.c_str (), SSL_FILETYPE_PEM), 1);
    EXPECT_EQ (SSL_CTX_use_PrivateKey_file (context, own.key_path.c_str (), SSL_FILETYPE_PEM), 1);
    ssl = SSL_new (context);
    SSL_set_bio (ssl, in, out);
    SSL_set_accept_state (ssl);
  }

  memory_server (const memory_server &) = delete;

  ~memory_server ()
  {
    SSL_free (ssl);
    SSL_CTX_free (context);
  }

  void
  take (const std::string &bytes)
  {
    char piece[4096];
    int n;

    BIO_write (in, bytes.data (), static_cast<int> (bytes.size ()));
    while ((n = SSL_read (ssl, piece, sizeof piece)) > 0)
      got.append (piece, static_cast<size_t> (n));
  }

  void
  say (const std::string &text)
  {
    EXPECT_EQ (SSL_write (ssl, text.data (), static_cast<int> (text.size ())),
               static_cast<int> (text.size ()));
  }

  // Take the bytes to send to the client.
  std::string
  sent ()
  {
    std::string all;
    char piece[4096];
    int n;

    while ((n = BIO_read (out, piece, sizeof piece)) > 0)
      all.append (piece, static_cast<size_t> (n));
    return all;
  }
};

std::string
take_text (struct bytes *from)
{
  std::string text (from->data == nullptr ? "" : from->data, from->length);

  bytes_clear (from);
  return text;
}

class TlsSession : public ::testing::Test
{
protected:
  certificate own;
  void *parent = talloc_new (nullptr);
  memory_server server{ own };
  struct tls_session *session = nullptr;
  std::string plain;

  void
  trust (const certificate &whom)
  {
    struct tls_trust *trust = tls_trust_new (parent, whom.certificate_path.c_str ());

    ASSERT_NE (trust, nullptr) << status_message ();
    session = tls_session_new (trust, trust);
    ASSERT_NE (session, nullptr);
  }

  void
  TearDown () override
  {
    talloc_free (session);
    talloc_free (parent);
  }

  // Feed `wire` to the client in pieces of `step` bytes and pass its output to the server.
  enum status
  feed (const std::string &wire, size_t step)
  {
    enum status status = STATUS_OK;

    for (size_t at = 0; at < wire.size () && status == STATUS_OK; at += step)
      {
        std::string part = wire.substr (at, step);
        struct bytes said;
        struct bytes out;

        bytes_init (&said, nullptr);
        bytes_init (&out, nullptr);
        status = tls_session_read (session, part.data (), part.size (), &said, &out);
        plain += take_text (&said);
        server.take (take_text (&out));
      }
    return status;
  }

  enum status
  shake_hands (size_t step)
  {
    struct bytes out;
    enum status status;

    bytes_init (&out, nullptr);
    status = tls_session_begin (session, &out);
    server.take (take_text (&out));
    for (int i = 0; i < 4 && status == STATUS_OK && !tls_session_is_ready (session); i++)
      status = feed (server.sent (), step);
    return status;
  }

  enum status
  write (const std::string &text)
  {
    struct bytes out;
    enum status status;

    bytes_init (&out, nullptr);
    status = tls_session_write (session, text.data (), text.size (), &out);
    server.take (take_text (&out));
    return status;
  }
};

// A handshake and records work in any segmentation.
TEST_F (TlsSession, WorksWithAnySegmentation)
{
  const std::string text (100000, 'x');

  for (size_t step : { 1, 7, 1000, 1000000 })
    {
      memory_server *fresh = &server;

      fresh->~memory_server ();
      new (fresh) memory_server (own);
      plain.clear ();
      trust (own);
      ASSERT_EQ (shake_hands (step), STATUS_OK) << status_message ();
      ASSERT_TRUE (tls_session_is_ready (session));
      EXPECT_EQ (write (text), STATUS_OK);
      EXPECT_EQ (server.got, text);
      server.say (text);
      EXPECT_EQ (feed (server.sent (), step), STATUS_OK);
      EXPECT_EQ (plain, text) << step;
      talloc_free (session);
      session = nullptr;
    }
}

// Failure: the handshake succeeds with a server whose certificate is not from the trusted
// authority.
TEST_F (TlsSession, HandshakeFailsWithAnUntrustedServer)
{
  certificate other;

  trust (other);
  EXPECT_NE (shake_hands (1000000), STATUS_OK);
  EXPECT_FALSE (tls_session_is_ready (session));
  EXPECT_EQ (plain, "");
}

// A byte of a record is changed in transit: the records before it are delivered, nothing after it.
TEST_F (TlsSession, FailsAtADamagedRecord)
{
  trust (own);
  ASSERT_EQ (shake_hands (1000000), STATUS_OK);
  server.say ("first");
  std::string first = server.sent ();
  server.say ("second");
  std::string second = server.sent ();
  second[second.size () / 2] ^= 1;
  server.say ("third");
  EXPECT_NE (feed (first + second + server.sent (), 1000000), STATUS_OK);
  EXPECT_EQ (plain, "first");
}

// The CA file is missing or contains no certificate.
TEST_F (TlsSession, RejectsAnInvalidCaFile)
{
  EXPECT_EQ (tls_trust_new (parent, "/nonexistent/certificate"), nullptr);
  EXPECT_EQ (tls_trust_new (parent, own.key_path.c_str ()), nullptr);
}

} // namespace
