/* The mutator. */
#include "fuzz.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define MUTATIONS_MAX 4
#define SLICE_MAX 64
#define INPUT_MAX (64u << 10)

/* Bytes with a meaning to some decoder: MessagePack tags of long strings, arrays and extreme
 * numbers, JSON and INI punctuation, range limits, invalid UTF-8. */
static const uint8_t significant_bytes[] = { 0x00, 0x01, 0x7f, 0x80, 0x8f, 0x90, 0x9f, 0xa0,
                                             0xbf, 0xc0, 0xc1, 0xc4, 0xc6, 0xcb, 0xcf, 0xd3,
                                             0xd9, 0xdb, 0xdc, 0xdd, 0xde, 0xdf, 0xe0, 0xff,
                                             '"',  '\\', '{',  '}',  '[',  ']',  ':',  ',',
                                             '\n', '\r', ' ',  '-',  '9',  'e',  ';',  '=' };

struct bytes fuzz_current_input;

static void
flip_bit (struct bytes *data, struct rng *rng)
{
  data->data[rng_below (rng, data->length)] ^= (char) (1u << rng_below (rng, 8));
}

static void
set_significant_byte (struct bytes *data, struct rng *rng)
{
  data->data[rng_below (rng, data->length)] =
      (char) significant_bytes[rng_below (rng, sizeof significant_bytes)];
}

/* Sets up to 8 bytes to 0xff or 0x00, for example to make a length huge. */
static void
set_run (struct bytes *data, struct rng *rng)
{
  size_t at = rng_below (rng, data->length);
  size_t length = 1 + rng_below (rng, 8);

  if (length > data->length - at)
    length = data->length - at;
  memset (data->data + at, rng_below (rng, 2) == 0 ? 0xff : 0x00, length);
}

static void
truncate_data (struct bytes *data, struct rng *rng)
{
  data->length = rng_below (rng, data->length);
  data->data[data->length] = '\0';
}

static void
remove_slice (struct bytes *data, struct rng *rng)
{
  size_t at = rng_below (rng, data->length);
  size_t length = 1 + rng_below (rng, SLICE_MAX);

  if (length > data->length - at)
    length = data->length - at;
  memmove (data->data + at, data->data + at + length, data->length - at - length + 1);
  data->length -= length;
}

/* Inserts a copy of a slice of the data elsewhere in it. */
static void
repeat_slice (struct bytes *data, struct rng *rng)
{
  char slice[SLICE_MAX];
  size_t from = rng_below (rng, data->length);
  size_t at = rng_below (rng, data->length);
  size_t length = 1 + rng_below (rng, SLICE_MAX);

  if (length > data->length - from)
    length = data->length - from;
  if (data->length + length > INPUT_MAX)
    return;
  memcpy (slice, data->data + from, length);
  bytes_append (data, slice, length);
  memmove (data->data + at + length, data->data + at, data->length - length - at);
  memcpy (data->data + at, slice, length);
}

void
fuzz_mutate (struct bytes *data, struct rng *rng)
{
  static void (*const mutators[]) (struct bytes *, struct rng *) = {
    flip_bit,      set_significant_byte, set_significant_byte, set_run,
    truncate_data, remove_slice,         repeat_slice,
  };
  uint64_t mutations = 1 + rng_below (rng, MUTATIONS_MAX);

  for (; mutations > 0 && data->length > 0; mutations--)
    mutators[rng_below (rng, sizeof mutators / sizeof mutators[0])](data, rng);
}

enum status
fuzz_decode (const struct fuzz_decoder *decoder, const void *data, size_t length)
{
  void *parent = talloc_new (NULL);
  char *copy = malloc (length == 0 ? 1 : length);
  enum status status = STATUS_NO_MEMORY;

  if (parent != NULL && copy != NULL)
    {
      if (length > 0)
        memcpy (copy, data, length);
      status = decoder->decode (parent, copy, length);
    }
  talloc_free (parent);
  free (copy);
  return status;
}

void
fuzz_run (const struct fuzz_decoder *decoder,
          uint64_t seed,
          uint64_t runs,
          struct fuzz_result *result)
{
  struct rng rng;
  uint64_t i;

  rng_init (&rng, seed);
  for (i = 0; i < runs; i++)
    {
      bytes_clear (&fuzz_current_input);
      decoder->sample ((uint32_t) (i % decoder->n_samples), &fuzz_current_input);
      fuzz_mutate (&fuzz_current_input, &rng);
      result->runs++;
      if (fuzz_decode (decoder, fuzz_current_input.data, fuzz_current_input.length) == STATUS_OK)
        result->accepted++;
      else
        result->rejected++;
    }
  bytes_clear (&fuzz_current_input);
}
