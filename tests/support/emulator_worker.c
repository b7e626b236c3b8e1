/* Workers: runs under a lease on their own clock, fencing tokens, numbered ends. */
#include <string.h>

#include "support/emulator_private.h"

#define OVERLOOKED_PERCENT 1
#define BEAT_MS 700
#define STOP_GRACE_MS 200
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define ENDS_PER_ANSWER_MAX 500
/** While a worker is in trouble: calls that are lost, whose answer is lost, and that are late. */
#define LOST_PERCENT 10
#define UNANSWERED_PERCENT 15
#define LATE_PERCENT 20
#define DRAIN_MS 2500
/** How long a worker lives on after its leave if it does not learn that the leave arrived. */
#define CUT_LEAVE_MS 3000
#define RESET_PERCENT 80

static int64_t
wall_ms (const Emulator *emu)
{
  return EMU_WALL_MS + emu->now_us / CLK_US_PER_MS;
}

static int64_t
clock_ms (const EmuWorker *worker)
{
  double passed_ms = (double) (worker->emu->now_us - worker->start_us) / CLK_US_PER_MS;

  return worker->clock_base_ms + (int64_t) (passed_ms * worker->clock_rate);
}

static void
answer_clear (gpointer data)
{
  EmuCall *call = data;

  g_clear_pointer (&call->answer.running, g_array_unref);
  g_clear_pointer (&call->answer.ended, g_array_unref);
}

EmuCall *
emu_call_ref (EmuCall *call)
{
  return g_rc_box_acquire (call);
}

void
emu_call_unref (gpointer call)
{
  g_rc_box_release_full (call, answer_clear);
}

static void
on_answer (gpointer ctx, gpointer data)
{
  EmuCall *call = data;

  (void) ctx;
  if (call->is_answered)
    return;
  call->is_answered = TRUE;
  call->done (call->done_ctx, &call->answer);
}

static void
on_timeout (gpointer ctx, gpointer data)
{
  EmuCall *call = data;
  const RunnerAnswer none = { .outcome = RUNNER_IN_DOUBT, .clock_ms = -1 };

  (void) ctx;
  if (call->is_answered)
    return;
  call->is_answered = TRUE;
  call->done (call->done_ctx, &none);
}

static void
answer (EmuCall *call)
{
  Emulator *emu = call->agent->emu;

  if (call->loses_answer || call->agent->process.life != call->agent_life)
    return;
  emu_after (emu, emu_between (emu, 200, 2500), &call->agent->process, on_answer, NULL,
             emu_call_ref (call), emu_call_unref);
}

static gboolean
is_listed (const EmuWorker *worker)
{
  return worker->ends->len > 0;
}

static void
fill_lists (const EmuWorker *worker, RunnerAnswer *lists)
{
  lists->running = worker_tasks_new ();
  lists->ended = worker_ends_new ();
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const EmuRun *run = &g_array_index (worker->runs, EmuRun, i);
      int64_t passed_us = worker->emu->now_us - run->start_us;
      WorkerTask row = { g_strdup (run->task), run->run, g_strdup (""),
                         MIN (passed_us * 100 / run->duration_us, 99), run->cpu_m };
      g_array_append_val (lists->running, row);
    }
  for (guint i = 0; i < MIN (worker->ends->len, ENDS_PER_ANSWER_MAX); i++)
    {
      const EmuEnd *end = &g_array_index (worker->ends, EmuEnd, i);
      WorkerEnd row = { end->number, g_strdup (end->task), end->run, end->how, g_strdup ("") };
      g_array_append_val (lists->ended, row);
    }
}

static void
answer_poll (EmuWorker *worker, EmuCall *call)
{
  call->is_served = TRUE;
  call->answer.outcome = RUNNER_OK;
  call->answer.clock_ms = clock_ms (worker);
  call->answer.born_wall_ms = worker->born_wall_ms;
  fill_lists (worker, &call->answer);
  answer (call);
}

static void
answer_parked (EmuWorker *worker)
{
  while (worker->parked->len > 0)
    {
      EmuCall *call = g_ptr_array_steal_index (worker->parked, worker->parked->len - 1);
      answer_poll (worker, call);
      emu_call_unref (call);
    }
}

static void
on_wait_over (gpointer ctx, gpointer data)
{
  EmuWorker *worker = ctx;
  EmuCall *call = data;

  if (call->is_served || !g_ptr_array_remove (worker->parked, call))
    return;
  answer_poll (worker, call);
}

static void
note_ended (EmuWorker *worker, const char *task, int64_t run)
{
  gpointer known = g_hash_table_lookup (worker->ended, task);

  if (GPOINTER_TO_SIZE (known) < (gsize) run)
    g_hash_table_insert (worker->ended, g_strdup (task), GSIZE_TO_POINTER ((gsize) run));
}

static void
end_run (EmuWorker *worker, guint index, WorkerEndHow how)
{
  const EmuRun run = g_array_index (worker->runs, EmuRun, index);
  EmuEnd end
      = { .number = ++worker->n_ends, .run = run.run, .how = how, .end_us = worker->emu->now_us };

  (void) g_strlcpy (end.task, run.task, sizeof end.task);
  g_array_remove_index (worker->runs, index);
  g_array_append_val (worker->ends, end);
  note_ended (worker, run.task, run.run);
  emu_trace (worker->emu, worker->process.name,
             "end %" G_GINT64_FORMAT " %s run=%" G_GINT64_FORMAT " %s", end.number, end.task,
             end.run, worker_end_name (how));
  emu_check_ended (worker, &run, (int) how);
  answer_parked (worker);
}

static int
find_run (const EmuWorker *worker, const char *task, int64_t run)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const EmuRun *row = &g_array_index (worker->runs, EmuRun, i);
      if (row->run == run && strcmp (row->task, task) == 0)
        return (int) i;
    }
  return -1;
}

static int
find_serial (const EmuWorker *worker, uint64_t serial)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      if (g_array_index (worker->runs, EmuRun, i).serial == serial)
        return (int) i;
    }
  return -1;
}

static void
on_finished (gpointer ctx, gpointer data)
{
  EmuWorker *worker = ctx;
  int index = find_serial (worker, GPOINTER_TO_SIZE (data));

  if (index < 0)
    return;
  const EmuRun *run = &g_array_index (worker->runs, EmuRun, index);
  if (!run->is_stopping)
    end_run (worker, (guint) index, run->is_failing ? WORKER_END_FAILED : WORKER_END_DONE);
}

static void
on_stopped (gpointer ctx, gpointer data)
{
  int index = find_serial (ctx, GPOINTER_TO_SIZE (data));

  if (index >= 0)
    end_run (ctx, (guint) index, WORKER_END_STOPPED);
}

/* Ends that were not acknowledged when the lease expires are void. */
static void
expire_lease (EmuWorker *worker)
{
  emu_trace (worker->emu, worker->process.name, "lease expired runs=%u", worker->runs->len);
  for (guint i = 0; i < worker->ends->len; i++)
    g_array_index (worker->ends, EmuEnd, i).is_void = TRUE;
  worker->lease_ms = 0;
  while (worker->runs->len > 0)
    end_run (worker, 0, WORKER_END_EXPIRED);
}

static void
check_lease (gpointer ctx, gpointer data)
{
  EmuWorker *worker = ctx;
  int64_t left_ms = worker->lease_ms - clock_ms (worker);

  (void) data;
  worker->is_lease_checked = worker->lease_ms != 0 && left_ms > 0;
  if (worker->is_lease_checked)
    emu_after (worker->emu, left_ms * CLK_US_PER_MS, &worker->process, check_lease, worker, NULL,
               NULL);
  else if (worker->lease_ms != 0)
    expire_lease (worker);
}

static void
extend_lease (EmuWorker *worker, int64_t until_ms)
{
  int64_t now_ms = clock_ms (worker);

  if (until_ms <= now_ms)
    return;
  worker->lease_ms = MAX (worker->lease_ms, MIN (until_ms, now_ms + EMU_LEASE_MAX_MS));
  if (!worker->is_lease_checked)
    check_lease (worker, NULL);
}

static int64_t
used_cpu_m (const EmuWorker *worker)
{
  int64_t cpu_m = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    cpu_m += g_array_index (worker->runs, EmuRun, i).cpu_m;
  return cpu_m;
}

static RunnerOutcome
start_run (EmuWorker *worker, const EmuCall *call)
{
  Emulator *emu = worker->emu;
  EmuRun run = { .run = call->run, .serial = emu_serial (emu), .start_us = emu->now_us };

  (void) g_strlcpy (run.task, call->task, sizeof run.task);
  run.cpu_m = emu_check_cpu_m (emu, run.task);
  run.duration_us = emu_check_duration_us (emu, run.task, run.run, &run.is_failing);
  if (worker->guards_capacity && used_cpu_m (worker) + run.cpu_m > EMU_CPU_M)
    return RUNNER_NO_CAPACITY;
  emu->result->n_starts++;
  emu_trace (emu, worker->process.name,
             "start %s run=%" G_GINT64_FORMAT " lease_ms=%" G_GINT64_FORMAT, run.task, run.run,
             worker->lease_ms - clock_ms (worker));
  emu_check_started (worker, &run);
  g_array_append_val (worker->runs, run);
  emu_after (emu, run.duration_us, &worker->process, on_finished, worker,
             GSIZE_TO_POINTER (run.serial), NULL);
  return RUNNER_OK;
}

static RunnerOutcome
handle_start (EmuWorker *worker, const EmuCall *call)
{
  if (call->until_ms <= clock_ms (worker))
    return RUNNER_LEASE_EXPIRED;
  extend_lease (worker, call->until_ms);
  if (find_run (worker, call->task, call->run) >= 0)
    return RUNNER_OK;
  if (GPOINTER_TO_SIZE (g_hash_table_lookup (worker->ended, call->task)) >= (gsize) call->run)
    return RUNNER_OLD_RUN;
  return start_run (worker, call);
}

static RunnerOutcome
handle_stop (EmuWorker *worker, const EmuCall *call)
{
  Emulator *emu = worker->emu;
  int index = find_run (worker, call->task, call->run);

  note_ended (worker, call->task, call->run);
  if (index < 0)
    return RUNNER_OK;
  EmuRun *run = &g_array_index (worker->runs, EmuRun, index);
  if (!run->is_stopping)
    emu_after (emu, emu_between (emu, 0, STOP_GRACE_MS) * CLK_US_PER_MS, &worker->process,
               on_stopped, worker, GSIZE_TO_POINTER (run->serial), NULL);
  run->is_stopping = TRUE;
  return RUNNER_OK;
}

static void
acknowledge_ends (EmuWorker *worker, int64_t number)
{
  while (worker->ends->len > 0 && g_array_index (worker->ends, EmuEnd, 0).number <= number)
    {
      const EmuEnd end = g_array_index (worker->ends, EmuEnd, 0);
      g_array_remove_index (worker->ends, 0);
      emu_check_acknowledged (worker, &end);
    }
}

static void
handle_poll (EmuWorker *worker, EmuCall *call)
{
  extend_lease (worker, call->until_ms);
  acknowledge_ends (worker, call->acked_end);
  if (call->wait_ms == 0 || is_listed (worker))
    {
      answer_poll (worker, call);
      return;
    }
  g_ptr_array_add (worker->parked, emu_call_ref (call));
  emu_after (worker->emu, call->wait_ms * CLK_US_PER_MS, &worker->process, on_wait_over, worker,
             emu_call_ref (call), emu_call_unref);
}

static RunnerOutcome
judge_call (EmuWorker *worker, const EmuCall *call)
{
  if (!worker->process.is_up)
    return RUNNER_NOT_SENT;
  if (strcmp (call->worker_id, worker->id) != 0)
    return RUNNER_OTHER_INCARNATION;
  if (call->token < worker->fence)
    return RUNNER_FENCED;
  worker->fence = call->token;
  return RUNNER_OK;
}

static void
execute (gpointer ctx, gpointer data)
{
  EmuWorker *worker = ctx;
  EmuCall *call = data;

  if (worker->emu->now_us < worker->refused_until_us)
    {
      call->answer = (RunnerAnswer){ .outcome = RUNNER_NOT_SENT, .clock_ms = -1 };
      answer (call);
      return;
    }
  call->answer.outcome = judge_call (worker, call);
  call->answer.clock_ms = worker->process.is_up ? clock_ms (worker) : -1;
  if (call->answer.outcome == RUNNER_OK && call->kind == EMU_CALL_POLL)
    {
      handle_poll (worker, call);
      return;
    }
  if (call->answer.outcome == RUNNER_OK && call->kind == EMU_CALL_START)
    {
      call->answer.outcome = handle_start (worker, call);
      if (worker->emu->options.has_overlooked_starts && call->answer.outcome == RUNNER_OK
          && emu_chance (worker->emu, OVERLOOKED_PERCENT))
        call->answer = (RunnerAnswer){ .outcome = RUNNER_NOT_SENT, .clock_ms = -1 };
    }
  else if (call->answer.outcome == RUNNER_OK && call->kind == EMU_CALL_STOP)
    call->answer.outcome = handle_stop (worker, call);
  answer (call);
}

void
emu_worker_call (EmuCall *call)
{
  EmuAgent *agent = call->agent;
  Emulator *emu = agent->emu;
  EmuWorker *worker = &emu->workers[agent->index];
  int64_t timeout_ms = 600 + call->wait_ms;
  int64_t delay_us = emu_between (emu, 200, 2500);
  gboolean has_trouble = emu->now_us < worker->trouble_until_us;

  emu_after (emu, timeout_ms * CLK_US_PER_MS, &agent->process, on_timeout, NULL,
             emu_call_ref (call), emu_call_unref);
  if (has_trouble && emu_chance (emu, LOST_PERCENT))
    {
      emu_call_unref (call);
      return;
    }
  call->loses_answer = has_trouble && emu_chance (emu, UNANSWERED_PERCENT);
  if (!has_trouble || !emu->options.has_late_calls || !emu_chance (emu, LATE_PERCENT))
    {
      emu_after (emu, delay_us, NULL, execute, worker, call, emu_call_unref);
      return;
    }
  /* A late call ends with the process that received it. */
  delay_us = emu_between (emu, LATE_MIN_MS, LATE_MAX_MS) * CLK_US_PER_MS;
  call->loses_answer = TRUE;
  emu_trace (emu, worker->process.name,
             "call late kind=%d %s run=%" G_GINT64_FORMAT " by_ms=%" G_GINT64_FORMAT,
             (int) call->kind, call->task, call->run, delay_us / CLK_US_PER_MS);
  emu_after (emu, delay_us, &worker->process, execute, worker, call, emu_call_unref);
}

typedef struct
{
  EmuWorker *worker;
  WorkerInfo *info;
} Beat;

static void
beat_free (gpointer data)
{
  Beat *beat = data;

  worker_info_free (beat->info);
  g_free (beat);
}

static void
on_beat_arrived (gpointer ctx, gpointer data)
{
  Beat *beat = data;
  EmuWorker *worker = ctx;
  EmuAgent *agent = &worker->emu->agents[worker->index];

  if (!agent->process.is_up)
    return;
  supervisor_handle_info (agent->supervisor, g_steal_pointer (&beat->info));
}

static WorkerInfo *
describe (EmuWorker *worker)
{
  WorkerInfo *info = worker_info_new ();

  info->id = g_strdup (worker->id);
  info->started_wall_ms = worker->born_wall_ms;
  info->service = g_strdup ("service");
  info->data_centre = g_strdup ("dc");
  info->instance = g_strdup ("");
  info->labels = g_new0 (char *, 3);
  info->labels[0] = g_strdup ("a");
  info->labels[1] = g_strdup_printf ("r%u", worker->index / 2);
  info->capacity = (JobSize){ EMU_CPU_M, 64000, 0 };
  info->is_draining = worker->is_draining;
  info->remaining_ms = worker->is_draining ? DRAIN_MS : 0;
  info->sequence = ++worker->sequence;
  return info;
}

/* A report can arrive late, after its sender has crashed. */
static void
beat (gpointer ctx, gpointer data)
{
  EmuWorker *worker = ctx;
  Emulator *emu = worker->emu;
  gboolean is_late = emu->now_us < worker->trouble_until_us && emu_chance (emu, 15);
  EmuProcess *agent = &emu->agents[worker->index].process;

  (void) data;
  emu_after (emu, BEAT_MS * CLK_US_PER_MS, &worker->process, beat, worker, NULL, NULL);
  if (emu->now_us < worker->refused_until_us)
    return;
  Beat *message = g_new0 (Beat, 1);
  *message = (Beat){ worker, describe (worker) };
  emu_after (emu,
             is_late ? emu_between (emu, 500, 6000) * CLK_US_PER_MS : emu_between (emu, 200, 2500),
             agent->is_up ? agent : NULL, on_beat_arrived, worker, message, beat_free);
}

void
emu_worker_start (EmuWorker *worker, gboolean keeps_id)
{
  Emulator *emu = worker->emu;
  int64_t born_ms = wall_ms (emu);

  emu_worker_clear (worker);
  emu_process_start (emu, &worker->process);
  if (worker->n_lives > 0 && emu_chance (emu, 20))
    born_ms -= emu_between (emu, 1, 60000);
  if (!keeps_id)
    (void) g_snprintf (worker->id, sizeof worker->id, "w%u-%" G_GUINT64_FORMAT, worker->index,
                       worker->n_lives);
  worker->n_lives++;
  worker->born_wall_ms = born_ms;
  worker->sequence = 0;
  worker->clock_rate = 1.0 - (double) emu_between (emu, 0, 20) / 1000;
  worker->clock_base_ms = emu_chance (emu, 50) ? 0 : emu_between (emu, 0, 500000);
  worker->start_us = emu->now_us;
  worker->fence = 0;
  worker->refused_until_us = 0;
  worker->lease_ms = 0;
  worker->is_lease_checked = FALSE;
  worker->n_ends = 0;
  worker->is_draining = FALSE;
  worker->guards_capacity = emu_chance (emu, 50);
  worker->runs = g_array_new (FALSE, FALSE, sizeof (EmuRun));
  worker->ends = g_array_new (FALSE, FALSE, sizeof (EmuEnd));
  worker->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->parked = g_ptr_array_new_with_free_func (emu_call_unref);
  emu_trace (emu, worker->process.name, "up id=%s born=%" G_GINT64_FORMAT, worker->id, born_ms);
  emu_after (emu, emu_between (emu, 1, 400) * CLK_US_PER_MS, &worker->process, beat, worker, NULL,
             NULL);
}

void
emu_worker_clear (EmuWorker *worker)
{
  if (worker->runs == NULL)
    return;
  g_clear_pointer (&worker->runs, g_array_unref);
  g_clear_pointer (&worker->ends, g_array_unref);
  g_clear_pointer (&worker->ended, g_hash_table_destroy);
  g_clear_pointer (&worker->parked, g_ptr_array_unref);
}

/* Connections are reset at a crash, or fall silent with the machine. */
static void
drop_parked (EmuWorker *worker)
{
  gboolean is_reset = emu_chance (worker->emu, RESET_PERCENT);

  for (guint i = 0; is_reset && i < worker->parked->len; i++)
    {
      EmuCall *call = g_ptr_array_index (worker->parked, i);
      call->answer = (RunnerAnswer){ .outcome = RUNNER_IN_DOUBT, .clock_ms = -1 };
      answer (call);
    }
}

void
emu_worker_crash (EmuWorker *worker)
{
  if (!worker->process.is_up)
    return;
  emu_trace (worker->emu, worker->process.name, "crash runs=%u ends=%u", worker->runs->len,
             worker->ends->len);
  for (guint i = 0; i < worker->runs->len; i++)
    emu_check_ended (worker, &g_array_index (worker->runs, EmuRun, i), -1);
  emu_process_end (worker->emu, &worker->process);
  drop_parked (worker);
  emu_worker_clear (worker);
}

static void
on_cut_leave_over (gpointer ctx, gpointer data)
{
  (void) data;
  emu_worker_crash (ctx);
}

/* With a cut, the leave arrives, its answer is lost, and the worker ends later. */
static void
on_left (gpointer ctx, gpointer data)
{
  EmuWorker *worker = ctx;
  Emulator *emu = worker->emu;
  EmuAgent *agent = &emu->agents[worker->index];

  (void) data;
  if (emu->options.has_cut_leaves)
    {
      worker->refused_until_us = emu->now_us + CUT_LEAVE_MS * CLK_US_PER_MS;
      emu_trace (emu, worker->process.name, "left, is cut off with resets");
      emu_after (emu, CUT_LEAVE_MS * CLK_US_PER_MS, &worker->process, on_cut_leave_over, worker,
                 NULL, NULL);
    }
  else
    emu_worker_crash (worker);
  if (agent->process.is_up && agent->process.frozen_until_us <= emu->now_us)
    supervisor_worker_left (agent->supervisor, worker->id);
}

static void
on_back (gpointer ctx, gpointer data)
{
  EmuWorker *worker = ctx;

  (void) data;
  if (!worker->process.is_up)
    emu_worker_start (worker, FALSE);
}

void
emu_worker_drain (EmuWorker *worker)
{
  Emulator *emu = worker->emu;
  int64_t end_ms = DRAIN_MS + (emu->options.has_cut_leaves ? CUT_LEAVE_MS : 0);

  if (!worker->process.is_up || worker->is_draining)
    return;
  worker->is_draining = TRUE;
  emu_trace (emu, worker->process.name, "draining");
  emu_after (emu, DRAIN_MS * CLK_US_PER_MS, &worker->process, on_left, worker, NULL, NULL);
  emu_after (emu, (end_ms + emu_between (emu, 100, 3000)) * CLK_US_PER_MS, NULL, on_back, worker,
             NULL, NULL);
}
