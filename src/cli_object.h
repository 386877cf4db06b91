/* Resources as operators write them in files, and the reporting of answers about them. */
#ifndef CLI_OBJECT_H
#define CLI_OBJECT_H

#include "cli.h"
#include "cli_session.h"
#include "decls.h"
#include "resource.h"
#include <jansson.h>

BEGIN_DECLS

#define CLI_PATH_SIZE 192

struct cli_object
{
  enum resource_kind kind;
  char name[RESOURCE_NAME_SIZE];
  json_t *json;
};

struct cli_objects
{
  struct cli_object *items; /* talloc */
  size_t count;
};

/* The objects of a JSON file (one object or an array of them), or of the *.json files of a folder
 * in the order of their names.  All of them are read before any is used; status_message() names
 * the file and the fault. */
enum status cli_objects_read (void *parent, const char *path, struct cli_objects *out);
void cli_objects_clear (struct cli_objects *objects);

/* The kind of that plural; false when there is none. */
bool cli_kind_find (const char *plural, enum resource_kind *out);

/* "pipelines, services, ...". */
void cli_kind_list (char *out, size_t size);

/* The kind named by a command's argument, or the end of the process with a usage message. */
enum resource_kind cli_kind_argument (const char *text, struct argp_state *argp);

/* Say on standard error what an answer with an error code holds; the exit code for it. */
enum cli_exit cli_report_error (const struct cli_answer *answer, const char *about);

/* For a call without an answer: print status_message(). */
enum cli_exit cli_report_failure (void);

/* The answer's body as JSON, a new reference; NULL, reported, when it is none. */
json_t *cli_answer_json (const struct cli_answer *answer);

/* Print `json` on standard output with a line feed. */
void cli_print_json (const json_t *json, size_t flags);

/* Print objects of one kind as a table. */
void cli_print_table (enum resource_kind kind, const json_t *items);

END_DECLS

#endif
