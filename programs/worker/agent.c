#include "agent.h"

#include <string.h>

#include "common/clk.h"
#include "common/line.h"
#include "supervisor/supervisor.h"
#include "supervisor/report_flow.h"
#include "ledger/ledger.h"
#include "net/net_link.h"
#include "net/net_server.h"
#include "platform/store.h"

/** Interval of regular reports to the owner. */
#define REPORT_INTERVAL_MS 400
/** Urgent changes within this time share one report. */
#define REPORT_SOON_MS 8
#define TICK_MS 100
#define POLL_WAIT_MS 400
/** A worker on the same instance answers within a few ms. Calls without an answer are resolved
 * by later stops and polls. */
#define CALL_TIMEOUT_MS 600
#define STORE_TIMEOUT_MS 1500
#define REGISTER_RETRY_MS 300
/** Without orders for this long, the agent registers again, as the owner may have removed it. */
#define OWNER_SILENCE_MS 2500
/** Time to send the last report before the process exits. */
#define LEAVE_DELAY_MS 60
#define CONNECTIONS_MAX 64
#define IDLE_TIMEOUT_S 60
#define BODY_BYTES_MAX (1024 * 1024)

struct Agent
{
  const NodeSettings *settings;
  Node *node;
  NetServer *server;
  NetLinks *links;
  NetLink *link;
  GBytes *owner; /**< peer of the newest owner; NULL until an owner sent a message */
  Store *store;
  Supervisor *supervisor;
  gboolean is_registering;
  int64_t contact_us; /**< when the newest orders came, or this agent last registered */
  ReportFlow flow;
  guint report_timer;
  guint tick_timer;
  MetSeries *reports_received;
  MetSeries *reports_malformed;
  MetSeries *orders_received;
  MetSeries *orders_stale;
  MetSeries *reports_sent;
  MetSeries *reports_unsent;
  MetSeries *reports_too_large;
  MetSeries *report_bytes;
};

static int64_t
read_clock (void *ctx)
{
  (void) ctx;
  return clk_now_us ();
}

static RunnerTarget
full_target (const Agent *agent, const RunnerTarget *target)
{
  RunnerTarget full = *target;

  full.client = node_client (agent->node);
  full.address = agent->settings->worker_call_address;
  return full;
}

static void
call_start (void *ctx,
            const RunnerTarget *target,
            const RunnerStart *start,
            RunnerDone done,
            void *done_ctx)
{
  RunnerTarget full = full_target (ctx, target);

  line_add ("agent", "start", "task=%s run=%" G_GINT64_FORMAT " until_ms=%" G_GINT64_FORMAT,
            start->task, start->run, start->until_ms);
  runner_start (&full, start, done, done_ctx);
}

static void
call_stop (void *ctx,
           const RunnerTarget *target,
           const char *task,
           int64_t run,
           RunnerDone done,
           void *done_ctx)
{
  RunnerTarget full = full_target (ctx, target);

  line_add ("agent", "stop", "task=%s run=%" G_GINT64_FORMAT, task, run);
  runner_stop (&full, task, run, done, done_ctx);
}

static void
call_set_cpu_limit (void *ctx,
                    const RunnerTarget *target,
                    const char *task,
                    int64_t run,
                    int64_t percent,
                    RunnerDone done,
                    void *done_ctx)
{
  RunnerTarget full = full_target (ctx, target);

  line_add ("agent", "pace", "task=%s run=%" G_GINT64_FORMAT " percent=%" G_GINT64_FORMAT, task,
            run, percent);
  runner_set_cpu_limit (&full, task, run, percent, done, done_ctx);
}

static void
call_poll (void *ctx,
           const RunnerTarget *target,
           const RunnerPoll *request,
           RunnerDone done,
           void *done_ctx)
{
  RunnerTarget full = full_target (ctx, target);

  runner_poll (&full, request, done, done_ctx);
}

static void
log_supervisor_event (void *ctx, const char *event, const char *text)
{
  (void) ctx;
  line_add ("keeper", event, "%s", text);
}

/* Sends a report. If none can be built or sent now, the next one is due after a period. */
static void
send_report (Agent *agent)
{
  Batch__Report *report = agent->owner != NULL ? supervisor_report (agent->supervisor) : NULL;

  report_flow_sent (&agent->flow, report != NULL ? report->version : 0, clk_now_us ());
  if (report == NULL)
    return;
  size_t size = batch__report__get_packed_size (report);
  g_autofree uint8_t *bytes = g_malloc (size);
  (void) batch__report__pack (report, bytes);
  batch__report__free_unpacked (report, NULL);
  NetLinkResult result = net_link_send (agent->link, agent->owner, bytes, size);
  met_add (result == NET_LINK_SENT ? agent->reports_sent : agent->reports_unsent, 1);
  if (result == NET_LINK_TOO_LARGE)
    {
      met_add (agent->reports_too_large, 1);
      line_add ("agent", "report_too_large", "bytes=%zu bytes_max=%d", size, NET_LINK_MESSAGE_MAX);
    }
  met_add (agent->report_bytes, size);
}

static void schedule_report (Agent *agent);

static gboolean
on_report_due (gpointer data)
{
  Agent *agent = data;

  agent->report_timer = 0;
  send_report (agent);
  schedule_report (agent);
  return G_SOURCE_REMOVE;
}

static void
schedule_report (Agent *agent)
{
  int64_t wait_us = MAX (report_flow_due_us (&agent->flow) - clk_now_us (), 0);

  g_clear_handle_id (&agent->report_timer, g_source_remove);
  agent->report_timer = g_timeout_add ((guint) ((wait_us + CLK_US_PER_MS - 1) / CLK_US_PER_MS),
                                       on_report_due, agent);
}

static void
report_soon (void *ctx)
{
  Agent *agent = ctx;

  report_flow_urgent (&agent->flow, clk_now_us ());
  schedule_report (agent);
}

/* Returns the address where owners reach this agent; free with g_free(). */
static char *
listen_address (const Agent *agent)
{
  return g_strdup_printf ("%s:%d", agent->settings->ip, (int) agent->settings->internal_port);
}

static void register_agent (Agent *agent);

static gboolean
on_tick (gpointer data)
{
  Agent *agent = data;

  supervisor_tick (agent->supervisor);
  if (!agent->is_registering && supervisor_is_live (agent->supervisor)
      && clk_now_us () - agent->contact_us > OWNER_SILENCE_MS * CLK_US_PER_MS)
    register_agent (agent);
  return G_SOURCE_CONTINUE;
}

/* Handles a message of the owner. To a new owner, or over a new connection, no report is under
 * way. */
static void
update_owner (Agent *agent, GBytes *peer, const Batch__Orders *orders)
{
  if (agent->owner == NULL || !g_bytes_equal (agent->owner, peer))
    {
      g_clear_pointer (&agent->owner, g_bytes_unref);
      agent->owner = g_bytes_ref (peer);
      report_flow_restart (&agent->flow, clk_now_us ());
    }
  else if (orders->agent_boot == node_boot (agent->node))
    report_flow_answered (&agent->flow, orders->report_taken, orders->report_gap_ms);
  schedule_report (agent);
}

static void
on_orders (void *ctx, GBytes *peer, const uint8_t *data, size_t size)
{
  Agent *agent = ctx;
  Batch__Orders *orders = batch__orders__unpack (NULL, size, data);

  if (orders == NULL)
    {
      line_add ("agent", "orders_malformed", "bytes=%zu", size);
      return;
    }
  met_add (agent->orders_received, 1);
  agent->contact_us = clk_now_us ();
  if (supervisor_handle_orders (agent->supervisor, orders))
    update_owner (agent, peer, orders);
  else
    met_add (agent->orders_stale, 1);
  batch__orders__free_unpacked (orders, NULL);
}

static void
reply_status (NetRequest *request, uint32_t status, gboolean has_body)
{
  const NetReply reply = { .status = status,
                           .content_type = has_body ? "application/json" : NULL,
                           .body = has_body ? "{}" : NULL };

  net_request_reply (request, &reply);
}

static void
handle_info (Agent *agent, NetRequest *request, const char *id)
{
  size_t size = 0;
  const char *body = net_request_body (request, &size);
  g_autoptr (GError) error = NULL;
  WorkerInfo *info = runner_decode_report (id, body, size, &error);

  met_add (agent->reports_received, 1);
  if (info == NULL)
    {
      met_add (agent->reports_malformed, 1);
      line_add ("agent", "worker_report_malformed", "id=%s error=\"%s\"", id, error->message);
      reply_status (request, 400, FALSE);
      return;
    }
  reply_status (request, 200, TRUE);
  supervisor_handle_info (agent->supervisor, info);
}

static void
on_request (void *ctx, NetRequest *request)
{
  Agent *agent = ctx;
  const char *path = net_request_path (request);
  const char *method = net_request_method (request);

  if (!g_str_has_prefix (path, RUNNER_REPORT_PREFIX))
    {
      reply_status (request, 404, FALSE);
      return;
    }
  g_autofree char *id = g_strdup (path + strlen (RUNNER_REPORT_PREFIX));
  if (strcmp (method, "PUT") == 0)
    handle_info (agent, request, id);
  else if (strcmp (method, "DELETE") == 0)
    {
      reply_status (request, 200, TRUE);
      supervisor_worker_left (agent->supervisor, id);
    }
  else
    reply_status (request, 405, FALSE);
}

static gboolean
takes_body (void *ctx, const char *method, const char *path, const char *host)
{
  (void) ctx;
  (void) host;
  return strcmp (method, "PUT") == 0 && g_str_has_prefix (path, RUNNER_REPORT_PREFIX);
}

static void
on_refused (void *ctx, const char *reason)
{
  const Agent *agent = ctx;

  node_refused (agent->node, "worker", reason);
}

static gboolean
on_register_retry (gpointer data)
{
  register_agent (data);
  return G_SOURCE_REMOVE;
}

static void
on_registered (void *ctx, const StoreAnswer *answer)
{
  Agent *agent = ctx;

  if (answer->outcome == STORE_OK)
    {
      agent->is_registering = FALSE;
      agent->contact_us = clk_now_us ();
      line_add ("agent", "registered", "offset=%" G_GINT64_FORMAT, answer->offset);
      return;
    }
  line_add ("agent", "register_failed", "outcome=%s", store_outcome_name (answer->outcome));
  (void) g_timeout_add (REGISTER_RETRY_MS, on_register_retry, agent);
}

/* Writes the record by which owners find the agent. It stays until another process with the same
 * name replaces it, or an owner removes it. */
static void
register_agent (Agent *agent)
{
  g_autofree char *address = listen_address (agent);
  g_autofree char *key = g_strconcat (LEDGER_AGENT_PREFIX, agent->settings->name, NULL);
  g_autoptr (GByteArray) records = g_byte_array_new ();
  Batch__Member member = BATCH__MEMBER__INIT;

  agent->is_registering = TRUE;
  member.name = agent->settings->name;
  member.address = address;
  member.boot = node_boot (agent->node);
  size_t size = batch__member__get_packed_size (&member);
  g_autofree uint8_t *bytes = g_malloc (size);
  (void) batch__member__pack (&member, bytes);
  store_add_record (records, key, bytes, size);
  const StoreAppend append = {
    .topic = LEDGER_TOPIC, .records = records, .expected_end = -1, .timeout_ms = STORE_TIMEOUT_MS
  };
  store_append (agent->store, &append, on_registered, agent);
}

static gboolean
on_left (gpointer data)
{
  Agent *agent = data;

  node_quit (agent->node);
  return G_SOURCE_REMOVE;
}

/* Tasks keep running under their lease, so that the next agent process of this instance adopts
 * them. */
static void
on_leave (void *ctx)
{
  Agent *agent = ctx;

  supervisor_leave (agent->supervisor);
  send_report (agent);
  (void) g_timeout_add (LEAVE_DELAY_MS, on_left, agent);
}

static void
open_metrics (Agent *agent)
{
  MetRegistry *metrics = node_metrics (agent->node);

  agent->reports_received = met_counter (metrics, "acacia_worker_reports_total", NULL,
                                         "Reports of the worker about itself");
  agent->reports_malformed = met_counter (metrics, "acacia_worker_reports_malformed_total", NULL,
                                          "Reports that could not be read");
  agent->orders_received
      = met_counter (metrics, "acacia_orders_total", NULL, "Messages with orders");
  agent->orders_stale
      = met_counter (metrics, "acacia_orders_stale_total", NULL, "Outdated messages with orders");
  agent->reports_sent
      = met_counter (metrics, "acacia_reports_sent_total", NULL, "Reports to the owner");
  agent->reports_unsent = met_counter (metrics, "acacia_reports_unsent_total", NULL,
                                       "Reports that the connection to the owner did not take");
  agent->reports_too_large = met_counter (metrics, "acacia_reports_too_large_total", NULL,
                                          "Reports to the owner over the size that it accepts");
  agent->report_bytes
      = met_counter (metrics, "acacia_report_bytes_total", NULL, "Bytes of reports to the owner");
}

static Supervisor *
open_supervisor (Agent *agent)
{
  const SupervisorOptions options = { .boot = node_boot (agent->node),
                                      .token = clk_wall_ms (),
                                      .grant_ms = node_settings_grant_ms (agent->settings),
                                      .poll_wait_ms = POLL_WAIT_MS,
                                      .call_timeout_ms = CALL_TIMEOUT_MS,
                                      .now_us = read_clock,
                                      .start = call_start,
                                      .stop = call_stop,
                                      .set_cpu_limit = call_set_cpu_limit,
                                      .poll = call_poll,
                                      .changed = report_soon,
                                      .log = log_supervisor_event,
                                      .ctx = agent };

  return supervisor_new (&options);
}

static gboolean
open_sockets (Agent *agent, GError **error)
{
  g_autofree char *address = listen_address (agent);
  const NetServerOptions server
      = { .address = agent->settings->worker_address,
          .connections_max = CONNECTIONS_MAX,
          .idle_s = IDLE_TIMEOUT_S,
          .body_bytes_max = BODY_BYTES_MAX,
          .buffer_bytes_max = node_settings_buffer_bytes (agent->settings),
          .read_timeout_s = (uint32_t) agent->settings->read_timeout_s,
          .takes_body = takes_body,
          .on_refused = on_refused,
          .handler = on_request,
          .ctx = agent };

  agent->server = net_server_new (&server, error);
  if (agent->server == NULL)
    return FALSE;
  agent->links = net_links_new ();
  agent->link = net_link_listen (agent->links, address, on_orders, agent, error);
  return agent->link != NULL;
}

Agent *
agent_new (const NodeSettings *settings, GError **error)
{
  Agent *agent = g_new0 (Agent, 1);
  const NodeOptions options = { .settings = settings, .on_leave = on_leave, .ctx = agent };
  const ReportFlowOptions flow = { .period_ms = REPORT_INTERVAL_MS, .soon_ms = REPORT_SOON_MS };

  agent->settings = settings;
  agent->node = node_new (&options, error);
  if (agent->node == NULL || !open_sockets (agent, error))
    {
      agent_free (agent);
      return NULL;
    }
  open_metrics (agent);
  agent->supervisor = open_supervisor (agent);
  agent->store = store_new (node_client (agent->node), settings->store_address);
  report_flow_init (&agent->flow, &flow);
  schedule_report (agent);
  agent->tick_timer = g_timeout_add (TICK_MS, on_tick, agent);
  return agent;
}

void
agent_run (Agent *agent)
{
  node_run (agent->node);
}

void
agent_free (Agent *agent)
{
  g_clear_handle_id (&agent->report_timer, g_source_remove);
  g_clear_handle_id (&agent->tick_timer, g_source_remove);
  net_server_free (agent->server);
  net_link_free (agent->link);
  net_links_free (agent->links);
  node_free (agent->node);
  supervisor_free (agent->supervisor);
  store_free (agent->store);
  if (agent->owner != NULL)
    g_bytes_unref (agent->owner);
  g_free (agent);
}
