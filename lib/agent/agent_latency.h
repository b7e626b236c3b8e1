/**
 * @file agent_latency.h
 * Quantiles of the last answers of the endpoint, over a window of time. Pure.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define AGENT_LATENCY_SAMPLES 1024

/** The last samples, in a ring. */
typedef struct
{
  int64_t took_us[AGENT_LATENCY_SAMPLES];
  int64_t ended_us[AGENT_LATENCY_SAMPLES];
  uint64_t count; /**< ever added */
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
