#include "entry/route.h"

#include <string.h>

#include "common/clk.h"

/** Consecutive failures after which an endpoint is avoided, and for how long. */
#define FAILURES_TO_AVOID 3
#define AVOID_US (2 * CLK_US_PER_S)

/* Tiers of candidates; the lowest tier that is not empty is used. */
enum
{
  TIER_NEAR_SLOT,
  TIER_FAR_SLOT,
  TIER_NEAR_QUEUE,
  TIER_FAR_QUEUE,
  TIER_TRIED,
  TIER_COUNT,
};

uint32_t
route_load (const MembersEndpoint *endpoint)
{
  uint32_t reported = endpoint->running + endpoint->queued + endpoint->sent_since_report;

  return MAX (reported, endpoint->outstanding);
}

static gboolean
is_usable (const Members *members, const MembersEndpoint *endpoint, int64_t now_us)
{
  const MembersAgent *agent = endpoint->agent;

  return endpoint->is_listed && endpoint->healthy && !agent->leaving
         && members_is_live (members, agent->last_received_us, now_us)
         && now_us >= endpoint->avoid_until_us;
}

static gboolean
was_tried (const RouteRequest *ask, const char *agent)
{
  for (uint32_t i = 0; i < ask->n_tried; i++)
    {
      if (strcmp (ask->tried[i], agent) == 0)
        return TRUE;
    }
  return FALSE;
}

static int
tier_of (const MembersEndpoint *endpoint, const RouteRequest *ask)
{
  gboolean is_near = g_strcmp0 (endpoint->agent->data_centre, ask->data_centre) == 0;
  gboolean has_slot = route_load (endpoint) < endpoint->slots;

  if (was_tried (ask, endpoint->agent->name))
    return TIER_TRIED;
  if (has_slot)
    return is_near ? TIER_NEAR_SLOT : TIER_FAR_SLOT;
  return is_near ? TIER_NEAR_QUEUE : TIER_FAR_QUEUE;
}

static int64_t
expected_us (const MembersEndpoint *endpoint)
{
  int64_t load = route_load (endpoint);
  int64_t slots = MAX (endpoint->slots, 1);
  int64_t ahead = MAX (load - slots + 1, 0);

  return endpoint->p50_us + endpoint->p50_us * ahead / slots;
}

/* Whether a is less loaded than b, relative to their slots. */
static gboolean
is_less_loaded (const MembersEndpoint *a, const MembersEndpoint *b)
{
  uint64_t load_a = (uint64_t) route_load (a) * MAX (b->slots, 1);
  uint64_t load_b = (uint64_t) route_load (b) * MAX (a->slots, 1);

  return load_a < load_b;
}

/* Reservoir sample of two endpoints of a tier. */
typedef struct
{
  MembersEndpoint *pair[2];
  gint32 seen;
} Reservoir;

static void
reservoir_add (Reservoir *reservoir, MembersEndpoint *endpoint, GRand *rand)
{
  if (reservoir->seen < 2)
    reservoir->pair[reservoir->seen] = endpoint;
  else
    {
      gint32 place = g_rand_int_range (rand, 0, reservoir->seen + 1);
      if (place < 2)
        reservoir->pair[place] = endpoint;
    }
  reservoir->seen++;
}

static RouteChoice
refusal (ErrKind kind, int64_t retry_after_ms)
{
  return (RouteChoice){ NULL, kind, MAX (retry_after_ms, err_row (kind)->retry_after_ms) };
}

static RouteChoice
choose_from_reservoir (const Reservoir *reservoir, const RouteRequest *ask)
{
  MembersEndpoint *best = reservoir->pair[0];

  if (reservoir->seen > 1 && is_less_loaded (reservoir->pair[1], best))
    best = reservoir->pair[1];
  int64_t expected = expected_us (best);
  if (expected > ask->budget_us)
    return refusal (ERR_DEADLINE, (expected - ask->budget_us) / CLK_US_PER_MS + 1);
  return (RouteChoice){ best, ERR_INTERNAL, 0 };
}

RouteChoice
route_choose (const Members *members, const RouteRequest *ask, GRand *rand, int64_t now_us)
{
  const GPtrArray *endpoints = members_endpoints (members, ask->service);
  Reservoir reservoirs[TIER_COUNT] = { 0 };
  gboolean any_usable = FALSE;

  if (ask->budget_us <= 0)
    return refusal (ERR_DEADLINE, 0);
  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      MembersEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      if (!is_usable (members, endpoint, now_us))
        continue;
      any_usable = TRUE;
      if (route_load (endpoint) < endpoint->connections)
        reservoir_add (&reservoirs[tier_of (endpoint, ask)], endpoint, rand);
    }
  for (int tier = 0; tier < TIER_COUNT; tier++)
    {
      if (reservoirs[tier].seen > 0)
        return choose_from_reservoir (&reservoirs[tier], ask);
    }
  return refusal (any_usable ? ERR_ALL_BUSY : ERR_NO_ENDPOINT, 0);
}

void
route_sent (MembersEndpoint *endpoint)
{
  endpoint->outstanding++;
  endpoint->sent_since_report++;
}

void
route_ended (Members *members,
             const char *agent_name,
             uint64_t incarnation,
             const char *service,
             RouteEnd end,
             int64_t now_us)
{
  MembersAgent *agent = members_agent (members, agent_name, incarnation);
  MembersEndpoint *endpoint = agent != NULL ? members_endpoint (agent, service) : NULL;

  if (endpoint == NULL)
    return;
  if (endpoint->outstanding > 0)
    endpoint->outstanding--;
  if (endpoint->sent_since_report > 0)
    endpoint->sent_since_report--;
  if (end == ROUTE_REFUSED_LEAVING)
    agent->leaving = TRUE;
  if (end == ROUTE_ANSWERED)
    endpoint->failures = 0;
  if (end != ROUTE_FAILED)
    return;
  endpoint->failures++;
  if (endpoint->failures >= FAILURES_TO_AVOID)
    endpoint->avoid_until_us = now_us + AVOID_US;
}
