/**
 * @file owner.h
 * Which shards of tasks this entry owns: claims, takeover, renewal of leases, consents.
 *
 * Pure: effects go through #OwnerEvents, time is passed in. Two owners never both let agents start
 * work, since
 *  - leases are renewed only while this entry's view of the log is at most fresh_us old, or while
 * it holds unexpired consents of every other entry that the log knows;
 *  - a claim needs a fresh view of the log, no consent given that still holds, no earlier claim
 *    whose end isn't known, and an own Entry record that is a lease time old;
 *  - an entry that the owner may not know of, and so would not ask, claims only outage_us after its
 * own Entry record, unless the log says that the owner is gone;
 *  - a new owner waits fresh + lease + drift from when it read its claim before it starts what may
 *    still run elsewhere;
 *  - it takes that wait, or the lapse of an agent's lease, as over only when it is certain that no
 *    third entry had claimed by then, who would have prolonged the agents' leases.
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
  int64_t outage_us;    /**< longest time for which consents stand in for the log */
  int64_t silence_us;   /**< of an owner, before another claims */
  int64_t stagger_us;   /**< later candidates wait this much longer each */
  int64_t ask_every_us; /**< between two requests for consents */
} OwnerOptions;

typedef struct
{
  /** Append a claim; FALSE: certainly not on the log. */
  gboolean (*claim) (void *ctx, uint32_t shard, uint64_t epoch, IdsId *id);
  /** Ask @p entry to claim nothing for a lease time. */
  void (*ask) (void *ctx, const char *entry, uint32_t shard, uint64_t epoch, int64_t sent_us);
  /** The shard is this entry's. @p is_first: it never had an owner. */
  void (*gained) (void *ctx, uint32_t shard, uint64_t epoch, gboolean is_first);
  /** What no agent reported may be started: no older lease can be live. */
  void (*settled) (void *ctx, uint32_t shard);
  /** Another entry owns it: stop at once. */
  void (*lost) (void *ctx, uint32_t shard);
  void *ctx;
} OwnerEvents;

Owner *owner_new (const OwnerOptions *options, const OwnerEvents *events);
void owner_free (Owner *owner);

/** The log was read to its end by a read that was sent at @p read_us. */
void owner_log_read (Owner *owner, int64_t read_us);

/** Age of the view of the log. */
int64_t owner_view_age_us (const Owner *owner, int64_t now_us);

/** After records were folded, or the fold was replaced. */
void owner_folded (Owner *owner, const Fold *fold, int64_t now_us);

/** A claim will certainly never be on the log. */
void owner_not_appended (Owner *owner, IdsId id);

/** Claims, takeovers, requests for consents. */
void owner_tick (Owner *owner, const Fold *fold, const Members *members, int64_t now_us);

/** Another owner asks to hold back; returns for how long, 0: refused. */
int64_t owner_consent_asked (Owner *owner,
                             const Fold *fold,
                             const Wire__ConsentRequest *request,
                             int64_t now_us);

/** Another entry's consent. */
void owner_consent (Owner *owner, const Fold *fold, const Wire__Consent *consent);

/** Whether leases of @p shard may be renewed and commands sent now. */
gboolean owner_may_renew (const Owner *owner, const Fold *fold, uint32_t shard, int64_t now_us);

/**
 * Latest time up to which it is certain that nobody else claimed @p shard: when the newest read of
 * the log was sent, or now while all consents hold. What other owners' leases could prolong is
 * taken as ended only when its end is before this time.
 */
int64_t owner_certain_us (const Owner *owner, const Fold *fold, uint32_t shard, int64_t now_us);

/** Epoch under which this entry owns @p shard; 0: it doesn't. */
uint64_t owner_epoch (const Owner *owner, uint32_t shard);

/** Claims nothing more and renews nothing more. */
void owner_leave (Owner *owner);

G_END_DECLS
