// Answers to a long request that arrive before all of it is sent.
#include "h1_client_harness.h"

namespace
{

const size_t UPLOAD_BYTES = 8u << 20; // more than the buffers of a connection take

class H1ClientUpload : public H1Client
{
protected:
  // Starts a call with a long request, of which the target reads the head alone.
  void
  upload (h1_probe &probe)
  {
    struct bytes message;

    bytes_init (&message, nullptr);
    bytes_append_format (&message, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
                         UPLOAD_BYTES);
    const std::string body (UPLOAD_BYTES, 'x');

    bytes_append (&message, body.data (), body.size ());
    EXPECT_EQ (h1_call_start (client, &probe.call, target->address ().c_str (), &message, false,
                              loop_now (loop)),
               STATUS_OK);
    bytes_clear (&message);
    EXPECT_TRUE (run_until (loop, [&] {
      char byte;
      int next = target->peer >= 0 ? -1 : accept (target->listener, nullptr, nullptr);

      target->peer = next >= 0 ? next : target->peer;
      return target->peer >= 0 && recv (target->peer, &byte, 1, MSG_DONTWAIT) == 1;
    }));
  }

  void
  turn (int turns)
  {
    for (int i = 0; i < turns; i++)
      loop_run_once (loop, USEC_PER_MSEC);
  }
};

// Failure: the beginning of an answer that only the end of its connection delimits is taken for a
// complete answer, as its target resets the connection while the request is still being sent.
TEST_F (H1ClientUpload, AnswerWithoutALengthIsNotWholeAfterAReset)
{
  // The reset meets the client before, while and after it reads the answer.
  for (int turns = 0; turns < 6; turns++)
    {
      h1_probe call (loop);

      upload (call);
      target->say ("HTTP/1.1 200 OK\r\n\r\nthe first part");
      turn (turns);
      target->hang_up (true);
      EXPECT_TRUE (call.wait ()) << turns;
      EXPECT_EQ (call.end, H1_END_RESET) << turns;
    }
}

// Failure: the same, where the target closes with a part of the request unread, which resets the
// connection too.
TEST_F (H1ClientUpload, AnswerWithoutALengthIsNotWholeIfItsRequestWasNotRead)
{
  for (int turns = 0; turns < 6; turns++)
    {
      h1_probe call (loop);

      upload (call);
      target->say ("HTTP/1.1 200 OK\r\n\r\nthe first part");
      turn (turns);
      target->hang_up ();
      EXPECT_TRUE (call.wait ()) << turns;
      EXPECT_EQ (call.end, H1_END_RESET) << turns;
    }
}

// Failure: an answer with a status that is none is passed on.
TEST_F (H1ClientUpload, StatusBelow100IsNoAnswer)
{
  for (const char *status : { "000", "001", "099" })
    {
      h1_probe call (loop);

      start (call);
      target->say (std::string ("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\nno");
      EXPECT_TRUE (call.wait ()) << status;
      EXPECT_EQ (call.end, H1_END_MALFORMED) << status;
      EXPECT_EQ (call.heads, 0) << status;
      target->hang_up ();
    }
}

}
