/* Internal interface of the controller's source files. */
#ifndef CONTROLLER_PRIVATE_H
#define CONTROLLER_PRIVATE_H

#include "controller.h"
#include "document_history.h"
#include "pack.h"

/* A state that was sent to an entry host, which has not said yet that it holds it. */
struct unheld_state
{
  int64_t sent_at; /* in us; 0: there is none */
  uint64_t targets;
  uint64_t hosts;
  int64_t resend_after; /* in us; it counts as lost then */
};

/* An entry host and the revisions that it holds, or will once what was sent has arrived. */
struct entry_host_record
{
  struct sync_host info;
  int64_t heard_at;
  int64_t renewed_until; /* renewals up to this time have been sent */
  uint64_t document_version;
  uint64_t requests_documents; /* incarnation of the host that requests them itself; 0: none */
  uint64_t targets_revision;
  uint64_t hosts_revision;
  struct unheld_state unheld; /* the first that it may lack */
  uint64_t nonce;             /* of the newest request to be answered; 0: none */
  uint64_t answered_nonce;  /* of the newest request answered on the present connection; 0: none */
  int64_t answered_at;      /* in us */
  uint64_t read_nonce;      /* of the request that the quorum read in progress covers; 0: none */
  bool listed;              /* in the list that is sent to entry hosts */
  struct sync_reach *reach; /* as it reported; NULL if it never lost a pool */
  int64_t reach_at;         /* of that report */
};

struct controller
{
  struct controller_config config;
  struct peer_listener listener;
  struct proposal quorum_read; /* the one quorum read in progress */
  bool quorum_read_pending;
  bool has_quorum; /* the last quorum read succeeded */
  int64_t started_at;
  struct timer tick;
  struct timer push_timer;
  struct timer reach_timer; /* sends which hosts have lost pools */
  bool reach_reported;      /* hosts had lost pools when that was last sent */
  int64_t reach_sent_at;    /* 0: never */
  struct registry *registry;
  struct document_history *history;
  struct entry_host_record hosts[SYNC_HOSTS_MAX];
  uint32_t n_hosts;
  uint64_t hosts_revision;
  struct controller_wait *waits;
  uint64_t last_wait;
  struct counter *requests;
  struct counter *malformed;
  struct counter *reconnects;
  struct counter *pushes;
  struct counter *documents;
  struct counter *document_bytes;
  struct counter *unconfirmed;
  struct counter *hosts_refused;
  struct counter *leave_timeouts;
  struct counter *n_targets;
  struct counter *n_entries;
  struct counter *n_unreaching;
  struct evacuation_view evacuations;
  struct counter *evacuated_domains;
};

/* ---- controller_state.c: state updates for entry hosts ---- */

/* Is the host's lease valid? */
bool controller_host_is_live (const struct entry_host_record *host, int64_t now);

/* Notes the revisions that the host says it holds, 0 for none of this incarnation.  What was sent
 * and may be on its way counts as held. */
void controller_note_held (struct entry_host_record *host,
                           uint64_t targets,
                           uint64_t hosts,
                           int64_t now);

/* Sends what changed since the revisions that the host holds, in answer to the request `nonce`, or
 * unasked if that is 0.  False if the host has no connection or memory is out. */
bool controller_send_state (struct controller *controller,
                            struct entry_host_record *host,
                            uint64_t nonce,
                            bool confirmed,
                            int64_t now);

/* ---- controller_target.c: registrations ---- */

/* Messages of other controllers: a registration, and the acknowledgement of one. */
void controller_handle_target (struct controller *controller,
                               struct pack_reader *in,
                               const char *from,
                               int64_t now);
void controller_handle_target_ack (struct controller *controller,
                                   struct pack_reader *in,
                                   const char *from,
                                   int64_t now);

/* Message of an entry host: sends it the versions that it needs. */
void controller_handle_version_request (struct controller *controller,
                                        struct pack_reader *in,
                                        const char *from);

/* ---- controller_document.c: the configuration ---- */

/* Adds the document in force to the history. */
void controller_keep_document (struct controller *controller);

/* Does the host request documents itself? */
bool controller_host_requests_documents (const struct entry_host_record *host);
void controller_handle_document_request (struct controller *controller,
                                         struct pack_reader *in,
                                         const char *from,
                                         int64_t now);

/* ---- controller_reach.c: entry hosts that have lost pools ---- */

void controller_init_reach (struct controller *controller);
void controller_handle_reach (struct controller *controller,
                              struct pack_reader *in,
                              const char *from,
                              int64_t now);

/* Has the host lost a pool that takes requests? */
bool controller_host_lost_requests (const struct entry_host_record *host, int64_t now);

/* ---- controller_evacuation.c: evacuated failure domains ---- */

void controller_init_evacuations (struct controller *controller);

/* Sends the set to the host if an order was ever given; false if it could not be sent. */
bool controller_send_evacuations (struct controller *controller,
                                  const struct entry_host_record *host,
                                  int64_t now);

/* ---- controller.c ---- */

/* NULL if the host never sent a request. */
struct entry_host_record *controller_find_host (struct controller *controller, const char *name);

/* Finds or creates the record of a host; NULL when there is no room. */
struct entry_host_record *controller_add_host (struct controller *controller,
                                               const char *name,
                                               int64_t now);

/* Schedules a push of changes to the entry hosts after PUSH_DELAY. */
void controller_schedule_push (struct controller *controller, int64_t now);

/* Pushes now if a push is scheduled. */
void controller_push_pending (struct controller *controller, int64_t now);

#endif
