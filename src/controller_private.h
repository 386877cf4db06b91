/* Internal interface of the controller's source files. */
#ifndef CONTROLLER_PRIVATE_H
#define CONTROLLER_PRIVATE_H

#include "controller.h"
#include "pack.h"

/* An entry host and the revisions that it holds. */
struct fed_host
{
  struct sync_host self;
  int64_t heard;
  int64_t renewed_until; /* renewals up to this time have been sent */
  uint64_t document;
  uint64_t targets;
  uint64_t hosts;
  uint64_t nonce;    /* of a request to be answered; 0: none */
  uint64_t question; /* the nonce when the last quorum read started */
  bool listed;       /* in the list that is sent to entry hosts */
};

struct controller
{
  struct controller_config config;
  struct peer_listener listener;
  struct proposal read; /* the one quorum read in progress */
  bool reading;
  bool in_touch; /* the last quorum read succeeded */
  int64_t started;
  struct timer tick;
  struct timer push;
  struct registry *registry;
  struct fed_host hosts[SYNC_HOSTS_MAX];
  uint32_t n_hosts;
  uint64_t hosts_revision;
  struct controller_wait *waits;
  uint64_t last_wait;
  struct counter *asks;
  struct counter *pushes;
  struct counter *unconfirmed;
  struct counter *hosts_refused;
  struct counter *leave_timeouts;
  struct counter *n_targets;
  struct counter *n_entries;
};

/* ---- controller_state.c: state updates for entry hosts ---- */

/* Is the host's lease valid? */
bool controller_host_lives (const struct fed_host *host, int64_t now);

/* Sends what changed since the revisions that the host holds, and answers its pending request, if
 * any. */
void controller_send_state (struct controller *controller,
                            struct fed_host *host,
                            bool confirmed,
                            int64_t now);

/* ---- controller_target.c: registrations ---- */

/* Messages of other controllers: a registration, and the acknowledgement of one. */
void controller_got_target (struct controller *controller,
                            struct pack_reader *in,
                            const char *from,
                            int64_t now);
void controller_got_received (struct controller *controller,
                              struct pack_reader *in,
                              const char *from,
                              int64_t now);

/* ---- controller.c ---- */

/* Schedules a push of changes to the entry hosts after PUSH_DELAY. */
void controller_push_soon (struct controller *controller, int64_t now);

#endif
