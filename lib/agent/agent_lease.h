/**
 * @file agent_lease.h
 * Leases of the agent, one for each shard of tasks, on the agent's own clock.
 *
 * A lease counts from when the agent sent the heartbeat that the answer echoes, so an answer from
 * an owner that was paused is stale on arrival. Epochs of a shard only grow. Pure: time is passed
 * in, from a clock that runs on through a suspend.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"

G_BEGIN_DECLS

#define AGENT_SHARDS_MAX 4096
/** Heartbeats whose answers are still taken. */
#define AGENT_SENT_MAX 256
#define AGENT_LEASE_MS_MAX (INT64_C (3600) * 1000)

typedef struct AgentLeases AgentLeases;

/** What an owner grants by answering a heartbeat. */
typedef struct
{
  uint32_t shard;
  uint64_t epoch;
  uint64_t seq;    /**< echo of the heartbeat's */
  int64_t sent_us; /**< echo of the heartbeat's */
  int64_t lease_ms;
} AgentGrant;

typedef enum
{
  AGENT_GRANT_APPLIED,
  AGENT_GRANT_OLD,         /**< answers a heartbeat older than one answered before: no change */
  AGENT_GRANT_STALE_EPOCH, /**< from an owner that another one has followed */
  AGENT_GRANT_UNKNOWN,     /**< answers no heartbeat that is remembered */
  AGENT_GRANT_BAD,         /**< a shard, epoch or duration out of range */
} AgentGrantResult;

/** One shard, for reading. */
typedef struct
{
  uint32_t shard;
  uint64_t epoch;
  int64_t end_us;
} AgentLease;

/**
 * Leases end @p margin_ms early, at most a quarter of the lease, which leaves time to checkpoint
 * and stop.
 */
AgentLeases *agent_leases_new (int64_t margin_ms);
void agent_leases_free (AgentLeases *leases);

/** Notes that heartbeat @p seq left at @p now_us; @p seq grows with each call. */
void agent_leases_sent (AgentLeases *leases, uint64_t seq, int64_t now_us);

AgentGrantResult agent_leases_grant (AgentLeases *leases, const AgentGrant *grant, int64_t now_us);

/**
 * Whether a start for @p shard under @p epoch may happen at @p now_us; sets @p end_us, which has
 * the margin taken off. FALSE with #ERR_STALE_EPOCH or #ERR_NO_LEASE in @p kind.
 */
gboolean agent_leases_check (const AgentLeases *leases,
                             uint32_t shard,
                             uint64_t epoch,
                             int64_t now_us,
                             int64_t *end_us,
                             ErrKind *kind);

/** Newest epoch taken for @p shard; 0 for none. */
uint64_t agent_leases_epoch (const AgentLeases *leases, uint32_t shard);

/** Takes one shard whose lease has lapsed since it was last live; FALSE when there is none. */
gboolean agent_leases_pop_expired (AgentLeases *leases, int64_t now_us, uint32_t *shard);

/** Number of shards, and the one at @p index. */
uint32_t agent_leases_count (const AgentLeases *leases);
AgentLease agent_leases_at (const AgentLeases *leases, uint32_t index);

G_END_DECLS
