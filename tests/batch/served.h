/**
 * @file served.h
 * Counts the loads on which a fleet that cannot serve all jobs serves those of one size too rarely.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "support/fleet.h"

/** The seeds that are played; the environment may set others. */
#define SERVED_FIRST_SEED 1
#define SERVED_SEEDS 4
/** The users' floor: the largest tenth of the jobs of a kind, and the next largest fifth, are
 * served this often, relative to all jobs of the kind. */
#define SERVED_RATIO_MIN 0.5

static inline uint32_t
served_setting (const char *name, uint32_t otherwise)
{
  const char *text = g_getenv (name);

  return text != NULL ? (uint32_t) g_ascii_strtoull (text, NULL, 10) : otherwise;
}

static inline uint32_t
served_count_short (const char *load, const FleetOptions *options, FleetSize size)
{
  static const char *const kinds[] = { "short", "heavy" };
  FleetResult result;
  uint32_t count = 0;

  fleet_simulate (options, &result);
  assert_true (result.kinds[FLEET_HEAVY].sizes[size].n_jobs > 0);
  for (uint32_t i = FLEET_SHORT; i <= FLEET_HEAVY; i++)
    {
      const FleetKindResult *kind = &result.kinds[i];
      double ratio = fleet_size_ratio (kind, size);
      if (ratio >= SERVED_RATIO_MIN)
        continue;
      print_message ("%s, seed %u: %u of %u %s jobs served, %.2f of the share of all sizes\n", load,
                     options->seed, kind->sizes[size].n_served, kind->sizes[size].n_jobs, kinds[i],
                     ratio);
      count++;
    }
  return count;
}

/* Plays the seeds of a load, whose options @p set sets. */
static inline void
served_check (const char *load,
              void (*set) (FleetOptions *options, uint32_t n_workers),
              uint32_t n_workers,
              FleetSize size)
{
  uint32_t first = served_setting ("SERVED_FIRST_SEED", SERVED_FIRST_SEED);
  uint32_t n_seeds = served_setting ("SERVED_SEEDS", SERVED_SEEDS);
  uint32_t n_short = 0;

  for (uint32_t i = 0; i < n_seeds; i++)
    {
      FleetOptions options;
      set (&options, n_workers);
      options.seed = first + i;
      n_short += served_count_short (load, &options, size);
    }
  assert_int_equal (n_short, 0);
}

static inline void
served_check_crowded (FleetSize size)
{
  served_check ("crowded", fleet_options_crowded, 57, size);
}

static inline void
served_check_overloaded (FleetSize size)
{
  served_check ("overloaded", fleet_options_overloaded, 67, size);
}
