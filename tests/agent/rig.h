/**
 * @file rig.h
 * Test fixture: a running agent with a fake entry, a canned endpoint and a stand-in worker.
 */
#pragma once

#include <pthread.h>

#include "agent/agent_node.h"
#include "agent/canned_server.h"
#include "common/clk.h"
#include "support/fake_worker.h"
#include "wire/free_address.h"
#include "wire/wire_parse.h"

#define WAIT_US (INT64_C (10) * CLK_US_PER_S)
#define POLL_US 2000
#define LEASE_MS 3000
#define SHARD 7

/** A fake entry with one agent; the entry's loop thread writes the fields guarded by mutex. */
typedef struct
{
  CannedServer *endpoint;
  FakeWorker *worker;
  char *address; /**< address of the entry */
  AgentSettings settings;
  MetRegistry *metrics;
  AgentNode *node;
  Wire *entry;
  pthread_mutex_t mutex;
  GPtrArray *received; /**< Wire__Envelope; all messages except heartbeats */
  Wire__Envelope *announce;
  uint32_t n_announces;
  uint64_t grant_epoch; /**< 0: no lease is granted */
  gboolean acknowledge;
} Rig;

typedef struct
{
  Rig *rig;
  uint8_t *data;
  size_t size;
} Packed;

typedef gboolean (*MessageMatcher) (const Wire__Envelope *envelope, uint64_t id);

static inline Wire__Envelope *
copy (const Wire__Envelope *envelope)
{
  size_t size = wire__envelope__get_packed_size (envelope);
  g_autofree uint8_t *data = g_malloc (size);

  wire__envelope__pack (envelope, data);
  return wire_parse (data, size, NULL);
}

static inline void
answer_announce (Rig *rig, const char *peer, const Wire__Announce *announce)
{
  Wire__Lease lease = WIRE__LEASE__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__TaskAck acks[16];
  Wire__TaskAck *pointers[16];

  lease.seq = announce->seq;
  lease.sent_us = announce->sent_us;
  lease.shard = SHARD;
  lease.epoch = rig->grant_epoch;
  lease.lease_ms = rig->grant_epoch != 0 ? LEASE_MS : 0;
  for (size_t i = 0; rig->acknowledge && i < announce->n_tasks && lease.n_acks < 16; i++)
    {
      const Wire__TaskStatus *task = announce->tasks[i];
      if (task->state == WIRE__TASK_STATE__TASK_RUNNING)
        continue;
      wire__task_ack__init (&acks[lease.n_acks]);
      acks[lease.n_acks].job = task->job;
      acks[lease.n_acks].index = task->index;
      acks[lease.n_acks].attempt = task->attempt;
      pointers[lease.n_acks] = &acks[lease.n_acks];
      lease.n_acks++;
    }
  lease.acks = pointers;
  envelope.body_case = WIRE__ENVELOPE__BODY_LEASE;
  envelope.lease = &lease;
  (void) wire_send (rig->entry, peer, &envelope);
}

static inline void
on_entry_message (void *ctx, const char *peer, const Wire__Envelope *envelope)
{
  Rig *rig = ctx;

  pthread_mutex_lock (&rig->mutex);
  if (envelope->body_case == WIRE__ENVELOPE__BODY_ANNOUNCE)
    {
      wire_parsed_free (rig->announce);
      rig->announce = copy (envelope);
      rig->n_announces++;
      answer_announce (rig, peer, envelope->announce);
    }
  else
    g_ptr_array_add (rig->received, copy (envelope));
  pthread_mutex_unlock (&rig->mutex);
}

static inline void
on_entry_timer (void *ctx, int64_t now_us)
{
  (void) ctx;
  (void) now_us;
}

static inline void
open_settings (Rig *rig, gboolean with_worker)
{
  g_autofree char *path = NULL;
  GError *error = NULL;
  int fd = g_file_open_tmp ("agentXXXXXX", &path, NULL);
  g_autofree char *text = g_strdup_printf (
      "name = \"agent-1\"\ndata_centre = \"dc-1\"\nentries = [\"entry-1=%s\"]\n"
      "heartbeat_ms = 50\nlease_margin_ms = 300\nworker.poll_ms = 100\nworker.port = %u\n"
      "endpoint.service = \"mixdesk\"\nendpoint.port = %u\nendpoint.slots = 2\n"
      "endpoint.connections = 4\nendpoint.threads = 4\nendpoint.once_read_ms = 1000\n"
      "drain_task_ms = 5000\n",
      rig->address, with_worker ? fake_worker_port (rig->worker) : 0, rig->endpoint->port);

  assert_true (fd >= 0 && write (fd, text, strlen (text)) == (ssize_t) strlen (text));
  close (fd);
  if (!agent_settings_load (path, &rig->settings, &error))
    fail_msg ("%s", error->message);
  (void) unlink (path);
}

static inline Rig *
rig_new (gboolean with_worker)
{
  FakeWorkerOptions worker = { .capacity = { 4000, 4000, 1 } };
  Rig *rig = g_new0 (Rig, 1);
  WireEvents events = { on_entry_message, on_entry_timer, rig };

  pthread_mutex_init (&rig->mutex, NULL);
  rig->received = g_ptr_array_new_with_free_func ((GDestroyNotify) wire_parsed_free);
  rig->metrics = met_new ();
  rig->address = free_address ();
  rig->endpoint = canned_new ();
  rig->worker = fake_worker_new (&worker);
  open_settings (rig, with_worker);
  WireOptions options = { .name = "entry-1",
                          .incarnation = 1,
                          .listen = rig->address,
                          .send_queue_max = 1000,
                          .timer_ms = 50,
                          .heartbeat_ms = 500,
                          .metrics = rig->metrics };
  rig->entry = wire_new (&options, &events, NULL);
  assert_non_null (rig->entry);
  wire_start (rig->entry);
  rig->node = agent_node_open (&rig->settings, rig->metrics, NULL);
  assert_non_null (rig->node);
  return rig;
}

static inline void
rig_free (Rig *rig)
{
  agent_node_close (rig->node);
  wire_free (rig->entry);
  canned_free (rig->endpoint);
  fake_worker_free (rig->worker);
  wire_parsed_free (rig->announce);
  g_ptr_array_unref (rig->received);
  agent_settings_clear (&rig->settings);
  met_free (rig->metrics);
  g_free (rig->address);
  pthread_mutex_destroy (&rig->mutex);
  g_free (rig);
}

static inline void
send_packed (void *ctx, void *data)
{
  Rig *rig = ctx;
  Packed *packed = data;
  Wire__Envelope *envelope = wire_parse (packed->data, packed->size, NULL);

  g_assert_true (wire_send (rig->entry, "agent-1", envelope));
  wire_parsed_free (envelope);
  g_free (packed->data);
  g_free (packed);
}

static inline void
send_envelope (Rig *rig, const Wire__Envelope *envelope)
{
  Packed *packed = g_new0 (Packed, 1);

  packed->size = wire__envelope__get_packed_size (envelope);
  packed->data = g_malloc (packed->size);
  wire__envelope__pack (envelope, packed->data);
  assert_true (wire_post (rig->entry, send_packed, rig, packed));
}

static inline const Wire__Envelope *
find_received (Rig *rig, MessageMatcher matches, uint64_t id, uint32_t nth)
{
  const Wire__Envelope *found = NULL;
  uint32_t seen = 0;

  pthread_mutex_lock (&rig->mutex);
  for (guint i = 0; i < rig->received->len && found == NULL; i++)
    {
      const Wire__Envelope *envelope = g_ptr_array_index (rig->received, i);
      if (matches (envelope, id) && ++seen == nth)
        found = envelope;
    }
  pthread_mutex_unlock (&rig->mutex);
  return found;
}

/* Waits for the n-th matching message, which the rig owns. */
static inline const Wire__Envelope *
wait_for (Rig *rig, MessageMatcher matches, uint64_t id, uint32_t nth)
{
  int64_t end_us = clk_now_us () + WAIT_US;
  const Wire__Envelope *found;

  while ((found = find_received (rig, matches, id, nth)) == NULL && clk_now_us () < end_us)
    g_usleep (POLL_US);
  assert_non_null (found);
  return found;
}

static inline gboolean
is_response (const Wire__Envelope *envelope, uint64_t id)
{
  return envelope->body_case == WIRE__ENVELOPE__BODY_RESPONSE && envelope->response->id_low == id;
}

static inline gboolean
is_reply (const Wire__Envelope *envelope, uint64_t id)
{
  return envelope->body_case == WIRE__ENVELOPE__BODY_ATTEMPT_REPLY
         && envelope->attempt_reply->id_low == id;
}

static inline gboolean
is_running (const Wire__Envelope *envelope, uint64_t job)
{
  return envelope->body_case == WIRE__ENVELOPE__BODY_EVENT && envelope->event->job == job
         && envelope->event->state == WIRE__TASK_STATE__TASK_RUNNING;
}

static inline gboolean
is_ended (const Wire__Envelope *envelope, uint64_t job)
{
  return envelope->body_case == WIRE__ENVELOPE__BODY_EVENT && envelope->event->job == job
         && envelope->event->state != WIRE__TASK_STATE__TASK_RUNNING;
}

static inline gboolean
is_healthy (Rig *rig)
{
  gboolean healthy;

  pthread_mutex_lock (&rig->mutex);
  healthy = rig->announce != NULL && rig->announce->announce->services[0]->healthy
            && (rig->grant_epoch == 0 || rig->announce->announce->n_shards > 0);
  pthread_mutex_unlock (&rig->mutex);
  return healthy;
}

/* Waits for a heartbeat that reports a healthy endpoint and, if leases are granted, a lease. */
static inline void
wait_healthy (Rig *rig)
{
  int64_t end_us = clk_now_us () + WAIT_US;

  while (!is_healthy (rig) && clk_now_us () < end_us)
    g_usleep (POLL_US);
  assert_true (is_healthy (rig));
}

static inline void
set_grant (Rig *rig, uint64_t epoch, gboolean acknowledge)
{
  pthread_mutex_lock (&rig->mutex);
  rig->grant_epoch = epoch;
  rig->acknowledge = acknowledge;
  pthread_mutex_unlock (&rig->mutex);
}

static inline size_t
announced_tasks (Rig *rig)
{
  pthread_mutex_lock (&rig->mutex);
  size_t n = rig->announce->announce->n_tasks;
  pthread_mutex_unlock (&rig->mutex);
  return n;
}

static inline void
send_request (Rig *rig, uint64_t id, const char *key, int64_t budget_ms)
{
  Wire__Request request = WIRE__REQUEST__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  request.id_high = 1;
  request.id_low = id;
  request.attempt = 1;
  request.tenant = "bank-1";
  request.service = "mixdesk";
  request.once = key != NULL;
  request.key = key != NULL ? (char *) key : "";
  request.path = "/render";
  request.body = (ProtobufCBinaryData){ 4, (uint8_t *) "body" };
  request.body_digest = ids_hash ("body", 4);
  request.budget_us = budget_ms * CLK_US_PER_MS;
  request.agent_incarnation = rig->node->incarnation;
  envelope.body_case = WIRE__ENVELOPE__BODY_REQUEST;
  envelope.request = &request;
  send_envelope (rig, &envelope);
}

static inline void
send_query (Rig *rig, uint64_t id, const char *key)
{
  Wire__AttemptQuery query = WIRE__ATTEMPT_QUERY__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  query.id_low = id;
  query.attempt = 1;
  query.tenant = "bank-1";
  query.key = (char *) key;
  query.agent_incarnation = rig->node->incarnation;
  envelope.body_case = WIRE__ENVELOPE__BODY_ATTEMPT_QUERY;
  envelope.attempt_query = &query;
  send_envelope (rig, &envelope);
}

static inline void
send_command (Rig *rig, Wire__TaskVerb verb, uint64_t job, uint64_t epoch, int64_t run_ms)
{
  Wire__TaskCommand command = WIRE__TASK_COMMAND__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Size size = WIRE__SIZE__INIT;

  size.cpu_milli = 3000;
  command.verb = verb;
  command.job = job;
  command.attempt = 1;
  command.shard = SHARD;
  command.epoch = epoch;
  command.run_ms = run_ms;
  command.reserved = &size;
  command.job_name = "render";
  command.batch_class = "render";
  envelope.body_case = WIRE__ENVELOPE__BODY_COMMAND;
  envelope.command = &command;
  send_envelope (rig, &envelope);
}
