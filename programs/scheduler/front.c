#include <string.h>

#include "batch/terms.h"
#include "common/clk.h"
#include "common/line.h"
#include "entry_private.h"
#include "platform/caller.h"

/** Longer than callers keep idle connections open. */
#define IDLE_TIMEOUT_S 60
#define READY_CONNECTIONS_MAX 64
/** Shorter than the time after which the load balancer gives up on a probe's connection. */
#define READY_READ_TIMEOUT_S 5
/** If this entry's view is older than this, the state of an unfinished job is asked of another
 * entry. */
#define STATE_AGE_MAX_MS 1200
/** Part of a caller's deadline reserved for sending the answer. */
#define DEADLINE_RESERVE_MS 150
#define DEADLINE_DEFAULT_MS 3000
/** Retry-After value while this entry can't reach the store. */
#define RETRY_AFTER_S 1

struct Front
{
  Entry *entry;
  NetServer *callers;
  NetServer *ready;
  GHashTable *pending_requests; /**< PendingRequest, as a set */
  MetSeries *accepted;
  MetSeries *known;
  MetSeries *cancels;
  MetSeries *held_cancels;
  MetSeries *in_doubt;
  MetHistogram *accept_us;
};

/** A request that waits for the store or for another entry. */
typedef struct
{
  Front *front;
  NetRequest *request;
  char *id;
  char *queue;
  gboolean is_cancel;
  gboolean is_unknown; /**< the job of the cancel was not submitted, as far as is known */
} PendingRequest;

static void
pending_request_free (gpointer data)
{
  PendingRequest *pending = data;

  g_free (pending->id);
  g_free (pending->queue);
  g_free (pending);
}

static PendingRequest *
pending_request_new (Front *front, NetRequest *request, const char *id, const char *queue)
{
  PendingRequest *pending = g_new0 (PendingRequest, 1);

  pending->front = front;
  pending->request = request;
  pending->id = g_strdup (id);
  pending->queue = g_strdup (queue);
  (void) g_hash_table_add (front->pending_requests, pending);
  return pending;
}

static void
pending_request_end (PendingRequest *pending)
{
  (void) g_hash_table_remove (pending->front->pending_requests, pending);
}

static void
reply_status (NetRequest *request, uint32_t status)
{
  const NetReply reply = { .status = status };

  net_request_reply (request, &reply);
}

static void
reply_body (NetRequest *request, const char *body)
{
  const NetReply reply = { .status = 200, .content_type = CALLER_CONTENT_TYPE, .body = body };

  net_request_reply (request, &reply);
}

/* Refuses a request that certainly had no effect, and reports when to retry. */
static void
refuse (Front *front,
        NetRequest *request,
        const char *id,
        uint32_t status,
        const char *reason,
        uint32_t retry_after_s)
{
  const NetReply reply = { .status = status, .retry_after_s = retry_after_s };
  g_autofree char *label = g_strdup_printf ("reason=\"%s\"", reason);

  met_add (met_counter (node_metrics (front->entry->node), "acacia_refused_total", label,
                        "Refused requests by reason"),
           1);
  line_add ("front", "refused", "job=%s method=%s status=%u reason=%s retry_after_s=%u", id,
            net_request_method (request), status, reason, retry_after_s);
  net_request_reply (request, &reply);
}

static int64_t
deadline_us (const NetRequest *request)
{
  const char *text = net_request_header (request, CALLER_DEADLINE_HEADER);
  guint64 wait_ms = DEADLINE_DEFAULT_MS;

  if (text != NULL && !g_ascii_string_to_unsigned (text, 10, 1, G_MAXINT32, &wait_ms, NULL))
    wait_ms = DEADLINE_DEFAULT_MS;
  int64_t left_ms = MAX ((int64_t) wait_ms - DEADLINE_RESERVE_MS, (int64_t) wait_ms / 2);
  return net_request_read_us (request) + left_ms * 1000;
}

static void
on_written (void *ctx, OutboxResult result, int64_t offset)
{
  PendingRequest *pending = ctx;
  Front *front = pending->front;
  int64_t took_us = clk_now_us () - net_request_read_us (pending->request);

  switch (result)
    {
    case OUTBOX_WRITTEN:
      met_add (pending->is_unknown  ? front->held_cancels
               : pending->is_cancel ? front->cancels
                                    : front->accepted,
               1);
      met_observe (front->accept_us, took_us);
      line_add ("front",
                pending->is_unknown  ? "cancel_held"
                : pending->is_cancel ? "cancelled"
                                     : "accepted",
                "job=%s queue=%s offset=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT,
                pending->id, pending->queue, offset, took_us / 1000);
      reply_status (pending->request, pending->is_unknown ? 410 : 200);
      break;
    case OUTBOX_REFUSED:
      if (!pending->is_cancel)
        ledger_release_tasks (front->entry->ledger, pending->id);
      refuse (front, pending->request, pending->id, 503, "store_refused", RETRY_AFTER_S);
      break;
    case OUTBOX_IN_DOUBT:
    default:
      met_add (front->in_doubt, 1);
      line_add ("front", "in_doubt", "job=%s queue=%s took_ms=%" G_GINT64_FORMAT, pending->id,
                pending->queue, took_us / 1000);
      reply_status (pending->request, 504);
      break;
    }
  pending_request_end (pending);
}

static void
write_submission (
    Front *front, NetRequest *request, const char *id, const Queue *queue, uint32_t n_tasks)
{
  Batch__Submission message = BATCH__SUBMISSION__INIT;
  Batch__Terms terms = BATCH__TERMS__INIT;
  g_autofree char *key = g_strconcat (LEDGER_JOB_PREFIX, id, NULL);

  message.queue = queue->name;
  message.accepted_wall_ms = clk_wall_ms ();
  message.tasks = n_tasks;
  message.data_centre = front->entry->settings->data_centre;
  terms_init (&terms, queue);
  message.terms = &terms;
  message.body.data = (uint8_t *) net_request_body (request, &message.body.len);
  size_t size = batch__submission__get_packed_size (&message);
  g_autofree uint8_t *bytes = g_malloc (size);
  (void) batch__submission__pack (&message, bytes);
  const OutboxRecord record
      = { .key = key, .value = bytes, .size = size, .deadline_us = deadline_us (request) };
  outbox_add (front->entry->outbox, &record, on_written,
              pending_request_new (front, request, id, queue->name));
}

/* Refuses a submission that would not be written in its caller's time. One whose record may have
 * been sent already is not refused. */
static gboolean
refuse_if_slow (Front *front, NetRequest *request, const char *id)
{
  int64_t wait_ms = outbox_expected_ms (front->entry->outbox);
  g_autofree char *key = g_strconcat (LEDGER_JOB_PREFIX, id, NULL);

  if (clk_now_us () + wait_ms * CLK_US_PER_MS <= deadline_us (request)
      || outbox_knows (front->entry->outbox, key))
    return FALSE;
  line_add ("front", "would_be_late", "job=%s wait_ms=%" G_GINT64_FORMAT " waiting=%u", id, wait_ms,
            outbox_waiting (front->entry->outbox));
  refuse (front, request, id, 503, "store_slow", store_pace_retry_after_s (wait_ms, id));
  return TRUE;
}

/* Refuses a new job for which this process has no memory. One whose record may have been sent
 * already is not refused. */
static gboolean
refuse_if_full (Front *front, NetRequest *request, const char *id, size_t size)
{
  const Entry *entry = front->entry;
  g_autofree char *key = g_strconcat (LEDGER_JOB_PREFIX, id, NULL);
  const char *reason = NULL;

  if (outbox_bytes (entry->outbox) + size > node_settings_outbox_bytes (entry->settings))
    reason = "outbox_full";
  else if (ledger_body_bytes (entry->ledger) + size > node_settings_job_bytes (entry->settings))
    reason = "jobs_full";
  if (reason == NULL || outbox_knows (entry->outbox, key))
    return FALSE;
  refuse (front, request, id, 503, reason, RETRY_AFTER_S);
  return TRUE;
}

static void
submit (Front *front, NetRequest *request, const char *id, const Queue *queue)
{
  const LedgerJob *job = ledger_job (front->entry->ledger, id);
  g_autoptr (GError) error = NULL;
  SchedJobState state = SCHED_QUEUED;
  size_t size = 0;
  const char *body = net_request_body (request, &size);

  if (ledger_job_state (job, &state))
    {
      met_add (front->known, 1);
      reply_status (request, 200);
      return;
    }
  if (!entry_is_fresh (front->entry, ENTRY_STORE_AGE_MAX_MS)
      && !relay_can_ask (front->entry->relay))
    {
      refuse (front, request, id, 503, "store_lost", RETRY_AFTER_S);
      return;
    }
  if (refuse_if_slow (front, request, id) || refuse_if_full (front, request, id, size))
    return;
  g_autoptr (JobSpec) spec = caller_decode_job (body, size, &error);
  if (spec == NULL)
    {
      line_add ("front", "malformed", "job=%s error=\"%s\"", id, error->message);
      refuse (front, request, id, 400, "malformed", 0);
      return;
    }
  const uint32_t n_tasks = job_spec_tasks (spec);
  if (!ledger_reserve_tasks (front->entry->ledger, id, n_tasks,
                             node_settings_tasks_max (front->entry->settings), clk_now_us ()))
    {
      refuse (front, request, id, 503, "tasks_full", RETRY_AFTER_S);
      return;
    }
  write_submission (front, request, id, queue, n_tasks);
}

static void
reply_state_text (NetRequest *request, SchedJobState state)
{
  g_autofree char *body = caller_encode_state ((CallerState) state);

  reply_body (request, body);
}

static void
reply_state (Front *front, NetRequest *request, const char *id)
{
  SchedJobState state = SCHED_QUEUED;

  if (!ledger_job_state (ledger_job (front->entry->ledger, id), &state))
    {
      line_add ("front", "unknown_job", "job=%s method=%s", id, net_request_method (request));
      reply_status (request, 410);
      return;
    }
  reply_state_text (request, state);
}

/* An unknown job can be reported as such only if the view is fresh. */
static void
on_state_refreshed (void *ctx, gboolean is_fresh)
{
  PendingRequest *pending = ctx;
  SchedJobState state = SCHED_QUEUED;

  if (is_fresh
      || ledger_job_state (ledger_job (pending->front->entry->ledger, pending->id), &state))
    reply_state (pending->front, pending->request, pending->id);
  else
    refuse (pending->front, pending->request, pending->id, 503, "view_stale", RETRY_AFTER_S);
  pending_request_end (pending);
}

/* Replies with the state from another entry, or with this entry's own if none answered. */
static void
on_state_answered (void *ctx, gboolean is_answered, gboolean is_known, SchedJobState answered_state)
{
  PendingRequest *pending = ctx;
  SchedJobState state = SCHED_QUEUED;

  if (is_answered && is_known)
    reply_state_text (pending->request, answered_state);
  else if (is_answered
           || ledger_job_state (ledger_job (pending->front->entry->ledger, pending->id), &state))
    reply_state (pending->front, pending->request, pending->id);
  else
    refuse (pending->front, pending->request, pending->id, 503, "view_stale", RETRY_AFTER_S);
  pending_request_end (pending);
}

static void
get_state (Front *front, NetRequest *request, const char *id)
{
  SchedJobState state = SCHED_QUEUED;
  gboolean is_known = ledger_job_state (ledger_job (front->entry->ledger, id), &state);
  gboolean is_final = is_known && state > SCHED_RUNNING;

  if (is_final || (is_known && entry_is_fresh (front->entry, STATE_AGE_MAX_MS)))
    {
      reply_state (front, request, id);
      return;
    }
  PendingRequest *pending = pending_request_new (front, request, id, "");
  if (!entry_is_fresh (front->entry, STATE_AGE_MAX_MS)
      && relay_query_job (front->entry->relay, id, on_state_answered, pending))
    return;
  if (!is_known)
    {
      feed_refresh (front->entry->ledger_feed, on_state_refreshed, pending);
      return;
    }
  reply_state (front, request, id);
  pending_request_end (pending);
}

static void
write_cancel (Front *front, PendingRequest *pending)
{
  Batch__Cancel message = BATCH__CANCEL__INIT;
  g_autofree char *key = g_strconcat (LEDGER_CANCEL_PREFIX, pending->id, NULL);
  uint8_t bytes[64];

  message.wall_ms = clk_wall_ms ();
  pending->is_cancel = TRUE;
  size_t size = batch__cancel__pack (&message, bytes);
  const OutboxRecord record
      = { .key = key, .value = bytes, .size = size, .deadline_us = deadline_us (pending->request) };
  outbox_add (front->entry->outbox, &record, on_written, pending);
}

/* A submission of the job may be under way in another entry or in the store. The cancel is written
 * before it is acknowledged, and takes effect when the job comes. */
static void
hold_cancel (Front *front, PendingRequest *pending)
{
  const Ledger *ledger = front->entry->ledger;

  if (ledger_held_cancels (ledger) >= LEDGER_HELD_CANCELS_MAX
      && ledger_job (ledger, pending->id) == NULL)
    {
      refuse (front, pending->request, pending->id, 503, "held_cancels", RETRY_AFTER_S);
      pending_request_end (pending);
      return;
    }
  pending->is_unknown = TRUE;
  write_cancel (front, pending);
}

static void
on_cancel_answered (void *ctx, gboolean is_answered, gboolean is_known, SchedJobState state)
{
  PendingRequest *pending = ctx;
  const Ledger *ledger = pending->front->entry->ledger;
  SchedJobState own = SCHED_QUEUED;

  (void) state;
  /* This entry may have read the job while it waited for the answer. */
  if ((is_answered && is_known) || ledger_job_state (ledger_job (ledger, pending->id), &own))
    write_cancel (pending->front, pending);
  else if (is_answered)
    hold_cancel (pending->front, pending);
  else
    on_state_refreshed (pending, FALSE);
}

static void
on_cancel_refreshed (void *ctx, gboolean is_fresh)
{
  PendingRequest *pending = ctx;
  Front *front = pending->front;
  SchedJobState state = SCHED_QUEUED;

  if (ledger_job_state (ledger_job (front->entry->ledger, pending->id), &state))
    write_cancel (front, pending);
  else if (is_fresh)
    hold_cancel (front, pending);
  else if (!relay_query_job (front->entry->relay, pending->id, on_cancel_answered, pending))
    on_state_refreshed (pending, FALSE);
}

static void
cancel (Front *front, NetRequest *request, const char *id)
{
  const LedgerJob *job = ledger_job (front->entry->ledger, id);
  SchedJobState state = SCHED_QUEUED;
  PendingRequest *pending = NULL;

  if (ledger_job_state (job, &state) && (job->is_cancelled || state > SCHED_RUNNING))
    {
      reply_status (request, 200);
      return;
    }
  pending = pending_request_new (front, request, id, "");
  if (job != NULL && job->submission != NULL)
    write_cancel (front, pending);
  else if (entry_is_fresh (front->entry, STATE_AGE_MAX_MS)
           || !relay_query_job (front->entry->relay, id, on_cancel_answered, pending))
    feed_refresh (front->entry->ledger_feed, on_cancel_refreshed, pending);
}

static void
get_pending (Front *front, NetRequest *request, const Queue *queue)
{
  g_autofree char *body
      = caller_encode_pending (ledger_pending (front->entry->ledger, queue->name));

  reply_body (request, body);
}

static void
route (Front *front, NetRequest *request, const Queue *queue)
{
  const char *method = net_request_method (request);
  g_autofree char *id = g_strdup (net_request_path (request) + strlen (queue->prefix));

  if (*id == '\0' && strcmp (method, "GET") == 0)
    get_pending (front, request, queue);
  else if (!job_id_is_valid (id))
    refuse (front, request, id, 404, "no_such_path", 0);
  else if (strcmp (method, "POST") == 0)
    submit (front, request, id, queue);
  else if (strcmp (method, "GET") == 0)
    get_state (front, request, id);
  else if (strcmp (method, "DELETE") == 0)
    cancel (front, request, id);
  else
    refuse (front, request, id, 405, "method", 0);
}

static void
on_caller (void *ctx, NetRequest *request)
{
  Front *front = ctx;
  const char *host = net_request_header (request, "Host");

  if (front->entry->config == NULL)
    {
      refuse (front, request, net_request_path (request), 503, "no_config", RETRY_AFTER_S);
      return;
    }
  const Queue *queue = queue_config_route (front->entry->config, host != NULL ? host : "",
                                           net_request_path (request));
  if (queue == NULL)
    refuse (front, request, net_request_path (request), 404, "no_such_queue", 0);
  else
    route (front, request, queue);
}

/* Only submissions have a body; the entry has no memory for others. */
static gboolean
takes_body (void *ctx, const char *method, const char *path, const char *host)
{
  const Front *front = ctx;

  return strcmp (method, "POST") == 0 && front->entry->config != NULL
         && queue_config_route (front->entry->config, host != NULL ? host : "", path) != NULL;
}

static void
on_caller_refused (void *ctx, const char *reason)
{
  const Front *front = ctx;

  node_refused (front->entry->node, "callers", reason);
}

static void
on_ready_refused (void *ctx, const char *reason)
{
  const Front *front = ctx;

  node_refused (front->entry->node, "ready", reason);
}

static gboolean
is_ready (const Front *front)
{
  const Entry *entry = front->entry;

  return !entry->is_leaving && entry->config != NULL && feed_is_loaded (entry->ledger_feed)
         && entry_is_fresh (entry, ENTRY_STORE_AGE_MAX_MS);
}

static void
on_ready (void *ctx, NetRequest *request)
{
  reply_status (request, is_ready (ctx) ? 200 : 503);
}

static void
open_metrics (Front *front)
{
  MetRegistry *metrics = node_metrics (front->entry->node);

  front->accepted = met_counter (metrics, "acacia_accepted_total", NULL, "Jobs accepted");
  front->known = met_counter (metrics, "acacia_repeated_total", NULL,
                              "Submissions of jobs that were accepted before");
  front->cancels = met_counter (metrics, "acacia_cancelled_total", NULL, "Jobs cancelled");
  front->held_cancels = met_counter (metrics, "acacia_cancels_held_total", NULL,
                                     "Cancels of jobs that were not submitted");
  front->in_doubt = met_counter (metrics, "acacia_in_doubt_total", NULL,
                                 "Requests whose record may or may not be written");
  front->accept_us = met_histogram (metrics, "acacia_accept_us", NULL,
                                    "Time from a request to its record in the ledger");
}

Front *
front_new (Entry *entry, GError **error)
{
  Front *front = g_new0 (Front, 1);
  const NodeSettings *settings = entry->settings;
  const NetServerOptions callers = { .address = settings->caller_address,
                                     .connections_max = (uint32_t) settings->connections_max,
                                     .idle_s = IDLE_TIMEOUT_S,
                                     .body_bytes_max = ENTRY_BODY_BYTES_MAX,
                                     .buffer_bytes_max = node_settings_buffer_bytes (settings),
                                     .read_timeout_s = (uint32_t) settings->read_timeout_s,
                                     .takes_body = takes_body,
                                     .on_refused = on_caller_refused,
                                     .handler = on_caller,
                                     .ctx = front };
  const NetServerOptions ready = { .address = entry->settings->ready_address,
                                   .connections_max = READY_CONNECTIONS_MAX,
                                   .idle_s = IDLE_TIMEOUT_S,
                                   .read_timeout_s = READY_READ_TIMEOUT_S,
                                   .on_refused = on_ready_refused,
                                   .handler = on_ready,
                                   .ctx = front };

  front->entry = entry;
  front->pending_requests = g_hash_table_new_full (NULL, NULL, pending_request_free, NULL);
  open_metrics (front);
  front->callers = net_server_new (&callers, error);
  front->ready = front->callers != NULL ? net_server_new (&ready, error) : NULL;
  if (front->ready != NULL)
    return front;
  front_free (front);
  return NULL;
}

void
front_free (Front *front)
{
  if (front == NULL)
    return;
  net_server_free (front->callers);
  net_server_free (front->ready);
  g_hash_table_destroy (front->pending_requests);
  g_free (front);
}

void
front_quiesce (Front *front)
{
  net_server_quiesce (front->callers);
}

uint32_t
front_open_requests (const Front *front)
{
  return net_server_open_requests (front->callers);
}
