#include "batch/filter.h"

#include <string.h>

/** Initial capacity in states. */
#define CAPACITY_FIRST 8
/** Floor of a variance, so that rounding errors do not make it zero or negative. */
#define VARIANCE_LEAST 1e-9

struct Filter
{
  uint32_t n_states; /**< slots in use, including those of dropped states */
  uint32_t capacity; /**< rows and columns of the covariance matrix */
  gboolean *is_used;
  double *means;
  double *covariances; /**< capacity x capacity, symmetric */
};

Filter *
filter_new (void)
{
  return g_new0 (Filter, 1);
}

void
filter_free (Filter *filter)
{
  if (filter == NULL)
    return;
  g_free (filter->is_used);
  g_free (filter->means);
  g_free (filter->covariances);
  g_free (filter);
}

static double *
row_of (const Filter *filter, uint32_t state)
{
  return filter->covariances + (size_t) state * filter->capacity;
}

static void
grow (Filter *filter)
{
  uint32_t capacity = MAX (filter->capacity * 2, CAPACITY_FIRST);
  double *covariances = g_new0 (double, (size_t) capacity *capacity);

  for (uint32_t i = 0; i < filter->n_states; i++)
    memcpy (covariances + (size_t) i * capacity, row_of (filter, i),
            filter->n_states * sizeof *covariances);
  g_free (filter->covariances);
  filter->covariances = covariances;
  filter->means = g_renew (double, filter->means, capacity);
  filter->is_used = g_renew (gboolean, filter->is_used, capacity);
  filter->capacity = capacity;
}

static uint32_t
free_slot (Filter *filter)
{
  for (uint32_t i = 0; i < filter->n_states; i++)
    {
      if (!filter->is_used[i])
        return i;
    }
  if (filter->n_states == FILTER_STATES_MAX)
    return FILTER_NONE;
  if (filter->n_states == filter->capacity)
    grow (filter);
  return filter->n_states++;
}

static void
clear_covariances (Filter *filter, uint32_t state)
{
  for (uint32_t i = 0; i < filter->n_states; i++)
    {
      row_of (filter, state)[i] = 0;
      row_of (filter, i)[state] = 0;
    }
}

uint32_t
filter_add (Filter *filter, double mean, double variance)
{
  uint32_t state = free_slot (filter);

  if (state == FILTER_NONE)
    return FILTER_NONE;
  clear_covariances (filter, state);
  filter->is_used[state] = TRUE;
  filter->means[state] = mean;
  row_of (filter, state)[state] = variance;
  return state;
}

void
filter_drop (Filter *filter, uint32_t state)
{
  if (state == FILTER_NONE)
    return;
  g_assert (state < filter->n_states);
  clear_covariances (filter, state);
  filter->is_used[state] = FALSE;
  filter->means[state] = 0;
}

double
filter_mean (const Filter *filter, uint32_t state)
{
  return filter->means[state];
}

double
filter_covariance (const Filter *filter, uint32_t a, uint32_t b)
{
  return row_of (filter, a)[b];
}

void
filter_clamp (Filter *filter, uint32_t state, double least, double most)
{
  filter->means[state] = CLAMP (filter->means[state], least, most);
}

void
filter_drift (Filter *filter, uint32_t state, double variance)
{
  row_of (filter, state)[state] += variance;
}

void
filter_advance (Filter *filter, uint32_t state, uint32_t slope, double rate, double kept)
{
  filter->means[state] += rate * filter->means[slope];
  filter->means[slope] *= kept;
  for (uint32_t i = 0; i < filter->n_states; i++)
    row_of (filter, state)[i] += rate * row_of (filter, slope)[i];
  for (uint32_t i = 0; i < filter->n_states; i++)
    row_of (filter, i)[state] += rate * row_of (filter, i)[slope];
  for (uint32_t i = 0; i < filter->n_states; i++)
    row_of (filter, slope)[i] *= kept;
  for (uint32_t i = 0; i < filter->n_states; i++)
    row_of (filter, i)[slope] *= kept;
}

double
filter_sum (const Filter *filter, const FilterTerm *terms, uint32_t n_terms)
{
  double sum = 0;

  for (uint32_t i = 0; i < n_terms; i++)
    sum += terms[i].weight * filter->means[terms[i].state];
  return sum;
}

/* Covariance of a state with the weighted sum of the terms. */
static double
covariance_with (const Filter *filter, uint32_t state, const FilterTerm *terms, uint32_t n_terms)
{
  const double *row = row_of (filter, state);
  double sum = 0;

  for (uint32_t i = 0; i < n_terms; i++)
    sum += terms[i].weight * row[terms[i].state];
  return sum;
}

double
filter_sum_variance (const Filter *filter, const FilterTerm *terms, uint32_t n_terms)
{
  double sum = 0;

  for (uint32_t i = 0; i < n_terms; i++)
    sum += terms[i].weight * covariance_with (filter, terms[i].state, terms, n_terms);
  return MAX (sum, 0.0);
}

void
filter_correct (
    Filter *filter, const FilterTerm *terms, uint32_t n_terms, double error, double variance)
{
  double covariances[FILTER_STATES_MAX];
  double whole = filter_sum_variance (filter, terms, n_terms) + variance;

  for (uint32_t i = 0; i < filter->n_states; i++)
    covariances[i] = covariance_with (filter, i, terms, n_terms);
  for (uint32_t i = 0; i < filter->n_states; i++)
    {
      double gain = covariances[i] / whole;
      double *row = row_of (filter, i);
      if (gain == 0)
        continue;
      filter->means[i] += gain * error;
      for (uint32_t k = 0; k < filter->n_states; k++)
        row[k] -= gain * covariances[k];
      row[i] = MAX (row[i], VARIANCE_LEAST);
    }
}
