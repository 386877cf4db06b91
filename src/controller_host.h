/* The process of a controller: replicates the configuration with the other controllers and tracks
 * targets and entry hosts. */
#ifndef CONTROLLER_HOST_H
#define CONTROLLER_HOST_H

#include "consensus.h"
#include "controller.h"
#include "document.h"
#include "role_base.h"

BEGIN_DECLS

struct controller_host;

struct controller_host_config
{
  const struct role_settings *settings;
  struct h1_handler *control; /* serve control_address and entries_address */
  struct h1_handler *entries;
};

/* A talloc root.  NULL on failure, which has been logged. */
struct controller_host *controller_host_new (const struct controller_host_config *config);

/* Runs until a signal stops the loop, then frees `host`; returns the exit code. */
int controller_host_run (struct controller_host *host);
struct role_base *controller_host_base (struct controller_host *host);
struct controller *controller_host_controller (struct controller_host *host);
struct consensus *controller_host_consensus (struct controller_host *host);
struct document *controller_host_document (struct controller_host *host);
struct evacuation_control *controller_host_evacuations (struct controller_host *host);

END_DECLS

#endif
