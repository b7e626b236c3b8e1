#include "rig.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

static void
steps_wait_for_each_other (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent",
               "{\"count\":2,\"cpu\":1000},{\"count\":1,\"cpu\":1000,\"after\":[0]}");
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 2);
  rig_end (rig_worker_of (rig, JOB_A ".0.0.0"), JOB_A ".0.0.0", WORKER_END_DONE);
  rig_round (rig, 100, TRUE);
  assert_null (rig_worker_of (rig, JOB_A ".0.1.0"));
  rig_end (rig_worker_of (rig, JOB_A ".0.0.1"), JOB_A ".0.0.1", WORKER_END_DONE);
  rig_round (rig, 100, TRUE);
  assert_non_null (rig_worker_of (rig, JOB_A ".0.1.0"));
  rig_end (rig_worker_of (rig, JOB_A ".0.1.0"), JOB_A ".0.1.0", WORKER_END_DONE);
  rig_round (rig, 100, TRUE);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

static void
capacity_is_never_exceeded (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":9,\"cpu\":4000,\"mem_mb\":1000}");
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 4);
  rig_free (rig);
}

static void
memory_of_best_effort_tasks_counts (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":9,\"cpu\":1000,\"mem_mb\":20000,\"fills\":true}");
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 3);
  rig_free (rig);
}

/* A run that is being stopped keeps its resources until its end is reported. */
static void
stopping_tasks_keep_their_resources (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":16000}");
  rig_round (rig, 100, TRUE);
  rig->workers[0].is_silent = TRUE;
  sched_cancel_job (rig->sched, JOB_A);
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":1,\"cpu\":16000}");
  rig_round (rig, 100, TRUE);
  rig->workers[0].is_silent = FALSE;
  assert_null (rig_worker_of (rig, JOB_B ".0.0.0"));
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  assert_null (rig_worker_of (rig, JOB_A ".0.0.0"));
  assert_non_null (rig_worker_of (rig, JOB_B ".0.0.0"));
  rig_free (rig);
}

static void
failures_count_once_and_end_the_job (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":1000}");
  rig_round (rig, 100, TRUE);
  rig_end (rig_worker_of (rig, JOB_A ".0.0.0"), JOB_A ".0.0.0", WORKER_END_FAILED);
  /* The end is reported repeatedly until it is written. */
  for (int i = 0; i < 3; i++)
    rig_round (rig, 100, FALSE);
  assert_int_equal (rig->n_starts, 1);
  for (int i = 0; i < 3; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  assert_int_equal (rig->n_starts, 2);
  rig_end (rig_worker_of (rig, JOB_A ".0.0.0"), JOB_A ".0.0.0", WORKER_END_FAILED);
  for (int i = 0; i < 3; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  assert_int_equal (rig->n_starts, 2);
  rig_free (rig);
}

static void
long_running_tasks_are_restarted (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":1000,\"long_running\":true}");
  rig_round (rig, 100, TRUE);
  for (int i = 0; i < 5; i++)
    {
      rig_end (rig_worker_of (rig, JOB_A ".0.0.0"), JOB_A ".0.0.0",
               i % 2 == 0 ? WORKER_END_FAILED : WORKER_END_DONE);
      for (int k = 0; k < 200 && rig_worker_of (rig, JOB_A ".0.0.0") == NULL; k++)
        rig_round (rig, 100, TRUE);
      assert_non_null (rig_worker_of (rig, JOB_A ".0.0.0"));
    }
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  rig_free (rig);
}

/* A worker that does not report may run its tasks until its lease has expired. */
static void
tasks_of_silent_worker_are_kept_until_lease_expires (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":1000}");
  rig_round (rig, 100, TRUE);
  RigWorker *first = rig_worker_of (rig, JOB_A ".0.0.0");
  first->is_silent = TRUE;
  for (int64_t ms = 0; ms < RIG_EXPIRY_MS; ms += 100)
    {
      rig_round (rig, 100, TRUE);
      assert_int_equal (rig->n_starts, 1);
    }
  rig_round (rig, 200, TRUE);
  assert_int_equal (rig->n_starts, 2);
  rig_free (rig);
}

/* A lost worker returns and reports that its run was done: the second run is stopped and keeps its
 * resources until it is gone. */
static void
second_run_of_done_task_keeps_its_resources (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig->has_slow_stops = TRUE;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":16000}");
  rig_round (rig, 100, TRUE);
  RigWorker *first = rig_worker_of (rig, JOB_A ".0.0.0");
  RigWorker *second = first == &rig->workers[0] ? &rig->workers[1] : &rig->workers[0];
  first->is_silent = TRUE;
  for (int64_t ms = 0; ms < RIG_EXPIRY_MS + 200; ms += 100)
    rig_round (rig, 100, TRUE);
  assert_non_null (rig_find (second, JOB_A ".0.0.0"));
  rig_end (first, JOB_A ".0.0.0", WORKER_END_DONE);
  first->is_silent = FALSE;
  first->is_draining = TRUE;
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":1,\"cpu\":16000}");
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_stops, 1);
  assert_int_equal (second->n_tasks, 1);
  assert_null (rig_find (second, JOB_B ".0.0.0"));
  rig_round (rig, 100, TRUE);
  assert_non_null (rig_find (second, JOB_B ".0.0.0"));
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  rig_free (rig);
}

static void
draining_worker_gets_no_tasks (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig->workers[0].is_draining = TRUE;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":1000}");
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_starts, 0);
  rig_free (rig);
}

static void
tasks_run_on_matching_service_and_label_only (void **state)
{
  Rig *rig = rig_new (3);

  (void) state;
  (void) g_strlcpy (rig->workers[0].service, "other", sizeof rig->workers[0].service);
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":8,\"cpu\":100,\"required_label\":\"r1\"}");
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig->workers[0].n_tasks, 0);
  assert_int_equal (rig->workers[1].n_tasks, 0);
  assert_int_equal (rig->workers[2].n_tasks, 8);
  rig_free (rig);
}

/* The time of a task that waits is logged under what it waits for. */
static void
waiting_times_are_logged_by_cause (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_round (rig, 100, TRUE);
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":10,\"cpu\":2000}");
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":1,\"cpu\":10,\"mem_mb\":70000}");
  for (int i = 0; i < 10; i++)
    rig_round (rig, 100, TRUE);
  /* Two of ten tasks wait for processors, one of another job for memory, from the round in which
   * they came until the second is over. */
  assert_non_null (strstr (rig->notes->str, "waited kind=reserved worker_ms=0 memory_ms=1000 "
                                            "processors_ms=2000 over_target_ms=0 headroom_ms=0"));
  rig_free (rig);
}

static void
task_without_a_worker_waits_for_one (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_round (rig, 100, TRUE);
  rig->workers[0].is_draining = TRUE;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":2000,\"fills\":true}");
  for (int i = 0; i < 10; i++)
    rig_round (rig, 100, TRUE);
  assert_non_null (strstr (rig->notes->str, "waited kind=best_effort worker_ms=1000 memory_ms=0"));
  rig_free (rig);
}

static void
per_worker_limit_of_step_is_kept (void **state)
{
  Rig *rig = rig_new (3);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":9,\"cpu\":100,\"max_per_server\":2}");
  rig_round (rig, 100, TRUE);
  for (uint32_t i = 0; i < 3; i++)
    assert_int_equal (rig->workers[i].n_tasks, 2);
  rig_free (rig);
}

static void
gang_starts_completely_or_not_at_all (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":5,\"cpu\":8000,\"gang\":true}");
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_starts, 0);
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":4,\"cpu\":8000,\"gang\":true}");
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 4);
  int64_t run = rig->workers[0].tasks[0].run;
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      for (uint32_t k = 0; k < rig->workers[i].n_tasks; k++)
        assert_int_equal (rig->workers[i].tasks[k].run, run);
    }
  /* The end of one member is the end of all. */
  rig_end (rig_worker_of (rig, JOB_B ".0.0.0"), JOB_B ".0.0.0", WORKER_END_DONE);
  rig_round (rig, 100, TRUE);
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  rig_free (rig);
}

/* The checkpoint of any member is valid for all, and all start from the same one. */
static void
gang_resumes_from_one_checkpoint (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent",
               "{\"count\":2,\"cpu\":8000,\"gang\":true,\"checkpointing\":true}");
  rig_round (rig, 100, TRUE);
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *name = g_strdup_printf (JOB_A ".0.0.%d", i);
      rig_end (rig_worker_of (rig, name), name, WORKER_END_GANG_BROKEN);
    }
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 2);
  assert_int_equal (rig->n_starts, 4);
  rig_free (rig);
}

/* The new owner starts no task that the old one may have started at an agent that has not reported.
 */
static void
new_owner_waits_for_agents_that_have_not_reported (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  sched_begin_term (rig->sched, 2, rig->now_us + RIG_EXPIRY_MS * 1000);
  rig->workers[1].is_silent = TRUE;
  rig_add_job_as (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":100}", TRUE);
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":1,\"cpu\":100}");
  rig_round (rig, 100, TRUE);
  assert_null (rig_worker_of (rig, JOB_A ".0.0.0"));
  assert_non_null (rig_worker_of (rig, JOB_B ".0.0.0"));
  for (int64_t ms = 0; ms < RIG_EXPIRY_MS; ms += 100)
    rig_round (rig, 100, TRUE);
  assert_non_null (rig_worker_of (rig, JOB_A ".0.0.0"));
  assert_true (rig_find (rig_worker_of (rig, JOB_A ".0.0.0"), JOB_A ".0.0.0")->run > 1000);
  rig_free (rig);
}

/* An agent may return before the deletion of its record has been read. Tasks that were started
 * there in that time would be started again elsewhere. */
static void
agent_being_forgotten_gets_no_tasks (void **state)
{
  Rig *rig = rig_new (2);
  g_autofree char *name = NULL;

  (void) state;
  rig->workers[1].is_silent = TRUE;
  for (int64_t ms = 0; ms < RIG_EXPIRY_MS + SCHED_FORGET_MS + 300; ms += 100)
    rig_round (rig, 100, TRUE);
  name = g_strdup (sched_forget_agent (rig->sched));
  assert_string_equal (name, "w1");
  rig->workers[1].is_silent = FALSE;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":2,\"cpu\":5000}");
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  assert_false (sched_add_agent (rig->sched, name));
  sched_remove_agent (rig->sched, name);
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 2);
  /* Its record is deleted now, so it can be added again. */
  assert_true (sched_add_agent (rig->sched, name));
  rig_free (rig);
}

/* The agent's process still counts the orders that it received earlier in this term. */
static void
agent_that_was_forgotten_executes_orders_again (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":2,\"cpu\":5000}");
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 2);
  rig_end (&rig->workers[0], JOB_A ".0.0.0", WORKER_END_DONE);
  rig_end (&rig->workers[0], JOB_A ".0.0.1", WORKER_END_DONE);
  rig_round (rig, 100, TRUE);
  rig->workers[0].is_silent = TRUE;
  for (int64_t ms = 0; ms < RIG_EXPIRY_MS + SCHED_FORGET_MS + 300; ms += 100)
    rig_round (rig, 100, TRUE);
  assert_string_equal (sched_forget_agent (rig->sched), "w0");
  sched_remove_agent (rig->sched, "w0");
  assert_true (sched_add_agent (rig->sched, "w0"));
  rig->workers[0].is_silent = FALSE;
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":1,\"cpu\":100}");
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  assert_non_null (rig_worker_of (rig, JOB_B ".0.0.0"));
  rig_free (rig);
}

/* An owner that follows before the failure was written would not count it. */
static void
failed_task_waits_until_its_failure_is_written (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":1000}");
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  RigWorker *first = rig_worker_of (rig, JOB_A ".0.0.0");
  assert_non_null (first);
  rig_end (first, JOB_A ".0.0.0", WORKER_END_FAILED);
  for (int i = 0; i < 5; i++)
    rig_round (rig, 100, FALSE);
  assert_int_equal (rig_running (rig), 0);
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 1);
  rig_free (rig);
}

/* Otherwise ended jobs would fill the store and the memory of a long-running deployment. */
static void
ended_job_expires (void **state)
{
  Rig *rig = rig_new (1);
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":100}");
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":1,\"cpu\":100,\"long_running\":true}");
  rig_round (rig, 100, TRUE);
  rig_end (&rig->workers[0], JOB_A ".0.0.0", WORKER_END_DONE);
  rig_round (rig, 100, TRUE);
  sched_expired_jobs (rig->sched, 1000, ids, 10);
  assert_int_equal (ids->len, 0);
  for (int64_t ms = 0; ms < 1200; ms += 100)
    rig_round (rig, 100, TRUE);
  sched_expired_jobs (rig->sched, 1000, ids, 10);
  assert_int_equal (ids->len, 1);
  assert_string_equal (g_ptr_array_index (ids, 0), JOB_A);
  sched_forget_job (rig->sched, JOB_A);
  sched_forget_job (rig->sched, JOB_B);
  g_ptr_array_set_size (ids, 0);
  sched_expired_jobs (rig->sched, 0, ids, 10);
  assert_int_equal (ids->len, 0);
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  rig_free (rig);
}

/* The end of a job that is being written to the ledger may have to be written again. */
static void
job_being_written_is_kept (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":100}");
  rig_round (rig, 100, TRUE);
  sched_cancel_job (rig->sched, JOB_A);
  rig_end (&rig->workers[0], JOB_A ".0.0.0", WORKER_END_DONE);
  rig_report (rig, &rig->workers[0]);
  sched_tick (rig->sched, rig->now_us, rig->now_us / 1000);
  SchedFlush *flush = sched_flush_begin (rig->sched);
  assert_non_null (flush);
  sched_forget_job (rig->sched, JOB_A);
  sched_flush_end (rig->sched, flush, FALSE);
  flush = sched_flush_begin (rig->sched);
  assert_non_null (flush);
  assert_int_equal (sched_flush_changes (flush)->len, 1);
  const SchedChange *change = g_ptr_array_index (sched_flush_changes (flush), 0);
  assert_string_equal (change->job, JOB_A);
  sched_flush_end (rig->sched, flush, TRUE);
  rig_free (rig);
}

/* A worker that never returns must not delay every new owner. */
static void
agent_without_reports_is_forgotten (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":2,\"cpu\":9000}");
  rig_round (rig, 100, TRUE);
  assert_null (sched_forget_agent (rig->sched));
  rig->workers[1].is_silent = TRUE;
  for (int64_t ms = 0; ms < RIG_EXPIRY_MS + SCHED_FORGET_MS + 300; ms += 100)
    rig_round (rig, 100, TRUE);
  assert_string_equal (sched_forget_agent (rig->sched), "w1");
  sched_remove_agent (rig->sched, "w1");
  assert_null (sched_forget_agent (rig->sched));
  /* Then a new term ends its reconciliation as soon as the other agents have reported. */
  sched_begin_term (rig->sched, 2, rig->now_us + RIG_EXPIRY_MS * 1000);
  rig_add_job_as (rig, JOB_B, "urgent", "{\"count\":1,\"cpu\":100}", TRUE);
  rig_round (rig, 100, TRUE);
  assert_non_null (rig_worker_of (rig, JOB_B ".0.0.0"));
  rig_free (rig);
}

static void
new_owner_adopts_running_tasks (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  sched_begin_term (rig->sched, 2, rig->now_us + RIG_EXPIRY_MS * 1000);
  RigTask *task = &rig->workers[1].tasks[rig->workers[1].n_tasks++];
  (void) g_strlcpy (task->name, JOB_A ".0.0.0", sizeof task->name);
  task->run = 7;
  rig_add_job_as (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":100}", TRUE);
  for (int i = 0; i < 50; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_starts, 0);
  assert_int_equal (rig->n_stops, 0);
  rig_end (&rig->workers[1], JOB_A ".0.0.0", WORKER_END_DONE);
  rig_round (rig, 100, TRUE);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

static void
task_of_an_unknown_job_is_stopped (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  RigTask *task = &rig->workers[0].tasks[rig->workers[0].n_tasks++];
  (void) g_strlcpy (task->name, JOB_A ".0.0.0", sizeof task->name);
  task->run = 1;
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig->workers[0].n_tasks, 0);
  rig_free (rig);
}

static void
end_is_acknowledged_only_once_written (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":100}");
  rig_round (rig, 100, TRUE);
  rig_end (&rig->workers[0], JOB_A ".0.0.0", WORKER_END_DONE);
  rig_round (rig, 100, FALSE);
  rig_round (rig, 100, FALSE);
  assert_int_equal (rig->workers[0].ends_acked, 0);
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig->workers[0].ends_acked, 1);
  rig_free (rig);
}

static void
stalled_task_is_moved (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":100}");
  rig_round (rig, 100, TRUE);
  RigWorker *first = rig_worker_of (rig, JOB_A ".0.0.0");
  rig->is_stalled = TRUE;
  for (int i = 0; i < 60 && rig->n_starts < 2; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_starts, 2);
  assert_ptr_not_equal (rig_worker_of (rig, JOB_A ".0.0.0"), first);
  rig_free (rig);
}

/* Guards against: a sound run was stopped as stalled, and its worker quarantined, while no look at
 * it was answered: its agent reported what it had seen before, and then did not report. */
static void
run_that_nobody_looks_at_is_not_stalled (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":100,\"long_running\":true}");
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  RigWorker *worker = rig_worker_of (rig, JOB_A ".0.0.0");
  worker->looked_us = rig->now_us;
  rig->is_stalled = TRUE;
  for (int i = 0; i < 14; i++)
    rig_round (rig, 100, TRUE);
  worker->is_silent = TRUE;
  for (int i = 0; i < 32; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_stops, 0);
  assert_null (strstr (rig->notes->str, "stalled"));
  /* The first look after that shows progress. */
  worker->looked_us = 0;
  worker->is_silent = FALSE;
  rig->is_stalled = FALSE;
  rig_round (rig, 100, TRUE);
  assert_null (strstr (rig->notes->str, "stalled"));
  assert_ptr_equal (rig_worker_of (rig, JOB_A ".0.0.0"), worker);
  rig_free (rig);
}

/* Guards against long tasks that are stopped again and again: workers list whole percents, and one
 * percent of a task of 300 s takes 3 s. */
static void
long_task_between_two_percents_is_not_stalled (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":100,\"estimate_ms\":300000}");
  rig_round (rig, 100, TRUE);
  rig->is_stalled = TRUE;
  for (int i = 0; i < 50; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_stops, 0);
  for (int i = 0; i < 30; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_stops, 1);
  rig_free (rig);
}

/* Load: more best-effort tasks than there is capacity for, while few processors are reserved. */
static void
no_step_starves_with_idle_processors (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  for (int i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016d", i);
      rig_add_job (rig, id, "bulk", "{\"count\":8,\"cpu\":4000,\"mem_mb\":100,\"fills\":true}");
    }
  for (int i = 0; i < 15; i++)
    rig_round (rig, 100, TRUE);
  for (int i = 0; i < 6; i++)
    {
      g_autofree char *name = g_strdup_printf ("%016d.0.0.0", i);
      assert_non_null (rig_worker_of (rig, name));
    }
  rig_free (rig);
}

static void
set_tails (Rig *rig, int64_t tail_ms)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      for (uint32_t k = 0; k < rig->workers[i].n_tasks; k++)
        {
          RigTask *task = &rig->workers[i].tasks[k];
          if (strncmp (task->name, JOB_A, JOB_ID_CHARS) != 0)
            continue;
          task->percent = 100;
          task->measurement = tail_ms;
        }
    }
}

/* Load: best-effort tasks beside a serving one whose tail rises over its target and stays there. */
static void
best_effort_tasks_are_paused_for_tail_over_target (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent",
               "{\"count\":1,\"cpu\":4000,\"long_running\":true,\"target_ms\":50,\"image\":\"s\"}");
  rig_add_job (rig, JOB_B, "bulk", "{\"count\":2,\"cpu\":2000,\"fills\":true,\"image\":\"f\"}");
  rig_round (rig, 100, TRUE);
  set_tails (rig, 10);
  for (int i = 0; i < 10; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (rig_running (rig), 3);
  for (int i = 0; i < 30; i++)
    {
      set_tails (rig, 80);
      rig_round (rig, 100, TRUE);
    }
  uint32_t sum = 0;
  for (uint32_t k = 0; k < rig->workers[0].n_tasks; k++)
    {
      if (strncmp (rig->workers[0].tasks[k].name, JOB_B, JOB_ID_CHARS) == 0)
        sum += rig->workers[0].tasks[k].cpu_limit;
    }
  assert_int_equal (sum, 0);
  assert_non_null (rig_worker_of (rig, JOB_A ".0.0.0"));
  rig_free (rig);
}

/* Sum of the CPU limits of the best-effort tasks. */
static uint32_t
best_effort_cpu_limits (const Rig *rig)
{
  uint32_t sum = 0;

  for (uint32_t k = 0; k < rig->workers[0].n_tasks; k++)
    {
      if (strncmp (rig->workers[0].tasks[k].name, JOB_A, JOB_ID_CHARS) != 0)
        sum += rig->workers[0].tasks[k].cpu_limit;
    }
  return sum;
}

/* Load: short best-effort tasks beside a serving one, which had no impact on it at first. */
static void
short_best_effort_tasks_are_paused_too (void **state)
{
  Rig *rig = rig_new (1);
  int n_jobs = 0;

  (void) state;
  rig_add_job (rig, JOB_A, "urgent",
               "{\"count\":1,\"cpu\":4000,\"long_running\":true,\"target_ms\":50,\"image\":\"s\"}");
  for (int i = 0; i < 140; i++)
    {
      if (i % 4 == 0)
        {
          g_autofree char *id = g_strdup_printf ("%016d", n_jobs++);
          rig_add_job (rig, id, "bulk", "{\"count\":2,\"cpu\":500,\"fills\":true,\"image\":\"f\"}");
        }
      set_tails (rig, i < 100 ? 10 : 80);
      rig_round (rig, 100, TRUE);
      for (uint32_t k = rig->workers[0].n_tasks; k-- > 0;)
        {
          const RigTask *task = &rig->workers[0].tasks[k];
          if (strncmp (task->name, JOB_A, JOB_ID_CHARS) != 0 && task->cpu_limit == 100
              && task->percent >= 3)
            rig_end (&rig->workers[0], task->name, WORKER_END_DONE);
        }
    }
  assert_int_equal (best_effort_cpu_limits (rig), 0);
  rig_free (rig);
}

/* Load: a tail that is over its target for long and then recovers. Throttled tasks continue on
 * their worker and are not treated as stalled. */
static void
throttled_tasks_are_not_stalled (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent",
               "{\"count\":1,\"cpu\":4000,\"long_running\":true,\"target_ms\":50,\"image\":\"s\"}");
  rig_add_job (rig, JOB_B, "bulk", "{\"count\":2,\"cpu\":2000,\"fills\":true,\"image\":\"f\"}");
  for (int i = 0; i < 20; i++)
    {
      set_tails (rig, 10);
      rig_round (rig, 100, TRUE);
    }
  rig->is_stalled = TRUE;
  for (int i = 0; i < 150; i++)
    {
      set_tails (rig, 80);
      rig_round (rig, 100, TRUE);
    }
  /* Progress is reported only some reports after the CPU limit was raised. */
  for (int i = 0; i < 60; i++)
    {
      rig->is_stalled = i < 35;
      set_tails (rig, 10);
      rig_round (rig, 100, TRUE);
    }
  assert_int_equal (rig->n_stops, 0);
  assert_int_equal (rig_running (rig), 3);
  rig_free (rig);
}

static void
progress_record_has_ends_and_failures (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":3,\"cpu\":100}");
  rig_round (rig, 100, TRUE);
  rig_end (&rig->workers[0], JOB_A ".0.0.1", WORKER_END_DONE);
  rig_end (&rig->workers[0], JOB_A ".0.0.2", WORKER_END_FAILED);
  rig_report (rig, &rig->workers[0]);
  SchedFlush *flush = sched_flush_begin (rig->sched);
  const GPtrArray *changes = sched_flush_changes (flush);
  assert_int_equal (changes->len, 1);
  const SchedChange *change = g_ptr_array_index (changes, 0);
  size_t size = 0;
  const uint8_t *bytes = g_bytes_get_data (change->progress, &size);
  Batch__Progress *progress = batch__progress__unpack (NULL, size, bytes);
  assert_non_null (progress);
  assert_int_equal (progress->n_parts, 1);
  assert_int_equal (progress->parts[0]->done.data[0], 2);
  assert_int_equal (progress->parts[0]->n_failed, 1);
  assert_int_equal (progress->parts[0]->failed[0]->index, 2);
  batch__progress__free_unpacked (progress, NULL);
  sched_flush_end (rig->sched, flush, TRUE);
  rig_free (rig);
}

static void
report_changes (Rig *rig, uint64_t version, uint64_t since, Batch__Gone *gone)
{
  Batch__Report report = BATCH__REPORT__INIT;

  report.boot = rig->workers[0].boot;
  report.life = rig->workers[0].incarnation;
  report.clock_us = rig->now_us + (int64_t) version;
  report.done_number = rig->workers[0].done_number;
  report.version = version;
  report.since = since;
  report.n_gone = gone != NULL ? 1 : 0;
  report.gone = &gone;
  sched_apply_report (rig->sched, rig->workers[0].name, &report, rig->now_us);
}

/* Runs that an incremental report does not mention are unchanged. */
static void
incremental_report_removes_gone_run (void **state)
{
  Rig *rig = rig_new (1);
  Batch__Gone gone = BATCH__GONE__INIT;

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":2,\"cpu\":1000}");
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_starts, 2);
  uint64_t version = rig->workers[0].version;
  report_changes (rig, version + 1, version, NULL);
  sched_tick (rig->sched, rig->now_us, rig->now_us / 1000);
  assert_int_equal (rig->n_starts, 2);
  gone.task = JOB_A ".0.0.0";
  gone.run = rig_find (&rig->workers[0], gone.task)->run;
  report_changes (rig, version + 2, version + 1, &gone);
  rig->workers[0].version += 2;
  rig_end (&rig->workers[0], gone.task, WORKER_END_EXPIRED);
  rig->workers[0].n_ends = 0;
  rig_round (rig, 100, TRUE);
  assert_int_equal (rig->n_starts, 3);
  rig_free (rig);
}

/* An incremental report based on a report that was never applied could hide the loss of a run. */
static void
incremental_report_over_gap_is_not_applied (void **state)
{
  Rig *rig = rig_new (1);
  Batch__Gone gone = BATCH__GONE__INIT;
  Batch__Orders orders = BATCH__ORDERS__INIT;

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":1000}");
  rig_round (rig, 100, TRUE);
  rig_round (rig, 100, TRUE);
  gone.task = JOB_A ".0.0.0";
  gone.run = 1;
  report_changes (rig, 90, 80, &gone);
  assert_true (sched_orders (rig->sched, "w0", &orders));
  assert_int_equal (orders.report_taken, 0);
  sched_tick (rig->sched, rig->now_us, rig->now_us / 1000);
  assert_int_equal (rig->n_starts, 1);
  rig_free (rig);
}

/* An order is sent once, and again only if no report confirms it in time. */
static void
orders_are_resent_only_when_due (void **state)
{
  Rig *rig = rig_new (1);
  Batch__Orders orders = BATCH__ORDERS__INIT;

  (void) state;
  rig_round (rig, 100, TRUE);
  rig->workers[0].is_silent = TRUE;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":1000}");
  rig_round (rig, 100, TRUE);
  rig->now_us += 50 * 1000;
  report_changes (rig, rig->workers[0].version + 1, rig->workers[0].version, NULL);
  sched_tick (rig->sched, rig->now_us, rig->now_us / 1000);
  assert_true (sched_orders (rig->sched, "w0", &orders));
  assert_int_equal (orders.n_orders, 0);
  assert_true (orders.order_before > rig->workers[0].done_number);
  rig->now_us += 50 * 1000;
  report_changes (rig, rig->workers[0].version + 2, rig->workers[0].version + 1, NULL);
  sched_tick (rig->sched, rig->now_us, rig->now_us / 1000);
  assert_true (sched_orders (rig->sched, "w0", &orders));
  assert_int_equal (orders.n_orders, 1);
  assert_int_equal (orders.order_before, 0);
  rig_free (rig);
}

/* Load: best-effort tasks beside a serving one until the impact is learned; then a new owner. */
static void
learned_impacts_are_restored_by_new_owner (void **state)
{
  Rig *rig = rig_new (1);
  Rig *next = rig_new (1);

  (void) state;
  rig_add_job (rig, JOB_A, "urgent",
               "{\"count\":1,\"cpu\":4000,\"long_running\":true,\"target_ms\":50,\"image\":\"s\"}");
  for (int i = 0; i < 30; i++)
    {
      if (i == 15)
        rig_add_job (rig, JOB_B, "bulk",
                     "{\"count\":2,\"cpu\":2000,\"fills\":true,\"image\":\"f\"}");
      set_tails (rig, i < 16 ? 10 : 40 + i % 2);
      for (uint32_t k = 0; k < rig->workers[0].n_tasks; k++)
        rig->workers[0].tasks[k].percent = 100;
      rig_round (rig, 500, TRUE);
    }
  g_autoptr (GBytes) bytes = sched_encode_learned (rig->sched);
  size_t size = 0;
  const void *data = g_bytes_get_data (bytes, &size);
  Batch__Learned *learned = batch__learned__unpack (NULL, size, data);
  assert_non_null (learned);
  assert_int_equal (learned->n_pairs, 1);
  assert_string_equal (learned->images[learned->pairs[0]->serving], "s");
  assert_string_equal (learned->images[learned->pairs[0]->filling], "f");
  assert_true (learned->pairs[0]->take > 2.0F);
  sched_restore_learned (next->sched, learned);
  g_autoptr (GBytes) again = sched_encode_learned (next->sched);
  Batch__Learned *restored
      = batch__learned__unpack (NULL, g_bytes_get_size (again), g_bytes_get_data (again, NULL));
  assert_int_equal (restored->n_pairs, 1);
  assert_float_equal (restored->pairs[0]->take, learned->pairs[0]->take, 1e-6);
  /* Indexes without an image are ignored. */
  learned->pairs[0]->filling = 99;
  sched_restore_learned (next->sched, learned);
  batch__learned__free_unpacked (restored, NULL);
  batch__learned__free_unpacked (learned, NULL);
  rig_free (next);
  rig_free (rig);
}

/* A task that a previous owner throttled does not stay throttled, whether or not its agent knows
 * the limit. */
static void
new_owner_lifts_cpu_limit_of_adopted_task (void **state)
{
  (void) state;
  for (int knows = 0; knows < 2; knows++)
    {
      Rig *rig = rig_new (1);
      RigTask *task = &rig->workers[0].tasks[0];
      rig->reports_cpu_limits = knows == 1;
      sched_begin_term (rig->sched, 2, rig->now_us + 60 * 1000 * 1000);
      rig_add_job_as (rig, JOB_A, "bulk",
                      "{\"count\":1,\"cpu\":2000,\"fills\":true,\"image\":\"f\"}", TRUE);
      rig->workers[0].n_tasks = 1;
      (void) g_strlcpy (task->name, JOB_A ".0.0.0", sizeof task->name);
      task->run = 1;
      task->cpu_limit = 0;
      for (int i = 0; i < 20; i++)
        rig_round (rig, 100, TRUE);
      assert_int_equal (rig->n_stops, 0);
      assert_int_equal (rig_find (&rig->workers[0], JOB_A ".0.0.0")->cpu_limit, 100);
      rig_free (rig);
    }
}

/* Guards against jobs that count as begun although no task has ever started: their first start was
 * refused. */
static void
refused_start_does_not_begin_a_job (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig->workers[0].refuses_starts = TRUE;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":2,\"cpu\":1000}");
  for (int i = 0; i < 5; i++)
    rig_round (rig, 100, TRUE);
  assert_int_equal (sched_pending_jobs (rig->sched, "urgent"), 1);
  rig->workers[0].refuses_starts = FALSE;
  for (int i = 0; i < 20; i++)
    rig_round (rig, 100, TRUE);
  assert_true (rig->n_starts > 0);
  assert_int_equal (sched_pending_jobs (rig->sched, "urgent"), 0);
  rig_replace_owner (rig, 2);
  rig_round (rig, 100, TRUE);
  assert_int_equal (sched_pending_jobs (rig->sched, "urgent"), 0);
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (steps_wait_for_each_other),
    cmocka_unit_test (capacity_is_never_exceeded),
    cmocka_unit_test (memory_of_best_effort_tasks_counts),
    cmocka_unit_test (stopping_tasks_keep_their_resources),
    cmocka_unit_test (failures_count_once_and_end_the_job),
    cmocka_unit_test (long_running_tasks_are_restarted),
    cmocka_unit_test (tasks_of_silent_worker_are_kept_until_lease_expires),
    cmocka_unit_test (second_run_of_done_task_keeps_its_resources),
    cmocka_unit_test (draining_worker_gets_no_tasks),
    cmocka_unit_test (tasks_run_on_matching_service_and_label_only),
    cmocka_unit_test (waiting_times_are_logged_by_cause),
    cmocka_unit_test (task_without_a_worker_waits_for_one),
    cmocka_unit_test (per_worker_limit_of_step_is_kept),
    cmocka_unit_test (gang_starts_completely_or_not_at_all),
    cmocka_unit_test (gang_resumes_from_one_checkpoint),
    cmocka_unit_test (new_owner_waits_for_agents_that_have_not_reported),
    cmocka_unit_test (agent_without_reports_is_forgotten),
    cmocka_unit_test (agent_being_forgotten_gets_no_tasks),
    cmocka_unit_test (agent_that_was_forgotten_executes_orders_again),
    cmocka_unit_test (failed_task_waits_until_its_failure_is_written),
    cmocka_unit_test (ended_job_expires),
    cmocka_unit_test (job_being_written_is_kept),
    cmocka_unit_test (new_owner_adopts_running_tasks),
    cmocka_unit_test (task_of_an_unknown_job_is_stopped),
    cmocka_unit_test (end_is_acknowledged_only_once_written),
    cmocka_unit_test (stalled_task_is_moved),
    cmocka_unit_test (run_that_nobody_looks_at_is_not_stalled),
    cmocka_unit_test (long_task_between_two_percents_is_not_stalled),
    cmocka_unit_test (no_step_starves_with_idle_processors),
    cmocka_unit_test (best_effort_tasks_are_paused_for_tail_over_target),
    cmocka_unit_test (short_best_effort_tasks_are_paused_too),
    cmocka_unit_test (throttled_tasks_are_not_stalled),
    cmocka_unit_test (progress_record_has_ends_and_failures),
    cmocka_unit_test (incremental_report_removes_gone_run),
    cmocka_unit_test (incremental_report_over_gap_is_not_applied),
    cmocka_unit_test (orders_are_resent_only_when_due),
    cmocka_unit_test (learned_impacts_are_restored_by_new_owner),
    cmocka_unit_test (new_owner_lifts_cpu_limit_of_adopted_task),
    cmocka_unit_test (refused_start_does_not_begin_a_job),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
