/* Membership messages, received by a member that knows two other hosts. */
#include "fuzz_parts.h"
#include "member.h"
#include "member_wire.h"
#include "text.h"
#include <talloc.h>

#define NOW (100 * USEC_PER_SEC)
#define SEED 1
#define ITEMS 3

static void
fill_host (struct board_host *host, const char *name)
{
  *host = (struct board_host){
    .domain = "d",
    .region = "r",
    .entry_address = "10.0.0.1:1",
    .operator_address = "10.0.0.1:2",
    .peer_address = "10.0.0.1:3",
    .incarnation = 5,
  };
  text_copy (host->name, sizeof host->name, name);
}

static void
member_sample (uint32_t i, struct bytes *out)
{
  static const char *const names[ITEMS] = { "b", "c", "new" };
  struct member_head head = {
    .kind = (enum member_kind) i,
    .number = 3,
    .about = "c",
    .vitals = { .incarnation = 5, .version = 2, .revision = 8, .load_percent = 40 },
    .digest = 77,
    .n_items = ITEMS,
  };
  uint32_t j;

  member_write_head (out, &head);
  for (j = 0; j < ITEMS; j++)
    {
      struct member_item item = {
        .form = (enum member_form) (j % MEMBER_FORM_COUNT),
        .sequence = 4,
        .vitals = head.vitals,
      };

      fill_host (&item.host, names[j]);
      member_write_item (out, &item);
    }
}

static void
drop_message (struct member_transport *wire, const char *host, const void *data, size_t length)
{
  (void) wire;
  (void) host;
  (void) data;
  (void) length;
}

static void
drop_address (struct member_transport *wire,
              const char *host,
              const char *address,
              const char *public_key)
{
  (void) wire;
  (void) host;
  (void) address;
  (void) public_key;
}

static void
drop_host (struct member_transport *wire, const char *host)
{
  (void) wire;
  (void) host;
}

static const struct member_transport_ops wire_ops = {
  .send = drop_message,
  .set_address = drop_address,
  .forget = drop_host,
};

/* Returns the decoder's status, regardless of how the member handles the message. */
static enum status
read_message (const void *data, size_t length)
{
  struct pack_reader reader;
  struct member_head head;
  struct member_item item;
  bool good;
  uint32_t i;

  pack_reader_init (&reader, data, length);
  good = member_read_head (&reader, &head);
  for (i = 0; good && i < head.n_items; i++)
    good = member_read_item (&reader, &item);
  return good && pack_read_is_complete (&reader) ? STATUS_OK : STATUS_MALFORMED;
}

static enum status
member_decode (void *parent, const void *data, size_t length)
{
  static const struct member_seed seeds[] = {
    { .name = "b", .address = "10.0.0.2:3" },
    { .name = "c", .address = "10.0.0.3:3" },
  };
  struct member_transport wire = { .ops = &wire_ops };
  struct member_config config = {
    .board = board_new (parent),
    .counters = counters_new (parent),
    .transport = &wire,
    .seeds = seeds,
    .n_seeds = sizeof seeds / sizeof seeds[0],
    .seed = SEED,
    .now = NOW,
  };
  struct member *member;

  fill_host (&config.self, "a");
  member = member_new (parent, &config);
  member_tick (member, NOW);
  member_receive (member, "b", data, length, NOW + USEC_PER_MSEC);
  member_tick (member, NOW + USEC_PER_SEC);
  member_tick (member, NOW + 10 * USEC_PER_SEC);
  json_decref (member_describe (member, NOW + 10 * USEC_PER_SEC));
  return read_message (data, length);
}

const struct fuzz_decoder fuzz_member = {
  .name = "member",
  .n_samples = MEMBER_KIND_COUNT,
  .sample = member_sample,
  .decode = member_decode,
};
