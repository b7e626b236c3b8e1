/**
 * @file budget.h
 * Budget for retries: a share of first attempts, so that failure is not amplified.
 *
 * Each first attempt earns a share of a retry; a retry spends a whole one. It starts empty, so
 * retries are at most the share of the first attempts at any time.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Embedded by its user; zeroed is empty. */
typedef struct
{
  int64_t percent;  /**< retries allowed per hundred first attempts */
  int64_t earned;   /**< hundredths of a retry */
  int64_t held_max; /**< hundredths of a retry that may be saved up */
} Budget;

/** Sets the share; what was earned stays, up to the new bound. */
void budget_set (Budget *budget, int64_t percent, int64_t saved_retries_max);

/** Counts a first attempt. */
void budget_first (Budget *budget);

/** Spends one retry; FALSE when the budget does not hold it. */
gboolean budget_spend (Budget *budget);

G_END_DECLS
