/**
 * @file emulator.h
 * Emulator of a whole deployment in one process: entries with the scheduler, agents with the
 * supervisor, workers and the store. Time is simulated; a seed decides everything.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define EMULATOR_FAULTS_MAX 64

typedef struct
{
  uint64_t seed;
  uint32_t n_entries;
  uint32_t n_agents;
  int64_t trouble_ms;        /**< faults occur in this time */
  int64_t quiet_ms;          /**< time after it, in which all jobs must end */
  gboolean has_older_builds; /**< processes are rolled between the current and an older build */
  gboolean has_late_calls;   /**< calls without an answer may be carried out seconds later */
  gboolean has_cut_leaves;   /**< workers that leave live on for a while and refuse connections */
  gboolean has_step_limits;  /**< steps have limits of tasks on one worker */
  gboolean has_overlooked_starts; /**< some starts are executed and answered as not sent */
  gboolean has_store_queue;    /**< a slow store executes one append at a time, and refuses some */
  gboolean has_busy_topic;     /**< claims wait for other appends, and are made accordingly */
  gboolean has_removed_queues; /**< the operators remove the queue of open jobs, and add it again */
  gboolean has_repeats;        /**< most jobs repeat */
  uint64_t skipped_faults;     /**< bit i: fault i of the schedule is left out */
} EmulatorOptions;

typedef struct
{
  GString *violations; /**< a line each; empty if all rules held */
  GString *trace;
  uint32_t n_faults;
  uint32_t n_starts;
  uint32_t n_terms;
  uint64_t n_events;
} EmulatorResult;

/** Options of the schedule of @p seed. */
EmulatorOptions emulator_options (uint64_t seed);

/** Plays one schedule; free the result with emulator_result_free(). */
EmulatorResult *emulator_play (const EmulatorOptions *options);

void emulator_result_free (EmulatorResult *result);

/** Removes faults while a rule stays broken; returns the options of the smallest schedule found. */
EmulatorOptions emulator_shrink (const EmulatorOptions *options);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EmulatorResult, emulator_result_free)

G_END_DECLS
