#include <stdio.h>
#include <string.h>

#include "bench/run.h"

int
main (int argc, char **argv)
{
  for (guint c = 0; c < n_bench_cases; c++)
    {
      BenchCase bench = bench_case (c);
      if (argc > 1 && strcmp (argv[1], bench.name) != 0)
        continue;
      for (guint d = 0; d < n_bench_deployments; d++)
        for (guint p = 0; p < n_run_policies; p++)
          {
            RunResult r;
            run_case (&bench, &bench_deployments[d], &run_policies[p], 1, &r);
            printf ("%-14s %-11s %-12s p99 %.3f p999 %.3f work %.0f dl %.2f ev %.0f lost %.0f urg "
                    "%.0f dec/s %.0f named %.0f bad %.0f bl %.0f gu %.0f over %.0f dbl %.0f early "
                    "%.0f st %.0f\n",
                    bench.name, bench_deployments[d].name, run_policies[p].name, r.p99_ratio,
                    r.p999_ratio, r.work_s, r.deadlines, r.evictions, r.lost_s, r.urgent_ms,
                    r.decisions_per_s, r.named_ms, r.bad_starts, r.blamed, r.given_up, r.over,
                    r.doubles, r.early_evictions, r.starts);
          }
    }
  return 0;
}
