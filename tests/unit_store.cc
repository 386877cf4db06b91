// The state machine of the resources: races, resends, references, snapshots, history.
#include "store_clock.h"
#include "store_group.h"
#include "unit_store_fake.h"
#include <vector>

namespace
{

class Store : public testing::Test
{
protected:
  struct store_config config = {};
  struct store *store = store_new (nullptr, &config);

  ~Store () override
  {
    talloc_free (store);
  }
};

// Two operators read a pool at revision 1 and both write it with that version.  The log orders
// them: the first is applied; the second must get a conflict and the current object, or the first
// change would be lost silently.
TEST_F (Store, OneOfTwoRacingChangesWithEqualVersionsIsApplied)
{
  ASSERT_EQ (apply_change (store, { .name = "p", .spec = "{\"slots\":1}" }).verdict, STORE_CREATED);
  struct answer first =
      apply_change (store, { .name = "p", .spec = "{\"slots\":2}", .version = 1 });
  struct answer second =
      apply_change (store, { .name = "p", .spec = "{\"slots\":3}", .version = 1 });

  EXPECT_EQ (first.verdict, STORE_CHANGED);
  EXPECT_EQ (second.verdict, STORE_CONFLICT);
  EXPECT_NE (second.text.find ("\"slots\":2"), std::string::npos);
  EXPECT_NE (second.text.find ("\"resourceVersion\":2"), std::string::npos);
  EXPECT_EQ (store_revision (store), 2u);
}

TEST_F (Store, VersionZeroMeansTheObjectMustNotExist)
{
  EXPECT_EQ (apply_change (store, { .name = "p", .version = 0 }).verdict, STORE_CREATED);
  EXPECT_EQ (apply_change (store, { .name = "p", .version = 0 }).verdict, STORE_CONFLICT);
  EXPECT_EQ (apply_change (store, { .name = "q", .version = 7 }).verdict, STORE_CONFLICT);
}

// An operator's connection breaks after the change was accepted; the client resends it with the
// same change id to another host, after the object was changed again.  It must get the first
// answer, and the later change must remain.
TEST_F (Store, AResentChangeGetsTheFirstAnswerAndIsNotAppliedAgain)
{
  struct change lost = { .name = "p", .spec = "{\"slots\":1}", .id = "c1" };
  struct answer first = apply_change (store, lost);

  apply_change (store, { .name = "p", .spec = "{\"slots\":9}", .id = "c2" });
  lost.host = "b";
  struct answer again = apply_change (store, lost);
  EXPECT_EQ (again.verdict, first.verdict);
  EXPECT_EQ (again.revision, first.revision);
  EXPECT_EQ (again.text, first.text);
  EXPECT_TRUE (again.resent);
  EXPECT_NE (std::string (store_find (store, RESOURCE_POOL, "p")->spec).find ("9"),
             std::string::npos);
}

// As above, but the host that accepted the change has died and a new process loaded its snapshot.
TEST_F (Store, AChangeIdIsKeptAcrossASnapshot)
{
  struct change lost = { .name = "p", .spec = "{\"slots\":1}", .id = "c1" };
  struct answer first = apply_change (store, lost);
  std::string saved = save_machine (store_machine (store));
  struct store *other = store_new (nullptr, &config);
  struct machine *machine = store_machine (other);

  ASSERT_EQ (machine->ops->load (machine, 1, saved.data (), saved.size ()), STATUS_OK);
  struct answer again = apply_change (other, lost);
  EXPECT_TRUE (again.resent);
  EXPECT_EQ (again.text, first.text);
  EXPECT_EQ (store_revision (other), 1u);
  talloc_free (other);
}

TEST_F (Store, AChangeIdWithAnotherBodyIsRefused)
{
  apply_change (store, { .name = "p", .spec = "{\"slots\":1}", .id = "c1" });
  struct answer other = apply_change (store, { .name = "p", .spec = "{\"slots\":2}", .id = "c1" });

  EXPECT_EQ (other.verdict, STORE_OTHER_BODY);
  EXPECT_EQ (store_revision (store), 1u);
}

// A host merges a patch into an old copy and gets a conflict; it merges again and retries under the
// operator's change id.  If the first conflict were stored as the answer, the patch could never be
// applied.
TEST_F (Store, AConflictThatItsProposerRetriesIsNotStored)
{
  apply_change (store, { .name = "p", .spec = "{\"slots\":1}" });
  struct change patch = {
    .name = "p", .spec = "{\"slots\":2}", .id = "c1", .version = 7, .again = true
  };
  EXPECT_EQ (apply_change (store, patch).verdict, STORE_CONFLICT);
  patch.version = 1;
  EXPECT_EQ (apply_change (store, patch).verdict, STORE_CHANGED);
}

// Change ids are never evicted before their retention ends: a resend after an early eviction would
// be applied a second time.  When the table is full, new ids are refused until log time has
// advanced.
TEST_F (Store, FullChangeIdTableRefusesNewIds)
{
  config.change_ids_max = 2;
  config.change_id_retention_ms = 1000;
  struct store *small = store_new (nullptr, &config);

  apply_change (small, { .name = "a", .id = "1", .time_ms = 5000 });
  apply_change (small, { .name = "b", .id = "2", .time_ms = 5000 });
  EXPECT_EQ (apply_change (small, { .name = "c", .id = "3", .time_ms = 5999 }).verdict, STORE_FULL);
  EXPECT_TRUE (apply_change (small, { .name = "a", .id = "1", .time_ms = 5999 }).resent);
  EXPECT_EQ (apply_change (small, { .name = "c", .id = "3", .time_ms = 6000 }).verdict,
             STORE_CREATED);
  talloc_free (small);
}

// One operator deletes a pool while another creates a pipeline that uses it; both were validated
// against the earlier state.  The one that the log orders second must be refused, or requests of
// the pipeline would have no pool.
TEST_F (Store, AReferencedPoolCannotBeDeletedAndAMissingOneCannotBeReferenced)
{
  struct change pipeline = { .kind = "pipelines", .name = "x", .refers_to = "p" };

  EXPECT_EQ (apply_change (store, pipeline).verdict, STORE_MISSING);
  apply_change (store, { .name = "p" });
  EXPECT_EQ (apply_change (store, pipeline).verdict, STORE_CREATED);
  struct answer refused = apply_change (store, { .name = "p", .op = STORE_DELETE });
  EXPECT_EQ (refused.verdict, STORE_REFERENCED);
  EXPECT_EQ (refused.text, "x");
  pipeline.op = STORE_DELETE;
  EXPECT_EQ (apply_change (store, pipeline).verdict, STORE_DELETED);
  EXPECT_EQ (apply_change (store, { .name = "p", .op = STORE_DELETE }).verdict, STORE_DELETED);
  EXPECT_EQ (store_find (store, RESOURCE_POOL, "p"), nullptr);
}

TEST_F (Store, APipelineAndAServiceCannotShareAName)
{
  apply_change (store, { .kind = "services", .name = "x" });
  EXPECT_EQ (apply_change (store, { .kind = "pipelines", .name = "x" }).verdict, STORE_TAKEN);
}

TEST_F (Store, AnEqualSpecChangesNothingAndAStatusKeepsTheGeneration)
{
  apply_change (store, { .name = "p" });
  EXPECT_EQ (apply_change (store, { .name = "p" }).verdict, STORE_UNCHANGED);
  EXPECT_EQ (store_revision (store), 1u);
  apply_change (store, { .name = "p", .spec = "{\"done\":1}", .op = STORE_STATUS });
  EXPECT_EQ (store_revision (store), 2u);
  EXPECT_EQ (store_find (store, RESOURCE_POOL, "p")->generation, 1u);
  EXPECT_STREQ (store_find (store, RESOURCE_POOL, "p")->status, "{\"done\":1}");
}

// A replica that loaded a snapshot and one that applied every entry must stay identical: their next
// answers and snapshots are compared byte for byte.
TEST_F (Store, ReplicaLoadedFromASnapshotStaysIdentical)
{
  for (int i = 0; i < 50; i++)
    apply_change (store, { .name = "p" + std::to_string (i * 7 % 50),
                           .id = "c" + std::to_string (i),
                           .host = i % 2 ? "a" : "b",
                           .time_ms = 1000 + i });
  std::string saved = save_machine (store_machine (store));
  struct store *other = store_new (nullptr, &config);
  struct machine *machine = store_machine (other);
  ASSERT_EQ (machine->ops->load (machine, 50, saved.data (), saved.size ()), STATUS_OK);
  struct change next = { .name = "p3", .spec = "{\"slots\":3}", .id = "n", .time_ms = 3000 };
  EXPECT_EQ (apply_change (store, next).text, apply_change (other, next).text);
  EXPECT_EQ (save_machine (store_machine (store)), save_machine (machine));
  talloc_free (other);
}

// A truncated snapshot or entry must be refused and never be read past its end, which the
// sanitizers check.
TEST_F (Store, ATruncatedSnapshotOrEntryIsRefused)
{
  struct change change = { .name = "p", .spec = "{\"slots\":1}", .id = "c1" };
  std::string entry = pack_change (change);

  for (size_t length = 0; length < entry.size (); length++)
    EXPECT_EQ (apply_packed (store, entry.substr (0, length)).verdict, STORE_MALFORMED);
  apply_packed (store, entry);
  std::string saved = save_machine (store_machine (store));
  for (size_t length = 0; length < saved.size (); length++)
    {
      std::string cut = saved.substr (0, length);
      struct store *other = store_new (nullptr, &config);
      struct machine *machine = store_machine (other);
      EXPECT_NE (machine->ops->load (machine, 1, cut.data (), cut.size ()), STATUS_OK);
      talloc_free (other);
    }
}

TEST_F (Store, HistoryResumesFromARevisionUntilItIsDropped)
{
  const struct store_event *event;

  config.history_events_max = 3;
  struct store *small = store_new (nullptr, &config);
  for (int i = 0; i < 5; i++)
    apply_change (small, { .name = "p" + std::to_string (i) });
  EXPECT_EQ (store_history_next (store_get_history (small), 1, &event), STATUS_EXPIRED);
  ASSERT_EQ (store_history_next (store_get_history (small), 2, &event), STATUS_OK);
  EXPECT_EQ (event->revision, 3u);
  EXPECT_STREQ (event->name, "p2");
  ASSERT_EQ (store_history_next (store_get_history (small), 5, &event), STATUS_OK);
  EXPECT_EQ (event, nullptr);
  talloc_free (small);
}

TEST_F (Store, AFollowerAppliesRevisionsInOrderAndNeverAnOlderState)
{
  struct store_event event = {};

  event.revision = 1;
  event.kind = RESOURCE_POOL;
  snprintf (event.name, sizeof event.name, "p");
  event.generation = 1;
  event.spec = "{}";
  EXPECT_EQ (store_apply_event (store, &event), STATUS_OK);
  EXPECT_EQ (store_apply_event (store, &event), STATUS_CONFLICT);
  event.revision = 3;
  EXPECT_EQ (store_apply_event (store, &event), STATUS_CONFLICT);
  store_replace_begin (store);
  store_replace_add (store, &event);
  EXPECT_EQ (store_replace_end (store, 9), STATUS_OK);
  store_replace_begin (store);
  EXPECT_EQ (store_replace_end (store, 8), STATUS_CONFLICT);
  EXPECT_NE (store_find (store, RESOURCE_POOL, "p"), nullptr);
  EXPECT_EQ (store_revision (store), 9u);
}

// One host's clock jumps ahead by a day and the host continues to propose.  If log time followed
// it, every claim and change id would expire at once and resends would run again.
TEST (StoreClock, AClockJumpOnOneHostDoesNotMoveLogTime)
{
  struct store_clock clock = {};

  store_clock_observe (&clock, "a", 1000);
  store_clock_observe (&clock, "b", 1001);
  store_clock_observe (&clock, "c", 1002);
  store_clock_observe (&clock, "a", 86400000);
  EXPECT_LE (clock.now_ms, 1002);
  store_clock_observe (&clock, "b", 2000);
  EXPECT_EQ (clock.now_ms, 2000);
  store_clock_observe (&clock, "b", 1500);
  EXPECT_EQ (clock.now_ms, 2000);
}

// One of two proposers stops permanently.  Log time must still advance, or nothing would expire
// again and the tables would fill up.
TEST (StoreClock, ASilentHostDoesNotStopLogTime)
{
  struct store_clock clock = {};

  store_clock_observe (&clock, "gone", 1000);
  for (int i = 0; i <= STORE_CLOCK_WINDOW; i++)
    store_clock_observe (&clock, "a", 5000 + i);
  EXPECT_EQ (clock.now_ms, 5000 + STORE_CLOCK_WINDOW);
}

TEST (StoreGroup, AnEntryForAnUnknownPartChangesNothing)
{
  struct store_group *group = store_group_new (nullptr);
  struct machine *machine = store_group_machine (group);
  struct bytes result;

  bytes_init (&result, nullptr);
  machine->ops->apply (machine, 1, "\x02x", 2, &result);
  machine->ops->apply (machine, 1, "\xffx", 2, &result);
  machine->ops->apply (machine, 1, "", 0, &result);
  EXPECT_EQ (result.length, 0u);
  talloc_free (group);
}

}
