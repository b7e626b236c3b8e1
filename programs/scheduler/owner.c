#include <string.h>

#include "common/clk.h"
#include "common/ids.h"
#include "common/line.h"
#include "entry_private.h"
#include "net/net_link.h"
#include "platform/caller.h"

/** The owner acts for this long after its newest write that the store acknowledged was sent. */
#define AUTHORITY_MS 3000
/** Others claim when they have read no sign of life for this long; longer than AUTHORITY_MS. */
#define QUIET_MS 3300
/** Claims of several entries are spread over this time. */
#define CLAIM_SPREAD_MS 250
/** The owner's sign of life in the ledger. */
#define RENEW_MS 500
/** Changes of the owner are gathered for this long before they are written. */
#define FLUSH_MS 15
#define CHECK_MS 50
#define TICK_MS 100
/** Inputs within this time are decided on together. */
#define TICK_SOON_MS 5
#define TIMEOUT_MS 900
/** Owners read each record at once. */
#define OWNER_PAUSE_MS 2
#define OTHER_PAUSE_MS 150
/** Agents' clocks and the worker's may differ this much from ours over a grant. */
#define LAPSE_SLACK_MS 250
#define LAPSE_RATE 1.02
/** Starts go only to agents heard within this time. */
#define FRESH_MS 1300
/** Producer of the owner's appends: the store refuses those of an earlier owner. */
#define PRODUCER "owner"

typedef enum
{
  OWNER_NONE,
  OWNER_CLAIMING, /**< the claim was sent, and may be in the ledger */
  OWNER_ACTIVE,
} OwnerPhase;

struct Owner
{
  Entry *entry;
  OwnerPhase phase;
  int64_t claim_us; /**< when the claim was sent */
  uint64_t term;
  int64_t epoch;
  int64_t sequence;      /**< of the next append */
  int64_t authority_us;  /**< sending time of the newest acknowledged append */
  int64_t owner_seen_us; /**< when the newest record of an owner was read */
  gboolean is_leaving;
  Sched *sched; /**< NULL unless active */
  NetLinks *links;
  GHashTable *peers;   /**< agent name -> Peer */
  SchedFlush *flush;   /**< in the append under way; NULL for none */
  GByteArray *records; /**< of the append under way or in doubt; NULL for none */
  gboolean is_appending;
  gboolean is_in_doubt; /**< it is repeated as it was */
  gboolean is_release;  /**< it gives the jobs up */
  int64_t append_us;    /**< when it was sent */
  int64_t renew_us;     /**< when the next sign of life is due */
  guint check_timer;
  guint tick_timer;
  guint soon_timer;
  guint flush_timer;
  MetSeries *terms;
  MetSeries *open_jobs;
  MetHistogram *append_time;
};

/** The link to one agent. */
typedef struct
{
  Owner *owner;
  char *name;
  char *address;
  NetLink *link;
  int64_t greeted_us;
} Peer;

static void
peer_free (gpointer data)
{
  Peer *peer = data;

  net_link_free (peer->link);
  g_free (peer->name);
  g_free (peer->address);
  g_free (peer);
}

static void tick_soon (Owner *owner);
static void flush_soon (Owner *owner);

/* Whether no other entry can be the owner now. After a release was sent, one may be. */
static gboolean
has_authority (const Owner *owner)
{
  return owner->phase == OWNER_ACTIVE && owner->sched != NULL && !owner->is_release
         && clk_now_us () - owner->authority_us < AUTHORITY_MS * 1000;
}

static void
on_report (void *ctx, GBytes *peer_id, const uint8_t *data, size_t size)
{
  Peer *peer = ctx;
  Owner *owner = peer->owner;
  Batch__Report *report = batch__report__unpack (NULL, size, data);

  (void) peer_id;
  if (report == NULL)
    {
      line_add ("owner", "report_malformed", "agent=%s bytes=%zu", peer->name, size);
      return;
    }
  if (owner->sched != NULL && report->epoch == (uint64_t) owner->epoch)
    {
      sched_take_report (owner->sched, peer->name, report, clk_now_us ());
      tick_soon (owner);
    }
  else if (owner->sched != NULL && report->epoch > (uint64_t) owner->epoch)
    line_add ("owner", "agent_has_newer_owner", "agent=%s epoch=%" G_GUINT64_FORMAT, peer->name,
              report->epoch);
  batch__report__free_unpacked (report, NULL);
}

static void
send_orders (Peer *peer, const Batch__Orders *orders)
{
  size_t size = batch__orders__get_packed_size (orders);
  g_autofree uint8_t *bytes = g_malloc (size);

  (void) batch__orders__pack (orders, bytes);
  if (!net_link_send (peer->link, NULL, bytes, size) && orders->n_orders > 0)
    line_add ("owner", "orders_not_sent", "agent=%s orders=%zu", peer->name, orders->n_orders);
}

static void
init_orders (const Owner *owner, Batch__Orders *orders)
{
  batch__orders__init (orders);
  orders->epoch = (uint64_t) owner->epoch;
  orders->owner = owner->entry->settings->name;
}

/* An agent that never heard of this owner needs one message to write to it. */
static void
greet (Peer *peer)
{
  Batch__Orders orders;

  if (clk_now_us () - peer->greeted_us < RENEW_MS * 1000)
    return;
  peer->greeted_us = clk_now_us ();
  init_orders (peer->owner, &orders);
  send_orders (peer, &orders);
}

static void
say_orders (Owner *owner)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, owner->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Peer *peer = value;
      Batch__Orders orders;
      init_orders (owner, &orders);
      if (sched_orders (owner->sched, peer->name, &orders))
        {
          peer->greeted_us = clk_now_us ();
          send_orders (peer, &orders);
        }
      else
        greet (peer);
    }
}

static void
decide (Owner *owner)
{
  if (!has_authority (owner))
    return;
  sched_tick (owner->sched, clk_now_us (), clk_wall_ms ());
  met_set (owner->open_jobs, sched_open_jobs (owner->sched));
  /* A tick takes time: authority is asked again right before orders leave. */
  if (has_authority (owner))
    say_orders (owner);
  flush_soon (owner);
}

static gboolean
on_tick (gpointer data)
{
  decide (data);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_tick_soon (gpointer data)
{
  Owner *owner = data;

  owner->soon_timer = 0;
  decide (owner);
  return G_SOURCE_REMOVE;
}

static void
tick_soon (Owner *owner)
{
  if (owner->soon_timer == 0 && owner->sched != NULL)
    owner->soon_timer = g_timeout_add (TICK_SOON_MS, on_tick_soon, owner);
}

static void
note_sched (void *ctx, const char *event, const char *job, const char *text)
{
  (void) ctx;
  line_add ("sched", event, "job=%s %s", job, text);
}

/* Giving up: everything that belongs to the term goes. */

static void
resign (Owner *owner, const char *reason)
{
  if (owner->phase == OWNER_NONE)
    return;
  line_add ("owner", "resigned", "term=%" G_GUINT64_FORMAT " reason=%s", owner->term, reason);
  owner->phase = OWNER_NONE;
  g_clear_handle_id (&owner->tick_timer, g_source_remove);
  g_clear_handle_id (&owner->soon_timer, g_source_remove);
  g_clear_handle_id (&owner->flush_timer, g_source_remove);
  if (owner->flush != NULL)
    sched_flush_end (owner->sched, owner->flush, FALSE);
  owner->flush = NULL;
  g_clear_pointer (&owner->records, g_byte_array_unref);
  owner->is_in_doubt = FALSE;
  g_clear_pointer (&owner->sched, sched_free);
  g_hash_table_remove_all (owner->peers);
  feed_set_pause (owner->entry->ledger_feed, OTHER_PAUSE_MS);
}

/* Writing. */

static void
add_loads (const Owner *owner, Batch__Owner *message, GPtrArray *garbage)
{
  const QueueConfig *config = owner->entry->config;

  if (config == NULL || owner->sched == NULL)
    return;
  message->loads = g_new0 (Batch__QueueLoad *, config->queues->len);
  g_ptr_array_add (garbage, message->loads);
  for (guint i = 0; i < config->queues->len; i++)
    {
      const Queue *queue = g_ptr_array_index (config->queues, i);
      SchedLoad load = sched_load (owner->sched, queue->name);
      if (load.n_pending == 0 && load.retry_after_ms == 0)
        continue;
      Batch__QueueLoad *row = g_new (Batch__QueueLoad, 1);
      batch__queue_load__init (row);
      row->queue = queue->name;
      row->pending = load.n_pending;
      row->retry_after_ms = load.retry_after_ms;
      message->loads[message->n_loads++] = row;
      g_ptr_array_add (garbage, row);
    }
}

static void
add_owner_record (const Owner *owner, GByteArray *records, uint64_t boot)
{
  g_autoptr (GPtrArray) garbage = g_ptr_array_new_with_free_func (g_free);
  Batch__Owner message = BATCH__OWNER__INIT;

  message.term = owner->term;
  message.name = owner->entry->settings->name;
  message.boot = boot;
  add_loads (owner, &message, garbage);
  size_t size = batch__owner__get_packed_size (&message);
  g_autofree uint8_t *bytes = g_malloc (size);
  (void) batch__owner__pack (&message, bytes);
  store_add_record (records, LEDGER_OWNER_KEY, bytes, size);
}

/* Agents that are long silent would make each new owner wait for them. */
static void
add_forgotten (Owner *owner)
{
  const char *name = sched_forgotten_agent (owner->sched);

  if (name == NULL)
    return;
  g_autofree char *key = g_strconcat (LEDGER_AGENT_PREFIX, name, NULL);
  line_add ("owner", "agent_forgotten", "agent=%s", name);
  store_add_record (owner->records, key, NULL, 0);
}

static void
add_changes (GByteArray *records, const SchedFlush *flush)
{
  const GPtrArray *changes = sched_flush_changes (flush);

  for (guint i = 0; i < changes->len; i++)
    {
      const SchedChange *change = g_ptr_array_index (changes, i);
      g_autofree char *key = g_strconcat (LEDGER_RUN_PREFIX, change->job, NULL);
      size_t size = 0;
      const void *bytes = g_bytes_get_data (change->progress, &size);
      store_add_record (records, key, bytes, size);
    }
}

static void on_appended (void *ctx, const StoreAnswer *answer);

static void
send_append (Owner *owner)
{
  const StoreAppend append = { .topic = LEDGER_TOPIC,
                               .records = owner->records,
                               .at = -1,
                               .producer = PRODUCER,
                               .epoch = owner->epoch,
                               .sequence = owner->sequence,
                               .timeout_ms = TIMEOUT_MS };

  owner->is_appending = TRUE;
  owner->append_us = clk_now_us ();
  store_append (owner->entry->store, &append, on_appended, owner);
}

static void
write_changes (Owner *owner)
{
  if (owner->phase != OWNER_ACTIVE || owner->is_appending)
    return;
  if (owner->is_in_doubt)
    {
      send_append (owner);
      return;
    }
  owner->flush = sched_flush_begin (owner->sched);
  if (owner->flush == NULL && clk_now_us () < owner->renew_us)
    return;
  owner->records = g_byte_array_new ();
  owner->renew_us = clk_now_us () + RENEW_MS * 1000;
  owner->is_release = owner->is_leaving;
  add_owner_record (owner, owner->records, owner->is_release ? 0 : node_boot (owner->entry->node));
  add_forgotten (owner);
  if (owner->flush != NULL)
    add_changes (owner->records, owner->flush);
  send_append (owner);
}

static gboolean
on_flush_due (gpointer data)
{
  Owner *owner = data;

  owner->flush_timer = 0;
  write_changes (owner);
  return G_SOURCE_REMOVE;
}

static void
flush_soon (Owner *owner)
{
  if (owner->flush_timer == 0 && owner->phase == OWNER_ACTIVE)
    owner->flush_timer = g_timeout_add (FLUSH_MS, on_flush_due, owner);
}

static void
end_append (Owner *owner, gboolean is_written)
{
  if (owner->flush != NULL)
    sched_flush_end (owner->sched, owner->flush, is_written);
  owner->flush = NULL;
  owner->is_in_doubt = FALSE;
  g_clear_pointer (&owner->records, g_byte_array_unref);
}

static void
take_written (Owner *owner)
{
  met_observe (owner->append_time, clk_now_us () - owner->append_us);
  owner->authority_us = MAX (owner->authority_us, owner->append_us);
  owner->sequence++;
  end_append (owner, TRUE);
  if (owner->is_release)
    resign (owner, "leaving");
  else if (owner->is_leaving)
    write_changes (owner);
  else
    decide (owner);
}

static void
on_appended (void *ctx, const StoreAnswer *answer)
{
  Owner *owner = ctx;

  owner->is_appending = FALSE;
  if (owner->phase != OWNER_ACTIVE || owner->records == NULL)
    return;
  if (answer->outcome == STORE_OK
      || (answer->outcome == STORE_SEQUENCE && answer->expected_sequence == owner->sequence + 1))
    {
      take_written (owner);
      return;
    }
  line_add ("owner", "append_failed",
            "term=%" G_GUINT64_FORMAT " outcome=%s sequence=%" G_GINT64_FORMAT
            " expected=%" G_GINT64_FORMAT,
            owner->term, store_outcome_name (answer->outcome), owner->sequence,
            answer->expected_sequence);
  if (answer->outcome == STORE_FENCED)
    resign (owner, "fenced");
  else if (answer->outcome == STORE_IN_DOUBT)
    owner->is_in_doubt = TRUE;
  else if (!owner->is_in_doubt)
    end_append (owner, FALSE);
}

/* Claiming. */

static void claim_if_due (Owner *owner);

static void
on_caught_up (void *ctx, gboolean is_fresh)
{
  if (is_fresh)
    claim_if_due (ctx);
}

static void
on_claimed (void *ctx, const StoreAnswer *answer)
{
  Owner *owner = ctx;

  owner->is_appending = FALSE;
  if (owner->phase != OWNER_CLAIMING)
    return;
  line_add ("owner", "claim_answered", "term=%" G_GUINT64_FORMAT " outcome=%s", owner->term,
            store_outcome_name (answer->outcome));
  if (answer->outcome == STORE_OK || answer->outcome == STORE_IN_DOUBT)
    return;
  /* The topic has moved on, or the store is busy: the claim is not there and never will be. */
  owner->phase = OWNER_NONE;
  if (answer->outcome == STORE_MOVED)
    feed_refresh (owner->entry->ledger_feed, on_caught_up, owner);
}

static void
claim (Owner *owner)
{
  const LedgerOwner *last = ledger_owner (owner->entry->ledger);
  g_autoptr (GByteArray) records = g_byte_array_new ();
  int64_t end = feed_end (owner->entry->ledger_feed);

  owner->phase = OWNER_CLAIMING;
  owner->claim_us = clk_now_us ();
  owner->term = last->term + 1;
  /* Only one append can succeed at this end, so the epoch belongs to its claimant alone; the
   * random first number keeps another one's append from being taken for a repeat of ours. */
  owner->epoch = end + 1;
  owner->sequence = (int64_t) (ids_new ().low & 0x3fffffff);
  add_owner_record (owner, records, node_boot (owner->entry->node));
  const StoreAppend append = { .topic = LEDGER_TOPIC,
                               .records = records,
                               .at = end,
                               .producer = PRODUCER,
                               .epoch = owner->epoch,
                               .sequence = owner->sequence,
                               .timeout_ms = TIMEOUT_MS };
  line_add ("owner", "claim",
            "term=%" G_GUINT64_FORMAT " end=%" G_GINT64_FORMAT
            " last_owner=%s quiet_ms=%" G_GINT64_FORMAT,
            owner->term, end, last->name != NULL ? last->name : "-",
            (owner->claim_us - owner->owner_seen_us) / 1000);
  owner->is_appending = TRUE;
  store_append (owner->entry->store, &append, on_claimed, owner);
}

/* The process that held the jobs is certainly gone, or has given them up. */
static gboolean
is_vacant (const Owner *owner, const LedgerOwner *last)
{
  if (last->term == 0 || last->boot == 0)
    return TRUE;
  return strcmp (last->name, owner->entry->settings->name) == 0
         && last->boot != node_boot (owner->entry->node);
}

static int64_t
claim_delay_us (const Owner *owner)
{
  uint64_t hash = ids_hash_text (owner->entry->settings->name);
  double share = node_settings_fraction (owner->entry->settings->cpu_share, 1.0);

  /* Entries with more processor come first. */
  return (int64_t) ((double) CLAIM_SPREAD_MS * 1000.0 * (1.0 - MIN (share, 1.0)))
         + (int64_t) (hash % (CLAIM_SPREAD_MS * 1000 / 2));
}

static gboolean
may_claim (Owner *owner)
{
  const LedgerOwner *last = ledger_owner (owner->entry->ledger);
  int64_t steady_us = feed_steady_since_us (owner->entry->ledger_feed);
  int64_t now = clk_now_us ();

  if (owner->is_leaving || owner->is_appending || steady_us == 0
      || !feed_is_loaded (owner->entry->ledger_feed) || owner->entry->config == NULL)
    return FALSE;
  int64_t quiet_us = now - MAX (owner->owner_seen_us, steady_us);
  int64_t needed_us = is_vacant (owner, last) ? 0 : QUIET_MS * 1000;
  if (last->term > 0 && strcmp (last->name, owner->entry->settings->name) == 0 && needed_us == 0)
    return TRUE;
  return quiet_us >= needed_us + claim_delay_us (owner);
}

static void
claim_if_due (Owner *owner)
{
  if (owner->phase == OWNER_NONE && may_claim (owner))
    claim (owner);
}

static gboolean
on_check (gpointer data)
{
  Owner *owner = data;

  if (owner->phase == OWNER_CLAIMING && clk_now_us () - owner->claim_us > QUIET_MS * 1000)
    {
      line_add ("owner", "claim_given_up", "term=%" G_GUINT64_FORMAT, owner->term);
      owner->phase = OWNER_NONE;
    }
  claim_if_due (owner);
  if (owner->phase == OWNER_ACTIVE)
    write_changes (owner);
  return G_SOURCE_CONTINUE;
}

/* Taking over. */

static void
add_job (void *ctx, const LedgerJob *job)
{
  Owner *owner = ctx;
  g_autoptr (GError) error = NULL;
  JobSpec *spec = caller_decode_job ((const char *) job->submission->body.data,
                                     job->submission->body.len, &error);

  if (spec == NULL)
    {
      line_add ("owner", "job_malformed", "job=%s error=\"%s\"", job->id, error->message);
      return;
    }
  const SchedNewJob wanted = { .id = job->id,
                               .queue = job->submission->queue,
                               .accepted_wall_ms = job->submission->accepted_wall_ms,
                               .spec = spec,
                               .progress = job->progress,
                               .is_old = job->offset < owner->epoch - 1 };
  sched_add_job (owner->sched, &wanted);
  if (job->is_cancelled)
    sched_cancel_job (owner->sched, job->id);
}

static void
add_agent (void *ctx, const LedgerAgent *agent)
{
  Owner *owner = ctx;
  const Peer *known = g_hash_table_lookup (owner->peers, agent->name);
  g_autoptr (GError) error = NULL;

  if (known != NULL && strcmp (known->address, agent->address) == 0)
    return;
  Peer *peer = g_new0 (Peer, 1);
  peer->owner = owner;
  peer->name = g_strdup (agent->name);
  peer->address = g_strdup (agent->address);
  peer->link = net_link_connect (owner->links, agent->address, on_report, peer, &error);
  if (peer->link == NULL)
    {
      line_add ("owner", "agent_unreachable", "agent=%s error=\"%s\"", agent->name, error->message);
      peer_free (peer);
      return;
    }
  g_hash_table_replace (owner->peers, peer->name, peer);
  sched_add_agent (owner->sched, agent->name);
}

static SchedOptions
sched_options (const Owner *owner)
{
  const NodeSettings *settings = owner->entry->settings;
  double grant_ms = (double) node_settings_grant_ms (settings);

  return (SchedOptions){
    .fresh_ms = FRESH_MS,
    .lapse_ms = (int64_t) (grant_ms * LAPSE_RATE) + LAPSE_SLACK_MS,
    .gang_timeout_ms = settings->gang_timeout_ms,
    .note = note_sched,
  };
}

static void
take_over (Owner *owner)
{
  const SchedOptions options = sched_options (owner);
  int64_t settled_us = owner->term == 1 ? clk_now_us () : clk_now_us () + options.lapse_ms * 1000;

  owner->phase = OWNER_ACTIVE;
  owner->is_release = FALSE;
  owner->authority_us = owner->claim_us;
  owner->sequence++;
  owner->renew_us = clk_now_us () + RENEW_MS * 1000;
  owner->sched = sched_new (&options);
  sched_set_config (owner->sched, owner->entry->config);
  sched_begin_term (owner->sched, owner->term, settled_us);
  ledger_each_job (owner->entry->ledger, add_job, owner);
  ledger_each_agent (owner->entry->ledger, add_agent, owner);
  feed_set_pause (owner->entry->ledger_feed, OWNER_PAUSE_MS);
  owner->tick_timer = g_timeout_add (TICK_MS, on_tick, owner);
  met_add (owner->terms, 1);
  line_add ("owner", "took_over",
            "term=%" G_GUINT64_FORMAT " epoch=%" G_GINT64_FORMAT " open_jobs=%u agents=%u",
            owner->term, owner->epoch, sched_open_jobs (owner->sched),
            g_hash_table_size (owner->peers));
  decide (owner);
}

void
owner_take_claim (Owner *owner, const LedgerOwner *claim)
{
  gboolean is_ours = claim->boot == node_boot (owner->entry->node);

  owner->owner_seen_us = clk_now_us ();
  if (is_ours && owner->phase == OWNER_CLAIMING && claim->offset == owner->epoch - 1)
    take_over (owner);
  else if (!is_ours && owner->phase != OWNER_NONE && claim->offset >= owner->epoch
           && !owner->is_leaving)
    resign (owner, "replaced");
}

void
owner_take_job (Owner *owner, const LedgerJob *job)
{
  if (owner->sched == NULL)
    return;
  add_job (owner, job);
  tick_soon (owner);
}

void
owner_take_cancel (Owner *owner, const LedgerJob *job)
{
  if (owner->sched == NULL)
    return;
  sched_cancel_job (owner->sched, job->id);
  tick_soon (owner);
}

void
owner_take_agent (Owner *owner, const LedgerAgent *agent)
{
  if (owner->sched != NULL)
    add_agent (owner, agent);
}

void
owner_take_agent_gone (Owner *owner, const char *name)
{
  if (owner->sched == NULL)
    return;
  (void) g_hash_table_remove (owner->peers, name);
  sched_remove_agent (owner->sched, name);
}

void
owner_take_config (Owner *owner, const QueueConfig *config)
{
  if (owner->sched == NULL)
    return;
  sched_set_config (owner->sched, config);
  tick_soon (owner);
}

void
owner_leave (Owner *owner)
{
  owner->is_leaving = TRUE;
  owner->renew_us = 0;
  if (owner->phase == OWNER_ACTIVE)
    write_changes (owner);
}

gboolean
owner_is_idle (const Owner *owner)
{
  return owner->phase == OWNER_NONE;
}

Owner *
owner_new (Entry *entry)
{
  Owner *owner = g_new0 (Owner, 1);
  MetRegistry *metrics = node_metrics (entry->node);

  owner->entry = entry;
  owner->links = net_links_new ();
  owner->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  owner->check_timer = g_timeout_add (CHECK_MS, on_check, owner);
  owner->terms = met_counter (metrics, "acacia_owner_terms_total", NULL, "Terms begun here");
  owner->open_jobs = met_gauge (metrics, "acacia_open_jobs", NULL, "Jobs under way, at the owner");
  owner->append_time
      = met_histogram (metrics, "acacia_owner_append_us", NULL, "Time of the owner's appends");
  return owner;
}

void
owner_free (Owner *owner)
{
  if (owner == NULL)
    return;
  g_clear_handle_id (&owner->check_timer, g_source_remove);
  g_clear_handle_id (&owner->tick_timer, g_source_remove);
  g_clear_handle_id (&owner->soon_timer, g_source_remove);
  g_clear_handle_id (&owner->flush_timer, g_source_remove);
  if (owner->flush != NULL)
    sched_flush_end (owner->sched, owner->flush, FALSE);
  if (owner->records != NULL)
    g_byte_array_unref (owner->records);
  g_hash_table_destroy (owner->peers);
  net_links_free (owner->links);
  sched_free (owner->sched);
  g_free (owner);
}
