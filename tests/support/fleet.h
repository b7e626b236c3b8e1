/**
 * @file fleet.h
 * An emulator of workers and callers for the scheduler of jobs: what callers get under a load.
 *
 * Tasks take time, serving tasks have a load that swings and a tail that tasks beside them press,
 * reports come as agents send them. The scheduler under test is the real one; time is a number, so
 * a minute of hundreds of workers takes about a second, and a seed always plays the same.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Jobs of one kind; sizes are drawn around their means. */
typedef struct
{
  const char *name;
  uint32_t priority;
  uint32_t attempts_max;
  double stretch; /**< objective: this many times the chain of work, and target_ms */
  int64_t target_ms;
  double per_s;        /**< arrivals */
  uint32_t n_at_start; /**< jobs that are there from the start */
  double steps;        /**< mean of a chain's steps */
  double width;        /**< mean of a step's tasks */
  double width_spread; /**< of their logarithm */
  double width_max;
  double cpu_m;
  double cpu_spread;
  double mem_mb;
  double work_ms; /**< mean of a task's time on free processors; of a serving one: of its start */
  double work_spread;
  double work_max_ms;
  double fail_share; /**< of runs */
  uint32_t n_images;
  gboolean fills;
  gboolean saves;
  gboolean lasts;
} FleetKind;

typedef enum
{
  FLEET_SHORT, /**< steps of short tasks with processors of their own */
  FLEET_HEAVY, /**< wide steps of tasks that fill */
  FLEET_SERVING,
  FLEET_KINDS,
} FleetKindIndex;

typedef struct
{
  uint32_t n_workers;
  double cpu_m; /**< of two workers of three; the third has half as much again */
  double mem_mb;
  uint32_t per_rack;
  FleetKind kinds[FLEET_KINDS];
  double target_headroom; /**< of a serving task without load */
  double load;            /**< mean of a serving task's load */
  double swing;           /**< of the load, as a share of it */
  double swing_s;
  double press;            /**< median take of a pair of images, see batch/interference.h */
  double press_spread;     /**< of its logarithm */
  double light_share;      /**< of the filling images, which take next to nothing */
  double phase_s;          /**< tasks that fill change between two phases; 0: they have one */
  double phase_use;        /**< processors in use in the lesser phase, as a share */
  double phase_press;      /**< take in that phase, as a share */
  double spike_load;       /**< own load of a replica in a burst */
  double spike_share;      /**< of the time */
  double spike_s;          /**< length of a burst */
  gboolean is_load_shared; /**< all replicas of a job have one phase */
  gboolean are_takes_told; /**< the scheduler knows all takes from the start */
  int64_t length_ms;       /**< arrivals; the play goes on for fleet's own while after it */
  int64_t burst_at_ms;     /**< of the heavy kind */
  int64_t burst_ms;
  double burst_x;
  uint32_t seed;
} FleetOptions;

typedef struct
{
  uint32_t n_jobs;
  uint32_t n_in_time;
  uint32_t n_late; /**< within three times the objective */
} FleetKindResult;

typedef struct
{
  FleetKindResult kinds[FLEET_KINDS]; /**< of serving jobs: every two seconds of each */
  double serving_worth; /**< mean over those: share at work, less four times the harmed */
  double harmed_s;      /**< task seconds over the target by what fills beside */
  double wasted_core_s; /**< work that was thrown away */
  uint32_t n_starts;
  uint32_t n_stops;
  uint32_t n_paces;
  uint32_t n_ticks;
  int64_t decide_us;     /**< processor time of the scheduler's calls */
  int64_t tick_worst_us; /**< of one tick */
} FleetResult;

/** A fleet such as the large one of the sheets; @p n_workers scales the arrivals. */
void fleet_options_large (FleetOptions *options, uint32_t n_workers);

/** A small fleet of large workers. */
void fleet_options_small (FleetOptions *options);

/** The small fleet with images of two sorts, tasks in two phases, and bursts of single replicas. */
void fleet_options_two_sorts (FleetOptions *options);

/** Plays one load. */
void fleet_play (const FleetOptions *options, FleetResult *result);

/** Share of what is owed that callers got: 1 in time, 0.15 late; serving jobs by what they are
 * worth. */
double fleet_worth (const FleetResult *result, const double weights[FLEET_KINDS]);

G_END_DECLS
