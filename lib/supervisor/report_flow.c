#include "supervisor/report_flow.h"

#define US_PER_MS 1000
/** Reports per second that one core applies and answers besides the owner's other work. */
#define REPORTS_PER_CORE_PER_S 6000.0
#define MS_PER_S 1000.0
/** Lower bound of the CPU share; avoids a division by zero if the share is not known. */
#define CPU_SHARE_MIN 0.01

void
report_flow_init (ReportFlow *flow, const ReportFlowOptions *options)
{
  *flow = (ReportFlow){ .options = *options };
}

void
report_flow_urgent (ReportFlow *flow, int64_t now_us)
{
  if (flow->urgent_us == 0)
    flow->urgent_us = now_us;
}

void
report_flow_sent (ReportFlow *flow, uint64_t version, int64_t now_us)
{
  flow->sent_us = now_us;
  flow->version = version;
  flow->urgent_us = 0;
  flow->n_unanswered++;
}

void
report_flow_answered (ReportFlow *flow, uint64_t applied_version, uint32_t gap_ms)
{
  flow->gap_ms = gap_ms;
  if (applied_version == 0 || applied_version >= flow->version)
    flow->n_unanswered = 0;
}

void
report_flow_restart (ReportFlow *flow, int64_t now_us)
{
  flow->n_unanswered = 0;
  report_flow_urgent (flow, now_us);
}

uint32_t
report_flow_gap_ms (uint32_t n_agents, double cpu_share)
{
  return (uint32_t) ((double) n_agents * MS_PER_S
                     / (REPORTS_PER_CORE_PER_S * MAX (cpu_share, CPU_SHARE_MIN)));
}

int64_t
report_flow_due_us (const ReportFlow *flow)
{
  int64_t period_us = flow->options.period_ms * US_PER_MS;
  int64_t periods = CLAMP (flow->n_unanswered, 1, REPORT_FLOW_PERIODS_MAX);
  int64_t regular_us = flow->sent_us + period_us * periods;

  if (flow->n_unanswered > 0 || flow->urgent_us == 0)
    return regular_us;
  int64_t soon_us = flow->urgent_us + flow->options.soon_ms * US_PER_MS;
  return MIN (regular_us, MAX (soon_us, flow->sent_us + flow->gap_ms * US_PER_MS));
}
