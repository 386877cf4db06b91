/* State dump of the process: each registered source describes itself as JSON on request. */
#ifndef DUMP_H
#define DUMP_H

#include "decls.h"
#include <jansson.h>
#include <stdint.h>

BEGIN_DECLS

struct dump_source
{
  const struct dump_source_ops *ops;
  const char *name; /* key in the dump */
  struct dump_source *next;
};

struct dump_source_ops
{
  json_t *(*describe) (struct dump_source *source, int64_t now);
};

struct dump
{
  struct dump_source *sources;
};

void dump_add (struct dump *dump, struct dump_source *source);

/* The complete dump as one object, a new reference; NULL when out of memory. */
json_t *dump_describe (struct dump *dump, int64_t now);

END_DECLS

#endif
