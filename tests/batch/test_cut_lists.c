/* Workers that list some of their ends at a time: what is not listed may have ended. */
#include "rig.h"

#define JOB "00000000000000aa"
#define ROUND_MS 100
#define N_TASKS 60
#define ENDS_LISTED 20
#define STEPS "{\"count\":60,\"cpu\":100}"
#define EXPIRY_ROUNDS (RIG_EXPIRY_MS / ROUND_MS + 1)
/** Rounds after which ends that do not arrive are no longer waited for. */
#define HELD_ROUNDS 110

static void
run_rounds (Rig *rig, uint32_t n_rounds)
{
  for (uint32_t i = 0; i < n_rounds; i++)
    rig_round (rig, ROUND_MS, TRUE);
}

/* Two workers that have run all tasks of a job to their ends, which no report has listed. */
static Rig *
rig_with_unlisted_ends (void)
{
  Rig *rig = rig_new (2);

  run_rounds (rig, 1);
  rig_add_job (rig, JOB, "urgent", STEPS);
  run_rounds (rig, 2);
  assert_int_equal (rig_running (rig), N_TASKS);
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      worker->ends_listed_max = ENDS_LISTED;
      while (worker->n_tasks > 0)
        rig_end (worker, worker->tasks[0].name, WORKER_END_DONE);
      assert_true (worker->n_ends > ENDS_LISTED);
    }
  return rig;
}

static void
replace_owner (Rig *rig)
{
  rig_replace_owner (rig, 2);
  rig_add_job_as (rig, JOB, "urgent", STEPS, TRUE);
}

/* Guards against a second run of tasks whose ends a full report cuts off. */
static void
tasks_with_unlisted_ends_do_not_start_again (void **state)
{
  Rig *rig = rig_with_unlisted_ends ();

  (void) state;
  run_rounds (rig, 10);
  assert_int_equal (rig->n_starts, N_TASKS);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

/* Guards against the same after the agent's process was replaced: it does not know the runs. */
static void
first_lists_of_a_new_agent_may_be_cut_off (void **state)
{
  Rig *rig = rig_with_unlisted_ends ();

  (void) state;
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      rig->workers[i].boot += 100;
      rig->workers[i].incarnation++;
      rig->workers[i].done_number = 0;
      rig->workers[i].applied = 0;
    }
  run_rounds (rig, 10);
  assert_int_equal (rig->n_starts, N_TASKS);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

/* Guards against the same at a new owner, to which all agents have reported. */
static void
new_owner_waits_for_unlisted_ends (void **state)
{
  Rig *rig = rig_with_unlisted_ends ();

  (void) state;
  replace_owner (rig);
  run_rounds (rig, EXPIRY_ROUNDS);
  assert_int_equal (rig->n_starts, N_TASKS);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

/* Guards against the same when the ends take longer than the leases of earlier terms. */
static void
expired_leases_do_not_replace_unlisted_ends (void **state)
{
  Rig *rig = rig_with_unlisted_ends ();

  (void) state;
  replace_owner (rig);
  rig->workers[0].ends_listed_max = 1;
  run_rounds (rig, EXPIRY_ROUNDS + 2);
  assert_int_equal (rig->n_starts, N_TASKS);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

/* Guards against a wait without an end for a worker whose list never gets shorter. */
static void
ends_that_never_come_are_not_waited_for (void **state)
{
  Rig *rig = rig_with_unlisted_ends ();

  (void) state;
  replace_owner (rig);
  run_rounds (rig, 1);
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      rig->workers[i].n_ends = 0;
      rig->workers[i].ends_listed_max = 1;
      rig->workers[i].ends[rig->workers[i].n_ends++] = (RigEnd){ 1000, "x", 1, WORKER_END_DONE };
      rig->workers[i].ends[rig->workers[i].n_ends++] = (RigEnd){ 1001, "y", 1, WORKER_END_DONE };
    }
  for (uint32_t i = 0; i < HELD_ROUNDS; i++)
    {
      for (uint32_t k = 0; k < rig->n_workers; k++)
        rig->workers[k].ends_acked = 0;
      rig_round (rig, ROUND_MS, TRUE);
    }
  assert_int_equal (rig->n_starts, N_TASKS);
  run_rounds (rig, EXPIRY_ROUNDS);
  assert_true (rig->n_starts > N_TASKS);
  rig_free (rig);
}

/* Guards against a record that a silent worker runs nothing while its ends are not listed. */
static void
silent_worker_with_unlisted_ends_is_not_published (void **state)
{
  Rig *rig = rig_with_unlisted_ends ();

  (void) state;
  replace_owner (rig);
  run_rounds (rig, 1);
  rig->workers[1].is_silent = TRUE;
  run_rounds (rig, 15);
  assert_null (sched_publish_silent (rig->sched));
  rig_free (rig);
}

/* Guards against workers that are shunned as their tasks, which have ended, make no progress. */
static void
task_with_an_unlisted_end_is_not_stalled (void **state)
{
  Rig *rig = rig_with_unlisted_ends ();

  (void) state;
  for (uint32_t i = 0; i < 40; i++)
    rig_round (rig, ROUND_MS, FALSE);
  assert_int_equal (rig->n_stops, 0);
  assert_null (strstr (rig->notes->str, "worker_shunned"));
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (tasks_with_unlisted_ends_do_not_start_again),
    cmocka_unit_test (first_lists_of_a_new_agent_may_be_cut_off),
    cmocka_unit_test (new_owner_waits_for_unlisted_ends),
    cmocka_unit_test (expired_leases_do_not_replace_unlisted_ends),
    cmocka_unit_test (ends_that_never_come_are_not_waited_for),
    cmocka_unit_test (silent_worker_with_unlisted_ends_is_not_published),
    cmocka_unit_test (task_with_an_unlisted_end_is_not_stalled),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
