#include "core/tables.h"

#define CHECK_AFTER_US CLK_US_PER_S
#define CHECK_JOBS_PER_TICK 64U

static gboolean
is_beyond_quota (const Core *core, const CoreJob *job)
{
  const DocSize *quota = &tables_team_row (core, job->team_row)->quota;

  return (quota->cpu_milli > 0 && job->size.cpu_milli > quota->cpu_milli)
         || (quota->memory_mb > 0 && job->size.memory_mb > quota->memory_mb)
         || (quota->accelerators > 0 && job->size.accelerators > quota->accelerators);
}

static gboolean
can_hold (const Core *core, const CoreJob *job, const CoreWorker *worker)
{
  DocSize available = size_sub (worker->capacity, tables_endpoints_demand (core, worker));

  return worker->state == WORKER_LIVE && size_fits (job->size, available);
}

static gboolean
is_placeable (Core *core, const CoreJob *job)
{
  const GArray *candidates = rules_candidates (core, job->constraints);

  for (guint i = 0; i < candidates->len; i++)
    {
      uint32_t row = g_array_index (candidates, uint32_t, i);
      if (can_hold (core, job, tables_worker_row (core, row)))
        return TRUE;
    }
  return FALSE;
}

/* Finds the rule that forbids the job on the most instances. */
static void
find_blocking_rule (Core *core, CoreJob *job, CoreCommand *command)
{
  uint32_t *counts = g_new0 (uint32_t, core->config.rules->len + 1);
  int32_t most = -1;

  for (uint32_t i = 0; i < core->workers->len; i++)
    {
      const CoreWorker *worker = tables_worker_row (core, i);
      if (worker->state != WORKER_LIVE)
        continue;
      command->numbers[0]++;
      int32_t rule = rules_forbid (core, job->constraints, worker);
      if (rule < 0)
        continue;
      command->numbers[1]++;
      counts[rule]++;
      if (most < 0 || counts[rule] > counts[most])
        most = rule;
    }
  g_free (counts);
  if (most < 0)
    return;
  const CoreRule *rule = g_ptr_array_index (core->config.rules, (guint) most);
  g_strlcpy (job->rule, rule->name, sizeof job->rule);
}

static void
report_unplaceable (Core *core, CoreJob *job, CoreReason why)
{
  CoreCommand command = emit_command (CORE_DO_UNPLACEABLE, why);
  const DocSize *quota = &tables_team_row (core, job->team_row)->quota;

  job->is_unplaceable = TRUE;
  job->unplaceable_why = why;
  job->rule[0] = '\0';
  if (why == CORE_REASON_NO_INSTANCE)
    find_blocking_rule (core, job, &command);
  if (why == CORE_REASON_TOO_LARGE)
    {
      command.numbers[0] = job->size.cpu_milli;
      command.numbers[1] = job->size.memory_mb;
      command.numbers[2] = job->size.accelerators;
      command.numbers[3] = rules_candidates (core, job->constraints)->len;
    }
  if (why == CORE_REASON_QUOTA)
    {
      command.numbers[0] = job->size.cpu_milli;
      command.numbers[1] = quota->cpu_milli;
      command.numbers[2] = job->size.memory_mb;
      command.numbers[3] = quota->memory_mb;
      g_strlcpy (job->rule, job->team, sizeof job->rule);
    }
  g_strlcpy (command.rule, job->rule, sizeof command.rule);
  command.task.job = job->id;
  emit (core, &command);
}

static void
check_job (Core *core, CoreJob *job)
{
  gboolean was_unplaceable = job->is_unplaceable;
  CoreReason why = CORE_REASON_TOO_LARGE;
  gboolean is_bad = TRUE;

  job->checked_generation = core->generation;
  if (rules_candidates (core, job->constraints)->len == 0)
    why = CORE_REASON_NO_INSTANCE;
  else if (is_beyond_quota (core, job))
    why = CORE_REASON_QUOTA;
  else
    is_bad = !is_placeable (core, job);
  job->is_unplaceable = is_bad;
  core->is_ready_changed = core->is_ready_changed || was_unplaceable != is_bad;
  if (is_bad && (!was_unplaceable || why != job->unplaceable_why))
    report_unplaceable (core, job, why);
}

void
check_run (Core *core)
{
  uint32_t checked = 0;

  for (guint i = 0; i < core->ready->len && checked < CHECK_JOBS_PER_TICK; i++)
    {
      CoreJob *job = g_ptr_array_index (core->ready, i);
      if (job->checked_generation == core->generation || job->is_cancelled
          || core->now_us - job->first_seen_us < CHECK_AFTER_US)
        continue;
      check_job (core, job);
      checked++;
    }
}
