/* Measures the cost of a committed entry with real files and real syncs.
 *
 *   commit journal FOLDER SECONDS            one journal, no network: syncs/s by batch size
 *   commit fill FOLDER ENTRIES               a group of one voter commits ENTRIES, then stops
 *   commit open FOLDER                       time and memory to reopen that folder
 *   commit voter FOLDER NUMBER PORT VOTERS SECONDS WINDOW
 *       voter NUMBER of VOTERS on 127.0.0.1, ports from PORT; with WINDOW > 0 it keeps WINDOW
 *       proposals outstanding for SECONDS after a leader is elected; prints rates and latencies
 */
#include "consensus_voter.h"
#include "counter.h"
#include "journal.h"
#include "loop.h"
#include "peer_zmq.h"
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#define ENTRY_BYTES 256
#define PROPOSAL_TIMEOUT (10 * USEC_PER_SEC)
#define VOTERS_MAX 9
#define STARTUP_DELAY (5 * USEC_PER_SEC)
#define WINDOW_MAX 4096

static int64_t
clock_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t) ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static uint64_t
resident_bytes (void)
{
  FILE *file = fopen ("/proc/self/statm", "r");
  unsigned long long pages = 0;

  if (file == NULL)
    return 0;
  if (fscanf (file, "%*u %llu", &pages) != 1)
    pages = 0;
  fclose (file);
  return pages * (uint64_t) sysconf (_SC_PAGESIZE);
}

/* A state machine that retains every entry, like a store of small objects. */
struct recorder
{
  struct machine machine;
  struct bytes recorded;
  uint64_t entries;
};

static void
recorder_apply (
    struct machine *machine, uint64_t index, const void *entry, size_t length, struct bytes *result)
{
  struct recorder *recorder = (struct recorder *) machine;

  bytes_append (&recorder->recorded, entry, length);
  bytes_append (result, &index, sizeof index);
  recorder->entries++;
}

static enum status
recorder_save (struct machine *machine, struct bytes *out)
{
  const struct recorder *recorder = (const struct recorder *) machine;

  bytes_append (out, recorder->recorded.data, recorder->recorded.length);
  return STATUS_OK;
}

static enum status
recorder_load (struct machine *machine, uint64_t index, const void *data, size_t length)
{
  struct recorder *recorder = (struct recorder *) machine;

  (void) index;
  bytes_clear (&recorder->recorded);
  bytes_append (&recorder->recorded, data, length);
  recorder->entries = length / ENTRY_BYTES;
  return STATUS_OK;
}

static const struct machine_ops recorder_ops = {
  .apply = recorder_apply,
  .save = recorder_save,
  .load = recorder_load,
};

/* Load generator: keeps a fixed number of proposals outstanding and records their latency. */
struct load;

struct slot
{
  struct proposal proposal;
  struct load *load;
  int64_t began;
};

struct load
{
  struct timer timer;
  struct loop *loop;
  struct consensus *consensus;
  struct peer_port *port;
  struct histogram times;
  struct slot slots[WINDOW_MAX];
  uint32_t window;
  uint64_t target; /* total entries; 0: run until `end` */
  uint64_t begun;
  uint64_t done;
  uint64_t failed;
  int64_t start;
  int64_t end;
  struct peer_zmq_traffic traffic;
};

static void
propose (struct slot *slot, int64_t now)
{
  struct load *load = slot->load;
  char entry[ENTRY_BYTES] = { 0 };

  if (load->target > 0 && load->begun >= load->target)
    return;
  load->begun++;
  memcpy (entry, &load->begun, sizeof load->begun);
  slot->began = now;
  if (load->consensus->ops->propose (load->consensus, entry, sizeof entry, &slot->proposal,
                                     now + PROPOSAL_TIMEOUT, now)
      != STATUS_OK)
    load->failed++;
}

static void
proposal_done (
    struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct slot *slot = (struct slot *) proposal;
  struct load *load = slot->load;

  (void) now;
  (void) result;
  (void) length;
  now = loop_now (load->loop);
  if (status == STATUS_OK)
    {
      load->done++;
      histogram_record (&load->times, (double) (now - slot->began));
    }
  else
    load->failed++;
  if (load->target > 0 && load->done + load->failed >= load->target)
    loop_stop (load->loop);
  else if (load->target > 0 || now < load->end)
    propose (slot, now);
}

static const struct proposal_ops proposal_ops = { .done = proposal_done };

static void
on_load_timer (struct timer *timer, int64_t now)
{
  struct load *load = (struct load *) timer;

  if (load->start > 0)
    {
      loop_stop (load->loop);
      return;
    }
  if (load->consensus->ops->leader (load->consensus)[0] == '\0')
    {
      timer_arm (loop_timers (load->loop), timer, now + USEC_PER_SEC / 10);
      return;
    }
  load->start = now;
  load->end = now + load->end;
  if (load->port != NULL)
    peer_zmq_get_traffic (load->port, &load->traffic);
  timer_arm (loop_timers (load->loop), timer, load->end);
  for (uint32_t i = 0; i < load->window; i++)
    {
      load->slots[i].proposal.ops = &proposal_ops;
      load->slots[i].load = load;
      propose (&load->slots[i], now);
    }
}

static const struct timer_ops load_ops = { .fire = on_load_timer };

static struct disk *
open_folder (void *parent, const char *folder)
{
  enum status status;
  struct disk *disk = disk_posix_new (parent, folder, &status);

  if (disk == NULL)
    {
      fprintf (stderr, "%s\n", status_message ());
      exit (1);
    }
  return disk;
}

static void
run_journal (const char *folder, int64_t span)
{
  static const uint32_t batches[] = { 1, 2, 4, 8, 16, 32, 64, 128, 256, 512 };
  void *parent = talloc_new (NULL);
  struct disk *disk = open_folder (parent, folder);
  struct raft_snapshot none = { 0 };
  struct journal_recovery found;
  char data[ENTRY_BYTES] = { 0 };
  enum status status;
  struct journal *journal =
      journal_open (parent, disk, 1, JOURNAL_SEGMENT_BYTES, &none, &found, &status);
  uint64_t index = 0;

  printf ("batch  syncs/s  entries/s  p50 us  p99 us  max us\n");
  for (size_t i = 0; journal != NULL && i < sizeof batches / sizeof batches[0]; i++)
    {
      struct histogram *times = talloc_zero (parent, struct histogram);
      int64_t start = clock_now ();
      int64_t longest = 0;

      while (clock_now () - start < span)
        {
          int64_t began = clock_now ();
          int64_t took;

          for (uint32_t j = 0; j < batches[i]; j++)
            {
              struct raft_entry entry = { .index = ++index,
                                          .term = 1,
                                          .kind = RAFT_ENTRY_DATA,
                                          .length = sizeof data,
                                          .data = data };
              journal_add_entry (journal, &entry);
            }
          if (journal_commit (journal) != STATUS_OK)
            {
              fprintf (stderr, "%s\n", status_message ());
              exit (1);
            }
          journal_compact (journal, index);
          took = clock_now () - began;
          longest = took > longest ? took : longest;
          histogram_record (times, (double) took);
        }
      printf ("%5u  %7.0f  %9.0f  %6.0f  %6.0f  %6" PRId64 "\n", batches[i],
              (double) times->count / ((double) span / USEC_PER_SEC),
              (double) times->count * batches[i] / ((double) span / USEC_PER_SEC),
              histogram_quantile (times, 0.5), histogram_quantile (times, 0.99), longest);
    }
  talloc_free (parent);
}

struct bench
{
  struct loop *loop;
  struct counters *counters;
  struct recorder recorder;
  struct peer_port *port;
  struct consensus *consensus;
  int64_t open_time;
};

static void
open_voter (struct bench *bench, const char *folder, uint32_t number, uint32_t n, uint16_t port)
{
  static char names[VOTERS_MAX][16];
  static const char *list[VOTERS_MAX];
  struct consensus_voter_config config = { .voters = list, .n_voters = n };
  struct peer_zmq_config peer = { .queue_messages = 10000 };
  char address[32];
  int64_t began;
  enum status status;

  bench->loop = loop_new (NULL, 64);
  bench->counters = counters_new (NULL);
  bench->recorder.machine.ops = &recorder_ops;
  bytes_init (&bench->recorder.recorded, NULL);
  for (uint32_t i = 0; i < n; i++)
    {
      snprintf (names[i], sizeof names[i], "v%u", i);
      list[i] = names[i];
    }
  if (n > 1)
    {
      snprintf (address, sizeof address, "127.0.0.1:%u", port + number);
      peer.loop = bench->loop;
      peer.counters = bench->counters;
      peer.name = names[number];
      peer.listen = address;
      bench->port = peer_zmq_new (NULL, &peer);
      if (bench->port == NULL)
        {
          fprintf (stderr, "%s\n", status_message ());
          exit (1);
        }
      for (uint32_t i = 0; i < n; i++)
        {
          snprintf (address, sizeof address, "127.0.0.1:%u", port + i);
          if (i != number)
            bench->port->ops->set_address (bench->port, names[i], address, NULL);
        }
    }
  config.name = names[number];
  config.disk = open_folder (NULL, folder);
  config.port = bench->port;
  config.timers = loop_timers (bench->loop);
  config.machine = &bench->recorder.machine;
  config.counters = bench->counters;
  randombytes_buf (&config.seed, sizeof config.seed);
  began = clock_now ();
  bench->consensus = consensus_voter_new (NULL, &config, &status, clock_now ());
  bench->open_time = clock_now () - began;
  if (bench->consensus == NULL)
    {
      fprintf (stderr, "%s\n", status_message ());
      exit (1);
    }
}

static struct load *
new_load (struct bench *bench, uint32_t window, uint64_t target, int64_t span)
{
  struct load *load = talloc_zero (NULL, struct load);

  load->timer.ops = &load_ops;
  load->loop = bench->loop;
  load->consensus = bench->consensus;
  load->port = bench->port;
  load->window = window < WINDOW_MAX ? window : WINDOW_MAX;
  load->target = target;
  load->end = span;
  timer_arm (loop_timers (bench->loop), &load->timer,
             loop_now (bench->loop) + (bench->port != NULL ? STARTUP_DELAY : 0));
  return load;
}

static void
run_fill (const char *folder, uint64_t entries)
{
  struct bench bench = { 0 };
  struct load *load;
  const char *path = folder;

  open_voter (&bench, path, 0, 1, 0);
  load = new_load (&bench, 64, entries, 3600 * USEC_PER_SEC);
  loop_run (bench.loop);
  printf ("filled %" PRIu64 " entries of %u bytes in %.2f s, resident %.1f MB\n", load->done,
          ENTRY_BYTES, (double) (loop_now (bench.loop) - load->start) / USEC_PER_SEC,
          (double) resident_bytes () / 1e6);
}

static void
run_open (const char *folder)
{
  struct bench bench = { 0 };
  struct load *load;
  uint64_t before = resident_bytes ();
  int64_t began = clock_now ();

  open_voter (&bench, folder, 0, 1, 0);
  load = new_load (&bench, 1, 1, 60 * USEC_PER_SEC);
  loop_run (bench.loop);
  printf ("open %.1f ms, to the first commit %.1f ms (an election included), resident %.1f MB"
          " (%.1f before), %" PRIu64 " entries in the machine\n",
          (double) bench.open_time / 1000, (double) (clock_now () - began) / 1000,
          (double) resident_bytes () / 1e6, (double) before / 1e6, bench.recorder.entries);
  (void) load;
}

static void
run_voter (char **argv)
{
  struct bench bench = { 0 };
  uint32_t number = (uint32_t) strtoul (argv[1], NULL, 10);
  uint16_t port = (uint16_t) strtoul (argv[2], NULL, 10);
  uint32_t n = (uint32_t) strtoul (argv[3], NULL, 10);
  int64_t span = strtol (argv[4], NULL, 10) * USEC_PER_SEC;
  uint32_t window = (uint32_t) strtoul (argv[5], NULL, 10);
  struct peer_zmq_traffic traffic;
  struct load *load;
  double seconds;
  clock_t cpu;
  bool leads;

  open_voter (&bench, argv[0], number, n, port);
  load = new_load (&bench, window, 0, span);
  cpu = clock ();
  loop_run (bench.loop);
  leads = bench.consensus->ops->is_leader (bench.consensus);
  seconds = (double) (loop_now (bench.loop) - load->start) / USEC_PER_SEC;
  if (bench.port != NULL)
    {
      peer_zmq_get_traffic (bench.port, &traffic);
      printf ("v%u%s: in %.0f bytes/s %.1f messages/s, out %.0f bytes/s %.1f messages/s\n", number,
              leads ? " (leader)" : "",
              (double) (traffic.bytes_in - load->traffic.bytes_in) / seconds,
              (double) (traffic.messages_in - load->traffic.messages_in) / seconds,
              (double) (traffic.bytes_out - load->traffic.bytes_out) / seconds,
              (double) (traffic.messages_out - load->traffic.messages_out) / seconds);
    }
  printf (
      "v%u%s: window %u, %.0f commits/s, p50 %.0f us, p99 %.0f us, failed %" PRIu64
      ", %.0f syncs/s, processor %.2f%%, resident %.1f MB\n",
      number, leads ? " (leader)" : "", window, (double) load->done / seconds,
      histogram_quantile (&load->times, 0.5), histogram_quantile (&load->times, 0.99), load->failed,
      counter_get (bench.counters, "cherryarch_consensus_syncs_total", "", NULL)->value / seconds,
      (double) (clock () - cpu) / CLOCKS_PER_SEC / seconds * 100, (double) resident_bytes () / 1e6);
}

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return 1;
  if (argc == 4 && strcmp (argv[1], "journal") == 0)
    run_journal (argv[2], strtol (argv[3], NULL, 10) * USEC_PER_SEC);
  else if (argc == 4 && strcmp (argv[1], "fill") == 0)
    run_fill (argv[2], strtoull (argv[3], NULL, 10));
  else if (argc == 3 && strcmp (argv[1], "open") == 0)
    run_open (argv[2]);
  else if (argc == 8 && strcmp (argv[1], "voter") == 0)
    run_voter (argv + 2);
  else
    {
      fprintf (stderr,
               "usage: commit journal FOLDER SECONDS | fill FOLDER ENTRIES | open FOLDER |\n"
               "       voter FOLDER NUMBER PORT VOTERS SECONDS WINDOW\n");
      return 2;
    }
  return 0;
}
