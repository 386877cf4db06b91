// Parsing of resource specs: accepted values, defaults, and the field that an error names.
#include "resource_parse.h"
#include <gtest/gtest.h>
#include <string>

namespace
{

enum status
parse (const char *kind,
       const char *text,
       union resource_spec *out,
       struct resource_problem *problem)
{
  json_t *spec = json_loads (text, JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, nullptr);
  enum status status = resource_parse (resource_kind_find (kind), "x", spec, out, problem);

  json_decref (spec);
  return status;
}

TEST (Resource, PipelineIsParsedWithDefaults)
{
  union resource_spec spec;
  struct resource_problem problem;
  struct resource_reference references[RESOURCE_REFERENCES_MAX];

  ASSERT_EQ (parse ("pipelines",
                    "{\"deadlineMs\":4000,\"objective\":\"cost\",\"stages\":["
                    "{\"name\":\"e\",\"kind\":\"encode\",\"pool\":\"enc\"},"
                    "{\"name\":\"g\",\"kind\":\"generate\",\"pool\":\"gen\",\"maxTokens\":9},"
                    "{\"name\":\"h\",\"kind\":\"generate\",\"pool\":\"gen\"}]}",
                    &spec, &problem),
             STATUS_OK);
  EXPECT_EQ (spec.pipeline.deadline, 4 * USEC_PER_SEC);
  EXPECT_EQ (spec.pipeline.objective, OBJECTIVE_COST);
  EXPECT_TRUE (spec.pipeline.repeatable);
  EXPECT_EQ (spec.pipeline.stages[1].max_tokens, 9u);
  EXPECT_STREQ (spec.pipeline.name, "x");
  EXPECT_EQ (resource_references (RESOURCE_PIPELINE, &spec, references), 2u);
  EXPECT_STREQ (references[1].name, "gen");
}

TEST (Resource, ServiceIsParsedAsPipelineWithOneCallStage)
{
  union resource_spec spec;
  struct resource_problem problem;

  ASSERT_EQ (parse ("services", "{\"pool\":\"p\",\"deadlineMs\":800,\"repeatable\":false}", &spec,
                    &problem),
             STATUS_OK);
  EXPECT_TRUE (spec.pipeline.service);
  EXPECT_EQ (spec.pipeline.n_stages, 1u);
  EXPECT_EQ (spec.pipeline.stages[0].kind, STAGE_CALL);
  EXPECT_FALSE (spec.pipeline.repeatable);
}

struct wrong
{
  const char *kind;
  const char *spec;
  const char *field;
};

class Wrong : public testing::TestWithParam<struct wrong>
{
};

TEST_P (Wrong, IsRefusedNamingTheField)
{
  union resource_spec spec;
  struct resource_problem problem = {};

  EXPECT_EQ (parse (GetParam ().kind, GetParam ().spec, &spec, &problem), STATUS_INVALID);
  EXPECT_STREQ (problem.field, GetParam ().field);
}

INSTANTIATE_TEST_SUITE_P (
    Resource,
    Wrong,
    testing::Values (
        wrong{ "pools", "[]", "spec" },
        wrong{ "pools", "{\"kind\":\"encode\",\"slot\":1}", "spec.slot" },
        wrong{ "pools", "{}", "spec.kind" },
        wrong{ "pools", "{\"kind\":\"none\"}", "spec.kind" },
        wrong{ "pools", "{\"kind\":\"call\",\"slots\":0}", "spec.slots" },
        wrong{ "pools", "{\"kind\":\"call\",\"slots\":1.5}", "spec.slots" },
        wrong{ "pools", "{\"kind\":\"call\",\"slots\":4294967297}", "spec.slots" },
        wrong{ "pools", "{\"kind\":\"call\",\"costPerSecond\":-1}", "spec.costPerSecond" },
        wrong{ "services", "{\"deadlineMs\":1}", "spec.pool" },
        wrong{ "services", "{\"pool\":\"p\",\"deadlineMs\":0}", "spec.deadlineMs" },
        wrong{ "services", "{\"pool\":\"p q\",\"deadlineMs\":1}", "spec.pool" },
        wrong{ "services", "{\"pool\":\"p\",\"deadlineMs\":1,\"repeatable\":1}",
               "spec.repeatable" },
        wrong{ "pipelines", "{\"deadlineMs\":1,\"stages\":[]}", "spec.stages" },
        wrong{ "pipelines", "{\"deadlineMs\":1,\"stages\":[{\"name\":\"a\",\"kind\":\"call\"}]}",
               "spec.stages[0].pool" },
        wrong{ "pipelines",
               "{\"deadlineMs\":1,\"stages\":[{\"name\":\"a\",\"kind\":\"call\",\"pool\":\"p\"},"
               "{\"name\":\"a\",\"kind\":\"call\",\"pool\":\"p\"}]}",
               "spec.stages[1]" },
        wrong{ "organisations", "{\"tokenHashes\":[\"ab\"]}", "spec.tokenHashes[0]" },
        wrong{ "organisations", "{\"burst\":5}", "spec.burst" },
        wrong{ "operators", "{\"role\":\"admin\"}", "spec.tokenHash" },
        wrong{ "assignments", "{\"models\":[\"m\"]}", "spec.pool" },
        wrong{ "assignments", "{\"pool\":\"p\",\"models\":[7]}", "spec.models[0]" },
        wrong{ "hosts", "{\"domain\":\"d\"}", "spec.address" }));

TEST (Resource, NamesThatAreUnsafeInPathsAreRefused)
{
  EXPECT_TRUE (resource_name_is_valid ("bkk-a.1"));
  EXPECT_FALSE (resource_name_is_valid (""));
  EXPECT_FALSE (resource_name_is_valid ("."));
  EXPECT_FALSE (resource_name_is_valid ("a/b"));
  EXPECT_FALSE (resource_name_is_valid ("a\"b"));
  EXPECT_FALSE (resource_name_is_valid (std::string (64, 'a').c_str ()));
  EXPECT_TRUE (resource_name_is_valid (std::string (63, 'a').c_str ()));
}

}
