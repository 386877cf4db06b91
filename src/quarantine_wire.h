/* Messages about suspects (PEER_CHANNEL_QUARANTINE).
 *
 * Times are sent as ages, because the clocks of hosts differ. */
#ifndef QUARANTINE_WIRE_H
#define QUARANTINE_WIRE_H

#include "bytes.h"
#include "decls.h"
#include "quarantine.h"

BEGIN_DECLS

/* Suspects per message; a full message takes about 24 kB. */
#define QUARANTINE_MESSAGE_SUSPECTS_MAX 64

/* Written into messages: never renumbered. */
enum quarantine_message
{
  QUARANTINE_UPDATE = 1,        /* suspects */
  QUARANTINE_RELAY = 2,         /* suspects, to be relayed to all entry hosts */
  QUARANTINE_SUMMARY = 3,       /* table hash; a receiver that differs sends suspects and hash */
  QUARANTINE_SUMMARY_REPLY = 4, /* hash in a reply; a receiver that differs sends suspects */
};

/* Header of a message of suspects; `n` suspects follow. */
void quarantine_encode_header (enum quarantine_message kind, uint32_t n, struct bytes *out);
void quarantine_encode_suspect (const struct quarantine_suspect *suspect,
                                int64_t now,
                                struct bytes *out);
void quarantine_encode_summary (enum quarantine_message kind, uint64_t summary, struct bytes *out);

/* A decoded message. */
struct quarantine_decoded
{
  enum quarantine_message kind;
  uint64_t summary;
  uint32_t n;
  struct quarantine_suspect suspects[QUARANTINE_MESSAGE_SUSPECTS_MAX];
};

/* False if the message is malformed or incomplete. */
bool quarantine_decode (const void *data,
                        size_t length,
                        int64_t now,
                        struct quarantine_decoded *out);

END_DECLS

#endif
