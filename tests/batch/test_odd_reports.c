/* Reports, jobs and records with values that no worker, caller or owner of this build writes. */
#include <math.h>

#include "rig.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define TASK_A JOB_A ".0.0.0"
#define RUN_MAX (INT64_C (1) << 53)

/* The report of a worker that is altered by the test before it is applied. */
typedef struct
{
  Batch__Report report;
  Batch__Worker info;
  Batch__Running running;
  Batch__Running *running_row;
  Batch__Ended ended;
  Batch__Ended *ended_row;
} OddReport;

static void
odd_report_init (OddReport *odd, const Rig *rig, RigWorker *worker)
{
  static char label[] = "a";
  static char *labels[] = { label };

  batch__report__init (&odd->report);
  batch__worker__init (&odd->info);
  batch__running__init (&odd->running);
  batch__ended__init (&odd->ended);
  odd->info.id = worker->name;
  odd->info.service = worker->service;
  odd->info.data_centre = worker->data_centre;
  odd->info.labels = labels;
  odd->info.n_labels = 1;
  odd->info.cpu_m = RIG_CPU_M;
  odd->info.mem_mb = RIG_MEM_MB;
  odd->running.task = TASK_A;
  odd->running.run = 1;
  odd->ended.task = TASK_A;
  odd->ended.run = 1;
  odd->ended.number = 1;
  odd->report.worker = &odd->info;
  odd->report.boot = worker->boot;
  odd->report.life = worker->incarnation;
  odd->report.clock_us = rig->now_us;
  odd->report.version = ++worker->version;
  odd->running_row = &odd->running;
  odd->ended_row = &odd->ended;
  odd->report.running = &odd->running_row;
  odd->report.ended = &odd->ended_row;
}

static void
apply_and_tick (Rig *rig, const RigWorker *worker, const OddReport *odd)
{
  sched_apply_report (rig->sched, worker->name, &odd->report, rig->now_us);
  sched_tick (rig->sched, rig->now_us, rig->now_us / 1000);
}

/* Number of start orders for the agent; @p run, if not NULL, gets the run of the first one. */
static uint32_t
count_starts (const Rig *rig, const RigWorker *worker, int64_t *run)
{
  Batch__Orders orders = BATCH__ORDERS__INIT;
  uint32_t n_starts = 0;

  (void) sched_orders (rig->sched, worker->name, &orders);
  for (size_t i = 0; i < orders.n_orders; i++)
    {
      if (orders.orders[i]->what_case != BATCH__ORDER__WHAT_START)
        continue;
      if (run != NULL && n_starts == 0)
        *run = orders.orders[i]->start->run;
      n_starts++;
    }
  return n_starts;
}

/* Placing a best-effort task divides by the processors of its worker. */
static void
worker_without_processors_gets_no_best_effort_task (void **state)
{
  Rig *rig = rig_new (1);
  OddReport odd;

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"fills\":true}");
  odd_report_init (&odd, rig, &rig->workers[0]);
  odd.info.cpu_m = 0;
  apply_and_tick (rig, &rig->workers[0], &odd);
  assert_int_equal (count_starts (rig, &rig->workers[0], NULL), 0);
  rig_free (rig);
}

/* The next run number is one higher. */
static void
run_number_out_of_range_is_not_continued (void **state)
{
  Rig *rig = rig_new (1);
  OddReport odd;
  int64_t run = 0;

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":500}");
  odd_report_init (&odd, rig, &rig->workers[0]);
  odd.report.n_ended = 1;
  odd.ended.run = INT64_MAX;
  odd.ended.how = WORKER_END_STOPPED;
  apply_and_tick (rig, &rig->workers[0], &odd);
  assert_int_equal (count_starts (rig, &rig->workers[0], &run), 1);
  assert_in_range (run, 1, RUN_MAX);
  rig_free (rig);
}

/* The same for a run that is listed, and gone in the next report. */
static void
listed_run_out_of_range_is_not_adopted (void **state)
{
  Rig *rig = rig_new (1);
  OddReport odd;
  int64_t run = 0;

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":500}");
  odd_report_init (&odd, rig, &rig->workers[0]);
  odd.report.n_running = 1;
  odd.running.run = INT64_MAX;
  odd.running.percent = INT32_MIN;
  apply_and_tick (rig, &rig->workers[0], &odd);
  odd_report_init (&odd, rig, &rig->workers[0]);
  odd.report.done_number = 1;
  apply_and_tick (rig, &rig->workers[0], &odd);
  assert_int_equal (count_starts (rig, &rig->workers[0], &run), 1);
  assert_in_range (run, 1, RUN_MAX);
  rig_free (rig);
}

/* Ends with lower numbers count as applied. */
static void
end_number_out_of_range_does_not_hide_later_ends (void **state)
{
  Rig *rig = rig_new (1);
  OddReport odd;
  Batch__Orders orders = BATCH__ORDERS__INIT;

  (void) state;
  odd_report_init (&odd, rig, &rig->workers[0]);
  odd.report.n_ended = 1;
  odd.ended.number = INT64_MAX;
  apply_and_tick (rig, &rig->workers[0], &odd);
  SchedFlush *flush = sched_flush_begin (rig->sched);
  if (flush != NULL)
    sched_flush_end (rig->sched, flush, TRUE);
  (void) sched_orders (rig->sched, rig->workers[0].name, &orders);
  assert_int_equal (orders.ends_kept, 0);
  rig_free (rig);
}

/* Reports with an earlier clock or a lower version are out of order. */
static void
clock_and_version_out_of_range_do_not_hide_later_reports (void **state)
{
  (void) state;
  for (uint32_t i = 0; i < 3; i++)
    {
      Rig *rig = rig_new (1);
      OddReport odd;
      rig_add_job (rig, JOB_A, "urgent", "{\"count\":1,\"cpu\":500}");
      odd_report_init (&odd, rig, &rig->workers[0]);
      odd.info.is_draining = TRUE;
      if (i == 0)
        odd.report.clock_us = INT64_MAX;
      else if (i == 1)
        odd.report.clock_us = -1;
      else
        odd.report.version = UINT64_MAX;
      apply_and_tick (rig, &rig->workers[0], &odd);
      odd_report_init (&odd, rig, &rig->workers[0]);
      apply_and_tick (rig, &rig->workers[0], &odd);
      assert_int_equal (count_starts (rig, &rig->workers[0], NULL), 1);
      rig_free (rig);
    }
}

/* Sums of capacities must not overflow. */
static void
capacity_out_of_range_is_bounded (void **state)
{
  static const int64_t values[] = { INT64_MIN, INT64_MAX };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      Rig *rig = rig_new (2);
      OddReport odd;
      rig_add_job (rig, JOB_A, "urgent", "{\"count\":2,\"cpu\":500,\"fills\":true}");
      rig_add_job (rig, JOB_B, "bulk", "{\"count\":2,\"cpu\":500}");
      odd_report_init (&odd, rig, &rig->workers[0]);
      odd.info.cpu_m = odd.info.mem_mb = odd.info.gpus = values[i];
      sched_apply_report (rig->sched, rig->workers[0].name, &odd.report, rig->now_us);
      odd_report_init (&odd, rig, &rig->workers[1]);
      apply_and_tick (rig, &rig->workers[1], &odd);
      uint32_t n_odd = count_starts (rig, &rig->workers[0], NULL);
      assert_int_equal (n_odd + count_starts (rig, &rig->workers[1], NULL), 4);
      assert_true (values[i] > 0 || n_odd == 0);
      rig_free (rig);
    }
}

/* With all occurrences in memory, such a job could need more than there is. */
static void
due_occurrences_of_a_job_are_made_in_parts (void **state)
{
  static const char step[] = "{\"count\":10000}";
  Rig *rig = rig_new (1);
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"s\",\"repeat_count\":3,\"steps\":[%s,%s,%s,%s]}", step, step, step, step);
  JobSpec *spec = caller_decode_job (body, strlen (body), NULL);
  const SchedNewJob job = { .id = JOB_A, .queue = "urgent", .spec = spec };
  OddReport odd;

  (void) state;
  assert_non_null (spec);
  sched_add_job (rig->sched, &job);
  odd_report_init (&odd, rig, &rig->workers[0]);
  apply_and_tick (rig, &rig->workers[0], &odd);
  assert_in_range (count_starts (rig, &rig->workers[0], NULL), 1, JOB_TASKS_MAX);
  rig_free (rig);
}

/* Durations that were restored are written to the ledger again by each later owner. */
static void
learned_durations_that_are_no_numbers_are_not_restored (void **state)
{
  static const float values[] = { NAN, INFINITY, -INFINITY, 1e30F };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      Rig *rig = rig_new (1);
      Batch__Learned message = BATCH__LEARNED__INIT;
      Batch__QueueDurations row = BATCH__QUEUE_DURATIONS__INIT;
      Batch__QueueDurations *rows[] = { &row };
      row.queue = "urgent";
      row.count = 5;
      row.log_ms = values[i];
      row.log_ratio = values[i];
      message.queues = rows;
      message.n_queues = 1;
      sched_restore_learned (rig->sched, &message);
      g_autoptr (GBytes) bytes = sched_encode_learned (rig->sched);
      Batch__Learned *written
          = batch__learned__unpack (NULL, g_bytes_get_size (bytes), g_bytes_get_data (bytes, NULL));
      assert_non_null (written);
      assert_int_equal (written->n_queues, 0);
      batch__learned__free_unpacked (written, NULL);
      rig_free (rig);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (worker_without_processors_gets_no_best_effort_task),
    cmocka_unit_test (run_number_out_of_range_is_not_continued),
    cmocka_unit_test (listed_run_out_of_range_is_not_adopted),
    cmocka_unit_test (end_number_out_of_range_does_not_hide_later_ends),
    cmocka_unit_test (clock_and_version_out_of_range_do_not_hide_later_reports),
    cmocka_unit_test (capacity_out_of_range_is_bounded),
    cmocka_unit_test (learned_durations_that_are_no_numbers_are_not_restored),
    cmocka_unit_test (due_occurrences_of_a_job_are_made_in_parts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
