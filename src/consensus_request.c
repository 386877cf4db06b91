/* Table of proposals and reads in progress. */
#include "consensus_request.h"
#include "raft_message.h"
#include <talloc.h>

static void
fire (struct timer *timer, int64_t now)
{
  struct request *request = (struct request *) timer;

  if (now >= request->deadline)
    request_finish (request, STATUS_TIMEOUT, NULL, 0, now);
  else
    request->requests->ops->due (request->requests, request, now);
}

static const struct timer_ops timer_ops = { .fire = fire };

void
requests_init (struct requests *requests,
               const struct requests_ops *ops,
               void *parent,
               struct timer_service *timers,
               uint64_t first_number)
{
  *requests = (struct requests){
    .ops = ops,
    .parent = parent,
    .timers = timers,
    .last_number = first_number,
  };
}

void
requests_clear (struct requests *requests)
{
  for (struct request *request = requests->by_number; request != NULL; request = request->hh.next)
    timer_disarm (requests->timers, &request->timer);
  HASH_CLEAR (hh, requests->by_number);
}

/* uthash's macros are long; the functions are not.
 * NOLINTBEGIN(readability-function-size) */
struct request *
request_new (struct requests *requests,
             enum request_kind kind,
             const void *data,
             size_t length,
             int64_t deadline,
             enum status *status)
{
  struct request *request;

  if (HASH_COUNT (requests->by_number) >= REQUESTS_MAX)
    {
      *status = status_fail (STATUS_LIMIT, "%u requests wait", REQUESTS_MAX);
      return NULL;
    }
  request = talloc_zero (requests->parent, struct request);
  if (request != NULL)
    request->data = talloc_memdup (request, data, length);
  if (request == NULL || (request->data == NULL && length > 0))
    {
      talloc_free (request);
      *status = status_fail (STATUS_NO_MEMORY, "request of %zu bytes", length);
      return NULL;
    }
  request->timer.ops = &timer_ops;
  request->requests = requests;
  request->number = ++requests->last_number;
  request->kind = kind;
  request->length = length;
  request->deadline = deadline;
  HASH_ADD (hh, requests->by_number, number, sizeof request->number, request);
  request_arm (request, deadline);
  *status = STATUS_OK;
  return request;
}

struct request *
request_new_local (struct requests *requests,
                   enum request_kind kind,
                   const void *entry,
                   size_t length,
                   struct proposal *proposal,
                   int64_t deadline,
                   enum status *status)
{
  struct request *request;

  if (length > RAFT_ENTRY_MAX)
    {
      *status =
          status_fail (STATUS_TOO_LARGE, "entry of %zu bytes, %u at most", length, RAFT_ENTRY_MAX);
      return NULL;
    }
  request = request_new (requests, kind, entry, length, deadline, status);
  if (request == NULL)
    return NULL;
  request->proposal = proposal;
  proposal->owner = request;
  return request;
}

struct request *
request_find (const struct requests *requests, uint64_t number)
{
  struct request *request;

  HASH_FIND (hh, requests->by_number, &number, sizeof number, request);
  return request;
}

/* NOLINTEND(readability-function-size) */

void
request_arm (struct request *request, int64_t due)
{
  timer_arm (request->requests->timers, &request->timer,
             due < request->deadline ? due : request->deadline);
}

void
request_free (struct request *request)
{
  timer_disarm (request->requests->timers, &request->timer);
  HASH_DELETE (hh, request->requests->by_number, request);
  if (request->proposal != NULL)
    request->proposal->owner = NULL;
  talloc_free (request);
}

/* The request is freed first, since done() may propose again. */
void
request_finish (
    struct request *request, enum status status, const void *result, size_t length, int64_t now)
{
  struct proposal *proposal = request->proposal;

  if (proposal == NULL)
    request->requests->ops->answer (request->requests, request, status, result, length);
  request_free (request);
  if (proposal != NULL)
    proposal->ops->done (proposal, status, result, length, now);
}

void
requests_withdraw (struct requests *requests, struct proposal *proposal)
{
  struct request *request = proposal->owner;

  if (request != NULL && request->requests == requests && request->proposal == proposal)
    request_free (request);
}
