// SSE decoder, and checks of targets' answers: only complete and well-formed ones are accepted.
#include "sse.h"
#include "stage.h"
#include <cstdlib>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

struct recorder
{
  struct sse_sink sink;
  std::vector<std::string> events;
  size_t stop_after = SIZE_MAX;
};

bool
record (struct sse_sink *sink, const char *name, const char *data, size_t length)
{
  auto *self = reinterpret_cast<struct recorder *> (sink);

  self->events.push_back (std::string (name) + "|" + std::string (data, length));
  return self->events.size () < self->stop_after;
}

const struct sse_sink_ops recorder_ops = { .event = record };

class Sse : public ::testing::Test
{
protected:
  void *memory = talloc_new (nullptr);
  struct sse_decoder decoder;
  struct recorder recorder = { .sink = { .ops = &recorder_ops }, .events = {} };

  void
  SetUp () override
  {
    sse_init (&decoder, memory, 64);
  }

  void
  TearDown () override
  {
    talloc_free (memory);
  }

  enum status
  feed (const std::string &text)
  {
    return sse_feed (&decoder, text.data (), text.size (), &recorder.sink);
  }
};

// The network may split a stream at any byte, also within a line break.
TEST_F (Sse, SplitsAnywhereGiveTheSameEvents)
{
  const std::string stream =
      ": note\r\nevent: token\r\ndata: one\r\ndata:two\r\n\r\ndata: three\n\nid: 4\n\n";
  const std::vector<std::string> expected = { "token|one\ntwo", "|three" };

  for (size_t cut = 0; cut <= stream.size (); cut++)
    {
      recorder.events.clear ();
      ASSERT_EQ (feed (stream.substr (0, cut)), STATUS_OK);
      ASSERT_EQ (feed (stream.substr (cut)), STATUS_OK);
      ASSERT_EQ (recorder.events, expected) << cut;
    }
}

TEST_F (Sse, AnEventOverTheSizeLimitIsRejected)
{
  EXPECT_EQ (feed ("data: " + std::string (40, 'x') + "\n"), STATUS_OK);
  EXPECT_EQ (feed ("data: " + std::string (40, 'x') + "\n"), STATUS_TOO_LARGE);
}

TEST_F (Sse, ASinkThatCancelsGetsNoMoreEvents)
{
  recorder.stop_after = 1;
  EXPECT_EQ (feed ("data: a\n\ndata: b\n\n"), STATUS_CANCELLED);
  EXPECT_EQ (recorder.events.size (), 1u);
}

// Memory runs out in a line: the event so far must not be delivered as if it were complete.
TEST_F (Sse, AnEventWithoutMemoryForALineIsNotDelivered)
{
  sse_init (&decoder, memory, 65536);
  EXPECT_EQ (feed ("data: a\n"), STATUS_OK);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated-declarations"
  ASSERT_EQ (talloc_set_memlimit (memory, talloc_total_size (memory) + 1024), 0);
#pragma GCC diagnostic pop
  EXPECT_EQ (feed ("data: " + std::string (8192, 'b') + "\n\n"), STATUS_NO_MEMORY);
  EXPECT_TRUE (recorder.events.empty ());
}

class Stage : public ::testing::Test
{
protected:
  struct stage_data data
  {
  };
  struct stage_usage usage
  {
  };

  void
  SetUp () override
  {
    data.input = json_string ("query");
    data.documents = json_pack ("[{s:s,s:s},{s:s,s:s},{s:s,s:s}]", "id", "a", "text", "A", "id",
                                "b", "text", "B", "id", "c", "text", "C");
  }

  void
  TearDown () override
  {
    stage_data_clear (&data);
  }

  enum status
  take (enum stage_kind kind, uint32_t top, const std::string &body)
  {
    struct stage_spec spec = {};

    spec.kind = kind;
    spec.top = top;
    return stage_accept_answer (&spec, &data, body.data (), body.size (), &usage);
  }

  std::string
  documents ()
  {
    std::string ids;

    for (size_t i = 0; i < json_array_size (data.documents); i++)
      ids += json_string_value (json_object_get (json_array_get (data.documents, i), "id"));
    return ids;
  }
};

TEST_F (Stage, OnlyWellFormedAnswersAreAccepted)
{
  struct
  {
    enum stage_kind kind;
    uint32_t top;
    const char *body;
    enum status expected;
  } cases[] = {
    { STAGE_ENCODE, 0, R"({"data": [{"embedding": [1, 2.5]}]})", STATUS_OK },
    { STAGE_ENCODE, 0, R"({"data": [{"embedding": []}]})", STATUS_MALFORMED },
    { STAGE_ENCODE, 0, R"({"data": [{"embedding": [1, "x"]}]})", STATUS_MALFORMED },
    { STAGE_ENCODE, 0, R"({"data": [{"embedding": [1]}]}{"data": []})", STATUS_MALFORMED },
    { STAGE_ENCODE, 0, R"({"data": [], "data": []})", STATUS_MALFORMED },
    { STAGE_ENCODE, 0, R"({"data": [{"embedding": [1, 2)", STATUS_MALFORMED },
    { STAGE_RETRIEVE, 2, R"({"documents": []})", STATUS_OK },
    { STAGE_RETRIEVE, 2, R"({"documents": [{"id": "a"}]})", STATUS_MALFORMED },
    { STAGE_RETRIEVE, 1, R"({"documents": [{"id":"a","text":""},{"id":"b","text":""}]})",
      STATUS_MALFORMED },
    { STAGE_RETRIEVE, 2, R"({})", STATUS_MALFORMED },
    { STAGE_CALL, 0, R"(["any", {"json": null}])", STATUS_OK },
    { STAGE_CALL, 0, "", STATUS_MALFORMED },
  };

  for (const auto &c : cases)
    EXPECT_EQ (take (c.kind, c.top, c.body), c.expected) << c.body;
}

// A body that is truncated at any byte, or followed by more data, must not be accepted.
TEST_F (Stage, AnAnswerThatIsTruncatedOrFollowedByDataIsRejected)
{
  const std::pair<enum stage_kind, std::string> answers[] = {
    { STAGE_ENCODE, R"({"data": [{"embedding": [0.5, 1]}], "usage": {"prompt_tokens": 3}})" },
    { STAGE_RERANK, R"({"results": [{"index": 2, "relevance_score": 0.9},)"
                    R"({"index": 0, "relevance_score": 0.1}]})" },
    { STAGE_RETRIEVE, R"({"documents": [{"id": "a", "text": "A"}]})" },
    { STAGE_CALL, R"({"order": [7, "\u00e9"]})" },
  };

  for (const auto &[kind, body] : answers)
    {
      for (size_t cut = 0; cut < body.size (); cut++)
        EXPECT_EQ (take (kind, 2, body.substr (0, cut)), STATUS_MALFORMED) << kind << " " << cut;
      EXPECT_EQ (take (kind, 2, body + "{}"), STATUS_MALFORMED) << kind;
      EXPECT_EQ (take (kind, 2, body), STATUS_OK) << kind;
    }
}

// A reranker that names a document twice, an unknown one or too few would put a wrong document
// before the generator: the answer is rejected and the documents stay.
TEST_F (Stage, ARerankMustNameEachDocumentOnce)
{
  const char *wrong[] = {
    R"({"results": [{"index": 1, "relevance_score": 1}, {"index": 1, "relevance_score": 1}]})",
    R"({"results": [{"index": 1, "relevance_score": 1}, {"index": 3, "relevance_score": 1}]})",
    R"({"results": [{"index": -1, "relevance_score": 1}, {"index": 0, "relevance_score": 1}]})",
    R"({"results": [{"index": 1, "relevance_score": 1}]})",
    R"({"results": [{"index": 1}, {"index": 0}]})",
  };

  for (const char *body : wrong)
    {
      EXPECT_EQ (take (STAGE_RERANK, 2, body), STATUS_MALFORMED) << body;
      EXPECT_EQ (documents (), "abc");
    }
  EXPECT_EQ (take (STAGE_RERANK, 2,
                   R"({"results": [{"index": 2,"relevance_score": 1},
                                   {"index": 0,"relevance_score": 0.5}]
})"),
             STATUS_OK);
  EXPECT_EQ (documents (), "ca");
}

// A parser that recurses once per bracket would overflow the stack and end the process.
TEST_F (Stage, DeepNestingIsRejectedBeforeParsing)
{
  EXPECT_EQ (take (STAGE_CALL, 0, std::string (100000, '[')), STATUS_MALFORMED);
  EXPECT_EQ (take (STAGE_CALL, 0, R"(["[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[[[["])"),
             STATUS_OK);
}

TEST_F (Stage, PiecesCarryTextIndexAndFinish)
{
  struct stage_piece piece;
  const std::string text = R"({"choices": [{"text":"ab","index": 3}]})";
  const std::string last = R"({"choices": [{"text": "", "finish_reason": "stop"}],)"
                           R"( "usage": {"prompt_tokens": 7, "cached_tokens": 4}})";
  const std::string no_index = R"({"choices": [{"text":"ab"}]})";

  ASSERT_EQ (stage_piece_parse (text.data (), text.size (), &piece), STATUS_OK);
  EXPECT_EQ (std::string (piece.text, piece.text_length), "ab");
  EXPECT_EQ (piece.index, 3u);
  EXPECT_FALSE (piece.finished);
  stage_piece_clear (&piece);
  ASSERT_EQ (stage_piece_parse (last.data (), last.size (), &piece), STATUS_OK);
  EXPECT_TRUE (piece.finished);
  EXPECT_EQ (piece.usage.cached_tokens, 4u);
  stage_piece_clear (&piece);
  EXPECT_EQ (stage_piece_parse (no_index.data (), no_index.size (), &piece), STATUS_MALFORMED);
  EXPECT_EQ (stage_piece_parse ("{}", 2, &piece), STATUS_MALFORMED);
}

// An index out of range must not be read as 0, the index of the first piece.
TEST_F (Stage, APieceWithAnInvalidIndexIsRejected)
{
  for (const char *index :
       { "-1", "4294967295", "4294967296", "9223372036854775807", "1.0", "\"1\"" })
    {
      const std::string text =
          R"({"choices": [{"text": "ab", "index": )" + std::string (index) + "}]}";
      struct stage_piece piece;

      EXPECT_EQ (stage_piece_parse (text.data (), text.size (), &piece), STATUS_MALFORMED) << index;
    }
}

// An engine that aborts reports it in the last piece: the text must not count as complete.
TEST_F (Stage, AnAbortedTextIsNotFinished)
{
  const std::map<std::string, enum status> reasons = {
    { "stop", STATUS_OK },         { "length", STATUS_OK },     { "abort", STATUS_MALFORMED },
    { "error", STATUS_MALFORMED }, { "sto", STATUS_MALFORMED }, { "", STATUS_MALFORMED },
  };

  for (const auto &[reason, expected] : reasons)
    {
      const std::string text =
          R"({"choices": [{"text": "", "index": 2, "finish_reason": ")" + reason + "\"}]}";
      struct stage_piece piece;

      EXPECT_EQ (stage_piece_parse (text.data (), text.size (), &piece), expected) << reason;
      stage_piece_clear (&piece);
    }
}

TEST_F (Stage, APromptIsTheInputAndOneLinePerDocument)
{
  struct stage_spec spec = {};
  struct stage_call call = { .max_tokens = 5, .priority = 9, .resume_from = 2 };

  spec.kind = STAGE_GENERATE;
  struct bytes body;
  bytes_init (&body, nullptr);
  stage_append_body (&spec, &data, &call, &body);
  EXPECT_STREQ (body.data, R"({"model":"","prompt":"query\nA\nB\nC","max_tokens":5,"stream":true,)"
                           R"("priority":9,"resume_from":2})");
  bytes_clear (&body);
}

} // namespace
