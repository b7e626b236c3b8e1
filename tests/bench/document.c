#include "bench/fake.h"

const FakeKind fake_kinds[] = {
  { "none", { 0, 0, 0 }, 1, 0, 0 },
  { "render", { 2000, 4000, 0 }, 30000, 5000, 0.02 },
  { "noisy", { 3000, 4000, 0 }, 40000, 5000, 0.10 },
  { "accrual", { 1000, 2000, 0 }, 20000, 0, 0.01 },
  { "urgent", { 2000, 4000, 0 }, 10000, 0, 0.02 },
  { "bad", { 2000, 4000, 0 }, 30000, 5000, 0.02 },
};

double
fake_isolated_tail_us (double load)
{
  return 20000.0 * (1.0 + load * load);
}

static void
print_job (GString *text, const FakeKind *kind, const char *team, int tasks, const char *extra)
{
  g_string_append_printf (text,
                          "[job.%s]\nteam = \"%s\"\ntasks = %d\ncpu_milli = %d\nmemory_mb = %d\n"
                          "run_ms = %d\ncheckpoint_ms = %d\n%s",
                          kind->name, team, tasks, (int) kind->size.cpu_milli,
                          (int) kind->size.memory_mb, (int) kind->run_ms, (int) kind->checkpoint_ms,
                          extra);
}

char *
fake_document (const BenchCase *bench, const BenchDeployment *site, gboolean has_services)
{
  GString *text = g_string_new (NULL);
  int64_t quota = bench->has_quotas ? site->cpu_milli * 3 : 0;
  double target = bench->p99_limit * fake_isolated_tail_us (MAX (bench->load, bench->load_after));

  g_string_append_printf (text,
                          "[policy]\ntail_weight = %d\nbatch_weight = %d\neviction_weight = %d\n"
                          "[team.studio]\ncpu_milli = %d\n[team.nightly]\ncpu_milli = %d\n",
                          (int) site->tail_weight, (int) site->batch_weight,
                          (int) site->eviction_weight, (int) quota, (int) quota);
  if (has_services)
    g_string_append_printf (text,
                            "[service.mixdesk]\nteam = \"studio\"\ncpu_milli = %d\n"
                            "memory_mb = 8000\ntarget_p99_us = %d\n",
                            FAKE_SERVICE_CPU, (int) target);
  print_job (text, &fake_kinds[1], "studio", 8, "");
  print_job (text, &fake_kinds[2], bench->has_quotas ? "nightly" : "studio", 6, "");
  print_job (text, &fake_kinds[3], "nightly", 16, "");
  print_job (text, &fake_kinds[4], "studio", 1, "priority = \"urgent\"\n");
  print_job (text, &fake_kinds[5], "nightly", 4, "");
  g_string_append (text, "[job.huge]\ncpu_milli = 900000\n");
  return g_string_free (text, FALSE);
}
