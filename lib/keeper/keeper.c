#include "keeper/keeper.h"

#include <string.h>

#include "keeper/keeper_private.h"

/** Most ids of replaced workers that are kept. Late reports with these ids are ignored. */
#define REPLACED_MAX 16

static void
row_free (gpointer data)
{
  KeeperRow *row = data;

  g_free (row->task);
  worker_task_clear (&row->polled);
  g_free (row);
}

static void
refused_clear (gpointer data)
{
  g_free (((KeeperRefused *) data)->task);
}

static void
gone_clear (gpointer data)
{
  g_free (((KeeperGone *) data)->task);
}

static void
end_clear (gpointer data)
{
  worker_end_clear (&((KeeperEnd *) data)->end);
}

static GArray *
rows_new (guint size, GDestroyNotify clear)
{
  GArray *rows = g_array_new (FALSE, FALSE, size);

  g_array_set_clear_func (rows, clear);
  return rows;
}

GArray *
keeper_ends_new (void)
{
  return rows_new (sizeof (KeeperEnd), end_clear);
}

Keeper *
keeper_new (const KeeperOptions *options)
{
  Keeper *keeper = g_new0 (Keeper, 1);

  keeper->options = *options;
  keeper->token = options->token;
  keeper->clock_ms = -1;
  keeper->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  keeper->ended = keeper_ends_new ();
  keeper->refused = rows_new (sizeof (KeeperRefused), refused_clear);
  keeper->gone = rows_new (sizeof (KeeperGone), gone_clear);
  keeper->replaced = g_ptr_array_new_with_free_func (g_free);
  keeper->calls = g_hash_table_new_full (NULL, NULL, keeper_call_destroy, NULL);
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
  g_array_unref (keeper->gone);
  g_ptr_array_unref (keeper->replaced);
  g_hash_table_destroy (keeper->calls);
  g_free (keeper);
}

int64_t
keeper_now_us (const Keeper *keeper)
{
  return keeper->options.now_us (keeper->options.ctx);
}

gboolean
keeper_is_known (const Keeper *keeper)
{
  return keeper->info != NULL && keeper->incarnation != 0;
}

gboolean
keeper_is_responsive (const Keeper *keeper)
{
  return keeper_now_us (keeper) - keeper->polled_us <= KEEPER_SILENCE_MS * 1000;
}

void
keeper_log (const Keeper *keeper, const char *event, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  keeper->options.log (keeper->options.ctx, event, text);
}

void
keeper_changed (const Keeper *keeper)
{
  keeper->options.changed (keeper->options.ctx);
}

uint64_t
keeper_next_version (Keeper *keeper)
{
  return ++keeper->version;
}

void
keeper_add_gone (Keeper *keeper, const char *task, int64_t run)
{
  const KeeperGone row = { g_strdup (task), run, keeper_next_version (keeper) };

  g_array_append_val (keeper->gone, row);
}

char *
keeper_row_key (const char *task, int64_t run)
{
  return g_strdup_printf ("%s %" G_GINT64_FORMAT, task, run);
}

KeeperRow *
keeper_add_row (Keeper *keeper, const char *task, int64_t run, KeeperRowState state)
{
  KeeperRow *row = g_new0 (KeeperRow, 1);

  row->task = g_strdup (task);
  row->run = run;
  row->state = state;
  row->version = keeper_next_version (keeper);
  row->polled.task = g_strdup (task);
  row->polled.run = run;
  row->polled.checkpoint = g_strdup ("");
  g_hash_table_replace (keeper->rows, keeper_row_key (task, run), row);
  return row;
}

/* Drops the state of an incarnation. What was reported of it to an owner no longer holds. */
static void
drop_incarnation_state (Keeper *keeper)
{
  keeper->incarnation_count++;
  keeper->token++;
  keeper->is_polling = FALSE;
  keeper->applied_version = 0;
  keeper->info_version = keeper_next_version (keeper);
  g_hash_table_remove_all (keeper->rows);
  g_array_set_size (keeper->ended, 0);
  g_array_set_size (keeper->gone, 0);
}

/* Handles another worker, or a new incarnation of the same one. */
static void
begin_incarnation (Keeper *keeper, WorkerInfo *info)
{
  keeper_log (keeper, "worker_life", "id=%s born=%" G_GINT64_FORMAT " rows=%u", info->id,
              info->started_wall_ms, g_hash_table_size (keeper->rows));
  if (keeper->info != NULL && strcmp (keeper->info->id, info->id) != 0)
    {
      g_ptr_array_add (keeper->replaced, g_strdup (keeper->info->id));
      if (keeper->replaced->len > REPLACED_MAX)
        g_ptr_array_remove_index (keeper->replaced, 0);
    }
  worker_info_free (keeper->info);
  keeper->info = info;
  drop_incarnation_state (keeper);
  keeper->incarnation = 0;
  keeper->clock_ms = -1;
  keeper->lease_end_us = 0;
  keeper->ends_written = 0;
  keeper->is_gone = FALSE;
  keeper->next_poll_us = 0;
}

static gboolean
is_replaced (const Keeper *keeper, const WorkerInfo *info)
{
  for (guint i = 0; i < keeper->replaced->len; i++)
    {
      if (strcmp (g_ptr_array_index (keeper->replaced, i), info->id) == 0)
        return TRUE;
    }
  return keeper->info != NULL && info->started_wall_ms < keeper->info->started_wall_ms;
}

void
keeper_handle_info (Keeper *keeper, WorkerInfo *info)
{
  if (is_replaced (keeper, info))
    {
      keeper_log (keeper, "report_ignored", "id=%s born=%" G_GINT64_FORMAT " reason=replaced",
                  info->id, info->started_wall_ms);
      worker_info_free (info);
      return;
    }
  if (keeper->info == NULL || !worker_info_same_incarnation (keeper->info, info))
    {
      begin_incarnation (keeper, info);
      keeper_tick (keeper);
      return;
    }
  if (info->sequence < keeper->info->sequence)
    {
      worker_info_free (info);
      return;
    }
  gboolean is_changed = info->is_draining != keeper->info->is_draining;
  worker_info_free (keeper->info);
  keeper->info = info;
  if (!is_changed)
    return;
  keeper->info_version = keeper_next_version (keeper);
  keeper_log (keeper, "worker_state", "id=%s draining=%d", info->id, info->is_draining);
  keeper_changed (keeper);
}

void
keeper_worker_left (Keeper *keeper, const char *id)
{
  if (keeper->info == NULL || strcmp (keeper->info->id, id) != 0)
    return;
  keeper_log (keeper, "worker_left", "id=%s rows=%u", id, g_hash_table_size (keeper->rows));
  drop_incarnation_state (keeper);
  keeper->incarnation = (uint64_t) keeper->token;
  keeper->is_gone = TRUE;
  keeper->info->is_draining = TRUE;
  keeper_changed (keeper);
}

static void
apply_grant (Keeper *keeper, const Batch__Orders *orders)
{
  int64_t end_us = orders->echo_us + keeper->options.grant_ms * 1000;

  if (keeper->incarnation == 0 || orders->life != keeper->incarnation
      || orders->echo_us > keeper_now_us (keeper))
    return;
  keeper->lease_end_us = MAX (keeper->lease_end_us, end_us);
  if (orders->ends_kept <= keeper->ends_written)
    return;
  keeper->ends_written = orders->ends_kept;
  keeper->next_poll_us = 0;
}

static void
drop_applied (Keeper *keeper)
{
  while (keeper->gone->len > 0
         && g_array_index (keeper->gone, KeeperGone, 0).version <= keeper->applied_version)
    g_array_remove_index (keeper->gone, 0);
  while (keeper->refused->len > 0
         && g_array_index (keeper->refused, KeeperRefused, 0).version <= keeper->applied_version)
    g_array_remove_index (keeper->refused, 0);
}

static void
apply_report_version (Keeper *keeper, const Batch__Orders *orders)
{
  if (orders->life != keeper->incarnation || orders->report_taken > keeper->version)
    return;
  keeper->applied_version = orders->report_taken;
  drop_applied (keeper);
}

/* Reports a start that is not carried out as gone, since it leaves no row. */
static void
skip_order (Keeper *keeper, const Batch__Order *order)
{
  if (order->what_case == BATCH__ORDER__WHAT_START)
    keeper_add_gone (keeper, order->start->task, order->start->run);
}

static void
handle_order (Keeper *keeper, const Batch__Orders *orders, const Batch__Order *order)
{
  if (order->number <= keeper->done_number)
    return;
  keeper->done_number = order->number;
  if (orders->life == keeper->incarnation)
    keeper_execute_order (keeper, order);
  else
    skip_order (keeper, order);
}

gboolean
keeper_handle_orders (Keeper *keeper, const Batch__Orders *orders)
{
  if (orders->epoch < keeper->epoch)
    return FALSE;
  if (orders->epoch > keeper->epoch)
    {
      keeper_log (keeper, "owner", "name=%s epoch=%" G_GUINT64_FORMAT, orders->owner,
                  orders->epoch);
      keeper->epoch = orders->epoch;
      keeper->done_number = 0;
      keeper->applied_version = 0;
      keeper_changed (keeper);
    }
  /* This owner has no state of this agent process, or lost it. */
  if (orders->agent_boot == 0)
    keeper->applied_version = 0;
  if (orders->agent_boot != keeper->options.boot)
    return TRUE;
  apply_grant (keeper, orders);
  apply_report_version (keeper, orders);
  keeper_poll_if_due (keeper);
  /* An earlier message was lost. The owner sends its orders again. */
  if (orders->order_before > keeper->done_number)
    return TRUE;
  for (size_t i = 0; i < orders->n_orders; i++)
    handle_order (keeper, orders, orders->orders[i]);
  return TRUE;
}

void
keeper_poll_if_due (Keeper *keeper)
{
  if (keeper->info == NULL || keeper->is_gone || keeper->is_polling)
    return;
  if (keeper_now_us (keeper) >= keeper->next_poll_us)
    keeper_send_poll (keeper);
}

void
keeper_tick (Keeper *keeper)
{
  if (keeper->info == NULL || keeper->is_gone)
    return;
  keeper_repeat_stops (keeper);
  keeper_poll_if_due (keeper);
}

void
keeper_leave (Keeper *keeper)
{
  keeper->is_leaving = TRUE;
  keeper_changed (keeper);
}
