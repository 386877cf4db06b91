// Expected answers of the replayer: an answer that ignored an input would hide a wrong stage, and
// one that depended on anything else would report correct answers as wrong.
#include "answer.h"
#include "site.h"
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>

namespace
{

class Answer : public testing::Test
{
protected:
  ~Answer () override
  {
    talloc_free (parent_);
  }

  std::string
  input_of (const struct trace_request &request)
  {
    struct bytes out;

    bytes_init (&out, parent_);
    answer_input (&request, &out);
    return std::string (out.data, out.length);
  }

  std::string
  pipeline_of (const struct pipeline_spec &spec, const std::string &input, uint32_t max_tokens)
  {
    struct bytes out;

    bytes_init (&out, parent_);
    EXPECT_TRUE (answer_pipeline (&spec, input.data (), input.size (), max_tokens, &out));
    return std::string (out.data, out.length);
  }

  void *parent_ = talloc_new (nullptr);
};

struct trace_request
request_of (const char *id, uint32_t document)
{
  struct trace_request request = {};

  strcpy (request.id, id);
  request.document = document;
  request.prefix_tokens = 100;
  request.input_tokens = 120;
  return request;
}

TEST_F (Answer, InputsShareTheirDocumentAndDifferInTheirQuestion)
{
  std::string a = input_of (request_of ("a", 7));
  std::string b = input_of (request_of ("b", 7));
  std::string other = input_of (request_of ("a", 8));

  EXPECT_EQ (a.size (), 480u);
  EXPECT_EQ (a.substr (0, 400), b.substr (0, 400));
  EXPECT_NE (a, b);
  EXPECT_NE (a.substr (0, 400), other.substr (0, 400));
}

TEST_F (Answer, DocumentsDependOnEmbeddingAndRank)
{
  struct answer_embedding embedding;
  struct answer_embedding wrong;
  struct answer_document first;
  struct answer_document second;
  struct answer_document mismatched;
  struct answer_document unembedded;

  answer_embed ("query", 5, &embedding);
  answer_embed ("quer", 4, &wrong);
  answer_retrieve ("query", 5, &embedding, 0, &first);
  answer_retrieve ("query", 5, &embedding, 1, &second);
  answer_retrieve ("query", 5, &wrong, 0, &mismatched);
  answer_retrieve ("query", 5, nullptr, 0, &unembedded);
  EXPECT_STRNE (first.id, second.id);
  EXPECT_STRNE (first.text, mismatched.text);
  EXPECT_STRNE (first.text, unembedded.text);
}

TEST_F (Answer, RanksAreBestFirstAndCutToTop)
{
  const char *documents[] = { "one", "two", "three", "four" };
  struct answer_rank ranks[4];

  ASSERT_EQ (answer_rerank ("q", 1, documents, 4, 0, ranks), 4u);
  for (int i = 1; i < 4; i++)
    EXPECT_GE (ranks[i - 1].score, ranks[i].score);
  EXPECT_EQ (answer_rerank ("q", 1, documents, 4, 2, ranks), 2u);
}

TEST_F (Answer, CallReceiptIgnoresKeyOrderButNotValues)
{
  struct bytes a;
  struct bytes b;
  struct bytes c;

  bytes_init (&a, parent_);
  bytes_init (&b, parent_);
  bytes_init (&c, parent_);
  ASSERT_TRUE (answer_call ("{\"x\": 1, \"y\": 2}", 16, &a));
  ASSERT_TRUE (answer_call ("{\"y\":2,\"x\":1}", 13, &b));
  ASSERT_TRUE (answer_call ("{\"y\":1,\"x\":1}", 13, &c));
  EXPECT_STREQ (a.data, b.data);
  EXPECT_STRNE (a.data, c.data);
  EXPECT_FALSE (answer_call ("{", 1, &c));
}

TEST_F (Answer, EveryPipelineOfASiteAnswersAndEachRequestDiffers)
{
  for (enum trace_site id : { TRACE_BKK, TRACE_AR_CENTRO })
    for (uint32_t i = 0; i < site_get (id)->n_pipelines; i++)
      {
        struct pipeline_spec spec;

        site_pipeline_spec (site_get (id), i, &spec);
        if (spec.service)
          continue;
        std::string a = pipeline_of (spec, input_of (request_of ("a", 1)), 20);
        std::string b = pipeline_of (spec, input_of (request_of ("b", 1)), 20);
        EXPECT_NE (a, b) << spec.name;
        EXPECT_EQ (a, pipeline_of (spec, input_of (request_of ("a", 1)), 20));
        if (spec.stages[spec.n_stages - 1].kind == STAGE_GENERATE)
          {
            EXPECT_EQ (a.size (), 80u);
          }
      }
}

} // namespace
