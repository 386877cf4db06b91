/* The next order for a target, from its wanted and its reported state: a pure function. */
#ifndef ORDER_PLAN_H
#define ORDER_PLAN_H

#include "decls.h"
#include "resource.h"
#include "status.h"

BEGIN_DECLS

#define ORDER_LOADED_MAX 64

/* name, text */
#define ORDER_KIND_LIST(X)                                                                         \
  X (SET_VERSION, "set_version")                                                                   \
  X (LOAD_MODEL, "load_model")                                                                     \
  X (LOAD_ADAPTER, "load_adapter")                                                                 \
  X (SET_ROLE, "set_role")                                                                         \
  X (UNLOAD_MODEL, "unload_model")

enum order_kind
{
#define X(name, text) ORDER_##name,
  ORDER_KIND_LIST (X)
#undef X
      ORDER_KIND_COUNT
};

const char *order_kind_text (enum order_kind kind);

/* The state that a target reports: the answer to GET /v1/state. */
struct order_state
{
  char models[ORDER_LOADED_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_models;
  char adapters[ORDER_LOADED_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_adapters;
  char version[RESOURCE_NAME_SIZE];
  char role[RESOURCE_NAME_SIZE];
  uint64_t fence;
  uint64_t incarnation;
};

enum status order_state_parse (const char *text, size_t length, struct order_state *out);

struct order_step
{
  enum order_kind kind;
  char value[RESOURCE_NAME_SIZE];
};

/* The next order towards the wanted state; false when the state is as wanted.  The version comes
 * first, because setting it may reload the rest; unloading comes last, so that the target serves
 * meanwhile.  What an assignment does not name stays as it is: without models in it, none is loaded
 * or unloaded. */
bool order_next_step (const struct assignment_spec *wanted,
                      const struct order_state *state,
                      struct order_step *out);

END_DECLS

#endif
