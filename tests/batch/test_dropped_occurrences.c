/* Occurrences that are done and dropped while a second run of one of their tasks still ends. */
#include "batch/sched_tables.h"
#include "rig.h"

#define JOB "00000000000000aa"
#define LONG_TASK JOB ".0.0.0"
#define ROUND_MS 100
#define INTERVAL_MS 200000
#define N_WORKERS 11
/** The tasks of so many are a memory mapping of their own, which does not outlive their release. */
#define WIDE_TASKS 4000
#define NARROW "{\"count\":3,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":800}"
#define GANG "{\"count\":3,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":800,\"gang\":true}"
#define TWO_STEPS NARROW ",{\"count\":2,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":800}"

/** How the owner learns that the second run is over. */
typedef enum
{
  OVER_ENDED,    /**< its end is reported */
  OVER_GONE,     /**< a report of changes says that it is gone */
  OVER_UNLISTED, /**< a full report does not list it */
  OVER_LOST,     /**< its worker does not report any more */
  OVER_REMOVED,  /**< its agent is removed */
} Over;

static void
add_repeating (Rig *rig, const char *steps)
{
  int64_t now_ms = rig->now_us / 1000;
  g_autofree char *body
      = g_strdup_printf ("{\"spec\":\"s\",\"repeat_count\":2,\"start_at_ms\":%" G_GINT64_FORMAT
                         ",\"interval_ms\":%d,\"steps\":[%s]}",
                         now_ms, INTERVAL_MS, steps);
  const SchedNewJob job = { .id = JOB,
                            .queue = "bulk",
                            .accepted_wall_ms = now_ms,
                            .spec = caller_decode_job (body, strlen (body), NULL) };

  assert_non_null (job.spec);
  sched_add_job (rig->sched, &job);
}

/* Completes all tasks at workers that report, but those with the prefix. */
static void
end_others (Rig *rig, const char *prefix)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      for (uint32_t k = worker->n_tasks; k-- > 0 && !worker->is_silent;)
        {
          if (!g_str_has_prefix (worker->tasks[k].name, prefix) && worker->n_ends < RIG_TASKS_MAX)
            rig_end (worker, worker->tasks[k].name, WORKER_END_DONE);
        }
    }
}

static void
play_rounds (Rig *rig, const char *prefix, uint32_t n_rounds)
{
  for (uint32_t i = 0; i < n_rounds; i++)
    {
      rig_round (rig, ROUND_MS, TRUE);
      rig_forget_ends (rig);
      end_others (rig, prefix);
    }
}

/* The second run is over, and the owner learns it in one way. */
static void
end_second_run (Rig *rig, RigWorker *worker, Over over)
{
  rig->sends_changes = over == OVER_GONE;
  if (over == OVER_LOST || over == OVER_REMOVED)
    worker->is_silent = TRUE;
  if (over == OVER_REMOVED)
    sched_remove_agent (rig->sched, worker->name);
  if (over == OVER_LOST)
    rig->now_us += RIG_EXPIRY_MS * 1000;
  /* In the other ways its end is not listed. */
  if (over != OVER_ENDED && rig_find (worker, LONG_TASK) != NULL)
    {
      rig_end (worker, LONG_TASK, WORKER_END_STOPPED);
      worker->n_ends--;
    }
}

static void
play (const char *steps, Over over)
{
  Rig *rig = rig_new (N_WORKERS);
  /* One end would complete a gang. */
  const char *prefix = strcmp (steps, GANG) == 0 ? JOB ".0." : LONG_TASK;

  rig_round (rig, ROUND_MS, TRUE);
  add_repeating (rig, steps);
  rig_round (rig, ROUND_MS, TRUE);
  RigWorker *first = rig_worker_of (rig, LONG_TASK);
  assert_non_null (first);
  play_rounds (rig, prefix, 2);
  first->is_silent = TRUE;
  play_rounds (rig, prefix, RIG_EXPIRY_MS / ROUND_MS + 10);
  rig_end (first, LONG_TASK, WORKER_END_DONE);
  RigWorker *second = rig_worker_of (rig, LONG_TASK);
  assert_non_null (second);
  /* The end of the first run is reported late; the owner stops the second one. */
  rig->has_slow_stops = TRUE;
  rig_round (rig, ROUND_MS, TRUE);
  first->is_silent = FALSE;
  rig_round (rig, ROUND_MS, TRUE);
  assert_true (rig_find (second, LONG_TASK)->is_stopping);
  end_second_run (rig, second, over);
  play_rounds (rig, prefix, 10);
  assert_null (rig_worker_of (rig, LONG_TASK));
  /* The occurrence was dropped, and is freed. */
  const SchedJob *job = g_hash_table_lookup (rig->sched->jobs, JOB);
  assert_int_equal (job->occurrences_done, 1);
  assert_int_equal (rig->sched->dropped->len, 0);
  /* The next occurrence runs when it is due. */
  rig->now_us += (int64_t) INTERVAL_MS * 1000;
  rig->sends_changes = FALSE;
  play_rounds (rig, prefix, 20);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

/* Guards against: an owner ended with SIGSEGV as it read a task after its occurrence was dropped.
 * Comes first: once a large mapping was released, the allocator keeps the next ones. */
static void
end_of_second_run_of_wide_step_is_applied (void **state)
{
  g_autofree char *step
      = g_strdup_printf ("{\"count\":%d,\"cpu\":10,\"mem_mb\":4,\"estimate_ms\":50}", WIDE_TASKS);

  (void) state;
  play (step, OVER_ENDED);
}

/* Guards against the same read where the second run ends in another way; the address sanitizer
 * finds it for narrow steps. */
static void
second_run_is_over_in_each_way (void **state)
{
  const char *const shapes[] = { NARROW, GANG, TWO_STEPS };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (shapes); i++)
    {
      for (int over = OVER_ENDED; over <= OVER_REMOVED; over++)
        play (shapes[i], (Over) over);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (end_of_second_run_of_wide_step_is_applied),
    cmocka_unit_test (second_run_is_over_in_each_way),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
