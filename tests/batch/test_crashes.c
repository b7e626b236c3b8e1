/* Tasks that crash the workers that start them, and those that ran beside them. */
#include "rig.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define DEADLY JOB_A ".0.0.0"
#define ROUND_MS 100
#define ONE_TASK "{\"count\":1,\"cpu\":2000}"
#define WIDE_STEP "{\"count\":24,\"cpu\":2000}"
#define LASTING_STEP                                                                               \
  "{\"count\":2,\"cpu\":2000,\"long_running\":true,\"image\":\"i\",\"target_ms\":50}"

/* Crashes the worker that runs the task; FALSE if none does. */
static gboolean
crash_under (Rig *rig, const char *task)
{
  RigWorker *worker = rig_worker_of (rig, task);

  if (worker == NULL)
    return FALSE;
  rig_crash (rig, worker);
  return TRUE;
}

/* Crashes each worker that starts the deadly task, @p delay_rounds later; returns the number of
 * crashes. */
static uint32_t
run_deadly (Rig *rig, uint32_t n_rounds, uint32_t delay_rounds)
{
  uint32_t n_crashes = 0;
  uint32_t age = 0;

  for (uint32_t i = 0; i < n_rounds; i++)
    {
      rig_round (rig, ROUND_MS, TRUE);
      age = rig_worker_of (rig, DEADLY) != NULL ? age + 1 : 0;
      if (age > delay_rounds && crash_under (rig, DEADLY))
        {
          age = 0;
          n_crashes++;
        }
    }
  return n_crashes;
}

static gboolean
has_failed (const Rig *rig)
{
  return strstr (rig->notes->str, "job_ended state=failed") != NULL;
}

static gboolean
has_note (const Rig *rig, const char *text)
{
  return strstr (rig->notes->str, text) != NULL;
}

static void
task_that_crashes_two_workers_is_given_up (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_B, "bulk", WIDE_STEP);
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  assert_int_equal (run_deadly (rig, 100, 0), 2);
  assert_true (has_note (rig, "given_up task=0.0.0 crashes=2"));
  assert_true (has_failed (rig));
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  rig_free (rig);
}

static void
task_that_crashes_workers_seconds_after_its_start_is_given_up (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_B, "bulk", WIDE_STEP);
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  uint32_t n_crashes = run_deadly (rig, 400, 30);
  assert_in_range (n_crashes, 2, 4);
  assert_true (has_failed (rig));
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  rig_free (rig);
}

static void
crashes_count_over_a_change_of_owner (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  rig_round (rig, ROUND_MS, TRUE);
  rig_round (rig, ROUND_MS, TRUE);
  assert_true (crash_under (rig, DEADLY));
  /* This round writes the crash, and starts the task again. */
  rig_round (rig, ROUND_MS, TRUE);
  rig_replace_owner (rig, 2);
  rig_add_job_as (rig, JOB_A, "bulk", ONE_TASK, TRUE);
  assert_int_equal (run_deadly (rig, 60, 0), 1);
  assert_true (has_failed (rig));
  rig_free (rig);
}

static void
crash_that_no_owner_wrote_is_reported_to_the_next (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  rig_round (rig, ROUND_MS, TRUE);
  rig_round (rig, ROUND_MS, TRUE);
  assert_true (crash_under (rig, DEADLY));
  rig_round (rig, ROUND_MS, FALSE);
  assert_null (g_hash_table_lookup (rig->crash_records, JOB_A));
  rig_replace_owner (rig, 2);
  rig_add_job_as (rig, JOB_A, "bulk", ONE_TASK, TRUE);
  assert_int_equal (run_deadly (rig, 60, 0), 1);
  assert_true (has_failed (rig));
  rig_free (rig);
}

static void
crash_that_is_reported_twice_counts_once (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  rig_round (rig, ROUND_MS, TRUE);
  assert_true (crash_under (rig, DEADLY));
  for (uint32_t i = 0; i < 5; i++)
    rig_round (rig, ROUND_MS, FALSE);
  assert_false (has_note (rig, "crashes=2"));
  assert_false (has_failed (rig));
  rig_free (rig);
}

static void
crash_that_two_owners_are_told_of_counts_once (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  rig_round (rig, ROUND_MS, TRUE);
  assert_true (crash_under (rig, DEADLY));
  rig_round (rig, ROUND_MS, TRUE);
  assert_non_null (g_hash_table_lookup (rig->crash_records, JOB_A));
  /* The confirmation was lost. */
  for (uint32_t i = 0; i < rig->n_workers; i++)
    rig->workers[i].crashes_acked = 0;
  rig_replace_owner (rig, 2);
  rig_add_job_as (rig, JOB_A, "bulk", ONE_TASK, TRUE);
  for (uint32_t i = 0; i < 5; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_false (has_note (rig, "crashes=2"));
  assert_false (has_failed (rig));
  rig_free (rig);
}

static void
crash_is_counted_for_agents_that_do_not_report_it (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig->is_older_build = TRUE;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  assert_int_equal (run_deadly (rig, 60, 1), 2);
  assert_true (has_failed (rig));
  rig_free (rig);
}

static void
worker_that_announced_its_end_did_not_crash (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig->is_older_build = TRUE;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  for (uint32_t i = 0; i < 4; i++)
    {
      RigWorker *worker = NULL;
      for (uint32_t k = 0; k < 10 && worker == NULL; k++)
        {
          rig_round (rig, ROUND_MS, TRUE);
          worker = rig_worker_of (rig, DEADLY);
        }
      assert_non_null (worker);
      worker->is_draining = TRUE;
      rig_round (rig, ROUND_MS, TRUE);
      rig_crash (rig, worker);
      worker->is_draining = FALSE;
    }
  rig_round (rig, ROUND_MS, TRUE);
  assert_false (has_note (rig, "crash_counted"));
  rig_free (rig);
}

static void
suspects_of_one_crash_are_kept_apart (void **state)
{
  Rig *rig = rig_new (4);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", "{\"count\":4,\"cpu\":2000}");
  for (uint32_t i = 1; i < rig->n_workers; i++)
    rig->workers[i].is_draining = TRUE;
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (rig->workers[0].n_tasks, 4);
  for (uint32_t i = 1; i < rig->n_workers; i++)
    rig->workers[i].is_draining = FALSE;
  rig_crash (rig, &rig->workers[0]);
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (rig_running (rig), 4);
  for (uint32_t i = 0; i < rig->n_workers; i++)
    assert_int_equal (rig->workers[i].n_tasks, 1);
  rig_free (rig);
}

static void
run_that_outlives_the_crash_clears_the_task (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  rig_add_job (rig, JOB_B, "bulk", ONE_TASK);
  rig_round (rig, ROUND_MS, TRUE);
  for (uint32_t i = 0; i < 3; i++)
    {
      assert_true (crash_under (rig, DEADLY));
      for (uint32_t k = 0; k < 60; k++)
        rig_round (rig, ROUND_MS, TRUE);
      rig_end (rig_worker_of (rig, DEADLY), DEADLY, WORKER_END_STOPPED);
      rig_round (rig, ROUND_MS, TRUE);
      rig_round (rig, ROUND_MS, TRUE);
    }
  assert_true (has_note (rig, "crash_cleared"));
  assert_false (has_failed (rig));
  rig_free (rig);
}

static void
serving_task_beside_crashes_keeps_its_job (void **state)
{
  Rig *rig = rig_new (3);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", LASTING_STEP);
  rig_add_job (rig, JOB_B, "bulk", "{\"count\":9,\"cpu\":2000}");
  for (uint32_t i = 0; i < 40; i++)
    {
      for (uint32_t k = 0; k < 30; k++)
        rig_round (rig, ROUND_MS, TRUE);
      rig_crash (rig, &rig->workers[i % 3]);
    }
  rig_round (rig, ROUND_MS, TRUE);
  rig_round (rig, ROUND_MS, TRUE);
  assert_non_null (rig_worker_of (rig, DEADLY));
  rig_free (rig);
}

static void
serving_task_that_crashes_its_workers_is_given_up (void **state)
{
  Rig *rig = rig_new (4);

  (void) state;
  rig_add_job (rig, JOB_B, "bulk", WIDE_STEP);
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "bulk", LASTING_STEP);
  assert_in_range (run_deadly (rig, 200, 0), 2, 4);
  assert_true (has_failed (rig));
  rig_free (rig);
}

static void
task_that_was_in_three_crashes_runs_alone (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_B, "bulk", WIDE_STEP);
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  for (uint32_t i = 0; i < 3; i++)
    {
      for (uint32_t k = 0; k < 30; k++)
        rig_round (rig, ROUND_MS, TRUE);
      assert_true (crash_under (rig, DEADLY));
    }
  for (uint32_t i = 0; i < 10 && rig_worker_of (rig, DEADLY) == NULL; i++)
    {
      rig_round (rig, ROUND_MS, TRUE);
      for (uint32_t k = 0; k < rig->n_workers; k++)
        {
          RigWorker *worker = &rig->workers[k];
          if (worker->n_tasks > 0 && strncmp (worker->tasks[0].name, JOB_B, 16) == 0)
            rig_end (worker, worker->tasks[0].name, WORKER_END_DONE);
        }
    }
  assert_non_null (rig_worker_of (rig, DEADLY));
  assert_int_equal (rig_worker_of (rig, DEADLY)->n_tasks, 1);
  rig_add_job (rig, "00000000000000cc", "urgent", WIDE_STEP);
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (rig_worker_of (rig, DEADLY)->n_tasks, 1);
  assert_true (crash_under (rig, DEADLY));
  rig_round (rig, ROUND_MS, TRUE);
  assert_true (has_failed (rig));
  rig_free (rig);
}

static void
crash_of_many_workers_at_once_gives_nothing_up (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", WIDE_STEP);
  for (uint32_t i = 0; i < 2; i++)
    {
      rig_round (rig, ROUND_MS, TRUE);
      for (uint32_t k = 0; k < rig->n_workers; k++)
        rig_crash (rig, &rig->workers[k]);
    }
  rig_round (rig, ROUND_MS, TRUE);
  assert_true (has_note (rig, "shared=1"));
  assert_false (has_failed (rig));
  rig_free (rig);
}

/* Workers crash by themselves, at any time of a run. */
static void
task_under_two_crashes_at_different_ages_is_not_given_up (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  rig_round (rig, ROUND_MS, TRUE);
  assert_true (crash_under (rig, DEADLY));
  for (int i = 0; i < 3; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_true (crash_under (rig, DEADLY));
  for (int i = 0; i < 3; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_false (has_failed (rig));
  assert_non_null (rig_worker_of (rig, DEADLY));
  rig_free (rig);
}

static void
task_beside_others_in_two_crashes_later_than_its_start_is_not_given_up (void **state)
{
  Rig *rig = rig_new (6);

  (void) state;
  rig_add_job (rig, JOB_B, "bulk", WIDE_STEP);
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  for (uint32_t i = 0; i < 2; i++)
    {
      for (uint32_t k = 0; k < 30 && rig_worker_of (rig, DEADLY) == NULL; k++)
        rig_round (rig, ROUND_MS, TRUE);
      for (uint32_t k = 0; k < 4; k++)
        rig_round (rig, ROUND_MS, TRUE);
      assert_true (crash_under (rig, DEADLY));
      rig_round (rig, ROUND_MS, TRUE);
    }
  assert_false (has_failed (rig));
  rig_free (rig);
}

static void
play_rounds (Rig *rig, uint32_t n_rounds)
{
  for (uint32_t i = 0; i < n_rounds; i++)
    rig_round (rig, ROUND_MS, TRUE);
}

/* Incarnations are times in ms, and exceed 32 bits. */
static Rig *
new_rig (uint32_t n_workers)
{
  Rig *rig = rig_new (n_workers);

  for (uint32_t i = 0; i < n_workers; i++)
    rig->workers[i].incarnation = 1700000001000 + i;
  return rig;
}

/* Crashes the worker of the task so many rounds after the task began to run there, and each other
 * worker that runs nothing, if @p with_others. */
static void
crash_at_age (Rig *rig, uint32_t n_rounds, gboolean with_others)
{
  for (uint32_t i = 0; i < 200 && rig_worker_of (rig, DEADLY) == NULL; i++)
    rig_round (rig, ROUND_MS, TRUE);
  play_rounds (rig, n_rounds);
  assert_true (crash_under (rig, DEADLY));
  for (uint32_t i = 0; with_others && i < rig->n_workers; i += 3)
    {
      if (rig_find (&rig->workers[i], DEADLY) == NULL)
        rig_crash (rig, &rig->workers[i]);
    }
  rig_round (rig, ROUND_MS, TRUE);
}

/* Guards against a sound job that is given up because its task was alone in two crashes of workers
 * seconds after its start: runs of nearly the same age are likely by chance. */
static void
task_alone_in_two_crashes_long_after_its_start_is_not_given_up (void **state)
{
  Rig *rig = new_rig (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  crash_at_age (rig, 25, FALSE);
  crash_at_age (rig, 23, FALSE);
  play_rounds (rig, 100);
  assert_false (has_failed (rig));
  assert_non_null (rig_worker_of (rig, DEADLY));
  rig_free (rig);
}

/* A task that does crash its workers then needs one crash more. */
static void
task_alone_in_three_crashes_at_one_age_is_given_up (void **state)
{
  Rig *rig = new_rig (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  assert_int_equal (run_deadly (rig, 400, 24), 3);
  assert_true (has_failed (rig));
  rig_free (rig);
}

/* Guards against a sound job that is given up because its task was in four crashes, while workers
 * without it crash as well. */
static void
task_in_crashes_of_workers_that_crash_without_it_is_not_given_up (void **state)
{
  static const uint32_t ages[] = { 41, 30, 5, 18 };
  Rig *rig = new_rig (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  for (uint32_t i = 0; i < G_N_ELEMENTS (ages); i++)
    crash_at_age (rig, ages[i], TRUE);
  play_rounds (rig, 100);
  assert_false (has_failed (rig));
  assert_non_null (rig_worker_of (rig, DEADLY));
  rig_free (rig);
}

/* Guards against a sound job that is given up because one worker crashes again and again under its
 * task: the only one that takes tasks. */
static void
task_in_crashes_of_one_worker_is_not_given_up (void **state)
{
  static const uint32_t ages[] = { 20, 8, 8, 30 };
  Rig *rig = new_rig (3);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  for (uint32_t i = 1; i < rig->n_workers; i++)
    rig->workers[i].is_draining = TRUE;
  for (uint32_t i = 0; i < G_N_ELEMENTS (ages); i++)
    crash_at_age (rig, ages[i], FALSE);
  for (uint32_t i = 1; i < rig->n_workers; i++)
    rig->workers[i].is_draining = FALSE;
  play_rounds (rig, 150);
  assert_false (has_failed (rig));
  assert_non_null (rig_worker_of (rig, DEADLY));
  assert_ptr_not_equal (rig_worker_of (rig, DEADLY), &rig->workers[0]);
  rig_free (rig);
}

/* Guards against a sound job that is given up because its task had just begun beside others when
 * two workers crashed, while workers without it crash as well. */
static void
task_beside_others_at_its_start_is_not_given_up_while_workers_crash (void **state)
{
  Rig *rig = new_rig (6);

  (void) state;
  rig_add_job (rig, JOB_B, "bulk", WIDE_STEP);
  play_rounds (rig, 20);
  rig_crash (rig, &rig->workers[5]);
  play_rounds (rig, 20);
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  crash_at_age (rig, 0, FALSE);
  crash_at_age (rig, 0, FALSE);
  play_rounds (rig, 200);
  assert_false (has_failed (rig));
  assert_non_null (rig_worker_of (rig, DEADLY));
  rig_free (rig);
}

/* Guards against a sound gang that is given up after crashes of three workers, while workers
 * without it crash as well. */
static void
gang_in_crashes_of_workers_that_crash_without_it_is_not_given_up (void **state)
{
  static const uint32_t ages[] = { 41, 90, 20 };
  Rig *rig = new_rig (6);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", "{\"count\":2,\"cpu\":9000,\"gang\":true}");
  for (uint32_t i = 0; i < G_N_ELEMENTS (ages); i++)
    crash_at_age (rig, ages[i], TRUE);
  play_rounds (rig, 100);
  assert_false (has_failed (rig));
  assert_non_null (rig_worker_of (rig, DEADLY));
  rig_free (rig);
}

/* Guards against tasks that crash their workers and stay unnoticed because other workers crash as
 * well: they are found after at most one crash more than four. */
static void
task_that_crashes_its_workers_is_given_up_while_others_crash (void **state)
{
  static const uint32_t ages[] = { 20, 8, 30, 14, 3 };
  Rig *rig = new_rig (8);
  uint32_t n_crashes = 0;

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  while (n_crashes < G_N_ELEMENTS (ages) && !has_failed (rig))
    {
      crash_at_age (rig, ages[n_crashes], n_crashes == 0);
      n_crashes++;
    }
  assert_true (has_failed (rig));
  rig_free (rig);
}

/* Guards against a task that waits until the end of another one, minutes later, to be tried alone.
 */
static void
task_waits_a_bounded_time_for_its_trial (void **state)
{
  Rig *rig = new_rig (4);
  uint32_t waited = 0;

  (void) state;
  rig_add_job (rig, JOB_B, "bulk", WIDE_STEP);
  play_rounds (rig, 5);
  rig_add_job (rig, JOB_A, "bulk", ONE_TASK);
  for (uint32_t i = 0; i < 2; i++)
    crash_at_age (rig, 30 + 10 * i, FALSE);
  while (rig_worker_of (rig, DEADLY) == NULL)
    rig_round (rig, ROUND_MS, TRUE);
  play_rounds (rig, 20);
  assert_true (crash_under (rig, DEADLY));
  /* Each of the other workers has tasks that go on. */
  for (uint32_t i = 0; i < rig->n_workers; i++)
    rig->workers[i].is_draining = rig->workers[i].n_tasks == 0;
  while (rig_worker_of (rig, DEADLY) == NULL && waited++ < 300)
    rig_round (rig, ROUND_MS, TRUE);
  assert_in_range (waited, 1, 110);
  assert_false (has_failed (rig));
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (task_that_crashes_two_workers_is_given_up),
    cmocka_unit_test (task_that_crashes_workers_seconds_after_its_start_is_given_up),
    cmocka_unit_test (task_under_two_crashes_at_different_ages_is_not_given_up),
    cmocka_unit_test (task_beside_others_in_two_crashes_later_than_its_start_is_not_given_up),
    cmocka_unit_test (crashes_count_over_a_change_of_owner),
    cmocka_unit_test (crash_that_no_owner_wrote_is_reported_to_the_next),
    cmocka_unit_test (crash_that_is_reported_twice_counts_once),
    cmocka_unit_test (crash_that_two_owners_are_told_of_counts_once),
    cmocka_unit_test (crash_is_counted_for_agents_that_do_not_report_it),
    cmocka_unit_test (worker_that_announced_its_end_did_not_crash),
    cmocka_unit_test (suspects_of_one_crash_are_kept_apart),
    cmocka_unit_test (run_that_outlives_the_crash_clears_the_task),
    cmocka_unit_test (serving_task_beside_crashes_keeps_its_job),
    cmocka_unit_test (serving_task_that_crashes_its_workers_is_given_up),
    cmocka_unit_test (task_that_was_in_three_crashes_runs_alone),
    cmocka_unit_test (crash_of_many_workers_at_once_gives_nothing_up),
    cmocka_unit_test (task_alone_in_two_crashes_long_after_its_start_is_not_given_up),
    cmocka_unit_test (task_alone_in_three_crashes_at_one_age_is_given_up),
    cmocka_unit_test (task_in_crashes_of_workers_that_crash_without_it_is_not_given_up),
    cmocka_unit_test (task_in_crashes_of_one_worker_is_not_given_up),
    cmocka_unit_test (task_beside_others_at_its_start_is_not_given_up_while_workers_crash),
    cmocka_unit_test (gang_in_crashes_of_workers_that_crash_without_it_is_not_given_up),
    cmocka_unit_test (task_that_crashes_its_workers_is_given_up_while_others_crash),
    cmocka_unit_test (task_waits_a_bounded_time_for_its_trial),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
