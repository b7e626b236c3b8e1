#include <string.h>

#include "common/clk.h"
#include "common/line.h"
#include "entry_private.h"
#include "platform/operator.h"

/** Duration of a long poll without a new record; short, so that a silent store is noticed. */
#define LEDGER_WAIT_MS 500
#define CONFIG_WAIT_MS 600
/** Pause between reads. Only the owner needs each record at once. */
#define LEDGER_PAUSE_MS 150
#define CONFIG_PAUSE_MS 20
/** Time between the failing readiness probe and closing the listener: the load balancer needs
 * two failed probes, one second apart. */
#define LEAVE_QUIESCE_MS 2600
#define LEAVE_CHECK_MS 50
/** Part of the time before SIGKILL that is left unused. */
#define LEAVE_RESERVE_MS 700

gboolean
entry_is_fresh (const Entry *entry, int64_t age_ms)
{
  int64_t fresh_us = feed_fresh_us (entry->ledger_feed);

  return fresh_us != 0 && clk_now_us () - fresh_us <= age_ms * 1000;
}

static void
on_ledger_record (void *ctx, const StoreRecord *record)
{
  Entry *entry = ctx;

  if (!ledger_apply (entry->ledger, record->offset, record->key, record->key_size, record->value,
                     record->value_size))
    line_add ("ledger", "record_ignored", "offset=%" G_GINT64_FORMAT " key_bytes=%zu bytes=%zu",
              record->offset, record->key_size, record->value_size);
  if (record->value_size > 0)
    outbox_handle_record (entry->outbox, record->key, record->key_size, record->offset);
}

static void
on_ledger_batch (void *ctx)
{
  outbox_end_records (((Entry *) ctx)->outbox);
}

static void
on_job (void *ctx, const LedgerJob *job)
{
  owner_add_job (((Entry *) ctx)->owner, job);
}

static void
on_cancel (void *ctx, const LedgerJob *job)
{
  owner_cancel_job (((Entry *) ctx)->owner, job);
}

static void
on_agent (void *ctx, const LedgerAgent *agent)
{
  owner_add_agent (((Entry *) ctx)->owner, agent);
}

static void
on_agent_gone (void *ctx, const char *name)
{
  owner_remove_agent (((Entry *) ctx)->owner, name);
}

static void
on_job_gone (void *ctx, const char *id)
{
  owner_remove_job (((Entry *) ctx)->owner, id);
}

static void
on_owner (void *ctx, const LedgerOwner *claim)
{
  Entry *entry = ctx;

  owner_handle_claim (entry->owner, claim);
  relay_update_owner (entry->relay, claim);
}

static gboolean
is_config_key (const StoreRecord *record)
{
  return record->key_size == strlen (OPERATOR_CONFIG_KEY)
         && memcmp (record->key, OPERATOR_CONFIG_KEY, record->key_size) == 0;
}

/* Ignores versions that are not newer, as records can be read in any order. */
static void
apply_config (Entry *entry, const StoreRecord *record)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QueueConfig) config
      = operator_decode_config ((const char *) record->value, record->value_size, &error);
  if (config == NULL)
    {
      line_add ("config", "malformed", "offset=%" G_GINT64_FORMAT " error=\"%s\"", record->offset,
                error->message);
      return;
    }
  if (entry->config != NULL && config->version <= entry->config->version)
    return;
  line_add ("config", "applied", "version=%" G_GINT64_FORMAT " routes=%u services=%u",
            config->version, config->queues->len, config->services->len);
  owner_set_config (entry->owner, config);
  queue_config_free (entry->config);
  entry->config = g_steal_pointer (&config);
}

static void
apply_evacuation (Entry *entry, const StoreRecord *record, const char *data_centre)
{
  gboolean is_requested = record->value_size > 0;

  if (!evacuations_apply (entry->evacuations, data_centre, record->offset, is_requested))
    return;
  line_add ("operator", is_requested ? "evacuation_requested" : "evacuation_removed",
            "data_centre=%s offset=%" G_GINT64_FORMAT " evacuated=%u", data_centre, record->offset,
            evacuations_count (entry->evacuations));
  owner_evacuations_changed (entry->owner);
}

static void
on_operator_record (void *ctx, const StoreRecord *record)
{
  Entry *entry = ctx;
  g_autofree char *data_centre = operator_decode_evacuation (record->key, record->key_size);

  if (data_centre != NULL)
    apply_evacuation (entry, record, data_centre);
  else if (is_config_key (record) && record->value_size > 0)
    apply_config (entry, record);
}

static void
on_operator_load_begin (void *ctx)
{
  evacuations_begin_load (((Entry *) ctx)->evacuations);
}

static void
on_operator_load_end (void *ctx)
{
  Entry *entry = ctx;

  if (!evacuations_end_load (entry->evacuations))
    return;
  line_add ("operator", "evacuation_removed", "data_centre=- reason=not_listed evacuated=%u",
            evacuations_count (entry->evacuations));
  owner_evacuations_changed (entry->owner);
}

static gboolean
on_leave_check (gpointer data)
{
  Entry *entry = data;
  int64_t since_ms = (clk_now_us () - entry->leave_us) / 1000;
  int64_t end_ms = (int64_t) (node_settings_fraction (entry->settings->leave_s, 1.0) * 1000.0)
                   - LEAVE_RESERVE_MS;

  if (since_ms < MIN (LEAVE_QUIESCE_MS, end_ms / 2))
    return G_SOURCE_CONTINUE;
  front_quiesce (entry->front);
  if (since_ms < end_ms
      && (front_open_requests (entry->front) > 0 || !owner_is_idle (entry->owner)
          || outbox_waiting (entry->outbox) > 0))
    return G_SOURCE_CONTINUE;
  entry->leave_timer = 0;
  node_quit (entry->node);
  return G_SOURCE_REMOVE;
}

static void
on_leave (void *ctx)
{
  Entry *entry = ctx;

  entry->is_leaving = TRUE;
  entry->leave_us = clk_now_us ();
  owner_leave (entry->owner);
  entry->leave_timer = g_timeout_add (LEAVE_CHECK_MS, on_leave_check, entry);
}

static void
open_feeds (Entry *entry)
{
  const FeedOptions ledger = { .store = entry->store,
                               .pace = &entry->pace,
                               .topic = LEDGER_TOPIC,
                               .wait_ms = LEDGER_WAIT_MS,
                               .pause_ms = LEDGER_PAUSE_MS,
                               .on_record = on_ledger_record,
                               .on_batch = on_ledger_batch,
                               .ctx = entry };
  const FeedOptions config = { .store = entry->store,
                               .pace = &entry->pace,
                               .topic = OPERATOR_TOPIC,
                               .wait_ms = CONFIG_WAIT_MS,
                               .pause_ms = CONFIG_PAUSE_MS,
                               .skips_missed = TRUE,
                               .on_record = on_operator_record,
                               .on_load_begin = on_operator_load_begin,
                               .on_load_end = on_operator_load_end,
                               .ctx = entry };

  entry->ledger_feed = feed_new (&ledger);
  entry->config_feed = feed_new (&config);
}

static void
on_where (void *ctx, NetRequest *request)
{
  where_handle (((Entry *) ctx)->where, request);
}

Entry *
entry_new (const NodeSettings *settings, GError **error)
{
  Entry *entry = g_new0 (Entry, 1);
  const NodeOptions node = { .settings = settings,
                             .on_leave = on_leave,
                             .post_path = WHERE_PATH,
                             .post_bytes_max = ENTRY_BODY_BYTES_MAX,
                             .on_post = on_where,
                             .ctx = entry };
  const LedgerEvents events = { .on_job = on_job,
                                .on_cancel = on_cancel,
                                .on_job_gone = on_job_gone,
                                .on_agent = on_agent,
                                .on_agent_gone = on_agent_gone,
                                .on_owner = on_owner,
                                .ctx = entry };

  entry->settings = settings;
  entry->node = node_new (&node, error);
  if (entry->node == NULL)
    {
      entry_free (entry);
      return NULL;
    }
  store_pace_init (&entry->pace);
  entry->store = store_new (node_client (entry->node), settings->store_address);
  entry->ledger = ledger_new (&events);
  entry->evacuations = evacuations_new ();
  entry->relay = relay_new (entry, error);
  const OutboxOptions outbox = { .store = entry->store,
                                 .topic = LEDGER_TOPIC,
                                 .forward = relay_forward_record,
                                 .owner_pace = relay_owner_append_ms,
                                 .pace = &entry->pace,
                                 .bytes_max = node_settings_outbox_bytes (settings),
                                 .ctx = entry->relay };
  entry->outbox = outbox_new (&outbox);
  entry->owner = owner_new (entry);
  entry->where = where_new (entry);
  entry->front = entry->relay != NULL ? front_new (entry, error) : NULL;
  if (entry->front == NULL)
    {
      entry_free (entry);
      return NULL;
    }
  open_feeds (entry);
  return entry;
}

void
entry_run (Entry *entry)
{
  node_run (entry->node);
}

void
entry_free (Entry *entry)
{
  if (entry->leave_timer != 0)
    g_source_remove (entry->leave_timer);
  front_free (entry->front);
  where_free (entry->where);
  relay_free (entry->relay);
  node_free (entry->node);
  owner_free (entry->owner);
  feed_free (entry->ledger_feed);
  feed_free (entry->config_feed);
  outbox_free (entry->outbox);
  ledger_free (entry->ledger);
  store_free (entry->store);
  queue_config_free (entry->config);
  evacuations_free (entry->evacuations);
  g_free (entry);
}
