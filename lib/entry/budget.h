/**
 * @file budget.h
 * Retry budget: limits retries to a percentage of first attempts, so that retries do not amplify
 * an overload.
 *
 * Each first attempt adds a fraction of a retry to the budget, and each retry takes one from it.
 * The budget starts empty, so the limit holds at any time.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Embedded by its user; all zero is an empty budget. */
typedef struct
{
  int64_t percent;    /**< retries allowed per 100 first attempts */
  int64_t unused;     /**< unused budget in hundredths of a retry */
  int64_t unused_max; /**< upper bound of the unused budget, in hundredths of a retry */
} Budget;

/** Sets the percentage; the unused budget is kept up to the new bound. */
void budget_set (Budget *budget, int64_t percent, int64_t saved_retries_max);

/** Counts a first attempt. */
void budget_first (Budget *budget);

/** Takes one retry from the budget; FALSE when less than one is left. */
gboolean budget_spend (Budget *budget);

G_END_DECLS
