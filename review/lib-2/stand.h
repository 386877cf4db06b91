/* Stand-ins for the cases of the second review: the platform that starts the processes, clients, an
 * operator and runners.  Blocking sockets and one thread a connection; nothing here is fast. */
#ifndef STAND_H
#define STAND_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STAND_TEXT 256
#define STAND_CONTROL_PORT 8628
#define STAND_DIRECTORY_PORT 8629
#define STAND_CLIENT_PORT 8625
#define STAND_READY_PORT 8621
#define STAND_RUNNER_PORT 8080

/* ---- outcome ---- */

/* Exit codes of a case. */
enum
{
  STAND_HELD = 0,
  STAND_BROKEN = 1,
  STAND_COULD_NOT_RUN = 2,
};

/* Opens record.txt, chooses loopback addresses and a temporary folder.  False if it cannot. */
bool stand_open (const char *record, double limit_s);

/* Writes a line with the time since the start to the record. */
void stand_note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Ends all processes and the case. */
void stand_exit (int code, const char *format, ...) __attribute__ ((format (printf, 2, 3), noreturn));

/* False if TROUBLE=0. */
bool stand_trouble (void);
int64_t stand_now_ms (void);
int64_t stand_unix_ms (void);
void stand_sleep_ms (int64_t ms);

/* A random hexadecimal id of 16 digits. */
void stand_id (char out[17]);

/* ---- machines ---- */

/* The loopback address of machine `number`, 1 to 250. */
const char *stand_ip (int number);

struct stand_process
{
  char name[32];
  char role[16]; /* "entry" or "controller" */
  int machine;
  bool started_before;
  pid_t pid; /* 0: not running */
};

struct stand_system
{
  int n_controllers;
  int n_entries;
  int memory_mb;
  struct stand_process controllers[5];
  struct stand_process entries[4];
};

/* Starts all processes with empty disks.  Controllers are machines 1 and up, entry hosts 11 and up. */
void stand_start_system (struct stand_system *system, int n_controllers, int n_entries,
                         int memory_mb);
void stand_start_process (struct stand_system *system, struct stand_process *process);
void stand_kill (struct stand_process *process);

/* Kills all processes of the system at one moment. */
void stand_kill_all (struct stand_system *system);
void stand_start_all (struct stand_system *system);

/* Kills a controller, removes its data and starts it again after that time. */
void stand_wipe (struct stand_system *system, struct stand_process *controller, int64_t down_ms);

/* Resident memory of the process in kB; 0 if it has ended. */
long stand_resident_kb (const struct stand_process *process);

/* Waits until the entry host says that it is ready. */
bool stand_wait_ready (const struct stand_process *entry, int64_t timeout_ms);

/* ---- HTTP ---- */

struct stand_message
{
  int status;      /* of a response; 0: none came */
  char method[16]; /* of a request */
  char target[512];
  char *head; /* header lines, each ending with CR LF; NUL at the end */
  char *body;
  size_t length;
  bool whole;
};

/* A connection with what was read beyond the last message. */
struct stand_connection
{
  int fd;
  char *held;
  size_t n_held;
  int number;
  char *extra; /* of a server: bytes that it sends where the next response is expected */
};

bool stand_dial (struct stand_connection *connection, const char *ip, int port);
void stand_hang_up (struct stand_connection *connection);

/* Closes with a reset. */
void stand_reset (struct stand_connection *connection);
bool stand_write (struct stand_connection *connection, const void *data, size_t length);

/* Reads one message; false if the connection ended, or nothing came in time, before its end. */
bool stand_read (struct stand_connection *connection, bool is_response, int64_t timeout_ms,
                 struct stand_message *out);
void stand_message_clear (struct stand_message *message);

/* Copies the header's value; false if there is none. */
bool stand_header (const struct stand_message *message, const char *name, char *out, size_t size);

/* One call on a connection of its own; the status, 0 without a whole answer. */
int stand_call (const char *ip, int port, const char *method, const char *target,
                const char *fields, const char *body, size_t length, int64_t timeout_ms,
                struct stand_message *out);

struct stand_server;

/* Handles one request; false to close the connection after it. */
typedef bool (*stand_handler) (void *user, struct stand_connection *connection,
                               const struct stand_message *request);

struct stand_server *stand_serve (const char *ip, int port, stand_handler handler, void *user);

/* ---- the operator ---- */

/* Sends the configuration to one controller after the other until it is acknowledged. */
bool stand_configure (const struct stand_system *system, const char *config, int64_t timeout_ms);

/* ---- runners ---- */

struct stand_runner
{
  char id[32];
  char service[32];
  char ip[32];
  char zone[16];
  char version[16];
  int slots;
  int64_t born;
  int sequence;
  int controller; /* its heartbeats go here first */
  volatile bool beats;
  const struct stand_system *system;
};

/* The heartbeat's body with the next number. */
void stand_heartbeat_body (struct stand_runner *runner, char *out, size_t size);

/* Sends a heartbeat to that controller; the status. */
int stand_heartbeat (struct stand_runner *runner, int controller);

/* Sends heartbeats each 1.2 s until `beats` is false. */
void stand_begin_heartbeats (struct stand_runner *runner);

#endif
