/* Reads JSON objects into structs, driven by tables of fields.  Used by resource_parse(). */
#ifndef RESOURCE_FIELD_H
#define RESOURCE_FIELD_H

#include "resource_parse.h"

BEGIN_DECLS

/* How a field is checked, and the C type that stores it. */
enum field_type
{
  FIELD_NAME,   /* char[RESOURCE_NAME_SIZE], a resource name */
  FIELD_TEXT,   /* char[RESOURCE_ADDRESS_SIZE], without NUL */
  FIELD_COUNT,  /* uint32_t */
  FIELD_NUMBER, /* double */
  FIELD_MSEC,   /* int64_t microseconds, milliseconds in JSON */
  FIELD_BOOL,   /* bool */
  FIELD_CHOICE, /* enum as int, one of `texts` */
  FIELD_CUSTOM  /* by `read` */
};

/* One field of an object.  An absent optional field leaves the struct member unchanged. */
struct field
{
  const char *name;
  enum field_type type;
  size_t offset;
  double min;
  double max;
  const char *const *texts; /* of FIELD_CHOICE, ended by NULL */
  bool required;

  /* Reads a FIELD_CUSTOM; `path` is the path of the field itself. */
  enum status (*read) (const json_t *value,
                       void *out,
                       const char *path,
                       struct resource_problem *problem);
};

/* Reads `object` into `out`.  `fields` ends with a NULL name.  STATUS_INVALID with the path of the
 * first invalid field in `problem`. */
enum status fields_read (const struct field *fields,
                         const json_t *object,
                         void *out,
                         const char *path,
                         struct resource_problem *problem);

/* Stores the field's path in `problem` and returns STATUS_INVALID with the path and the message. */
enum status field_problem (struct resource_problem *problem, const char *path, const char *message);

/* Reads an array of at most `max` resource names into `names`. */
enum status field_names (const json_t *value,
                         char (*names)[RESOURCE_NAME_SIZE],
                         uint32_t *count,
                         uint32_t max,
                         const char *path,
                         struct resource_problem *problem);

/* Reads a token hash of 64 hex digits. */
enum status field_hash (const json_t *value,
                        uint8_t out[RESOURCE_TOKEN_HASH_SIZE],
                        const char *path,
                        struct resource_problem *problem);

END_DECLS

#endif
