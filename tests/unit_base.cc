// Tables, timers, buffers, random numbers and status messages.
#include "bytes.h"
#include "rng.h"
#include "status.h"
#include "table.h"
#include "timer.h"
#include <gtest/gtest.h>
#include <talloc.h>
#include <vector>

namespace
{

// An event that arrives late carries the handle of a request that has ended and whose slot serves
// another request.  The generation of the handle differs, so the lookup must return NULL and not
// the new request.
TEST (Table, StaleHandleResolvesToNullAfterTheSlotIsReused)
{
  struct table *table = table_new (nullptr, sizeof (int), 4);
  struct handle first;
  struct handle second;

  ASSERT_NE (table_add (table, &first), nullptr);
  ASSERT_TRUE (table_remove (table, first));
  ASSERT_NE (table_add (table, &second), nullptr);
  EXPECT_EQ (first.index, second.index);
  EXPECT_EQ (table_get (table, first), nullptr);
  EXPECT_NE (table_get (table, second), nullptr);
  EXPECT_FALSE (table_remove (table, first));
  talloc_free (table);
}

TEST (Table, EntryAddressesAreStableWhileTheTableGrowsToItsLimit)
{
  struct table *table = table_new (nullptr, sizeof (int), 200);
  struct handle handle;
  int *entry = static_cast<int *> (table_add (table, &handle));
  struct handle other;

  *entry = 7;
  for (int i = 1; i < 200; i++)
    ASSERT_NE (table_add (table, &other), nullptr);
  EXPECT_EQ (table_add (table, &other), nullptr);
  EXPECT_EQ (table_get (table, handle), entry);
  EXPECT_EQ (*entry, 7);
  EXPECT_EQ (table_count (table), 200u);
  talloc_free (table);
}

struct recorder
{
  struct timer timer;
  std::vector<int> *order;
  int id;
  struct timer_service *again;
};

void
record (struct timer *timer, int64_t now)
{
  auto *self = reinterpret_cast<struct recorder *> (timer);

  self->order->push_back (self->id);
  if (self->again != nullptr)
    timer_arm (self->again, timer, now);
}

const struct timer_ops recorder_ops = { .fire = record };

TEST (Timer, FiresInDueOrderAndNotWhenDisarmed)
{
  struct timer_service *service = timer_service_new (nullptr);
  std::vector<int> order;
  struct recorder r[3];

  for (int i = 0; i < 3; i++)
    {
      r[i] = { .timer = { .ops = &recorder_ops, .due = 0, .position = 0 },
               .order = &order,
               .id = i,
               .again = nullptr };
      timer_arm (service, &r[i].timer, 30 - i * 10);
    }
  timer_disarm (service, &r[1].timer);
  EXPECT_EQ (timer_service_next_due (service), 10);
  EXPECT_EQ (timer_service_run (service, 9), 0u);
  EXPECT_EQ (timer_service_run (service, 30), 2u);
  EXPECT_EQ (order, (std::vector<int>{ 2, 0 }));
  EXPECT_EQ (timer_service_next_due (service), USEC_NEVER);
  talloc_free (service);
}

// A timer that rearms itself for "now" whenever it fires would block the loop, and every connection
// would hang.
TEST (Timer, RearmingTimerDoesNotBlockTheLoop)
{
  struct timer_service *service = timer_service_new (nullptr);
  std::vector<int> order;
  struct recorder r = { .timer = { .ops = &recorder_ops, .due = 0, .position = 0 },
                        .order = &order,
                        .id = 1,
                        .again = service };

  timer_arm (service, &r.timer, 5);
  EXPECT_EQ (timer_service_run (service, 5), 1u);
  EXPECT_EQ (timer_service_run (service, 5), 1u);
  talloc_free (service);
}

TEST (Rng, SameSeedGivesTheSameSequence)
{
  struct rng a;
  struct rng b;

  rng_init (&a, 42);
  rng_init (&b, 42);
  for (int i = 0; i < 1000; i++)
    ASSERT_EQ (rng_u64 (&a), rng_u64 (&b));
  for (int i = 0; i < 1000; i++)
    ASSERT_LT (rng_below (&a, 7), 7u);
}

TEST (Bytes, GrowsAndConsumes)
{
  struct bytes bytes;

  bytes_init (&bytes, nullptr);
  for (int i = 0; i < 1000; i++)
    bytes_append_format (&bytes, "%d,", i);
  bytes_consume (&bytes, 4);
  EXPECT_EQ (std::string (bytes.data, 4), "2,3,");
  EXPECT_FALSE (bytes_has_failed (&bytes));
  bytes_clear (&bytes);
}

// An append over the limit is skipped and later, smaller ones succeed: the buffer has a gap in the
// middle and appears complete.
TEST (Bytes, RejectsAllDataAfterAnAppendOverTheLimit)
{
  struct bytes bytes;

  bytes_init (&bytes, nullptr);
  bytes_append_limited (&bytes, "1234", 4, 6);
  bytes_append_limited (&bytes, "56", 2, 6);
  EXPECT_FALSE (bytes_has_failed (&bytes));
  bytes_append_limited (&bytes, "7", 1, 6);
  EXPECT_TRUE (bytes_has_failed (&bytes));
  bytes_consume (&bytes, 4);
  bytes_append_limited (&bytes, "8", 1, 6);
  bytes_append_text (&bytes, "9");
  EXPECT_EQ (std::string (bytes.data, bytes.length), "56");
  EXPECT_TRUE (bytes_has_failed (&bytes));
  bytes_clear (&bytes);
  EXPECT_FALSE (bytes_has_failed (&bytes));
}

TEST (Status, KeepsTheLastMessage)
{
  EXPECT_EQ (status_fail (STATUS_CORRUPT, "record %d", 3), STATUS_CORRUPT);
  EXPECT_STREQ (status_message (), "record 3");
  EXPECT_STREQ (status_text (STATUS_CORRUPT), "corrupt data");
}

} // namespace
