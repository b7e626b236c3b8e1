#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "core/fixture.h"

/* Placement, throttling and quarantine under load and faults. Each test checks one rule. */

static const char *const service_names[] = { "mixdesk", NULL };

static const char service_document[]
    = "[service.mixdesk]\ncpu_milli = 4000\nmemory_mb = 8000\ntarget_p99_us = 30000\n"
      "[job.loud]\ntasks = 40\ncpu_milli = 2000\nmemory_mb = 1000\ncheckpoint_ms = 1000\n"
      "[policy]\ncooldown_ms = 20000\nreport_lag_ms = 10000\n";

static void
add_worker_with_service (Fixture *fix, const char *id)
{
  fix_worker_of_size (fix, id, "r1", (DocSize){ 16000, 60000, 0 }, service_names);
}

/* Two instances report a tail of 20 ms without batch tasks, then a job is accepted. */
static Fixture *
new_with_service (void)
{
  Fixture *fix = fix_new (service_document, NULL);

  add_worker_with_service (fix, "w1");
  add_worker_with_service (fix, "w2");
  fix_tick (fix, 2000);
  fix_service_report (fix, "w1", 20000, 100);
  fix_service_report (fix, "w2", 20000, 100);
  fix_job (fix, 1, "loud");
  return fix;
}

static void
pair_without_samples_is_tried_alone (void **state)
{
  Fixture *fix = new_with_service ();

  (void) state;
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_REASON_PROBE_PAIR), 1);
  for (int i = 0; i < 50; i++)
    fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->all, CORE_DO_START, CORE_REASON_COUNT), 1);
  /* The trial shows that one task adds a tenth. The target is 1.5 times the baseline: four fit. */
  CoreCommand trial = fix_last (fix->all, CORE_DO_START, 1);
  fix_service_report (fix, trial.worker, 22000, 100);
  fix_tick (fix, 100);
  assert_true (fix_count (fix->commands, CORE_DO_START, CORE_REASON_COUNT) >= 4);
  assert_true (fix_count (fix->all, CORE_DO_START, CORE_REASON_COUNT) <= 9);
  fix_free (fix);
}

static void
report_measured_before_a_start_does_not_end_its_trial (void **state)
{
  Fixture *fix = new_with_service ();

  (void) state;
  fix_tick (fix, 100);
  CoreCommand trial = fix_last (fix->all, CORE_DO_START, 1);
  fix_tick (fix, 1000);
  fix_service_report (fix, trial.worker, 20000, 1050);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->all, CORE_DO_START, CORE_REASON_COUNT), 1);
  fix_free (fix);
}

static void
tail_over_target_is_throttled_then_evicted (void **state)
{
  Fixture *fix = new_with_service ();

  (void) state;
  fix_tick (fix, 100);
  CoreCommand trial = fix_last (fix->all, CORE_DO_START, 1);
  fix_tick (fix, 5000);
  fix_service_report (fix, trial.worker, 50000, 100);
  fix_tick (fix, 100);
  CoreCommand throttled = fix_last (fix->commands, CORE_DO_THROTTLE, 1);
  assert_int_equal (throttled.why, CORE_REASON_TAIL_OVER);
  assert_string_equal (throttled.rule, "mixdesk");
  assert_int_equal (throttled.numbers[0], 50000);
  assert_int_equal (throttled.numbers[1], 30000);
  assert_int_equal (fix_count (fix->all, CORE_DO_CHECKPOINT, CORE_REASON_COUNT), 0);
  /* No further action until a report that was measured after the throttle. */
  fix_tick (fix, 5000);
  assert_int_equal (fix_count (fix->commands, CORE_DO_THROTTLE, CORE_REASON_COUNT), 0);
  for (int i = 0; i < 8; i++)
    {
      fix_service_report (fix, trial.worker, 50000, 100);
      fix_tick (fix, 5000);
    }
  /* The command is resent until the end is reported, but counts as one eviction. */
  assert_true (fix_count (fix->all, CORE_DO_CHECKPOINT, CORE_REASON_TAIL_OVER) >= 1);
  CoreCounts counts;
  core_counts (fix->core, &counts);
  assert_int_equal (counts.evictions, 1);
  fix_free (fix);
}

static void
throttle_is_lifted_when_the_tail_recovers (void **state)
{
  Fixture *fix = new_with_service ();

  (void) state;
  fix_tick (fix, 100);
  CoreCommand trial = fix_last (fix->all, CORE_DO_START, 1);
  fix_tick (fix, 5000);
  fix_service_report (fix, trial.worker, 50000, 100);
  fix_tick (fix, 100);
  for (int i = 0; i < 30; i++)
    {
      fix_tick (fix, 5000);
      fix_service_report (fix, trial.worker, 20000, 100);
    }
  assert_true (fix_count (fix->all, CORE_DO_THROTTLE, CORE_REASON_RELIEVED) >= 1);
  fix_free (fix);
}

static void
reactive_baseline_evicts_immediately (void **state)
{
  CoreOptions options = { .policy = CORE_POLICY_LEAST_LOADED, .reactive = TRUE };
  Fixture *fix = fix_new (service_document, &options);

  (void) state;
  add_worker_with_service (fix, "w1");
  fix_job (fix, 1, "loud");
  fix_tick (fix, 100);
  fix_tick (fix, 5000);
  fix_service_report (fix, "w1", 50000, 100);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_CHECKPOINT, CORE_REASON_TAIL_OVER), 1);
  fix_free (fix);
}

static const char fault_document[]
    = "[job.a]\ntasks = 30\ncpu_milli = 1000\n[job.b]\ntasks = 30\ncpu_milli = 1000\n"
      "[job.bad]\ntasks = 3\ncpu_milli = 1000\nmax_failures = 3\n";

/* Reports the end of all starts of the last tick: failed for job @p bad and on @p worker, else
 * done. */
static void
report_starts (Fixture *fix, const char *worker, uint64_t bad)
{
  for (guint i = 0; i < fix->commands->len; i++)
    {
      static CoreCommand kept[64];
      kept[i % G_N_ELEMENTS (kept)] = g_array_index (fix->commands, CoreCommand, i);
      const CoreCommand *start = &kept[i % G_N_ELEMENTS (kept)];
      if (start->type != CORE_DO_START)
        continue;
      gboolean fails = start->task.job == bad || strcmp (start->worker, worker) == 0;
      fix_report_event (fix, start, fails ? CORE_TASK_FAILED : CORE_TASK_DONE);
    }
}

static void
failing_worker_is_quarantined_and_jobs_are_not_charged (void **state)
{
  Fixture *fix = fix_new (fault_document, NULL);
  uint32_t lost = 0;

  (void) state;
  fix_worker (fix, "good1", "r1");
  fix_worker (fix, "good2", "r1");
  fix_worker (fix, "broken", "r1");
  fix_job (fix, 1, "a");
  fix_job (fix, 2, "b");
  for (int i = 0; i < 100; i++)
    {
      fix_tick (fix, 1000);
      report_starts (fix, "broken", 0);
    }
  for (guint i = 0; i < fix->all->len; i++)
    {
      const CoreCommand *command = &g_array_index (fix->all, CoreCommand, i);
      lost += command->type == CORE_DO_START && strcmp (command->worker, "broken") == 0
              && command->why != CORE_REASON_PROBE_WORKER;
    }
  assert_int_equal (fix_count (fix->all, CORE_DO_QUARANTINE, CORE_REASON_WORKER_FAILS), 1);
  assert_true (lost <= 5);
  assert_int_equal (fix_count (fix->all, CORE_DO_GIVE_UP, CORE_REASON_COUNT), 0);
  CoreCounts counts;
  core_counts (fix->core, &counts);
  assert_int_equal (counts.done, 60);
  fix_free (fix);
}

static void
quarantined_worker_is_released_by_a_probe (void **state)
{
  Fixture *fix = fix_new (fault_document, NULL);

  (void) state;
  fix_worker (fix, "good", "r1");
  fix_worker (fix, "broken", "r1");
  fix_job (fix, 1, "a");
  fix_job (fix, 2, "b");
  for (int i = 0; i < 20; i++)
    {
      fix_tick (fix, 1000);
      report_starts (fix, "broken", 0);
    }
  assert_int_equal (fix_count (fix->all, CORE_DO_QUARANTINE, CORE_REASON_COUNT), 1);
  for (uint64_t i = 0; i < 60; i++)
    {
      fix_job (fix, 10 + i, "a");
      fix_tick (fix, 1000);
      report_starts (fix, "", 0);
    }
  assert_true (fix_count (fix->all, CORE_DO_START, CORE_REASON_PROBE_WORKER) >= 1);
  assert_int_equal (fix_count (fix->all, CORE_DO_RELEASE, CORE_REASON_COUNT), 1);
  fix_free (fix);
}

static void
bad_job_is_given_up_and_no_worker_is_quarantined (void **state)
{
  Fixture *fix = fix_new (fault_document, NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_worker (fix, "w2", "r1");
  fix_worker (fix, "w3", "r1");
  fix_job (fix, 1, "a");
  fix_job (fix, 2, "bad");
  for (int i = 0; i < 100; i++)
    {
      fix_tick (fix, 1000);
      report_starts (fix, "", 2);
    }
  CoreCommand given_up = fix_last (fix->all, CORE_DO_GIVE_UP, 2);
  assert_int_equal (given_up.why, CORE_REASON_TASK_FAILS);
  assert_true (given_up.numbers[0] >= 3);
  assert_int_equal (fix_count (fix->all, CORE_DO_QUARANTINE, CORE_REASON_COUNT), 0);
  fix_free (fix);
}

static void
reservation_follows_measured_usage_of_the_class (void **state)
{
  Fixture *fix = fix_new ("[job.a]\ntasks = 2\ncpu_milli = 1000\nmemory_mb = 1000\n", NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "a");
  fix_tick (fix, 100);
  for (int i = 0; i < 10; i++)
    {
      CoreInput input = { .type = CORE_IN_USAGE };
      input.usage.worker = "w1";
      input.usage.task = (CoreTaskKey){ 1, 0 };
      input.usage.attempt = 1;
      input.usage.used = (DocSize){ 3000, 2000, 0 };
      input.usage.measured_us = fix->now_us;
      fix_input (fix, &input);
    }
  fix_tick (fix, 100);
  fix_job (fix, 2, "a");
  fix_tick (fix, 6000);
  CoreCommand start = fix_last (fix->commands, CORE_DO_START, 2);
  assert_in_range (start.reserved.cpu_milli, 2750, 3300);
  assert_in_range (start.reserved.memory_mb, 1830, 2200);
  fix_free (fix);
}

static void
due_job_is_placed_before_other_jobs (void **state)
{
  Fixture *fix = fix_new ("[job.any]\ntasks = 4\ncpu_milli = 16000\nrun_ms = 10000\n"
                          "[job.due]\ncpu_milli = 16000\nrun_ms = 10000\n",
                          NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "any");
  fix_job_with_deadline (fix, 2, "due", fix->now_us + 15 * CLK_US_PER_S);
  fix_tick (fix, 100);
  assert_int_equal (fix_last (fix->commands, CORE_DO_START, 0).task.job, 2);
  fix_free (fix);
}

static void
instance_is_reserved_for_a_large_task (void **state)
{
  Fixture *fix = fix_new ("[job.short]\ncpu_milli = 1000\nrun_ms = 1000\n"
                          "[job.long]\ntasks = 15\ncpu_milli = 1000\nrun_ms = 60000\n"
                          "[job.first]\ncpu_milli = 8000\nrun_ms = 20000\n"
                          "[job.large]\ncpu_milli = 16000\n",
                          NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "first");
  fix_tick (fix, 100);
  fix_job (fix, 2, "large");
  fix_tick (fix, 100);
  fix_job (fix, 3, "long");
  fix_job (fix, 4, "short");
  fix_tick (fix, 100);
  /* The large task fits when the first one ends. A task of 60 s would delay it, one of 1 s does
   * not. */
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_REASON_COUNT), 1);
  CoreCommand start = fix_last (fix->commands, CORE_DO_START, 4);
  assert_int_equal (start.why, CORE_REASON_BACKFILL);
  fix_free (fix);
}

static void
starts_per_tick_are_limited (void **state)
{
  Fixture *fix
      = fix_new ("[job.a]\ntasks = 50\ncpu_milli = 100\n[policy]\nstarts_per_tick = 7\n", NULL);

  (void) state;
  for (int i = 0; i < 4; i++)
    {
      static const char *const ids[] = { "w1", "w2", "w3", "w4" };
      fix_worker (fix, ids[i], "r1");
    }
  fix_job (fix, 1, "a");
  fix_tick (fix, 100);
  assert_int_equal (fix->commands->len, 7);
  fix_cancel (fix, 1);
  fix_tick (fix, 100);
  assert_int_equal (fix->commands->len, 7);
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_REASON_COUNT), 0);
  fix_free (fix);
}

static void
urgent_eviction_avoids_instances_without_start_allowance (void **state)
{
  Fixture *fix = fix_new ("[job.five]\ntasks = 5\ncpu_milli = 3200\n"
                          "[job.now]\npriority = \"urgent\"\ncpu_milli = 3200\n",
                          NULL);

  (void) state;
  fix_worker (fix, "old", "r1");
  fix_job (fix, 1, "five");
  fix_tick (fix, 100);
  fix_worker (fix, "young", "r1");
  fix_job (fix, 2, "five");
  fix_tick (fix, 10000);
  fix_job (fix, 3, "now");
  fix_tick (fix, 100);
  /* Evicting on the new instance would lose less work, but its recent starts have not proven
   * healthy yet, so it may get no further start for some seconds. */
  assert_string_equal (fix_last (fix->commands, CORE_DO_STOP, 1).worker, "old");
  fix_free (fix);
}

static void
urgent_eviction_is_repeated_if_capacity_is_still_short (void **state)
{
  Fixture *fix = fix_new ("[job.four]\ntasks = 4\ncpu_milli = 4000\n"
                          "[job.now]\npriority = \"urgent\"\ncpu_milli = 4000\n",
                          NULL);
  CoreInput more = { .type = CORE_IN_USAGE };

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "four");
  fix_tick (fix, 100);
  fix_job (fix, 2, "now");
  fix_tick (fix, 10000);
  CoreCommand stop = fix_last (fix->commands, CORE_DO_STOP, 1);
  /* Another task uses more than it reserved, which takes up the freed capacity. */
  more.usage.worker = "w1";
  more.usage.task = (CoreTaskKey){ 1, (stop.task.index + 1) % 4 };
  more.usage.attempt = 1;
  more.usage.used = (DocSize){ 5000, 0, 0 };
  more.usage.measured_us = fix->now_us;
  fix_input (fix, &more);
  fix_report_event (fix, &stop, CORE_TASK_STOPPED);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_STOP, CORE_REASON_PREEMPTION), 1);
  fix_free (fix);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (pair_without_samples_is_tried_alone),
    cmocka_unit_test (report_measured_before_a_start_does_not_end_its_trial),
    cmocka_unit_test (tail_over_target_is_throttled_then_evicted),
    cmocka_unit_test (throttle_is_lifted_when_the_tail_recovers),
    cmocka_unit_test (reactive_baseline_evicts_immediately),
    cmocka_unit_test (failing_worker_is_quarantined_and_jobs_are_not_charged),
    cmocka_unit_test (quarantined_worker_is_released_by_a_probe),
    cmocka_unit_test (bad_job_is_given_up_and_no_worker_is_quarantined),
    cmocka_unit_test (reservation_follows_measured_usage_of_the_class),
    cmocka_unit_test (due_job_is_placed_before_other_jobs),
    cmocka_unit_test (instance_is_reserved_for_a_large_task),
    cmocka_unit_test (starts_per_tick_are_limited),
    cmocka_unit_test (urgent_eviction_avoids_instances_without_start_allowance),
    cmocka_unit_test (urgent_eviction_is_repeated_if_capacity_is_still_short),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
