#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "core/fixture.h"

/* The decisions under load and faults, one rule a test. */

static const char *const with_service[] = { "mixdesk", NULL };

static const char beside[]
    = "[service.mixdesk]\ncpu_milli = 4000\nmemory_mb = 8000\ntarget_p99_us = 30000\n"
      "[job.loud]\ntasks = 40\ncpu_milli = 2000\nmemory_mb = 1000\ncheckpoint_ms = 1000\n"
      "[policy]\ncooldown_ms = 20000\nreport_lag_ms = 10000\n";

static void
add_serving (Fixture *fix, const char *id)
{
  fix_worker_with (fix, id, "r1", (DocSize){ 16000, 60000, 0 }, with_service);
}

/* Two instances report a tail of 20 ms without batch work, then a job comes. */
static Fixture *
new_beside (void)
{
  Fixture *fix = fix_new (beside, NULL);

  add_serving (fix, "w1");
  add_serving (fix, "w2");
  fix_tick (fix, 2000);
  fix_tail (fix, "w1", 20000, 100);
  fix_tail (fix, "w2", 20000, 100);
  fix_job (fix, 1, "loud");
  return fix;
}

static void
unproven_pair_is_tried_alone (void **state)
{
  Fixture *fix = new_beside ();

  (void) state;
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_WHY_PROBE_PAIR), 1);
  for (int i = 0; i < 50; i++)
    fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->all, CORE_DO_START, CORE_WHY_COUNT), 1);
  /* The report of the trial: one task adds a tenth, so four fit under 1.5 of alone. */
  CoreCommand trial = fix_last (fix->all, CORE_DO_START, 1);
  fix_tail (fix, trial.worker, 22000, 100);
  fix_tick (fix, 100);
  assert_true (fix_count (fix->commands, CORE_DO_START, CORE_WHY_COUNT) >= 4);
  assert_true (fix_count (fix->all, CORE_DO_START, CORE_WHY_COUNT) <= 9);
  fix_free (fix);
}

static void
report_from_before_a_start_does_not_judge_it (void **state)
{
  Fixture *fix = new_beside ();

  (void) state;
  fix_tick (fix, 100);
  CoreCommand trial = fix_last (fix->all, CORE_DO_START, 1);
  fix_tick (fix, 1000);
  fix_tail (fix, trial.worker, 20000, 1050);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->all, CORE_DO_START, CORE_WHY_COUNT), 1);
  fix_free (fix);
}

static void
tail_over_target_is_answered_in_steps (void **state)
{
  Fixture *fix = new_beside ();

  (void) state;
  fix_tick (fix, 100);
  CoreCommand trial = fix_last (fix->all, CORE_DO_START, 1);
  fix_tick (fix, 5000);
  fix_tail (fix, trial.worker, 50000, 100);
  fix_tick (fix, 100);
  CoreCommand slowed = fix_last (fix->commands, CORE_DO_THROTTLE, 1);
  assert_int_equal (slowed.why, CORE_WHY_TAIL_OVER);
  assert_string_equal (slowed.rule, "mixdesk");
  assert_int_equal (slowed.numbers[0], 50000);
  assert_int_equal (slowed.numbers[1], 30000);
  assert_int_equal (fix_count (fix->all, CORE_DO_CHECKPOINT, CORE_WHY_COUNT), 0);
  /* Until the next report that has seen it, nothing more is done. */
  fix_tick (fix, 5000);
  assert_int_equal (fix_count (fix->commands, CORE_DO_THROTTLE, CORE_WHY_COUNT), 0);
  for (int i = 0; i < 8; i++)
    {
      fix_tail (fix, trial.worker, 50000, 100);
      fix_tick (fix, 5000);
    }
  /* The command is repeated while nobody answers it; it is one eviction. */
  assert_true (fix_count (fix->all, CORE_DO_CHECKPOINT, CORE_WHY_TAIL_OVER) >= 1);
  CoreCounts counts;
  core_counts (fix->core, &counts);
  assert_int_equal (counts.evictions, 1);
  fix_free (fix);
}

static void
throttled_task_gets_its_share_back (void **state)
{
  Fixture *fix = new_beside ();

  (void) state;
  fix_tick (fix, 100);
  CoreCommand trial = fix_last (fix->all, CORE_DO_START, 1);
  fix_tick (fix, 5000);
  fix_tail (fix, trial.worker, 50000, 100);
  fix_tick (fix, 100);
  for (int i = 0; i < 30; i++)
    {
      fix_tick (fix, 5000);
      fix_tail (fix, trial.worker, 20000, 100);
    }
  assert_true (fix_count (fix->all, CORE_DO_THROTTLE, CORE_WHY_RELIEVED) >= 1);
  fix_free (fix);
}

static void
reactive_baseline_evicts_at_once (void **state)
{
  CoreOptions options = { .policy = CORE_POLICY_LEAST_LOADED, .reactive = TRUE };
  Fixture *fix = fix_new (beside, &options);

  (void) state;
  add_serving (fix, "w1");
  fix_job (fix, 1, "loud");
  fix_tick (fix, 100);
  fix_tick (fix, 5000);
  fix_tail (fix, "w1", 50000, 100);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_CHECKPOINT, CORE_WHY_TAIL_OVER), 1);
  fix_free (fix);
}

static const char faults[]
    = "[job.a]\ntasks = 30\ncpu_milli = 1000\n[job.b]\ntasks = 30\ncpu_milli = 1000\n"
      "[job.bad]\ntasks = 3\ncpu_milli = 1000\nmax_failures = 3\n";

/* Answers all starts of the last tick: failed where @p bad runs or on @p worker, else done. */
static void
answer_starts (Fixture *fix, const char *worker, uint64_t bad)
{
  for (guint i = 0; i < fix->commands->len; i++)
    {
      static CoreCommand kept[64];
      kept[i % G_N_ELEMENTS (kept)] = g_array_index (fix->commands, CoreCommand, i);
      const CoreCommand *start = &kept[i % G_N_ELEMENTS (kept)];
      if (start->type != CORE_DO_START)
        continue;
      gboolean fails = start->task.job == bad || strcmp (start->worker, worker) == 0;
      fix_answer (fix, start, fails ? CORE_TASK_FAILED : CORE_TASK_DONE);
    }
}

static void
failing_worker_is_quarantined_and_no_job_pays (void **state)
{
  Fixture *fix = fix_new (faults, NULL);
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
      answer_starts (fix, "broken", 0);
    }
  for (guint i = 0; i < fix->all->len; i++)
    {
      const CoreCommand *command = &g_array_index (fix->all, CoreCommand, i);
      lost += command->type == CORE_DO_START && strcmp (command->worker, "broken") == 0
              && command->why != CORE_WHY_PROBE_WORKER;
    }
  assert_int_equal (fix_count (fix->all, CORE_DO_QUARANTINE, CORE_WHY_WORKER_FAILS), 1);
  assert_true (lost <= 5);
  assert_int_equal (fix_count (fix->all, CORE_DO_GIVE_UP, CORE_WHY_COUNT), 0);
  CoreCounts counts;
  core_counts (fix->core, &counts);
  assert_int_equal (counts.done, 60);
  fix_free (fix);
}

static void
quarantined_worker_comes_back_by_a_probe (void **state)
{
  Fixture *fix = fix_new (faults, NULL);

  (void) state;
  fix_worker (fix, "good", "r1");
  fix_worker (fix, "broken", "r1");
  fix_job (fix, 1, "a");
  fix_job (fix, 2, "b");
  for (int i = 0; i < 20; i++)
    {
      fix_tick (fix, 1000);
      answer_starts (fix, "broken", 0);
    }
  assert_int_equal (fix_count (fix->all, CORE_DO_QUARANTINE, CORE_WHY_COUNT), 1);
  for (uint64_t i = 0; i < 60; i++)
    {
      fix_job (fix, 10 + i, "a");
      fix_tick (fix, 1000);
      answer_starts (fix, "", 0);
    }
  assert_true (fix_count (fix->all, CORE_DO_START, CORE_WHY_PROBE_WORKER) >= 1);
  assert_int_equal (fix_count (fix->all, CORE_DO_RELEASE, CORE_WHY_COUNT), 1);
  fix_free (fix);
}

static void
bad_job_is_given_up_and_no_worker_blamed (void **state)
{
  Fixture *fix = fix_new (faults, NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_worker (fix, "w2", "r1");
  fix_worker (fix, "w3", "r1");
  fix_job (fix, 1, "a");
  fix_job (fix, 2, "bad");
  for (int i = 0; i < 100; i++)
    {
      fix_tick (fix, 1000);
      answer_starts (fix, "", 2);
    }
  CoreCommand given_up = fix_last (fix->all, CORE_DO_GIVE_UP, 2);
  assert_int_equal (given_up.why, CORE_WHY_TASK_FAILS);
  assert_true (given_up.numbers[0] >= 3);
  assert_int_equal (fix_count (fix->all, CORE_DO_QUARANTINE, CORE_WHY_COUNT), 0);
  fix_free (fix);
}

static void
reservation_follows_what_a_class_uses (void **state)
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
due_work_goes_before_other_work (void **state)
{
  Fixture *fix = fix_new ("[job.any]\ntasks = 4\ncpu_milli = 16000\nrun_ms = 10000\n"
                          "[job.due]\ncpu_milli = 16000\nrun_ms = 10000\n",
                          NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "any");
  fix_job_until (fix, 2, "due", fix->now_us + 15 * CLK_US_PER_S);
  fix_tick (fix, 100);
  assert_int_equal (fix_last (fix->commands, CORE_DO_START, 0).task.job, 2);
  fix_free (fix);
}

static void
room_is_kept_for_a_large_task (void **state)
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
  /* The large task finds room when the first ends: a minute's task would be in its way. */
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_WHY_COUNT), 1);
  CoreCommand start = fix_last (fix->commands, CORE_DO_START, 4);
  assert_int_equal (start.why, CORE_WHY_BACKFILL);
  fix_free (fix);
}

static void
wave_of_starts_is_paced (void **state)
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
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_WHY_COUNT), 0);
  fix_free (fix);
}

static void
room_is_made_where_a_start_may_go (void **state)
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
  /* The young instance's tasks would lose less, but it may get no start for some seconds. */
  assert_string_equal (fix_last (fix->commands, CORE_DO_STOP, 1).worker, "old");
  fix_free (fix);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (unproven_pair_is_tried_alone),
    cmocka_unit_test (report_from_before_a_start_does_not_judge_it),
    cmocka_unit_test (tail_over_target_is_answered_in_steps),
    cmocka_unit_test (throttled_task_gets_its_share_back),
    cmocka_unit_test (reactive_baseline_evicts_at_once),
    cmocka_unit_test (failing_worker_is_quarantined_and_no_job_pays),
    cmocka_unit_test (quarantined_worker_comes_back_by_a_probe),
    cmocka_unit_test (bad_job_is_given_up_and_no_worker_blamed),
    cmocka_unit_test (reservation_follows_what_a_class_uses),
    cmocka_unit_test (due_work_goes_before_other_work),
    cmocka_unit_test (room_is_kept_for_a_large_task),
    cmocka_unit_test (wave_of_starts_is_paced),
    cmocka_unit_test (room_is_made_where_a_start_may_go),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
