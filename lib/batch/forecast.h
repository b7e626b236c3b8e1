/**
 * @file forecast.h
 * Forecasts which jobs can meet their deadlines with the available processors.
 *
 * Under overload not all jobs can. The chosen ones are dispatched first, so that some of them meet
 * their deadlines instead of all jobs being started and all being late. Pure: reads and writes the
 * given array only.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  int64_t deadline_ms;
  int64_t chain_ms; /**< duration of the longest chain of remaining work */
  double work;      /**< remaining work, in core milliseconds */
  double value;     /**< value of meeting the deadline; any unit */
  gboolean is_chosen;
} ForecastJob;

/**
 * Sets is_chosen of @p jobs, which must be sorted by deadline, so that all chosen jobs meet their
 * deadlines when @p cores process them in that order. Where one would be late, the chosen job with
 * the least value per work is left out. This is the Moore-Hodgson rule with value per work in place
 * of work.
 */
void forecast_choose (ForecastJob *jobs, uint32_t n_jobs, double cores, int64_t now_ms);

G_END_DECLS
