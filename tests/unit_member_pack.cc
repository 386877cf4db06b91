// Messages between hosts: what was written is read back, and truncated or wrong input is refused.
#include "pack.h"
#include <gtest/gtest.h>
#include <string>

namespace
{

TEST (Pack, ReadsWhatWasWritten)
{
  struct bytes out;
  struct pack_reader reader;
  char text[8];
  size_t length;

  bytes_init (&out, nullptr);
  pack_array (&out, 5);
  pack_uint (&out, UINT64_MAX);
  pack_bool (&out, true);
  pack_double (&out, 0.1);
  pack_text (&out, "host-1");
  pack_binary (&out, "\0\1", 2);
  pack_reader_init (&reader, out.data, out.length);
  EXPECT_EQ (pack_read_array (&reader, 5), 5u);
  EXPECT_EQ (pack_read_uint (&reader, UINT64_MAX), UINT64_MAX);
  EXPECT_TRUE (pack_read_bool (&reader));
  EXPECT_EQ (pack_read_double (&reader), 0.1);
  pack_read_text (&reader, text, sizeof text);
  EXPECT_STREQ (text, "host-1");
  EXPECT_EQ (std::string (static_cast<const char *> (pack_read_binary (&reader, 2, &length)), 2),
             std::string ("\0\1", 2));
  EXPECT_TRUE (pack_read_is_complete (&reader));
  bytes_clear (&out);
}

// A faulty peer, or anyone who can reach the port, sends a message that is truncated anywhere or
// states lengths beyond its end.  No byte outside the message may be read, and the decoder must
// report the failure at its end.
TEST (Pack, RefusesTruncatedMessagesAndExceededLimits)
{
  struct bytes out;
  char text[8];
  size_t length;

  bytes_init (&out, nullptr);
  pack_uint (&out, 70000);
  pack_text (&out, "1234567");
  pack_binary (&out, "abcdef", 6);
  for (size_t cut = 0; cut < out.length; cut++)
    {
      std::string part (out.data, cut);
      struct pack_reader reader;

      pack_reader_init (&reader, part.data (), part.size ());
      pack_read_uint (&reader, UINT64_MAX);
      pack_read_text (&reader, text, sizeof text);
      pack_read_binary (&reader, 6, &length);
      EXPECT_FALSE (pack_read_is_ok (&reader)) << cut;
    }
  struct pack_reader small;
  pack_reader_init (&small, out.data, out.length);
  EXPECT_EQ (pack_read_uint (&small, 69999), 0u);
  EXPECT_FALSE (pack_read_is_ok (&small));
  struct pack_reader other;
  pack_reader_init (&other, out.data, out.length);
  EXPECT_FALSE (pack_read_bool (&other));
  EXPECT_FALSE (pack_read_is_complete (&other));
  bytes_clear (&out);
}

} // namespace
