#include "entry/budget.h"

#define HUNDREDTHS INT64_C (100)

void
budget_set (Budget *budget, int64_t percent, int64_t saved_retries_max)
{
  budget->percent = percent;
  budget->unused_max = saved_retries_max * HUNDREDTHS;
  budget->unused = MIN (budget->unused, budget->unused_max);
}

void
budget_first (Budget *budget)
{
  budget->unused = MIN (budget->unused + budget->percent, budget->unused_max);
}

gboolean
budget_spend (Budget *budget)
{
  if (budget->unused < HUNDREDTHS)
    return FALSE;
  budget->unused -= HUNDREDTHS;
  return TRUE;
}
