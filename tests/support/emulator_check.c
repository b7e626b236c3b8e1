/* The users' rules, judged by what the workers did. */
#include <string.h>

#include "batch/terms.h"
#include "support/emulator_private.h"

#define STEPS_MAX 3
#define TASKS_MAX 6
#define OCCURRENCES_MAX 3
/** Shortest and longest interval of jobs that repeat. */
#define INTERVAL_MIN_MS 200
#define INTERVAL_MAX_MS 5000
#define JOBS_MIN 5
#define JOBS_MAX 14
#define FLAKY_PERCENT 25
#define TIMEOUT_MS 900
#define RETRY_MS 150
#define CANCEL_PERCENT 10
#define CANCEL_DELAY_MAX_MS 6000

typedef struct
{
  int64_t end_us;
  int64_t number;
  EmuWorker *worker;
  uint64_t life;
  gboolean is_acknowledged;
} CheckEnd;

typedef struct
{
  char name[EMU_NAME_CHARS];
  struct CheckJob *job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t n_running;
  GArray *starts; /**< int64_t: times */
  GArray *done;   /**< CheckEnd */
  GArray *failed; /**< CheckEnd */
} CheckTask;

typedef struct CheckJob
{
  char id[JOB_ID_CHARS + 1];
  uint32_t n_occurrences;
  int64_t interval_ms; /**< 0: it does not repeat */
  uint32_t n_steps;
  uint32_t n_tasks[STEPS_MAX];
  int64_t cpu_m[STEPS_MAX];
  uint32_t per_worker_max[STEPS_MAX]; /**< 0: no limit */
  int64_t duration_ms[STEPS_MAX];
  uint32_t fail_percent;
  gboolean is_cancelled;
  CheckTask *tasks[OCCURRENCES_MAX][STEPS_MAX][TASKS_MAX];
} CheckJob;

struct EmuCheck
{
  GPtrArray *jobs;   /**< CheckJob */
  GHashTable *tasks; /**< name -> CheckTask, owned */
};

static void
task_free (gpointer data)
{
  CheckTask *task = data;

  g_array_unref (task->starts);
  g_array_unref (task->done);
  g_array_unref (task->failed);
  g_free (task);
}

EmuCheck *
emu_check_new (Emulator *emu)
{
  EmuCheck *check = g_new0 (EmuCheck, 1);

  (void) emu;
  check->jobs = g_ptr_array_new_with_free_func (g_free);
  check->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, task_free);
  return check;
}

void
emu_check_free (EmuCheck *check)
{
  g_hash_table_destroy (check->tasks);
  g_ptr_array_unref (check->jobs);
  g_free (check);
}

static void G_GNUC_PRINTF (3, 4) violate (Emulator *emu, const char *rule, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  if (strstr (emu->result->violations->str, text) != NULL)
    return;
  emu_trace (emu, "BROKEN", "%s %s", rule, text);
  g_string_append_printf (emu->result->violations, "%s at %" G_GINT64_FORMAT " ms: %s\n", rule,
                          emu->now_us / CLK_US_PER_MS, text);
}

static CheckTask *
find_task (const Emulator *emu, const char *name)
{
  return g_hash_table_lookup (emu->check->tasks, name);
}

static void
add_task (EmuCheck *check, CheckJob *job, uint32_t occurrence, uint32_t step, uint32_t index)
{
  CheckTask *task = g_new0 (CheckTask, 1);

  (void) g_snprintf (task->name, sizeof task->name, "%s.%u.%u.%u", job->id, occurrence, step,
                     index);
  task->job = job;
  task->occurrence = occurrence;
  task->step = step;
  task->starts = g_array_new (FALSE, FALSE, sizeof (int64_t));
  task->done = g_array_new (FALSE, FALSE, sizeof (CheckEnd));
  task->failed = g_array_new (FALSE, FALSE, sizeof (CheckEnd));
  job->tasks[occurrence][step][index] = task;
  g_hash_table_insert (check->tasks, task->name, task);
}

typedef struct
{
  Emulator *emu;
  GByteArray *records;
} Submission;

static void
submission_free (gpointer data)
{
  Submission *submission = data;

  g_byte_array_unref (submission->records);
  g_free (submission);
}

static void submit (gpointer ctx, gpointer data);

static void
on_submitted (void *ctx, const StoreAnswer *answer)
{
  Submission *submission = ctx;

  if (answer->outcome == STORE_OK)
    submission_free (submission);
  else
    emu_after (submission->emu, RETRY_MS * CLK_US_PER_MS, NULL, submit, NULL, submission, NULL);
}

/* An entry repeats a record until it is written. */
static void
submit (gpointer ctx, gpointer data)
{
  Submission *submission = data;
  EmuStoreCall *call = emu_store_call (submission->emu, EMU_STORE_APPEND, NULL);

  (void) ctx;
  call->records = g_byte_array_ref (submission->records);
  call->done = on_submitted;
  call->ctx = submission;
  emu_store_send (call, 0, TIMEOUT_MS);
}

static void
submit_after (Emulator *emu, int64_t delay_ms, GByteArray *records)
{
  Submission *submission = g_new0 (Submission, 1);

  *submission = (Submission){ emu, records };
  emu_after (emu, delay_ms * CLK_US_PER_MS, NULL, submit, NULL, submission, NULL);
}

static GByteArray *
encode_cancel (const CheckJob *job)
{
  g_autofree char *key = g_strconcat (LEDGER_CANCEL_PREFIX, job->id, NULL);
  Batch__Cancel cancel = BATCH__CANCEL__INIT;
  GByteArray *records = g_byte_array_new ();
  uint8_t data[32];

  cancel.wall_ms = EMU_WALL_MS;
  store_add_record (records, key, data, batch__cancel__pack (&cancel, data));
  return records;
}

static GByteArray *
encode_job (const Emulator *emu, const CheckJob *job, int64_t at_ms)
{
  g_autoptr (GString) body = g_string_new ("{\"spec\":\"s\",\"steps\":[");
  g_autofree char *key = g_strconcat (LEDGER_JOB_PREFIX, job->id, NULL);
  Batch__Submission submission = BATCH__SUBMISSION__INIT;
  Batch__Terms terms = BATCH__TERMS__INIT;
  GByteArray *records = g_byte_array_new ();
  uint8_t data[1024];
  char queue[] = "bulk";

  for (uint32_t i = 0; i < job->n_steps; i++)
    g_string_append_printf (
        body,
        "%s{\"count\":%u,\"cpu\":%" G_GINT64_FORMAT
        ",\"mem_mb\":64,\"max_per_server\":%u,\"estimate_ms\":%" G_GINT64_FORMAT "%s}",
        i > 0 ? "," : "", job->n_tasks[i], job->cpu_m[i], job->per_worker_max[i],
        job->duration_ms[i], i > 0 ? ",\"after\":[0]" : "");
  g_string_append_c (body, ']');
  if (job->interval_ms != 0)
    g_string_append_printf (body,
                            ",\"repeat_count\":%u,\"start_at_ms\":%" G_GINT64_FORMAT
                            ",\"interval_ms\":%" G_GINT64_FORMAT,
                            job->n_occurrences, EMU_WALL_MS + at_ms, job->interval_ms);
  g_string_append_c (body, '}');
  submission.queue = queue;
  submission.accepted_wall_ms = EMU_WALL_MS + at_ms;
  submission.body.data = (uint8_t *) body->str;
  submission.body.len = body->len;
  terms_init (&terms, queue_config_find (emu->config, queue));
  submission.terms = emu->options.has_older_builds ? NULL : &terms;
  store_add_record (records, key, data, batch__submission__pack (&submission, data));
  return records;
}

/* A hash, so that a schedule draws the same otherwise. */
static uint32_t
hash_of (const Emulator *emu, const CheckJob *job, uint32_t number)
{
  uint64_t hash = (g_str_hash (job->id) + emu->options.seed * 31 + number) * 0x9e3779b97f4a7c15ULL;

  return (uint32_t) (hash >> 32);
}

/* A third of the steps each has no limit, 1 and 2. */
static uint32_t
limit_of (const Emulator *emu, const CheckJob *job, uint32_t step)
{
  return emu->options.has_step_limits ? hash_of (emu, job, step) % 3 : 0;
}

/* Three of four jobs repeat. */
static void
add_repeats (const Emulator *emu, CheckJob *job)
{
  job->n_occurrences = 1;
  if (!emu->options.has_repeats || hash_of (emu, job, STEPS_MAX) % 4 == 0)
    return;
  job->n_occurrences = 1 + hash_of (emu, job, STEPS_MAX + 1) % OCCURRENCES_MAX;
  job->interval_ms
      = INTERVAL_MIN_MS + hash_of (emu, job, STEPS_MAX + 2) % (INTERVAL_MAX_MS - INTERVAL_MIN_MS);
}

static void
add_tasks (EmuCheck *check, CheckJob *job)
{
  for (uint32_t occurrence = 0; occurrence < job->n_occurrences; occurrence++)
    {
      for (uint32_t i = 0; i < job->n_steps; i++)
        {
          for (uint32_t k = 0; k < job->n_tasks[i]; k++)
            add_task (check, job, occurrence, i, k);
        }
    }
}

static void
add_job (Emulator *emu, uint32_t number)
{
  CheckJob *job = g_new0 (CheckJob, 1);
  int64_t at_ms = emu_between (emu, 0, emu->options.trouble_ms - 2000);

  g_ptr_array_add (emu->check->jobs, job);
  (void) g_snprintf (job->id, sizeof job->id, "%016x", number + 1);
  job->n_steps = (uint32_t) emu_between (emu, 1, STEPS_MAX);
  job->fail_percent = emu_chance (emu, FLAKY_PERCENT) ? (uint32_t) emu_between (emu, 10, 60) : 0;
  for (uint32_t i = 0; i < job->n_steps; i++)
    {
      job->n_tasks[i] = (uint32_t) emu_between (emu, 1, TASKS_MAX);
      job->cpu_m[i] = emu_between (emu, 1, 4) * 500;
      job->per_worker_max[i] = limit_of (emu, job, i);
      job->duration_ms[i] = emu_between (emu, 60, emu_chance (emu, 30) ? 4500 : 2000);
    }
  add_repeats (emu, job);
  add_tasks (emu->check, job);
  submit_after (emu, at_ms, encode_job (emu, job, at_ms));
  job->is_cancelled = emu_chance (emu, CANCEL_PERCENT);
  if (job->is_cancelled)
    submit_after (emu, at_ms + emu_between (emu, 0, CANCEL_DELAY_MAX_MS), encode_cancel (job));
}

void
emu_check_add_jobs (Emulator *emu)
{
  uint32_t n_jobs = (uint32_t) emu_between (emu, JOBS_MIN, JOBS_MAX);

  for (uint32_t i = 0; i < n_jobs; i++)
    add_job (emu, i);
}

int64_t
emu_check_cpu_m (const Emulator *emu, const char *name)
{
  const CheckTask *task = find_task (emu, name);

  return task->job->cpu_m[task->step];
}

/* A hash, so that a run takes as long whatever else occurs. */
int64_t
emu_check_duration_us (const Emulator *emu, const char *name, int64_t run, gboolean *fails)
{
  const CheckTask *task = find_task (emu, name);
  uint64_t hash = (g_str_hash (name) + (uint64_t) run * 0x9e3779b9 + emu->options.seed)
                  * 0x2545f4914f6cdd1dULL;

  *fails = (hash >> 8) % 100 < task->job->fail_percent;
  return task->job->duration_ms[task->step] * CLK_US_PER_MS * (50 + (int64_t) ((hash >> 32) % 100))
         / 100;
}

static gboolean
has_done (const CheckTask *task)
{
  return task->done->len > 0;
}

/* Whether a start came after an end that was acknowledged. */
static void
check_done (Emulator *emu, const CheckTask *task)
{
  for (guint i = 0; i < task->done->len; i++)
    {
      const CheckEnd *end = &g_array_index (task->done, CheckEnd, i);
      for (guint k = 0; end->is_acknowledged && k < task->starts->len; k++)
        {
          if (g_array_index (task->starts, int64_t, k) > end->end_us)
            violate (emu, "TWICE",
                     "%s started at %" G_GINT64_FORMAT " ms, done at %" G_GINT64_FORMAT
                     " ms, acknowledged",
                     task->name, g_array_index (task->starts, int64_t, k) / CLK_US_PER_MS,
                     end->end_us / CLK_US_PER_MS);
        }
    }
}

static void
check_attempts (Emulator *emu, const CheckTask *task)
{
  for (guint k = 0; k < task->starts->len; k++)
    {
      int64_t start_us = g_array_index (task->starts, int64_t, k);
      uint32_t n_failed = 0;
      for (guint i = 0; i < task->failed->len; i++)
        {
          const CheckEnd *end = &g_array_index (task->failed, CheckEnd, i);
          n_failed += end->is_acknowledged && end->end_us < start_us;
        }
      if (n_failed >= EMU_ATTEMPTS_MAX)
        violate (emu, "BUDGET", "%s started at %" G_GINT64_FORMAT " ms after %u failures",
                 task->name, start_us / CLK_US_PER_MS, n_failed);
    }
}

static void
check_order (Emulator *emu, const CheckTask *task)
{
  if (task->step == 0)
    return;
  for (uint32_t i = 0; i < task->job->n_tasks[0]; i++)
    {
      const CheckTask *before = task->job->tasks[task->occurrence][0][i];
      if (!has_done (before))
        violate (emu, "ORDER", "%s started before %s was done", task->name, before->name);
    }
}

static void
check_step_limit (EmuWorker *worker, const CheckTask *task)
{
  Emulator *emu = worker->emu;
  uint32_t most = task->job->per_worker_max[task->step];
  uint32_t count = 1;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const CheckTask *other = find_task (emu, g_array_index (worker->runs, EmuRun, i).task);
      count += other->job == task->job && other->step == task->step
               && other->occurrence == task->occurrence;
    }
  if (most != 0 && count > most)
    violate (emu, "ROUTE", "%s at %s: %u tasks of the step, limit %u", task->name,
             worker->process.name, count, most);
}

void
emu_check_started (EmuWorker *worker, const EmuRun *run)
{
  Emulator *emu = worker->emu;
  CheckTask *task = find_task (emu, run->task);
  int64_t used_m = run->cpu_m;

  for (guint i = 0; i < worker->runs->len; i++)
    used_m += g_array_index (worker->runs, EmuRun, i).cpu_m;
  if (used_m > EMU_CPU_M)
    violate (emu, "LIMIT", "%s at %s: %" G_GINT64_FORMAT " of %d", task->name, worker->process.name,
             used_m, EMU_CPU_M);
  if (task->n_running > 0)
    violate (emu, "TWICE", "%s run %" G_GINT64_FORMAT " at %s: another run is under way",
             task->name, run->run, worker->process.name);
  check_step_limit (worker, task);
  task->n_running++;
  g_array_append_val (task->starts, emu->now_us);
  check_order (emu, task);
  if (has_done (task))
    check_done (emu, task);
  if (task->failed->len >= EMU_ATTEMPTS_MAX)
    check_attempts (emu, task);
}

void
emu_check_ended (EmuWorker *worker, const EmuRun *run, int how)
{
  CheckTask *task = find_task (worker->emu, run->task);
  const CheckEnd end = { .end_us = worker->emu->now_us,
                         .number = worker->n_ends,
                         .worker = worker,
                         .life = worker->process.life };

  task->n_running--;
  if (how == WORKER_END_DONE)
    g_array_append_val (task->done, end);
  else if (how == WORKER_END_FAILED)
    g_array_append_val (task->failed, end);
}

void
emu_check_acknowledged (EmuWorker *worker, const EmuEnd *end)
{
  Emulator *emu = worker->emu;
  CheckTask *task = find_task (emu, end->task);
  gboolean is_done = end->how == WORKER_END_DONE;
  GArray *ends = is_done ? task->done : task->failed;

  if (end->is_void || (!is_done && end->how != WORKER_END_FAILED))
    return;
  for (guint i = 0; i < ends->len; i++)
    {
      CheckEnd *row = &g_array_index (ends, CheckEnd, i);
      if (row->worker == worker && row->life == worker->process.life && row->number == end->number)
        row->is_acknowledged = TRUE;
    }
  if (is_done)
    check_done (emu, task);
  else
    check_attempts (emu, task);
}

static uint32_t
job_state (const Emulator *emu, const CheckJob *job)
{
  g_autofree char *key = g_strconcat (LEDGER_RUN_PREFIX, job->id, NULL);
  gsize offset = GPOINTER_TO_SIZE (g_hash_table_lookup (emu->store.newest, key));

  if (offset == 0)
    return SCHED_QUEUED;
  size_t size = 0;
  const uint8_t *data
      = g_bytes_get_data (emu_store_record (emu, (int64_t) offset - 1)->value, &size);
  Batch__Progress *progress = batch__progress__unpack (NULL, size, data);
  uint32_t state = progress->state;
  batch__progress__free_unpacked (progress, NULL);
  return state;
}

/* Returns whether a task of the step has used up its attempts. */
static gboolean
check_stage (Emulator *emu, const CheckJob *job, uint32_t state, uint32_t occurrence, uint32_t step)
{
  gboolean is_spent = FALSE;

  for (uint32_t k = 0; k < job->n_tasks[step]; k++)
    {
      const CheckTask *task = job->tasks[occurrence][step][k];
      is_spent |= task->failed->len >= EMU_ATTEMPTS_MAX;
      if (task->n_running > 0)
        violate (emu, "LOST", "%s still runs", task->name);
      if (state == SCHED_COMPLETED && !has_done (task))
        violate (emu, "MIXED", "job %s is completed, %s is not done", job->id, task->name);
    }
  return is_spent;
}

static void
check_job (Emulator *emu, const CheckJob *job)
{
  uint32_t state = job_state (emu, job);
  gboolean is_spent = FALSE;

  for (uint32_t occurrence = 0; occurrence < job->n_occurrences; occurrence++)
    {
      for (uint32_t i = 0; i < job->n_steps; i++)
        is_spent |= check_stage (emu, job, state, occurrence, i);
    }
  if (state == SCHED_FAILED && !is_spent)
    violate (emu, "LOST", "job %s failed without cause", job->id);
  if (state != SCHED_FAILED && state != SCHED_COMPLETED
      && !(state == SCHED_CANCELLED && job->is_cancelled))
    violate (emu, "LOST", "job %s is in state %u", job->id, state);
}

void
emu_check_finish (Emulator *emu)
{
  for (guint i = 0; i < emu->check->jobs->len; i++)
    check_job (emu, g_ptr_array_index (emu->check->jobs, i));
}
