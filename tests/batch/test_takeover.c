/* A change of owner while agents do not report: what the successor may start at once, and what
 * waits. */
#include "rig.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define ROUND_MS 100
#define STEPS "{\"count\":24,\"cpu\":2000}"
/** Rounds after which an agent counts as silent, and after which its leases have expired. */
#define SILENT_ROUNDS 15
#define EXPIRY_ROUNDS (RIG_EXPIRY_MS / ROUND_MS + 1)

static void
run_rounds (Rig *rig, uint32_t n_rounds)
{
  for (uint32_t i = 0; i < n_rounds; i++)
    rig_round (rig, ROUND_MS, TRUE);
}

/* Publishes the silent agents as the owner does with an append; returns the record, NULL if it is
 * unchanged. */
static Batch__Silent *
publish (Rig *rig)
{
  g_autoptr (GBytes) bytes = sched_publish_silent (rig->sched);
  size_t size = 0;

  if (bytes == NULL)
    return NULL;
  const void *data = g_bytes_get_data (bytes, &size);
  assert_true (size > 0);
  sched_end_publish (rig->sched, TRUE);
  return batch__silent__unpack (NULL, size, data);
}

/* The processes of all agents but the silent one and their workers restart: nothing that they ran
 * is left. */
static void
restart_workers (Rig *rig)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      if (worker->is_silent)
        continue;
      worker->boot += 100;
      worker->incarnation++;
      worker->n_tasks = 0;
      worker->n_ends = 0;
      worker->done_number = 0;
      worker->applied = 0;
    }
}

/* Replaces the owner by one that knows the job and @p silent, which all owners since have kept if
 * @p is_kept. */
static void
replace_owner_with (Rig *rig, const Batch__Silent *silent, gboolean is_kept)
{
  const SchedOptions options = { .report_age_max_ms = 1300,
                                 .lease_expiry_ms = RIG_EXPIRY_MS,
                                 .gang_timeout_ms = 3000,
                                 .note = rig_note,
                                 .ctx = rig };

  sched_free (rig->sched);
  rig->sched = sched_new (&options);
  sched_set_config (rig->sched, rig->config);
  sched_begin_term (rig->sched, 2, rig->now_us + RIG_EXPIRY_MS * 1000);
  rig_add_job_as (rig, JOB_A, "urgent", STEPS, TRUE);
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      (void) sched_add_agent (rig->sched, rig->workers[i].name);
      rig->workers[i].done_number = 0;
      rig->workers[i].applied = 0;
    }
  if (silent != NULL)
    sched_restore_silent (rig->sched, silent, is_kept);
}

static void
replace_owner (Rig *rig, const Batch__Silent *silent)
{
  replace_owner_with (rig, silent, TRUE);
}

static void
assert_no_task_runs_twice (const Rig *rig)
{
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      for (uint32_t k = 0; k < rig->workers[i].n_tasks; k++)
        assert_true (g_hash_table_add (names, (gpointer) rig->workers[i].tasks[k].name));
    }
}

/* Four workers with six tasks each, of which the last one has been silent for a while. */
static Rig *
rig_with_silent_worker (void)
{
  Rig *rig = rig_new (4);

  run_rounds (rig, 1);
  rig_add_job (rig, JOB_A, "urgent", STEPS);
  run_rounds (rig, 2);
  assert_int_equal (rig_running (rig), 24);
  rig->workers[3].is_silent = TRUE;
  run_rounds (rig, SILENT_ROUNDS);
  return rig;
}

static void
silent_agent_is_published_with_its_tasks (void **state)
{
  Rig *rig = rig_with_silent_worker ();
  Batch__Silent *silent = publish (rig);

  (void) state;
  assert_non_null (silent);
  assert_int_equal (silent->n_agents, 1);
  assert_string_equal (silent->agents[0]->name, "w3");
  assert_int_equal (silent->agents[0]->n_tasks, rig->workers[3].n_tasks);
  assert_null (publish (rig));
  batch__silent__free_unpacked (silent, NULL);
  rig_free (rig);
}

/* All power is lost but for the silent worker's. */
static void
only_tasks_of_silent_agents_wait (void **state)
{
  Rig *rig = rig_with_silent_worker ();
  Batch__Silent *silent = publish (rig);
  uint32_t n_there = rig->workers[3].n_tasks;

  (void) state;
  restart_workers (rig);
  replace_owner (rig, silent);
  run_rounds (rig, 3);
  assert_int_equal (rig_running (rig), 24);
  assert_int_equal (rig->workers[3].n_tasks, n_there);
  assert_no_task_runs_twice (rig);
  rig->workers[3].n_tasks = 0; /* its leases expire */
  run_rounds (rig, EXPIRY_ROUNDS);
  assert_int_equal (rig_running (rig), 24);
  batch__silent__free_unpacked (silent, NULL);
  rig_free (rig);
}

static void
all_tasks_wait_without_a_record (void **state)
{
  Rig *rig = rig_with_silent_worker ();
  uint32_t n_there = rig->workers[3].n_tasks;

  (void) state;
  restart_workers (rig);
  replace_owner (rig, NULL);
  run_rounds (rig, 3);
  assert_int_equal (rig_running (rig), n_there);
  rig_free (rig);
}

/* A published agent that reports again gets nothing until the ledger says so: until then a
 * successor would start its tasks elsewhere. */
static void
nothing_starts_at_a_published_agent (void **state)
{
  Rig *rig = rig_with_silent_worker ();
  Batch__Silent *silent = publish (rig);

  (void) state;
  rig->workers[3].is_silent = FALSE;
  rig_add_job (rig, JOB_B, "urgent", "{\"count\":8,\"cpu\":2000}");
  uint32_t n_before = rig->workers[3].n_tasks;
  run_rounds (rig, 2);
  assert_int_equal (rig->workers[3].n_tasks, n_before);
  g_autoptr (GBytes) bytes = sched_publish_silent (rig->sched);
  assert_non_null (bytes);
  run_rounds (rig, 2);
  assert_int_equal (rig->workers[3].n_tasks, n_before);
  sched_end_publish (rig->sched, FALSE);
  run_rounds (rig, 2);
  assert_int_equal (rig->workers[3].n_tasks, n_before);
  Batch__Silent *empty = publish (rig);
  assert_non_null (empty);
  assert_int_equal (empty->n_agents, 0);
  run_rounds (rig, 2);
  assert_true (rig->workers[3].n_tasks > n_before);
  batch__silent__free_unpacked (empty, NULL);
  batch__silent__free_unpacked (silent, NULL);
  rig_free (rig);
}

/** Bounds of the published record; with more silent agents a successor waits for the reports of
 * all. */
#define AGENTS_MAX 16
#define TASKS_MAX 64

static void
record_is_empty_beyond_its_number_of_agents (void **state)
{
  Rig *rig = rig_new (AGENTS_MAX + 2);

  (void) state;
  run_rounds (rig, 1);
  for (uint32_t i = 0; i < AGENTS_MAX; i++)
    rig->workers[i].is_silent = TRUE;
  run_rounds (rig, SILENT_ROUNDS);
  Batch__Silent *silent = publish (rig);
  assert_non_null (silent);
  assert_int_equal (silent->n_agents, AGENTS_MAX);
  batch__silent__free_unpacked (silent, NULL);
  rig->workers[AGENTS_MAX].is_silent = TRUE;
  run_rounds (rig, SILENT_ROUNDS);
  silent = publish (rig);
  assert_non_null (silent);
  assert_int_equal (silent->n_agents, 0);
  assert_null (publish (rig));
  batch__silent__free_unpacked (silent, NULL);
  rig_free (rig);
}

static void
agent_with_too_many_tasks_is_not_published (void **state)
{
  (void) state;
  for (uint32_t n_tasks = TASKS_MAX; n_tasks <= TASKS_MAX + 1; n_tasks++)
    {
      Rig *rig = rig_new (1);
      g_autofree char *steps = g_strdup_printf ("{\"count\":%u,\"cpu\":100}", n_tasks);
      run_rounds (rig, 1);
      rig_add_job (rig, JOB_A, "urgent", steps);
      run_rounds (rig, 2);
      assert_int_equal (rig_running (rig), n_tasks);
      rig->workers[0].is_silent = TRUE;
      run_rounds (rig, SILENT_ROUNDS);
      Batch__Silent *silent = publish (rig);
      assert_int_equal (silent != NULL, n_tasks <= TASKS_MAX);
      if (silent != NULL)
        batch__silent__free_unpacked (silent, NULL);
      rig_free (rig);
    }
}

/* Before an agent has reported to the new owner, what runs there is not known. */
static void
agent_that_never_reported_is_not_published (void **state)
{
  Rig *rig = rig_with_silent_worker ();

  (void) state;
  replace_owner (rig, NULL);
  run_rounds (rig, SILENT_ROUNDS);
  Batch__Silent *silent = publish (rig);
  assert_null (silent);
  run_rounds (rig, EXPIRY_ROUNDS);
  silent = publish (rig);
  assert_non_null (silent);
  assert_int_equal (silent->agents[0]->n_tasks, 0);
  batch__silent__free_unpacked (silent, NULL);
  rig_free (rig);
}

/* A successor that is lost before it wrote anything hands on what it was told. */
static void
record_outlasts_a_second_change (void **state)
{
  Rig *rig = rig_with_silent_worker ();
  Batch__Silent *silent = publish (rig);
  uint32_t n_there = rig->workers[3].n_tasks;

  (void) state;
  restart_workers (rig);
  replace_owner (rig, silent);
  run_rounds (rig, 1);
  rig->workers[3].is_silent = FALSE;
  run_rounds (rig, 2);
  assert_int_equal (rig->workers[3].n_tasks, n_there);
  rig->workers[3].is_silent = TRUE;
  restart_workers (rig);
  replace_owner (rig, silent);
  run_rounds (rig, 3);
  assert_int_equal (rig_running (rig), 24);
  assert_no_task_runs_twice (rig);
  batch__silent__free_unpacked (silent, NULL);
  rig_free (rig);
}

/* The owner in between is of a build that does not know the record: it starts tasks at the agent.
 */
static void
record_is_not_relied_on_after_an_owner_that_does_not_keep_it (void **state)
{
  Rig *rig = rig_with_silent_worker ();
  Batch__Silent *silent = publish (rig);

  (void) state;
  rig->workers[3].is_silent = FALSE;
  replace_owner (rig, NULL);
  run_rounds (rig, 2);
  rig->workers[0].incarnation++;
  rig->workers[0].n_tasks = 0;
  rig->workers[0].is_draining = TRUE;
  run_rounds (rig, 3);
  assert_true (rig->workers[3].n_tasks > silent->agents[0]->n_tasks);
  rig->workers[0].is_draining = FALSE;
  rig->workers[3].is_silent = TRUE;
  replace_owner_with (rig, silent, FALSE);
  run_rounds (rig, 3);
  assert_no_task_runs_twice (rig);
  batch__silent__free_unpacked (silent, NULL);
  rig_free (rig);
}

/* Guards against: a new owner learned of an earlier run of a task, found it gone, and started the
 * task beside a later run at an agent that had not reported yet. */
static void
task_whose_reported_run_is_gone_waits_for_the_other_agents (void **state)
{
  Rig *rig = rig_with_silent_worker ();
  RigWorker *first = &rig->workers[0];
  RigTask *later = &rig->workers[3].tasks[0];

  (void) state;
  /* The agent still lists a run that it was told to stop, and its end was acknowledged. */
  first->tasks[first->n_tasks++] = *later;
  later->run++;
  replace_owner (rig, NULL);
  run_rounds (rig, 1);
  first->n_tasks--;
  for (int i = 0; i < 5; i++)
    {
      run_rounds (rig, 1);
      assert_no_task_runs_twice (rig);
    }
  /* It runs again after the lease of the later run. */
  rig->workers[3].n_tasks = 0;
  run_rounds (rig, EXPIRY_ROUNDS);
  assert_int_equal (rig_running (rig), 24);
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (silent_agent_is_published_with_its_tasks),
    cmocka_unit_test (only_tasks_of_silent_agents_wait),
    cmocka_unit_test (all_tasks_wait_without_a_record),
    cmocka_unit_test (nothing_starts_at_a_published_agent),
    cmocka_unit_test (record_is_empty_beyond_its_number_of_agents),
    cmocka_unit_test (agent_with_too_many_tasks_is_not_published),
    cmocka_unit_test (agent_that_never_reported_is_not_published),
    cmocka_unit_test (record_outlasts_a_second_change),
    cmocka_unit_test (record_is_not_relied_on_after_an_owner_that_does_not_keep_it),
    cmocka_unit_test (task_whose_reported_run_is_gone_waits_for_the_other_agents),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
