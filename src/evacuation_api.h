/* Orders of evacuation over HTTP: checks a call, and answers it when its outcome is known. */
#ifndef EVACUATION_API_H
#define EVACUATION_API_H

#include "decls.h"
#include "evacuation_control.h"
#include "h1_server.h"

BEGIN_DECLS

/* An interface that takes orders. */
struct evacuation_api_ops
{
  /* Answers a call in the format of the interface.  `fields` are header lines or NULL; `message` is
   * NULL for a success. */
  void (*reply) (struct h1_exchange *exchange,
                 unsigned status,
                 const char *fields,
                 const char *message);
};

/* Takes the call of an order for the domain that `name`, of `length` bytes, names.  `control` may
 * be NULL while the controller starts. */
void evacuation_api_order (struct evacuation_control *control,
                           struct h1_exchange *exchange,
                           const char *name,
                           size_t length,
                           bool begins,
                           const struct evacuation_api_ops *ops,
                           int64_t now);

/* The caller of an order disconnected. */
void evacuation_api_gone (struct h1_exchange *exchange, int64_t now);

/* The operators' interface: "/evacuations", "/evacuations/begin/D" and "/evacuations/finish/D".
 * False if the call is not one of these. */
bool evacuation_api_serve_metrics (struct evacuation_control *control,
                                   struct h1_exchange *exchange,
                                   int64_t now);

END_DECLS

#endif
