/**
 * @file agent_latency.h
 * Latency quantiles of the endpoint's recent answers, over a time window. Does no I/O.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define AGENT_LATENCY_SAMPLES 1024

/** Ring buffer of the last samples. */
typedef struct
{
  int64_t took_us[AGENT_LATENCY_SAMPLES];
  int64_t ended_us[AGENT_LATENCY_SAMPLES];
  uint64_t count; /**< samples added in total */
} AgentLatency;

typedef struct
{
  int64_t p50_us;
  int64_t p99_us;
  int64_t newest_us; /**< when the newest sample of the window was added; 0: the window is empty */
} AgentQuantiles;

void agent_latency_add (AgentLatency *latency, int64_t took_us, int64_t now_us);

/** Quantiles of the samples added within @p window_us before @p now_us. */
AgentQuantiles agent_latency_read (const AgentLatency *latency, int64_t window_us, int64_t now_us);

G_END_DECLS
