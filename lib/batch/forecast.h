/**
 * @file forecast.h
 * Which jobs can be done in time with the processors there are.
 *
 * Under overload not all can. Those that are chosen go first, so that some are done in time, rather
 * than all begun and all late. Pure: arrays in, flags out.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  int64_t deadline_ms;
  int64_t chain_ms; /**< longest chain of work that is left */
  double work;      /**< what is left, in core milliseconds */
  double value;     /**< of being done in time; any unit */
  gboolean is_chosen;
} ForecastJob;

/**
 * Chooses among @p jobs, which are sorted by deadline, so that all that are chosen end by their
 * deadlines when @p cores work them off in that order. Where one would be late, the chosen job with
 * the least value for its work is left out (the rule of Moore and Hodgson, by value for work in
 * place of work).
 */
void forecast_choose (ForecastJob *jobs, uint32_t n_jobs, double cores, int64_t now_ms);

G_END_DECLS
