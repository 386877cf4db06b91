/* Decoders of messages between hosts and of log entries.
 *
 * If a decoder feeds a state machine, the message is also applied to the machine: a field that is
 * in range for the codec may still be out of range for the code that uses it. */
#include "consensus_client.h"
#include "directory.h"
#include "directory_wire.h"
#include "fuzz_parts.h"
#include "raft_message.h"
#include "store.h"
#include "store_entry.h"
#include "store_group.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define COUNT(array) (sizeof (array) / sizeof (array)[0])
#define NOW (10 * USEC_PER_SEC)
#define INCARNATION 7
#define SEED 1

static enum status
as_status (bool good)
{
  return good ? STATUS_OK : STATUS_MALFORMED;
}

/* ---- consensus ---- */

static void
fill_members (struct raft_members *members)
{
  static const char *const names[] = { "a", "b", "c" };
  uint32_t i;

  *members = (struct raft_members){ .n = COUNT (names), .wanted = COUNT (names) };
  for (i = 0; i < members->n; i++)
    {
      members->members[i].id = 100 + i;
      members->members[i].voter = true;
      text_copy (members->members[i].name, sizeof members->members[i].name, names[i]);
    }
}

static void
raft_sample (uint32_t i, struct bytes *out)
{
  static const char data[] = "an entry's data";
  struct raft_entry entries[] = {
    { .index = 9, .term = 3, .kind = RAFT_ENTRY_DATA, .length = sizeof data, .data = data },
    { .index = 10, .term = 3, .kind = RAFT_ENTRY_NOOP },
  };
  struct raft_message message = {
    .kind = (enum raft_message_kind) i,
    .from = 100,
    .to = 101,
    .term = 3,
    .index = 8,
    .log_term = 2,
    .commit = 8,
    .round = 5,
    .last = 10,
    .ok = true,
  };

  if (message.kind == RAFT_APPEND)
    {
      message.entries = entries;
      message.n_entries = COUNT (entries);
    }
  if (message.kind == RAFT_SNAPSHOT)
    {
      fill_members (&message.members);
      message.total = sizeof data;
      message.data = data;
      message.length = sizeof data;
    }
  raft_message_write (&message, out);
}

static enum status
raft_decode (void *parent, const void *data, size_t length)
{
  struct raft_message message;

  return raft_message_read (parent, data, length, &message);
}

const struct fuzz_decoder fuzz_raft = {
  .name = "raft-message",
  .n_samples = RAFT_MESSAGE_KIND_COUNT,
  .sample = raft_sample,
  .decode = raft_decode,
};

static void
members_sample (uint32_t i, struct bytes *out)
{
  struct raft_members members;

  (void) i;
  fill_members (&members);
  raft_members_write (&members, out);
}

static enum status
members_decode (void *parent, const void *data, size_t length)
{
  struct raft_members members;

  (void) parent;
  return raft_members_read (data, length, &members);
}

const struct fuzz_decoder fuzz_raft_members = {
  .name = "raft-members",
  .n_samples = 1,
  .sample = members_sample,
  .decode = members_decode,
};

static void
proposal_sample (uint32_t i, struct bytes *out)
{
  const struct client_response answer = {
    .number = 4 + i,
    .status = i == 0 ? STATUS_OK : STATUS_NOT_LEADER,
    .index = 17,
    .leader = "b",
    .result = "result",
    .length = 6,
  };

  client_write_response (&answer, out);
}

static enum status
proposal_decode (void *parent, const void *data, size_t length)
{
  struct client_response answer;
  struct client_request ask;
  bool is_request;

  (void) parent;
  return client_read_message (data, length, &is_request, &ask, &answer);
}

const struct fuzz_decoder fuzz_proposal = {
  .name = "proposal",
  .n_samples = 2,
  .sample = proposal_sample,
  .decode = proposal_decode,
};

/* ---- resources in the log ---- */

static const char spec_text[] = "{\"kind\":\"encode\"}";

static void
fill_change (uint32_t i, struct store_change *change)
{
  *change = (struct store_change){
    .op = (enum store_op) (i % STORE_OP_COUNT),
    .kind = i % 2 == 0 ? RESOURCE_POOL : RESOURCE_PIPELINE,
    .name = "object",
    .text = spec_text,
    .length = sizeof spec_text - 1,
    .has_version = i % 2 == 1,
    .change_id = "0123456789abcdef",
    .host = "a",
    .time_ms = 1000000 + i,
  };
  if (change->kind == RESOURCE_PIPELINE)
    {
      change->n_references = 1;
      change->references[0].kind = RESOURCE_POOL;
      text_copy (change->references[0].name, sizeof change->references[0].name, "object");
    }
}

static void
change_sample (uint32_t i, struct bytes *out)
{
  struct store_change change;

  fill_change (i, &change);
  store_change_pack (&change, out);
}

static enum status
change_decode (void *parent, const void *data, size_t length)
{
  struct store_change change;

  (void) parent;
  return store_change_unpack (&change, data, length);
}

const struct fuzz_decoder fuzz_store_change = {
  .name = "store-change",
  .n_samples = 2 * STORE_OP_COUNT,
  .sample = change_sample,
  .decode = change_decode,
};

static void
store_answer_sample (uint32_t i, struct bytes *out)
{
  const struct store_answer answer = {
    .verdict = (enum store_verdict) i,
    .revision = 9,
    .text = spec_text,
    .length = sizeof spec_text - 1,
  };

  store_answer_pack (&answer, out);
}

static enum status
store_answer_decode (void *parent, const void *data, size_t length)
{
  struct store_answer answer;

  (void) parent;
  return store_answer_unpack (&answer, data, length);
}

const struct fuzz_decoder fuzz_store_answer = {
  .name = "store-answer",
  .n_samples = STORE_VERDICT_COUNT,
  .sample = store_answer_sample,
  .decode = store_answer_decode,
};

/* Returns a store that holds one pool. */
static struct store *
filled_store (void *parent)
{
  struct store *store = store_new (parent, &(struct store_config){ .history_events_max = 16 });
  struct machine *machine = store_machine (store);
  struct bytes entry;
  struct bytes result;

  bytes_init (&entry, parent);
  bytes_init (&result, parent);
  change_sample (0, &entry);
  machine->ops->apply (machine, 1, entry.data, entry.length, &result);
  bytes_clear (&entry);
  bytes_clear (&result);
  return store;
}

/* The result of a rejected entry must decode, too. */
static enum status
store_entry_decode (void *parent, const void *data, size_t length)
{
  struct machine *machine = store_machine (filled_store (parent));
  struct store_answer answer;
  struct bytes result;
  enum status status;

  bytes_init (&result, parent);
  machine->ops->apply (machine, 2, data, length, &result);
  status = store_answer_unpack (&answer, result.data, result.length);
  INVARIANT (status == STATUS_OK);
  return as_status (answer.verdict != STORE_MALFORMED);
}

const struct fuzz_decoder fuzz_store_entry = {
  .name = "store-entry",
  .n_samples = 2 * STORE_OP_COUNT,
  .sample = change_sample,
  .decode = store_entry_decode,
};

static void
snapshot_sample (uint32_t i, struct bytes *out)
{
  void *parent = talloc_new (NULL);
  struct machine *machine = store_machine (filled_store (parent));

  (void) i;
  machine->ops->save (machine, out);
  talloc_free (parent);
}

static enum status
snapshot_decode (void *parent, const void *data, size_t length)
{
  struct store *store = filled_store (parent);
  struct machine *machine = store_machine (store);
  enum status status = machine->ops->load (machine, 5, data, length);

  if (status == STATUS_OK)
    json_decref (store_describe (store));
  return status;
}

const struct fuzz_decoder fuzz_store_snapshot = {
  .name = "store-snapshot",
  .n_samples = 1,
  .sample = snapshot_sample,
  .decode = snapshot_decode,
};

/* ---- targets ---- */

static void
fill_target (struct board_target *target)
{
  *target = (struct board_target){
    .name = "t1",
    .pool = "p",
    .domain = "d",
    .address = "10.0.0.9:80",
    .kind = STAGE_GENERATE,
    .models = { "m" },
    .n_models = 1,
    .version = "v",
    .slots = 4,
    .incarnation = 3,
    .sequence = 2,
  };
}

static void
directory_sample (uint32_t i, struct bytes *out)
{
  struct directory_request_message ask = {
    .requested_at = 5, .epoch = 7, .version = 1, .n_interest = 1
  };
  struct directory_change change = { .slot = 0, .version = 2, .phase = DIRECTORY_READY };
  struct directory_head *head = talloc_zero (NULL, struct directory_head);
  struct board_target target;

  fill_target (&target);
  text_copy (change.record.name, sizeof change.record.name, target.name);
  change.record.incarnation = target.incarnation;
  change.record.sequence = target.sequence;
  head->kind = i == 1 ? DIRECTORY_ANSWER_MESSAGE : DIRECTORY_PUSH_MESSAGE;
  head->requested_at = i == 1 ? NOW - USEC_PER_MSEC : 0;
  head->epoch = INCARNATION;
  head->version = 2;
  head->current = 2;
  head->lease_ms = 1800;
  head->reset = true;
  head->n_changes = 1;
  if (i == 0)
    directory_write_request (out, &ask);
  else
    {
      directory_write_head (out, head);
      directory_write_change (out, &change, &target);
    }
  talloc_free (head);
}

static void
drop_message (struct directory_wire *wire, const char *host, const void *data, size_t length)
{
  (void) wire;
  (void) host;
  (void) data;
  (void) length;
}

static void
add_host (struct board *board, const char *name, bool self)
{
  struct handle handle;
  struct board_host *host = table_add (board->hosts, &handle);

  text_copy (host->name, sizeof host->name, name);
  host->self = self;
  if (self)
    board->self = handle;
}

/* Returns STATUS_OK if the request, or the head of another message, decodes. */
static enum status
directory_decode (void *parent, const void *data, size_t length)
{
  static const struct directory_wire_ops wire_ops = { .send = drop_message };
  struct directory_wire wire = { .ops = &wire_ops };
  struct board *board = board_new (parent);
  struct directory_config config = {
    .board = board,
    .counters = counters_new (parent),
    .wire = &wire,
    .self = "a",
    .incarnation = INCARNATION,
    .seed = SEED,
  };
  struct directory *directory;
  struct pack_reader reader;
  struct directory_request_message ask;
  struct directory_head *head = talloc (parent, struct directory_head);
  uint64_t kind;

  add_host (board, "a", true);
  add_host (board, "b", false);
  directory = directory_new (parent, &config);
  directory_tick (directory, NOW);
  directory_receive (directory, "b", data, length, NOW);
  directory_tick (directory, NOW + USEC_PER_SEC);
  json_decref (directory_describe (directory));
  pack_reader_init (&reader, data, length);
  kind = pack_read_uint (&reader, DIRECTORY_PUSH_MESSAGE);
  return as_status (kind == DIRECTORY_REQUEST_MESSAGE ? directory_read_request (&reader, &ask)
                                                      : directory_read_head (&reader, head));
}

const struct fuzz_decoder fuzz_directory = {
  .name = "directory",
  .n_samples = 3,
  .sample = directory_sample,
  .decode = directory_decode,
};
