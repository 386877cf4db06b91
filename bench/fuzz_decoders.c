/* The table of decoders. */
#include "fuzz_parts.h"
#include <stddef.h>

const struct fuzz_decoder *const fuzz_decoders[] = {
  /* text */
  &fuzz_settings,
  &fuzz_keyfile,
  &fuzz_sse,
  &fuzz_answer,
  &fuzz_piece,
  &fuzz_resource,
  &fuzz_http_answer,
  &fuzz_http_request,
  /* messages between hosts, and log entries */
  &fuzz_raft,
  &fuzz_raft_follower,
  &fuzz_raft_leader,
  &fuzz_members,
  &fuzz_proposal,
  &fuzz_change,
  &fuzz_answer_of_store,
  &fuzz_store_entry,
  &fuzz_store_snapshot,
  &fuzz_directory,
  &fuzz_config,
  &fuzz_claim_entry,
  &fuzz_claim_result,
  &fuzz_claim_snapshot,
  &fuzz_member,
  NULL,
};
