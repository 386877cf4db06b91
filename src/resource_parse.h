/* Parsing of a resource's spec from JSON to its typed form, with errors that name the field. */
#ifndef RESOURCE_PARSE_H
#define RESOURCE_PARSE_H

#include "decls.h"
#include "resource.h"
#include "status.h"
#include <jansson.h>

BEGIN_DECLS

#define RESOURCE_FIELD_SIZE 96
#define RESOURCE_REFERENCES_MAX RESOURCE_STAGES_MAX

/* The path of the invalid field from the object's root, such as "spec.stages[1].pool"; the message
 * is status_message(). */
struct resource_problem
{
  char field[RESOURCE_FIELD_SIZE];
};

/* The spec of a resource of any kind. */
union resource_spec
{
  struct pipeline_spec pipeline; /* pipelines and services */
  struct pool_spec pool;
  struct organisation_spec organisation;
  struct host_spec host;
  struct operator_spec access;
  struct assignment_spec assignment;
};

/* STATUS_INVALID for unknown or missing fields, wrong types and values out of range. */
enum status resource_parse (enum resource_kind kind,
                            const char *name,
                            const json_t *spec,
                            union resource_spec *out,
                            struct resource_problem *problem);

/* A reference to another resource, which must exist as long as the referring one does. */
struct resource_reference
{
  enum resource_kind kind;
  char name[RESOURCE_NAME_SIZE];
};

/* Collects the references of a parsed spec without duplicates; returns their count. */
uint32_t resource_references (enum resource_kind kind,
                              const union resource_spec *spec,
                              struct resource_reference out[RESOURCE_REFERENCES_MAX]);

END_DECLS

#endif
