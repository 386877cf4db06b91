/* The decoders, by the file that defines them; fuzz_decoders[] lists them all. */
#ifndef FUZZ_PARTS_H
#define FUZZ_PARTS_H

#include "decls.h"
#include "fuzz.h"

BEGIN_DECLS

/* fuzz_text.c */
extern const struct fuzz_decoder fuzz_settings;
extern const struct fuzz_decoder fuzz_keyfile;
extern const struct fuzz_decoder fuzz_sse;
extern const struct fuzz_decoder fuzz_target_answer;
extern const struct fuzz_decoder fuzz_target_piece;
extern const struct fuzz_decoder fuzz_resource;

/* fuzz_http.c */
extern const struct fuzz_decoder fuzz_http_response;
extern const struct fuzz_decoder fuzz_http_request;

/* fuzz_message.c */
extern const struct fuzz_decoder fuzz_raft;
extern const struct fuzz_decoder fuzz_raft_members;
extern const struct fuzz_decoder fuzz_proposal;
extern const struct fuzz_decoder fuzz_store_change;
extern const struct fuzz_decoder fuzz_store_answer;
extern const struct fuzz_decoder fuzz_store_entry;
extern const struct fuzz_decoder fuzz_store_snapshot;
extern const struct fuzz_decoder fuzz_directory;

/* fuzz_raft.c */
extern const struct fuzz_decoder fuzz_raft_follower;
extern const struct fuzz_decoder fuzz_raft_leader;

/* fuzz_config.c */
extern const struct fuzz_decoder fuzz_config;

/* fuzz_claim.c */
extern const struct fuzz_decoder fuzz_claim_entry;
extern const struct fuzz_decoder fuzz_claim_result;
extern const struct fuzz_decoder fuzz_claim_snapshot;

/* fuzz_document.c */
extern const struct fuzz_decoder fuzz_document;

/* fuzz_member.c */
extern const struct fuzz_decoder fuzz_member;

END_DECLS

#endif
