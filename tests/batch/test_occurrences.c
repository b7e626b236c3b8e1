/* Jobs many of whose times have come: what a pass costs, and what other queues get. */
#include <time.h>

#include "rig.h"

#define SCHEDULED "00000000000000aa"
#define OTHER "00000000000000bb"
#define ROUND_MS 100
#define INTERVAL_MS 60000
#define STEP "{\"count\":1,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":800}"
#define OTHER_STEP "{\"count\":6,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":800}"
#define N_WORKERS 11

/* Adds a job of which @p n_due occurrences are due, the last one now. */
static void
add_scheduled (Rig *rig, uint32_t n_due, gboolean may_have_started)
{
  int64_t now_ms = rig->now_us / 1000;
  g_autofree char *body
      = g_strdup_printf ("{\"spec\":\"s\",\"repeat_count\":%u,\"start_at_ms\":%" G_GINT64_FORMAT
                         ",\"interval_ms\":%d,\"steps\":[%s]}",
                         n_due, now_ms - (int64_t) n_due * INTERVAL_MS, INTERVAL_MS, STEP);
  JobSpec *spec = caller_decode_job (body, strlen (body), NULL);
  Batch__Progress *progress = rig_progress_record (rig, SCHEDULED);
  const SchedNewJob job = { .id = SCHEDULED,
                            .queue = "bulk",
                            .accepted_wall_ms = now_ms,
                            .spec = spec,
                            .progress = progress,
                            .may_have_started = may_have_started };

  assert_non_null (spec);
  sched_add_job (rig->sched, &job);
  if (progress != NULL)
    batch__progress__free_unpacked (progress, NULL);
}

static Rig *
rig_with_scheduled (uint32_t n_due)
{
  Rig *rig = rig_new (N_WORKERS);

  /* Late enough for all start times to be positive. */
  rig->now_us += INT64_C (100000) * INTERVAL_MS * 1000;
  rig_round (rig, ROUND_MS, TRUE);
  add_scheduled (rig, n_due, FALSE);
  return rig;
}

static void
end_all (Rig *rig)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      while (worker->n_tasks > 0 && worker->n_ends < RIG_TASKS_MAX)
        rig_end (worker, worker->tasks[0].name, WORKER_END_DONE);
    }
}

static int64_t
processor_ms (void)
{
  return (int64_t) clock () * 1000 / CLOCKS_PER_SEC;
}

/* Guards against passes that take longer than an owner's authority, in which no queue's jobs start.
 */
static void
pass_does_not_grow_with_the_due_occurrences (void **state)
{
  const uint32_t n_rounds = 10;

  (void) state;
  for (uint32_t n_due = 400; n_due <= 40000; n_due *= 10)
    {
      Rig *rig = rig_with_scheduled (n_due);
      int64_t begin_ms = processor_ms ();
      for (uint32_t i = 0; i < n_rounds; i++)
        {
          rig_round (rig, ROUND_MS, TRUE);
          end_all (rig);
        }
      assert_true (rig->n_starts >= 400);
      /* A pass is due every 100 ms. */
      assert_in_range (processor_ms () - begin_ms, 0, n_rounds * ROUND_MS);
      rig_free (rig);
    }
}

/* Guards against jobs of other queues that wait for one with many due occurrences. */
static void
other_queues_start_at_once (void **state)
{
  (void) state;
  for (int is_new_owner = 0; is_new_owner <= 1; is_new_owner++)
    {
      Rig *rig = rig_with_scheduled (40000);
      rig_round (rig, ROUND_MS, TRUE);
      if (is_new_owner)
        {
          rig_replace_owner (rig, 2);
          add_scheduled (rig, 40000, TRUE);
        }
      end_all (rig);
      rig_add_job (rig, OTHER, "urgent", OTHER_STEP);
      rig_round (rig, ROUND_MS, TRUE);
      rig_round (rig, ROUND_MS, TRUE);
      for (uint32_t i = 0; i < 6; i++)
        {
          g_autofree char *name = g_strdup_printf (OTHER ".0.0.%u", i);
          assert_non_null (rig_worker_of (rig, name));
        }
      rig_free (rig);
    }
}

/* Guards against occurrences that are left out: all of them run, each once. */
static void
all_due_occurrences_run_once (void **state)
{
  const uint32_t n_due = 5000;
  Rig *rig = rig_with_scheduled (n_due);

  (void) state;
  for (uint32_t i = 0; i < 100 && sched_open_jobs (rig->sched) > 0; i++)
    {
      rig_round (rig, ROUND_MS, TRUE);
      rig_forget_ends (rig);
      end_all (rig);
    }
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  assert_int_equal (rig->n_starts, n_due);
  rig_free (rig);
}

/* Guards against an end that a new owner ignores since it has not reached the occurrence: the task
 * would run again. An earlier owner, of an older build, made all occurrences at once. */
static void
ends_and_runs_of_later_occurrences_are_known (void **state)
{
  Rig *rig = rig_with_scheduled (3000);
  RigWorker *worker = &rig->workers[0];

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  end_all (rig);
  rig_round (rig, ROUND_MS, TRUE);
  rig_replace_owner (rig, 2);
  worker->n_tasks = 0;
  worker->n_ends = 0;
  worker->tasks[worker->n_tasks++] = (RigTask){ .name = SCHEDULED ".2500.0.0", .run = 1 };
  worker->tasks[worker->n_tasks++] = (RigTask){ .name = SCHEDULED ".2900.0.0", .run = 1 };
  rig_end (worker, SCHEDULED ".2900.0.0", WORKER_END_DONE);
  add_scheduled (rig, 3000, TRUE);
  sched_tick (rig->sched, rig->now_us, rig->now_us / 1000);
  for (uint32_t i = 0; i < 100 && sched_open_jobs (rig->sched) > 0; i++)
    {
      rig_round (rig, ROUND_MS, TRUE);
      for (uint32_t k = 0; k < rig->n_workers; k++)
        assert_null (rig_find (&rig->workers[k], SCHEDULED ".2900.0.0"));
      assert_true (i > 0 || rig_worker_of (rig, SCHEDULED ".2500.0.0") == worker);
      rig_forget_ends (rig);
      end_all (rig);
    }
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  assert_int_equal (rig->n_stops, 0);
  rig_free (rig);
}

/* Guards against a job that is accepted though it can never be scheduled whole. */
static void
more_occurrences_than_the_limit_are_refused (void **state)
{
  (void) state;
  for (uint32_t n_repeats = JOB_REPEATS_MAX; n_repeats <= 1000000; n_repeats += 900000)
    {
      g_autofree char *body = g_strdup_printf (
          "{\"spec\":\"s\",\"repeat_count\":%u,\"start_at_ms\":1,\"interval_ms\":1,\"steps\":[%s]}",
          n_repeats, STEP);
      g_autoptr (JobSpec) spec = caller_decode_job (body, strlen (body), NULL);
      assert_int_equal (spec != NULL, n_repeats == JOB_REPEATS_MAX);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (pass_does_not_grow_with_the_due_occurrences),
    cmocka_unit_test (other_queues_start_at_once),
    cmocka_unit_test (all_due_occurrences_run_once),
    cmocka_unit_test (ends_and_runs_of_later_occurrences_are_known),
    cmocka_unit_test (more_occurrences_than_the_limit_are_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
