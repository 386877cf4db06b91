/* Forwards targets' load reports from their home host to the hosts that use the targets.  The
 * reports are carried in directory answers, at most DIRECTORY_LOADS_MAX in each, with their age. */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include "decls.h"
#include "directory_state.h"

BEGIN_DECLS

/* Lists in `ask` the targets of `home` that this host uses. */
void load_report_request (const struct directory *directory,
                          struct directory_home *home,
                          struct directory_request_message *ask,
                          int64_t now);

/* Adds to `answer` the reports that `ask` lists. */
void load_report_answer (struct directory *directory,
                         const struct directory_request_message *ask,
                         struct directory_head *answer,
                         int64_t now);

/* Stores the reports of an answer of `home`. */
void load_report_apply (struct directory *directory,
                        const struct directory_home *home,
                        const struct directory_head *answer,
                        int64_t now);

END_DECLS

#endif
