/* Parsing of the body of an operator's request into a change of the store. */
#ifndef OPERATOR_BODY_H
#define OPERATOR_BODY_H

#include "operator_private.h"

/* An invalid request: HTTP status, field and message of the response. */
struct operator_fault
{
  int code;
  char field[RESOURCE_FIELD_SIZE];
  char message[256];
};

/* The parsed body of a PUT or PATCH. */
struct operator_body
{
  json_t *spec; /* owned reference; for a PATCH the merge patch of the spec */
  bool has_version;
  uint64_t version;
};

/* Parses the body; false with `fault` filled if it is invalid. */
bool operator_body_read (const struct operator_request *request,
                         struct operator_body *out,
                         struct operator_fault *fault);

/* Checks the spec and fills in the text (allocated under `parent`) and the references of `change`;
 * false with `fault` filled. */
bool operator_body_check (const json_t *spec,
                          void *parent,
                          struct store_change *change,
                          struct operator_fault *fault);

/* Applies a JSON merge patch (RFC 7396) to `target` and returns the result; steals both
 * references. */
json_t *operator_merge_patch (json_t *target, json_t *patch);

#endif
