/**
 * @file clk.h
 * Monotonic and wall clocks. Leases and deadlines use a monotonic clock that keeps running while
 * the machine is suspended and that is never adjusted; wall time is used only in answers and log
 * records.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define CLK_US_PER_MS INT64_C (1000)
#define CLK_US_PER_S INT64_C (1000000)
#define CLK_MS_PER_S INT64_C (1000)

/** Returns monotonic microseconds since an arbitrary start, including time spent suspended. */
int64_t clk_now_us (void);

/** Returns wall time in milliseconds since 1970-01-01 UTC. */
int64_t clk_wall_ms (void);

G_END_DECLS
