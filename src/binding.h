/* What a stream is bound to by the target that wrote its first event: what targets of another
 * version write does not continue it.
 *
 * A caller may take a stream up at any host, so bindings are kept under the request that brought
 * the first event.  This table is bounded: the oldest bindings make room for new ones.  No I/O and
 * no clock. */
#ifndef BINDING_H
#define BINDING_H

#include "decls.h"
#include "registry.h"
#include "routing.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define BINDING_KEY_SIZE 16

/* Bindings that a host keeps. */
#define BINDINGS_MAX 16384

/* Longest time that a binding is kept. */
#define BINDING_LIFETIME_MAX (600 * USEC_PER_SEC)

struct binding
{
  char pool[ROUTING_NAME_SIZE];
  char target[REGISTRY_NAME_SIZE]; /* identity of the writer; "" if not known */
  uint64_t started;                /* incarnation of the writer */
  bool version_known;              /* if not, the stream goes on at its writer alone */
  char version[REGISTRY_VERSION_SIZE];
};

/* Binds to the writer with its version as known now. */
void binding_to (const struct registry_registration *writer, struct binding *out);

/* Whether the target may go on with the stream: it is of the same version, or the same
 * incarnation. */
bool binding_allows (const struct binding *binding, const struct registry_registration *target);

/* Whether two bindings may be of one stream. */
bool binding_equal (const struct binding *a, const struct binding *b);

/* Identifies a request: a digest of its organisation, its route and its id, so that a request finds
 * only streams of its own organisation and route. */
struct binding_key
{
  unsigned char bytes[BINDING_KEY_SIZE];
};

void binding_key_compute (const char *organisation,
                          const char *route,
                          const char *request,
                          struct binding_key *out);

struct binding_record
{
  struct binding_key key;
  struct binding binding;
  bool is_ambiguous; /* several streams with different bindings began under this key */
  int64_t stored_at;
  int64_t expires_at;
  struct binding_record *prev;
  struct binding_record *next;
  UT_hash_handle hh;
};

/* The lifetime, or BINDING_LIFETIME_MAX if that is shorter; microseconds. */
int64_t binding_bound_lifetime (int64_t lifetime);

struct binding_table;

/* Freed with `parent`.  NULL when out of memory. */
struct binding_table *binding_table_new (void *parent);

/* Keeps the binding for `lifetime` from now on, in microseconds, at most BINDING_LIFETIME_MAX. */
void binding_table_put (struct binding_table *table,
                        const struct binding_key *key,
                        const struct binding *binding,
                        int64_t lifetime,
                        int64_t now);

/* As binding_table_put() did it `age` microseconds ago. */
void binding_table_restore (struct binding_table *table,
                            const struct binding_key *key,
                            const struct binding *binding,
                            int64_t age,
                            int64_t lifetime,
                            int64_t now);

/* Valid until the next call that changes the table; NULL if there is none. */
const struct binding_record *binding_table_find (const struct binding_table *table,
                                                 const struct binding_key *key,
                                                 int64_t now);
uint32_t binding_table_count (const struct binding_table *table);

/* Bindings that made room for others before they expired. */
uint64_t binding_table_evicted (const struct binding_table *table);

END_DECLS

#endif
