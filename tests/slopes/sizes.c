#include "slopes/slopes.h"

#include "wire/message.pb-c.h"

/** TCP over IPv4 with the timestamps option. Each segment and its acknowledgement have one. */
#define HEADER_BYTES 52
#define SEGMENT_BYTES 1448
/** Largest payload of a ZeroMQ frame with a short header. */
#define FRAME_SHORT_MAX 255
#define FRAME_SHORT_HEAD 2
#define FRAME_LONG_HEAD 9

#define TASKS_MAX 64
#define BODY_BYTES 1024

static double
wire_bytes (double payload)
{
  double frame = payload + (payload <= FRAME_SHORT_MAX ? FRAME_SHORT_HEAD : FRAME_LONG_HEAD);
  int64_t segments = ((int64_t) frame + SEGMENT_BYTES - 1) / SEGMENT_BYTES;

  return frame + (double) (2 * HEADER_BYTES * segments);
}

static void
print_message (const char *name, const Wire__Envelope *envelope)
{
  double payload = (double) wire__envelope__get_packed_size (envelope);
  g_autofree char *size_name = g_strconcat ("size.", name, NULL);
  g_autofree char *wire_name = g_strconcat ("wire.", name, NULL);

  slopes_print (size_name, payload, "bytes");
  slopes_print (wire_name, wire_bytes (payload), "bytes");
}

static void
fill_task (Wire__TaskStatus *task, Wire__Size *size)
{
  wire__size__init (size);
  size->cpu_milli = 1500;
  size->memory_mb = 3000;
  wire__task_status__init (task);
  task->job = UINT64_C (0x123456789abcdef0);
  task->index = 1000;
  task->attempt = 3;
  task->shard = 7;
  task->epoch = 100;
  task->state = WIRE__TASK_STATE__TASK_RUNNING;
  task->progress_ms = 600000;
  task->checkpoint = "";
  task->kind = "";
  task->batch_class = "render";
  task->used = size;
  task->reserved = size;
  task->measured_ago_us = 15000000;
}

/* Prints the size of a heartbeat with two labels, @p n_services services and @p n_tasks tasks. */
static void
print_announce (const char *name, uint32_t n_tasks, uint32_t n_services)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Announce announce = WIRE__ANNOUNCE__INIT;
  Wire__Size sizes[TASKS_MAX];
  Wire__TaskStatus tasks[TASKS_MAX];
  Wire__TaskStatus *task_list[TASKS_MAX];
  Wire__Label labels[2] = { WIRE__LABEL__INIT, WIRE__LABEL__INIT };
  Wire__Label *label_list[2] = { &labels[0], &labels[1] };
  Wire__ServiceStatus service = WIRE__SERVICE_STATUS__INIT;
  Wire__ServiceStatus *service_list[TASKS_MAX];
  Wire__ShardEpoch shard = { PROTOBUF_C_MESSAGE_INIT (&wire__shard_epoch__descriptor), 7, 100 };
  Wire__ShardEpoch *shard_list[1] = { &shard };
  Wire__Size capacity = WIRE__SIZE__INIT;

  capacity.cpu_milli = 16000;
  capacity.memory_mb = 61440;
  for (uint32_t i = 0; i < n_tasks; i++)
    {
      fill_task (&tasks[i], &sizes[i]);
      task_list[i] = &tasks[i];
    }
  labels[0].key = labels[1].key = "pool";
  labels[0].value = labels[1].value = "render";
  service.service = "mixdesk";
  service.slots = 8;
  service.connections = 64;
  service.p50_us = 20000;
  service.p99_us = 90000;
  service.completed = 1000000;
  service.measured_ago_us = 400000;
  for (uint32_t i = 0; i < n_services; i++)
    service_list[i] = &service;
  announce.agent = "agent-quito-norte-123";
  announce.incarnation = UINT64_C (0x123456789abcdef0);
  announce.seq = 100000;
  announce.sent_us = INT64_C (1000000000000);
  announce.data_centre = "quito-norte";
  announce.rack = "rack-12";
  announce.n_labels = 2;
  announce.labels = label_list;
  announce.capacity = &capacity;
  announce.reserved = &capacity;
  announce.config_version = 1000000;
  announce.n_services = n_services;
  announce.services = service_list;
  announce.n_tasks = n_tasks;
  announce.tasks = task_list;
  announce.n_shards = 1;
  announce.shards = shard_list;
  envelope.body_case = WIRE__ENVELOPE__BODY_ANNOUNCE;
  envelope.announce = &announce;
  print_message (name, &envelope);
}

static void
print_lease (void)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Lease lease = WIRE__LEASE__INIT;

  lease.entry = "entry-quito-norte-1";
  lease.entry_incarnation = UINT64_C (0x123456789abcdef0);
  lease.seq = 100000;
  lease.sent_us = INT64_C (1000000000000);
  lease.shard = 7;
  lease.epoch = 100;
  lease.lease_ms = 5000;
  lease.config_version = 1000000;
  envelope.body_case = WIRE__ENVELOPE__BODY_LEASE;
  envelope.lease = &lease;
  print_message ("lease", &envelope);
}

static void
print_command (void)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__TaskCommand command = WIRE__TASK_COMMAND__INIT;
  Wire__Size reserved = WIRE__SIZE__INIT;

  reserved.cpu_milli = 1500;
  reserved.memory_mb = 3000;
  command.shard = 7;
  command.epoch = 100;
  command.job = UINT64_C (0x123456789abcdef0);
  command.index = 1000;
  command.attempt = 3;
  command.verb = WIRE__TASK_VERB__VERB_START;
  command.reserved = &reserved;
  command.batch_class = "render";
  command.run_ms = 1200000;
  command.throttle_permille = 1000;
  command.job_name = "master-render";
  command.entry_incarnation = UINT64_C (0x123456789abcdef0);
  envelope.body_case = WIRE__ENVELOPE__BODY_COMMAND;
  envelope.command = &command;
  print_message ("command", &envelope);
}

static void
print_event (void)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__TaskStatus task;
  Wire__Size size;

  fill_task (&task, &size);
  envelope.body_case = WIRE__ENVELOPE__BODY_EVENT;
  envelope.event = &task;
  print_message ("event", &envelope);
}

static void
print_request (void)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Request request = WIRE__REQUEST__INIT;
  uint8_t body[BODY_BYTES] = { 0 };

  request.id_high = request.id_low = UINT64_C (0x123456789abcdef0);
  request.attempt = 1;
  request.tenant = "mezcla";
  request.service = "mixdesk";
  request.key = "0123456789abcdef0123456789abcdef";
  request.path = "preview/cut";
  request.content_type = "application/json";
  request.body = (ProtobufCBinaryData){ sizeof body, body };
  request.body_digest = UINT64_C (0x123456789abcdef0);
  request.budget_us = 5000000;
  request.agent_incarnation = UINT64_C (0x123456789abcdef0);
  envelope.body_case = WIRE__ENVELOPE__BODY_REQUEST;
  envelope.request = &request;
  print_message ("request_1k", &envelope);
}

static void
print_digest (void)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Digest digest = WIRE__DIGEST__INIT;
  Wire__ShardEpoch shard = { PROTOBUF_C_MESSAGE_INIT (&wire__shard_epoch__descriptor), 7, 100 };
  Wire__ShardEpoch *shard_list[1] = { &shard };

  digest.entry = "entry-quito-norte-1";
  digest.incarnation = UINT64_C (0x123456789abcdef0);
  digest.data_centre = "quito-norte";
  digest.config_version = 1000000;
  digest.log_offset = 100000000;
  digest.log_age_ms = 300;
  digest.n_owned = 1;
  digest.owned = shard_list;
  digest.seq = 100000;
  digest.sent_us = INT64_C (1000000000000);
  digest.wire_address = "tcp://10.10.10.10:7001";
  envelope.body_case = WIRE__ENVELOPE__BODY_DIGEST;
  envelope.digest = &digest;
  print_message ("digest", &envelope);
}

void
slopes_sizes (void)
{
  print_announce ("announce_idle", 0, 1);
  print_announce ("announce_16", 16, 6);
  print_announce ("announce_64", TASKS_MAX, 6);
  print_lease ();
  print_command ();
  print_event ();
  print_request ();
  print_digest ();
}
