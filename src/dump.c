/* State dump of the process. */
#include "dump.h"
#include <stddef.h>

void
dump_add (struct dump *dump, struct dump_source *source)
{
  struct dump_source **last = &dump->sources;

  while (*last != NULL)
    last = &(*last)->next;
  source->next = NULL;
  *last = source;
}

json_t *
dump_describe (struct dump *dump, int64_t now)
{
  json_t *all = json_object ();

  for (struct dump_source *source = dump->sources; source != NULL; source = source->next)
    {
      /* A source that fails is reported as null and does not hide the others. */
      json_t *part = source->ops->describe (source, now);

      if (json_object_set_new (all, source->name, part != NULL ? part : json_null ()) != 0)
        {
          json_decref (all);
          return NULL;
        }
    }
  return all;
}
