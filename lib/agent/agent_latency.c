#include "agent/agent_latency.h"

#include <stdlib.h>

#define PERCENT 100

void
agent_latency_add (AgentLatency *latency, int64_t took_us, int64_t now_us)
{
  uint64_t slot = latency->count % AGENT_LATENCY_SAMPLES;

  latency->took_us[slot] = MAX (took_us, 0);
  latency->ended_us[slot] = now_us;
  latency->count++;
}

static int
compare (const void *a, const void *b)
{
  const int64_t *left = a;
  const int64_t *right = b;

  return (*left > *right) - (*left < *right);
}

AgentQuantiles
agent_latency_read (const AgentLatency *latency, int64_t window_us, int64_t now_us)
{
  int64_t sorted[AGENT_LATENCY_SAMPLES];
  uint64_t n_stored = MIN (latency->count, AGENT_LATENCY_SAMPLES);
  AgentQuantiles quantiles = { 0 };
  size_t n = 0;

  for (uint64_t i = 0; i < n_stored; i++)
    {
      if (now_us - latency->ended_us[i] > window_us)
        continue;
      sorted[n++] = latency->took_us[i];
      quantiles.newest_us = MAX (quantiles.newest_us, latency->ended_us[i]);
    }
  if (n == 0)
    return quantiles;
  qsort (sorted, n, sizeof (sorted[0]), compare);
  quantiles.p50_us = sorted[(n - 1) * 50 / PERCENT];
  quantiles.p99_us = sorted[(n - 1) * 99 / PERCENT];
  return quantiles;
}
