/* Placing of serving tasks where they reserve most processors. The load is that of a fleet whose
 * best-effort work exceeds what serving tasks leave: only workers without serving tasks run it
 * undisturbed. */
#include "rig.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define JOB_C "00000000000000cc"
#define JOB_D "00000000000000dd"
#define ROUND_MS 100
#define SERVING(count, cpu)                                                                        \
  "{\"count\":" count ",\"cpu\":" cpu ",\"long_running\":true,\"target_ms\":50,\"image\":\"s\"}"

static uint32_t
clear_workers (const Rig *rig)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < rig->n_workers; i++)
    count += rig->workers[i].n_tasks == 0;
  return count;
}

/* Adds a job and lets it start. */
static void
start_job (Rig *rig, const char *id, const char *steps)
{
  rig_add_job (rig, id, "urgent", steps);
  rig_round (rig, ROUND_MS, TRUE);
}

static void
serving_tasks_fill_gaps_before_they_take_a_worker (void **state)
{
  Rig *rig = rig_new (4);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  start_job (rig, JOB_A, SERVING ("5", "5000"));
  assert_int_equal (clear_workers (rig), 2);
  start_job (rig, JOB_B, SERVING ("1", "1000"));
  start_job (rig, JOB_C, SERVING ("1", "6000"));
  assert_int_equal (clear_workers (rig), 2);
  rig_free (rig);
}

/* What callers get from it: a wide best-effort step beside serving tasks that are close to their
 * targets starts whole, at once, on the workers that are left clear. */
static void
best_effort_step_starts_on_the_workers_left_clear (void **state)
{
  Rig *rig = rig_new (4);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  start_job (rig, JOB_A, SERVING ("5", "5000"));
  start_job (rig, JOB_B, SERVING ("1", "1000"));
  start_job (rig, JOB_C, SERVING ("1", "6000"));
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      for (uint32_t k = 0; k < rig->workers[i].n_tasks; k++)
        {
          rig->workers[i].tasks[k].percent = 100;
          rig->workers[i].tasks[k].measurement = 49;
        }
    }
  for (int i = 0; i < 5; i++)
    rig_round (rig, ROUND_MS, TRUE);
  uint32_t n_before = rig->n_starts;
  rig_add_job (rig, JOB_D, "bulk", "{\"count\":8,\"cpu\":4000,\"fills\":true,\"image\":\"b\"}");
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (rig->n_starts - n_before, 8);
  rig_free (rig);
}

static void
refused_starts_are_not_ordered_again_at_once (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_round (rig, 10, TRUE);
  rig->workers[0].refuses_starts = TRUE;
  rig_add_job (rig, "00000000000000aa", "urgent", "{\"count\":1,\"cpu\":1000}");
  for (int i = 0; i < 1000; i++)
    rig_round (rig, 10, TRUE);
  rig->workers[0].refuses_starts = FALSE;
  for (int i = 0; i < 170; i++)
    rig_round (rig, 10, TRUE);
  const RigTask *task = rig_find (&rig->workers[0], "00000000000000aa.0.0.0");
  assert_non_null (task);
  assert_true (task->run <= 16);
  rig_free (rig);
}

/* Its workers would never be free at the same moment. */
static void
gang_starts_beside_a_task_that_all_workers_refuse (void **state)
{
  Rig *rig = rig_new (8);

  (void) state;
  rig->refused_task = "00000000000000aa.0.0.0";
  rig_round (rig, 10, TRUE);
  rig_add_job (rig, "00000000000000aa", "urgent", "{\"count\":1,\"cpu\":1000}");
  for (int i = 0; i < 300; i++)
    rig_round (rig, 10, TRUE);
  rig_add_job (rig, "00000000000000cc", "urgent", "{\"count\":4,\"cpu\":9000,\"gang\":true}");
  for (int i = 0; i < 100; i++)
    rig_round (rig, 10, TRUE);
  assert_non_null (rig_worker_of (rig, "00000000000000cc.0.0.0"));
  rig_free (rig);
}

/* A worker's capacity may shrink to nothing while it runs. */
static void
best_effort_step_waits_beside_a_worker_without_capacity (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig->workers[0].cpu_m = 0;
  rig->workers[0].mem_mb = 0;
  rig_round (rig, 100, TRUE);
  rig_add_job (rig, "00000000000000aa", "bulk",
               "{\"count\":200,\"cpu\":2000,\"estimate_ms\":5000,\"fills\":true}");
  rig_round (rig, 100, TRUE);
  rig_add_job (rig, "00000000000000bb", "bulk",
               "{\"count\":2,\"cpu\":2000,\"estimate_ms\":5000,\"fills\":true}");
  for (int i = 0; i < 30; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig->workers[0].n_tasks, 0);
  assert_true (rig->workers[1].n_tasks > 0);
  rig_free (rig);
}

/* Guards against: a gang whose members need more than the reserve for urgent queues leaves was
 * never started, on idle workers. */
static void
reserve_does_not_keep_a_gang_from_idle_workers (void **state)
{
  Rig *rig = rig_new (4);

  (void) state;
  rig_add_job (rig, JOB_A, "bulk", "{\"count\":2,\"cpu\":15500,\"gang\":true}");
  for (int i = 0; i < 15; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 2);
  rig_free (rig);
}

/* Guards against: such a gang took the reserve of workers that are in use. */
static void
reserve_stays_while_most_processors_are_in_use (void **state)
{
  Rig *rig = rig_new (4);

  (void) state;
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":3,\"cpu\":15500,\"max_per_server\":1}");
  rig_round (rig, 100, TRUE);
  rig_add_job (rig, JOB_A, "bulk", "{\"count\":1,\"cpu\":15500,\"gang\":true}");
  for (int i = 0; i < 30; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 3);
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (best_effort_step_waits_beside_a_worker_without_capacity),
    cmocka_unit_test (gang_starts_beside_a_task_that_all_workers_refuse),
    cmocka_unit_test (reserve_does_not_keep_a_gang_from_idle_workers),
    cmocka_unit_test (reserve_stays_while_most_processors_are_in_use),
    cmocka_unit_test (refused_starts_are_not_ordered_again_at_once),
    cmocka_unit_test (serving_tasks_fill_gaps_before_they_take_a_worker),
    cmocka_unit_test (best_effort_step_starts_on_the_workers_left_clear),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
