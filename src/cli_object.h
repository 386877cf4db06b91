/* Reading of resource files, and reporting of the responses of hosts. */
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

/* Reads the objects of a JSON file (one object or an array of them), or of the *.json files of a
 * folder in the order of their names.  On an error `out` is empty and status_message() names the
 * file and the error. */
enum status cli_objects_read (void *parent, const char *path, struct cli_objects *out);
void cli_objects_clear (struct cli_objects *objects);

/* Finds the kind with this plural; false when there is none. */
bool cli_kind_find (const char *plural, enum resource_kind *out);

/* Writes the plurals of all kinds: "pipelines, services, ...". */
void cli_list_kinds (char *out, size_t size);

/* Returns the kind that a command's argument names; exits with a usage message if there is none. */
enum resource_kind cli_parse_kind_argument (const char *text, struct argp_state *argp);

/* Prints an error response on standard error and returns the exit code for it. */
enum cli_exit cli_report_error (const struct cli_answer *answer, const char *about);

/* Prints status_message() for a call that got no response; returns CLI_EXIT_UNREACHABLE. */
enum cli_exit cli_report_unreachable (void);

/* Returns a new reference to the response body as JSON; NULL, with the error printed, if it is not
 * JSON. */
json_t *cli_answer_json (const struct cli_answer *answer);

/* Prints `json` on standard output with a line feed. */
void cli_print_json (const json_t *json, size_t flags);

/* Prints objects of one kind as a table. */
void cli_print_table (enum resource_kind kind, const json_t *items);

END_DECLS

#endif
