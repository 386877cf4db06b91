// Texts compressed for the wire, and the history that they are differences from.
#include "document_history.h"
#include "patch.h"
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>

namespace
{

struct text_bytes
{
  struct bytes bytes;

  explicit text_bytes (const std::string &text = "")
  {
    bytes_init (&bytes, nullptr);
    if (!text.empty ())
      bytes_append (&bytes, text.data (), text.size ());
  }

  text_bytes (const text_bytes &) = delete;

  ~text_bytes ()
  {
    bytes_clear (&bytes);
  }

  std::string
  text () const
  {
    return bytes.data == nullptr ? "" : std::string (bytes.data, bytes.length);
  }
};

constexpr size_t text_max = 1u << 20;

// A text of many short numbers, one of them changed by `salt`.
std::string
numbers (int n, int salt)
{
  std::string text;

  for (int i = 0; i < n; i++)
    text += std::to_string ((i == n / 2 ? salt : 0) + i * 7919 % 10007) + ",";
  return text;
}

TEST (Patch, RestoresTheText)
{
  for (int n : { 0, 1, 50, 5000, 150000 })
    for (bool whole : { false, true })
      {
        text_bytes base (numbers (n, 1));
        text_bytes text (numbers (n, 2) + "end");
        text_bytes patch;
        text_bytes out;

        ASSERT_EQ (patch_write (whole ? nullptr : &base.bytes, &text.bytes, &patch.bytes),
                   STATUS_OK);
        ASSERT_EQ (patch_read (whole ? nullptr : &base.bytes, patch.bytes.data, patch.bytes.length,
                               text_max, &out.bytes),
                   STATUS_OK);
        EXPECT_EQ (out.text (), text.text ());
        if (!whole && n == 150000)
          {
            EXPECT_LT (patch.bytes.length, 1000u);
          }
      }
}

// Guards against a configuration that is put together from two others.
TEST (Patch, RefusesAnotherBase)
{
  text_bytes base (numbers (5000, 1));
  text_bytes other (numbers (5000, 1) + "0,");
  text_bytes text (numbers (5000, 2));
  text_bytes patch;
  text_bytes out;

  ASSERT_EQ (patch_write (&base.bytes, &text.bytes, &patch.bytes), STATUS_OK);
  EXPECT_EQ (patch_read (&other.bytes, patch.bytes.data, patch.bytes.length, text_max, &out.bytes),
             STATUS_CORRUPT);
  EXPECT_EQ (patch_read (nullptr, patch.bytes.data, patch.bytes.length, text_max, &out.bytes),
             STATUS_CORRUPT);
  EXPECT_EQ (out.bytes.length, 0u);
}

// Guards against memory taken for a size that a damaged message states, and against parts of texts.
TEST (Patch, RefusesDamagedPatches)
{
  text_bytes text (numbers (5000, 2));
  text_bytes patch;
  text_bytes out;

  ASSERT_EQ (patch_write (nullptr, &text.bytes, &patch.bytes), STATUS_OK);
  for (size_t length = 0; length < patch.bytes.length; length += 1 + length / 4)
    EXPECT_EQ (patch_read (nullptr, patch.bytes.data, length, text_max, &out.bytes),
               STATUS_CORRUPT);
  EXPECT_EQ (
      patch_read (nullptr, patch.bytes.data, patch.bytes.length, text.bytes.length - 1, &out.bytes),
      STATUS_CORRUPT);
  for (size_t i = 0; i < patch.bytes.length; i += 97)
    {
      patch.bytes.data[i] ^= 0x10;
      EXPECT_NE (patch_read (nullptr, patch.bytes.data, patch.bytes.length, text_max, &out.bytes),
                 STATUS_OK)
          << i;
      patch.bytes.data[i] ^= 0x10;
    }
  EXPECT_EQ (out.bytes.length, 0u);
}

class DocumentHistoryTest : public ::testing::Test
{
protected:
  struct document_history *history = document_history_new (nullptr);

  ~DocumentHistoryTest () override
  {
    talloc_free (history);
  }

  void
  add (uint64_t version, const std::string &text)
  {
    text_bytes bytes (text);

    document_history_add (history, version, &bytes.bytes);
  }

  // The newest text, as a reader that holds the given one decodes it.
  std::string
  read (uint64_t held, const std::string &held_text, uint64_t *base)
  {
    const struct bytes *patch = document_history_encode (history, held, base);
    text_bytes from (held_text);
    text_bytes out;

    if (patch == nullptr
        || patch_read (*base == 0 ? nullptr : &from.bytes, patch->data, patch->length, text_max,
                       &out.bytes)
               != STATUS_OK)
      return "unreadable";
    return out.text ();
  }
};

TEST_F (DocumentHistoryTest, SendsDifferencesFromTheVersionsThatItKeeps)
{
  uint64_t base = 1;

  EXPECT_EQ (document_history_encode (history, 0, &base), nullptr);
  for (uint64_t version = 1; version <= 20; version++)
    add (version, numbers (1000, static_cast<int> (version)));
  for (int again = 0; again < 2; again++)
    for (uint64_t held = 0; held < 20; held++)
      {
        EXPECT_EQ (read (held, numbers (1000, static_cast<int> (held)), &base), numbers (1000, 20));
        EXPECT_EQ (base, held >= 5 ? held : 0);
      }
  add (21, "other");
  EXPECT_EQ (read (20, numbers (1000, 20), &base), "other");
  EXPECT_EQ (base, 20u);
}

// Guards against memory that large configurations take at a controller.
TEST_F (DocumentHistoryTest, KeepsTheNewestOfLargeTexts)
{
  std::string large (3u << 20, 'x');
  uint64_t base;

  for (uint64_t version = 1; version <= 3; version++)
    add (version, large);
  (void) document_history_encode (history, 2, &base);
  EXPECT_EQ (base, 2u);
  (void) document_history_encode (history, 1, &base);
  EXPECT_EQ (base, 0u);
  EXPECT_LT (talloc_total_size (history), 16u << 20);
}

}
