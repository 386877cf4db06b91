/* File format of the journal: little-endian 64-bit words and XXH3 checksums. */
#ifndef JOURNAL_FORMAT_H
#define JOURNAL_FORMAT_H

#include "bytes.h"
#include <endian.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

#define JOURNAL_MAGIC UINT64_C (0x0a6a797272656863) /* "cherryj\n" */
#define JOURNAL_MAGIC_SIZE 8
#define JOURNAL_NAME_PREFIX "journal-"
#define JOURNAL_NAME_FORMAT JOURNAL_NAME_PREFIX "%016" PRIx64
#define JOURNAL_ALIGN 8u

/* Segment header: magic, version (4 bytes), flags (4 bytes), then the words below. */
#define SEGMENT_RESET 1u /* entries of earlier segments are discarded */
enum segment_word
{
  SEGMENT_ID,
  SEGMENT_PREV_INDEX, /* the last entry before the segment */
  SEGMENT_PREV_TERM,
  SEGMENT_TERM, /* the voter's state when the segment was created */
  SEGMENT_VOTE,
  SEGMENT_CHECKSUM,
  SEGMENT_WORDS
};
#define SEGMENT_HEADER_SIZE (JOURNAL_MAGIC_SIZE + 8 + SEGMENT_WORDS * 8)

/* Record: the header words below, payload, padding.  The checksum covers the rest of the record and
 * is seeded with the voter's id xor the record's offset. */
#define RECORD_STATE 1u
#define RECORD_ENTRY 2u
enum record_word
{
  RECORD_CHECKSUM,
  RECORD_LENGTH, /* payload bytes | record kind << 32 | entry kind << 48 */
  RECORD_SYNCED, /* length of the synced part of the segment at the time of writing */
  RECORD_INDEX,  /* of an entry; the vote for RECORD_STATE */
  RECORD_TERM,
  RECORD_WORDS
};
#define RECORD_HEADER_SIZE ((size_t) RECORD_WORDS * 8)

static inline void
format_put (char *at, uint64_t word)
{
  uint64_t little = htole64 (word);

  memcpy (at, &little, sizeof little);
}

static inline uint64_t
format_get (const char *at)
{
  uint64_t little;

  memcpy (&little, at, sizeof little);
  return le64toh (little);
}

static inline size_t
record_size (size_t length)
{
  return RECORD_HEADER_SIZE + (length + JOURNAL_ALIGN - 1) / JOURNAL_ALIGN * JOURNAL_ALIGN;
}

static inline uint64_t
record_checksum (const char *record, size_t size, uint64_t id, uint64_t offset)
{
  return XXH3_64bits_withSeed (record + 8, size - 8, id ^ offset);
}

#endif
