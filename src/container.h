/* From an embedded member back to the structure that holds it. */
#ifndef CONTAINER_H
#define CONTAINER_H

#include <stddef.h>

/* The structure of that type whose `member` lies at `pointer`.  Nothing is checked: the pointer
 * must be the address of that very member, which holds where the structure itself handed it out (a
 * timer that it armed, a listener that it registered). */
#define CONTAINER_OF(pointer, type, member) ((type *) ((char *) (pointer) -offsetof (type, member)))

#endif
