/* Messages between entry hosts and controllers, and among controllers.
 *
 * An entry host polls every controller.  Each answer carries what the entry host lacks and, once a
 * quorum has confirmed it, that the configuration is the newest.  Changes are pushed at once in the
 * same format.
 *
 * The configuration may be large, and an entry host's link slow.  A state therefore only names its
 * version.  The entry host requests the text from one controller at a time, and its next request is
 * for the version that is the newest then; so at most one text is on its way, whatever the number
 * of controllers and changes.  SYNC_DOCUMENT_REQUEST also tells a controller that its sender does
 * this: entry hosts of earlier releases get the text with each state.  Controllers of earlier
 * releases ignore the message and send the text with each state to all.
 *
 * Each side sends on connections that it opened itself.  One that delivers nothing may show no
 * error for seconds or for good, so the entry host watches whether its requests are answered: it
 * replaces its own connection, and SYNC_UNANSWERED makes the controller replace the other one.
 * Controllers of releases without this message ignore it.
 *
 * Records of targets do not hold the versions of their software, as hosts of earlier releases read
 * records of a fixed length.  An entry host asks for the versions of the targets that a state
 * lists, and with each request for those that it does not know yet.
 *
 * SYNC_EVACUATIONS goes before each state that answers a request, so that a confirmation does not
 * arrive without the set that it covers, and at once on a change; never if no order was ever
 * given.  Entry hosts of releases without this message ignore it. */
#ifndef SYNC_H
#define SYNC_H

#include "bytes.h"
#include "decls.h"
#include "pack.h"
#include "registry.h"
#include "routing.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* Limits of one fleet.  While all of 360 entry hosts are replaced, twice as many exist. */
#define SYNC_HOSTS_MAX 1024
#define SYNC_CONTROLLERS_MAX 16
#define SYNC_TARGETS_MAX 16384

/* Written into messages: never renumbered. */
enum sync_message
{
  SYNC_REQUEST = 0,    /* entry host to controller */
  SYNC_STATE = 1,      /* controller to entry host */
  SYNC_TARGET = 2,     /* controller to controller: a leaving target, which others must know too */
  SYNC_TARGET_ACK = 3, /* its acknowledgement */
  SYNC_UNANSWERED = 4, /* entry host to controller: no state arrived since a request */
  SYNC_REACH = 5,      /* entry host to controller: the pools that it has lost */
  SYNC_REACH_LIST = 6, /* controller to entry host: all hosts that have lost pools */
  SYNC_VERSION_REQUEST = 7,   /* entry host to controller: targets whose versions it needs */
  SYNC_VERSIONS = 8,          /* controller to entry host: versions of targets */
  SYNC_EVACUATIONS = 9,       /* controller to entry host: evacuated failure domains */
  SYNC_DOCUMENT_REQUEST = 10, /* entry host to controller: the configuration */
  SYNC_DOCUMENT = 11,         /* its answer */
  SYNC_MESSAGE_COUNT
};

/* An entry host as it describes itself. */
struct sync_host
{
  char name[ROUTING_NAME_SIZE];    /* its peer address */
  char address[ROUTING_NAME_SIZE]; /* where clients connect */
  char domain[ROUTING_NAME_SIZE];
  char region[ROUTING_NAME_SIZE];
  uint64_t incarnation;
  bool ready;
  bool leaving;
};

struct sync_request
{
  uint64_t nonce;
  uint64_t document;   /* version held */
  uint64_t controller; /* incarnation that numbered the revisions below */
  uint64_t targets;    /* revision of its registry held */
  uint64_t hosts;      /* revision of its list of entry hosts held */
  struct sync_host self;
};

struct sync_document_request
{
  uint64_t incarnation; /* of the sender */
  uint64_t number;      /* that the answer repeats */
  bool wanted;          /* else the sender only tells that it requests documents */
  uint64_t held;        /* version that the answer may be a difference from; 0: none */
};

/* Followed by the document in the format of patch.h. */
struct sync_document
{
  uint64_t number;
  uint64_t version;
  uint64_t base; /* version that it is a difference from; 0: none */
};

/* The header of a state.  It is followed by the document if `has_document`, target records,
 * renewals, entry hosts if `has_hosts`, and controllers; for an entry host that requests documents
 * also by the revision that the target records follow.  A host that holds less has missed a state:
 * it keeps the revision that it holds, so that the next answer brings both. */
struct sync_state
{
  uint64_t controller;
  uint64_t nonce;    /* of the request it answers; 0 when pushed */
  bool confirmed;    /* a quorum confirmed after the request that `document` is the newest */
  uint64_t document; /* version that this controller holds */
  uint64_t targets;  /* revision after this message */
  uint64_t hosts;
  bool has_document;
  bool has_hosts;
};

/* A renewal of a target in short form, with the hash of its id. */
struct sync_renewal
{
  uint64_t id_hash;
  uint64_t started; /* incarnation that the sequence belongs to */
  uint64_t sequence;
  uint64_t age; /* in us */
};

#define SYNC_LOST_POOLS_MAX 64

/* The pools of which an entry host reaches no target although these renew their leases. */
struct sync_reach
{
  bool requests_lost; /* one of them takes requests: callers are better served elsewhere */
  uint32_t n;
  char pools[SYNC_LOST_POOLS_MAX][ROUTING_NAME_SIZE];
};

/* Targets in one message of versions, or in one request for them. */
#define SYNC_VERSIONS_MAX 1024

/* The targets whose versions an entry host needs. */
struct sync_version_request
{
  uint32_t n;
  uint64_t id_hashes[SYNC_VERSIONS_MAX];
};

void sync_write_header (enum sync_message type, struct bytes *out);
bool sync_read_type (struct pack_reader *in, enum sync_message *type);
void sync_write_request (const struct sync_request *request, struct bytes *out);
bool sync_read_request (struct pack_reader *in, struct sync_request *request);
/* `nonce`: of the first request since the last state that arrived. */
void sync_write_unanswered (uint64_t nonce, struct bytes *out);
bool sync_read_unanswered (struct pack_reader *in, uint64_t *nonce);
void sync_write_reach (const struct sync_reach *reach, struct bytes *out);
bool sync_read_reach (struct pack_reader *in, struct sync_reach *reach);
void sync_write_version_request (const struct sync_version_request *request, struct bytes *out);
bool sync_read_version_request (struct pack_reader *in, struct sync_version_request *request);

/* A host and a pool that it has lost, as lists of them name both: each host gets such a list from
 * each controller. */
uint64_t sync_lost_hash (const char *host, const char *pool);
void sync_write_state (const struct sync_state *state, struct bytes *out);
bool sync_read_state (struct pack_reader *in, struct sync_state *state);
void sync_write_document_request (const struct sync_document_request *request, struct bytes *out);
bool sync_read_document_request (struct pack_reader *in, struct sync_document_request *request);
void sync_write_document (const struct sync_document *document, struct bytes *out);
bool sync_read_document (struct pack_reader *in, struct sync_document *document);
void sync_write_host (const struct sync_host *host, struct bytes *out);
bool sync_read_host (struct pack_reader *in, struct sync_host *host);
void sync_write_renewal (const struct sync_renewal *renewal, struct bytes *out);
bool sync_read_renewal (struct pack_reader *in, struct sync_renewal *renewal);

END_DECLS

#endif
