/* An entry host: takes requests from clients and forwards them. */
#ifndef ENTRY_HOST_H
#define ENTRY_HOST_H

#include "dialect.h"
#include "role_base.h"
#include "routing.h"

BEGIN_DECLS

struct entry_host;

struct entry_host_config
{
  const struct role_settings *settings;
  struct routing_codec *codec;
  struct dialect *dialect;
  struct h1_handler *ready; /* serves the ready address */
};

/* A talloc root.  NULL on failure, which has been logged. */
struct entry_host *entry_host_new (const struct entry_host_config *config);
bool entry_host_is_ready (const struct entry_host *host);

/* Runs until a signal stops the loop, then frees `host`; returns the exit code. */
int entry_host_run (struct entry_host *host);

struct role_base *entry_host_base (struct entry_host *host);

/* Applies new settings: only the seeds may change while the process runs. */
void entry_host_reload (struct entry_host *host, const struct role_settings *settings);

END_DECLS

#endif
