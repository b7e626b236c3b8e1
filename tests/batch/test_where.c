/* Placement queries: what is answered is what a pass then does, and asking changes nothing. */
#include "batch/sched_tables.h"
#include "batch/sched_where.h"
#include "rig.h"

#define ROUND_MS 100
#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
/** What a task of queue "bulk" may reserve of a worker of the rig. */
#define WHOLE "15000"

static JobSpec *
spec_of (const char *steps)
{
  g_autofree char *body = g_strdup_printf ("{\"spec\":\"s\",\"steps\":[%s]}", steps);
  JobSpec *spec = caller_decode_job (body, strlen (body), NULL);

  assert_non_null (spec);
  return spec;
}

static SchedWhere *
ask (const Rig *rig, const char *steps)
{
  g_autoptr (JobSpec) spec = spec_of (steps);
  const SchedWhereQuery query
      = { .queue = "bulk", .spec = spec, .now_us = rig->now_us, .lists_workers = TRUE };

  return sched_where (rig->sched, &query);
}

static const SchedWhereStep *
first_step (const SchedWhere *where)
{
  return g_ptr_array_index (where->steps, 0);
}

/* Expects that the job waits, and for what at how many workers. */
static void
expect_wait (const SchedWhere *where, SchedWhereReason reason, uint32_t n_workers)
{
  const SchedWhereStep *step = first_step (where);

  assert_int_equal (where->verdict, SCHED_WHERE_WAITS);
  assert_string_equal (sched_where_reason_name (step->waits_for), sched_where_reason_name (reason));
  assert_int_equal (step->n_by_reason[reason], n_workers);
  assert_int_equal (step->n_now, 0);
}

/* Guards against an answer that names another worker than the pass chooses. */
static void
job_that_starts_at_once (void **state)
{
  Rig *rig = rig_new (4);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "bulk", "{\"count\":3,\"cpu\":4000,\"affinity\":\"r0\"}");
  rig_round (rig, ROUND_MS, TRUE);
  const char *steps = "{\"count\":40,\"cpu\":5000},{\"count\":1,\"cpu\":1,\"after\":[0]}";
  g_autoptr (SchedWhere) where = ask (rig, steps);
  const SchedWhereStep *step = first_step (where);
  assert_int_equal (where->verdict, SCHED_WHERE_NOW);
  assert_int_equal (where->term, 1);
  assert_int_equal (where->report_age_ms, 0);
  assert_int_equal (where->steps->len, 1);
  assert_int_equal (step->in_ms, 0);
  assert_int_equal (step->n_tasks, 40);
  assert_int_equal (step->n_by_reason[SCHED_WHERE_COSTS_MORE], 3);
  assert_int_equal (step->workers->len, 4);
  g_autofree char *worker = g_strdup (step->worker);
  uint32_t n_now = step->n_now;
  uint32_t n_before = rig_running (rig);
  rig_add_job (rig, JOB_B, "bulk", steps);
  rig_round (rig, ROUND_MS, TRUE);
  assert_string_equal (rig_worker_of (rig, JOB_B ".0.0.0")->name, worker);
  assert_int_equal (rig_running (rig) - n_before, n_now);
  rig_free (rig);
}

/* Guards against a wrong order, and ends that are not those of the worker that is named. */
static void
job_that_waits_for_processors (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "bulk", "{\"count\":2,\"cpu\":" WHOLE ",\"estimate_ms\":900}");
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_B, "bulk", "{\"count\":5,\"cpu\":1000,\"estimate_ms\":100}");
  rig_round (rig, ROUND_MS, TRUE);
  g_autoptr (SchedWhere) where = ask (rig, "{\"count\":1,\"cpu\":5000,\"estimate_ms\":3000}");
  const SchedWhereStep *step = first_step (where);
  expect_wait (where, SCHED_WHERE_PROCESSORS, 2);
  assert_int_equal (step->in_ms, 800);
  assert_int_equal (step->n_ends, 1);
  const SchedWhereEnd *end = &g_array_index (step->ends, SchedWhereEnd, 0);
  assert_int_equal (end->in_ms, 800);
  assert_string_equal (rig_worker_of (rig, end->task)->name, step->worker);
  assert_int_equal (step->n_before, 1);
  const SchedWhereBefore *before = &g_array_index (step->before, SchedWhereBefore, 0);
  assert_string_equal (before->job, JOB_B);
  assert_int_equal (before->n_waiting, 5);
  rig_free (rig);
}

/* Guards against reasons of workers that do not suit the job. */
static void
job_that_waits_for_a_label (void **state)
{
  Rig *rig = rig_new (5);

  (void) state;
  rig->workers[2].is_draining = TRUE;
  rig->workers[3].is_draining = TRUE;
  rig->workers[4].is_draining = TRUE;
  rig_round (rig, ROUND_MS, TRUE);
  g_autoptr (SchedWhere) where = ask (rig, "{\"count\":1,\"cpu\":1000,\"required_label\":\"r1\"}");
  expect_wait (where, SCHED_WHERE_DRAINING, 2);
  assert_int_equal (first_step (where)->n_by_reason[SCHED_WHERE_NO_LABEL], 3);
  assert_null (first_step (where)->worker);
  rig_free (rig);
}

#define SERVING                                                                                    \
  "{\"count\":2,\"cpu\":10000,\"long_running\":true,\"target_ms\":300,\"image\":\"s\"}"
#define FILLING "{\"count\":1,\"cpu\":1600,\"estimate_ms\":2000,\"fills\":true,\"image\":\"b\"}"

static void
set_tails (Rig *rig, int64_t tail_ms)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      for (uint32_t k = 0; k < rig->workers[i].n_tasks; k++)
        {
          if (!g_str_has_prefix (rig->workers[i].tasks[k].name, JOB_A))
            continue;
          rig->workers[i].tasks[k].percent = 100;
          rig->workers[i].tasks[k].measurement = tail_ms;
        }
    }
}

static void
job_that_waits_for_headroom (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "urgent", SERVING);
  for (uint32_t i = 0; i < 20; i++)
    {
      rig_round (rig, ROUND_MS, TRUE);
      set_tails (rig, 240);
    }
  g_autoptr (SchedWhere) where = ask (rig, FILLING);
  expect_wait (where, SCHED_WHERE_HEADROOM, 2);
  rig_free (rig);
}

/* Guards against an answer that overlooks that a worker is kept for an earlier task, or that keeps
 * it also from tasks that are dispatched before that one. */
static void
job_that_waits_for_a_kept_worker (void **state)
{
  Rig *rig = rig_new_with (1, TRUE);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  for (uint32_t i = 0; i < 7; i++)
    {
      g_autofree char *id = g_strdup_printf ("00000000000000%02u", i);
      rig_add_job (rig, id, "bulk", "{\"count\":1,\"cpu\":2000,\"estimate_ms\":1500}");
      rig_round (rig, ROUND_MS, TRUE);
    }
  rig_add_job (rig, JOB_A, "bulk", "{\"count\":1,\"cpu\":7000,\"estimate_ms\":2000}");
  rig_round (rig, ROUND_MS, TRUE);
  rig_round (rig, ROUND_MS, TRUE);
  g_autoptr (SchedWhere) where = ask (rig, "{\"count\":1,\"cpu\":1000,\"estimate_ms\":30000}");
  expect_wait (where, SCHED_WHERE_RESERVATION, 1);
  g_autoptr (SchedWhere) earlier = ask (rig, "{\"count\":1,\"cpu\":1000,\"estimate_ms\":9000}");
  assert_int_equal (earlier->verdict, SCHED_WHERE_NOW);
  rig_free (rig);
}

static void
job_that_can_never_start (void **state)
{
  static const struct
  {
    const char *steps;
    SchedWhereVerdict verdict;
  } rows[] = { { "{\"count\":1,\"required_label\":\"x\"}", SCHED_WHERE_NEVER },
               { "{\"count\":1,\"mem_mb\":64001}", SCHED_WHERE_NEVER },
               { "{\"count\":1},{\"count\":1,\"gpu\":1}", SCHED_WHERE_NEVER },
               { "{\"count\":1,\"cpu\":16001}", SCHED_WHERE_NEVER },
               { "{\"count\":6,\"cpu\":5000,\"gang\":true}", SCHED_WHERE_NOW },
               { "{\"count\":7,\"cpu\":5000,\"gang\":true}", SCHED_WHERE_NEVER } };
  Rig *rig = rig_new (2);
  const SchedWhereQuery query = { .queue = "none", .now_us = rig->now_us };

  (void) state;
  assert_null (sched_where (rig->sched, &query));
  /* Workers that have not reported may be such that the job can start. */
  g_autoptr (SchedWhere) unknown = ask (rig, rows[0].steps);
  expect_wait (unknown, SCHED_WHERE_SILENT, 2);
  rig_round (rig, ROUND_MS, TRUE);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (SchedWhere) where = ask (rig, rows[i].steps);
      assert_int_equal (where->verdict, rows[i].verdict);
    }
  /* A whole worker is not given away at once, but to a starved stage. */
  g_autoptr (SchedWhere) whole = ask (rig, "{\"count\":1,\"cpu\":16000}");
  expect_wait (whole, SCHED_WHERE_PROCESSORS, 2);
  assert_true (first_step (whole)->is_starved);
  rig_free (rig);
}

/* Guards against a gang that is said to start with some of its members. */
static void
gang_waits_for_all_its_members (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, JOB_A, "bulk", "{\"count\":1,\"cpu\":5000}");
  rig_round (rig, ROUND_MS, TRUE);
  g_autoptr (SchedWhere) where = ask (rig, "{\"count\":6,\"cpu\":5000,\"gang\":true}");
  assert_int_equal (where->verdict, SCHED_WHERE_WAITS);
  assert_int_equal (first_step (where)->waits_for, SCHED_WHERE_MEMBERS);
  assert_int_equal (first_step (where)->n_now, 5);
  rig_free (rig);
}

/* Guards against a job that is said to start before its first occurrence. */
static void
job_that_is_not_due_waits (void **state)
{
  Rig *rig = rig_new (1);
  g_autoptr (JobSpec) spec = spec_of ("{\"count\":1,\"cpu\":1000}");

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  spec->n_repeats = 2;
  spec->start_wall_ms = rig->now_us / 1000 + 5000;
  const SchedWhereQuery query = { .queue = "bulk", .spec = spec, .now_us = rig->now_us };
  g_autoptr (SchedWhere) where = sched_where (rig->sched, &query);
  assert_int_equal (where->verdict, SCHED_WHERE_WAITS);
  assert_int_equal (where->due_ms, 5000);
  assert_int_equal (first_step (where)->waits_for, SCHED_WHERE_NOT_DUE);
  rig_free (rig);
}

/* Guards against work that grows with the number of tasks or, for the search of ends, of steps. */
static void
largest_job_is_answered_step_by_step (void **state)
{
  Rig *rig = rig_new (2);
  g_autoptr (GString) steps = g_string_new (NULL);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  for (uint32_t i = 0; i < JOB_STEPS_MAX; i++)
    g_string_append_printf (steps, "%s{\"count\":%u,\"cpu\":15500}", i > 0 ? "," : "",
                            JOB_TASKS_MAX / JOB_STEPS_MAX);
  g_autoptr (SchedWhere) where = ask (rig, steps->str);
  assert_int_equal (where->steps->len, JOB_STEPS_MAX);
  assert_int_equal (where->verdict, SCHED_WHERE_WAITS);
  assert_true (where->is_cut);
  assert_null (((SchedWhereStep *) g_ptr_array_index (where->steps, JOB_STEPS_MAX - 1))->worker);
  rig_free (rig);
}

/* Purity. */

/** Rounds in which the serving tasks report no tails, so that their image has no number yet. */
#define SILENT_ROUNDS 10

static void
add_load (Rig *rig, uint32_t round)
{
  static const char *const jobs[]
      = { "{\"count\":2,\"cpu\":2000,\"estimate_ms\":600},{\"count\":1,\"cpu\":500,\"after\":[0]}",
          "{\"count\":6,\"cpu\":1600,\"estimate_ms\":700,\"fills\":true,\"image\":\"b\"}",
          "{\"count\":1,\"cpu\":7000,\"estimate_ms\":2000}" };
  g_autofree char *id = g_strdup_printf ("%016x", round + 0x100);

  if (round == 0)
    rig_add_job (rig, JOB_A, "urgent", SERVING);
  else
    rig_add_job (rig, id, "bulk", jobs[round * round % 7 % G_N_ELEMENTS (jobs)]);
}

/* Ends the tasks that have run for long enough, and sets tails that depend on what runs. */
static void
run_tasks (Rig *rig, uint32_t round)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      for (uint32_t k = worker->n_tasks; k-- > 0;)
        {
          if (!g_str_has_prefix (worker->tasks[k].name, JOB_A)
              && rig->now_us - worker->tasks[k].started_us >= 900 * 1000)
            rig_end (worker, worker->tasks[k].name, WORKER_END_DONE);
        }
    }
  if (round >= SILENT_ROUNDS)
    set_tails (rig, 100 + 20 * (int64_t) ((round + rig_running (rig)) % 8));
}

/* What passes make on demand and keep. */
static char *
caches_of (const Rig *rig)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer key = NULL;

  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      const SchedWorker *worker = g_hash_table_lookup (rig->sched->workers, rig->workers[i].name);
      g_string_append_printf (text, " %d", worker->has_outdated_predictions);
      for (guint k = 0; k < worker->tasks->len; k++)
        g_string_append_printf (
            text, ":%d", ((SchedTask *) g_ptr_array_index (worker->tasks, k))->stage->has_image);
    }
  g_hash_table_iter_init (&iter, rig->sched->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const SchedStage *first = sched_find_stage (key, 0, 0);
      g_string_append_printf (text, " %" G_GUINT64_FORMAT,
                              first != NULL ? first->chains_change : 0);
    }
  g_string_append_printf (text, " %u %u", interference_find_image (rig->sched->interference, "s"),
                          interference_find_image (rig->sched->interference, "asked"));
  return g_string_free (text, FALSE);
}

static void
ask_everything (const Rig *rig)
{
  const char *const jobs[]
      = { "{\"count\":9,\"cpu\":2000}", "{\"count\":1,\"cpu\":7000,\"gang\":true}", SERVING,
          FILLING, "{\"count\":3,\"cpu\":1600,\"fills\":true,\"image\":\"asked\"}" };
  g_autofree char *before = caches_of (rig);

  for (size_t i = 0; i < G_N_ELEMENTS (jobs); i++)
    sched_where_free (ask (rig, jobs[i]));
  g_autofree char *after = caches_of (rig);
  assert_string_equal (before, after);
}

/* Guards against a query that leaves a cache, a count or a reservation behind. Reports arrive after
 * the pass, so that queries meet predictions and estimates that are not up to date. */
static void
scheduler_that_was_asked_decides_like_one_that_was_not (void **state)
{
  Rig *rigs[] = { rig_new_with (4, TRUE), rig_new_with (4, TRUE) };

  (void) state;
  for (uint32_t round = 0; round < 200; round++)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (rigs); i++)
        {
          add_load (rigs[i], round);
          rig_round (rigs[i], ROUND_MS, TRUE);
          run_tasks (rigs[i], round);
          for (uint32_t k = 0; k < rigs[i]->n_workers; k++)
            rig_report (rigs[i], &rigs[i]->workers[k]);
        }
      ask_everything (rigs[1]);
      for (uint32_t k = 0; k < rigs[0]->n_workers; k++)
        {
          const RigWorker *left = &rigs[0]->workers[k];
          const RigWorker *right = &rigs[1]->workers[k];
          assert_int_equal (left->n_tasks, right->n_tasks);
          assert_memory_equal (left->tasks, right->tasks, left->n_tasks * sizeof *left->tasks);
        }
    }
  assert_true (rigs[0]->n_starts > 100);
  assert_int_equal (rigs[0]->n_stops, rigs[1]->n_stops);
  rig_free (rigs[0]);
  rig_free (rigs[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (job_that_starts_at_once),
    cmocka_unit_test (job_that_waits_for_processors),
    cmocka_unit_test (job_that_waits_for_a_label),
    cmocka_unit_test (job_that_waits_for_headroom),
    cmocka_unit_test (job_that_waits_for_a_kept_worker),
    cmocka_unit_test (job_that_can_never_start),
    cmocka_unit_test (gang_waits_for_all_its_members),
    cmocka_unit_test (job_that_is_not_due_waits),
    cmocka_unit_test (largest_job_is_answered_step_by_step),
    cmocka_unit_test (scheduler_that_was_asked_decides_like_one_that_was_not),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
