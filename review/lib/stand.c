/* Stand-ins for the platform, callers, targets and the operator. */
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
#define RUN_MAX_S 115

struct host hosts[HOSTS_MAX];
int n_hosts;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[128];
static char base_ip[32];
static bool trouble = true;
static int64_t began;
static volatile bool finishing;
static pthread_mutex_t hosts_lock = PTHREAD_MUTEX_INITIALIZER;
static int seeds;

/* ---- the run ---- */

int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
unix_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
sleep_ms (int64_t ms)
{
  struct timespec span = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  while (ms > 0 && nanosleep (&span, &span) != 0 && errno == EINTR)
    ;
}

void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%8.3f ", (double) (now_ms () - began) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

void
start_thread (void *(*run) (void *), void *argument)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 1 << 20);
  if (pthread_create (&thread, &attributes, run, argument) != 0)
    stand_cannot_run ("no thread");
  pthread_detach (thread);
  pthread_attr_destroy (&attributes);
}

static void
remove_folder (void)
{
  char command[256];

  if (folder[0] == '\0')
    return;
  snprintf (command, sizeof command, "rm -rf '%s'", folder);
  if (system (command) != 0)
    record ("the temporary folder could not be removed");
}

void
stand_finish (int code)
{
  finishing = true;
  pthread_mutex_lock (&hosts_lock);
  for (int i = 0; i < n_hosts; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGCONT);
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
      }
  if (getenv ("KEEP_LOGS") == NULL)
    remove_folder ();
  record ("exit code %d", code);
  printf ("%s\n", code == 1 ? "BROKEN" : code == 0 ? "held" : "could not run");
  fflush (stdout);
  _exit (code);
}

void
stand_cannot_run (const char *why)
{
  record ("cannot run: %s", why);
  fprintf (stderr, "cannot run: %s\n", why);
  stand_finish (2);
}

bool
stand_has_trouble (void)
{
  return trouble;
}

static void *
watch_time (void *unused)
{
  (void) unused;
  sleep_ms (RUN_MAX_S * 1000);
  stand_cannot_run ("it took too long");
}

static bool
is_free (const char *ip, int port)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool ok;

  inet_pton (AF_INET, ip, &at.sin_addr);
  ok = bind (fd, (struct sockaddr *) &at, sizeof at) == 0;
  close (fd);
  return ok;
}

static void
choose_addresses (void)
{
  static const int ports[] = { FRONT_PORT, READY_PORT, CONTROL_PORT, LIST_PORT, 7740, 9464 };

  for (int try = 0; try < 100; try++)
    {
      unsigned number = (unsigned) getpid () + (unsigned) try * 7919u;
      bool ok = true;

      snprintf (base_ip, sizeof base_ip, "127.%u.%u", 20 + number % 200, 1 + number / 200 % 250);
      for (int i = 1; i <= HOSTS_MAX && ok; i++)
        for (size_t j = 0; j < sizeof ports / sizeof ports[0] && ok; j++)
          {
            char ip[48];

            snprintf (ip, sizeof ip, "%s.%d", base_ip, i);
            ok = is_free (ip, ports[j]);
          }
      if (ok)
        return;
    }
  stand_cannot_run ("no free addresses");
}

void
stand_begin (const char *case_folder)
{
  char path[256];
  const char *value = getenv ("TROUBLE");

  began = now_ms ();
  signal (SIGPIPE, SIG_IGN);
  trouble = value == NULL || strcmp (value, "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record_file = fopen (path, "w");
  if (record_file == NULL)
    {
      fprintf (stderr, "cannot write %s\n", path);
      _exit (2);
    }
  snprintf (folder, sizeof folder, "/tmp/review.XXXXXX");
  if (mkdtemp (folder) == NULL)
    stand_cannot_run ("no temporary folder");
  choose_addresses ();
  start_thread (watch_time, NULL);
  record ("%s the disruption", trouble ? "with" : "without");
}

/* ---- hosts ---- */

static void
write_settings (const struct host *host)
{
  char path[256];
  FILE *out;

  snprintf (path, sizeof path, "%s/%s.json", folder, host->name);
  out = fopen (path, "w");
  if (out == NULL)
    stand_cannot_run ("cannot write settings");
  fprintf (out,
           "{\"NodeName\":\"%s\",\"Role\":\"%s\",\"MachineClass\":\"%s\",\"Serves\":[%s],"
           "\"Ip\":\"%s\",\"Zone\":\"%s\",\"Region\":\"r\","
           "\"Zones\":{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"},\"Listen\":{",
           host->name, host->controller ? "controller" : "entry",
           host->controller ? "core" : "edge",
           host->controller ? "\"control_plane\",\"registry\"" : "\"edge\"", host->ip, host->zone);
  if (host->controller)
    fprintf (out, "\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"", host->ip, CONTROL_PORT, host->ip,
             LIST_PORT);
  else
    fprintf (out, "\"Frontend\":\"%s:%d\",\"Ready\":\"%s:%d\"", host->ip, FRONT_PORT, host->ip,
             READY_PORT);
  fprintf (out, "},\"InternalPorts\":[7740,7755],\"Seeds\":[");
  for (int i = 0; i < seeds; i++)
    fprintf (out, "%s\"%s:%d\"", i > 0 ? "," : "", hosts[i].ip, CONTROL_PORT);
  fprintf (out,
           "],\"Bootstrap\":%s,\"InTolerance\":%s,\"Limits\":{\"CpuShare\":0.25,\"Cores\":1,"
           "\"MemoryMb\":%d,\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":%d},\"DataDir\":",
           host->started_before ? "false" : "true", host->controller ? "true" : "false",
           host->controller ? 256 : 260, host->controller ? 128 : 0);
  if (host->controller)
    fprintf (out, "\"%s/%s\"", folder, host->name);
  else
    fprintf (out, "null");
  fprintf (out,
           ",\"Discovery\":\"registration\",\"Entry\":\"registry\",\"HeartbeatMs\":%d,"
           "\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
           "\"engine\",\"stream\",\"tenants\",\"stages\"],"
           "\"FaultTolerance\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},"
           "\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckMs\":4000,"
           "\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,"
           "\"ConfigApplyMs\":2000,\"DowngradeMs\":250,\"OuterMs\":5000,\"FailClosed\":true,"
           "\"RevokeMs\":5000,\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":58,"
           "\"RecoverS\":12,\"EventDelayMs\":120,\"ReuseWindowS\":10,\"ttl_max_s\":5},"
           "\"ConfigMode\":\"highest\"}\n",
           HEARTBEAT_MS);
  fclose (out);
}

void
host_start (struct host *host)
{
  char settings[256];
  char log[256];
  pid_t pid;

  write_settings (host);
  snprintf (settings, sizeof settings, "%s/%s.json", folder, host->name);
  snprintf (log, sizeof log, "%s/%s.log", folder, host->name);
  pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("CHERRYARCH_SETTINGS", settings, 1);
      execl ("target/cherryarch", "target/cherryarch", host->controller ? "controller" : "entry",
             (char *) NULL);
      _exit (127);
    }
  host->pid = pid;
  host->ending = false;
  host->started_before = true;
  record ("%s started at %s", host->name, host->ip);
}

/* Notes processes that end; starts again what ended by itself. */
static void *
supervise (void *unused)
{
  (void) unused;
  for (;;)
    {
      int64_t now = now_ms ();

      pthread_mutex_lock (&hosts_lock);
      for (int i = 0; i < n_hosts && !finishing; i++)
        {
          struct host *host = &hosts[i];
          int status;

          if (host->pid > 0 && waitpid (host->pid, &status, WNOHANG) == host->pid)
            {
              host->pid = 0;
              record ("%s ended: %s %d%s", host->name, WIFSIGNALED (status) ? "signal" : "code",
                      WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status),
                      host->ending ? "" : ", BY ITSELF");
              host->ended_at = now;
              if (!host->ending)
                host->ended_by_itself++;
            }
          else if (host->pid == 0 && host->started_before && !host->ending
                   && now - host->ended_at > 500)
            host_start (host);
        }
      pthread_mutex_unlock (&hosts_lock);
      sleep_ms (10);
    }
  return NULL;
}

void
host_signal (struct host *host, int signal)
{
  pthread_mutex_lock (&hosts_lock);
  host->ending = host->ending || signal == SIGKILL || signal == SIGTERM;
  if (host->pid > 0)
    kill (host->pid, signal);
  record ("%s gets %s", host->name, strsignal (signal));
  pthread_mutex_unlock (&hosts_lock);
}

struct host *
controller (int i)
{
  return &hosts[i];
}

struct host *
entry_host (int i)
{
  return &hosts[seeds + i];
}

int
n_entry_hosts (void)
{
  return n_hosts - seeds;
}

int
host_memory_mb (const struct host *host)
{
  char path[64];
  char line[256];
  int kb = 0;
  FILE *in;

  snprintf (path, sizeof path, "/proc/%d/status", (int) host->pid);
  in = host->pid > 0 ? fopen (path, "r") : NULL;
  while (in != NULL && fgets (line, sizeof line, in) != NULL)
    sscanf (line, "VmRSS: %d", &kb);
  if (in != NULL)
    fclose (in);
  return kb / 1000;
}

static void
add_host (bool is_controller, int number)
{
  static const char *const zones[] = { "a", "b", "c" };
  struct host *host = &hosts[n_hosts++];
  char path[256];

  host->controller = is_controller;
  snprintf (host->zone, sizeof host->zone, "%s", zones[number % 3]);
  snprintf (host->name, sizeof host->name, "%s-%d", is_controller ? "core" : "edge", number + 1);
  snprintf (host->ip, sizeof host->ip, "%s.%d", base_ip, n_hosts);
  snprintf (path, sizeof path, "%s/%s", folder, host->name);
  mkdir (path, 0700);
}

void
stand_start_hosts (int n_controllers, int n_entries)
{
  seeds = n_controllers;
  for (int i = 0; i < n_controllers; i++)
    add_host (true, i);
  for (int i = 0; i < n_entries; i++)
    add_host (false, i);
  for (int i = 0; i < n_hosts; i++)
    host_start (&hosts[i]);
  start_thread (supervise, NULL);
  sleep_ms (1500);
}

/* ---- HTTP ---- */

int
dial (const char *ip, int port, int64_t timeout)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;
  int yes = 1;

  inet_pton (AF_INET, ip, &to.sin_addr);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  if (connect (fd, (struct sockaddr *) &to, sizeof to) != 0
      && (errno != EINPROGRESS || poll (&poll_fd, 1, (int) timeout) != 1
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return fd;
}

bool
send_all (int fd, const void *data, size_t length)
{
  const char *at = data;

  while (length > 0)
    {
      ssize_t sent = send (fd, at, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      at += sent;
      length -= (size_t) sent;
    }
  return true;
}

/* More bytes; 1, 0 at an orderly end, -1 on a failure or after the time. */
static int
fill (struct conn *conn, int64_t until)
{
  struct pollfd poll_fd = { .fd = conn->fd, .events = POLLIN };
  int64_t left = until - now_ms ();
  ssize_t got;

  if (conn->used == sizeof conn->data || left <= 0 || poll (&poll_fd, 1, (int) left) != 1)
    return -1;
  got = recv (conn->fd, conn->data + conn->used, sizeof conn->data - conn->used, 0);
  if (got > 0)
    conn->used += (size_t) got;
  return got > 0 ? 1 : got == 0 ? 0 : -1;
}

static void
consume (struct conn *conn, size_t length)
{
  memmove (conn->data, conn->data + length, conn->used - length);
  conn->used -= length;
}

const char *
field (const struct message *message, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);
  const char *line = message->head;

  out[0] = '\0';
  while (*line != '\0')
    {
      const char *end = strstr (line, "\r\n");

      if (end == NULL)
        break;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *value = line + length + 1;

          value += strspn (value, " ");
          snprintf (out, size, "%.*s", (int) (end - value), value);
          return out;
        }
      line = end + 2;
    }
  return NULL;
}

bool
read_head (struct conn *conn, struct message *out, bool response, int64_t timeout)
{
  int64_t until = now_ms () + timeout;
  char value[64];

  memset (out, 0, sizeof *out);
  for (;;)
    {
      const char *end = memmem (conn->data, conn->used, "\r\n\r\n", 4);
      const char *line;

      if (end == NULL)
        {
          if (fill (conn, until) <= 0)
            return false;
          continue;
        }
      line = memmem (conn->data, conn->used, "\r\n", 2);
      snprintf (out->start, sizeof out->start, "%.*s", (int) (line - conn->data), conn->data);
      if (end > line)
        snprintf (out->head, sizeof out->head, "%.*s", (int) (end + 2 - line - 2), line + 2);
      consume (conn, (size_t) (end - conn->data) + 4);
      if (response)
        sscanf (out->start, "%*s %d", &out->status);
      else
        sscanf (out->start, "%15s %511s", out->method, out->path);
      if (response && out->status < 200)
        {
          memset (out, 0, sizeof *out);
          continue;
        }
      out->close = field (out, "connection", value, sizeof value) != NULL
                   && strcasecmp (value, "close") == 0;
      return true;
    }
}

static bool
take (struct conn *conn, struct message *out, size_t length, int64_t until)
{
  out->body = realloc (out->body, out->length + length + 1);
  while (length > 0)
    {
      size_t n = conn->used < length ? conn->used : length;

      if (n == 0)
        {
          if (fill (conn, until) <= 0)
            return false;
          continue;
        }
      memcpy (out->body + out->length, conn->data, n);
      out->length += n;
      out->body[out->length] = '\0';
      consume (conn, n);
      length -= n;
    }
  return true;
}

static bool
take_chunks (struct conn *conn, struct message *out, int64_t until)
{
  for (;;)
    {
      const char *end = memmem (conn->data, conn->used, "\r\n", 2);
      size_t length;

      if (end == NULL)
        {
          if (fill (conn, until) <= 0)
            return false;
          continue;
        }
      length = strtoul (conn->data, NULL, 16);
      consume (conn, (size_t) (end - conn->data) + 2);
      if (length > 0 && !take (conn, out, length, until))
        return false;
      while (conn->used < 2)
        if (fill (conn, until) <= 0)
          return false;
      consume (conn, 2);
      if (length == 0)
        return true;
    }
}

bool
read_body (struct conn *conn, struct message *out, bool response, int64_t timeout)
{
  int64_t until = now_ms () + timeout;
  char value[64];
  int got = 1;

  if (field (out, "transfer-encoding", value, sizeof value) != NULL)
    out->whole = take_chunks (conn, out, until);
  else if (field (out, "content-length", value, sizeof value) != NULL)
    out->whole = take (conn, out, strtoul (value, NULL, 10), until);
  else if (!response || out->status == 204)
    out->whole = true;
  else
    {
      while (got > 0)
        {
          take (conn, out, conn->used, until);
          got = fill (conn, until);
        }
      out->whole = got == 0;
      out->close = true;
    }
  return out->whole;
}

void
message_clear (struct message *message)
{
  free (message->body);
  message->body = NULL;
}

int
call_once (const char *ip, int port, const char *text, int64_t timeout, char *body, size_t size)
{
  struct conn *conn = calloc (1, sizeof *conn);
  struct message *answer = calloc (1, sizeof *answer);
  int status = 0;

  if (body != NULL)
    body[0] = '\0';
  conn->fd = dial (ip, port, timeout < 1000 ? timeout : 1000);
  if (conn->fd >= 0 && send_all (conn->fd, text, strlen (text))
      && read_head (conn, answer, true, timeout) && read_body (conn, answer, true, timeout))
    {
      status = answer->status;
      if (body != NULL && answer->body != NULL)
        snprintf (body, size, "%s", answer->body);
    }
  if (conn->fd >= 0)
    close (conn->fd);
  message_clear (answer);
  free (answer);
  free (conn);
  return status;
}

int
post_json (const char *ip, int port, const char *path, const char *json, int64_t timeout)
{
  char *text = malloc (strlen (json) + 1024);
  int status;

  sprintf (text,
           "POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nConnection: close\r\n"
           "Content-Length: %zu\r\n\r\n%s",
           path, strlen (json), json);
  status = call_once (ip, port, text, timeout, NULL, 0);
  free (text);
  return status;
}

/* ---- targets ---- */

bool
target_heartbeat (struct target *target)
{
  static volatile unsigned turn;
  char json[1024];
  char path[128];

  snprintf (json, sizeof json,
            "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"%s\","
            "\"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,\"Phase\":\"mixed\","
            "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Sequence\":%llu,"
            "\"born\":%lld}",
            target->service, target->address, target->zone, target->version,
            (unsigned long long) ++target->sequence, (long long) target->born);
  snprintf (path, sizeof path, "/v1/instances/%s/heartbeat", target->id);
  for (int i = 0; i < seeds; i++)
    if (post_json (controller ((int) (turn++ % (unsigned) seeds))->ip, CONTROL_PORT, path, json,
                   1000)
        == 200)
      return true;
  return false;
}

static void *
beat (void *argument)
{
  struct target *target = argument;

  for (;;)
    {
      if (!target->quiet)
        target_heartbeat (target);
      for (int i = 0; i < HEARTBEAT_MS / 20; i++)
        sleep_ms (20);
    }
  return NULL;
}

struct accepted
{
  struct target *target;
  int fd;
};

static void
forget (struct target *target, int fd)
{
  pthread_mutex_lock (&target->lock);
  for (int i = 0; i < target->n_fds; i++)
    if (target->fds[i] == fd)
      {
        target->fds[i] = target->fds[--target->n_fds];
        break;
      }
  close (fd);
  pthread_mutex_unlock (&target->lock);
}

static void *
serve_connection (void *argument)
{
  struct accepted *accepted = argument;
  struct conn *conn = calloc (1, sizeof *conn);
  struct message *request = calloc (1, sizeof *request);

  conn->fd = accepted->fd;
  while (read_head (conn, request, false, 60000) && read_body (conn, request, false, 30000))
    {
      accepted->target->serve (accepted->target, conn, request);
      message_clear (request);
    }
  message_clear (request);
  forget (accepted->target, accepted->fd);
  free (request);
  free (conn);
  free (accepted);
  return NULL;
}

static void *
accept_connections (void *argument)
{
  struct target *target = argument;

  for (;;)
    {
      struct accepted *accepted = calloc (1, sizeof *accepted);
      struct linger linger = { .l_onoff = 1, .l_linger = 0 };
      int yes = 1;

      accepted->target = target;
      accepted->fd = accept (target->listener, NULL, NULL);
      if (accepted->fd < 0)
        stand_cannot_run ("accept");
      setsockopt (accepted->fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      if (target->refusing || target->n_fds == 1000)
        {
          setsockopt (accepted->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
          close (accepted->fd);
          free (accepted);
          continue;
        }
      pthread_mutex_lock (&target->lock);
      target->fds[target->n_fds++] = accepted->fd;
      pthread_mutex_unlock (&target->lock);
      start_thread (serve_connection, accepted);
    }
  return NULL;
}

void
target_reset_all (struct target *target)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  pthread_mutex_lock (&target->lock);
  for (int i = 0; i < target->n_fds; i++)
    {
      setsockopt (target->fds[i], SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      shutdown (target->fds[i], SHUT_RD);
    }
  pthread_mutex_unlock (&target->lock);
}

struct target *
target_new (const char *id,
            const char *service,
            const char *version,
            const char *zone,
            void (*serve) (struct target *, struct conn *, const struct message *))
{
  struct target *target = calloc (1, sizeof *target);
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t size = sizeof at;

  snprintf (target->id, sizeof target->id, "%s", id);
  snprintf (target->service, sizeof target->service, "%s", service);
  snprintf (target->version, sizeof target->version, "%s", version);
  snprintf (target->zone, sizeof target->zone, "%s", zone);
  target->serve = serve;
  target->born = unix_ms ();
  pthread_mutex_init (&target->lock, NULL);
  target->listener = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, "127.0.0.1", &at.sin_addr);
  if (bind (target->listener, (struct sockaddr *) &at, sizeof at) != 0
      || listen (target->listener, 256) != 0
      || getsockname (target->listener, (struct sockaddr *) &at, &size) != 0)
    stand_cannot_run ("no port for a target");
  target->port = ntohs (at.sin_port);
  snprintf (target->address, sizeof target->address, "127.0.0.1:%d", target->port);
  start_thread (accept_connections, target);
  start_thread (beat, target);
  return target;
}

/* Answers 421 if another target is meant. */
bool
target_is_addressed (const struct target *target, struct conn *conn, const struct message *request)
{
  char expected[64];
  char answer[256];

  if (field (request, "x-expect-instance", expected, sizeof expected) == NULL
      || strcmp (expected, target->id) == 0)
    return true;
  snprintf (answer, sizeof answer,
            "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  send_all (conn->fd, answer, strlen (answer));
  return false;
}

/* ---- the operator ---- */

int64_t
operator_replace (const char *json, int64_t timeout)
{
  int64_t until = now_ms () + timeout;

  for (int i = 0; now_ms () < until; i++)
    {
      int status =
          post_json (controller (i % seeds)->ip, CONTROL_PORT, "/v1/config/replace", json, 2500);

      record ("configuration sent to %s: %d", controller (i % seeds)->name, status);
      if (status == 200)
        return now_ms ();
      if (status == 400 || status == 409 || status == 413)
        stand_cannot_run ("the configuration was refused");
      sleep_ms (300);
    }
  stand_cannot_run ("no configuration was acknowledged");
}
