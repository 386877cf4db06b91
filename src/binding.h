/* What a stream is bound to by the target that wrote its first event: what targets of another
 * version write does not continue it. */
#ifndef BINDING_H
#define BINDING_H

#include "decls.h"
#include "registry.h"
#include "routing.h"
#include <stdbool.h>

BEGIN_DECLS

struct binding
{
  char pool[ROUTING_NAME_SIZE];
  bool version_known; /* if not, no target is of the same version */
  char version[REGISTRY_VERSION_SIZE];
};

END_DECLS

#endif
