/**
 * @file agent_node.c
 * The agent's event loop: heartbeats, leases, configuration, leaving.
 */
#include "agent/agent_node.h"

#include <string.h>

#include "agent/agent_announce.h"
#include "common/clk.h"
#include "common/doc.h"
#include "common/ids.h"
#include "common/jnl.h"

/** Checks of leases, deadlines and leaving per heartbeat interval. */
#define TICKS_PER_HEARTBEAT 5
#define LATENCY_WINDOW_US (INT64_C (10) * CLK_US_PER_S)
/** Delay before a post to a full queue is retried. */
#define POST_RETRY_US 1000
/** Every n-th heartbeat includes fields that don't change. */
#define FULL_HEARTBEAT_EVERY 20
/** Set in every incarnation, so that it is never 0. */
#define INCARNATION_BIT 1

void
agent_node_count (AgentNode *node, const char *name, const char *help)
{
  met_add (met_counter (node->metrics, name, NULL, help), 1);
}

void
agent_node_count_refused (AgentNode *node, ErrKind kind)
{
  met_kind_add (node->metrics, "acacia_agent_refused_total", kind, 1);
}

void
agent_node_post (AgentNode *node, void (*function) (void *ctx, void *data), void *data)
{
  /* Terminates: the threads that post are joined before the loop stops. */
  while (!wire_post (node->wire, function, node, data))
    g_usleep (POST_RETRY_US);
}

gboolean
agent_node_send (AgentNode *node, const char *peer, const Wire__Envelope *envelope)
{
  if (!wire_send (node->wire, peer, envelope))
    return FALSE;
  agent_entries_note_sent (node->entries, peer, node->seq);
  return TRUE;
}

void
agent_node_send_heartbeat (AgentNode *node, int64_t now_us)
{
  const AgentSettings *settings = node->settings;

  node->seq++;
  AgentAnnounceSource source = {
    .name = settings->name,
    .incarnation = node->incarnation,
    .seq = node->seq,
    .now_us = now_us,
    .data_centre = settings->data_centre,
    .rack = settings->rack,
    .labels = settings->label_set,
    .leaving = node->drain.leaving,
    .config_version = node->config_version,
    .service = settings->endpoint_service,
    .service_healthy = node->endpoint_healthy,
    .queue = node->queue,
    .completed = node->completed,
    .quantiles = agent_latency_read (&node->latency, LATENCY_WINDOW_US, now_us),
    .admission = node->admission,
    .leases = node->leases,
    .tasks = node->tasks,
    .previous_us = node->last_heartbeat_us,
    .full = node->seq % FULL_HEARTBEAT_EVERY == 0 || node->full_heartbeat_due,
  };
  AgentAnnounce *announce = agent_announce_new (&source);

  agent_leases_sent (node->leases, node->seq, now_us);
  for (const char *const *name = wire_peers (node->wire); *name != NULL; name++)
    (void) wire_send (node->wire, *name, agent_announce_envelope (announce));
  agent_announce_free (announce);
  node->full_heartbeat_due = FALSE;
  node->last_heartbeat_us = now_us;
}

static void
handle_lease (AgentNode *node, const char *peer, const Wire__Lease *lease)
{
  int64_t now_us = clk_now_us ();
  AgentGrant grant = { lease->shard, lease->epoch, lease->seq, lease->sent_us, lease->lease_ms };

  /* Ignores echoes of heartbeats that another process of this name sent. */
  if (lease->seq == 0 || lease->seq > node->seq)
    return;
  (void) agent_entries_note_echo (node->entries, peer, lease->seq, now_us);
  if (lease->lease_ms > 0)
    {
      uint64_t before = agent_leases_epoch (node->leases, grant.shard);
      AgentGrantResult result = agent_leases_grant (node->leases, &grant, now_us);
      if (result == AGENT_GRANT_STALE_EPOCH)
        agent_node_count_refused (node, ERR_STALE_EPOCH);
      if (result == AGENT_GRANT_APPLIED && before != grant.epoch)
        {
          jnl_event (JNL_INFO, "agent", "epoch", "shard=%u epoch=%" G_GUINT64_FORMAT " entry=%s",
                     grant.shard, grant.epoch, peer);
          /* Reports all running tasks to the new owner at once. */
          node->full_heartbeat_due = TRUE;
          agent_node_send_heartbeat (node, now_us);
        }
    }
  for (size_t i = 0; i < lease->n_acks; i++)
    agent_work_acknowledge (node, lease->acks[i], now_us);
}

static void
apply_document (AgentNode *node, const DocDocument *document)
{
  const AgentSettings *settings = node->settings;
  const DocService *service = doc_service (document, settings->endpoint_service);
  int64_t slots = service != NULL ? service->slots : settings->endpoint_slots;
  int64_t connections = service != NULL ? service->connections : settings->endpoint_connections;
  DocSize none = { 0 };

  agent_queue_set_limits (node->queue, (uint32_t) MIN (slots, settings->endpoint_threads),
                          (uint32_t) MIN (connections, G_MAXINT32));
  agent_admission_set_service (node->admission, service != NULL ? &service->size : &none);
}

static void
handle_config (AgentNode *node, const Wire__ConfigOffer *offer)
{
  g_autoptr (GError) error = NULL;

  if (offer->version <= node->config_version)
    return;
  DocDocument *document
      = doc_parse ((const char *) offer->text.data, offer->text.len, "offer", &error);
  if (document == NULL)
    {
      agent_node_count_refused (node, ERR_BAD_CONFIG);
      jnl_event (JNL_WARN, "agent", "config_refused", "reason=\"%s\"", error->message);
      return;
    }
  node->config_version = offer->version;
  apply_document (node, document);
  doc_free (document);
  jnl_event (JNL_INFO, "agent", "config", "version=%" G_GUINT64_FORMAT, offer->version);
  agent_node_send_heartbeat (node, clk_now_us ());
}

static void
on_message (void *ctx, const char *peer, const Wire__Envelope *envelope)
{
  AgentNode *node = ctx;

  switch (envelope->body_case)
    {
    case WIRE__ENVELOPE__BODY_LEASE:
      handle_lease (node, peer, envelope->lease);
      break;
    case WIRE__ENVELOPE__BODY_COMMAND:
      agent_work_command (node, peer, envelope->command);
      break;
    case WIRE__ENVELOPE__BODY_REQUEST:
      agent_requests_receive (node, peer, envelope->request);
      break;
    case WIRE__ENVELOPE__BODY_ATTEMPT_QUERY:
      agent_requests_query (node, peer, envelope->attempt_query);
      break;
    case WIRE__ENVELOPE__BODY_CONFIG:
      handle_config (node, envelope->config);
      break;
    default:
      agent_node_count (node, "acacia_agent_unexpected_total", "Messages that no agent expects.");
      break;
    }
}

static void
update_gauges (AgentNode *node)
{
  MetRegistry *metrics = node->metrics;
  DocSize reserved = agent_admission_reserved (node->admission);

  met_set (met_gauge (metrics, "acacia_agent_running", NULL, "Requests at the endpoint."),
           agent_queue_running (node->queue));
  met_set (met_gauge (metrics, "acacia_agent_queued", NULL, "Requests that wait for a slot."),
           agent_queue_queued (node->queue));
  met_set (met_gauge (metrics, "acacia_agent_tasks", NULL, "Tasks that start or run."),
           agent_tasks_live (node->tasks));
  met_set (met_gauge (metrics, "acacia_agent_reserved_cpu_milli", NULL, "Reserved processors."),
           reserved.cpu_milli);
  met_set (met_gauge (metrics, "acacia_agent_attempts", NULL, "Attempts of once requests held."),
           agent_attempts_count (node->attempts));
  met_set (met_gauge (metrics, "acacia_agent_config_version", NULL, "Configuration in force."),
           (int64_t) node->config_version);
}

static void
update_ready (AgentNode *node, int64_t now_us)
{
  int64_t within_us = node->settings->ready_ms * CLK_US_PER_MS;
  gboolean ready = agent_entries_any_echoed (node->entries, within_us, now_us)
                   && (node->endpoint == NULL || node->endpoint_healthy) && !node->drain.leaving;

  atomic_store (&node->is_ready, ready);
}

static void
check_leaving (AgentNode *node, int64_t now_us)
{
  int64_t within_us = node->settings->ready_ms * CLK_US_PER_MS;
  uint32_t live = agent_tasks_live (node->tasks);
  AgentDrainPending pending = {
    .requests = agent_queue_running (node->queue) + agent_queue_queued (node->queue),
    .live_tasks = live,
    .unacknowledged_tasks = agent_tasks_count (node->tasks) - live,
    .all_received = agent_entries_all_received (node->entries, within_us, now_us),
  };

  if (node->drain.leaving && agent_drain_is_done (&node->drain, &pending, now_us))
    atomic_store (&node->is_done, TRUE);
}

static void
on_timer (void *ctx, int64_t now_us)
{
  AgentNode *node = ctx;

  if (now_us - node->opened_us > node->settings->worker_orphan_ms * CLK_US_PER_MS)
    node->has_worker_tasks = TRUE;
  agent_work_end_expired (node, now_us);
  agent_requests_dispatch (node, now_us);
  if (node->has_worker_tasks
      && now_us - node->last_heartbeat_us >= node->settings->heartbeat_ms * CLK_US_PER_MS)
    {
      agent_node_send_heartbeat (node, now_us);
      agent_work_extend (node, now_us);
      update_gauges (node);
    }
  update_ready (node, now_us);
  check_leaving (node, now_us);
}

static void
set_healthy (void *ctx, void *data)
{
  AgentNode *node = ctx;
  gboolean healthy = data != NULL;

  if (node->endpoint_healthy == healthy)
    return;
  node->endpoint_healthy = healthy;
  jnl_event (healthy ? JNL_INFO : JNL_WARN, "agent", "endpoint", "healthy=%d", healthy);
  if (node->has_worker_tasks)
    agent_node_send_heartbeat (node, clk_now_us ());
}

static void
on_health (void *ctx, gboolean healthy)
{
  agent_node_post (ctx, set_healthy, healthy ? ctx : NULL);
}

static void
start_leaving (void *ctx, void *data)
{
  AgentNode *node = ctx;
  int64_t now_us = clk_now_us ();

  (void) data;
  if (!agent_drain_leave (&node->drain, now_us))
    return;
  jnl_event (JNL_INFO, "agent", "leaving", "requests=%u tasks=%u",
             agent_queue_running (node->queue) + agent_queue_queued (node->queue),
             agent_tasks_live (node->tasks));
  agent_node_send_heartbeat (node, now_us);
  agent_entries_note_sent_all (node->entries, node->seq - 1);
  if (node->worker != NULL)
    agent_work_end_all (node);
}

void
agent_node_leave (AgentNode *node)
{
  agent_node_post (node, start_leaving, NULL);
}

static void
make_tables (AgentNode *node)
{
  const AgentSettings *settings = node->settings;
  DocSize capacity = { settings->cpu_milli, settings->memory_mb, settings->accelerators };
  AgentAttemptsOptions attempts = { (uint32_t) settings->attempts_max, settings->answers_bytes_max,
                                    settings->attempts_keep_ms * CLK_US_PER_MS };
  AgentDrainOptions drain
      = { settings->drain_task_ms * CLK_US_PER_MS, settings->drain_receipt_ms * CLK_US_PER_MS };

  node->admission = agent_admission_new (&capacity);
  node->leases = agent_leases_new (settings->lease_margin_ms);
  AgentTasksOptions tasks
      = { (uint32_t) settings->tasks_max, (uint32_t) settings->fences_max,
          settings->fences_keep_ms * CLK_US_PER_MS, node->admission, node->leases };
  node->tasks = agent_tasks_new (&tasks);
  node->attempts = agent_attempts_new (&attempts);
  node->refusals = agent_refusals_new ((uint32_t) settings->refusals_max);
  node->queue
      = agent_queue_new ((uint32_t) MIN (settings->endpoint_slots, settings->endpoint_threads),
                         (uint32_t) settings->endpoint_connections);
  node->entries = agent_entries_new ();
  agent_drain_init (&node->drain, &drain);
  node->request_us
      = met_histogram (node->metrics, "acacia_agent_request_us", NULL, "Time at the endpoint.");
}

static gboolean
open_wire (AgentNode *node, GError **error)
{
  const AgentSettings *settings = node->settings;
  WireOptions options = {
    .name = settings->name,
    .incarnation = node->incarnation,
    .send_queue_max = (uint32_t) settings->send_queue_max,
    .timer_ms = MAX (settings->heartbeat_ms / TICKS_PER_HEARTBEAT, 1),
    .heartbeat_ms = settings->heartbeat_ms,
    .metrics = node->metrics,
  };
  WireEvents events = { on_message, on_timer, node };

  node->wire = wire_new (&options, &events, error);
  if (node->wire == NULL)
    return FALSE;
  for (char **text = settings->entries; *text != NULL; text++)
    {
      g_autofree char *name = NULL;
      g_autofree char *address = NULL;
      gboolean valid = agent_settings_entry (*text, &name, &address);
      g_assert (valid);
      if (!wire_connect (node->wire, name, address, error))
        return FALSE;
    }
  return TRUE;
}

static void
start_threads (AgentNode *node)
{
  const AgentSettings *settings = node->settings;
  AgentEndpointOptions endpoint = {
    .caller = { settings->endpoint_host, (uint16_t) settings->endpoint_port,
                settings->endpoint_connect_ms, settings->endpoint_once_read_ms },
    .threads = (uint32_t) settings->endpoint_threads,
    .health_ms = settings->endpoint_health_ms,
    .on_done = agent_requests_on_done,
    .on_health = on_health,
    .ctx = node,
  };
  AgentWorkerOptions worker = {
    .client = { settings->worker_host, (uint16_t) settings->worker_port,
                settings->worker_connect_ms, settings->worker_read_ms },
    .poll_ms = settings->worker_poll_ms,
    .on_result = agent_work_on_result,
    .on_report = agent_work_on_report,
    .ctx = node,
  };

  if (settings->endpoint_port != 0)
    node->endpoint = agent_endpoint_new (&endpoint);
  if (settings->worker_port != 0)
    node->worker = agent_worker_new (&worker);
  node->has_worker_tasks = node->worker == NULL;
  wire_start (node->wire);
}

AgentNode *
agent_node_open (const AgentSettings *settings, MetRegistry *metrics, GError **error)
{
  AgentNode *node = g_new0 (AgentNode, 1);

  node->settings = settings;
  node->metrics = metrics;
  node->incarnation = ids_new ().low | INCARNATION_BIT;
  node->opened_us = clk_now_us ();
  atomic_init (&node->is_ready, FALSE);
  atomic_init (&node->is_done, FALSE);
  make_tables (node);
  if (!open_wire (node, error))
    {
      agent_node_close (node);
      return NULL;
    }
  start_threads (node);
  return node;
}

void
agent_node_close (AgentNode *node)
{
  gboolean expired;
  void *waiting;

  if (node == NULL)
    return;
  agent_endpoint_free (node->endpoint);
  agent_worker_free (node->worker);
  wire_free (node->wire);
  /* Requests are still queued only if the process did not leave first. */
  agent_queue_set_limits (node->queue, G_MAXUINT32, G_MAXUINT32);
  while ((waiting = agent_queue_take (node->queue, 0, &expired)) != NULL)
    agent_call_free (waiting);
  agent_tasks_free (node->tasks);
  agent_leases_free (node->leases);
  agent_admission_free (node->admission);
  agent_attempts_free (node->attempts);
  agent_refusals_free (node->refusals);
  agent_queue_free (node->queue);
  agent_entries_free (node->entries);
  g_free (node);
}
