/**
 * @file shard.h
 * One shard of tasks while this entry owns it: the core, what agents run, commands to them.
 *
 * Made when a claim of this entry was folded, freed when it is deposed. Pure: effects go through
 * #ShardOps, time is passed in.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "core/core.h"
#include "entry/members.h"
#include "entry/reports.h"
#include "state/fold.h"

G_BEGIN_DECLS

typedef struct Shard Shard;

typedef struct
{
  uint32_t shard;
  uint32_t shards;
  uint64_t epoch;
  uint64_t entry_incarnation;
  gboolean is_settled; /**< nothing can run that isn't reported: no predecessor's lease is live */
  int64_t lease_us;
  int64_t drift_us;
  int64_t wall_offset_ms; /**< wall time minus the clock of now_us */
  CoreOptions core;
} ShardOptions;

typedef struct
{
  /** FALSE: certainly nothing was sent. */
  gboolean (*command) (void *ctx, const char *agent, const Wire__TaskCommand *command);
  /** Queues a record; FALSE: certainly not on the log. */
  gboolean (*append) (void *ctx, const Record__Record *record, IdsId *id);
  /** Each decision, for counters and logs. */
  void (*decided) (void *ctx, const CoreCommand *command);
  void *ctx;
} ShardOps;

/** Takes in all jobs of the fold. @p document may be NULL. */
Shard *shard_new (const ShardOptions *options,
                  const ShardOps *ops,
                  const Fold *fold,
                  const DocDocument *document,
                  int64_t now_us);
void shard_free (Shard *shard);

void shard_set_document (Shard *shard, const DocDocument *document);

/** A job record or a cancellation was folded. */
void shard_job (Shard *shard, const Fold *fold, uint64_t job, int64_t now_us);

/**
 * An agent's heartbeat. @p granted: its answer renews the lease.
 */
void shard_announce (Shard *shard,
                     const Fold *fold,
                     const MembersAgent *agent,
                     const Wire__Announce *announce,
                     gboolean granted,
                     int64_t now_us);

/** One event that an agent sent between heartbeats. */
void shard_event (Shard *shard,
                  const Fold *fold,
                  const MembersAgent *agent,
                  const Wire__TaskStatus *status,
                  int64_t now_us);

/**
 * Whether the answer to @p agent may renew its lease. While the owner waits to settle, an agent
 * that has not registered with the epoch gets none, so that its leases end.
 */
gboolean shard_may_grant (const Shard *shard, const MembersAgent *agent);

/**
 * The predecessor's leases have lapsed: what nobody reported may start as soon as each agent that
 * got a lease from this owner has registered, or its lease has lapsed as well.
 */
void shard_settled (Shard *shard);

/**
 * Decides. @p may_command: leases are renewed, so that commands are allowed. @p certain_us: up to
 * when it is certain that no other entry owned the shard; a lease that ended later may have been
 * prolonged.
 */
void shard_tick (
    Shard *shard, const Members *members, gboolean may_command, int64_t certain_us, int64_t now_us);

/** After records were folded. */
void shard_folded (Shard *shard, const Fold *fold);

/** A record will certainly never be on the log. */
void shard_not_appended (Shard *shard, IdsId id);

const Core *shard_core (const Shard *shard);
const Reports *shard_reports (const Shard *shard);
uint64_t shard_epoch (const Shard *shard);

G_END_DECLS
