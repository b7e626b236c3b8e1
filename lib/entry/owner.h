/**
 * @file owner.h
 * Ownership of shards by this entry: claims, takeover, renewal of leases, consents.
 *
 * The module does no I/O and reads no clock: effects go through #OwnerEvents, and the time is an
 * argument. Two owners never both let agents start work, because of these rules:
 *  - Leases are renewed only while this entry's view of the log is at most fresh_us old, or while
 *    this entry holds unexpired consents of all other entries that are recorded in the log.
 *  - A claim requires a fresh view of the log, no unexpired consent given to the owner, no earlier
 *    claim whose result is unknown, and an Entry record of this entry that is at least one lease
 *    old.
 *  - An owner that has not read this entry's record does not ask it for consent. Such an entry
 *    claims only outage_us after its own Entry record, unless the log shows that the owner is gone.
 *  - A new owner waits fresh + lease + drift after it read its claim before it starts tasks that
 *    may still run elsewhere.
 *  - This wait, and the lease of an agent, count as over only once it is certain that no third
 *    entry had claimed the shard by then. Such an entry would have extended the agents' leases.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"
#include "entry/members.h"
#include "state/fold.h"

G_BEGIN_DECLS

typedef struct Owner Owner;

typedef struct
{
  const char *name;
  uint64_t incarnation;
  uint32_t shards;
  int64_t lease_us;
  int64_t fresh_us;
  int64_t drift_us;
  int64_t outage_us;           /**< longest time for which leases are renewed by consents alone */
  int64_t owner_timeout_us;    /**< time without a heartbeat of the owner before another claims */
  int64_t stagger_us;          /**< additional wait for each candidate of a higher rank */
  int64_t consent_interval_us; /**< interval between requests for consents */
} OwnerOptions;

typedef struct
{
  /** Appends a claim. FALSE: the claim is certainly not on the log. */
  gboolean (*claim) (void *ctx, uint32_t shard, uint64_t epoch, IdsId *id);
  /** Asks @p entry not to claim the shard for one lease time. */
  void (*request_consent) (
      void *ctx, const char *entry, uint32_t shard, uint64_t epoch, int64_t sent_us);
  /** This entry now owns the shard. @p is_first: the shard had no owner before. */
  void (*gained) (void *ctx, uint32_t shard, uint64_t epoch, gboolean is_first);
  /** No lease of an earlier owner can be live: tasks that no agent reported may be started. */
  void (*reconciled) (void *ctx, uint32_t shard);
  /** Another entry owns the shard: stop acting for it at once. */
  void (*lost) (void *ctx, uint32_t shard);
  void *ctx;
} OwnerEvents;

Owner *owner_new (const OwnerOptions *options, const OwnerEvents *events);
void owner_free (Owner *owner);

/** Records that a read sent at @p read_us reached the end of the log. */
void owner_log_read (Owner *owner, int64_t read_us);

/** Age of the view of the log; G_MAXINT64 before the first read. */
int64_t owner_view_age_us (const Owner *owner, int64_t now_us);

/** Must be called after records were folded or the fold was replaced. */
void owner_folded (Owner *owner, const Fold *fold, int64_t now_us);

/** Reports that the claim @p id will certainly never be on the log. */
void owner_not_appended (Owner *owner, IdsId id);

/** Performs the claims, takeovers and requests for consents that are due. */
void owner_tick (Owner *owner, const Fold *fold, const Members *members, int64_t now_us);

/**
 * Handles an owner's request for this entry's consent. Returns the time in microseconds for which
 * this entry does not claim the shard; 0: refused.
 */
int64_t owner_consent_requested (Owner *owner,
                                 const Fold *fold,
                                 const Wire__ConsentRequest *request,
                                 int64_t now_us);

/** Handles another entry's consent. */
void owner_consent_received (Owner *owner, const Fold *fold, const Wire__Consent *consent);

/** Whether leases of @p shard may be renewed and commands sent now. */
gboolean owner_may_renew (const Owner *owner, const Fold *fold, uint32_t shard, int64_t now_us);

/**
 * Latest time up to which it is certain that no other entry claimed @p shard: the time at which
 * the newest read of the log was sent, or now while all consents hold. A period that another
 * owner could have extended counts as over only when it ends before this time.
 */
int64_t
owner_exclusive_until_us (const Owner *owner, const Fold *fold, uint32_t shard, int64_t now_us);

/** Epoch under which this entry owns @p shard; 0: this entry is not the owner. */
uint64_t owner_epoch (const Owner *owner, uint32_t shard);

/** Ends all claims and renewals for good. */
void owner_leave (Owner *owner);

G_END_DECLS
