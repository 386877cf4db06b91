/* Encoding of the messages of membership. */
#include "member_wire.h"
#include <string.h>

#define FLAG_BEHIND 1u
#define FLAG_CUT_OFF 2u

static void
write_vitals (struct bytes *out, const struct member_vitals *vitals)
{
  pack_uint (out, vitals->incarnation);
  pack_uint (out, vitals->version);
  pack_uint (out, vitals->revision);
  pack_uint (out, vitals->load_percent);
}

static void
read_vitals (struct pack_reader *reader, struct member_vitals *vitals)
{
  vitals->incarnation = pack_read_uint (reader, UINT64_MAX);
  vitals->version = pack_read_uint (reader, UINT64_MAX);
  vitals->revision = pack_read_uint (reader, UINT64_MAX);
  vitals->load_percent = (uint32_t) pack_read_uint (reader, 100);
}

void
member_write_head (struct bytes *out, const struct member_head *head)
{
  pack_uint (out, head->kind);
  pack_uint (out, head->number);
  pack_text (out, head->about);
  write_vitals (out, &head->vitals);
  pack_uint (out, head->digest);
  pack_array (out, head->n_items);
}

bool
member_read_head (struct pack_reader *reader, struct member_head *head)
{
  memset (head, 0, sizeof *head);
  head->kind = (enum member_kind) pack_read_uint (reader, MEMBER_KIND_COUNT - 1);
  head->number = pack_read_uint (reader, UINT64_MAX);
  pack_read_text (reader, head->about, sizeof head->about);
  read_vitals (reader, &head->vitals);
  head->digest = (uint32_t) pack_read_uint (reader, UINT32_MAX);
  head->n_items = pack_read_array (reader, MEMBER_ITEMS_MAX);
  return pack_read_is_ok (reader);
}

void
member_write_item (struct bytes *out, const struct member_item *item)
{
  const struct board_host *host = &item->host;

  pack_uint (out, item->form);
  pack_text (out, host->name);
  if (item->form == MEMBER_FORM_VITALS)
    {
      write_vitals (out, &item->vitals);
      return;
    }
  pack_uint (out, host->incarnation);
  pack_uint (out, item->sequence);
  pack_uint (out, host->state);
  pack_uint (out, (host->behind ? FLAG_BEHIND : 0u) | (host->cut_off ? FLAG_CUT_OFF : 0u));
  if (item->form == MEMBER_FORM_STATE)
    return;
  pack_text (out, host->domain);
  pack_text (out, host->region);
  pack_text (out, host->entry_address);
  pack_text (out, host->operator_address);
  pack_text (out, host->target_address);
  pack_text (out, host->peer_address);
  pack_text (out, host->public_key);
  pack_bool (out, host->voter);
}

bool
member_read_item (struct pack_reader *reader, struct member_item *item)
{
  struct board_host *host = &item->host;
  uint64_t flags;

  memset (item, 0, sizeof *item);
  item->form = (enum member_form) pack_read_uint (reader, MEMBER_FORM_COUNT - 1);
  pack_read_text (reader, host->name, sizeof host->name);
  if (item->form == MEMBER_FORM_VITALS)
    {
      read_vitals (reader, &item->vitals);
      return pack_read_is_ok (reader) && host->name[0] != '\0';
    }
  host->incarnation = pack_read_uint (reader, UINT64_MAX);
  item->sequence = pack_read_uint (reader, UINT64_MAX);
  host->state = (enum host_state) pack_read_uint (reader, HOST_STATE_COUNT - 1);
  flags = pack_read_uint (reader, FLAG_BEHIND | FLAG_CUT_OFF);
  host->behind = (flags & FLAG_BEHIND) != 0;
  host->cut_off = (flags & FLAG_CUT_OFF) != 0;
  if (item->form == MEMBER_FORM_STATE)
    return pack_read_is_ok (reader) && host->name[0] != '\0';
  pack_read_text (reader, host->domain, sizeof host->domain);
  pack_read_text (reader, host->region, sizeof host->region);
  pack_read_text (reader, host->entry_address, sizeof host->entry_address);
  pack_read_text (reader, host->operator_address, sizeof host->operator_address);
  pack_read_text (reader, host->target_address, sizeof host->target_address);
  pack_read_text (reader, host->peer_address, sizeof host->peer_address);
  pack_read_text (reader, host->public_key, sizeof host->public_key);
  host->voter = pack_read_bool (reader);
  return pack_read_is_ok (reader) && host->name[0] != '\0';
}
