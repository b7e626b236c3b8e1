#include "batch/forecast.h"

/** Floor of the divisor, in core milliseconds: leaving out a job with hardly any work gains
 * nothing.
 */
#define WORK_MIN 1.0

static double
value_for_work (const ForecastJob *job)
{
  return job->value / MAX (job->work, WORK_MIN);
}

/* The chosen job up to index @p last that has the least value per work, or NULL. */
static ForecastJob *
least_worth (ForecastJob *jobs, uint32_t last)
{
  ForecastJob *least = NULL;

  for (uint32_t i = 0; i <= last; i++)
    {
      if (jobs[i].is_chosen
          && (least == NULL || value_for_work (&jobs[i]) < value_for_work (least)))
        least = &jobs[i];
    }
  return least;
}

void
forecast_choose (ForecastJob *jobs, uint32_t n_jobs, double cores, int64_t now_ms)
{
  double sum = 0;

  for (uint32_t i = 0; i < n_jobs; i++)
    {
      jobs[i].is_chosen = now_ms + jobs[i].chain_ms <= jobs[i].deadline_ms;
      if (!jobs[i].is_chosen)
        continue;
      sum += jobs[i].work;
      double capacity = cores * (double) (jobs[i].deadline_ms - now_ms);
      while (sum > capacity)
        {
          ForecastJob *least = least_worth (jobs, i);
          if (least == NULL)
            break;
          least->is_chosen = FALSE;
          sum -= least->work;
        }
    }
}
