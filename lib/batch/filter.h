/**
 * @file filter.h
 * A Kalman filter whose states are added and removed while it runs. Keeps the means and the full
 * covariance matrix. Pure: no I/O, no clock.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct Filter Filter;

/** Largest number of states of one filter; filter_add() fails beyond it. */
#define FILTER_STATES_MAX 256
/** Stands for no state. */
#define FILTER_NONE UINT32_MAX

/** Weight of a state in a measured sum. */
typedef struct
{
  uint32_t state;
  double weight;
} FilterTerm;

/** Creates a filter without states; free with filter_free(). */
Filter *filter_new (void);
/** Frees a filter; NULL is allowed. */
void filter_free (Filter *filter);

/** Adds a state without covariance with any other. Returns its number, or #FILTER_NONE if there are
 * #FILTER_STATES_MAX already. */
uint32_t filter_add (Filter *filter, double mean, double variance);
/** Removes a state; a later filter_add() may reuse its number. #FILTER_NONE is allowed. */
void filter_drop (Filter *filter, uint32_t state);

double filter_mean (const Filter *filter, uint32_t state);
double filter_covariance (const Filter *filter, uint32_t a, uint32_t b);

/** Clamps the mean of a state to [@p least, @p most]. */
void filter_clamp (Filter *filter, uint32_t state, double least, double most);

/** Adds process noise of @p variance to a state. */
void filter_drift (Filter *filter, uint32_t state, double variance);

/** Predicts over a time step: adds @p rate times @p slope to @p state, then multiplies @p slope by
 * @p kept. */
void filter_advance (Filter *filter, uint32_t state, uint32_t slope, double rate, double kept);

/** Mean and variance of the weighted sum of @p terms. */
double filter_sum (const Filter *filter, const FilterTerm *terms, uint32_t n_terms);
double filter_sum_variance (const Filter *filter, const FilterTerm *terms, uint32_t n_terms);

/** Updates the filter with a measurement of the sum of @p terms: @p error is the measured value
 * less the predicted one, @p variance is the variance of the measurement noise and must be
 * positive. */
void filter_correct (
    Filter *filter, const FilterTerm *terms, uint32_t n_terms, double error, double variance);

G_END_DECLS
