/**
 * @file report_flow.h
 * When an agent's next report to the owner is due.
 * One report is under way at a time. Changes that the owner acts on are sent at once, others with
 * the next regular report. An owner that answers late gets fewer reports. Pure: no I/O, no clock.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  int64_t period_ms; /**< interval of regular reports */
  int64_t soon_ms;   /**< urgent changes within this time share one report */
} ReportFlowOptions;

typedef struct
{
  ReportFlowOptions options;
  int64_t gap_ms;    /**< least time between two reports, set by the owner */
  int64_t sent_us;   /**< when the newest report was sent; 0: none yet */
  int64_t urgent_us; /**< since when an urgent change has waited; 0: none waits */
  uint64_t version;  /**< version of the newest report */
  uint32_t n_unanswered;
} ReportFlow;

/** Longest wait for the answer of a report before the next one is sent, in periods. */
#define REPORT_FLOW_PERIODS_MAX 4

void report_flow_init (ReportFlow *flow, const ReportFlowOptions *options);

/** Notes a change that the owner acts on. */
void report_flow_urgent (ReportFlow *flow, int64_t now_us);

/** Notes that a report of @p version was sent. */
void report_flow_sent (ReportFlow *flow, uint64_t version, int64_t now_us);

/**
 * Handles an answer of the owner. It has applied reports up to version @p applied_version (0: it
 * needs a full report), and requires reports to be at least @p gap_ms apart.
 */
void report_flow_answered (ReportFlow *flow, uint64_t applied_version, uint32_t gap_ms);

/** Handles the first message of a new owner, to which no report is under way. */
void report_flow_restart (ReportFlow *flow, int64_t now_us);

/** Interval of one agent's reports that an owner of @p n_agents with @p cpu_share of a core can
 * handle. */
uint32_t report_flow_gap_ms (uint32_t n_agents, double cpu_share);

/** When the next report is due, on the clock of the other functions. */
int64_t report_flow_due_us (const ReportFlow *flow);

G_END_DECLS
