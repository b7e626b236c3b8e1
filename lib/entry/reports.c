#include "entry/reports.h"

#include <string.h>

/** Largest number of outcomes in one record. */
#define BATCH_MAX 512
/** Number of logged outcomes that are kept; the oldest are dropped, as their agents have
 * stopped repeating them. */
#define LOGGED_MAX 65536

typedef enum
{
  ROW_RUNNING, /**< reported to the core as running */
  ROW_WAITING, /**< outcome queued for the next batch */
  ROW_SENT,    /**< outcome in the pending batch */
  ROW_LOGGED,  /**< outcome on the log, or no record needed */
} RowState;

typedef struct
{
  CoreTaskKey task;
  uint32_t attempt;
} RowKey;

typedef struct
{
  RowKey key;
  RowState state;
  char *agent; /**< NULL: decided by the core, no agent to acknowledge it to */
  Record__TaskEnd end;
  char *checkpoint;
  int64_t progress_ms;
  char *reason;
  int64_t measured_us;      /**< time of the newest usage passed to the core */
  uint32_t decided_attempt; /**< newest attempt when the core decided the end */
} Row;

/** Attempt number of rows for ends that the core decided; agents never use it. */
#define ATTEMPT_DECIDED G_MAXUINT32

struct Reports
{
  uint32_t shard;
  uint64_t epoch;
  GHashTable *rows; /**< RowKey -> Row; owns the rows */
  GQueue *waiting;  /**< Row */
  GQueue *logged;   /**< RowKey *, oldest first */
  GPtrArray *sent;  /**< Row of the pending batch */
  IdsId batch;
};

static guint
key_hash (gconstpointer data)
{
  const RowKey *key = data;

  return (guint) (key->task.job ^ key->task.job >> 32) * 31U + key->task.index * 7U + key->attempt;
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const RowKey *left = a;
  const RowKey *right = b;

  return left->task.job == right->task.job && left->task.index == right->task.index
         && left->attempt == right->attempt;
}

static void
row_free (void *data)
{
  Row *row = data;

  g_free (row->agent);
  g_free (row->checkpoint);
  g_free (row->reason);
  g_free (row);
}

Reports *
reports_new (uint32_t shard, uint64_t epoch)
{
  Reports *reports = g_new0 (Reports, 1);

  reports->shard = shard;
  reports->epoch = epoch;
  reports->rows = g_hash_table_new_full (key_hash, key_equal, NULL, row_free);
  reports->waiting = g_queue_new ();
  reports->logged = g_queue_new ();
  reports->sent = g_ptr_array_new ();
  return reports;
}

void
reports_free (Reports *reports)
{
  if (reports == NULL)
    return;
  g_queue_free (reports->waiting);
  g_queue_free_full (reports->logged, g_free);
  g_ptr_array_free (reports->sent, TRUE);
  g_hash_table_destroy (reports->rows);
  g_free (reports);
}

static Row *
add_row (Reports *reports, CoreTaskKey task, uint32_t attempt, const char *agent)
{
  Row *row = g_new0 (Row, 1);

  row->key = (RowKey){ task, attempt };
  row->agent = g_strdup (agent);
  g_hash_table_insert (reports->rows, &row->key, row);
  return row;
}

static void
set_logged (Reports *reports, Row *row)
{
  RowKey *key = g_new (RowKey, 1);

  *key = row->key;
  row->state = ROW_LOGGED;
  g_queue_push_tail (reports->logged, key);
  if (reports->logged->length <= LOGGED_MAX)
    return;
  g_autofree RowKey *oldest = g_queue_pop_head (reports->logged);
  g_hash_table_remove (reports->rows, oldest);
}

static const FoldTask *
logged_task (const Fold *fold, CoreTaskKey task)
{
  const FoldJob *job = fold_job (fold, task.job);

  return job != NULL && task.index < job->n_tasks ? &job->tasks[task.index] : NULL;
}

static gboolean
is_final (Record__TaskEnd end)
{
  return end == RECORD__TASK_END__END_DONE || end == RECORD__TASK_END__END_CANCELLED
         || end == RECORD__TASK_END__END_GIVEN_UP;
}

static void
add_task_input (GArray *inputs,
                const char *agent,
                const Wire__TaskStatus *status,
                CoreTaskEvent event)
{
  CoreInput input = { .type = CORE_IN_TASK };

  input.task.task = (CoreTaskKey){ status->job, status->index };
  input.task.attempt = status->attempt;
  input.task.worker = agent;
  input.task.event = event;
  input.task.progress_ms = status->progress_ms;
  input.task.checkpoint = *status->checkpoint != '\0' ? status->checkpoint : NULL;
  g_array_append_val (inputs, input);
}

static void
add_usage_input (
    GArray *inputs, Row *row, const char *agent, const Wire__TaskStatus *status, int64_t now_us)
{
  CoreInput input = { .type = CORE_IN_USAGE };

  input.usage.measured_us = now_us - status->measured_ago_us;
  if (status->used == NULL || input.usage.measured_us <= row->measured_us)
    return;
  row->measured_us = input.usage.measured_us;
  input.usage.worker = agent;
  input.usage.task = row->key.task;
  input.usage.attempt = row->key.attempt;
  input.usage.used
      = (DocSize){ status->used->cpu_milli, status->used->memory_mb, status->used->accelerators };
  g_array_append_val (inputs, input);
}

typedef struct
{
  Wire__TaskState state;
  CoreTaskEvent event;
  Record__TaskEnd end; /**< END_NONE: needs no record */
} EndRow;

/* A task that was stopped without a checkpoint is logged with an empty checkpoint. */
static const EndRow end_rows[] = {
  { WIRE__TASK_STATE__TASK_DONE, CORE_TASK_DONE, RECORD__TASK_END__END_DONE },
  { WIRE__TASK_STATE__TASK_FAILED, CORE_TASK_FAILED, RECORD__TASK_END__END_FAILED },
  { WIRE__TASK_STATE__TASK_CHECKPOINTED, CORE_TASK_CHECKPOINTED, RECORD__TASK_END__END_CHECKPOINT },
  { WIRE__TASK_STATE__TASK_STOPPED, CORE_TASK_STOPPED, RECORD__TASK_END__END_CHECKPOINT },
  { WIRE__TASK_STATE__TASK_REFUSED, CORE_TASK_REFUSED, RECORD__TASK_END__END_NONE },
};

static const EndRow *
end_row (Wire__TaskState state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (end_rows); i++)
    {
      if (end_rows[i].state == state)
        return &end_rows[i];
    }
  return NULL;
}

static void
queue_end (Reports *reports, Row *row, const Wire__TaskStatus *status, Record__TaskEnd end)
{
  if (end == RECORD__TASK_END__END_NONE)
    {
      set_logged (reports, row);
      return;
    }
  row->state = ROW_WAITING;
  row->end = end;
  row->checkpoint = g_strdup (status->checkpoint);
  row->progress_ms = status->progress_ms;
  row->reason = g_strdup (status->kind);
  g_queue_push_tail (reports->waiting, row);
}

ReportsVerdict
reports_status (Reports *reports,
                const Fold *fold,
                const char *agent,
                const Wire__TaskStatus *status,
                int64_t now_us,
                GArray *inputs)
{
  RowKey key = { { status->job, status->index }, status->attempt };
  const FoldTask *logged = logged_task (fold, key.task);
  const EndRow *end = end_row (status->state);
  Row *row = g_hash_table_lookup (reports->rows, &key);
  gboolean is_over
      = logged == NULL || is_final (logged->end) || status->attempt <= logged->attempts;

  if (status->state == WIRE__TASK_STATE__TASK_RUNNING && is_over)
    return REPORTS_STOP_TASK;
  if (status->state != WIRE__TASK_STATE__TASK_RUNNING && end == NULL)
    return REPORTS_ACCEPTED;
  gboolean is_new = row == NULL;
  if (is_new)
    row = add_row (reports, key.task, status->attempt, agent);
  if (status->state == WIRE__TASK_STATE__TASK_RUNNING && row->state == ROW_RUNNING)
    {
      if (is_new)
        add_task_input (inputs, agent, status, CORE_TASK_RUNNING);
      add_usage_input (inputs, row, agent, status, now_us);
    }
  else if (end != NULL && row->state == ROW_RUNNING && is_over)
    set_logged (reports, row);
  else if (end != NULL && row->state == ROW_RUNNING)
    {
      add_task_input (inputs, agent, status, end->event);
      queue_end (reports, row, status, end->end);
    }
  return REPORTS_ACCEPTED;
}

void
reports_decided (
    Reports *reports, CoreTaskKey task, uint32_t attempt, Record__TaskEnd end, const char *reason)
{
  RowKey key = { task, ATTEMPT_DECIDED };

  /* The core may repeat a decision; only the first one counts. */
  if (g_hash_table_contains (reports->rows, &key))
    return;
  Row *row = add_row (reports, task, ATTEMPT_DECIDED, NULL);
  row->state = ROW_WAITING;
  row->end = end;
  row->checkpoint = g_strdup ("");
  row->reason = g_strdup (reason);
  row->decided_attempt = attempt;
  g_queue_push_tail (reports->waiting, row);
}

static void
fill_outcome (Record__TaskOutcome *outcome, const Row *row)
{
  record__task_outcome__init (outcome);
  outcome->job = row->key.task.job;
  outcome->index = row->key.task.index;
  outcome->attempt = row->agent != NULL ? row->key.attempt : row->decided_attempt;
  outcome->state = row->end;
  outcome->checkpoint = row->checkpoint;
  outcome->progress_ms = row->progress_ms;
  outcome->reason = row->reason;
}

void
reports_flush (Reports *reports,
               gboolean (*append) (void *ctx, const Record__Record *record, IdsId *id),
               void *ctx)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__TaskBatch batch = RECORD__TASK_BATCH__INIT;
  Record__TaskOutcome outcomes[BATCH_MAX];
  Record__TaskOutcome *pointers[BATCH_MAX];

  if (reports->sent->len > 0 || reports->waiting->length == 0)
    return;
  while (reports->sent->len < BATCH_MAX && reports->waiting->length > 0)
    {
      Row *row = g_queue_pop_head (reports->waiting);
      guint place = reports->sent->len;
      fill_outcome (&outcomes[place], row);
      pointers[place] = &outcomes[place];
      row->state = ROW_SENT;
      g_ptr_array_add (reports->sent, row);
    }
  batch.shard = reports->shard;
  batch.epoch = reports->epoch;
  batch.n_outcomes = reports->sent->len;
  batch.outcomes = pointers;
  record.body_case = RECORD__RECORD__BODY_TASKS;
  record.tasks = &batch;
  if (!append (ctx, &record, &reports->batch))
    reports_not_appended (reports, reports->batch);
}

static void
batch_waits_again (Reports *reports)
{
  for (guint i = reports->sent->len; i > 0; i--)
    {
      Row *row = g_ptr_array_index (reports->sent, i - 1);
      row->state = ROW_WAITING;
      g_queue_push_head (reports->waiting, row);
    }
  g_ptr_array_set_size (reports->sent, 0);
}

void
reports_not_appended (Reports *reports, IdsId id)
{
  if (reports->sent->len > 0 && ids_equal (reports->batch, id))
    batch_waits_again (reports);
}

void
reports_folded (Reports *reports, const Fold *fold)
{
  FoldResult result = FOLD_APPLIED;

  if (reports->sent->len == 0 || !fold_record_result (fold, reports->batch, &result))
    return;
  if (result != FOLD_APPLIED)
    {
      batch_waits_again (reports);
      return;
    }
  for (guint i = 0; i < reports->sent->len; i++)
    set_logged (reports, g_ptr_array_index (reports->sent, i));
  g_ptr_array_set_size (reports->sent, 0);
}

gboolean
reports_may_ack (const Reports *reports, const Wire__TaskStatus *status)
{
  RowKey key = { { status->job, status->index }, status->attempt };
  const Row *row = g_hash_table_lookup (reports->rows, &key);

  return row != NULL && row->state == ROW_LOGGED;
}
