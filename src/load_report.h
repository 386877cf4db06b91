/* Targets' load reports passed on by their home: only to hosts that have work on the target, inside
 * the answers they ask for anyway, at most DIRECTORY_LOADS_MAX in one, the age kept. */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include "decls.h"
#include "directory_state.h"

BEGIN_DECLS

/* The targets of `home` that we have work on, for a question to it. */
void load_report_interest (const struct directory *directory,
                           struct directory_home *home,
                           struct directory_ask_message *ask,
                           int64_t now);

/* The reports for an answer to `ask`. */
void load_report_choose (struct directory *directory,
                         const struct directory_ask_message *ask,
                         struct directory_head *answer,
                         int64_t now);

/* Take the reports of an answer of `home`. */
void load_report_apply (struct directory *directory,
                        const struct directory_home *home,
                        const struct directory_head *answer,
                        int64_t now);

END_DECLS

#endif
