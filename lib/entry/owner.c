#include "entry/owner.h"

#include <string.h>

#include "common/clk.h"

typedef struct
{
  uint64_t epoch; /**< epoch of the newest folded claim */
  gboolean is_owned;
  gboolean is_known_to_owner; /**< the owner has read this entry's record, so it asks for consent */
  gboolean is_reconciled;
  int64_t reconciled_us;    /**< when no lease of an earlier owner can be live any more */
  int64_t owner_healthy_us; /**< when the owner was last known to be healthy */
  gboolean is_claiming;
  IdsId claim_id;
  int64_t hold_until_us; /**< end of the consent given: no claim before it */
  int64_t requested_us;
  GHashTable *consents; /**< entry name -> int64_t *, end of its consent */
} OwnerShard;

struct Owner
{
  OwnerOptions options;
  char *name;
  OwnerEvents events;
  OwnerShard *shards;
  int64_t view_us; /**< when the newest read to the end of the log was sent */
  gboolean has_view;
  int64_t registered_us;     /**< when this entry's record was folded */
  int64_t registered_offset; /**< exclusive upper bound of the offset of this entry's record */
  gboolean is_registered;
  gboolean is_leaving;
};

Owner *
owner_new (const OwnerOptions *options, const OwnerEvents *events)
{
  Owner *owner = g_new0 (Owner, 1);

  owner->options = *options;
  owner->name = g_strdup (options->name);
  owner->options.name = owner->name;
  owner->events = *events;
  owner->shards = g_new0 (OwnerShard, options->shards);
  for (uint32_t i = 0; i < options->shards; i++)
    owner->shards[i].consents = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return owner;
}

void
owner_free (Owner *owner)
{
  if (owner == NULL)
    return;
  for (uint32_t i = 0; i < owner->options.shards; i++)
    g_hash_table_destroy (owner->shards[i].consents);
  g_free (owner->shards);
  g_free (owner->name);
  g_free (owner);
}

void
owner_log_read (Owner *owner, int64_t read_us)
{
  owner->view_us = owner->has_view ? MAX (owner->view_us, read_us) : read_us;
  owner->has_view = TRUE;
}

int64_t
owner_view_age_us (const Owner *owner, int64_t now_us)
{
  return owner->has_view ? now_us - owner->view_us : G_MAXINT64;
}

static gboolean
is_fresh (const Owner *owner, int64_t now_us)
{
  return owner_view_age_us (owner, now_us) <= owner->options.fresh_us;
}

static const FoldEntry *
find_entry (const Fold *fold, const char *name)
{
  const GPtrArray *entries = fold_entries (fold);

  for (guint i = 0; i < entries->len; i++)
    {
      const FoldEntry *entry = g_ptr_array_index (entries, i);
      if (strcmp (entry->entry, name) == 0)
        return entry;
    }
  return NULL;
}

static void
register_own_entry (Owner *owner, const Fold *fold, int64_t now_us)
{
  const FoldEntry *self = find_entry (fold, owner->name);

  if (owner->is_registered || self == NULL || self->incarnation != owner->options.incarnation)
    return;
  owner->is_registered = TRUE;
  owner->registered_us = now_us;
  owner->registered_offset = fold_next_offset (fold);
}

/* Whether the claim follows this entry's record in the log. Its owner then read the record
 * before its own claim. */
static gboolean
is_claim_after_own_entry (const Owner *owner, const Fold *fold, const FoldClaim *claim)
{
  const FoldEntry *self = find_entry (fold, owner->name);

  return self != NULL && self->incarnation == owner->options.incarnation
         && claim->offset > self->known_offset;
}

static void
claim_changed (
    Owner *owner, uint32_t index, const FoldClaim *claim, gboolean was_registered, int64_t now_us)
{
  OwnerShard *shard = &owner->shards[index];
  gboolean was_owned = shard->is_owned;
  gboolean is_first = claim->epoch == 1;

  shard->is_known_to_owner = was_registered;
  shard->epoch = claim->epoch;
  shard->owner_healthy_us = now_us;
  shard->is_owned = g_strcmp0 (claim->entry, owner->name) == 0
                    && claim->incarnation == owner->options.incarnation;
  shard->is_reconciled = is_first;
  shard->reconciled_us
      = now_us + owner->options.fresh_us + owner->options.lease_us + owner->options.drift_us;
  g_hash_table_remove_all (shard->consents);
  if (was_owned)
    owner->events.lost (owner->events.ctx, index);
  if (shard->is_owned)
    owner->events.gained (owner->events.ctx, index, claim->epoch, is_first);
}

void
owner_folded (Owner *owner, const Fold *fold, int64_t now_us)
{
  gboolean was_registered = owner->is_registered;

  register_own_entry (owner, fold, now_us);
  for (uint32_t i = 0; i < owner->options.shards; i++)
    {
      OwnerShard *shard = &owner->shards[i];
      const FoldClaim *claim = fold_claim (fold, i);
      FoldResult result = FOLD_APPLIED;
      if (claim->epoch != shard->epoch)
        claim_changed (owner, i, claim,
                       was_registered || is_claim_after_own_entry (owner, fold, claim), now_us);
      if (shard->is_claiming && fold_record_result (fold, shard->claim_id, &result))
        shard->is_claiming = FALSE;
    }
}

void
owner_not_appended (Owner *owner, IdsId id)
{
  for (uint32_t i = 0; i < owner->options.shards; i++)
    {
      OwnerShard *shard = &owner->shards[i];
      if (shard->is_claiming && ids_equal (shard->claim_id, id))
        shard->is_claiming = FALSE;
    }
}

/* Sort key of an entry among the candidates for a shard; differs from shard to shard. */
static uint64_t
candidate_order (uint32_t shard, const char *entry)
{
  g_autofree char *text = g_strdup_printf ("%u\n%s", shard, entry);

  return ids_hash_text (text);
}

static gboolean
is_candidate (const FoldEntry *entry, const Members *members, int64_t now_us)
{
  const MembersEntry *member = members_entry (members, entry->entry);

  return member != NULL && member->incarnation == entry->incarnation && !member->leaving
         && members_is_live (members, member->last_received_us, now_us);
}

/* Number of live candidates that rank before this entry. */
static uint32_t
own_rank (
    const Owner *owner, uint32_t shard, const Fold *fold, const Members *members, int64_t now_us)
{
  const GPtrArray *entries = fold_entries (fold);
  uint64_t own = candidate_order (shard, owner->name);
  uint32_t rank = 0;

  for (guint i = 0; i < entries->len; i++)
    {
      const FoldEntry *entry = g_ptr_array_index (entries, i);
      if (strcmp (entry->entry, owner->name) != 0 && is_candidate (entry, members, now_us)
          && candidate_order (shard, entry->entry) < own)
        rank++;
    }
  return rank;
}

/* Whether heartbeats of the owner arrive and its own view of the log is recent. */
static gboolean
owner_is_healthy (const Owner *owner,
                  const FoldClaim *claim,
                  const Members *members,
                  int64_t now_us)
{
  const MembersEntry *member = members_entry (members, claim->entry);
  int64_t age_max_ms = (owner->options.fresh_us + owner->options.lease_us) / CLK_US_PER_MS;

  return member != NULL && member->incarnation == claim->incarnation && !member->leaving
         && members_is_live (members, member->last_received_us, now_us)
         && member->log_age_ms <= age_max_ms;
}

/* Whether the log shows that the owner left or was replaced by a newer incarnation. */
static gboolean
owner_is_gone (const FoldClaim *claim, const Fold *fold)
{
  const FoldEntry *entry = find_entry (fold, claim->entry);

  return entry == NULL || entry->incarnation != claim->incarnation;
}

static gboolean
may_claim (const Owner *owner, const OwnerShard *shard, gboolean is_gone, int64_t now_us)
{
  if (owner->is_leaving || shard->is_claiming || !owner->is_registered || !is_fresh (owner, now_us)
      || now_us < shard->hold_until_us)
    return FALSE;
  int64_t wait_us = shard->is_known_to_owner || is_gone
                        ? owner->options.lease_us
                        : owner->options.outage_us + owner->options.drift_us;
  return shard->epoch == 0
         || now_us >= owner->registered_us + MAX (wait_us, owner->options.lease_us);
}

/* Sets the flag when the owner's digests show that it has read this entry's record. */
static void
update_known_to_owner (const Owner *owner,
                       OwnerShard *shard,
                       const FoldClaim *claim,
                       const Members *members)
{
  const MembersEntry *member = members_entry (members, claim->entry);

  if (owner->is_registered && member != NULL && member->incarnation == claim->incarnation
      && member->log_offset >= owner->registered_offset)
    shard->is_known_to_owner = TRUE;
}

static void
tick_unowned (
    Owner *owner, uint32_t index, const Fold *fold, const Members *members, int64_t now_us)
{
  OwnerShard *shard = &owner->shards[index];
  const FoldClaim *claim = fold_claim (fold, index);
  gboolean is_vacant = claim->epoch == 0 || owner_is_gone (claim, fold);

  update_known_to_owner (owner, shard, claim, members);
  if (shard->owner_healthy_us == 0
      || (!is_vacant && owner_is_healthy (owner, claim, members, now_us)))
    shard->owner_healthy_us = now_us;
  int64_t wait = (is_vacant ? 0 : owner->options.owner_timeout_us)
                 + own_rank (owner, index, fold, members, now_us) * owner->options.stagger_us;
  if (now_us - shard->owner_healthy_us < wait || !may_claim (owner, shard, is_vacant, now_us))
    return;
  shard->is_claiming
      = owner->events.claim (owner->events.ctx, index, claim->epoch + 1, &shard->claim_id);
}

static void
request_consents (Owner *owner, uint32_t index, const Fold *fold, int64_t now_us)
{
  OwnerShard *shard = &owner->shards[index];
  const GPtrArray *entries = fold_entries (fold);

  if (now_us - shard->requested_us < owner->options.consent_interval_us)
    return;
  shard->requested_us = now_us;
  for (guint i = 0; i < entries->len; i++)
    {
      const FoldEntry *entry = g_ptr_array_index (entries, i);
      if (strcmp (entry->entry, owner->name) != 0)
        owner->events.request_consent (owner->events.ctx, entry->entry, index, shard->epoch,
                                       now_us);
    }
}

static gboolean
has_all_consents (const Owner *owner, const OwnerShard *shard, const Fold *fold, int64_t now_us)
{
  const GPtrArray *entries = fold_entries (fold);

  if (owner_view_age_us (owner, now_us) > owner->options.outage_us)
    return FALSE;
  for (guint i = 0; i < entries->len; i++)
    {
      const FoldEntry *entry = g_ptr_array_index (entries, i);
      const int64_t *until = g_hash_table_lookup (shard->consents, entry->entry);
      if (strcmp (entry->entry, owner->name) != 0 && (until == NULL || now_us >= *until))
        return FALSE;
    }
  return TRUE;
}

static void
tick_owned (Owner *owner, uint32_t index, const Fold *fold, int64_t now_us)
{
  OwnerShard *shard = &owner->shards[index];

  if (!shard->is_reconciled
      && owner_exclusive_until_us (owner, fold, index, now_us) >= shard->reconciled_us)
    {
      shard->is_reconciled = TRUE;
      owner->events.reconciled (owner->events.ctx, index);
    }
  if (owner_view_age_us (owner, now_us) > owner->options.fresh_us / 2)
    request_consents (owner, index, fold, now_us);
}

void
owner_tick (Owner *owner, const Fold *fold, const Members *members, int64_t now_us)
{
  for (uint32_t i = 0; i < owner->options.shards; i++)
    {
      if (owner->shards[i].is_owned)
        tick_owned (owner, i, fold, now_us);
      else
        tick_unowned (owner, i, fold, members, now_us);
    }
}

int64_t
owner_consent_requested (Owner *owner,
                         const Fold *fold,
                         const Wire__ConsentRequest *request,
                         int64_t now_us)
{
  if (request->shard >= owner->options.shards)
    return 0;
  OwnerShard *shard = &owner->shards[request->shard];
  const FoldClaim *claim = fold_claim (fold, request->shard);
  /* An entry with a fresh view of the log refuses. Otherwise an owner that alone has lost the log
   * would never be replaced. */
  if (shard->is_owned || shard->is_claiming || is_fresh (owner, now_us)
      || claim->epoch != request->epoch || claim->incarnation != request->incarnation
      || g_strcmp0 (claim->entry, request->entry) != 0)
    return 0;
  shard->hold_until_us = MAX (shard->hold_until_us, now_us + owner->options.lease_us);
  return owner->options.lease_us;
}

void
owner_consent_received (Owner *owner, const Fold *fold, const Wire__Consent *consent)
{
  const FoldEntry *entry = find_entry (fold, consent->entry);

  if (consent->shard >= owner->options.shards || entry == NULL
      || entry->incarnation != consent->incarnation || consent->hold_ms <= 0)
    return;
  OwnerShard *shard = &owner->shards[consent->shard];
  if (!shard->is_owned || shard->epoch != consent->epoch)
    return;
  int64_t *until = g_new (int64_t, 1);
  *until = consent->sent_us + consent->hold_ms * CLK_US_PER_MS - owner->options.drift_us;
  g_hash_table_replace (shard->consents, g_strdup (consent->entry), until);
}

gboolean
owner_may_renew (const Owner *owner, const Fold *fold, uint32_t index, int64_t now_us)
{
  const OwnerShard *shard = &owner->shards[index];

  if (!shard->is_owned || owner->is_leaving)
    return FALSE;
  return is_fresh (owner, now_us) || has_all_consents (owner, shard, fold, now_us);
}

int64_t
owner_exclusive_until_us (const Owner *owner, const Fold *fold, uint32_t index, int64_t now_us)
{
  const OwnerShard *shard = &owner->shards[index];

  return has_all_consents (owner, shard, fold, now_us) ? now_us : owner->view_us;
}

uint64_t
owner_epoch (const Owner *owner, uint32_t shard)
{
  return shard < owner->options.shards && owner->shards[shard].is_owned ? owner->shards[shard].epoch
                                                                        : 0;
}

void
owner_leave (Owner *owner)
{
  owner->is_leaving = TRUE;
}
