/**
 * @file agent_lease.h
 * Leases of the agent, one per shard of tasks, on the agent's own clock.
 *
 * A lease counts from the time at which the agent sent the heartbeat that the answer echoes, so an
 * answer from an owner that was paused has expired on arrival. Epochs of a shard only increase.
 * Does no I/O; time is passed in, from a clock that continues during a system suspend.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"

G_BEGIN_DECLS

#define AGENT_SHARDS_MAX 4096
/** Number of recent heartbeats whose answers are accepted. */
#define AGENT_SENT_MAX 256
#define AGENT_LEASE_MS_MAX (INT64_C (3600) * 1000)

typedef struct AgentLeases AgentLeases;

/** Lease that a shard's owner grants in its answer to a heartbeat. */
typedef struct
{
  uint32_t shard;
  uint64_t epoch;
  uint64_t seq;    /**< number of the echoed heartbeat */
  int64_t sent_us; /**< send time of the echoed heartbeat */
  int64_t lease_ms;
} AgentGrant;

typedef enum
{
  AGENT_GRANT_APPLIED,
  AGENT_GRANT_OLD,         /**< a newer heartbeat, or this one, was answered before: no change */
  AGENT_GRANT_STALE_EPOCH, /**< from an owner that has been superseded */
  AGENT_GRANT_UNKNOWN,     /**< echoes no recent heartbeat */
  AGENT_GRANT_BAD,         /**< a shard, epoch or duration out of range */
} AgentGrantResult;

/** Lease of one shard. */
typedef struct
{
  uint32_t shard;
  uint64_t epoch;
  int64_t end_us;
} AgentLease;

/**
 * Creates the table. Leases end @p margin_ms early (at most a quarter of the lease), which leaves
 * time to checkpoint and stop tasks.
 */
AgentLeases *agent_leases_new (int64_t margin_ms);
void agent_leases_free (AgentLeases *leases);

/** Records that heartbeat @p seq was sent at @p now_us; @p seq increases with each call. */
void agent_leases_sent (AgentLeases *leases, uint64_t seq, int64_t now_us);

AgentGrantResult agent_leases_grant (AgentLeases *leases, const AgentGrant *grant, int64_t now_us);

/**
 * Whether a task of @p shard may start under @p epoch at @p now_us. Sets @p end_us to the end of
 * the lease less the margin, or @p kind to #ERR_STALE_EPOCH or #ERR_NO_LEASE.
 */
gboolean agent_leases_check (const AgentLeases *leases,
                             uint32_t shard,
                             uint64_t epoch,
                             int64_t now_us,
                             int64_t *end_us,
                             ErrKind *kind);

/** Newest epoch of @p shard; 0 for none. */
uint64_t agent_leases_epoch (const AgentLeases *leases, uint32_t shard);

/** Returns in @p shard, once per expiry, a shard whose lease expired; FALSE when there is none. */
gboolean agent_leases_pop_expired (AgentLeases *leases, int64_t now_us, uint32_t *shard);

/** Number of shards, and the one at @p index. */
uint32_t agent_leases_count (const AgentLeases *leases);
AgentLease agent_leases_at (const AgentLeases *leases, uint32_t index);

G_END_DECLS
