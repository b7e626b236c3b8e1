#include "core/tables.h"

#include <string.h>

typedef struct
{
  const char *name;
  const char *numbers;
} EmitReason;

static const EmitReason emit_reasons[CORE_REASON_COUNT] = {
  [CORE_REASON_FITS] = { "fits", "tail_permille,growth_permille,free_cpu_milli,free_memory_mb" },
  [CORE_REASON_PROBE_PAIR]
  = { "probe_pair", "tail_permille,growth_permille,free_cpu_milli,free_memory_mb" },
  [CORE_REASON_BACKFILL] = { "backfill", "run_ms,room_ms,free_cpu_milli,free_memory_mb" },
  [CORE_REASON_URGENT] = { "urgent", "waited_ms,bound_ms,free_cpu_milli,free_memory_mb" },
  [CORE_REASON_TAIL_OVER] = { "tail_over", "p99_us,target_us,relief_permille,lost_ms" },
  [CORE_REASON_RULE] = { "rule", "ran_ms,lost_ms" },
  [CORE_REASON_PREEMPTION] = { "make_room", "for_job,lost_ms,cpu_milli,memory_mb" },
  [CORE_REASON_CANCEL] = { "cancel", "ran_ms" },
  [CORE_REASON_TOO_LARGE] = { "too_large", "cpu_milli,memory_mb,accelerators,instances" },
  [CORE_REASON_NO_INSTANCE] = { "no_instance", "instances,forbidden" },
  [CORE_REASON_QUOTA] = { "quota", "cpu_milli,quota_cpu_milli,memory_mb,quota_memory_mb" },
  [CORE_REASON_TASK_FAILS] = { "task_fails", "failures,limit,instances" },
  [CORE_REASON_WORKER_FAILS] = { "worker_fails", "failures,jobs" },
  [CORE_REASON_PROBE_WORKER] = { "probe_worker", "quarantined_ms" },
  [CORE_REASON_RELIEVED] = { "relieved", "p99_us,target_us,throttled_ms" },
  [CORE_REASON_LEAVING] = { "leaving", "ran_ms,lost_ms" },
  [CORE_REASON_STALE] = { "stale", "newest_attempt" },
};

static const char *const emit_names[] = {
  [CORE_DO_START] = "start",
  [CORE_DO_THROTTLE] = "throttle",
  [CORE_DO_CHECKPOINT] = "checkpoint",
  [CORE_DO_STOP] = "stop",
  [CORE_DO_UNPLACEABLE] = "unplaceable",
  [CORE_DO_GIVE_UP] = "give_up",
  [CORE_DO_CANCELLED] = "cancelled",
  [CORE_DO_QUARANTINE] = "quarantine",
  [CORE_DO_RELEASE] = "release",
};

const char *
core_reason_name (CoreReason why)
{
  return (unsigned int) why < CORE_REASON_COUNT ? emit_reasons[why].name : "unknown";
}

const char *
core_reason_numbers (CoreReason why)
{
  return (unsigned int) why < CORE_REASON_COUNT ? emit_reasons[why].numbers : "";
}

const char *
core_command_name (CoreCommandType type)
{
  return (unsigned int) type < G_N_ELEMENTS (emit_names) ? emit_names[type] : "unknown";
}

CoreCommand
emit_command (CoreCommandType type, CoreReason why)
{
  CoreCommand command;

  /* Clears the padding too, so that equal commands compare equal with memcmp(). */
  memset (&command, 0, sizeof command);
  command.type = type;
  command.why = why;
  return command;
}

void
emit (Core *core, const CoreCommand *command)
{
  g_array_append_vals (core->commands, command, 1);
}

void
emit_task (Core *core, const CoreTask *task, CoreCommand command)
{
  const CoreWorker *worker = tables_worker_row (core, task->worker);

  command.task = (CoreTaskKey){ .job = task->job->id, .index = task->index };
  command.attempt = task->attempt;
  command.reserved = task->reserved;
  command.throttle_permille = task->throttle_permille;
  if (worker != NULL)
    g_strlcpy (command.worker, worker->id, sizeof command.worker);
  emit (core, &command);
}
