#include "agent/agent_lease.h"

#include "common/clk.h"

/** The margin is at most 1 / MARGIN_PARTS of a lease, so that renewals arrive before it starts. */
#define MARGIN_PARTS 4

typedef struct
{
  AgentLease lease; /**< end_us excludes the margin */
  uint64_t seq;     /**< number of the newest heartbeat answered within the epoch */
  gboolean is_live; /**< granted, and its expiry not yet returned */
} Row;

typedef struct
{
  uint64_t seq;
  int64_t sent_us;
} Sent;

struct AgentLeases
{
  int64_t margin_us;
  GArray *rows; /**< Row */
  Sent sent[AGENT_SENT_MAX];
  uint64_t newest_seq;
};

AgentLeases *
agent_leases_new (int64_t margin_ms)
{
  AgentLeases *leases = g_new0 (AgentLeases, 1);

  g_assert (margin_ms >= 0);
  leases->margin_us = margin_ms * CLK_US_PER_MS;
  leases->rows = g_array_new (FALSE, TRUE, sizeof (Row));
  return leases;
}

void
agent_leases_free (AgentLeases *leases)
{
  if (leases == NULL)
    return;
  g_array_unref (leases->rows);
  g_free (leases);
}

void
agent_leases_sent (AgentLeases *leases, uint64_t seq, int64_t now_us)
{
  g_assert (seq > leases->newest_seq);
  leases->newest_seq = seq;
  leases->sent[seq % AGENT_SENT_MAX] = (Sent){ seq, now_us };
}

static Row *
find_row (const AgentLeases *leases, uint32_t shard)
{
  for (guint i = 0; i < leases->rows->len; i++)
    {
      Row *row = &g_array_index (leases->rows, Row, i);
      if (row->lease.shard == shard)
        return row;
    }
  return NULL;
}

static Row *
add_row (AgentLeases *leases, uint32_t shard)
{
  Row row = { .lease = { .shard = shard } };

  g_array_append_val (leases->rows, row);
  return &g_array_index (leases->rows, Row, leases->rows->len - 1);
}

static gboolean
is_echo (const AgentLeases *leases, const AgentGrant *grant)
{
  const Sent *sent = &leases->sent[grant->seq % AGENT_SENT_MAX];

  return grant->seq != 0 && sent->seq == grant->seq && sent->sent_us == grant->sent_us;
}

AgentGrantResult
agent_leases_grant (AgentLeases *leases, const AgentGrant *grant, int64_t now_us)
{
  Row *row = find_row (leases, grant->shard);

  if (grant->lease_ms <= 0 || grant->lease_ms > AGENT_LEASE_MS_MAX || grant->epoch == 0
      || (row == NULL && leases->rows->len >= AGENT_SHARDS_MAX))
    return AGENT_GRANT_BAD;
  if (!is_echo (leases, grant))
    return AGENT_GRANT_UNKNOWN;
  g_assert (grant->sent_us <= now_us);
  if (row != NULL && grant->epoch < row->lease.epoch)
    return AGENT_GRANT_STALE_EPOCH;
  if (row != NULL && grant->epoch == row->lease.epoch && grant->seq <= row->seq)
    return AGENT_GRANT_OLD;
  if (row == NULL)
    row = add_row (leases, grant->shard);
  row->lease.epoch = grant->epoch;
  int64_t lease_us = grant->lease_ms * CLK_US_PER_MS;
  int64_t margin_us = MIN (leases->margin_us, lease_us / MARGIN_PARTS);
  row->lease.end_us = grant->sent_us + lease_us - margin_us;
  row->seq = grant->seq;
  row->is_live = TRUE;
  return AGENT_GRANT_APPLIED;
}

gboolean
agent_leases_check (const AgentLeases *leases,
                    uint32_t shard,
                    uint64_t epoch,
                    int64_t now_us,
                    int64_t *end_us,
                    ErrKind *kind)
{
  const Row *row = find_row (leases, shard);

  if (row != NULL && epoch < row->lease.epoch)
    {
      *kind = ERR_STALE_EPOCH;
      return FALSE;
    }
  if (row == NULL || epoch != row->lease.epoch || now_us >= row->lease.end_us)
    {
      *kind = ERR_NO_LEASE;
      return FALSE;
    }
  *end_us = row->lease.end_us;
  return TRUE;
}

uint64_t
agent_leases_epoch (const AgentLeases *leases, uint32_t shard)
{
  const Row *row = find_row (leases, shard);

  return row != NULL ? row->lease.epoch : 0;
}

gboolean
agent_leases_pop_expired (AgentLeases *leases, int64_t now_us, uint32_t *shard)
{
  for (guint i = 0; i < leases->rows->len; i++)
    {
      Row *row = &g_array_index (leases->rows, Row, i);
      if (!row->is_live || now_us < row->lease.end_us)
        continue;
      row->is_live = FALSE;
      *shard = row->lease.shard;
      return TRUE;
    }
  return FALSE;
}

uint32_t
agent_leases_count (const AgentLeases *leases)
{
  return leases->rows->len;
}

AgentLease
agent_leases_at (const AgentLeases *leases, uint32_t index)
{
  g_assert (index < leases->rows->len);
  return g_array_index (leases->rows, Row, index).lease;
}
