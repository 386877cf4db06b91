// The example resources of the two sites are accepted in the order of the file names, and match the
// traces.
#include "cli_object.h"
#include "resource_parse.h"
#include "site.h"
#include "unit_store_fake.h"

namespace
{

class Examples : public testing::TestWithParam<enum trace_site>
{
};

void
expect_same_pipeline (const struct pipeline_spec &wanted, const struct pipeline_spec &read)
{
  EXPECT_EQ (wanted.service, read.service) << wanted.name;
  EXPECT_EQ (wanted.deadline, read.deadline) << wanted.name;
  EXPECT_EQ (wanted.objective, read.objective) << wanted.name;
  EXPECT_EQ (wanted.priority, read.priority) << wanted.name;
  EXPECT_EQ (wanted.repeatable, read.repeatable) << wanted.name;
  EXPECT_EQ (wanted.retry_share, read.retry_share) << wanted.name;
  EXPECT_EQ (wanted.hedge_share, read.hedge_share) << wanted.name;
  ASSERT_EQ (wanted.n_stages, read.n_stages) << wanted.name;
  for (uint32_t i = 0; i < wanted.n_stages; i++)
    {
      EXPECT_EQ (wanted.stages[i].kind, read.stages[i].kind) << wanted.name;
      EXPECT_STREQ (wanted.stages[i].pool, read.stages[i].pool) << wanted.name;
      if (wanted.stages[i].kind == STAGE_GENERATE)
        {
          EXPECT_EQ (wanted.stages[i].max_tokens, read.stages[i].max_tokens) << wanted.name;
        }
    }
}

const struct pipeline_spec *
find_pipeline (const struct site *site, const char *name, struct pipeline_spec *out)
{
  for (uint32_t i = 0; i < site->n_pipelines; i++)
    {
      site_pipeline_spec (site, i, out);
      if (strcmp (out->name, name) == 0)
        return out;
    }
  return nullptr;
}

TEST_P (Examples, AreAcceptedInOrderAndMatchTheTraces)
{
  const struct site *site = site_get (GetParam ());
  std::string folder = std::string ("examples/") + site->name + "/resources";
  struct store_config config = {};
  struct store *store = store_new (nullptr, &config);
  struct cli_objects objects;
  uint32_t pipelines = 0;

  ASSERT_EQ (cli_objects_read (store, folder.c_str (), &objects), STATUS_OK) << status_message ();
  for (size_t i = 0; i < objects.count; i++)
    {
      struct cli_object &object = objects.items[i];
      const json_t *spec = json_object_get (object.json, "spec");
      union resource_spec parsed;
      struct resource_problem problem;
      struct resource_reference references[RESOURCE_REFERENCES_MAX];
      struct pipeline_spec wanted;

      ASSERT_EQ (resource_parse (object.kind, object.name, spec, &parsed, &problem), STATUS_OK)
          << object.name << " " << status_message ();
      uint32_t n = resource_references (object.kind, &parsed, references);
      for (uint32_t r = 0; r < n; r++)
        EXPECT_NE (store_find (store, references[r].kind, references[r].name), nullptr);
      EXPECT_EQ (
          apply_change (store, { .kind = resource_kind_plural (object.kind), .name = object.name })
              .verdict,
          STORE_CREATED);
      if (object.kind != RESOURCE_PIPELINE && object.kind != RESOURCE_SERVICE)
        continue;
      pipelines++;
      ASSERT_NE (find_pipeline (site, object.name, &wanted), nullptr) << object.name;
      expect_same_pipeline (wanted, parsed.pipeline);
    }
  EXPECT_EQ (pipelines, site->n_pipelines);
  EXPECT_EQ (store_count (store, RESOURCE_POOL), site->n_pools);
  EXPECT_EQ (store_count (store, RESOURCE_ORGANISATION), 5u);
  cli_objects_clear (&objects);
  talloc_free (store);
}

INSTANTIATE_TEST_SUITE_P (Resource, Examples, testing::Values (TRACE_BKK, TRACE_AR_CENTRO));

}
