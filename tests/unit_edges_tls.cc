// TLS towards callers and operators, with a certificate made for the test.
#include "http_client.h"
#include "unit_edges_support.h"
#include <cstdlib>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

namespace
{

// A self-signed certificate and its key in a directory of their own.
struct certificate
{
  char directory[32] = "/tmp/edges-tls-XXXXXX";
  std::string certificate_path;
  std::string key_path;

  certificate ()
  {
    EVP_PKEY *key = EVP_EC_gen ("P-256");
    X509 *made = X509_new ();
    X509_NAME *name = X509_get_subject_name (made);
    FILE *file;

    EXPECT_NE (mkdtemp (directory), nullptr);
    certificate_path = std::string (directory) + "/certificate";
    key_path = std::string (directory) + "/key";
    X509_set_version (made, 2);
    ASN1_INTEGER_set (X509_get_serialNumber (made), 1);
    X509_gmtime_adj (X509_getm_notBefore (made), -3600);
    X509_gmtime_adj (X509_getm_notAfter (made), 86400);
    X509_NAME_add_entry_by_txt (name, "CN", MBSTRING_ASC,
                                reinterpret_cast<const unsigned char *> ("host"), -1, -1, 0);
    X509_set_issuer_name (made, name);
    X509_set_pubkey (made, key);
    X509_sign (made, key, EVP_sha256 ());
    file = fopen (certificate_path.c_str (), "w");
    PEM_write_X509 (file, made);
    fclose (file);
    file = fopen (key_path.c_str (), "w");
    PEM_write_PrivateKey (file, key, nullptr, nullptr, 0, nullptr, nullptr);
    fclose (file);
    X509_free (made);
    EVP_PKEY_free (key);
  }

  certificate (const certificate &) = delete;

  ~certificate ()
  {
    unlink (certificate_path.c_str ());
    unlink (key_path.c_str ());
    rmdir (directory);
  }
};

struct tls_call
{
  struct http_call_sink sink; // first
  std::string body;
  int ends = 0;
  int failures = 0;
};

void
on_head (struct http_call_sink *, int, const struct http_field *, size_t, int64_t)
{
}

void
on_data (struct http_call_sink *sink, const void *data, size_t length, int64_t)
{
  reinterpret_cast<struct tls_call *> (sink)->body.append (static_cast<const char *> (data),
                                                           length);
}

void
on_end (struct http_call_sink *sink, int64_t)
{
  reinterpret_cast<struct tls_call *> (sink)->ends++;
}

void
on_failed (struct http_call_sink *sink, enum status, bool, int64_t)
{
  reinterpret_cast<struct tls_call *> (sink)->failures++;
}

const struct http_call_sink_ops sink_ops = {
  .head = on_head, .data = on_data, .end = on_end, .failed = on_failed
};

void
call (struct test_server &server, const std::string &authority, struct tls_call &out)
{
  struct http_client_config config = {};
  std::string address = "127.0.0.1:" + std::to_string (server.port ());
  std::string body (200000, 't');
  struct http_call_spec spec = {};
  struct http_call *started = nullptr;
  struct http_client *client;

  config.loop = server.loop;
  config.calls_max = 10;
  config.answer_bytes_max = 1 << 20;
  config.connect_timeout = 10 * USEC_PER_SEC;
  config.tls_ca = authority.c_str ();
  client = http_client_new (server.loop, &config);
  out.sink.ops = &sink_ops;
  spec.address = address.c_str ();
  spec.method = "POST";
  spec.path = "/tls";
  spec.body = body.data ();
  spec.body_length = body.size ();
  spec.deadline = loop_now (server.loop) + EVENT_WAIT;
  ASSERT_EQ (client->ops->start (client, &spec, &out.sink, loop_now (server.loop), &started),
             STATUS_OK);
  ASSERT_TRUE (run_until (server.loop, [&] { return out.ends + out.failures > 0; }));
}

// A caller that trusts the certificate gets its whole answer; one that trusts another does not
// speak to the server; one without TLS gets nothing from a route.
TEST (HttpTls, ServesWhoTrustsTheCertificate)
{
  struct certificate own;
  struct certificate other;
  struct test_server server (test_server::ordinary_limits (), own.certificate_path.c_str (),
                             own.key_path.c_str ());
  struct tls_call trusting = {};
  struct tls_call doubting = {};

  call (server, own.certificate_path, trusting);
  EXPECT_EQ (trusting.ends, 1);
  EXPECT_EQ (trusting.body, "POST /tls? " + std::string (200000, 't'));
  call (server, other.certificate_path, doubting);
  EXPECT_EQ (doubting.failures, 1);
  struct raw_caller plain (server.loop, server.port ());
  plain.send ("GET /plain HTTP/1.1\r\nhost: h\r\n\r\n");
  EXPECT_TRUE (plain.wait_closed ());
  struct raw_caller target (server.loop, server.port (HTTP_LISTENER_TARGETS));
  target.send ("GET /plain HTTP/1.1\r\nhost: h\r\n\r\n");
  EXPECT_TRUE (target.wait_for (" 404 ")); // targets speak plain HTTP
  EXPECT_EQ (server.paths, std::vector<std::string>{ "/tls" });
}

// The files of the settings are wrong: the server says so instead of serving without TLS.
TEST (HttpTls, RefusesToStartWithoutAGoodCertificate)
{
  struct loop *loop = loop_new (nullptr, 64);
  struct http_server_config config = {};

  config.loop = loop;
  config.listen[HTTP_LISTENER_CALLERS] = "127.0.0.1:0";
  config.tls_certificate = "/nonexistent/certificate";
  config.tls_key = "/nonexistent/key";
  EXPECT_EQ (http_server_new (loop, &config), nullptr);
  talloc_free (loop);
}

} // namespace
