/**
 * @file filter.h
 * A Kalman filter over named states that come and go: means and all covariances. Pure.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct Filter Filter;

/** States of one filter; adding more fails. */
#define FILTER_STATES_MAX 256
/** Not a state. */
#define FILTER_NONE UINT32_MAX

/** A measured value depends on a state by this much. */
typedef struct
{
  uint32_t state;
  double weight;
} FilterTerm;

/** Makes a filter without states; free with filter_free(). */
Filter *filter_new (void);
/** NULL is allowed. */
void filter_free (Filter *filter);

/** Adds a state that depends on no other; #FILTER_NONE if there are too many. */
uint32_t filter_add (Filter *filter, double mean, double variance);
/** Forgets a state; its number may be given again. #FILTER_NONE is allowed. */
void filter_drop (Filter *filter, uint32_t state);

double filter_mean (const Filter *filter, uint32_t state);
double filter_covariance (const Filter *filter, uint32_t a, uint32_t b);

/** Keeps the mean of a state within bounds that it is known to have. */
void filter_clamp (Filter *filter, uint32_t state, double least, double most);

/** Adds to the variance of a state. */
void filter_drift (Filter *filter, uint32_t state, double variance);

/** Lets time pass: @p state grows by @p rate times @p slope, then @p slope shrinks to @p kept. */
void filter_advance (Filter *filter, uint32_t state, uint32_t slope, double rate, double kept);

/** Mean and variance of the sum of @p terms. */
double filter_sum (const Filter *filter, const FilterTerm *terms, uint32_t n_terms);
double filter_sum_variance (const Filter *filter, const FilterTerm *terms, uint32_t n_terms);

/** Takes in that the sum of @p terms is @p error above its mean; @p variance is all of the error's
 * own and must be positive. */
void filter_correct (
    Filter *filter, const FilterTerm *terms, uint32_t n_terms, double error, double variance);

G_END_DECLS
