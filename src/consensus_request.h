/* Proposals and reads in progress, from the call until the answer. */
#ifndef CONSENSUS_REQUEST_H
#define CONSENSUS_REQUEST_H

#include "consensus.h"
#include "decls.h"
#include "resource.h"
#include "timer.h"
#include <uthash.h>

BEGIN_DECLS

#define REQUESTS_MAX 16384 /* in progress at once on one host */

enum request_kind
{
  REQUEST_PROPOSE,
  REQUEST_READ,
  REQUEST_KIND_COUNT
};

/* The stage of a request. */
enum request_stage
{
  REQUEST_FORWARDED, /* sent to another host, or waiting for a host to send it to */
  REQUEST_PENDING,   /* in the leader's log at `index`, `term` */
  REQUEST_READING,   /* a quorum confirms leadership */
  REQUEST_APPLYING,  /* a read that waits until `index` is applied */
};

struct request
{
  struct timer timer; /* fires at the next retry or the deadline */
  struct requests *requests;
  uint64_t number;
  enum request_kind kind;
  enum request_stage stage;
  struct proposal *proposal; /* NULL for a request from host `origin` */
  char origin[RESOURCE_NAME_SIZE];
  uint64_t origin_number;
  char sent_to[RESOURCE_NAME_SIZE]; /* the host it was last sent to */
  uint32_t attempts;
  int64_t deadline;
  uint64_t index;
  uint64_t term;
  size_t length;
  char *data;
  UT_hash_handle hh;
};

struct requests_ops
{
  /* The timer of a request fired before its deadline. */
  void (*due) (struct requests *requests, struct request *request, int64_t now);

  /* Answer a request that came from another host. */
  void (*answer) (struct requests *requests,
                  struct request *request,
                  enum status status,
                  const void *result,
                  size_t length);
};

struct requests
{
  const struct requests_ops *ops;
  void *parent; /* talloc parent of the requests */
  struct timer_service *timers;
  struct request *by_number;
  uint64_t last_number;
};

/* `first_number` must be random: if numbers restarted at the same value, a late answer to a request
 * of the previous process could be taken for the answer to one of this process. */
void requests_init (struct requests *requests,
                    const struct requests_ops *ops,
                    void *parent,
                    struct timer_service *timers,
                    uint64_t first_number);

/* Disarm every timer; the requests are freed with their parent.  Proposals are not touched, since
 * their owners may already be freed. */
void requests_clear (struct requests *requests);

/* A request made on this host, whose outcome is given to `proposal`.  NULL with the reason in
 * `status`: as request_new(), and STATUS_TOO_LARGE. */
struct request *request_new_local (struct requests *requests,
                                   enum request_kind kind,
                                   const void *entry,
                                   size_t length,
                                   struct proposal *proposal,
                                   int64_t deadline,
                                   enum status *status);

/* Copies `data`.  NULL with STATUS_NO_MEMORY or STATUS_LIMIT in `status`. */
struct request *request_new (struct requests *requests,
                             enum request_kind kind,
                             const void *data,
                             size_t length,
                             int64_t deadline,
                             enum status *status);
struct request *request_find (const struct requests *requests, uint64_t number);

/* Set the timer to `due`, or to the deadline when that is earlier. */
void request_arm (struct request *request, int64_t due);

/* Report the outcome to the requester and free the request. */
void request_finish (
    struct request *request, enum status status, const void *result, size_t length, int64_t now);

/* Free without reporting an outcome. */
void request_free (struct request *request);
void requests_withdraw (struct requests *requests, struct proposal *proposal);

END_DECLS

#endif
