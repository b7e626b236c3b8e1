/**
 * @file report_flow.h
 * When an agent's next report to the owner is due.
 *
 * One report is under way at a time. What the owner decides on goes out at once, the rest with the
 * next regular report, and an owner that answers late is sent less. Pure: no I/O, no clock.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  int64_t period_ms; /**< between regular reports */
  int64_t soon_ms;   /**< changes within this time go out in one report */
} ReportFlowOptions;

typedef struct
{
  ReportFlowOptions options;
  int64_t gap_ms;    /**< least time between two reports, as the owner told */
  int64_t sent_us;   /**< when the newest report was sent; 0: none was */
  int64_t urgent_us; /**< since when something waits that the owner decides on; 0: nothing does */
  uint64_t version;  /**< of the newest report */
  uint32_t n_unanswered;
} ReportFlow;

/** A report without an answer is followed by the next one after at most this many periods. */
#define REPORT_FLOW_PERIODS_MAX 4

void report_flow_init (ReportFlow *flow, const ReportFlowOptions *options);

/** Something changed that the owner decides on. */
void report_flow_urgent (ReportFlow *flow, int64_t now_us);

/** A report of @p version was sent. */
void report_flow_sent (ReportFlow *flow, uint64_t version, int64_t now_us);

/**
 * The owner wrote: it has applied reports up to @p taken, 0 if it needs a whole one, and wants
 * reports to be @p gap_ms apart.
 */
void report_flow_answered (ReportFlow *flow, uint64_t taken, uint32_t gap_ms);

/** Another owner wrote: nothing is under way to it. */
void report_flow_restart (ReportFlow *flow, int64_t now_us);

/** Time between reports of one agent that an owner of @p n_agents with a share of a core takes. */
uint32_t report_flow_gap_ms (uint32_t n_agents, double cpu_share);

/** When the next report is due, on the clock of the other calls. */
int64_t report_flow_due_us (const ReportFlow *flow);

G_END_DECLS
