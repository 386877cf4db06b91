/* Access to the structure that embeds a member. */
#ifndef CONTAINER_H
#define CONTAINER_H

#include <stddef.h>

/* The structure of `type` whose `member` is at `pointer`.  Unchecked: the pointer must be the
 * address of that member, as it is where the structure itself passed it out (a timer it armed, a
 * listener it registered). */
#define CONTAINER_OF(pointer, type, member) ((type *) ((char *) (pointer) -offsetof (type, member)))

#endif
