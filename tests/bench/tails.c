#include "bench/fake.h"

#include <math.h>

#define FAKE_TAIL_FIRST_US 1000.0
#define FAKE_TAIL_STEP 1.015

void
fake_count_tail (FakeTails *tails, double p99_us, double weight)
{
  int bucket = (int) (log (p99_us / FAKE_TAIL_FIRST_US) / log (FAKE_TAIL_STEP));

  tails->weight[CLAMP (bucket, 0, FAKE_TAIL_BUCKETS - 1)] += weight;
}

/* Assumes that latencies are exponential with the p99 of each bucket, and finds the quantile of the
 * mix by bisection. */
double
fake_quantile_us (const FakeTails *tails, double q)
{
  double low = 0;
  double high = FAKE_TAIL_FIRST_US * pow (FAKE_TAIL_STEP, FAKE_TAIL_BUCKETS) * 4;

  for (int i = 0; i < 60; i++)
    {
      double middle = (low + high) / 2;
      double above = 0;
      double all = 0;
      for (int b = 0; b < FAKE_TAIL_BUCKETS; b++)
        {
          double p99_us = FAKE_TAIL_FIRST_US * pow (FAKE_TAIL_STEP, b + 0.5);
          if (tails->weight[b] <= 0)
            continue;
          above += tails->weight[b] * exp (log (0.01) * middle / p99_us);
          all += tails->weight[b];
        }
      if (all <= 0)
        return 0;
      if (above / all > 1 - q)
        low = middle;
      else
        high = middle;
    }
  return low;
}
