/**
 * @file agent_work.c
 * Handles commands for batch tasks, the worker's results and reports, and the expiry of leases.
 */
#include <string.h>

#include "agent/agent_announce.h"
#include "common/clk.h"
#include "common/jnl.h"
#include "agent/agent_node.h"

#define PERMILLE_MAX 1000
#define TASK_ID_FORMAT "job=%016" G_GINT64_MODIFIER "x index=%u attempt=%u"
/** Maximum delay after the end of a lease until the worker has ended its tasks. */
#define WORKER_DRIFT_US (INT64_C (1) * CLK_US_PER_S)
/** Shard of a task that the worker lists without one. */
#define SHARD_NONE G_MAXUINT32

static AgentOrder *
make_order (const AgentTask *task, AgentVerb verb)
{
  AgentOrder *order = g_new0 (AgentOrder, 1);

  order->verb = verb;
  order->id = task->id;
  order->shard = task->shard;
  order->epoch = task->epoch;
  return order;
}

/* Queues an order for the worker. An order that is dropped because the queue is full is created
 * again after the worker's next report. */
static gboolean
push (AgentNode *node, AgentOrder *order)
{
  if (agent_worker_push (node->worker, order))
    return TRUE;
  agent_node_count (node, "acacia_agent_worker_orders_dropped_total",
                    "Orders that found the queue full.");
  agent_order_free (order);
  return FALSE;
}

static void
send_status (AgentNode *node, const char *peer, Wire__TaskStatus *status)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  envelope.body_case = WIRE__ENVELOPE__BODY_EVENT;
  envelope.event = status;
  if (peer != NULL)
    {
      (void) agent_node_send (node, peer, &envelope);
      return;
    }
  for (const char *const *name = wire_peers (node->wire); *name != NULL; name++)
    (void) agent_node_send (node, *name, &envelope);
}

/* Reports a task to one entry, or to all (NULL), without waiting for the next heartbeat. */
static void
send_task (AgentNode *node, const char *peer, const AgentTask *task)
{
  Wire__TaskStatus status;
  Wire__Size used;
  Wire__Size reserved;

  agent_announce_task (task, clk_now_us (), 0, TRUE, &status, &used, &reserved);
  status.batch_class = task->batch_class;
  send_status (node, peer, &status);
}

static void
send_refused (AgentNode *node, const char *peer, const Wire__TaskCommand *command, ErrKind kind)
{
  Wire__TaskStatus status = WIRE__TASK_STATUS__INIT;

  status.job = command->job;
  status.index = command->index;
  status.attempt = command->attempt;
  status.shard = command->shard;
  status.epoch = command->epoch;
  status.state = WIRE__TASK_STATE__TASK_REFUSED;
  status.kind = (char *) err_name (kind);
  send_status (node, peer, &status);
}

static gboolean
push_start (AgentNode *node, const AgentTask *task, int64_t lease_end_us)
{
  AgentOrder *order = make_order (task, AGENT_VERB_START);

  order->lease_end_us = lease_end_us;
  order->job_name = g_strdup (task->job_name);
  order->batch_class = g_strdup (task->batch_class);
  order->checkpoint = g_strdup (task->checkpoint);
  order->reserved = task->reserved;
  order->run_ms = task->run_ms;
  order->progress_ms = task->progress_ms;
  return push (node, order);
}

static void
end_task (AgentNode *node,
          AgentTask *task,
          AgentTaskState state,
          ErrKind kind,
          const char *checkpoint,
          const char *failure)
{
  agent_tasks_end (node->tasks, task, state, kind, checkpoint, failure);
  send_task (node, NULL, task);
  gboolean has_kind = state == AGENT_TASK_FAILED || state == AGENT_TASK_REFUSED;
  jnl_event (JNL_INFO, "agent", "task_end", TASK_ID_FORMAT " state=%d%s%s", task->id.job,
             task->id.index, task->id.attempt, (int) state, has_kind ? " kind=" : "",
             has_kind ? err_name (kind) : "");
}

static AgentStart
start_from_command (const Wire__TaskCommand *command)
{
  AgentStart start = {
    .id = { command->job, command->index, command->attempt },
    .shard = command->shard,
    .epoch = command->epoch,
    .job_name = command->job_name,
    .batch_class = command->batch_class,
    .checkpoint = *command->checkpoint != '\0' ? command->checkpoint : NULL,
    .progress_ms = MAX (command->progress_ms, 0),
    .run_ms = MAX (command->run_ms, 0),
  };

  if (command->reserved != NULL)
    start.reserved = (DocSize){ command->reserved->cpu_milli, command->reserved->memory_mb,
                                command->reserved->accelerators };
  return start;
}

static void
handle_start (AgentNode *node, const char *peer, const Wire__TaskCommand *command)
{
  AgentStart start = start_from_command (command);
  AgentTask *task;
  int64_t end_us;
  ErrKind kind;

  switch (agent_tasks_start (node->tasks, &start, clk_now_us (), &task, &end_us, &kind))
    {
    case AGENT_START_ACCEPTED:
      task->worker_end_us = end_us;
      if (!push_start (node, task, end_us))
        end_task (node, task, AGENT_TASK_REFUSED, ERR_QUEUE_FULL, NULL, NULL);
      jnl_event (JNL_INFO, "agent", "task_start", TASK_ID_FORMAT, task->id.job, task->id.index,
                 task->id.attempt);
      break;
    case AGENT_START_KNOWN:
      send_task (node, peer, task);
      break;
    case AGENT_START_REFUSED:
      agent_node_count_refused (node, kind);
      send_refused (node, peer, command, kind);
      break;
    case AGENT_START_DROPPED:
      agent_node_count_refused (node, ERR_QUEUE_FULL);
      break;
    }
}

/* Refuses a start that isn't decided by agent_tasks_start(). Without room for its fence, no refusal
 * is sent. */
static void
refuse_start (AgentNode *node, const char *peer, const Wire__TaskCommand *command, ErrKind kind)
{
  AgentTaskId id = { command->job, command->index, command->attempt };
  const AgentTask *task = agent_tasks_find (node->tasks, &id);

  agent_node_count_refused (node, kind);
  if (task != NULL)
    send_task (node, peer, task);
  else if (agent_tasks_fence (node->tasks, &id, clk_now_us ()))
    send_refused (node, peer, command, kind);
}

static void
push_end (AgentNode *node, const AgentTask *task)
{
  AgentVerb verb = task->end_requested == AGENT_END_STOP ? AGENT_VERB_STOP : AGENT_VERB_CHECKPOINT;

  (void) push (node, make_order (task, verb));
}

static void
request_end (AgentNode *node, AgentTask *task, AgentEndRequest request)
{
  if (agent_task_is_ended (task) || task->end_requested >= request)
    return;
  task->end_requested = request;
  push_end (node, task);
}

static void
handle_end (AgentNode *node,
            const char *peer,
            const Wire__TaskCommand *command,
            AgentEndRequest request)
{
  AgentTaskId id = { command->job, command->index, command->attempt };
  AgentTask *task = agent_tasks_find (node->tasks, &id);

  if (task == NULL)
    {
      if (agent_tasks_is_fenced (node->tasks, &id)
          || agent_tasks_fence (node->tasks, &id, clk_now_us ()))
        send_refused (node, peer, command, ERR_FENCED);
      return;
    }
  if (agent_task_is_ended (task))
    send_task (node, peer, task);
  else
    request_end (node, task, request);
}

static void
handle_throttle (AgentNode *node, const Wire__TaskCommand *command)
{
  AgentTaskId id = { command->job, command->index, command->attempt };
  const AgentTask *task = agent_tasks_find (node->tasks, &id);

  if (task == NULL || agent_task_is_ended (task))
    return;
  AgentOrder *order = make_order (task, AGENT_VERB_THROTTLE);
  order->permille = CLAMP (command->throttle_permille, 1, PERMILLE_MAX);
  (void) push (node, order);
}

void
agent_work_command (AgentNode *node, const char *peer, const Wire__TaskCommand *command)
{
  gboolean is_start = command->verb == WIRE__TASK_VERB__VERB_START;

  agent_node_count (node, "acacia_agent_commands_total", "Commands for tasks received.");
  if (node->worker == NULL)
    {
      agent_node_count_refused (node, ERR_NO_CAPACITY);
      if (is_start)
        send_refused (node, peer, command, ERR_NO_CAPACITY);
      return;
    }
  if (command->epoch < agent_leases_epoch (node->leases, command->shard))
    {
      agent_node_count_refused (node, ERR_STALE_EPOCH);
      if (is_start)
        send_refused (node, peer, command, ERR_STALE_EPOCH);
      return;
    }
  if (is_start && (node->drain.leaving || !node->has_worker_tasks))
    {
      refuse_start (node, peer, command, node->drain.leaving ? ERR_LEAVING : ERR_NO_CAPACITY);
      return;
    }
  switch (command->verb)
    {
    case WIRE__TASK_VERB__VERB_START:
      handle_start (node, peer, command);
      break;
    case WIRE__TASK_VERB__VERB_CHECKPOINT:
      handle_end (node, peer, command, AGENT_END_CHECKPOINT);
      break;
    case WIRE__TASK_VERB__VERB_STOP:
      handle_end (node, peer, command, AGENT_END_STOP);
      break;
    case WIRE__TASK_VERB__VERB_THROTTLE:
      handle_throttle (node, command);
      break;
    default:
      agent_node_count_refused (node, ERR_BAD_REQUEST);
      break;
    }
}

void
agent_work_acknowledge (AgentNode *node, const Wire__TaskAck *ack, int64_t now_us)
{
  AgentTaskId id = { ack->job, ack->index, ack->attempt };
  const AgentTask *task = agent_tasks_find (node->tasks, &id);

  if (task == NULL || !agent_task_is_ended (task))
    return;
  AgentOrder *order = make_order (task, AGENT_VERB_FORGET);
  if (agent_tasks_acknowledge (node->tasks, &id, now_us))
    (void) push (node, order);
  else
    agent_order_free (order);
}

/* Passes the lease of each shard with live tasks on to the worker, once the worker has answered all
 * earlier extensions. */
void
agent_work_extend (AgentNode *node, int64_t now_us)
{
  if (node->worker == NULL || node->extensions_pending > 0)
    return;
  for (uint32_t i = 0; i < agent_leases_count (node->leases); i++)
    {
      AgentLease lease = agent_leases_at (node->leases, i);
      gboolean has_task = FALSE;
      for (uint32_t k = 0; k < agent_tasks_count (node->tasks) && !has_task; k++)
        {
          const AgentTask *task = agent_tasks_at (node->tasks, k);
          has_task = task->shard == lease.shard && !agent_task_is_ended (task);
        }
      if (!has_task || now_us >= lease.end_us)
        continue;
      AgentOrder *order = g_new0 (AgentOrder, 1);
      order->verb = AGENT_VERB_EXTEND;
      order->shard = lease.shard;
      order->epoch = lease.epoch;
      order->lease_end_us = lease.end_us;
      if (push (node, order))
        node->extensions_pending++;
    }
}

void
agent_work_end_expired (AgentNode *node, int64_t now_us)
{
  uint32_t shard;

  while (agent_leases_pop_expired (node->leases, now_us, &shard))
    {
      jnl_event (JNL_WARN, "agent", "lease_lapsed", "shard=%u", shard);
      agent_node_count (node, "acacia_agent_leases_lapsed_total",
                        "Leases that were not renewed in time.");
      for (uint32_t i = 0; i < agent_tasks_count (node->tasks); i++)
        {
          AgentTask *task = agent_tasks_at (node->tasks, i);
          if (task->shard == shard)
            request_end (node, task, AGENT_END_CHECKPOINT);
        }
    }
}

void
agent_work_end_all (AgentNode *node)
{
  for (uint32_t i = 0; i < agent_tasks_count (node->tasks); i++)
    request_end (node, agent_tasks_at (node->tasks, i), AGENT_END_CHECKPOINT);
}

static gboolean
is_definite_refusal (ErrKind kind)
{
  return kind == ERR_NO_LEASE || kind == ERR_STALE_EPOCH || kind == ERR_NO_CAPACITY
         || kind == ERR_FENCED || kind == ERR_REFUSED || kind == ERR_BAD_REQUEST;
}

static void
finish_start (AgentNode *node, const AgentOrder *order, AgentTask *task)
{
  if (agent_task_is_ended (task))
    return;
  if (order->ok)
    {
      agent_tasks_running (node->tasks, task);
      send_task (node, NULL, task);
      return;
    }
  agent_node_count_refused (node, order->kind);
  jnl_event (JNL_WARN, "agent", "start_failed", TASK_ID_FORMAT " kind=%s reason=\"%s\"",
             task->id.job, task->id.index, task->id.attempt, err_name (order->kind),
             order->message);
  if (task->state != AGENT_TASK_STARTING)
    return;
  if (is_definite_refusal (order->kind) && !task->in_doubt)
    {
      end_task (node, task, AGENT_TASK_REFUSED, order->kind, NULL, NULL);
      return;
    }
  task->in_doubt = TRUE;
}

static void
finish_extend (AgentNode *node, const AgentOrder *order)
{
  node->extensions_pending--;
  if (!order->ok)
    return;
  for (uint32_t i = 0; i < agent_tasks_count (node->tasks); i++)
    {
      AgentTask *task = agent_tasks_at (node->tasks, i);
      if (task->shard == order->shard)
        task->worker_end_us = MAX (task->worker_end_us, order->lease_end_us);
    }
}

static void
finish_order (void *ctx, void *data)
{
  AgentNode *node = ctx;
  AgentOrder *order = data;
  AgentTask *task = agent_tasks_find (node->tasks, &order->id);

  if (order->verb == AGENT_VERB_EXTEND)
    finish_extend (node, order);
  else if (order->verb == AGENT_VERB_START && task != NULL)
    finish_start (node, order, task);
  else if ((order->verb == AGENT_VERB_CHECKPOINT || order->verb == AGENT_VERB_STOP) && task != NULL)
    task->end_accepted = task->end_accepted || order->ok;
  if (!order->ok)
    jnl_event (JNL_DEBUG, "agent", "order_failed", "verb=%d kind=%s reason=\"%s\"",
               (int) order->verb, err_name (order->kind), order->message);
  agent_order_free (order);
}

void
agent_work_on_result (void *ctx, AgentOrder *order)
{
  agent_node_post (ctx, finish_order, order);
}

static void
end_as_listed (AgentNode *node, AgentTask *task, const PlatTask *listed)
{
  static const AgentTaskState states[] = {
    [PLAT_TASK_DONE] = AGENT_TASK_DONE,
    [PLAT_TASK_FAILED] = AGENT_TASK_FAILED,
    [PLAT_TASK_CHECKPOINTED] = AGENT_TASK_CHECKPOINTED,
    [PLAT_TASK_STOPPED] = AGENT_TASK_STOPPED,
  };

  end_task (node, task, states[listed->state], ERR_ENDPOINT_FAILED, listed->checkpoint,
            listed->error);
}

/* Takes over an attempt that an earlier agent process started if it fits; otherwise ends it. */
static void
adopt (AgentNode *node, const PlatTask *listed)
{
  AgentStart start = {
    .id = { listed->job, listed->index, listed->attempt },
    .shard = listed->shard,
    .epoch = listed->epoch,
    .reserved = listed->reserved,
    .job_name = "",
    .batch_class = "",
    .progress_ms = listed->progress_ms,
  };
  gboolean fenced = agent_tasks_is_fenced (node->tasks, &start.id);
  AgentTask *task = agent_tasks_adopt (node->tasks, &start);
  AgentTask unknown = { .id = start.id, .shard = listed->shard };

  if (task != NULL)
    {
      agent_node_count (node, "acacia_agent_adopted_total", "Tasks found running at the start.");
      task->worker_end_us = clk_now_us () + node->settings->worker_orphan_ms * CLK_US_PER_MS;
      return;
    }
  if (listed->state == PLAT_TASK_RUNNING)
    (void) push (node, make_order (&unknown, AGENT_VERB_CHECKPOINT));
  else if (fenced)
    (void) push (node, make_order (&unknown, AGENT_VERB_FORGET));
}

static void
apply_listed_task (AgentNode *node, const PlatTask *listed, int64_t asked_us)
{
  AgentTaskId id = { listed->job, listed->index, listed->attempt };
  AgentTask *task = agent_tasks_find (node->tasks, &id);

  if (task == NULL)
    adopt (node, listed);
  task = agent_tasks_find (node->tasks, &id);
  if (task != NULL && agent_task_is_ended (task) && listed->state == PLAT_TASK_RUNNING)
    (void) push (node, make_order (task, AGENT_VERB_CHECKPOINT));
  if (task == NULL || agent_task_is_ended (task))
    return;
  task->listed = TRUE;
  task->progress_ms = MAX (task->progress_ms, listed->progress_ms);
  task->used = listed->used;
  task->measured_us = MAX (asked_us - listed->used_age_ms * CLK_US_PER_MS, 1);
  if (listed->state != PLAT_TASK_RUNNING)
    {
      end_as_listed (node, task, listed);
      return;
    }
  if (task->state == AGENT_TASK_RUNNING)
    return;
  agent_tasks_running (node->tasks, task);
  send_task (node, NULL, task);
}

/* Ends a live task that is missing from a complete list: the worker lost it or never had it. */
static void
handle_missing_task (AgentNode *node, AgentTask *task)
{
  if (task->state == AGENT_TASK_RUNNING)
    end_task (node, task, AGENT_TASK_STOPPED, ERR_INTERNAL, NULL,
              "the task is missing from the worker's list");
  else if (task->end_accepted)
    end_task (node, task, AGENT_TASK_REFUSED, ERR_FENCED, NULL, NULL);
}

static void
apply_task_list (AgentNode *node, const AgentReport *report)
{
  for (uint32_t i = 0; i < agent_tasks_count (node->tasks); i++)
    agent_tasks_at (node->tasks, i)->listed = FALSE;
  for (guint i = 0; i < report->tasks->len; i++)
    apply_listed_task (node, g_ptr_array_index (report->tasks, i), report->asked_us);
  for (uint32_t i = 0; i < agent_tasks_count (node->tasks); i++)
    {
      AgentTask *task = agent_tasks_at (node->tasks, i);
      if (!task->listed && !agent_task_is_ended (task))
        handle_missing_task (node, task);
    }
  if (!node->has_worker_tasks)
    jnl_event (JNL_INFO, "agent", "worker_listed", "tasks=%u", report->tasks->len);
  node->has_worker_tasks = TRUE;
}

/* Ends the tasks of a worker that doesn't answer, once their leases have expired: the worker itself
 * has ended them by then. */
static void
end_expired_tasks (AgentNode *node, int64_t now_us)
{
  for (uint32_t i = 0; i < agent_tasks_count (node->tasks); i++)
    {
      AgentTask *task = agent_tasks_at (node->tasks, i);
      if (!agent_task_is_ended (task) && now_us > task->worker_end_us + WORKER_DRIFT_US)
        end_task (node, task, AGENT_TASK_STOPPED, ERR_TIMEOUT, NULL, "the worker does not answer");
    }
}

/* Repeats orders that the worker may not have received. This is safe, as the worker identifies each
 * attempt by its id. */
static void
retry_orders (AgentNode *node, AgentTask *task, int64_t now_us)
{
  if (agent_task_is_ended (task))
    return;
  if (task->end_requested != AGENT_END_NONE && !task->end_accepted)
    push_end (node, task);
  if (task->end_requested != AGENT_END_NONE || task->state != AGENT_TASK_STARTING
      || !task->in_doubt)
    return;
  if (now_us < task->worker_end_us)
    (void) push_start (node, task, task->worker_end_us);
  else
    request_end (node, task, AGENT_END_CHECKPOINT);
}

static void
apply_report (void *ctx, void *data)
{
  AgentNode *node = ctx;
  AgentReport *report = data;

  if (report->has_capacity)
    agent_admission_set_capacity (node->admission, &report->capacity);
  if (report->tasks != NULL)
    apply_task_list (node, report);
  else
    {
      agent_node_count (node, "acacia_agent_worker_silent_total",
                        "Lists that the worker did not give.");
      end_expired_tasks (node, clk_now_us ());
    }
  for (uint32_t i = 0; i < agent_tasks_count (node->tasks); i++)
    retry_orders (node, agent_tasks_at (node->tasks, i), clk_now_us ());
  agent_report_free (report);
}

void
agent_work_on_report (void *ctx, AgentReport *report)
{
  agent_node_post (ctx, apply_report, report);
}
