/* Messages about requests that end targets (PEER_CHANNEL_QUARANTINE).
 *
 * Points in time go as ages, since clocks of hosts differ. */
#ifndef QUARANTINE_WIRE_H
#define QUARANTINE_WIRE_H

#include "bytes.h"
#include "decls.h"
#include "quarantine.h"

BEGIN_DECLS

/* Suspects in one message at most: about 24 kB. */
#define QUARANTINE_WIRE_MAX 64

/* Written into messages: never renumbered. */
enum quarantine_message
{
  QUARANTINE_NEWS = 1,    /* suspects */
  QUARANTINE_RELAY = 2,   /* the same, to be passed on to all entry hosts */
  QUARANTINE_SUMMARY = 3, /* of a table: whose differs answers with its suspects and its summary */
  QUARANTINE_ANSWER = 4,  /* the summary of who answers: whose still differs sends its suspects */
};

/* A message of suspects begins so; as many follow. */
void quarantine_write_news (enum quarantine_message kind, uint32_t n, struct bytes *out);
void quarantine_write_suspect (const struct quarantine_suspect *suspect,
                               int64_t now,
                               struct bytes *out);
void quarantine_write_summary (enum quarantine_message kind, uint64_t summary, struct bytes *out);

/* What a message holds. */
struct quarantine_said
{
  enum quarantine_message kind;
  uint64_t summary;
  uint32_t n;
  struct quarantine_suspect suspects[QUARANTINE_WIRE_MAX];
};

/* False when it is not a whole message. */
bool quarantine_read (const void *data, size_t length, int64_t now, struct quarantine_said *out);

END_DECLS

#endif
