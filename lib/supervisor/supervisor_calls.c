#include <string.h>

#include "supervisor/supervisor_private.h"

/** The worker's clock runs at no less than this rate of the agent's clock. */
#define CLOCK_RATE_MIN 0.98
/** Least time left of the lease for a start. */
#define LEASE_LEFT_MIN_MS 500
/** Most refusals kept for reports. */
#define REFUSED_MAX 32
/** Pause before a failed poll is repeated while it is open which incarnation the worker is. */
#define CANDIDATE_RETRY_MS 50
/** Length of the leases of a worker that drains. If it leaves and refuses connections, its tasks
 * wait this long until they start elsewhere. */
#define DRAIN_LEASE_MS 1500
/** Longest wait of its polls. A poll that is lost, its repeat and the one after that, which extends
 * the lease again, fit into such a lease. */
#define DRAIN_POLL_WAIT_MS 100
/** CPU limit at which a task starts, in percent. */
#define FULL_CPU_PERCENT 100
/** A call without an answer may take effect up to this much later. */
#define LATE_EFFECT_MS 12500
/** Increase of the fencing token after the worker refused a call because it knows a higher one. */
#define TOKEN_STEP 1000000

void
supervisor_call_destroy (gpointer data)
{
  SupervisorCall *call = data;

  g_free (call->key);
  g_free (call);
}

static RunnerTarget
target_of (const Supervisor *supervisor)
{
  return (RunnerTarget){ .worker_id = supervisor->info != NULL ? supervisor->info->id : NULL,
                         .timeout_ms = supervisor->options.call_timeout_ms,
                         .token = supervisor->token };
}

static SupervisorCall *
call_new (Supervisor *supervisor, const char *key)
{
  SupervisorCall *call = g_new0 (SupervisorCall, 1);

  call->supervisor = supervisor;
  call->incarnation_count = supervisor->incarnation_count;
  call->n_failed_calls = supervisor->n_failed_calls;
  call->key = g_strdup (key);
  call->sent_us = supervisor_now_us (supervisor);
  call->clock_ms = supervisor->clock_ms;
  g_hash_table_add (supervisor->calls, call);
  return call;
}

static void
call_free (SupervisorCall *call)
{
  (void) g_hash_table_remove (call->supervisor->calls, call);
}

static void
update_clock (Supervisor *supervisor, const RunnerAnswer *answer)
{
  if (answer->clock_ms < 0)
    return;
  supervisor->clock_ms = answer->clock_ms;
  supervisor->clock_us = supervisor_now_us (supervisor);
}

/* Returns the end of the lease for a call that is sent now, on the worker's clock and allowing for
 * a slow one; 0: no lease. */
static int64_t
extend_lease (Supervisor *supervisor)
{
  int64_t end_us = supervisor->lease_end_us;

  if (supervisor->info->is_draining)
    end_us = MIN (end_us, supervisor_now_us (supervisor) + DRAIN_LEASE_MS * 1000);
  if (supervisor->clock_ms < 0 || end_us <= supervisor->clock_us)
    return 0;
  supervisor->leased_until_us = MAX (supervisor->leased_until_us, end_us);
  int64_t left_ms = (end_us - supervisor->clock_us) / 1000;
  return supervisor->clock_ms + (int64_t) ((double) left_ms * CLOCK_RATE_MIN);
}

static void
raise_token (Supervisor *supervisor)
{
  supervisor->token += TOKEN_STEP;
  supervisor_log (supervisor, "token_raised", "token=%" G_GINT64_FORMAT, supervisor->token);
}

static void
add_refused (Supervisor *supervisor, const char *task, int64_t run, RunnerOutcome outcome)
{
  SupervisorRefused row = { g_strdup (task), run, outcome, supervisor_next_version (supervisor) };

  if (supervisor->refused->len >= REFUSED_MAX)
    g_array_remove_index (supervisor->refused, 0);
  g_array_append_val (supervisor->refused, row);
  supervisor_add_gone (supervisor, task, run);
  supervisor_log (supervisor, "start_refused", "task=%s run=%" G_GINT64_FORMAT " outcome=%s", task,
                  run, runner_outcome_name (outcome));
}

static gboolean
is_current (const SupervisorCall *call)
{
  return call->incarnation_count == call->supervisor->incarnation_count;
}

/* Each incarnation says when it started in some of its answers, and has a clock of its own that
 * only goes forward. */
static gboolean
is_of_other_incarnation (const SupervisorCall *call, const RunnerAnswer *answer)
{
  int64_t started_ms = call->supervisor->info->started_wall_ms;

  return (answer->born_wall_ms != 0 && answer->born_wall_ms != started_ms)
         || (answer->clock_ms >= 0 && answer->clock_ms < call->clock_ms);
}

/* The worker may have restarted. What it answered to a poll before that says nothing of it now. */
static void
note_failed_call (Supervisor *supervisor)
{
  supervisor->is_verified = FALSE;
  supervisor->n_failed_calls++;
}

/* Returns FALSE if the answer is of no use: the call was sent to an earlier incarnation, or another
 * one answered. A worker can restart under its id, and its ends are then numbered from 1 again; its
 * lists would be taken for those of the incarnation before. */
static gboolean
check_answer (const SupervisorCall *call, const RunnerAnswer *answer)
{
  Supervisor *supervisor = call->supervisor;

  if (!is_current (call))
    return FALSE;
  if (answer->outcome == RUNNER_OTHER_INCARNATION || answer->outcome == RUNNER_NOT_SENT
      || answer->outcome == RUNNER_IN_DOUBT)
    note_failed_call (supervisor);
  if (!is_of_other_incarnation (call, answer))
    return TRUE;
  supervisor_log (supervisor, "other_incarnation",
                  "id=%s born=%" G_GINT64_FORMAT " answer_born=%" G_GINT64_FORMAT
                  " clock_ms=%" G_GINT64_FORMAT " answer_clock_ms=%" G_GINT64_FORMAT
                  " ends_written=%" G_GINT64_FORMAT,
                  supervisor->info->id, supervisor->info->started_wall_ms, answer->born_wall_ms,
                  call->clock_ms, answer->clock_ms, supervisor->ends_written);
  supervisor_worker_changed (supervisor);
  return FALSE;
}

static void
on_started (void *ctx, const RunnerAnswer *answer)
{
  SupervisorCall *call = ctx;
  Supervisor *supervisor = call->supervisor;
  SupervisorRow *row
      = check_answer (call, answer) ? g_hash_table_lookup (supervisor->rows, call->key) : NULL;

  if (row == NULL)
    {
      call_free (call);
      return;
    }
  update_clock (supervisor, answer);
  row->answered_us = supervisor_now_us (supervisor);
  if (answer->outcome == RUNNER_OK)
    {
      row->state = ROW_STARTED;
      call_free (call);
      return;
    }
  /* That a start was not sent rests on the client alone. A run that it overlooked would have no row
   * here while its task starts elsewhere; only the worker's answer to a stop rules that out. */
  if (answer->outcome == RUNNER_IN_DOUBT || answer->outcome == RUNNER_NOT_SENT)
    {
      row->state = ROW_IN_DOUBT;
      supervisor_log (supervisor, "start_in_doubt", "task=%s run=%" G_GINT64_FORMAT " outcome=%s",
                      row->task, row->run, runner_outcome_name (answer->outcome));
    }
  else
    {
      if (answer->outcome == RUNNER_FENCED)
        raise_token (supervisor);
      add_refused (supervisor, row->task, row->run, answer->outcome);
      (void) g_hash_table_remove (supervisor->rows, call->key);
    }
  call_free (call);
  supervisor_changed (supervisor);
}

static gboolean
may_start (const Supervisor *supervisor)
{
  return supervisor_is_known (supervisor) && supervisor->is_verified
         && !supervisor->info->is_draining && !supervisor->is_leaving && supervisor->clock_ms >= 0
         && supervisor->lease_end_us - supervisor_now_us (supervisor) >= LEASE_LEFT_MIN_MS * 1000
         && supervisor_is_responsive (supervisor);
}

/* The worker's capacity may have shrunk since the order was sent. */
static gboolean
has_capacity (const Supervisor *supervisor, const Batch__Start *order)
{
  const JobSize *capacity = &supervisor->info->capacity;

  return !order->has_needs
         || (order->needs_cpu_m <= capacity->cpu_m && order->needs_mem_mb <= capacity->mem_mb
             && order->needs_gpus <= capacity->gpus);
}

static void
execute_start (Supervisor *supervisor, const Batch__Start *order)
{
  g_autofree char *key = supervisor_row_key (order->task, order->run);
  RunnerTarget target = target_of (supervisor);
  RunnerStart start = { .task = order->task,
                        .run = order->run,
                        .spec = order->spec,
                        .checkpoint = order->saved,
                        .ticket = order->ticket };

  if (supervisor->forbids_starts)
    {
      add_refused (supervisor, order->task, order->run, RUNNER_NOT_SENT);
      return;
    }
  if (!may_start (supervisor))
    {
      add_refused (supervisor, order->task, order->run, RUNNER_LEASE_EXPIRED);
      return;
    }
  if (!has_capacity (supervisor, order))
    {
      add_refused (supervisor, order->task, order->run, RUNNER_NO_CAPACITY);
      return;
    }
  supervisor_add_row (supervisor, order->task, order->run, ROW_STARTING)->cpu_limit_known
      = FULL_CPU_PERCENT + 1;
  start.until_ms = extend_lease (supervisor);
  supervisor->options.start (supervisor->options.ctx, &target, &start, on_started,
                             call_new (supervisor, key));
}

static void
on_stopped (void *ctx, const RunnerAnswer *answer)
{
  SupervisorCall *call = ctx;
  Supervisor *supervisor = call->supervisor;
  SupervisorRow *row
      = check_answer (call, answer) ? g_hash_table_lookup (supervisor->rows, call->key) : NULL;

  if (row != NULL)
    {
      update_clock (supervisor, answer);
      row->is_stopping = FALSE;
      row->stop_retry_us = supervisor_now_us (supervisor) + SUPERVISOR_RETRY_MS * 1000;
      if (answer->outcome == RUNNER_FENCED)
        raise_token (supervisor);
      if (answer->outcome == RUNNER_OK)
        {
          row->stop_answered = TRUE;
          row->state = ROW_STARTED;
          row->answered_us = supervisor_now_us (supervisor);
        }
    }
  call_free (call);
}

static void
send_stop (Supervisor *supervisor, SupervisorRow *row)
{
  g_autofree char *key = supervisor_row_key (row->task, row->run);
  RunnerTarget target = target_of (supervisor);

  row->is_stopping = TRUE;
  supervisor->options.stop (supervisor->options.ctx, &target, row->task, row->run, on_stopped,
                            call_new (supervisor, key));
}

static void
execute_stop (Supervisor *supervisor, const Batch__Stop *order)
{
  g_autofree char *key = supervisor_row_key (order->task, order->run);
  SupervisorRow *row = g_hash_table_lookup (supervisor->rows, key);

  if (row == NULL)
    row = supervisor_add_row (supervisor, order->task, order->run, ROW_STARTED);
  row->stop_wanted = TRUE;
  if (row->state != ROW_STARTING && !row->is_stopping)
    send_stop (supervisor, row);
}

static void send_cpu_limit (Supervisor *supervisor, SupervisorRow *row);

static void
on_cpu_limit_set (void *ctx, const RunnerAnswer *answer)
{
  SupervisorCall *call = ctx;
  Supervisor *supervisor = call->supervisor;
  SupervisorRow *row
      = check_answer (call, answer) ? g_hash_table_lookup (supervisor->rows, call->key) : NULL;
  int64_t now = supervisor_now_us (supervisor);

  if (answer->outcome != RUNNER_OK)
    supervisor_log (supervisor, "pace_failed", "run=\"%s\" outcome=%s", call->key,
                    runner_outcome_name (answer->outcome));
  if (answer->outcome == RUNNER_FENCED)
    raise_token (supervisor);
  if (row != NULL)
    {
      row->is_limiting = FALSE;
      row->cpu_limit_known = answer->outcome == RUNNER_OK ? call->percent + 1 : 0;
      row->limit_retry_us = now + SUPERVISOR_RETRY_MS * 1000;
      if (answer->outcome == RUNNER_IN_DOUBT)
        row->limit_doubt_us = now + LATE_EFFECT_MS * 1000;
      if (answer->outcome == RUNNER_OK && row->cpu_limit_known != row->cpu_limit_wanted)
        send_cpu_limit (supervisor, row);
    }
  call_free (call);
}

static void
send_cpu_limit (Supervisor *supervisor, SupervisorRow *row)
{
  g_autofree char *key = supervisor_row_key (row->task, row->run);
  RunnerTarget target = target_of (supervisor);
  SupervisorCall *call = call_new (supervisor, key);

  call->percent = row->cpu_limit_wanted - 1;
  row->is_limiting = TRUE;
  supervisor->options.set_cpu_limit (supervisor->options.ctx, &target, row->task, row->run,
                                     call->percent, on_cpu_limit_set, call);
}

/* Calls for one run could be carried out in any order, so only one is under way. */
static void
execute_cpu_limit (Supervisor *supervisor, const Batch__Pace *order)
{
  g_autofree char *key = supervisor_row_key (order->task, order->run);
  SupervisorRow *row = g_hash_table_lookup (supervisor->rows, key);

  if (row == NULL)
    {
      supervisor_log (supervisor, "pace_skipped", "run=\"%s\" reason=not_here", key);
      return;
    }
  row->cpu_limit_known = 0;
  row->cpu_limit_wanted = order->percent + 1;
  if (!row->is_limiting)
    send_cpu_limit (supervisor, row);
}

static gboolean
needs_limit (const SupervisorRow *row, int64_t now)
{
  return row->cpu_limit_wanted != 0 && !row->is_limiting && !row->stop_wanted
         && now >= row->limit_retry_us
         && (row->cpu_limit_known != row->cpu_limit_wanted || now < row->limit_doubt_us);
}

void
supervisor_repeat_limits (Supervisor *supervisor)
{
  int64_t now = supervisor_now_us (supervisor);
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, supervisor->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (needs_limit (value, now))
        send_cpu_limit (supervisor, value);
    }
}

void
supervisor_execute_order (Supervisor *supervisor, const Batch__Order *order)
{
  switch (order->what_case)
    {
    case BATCH__ORDER__WHAT_START:
      execute_start (supervisor, order->start);
      break;
    case BATCH__ORDER__WHAT_STOP:
      execute_stop (supervisor, order->stop);
      break;
    case BATCH__ORDER__WHAT_PACE:
      execute_cpu_limit (supervisor, order->pace);
      break;
    default:
      supervisor_log (supervisor, "order_unknown", "number=%" G_GUINT64_FORMAT, order->number);
      break;
    }
}

static void
on_polled (void *ctx, const RunnerAnswer *answer)
{
  SupervisorCall *call = ctx;
  Supervisor *supervisor = call->supervisor;

  if (!check_answer (call, answer))
    {
      call_free (call);
      return;
    }
  supervisor->is_polling = FALSE;
  if (answer->outcome == RUNNER_OK && answer->running != NULL)
    {
      update_clock (supervisor, answer);
      supervisor->is_verified = call->n_failed_calls == supervisor->n_failed_calls;
      supervisor_handle_poll (supervisor, answer, call->sent_us);
      supervisor_confirm (supervisor, call->sent_us);
      if (supervisor->ended->len > 0)
        supervisor->next_poll_us = supervisor_now_us (supervisor) + SUPERVISOR_POLL_GAP_MS * 1000;
    }
  else
    {
      supervisor->is_verified = FALSE;
      int64_t pause_ms = supervisor->candidate != NULL || supervisor->info->is_draining
                             ? CANDIDATE_RETRY_MS
                             : SUPERVISOR_RETRY_MS;
      supervisor->next_poll_us = supervisor_now_us (supervisor) + pause_ms * 1000;
      if (supervisor->unanswered_us == 0)
        supervisor->unanswered_us = supervisor_now_us (supervisor);
      supervisor_log (supervisor, "look_failed", "outcome=%s",
                      runner_outcome_name (answer->outcome));
      if (answer->outcome == RUNNER_FENCED)
        raise_token (supervisor);
      /* A partition refuses connections, too, while the worker runs its tasks inside its lease. */
      if (answer->outcome == RUNNER_OTHER_INCARNATION)
        supervisor_worker_ended (supervisor, TRUE);
      else if (answer->outcome == RUNNER_NOT_SENT)
        supervisor_worker_ended (supervisor, call->sent_us > supervisor->leased_until_us);
    }
  call_free (call);
  supervisor_tick (supervisor);
}

/* After a poll without an answer the worker may have restarted under its id. What the next poll
 * says about its ends and its clock would be about those of another incarnation, so it says
 * nothing. */
static RunnerPoll
poll_request (Supervisor *supervisor)
{
  int64_t wait_ms = supervisor->options.poll_wait_ms;

  if (!supervisor->is_verified)
    return (RunnerPoll){ 0 };
  if (supervisor->info->is_draining)
    wait_ms = MIN (wait_ms, DRAIN_POLL_WAIT_MS);
  return (RunnerPoll){ .until_ms = extend_lease (supervisor),
                       .acked_end = supervisor->ends_written,
                       .wait_ms = wait_ms };
}

void
supervisor_send_poll (Supervisor *supervisor)
{
  RunnerTarget target = target_of (supervisor);
  RunnerPoll request = poll_request (supervisor);

  target.timeout_ms += request.wait_ms;
  supervisor->is_polling = TRUE;
  supervisor->options.poll (supervisor->options.ctx, &target, &request, on_polled,
                            call_new (supervisor, ""));
}

void
supervisor_repeat_stops (Supervisor *supervisor)
{
  int64_t now = supervisor_now_us (supervisor);
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, supervisor->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SupervisorRow *row = value;
      if (row->stop_wanted && !row->is_stopping && !row->stop_answered && row->state != ROW_STARTING
          && now >= row->stop_retry_us)
        send_stop (supervisor, row);
    }
}
