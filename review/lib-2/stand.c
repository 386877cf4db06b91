#include "stand.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1200
#define CHILDREN_MAX 64

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_at;
static int net_a, net_b;
static char folder[STAND_TEXT];
static pid_t children[CHILDREN_MAX];
static int n_children;
static pthread_mutex_t children_lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- time and outcome ---- */

int64_t
stand_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
stand_unix_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
stand_sleep_ms (int64_t ms)
{
  struct timespec span = { .tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000 };

  if (ms > 0)
    nanosleep (&span, NULL);
}

void
stand_note (const char *format, ...)
{
  va_list args;
  int64_t at = stand_now_ms () - started_at;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%3lld.%03lld ", (long long) at / 1000, (long long) at % 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

static void
end_children (void)
{
  pthread_mutex_lock (&children_lock);
  for (int i = 0; i < n_children; i++)
    kill (children[i], SIGKILL);
  for (int i = 0; i < n_children; i++)
    waitpid (children[i], NULL, 0);
  n_children = 0;
  pthread_mutex_unlock (&children_lock);
}

static void
remove_tree (const char *path)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      execlp ("rm", "rm", "-rf", path, (char *) NULL);
      _exit (1);
    }
  if (pid > 0)
    waitpid (pid, NULL, 0);
}

void
stand_exit (int code, const char *format, ...)
{
  static const char *const words[] = { "HELD", "BROKEN", "COULD NOT RUN" };
  char text[1024];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  stand_note ("%s: %s", words[code], text);
  printf ("%s: %s\n", words[code], text);
  fflush (stdout);
  end_children ();
  if (folder[0] != '\0' && getenv ("KEEP") == NULL)
    remove_tree (folder);
  _exit (code);
}

static void *
watch_time (void *limit)
{
  stand_sleep_ms ((int64_t) (*(double *) limit * 1000));
  stand_exit (STAND_COULD_NOT_RUN, "the time is over");
  return NULL;
}

static void
handle_signal (int signo)
{
  (void) signo;
  for (int i = 0; i < n_children; i++)
    kill (children[i], SIGKILL);
  _exit (STAND_COULD_NOT_RUN);
}

bool
stand_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

void
stand_id (char out[17])
{
  uint64_t number = 0;
  int fd = open ("/dev/urandom", O_RDONLY | O_CLOEXEC);

  if (fd < 0 || read (fd, &number, sizeof number) != (ssize_t) sizeof number)
    number = (uint64_t) stand_now_ms () * 2654435761u;
  if (fd >= 0)
    close (fd);
  snprintf (out, 17, "%016llx", (unsigned long long) number);
}

const char *
stand_ip (int number)
{
  static char texts[251][32];

  snprintf (texts[number], sizeof texts[number], "127.%d.%d.%d", net_a, net_b, number);
  return texts[number];
}

/* Whether another process listens on the case's addresses. */
static bool
net_is_free (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (STAND_CONTROL_PORT) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool free;

  inet_pton (AF_INET, stand_ip (1), &address.sin_addr);
  free = bind (fd, (struct sockaddr *) &address, sizeof address) == 0;
  close (fd);
  return free;
}

bool
stand_open (const char *path, double limit_s)
{
  static double limit;
  const char *base = getenv ("TMPDIR");
  pthread_t thread;
  char id[17];

  started_at = stand_now_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, handle_signal);
  signal (SIGINT, handle_signal);
  record = fopen (path, "we");
  if (record == NULL)
    return false;
  for (int i = 0; i < 50; i++)
    {
      stand_id (id);
      net_a = 10 + id[0] % 200;
      net_b = (int) (strtoul (id + 8, NULL, 16) % 250) + 1;
      if (net_is_free ())
        break;
    }
  snprintf (folder, sizeof folder, "%s/cherryarch-review-XXXXXX", base == NULL ? "/tmp" : base);
  if (mkdtemp (folder) == NULL)
    return false;
  limit = limit_s;
  pthread_create (&thread, NULL, watch_time, &limit);
  stand_note ("trouble %s", stand_trouble () ? "yes" : "no");
  return true;
}

/* ---- processes ---- */

static void
write_settings (const struct stand_system *system, const struct stand_process *process)
{
  const char *ip = stand_ip (process->machine);
  bool is_entry = strcmp (process->role, "entry") == 0;
  char path[2 * STAND_TEXT];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s.json", folder, process->name);
  file = fopen (path, "we");
  if (file == NULL)
    stand_exit (STAND_COULD_NOT_RUN, "%s cannot be written", path);
  fprintf (file,
           "{\"NodeName\":\"%s\",\"Role\":\"%s\",\"MachineClass\":\"%s\",\"Ip\":\"%s\","
           "\"Zone\":\"z-a\",\"Region\":\"r\",\"Zones\":{\"z-a\":\"r\",\"z-b\":\"r\",\"z-c\":\"r\"},",
           process->name, process->role, is_entry ? "edge" : "core", ip);
  if (is_entry)
    fprintf (file, "\"Serves\":[\"edge\"],\"Listen\":{\"Frontend\":\"%s:%d\",\"Ready\":\"%s:%d\"},",
             ip, STAND_CLIENT_PORT, ip, STAND_READY_PORT);
  else
    fprintf (file,
             "\"Serves\":[\"control_plane\",\"registry\"],"
             "\"Listen\":{\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"},",
             ip, STAND_CONTROL_PORT, ip, STAND_DIRECTORY_PORT);
  fprintf (file, "\"InternalPorts\":[7740,7755],\"Seeds\":[");
  for (int i = 0; i < system->n_controllers && i < 3; i++)
    fprintf (file, "%s\"%s:%d\"", i == 0 ? "" : ",", stand_ip (system->controllers[i].machine),
             STAND_CONTROL_PORT);
  fprintf (file,
           "],\"Bootstrap\":%s,\"InTolerance\":%s,"
           "\"Limits\":{\"CpuShare\":0.25,\"Cores\":1,\"MemoryMb\":%d,\"MaxFds\":4100,"
           "\"LinkMbps\":1000.0,\"DiskMb\":%d},",
           process->started_before ? "false" : "true", is_entry ? "false" : "true",
           is_entry ? system->memory_mb : 256, is_entry ? 0 : 128);
  if (is_entry)
    fprintf (file, "\"DataDir\":null,");
  else
    fprintf (file, "\"DataDir\":\"%s/%s.data\",", folder, process->name);
  fprintf (file,
           "\"Discovery\":\"registration\",\"Entry\":\"registry\",\"HeartbeatMs\":%d,"
           "\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
           "\"stream\",\"tenants\",\"stages\"],"
           "\"FaultTolerance\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},"
           "\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckMs\":4000,"
           "\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,"
           "\"ConfigApplyMs\":2000,\"DowngradeMs\":250,\"OuterMs\":5000,\"FailClosed\":true,"
           "\"RevokeMs\":5000,\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":52,"
           "\"RecoverS\":12,\"EventDelayMs\":120,\"ReuseWindowS\":10,\"ttl_max_s\":5},"
           "\"ConfigMode\":\"highest\"}\n",
           HEARTBEAT_MS);
  fclose (file);
}

void
stand_start_process (struct stand_system *system, struct stand_process *process)
{
  char settings[2 * STAND_TEXT];
  char log[2 * STAND_TEXT];
  char data[2 * STAND_TEXT];
  char variable[2 * STAND_TEXT + 32];
  char *argv[] = { "target/cherryarch", process->role, NULL };
  char *envp[] = { "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C.UTF-8", variable, NULL };
  pid_t parent = getpid ();

  write_settings (system, process);
  snprintf (settings, sizeof settings, "%s/%s.json", folder, process->name);
  snprintf (log, sizeof log, "%s/%s.log", folder, process->name);
  snprintf (data, sizeof data, "%s/%s.data", folder, process->name);
  snprintf (variable, sizeof variable, "CHERRYARCH_SETTINGS=%s", settings);
  mkdir (data, 0700);
  pthread_mutex_lock (&children_lock);
  process->pid = fork ();
  if (process->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (1);
      dup2 (fd, 1);
      dup2 (fd, 2);
      for (int i = 3; i < 1024; i++)
        close (i);
      execve (argv[0], argv, envp);
      _exit (127);
    }
  if (process->pid < 0)
    stand_exit (STAND_COULD_NOT_RUN, "fork: %s", strerror (errno));
  children[n_children++] = process->pid;
  pthread_mutex_unlock (&children_lock);
  process->started_before = true;
  stand_note ("platform: starts %s, process %d", process->name, (int) process->pid);
}

static void
reap (struct stand_process *process)
{
  pthread_mutex_lock (&children_lock);
  waitpid (process->pid, NULL, 0);
  for (int i = 0; i < n_children; i++)
    if (children[i] == process->pid)
      children[i] = children[--n_children];
  pthread_mutex_unlock (&children_lock);
  process->pid = 0;
}

void
stand_kill (struct stand_process *process)
{
  stand_note ("platform: SIGKILL to %s", process->name);
  kill (process->pid, SIGKILL);
  reap (process);
}

void
stand_kill_all (struct stand_system *system)
{
  stand_note ("platform: SIGKILL to all processes");
  for (int i = 0; i < system->n_controllers; i++)
    kill (system->controllers[i].pid, SIGKILL);
  for (int i = 0; i < system->n_entries; i++)
    kill (system->entries[i].pid, SIGKILL);
  for (int i = 0; i < system->n_controllers; i++)
    reap (&system->controllers[i]);
  for (int i = 0; i < system->n_entries; i++)
    reap (&system->entries[i]);
}

void
stand_start_all (struct stand_system *system)
{
  for (int i = 0; i < system->n_controllers; i++)
    stand_start_process (system, &system->controllers[i]);
  for (int i = 0; i < system->n_entries; i++)
    stand_start_process (system, &system->entries[i]);
}

void
stand_start_system (struct stand_system *system, int n_controllers, int n_entries, int memory_mb)
{
  memset (system, 0, sizeof *system);
  system->n_controllers = n_controllers;
  system->n_entries = n_entries;
  system->memory_mb = memory_mb;
  for (int i = 0; i < n_controllers; i++)
    {
      struct stand_process *process = &system->controllers[i];

      snprintf (process->name, sizeof process->name, "core-%d", i + 1);
      snprintf (process->role, sizeof process->role, "controller");
      process->machine = 1 + i;
    }
  for (int i = 0; i < n_entries; i++)
    {
      struct stand_process *process = &system->entries[i];

      snprintf (process->name, sizeof process->name, "edge-%d", i + 1);
      snprintf (process->role, sizeof process->role, "entry");
      process->machine = 11 + i;
    }
  stand_start_all (system);
}

void
stand_wipe (struct stand_system *system, struct stand_process *controller, int64_t down_ms)
{
  char data[2 * STAND_TEXT];

  stand_kill (controller);
  snprintf (data, sizeof data, "%s/%s.data", folder, controller->name);
  remove_tree (data);
  stand_note ("platform: the disk of %s is lost", controller->name);
  stand_sleep_ms (down_ms);
  stand_start_process (system, controller);
}

long
stand_resident_kb (const struct stand_process *process)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int) process->pid);
  file = fopen (path, "re");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, "VmRSS:", 6) == 0)
      kb = atol (line + 6);
  if (file != NULL)
    fclose (file);
  return kb;
}

bool
stand_wait_ready (const struct stand_process *entry, int64_t timeout_ms)
{
  int64_t until = stand_now_ms () + timeout_ms;

  while (stand_now_ms () < until)
    {
      if (stand_call (stand_ip (entry->machine), STAND_READY_PORT, "GET", "/v1/readyz", "", NULL, 0,
                      1000, NULL)
          == 200)
        return true;
      stand_sleep_ms (100);
    }
  return false;
}

/* ---- HTTP ---- */

bool
stand_dial (struct stand_connection *connection, const char *ip, int port)
{
  static int last_number;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  int yes = 1;

  memset (connection, 0, sizeof *connection);
  connection->number = __atomic_add_fetch (&last_number, 1, __ATOMIC_RELAXED);
  connection->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, ip, &address.sin_addr);
  if (connection->fd >= 0
      && connect (connection->fd, (struct sockaddr *) &address, sizeof address) == 0)
    {
      setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      return true;
    }
  if (connection->fd >= 0)
    close (connection->fd);
  connection->fd = -1;
  return false;
}

void
stand_hang_up (struct stand_connection *connection)
{
  if (connection->fd >= 0)
    close (connection->fd);
  connection->fd = -1;
  free (connection->held);
  free (connection->extra);
  connection->held = NULL;
  connection->extra = NULL;
  connection->n_held = 0;
}

void
stand_reset (struct stand_connection *connection)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (connection->fd >= 0)
    setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  stand_hang_up (connection);
}

bool
stand_write (struct stand_connection *connection, const void *data, size_t length)
{
  const char *at = data;

  while (length > 0)
    {
      ssize_t sent = send (connection->fd, at, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      at += sent;
      length -= (size_t) sent;
    }
  return true;
}

void
stand_message_clear (struct stand_message *message)
{
  free (message->head);
  free (message->body);
  memset (message, 0, sizeof *message);
}

bool
stand_header (const struct stand_message *message, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);
  const char *line = message->head;

  while (line != NULL && *line != '\0')
    {
      const char *end = strstr (line, "\r\n");

      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *value = line + length + 1;

          value += strspn (value, " \t");
          snprintf (out, size, "%.*s", (int) (end - value), value);
          return true;
        }
      line = end + 2;
    }
  return false;
}

/* Reads more into what is held: over 0, 0 at the end, below 0 when the time is over or on an error. */
static int
read_more (struct stand_connection *connection, int64_t until)
{
  struct pollfd poll_fd = { .fd = connection->fd, .events = POLLIN };
  int64_t left = until - stand_now_ms ();
  char buffer[65536];
  ssize_t got;

  if (left < 0 || poll (&poll_fd, 1, (int) left) <= 0)
    return -1;
  got = recv (connection->fd, buffer, sizeof buffer, 0);
  if (got <= 0)
    return (int) got;
  connection->held = realloc (connection->held, connection->n_held + (size_t) got + 1);
  memcpy (connection->held + connection->n_held, buffer, (size_t) got);
  connection->n_held += (size_t) got;
  connection->held[connection->n_held] = '\0';
  return 1;
}

static void
consume (struct stand_connection *connection, size_t length)
{
  memmove (connection->held, connection->held + length, connection->n_held - length + 1);
  connection->n_held -= length;
}

static void
add_body (struct stand_message *out, const char *data, size_t length)
{
  out->body = realloc (out->body, out->length + length + 1);
  memcpy (out->body + out->length, data, length);
  out->length += length;
  out->body[out->length] = '\0';
}

static bool
read_fixed (struct stand_connection *connection, size_t length, int64_t until,
            struct stand_message *out)
{
  while (connection->n_held < length)
    if (read_more (connection, until) <= 0)
      return false;
  add_body (out, connection->held, length);
  consume (connection, length);
  return true;
}

static bool
read_chunks (struct stand_connection *connection, int64_t until, struct stand_message *out)
{
  for (;;)
    {
      char *end;
      size_t length;

      while (connection->n_held == 0 || (end = strstr (connection->held, "\r\n")) == NULL)
        if (read_more (connection, until) <= 0)
          return false;
      length = strtoul (connection->held, NULL, 16);
      consume (connection, (size_t) (end - connection->held) + 2);
      if (length > 0 && !read_fixed (connection, length, until, out))
        return false;
      while (connection->n_held < 2)
        if (read_more (connection, until) <= 0)
          return false;
      consume (connection, 2);
      if (length == 0)
        return true;
    }
}

bool
stand_read (struct stand_connection *connection, bool is_response, int64_t timeout_ms,
            struct stand_message *out)
{
  int64_t until = stand_now_ms () + timeout_ms;
  char value[64];
  char *end;
  char *line_end;

  memset (out, 0, sizeof *out);
  while (connection->n_held == 0 || (end = strstr (connection->held, "\r\n\r\n")) == NULL)
    if (read_more (connection, until) <= 0)
      return false;
  line_end = strstr (connection->held, "\r\n");
  if (is_response)
    out->status = atoi (connection->held + strcspn (connection->held, " "));
  else
    sscanf (connection->held, "%15s %511s", out->method, out->target);
  out->head = strndup (line_end + 2, (size_t) (end - line_end));
  consume (connection, (size_t) (end - connection->held) + 4);
  add_body (out, "", 0);
  if (stand_header (out, "Transfer-Encoding", value, sizeof value))
    out->whole = read_chunks (connection, until, out);
  else if (stand_header (out, "Content-Length", value, sizeof value))
    out->whole = read_fixed (connection, strtoul (value, NULL, 10), until, out);
  else
    out->whole = true;
  return out->whole;
}

int
stand_call (const char *ip, int port, const char *method, const char *target, const char *fields,
            const char *body, size_t length, int64_t timeout_ms, struct stand_message *out)
{
  struct stand_connection connection;
  struct stand_message message;
  char head[4096];
  int status = 0;
  int n = snprintf (head, sizeof head, "%s %s HTTP/1.1\r\nHost: %s:%d\r\n%sContent-Length: %zu\r\n\r\n",
                    method, target, ip, port, fields, length);

  if (!stand_dial (&connection, ip, port))
    return 0;
  memset (&message, 0, sizeof message);
  if (stand_write (&connection, head, (size_t) n) && stand_write (&connection, body, length)
      && stand_read (&connection, true, timeout_ms, &message))
    status = message.status;
  stand_hang_up (&connection);
  if (out != NULL)
    *out = message;
  else
    stand_message_clear (&message);
  return status;
}

struct stand_server
{
  int fd;
  stand_handler handler;
  void *user;
};

struct served
{
  struct stand_server *server;
  struct stand_connection connection;
};

static void *
serve_connection (void *argument)
{
  struct served *served = argument;
  struct stand_message request;

  while (stand_read (&served->connection, false, 120000, &request))
    {
      bool goes_on = served->server->handler (served->server->user, &served->connection, &request);

      stand_message_clear (&request);
      if (!goes_on)
        break;
    }
  stand_message_clear (&request);
  stand_hang_up (&served->connection);
  free (served);
  return NULL;
}

static void *
accept_connections (void *argument)
{
  struct stand_server *server = argument;
  int number = 0;

  for (;;)
    {
      int fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
      struct served *served;
      pthread_t thread;
      int yes = 1;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      served = calloc (1, sizeof *served);
      served->server = server;
      served->connection.fd = fd;
      served->connection.number = ++number;
      pthread_create (&thread, NULL, serve_connection, served);
      pthread_detach (thread);
    }
  return NULL;
}

struct stand_server *
stand_serve (const char *ip, int port, stand_handler handler, void *user)
{
  struct stand_server *server = calloc (1, sizeof *server);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  pthread_t thread;
  int yes = 1;

  server->handler = handler;
  server->user = user;
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  inet_pton (AF_INET, ip, &address.sin_addr);
  if (bind (server->fd, (struct sockaddr *) &address, sizeof address) != 0
      || listen (server->fd, 256) != 0)
    stand_exit (STAND_COULD_NOT_RUN, "cannot listen on %s:%d", ip, port);
  pthread_create (&thread, NULL, accept_connections, server);
  pthread_detach (thread);
  return server;
}

/* ---- the operator ---- */

bool
stand_configure (const struct stand_system *system, const char *config, int64_t timeout_ms)
{
  int64_t until = stand_now_ms () + timeout_ms;

  for (int i = 0; stand_now_ms () < until; i++)
    {
      const struct stand_process *to = &system->controllers[i % system->n_controllers];
      int status = stand_call (stand_ip (to->machine), STAND_CONTROL_PORT, "POST",
                               "/v1/config/replace", "Content-Type: application/json\r\n", config,
                               strlen (config), 1000, NULL);

      if (status == 200)
        {
          stand_note ("operator: the configuration is acknowledged by %s", to->name);
          return true;
        }
      stand_sleep_ms (200);
    }
  return false;
}

/* ---- runners ---- */

void
stand_heartbeat_body (struct stand_runner *runner, char *out, size_t size)
{
  snprintf (out, size,
            "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\",\"Version\":\"%s\","
            "\"Slots\":%d,\"State\":\"ready\",\"ColdLeftMs\":0,\"Phase\":\"mixed\","
            "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Sequence\":%d,"
            "\"born\":%lld}",
            runner->service, runner->ip, STAND_RUNNER_PORT, runner->zone, runner->version,
            runner->slots, ++runner->sequence, (long long) runner->born);
}

int
stand_heartbeat (struct stand_runner *runner, int controller)
{
  char target[128];
  char body[1024];
  int at = controller % runner->system->n_controllers;

  stand_heartbeat_body (runner, body, sizeof body);
  snprintf (target, sizeof target, "/v1/instances/%s/heartbeat", runner->id);
  return stand_call (stand_ip (runner->system->controllers[at].machine), STAND_CONTROL_PORT, "POST",
                     target, "Content-Type: application/json\r\n", body, strlen (body), 1000, NULL);
}

static void *
beat (void *argument)
{
  struct stand_runner *runner = argument;
  bool known = false;

  while (runner->beats)
    {
      int status = stand_heartbeat (runner, runner->controller);

      if (status / 100 == 2 && !known)
        stand_note ("runner %s at %s: registered at controller %d", runner->id, runner->ip,
                    runner->controller % runner->system->n_controllers + 1);
      known = status / 100 == 2;
      if (!known)
        {
          runner->controller++;
          stand_sleep_ms (100);
          continue;
        }
      stand_sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

void
stand_begin_heartbeats (struct stand_runner *runner)
{
  pthread_t thread;

  runner->beats = true;
  pthread_create (&thread, NULL, beat, runner);
  pthread_detach (thread);
}
