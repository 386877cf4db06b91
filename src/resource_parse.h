/* From the JSON of a resource's spec to its typed form, with errors that name the field. */
#ifndef RESOURCE_PARSE_H
#define RESOURCE_PARSE_H

#include "decls.h"
#include "resource.h"
#include "status.h"
#include <jansson.h>

BEGIN_DECLS

#define RESOURCE_FIELD_SIZE 96
#define RESOURCE_REFERENCES_MAX RESOURCE_STAGES_MAX

/* Which field is wrong, as a path from the object's root such as "spec.stages[1].pool"; the
 * message is status_message(). */
struct resource_problem
{
  char field[RESOURCE_FIELD_SIZE];
};

/* A resource of any kind. */
union resource_spec
{
  struct pipeline_spec pipeline; /* services too */
  struct pool_spec pool;
  struct organisation_spec organisation;
  struct host_spec host;
  struct operator_spec access;
  struct assignment_spec assignment;
};

/* Unknown fields, wrong types and values out of range are STATUS_INVALID. */
enum status resource_parse (enum resource_kind kind,
                            const char *name,
                            const json_t *spec,
                            union resource_spec *out,
                            struct resource_problem *problem);

/* Another resource that must exist while this one does. */
struct resource_reference
{
  enum resource_kind kind;
  char name[RESOURCE_NAME_SIZE];
};

/* The references of a parsed spec, each once; the count. */
uint32_t resource_references (enum resource_kind kind,
                              const union resource_spec *spec,
                              struct resource_reference out[RESOURCE_REFERENCES_MAX]);

END_DECLS

#endif
