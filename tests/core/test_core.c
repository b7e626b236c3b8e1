#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "core/fixture.h"

#define ONE_TASK(name) "[job." name "]\ncpu_milli = 4000\nmemory_mb = 8000\n"

static const char basic_document[] = ONE_TASK ("small") "checkpoint_ms = 1000\n" ONE_TASK (
    "wide") "tasks = 8\ncheckpoint_ms = 1000\n" ONE_TASK ("now") "priority = \"urgent\"\n";

static void
task_is_started_and_done (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);
  CoreCounts counts;

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 7, "small");
  fix_tick (fix, 100);
  CoreCommand start = fix_last (fix->commands, CORE_DO_START, 7);
  assert_string_equal (start.worker, "w1");
  assert_int_equal (start.attempt, 1);
  assert_int_equal (start.why, CORE_REASON_FITS);
  assert_int_equal (start.reserved.cpu_milli, 4000);
  fix_report_event (fix, &start, CORE_TASK_RUNNING);
  fix_tick (fix, 100);
  assert_int_equal (fix->commands->len, 0);
  fix_report_event (fix, &start, CORE_TASK_DONE);
  fix_tick (fix, 100);
  core_counts (fix->core, &counts);
  assert_int_equal (counts.done, 1);
  assert_int_equal (counts.running, 0);
  fix_free (fix);
}

static void
reservations_do_not_exceed_capacity (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);
  DocSize reserved;

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "wide");
  for (int i = 0; i < 100; i++)
    fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->all, CORE_DO_START, CORE_REASON_COUNT), 4);
  assert_true (core_reserved (fix->core, "w1", &reserved));
  assert_int_equal (reserved.cpu_milli, 16000);
  assert_false (core_reserved (fix->core, "w2", &reserved));
  fix_free (fix);
}

static void
placement_rules_and_label_rules_are_enforced (void **state)
{
  Fixture *fix = fix_new ("[job.a]\ncpu_milli = 1000\ntasks = 2\n"
                          "[[label]]\ninstances = \"rack = r2\"\nkey = \"tier\"\nvalue = \"x\"\n"
                          "[[rule]]\nname = \"a-on-x\"\neffect = \"may\"\nwork = \"name = a\"\n"
                          "instances = \"tier = x\"\n",
                          NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_worker (fix, "w2", "r2");
  fix_job (fix, 1, "a");
  fix_tick (fix, 100);
  assert_int_equal (fix->commands->len, 2);
  for (guint i = 0; i < fix->commands->len; i++)
    assert_string_equal (g_array_index (fix->commands, CoreCommand, i).worker, "w2");
  fix_free (fix);
}

static void
team_quota_is_enforced (void **state)
{
  Fixture *fix = fix_new ("[team.t]\ncpu_milli = 3000\n"
                          "[job.a]\nteam = \"t\"\ncpu_milli = 1000\ntasks = 8\n",
                          NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_worker (fix, "w2", "r1");
  fix_job (fix, 1, "a");
  fix_tick (fix, 100);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->all, CORE_DO_START, CORE_REASON_COUNT), 3);
  g_autofree char *text = core_explain_job (fix->core, 1);
  assert_non_null (strstr (text, "quota of the team"));
  assert_null (core_explain_job (fix->core, 2));
  fix_free (fix);
}

static void
cancelled_tasks_do_not_start (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "wide");
  fix_tick (fix, 100);
  CoreCommand start = fix_last (fix->commands, CORE_DO_START, 1);
  fix_cancel (fix, 1);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_CANCELLED, CORE_REASON_CANCEL), 4);
  assert_int_equal (fix_count (fix->commands, CORE_DO_STOP, CORE_REASON_CANCEL), 4);
  /* The task ended before the stop arrived, so it counts as done. */
  fix_report_event (fix, &start, CORE_TASK_DONE);
  for (uint32_t i = 0; i < 3; i++)
    {
      CoreTaskKey key = { 1, i };
      fix_task (fix, key, 1, NULL, CORE_TASK_STOPPED);
    }
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_CANCELLED, CORE_REASON_CANCEL), 3);
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_REASON_COUNT), 0);
  fix_free (fix);
}

/* An instance whose lease expired ends its tasks itself. That counts as an interruption, not as an
 * eviction. */
static void
end_without_command_is_an_interruption (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);
  CoreTaskKey key = { 1, 0 };
  CoreCounts counts;

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "small");
  fix_tick (fix, 100);
  fix_task (fix, key, 1, "w1", CORE_TASK_RUNNING);
  fix_tick (fix, 100);
  fix_task (fix, key, 1, "w1", CORE_TASK_CHECKPOINTED);
  fix_tick (fix, 100);
  core_counts (fix->core, &counts);
  assert_int_equal (counts.interruptions, 1);
  assert_int_equal (counts.evictions, 0);
  fix_free (fix);
}

static void
tasks_of_a_lost_instance_restart_elsewhere (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "small");
  fix_tick (fix, 100);
  fix_worker (fix, "w2", "r1");
  fix_worker_event (fix, "w1", CORE_IN_WORKER_LOST);
  fix_tick (fix, 100);
  CoreCommand start = fix_last (fix->commands, CORE_DO_START, 1);
  assert_string_equal (start.worker, "w2");
  assert_int_equal (start.attempt, 2);
  /* The first attempt is reported again: it is stopped, and its end has no effect on the second. */
  CoreTaskKey key = { 1, 0 };
  fix_worker (fix, "w1", "r1");
  fix_task (fix, key, 1, "w1", CORE_TASK_RUNNING);
  fix_tick (fix, 100);
  CoreCommand stop = fix_last (fix->commands, CORE_DO_STOP, 1);
  assert_int_equal (stop.why, CORE_REASON_STALE);
  assert_int_equal (stop.attempt, 1);
  fix_task (fix, key, 1, "w1", CORE_TASK_DONE);
  fix_tick (fix, 100);
  CoreCounts counts;
  core_counts (fix->core, &counts);
  assert_int_equal (counts.done, 0);
  assert_int_equal (counts.running, 1);
  assert_int_equal (counts.interruptions, 1);
  assert_int_equal (counts.evictions, 0);
  fix_free (fix);
}

static void
leaving_instance_gets_no_new_tasks (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "small");
  fix_tick (fix, 100);
  fix_worker_event (fix, "w1", CORE_IN_WORKER_LEFT);
  fix_job (fix, 2, "small");
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_REASON_COUNT), 0);
  CoreCommand move = fix_last (fix->commands, CORE_DO_CHECKPOINT, 1);
  assert_int_equal (move.why, CORE_REASON_LEAVING);
  fix_worker (fix, "w2", "r1");
  fix_report_event (fix, &move, CORE_TASK_CHECKPOINTED);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_REASON_COUNT), 2);
  fix_free (fix);
}

static void
tasks_beyond_reduced_capacity_are_evicted (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);
  CoreTaskKey found = { 2, 0 };
  CoreInput smaller = { .type = CORE_IN_WORKER };

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "wide");
  fix_tick (fix, 100);
  smaller.worker.id = "w1";
  smaller.worker.incarnation = 2;
  smaller.worker.data_centre = "quito-norte";
  smaller.worker.rack = "r1";
  smaller.worker.capacity = (DocSize){ 6000, 60000, 0 };
  fix_input (fix, &smaller);
  fix_job (fix, 2, "small");
  fix_task (fix, found, 1, "w1", CORE_TASK_RUNNING);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_REASON_COUNT), 0);
  assert_true (fix_count (fix->commands, CORE_DO_CHECKPOINT, CORE_REASON_PREEMPTION) >= 1);
  fix_free (fix);
}

static void
leaving_incarnation_does_not_return (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_tick (fix, 100);
  fix_worker_event (fix, "w1", CORE_IN_WORKER_LEFT);
  fix_tick (fix, 100);
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "small");
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_START, CORE_REASON_COUNT), 0);
  fix_free (fix);
}

typedef struct
{
  const char *job;
  CoreReason why;
  const char *rule;
} UnplaceableJob;

static const UnplaceableJob unplaceable_jobs[] = {
  { "huge", CORE_REASON_TOO_LARGE, "" },
  { "nowhere", CORE_REASON_NO_INSTANCE, "no-nowhere" },
  { "rich", CORE_REASON_QUOTA, "poor" },
};

static void
unplaceable_jobs_are_reported_within_2_s (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (unplaceable_jobs); i++)
    {
      Fixture *fix = fix_new ("[team.poor]\ncpu_milli = 500\n[job.huge]\ncpu_milli = 99000\n"
                              "[job.nowhere]\ncpu_milli = 100\n[job.good]\ncpu_milli = 100\n"
                              "[job.rich]\nteam = \"poor\"\ncpu_milli = 1000\n"
                              "[[rule]]\nname = \"no-nowhere\"\neffect = \"may not\"\n"
                              "work = \"name = nowhere\"\ninstances = \"*\"\n",
                              NULL);
      fix_worker (fix, "w1", "r1");
      fix_job (fix, 1, unplaceable_jobs[i].job);
      fix_job (fix, 2, "good");
      for (int tick = 0; tick < 20; tick++)
        fix_tick (fix, 100);
      CoreCommand bad = fix_last (fix->all, CORE_DO_UNPLACEABLE, 1);
      assert_int_equal (bad.why, unplaceable_jobs[i].why);
      assert_string_equal (bad.rule, unplaceable_jobs[i].rule);
      assert_int_equal (fix_count (fix->all, CORE_DO_UNPLACEABLE, CORE_REASON_COUNT), 1);
      CoreCommand good = fix_last (fix->all, CORE_DO_START, 2);
      assert_string_equal (good.worker, "w1");
      g_autofree char *text = core_explain_job (fix->core, 1);
      assert_non_null (strstr (text, core_reason_name (unplaceable_jobs[i].why)));
      fix_free (fix);
    }
}

static void
unplaceable_job_starts_when_an_instance_can_hold_it (void **state)
{
  Fixture *fix = fix_new ("[job.big]\ncpu_milli = 32000\n", NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "big");
  for (int tick = 0; tick < 20; tick++)
    fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->all, CORE_DO_UNPLACEABLE, CORE_REASON_TOO_LARGE), 1);
  fix_worker_of_size (fix, "w2", "r1", (DocSize){ 64000, 60000, 0 }, NULL);
  fix_tick (fix, 100);
  assert_string_equal (fix_last (fix->commands, CORE_DO_START, 1).worker, "w2");
  fix_free (fix);
}

static void
urgent_task_evicts_another (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "wide");
  for (int tick = 0; tick < 100; tick++)
    fix_tick (fix, 100);
  fix_job (fix, 2, "now");
  fix_tick (fix, 100);
  CoreCommand victim = fix_last (fix->commands, CORE_DO_CHECKPOINT, 1);
  assert_int_equal (victim.why, CORE_REASON_PREEMPTION);
  assert_int_equal (fix_count (fix->commands, CORE_DO_CHECKPOINT, CORE_REASON_COUNT), 1);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->commands, CORE_DO_CHECKPOINT, CORE_REASON_COUNT), 0);
  fix_report_event (fix, &victim, CORE_TASK_CHECKPOINTED);
  fix_tick (fix, 100);
  assert_int_equal (fix_last (fix->commands, CORE_DO_START, 2).why, CORE_REASON_URGENT);
  fix_free (fix);
}

static void
new_owner_does_not_start_held_running_or_done_tasks (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);
  CoreTaskKey held = { 1, 0 };
  CoreTaskKey running = { 1, 1 };
  CoreTaskKey done = { 1, 2 };

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_worker (fix, "w2", "r1");
  fix_job (fix, 1, "wide");
  fix_task (fix, held, 3, NULL, CORE_TASK_HELD);
  fix_task (fix, running, 2, "w1", CORE_TASK_RUNNING);
  fix_task (fix, done, 1, NULL, CORE_TASK_DONE);
  for (int tick = 0; tick < 100; tick++)
    fix_tick (fix, 100);
  for (guint i = 0; i < fix->all->len; i++)
    assert_true (g_array_index (fix->all, CoreCommand, i).task.index > 2);
  fix_task (fix, held, 3, NULL, CORE_TASK_FREE);
  fix_tick (fix, 100);
  CoreCommand start = fix_last (fix->commands, CORE_DO_START, 1);
  assert_int_equal (start.task.index, 0);
  assert_int_equal (start.attempt, 4);
  fix_free (fix);
}

static void
rule_change_moves_running_tasks (void **state)
{
  Fixture *fix = fix_new (basic_document, NULL);
  g_autofree char *changed = g_strconcat (basic_document,
                                          "[[rule]]\nname = \"drain-r1\"\neffect = \"may not\"\n"
                                          "work = \"kind = job\"\ninstances = \"rack = r1\"\n",
                                          NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_job (fix, 1, "small");
  fix_tick (fix, 100);
  (void) fix_document (fix, changed);
  fix_worker (fix, "w2", "r2");
  fix_tick (fix, 100);
  CoreCommand move = fix_last (fix->commands, CORE_DO_CHECKPOINT, 1);
  assert_int_equal (move.why, CORE_REASON_RULE);
  assert_string_equal (move.rule, "drain-r1");
  fix_report_event (fix, &move, CORE_TASK_CHECKPOINTED);
  fix_tick (fix, 100);
  assert_string_equal (fix_last (fix->commands, CORE_DO_START, 1).worker, "w2");
  fix_free (fix);
}

static void
spread_and_anti_affinity_rules_are_enforced (void **state)
{
  Fixture *fix = fix_new ("[job.a]\ntasks = 6\ncpu_milli = 100\n[job.b]\ncpu_milli = 100\n"
                          "[[rule]]\nname = \"spread\"\neffect = \"apart\"\nwork = \"name = a\"\n"
                          "by = \"rack\"\nmax_each = 2\n"
                          "[[rule]]\nname = \"b-alone\"\neffect = \"not beside\"\n"
                          "work = \"name = b\"\nbeside = \"name = a\"\n",
                          NULL);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_worker (fix, "w2", "r1");
  fix_worker (fix, "w3", "r2");
  fix_job (fix, 1, "a");
  fix_tick (fix, 100);
  fix_tick (fix, 100);
  assert_int_equal (fix_count (fix->all, CORE_DO_START, CORE_REASON_COUNT), 4);
  fix_job (fix, 2, "b");
  fix_tick (fix, 100);
  for (guint i = 0; i < fix->all->len; i++)
    {
      const CoreCommand *command = &g_array_index (fix->all, CoreCommand, i);
      if (command->task.job != 2)
        continue;
      for (guint j = 0; j < fix->all->len; j++)
        {
          const CoreCommand *other = &g_array_index (fix->all, CoreCommand, j);
          if (other->task.job == 1)
            assert_string_not_equal (command->worker, other->worker);
        }
    }
  fix_free (fix);
}

static void
every_reason_and_command_has_a_name (void **state)
{
  (void) state;
  for (int why = 0; why < CORE_REASON_COUNT; why++)
    {
      assert_non_null (core_reason_name ((CoreReason) why));
      assert_non_null (core_reason_numbers ((CoreReason) why));
    }
  for (int type = 0; type <= CORE_DO_RELEASE; type++)
    assert_non_null (core_command_name ((CoreCommandType) type));
}

static void
first_fit_fills_the_first_instance (void **state)
{
  CoreOptions options = { .seed = 1, .policy = CORE_POLICY_FIRST_FIT };
  Fixture *fix = fix_new (basic_document, &options);

  (void) state;
  fix_worker (fix, "w1", "r1");
  fix_worker (fix, "w2", "r1");
  fix_job (fix, 1, "wide");
  fix_tick (fix, 100);
  assert_string_equal (g_array_index (fix->commands, CoreCommand, 3).worker, "w1");
  assert_string_equal (g_array_index (fix->commands, CoreCommand, 4).worker, "w2");
  fix_free (fix);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (task_is_started_and_done),
    cmocka_unit_test (reservations_do_not_exceed_capacity),
    cmocka_unit_test (placement_rules_and_label_rules_are_enforced),
    cmocka_unit_test (team_quota_is_enforced),
    cmocka_unit_test (cancelled_tasks_do_not_start),
    cmocka_unit_test (end_without_command_is_an_interruption),
    cmocka_unit_test (tasks_of_a_lost_instance_restart_elsewhere),
    cmocka_unit_test (leaving_instance_gets_no_new_tasks),
    cmocka_unit_test (tasks_beyond_reduced_capacity_are_evicted),
    cmocka_unit_test (leaving_incarnation_does_not_return),
    cmocka_unit_test (unplaceable_jobs_are_reported_within_2_s),
    cmocka_unit_test (unplaceable_job_starts_when_an_instance_can_hold_it),
    cmocka_unit_test (urgent_task_evicts_another),
    cmocka_unit_test (new_owner_does_not_start_held_running_or_done_tasks),
    cmocka_unit_test (rule_change_moves_running_tasks),
    cmocka_unit_test (spread_and_anti_affinity_rules_are_enforced),
    cmocka_unit_test (every_reason_and_command_has_a_name),
    cmocka_unit_test (first_fit_fills_the_first_instance),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
