#include "agent/agent_refusals.h"

typedef struct
{
  IdsId id;
  uint32_t attempt;
} Refusal;

struct AgentRefusals
{
  uint32_t max;
  uint32_t next;   /**< index of the slot to write next */
  Refusal *ring;   /**< max slots */
  GHashTable *set; /**< set of Refusal, which point into ring */
};

static guint
refusal_hash (gconstpointer key)
{
  const Refusal *refusal = key;

  return (guint) (refusal->id.low ^ refusal->id.low >> 32) + refusal->attempt;
}

static gboolean
refusal_equal (gconstpointer a, gconstpointer b)
{
  const Refusal *left = a;
  const Refusal *right = b;

  return ids_equal (left->id, right->id) && left->attempt == right->attempt;
}

AgentRefusals *
agent_refusals_new (uint32_t max)
{
  AgentRefusals *refusals = g_new0 (AgentRefusals, 1);

  g_assert (max > 0);
  refusals->max = max;
  refusals->ring = g_new0 (Refusal, max);
  refusals->set = g_hash_table_new (refusal_hash, refusal_equal);
  return refusals;
}

void
agent_refusals_free (AgentRefusals *refusals)
{
  if (refusals == NULL)
    return;
  g_hash_table_unref (refusals->set);
  g_free (refusals->ring);
  g_free (refusals);
}

void
agent_refusals_add (AgentRefusals *refusals, IdsId id, uint32_t attempt)
{
  Refusal *slot = &refusals->ring[refusals->next];

  if (agent_refusals_has (refusals, id, attempt))
    return;
  if (g_hash_table_size (refusals->set) == refusals->max)
    g_hash_table_remove (refusals->set, slot);
  *slot = (Refusal){ id, attempt };
  g_hash_table_add (refusals->set, slot);
  refusals->next = (refusals->next + 1) % refusals->max;
}

gboolean
agent_refusals_has (const AgentRefusals *refusals, IdsId id, uint32_t attempt)
{
  Refusal refusal = { id, attempt };

  return g_hash_table_contains (refusals->set, &refusal);
}
