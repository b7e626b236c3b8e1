#include "agent/agent_tasks.h"

#include <string.h>

typedef struct
{
  AgentTaskId id;
  int64_t since_us;
} Fence;

struct AgentTasks
{
  AgentTasksOptions options;
  GPtrArray *rows;    /**< AgentTask, owned */
  GHashTable *by_id;  /**< AgentTaskId -> AgentTask */
  GHashTable *fences; /**< AgentTaskId -> Fence, owned by fence_order */
  GQueue fence_order; /**< Fence, oldest first */
  uint32_t live;
};

static guint
id_hash (gconstpointer key)
{
  const AgentTaskId *id = key;

  return (guint) (id->job ^ id->job >> 32) * 31 + id->index * 17 + id->attempt;
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  const AgentTaskId *left = a;
  const AgentTaskId *right = b;

  return left->job == right->job && left->index == right->index && left->attempt == right->attempt;
}

static void
task_free (void *data)
{
  AgentTask *task = data;

  g_free (task->job_name);
  g_free (task->batch_class);
  g_free (task->checkpoint);
  g_free (task->failure);
  g_free (task);
}

AgentTasks *
agent_tasks_new (const AgentTasksOptions *options)
{
  AgentTasks *tasks = g_new0 (AgentTasks, 1);

  g_assert (options->rows_max > 0 && options->fences_max > 0);
  tasks->options = *options;
  tasks->rows = g_ptr_array_new_with_free_func (task_free);
  tasks->by_id = g_hash_table_new (id_hash, id_equal);
  tasks->fences = g_hash_table_new (id_hash, id_equal);
  return tasks;
}

void
agent_tasks_free (AgentTasks *tasks)
{
  if (tasks == NULL)
    return;
  g_hash_table_unref (tasks->fences);
  g_hash_table_unref (tasks->by_id);
  g_queue_clear_full (&tasks->fence_order, g_free);
  g_ptr_array_unref (tasks->rows);
  g_free (tasks);
}

AgentTask *
agent_tasks_find (const AgentTasks *tasks, const AgentTaskId *id)
{
  return g_hash_table_lookup (tasks->by_id, id);
}

gboolean
agent_tasks_is_fenced (const AgentTasks *tasks, const AgentTaskId *id)
{
  return g_hash_table_contains (tasks->fences, id);
}

gboolean
agent_task_is_ended (const AgentTask *task)
{
  return task->state >= AGENT_TASK_DONE;
}

static gboolean
make_fence_room (AgentTasks *tasks, int64_t now_us)
{
  const Fence *oldest = g_queue_peek_head (&tasks->fence_order);

  if (tasks->fence_order.length < tasks->options.fences_max)
    return TRUE;
  if (now_us - oldest->since_us < tasks->options.keep_us)
    return FALSE;
  g_hash_table_remove (tasks->fences, &oldest->id);
  g_free (g_queue_pop_head (&tasks->fence_order));
  return TRUE;
}

gboolean
agent_tasks_fence (AgentTasks *tasks, const AgentTaskId *id, int64_t now_us)
{
  g_assert (agent_tasks_find (tasks, id) == NULL);
  if (agent_tasks_is_fenced (tasks, id))
    return TRUE;
  if (!make_fence_room (tasks, now_us))
    return FALSE;
  Fence *fence = g_new (Fence, 1);
  *fence = (Fence){ *id, now_us };
  g_queue_push_tail (&tasks->fence_order, fence);
  g_hash_table_insert (tasks->fences, &fence->id, fence);
  return TRUE;
}

/* Another attempt of the same task that may still run here. */
static gboolean
has_live_attempt (const AgentTasks *tasks, const AgentTaskId *id)
{
  for (guint i = 0; i < tasks->rows->len; i++)
    {
      const AgentTask *row = g_ptr_array_index (tasks->rows, i);
      if (row->id.job == id->job && row->id.index == id->index && !agent_task_is_ended (row))
        return TRUE;
    }
  return FALSE;
}

static AgentTask *
add_row (AgentTasks *tasks, const AgentStart *start)
{
  AgentTask *task = g_new0 (AgentTask, 1);

  task->id = start->id;
  task->shard = start->shard;
  task->epoch = start->epoch;
  task->reserved = start->reserved;
  task->job_name = g_strndup (start->job_name, AGENT_TASK_TEXT_MAX);
  task->batch_class = g_strndup (start->batch_class, AGENT_TASK_TEXT_MAX);
  task->checkpoint = g_strdup (start->checkpoint);
  task->progress_ms = start->progress_ms;
  task->run_ms = start->run_ms;
  g_ptr_array_add (tasks->rows, task);
  g_hash_table_insert (tasks->by_id, &task->id, task);
  tasks->live++;
  return task;
}

static gboolean
may_start (AgentTasks *tasks,
           const AgentStart *start,
           int64_t now_us,
           int64_t *lease_end_us,
           ErrKind *kind)
{
  if (!agent_leases_check (tasks->options.leases, start->shard, start->epoch, now_us, lease_end_us,
                           kind))
    return FALSE;
  if (agent_tasks_is_fenced (tasks, &start->id))
    {
      *kind = ERR_FENCED;
      return FALSE;
    }
  if (has_live_attempt (tasks, &start->id))
    {
      *kind = ERR_REFUSED;
      return FALSE;
    }
  /* The end of the attempt will need a fence. */
  if (tasks->rows->len >= tasks->options.rows_max || !make_fence_room (tasks, now_us))
    {
      *kind = ERR_QUEUE_FULL;
      return FALSE;
    }
  if (agent_admission_reserve (tasks->options.admission, &start->reserved))
    return TRUE;
  *kind = ERR_NO_CAPACITY;
  return FALSE;
}

AgentStartResult
agent_tasks_start (AgentTasks *tasks,
                   const AgentStart *start,
                   int64_t now_us,
                   AgentTask **task,
                   int64_t *lease_end_us,
                   ErrKind *kind)
{
  *task = agent_tasks_find (tasks, &start->id);
  if (*task != NULL)
    return AGENT_START_KNOWN;
  if (!may_start (tasks, start, now_us, lease_end_us, kind))
    {
      if (*kind == ERR_STALE_EPOCH || agent_tasks_fence (tasks, &start->id, now_us))
        return AGENT_START_REFUSED;
      return AGENT_START_DROPPED;
    }
  *task = add_row (tasks, start);
  return AGENT_START_ACCEPTED;
}

AgentTask *
agent_tasks_adopt (AgentTasks *tasks, const AgentStart *start)
{
  if (agent_tasks_is_fenced (tasks, &start->id) || tasks->rows->len >= tasks->options.rows_max
      || !agent_admission_reserve (tasks->options.admission, &start->reserved))
    return NULL;
  AgentTask *task = add_row (tasks, start);
  task->state = AGENT_TASK_RUNNING;
  return task;
}

void
agent_tasks_running (AgentTasks *tasks, AgentTask *task)
{
  g_assert (agent_tasks_find (tasks, &task->id) == task);
  if (task->state == AGENT_TASK_STARTING)
    task->state = AGENT_TASK_RUNNING;
}

void
agent_tasks_end (AgentTasks *tasks,
                 AgentTask *task,
                 AgentTaskState state,
                 ErrKind kind,
                 const char *checkpoint,
                 const char *failure)
{
  g_assert (state >= AGENT_TASK_DONE && !agent_task_is_ended (task));
  g_assert (state != AGENT_TASK_REFUSED || task->state == AGENT_TASK_STARTING);
  task->state = state;
  task->kind = kind;
  if (checkpoint != NULL)
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (checkpoint);
    }
  task->failure = failure != NULL ? g_strndup (failure, AGENT_TASK_TEXT_MAX) : NULL;
  tasks->live--;
  agent_admission_release (tasks->options.admission, &task->reserved);
}

gboolean
agent_tasks_acknowledge (AgentTasks *tasks, const AgentTaskId *id, int64_t now_us)
{
  AgentTask *task = agent_tasks_find (tasks, id);
  AgentTaskId copy = *id;

  if (task == NULL || !agent_task_is_ended (task))
    return FALSE;
  if (!make_fence_room (tasks, now_us))
    return FALSE;
  g_hash_table_remove (tasks->by_id, &task->id);
  (void) g_ptr_array_remove_fast (tasks->rows, task);
  gboolean fenced = agent_tasks_fence (tasks, &copy, now_us);
  g_assert (fenced);
  return TRUE;
}

uint32_t
agent_tasks_count (const AgentTasks *tasks)
{
  return tasks->rows->len;
}

AgentTask *
agent_tasks_at (const AgentTasks *tasks, uint32_t index)
{
  return g_ptr_array_index (tasks->rows, index);
}

uint32_t
agent_tasks_live (const AgentTasks *tasks)
{
  return tasks->live;
}
