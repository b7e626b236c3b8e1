/* Workers whose capacity shrinks and grows while they run. */
#include "rig.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define ROUND_MS 100

static void
run_rounds (Rig *rig, uint32_t n_rounds)
{
  for (uint32_t i = 0; i < n_rounds; i++)
    rig_round (rig, ROUND_MS, TRUE);
}

static void
nothing_starts_beyond_a_shrunk_capacity (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":4,\"cpu\":2000}");
  run_rounds (rig, 2);
  assert_int_equal (rig_running (rig), 4);
  rig->workers[0].cpu_m = 9000;
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":8,\"cpu\":1000}");
  run_rounds (rig, 5);
  assert_int_equal (rig_running (rig), 5);
  rig->workers[0].cpu_m = 4000;
  run_rounds (rig, 30);
  assert_int_equal (rig_running (rig), 5);
  rig_end (&rig->workers[0], JOB_A ".0.0.0", WORKER_END_DONE);
  rig_end (&rig->workers[0], JOB_A ".0.0.1", WORKER_END_DONE);
  run_rounds (rig, 30);
  assert_int_equal (rig_running (rig), 3);
  rig->workers[0].cpu_m = RIG_CPU_M;
  run_rounds (rig, 5);
  assert_int_equal (rig_running (rig), 10);
  rig_free (rig);
}

static void
task_that_is_being_stopped_counts_against_a_shrunk_capacity (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig->has_slow_stops = TRUE;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":6000}");
  run_rounds (rig, 2);
  rig->workers[0].cpu_m = 8000;
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":1,\"cpu\":4000}");
  sched_cancel_job (rig->sched, JOB_A);
  rig_round (rig, ROUND_MS, TRUE);
  assert_null (rig_worker_of (rig, JOB_B ".0.0.0"));
  run_rounds (rig, 5);
  assert_non_null (rig_worker_of (rig, JOB_B ".0.0.0"));
  rig_free (rig);
}

static void
best_effort_tasks_count_by_memory (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig->workers[0].mem_mb = 2500;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":4,\"cpu\":1000,\"mem_mb\":1000,\"fills\":true}");
  run_rounds (rig, 30);
  assert_int_equal (rig_running (rig), 2);
  assert_int_equal (rig->workers[0].tasks[1].needs_cpu_m, 0);
  assert_int_equal (rig->workers[0].tasks[1].needs_mem_mb, 2000);
  rig->workers[0].mem_mb = 500;
  rig_end (&rig->workers[0], JOB_A ".0.0.0", WORKER_END_DONE);
  run_rounds (rig, 30);
  assert_int_equal (rig_running (rig), 1);
  rig_free (rig);
}

static void
start_says_what_the_worker_then_needs (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":3,\"cpu\":2000,\"mem_mb\":100}");
  run_rounds (rig, 2);
  for (uint32_t i = 0; i < 3; i++)
    {
      assert_int_equal (rig->workers[0].tasks[i].needs_cpu_m, 2000 * (i + 1));
      assert_int_equal (rig->workers[0].tasks[i].needs_mem_mb, 100 * (i + 1));
    }
  rig_free (rig);
}

static void
worker_without_processors_is_survived (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig->workers[0].cpu_m = 0;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":2,\"cpu\":0,\"mem_mb\":10,\"fills\":true}");
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":2,\"cpu\":100,\"mem_mb\":10}");
  run_rounds (rig, 30);
  assert_null (rig_worker_of (rig, JOB_B ".0.0.0"));
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (nothing_starts_beyond_a_shrunk_capacity),
    cmocka_unit_test (task_that_is_being_stopped_counts_against_a_shrunk_capacity),
    cmocka_unit_test (best_effort_tasks_count_by_memory),
    cmocka_unit_test (start_says_what_the_worker_then_needs),
    cmocka_unit_test (worker_without_processors_is_survived),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
