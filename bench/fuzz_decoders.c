/* The table of decoders. */
#include "fuzz_parts.h"
#include <stddef.h>

const struct fuzz_decoder *const fuzz_decoders[] = {
  /* text */
  &fuzz_settings,
  &fuzz_keyfile,
  &fuzz_sse,
  &fuzz_target_answer,
  &fuzz_target_piece,
  &fuzz_resource,
  &fuzz_http_response,
  &fuzz_http_request,
  /* messages between hosts, and log entries */
  &fuzz_raft,
  &fuzz_raft_follower,
  &fuzz_raft_leader,
  &fuzz_raft_members,
  &fuzz_proposal,
  &fuzz_store_change,
  &fuzz_store_answer,
  &fuzz_store_entry,
  &fuzz_store_snapshot,
  &fuzz_directory,
  &fuzz_config,
  &fuzz_claim_entry,
  &fuzz_claim_result,
  &fuzz_claim_snapshot,
  &fuzz_member,
  &fuzz_document,
  NULL,
};
