/* Forwarding of load reports between hosts. */
#include "load_report.h"

/* Reports of this age or older are not forwarded. */
#define REPORT_AGE_MAX (10 * USEC_PER_SEC)

void
load_report_request (const struct directory *directory,
                     struct directory_home *home,
                     struct directory_request_message *ask,
                     int64_t now)
{
  (void) directory;
  ask->n_interest = 0;
  for (uint32_t i = 0; i < home->n_slots; i++)
    {
      uint32_t slot = (home->interest_cursor + i) % home->n_slots;
      const struct directory_entry *entry = home->slots[slot];

      if (entry == NULL || entry->used_at == 0 || now - entry->used_at >= DIRECTORY_USE_WINDOW)
        continue;
      if (ask->n_interest == DIRECTORY_INTEREST_MAX)
        {
          home->interest_cursor = slot;
          return;
        }
      ask->interest[ask->n_interest++] = slot;
    }
}

void
load_report_answer (struct directory *directory,
                    const struct directory_request_message *ask,
                    struct directory_head *answer,
                    int64_t now)
{
  answer->n_loads = 0;
  for (uint32_t i = 0; i < ask->n_interest && answer->n_loads < DIRECTORY_LOADS_MAX; i++)
    {
      uint32_t slot = ask->interest[(directory->load_cursor + i) % ask->n_interest];
      const struct directory_entry *entry =
          slot < directory->own_home->n_slots ? directory->own_home->slots[slot] : NULL;
      const struct board_target *target =
          entry != NULL ? table_get (directory->board->targets, entry->target) : NULL;
      const struct load_report *report;

      if (target == NULL || target->report.received_at == 0
          || now - target->report.measured_at >= REPORT_AGE_MAX)
        continue;
      report = &target->report;
      answer->loads[answer->n_loads++] = (struct directory_load_entry){
        .slot = slot,
        .age_ms = (uint32_t) ((now - report->measured_at) / USEC_PER_MSEC),
        .running = report->running,
        .waiting = report->waiting,
        .kv_percent = (uint32_t) (report->kv_used * 100 + 0.5),
      };
    }
  directory->load_cursor += DIRECTORY_LOADS_MAX;
}

void
load_report_apply (struct directory *directory,
                   const struct directory_home *home,
                   const struct directory_head *answer,
                   int64_t now)
{
  for (uint32_t i = 0; i < answer->n_loads; i++)
    {
      const struct directory_load_entry *load = &answer->loads[i];
      const struct directory_entry *entry =
          load->slot < home->n_slots ? home->slots[load->slot] : NULL;
      struct board_target *target =
          entry != NULL ? table_get (directory->board->targets, entry->target) : NULL;
      /* The age counts from when the question was sent, which is before the answer was made, so the
       * report is never taken for newer than it is. */
      int64_t measured_at = (int64_t) answer->requested_at - load->age_ms * USEC_PER_MSEC;

      if (target == NULL || measured_at < target->report.measured_at)
        continue;
      target->report = (struct load_report){
        .received_at = now,
        .measured_at = measured_at,
        .running = load->running,
        .waiting = load->waiting,
        .kv_used = load->kv_percent / 100.0,
      };
    }
}
