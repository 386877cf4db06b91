/* Starts, stops and reaps the project's processes. */
#include "launch.h"
#include "settings.h"
#include "text.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <talloc.h>
#include <unistd.h>

#define ARGUMENTS_MAX 64
#define NFTW_FDS_MAX 16
#define EXIT_POLL_INTERVAL (10 * USEC_PER_MSEC)

static const char *const port_names[] = {
#define X(name, text) [LAUNCH_##name] = text,
  LAUNCH_PORT_LIST (X)
#undef X
};

static int
remove_entry (const char *path, const struct stat *info, int type, struct FTW *place)
{
  (void) info;
  (void) type;
  (void) place;
  return remove (path);
}

static void
end_process (struct launch_process *process)
{
  if (process->pid == 0)
    return;
  kill (process->pid, SIGKILL);
  waitpid (process->pid, &process->exit_status, 0);
  process->pid = 0;
}

static int
free_launch (struct launch *launch)
{
  for (uint32_t i = 0; i < launch->n_pools; i++)
    end_process (&launch->pools[i].process);
  for (uint32_t i = 0; i < launch->n_hosts; i++)
    end_process (&launch->hosts[i].process);
  if (getenv ("CHERRYARCH_KEEP"))
    fprintf (stderr, "kept %s\n", launch->folder);
  else
    nftw (launch->folder, remove_entry, NFTW_FDS_MAX, FTW_DEPTH | FTW_PHYS);
  return 0;
}

struct launch *
launch_new (void *parent)
{
  struct launch *launch = talloc_zero (parent, struct launch);
  const char *temporary = getenv ("TMPDIR");
  ssize_t length = readlink ("/proc/self/exe", launch->programs, sizeof launch->programs - 1);
  char *slash = length > 0 ? strrchr (launch->programs, '/') : NULL;

  snprintf (launch->folder, sizeof launch->folder, "%s/cherryarch-XXXXXX",
            temporary ? temporary : "/tmp");
  if (!slash || !mkdtemp (launch->folder))
    {
      status_fail (STATUS_IO, "cannot create a temporary folder: %s", strerror (errno));
      talloc_free (launch);
      return NULL;
    }
  *slash = '\0';
  launch->connections = LAUNCH_CONNECTIONS;
  talloc_set_destructor (launch, free_launch);
  launch->caller = caller_new (launch);
  if (launch->caller)
    return launch;
  talloc_free (launch);
  return NULL;
}

/* Reserve a port by binding it without listening: the kernel does not hand it out as an ephemeral
 * port, and a host with SO_REUSEADDR can listen on it, also after a restart. */
static enum status
reserve_port (char address[RESOURCE_ADDRESS_SIZE])
{
  struct sockaddr_in name = { .sin_family = AF_INET,
                              .sin_addr = { .s_addr = htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (fd, (const struct sockaddr *) &name, sizeof name) != 0
      || getsockname (fd, (struct sockaddr *) &name, &size) != 0)
    return status_fail (STATUS_IO, "cannot reserve a loopback port: %s", strerror (errno));
  snprintf (address, RESOURCE_ADDRESS_SIZE, "127.0.0.1:%u", ntohs (name.sin_port));
  return STATUS_OK;
}

/* Write "name@address, ..." of the hosts below `end`, except `skip`. */
static void
write_peers (const struct launch *launch, FILE *file, const char *key, uint32_t end, uint32_t skip)
{
  const char *comma = "";

  fprintf (file, "%s = ", key);
  for (uint32_t i = 0; i < end; i++)
    if (i != skip)
      {
        fprintf (file, "%s%s@%s%s%s", comma, launch->hosts[i].process.name,
                 launch->hosts[i].addresses[LAUNCH_PEERS], launch->keys ? "/" : "",
                 launch->hosts[i].public_key);
        comma = ", ";
      }
  fputc ('\n', file);
}

static enum status
write_settings (const struct launch *launch, uint32_t index)
{
  const struct launch_host *host = &launch->hosts[index];
  uint32_t voters = launch->n_hosts < LAUNCH_VOTERS ? launch->n_hosts : LAUNCH_VOTERS;
  char path[LAUNCH_PATH_SIZE + RESOURCE_NAME_SIZE + 8];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s.ini", launch->folder, host->process.name);
  file = fopen (path, "we");
  if (!file)
    return status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  fprintf (file, "[host]\nname = %s\ndomain = %s\n\n[listen]\n", host->process.name, host->domain);
  for (int i = 0; i < LAUNCH_PORT_COUNT; i++)
    fprintf (file, "%s = %s\n", port_names[i], host->addresses[i]);
  fprintf (file, "\n[cluster]\n");
  /* The number of seeds is limited; a host does not list itself. */
  write_peers (launch, file, "seeds",
               launch->n_hosts < SETTINGS_SEEDS_MAX ? launch->n_hosts : SETTINGS_SEEDS_MAX, index);
  write_peers (launch, file, "voters", voters, UINT32_MAX);
  if (index < voters)
    fprintf (file, "\n[data]\nfolder = %s/%s\n", launch->folder, host->process.name);
  if (launch->keys)
    fprintf (file, "\n[keys]\nfile = %s/%s.key\n", launch->folder, host->process.name);
  fprintf (file,
           "\n[limits]\nbody_bytes = 4194304\nconnections = %u\nconnections_per_caller = %u\n",
           launch->connections, launch->connections);
  fprintf (file, "\n[log]\nfile = %s/%s.log\n", launch->folder, host->process.name);
  fputs (launch->extra_settings, file);
  return fclose (file) == 0 ? STATUS_OK : status_fail (STATUS_IO, "%s: writing failed", path);
}

/* In the child: request SIGKILL on the parent's death, redirect output to a file and exec. */
static void __attribute__ ((noreturn)) exec_child (pid_t parent, const char *output, char **argv)
{
  int fd = open (output, O_WRONLY | O_CREAT | O_APPEND, 0600);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent || fd < 0)
    _exit (126);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execv (argv[0], argv);
  _exit (127);
}

static enum status
spawn (const struct launch *launch, struct launch_process *process, char **argv)
{
  char output[LAUNCH_PATH_SIZE + RESOURCE_NAME_SIZE + 8];
  pid_t parent = getpid ();
  pid_t pid;

  snprintf (output, sizeof output, "%s/%s.out", launch->folder, process->name);
  pid = fork ();
  if (pid == 0)
    exec_child (parent, output, argv);
  if (pid < 0)
    return status_fail (STATUS_IO, "fork: %s", strerror (errno));
  process->pid = pid;
  return STATUS_OK;
}

/* Run keygen and store the public key it prints. */
static enum status
make_key (struct launch *launch, uint32_t index)
{
  struct launch_host *host = &launch->hosts[index];
  struct launch_process keygen = { .pid = 0 };
  char program[LAUNCH_PATH_SIZE + 16];
  char file[LAUNCH_PATH_SIZE + RESOURCE_NAME_SIZE + 8];
  char output[LAUNCH_PATH_SIZE + RESOURCE_NAME_SIZE + 24];
  char *argv[] = { program, "keygen", "--output=json", file, NULL };
  enum status status;
  json_t *printed;

  snprintf (program, sizeof program, "%s/cherryarch", launch->programs);
  snprintf (file, sizeof file, "%s/%s.key", launch->folder, host->process.name);
  snprintf (keygen.name, sizeof keygen.name, "keygen-%.40s", host->process.name);
  snprintf (output, sizeof output, "%s/%s.out", launch->folder, keygen.name);
  unlink (output);
  status = spawn (launch, &keygen, argv);
  if (status != STATUS_OK)
    return status;
  waitpid (keygen.pid, &keygen.exit_status, 0);
  printed = json_load_file (output, 0, NULL);
  if (keygen.exit_status != 0
      || !text_copy (host->public_key, sizeof host->public_key,
                     json_is_object (printed)
                         ? json_string_value (json_object_get (printed, "public_key"))
                         : ""))
    status = status_fail (STATUS_IO, "keygen failed, see %s", output);
  json_decref (printed);
  return status;
}

enum status
launch_replace_key (struct launch *launch, uint32_t index)
{
  struct launch_host *host = &launch->hosts[index];
  char file[LAUNCH_PATH_SIZE + RESOURCE_NAME_SIZE + 8];
  char pinned[sizeof host->public_key];
  enum status status;

  snprintf (file, sizeof file, "%s/%s.key", launch->folder, host->process.name);
  unlink (file);
  memcpy (pinned, host->public_key, sizeof pinned);
  status = make_key (launch, index);
  memcpy (host->public_key, pinned, sizeof pinned);
  return status;
}

enum status
launch_add_hosts (struct launch *launch,
                  uint32_t count,
                  const char *const *domains,
                  uint32_t n_domains)
{
  enum status status = STATUS_OK;

  INVARIANT (launch->n_hosts == 0 && count <= LAUNCH_HOSTS_MAX);
  launch->n_hosts = count;
  for (uint32_t i = 0; i < count && status == STATUS_OK; i++)
    {
      struct launch_host *host = &launch->hosts[i];
      char folder[LAUNCH_PATH_SIZE + RESOURCE_NAME_SIZE + 8];

      snprintf (host->process.name, sizeof host->process.name, "host-%u", i + 1);
      text_copy_truncated (host->domain, sizeof host->domain, domains[i % n_domains]);
      for (int p = 0; p < LAUNCH_PORT_COUNT && status == STATUS_OK; p++)
        status = reserve_port (host->addresses[p]);
      snprintf (folder, sizeof folder, "%s/%s", launch->folder, host->process.name);
      if (mkdir (folder, 0700) != 0)
        status = status_fail (STATUS_IO, "%s: %s", folder, strerror (errno));
    }
  for (uint32_t i = 0; i < count && status == STATUS_OK && launch->keys; i++)
    status = make_key (launch, i);
  for (uint32_t i = 0; i < count && status == STATUS_OK; i++)
    status = write_settings (launch, i);
  return status;
}

enum status
launch_start_host (struct launch *launch, uint32_t index)
{
  struct launch_process *process = &launch->hosts[index].process;
  char program[LAUNCH_PATH_SIZE + 16];
  char settings[LAUNCH_PATH_SIZE + RESOURCE_NAME_SIZE + 8];
  char *argv[] = { program, "run", settings, NULL };

  snprintf (program, sizeof program, "%s/cherryarch", launch->programs);
  snprintf (settings, sizeof settings, "%s/%s.ini", launch->folder, process->name);
  return spawn (launch, process, argv);
}

enum status
launch_start_hosts (struct launch *launch)
{
  enum status status = STATUS_OK;

  for (uint32_t i = 0; i < launch->n_hosts && status == STATUS_OK; i++)
    status = launch_start_host (launch, i);
  return status;
}

static char *
targets_addresses (const struct launch *launch, void *parent)
{
  char *list = talloc_strdup (parent, "");

  for (uint32_t i = 0; i < launch->n_hosts; i++)
    list = talloc_asprintf_append (list, "%s%s", i > 0 ? "," : "",
                                   launch->hosts[i].addresses[LAUNCH_TARGETS]);
  return list;
}

static const char *
kind_text (enum stage_kind kind)
{
  static const char *const kinds[] = {
#define X(name, text) [STAGE_##name] = text,
    STAGE_KIND_LIST (X)
#undef X
  };

  return kinds[kind];
}

enum status
launch_start_fakes (struct launch *launch, const struct launch_fakes *fakes)
{
  struct launch_pool *pool = &launch->pools[launch->n_pools];
  void *scratch = talloc_new (launch);
  char *argv[ARGUMENTS_MAX] = { NULL };
  int n = 0;
  enum status status;

  INVARIANT (launch->n_pools < LAUNCH_POOLS_MAX);
  pool->spec = fakes->spec;
  pool->targets = fakes->targets;
  text_copy_truncated (pool->process.name, sizeof pool->process.name, fakes->spec.name);
  status = reserve_port (pool->control);
  argv[n++] = talloc_asprintf (scratch, "%s/fake-target", launch->programs);
  argv[n++] = talloc_asprintf (scratch, "--kind=%s", kind_text (fakes->spec.kind));
  argv[n++] = talloc_asprintf (scratch, "--pool=%s", fakes->spec.name);
  argv[n++] = talloc_asprintf (scratch, "--count=%u", fakes->targets);
  argv[n++] = talloc_asprintf (scratch, "--domain=%s", fakes->domains);
  argv[n++] = talloc_asprintf (scratch, "--control=%s", pool->control);
  argv[n++] = talloc_asprintf (scratch, "--time-scale=%g", fakes->time_scale);
  argv[n++] = talloc_asprintf (scratch, "--slots=%u", fakes->spec.slots);
  argv[n++] = talloc_asprintf (scratch, "--hosts=%s",
                               fakes->hosts ? fakes->hosts : targets_addresses (launch, scratch));
  if (!fakes->reports_load)
    argv[n++] = talloc_strdup (scratch, "--no-reports");
  for (int i = 0; fakes->more && fakes->more[i] && n + 1 < ARGUMENTS_MAX; i++)
    argv[n++] = talloc_strdup (scratch, fakes->more[i]);
  launch->n_pools++;
  if (status == STATUS_OK)
    status = spawn (launch, &pool->process, argv);
  talloc_free (scratch);
  return status;
}

void
launch_signal (struct launch_process *process, int signo)
{
  if (process->pid > 0)
    kill (process->pid, signo);
}

bool
launch_wait_exit (struct launch *launch, struct launch_process *process, int64_t timeout)
{
  struct loop *loop = caller_loop (launch->caller);
  int64_t until = loop_now (loop) + timeout;

  while (process->pid > 0 && loop_now (loop) < until)
    {
      if (waitpid (process->pid, &process->exit_status, WNOHANG) == process->pid)
        process->pid = 0;
      else
        loop_run_once (loop, EXIT_POLL_INTERVAL);
    }
  return process->pid == 0;
}
