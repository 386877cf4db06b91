// Helpers to build changes and apply them, one entry at a time, to the resource state machine.
#pragma once
#include "store.h"
#include <cstring>
#include <gtest/gtest.h>
#include <sodium.h>
#include <string>
#include <talloc.h>

struct change
{
  std::string kind = "pools";
  std::string name = {};
  std::string spec = "{}";
  std::string id = {};
  std::string host = "a";
  int64_t time_ms = 1000;
  int64_t version = -1; // -1: any
  std::string refers_to = {};
  enum store_op op = STORE_PUT;
  bool again = false;
};

struct answer
{
  enum store_verdict verdict = STORE_MALFORMED;
  bool resent = false;
  uint64_t revision = 0;
  std::string text = {};
};

inline std::string
pack_change (const struct change &wanted)
{
  struct store_change change = {};
  struct bytes out;
  std::string packed;

  change.op = wanted.op;
  change.kind = resource_kind_find (wanted.kind.c_str ());
  snprintf (change.name, sizeof change.name, "%s", wanted.name.c_str ());
  change.text = wanted.spec.data ();
  change.length = wanted.spec.size ();
  if (!wanted.refers_to.empty ())
    {
      change.n_references = 1;
      change.references[0].kind = RESOURCE_POOL;
      snprintf (change.references[0].name, RESOURCE_NAME_SIZE, "%s", wanted.refers_to.c_str ());
    }
  change.has_version = wanted.version >= 0;
  change.version = wanted.version >= 0 ? static_cast<uint64_t> (wanted.version) : 0;
  change.retry_on_conflict = wanted.again;
  snprintf (change.change_id, sizeof change.change_id, "%s", wanted.id.c_str ());
  crypto_generichash (change.body_hash, sizeof change.body_hash,
                      reinterpret_cast<const unsigned char *> (wanted.spec.data ()),
                      wanted.spec.size (), nullptr, 0);
  snprintf (change.host, sizeof change.host, "%s", wanted.host.c_str ());
  change.time_ms = wanted.time_ms;
  bytes_init (&out, nullptr);
  store_change_pack (&change, &out);
  packed.assign (out.data, out.length);
  bytes_clear (&out);
  return packed;
}

inline struct answer
apply_packed (struct store *store, const std::string &entry)
{
  struct machine *machine = store_machine (store);
  struct store_answer unpacked;
  struct answer answer;
  struct bytes result;

  bytes_init (&result, nullptr);
  machine->ops->apply (machine, 1, entry.data (), entry.size (), &result);
  EXPECT_EQ (store_answer_unpack (&unpacked, result.data, result.length), STATUS_OK);
  answer.verdict = unpacked.verdict;
  answer.resent = unpacked.resent;
  answer.revision = unpacked.revision;
  if (unpacked.length > 0)
    answer.text.assign (unpacked.text, unpacked.length);
  bytes_clear (&result);
  return answer;
}

inline struct answer
apply_change (struct store *store, const struct change &change)
{
  return apply_packed (store, pack_change (change));
}

inline std::string
save_machine (struct machine *machine)
{
  struct bytes out;
  std::string saved;

  bytes_init (&out, nullptr);
  EXPECT_EQ (machine->ops->save (machine, &out), STATUS_OK);
  saved.assign (out.data, out.length);
  bytes_clear (&out);
  return saved;
}
