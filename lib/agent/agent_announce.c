#include "agent/agent_announce.h"

#include "common/clk.h"
#include "common/err.h"

/** Time without requests after which an endpoint counts as idle. */
#define IDLE_AFTER_US CLK_US_PER_S

/** Status of one task in the message, with the sizes that it points to. */
typedef struct
{
  Wire__TaskStatus status;
  Wire__Size used;
  Wire__Size reserved;
} TaskRow;

struct AgentAnnounce
{
  Wire__Envelope envelope;
  Wire__Announce message;
  Wire__Size capacity;
  Wire__Size reserved;
  Wire__ServiceStatus service;
  Wire__ServiceStatus *services[1];
  Wire__Label *labels;
  Wire__ShardEpoch *epochs;
  TaskRow *tasks;
};

static Wire__Size
to_wire_size (const DocSize *size)
{
  Wire__Size message = WIRE__SIZE__INIT;

  message.cpu_milli = size->cpu_milli;
  message.memory_mb = size->memory_mb;
  message.accelerators = size->accelerators;
  return message;
}

static Wire__TaskState
wire_state (AgentTaskState state)
{
  static const Wire__TaskState states[] = {
    [AGENT_TASK_STARTING] = WIRE__TASK_STATE__TASK_RUNNING,
    [AGENT_TASK_RUNNING] = WIRE__TASK_STATE__TASK_RUNNING,
    [AGENT_TASK_DONE] = WIRE__TASK_STATE__TASK_DONE,
    [AGENT_TASK_FAILED] = WIRE__TASK_STATE__TASK_FAILED,
    [AGENT_TASK_CHECKPOINTED] = WIRE__TASK_STATE__TASK_CHECKPOINTED,
    [AGENT_TASK_STOPPED] = WIRE__TASK_STATE__TASK_STOPPED,
    [AGENT_TASK_REFUSED] = WIRE__TASK_STATE__TASK_REFUSED,
  };

  return states[state];
}

void
agent_announce_task (const AgentTask *task,
                     int64_t now_us,
                     int64_t previous_us,
                     gboolean full,
                     Wire__TaskStatus *status,
                     Wire__Size *used,
                     Wire__Size *reserved)
{
  wire__task_status__init (status);
  status->job = task->id.job;
  status->index = task->id.index;
  status->attempt = task->id.attempt;
  status->shard = task->shard;
  status->epoch = task->epoch;
  status->state = wire_state (task->state);
  status->progress_ms = task->progress_ms;
  if (full)
    {
      *reserved = to_wire_size (&task->reserved);
      status->reserved = reserved;
    }
  if (task->measured_us != 0 && task->measured_us >= previous_us)
    {
      *used = to_wire_size (&task->used);
      status->used = used;
      status->measured_ago_us = MAX (now_us - task->measured_us, 0);
    }
  if (!agent_task_is_ended (task))
    return;
  if (task->checkpoint != NULL)
    status->checkpoint = task->checkpoint;
  if (task->state == AGENT_TASK_FAILED || task->state == AGENT_TASK_REFUSED)
    status->kind = (char *) err_name (task->kind);
}

static void
add_labels (AgentAnnounce *announce, const LabSet *labels)
{
  uint32_t n = lab_count (labels);

  announce->labels = g_new (Wire__Label, n);
  announce->message.labels = g_new (Wire__Label *, n);
  announce->message.n_labels = n;
  for (uint32_t i = 0; i < n; i++)
    {
      const char *key;
      const char *value;
      lab_at (labels, i, &key, &value);
      wire__label__init (&announce->labels[i]);
      announce->labels[i].key = (char *) key;
      announce->labels[i].value = (char *) value;
      announce->message.labels[i] = &announce->labels[i];
    }
}

static void
add_epochs (AgentAnnounce *announce, const AgentLeases *leases)
{
  uint32_t n = agent_leases_count (leases);

  announce->epochs = g_new (Wire__ShardEpoch, n);
  announce->message.shards = g_new (Wire__ShardEpoch *, n);
  announce->message.n_shards = n;
  for (uint32_t i = 0; i < n; i++)
    {
      AgentLease lease = agent_leases_at (leases, i);
      wire__shard_epoch__init (&announce->epochs[i]);
      announce->epochs[i].shard = lease.shard;
      announce->epochs[i].epoch = lease.epoch;
      announce->message.shards[i] = &announce->epochs[i];
    }
}

static void
add_tasks (AgentAnnounce *announce, const AgentAnnounceSource *source)
{
  uint32_t n = agent_tasks_count (source->tasks);

  announce->tasks = g_new (TaskRow, n);
  announce->message.tasks = g_new (Wire__TaskStatus *, n);
  announce->message.n_tasks = n;
  for (uint32_t i = 0; i < n; i++)
    {
      TaskRow *row = &announce->tasks[i];
      agent_announce_task (agent_tasks_at (source->tasks, i), source->now_us, source->previous_us,
                           source->full, &row->status, &row->used, &row->reserved);
      announce->message.tasks[i] = &row->status;
    }
}

/* An idle endpoint reports no tail latency. That report is current, not as old as the last request.
 */
static gboolean
is_idle (const AgentAnnounceSource *source)
{
  return agent_queue_running (source->queue) == 0 && agent_queue_queued (source->queue) == 0
         && source->now_us - source->quantiles.newest_us >= IDLE_AFTER_US;
}

static void
add_service (AgentAnnounce *announce, const AgentAnnounceSource *source)
{
  Wire__ServiceStatus *service = &announce->service;

  if (source->service == NULL || *source->service == '\0')
    return;
  wire__service_status__init (service);
  service->service = (char *) source->service;
  service->slots = agent_queue_slots (source->queue);
  service->connections = agent_queue_connections (source->queue);
  service->running = agent_queue_running (source->queue);
  service->queued = agent_queue_queued (source->queue);
  service->p50_us = source->quantiles.p50_us;
  service->completed = source->completed;
  service->healthy = source->service_healthy;
  if (source->quantiles.newest_us != 0 && !is_idle (source))
    {
      service->p99_us = source->quantiles.p99_us;
      service->measured_ago_us = source->now_us - source->quantiles.newest_us;
    }
  announce->services[0] = service;
  announce->message.services = announce->services;
  announce->message.n_services = 1;
}

AgentAnnounce *
agent_announce_new (const AgentAnnounceSource *source)
{
  AgentAnnounce *announce = g_new0 (AgentAnnounce, 1);
  Wire__Announce *message = &announce->message;
  DocSize capacity = agent_admission_capacity (source->admission);
  DocSize reserved = agent_admission_reserved (source->admission);

  wire__announce__init (message);
  message->agent = (char *) source->name;
  message->incarnation = source->incarnation;
  message->seq = source->seq;
  message->sent_us = source->now_us;
  message->data_centre = (char *) source->data_centre;
  message->rack = (char *) source->rack;
  message->leaving = source->leaving;
  message->config_version = source->config_version;
  announce->capacity = to_wire_size (&capacity);
  message->capacity = &announce->capacity;
  announce->reserved = to_wire_size (&reserved);
  message->reserved = &announce->reserved;
  add_labels (announce, source->labels);
  add_service (announce, source);
  add_epochs (announce, source->leases);
  add_tasks (announce, source);
  wire__envelope__init (&announce->envelope);
  announce->envelope.body_case = WIRE__ENVELOPE__BODY_ANNOUNCE;
  announce->envelope.announce = message;
  return announce;
}

void
agent_announce_free (AgentAnnounce *announce)
{
  if (announce == NULL)
    return;
  g_free (announce->labels);
  g_free (announce->message.labels);
  g_free (announce->epochs);
  g_free (announce->message.shards);
  g_free (announce->tasks);
  g_free (announce->message.tasks);
  g_free (announce);
}

const Wire__Envelope *
agent_announce_envelope (const AgentAnnounce *announce)
{
  return &announce->envelope;
}
