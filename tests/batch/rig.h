/**
 * @file rig.h
 * Test rig: a scheduler with in-memory workers, which execute orders immediately. Time is
 * simulated.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "batch/sched.h"
#include "platform/caller.h"
#include "platform/runner.h"

#define RIG_WORKERS_MAX 24
#define RIG_TASKS_MAX 512
#define RIG_CPU_M 16000
#define RIG_MEM_MB 64000
#define RIG_GRANT_MS 3000
#define RIG_EXPIRY_MS 3300

typedef struct
{
  char name[40];
  int64_t run;
  int64_t percent;
  int64_t measurement;
  uint32_t cpu_limit;
  gboolean is_stopping;
  int64_t started_us;
  int64_t needs_cpu_m; /**< of all tasks there, as the order to start it said; -1: it did not */
  int64_t needs_mem_mb;
} RigTask;

/** A run that was lost when its worker crashed. */
typedef struct
{
  uint64_t number;
  char name[40];
  int64_t run;
  int64_t age_ms;
  uint32_t n_others;
  uint64_t incarnation;
  int64_t crash_us;
} RigCrash;

typedef struct
{
  int64_t number;
  char name[40];
  int64_t run;
  WorkerEndHow how;
} RigEnd;

typedef struct
{
  char name[16];
  char service[16];
  char rack[16];
  char data_centre[16];
  uint64_t boot;
  uint64_t incarnation;
  uint64_t done_number;
  int64_t next_end;
  int64_t ends_acked;
  uint32_t ends_listed_max; /**< most ends of one report; 0: all */
  gboolean is_silent;
  gboolean refuses_starts;
  gboolean is_draining;
  int64_t looked_us; /**< when its agent last looked at its runs; 0: not reported */
  int64_t cpu_m;     /**< capacity */
  int64_t mem_mb;
  uint64_t version;                /**< version of its newest report */
  uint64_t applied;                /**< report version that the owner applied */
  RigTask reported[RIG_TASKS_MAX]; /**< runs in the report of that version */
  uint32_t n_reported;
  RigTask sent[RIG_TASKS_MAX]; /**< runs in the newest report */
  uint32_t n_sent;
  RigTask dropped[RIG_TASKS_MAX]; /**< starts that were forbidden, until a report has them */
  uint32_t n_dropped;
  RigTask tasks[RIG_TASKS_MAX];
  uint32_t n_tasks;
  RigEnd ends[RIG_TASKS_MAX];
  uint32_t n_ends;
  RigCrash crashes[RIG_TASKS_MAX];
  uint32_t n_crashes;
  uint64_t crashes_acked;
} RigWorker;

typedef struct
{
  Sched *sched;
  QueueConfig *config;
  int64_t now_us;
  RigWorker workers[RIG_WORKERS_MAX];
  uint32_t n_workers;
  uint32_t n_starts;
  uint32_t n_stops;
  size_t message_bytes_max;     /**< largest message with orders */
  gboolean loses_orders;        /**< no agent receives any */
  gboolean sends_changes;       /**< reports contain the changes since the one that was applied */
  gboolean is_stalled;          /**< tasks make no progress */
  gboolean reports_cpu_limits;  /**< agents report the CPU limits of tasks */
  const char *refused_task;     /**< all workers refuse this one as malformed */
  gboolean has_slow_stops;      /**< a stopped task ends in the next round */
  gboolean reserves_gaps;       /**< a worker is kept for a large task that waits */
  SharesBy shares_by;           /**< what makes up the origins that share processors */
  const char *data_centre;      /**< of the entry that accepts the next jobs; NULL: not known */
  gboolean is_older_build;      /**< agents do not report crashes */
  GHashTable *crash_records;    /**< job -> newest written record of its crashes */
  GHashTable *progress_records; /**< job -> newest written record of its progress */
  GString *notes;               /**< "event text" of each decision that was logged, a line each */
} Rig;

static inline void
rig_note (void *ctx, const char *event, const char *job, const char *text)
{
  (void) job;
  g_string_append_printf (((Rig *) ctx)->notes, "%s %s\n", event, text);
}

static inline void
rig_add_queue (Rig *rig, const char *name, uint32_t priority, uint32_t attempts_max)
{
  Queue *queue = queue_new ();

  queue->name = g_strdup (name);
  queue->host = g_strdup ("host.example");
  queue->prefix = g_strdup_printf ("/%s/", name);
  queue->service = g_strdup ("service");
  queue->priority = priority;
  queue->attempts_max = attempts_max;
  queue->stretch = 2.0;
  queue->target_ms = 1000;
  queue_config_add (rig->config, queue);
}

static inline void
rig_add_worker (Rig *rig)
{
  RigWorker *worker = &rig->workers[rig->n_workers];

  (void) g_snprintf (worker->name, sizeof worker->name, "w%u", rig->n_workers);
  (void) g_strlcpy (worker->service, "service", sizeof worker->service);
  (void) g_snprintf (worker->rack, sizeof worker->rack, "r%u", rig->n_workers / 2);
  (void) g_snprintf (worker->data_centre, sizeof worker->data_centre, "dc%u", rig->n_workers / 2);
  worker->boot = 100 + rig->n_workers;
  worker->incarnation = 1;
  worker->cpu_m = RIG_CPU_M;
  worker->mem_mb = RIG_MEM_MB;
  rig->n_workers++;
  sched_add_agent (rig->sched, worker->name);
}

static inline SchedOptions
rig_options (Rig *rig)
{
  return (SchedOptions){ .report_age_max_ms = 1300,
                         .lease_expiry_ms = RIG_EXPIRY_MS,
                         .gang_timeout_ms = 3000,
                         .reserves_gaps = rig->reserves_gaps,
                         .shares_by = rig->shares_by,
                         .note = rig_note,
                         .started = NULL,
                         .ended = NULL,
                         .ctx = rig };
}

static inline Rig *
rig_open (Rig *rig, uint32_t n_workers)
{
  const SchedOptions options = rig_options (rig);
  rig->notes = g_string_new (NULL);
  rig->progress_records
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  rig->crash_records
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  rig->sched = sched_new (&options);
  rig->config = queue_config_new (1);
  (void) queue_config_add_service (rig->config, "service");
  rig_add_queue (rig, "urgent", 0, 2);
  rig_add_queue (rig, "bulk", 2, 2);
  rig->now_us = 1000 * 1000;
  sched_set_config (rig->sched, rig->config);
  sched_begin_term (rig->sched, 1, rig->now_us);
  for (uint32_t i = 0; i < n_workers; i++)
    rig_add_worker (rig);
  return rig;
}

static inline Rig *
rig_new_with (uint32_t n_workers, gboolean reserves_gaps)
{
  Rig *rig = g_new0 (Rig, 1);

  rig->reserves_gaps = reserves_gaps;
  return rig_open (rig, n_workers);
}

static inline Rig *
rig_new_sharing (uint32_t n_workers, SharesBy by)
{
  Rig *rig = g_new0 (Rig, 1);

  rig->shares_by = by;
  return rig_open (rig, n_workers);
}

static inline Rig *
rig_new (uint32_t n_workers)
{
  return rig_new_with (n_workers, FALSE);
}

static inline void
rig_free (Rig *rig)
{
  sched_free (rig->sched);
  queue_config_free (rig->config);
  g_string_free (rig->notes, TRUE);
  g_hash_table_destroy (rig->crash_records);
  g_hash_table_destroy (rig->progress_records);
  g_free (rig);
}

/** The written record of the job's crashes, or NULL; the caller frees it. */
static inline Batch__Crashes *
rig_crash_record (const Rig *rig, const char *id)
{
  GBytes *bytes = (GBytes *) g_hash_table_lookup (rig->crash_records, id);
  size_t size = 0;
  const void *data = bytes != NULL ? g_bytes_get_data (bytes, &size) : NULL;

  return size > 0 ? batch__crashes__unpack (NULL, size, (const uint8_t *) data) : NULL;
}

/** The same for the job's progress. */
static inline Batch__Progress *
rig_progress_record (const Rig *rig, const char *id)
{
  GBytes *bytes = (GBytes *) g_hash_table_lookup (rig->progress_records, id);
  size_t size = 0;
  const void *data = bytes != NULL ? g_bytes_get_data (bytes, &size) : NULL;

  return size > 0 ? batch__progress__unpack (NULL, size, (const uint8_t *) data) : NULL;
}

/** Adds a job from JSON steps; if @p may_have_started, a previous owner may have started it. */
static inline void
rig_add_job_as (
    Rig *rig, const char *id, const char *queue, const char *steps, gboolean may_have_started)
{
  g_autofree char *body = g_strdup_printf ("{\"spec\":\"s\",\"steps\":[%s]}", steps);
  JobSpec *spec = caller_decode_job (body, strlen (body), NULL);

  assert_non_null (spec);
  const SchedNewJob job = { .id = id,
                            .queue = queue,
                            .data_centre = rig->data_centre,
                            .accepted_wall_ms = rig->now_us / 1000,
                            .spec = spec,
                            .progress = rig_progress_record (rig, id),
                            .crashes = rig_crash_record (rig, id),
                            .terms = NULL,
                            .may_have_started = may_have_started };
  sched_add_job (rig->sched, &job);
  if (job.progress != NULL)
    batch__progress__free_unpacked ((Batch__Progress *) job.progress, NULL);
  if (job.crashes != NULL)
    batch__crashes__free_unpacked ((Batch__Crashes *) job.crashes, NULL);
}

static inline void
rig_add_job (Rig *rig, const char *id, const char *queue, const char *steps)
{
  rig_add_job_as (rig, id, queue, steps, FALSE);
}

static inline RigTask *
rig_find (RigWorker *worker, const char *name)
{
  for (uint32_t i = 0; i < worker->n_tasks; i++)
    {
      if (strcmp (worker->tasks[i].name, name) == 0)
        return &worker->tasks[i];
    }
  return NULL;
}

/** Ends a running task; the end is part of the next report. */
static inline void
rig_end (RigWorker *worker, const char *name, WorkerEndHow how)
{
  RigTask *task = rig_find (worker, name);
  RigEnd *end = &worker->ends[worker->n_ends++];

  assert_non_null (task);
  end->number = ++worker->next_end;
  (void) g_strlcpy (end->name, name, sizeof end->name);
  end->run = task->run;
  end->how = how;
  *task = worker->tasks[--worker->n_tasks];
}

/** The worker crashes and is back at once. */
static inline void
rig_crash (const Rig *rig, RigWorker *worker)
{
  for (uint32_t i = 0; i < worker->n_tasks; i++)
    {
      const RigTask *task = &worker->tasks[i];
      RigCrash *crash = &worker->crashes[worker->n_crashes++];
      crash->number = worker->n_crashes;
      (void) g_strlcpy (crash->name, task->name, sizeof crash->name);
      crash->run = task->run;
      crash->age_ms = (rig->now_us - task->started_us) / 1000;
      crash->n_others = worker->n_tasks - 1;
      crash->incarnation = worker->incarnation;
      crash->crash_us = rig->now_us;
    }
  worker->n_tasks = 0;
  worker->n_ends = 0;
  worker->next_end = 0;
  worker->ends_acked = 0;
  worker->applied = 0;
  worker->incarnation++;
}

/** Drops a start that is refused, or that the owner forbade meanwhile, as agents do. */
static inline void
rig_drop_start (RigWorker *worker, const Batch__Start *start)
{
  RigTask *task = &worker->dropped[worker->n_dropped++];

  (void) g_strlcpy (task->name, start->task, sizeof task->name);
  task->run = start->run;
}

static inline void
rig_execute (Rig *rig, RigWorker *worker, const Batch__Order *order, gboolean forbids_starts)
{
  if (order->number <= worker->done_number)
    return;
  worker->done_number = order->number;
  if (order->what_case == BATCH__ORDER__WHAT_START
      && (forbids_starts || worker->refuses_starts
          || g_strcmp0 (rig->refused_task, order->start->task) == 0))
    {
      rig_drop_start (worker, order->start);
      return;
    }
  if (order->what_case == BATCH__ORDER__WHAT_START)
    {
      RigTask *task = &worker->tasks[worker->n_tasks++];
      memset (task, 0, sizeof *task);
      (void) g_strlcpy (task->name, order->start->task, sizeof task->name);
      task->run = order->start->run;
      task->cpu_limit = 100;
      task->started_us = rig->now_us;
      task->needs_cpu_m = order->start->has_needs ? order->start->needs_cpu_m : -1;
      task->needs_mem_mb = order->start->has_needs ? order->start->needs_mem_mb : -1;
      rig->n_starts++;
    }
  else if (order->what_case == BATCH__ORDER__WHAT_STOP)
    {
      rig->n_stops++;
      RigTask *task = rig_find (worker, order->stop->task);
      if (task != NULL && rig->has_slow_stops)
        task->is_stopping = TRUE;
      else if (task != NULL)
        rig_end (worker, order->stop->task, WORKER_END_STOPPED);
    }
  else if (rig_find (worker, order->pace->task) != NULL)
    rig_find (worker, order->pace->task)->cpu_limit = order->pace->percent;
}

static inline gboolean
rig_has_run (const RigTask *tasks, uint32_t n_tasks, const RigTask *wanted)
{
  for (uint32_t i = 0; i < n_tasks; i++)
    {
      if (strcmp (tasks[i].name, wanted->name) == 0 && tasks[i].run == wanted->run)
        return TRUE;
    }
  return FALSE;
}

static inline void
rig_add_gone_run (const RigTask *task, Batch__Gone *gone, Batch__Gone **row)
{
  batch__gone__init (gone);
  gone->task = (char *) task->name;
  gone->run = task->run;
  *row = gone;
}

/** Adds the runs that were reported to the owner and no longer exist, and the dropped starts. */
static inline size_t
rig_add_gone (const RigWorker *worker, Batch__Gone *gone, Batch__Gone **rows)
{
  size_t n_gone = 0;

  for (uint32_t i = 0; i < worker->n_reported; i++)
    {
      if (rig_has_run (worker->tasks, worker->n_tasks, &worker->reported[i]))
        continue;
      rig_add_gone_run (&worker->reported[i], &gone[n_gone], &rows[n_gone]);
      n_gone++;
    }
  for (uint32_t i = 0; i < worker->n_dropped; i++)
    {
      rig_add_gone_run (&worker->dropped[i], &gone[n_gone], &rows[n_gone]);
      n_gone++;
    }
  return n_gone;
}

/** Adds the dropped starts as refused ones. */
static inline size_t
rig_add_refused (const Rig *rig,
                 const RigWorker *worker,
                 Batch__Refused *refused,
                 Batch__Refused **rows)
{
  for (uint32_t i = 0; i < worker->n_dropped; i++)
    {
      batch__refused__init (&refused[i]);
      refused[i].task = (char *) worker->dropped[i].name;
      refused[i].run = worker->dropped[i].run;
      refused[i].outcome = g_strcmp0 (rig->refused_task, worker->dropped[i].name) == 0
                               ? RUNNER_MALFORMED
                               : RUNNER_LEASE_EXPIRED;
      rows[i] = &refused[i];
    }
  return worker->n_dropped;
}

/** Adds the crashed runs that the owner has not written. */
static inline size_t
rig_add_crashes (const Rig *rig,
                 const RigWorker *worker,
                 Batch__Crash *crashes,
                 Batch__Crash **rows)
{
  size_t n_rows = 0;

  for (uint32_t i = 0; !rig->is_older_build && i < worker->n_crashes; i++)
    {
      const RigCrash *crash = &worker->crashes[i];
      if (crash->number <= worker->crashes_acked)
        continue;
      batch__crash__init (&crashes[n_rows]);
      crashes[n_rows].number = crash->number;
      crashes[n_rows].task = (char *) crash->name;
      crashes[n_rows].run = crash->run;
      crashes[n_rows].age_ms = crash->age_ms;
      crashes[n_rows].n_others = crash->n_others;
      crashes[n_rows].life = crash->incarnation;
      crashes[n_rows].ago_ms = (rig->now_us - crash->crash_us) / 1000;
      rows[n_rows] = &crashes[n_rows];
      n_rows++;
    }
  return n_rows;
}

static inline void
rig_report (Rig *rig, RigWorker *worker)
{
  Batch__Report report = BATCH__REPORT__INIT;
  Batch__Worker info = BATCH__WORKER__INIT;
  Batch__Running running[RIG_TASKS_MAX];
  Batch__Running *running_rows[RIG_TASKS_MAX];
  Batch__Ended ended[RIG_TASKS_MAX];
  Batch__Ended *ended_rows[RIG_TASKS_MAX];
  Batch__Gone gone[2 * RIG_TASKS_MAX];
  Batch__Gone *gone_rows[2 * RIG_TASKS_MAX];
  Batch__Refused refused[RIG_TASKS_MAX];
  Batch__Refused *refused_rows[RIG_TASKS_MAX];
  Batch__Crash crashes[RIG_TASKS_MAX];
  Batch__Crash *crash_rows[RIG_TASKS_MAX];
  char kind[] = "a";
  char *labels[] = { kind, worker->rack };

  info.id = worker->name;
  info.service = worker->service;
  info.data_centre = worker->data_centre;
  info.labels = labels;
  info.n_labels = 2;
  info.cpu_m = worker->cpu_m;
  info.mem_mb = worker->mem_mb;
  info.is_draining = worker->is_draining;
  report.worker = &info;
  report.boot = worker->boot;
  report.life = worker->incarnation;
  report.clock_us = rig->now_us;
  report.looked_us = worker->looked_us;
  report.done_number = worker->done_number;
  report.running = running_rows;
  report.ended = ended_rows;
  report.gone = gone_rows;
  report.refused = refused_rows;
  report.level = rig->is_older_build ? 0 : 1;
  report.crashes = crash_rows;
  report.n_crashes = rig_add_crashes (rig, worker, crashes, crash_rows);
  report.version = ++worker->version;
  report.since = rig->sends_changes ? worker->applied : 0;
  if (report.since != 0)
    report.n_gone = rig_add_gone (worker, gone, gone_rows);
  report.n_refused = rig_add_refused (rig, worker, refused, refused_rows);
  worker->n_dropped = 0;
  memcpy (worker->sent, worker->tasks, sizeof worker->tasks);
  worker->n_sent = worker->n_tasks;
  for (uint32_t i = 0; i < worker->n_tasks; i++)
    {
      if (!rig->is_stalled && worker->tasks[i].percent < 100)
        worker->tasks[i].percent++;
      batch__running__init (&running[i]);
      running[i].task = worker->tasks[i].name;
      running[i].run = worker->tasks[i].run;
      running[i].percent = (int32_t) worker->tasks[i].percent;
      running[i].figure = worker->tasks[i].measurement;
      running[i].pace_known = rig->reports_cpu_limits ? worker->tasks[i].cpu_limit + 1 : 0;
      running_rows[report.n_running++] = &running[i];
    }
  for (uint32_t i = 0; i < worker->n_ends; i++)
    {
      if (worker->ends[i].number <= worker->ends_acked)
        continue;
      report.has_more_ends
          = worker->ends_listed_max != 0 && report.n_ended >= worker->ends_listed_max;
      if (report.has_more_ends)
        break;
      batch__ended__init (&ended[i]);
      ended[i].number = worker->ends[i].number;
      ended[i].task = worker->ends[i].name;
      ended[i].run = worker->ends[i].run;
      ended[i].how = (uint32_t) worker->ends[i].how;
      ended_rows[report.n_ended++] = &ended[i];
    }
  sched_apply_report (rig->sched, worker->name, &report, rig->now_us);
}

static inline void
rig_keep_records (Rig *rig, const SchedFlush *flush)
{
  const GPtrArray *changes = sched_flush_changes (flush);

  for (guint i = 0; i < changes->len; i++)
    {
      const SchedChange *change = (const SchedChange *) g_ptr_array_index (changes, i);
      g_hash_table_replace (rig->progress_records, g_strdup (change->job),
                            g_bytes_ref (change->progress));
      if (change->crashes != NULL)
        g_hash_table_replace (rig->crash_records, g_strdup (change->job),
                              g_bytes_ref (change->crashes));
    }
}

/** Simulates a round of @p ms: reports, decisions, execution of orders. @p is_written is the result
 * of writing the progress. */
static inline void
rig_round (Rig *rig, int64_t ms, gboolean is_written)
{
  rig->now_us += ms * 1000;
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      for (uint32_t k = worker->n_tasks; k-- > 0;)
        {
          if (worker->tasks[k].is_stopping)
            rig_end (worker, worker->tasks[k].name, WORKER_END_STOPPED);
        }
      if (!rig->workers[i].is_silent)
        rig_report (rig, &rig->workers[i]);
    }
  sched_tick (rig->sched, rig->now_us, rig->now_us / 1000);
  SchedFlush *flush = sched_flush_begin (rig->sched);
  if (flush != NULL && is_written)
    rig_keep_records (rig, flush);
  if (flush != NULL)
    sched_flush_end (rig->sched, flush, is_written);
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      Batch__Orders orders = BATCH__ORDERS__INIT;
      RigWorker *worker = &rig->workers[i];
      if (!sched_orders (rig->sched, worker->name, &orders) || worker->is_silent)
        continue;
      rig->message_bytes_max
          = MAX (rig->message_bytes_max, batch__orders__get_packed_size (&orders));
      if (rig->loses_orders)
        continue;
      if (orders.agent_boot == 0)
        worker->applied = 0;
      if (orders.agent_boot != worker->boot)
        continue;
      worker->ends_acked = MAX (worker->ends_acked, orders.ends_kept);
      worker->crashes_acked = MAX (worker->crashes_acked, orders.crashes_kept);
      worker->applied = orders.report_taken;
      memcpy (worker->reported, worker->sent, sizeof worker->reported);
      worker->n_reported = worker->n_sent;
      if (orders.order_before > worker->done_number)
        continue;
      for (size_t k = 0; k < orders.n_orders; k++)
        rig_execute (rig, worker, orders.orders[k], orders.forbids_starts);
    }
}

/** Replaces the owner by one that knows no job; the agents go on. */
static inline void
rig_replace_owner (Rig *rig, uint64_t term)
{
  const SchedOptions options = rig_options (rig);

  sched_free (rig->sched);
  rig->sched = sched_new (&options);
  sched_set_config (rig->sched, rig->config);
  sched_begin_term (rig->sched, term, rig->now_us + RIG_EXPIRY_MS * 1000);
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      rig->workers[i].applied = 0;
      rig->workers[i].done_number = 0;
      sched_add_agent (rig->sched, rig->workers[i].name);
    }
}

/** Workers forget their ends once all of them are acknowledged. */
static inline void
rig_forget_ends (Rig *rig)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      if (worker->n_ends > 0 && worker->ends[worker->n_ends - 1].number <= worker->ends_acked)
        worker->n_ends = 0;
    }
}

static inline uint32_t
rig_running (const Rig *rig)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < rig->n_workers; i++)
    count += rig->workers[i].n_tasks;
  return count;
}

/** Worker that runs a task, or NULL. */
static inline RigWorker *
rig_worker_of (Rig *rig, const char *name)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      if (rig_find (&rig->workers[i], name) != NULL)
        return &rig->workers[i];
    }
  return NULL;
}
