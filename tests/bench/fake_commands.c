#include "bench/fake_private.h"

#include <string.h>

#define FAKE_START_MS INT64_C (200)
#define FAKE_STOP_MS INT64_C (300)

static FakeTask *
find_task (Fake *fake, const CoreCommand *command)
{
  for (guint i = 0; i < fake->tasks->len; i++)
    {
      FakeTask *task = &g_array_index (fake->tasks, FakeTask, i);
      if (task->key.job == command->task.job && task->key.index == command->task.index)
        return task;
    }
  return NULL;
}

static uint32_t
find_worker (const Fake *fake, const char *id)
{
  for (uint32_t i = 0; i < FAKE_WORKERS; i++)
    {
      if (strcmp (fake->workers[i].id, id) == 0)
        return i;
    }
  g_assert_not_reached ();
}

static void
start_task (Fake *fake, const CoreCommand *command)
{
  FakeTask task = { .key = command->task, .attempt = command->attempt };

  if (find_task (fake, command) != NULL)
    fake->measures.double_starts++;
  task.worker = find_worker (fake, command->worker);
  task.reserved = command->reserved;
  task.throttle = 1000;
  task.due_ms = fake->now_ms + FAKE_START_MS;
  task.began_ms = task.due_ms;
  task.remaining_ms = fake_remaining_ms (fake, task.key);
  task.checkpoint_remaining_ms = task.remaining_ms;
  if (!fake->workers[task.worker].is_dead)
    g_array_append_val (fake->tasks, task);
}

static gboolean
is_eviction (CoreReason why)
{
  return why == CORE_REASON_TAIL_OVER || why == CORE_REASON_PREEMPTION || why == CORE_REASON_RULE
         || why == CORE_REASON_LEAVING;
}

void
fake_execute (Fake *fake, const GArray *commands)
{
  for (guint i = 0; i < commands->len; i++)
    {
      const CoreCommand *command = &g_array_index (commands, CoreCommand, i);
      FakeTask *task = find_task (fake, command);
      if (command->type == CORE_DO_START)
        start_task (fake, command);
      if (task == NULL || task->attempt != command->attempt)
        continue;
      if (command->type == CORE_DO_THROTTLE)
        task->throttle = command->throttle_permille;
      if ((command->type != CORE_DO_CHECKPOINT && command->type != CORE_DO_STOP)
          || task->state == FAKE_STOPPING)
        continue;
      task->state = FAKE_STOPPING;
      task->stop_with = command->type;
      task->due_ms = fake->now_ms + FAKE_STOP_MS;
      if (is_eviction (command->why))
        fake->measures.evictions++;
    }
}
