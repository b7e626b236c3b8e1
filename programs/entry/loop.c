#include "loop.h"

#include <string.h>

#include "common/clk.h"
#include "common/ids.h"
#include "common/jnl.h"
#include "loop_private.h"

/** Members without a message for this long are removed. */
#define MEMBER_EXPIRY_US (600 * CLK_US_PER_S)
/** Interval at which this entry's record is repeated, well within the fold's entry_keep_ms. */
#define ENTRY_REPEAT_US (3600 * CLK_US_PER_S)

void
loop_adopt (Loop *loop, Config *next)
{
  uint64_t version = next->version;

  if (!config_advance (&loop->config, next))
    return;
  jnl_event (JNL_INFO, "config", "in_force", "version=%" G_GUINT64_FORMAT, version);
  for (uint32_t i = 0; i < (uint32_t) loop->settings->shards; i++)
    {
      if (loop->shards[i] != NULL)
        shard_set_document (loop->shards[i], loop->config->document);
    }
}

static GHashTable *
live_services (const Loop *loop, int64_t now_us)
{
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const GPtrArray *agents = members_agents (loop->members);

  for (guint i = 0; i < agents->len; i++)
    {
      const MembersAgent *agent = g_ptr_array_index (agents, i);
      if (agent->leaving || !members_is_live (loop->members, agent->last_received_us, now_us))
        continue;
      for (guint j = 0; j < agent->endpoints->len; j++)
        {
          const MembersEndpoint *endpoint = g_ptr_array_index (agent->endpoints, j);
          if (endpoint->is_listed && endpoint->healthy)
            g_hash_table_add (names, g_strdup (endpoint->service));
        }
    }
  return names;
}

static void
publish_view (Loop *loop, int64_t now_us)
{
  View view = { .config = config_ref (loop->config),
                .is_ready = loop->is_caught_up || loop->config->version > 0,
                .is_leaving = loop->is_leaving,
                .log_is_up = loop_log_is_up (loop),
                .published_us = now_us,
                .live_services = live_services (loop, now_us) };

  view_publish (loop->board, &view);
}

void
loop_accept_config (Loop *loop, uint64_t version, const char *author, int64_t wall_ms, GBytes *text)
{
  g_autoptr (GError) error = NULL;

  if (version <= loop->config->version || text == NULL)
    return;
  Config *next = config_new (version, author, wall_ms, text, &error);
  if (next != NULL)
    {
      loop_adopt (loop, next);
      /* A caller that learns of the new version may read it here immediately. */
      publish_view (loop, clk_now_us ());
    }
  else
    jnl_event (JNL_ERROR, "config", "unreadable", "version=%" G_GUINT64_FORMAT " message=\"%s\"",
               version, error->message);
}

static void
handle_config_offer (Loop *loop, const Wire__ConfigOffer *offer)
{
  g_autoptr (GBytes) text = g_bytes_new (offer->text.data, offer->text.len);

  loop_accept_config (loop, offer->version, offer->author, offer->wall_ms, text);
}

static void
on_message (void *ctx, const char *peer, const Wire__Envelope *envelope)
{
  Loop *loop = ctx;

  switch (envelope->body_case)
    {
    case WIRE__ENVELOPE__BODY_ANNOUNCE:
      loop_announce (loop, peer, envelope->announce);
      break;
    case WIRE__ENVELOPE__BODY_EVENT:
      loop_event (loop, peer, envelope->event);
      break;
    case WIRE__ENVELOPE__BODY_RESPONSE:
      loop_response (loop, peer, envelope->response);
      break;
    case WIRE__ENVELOPE__BODY_ATTEMPT_REPLY:
      once_reply (loop->once, peer, envelope->attempt_reply, clk_now_us ());
      break;
    case WIRE__ENVELOPE__BODY_DIGEST:
      loop_digest (loop, peer, envelope->digest);
      break;
    case WIRE__ENVELOPE__BODY_CONFIG:
      handle_config_offer (loop, envelope->config);
      break;
    case WIRE__ENVELOPE__BODY_CONSENT_REQUEST:
      loop_consent_request (loop, peer, envelope->consent_request);
      break;
    case WIRE__ENVELOPE__BODY_CONSENT:
      owner_consent_received (loop->owner, loop->fold, envelope->consent);
      break;
    case WIRE__ENVELOPE__BODY_QUERY:
      loop_query (loop, peer, envelope->query);
      break;
    case WIRE__ENVELOPE__BODY_QUERY_REPLY:
      loop_query_reply (loop, envelope->query_reply);
      break;
    default:
      break;
    }
}

static void
append_entry (Loop *loop, gboolean leaving)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Entry entry = RECORD__ENTRY__INIT;

  entry.entry = loop->settings->name;
  entry.incarnation = loop->incarnation;
  entry.data_centre = loop->settings->data_centre;
  entry.wire_address = loop->settings->wire_listen;
  entry.leaving = leaving;
  record.body_case = RECORD__RECORD__BODY_ENTRY;
  record.entry = &entry;
  loop->is_entry_sent = loop_append (loop, &record, TRUE, &loop->entry_record);
  loop->entry_due_us = clk_now_us () + ENTRY_REPEAT_US;
}

static void
tick (Loop *loop, int64_t now_us)
{
  owner_tick (loop->owner, loop->fold, loop->members, now_us);
  for (uint32_t i = 0; i < (uint32_t) loop->settings->shards; i++)
    {
      if (loop->shards[i] == NULL)
        continue;
      shard_tick (loop->shards[i], loop->members,
                  owner_may_renew (loop->owner, loop->fold, i, now_us),
                  owner_exclusive_until_us (loop->owner, loop->fold, i, now_us), now_us);
      loop_count_evictions (loop, i);
    }
  loop_calls_check_agents (loop, now_us);
  publish_view (loop, now_us);
}

static void
send_heartbeat (Loop *loop, int64_t now_us)
{
  if (now_us >= loop->entry_due_us)
    loop->is_entry_sent = FALSE;
  if (!loop->is_entry_sent && !loop->is_leaving && loop->is_caught_up)
    append_entry (loop, FALSE);
  loop_send_digests (loop, now_us);
  members_expire (loop->members, MEMBER_EXPIRY_US, now_us);
  loop_snapshot_tick (loop, now_us);
}

static void
on_timer (void *ctx, int64_t now_us)
{
  Loop *loop = ctx;

  loop_calls_due (loop, now_us);
  once_tick (loop->once, now_us);
  loop_pending_due (loop, now_us);
  if (now_us >= loop->tick_due_us)
    {
      loop->tick_due_us = now_us + loop->settings->tick_ms * CLK_US_PER_MS;
      tick (loop, now_us);
    }
  if (now_us >= loop->heartbeat_due_us)
    {
      loop->heartbeat_due_us = now_us + loop->settings->heartbeat_ms * CLK_US_PER_MS;
      send_heartbeat (loop, now_us);
    }
  uint32_t waiting = calls_count (loop->calls) + once_count (loop->once) + loop->pending->len;
  g_atomic_int_set (&loop->in_flight, (gint) waiting);
  met_set (loop->calls_gauge, waiting);
}

static gboolean
connect_peers (Loop *loop, GError **error)
{
  for (char **peer = loop->settings->wire_peers; *peer != NULL; peer++)
    {
      g_autofree char *name = NULL;
      g_autofree char *address = NULL;
      if (!settings_peer (*peer, &name, &address, error)
          || !wire_connect (loop->wire, name, address, error))
        return FALSE;
    }
  return TRUE;
}

static gboolean
open_wire (Loop *loop, GError **error)
{
  const EntrySettings *settings = loop->settings;
  WireEvents events = { on_message, on_timer, loop };
  WireOptions options = { 0 };

  options.name = settings->name;
  options.incarnation = loop->incarnation;
  options.listen = settings->wire_listen;
  options.send_queue_max = (uint32_t) settings->wire_queue_max;
  options.timer_ms = LOOP_TIMER_MS;
  options.heartbeat_ms = settings->heartbeat_ms;
  options.metrics = loop->metrics;
  loop->wire = wire_new (&options, &events, error);
  return loop->wire != NULL && connect_peers (loop, error);
}

/* Creates the counters of all kinds at start-up, so that rates can be computed from the first
 * event. */
static void
register_counters (MetRegistry *metrics)
{
  for (int kind = 0; kind < ERR_KIND_COUNT; kind++)
    {
      met_kind_add (metrics, "acacia_entry_refusals_total", (ErrKind) kind, 0);
      met_kind_add (metrics, "acacia_entry_retries_total", (ErrKind) kind, 0);
    }
  for (int verdict = CALLS_DROP_UNKNOWN; verdict < CALLS_VERDICT_COUNT; verdict++)
    {
      g_autofree char *labels
          = g_strdup_printf ("reason=\"%s\"", calls_verdict_name ((CallsVerdict) verdict));
      (void) met_counter (metrics, "acacia_entry_answers_dropped_total", labels,
                          "Answers dropped, by what did not match.");
    }
}

static void
free_state (Loop *loop)
{
  for (uint32_t i = 0; i < (uint32_t) loop->settings->shards; i++)
    shard_free (loop->shards[i]);
  g_free (loop->shards);
  g_free (loop->exported_counts);
  owner_free (loop->owner);
  once_free (loop->once);
  calls_free (loop->calls);
  members_free (loop->members);
  config_unref (loop->config);
  fold_free (loop->fold);
  g_rand_free (loop->rand);
  g_ptr_array_free (loop->pending, TRUE);
  g_array_free (loop->dirty_jobs, TRUE);
  g_free (loop);
}

Loop *
loop_new (const EntrySettings *settings, MetRegistry *metrics, ViewBoard *board, GError **error)
{
  Loop *loop = g_new0 (Loop, 1);
  FoldOptions fold_options = loop_fold_options (settings);

  loop->settings = settings;
  loop->incarnation = ids_new ().high;
  loop->metrics = metrics;
  loop->board = board;
  loop->started_us = clk_now_us ();
  loop->snapshot_due_us = loop->started_us + settings->snapshot_every_ms * CLK_US_PER_MS;
  loop->fold = fold_new (&fold_options);
  loop_observe (loop);
  loop->rand = g_rand_new ();
  loop->config = config_empty ();
  loop->members = members_new (settings->member_timeout_ms * CLK_US_PER_MS);
  loop->calls = calls_new ((uint32_t) settings->calls_max);
  loop->once = loop_once_new (loop);
  loop->owner = loop_owner_new (loop);
  loop->shards = g_new0 (Shard *, settings->shards);
  loop->exported_counts = g_new0 (CoreCounts, settings->shards);
  loop->pending = g_ptr_array_new_with_free_func (g_free);
  loop->dirty_jobs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  loop->call_us = met_histogram (metrics, "acacia_entry_call_us", NULL, "Time of answered calls.");
  loop->calls_gauge = met_gauge (metrics, "acacia_entry_waiting", NULL, "Requests that wait.");
  register_counters (metrics);
  if (!open_wire (loop, error))
    {
      wire_free (loop->wire);
      free_state (loop);
      return NULL;
    }
  loop->commit = loop_open_commit (loop);
  publish_view (loop, loop->started_us);
  wire_start (loop->wire);
  loop->follow = loop_open_follow (loop);
  return loop;
}

static void
handle_request (void *ctx, void *data)
{
  Loop *loop = ctx;
  HttpRequest *request = data;

  if (http_request_info (request)->op == HTTP_CALL)
    loop_call (loop, request);
  else
    loop_operator (loop, request);
}

gboolean
loop_submit (Loop *loop, HttpRequest *request)
{
  return wire_post (loop->wire, handle_request, loop, request);
}

static void
start_leaving (void *ctx, void *data)
{
  Loop *loop = ctx;

  (void) data;
  loop->is_leaving = TRUE;
  owner_leave (loop->owner);
  append_entry (loop, TRUE);
  loop_send_digests (loop, clk_now_us ());
  publish_view (loop, clk_now_us ());
}

void
loop_leave (Loop *loop)
{
  int64_t end_us = clk_now_us () + loop->settings->stop_wait_ms * CLK_US_PER_MS;
  int64_t earliest_end_us = clk_now_us () + 2 * loop->settings->heartbeat_ms * CLK_US_PER_MS;

  jnl_event (JNL_INFO, "loop", "leaving", "%s", "");
  (void) loop_post_blocking (loop, start_leaving, NULL);
  /* Wait at least two heartbeats, so that peers learn that this entry leaves and requests
     already posted are counted. */
  while (clk_now_us () < end_us
         && (clk_now_us () < earliest_end_us || g_atomic_int_get (&loop->in_flight) > 0))
    g_usleep (LOOP_TIMER_MS * CLK_US_PER_MS);
}

/* Answers all waiting requests as if their deadlines had passed. No callbacks run any more. */
static void
answer_waiting_requests (Loop *loop)
{
  loop_calls_due (loop, G_MAXINT64);
  once_tick (loop->once, G_MAXINT64);
  loop_pending_due (loop, G_MAXINT64);
}

void
loop_free (Loop *loop)
{
  if (loop == NULL)
    return;
  g_atomic_int_set (&loop->stopping, 1);
  follow_free (loop->follow);
  loop_join_snapshot (loop);
  /* The loop thread appends to the log until it has stopped. */
  wire_stop (loop->wire);
  answer_waiting_requests (loop);
  commit_free (loop->commit);
  wire_free (loop->wire);
  free_state (loop);
}
