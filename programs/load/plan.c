#include "plan.h"

#include "common/clk.h"
#include "common/ids.h"

int64_t
plan_count (const LoadOptions *options)
{
  return options->rate_per_s * options->seconds;
}

int64_t
plan_due_us (const LoadOptions *options, int64_t index)
{
  return index * CLK_US_PER_S / options->rate_per_s;
}

LoadClass
plan_class (const LoadOptions *options, int64_t index)
{
  uint64_t hash = ids_hash (&index, sizeof index);
  int64_t first = (int64_t) (hash % LOAD_PERCENT_MAX);
  int64_t second = (int64_t) (hash / LOAD_PERCENT_MAX % LOAD_PERCENT_MAX);

  if (options->direct != NULL && first < options->direct_percent)
    return LOAD_DIRECT;
  return second < options->once_percent ? LOAD_ONCE : LOAD_REPEATABLE;
}
