// The set of evacuated failure domains, and its place in the replicated document.
#include "document.h"
#include <gtest/gtest.h>
#include <talloc.h>

namespace
{

struct evacuation_order
make_order (const std::string &domain, bool begins, uint64_t base = 0)
{
  struct evacuation_order order = {};

  snprintf (order.domain, sizeof order.domain, "%s", domain.c_str ());
  order.begins = begins;
  order.base = base;
  return order;
}

enum evacuation_outcome
give (struct evacuation_set &set, uint64_t index, const struct evacuation_order &order)
{
  return evacuation_apply (&set, &order, index);
}

// Guards against a resend that is refused or counted as a change, and a finish without begin that
// is an error.
TEST (Evacuation, ARepeatedOrderChangesNothing)
{
  struct evacuation_set set = {};

  EXPECT_EQ (give (set, 3, make_order ("a", false)), EVACUATION_UNCHANGED);
  EXPECT_EQ (set.revision, 0u);
  EXPECT_EQ (give (set, 4, make_order ("a", true)), EVACUATION_CHANGED);
  EXPECT_EQ (give (set, 5, make_order ("a", true)), EVACUATION_UNCHANGED);
  EXPECT_EQ (give (set, 6, make_order ("b", true)), EVACUATION_CHANGED);
  EXPECT_EQ (evacuation_count (&set), 2u);
  EXPECT_EQ (set.revision, 6u);
  EXPECT_EQ (give (set, 7, make_order ("a", false, 4)), EVACUATION_CHANGED);
  EXPECT_FALSE (evacuation_includes (&set, "a"));
  EXPECT_TRUE (evacuation_includes (&set, "b"));
}

// Guards against a begin that is applied late, after the same order was given again and reverted.
TEST (Evacuation, ADelayedOrderUndoesNoLaterOne)
{
  struct evacuation_set set = {};

  give (set, 4, make_order ("a", true));
  give (set, 5, make_order ("a", false, 4));
  EXPECT_EQ (give (set, 6, make_order ("a", true)), EVACUATION_SUPERSEDED);
  EXPECT_EQ (evacuation_count (&set), 0u);
  EXPECT_EQ (give (set, 7, make_order ("a", true, 5)), EVACUATION_CHANGED);
}

// Guards against a full set that forgets an evacuated domain or grows beyond its room.
TEST (Evacuation, AFullSetForgetsOnlyRevertedDomains)
{
  struct evacuation_set set = {};
  uint64_t index = 1;

  for (int i = 0; i < EVACUATION_DOMAINS_MAX; i++)
    give (set, index++, make_order ("d" + std::to_string (i), true));
  EXPECT_EQ (give (set, index++, make_order ("x", true)), EVACUATION_FULL);
  EXPECT_EQ (give (set, index++, make_order ("d7", false, 8)), EVACUATION_CHANGED);
  EXPECT_EQ (give (set, index++, make_order ("x", true)), EVACUATION_CHANGED);
  EXPECT_EQ (evacuation_find (&set, "d7"), nullptr);
  EXPECT_EQ (evacuation_count (&set), (uint32_t) EVACUATION_DOMAINS_MAX);
}

// Guards against names that cannot stand in the path of a call.
TEST (Evacuation, KnowsValidNames)
{
  for (const std::string &name :
       { std::string (), std::string ("%61"), std::string ("a/b"), std::string ("a b"),
         std::string ("a?"), std::string ("a\n"), std::string (5000, 'z'), std::string (64, 'z') })
    EXPECT_FALSE (evacuation_name_is_valid (name.c_str ())) << name;
  EXPECT_TRUE (evacuation_name_is_valid (std::string (63, 'z').c_str ()));
}

// Guards against a host that goes back to an older set, or counts a domain as reverted anew with
// each message.
TEST (Evacuation, AViewGoesForwardOnly)
{
  struct evacuation_view view = {};
  struct evacuation_set older = {};
  struct evacuation_set newer = {};
  int64_t ages[EVACUATION_DOMAINS_MAX] = { 40 };

  give (older, 4, make_order ("a", true));
  newer = older;
  give (newer, 6, make_order ("a", false, 4));
  EXPECT_TRUE (evacuation_view_update (&view, &newer, ages, 100));
  EXPECT_EQ (evacuation_view_restored_at (&view, "a"), 60);
  EXPECT_FALSE (evacuation_view_update (&view, &older, ages, 200));
  EXPECT_FALSE (evacuation_includes (&view.set, "a"));
  give (newer, 8, make_order ("b", true));
  EXPECT_TRUE (evacuation_view_update (&view, &newer, ages, 300));
  EXPECT_EQ (evacuation_view_restored_at (&view, "a"), 60);
  EXPECT_EQ (evacuation_view_restored_at (&view, "b"), 0);
}

// ---- the document ----

class EvacuationDocument : public ::testing::Test
{
protected:
  void *parent = talloc_new (nullptr);
  struct document *document = document_new (parent, nullptr);
  struct machine *machine = document_machine (document);

  ~EvacuationDocument () override
  {
    talloc_free (parent);
  }

  std::string
  apply (uint64_t index, const std::string &entry)
  {
    struct bytes result;

    bytes_init (&result, parent);
    machine->ops->apply (machine, index, entry.data (), entry.size (), &result);
    return std::string (result.data, result.length);
  }

  static std::string
  entry_of (const struct evacuation_order &order)
  {
    struct bytes entry;

    bytes_init (&entry, nullptr);
    document_evacuation_pack (&order, &entry);
    std::string text (entry.data, entry.length);
    bytes_clear (&entry);
    return text;
  }

  std::string
  snapshot ()
  {
    struct bytes out;

    bytes_init (&out, parent);
    EXPECT_EQ (machine->ops->save (machine, &out), STATUS_OK);
    return std::string (out.data, out.length);
  }

  std::string
  config_entry (uint64_t version)
  {
    struct bytes entry;

    bytes_init (&entry, parent);
    document_change_pack (version, "text", 4, &entry);
    return std::string (entry.data, entry.length);
  }
};

// Guards against controllers of earlier releases that read another snapshot although no order was
// given.
TEST_F (EvacuationDocument, SnapshotsWithoutOrdersStayAsTheyWere)
{
  apply (1, config_entry (3));
  apply (2, entry_of (make_order ("a", false)));
  EXPECT_EQ (snapshot (), config_entry (3));
}

// Guards against an order that changes the configuration, or is lost by a snapshot that a
// controller starts from.
TEST_F (EvacuationDocument, ASnapshotCarriesTheSet)
{
  struct document *other = document_new (parent, nullptr);
  struct machine *loaded = document_machine (other);
  enum evacuation_outcome outcome;
  std::string result;

  apply (1, config_entry (3));
  result = apply (5, entry_of (make_order ("a", true)));
  ASSERT_TRUE (document_read_evacuation_outcome (result.data (), result.size (), &outcome));
  EXPECT_EQ (outcome, EVACUATION_CHANGED);
  EXPECT_EQ (document_version (document), 3u);
  result = apply (6, config_entry (4));
  EXPECT_FALSE (document_read_evacuation_outcome (result.data (), result.size (), &outcome));
  std::string text = snapshot ();
  EXPECT_EQ (loaded->ops->load (loaded, 6, text.data (), text.size () - 1), STATUS_CORRUPT);
  ASSERT_EQ (loaded->ops->load (loaded, 6, text.data (), text.size ()), STATUS_OK);
  EXPECT_EQ (document_version (other), 4u);
  EXPECT_TRUE (evacuation_includes (document_evacuations (other), "a"));
  EXPECT_EQ (document_evacuations (other)->revision, 5u);
}

// Guards against a damaged order that stops a controller or evacuates something.
TEST_F (EvacuationDocument, DamagedOrdersChangeNothing)
{
  std::string entry = entry_of (make_order ("a", true));
  struct bytes damaged;

  for (size_t length = 0; length < entry.size (); length++)
    apply (length + 1, entry.substr (0, length));
  bytes_init (&damaged, parent);
  document_change_pack (0, "?", 1, &damaged);
  apply (100, std::string (damaged.data, damaged.length));
  EXPECT_EQ (document_evacuations (document)->revision, 0u);
}

}
