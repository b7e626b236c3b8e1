/**
 * @file roll.h
 * Rolls entries and agents one after the other from one build to another.
 *
 * All processes start on the older build and end on the newer one, or the other way round with
 * SoakOptions.is_back. A seed may take the roll back part-way and repeat it, and may hold it
 * half-way for a succession: entries of both builds own the jobs in turn while an agent is
 * suspended.
 */
#pragma once

#include "process.h"

G_BEGIN_DECLS

typedef struct Roll Roll;

typedef struct
{
  Soak *soak;
  const GPtrArray *entries; /**< Process */
  const GPtrArray *agents;  /**< Process */
} RollOptions;

/** Begins the roll; it draws from random numbers of its own. */
Roll *roll_new (const RollOptions *options);
/** Must not be called while the main loop runs. */
void roll_free (Roll *roll);

/** Restarts all processes that do not run the final build. */
void roll_finish (Roll *roll);
/** Logs each process that does not run the final build; returns how many there are. */
uint32_t roll_count_unfinished (const Roll *roll);

G_END_DECLS
