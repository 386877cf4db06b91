// TLS for callers and operators, with a certificate created by the test.
#include "certificate.h"
#include "http_client.h"
#include "unit_edges_support.h"

namespace
{

struct tls_call
{
  struct http_call_sink sink; // must be the first member
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
  .may_send = nullptr, .head = on_head, .data = on_data, .end = on_end, .failed = on_failed
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

// A caller that trusts the certificate gets its complete answer; one that trusts another
// certificate refuses the server; one without TLS gets no answer of a route.
TEST (HttpTls, ServesCallersThatTrustTheCertificate)
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
  EXPECT_TRUE (target.wait_for (" 404 ")); // targets use plain HTTP
  EXPECT_EQ (server.paths, std::vector<std::string>{ "/tls" });
}

// The configured files are invalid: the server reports an error instead of serving without TLS.
TEST (HttpTls, RefusesToStartWithoutAValidCertificate)
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
