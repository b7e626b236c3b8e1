/**
 * @file met.h
 * Counters, gauges and latency histograms, exported in the Prometheus text format.
 *
 * A process has one registry. Series are created at start-up or on first use and live as long as
 * the registry. An update is one atomic operation and may be made from any thread.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"

G_BEGIN_DECLS

typedef struct MetRegistry MetRegistry;
typedef struct MetSeries MetSeries;
typedef struct MetHistogram MetHistogram;

/** Creates an empty registry; free with met_free(). */
MetRegistry *met_new (void);

/** Frees @p registry with all its series. NULL is allowed. */
void met_free (MetRegistry *registry);

/**
 * Returns the counter @p name with the labels @p labels ("reason=\"x\"" or NULL) and creates it on
 * first use. The registry owns it.
 */
MetSeries *
met_counter (MetRegistry *registry, const char *name, const char *labels, const char *help);

/** Like met_counter(), for a value that may decrease. */
MetSeries *
met_gauge (MetRegistry *registry, const char *name, const char *labels, const char *help);

/** Adds @p n to a counter. */
void met_add (MetSeries *series, uint64_t n);

/** Sets a gauge. */
void met_set (MetSeries *series, int64_t value);

/** Returns the value of a counter or gauge. */
int64_t met_value (const MetSeries *series);

/** Adds @p n to the counter @p name with the label kind="NAME" of the error kind. */
void met_kind_add (MetRegistry *registry, const char *name, ErrKind kind, uint64_t n);

/** Returns a histogram of microseconds, created on first use. The registry owns it. */
MetHistogram *
met_histogram (MetRegistry *registry, const char *name, const char *labels, const char *help);

/** Records one value; negative values count as 0. */
void met_observe (MetHistogram *histogram, int64_t value_us);

/** Returns the quantile @p q in (0, 1] with at most 7 % error; 0 when empty. */
int64_t met_quantile (const MetHistogram *histogram, double q);

/** Returns the number of recorded values. */
uint64_t met_count (const MetHistogram *histogram);

/** Returns all series in the Prometheus text format; free with g_free(). */
char *met_render (MetRegistry *registry);

G_END_DECLS
