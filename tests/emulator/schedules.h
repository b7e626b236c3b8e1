/**
 * @file schedules.h
 * Plays random schedules of the emulator and prints those in which a rule is broken.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "support/emulator.h"

#define SEEDS_DEFAULT 150
#ifndef FIRST_SEED_DEFAULT
#define FIRST_SEED_DEFAULT 1
#endif

static inline uint64_t
read_number (const char *name, uint64_t fallback)
{
  const char *text = g_getenv (name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : fallback;
}

/* Prints a schedule up to the last broken rule. */
static inline void
print_trace (const EmulatorResult *result)
{
  const char *last = g_strrstr (result->trace->str, " BROKEN ");
  size_t size = last != NULL ? (size_t) (strchr (last, '\n') - result->trace->str) : 0;

  printf ("%.*s\n", (int) size, result->trace->str);
}

/* Prints a failed schedule, with as few faults as it needs if EMULATOR_SHRINK is set. */
static inline void
print_failure (const EmulatorOptions *options, const EmulatorResult *result)
{
  if (g_getenv ("EMULATOR_SHRINK") != NULL)
    {
      EmulatorOptions smallest = emulator_shrink (options);
      g_autoptr (EmulatorResult) shrunk = emulator_play (&smallest);
      print_trace (shrunk);
      printf ("EMULATOR_SKIP=%" G_GUINT64_FORMAT "\n", smallest.skipped_faults);
    }
  else if (g_getenv ("EMULATOR_QUIET") == NULL)
    print_trace (result);
  printf ("seed %" G_GUINT64_FORMAT ":\n%s", options->seed, result->violations->str);
}

static inline gboolean
holds (uint64_t seed, const EmulatorOptions *wanted)
{
  EmulatorOptions options = emulator_options (seed);

  options.has_cut_leaves = wanted->has_cut_leaves;
  options.has_step_limits = wanted->has_step_limits;
  options.has_overlooked_starts = wanted->has_overlooked_starts;
  options.has_store_queue = wanted->has_store_queue;
  options.has_busy_topic = wanted->has_busy_topic;
  options.has_removed_queues = wanted->has_removed_queues;
  options.has_repeats = wanted->has_repeats;
  options.skipped_faults = read_number ("EMULATOR_SKIP", 0);
  g_autoptr (EmulatorResult) result = emulator_play (&options);
  if (result->violations->len > 0)
    print_failure (&options, result);
  return result->violations->len == 0;
}

static inline void
play_schedules (EmulatorOptions wanted)
{
  uint64_t first = read_number ("EMULATOR_FIRST_SEED", FIRST_SEED_DEFAULT);
  uint64_t n_seeds = read_number ("EMULATOR_SEEDS", SEEDS_DEFAULT);
  uint64_t n_broken = 0;
  int64_t begin_us = g_get_monotonic_time ();

  for (uint64_t i = 0; i < n_seeds; i++)
    n_broken += !holds (first + i, &wanted);
  printf ("%" G_GUINT64_FORMAT " schedules, %" G_GUINT64_FORMAT " broken, %.1f s\n", n_seeds,
          n_broken, (double) (g_get_monotonic_time () - begin_us) / G_USEC_PER_SEC);
  assert_int_equal (n_broken, 0);
}
