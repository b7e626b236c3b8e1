#include <string.h>

#include "keeper/keeper_private.h"

/** The worker's clock runs at no less than this rate of the agent's clock. */
#define CLOCK_RATE_MIN 0.98
/** Least time left of the lease for a start. */
#define LEASE_LEFT_MIN_MS 500
/** Most refusals kept for reports. */
#define REFUSED_MAX 32
/** CPU limit at which a task starts, in percent. */
#define FULL_CPU_PERCENT 100
/** Increase of the fencing token after the worker refused a call because it knows a higher one. */
#define TOKEN_STEP 1000000

void
keeper_call_destroy (gpointer data)
{
  KeeperCall *call = data;

  g_free (call->key);
  g_free (call);
}

static RunnerTarget
target_of (const Keeper *keeper)
{
  return (RunnerTarget){ .worker_id = keeper->info != NULL ? keeper->info->id : NULL,
                         .timeout_ms = keeper->options.call_timeout_ms,
                         .token = keeper->token };
}

static KeeperCall *
call_new (Keeper *keeper, const char *key)
{
  KeeperCall *call = g_new0 (KeeperCall, 1);

  call->keeper = keeper;
  call->incarnation_count = keeper->incarnation_count;
  call->key = g_strdup (key);
  call->sent_us = keeper_now_us (keeper);
  g_hash_table_add (keeper->calls, call);
  return call;
}

static void
call_free (KeeperCall *call)
{
  (void) g_hash_table_remove (call->keeper->calls, call);
}

static void
update_clock (Keeper *keeper, const RunnerAnswer *answer)
{
  if (answer->clock_ms < 0)
    return;
  keeper->clock_ms = answer->clock_ms;
  keeper->clock_us = keeper_now_us (keeper);
}

/* Returns the end of the lease on the worker's clock, allowing for a slow clock; 0: no lease. */
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
  keeper_log (keeper, "token_raised", "token=%" G_GINT64_FORMAT, keeper->token);
}

static void
add_refused (Keeper *keeper, const char *task, int64_t run, RunnerOutcome outcome)
{
  KeeperRefused row = { g_strdup (task), run, outcome, keeper_next_version (keeper) };

  if (keeper->refused->len >= REFUSED_MAX)
    g_array_remove_index (keeper->refused, 0);
  g_array_append_val (keeper->refused, row);
  keeper_add_gone (keeper, task, run);
  keeper_log (keeper, "start_refused", "task=%s run=%" G_GINT64_FORMAT " outcome=%s", task, run,
              runner_outcome_name (outcome));
}

static gboolean
is_current (const KeeperCall *call)
{
  return call->incarnation_count == call->keeper->incarnation_count;
}

static void
on_started (void *ctx, const RunnerAnswer *answer)
{
  KeeperCall *call = ctx;
  Keeper *keeper = call->keeper;
  KeeperRow *row = is_current (call) ? g_hash_table_lookup (keeper->rows, call->key) : NULL;

  if (row == NULL)
    {
      call_free (call);
      return;
    }
  update_clock (keeper, answer);
  row->answered_us = keeper_now_us (keeper);
  if (answer->outcome == RUNNER_OK)
    {
      row->state = ROW_STARTED;
      call_free (call);
      return;
    }
  if (answer->outcome == RUNNER_IN_DOUBT)
    {
      row->state = ROW_IN_DOUBT;
      keeper_log (keeper, "start_in_doubt", "task=%s run=%" G_GINT64_FORMAT, row->task, row->run);
    }
  else
    {
      if (answer->outcome == RUNNER_FENCED)
        raise_token (keeper);
      add_refused (keeper, row->task, row->run, answer->outcome);
      (void) g_hash_table_remove (keeper->rows, call->key);
    }
  call_free (call);
  keeper_changed (keeper);
}

static gboolean
may_start (const Keeper *keeper)
{
  return keeper_is_known (keeper) && !keeper->info->is_draining && !keeper->is_leaving
         && keeper->clock_ms >= 0
         && keeper->lease_end_us - keeper_now_us (keeper) >= LEASE_LEFT_MIN_MS * 1000
         && keeper_is_responsive (keeper);
}

static void
execute_start (Keeper *keeper, const Batch__Start *order)
{
  g_autofree char *key = keeper_row_key (order->task, order->run);
  RunnerTarget target = target_of (keeper);
  RunnerStart start = { .task = order->task,
                        .run = order->run,
                        .spec = order->spec,
                        .checkpoint = order->saved,
                        .ticket = order->ticket,
                        .until_ms = until_ms (keeper) };

  if (!may_start (keeper))
    {
      add_refused (keeper, order->task, order->run, RUNNER_LEASE_EXPIRED);
      return;
    }
  keeper_add_row (keeper, order->task, order->run, ROW_STARTING)->cpu_limit_known
      = FULL_CPU_PERCENT + 1;
  keeper->options.start (keeper->options.ctx, &target, &start, on_started, call_new (keeper, key));
}

static void
on_stopped (void *ctx, const RunnerAnswer *answer)
{
  KeeperCall *call = ctx;
  Keeper *keeper = call->keeper;
  KeeperRow *row = is_current (call) ? g_hash_table_lookup (keeper->rows, call->key) : NULL;

  if (row != NULL)
    {
      update_clock (keeper, answer);
      row->is_stopping = FALSE;
      row->stop_retry_us = keeper_now_us (keeper) + KEEPER_RETRY_MS * 1000;
      if (answer->outcome == RUNNER_FENCED)
        raise_token (keeper);
      if (answer->outcome == RUNNER_OK)
        {
          row->stop_answered = TRUE;
          row->state = ROW_STARTED;
          row->answered_us = keeper_now_us (keeper);
        }
    }
  call_free (call);
}

static void
send_stop (Keeper *keeper, KeeperRow *row)
{
  g_autofree char *key = keeper_row_key (row->task, row->run);
  RunnerTarget target = target_of (keeper);

  row->is_stopping = TRUE;
  keeper->options.stop (keeper->options.ctx, &target, row->task, row->run, on_stopped,
                        call_new (keeper, key));
}

static void
execute_stop (Keeper *keeper, const Batch__Stop *order)
{
  g_autofree char *key = keeper_row_key (order->task, order->run);
  KeeperRow *row = g_hash_table_lookup (keeper->rows, key);

  if (row == NULL)
    row = keeper_add_row (keeper, order->task, order->run, ROW_STARTED);
  row->stop_wanted = TRUE;
  if (row->state != ROW_STARTING && !row->is_stopping)
    send_stop (keeper, row);
}

static void
on_cpu_limit_set (void *ctx, const RunnerAnswer *answer)
{
  KeeperCall *call = ctx;
  KeeperRow *row = is_current (call) ? g_hash_table_lookup (call->keeper->rows, call->key) : NULL;

  if (answer->outcome != RUNNER_OK)
    keeper_log (call->keeper, "pace_failed", "run=\"%s\" outcome=%s", call->key,
                runner_outcome_name (answer->outcome));
  else if (row != NULL)
    row->cpu_limit_known = call->percent + 1;
  call_free (call);
}

static void
execute_cpu_limit (Keeper *keeper, const Batch__Pace *order)
{
  g_autofree char *key = keeper_row_key (order->task, order->run);
  RunnerTarget target = target_of (keeper);
  KeeperRow *row = g_hash_table_lookup (keeper->rows, key);
  KeeperCall *call = call_new (keeper, key);

  call->percent = order->percent;
  if (row != NULL)
    row->cpu_limit_known = 0;
  keeper->options.set_cpu_limit (keeper->options.ctx, &target, order->task, order->run,
                                 order->percent, on_cpu_limit_set, call);
}

void
keeper_execute_order (Keeper *keeper, const Batch__Order *order)
{
  switch (order->what_case)
    {
    case BATCH__ORDER__WHAT_START:
      execute_start (keeper, order->start);
      break;
    case BATCH__ORDER__WHAT_STOP:
      execute_stop (keeper, order->stop);
      break;
    case BATCH__ORDER__WHAT_PACE:
      execute_cpu_limit (keeper, order->pace);
      break;
    default:
      keeper_log (keeper, "order_unknown", "number=%" G_GUINT64_FORMAT, order->number);
      break;
    }
}

static void
on_polled (void *ctx, const RunnerAnswer *answer)
{
  KeeperCall *call = ctx;
  Keeper *keeper = call->keeper;

  if (!is_current (call))
    {
      call_free (call);
      return;
    }
  keeper->is_polling = FALSE;
  if (answer->outcome == RUNNER_OK && answer->running != NULL)
    {
      update_clock (keeper, answer);
      keeper_handle_poll (keeper, answer, call->sent_us);
      if (keeper->ended->len > 0)
        keeper->next_poll_us = keeper_now_us (keeper) + KEEPER_POLL_GAP_MS * 1000;
    }
  else
    {
      keeper->next_poll_us = keeper_now_us (keeper) + KEEPER_RETRY_MS * 1000;
      keeper_log (keeper, "look_failed", "outcome=%s", runner_outcome_name (answer->outcome));
      if (answer->outcome == RUNNER_FENCED)
        raise_token (keeper);
    }
  call_free (call);
  keeper_tick (keeper);
}

void
keeper_send_poll (Keeper *keeper)
{
  RunnerTarget target = target_of (keeper);
  RunnerPoll request = { .until_ms = until_ms (keeper),
                         .acked_end = keeper->ends_written,
                         .wait_ms = keeper->incarnation != 0 ? keeper->options.poll_wait_ms : 0 };

  target.timeout_ms += request.wait_ms;
  keeper->is_polling = TRUE;
  keeper->options.poll (keeper->options.ctx, &target, &request, on_polled, call_new (keeper, ""));
}

void
keeper_repeat_stops (Keeper *keeper)
{
  int64_t now = keeper_now_us (keeper);
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      KeeperRow *row = value;
      if (row->stop_wanted && !row->is_stopping && !row->stop_answered && row->state != ROW_STARTING
          && now >= row->stop_retry_us)
        send_stop (keeper, row);
    }
}
