/* Jobs that are open when the operators remove their queue, or give it other terms. */
#include "batch/terms.h"
#include "rig.h"

#include <math.h>

#define SERVING "00000000000000a1"
#define FILLING "00000000000000b1"
#define CHAIN "00000000000000c1"
#define SERVING_STEP                                                                               \
  "{\"count\":1,\"cpu\":4000,\"long_running\":true,\"target_ms\":50,\"image\":\"s\"}"
#define FILLING_STEP                                                                               \
  "{\"count\":1,\"cpu\":2000,\"fills\":true,\"checkpointing\":true,\"image\":\"f\"}"
#define CHAIN_STEPS "{\"count\":1,\"cpu\":1000},{\"count\":1,\"cpu\":1000,\"after\":[0]}"

/* Replaces the configuration by one that has the queue "bulk" only if @p bulk_service is set. */
static void
replace_config (Rig *rig, const char *bulk_service)
{
  QueueConfig *before = rig->config;

  rig->config = queue_config_new (before->version + 1);
  rig_add_queue (rig, "urgent", 0, 2);
  if (bulk_service != NULL)
    {
      rig_add_queue (rig, "bulk", 2, 2);
      Queue *bulk = g_ptr_array_index (rig->config->queues, 1);
      g_free (bulk->service);
      bulk->service = g_strdup (bulk_service);
    }
  sched_set_config (rig->sched, rig->config);
  queue_config_free (before);
}

static void
set_tails (Rig *rig, int64_t tail_ms)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      for (uint32_t k = 0; k < worker->n_tasks; k++)
        {
          if (strncmp (worker->tasks[k].name, SERVING, JOB_ID_CHARS) != 0)
            continue;
          worker->tasks[k].percent = 100;
          worker->tasks[k].measurement = tail_ms;
        }
    }
}

static void
rounds (Rig *rig, int n_rounds)
{
  for (int i = 0; i < n_rounds; i++)
    rig_round (rig, 100, TRUE);
}

static Batch__Terms
bulk_terms (void)
{
  Batch__Terms terms = BATCH__TERMS__INIT;

  terms.service = (char *) "service";
  terms.priority = 2;
  terms.attempts_max = 2;
  terms.stretch = 2.0;
  terms.target_ms = 1000;
  return terms;
}

/* Adds the job of two steps as a later owner reads it from the ledger. */
static void
add_chain (Rig *rig, const Batch__Terms *terms)
{
  const char *body = "{\"spec\":\"s\",\"steps\":[" CHAIN_STEPS "]}";
  g_autoptr (GError) error = NULL;
  Batch__Progress *progress = rig_progress_record (rig, CHAIN);
  const SchedNewJob job = { .id = CHAIN,
                            .queue = "bulk",
                            .accepted_wall_ms = rig->now_us / 1000,
                            .spec = caller_decode_job (body, strlen (body), &error),
                            .progress = progress,
                            .terms = terms,
                            .may_have_started = TRUE };

  assert_non_null (job.spec);
  sched_add_job (rig->sched, &job);
  if (progress != NULL)
    batch__progress__free_unpacked (progress, NULL);
}

/* Guards against: the owner ended with SIGSEGV when it looked for another worker for a paused task
 * of a removed queue. */
static void
owner_survives_paused_task_of_removed_queue (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  rig_add_job (rig, SERVING, "urgent", SERVING_STEP);
  rig_add_job (rig, FILLING, "bulk", FILLING_STEP);
  rounds (rig, 1);
  set_tails (rig, 10);
  rounds (rig, 10);
  assert_int_equal (rig_running (rig), 2);
  replace_config (rig, NULL);
  rig_add_worker (rig);
  for (int i = 0; i < 30; i++)
    {
      set_tails (rig, rig_worker_of (rig, FILLING ".0.0.0") == &rig->workers[0] ? 80 : 10);
      rounds (rig, 1);
    }
  assert_ptr_equal (rig_worker_of (rig, SERVING ".0.0.0"), &rig->workers[0]);
  assert_ptr_equal (rig_worker_of (rig, FILLING ".0.0.0"), &rig->workers[1]);
  rig_free (rig);
}

/* Guards against: an accepted job was never finished once its queue was removed. */
static void
job_of_removed_queue_is_finished (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, CHAIN, "bulk", CHAIN_STEPS);
  rounds (rig, 2);
  replace_config (rig, NULL);
  rig_end (rig_worker_of (rig, CHAIN ".0.0.0"), CHAIN ".0.0.0", WORKER_END_DONE);
  rounds (rig, 3);
  assert_non_null (rig_worker_of (rig, CHAIN ".0.1.0"));
  rig_end (rig_worker_of (rig, CHAIN ".0.1.0"), CHAIN ".0.1.0", WORKER_END_DONE);
  rounds (rig, 2);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

/* Guards against: failures of tasks of a removed queue were not counted against its attempts. */
static void
attempts_of_removed_queue_still_count (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, CHAIN, "bulk", CHAIN_STEPS);
  rounds (rig, 2);
  replace_config (rig, NULL);
  for (int i = 0; i < 2; i++)
    {
      assert_non_null (rig_worker_of (rig, CHAIN ".0.0.0"));
      rig_end (rig_worker_of (rig, CHAIN ".0.0.0"), CHAIN ".0.0.0", WORKER_END_FAILED);
      rounds (rig, 3);
    }
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  assert_int_equal (rig_running (rig), 0);
  rig_free (rig);
}

/* Guards against: a later owner, which never saw the queue, could not go on with its jobs. */
static void
later_owner_finishes_job_by_its_recorded_terms (void **state)
{
  Rig *rig = rig_new (2);
  const Batch__Terms terms = bulk_terms ();

  (void) state;
  rig_add_job (rig, CHAIN, "bulk", CHAIN_STEPS);
  rounds (rig, 2);
  replace_config (rig, NULL);
  rig_replace_owner (rig, 2);
  add_chain (rig, &terms);
  rounds (rig, 2);
  rig_end (rig_worker_of (rig, CHAIN ".0.0.0"), CHAIN ".0.0.0", WORKER_END_DONE);
  rounds (rig, 3);
  assert_non_null (rig_worker_of (rig, CHAIN ".0.1.0"));
  rig_free (rig);
}

/* Guards against: a later owner stopped or restarted tasks of a removed queue of which only an
 * older build's record, without terms, is left. */
static void
tasks_without_terms_run_on_and_nothing_is_started (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, CHAIN, "bulk", CHAIN_STEPS);
  rounds (rig, 2);
  uint32_t n_starts = rig->n_starts;
  replace_config (rig, NULL);
  rig_replace_owner (rig, 2);
  add_chain (rig, NULL);
  rounds (rig, 50);
  assert_non_null (rig_worker_of (rig, CHAIN ".0.0.0"));
  assert_int_equal (rig->n_stops, 0);
  rig_end (rig_worker_of (rig, CHAIN ".0.0.0"), CHAIN ".0.0.0", WORKER_END_FAILED);
  rounds (rig, 50);
  assert_int_equal (rig->n_starts, n_starts);
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  replace_config (rig, "service");
  rounds (rig, 3);
  assert_int_equal (rig->n_starts, n_starts + 1);
  rig_free (rig);
}

/* Guards against: a task that had used up its attempts while its terms were not known was started
 * again when its queue returned. */
static void
attempts_used_up_without_terms_count_later (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, CHAIN, "bulk", CHAIN_STEPS);
  rounds (rig, 2);
  rig_end (rig_worker_of (rig, CHAIN ".0.0.0"), CHAIN ".0.0.0", WORKER_END_FAILED);
  rounds (rig, 3);
  replace_config (rig, NULL);
  rig_replace_owner (rig, 2);
  add_chain (rig, NULL);
  rounds (rig, 50);
  uint32_t n_starts = rig->n_starts;
  assert_non_null (rig_worker_of (rig, CHAIN ".0.0.0"));
  rig_end (rig_worker_of (rig, CHAIN ".0.0.0"), CHAIN ".0.0.0", WORKER_END_FAILED);
  rounds (rig, 3);
  assert_int_equal (sched_open_jobs (rig->sched), 1);
  replace_config (rig, "service");
  rounds (rig, 3);
  assert_int_equal (rig->n_starts, n_starts);
  assert_int_equal (sched_open_jobs (rig->sched), 0);
  rig_free (rig);
}

/* Guards against: a queue that returned with another service kept its old terms. */
static void
job_follows_queue_that_returns (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  (void) g_strlcpy (rig->workers[1].service, "other", sizeof rig->workers[1].service);
  rig_add_job (rig, CHAIN, "bulk", CHAIN_STEPS);
  rounds (rig, 2);
  assert_ptr_equal (rig_worker_of (rig, CHAIN ".0.0.0"), &rig->workers[0]);
  replace_config (rig, NULL);
  rounds (rig, 2);
  replace_config (rig, "other");
  rig_end (&rig->workers[0], CHAIN ".0.0.0", WORKER_END_DONE);
  rounds (rig, 3);
  assert_ptr_equal (rig_worker_of (rig, CHAIN ".0.1.0"), &rig->workers[1]);
  rig_free (rig);
}

/* Guards against: a configuration that was withdrawn altogether left jobs without terms. */
static void
jobs_outlive_the_configuration (void **state)
{
  Rig *rig = rig_new (2);

  (void) state;
  rig_add_job (rig, CHAIN, "bulk", CHAIN_STEPS);
  sched_set_config (rig->sched, NULL);
  queue_config_free (rig->config);
  rig->config = NULL;
  rounds (rig, 3);
  assert_non_null (rig_worker_of (rig, CHAIN ".0.0.0"));
  rig_free (rig);
}

/* Steps of every kind; those of the first N_ENDLESS run until they are cancelled. */
static const char *const kinds[]
    = { SERVING_STEP,
        "{\"count\":2,\"cpu\":500,\"long_running\":true,\"max_per_server\":1}",
        FILLING_STEP,
        "{\"count\":3,\"cpu\":3000,\"gang\":true,\"checkpointing\":true}",
        "{\"count\":2,\"cpu\":1000,\"speculative\":true}",
        "{\"count\":9,\"cpu\":4000,\"required_label\":\"r0\"}",
        CHAIN_STEPS };
#define N_ENDLESS 2

static void
change_something (Rig *rig, GRand *rand)
{
  RigWorker *worker = &rig->workers[g_rand_int_range (rand, 0, (gint32) rig->n_workers)];
  const char *const services[] = { NULL, NULL, "service" };

  switch (g_rand_int_range (rand, 0, 6))
    {
    case 0:
      replace_config (rig, services[g_rand_int_range (rand, 0, 3)]);
      break;
    case 1:
      rig_crash (rig, worker);
      break;
    case 2:
      worker->cpu_m = g_rand_int_range (rand, 4, 17) * 1000;
      break;
    case 3:
      set_tails (rig, g_rand_int_range (rand, 5, 120));
      break;
    default:
      if (worker->n_tasks > 0)
        rig_end (worker, worker->tasks[g_rand_int_range (rand, 0, (gint32) worker->n_tasks)].name,
                 g_rand_int_range (rand, 0, 5) > 0 ? WORKER_END_DONE : WORKER_END_FAILED);
    }
}

/* Guards against: some decision about tasks of one kind does not expect a queue that was removed.
 */
static void
tasks_of_every_kind_outlive_their_queue (void **state)
{
  (void) state;
  for (guint32 seed = 1; seed <= 60; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      Rig *rig = rig_new_sharing (4, SHARES_QUEUE);
      for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
        {
          g_autofree char *id = g_strdup_printf ("00000000000000a%u", i + 1);
          rig_add_job (rig, id, "bulk", kinds[i]);
        }
      for (int i = 0; i < 300; i++)
        {
          change_something (rig, rand);
          rig_round (rig, 100, TRUE);
        }
      replace_config (rig, NULL);
      for (int i = 0; i < 400 && sched_open_jobs (rig->sched) > N_ENDLESS; i++)
        {
          RigWorker *worker = &rig->workers[i % 4];
          worker->cpu_m = RIG_CPU_M;
          for (uint32_t k = worker->n_tasks; k-- > 0;)
            {
              if (strncmp (worker->tasks[k].name, "00000000000000a2", JOB_ID_CHARS) > 0)
                rig_end (worker, worker->tasks[k].name, WORKER_END_DONE);
            }
          rig_round (rig, 100, TRUE);
        }
      assert_in_range (sched_open_jobs (rig->sched), 0, N_ENDLESS);
      rig_free (rig);
    }
}

/* Guards against: terms of a damaged record that no configuration could have. */
static void
recorded_terms_are_brought_into_range (void **state)
{
  Batch__Terms terms = bulk_terms ();
  const Queue *queue = NULL;

  (void) state;
  queue = terms_to_queue (&terms, "bulk");
  assert_string_equal (queue->name, "bulk");
  assert_string_equal (queue->service, "service");
  assert_int_equal (queue->priority, 2);
  assert_int_equal (queue->attempts_max, 2);
  assert_true (queue->stretch == 2.0);
  assert_int_equal (queue->target_ms, 1000);
  queue_unref (queue);
  terms.priority = G_MAXUINT32;
  terms.attempts_max = 0;
  terms.stretch = (double) NAN;
  terms.target_ms = INT64_MIN;
  queue = terms_to_queue (&terms, "bulk");
  assert_int_equal (queue->priority, G_MAXINT32);
  assert_int_equal (queue->attempts_max, 1);
  assert_true (queue->stretch == 1.0);
  assert_int_equal (queue->target_ms, 0);
  queue_unref (queue);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (owner_survives_paused_task_of_removed_queue),
    cmocka_unit_test (job_of_removed_queue_is_finished),
    cmocka_unit_test (attempts_of_removed_queue_still_count),
    cmocka_unit_test (later_owner_finishes_job_by_its_recorded_terms),
    cmocka_unit_test (tasks_without_terms_run_on_and_nothing_is_started),
    cmocka_unit_test (attempts_used_up_without_terms_count_later),
    cmocka_unit_test (job_follows_queue_that_returns),
    cmocka_unit_test (jobs_outlive_the_configuration),
    cmocka_unit_test (tasks_of_every_kind_outlive_their_queue),
    cmocka_unit_test (recorded_terms_are_brought_into_range),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
