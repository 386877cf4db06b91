/* From an operator's request to a change of the store. */
#ifndef OPERATOR_BODY_H
#define OPERATOR_BODY_H

#include "operator_private.h"

/* What is wrong with a request: its HTTP status, field and message. */
struct operator_fault
{
  int code;
  char field[RESOURCE_FIELD_SIZE];
  char message[256];
};

/* The parsed body of a PUT or PATCH. */
struct operator_body
{
  json_t *spec; /* a new reference; for a PATCH the merge patch of the spec */
  bool has_version;
  uint64_t version;
};

/* False with `fault` filled. */
bool operator_body_read (const struct operator_request *request,
                         struct operator_body *out,
                         struct operator_fault *fault);

/* Check the spec, and fill the change's text (allocated under `parent`) and references. */
bool operator_body_check (const json_t *spec,
                          void *parent,
                          struct store_change *change,
                          struct operator_fault *fault);

/* `target` changed by the JSON merge patch (RFC 7396); both references are taken. */
json_t *operator_merge (json_t *target, json_t *patch);

#endif
