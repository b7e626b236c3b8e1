#include "keeper/keeper.h"

#include <string.h>

#include "batch/message.h"

/** The worker's clock may be this much slower than ours. */
#define CLOCK_RATE_MIN 0.98
/** A start needs at least this much of the lease. */
#define LEASE_LEFT_MIN_MS 500
/** Without an answer for this long nothing certain can be said of the worker. */
#define SILENCE_MS 1500
/** A stop or pace without an answer, or a look that failed, is tried again after this. */
#define AGAIN_MS 300
/** Refusals kept for reports. */
#define REFUSED_MAX 32
/** Fencing tokens skipped when a higher one was seen. */
#define TOKEN_STEP 1000000
/** Ids of replaced workers that are remembered, so that late reports don't bring them back. */
#define REPLACED_MAX 16

typedef enum
{
  ROW_STARTING, /**< the start is under way */
  ROW_IN_DOUBT, /**< the start had no answer: it may act later */
  ROW_STARTED,  /**< there, or ended */
} RowState;

/** A task that was ordered here, or runs here. */
typedef struct
{
  char *task;
  int64_t run;
  RowState state;
  int64_t settled_us; /**< when the newest call for it was answered */
  gboolean stop_wanted;
  gboolean is_stopping; /**< a stop is under way */
  gboolean stop_answered;
  int64_t stop_again_us;
  gboolean is_listed; /**< runs by the newest look */
  WorkerTask seen;    /**< of the newest look; texts owned */
} Row;

struct Keeper
{
  KeeperOptions options;
  int64_t token;
  WorkerInfo *info;
  uint64_t life;       /**< token at the start of the worker's life; 0 before its lists were read */
  uint64_t lives;      /**< counts lives, to tell late answers of an earlier one */
  GPtrArray *replaced; /**< ids of earlier workers */
  uint64_t epoch;
  uint64_t done_number;
  int64_t lease_end_us;
  int64_t clock_ms; /**< of the worker, at clock_us; -1: not known */
  int64_t clock_us;
  int64_t heard_us; /**< when the newest look was answered */
  GHashTable *rows; /**< "task run" -> Row */
  GArray *ended;    /**< WorkerEnd not forgotten yet */
  int64_t seen;     /**< ends up to this one may be forgotten */
  GArray *refused;  /**< RefusedRow */
  gboolean is_looking;
  int64_t look_again_us;
  GHashTable *calls; /**< Call under way, as a set */
  gboolean is_leaving;
  gboolean is_gone; /**< the worker said that it ends */
};

typedef struct
{
  char *task;
  int64_t run;
  RunnerOutcome outcome;
} RefusedRow;

/** Context of one call. */
typedef struct
{
  Keeper *keeper;
  uint64_t lives;
  char *key;
  int64_t sent_us;
} Call;

static void
row_free (gpointer data)
{
  Row *row = data;

  g_free (row->task);
  worker_task_clear (&row->seen);
  g_free (row);
}

static void
refused_clear (gpointer data)
{
  g_free (((RefusedRow *) data)->task);
}

static void
call_destroy (gpointer data)
{
  Call *call = data;

  g_free (call->key);
  g_free (call);
}

Keeper *
keeper_new (const KeeperOptions *options)
{
  Keeper *keeper = g_new0 (Keeper, 1);

  keeper->options = *options;
  keeper->token = options->token;
  keeper->clock_ms = -1;
  keeper->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  keeper->ended = worker_ends_new ();
  keeper->refused = g_array_new (FALSE, FALSE, sizeof (RefusedRow));
  g_array_set_clear_func (keeper->refused, refused_clear);
  keeper->replaced = g_ptr_array_new_with_free_func (g_free);
  keeper->calls = g_hash_table_new_full (NULL, NULL, call_destroy, NULL);
  return keeper;
}

void
keeper_free (Keeper *keeper)
{
  if (keeper == NULL)
    return;
  worker_info_free (keeper->info);
  g_hash_table_destroy (keeper->rows);
  g_array_unref (keeper->ended);
  g_array_unref (keeper->refused);
  g_ptr_array_unref (keeper->replaced);
  g_hash_table_destroy (keeper->calls);
  g_free (keeper);
}

static int64_t
now_us (const Keeper *keeper)
{
  return keeper->options.now_us (keeper->options.ctx);
}

static void note (const Keeper *keeper, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

static void
note (const Keeper *keeper, const char *event, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  keeper->options.note (keeper->options.ctx, event, text);
}

static void
changed (const Keeper *keeper)
{
  keeper->options.changed (keeper->options.ctx);
}

static char *
row_key (const char *task, int64_t run)
{
  return g_strdup_printf ("%s %" G_GINT64_FORMAT, task, run);
}

static Row *
add_row (Keeper *keeper, const char *task, int64_t run, RowState state)
{
  Row *row = g_new0 (Row, 1);

  row->task = g_strdup (task);
  row->run = run;
  row->state = state;
  row->seen.task = g_strdup (task);
  row->seen.run = run;
  row->seen.saved = g_strdup ("");
  g_hash_table_replace (keeper->rows, row_key (task, run), row);
  return row;
}

static RunnerTarget
target_of (const Keeper *keeper)
{
  return (RunnerTarget){ .worker_id = keeper->info != NULL ? keeper->info->id : NULL,
                         .timeout_ms = keeper->options.call_timeout_ms,
                         .token = keeper->token };
}

static Call *
call_new (Keeper *keeper, const char *key)
{
  Call *call = g_new0 (Call, 1);

  call->keeper = keeper;
  call->lives = keeper->lives;
  call->key = g_strdup (key);
  call->sent_us = now_us (keeper);
  g_hash_table_add (keeper->calls, call);
  return call;
}

static void
call_free (Call *call)
{
  (void) g_hash_table_remove (call->keeper->calls, call);
}

/* The worker that ran everything is gone, or a new life of it began. */
static void
begin_life (Keeper *keeper, WorkerInfo *info)
{
  note (keeper, "worker_life", "id=%s born=%" G_GINT64_FORMAT " rows=%u", info->id,
        info->born_wall_ms, g_hash_table_size (keeper->rows));
  if (keeper->info != NULL && strcmp (keeper->info->id, info->id) != 0)
    {
      g_ptr_array_add (keeper->replaced, g_strdup (keeper->info->id));
      if (keeper->replaced->len > REPLACED_MAX)
        g_ptr_array_remove_index (keeper->replaced, 0);
    }
  worker_info_free (keeper->info);
  keeper->info = info;
  keeper->lives++;
  keeper->token++;
  keeper->life = 0;
  keeper->clock_ms = -1;
  keeper->lease_end_us = 0;
  keeper->seen = 0;
  keeper->is_gone = FALSE;
  keeper->is_looking = FALSE;
  keeper->look_again_us = 0;
  g_hash_table_remove_all (keeper->rows);
  g_array_set_size (keeper->ended, 0);
}

static gboolean
is_replaced (const Keeper *keeper, const WorkerInfo *info)
{
  for (guint i = 0; i < keeper->replaced->len; i++)
    {
      if (strcmp (g_ptr_array_index (keeper->replaced, i), info->id) == 0)
        return TRUE;
    }
  return keeper->info != NULL && info->born_wall_ms < keeper->info->born_wall_ms;
}

void
keeper_take_info (Keeper *keeper, WorkerInfo *info)
{
  if (is_replaced (keeper, info))
    {
      note (keeper, "report_ignored", "id=%s born=%" G_GINT64_FORMAT " reason=replaced", info->id,
            info->born_wall_ms);
      worker_info_free (info);
      return;
    }
  if (keeper->info == NULL || !worker_info_same_life (keeper->info, info))
    {
      begin_life (keeper, info);
      keeper_tick (keeper);
      return;
    }
  if (info->sequence < keeper->info->sequence)
    {
      worker_info_free (info);
      return;
    }
  gboolean is_news = info->is_draining != keeper->info->is_draining;
  worker_info_free (keeper->info);
  keeper->info = info;
  if (!is_news)
    return;
  note (keeper, "worker_state", "id=%s draining=%d", info->id, info->is_draining);
  changed (keeper);
}

void
keeper_worker_left (Keeper *keeper, const char *id)
{
  if (keeper->info == NULL || strcmp (keeper->info->id, id) != 0)
    return;
  note (keeper, "worker_left", "id=%s rows=%u", id, g_hash_table_size (keeper->rows));
  keeper->lives++;
  keeper->token++;
  keeper->life = (uint64_t) keeper->token;
  keeper->is_gone = TRUE;
  keeper->info->is_draining = TRUE;
  keeper->is_looking = FALSE;
  g_hash_table_remove_all (keeper->rows);
  g_array_set_size (keeper->ended, 0);
  changed (keeper);
}

static void
take_clock (Keeper *keeper, const RunnerAnswer *answer)
{
  if (answer->clock_ms < 0)
    return;
  keeper->clock_ms = answer->clock_ms;
  keeper->clock_us = now_us (keeper);
}

/* End of the lease on the worker's clock, early enough if that clock is slow; 0: none. */
static int64_t
until_ms (const Keeper *keeper)
{
  if (keeper->clock_ms < 0 || keeper->lease_end_us <= keeper->clock_us)
    return 0;
  int64_t left_ms = (keeper->lease_end_us - keeper->clock_us) / 1000;
  return keeper->clock_ms + (int64_t) ((double) left_ms * CLOCK_RATE_MIN);
}

static void
raise_token (Keeper *keeper)
{
  keeper->token += TOKEN_STEP;
  note (keeper, "token_raised", "token=%" G_GINT64_FORMAT, keeper->token);
}

static void
add_refused (Keeper *keeper, const char *task, int64_t run, RunnerOutcome outcome)
{
  RefusedRow row = { g_strdup (task), run, outcome };

  if (keeper->refused->len >= REFUSED_MAX)
    g_array_remove_index (keeper->refused, 0);
  g_array_append_val (keeper->refused, row);
  note (keeper, "start_refused", "task=%s run=%" G_GINT64_FORMAT " outcome=%s", task, run,
        runner_outcome_name (outcome));
}

static gboolean
is_current (const Call *call)
{
  return call->lives == call->keeper->lives;
}

static void
on_started (void *ctx, const RunnerAnswer *answer)
{
  Call *call = ctx;
  Keeper *keeper = call->keeper;
  Row *row = is_current (call) ? g_hash_table_lookup (keeper->rows, call->key) : NULL;

  if (row == NULL)
    {
      call_free (call);
      return;
    }
  take_clock (keeper, answer);
  row->settled_us = now_us (keeper);
  if (answer->outcome == RUNNER_OK)
    row->state = ROW_STARTED;
  else if (answer->outcome == RUNNER_IN_DOUBT)
    {
      row->state = ROW_IN_DOUBT;
      note (keeper, "start_in_doubt", "task=%s run=%" G_GINT64_FORMAT, row->task, row->run);
    }
  else
    {
      if (answer->outcome == RUNNER_FENCED)
        raise_token (keeper);
      add_refused (keeper, row->task, row->run, answer->outcome);
      (void) g_hash_table_remove (keeper->rows, call->key);
    }
  call_free (call);
  changed (keeper);
}

static gboolean
may_start (const Keeper *keeper)
{
  int64_t now = now_us (keeper);

  return keeper->info != NULL && keeper->life != 0 && !keeper->info->is_draining
         && !keeper->is_leaving && keeper->clock_ms >= 0
         && keeper->lease_end_us - now >= LEASE_LEFT_MIN_MS * 1000
         && now - keeper->heard_us <= SILENCE_MS * 1000;
}

static void
carry_out_start (Keeper *keeper, const Batch__Start *order)
{
  g_autofree char *key = row_key (order->task, order->run);
  RunnerTarget target = target_of (keeper);
  RunnerStart start = { .task = order->task,
                        .run = order->run,
                        .spec = order->spec,
                        .saved = order->saved,
                        .ticket = order->ticket,
                        .until_ms = until_ms (keeper) };

  if (!may_start (keeper))
    {
      add_refused (keeper, order->task, order->run, RUNNER_LATE);
      return;
    }
  (void) add_row (keeper, order->task, order->run, ROW_STARTING);
  keeper->options.start (keeper->options.ctx, &target, &start, on_started, call_new (keeper, key));
}

static void
on_stopped (void *ctx, const RunnerAnswer *answer)
{
  Call *call = ctx;
  Keeper *keeper = call->keeper;
  Row *row = is_current (call) ? g_hash_table_lookup (keeper->rows, call->key) : NULL;

  if (row != NULL)
    {
      take_clock (keeper, answer);
      row->is_stopping = FALSE;
      row->stop_again_us = now_us (keeper) + AGAIN_MS * 1000;
      if (answer->outcome == RUNNER_FENCED)
        raise_token (keeper);
      if (answer->outcome == RUNNER_OK)
        {
          row->stop_answered = TRUE;
          row->state = ROW_STARTED;
          row->settled_us = now_us (keeper);
        }
    }
  call_free (call);
}

static void
send_stop (Keeper *keeper, Row *row)
{
  g_autofree char *key = row_key (row->task, row->run);
  RunnerTarget target = target_of (keeper);

  row->is_stopping = TRUE;
  keeper->options.stop (keeper->options.ctx, &target, row->task, row->run, on_stopped,
                        call_new (keeper, key));
}

static void
carry_out_stop (Keeper *keeper, const Batch__Stop *order)
{
  g_autofree char *key = row_key (order->task, order->run);
  Row *row = g_hash_table_lookup (keeper->rows, key);

  if (row == NULL)
    row = add_row (keeper, order->task, order->run, ROW_STARTED);
  row->stop_wanted = TRUE;
  if (row->state != ROW_STARTING && !row->is_stopping)
    send_stop (keeper, row);
}

static void
on_paced (void *ctx, const RunnerAnswer *answer)
{
  Call *call = ctx;

  if (answer->outcome != RUNNER_OK)
    note (call->keeper, "pace_failed", "run=\"%s\" outcome=%s", call->key,
          runner_outcome_name (answer->outcome));
  call_free (call);
}

static void
carry_out_pace (Keeper *keeper, const Batch__Pace *order)
{
  g_autofree char *key = row_key (order->task, order->run);
  RunnerTarget target = target_of (keeper);

  keeper->options.pace (keeper->options.ctx, &target, order->task, order->run, order->percent,
                        on_paced, call_new (keeper, key));
}

static void
carry_out (Keeper *keeper, const Batch__Order *order)
{
  switch (order->what_case)
    {
    case BATCH__ORDER__WHAT_START:
      carry_out_start (keeper, order->start);
      break;
    case BATCH__ORDER__WHAT_STOP:
      carry_out_stop (keeper, order->stop);
      break;
    case BATCH__ORDER__WHAT_PACE:
      carry_out_pace (keeper, order->pace);
      break;
    default:
      note (keeper, "order_unknown", "number=%" G_GUINT64_FORMAT, order->number);
      break;
    }
}

static void
take_grant (Keeper *keeper, const Batch__Orders *orders)
{
  int64_t end_us = orders->echo_us + keeper->options.grant_ms * 1000;

  if (keeper->life == 0 || orders->life != keeper->life || orders->echo_us > now_us (keeper))
    return;
  keeper->lease_end_us = MAX (keeper->lease_end_us, end_us);
  keeper->seen = MAX (keeper->seen, orders->ends_kept);
}

gboolean
keeper_take_orders (Keeper *keeper, const Batch__Orders *orders)
{
  if (orders->epoch < keeper->epoch)
    return FALSE;
  if (orders->epoch > keeper->epoch)
    {
      note (keeper, "owner", "name=%s epoch=%" G_GUINT64_FORMAT, orders->owner, orders->epoch);
      keeper->epoch = orders->epoch;
      keeper->done_number = 0;
      changed (keeper);
    }
  if (orders->agent_boot != keeper->options.boot)
    return TRUE;
  take_grant (keeper, orders);
  for (size_t i = 0; i < orders->n_orders; i++)
    {
      if (orders->orders[i]->number <= keeper->done_number)
        continue;
      keeper->done_number = orders->orders[i]->number;
      if (orders->life == keeper->life)
        carry_out (keeper, orders->orders[i]);
    }
  return TRUE;
}

static gboolean
is_ended (const Keeper *keeper, const Row *row)
{
  for (guint i = 0; i < keeper->ended->len; i++)
    {
      const WorkerEnd *end = &g_array_index (keeper->ended, WorkerEnd, i);
      if (end->run == row->run && strcmp (end->task, row->task) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
list_running (Keeper *keeper, const GArray *running)
{
  for (guint i = 0; i < running->len; i++)
    {
      const WorkerTask *task = &g_array_index (running, WorkerTask, i);
      g_autofree char *key = row_key (task->task, task->run);
      Row *row = g_hash_table_lookup (keeper->rows, key);
      if (row == NULL)
        row = add_row (keeper, task->task, task->run, ROW_STARTED);
      row->is_listed = TRUE;
      if (row->state == ROW_IN_DOUBT)
        row->state = ROW_STARTED;
      g_free (row->seen.saved);
      row->seen.saved = g_strdup (task->saved);
      row->seen.percent = task->percent;
      row->seen.figure = task->figure;
    }
}

/* A row that the look would have shown, had it been there, is gone. */
static gboolean
is_over (const Keeper *keeper, const Row *row, int64_t sent_us)
{
  if (row->is_listed || row->state == ROW_STARTING)
    return FALSE;
  if (is_ended (keeper, row))
    return TRUE;
  return row->state == ROW_STARTED && row->settled_us < sent_us
         && (!row->stop_wanted || row->stop_answered);
}

static void
drop_over (Keeper *keeper, int64_t sent_us)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Row *row = value;
      if (is_over (keeper, row, sent_us))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (row->state == ROW_IN_DOUBT && row->settled_us < sent_us)
        row->stop_wanted = TRUE;
    }
}

static void
clear_listed (Keeper *keeper)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Row *) value)->is_listed = FALSE;
}

static void
take_ended (Keeper *keeper, const GArray *ended)
{
  g_array_set_size (keeper->ended, 0);
  for (guint i = 0; i < ended->len; i++)
    {
      const WorkerEnd *end = &g_array_index (ended, WorkerEnd, i);
      WorkerEnd copy = *end;
      if (end->number <= keeper->seen)
        continue;
      copy.task = g_strdup (end->task);
      copy.saved = g_strdup (end->saved);
      g_array_append_val (keeper->ended, copy);
    }
}

static void
take_look (Keeper *keeper, const RunnerAnswer *answer, int64_t sent_us)
{
  keeper->heard_us = now_us (keeper);
  if (keeper->life == 0)
    {
      keeper->life = (uint64_t) keeper->token;
      note (keeper, "worker_known", "life=%" G_GUINT64_FORMAT " running=%u ended=%u", keeper->life,
            answer->running->len, answer->ended->len);
    }
  take_ended (keeper, answer->ended);
  clear_listed (keeper);
  list_running (keeper, answer->running);
  drop_over (keeper, sent_us);
  changed (keeper);
}

static void
on_looked (void *ctx, const RunnerAnswer *answer)
{
  Call *call = ctx;
  Keeper *keeper = call->keeper;

  if (!is_current (call))
    {
      call_free (call);
      return;
    }
  keeper->is_looking = FALSE;
  if (answer->outcome == RUNNER_OK && answer->running != NULL)
    {
      take_clock (keeper, answer);
      take_look (keeper, answer, call->sent_us);
    }
  else
    {
      keeper->look_again_us = now_us (keeper) + AGAIN_MS * 1000;
      note (keeper, "look_failed", "outcome=%s", runner_outcome_name (answer->outcome));
      if (answer->outcome == RUNNER_FENCED)
        raise_token (keeper);
    }
  call_free (call);
  keeper_tick (keeper);
}

static void
send_look (Keeper *keeper)
{
  RunnerTarget target = target_of (keeper);
  RunnerLook look = { .until_ms = until_ms (keeper),
                      .seen = keeper->seen,
                      .wait_ms = keeper->life != 0 ? keeper->options.look_wait_ms : 0 };

  target.timeout_ms += look.wait_ms;
  keeper->is_looking = TRUE;
  keeper->options.look (keeper->options.ctx, &target, &look, on_looked, call_new (keeper, ""));
}

static void
repeat_stops (Keeper *keeper)
{
  int64_t now = now_us (keeper);
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Row *row = value;
      if (row->stop_wanted && !row->is_stopping && !row->stop_answered && row->state != ROW_STARTING
          && now >= row->stop_again_us)
        send_stop (keeper, row);
    }
}

void
keeper_tick (Keeper *keeper)
{
  if (keeper->info == NULL || keeper->is_gone)
    return;
  repeat_stops (keeper);
  if (!keeper->is_looking && now_us (keeper) >= keeper->look_again_us)
    send_look (keeper);
}

void
keeper_leave (Keeper *keeper)
{
  keeper->is_leaving = TRUE;
  changed (keeper);
}

static Batch__Worker *
report_worker (const WorkerInfo *info)
{
  Batch__Worker *row = message_part (sizeof *row);
  guint n_labels = g_strv_length (info->labels);

  batch__worker__init (row);
  row->id = message_text (info->id);
  row->born_wall_ms = info->born_wall_ms;
  row->service = message_text (info->service);
  row->data_centre = message_text (info->data_centre);
  row->instance = message_text (info->instance);
  row->labels = message_part (n_labels * sizeof *row->labels);
  for (guint i = 0; i < n_labels; i++)
    row->labels[row->n_labels++] = message_text (info->labels[i]);
  row->cpu_m = info->capacity.cpu_m;
  row->mem_mb = info->capacity.mem_mb;
  row->gpus = info->capacity.gpus;
  row->is_draining = info->is_draining;
  row->remaining_ms = info->remaining_ms;
  return row;
}

static Batch__Running *
report_running (const Row *row)
{
  Batch__Running *entry = message_part (sizeof *entry);

  batch__running__init (entry);
  entry->task = message_text (row->task);
  entry->run = row->run;
  entry->saved = message_text (row->seen.saved);
  entry->percent = (int32_t) row->seen.percent;
  entry->figure = row->seen.figure;
  entry->is_starting = !row->is_listed;
  return entry;
}

static Batch__Ended *
report_ended (const WorkerEnd *end)
{
  Batch__Ended *entry = message_part (sizeof *entry);

  batch__ended__init (entry);
  entry->number = end->number;
  entry->task = message_text (end->task);
  entry->run = end->run;
  entry->how = (uint32_t) end->how;
  entry->saved = message_text (end->saved);
  return entry;
}

static void
report_refused (const Keeper *keeper, Batch__Report *report)
{
  report->refused = message_part (keeper->refused->len * sizeof *report->refused);
  for (guint i = 0; i < keeper->refused->len; i++)
    {
      const RefusedRow *row = &g_array_index (keeper->refused, RefusedRow, i);
      Batch__Refused *entry = message_part (sizeof *entry);
      batch__refused__init (entry);
      entry->task = message_text (row->task);
      entry->run = row->run;
      entry->outcome = (uint32_t) row->outcome;
      report->refused[report->n_refused++] = entry;
    }
}

gboolean
keeper_is_live (const Keeper *keeper)
{
  return keeper->info != NULL && keeper->life != 0 && !keeper->is_gone
         && now_us (keeper) - keeper->heard_us <= SILENCE_MS * 1000;
}

Batch__Report *
keeper_report (const Keeper *keeper)
{
  GHashTableIter iter;
  gpointer value = NULL;
  int64_t now = now_us (keeper);

  if (keeper->info == NULL || keeper->life == 0
      || (!keeper->is_gone && now - keeper->heard_us > SILENCE_MS * 1000))
    return NULL;
  Batch__Report *report = message_part (sizeof *report);
  batch__report__init (report);
  report->epoch = keeper->epoch;
  report->boot = keeper->options.boot;
  report->clock_us = now;
  report->life = keeper->life;
  report->done_number = keeper->done_number;
  report->is_leaving = keeper->is_leaving;
  report->worker = report_worker (keeper->info);
  report->running = message_part (g_hash_table_size (keeper->rows) * sizeof *report->running);
  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    report->running[report->n_running++] = report_running (value);
  report->ended = message_part (keeper->ended->len * sizeof *report->ended);
  for (guint i = 0; i < keeper->ended->len; i++)
    report->ended[report->n_ended++] = report_ended (&g_array_index (keeper->ended, WorkerEnd, i));
  report_refused (keeper, report);
  return report;
}
