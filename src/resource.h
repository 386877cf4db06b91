/* Typed specs of the resources that operators declare.
 *
 * The store keeps each resource as JSON and parses it to one of these, which the board and the
 * scheduling decisions read. */
#ifndef RESOURCE_H
#define RESOURCE_H

#include "decls.h"
#include "status.h"
#include "usec.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define RESOURCE_NAME_SIZE 64 /* with the NUL; letters, digits, '-' and '.' */
#define RESOURCE_STAGES_MAX 8
#define RESOURCE_TOKENS_MAX 8
#define RESOURCE_TOKEN_HASH_SIZE 32
#define RESOURCE_ADDRESS_SIZE 64 /* "ip:port" */

/* name, plural used in paths */
#define RESOURCE_KIND_LIST(X)                                                                      \
  X (PIPELINE, "pipelines")                                                                        \
  X (SERVICE, "services")                                                                          \
  X (POOL, "pools")                                                                                \
  X (ORGANISATION, "organisations")                                                                \
  X (HOST, "hosts")                                                                                \
  X (OPERATOR, "operators")                                                                        \
  X (ASSIGNMENT, "assignments") /* models, adapters, version and role that targets should have */

enum resource_kind
{
#define X(name, plural) RESOURCE_##name,
  RESOURCE_KIND_LIST (X)
#undef X
      RESOURCE_KIND_COUNT
};

/* name, text */
#define STAGE_KIND_LIST(X)                                                                         \
  X (ENCODE, "encode")                                                                             \
  X (RETRIEVE, "retrieve")                                                                         \
  X (RERANK, "rerank")                                                                             \
  X (GENERATE, "generate")                                                                         \
  X (CALL, "call") /* a call of a plain service; the only stage of RESOURCE_SERVICE */

enum stage_kind
{
#define X(name, text) STAGE_##name,
  STAGE_KIND_LIST (X)
#undef X
      STAGE_KIND_COUNT
};

const char *stage_kind_text (enum stage_kind kind);
const char *resource_kind_plural (enum resource_kind kind);

/* RESOURCE_KIND_COUNT when no kind has that plural. */
enum resource_kind resource_kind_find (const char *plural);

/* 1 to 63 letters, digits, '-' and '.', the first a letter or digit. */
bool resource_name_is_valid (const char *name);

/* The primary objective of a pipeline. */
enum objective
{
  OBJECTIVE_ATTAINMENT,
  OBJECTIVE_COST
};

struct stage_spec
{
  char name[RESOURCE_NAME_SIZE];
  enum stage_kind kind;
  char pool[RESOURCE_NAME_SIZE];
  char model[RESOURCE_NAME_SIZE];   /* "" for any model of the pool */
  char adapter[RESOURCE_NAME_SIZE]; /* "" for none */
  uint32_t max_tokens;              /* maximum generated, for STAGE_GENERATE */
  uint32_t top;                     /* documents kept, for STAGE_RETRIEVE and STAGE_RERANK */
};

/* A pipeline; a plain service is one with the single stage STAGE_CALL. */
struct pipeline_spec
{
  char name[RESOURCE_NAME_SIZE];
  bool service;
  struct stage_spec stages[RESOURCE_STAGES_MAX];
  uint32_t n_stages;
  int64_t deadline; /* default and maximum of a request's time limit, microseconds */
  enum objective objective;
  uint32_t max_attempts; /* of one stage, at least 1 */
  double retry_share;    /* maximum retries, as a share of recent successes */
  double hedge_share;    /* maximum hedges, as a share of recent requests; 0 disables hedging */
  uint32_t priority;     /* 0 (lowest) to 9; default and maximum of a request's priority */
  bool repeatable;       /* default of a request; false: it must not be executed twice */
};

struct pool_spec
{
  char name[RESOURCE_NAME_SIZE];
  enum stage_kind kind;
  double cost_per_second; /* of one busy slot, in the operator's currency */
  uint32_t slots;         /* concurrent calls of a target that announces no number */
  double eject_share_max; /* maximum share of the pool's targets ejected at the same time */
};

struct organisation_spec
{
  char name[RESOURCE_NAME_SIZE];
  double weight;           /* its relative share of the capacity under overload */
  double requests_per_sec; /* 0 for no limit, over all hosts */
  double burst;            /* requests allowed at once above the rate */
  double tokens_per_sec;   /* input and generated tokens; 0 for no limit */
  uint32_t concurrency;    /* 0 for no limit, over all hosts */
  uint8_t token_hashes[RESOURCE_TOKENS_MAX][RESOURCE_TOKEN_HASH_SIZE];
  uint32_t n_tokens;
};

/* A host as declared by operators: the attributes that other hosts may trust. */
struct host_spec
{
  char name[RESOURCE_NAME_SIZE];
  char domain[RESOURCE_NAME_SIZE];
  char region[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE]; /* where peers connect */
  char public_key[RESOURCE_NAME_SIZE]; /* Z85 */
  bool voter;                          /* may become a voter, because it has a disk */
};

/* Access roles of an operator.  name, text */
#define OPERATOR_ROLE_LIST(X)                                                                      \
  X (READ, "read")                                                                                 \
  X (WRITE, "write")                                                                               \
  X (ADMIN, "admin")

enum operator_role
{
#define X(name, text) OPERATOR_ROLE_##name,
  OPERATOR_ROLE_LIST (X)
#undef X
      OPERATOR_ROLE_COUNT
};

struct operator_spec
{
  char name[RESOURCE_NAME_SIZE];
  enum operator_role role;
  uint8_t token_hash[RESOURCE_TOKEN_HASH_SIZE];
};

#define RESOURCE_ASSIGNED_MAX 8

/* What one target, or every target of a pool, should have loaded. */
struct assignment_spec
{
  char name[RESOURCE_NAME_SIZE];
  char pool[RESOURCE_NAME_SIZE];   /* "" when `target` is given */
  char target[RESOURCE_NAME_SIZE]; /* "" when `pool` is given */
  char models[RESOURCE_ASSIGNED_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_models;
  char adapters[RESOURCE_ASSIGNED_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_adapters;
  char version[RESOURCE_NAME_SIZE]; /* "" leaves it unchanged */
  char role[RESOURCE_NAME_SIZE];    /* "" leaves it unchanged */
};

END_DECLS

#endif
