/**
 * @file shard.h
 * Scheduling of one shard of tasks that this entry owns: feeds the core with reports of agents and
 * sends the core's commands to them.
 *
 * Created when a claim of this entry was folded, freed when the entry is deposed. The module does
 * no I/O and reads no clock: effects go through #ShardOps, and the time is an argument.
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
  gboolean
      is_reconciled; /**< no lease of a predecessor is live, so every running task is reported */
  int64_t lease_us;
  int64_t drift_us;
  int64_t wall_offset_ms; /**< wall time minus the clock of now_us */
  CoreOptions core;
} ShardOptions;

typedef struct
{
  /** Sends a command. FALSE: certainly nothing was sent. */
  gboolean (*command) (void *ctx, const char *agent, const Wire__TaskCommand *command);
  /** Queues a record. FALSE: the record is certainly not on the log. */
  gboolean (*append) (void *ctx, const Record__Record *record, IdsId *id);
  /** Called for each decision, for counters and logs. */
  void (*decided) (void *ctx, const CoreCommand *command);
  void *ctx;
} ShardOps;

/** Creates the shard with all its jobs in the fold. @p document may be NULL. */
Shard *shard_new (const ShardOptions *options,
                  const ShardOps *ops,
                  const Fold *fold,
                  const DocDocument *document,
                  int64_t now_us);
void shard_free (Shard *shard);

void shard_set_document (Shard *shard, const DocDocument *document);

/** Handles a folded job record or cancellation. */
void shard_job (Shard *shard, const Fold *fold, uint64_t job, int64_t now_us);

/** Handles an agent's heartbeat. @p granted: the answer to it renews the lease. */
void shard_announce (Shard *shard,
                     const Fold *fold,
                     const MembersAgent *agent,
                     const Wire__Announce *announce,
                     gboolean granted,
                     int64_t now_us);

/** Handles a task event that an agent sent between heartbeats. */
void shard_event (Shard *shard,
                  const Fold *fold,
                  const MembersAgent *agent,
                  const Wire__TaskStatus *status,
                  int64_t now_us);

/**
 * Whether the answer to @p agent may renew its lease. During the reconciliation an agent that has
 * not registered with this owner's epoch gets no lease, so that its earlier leases expire.
 */
gboolean shard_may_grant (const Shard *shard, const MembersAgent *agent);

/**
 * Reports that the predecessor's leases have expired. Tasks that no agent reported may start as
 * soon as each agent with a lease of this owner has registered, or that lease has expired too.
 */
void shard_reconciled (Shard *shard);

/**
 * Runs the core and carries out its decisions. @p may_command: leases are being renewed, so
 * commands are allowed. @p certain_us: time up to which it is certain that no other entry owned
 * the shard; a lease that ended later may have been extended.
 */
void shard_tick (
    Shard *shard, const Members *members, gboolean may_command, int64_t certain_us, int64_t now_us);

/** Must be called after records were folded. */
void shard_folded (Shard *shard, const Fold *fold);

/** Reports that the record @p id will certainly never be on the log. */
void shard_not_appended (Shard *shard, IdsId id);

const Core *shard_core (const Shard *shard);
const Reports *shard_reports (const Shard *shard);
uint64_t shard_epoch (const Shard *shard);

G_END_DECLS
