/* Resource kinds and names, and the fields of each kind. */
#include "resource_field.h"
#include "text.h"
#include <ctype.h>

#define DEADLINE_MS_DEFAULT 4000
#define DEADLINE_MS_MAX 3600000
#define STAGE_TOKENS_DEFAULT 256
#define STAGE_TOP_DEFAULT 8
#define ATTEMPTS_DEFAULT 3
#define RETRY_SHARE_DEFAULT 0.2
#define PRIORITY_DEFAULT 5
#define PRIORITY_MAX 9
#define SLOTS_DEFAULT 8
#define EJECT_SHARE_DEFAULT 0.5
#define AMOUNT_MAX 1e9

static const char *const stage_kinds[] = {
#define X(name, text) [STAGE_##name] = text,
  STAGE_KIND_LIST (X)
#undef X
      [STAGE_KIND_COUNT] = NULL
};

static const char *const plurals[] = {
#define X(name, plural) [RESOURCE_##name] = plural,
  RESOURCE_KIND_LIST (X)
#undef X
};

static const char *const objectives[] = { "attainment", "cost", NULL };

static const char *const roles[] = {
#define X(name, text) [OPERATOR_ROLE_##name] = text,
  OPERATOR_ROLE_LIST (X)
#undef X
      [OPERATOR_ROLE_COUNT] = NULL
};

const char *
stage_kind_text (enum stage_kind kind)
{
  return (unsigned) kind < STAGE_KIND_COUNT ? stage_kinds[kind] : "unknown";
}

const char *
resource_kind_plural (enum resource_kind kind)
{
  return (unsigned) kind < RESOURCE_KIND_COUNT ? plurals[kind] : "unknown";
}

enum resource_kind
resource_kind_find (const char *plural)
{
  int kind;

  for (kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
    if (strcmp (plurals[kind], plural) == 0)
      break;
  return (enum resource_kind) kind;
}

bool
resource_name_is_valid (const char *name)
{
  size_t i;

  if (!isalnum ((unsigned char) name[0]))
    return false;
  for (i = 0; name[i] != '\0'; i++)
    if (i + 1 >= RESOURCE_NAME_SIZE
        || (!isalnum ((unsigned char) name[i]) && name[i] != '-' && name[i] != '.'))
      return false;
  return true;
}

#define AT(type, member) .offset = offsetof (struct type, member)

static const struct field stage_fields[] = {
  { .name = "name", .type = FIELD_NAME, AT (stage_spec, name), .required = true },
  { .name = "kind",
    .type = FIELD_CHOICE,
    AT (stage_spec, kind),
    .texts = stage_kinds,
    .required = true },
  { .name = "pool", .type = FIELD_NAME, AT (stage_spec, pool), .required = true },
  { .name = "model", .type = FIELD_NAME, AT (stage_spec, model) },
  { .name = "adapter", .type = FIELD_NAME, AT (stage_spec, adapter) },
  { .name = "maxTokens",
    .type = FIELD_COUNT,
    AT (stage_spec, max_tokens),
    .min = 1,
    .max = 1 << 20 },
  { .name = "top", .type = FIELD_COUNT, AT (stage_spec, top), .min = 1, .max = 1000 },
  { .name = NULL },
};

static enum status
read_stages (const json_t *value, void *out, const char *path, struct resource_problem *problem)
{
  struct pipeline_spec *spec = out;
  char inner[RESOURCE_FIELD_SIZE];
  enum status status;
  uint32_t i;
  uint32_t j;

  if (!json_is_array (value) || json_array_size (value) == 0
      || json_array_size (value) > RESOURCE_STAGES_MAX)
    return field_problem (problem, path, "expected an array of 1 to 8 stages");
  spec->n_stages = (uint32_t) json_array_size (value);
  for (i = 0; i < spec->n_stages; i++)
    {
      struct stage_spec *stage = &spec->stages[i];

      *stage = (struct stage_spec){ .max_tokens = STAGE_TOKENS_DEFAULT, .top = STAGE_TOP_DEFAULT };
      snprintf (inner, sizeof inner, "%s[%u]", path, i);
      status = fields_read (stage_fields, json_array_get (value, i), stage, inner, problem);
      if (status != STATUS_OK)
        return status;
      for (j = 0; j < i; j++)
        if (strcmp (spec->stages[j].name, stage->name) == 0)
          return field_problem (problem, inner, "another stage has the same name");
    }
  return STATUS_OK;
}

static enum status
read_tokens (const json_t *value, void *out, const char *path, struct resource_problem *problem)
{
  struct organisation_spec *spec = out;
  char inner[RESOURCE_FIELD_SIZE];
  enum status status;
  size_t i;

  if (!json_is_array (value) || json_array_size (value) > RESOURCE_TOKENS_MAX)
    return field_problem (problem, path, "expected an array of at most 8 hashes");
  for (i = 0; i < json_array_size (value); i++)
    {
      snprintf (inner, sizeof inner, "%s[%zu]", path, i);
      status = field_hash (json_array_get (value, i), spec->token_hashes[i], inner, problem);
      if (status != STATUS_OK)
        return status;
    }
  spec->n_tokens = (uint32_t) i;
  return STATUS_OK;
}

static enum status
read_token_hash (const json_t *value, void *out, const char *path, struct resource_problem *problem)
{
  return field_hash (value, out, path, problem);
}

static enum status
read_models (const json_t *value, void *out, const char *path, struct resource_problem *problem)
{
  struct assignment_spec *spec = out;

  return field_names (value, spec->models, &spec->n_models, RESOURCE_ASSIGNED_MAX, path, problem);
}

static enum status
read_adapters (const json_t *value, void *out, const char *path, struct resource_problem *problem)
{
  struct assignment_spec *spec = out;

  return field_names (value, spec->adapters, &spec->n_adapters, RESOURCE_ASSIGNED_MAX, path,
                      problem);
}

/* Fields common to pipelines and services. */
#define POLICY_FIELDS                                                                              \
  { .name = "deadlineMs",                                                                          \
    .type = FIELD_MSEC,                                                                            \
    AT (pipeline_spec, deadline),                                                                  \
    .min = 1,                                                                                      \
    .max = DEADLINE_MS_MAX,                                                                        \
    .required = true },                                                                            \
      { .name = "objective",                                                                       \
        .type = FIELD_CHOICE,                                                                      \
        AT (pipeline_spec, objective),                                                             \
        .texts = objectives },                                                                     \
      { .name = "maxAttempts",                                                                     \
        .type = FIELD_COUNT,                                                                       \
        AT (pipeline_spec, max_attempts),                                                          \
        .min = 1,                                                                                  \
        .max = 16 },                                                                               \
      { .name = "retryShare", .type = FIELD_NUMBER, AT (pipeline_spec, retry_share), .max = 1 },   \
      { .name = "hedgeShare", .type = FIELD_NUMBER, AT (pipeline_spec, hedge_share), .max = 1 },   \
      { .name = "priority",                                                                        \
        .type = FIELD_COUNT,                                                                       \
        AT (pipeline_spec, priority),                                                              \
        .max = PRIORITY_MAX },                                                                     \
  {                                                                                                \
    .name = "repeatable", .type = FIELD_BOOL, AT (pipeline_spec, repeatable)                       \
  }

static const struct field pipeline_fields[] = {
  { .name = "stages", .type = FIELD_CUSTOM, .read = read_stages, .required = true },
  POLICY_FIELDS,
  { .name = NULL },
};

static const struct field service_fields[] = {
  { .name = "pool", .type = FIELD_NAME, AT (pipeline_spec, stages[0].pool), .required = true },
  POLICY_FIELDS,
  { .name = NULL },
};

static const struct field pool_fields[] = {
  { .name = "kind",
    .type = FIELD_CHOICE,
    AT (pool_spec, kind),
    .texts = stage_kinds,
    .required = true },
  { .name = "costPerSecond",
    .type = FIELD_NUMBER,
    AT (pool_spec, cost_per_second),
    .max = AMOUNT_MAX },
  { .name = "slots", .type = FIELD_COUNT, AT (pool_spec, slots), .min = 1, .max = 1 << 16 },
  { .name = "ejectShareMax", .type = FIELD_NUMBER, AT (pool_spec, eject_share_max), .max = 1 },
  { .name = NULL },
};

static const struct field organisation_fields[] = {
  { .name = "weight",
    .type = FIELD_NUMBER,
    AT (organisation_spec, weight),
    .min = 0.001,
    .max = 1e6 },
  { .name = "requestsPerSecond",
    .type = FIELD_NUMBER,
    AT (organisation_spec, requests_per_sec),
    .max = AMOUNT_MAX },
  { .name = "burst", .type = FIELD_NUMBER, AT (organisation_spec, burst), .max = AMOUNT_MAX },
  { .name = "tokensPerSecond",
    .type = FIELD_NUMBER,
    AT (organisation_spec, tokens_per_sec),
    .max = AMOUNT_MAX },
  { .name = "concurrency",
    .type = FIELD_COUNT,
    AT (organisation_spec, concurrency),
    .max = AMOUNT_MAX },
  { .name = "tokenHashes", .type = FIELD_CUSTOM, .read = read_tokens },
  { .name = NULL },
};

static const struct field host_fields[] = {
  { .name = "domain", .type = FIELD_NAME, AT (host_spec, domain), .required = true },
  { .name = "region", .type = FIELD_NAME, AT (host_spec, region) },
  { .name = "address", .type = FIELD_TEXT, AT (host_spec, address), .required = true },
  { .name = "publicKey", .type = FIELD_TEXT, AT (host_spec, public_key) },
  { .name = "voter", .type = FIELD_BOOL, AT (host_spec, voter) },
  { .name = NULL },
};

static const struct field operator_fields[] = {
  { .name = "role",
    .type = FIELD_CHOICE,
    AT (operator_spec, role),
    .texts = roles,
    .required = true },
  { .name = "tokenHash",
    .type = FIELD_CUSTOM,
    AT (operator_spec, token_hash),
    .read = read_token_hash,
    .required = true },
  { .name = NULL },
};

static const struct field assignment_fields[] = {
  { .name = "pool", .type = FIELD_NAME, AT (assignment_spec, pool) },
  { .name = "target", .type = FIELD_NAME, AT (assignment_spec, target) },
  { .name = "models", .type = FIELD_CUSTOM, .read = read_models },
  { .name = "adapters", .type = FIELD_CUSTOM, .read = read_adapters },
  { .name = "version", .type = FIELD_NAME, AT (assignment_spec, version) },
  { .name = "role", .type = FIELD_NAME, AT (assignment_spec, role) },
  { .name = NULL },
};

static const struct field *const kind_fields[] = {
  [RESOURCE_PIPELINE] = pipeline_fields,
  [RESOURCE_SERVICE] = service_fields,
  [RESOURCE_POOL] = pool_fields,
  [RESOURCE_ORGANISATION] = organisation_fields,
  [RESOURCE_HOST] = host_fields,
  [RESOURCE_OPERATOR] = operator_fields,
  [RESOURCE_ASSIGNMENT] = assignment_fields,
};

/* The name is the first member of every spec, so it can be set through any of them. */
static void
set_defaults (enum resource_kind kind, const char *name, union resource_spec *out)
{
  memset (out, 0, sizeof *out);
  text_copy (out->pool.name, sizeof out->pool.name, name);
  if (kind == RESOURCE_PIPELINE || kind == RESOURCE_SERVICE)
    {
      out->pipeline.max_attempts = ATTEMPTS_DEFAULT;
      out->pipeline.retry_share = RETRY_SHARE_DEFAULT;
      out->pipeline.priority = PRIORITY_DEFAULT;
      out->pipeline.repeatable = true;
      out->pipeline.deadline = DEADLINE_MS_DEFAULT * USEC_PER_MSEC;
    }
  if (kind == RESOURCE_SERVICE)
    {
      out->pipeline.service = true;
      out->pipeline.n_stages = 1;
      out->pipeline.stages[0].kind = STAGE_CALL;
      text_copy (out->pipeline.stages[0].name, RESOURCE_NAME_SIZE, "call");
    }
  if (kind == RESOURCE_POOL)
    {
      out->pool.slots = SLOTS_DEFAULT;
      out->pool.eject_share_max = EJECT_SHARE_DEFAULT;
    }
  if (kind == RESOURCE_ORGANISATION)
    out->organisation.weight = 1;
}

/* Checks the rules that involve more than one field. */
static enum status
check_rules (enum resource_kind kind,
             const union resource_spec *spec,
             struct resource_problem *problem)
{
  const struct organisation_spec *organisation = &spec->organisation;

  if (kind == RESOURCE_ASSIGNMENT
      && (spec->assignment.pool[0] == '\0') == (spec->assignment.target[0] == '\0'))
    return field_problem (problem, "spec.pool", "exactly one of pool and target must be given");
  if (kind == RESOURCE_ORGANISATION && organisation->burst > 0
      && organisation->requests_per_sec <= 0)
    return field_problem (problem, "spec.burst", "needs requestsPerSecond");
  return STATUS_OK;
}

enum status
resource_parse (enum resource_kind kind,
                const char *name,
                const json_t *spec,
                union resource_spec *out,
                struct resource_problem *problem)
{
  enum status status;

  if (!resource_name_is_valid (name))
    return field_problem (problem, "metadata.name",
                          "expected 1 to 63 letters, digits, '-' and '.'");
  set_defaults (kind, name, out);
  status = fields_read (kind_fields[kind], spec, out, "spec", problem);
  if (status == STATUS_OK)
    status = check_rules (kind, out, problem);
  return status;
}

static uint32_t
add_reference (struct resource_reference *out, uint32_t count, const char *pool)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    if (strcmp (out[i].name, pool) == 0)
      return count;
  out[count].kind = RESOURCE_POOL;
  text_copy (out[count].name, sizeof out[count].name, pool);
  return count + 1;
}

uint32_t
resource_references (enum resource_kind kind,
                     const union resource_spec *spec,
                     struct resource_reference out[RESOURCE_REFERENCES_MAX])
{
  uint32_t count = 0;
  uint32_t i;

  if (kind == RESOURCE_PIPELINE || kind == RESOURCE_SERVICE)
    for (i = 0; i < spec->pipeline.n_stages; i++)
      count = add_reference (out, count, spec->pipeline.stages[i].pool);
  if (kind == RESOURCE_ASSIGNMENT && spec->assignment.pool[0] != '\0')
    count = add_reference (out, count, spec->assignment.pool);
  return count;
}
