#include "entry/budget.h"

#define HUNDREDTHS INT64_C (100)

void
budget_set (Budget *budget, int64_t percent, int64_t saved_retries_max)
{
  budget->percent = percent;
  budget->held_max = saved_retries_max * HUNDREDTHS;
  budget->earned = MIN (budget->earned, budget->held_max);
}

void
budget_first (Budget *budget)
{
  budget->earned = MIN (budget->earned + budget->percent, budget->held_max);
}

gboolean
budget_spend (Budget *budget)
{
  if (budget->earned < HUNDREDTHS)
    return FALSE;
  budget->earned -= HUNDREDTHS;
  return TRUE;
}
