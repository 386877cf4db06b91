/* Declarations shared by the subscriber_*.c files. */
#ifndef SUBSCRIBER_PRIVATE_H
#define SUBSCRIBER_PRIVATE_H

#include "host_view.h"
#include "subscriber.h"
#include "version_lag.h"

/* Requests whose answers still count; the next request is sent before a slow answer arrives. */
#define REQUESTS_KEPT 8

struct request_record
{
  uint64_t nonce;
  int64_t sent_at; /* on a clock that includes system suspend */
  bool introduced; /* after a message that this host requests documents */
};

/* A quorum's confirmation of a version that this host does not hold yet. */
struct early_confirmation
{
  uint64_t document; /* 0: none */
  int64_t requested_at;
};

/* The request for the configuration. */
struct document_fetch
{
  bool out;         /* sent, and neither answered nor given up */
  uint64_t number;  /* of the newest request */
  uint32_t turn;    /* place of the controller to be asked first */
  int64_t timeout;  /* of the request that is out */
  int64_t earliest; /* not before; see FETCH_WORK_SHARE */
  int64_t retry_at; /* when it is given up; if none is out, when a version that could not be decoded
                       is requested again */
  bool wants_whole; /* the last answer was no difference from the version held */
};

struct known_controller
{
  char name[ROUTING_NAME_SIZE];
  bool seed;
  uint64_t incarnation;
  uint64_t introduced; /* incarnation that was told that this host requests documents; 0: none */
  uint64_t document;   /* version that it holds, as it said */
  struct early_confirmation early;
  uint64_t targets; /* revisions held */
  uint64_t hosts;
  uint64_t last_nonce;
  struct request_record requests[REQUESTS_KEPT]; /* the latest, by nonce modulo REQUESTS_KEPT */
  int64_t next_request;
  uint64_t unanswered_nonce; /* of the first request sent since a state was received */
  int64_t unanswered_since;  /* when it was sent; 0: none */
  int64_t next_reconnect;    /* not before; 0: any time */
  int64_t heard;             /* 0: never */
  int64_t named_at;          /* last named by another controller */
  bool reachable;
  uint32_t n_list;
  struct sync_host *list; /* entry hosts that it listed last */
  uint64_t *lost;         /* sorted hashes of the hosts and pools that these have lost */
  uint32_t n_lost;
  int64_t lost_at; /* when it sent them */
  bool reach_due;  /* it is to be sent what this host has lost */
};

struct subscriber
{
  struct subscriber_config config;
  struct peer_listener listener;
  struct timer tick;
  struct routing *routing; /* in force once confirmed; its version is the one held */
  struct bytes document;   /* its text */
  struct document_fetch fetch;
  uint64_t not_understood; /* newest version that could not be decoded; 0: none */
  struct version_lag lag;  /* of the configuration, on a clock that includes system suspend */
  bool lag_logged;
  struct registry *registry;
  struct evacuation_view evacuations;
  struct known_controller controllers[SYNC_CONTROLLERS_MAX];
  uint32_t n_controllers;
  struct sync_host self;
  struct sync_reach reach; /* the pools that this host has lost */
  struct host_view view;
  bool knows_hosts; /* a controller has listed the entry hosts since the start */
  bool view_stale;  /* must be merged again; its pointers may be to freed lists */
  bool view_was_full;
  struct subscriber_wait *waits; /* oldest first */
  uint32_t confirmer;            /* index of the controller asked last for a wait */
  int64_t confirm_requested_at;
  bool confirmed;
  bool was_ready;
  int64_t confirmed_at;
  int64_t now;
  int64_t ticked_at;
  int64_t expire_at;
  struct counter *confirmations;
  struct counter *malformed;
  struct counter *reconnects;
  struct counter *merges;
  struct counter *left_out;
  struct counter *documents;
  struct counter *document_bytes;
  struct counter *superseded;
  struct counter *fetch_timeouts;
  struct counter *missed_states;
  struct counter *age_gauge;
  struct counter *behind_gauge;
  struct counter *version_gauge;
  struct counter *evacuated_domains;
};

/* subscriber.c: known controllers */
struct known_controller *subscriber_find_controller (struct subscriber *self, const char *name);
struct known_controller *subscriber_add_controller (struct subscriber *self,
                                                    const char *name,
                                                    int64_t now);
void subscriber_set_reachable (struct subscriber *self,
                               struct known_controller *controller,
                               bool reachable,
                               int64_t now);
void subscriber_send_request (struct subscriber *self,
                              struct known_controller *controller,
                              int64_t now);

enum status subscriber_send (struct subscriber *self,
                             const struct known_controller *controller,
                             struct bytes *message);

/* subscriber_document.c: the configuration */
uint64_t subscriber_version (const struct subscriber *self);

/* Notes that a controller holds the version. */
void subscriber_learn_version (struct subscriber *self, uint64_t version);

/* Updates the gauge of the time behind, and logs once when it grows long. */
void subscriber_report_lag (struct subscriber *self);

/* Puts the document in force if it is newer than the version held and can be decoded. Confirmations
 * that waited for it count then. */
void subscriber_apply_document (struct subscriber *self,
                                const struct known_controller *from,
                                uint64_t version,
                                const void *text,
                                size_t length);

/* subscriber_fetch.c: requests for the configuration */

/* Requests it of a controller if it is lacked and no request is out. */
void subscriber_fetch_document (struct subscriber *self, int64_t now);
void subscriber_handle_document (struct subscriber *self,
                                 const struct known_controller *controller,
                                 struct pack_reader *in,
                                 int64_t now);

/* Tells the controller that this host requests documents itself. */
void subscriber_introduce (struct subscriber *self, const struct known_controller *controller);

/* subscriber_reach.c: hosts that have lost pools */
void subscriber_send_reach (struct subscriber *self, struct known_controller *controller);
void subscriber_handle_reach_list (struct subscriber *self,
                                   struct known_controller *controller,
                                   struct pack_reader *in,
                                   int64_t now);

/* subscriber_version.c: versions of targets */

/* Add a target to the request and send it when it is full. */
void subscriber_need_version (struct subscriber *self,
                              const struct known_controller *controller,
                              struct sync_version_request *request,
                              uint64_t id_hash);

/* Send the request unless it is empty, and empty it. */
void subscriber_request_versions (struct subscriber *self,
                                  const struct known_controller *controller,
                                  struct sync_version_request *request);

/* Request the versions of all targets whose version is not known. */
void subscriber_request_unknown_versions (struct subscriber *self,
                                          const struct known_controller *controller);
void subscriber_handle_versions (struct subscriber *self,
                                 const struct known_controller *controller,
                                 struct pack_reader *in,
                                 int64_t now);

/* subscriber_evacuation.c: evacuated failure domains */

/* Sets the mark of a target; true if it changed. */
bool subscriber_mark_target (const struct subscriber *self, struct registry_target *target);

/* Sets the marks of all targets and reports those that changed. */
void subscriber_mark_targets (struct subscriber *self, int64_t now);
void subscriber_handle_evacuations (struct subscriber *self,
                                    const struct known_controller *controller,
                                    struct pack_reader *in,
                                    int64_t now);

/* subscriber_wait.c: waits for a confirmation */
void subscriber_request_confirmation (struct subscriber *self, int64_t now);
void subscriber_end_waits (struct subscriber *self, int64_t now);

/* subscriber_state.c: handling of controllers' states */

/* A quorum confirmed, after a request that was sent at `requested_at`, that the version held is the
 * newest. */
void subscriber_confirm (struct subscriber *self, int64_t requested_at);
extern const struct peer_listener_ops subscriber_listener_ops;
void subscriber_update_ready (struct subscriber *self);

/* Report the targets whose record changed after revision `since` to the listener. */
void subscriber_report_changed (struct subscriber *self, uint64_t since, int64_t now);

#endif
