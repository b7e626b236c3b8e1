#include "entry/shard.h"

#include <string.h>

#include "common/clk.h"
#include "entry/jobs.h"
#include "entry/shard_private.h"

/** Start commands that no report confirms within this time are sent again. */
#define RESEND_US (1500 * CLK_US_PER_MS)

void
shard_job (Shard *shard, const Fold *fold, uint64_t id, int64_t now_us)
{
  const FoldJob *job = fold_job (fold, id);

  /* A predecessor reads this owner's claim before this job, so it can't have started the job. */
  if (job != NULL && jobs_shard (id, shard->options.shards) == shard->options.shard)
    shard_add_job (shard, job, FALSE, now_us);
}

Shard *
shard_new (const ShardOptions *options,
           const ShardOps *ops,
           const Fold *fold,
           const DocDocument *document,
           int64_t now_us)
{
  Shard *shard = g_new0 (Shard, 1);
  const GPtrArray *jobs = fold_jobs (fold);

  shard->options = *options;
  shard->ops = *ops;
  shard->core = core_new (&options->core);
  shard->reports = reports_new (options->shard, options->epoch);
  shard->agents = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  shard->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, shard_job_free);
  shard->starts = g_hash_table_new_full (shard_task_hash, shard_task_equal, NULL, shard_start_free);
  shard->held = g_hash_table_new_full (shard_task_hash, shard_task_equal, NULL, g_free);
  shard->inputs = inputs_new ();
  shard->commands = g_array_new (FALSE, FALSE, sizeof (CoreCommand));
  if (document != NULL)
    core_set_document (shard->core, document);
  for (guint i = 0; i < jobs->len; i++)
    {
      const FoldJob *job = g_ptr_array_index (jobs, i);
      if (jobs_shard (job->job, options->shards) == options->shard)
        shard_add_job (shard, job, !options->is_reconciled, now_us);
    }
  return shard;
}

void
shard_free (Shard *shard)
{
  if (shard == NULL)
    return;
  core_free (shard->core);
  reports_free (shard->reports);
  g_hash_table_destroy (shard->agents);
  g_hash_table_destroy (shard->jobs);
  g_hash_table_destroy (shard->starts);
  g_hash_table_destroy (shard->held);
  inputs_free (shard->inputs);
  g_array_free (shard->commands, TRUE);
  g_free (shard);
}

void
shard_set_document (Shard *shard, const DocDocument *document)
{
  core_set_document (shard->core, document);
}

/* Reports an agent as lost. Its tasks are placed elsewhere, so pending starts at this agent are
 * dropped and never sent again. */
static void
remove_lost_agent (Shard *shard, const char *agent)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, shard->starts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const StartRow *row = value;
      if (strcmp (row->agent, agent) == 0)
        g_hash_table_iter_remove (&iter);
    }
  inputs_worker_end (shard->inputs, agent, CORE_IN_WORKER_LOST);
}

static AgentRow *
agent_row (Shard *shard, const MembersAgent *agent)
{
  AgentRow *row = g_hash_table_lookup (shard->agents, agent->name);

  if (row == NULL)
    {
      row = g_new0 (AgentRow, 1);
      row->incarnation = agent->incarnation;
      g_hash_table_insert (shard->agents, g_strdup (agent->name), row);
    }
  if (row->incarnation != agent->incarnation)
    {
      /* Tasks of the old process may run until its last lease has expired. */
      row->is_replaced = TRUE;
      row->replaced_until_us = MAX (row->replaced_until_us, row->lease_until_us);
      row->incarnation = agent->incarnation;
      row->has_left = FALSE;
      row->is_registered = FALSE;
      row->signature = 0;
    }
  return row;
}

static void
update_worker (Shard *shard, AgentRow *row, const MembersAgent *agent)
{
  if (row->is_replaced)
    {
      if (shard->certain_us < row->replaced_until_us)
        return;
      if (row->is_known)
        remove_lost_agent (shard, agent->name);
      row->is_replaced = FALSE;
      row->is_known = FALSE;
    }
  uint64_t signature = inputs_signature (agent);
  if (!row->is_known || signature != row->signature)
    inputs_worker (shard->inputs, agent);
  row->is_known = TRUE;
  row->signature = signature;
  if (agent->leaving && !row->has_left)
    inputs_worker_end (shard->inputs, agent->name, CORE_IN_WORKER_LEFT);
  row->has_left = agent->leaving;
}

static void
command_stop (Shard *shard, const char *agent, const Wire__TaskStatus *status)
{
  Wire__TaskCommand command = WIRE__TASK_COMMAND__INIT;

  command.shard = shard->options.shard;
  command.epoch = shard->options.epoch;
  command.job = status->job;
  command.index = status->index;
  command.attempt = status->attempt;
  command.verb = WIRE__TASK_VERB__VERB_STOP;
  command.entry_incarnation = shard->options.entry_incarnation;
  (void) shard->ops.command (shard->ops.ctx, agent, &command);
}

/* During the reconciliation the predecessor may act on the same report, so the end of an attempt
 * alone does not allow a new start. */
static void
update_held (Shard *shard, CoreTaskKey task, const Wire__TaskStatus *status)
{
  HeldRow *held = g_hash_table_lookup (shard->held, &task);

  if (held == NULL)
    return;
  if (status->state == WIRE__TASK_STATE__TASK_DONE)
    g_hash_table_remove (shard->held, &task);
  else if (status->state == WIRE__TASK_STATE__TASK_RUNNING)
    held->is_running = TRUE;
  else
    {
      held->is_running = FALSE;
      (void) inputs_task (shard->inputs, task, status->attempt, CORE_TASK_HELD);
    }
}

/* The first attempt that is done completes the task, even an attempt that was considered lost. A
 * later start is dropped, and the core gets the event as the end of the newest attempt. */
static void
handle_done (Shard *shard, CoreInput *input)
{
  const TaskProgress *progress = shard_progress (shard, input->task.task);

  g_hash_table_remove (shard->starts, &input->task.task);
  input->task.worker = NULL;
  if (progress != NULL)
    input->task.attempt = MAX (input->task.attempt, progress->newest_attempt);
}

static void
handle_status (Shard *shard,
               const Fold *fold,
               const MembersAgent *agent,
               const Wire__TaskStatus *status,
               int64_t now_us)
{
  CoreTaskKey task = { status->job, status->index };
  GArray *rows = shard->inputs->rows;
  guint first = rows->len;

  if (jobs_shard (status->job, shard->options.shards) != shard->options.shard)
    return;
  StartRow *start = g_hash_table_lookup (shard->starts, &task);
  if (start != NULL && start->attempt <= status->attempt)
    g_hash_table_remove (shard->starts, &task);
  if (reports_status (shard->reports, fold, agent->name, status, now_us, rows) == REPORTS_STOP_TASK)
    {
      command_stop (shard, agent->name, status);
      return;
    }
  for (guint i = first; i < rows->len; i++)
    {
      CoreInput *input = &g_array_index (rows, CoreInput, i);
      if (input->type == CORE_IN_USAGE)
        input->usage.worker = inputs_keep (shard->inputs, agent->name);
      else
        {
          input->task.worker = inputs_keep (shard->inputs, agent->name);
          input->task.checkpoint = inputs_keep (shard->inputs, input->task.checkpoint);
          if (input->task.event == CORE_TASK_DONE)
            handle_done (shard, input);
        }
    }
  shard_store_checkpoint (shard, status);
  update_held (shard, task, status);
}

static void
resend_starts (Shard *shard, const MembersAgent *agent, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, shard->starts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      StartRow *row = value;
      if (now_us - row->sent_us < RESEND_US || strcmp (row->agent, agent->name) != 0)
        continue;
      row->sent_us = now_us;
      (void) shard->ops.command (shard->ops.ctx, row->agent, &row->command);
    }
}

void
shard_announce (Shard *shard,
                const Fold *fold,
                const MembersAgent *agent,
                const Wire__Announce *announce,
                gboolean granted,
                int64_t now_us)
{
  AgentRow *row = agent_row (shard, agent);

  if (granted)
    row->lease_until_us = now_us + shard->options.lease_us + shard->options.drift_us;
  row->is_registered = members_epoch (agent, shard->options.shard) == shard->options.epoch;
  if (!row->is_registered)
    return;
  update_worker (shard, row, agent);
  if (!row->is_known || row->is_replaced)
    return;
  inputs_services (shard->inputs, agent);
  for (size_t i = 0; i < announce->n_tasks; i++)
    handle_status (shard, fold, agent, announce->tasks[i], now_us);
  resend_starts (shard, agent, now_us);
}

void
shard_event (Shard *shard,
             const Fold *fold,
             const MembersAgent *agent,
             const Wire__TaskStatus *status,
             int64_t now_us)
{
  const AgentRow *row = g_hash_table_lookup (shard->agents, agent->name);

  if (row != NULL && row->is_known && !row->is_replaced && row->incarnation == agent->incarnation)
    handle_status (shard, fold, agent, status, now_us);
}

gboolean
shard_may_grant (const Shard *shard, const MembersAgent *agent)
{
  return !shard->is_reconciling
         || members_epoch (agent, shard->options.shard) == shard->options.epoch;
}

void
shard_reconciled (Shard *shard)
{
  shard->is_reconciling = !shard->options.is_reconciled;
}

/* Whether an agent may hold a lease of this owner without having reported its tasks: those that it
 * started under the predecessor continue under the new lease. */
static gboolean
has_unreported_lease (const Shard *shard)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, shard->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const AgentRow *row = value;
      if ((!row->is_registered && shard->certain_us < row->lease_until_us)
          || shard->certain_us < row->replaced_until_us)
        return TRUE;
    }
  return FALSE;
}

static void
reconcile (Shard *shard)
{
  GHashTableIter iter;
  gpointer value = NULL;

  if (!shard->is_reconciling || has_unreported_lease (shard))
    return;
  shard->is_reconciling = FALSE;
  shard->options.is_reconciled = TRUE;
  g_hash_table_iter_init (&iter, shard->held);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HeldRow *held = value;
      if (!held->is_running)
        (void) inputs_task (shard->inputs, held->task, 0, CORE_TASK_FREE);
    }
  g_hash_table_remove_all (shard->held);
}

static void
detect_lost_agents (Shard *shard, const Members *members, int64_t now_us)
{
  GHashTableIter iter;
  gpointer name = NULL;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, shard->agents);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      AgentRow *row = value;
      const MembersAgent *agent = members_agent (members, name, row->incarnation);
      gboolean is_live
          = agent != NULL && members_is_live (members, agent->last_received_us, now_us);
      if (!row->is_known || is_live || shard->certain_us < row->lease_until_us)
        continue;
      remove_lost_agent (shard, name);
      row->is_known = FALSE;
    }
}

static void
fill_command (const Shard *shard, const CoreCommand *decision, Wire__TaskCommand *command)
{
  static const Wire__TaskVerb verbs[] = { [CORE_DO_START] = WIRE__TASK_VERB__VERB_START,
                                          [CORE_DO_THROTTLE] = WIRE__TASK_VERB__VERB_THROTTLE,
                                          [CORE_DO_CHECKPOINT] = WIRE__TASK_VERB__VERB_CHECKPOINT,
                                          [CORE_DO_STOP] = WIRE__TASK_VERB__VERB_STOP };

  wire__task_command__init (command);
  command->shard = shard->options.shard;
  command->epoch = shard->options.epoch;
  command->job = decision->task.job;
  command->index = decision->task.index;
  command->attempt = decision->attempt;
  command->verb = verbs[decision->type];
  command->throttle_permille = decision->throttle_permille;
  command->entry_incarnation = shard->options.entry_incarnation;
}

static void
fill_start (StartRow *row,
            const CoreCommand *decision,
            const JobRow *job,
            const TaskProgress *progress)
{
  const DocJob *definition = doc_job (job->document, job->name);

  wire__size__init (&row->reserved);
  row->reserved.cpu_milli = decision->reserved.cpu_milli;
  row->reserved.memory_mb = decision->reserved.memory_mb;
  row->reserved.accelerators = decision->reserved.accelerators;
  row->batch_class = g_strdup (definition->batch_class);
  row->job_name = g_strdup (job->name);
  row->checkpoint
      = g_strdup (progress != NULL && progress->checkpoint != NULL ? progress->checkpoint : "");
  row->command.reserved = &row->reserved;
  row->command.batch_class = row->batch_class;
  row->command.job_name = row->job_name;
  row->command.checkpoint = row->checkpoint;
  row->command.progress_ms = progress != NULL ? progress->progress_ms : 0;
  row->command.run_ms = definition->run_ms;
}

static void
start_task (Shard *shard, const CoreCommand *decision, gboolean may_command, int64_t now_us)
{
  const JobRow *job = g_hash_table_lookup (shard->jobs, &decision->task.job);

  if (!may_command || job == NULL)
    {
      (void) inputs_task (shard->inputs, decision->task, decision->attempt, CORE_TASK_REFUSED);
      return;
    }
  StartRow *row = g_new0 (StartRow, 1);
  row->task = decision->task;
  row->attempt = decision->attempt;
  row->agent = g_strdup (decision->worker);
  row->sent_us = now_us;
  fill_command (shard, decision, &row->command);
  TaskProgress *progress = shard_progress (shard, decision->task);
  fill_start (row, decision, job, progress);
  if (progress != NULL)
    progress->newest_attempt = decision->attempt;
  if (shard->ops.command (shard->ops.ctx, row->agent, &row->command))
    {
      g_hash_table_replace (shard->starts, &row->task, row);
      return;
    }
  (void) inputs_task (shard->inputs, decision->task, decision->attempt, CORE_TASK_REFUSED);
  shard_start_free (row);
}

static void
execute_decision (Shard *shard, const CoreCommand *decision, gboolean may_command, int64_t now_us)
{
  Wire__TaskCommand command;

  shard->ops.decided (shard->ops.ctx, decision);
  switch (decision->type)
    {
    case CORE_DO_START:
      start_task (shard, decision, may_command, now_us);
      break;
    case CORE_DO_THROTTLE:
    case CORE_DO_CHECKPOINT:
    case CORE_DO_STOP:
      if (!may_command)
        break;
      fill_command (shard, decision, &command);
      (void) shard->ops.command (shard->ops.ctx, decision->worker, &command);
      break;
    case CORE_DO_CANCELLED:
      reports_decided (shard->reports, decision->task, decision->attempt,
                       RECORD__TASK_END__END_CANCELLED, core_reason_name (decision->why));
      break;
    case CORE_DO_GIVE_UP:
      reports_decided (shard->reports, decision->task, decision->attempt,
                       RECORD__TASK_END__END_GIVEN_UP, core_reason_name (decision->why));
      break;
    case CORE_DO_UNPLACEABLE:
    case CORE_DO_QUARANTINE:
    case CORE_DO_RELEASE:
    default:
      break;
    }
}

void
shard_tick (
    Shard *shard, const Members *members, gboolean may_command, int64_t certain_us, int64_t now_us)
{
  shard->certain_us = certain_us;
  reconcile (shard);
  detect_lost_agents (shard, members, now_us);
  Inputs *inputs = shard->inputs;
  /* Commands of this tick that are refused become inputs of the next tick. */
  shard->inputs = inputs_new ();
  g_array_set_size (shard->commands, 0);
  core_tick (shard->core, now_us, (const CoreInput *) inputs->rows->data, inputs->rows->len,
             shard->commands);
  inputs_free (inputs);
  for (guint i = 0; i < shard->commands->len; i++)
    execute_decision (shard, &g_array_index (shard->commands, CoreCommand, i), may_command, now_us);
  reports_flush (shard->reports, shard->ops.append, shard->ops.ctx);
}

void
shard_folded (Shard *shard, const Fold *fold)
{
  reports_folded (shard->reports, fold);
}

void
shard_not_appended (Shard *shard, IdsId id)
{
  reports_not_appended (shard->reports, id);
}

const Core *
shard_core (const Shard *shard)
{
  return shard->core;
}

const Reports *
shard_reports (const Shard *shard)
{
  return shard->reports;
}

uint64_t
shard_epoch (const Shard *shard)
{
  return shard->options.epoch;
}
