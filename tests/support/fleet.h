/**
 * @file fleet.h
 * An emulator of workers and callers for the job scheduler. It measures the value that callers get
 * under a load.
 *
 * Tasks take time, serving tasks have an oscillating load and a tail latency that grows with the
 * tasks beside them, and reports arrive as agents send them. The scheduler is the real one. Time is
 * simulated, so a minute of hundreds of workers takes about a second, and a seed always gives the
 * same result.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Jobs of one kind; sizes are drawn from lognormal distributions. */
typedef struct
{
  const char *name;
  uint32_t priority;
  uint32_t attempts_max;
  double stretch; /**< objective: stretch * duration of the chain of steps + target_ms */
  int64_t target_ms;
  double per_s;        /**< arrivals per second */
  uint32_t n_at_start; /**< jobs that exist from the start */
  double steps;        /**< mean number of steps of a job */
  double width;        /**< mean number of tasks of a step */
  double width_spread; /**< standard deviation of its logarithm */
  double width_max;
  double cpu_m;
  double cpu_spread;
  double mem_mb;
  double work_ms; /**< mean duration of a task on idle processors; of a serving one: of its start */
  double work_spread;
  double work_max_ms;
  double fail_share; /**< share of runs that fail */
  uint32_t n_images;
  gboolean is_best_effort;
  gboolean has_checkpoints;
  gboolean is_continuous;
} FleetKind;

typedef enum
{
  FLEET_SHORT, /**< steps of short tasks with reserved processors */
  FLEET_HEAVY, /**< wide steps of best-effort tasks */
  FLEET_SERVING,
  FLEET_KINDS,
} FleetKindIndex;

typedef struct
{
  uint32_t n_workers;
  double cpu_m; /**< capacity of two workers in three; the third one has 1.5 times as much */
  double mem_mb;
  uint32_t per_rack;
  FleetKind kinds[FLEET_KINDS];
  double target_headroom; /**< headroom of a serving task without load */
  double load;            /**< mean of a serving task's load */
  double swing;           /**< amplitude of the load, as a share of it */
  double swing_s;
  double impact;        /**< median impact of a pair of images, see batch/interference.h */
  double impact_spread; /**< standard deviation of its logarithm */
  double light_share;   /**< share of the best-effort images that have almost no impact */
  double phase_s;       /**< best-effort tasks change between two phases; 0: they have one phase */
  double phase_use;     /**< share of processors in use in the light phase */
  double phase_impact;  /**< impact in that phase, as a share of the full one */
  double spike_load;    /**< additional load of a replica in a burst */
  double spike_share;   /**< share of the time in bursts */
  double spike_s;       /**< length of a burst */
  gboolean is_load_shared;    /**< the loads of all replicas of a job have the same phase */
  gboolean reserves_gaps;     /**< the scheduler keeps a worker for a large task that waits */
  gboolean are_impacts_known; /**< the scheduler knows all impacts from the start */
  int64_t length_ms;   /**< time of arrivals; the emulation continues for a fixed time after it */
  int64_t burst_at_ms; /**< start of a burst of the heavy kind */
  int64_t burst_ms;
  double burst_factor;
  uint32_t seed;
} FleetOptions;

/** Classes of the jobs of one kind by work. */
typedef enum
{
  FLEET_SIZE_LARGEST, /**< the largest tenth */
  FLEET_SIZE_LARGE,   /**< the next largest fifth */
  FLEET_SIZE_REST,
  FLEET_SIZES,
} FleetSize;

typedef struct
{
  uint32_t n_jobs;
  uint32_t n_served; /**< within three times the objective */
} FleetSizeResult;

typedef struct
{
  uint32_t n_jobs;
  uint32_t n_in_time;
  uint32_t n_late; /**< within three times the objective */
  FleetSizeResult sizes[FLEET_SIZES];
  double
      value_owed; /**< value of all jobs to their callers, in jobs with the mean work of the kind */
  double value_earned; /**< value of those in time, and a share of that of late ones */
} FleetKindResult;

typedef struct
{
  FleetKindResult kinds[FLEET_KINDS]; /**< serving jobs: one sample every two seconds */
  double serving_value;  /**< mean over those samples: share of tasks that run, less four times the
                            share that interference puts over the target */
  double interference_s; /**< task seconds over the target because of best-effort tasks */
  double wasted_core_s;  /**< work that was lost */
  uint32_t n_starts;
  uint32_t n_stops;
  uint32_t n_throttles;
  uint32_t n_ticks;
  int64_t decide_us;     /**< CPU time of the calls of the scheduler */
  int64_t tick_worst_us; /**< largest CPU time of one tick */
} FleetResult;

/** Sets the options of a fleet like the users' large installation; @p n_workers scales the
 * arrivals. */
void fleet_options_large (FleetOptions *options, uint32_t n_workers);

/** Sets the options of a small fleet of large workers. */
void fleet_options_small (FleetOptions *options);

/** Sets the options of the small fleet with light and heavy images, best-effort tasks in two
 * phases, and bursts of single replicas. */
void fleet_options_two_classes (FleetOptions *options);

/** Sets the options of a fleet like the small one with two classes of images, whose serving tasks
 * reserve nearly all processors and whose best-effort work exceeds what they leave; @p n_workers
 * scales the arrivals. */
void fleet_options_crowded (FleetOptions *options, uint32_t n_workers);

/** Sets the options of a fleet like the crowded one, of smaller workers, where one run in twenty
 * fails and best-effort work exceeds several times what serving tasks leave. */
void fleet_options_overloaded (FleetOptions *options, uint32_t n_workers);

/** Runs one emulation. */
void fleet_simulate (const FleetOptions *options, FleetResult *result);

/** Share of the jobs of a size class that are served, relative to the share of all jobs of the
 * kind; 1 if no job is served. */
double fleet_size_ratio (const FleetKindResult *kind, FleetSize size);

/** Weighted share of the possible value that callers got: 1 for a job in time, 0.15 for a late one;
 * serving jobs count with serving_value. */
double fleet_value (const FleetResult *result, const double weights[FLEET_KINDS]);

G_END_DECLS
