#include <string.h>

#include "batch/level.h"
#include "common/clk.h"
#include "common/ids.h"
#include "common/line.h"
#include "owner_private.h"

/** Greatest share of a core that an owner of about seventy workers uses. */
#define BUSY_OWNER_CPU_SHARE 0.4
/** Greatest extra delay before a claim, for entries with a smaller CPU share. */
#define CLAIM_SPREAD_MS 300
/** Greatest extra delay before the first claim: instances start within 300 ms of each other, small
 * ones slower. */
#define FIRST_SPREAD_MS 2000
/** Entries with equal shares are spread over the delay divided by this. */
#define EQUAL_SHARE_DIVISOR 4
/** Pause after a claim that the store refused since it is busy; each one is twice as long as the
 * one before. Entries that repeated it every 50 ms would keep the store busy. */
#define REFUSED_PAUSE_MIN_MS 50
#define REFUSED_PAUSE_MAX_MS 400

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

  owner->is_claim_open = FALSE;
  store_pace_end (&owner->entry->pace, owner->claim_pace_slot, answer->outcome, clk_now_us ());
  if (answer->outcome == STORE_IN_DOUBT)
    owner->claim.was_in_doubt = TRUE;
  if (owner->phase != OWNER_CLAIMING)
    return;
  line_add ("owner", "claim_answered", "term=%" G_GUINT64_FORMAT " outcome=%s", owner->term,
            store_outcome_name (answer->outcome));
  if (claim_handle_answer (&owner->claim, answer->outcome))
    return;
  /* The topic has grown, another claim was written, or the store is busy. */
  owner->phase = OWNER_NONE;
  if (answer->outcome == STORE_REFUSED)
    {
      owner->claim_pause_ms
          = CLAMP (owner->claim_pause_ms * 2, REFUSED_PAUSE_MIN_MS, REFUSED_PAUSE_MAX_MS);
      return;
    }
  owner->claim_pause_ms = 0;
  owner->claim_refused_us = clk_now_us ();
  feed_refresh (owner->entry->ledger_feed, on_caught_up, owner);
}

static const char *
last_owner_name (const Owner *owner)
{
  const char *name = ledger_owner (owner->entry->ledger)->name;

  return name != NULL ? name : "-";
}

static void
prepare_claim (Owner *owner)
{
  const LedgerOwner *last = ledger_owner (owner->entry->ledger);

  g_clear_pointer (&owner->claim_records, g_byte_array_unref);
  owner->claim_records = g_byte_array_new ();
  owner->term = owner->claim.term;
  owner->level_since = ledger_level_since (last, LEVEL_CURRENT, owner->term);
  owner->epoch = owner->claim.epoch;
  owner_add_record (owner, owner->claim_records, node_boot (owner->entry->node));
}

/* Whether the previous owner certainly does not act any more. */
static gboolean
is_vacant (const Owner *owner)
{
  const LedgerOwner *last = ledger_owner (owner->entry->ledger);

  return (last->term == owner->resigned_term && last->boot == owner->resigned_boot)
         || claim_is_vacant (last, owner->entry->settings->name, node_boot (owner->entry->node));
}

static void
claim (Owner *owner)
{
  int64_t end = feed_end (owner->entry->ledger_feed);
  const LedgerOwner *last = ledger_owner (owner->entry->ledger);
  const ClaimView view = {
    .last = last,
    .end = end,
    .is_vacant = is_vacant (owner),
    .sequence = (int64_t) (ids_new ().low & 0x3fffffff),
    .now_us = clk_now_us (),
  };

  if (claim_begin (&owner->claim, &view))
    prepare_claim (owner);
  owner->phase = OWNER_CLAIMING;
  owner->claim_sent_us = clk_now_us ();
  const StoreAppend append
      = { .topic = LEDGER_TOPIC,
          .records = owner->claim_records,
          .expected_end = owner->claim.expected_end,
          .producer = OWNER_PRODUCER,
          .epoch = owner->epoch,
          .sequence = owner->claim.sequence,
          .timeout_ms = store_pace_timeout_ms (&owner->entry->pace, TRUE, owner->claim_sent_us) };
  line_add ("owner", "claim",
            "term=%" G_GUINT64_FORMAT " end=%" G_GINT64_FORMAT " at=%" G_GINT64_FORMAT
            " last_owner=%s quiet_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
            owner->term, end, owner->claim.expected_end, last_owner_name (owner),
            (owner->claim_sent_us - owner->owner_seen_us) / CLK_US_PER_MS,
            (owner->claim_sent_us - owner->claim.first_sent_us) / CLK_US_PER_MS);
  owner->is_claim_open = TRUE;
  owner->claim_pace_slot = store_pace_begin (&owner->entry->pace, owner->claim_sent_us);
  store_append (owner->entry->store, &append, on_claimed, owner);
}

static int64_t
claim_delay_us (const Owner *owner, gboolean is_first)
{
  uint64_t hash = ids_hash_text (owner->entry->settings->name);
  double share = node_settings_fraction (owner->entry->settings->cpu_share, 1.0);
  int64_t spread_us = (is_first ? FIRST_SPREAD_MS : CLAIM_SPREAD_MS) * CLK_US_PER_MS;

  return (int64_t) ((double) spread_us * (1.0 - MIN (share / BUSY_OWNER_CPU_SHARE, 1.0)))
         + (int64_t) (hash % (uint64_t) (spread_us / EQUAL_SHARE_DIVISOR));
}

static gboolean
may_claim (Owner *owner)
{
  const LedgerOwner *last = ledger_owner (owner->entry->ledger);
  int64_t steady_us = feed_steady_since_us (owner->entry->ledger_feed);
  int64_t now = clk_now_us ();

  if (owner->is_leaving || owner->is_calling || owner->is_claim_open || steady_us == 0
      || !feed_is_loaded (owner->entry->ledger_feed) || feed_is_loading (owner->entry->ledger_feed)
      || owner->entry->config == NULL || feed_steady_since_us (owner->entry->config_feed) == 0
      || feed_fresh_us (owner->entry->ledger_feed) < owner->claim_refused_us
      || now < owner->claim_sent_us + owner->claim_pause_ms * CLK_US_PER_MS)
    return FALSE;
  int64_t quiet_us = now - MAX (MAX (owner->owner_seen_us, owner->resigned_us), steady_us);
  int64_t needed_us = is_vacant (owner) ? 0 : NODE_OWNER_QUIET_MS * 1000;
  if (last->term > 0 && strcmp (last->name, owner->entry->settings->name) == 0 && needed_us == 0)
    return TRUE;
  return quiet_us >= needed_us + claim_delay_us (owner, last->term == 0);
}

static void
claim_if_due (Owner *owner)
{
  if (owner->phase == OWNER_NONE && may_claim (owner))
    claim (owner);
}

void
owner_handle_resigned (Owner *owner, uint64_t term, uint64_t boot)
{
  line_add ("owner", "resignation_received",
            "term=%" G_GUINT64_FORMAT " own_view_of_term=%" G_GUINT64_FORMAT, term,
            ledger_owner (owner->entry->ledger)->term);
  if (term < owner->resigned_term || term < ledger_owner (owner->entry->ledger)->term)
    return;
  owner->resigned_term = term;
  owner->resigned_boot = boot;
  owner->resigned_us = clk_now_us ();
  claim_if_due (owner);
}

/* Ends the term if the store serves another entry and not this one. The term has ended before
 * others are told, so that none acts at the same time. */
static void
hand_over_if_due (Owner *owner)
{
  int64_t now = clk_now_us ();
  const HandoverInput input
      = { .failing_since_us = feed_failing_since_us (owner->entry->ledger_feed),
          .overdue_us = feed_overdue_us (owner->entry->ledger_feed),
          .peer_view_us = relay_peer_view_us (owner->entry->relay),
          .own_written_us = appender_authority_us (&owner->appender),
          .answer_ms = store_pace_answered_ms (&owner->entry->pace, now) };

  if (input.failing_since_us != 0)
    relay_ask_views (owner->entry->relay);
  if (!handover_is_due (&owner->handover, &input, now))
    return;
  line_add ("owner", "hands_over",
            "term=%" G_GUINT64_FORMAT " failing_ms=%" G_GINT64_FORMAT
            " peer_view_age_ms=%" G_GINT64_FORMAT,
            owner->term, (now - input.failing_since_us) / CLK_US_PER_MS,
            (now - input.peer_view_us) / CLK_US_PER_MS);
  met_add (owner->handovers, 1);
  owner_resign (owner, "turned_away");
  relay_tell_resigned (owner->entry->relay, owner->term);
}

/* A claim at an offset can't be written any more once another record was read there. Its answer may
 * be lost in a slow store, and the next claim depends on it. */
static void
give_up_overtaken_claim (Owner *owner)
{
  if (owner->phase != OWNER_CLAIMING || owner->is_claim_open || owner->claim.expected_end < 0
      || feed_is_loading (owner->entry->ledger_feed)
      || feed_end (owner->entry->ledger_feed) <= owner->claim.expected_end)
    return;
  line_add ("owner", "claim_overtaken", "term=%" G_GUINT64_FORMAT, owner->term);
  (void) claim_handle_answer (&owner->claim, STORE_MOVED);
  owner->phase = OWNER_NONE;
}

gboolean
owner_check (gpointer data)
{
  Owner *owner = data;

  if (owner->phase == OWNER_CLAIMING
      && clk_now_us () - owner->claim_sent_us > NODE_OWNER_QUIET_MS * 1000)
    {
      line_add ("owner", "claim_given_up", "term=%" G_GUINT64_FORMAT, owner->term);
      owner->phase = OWNER_NONE;
    }
  give_up_overtaken_claim (owner);
  claim_if_due (owner);
  owner_act_if_due (owner);
  owner_write_changes (owner);
  if (owner->phase == OWNER_ACTIVE)
    hand_over_if_due (owner);
  return G_SOURCE_CONTINUE;
}
