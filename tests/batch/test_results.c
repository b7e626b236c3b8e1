/* The line that says how an occurrence of a job ended. */
#include "rig.h"

#define JOB "00000000000000aa"
#define STEPS "{\"count\":3,\"cpu\":2000,\"estimate_ms\":1000}"
#define ROUND_MS 100
/** Three times the objective of the rig's queues for that step. */
#define USEFUL_MS (3 * (2 * 1000 + 1000))

static void
end_all (Rig *rig)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      while (worker->n_tasks > 0)
        rig_end (worker, worker->tasks[0].name, WORKER_END_DONE);
    }
}

static guint
count_results (const Rig *rig, const char *outcome)
{
  g_autofree char *pattern
      = g_strdup_printf ("result queue=bulk occurrence=0 outcome=%s ", outcome);
  guint count = 0;

  for (const char *at = rig->notes->str; (at = strstr (at, pattern)) != NULL; at++)
    count++;
  return count;
}

static void
result_of_a_job_is_logged_once (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB, "bulk", STEPS);
  rig_round (rig, ROUND_MS, TRUE);
  end_all (rig);
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_results (rig, "in_time"), 1);
  assert_non_null (strstr (rig->notes->str, " size=other tasks=3 "));
  rig_free (rig);
}

static void
result_that_came_too_late_is_logged_once (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB, "bulk", STEPS);
  for (int64_t ms = 0; ms <= USEFUL_MS + 2 * ROUND_MS; ms += ROUND_MS)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_results (rig, "expired"), 1);
  end_all (rig);
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_results (rig, "expired"), 1);
  assert_int_equal (count_results (rig, "in_time") + count_results (rig, "late"), 0);
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (result_of_a_job_is_logged_once),
                                      cmocka_unit_test (result_that_came_too_late_is_logged_once) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
