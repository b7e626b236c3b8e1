/**
 * @file fake_private.h
 * State of the simulated instances, private to fake.c (simulation) and fake_commands.c (commands).
 */
#pragma once

#include "bench/fake.h"

typedef enum
{
  FAKE_RUNNING,
  FAKE_STOPPING,
} FakeState;

/** One running attempt. */
typedef struct
{
  CoreTaskKey key;
  uint32_t attempt;
  uint32_t worker;
  FakeState state;
  CoreCommandType stop_with;
  int64_t due_ms; /**< end of the start or stop in progress */
  int64_t began_ms;
  double remaining_ms; /**< remaining run time at full speed */
  double checkpoint_remaining_ms;
  uint32_t throttle;
  DocSize reserved;
  gboolean is_running;
} FakeTask;

typedef struct
{
  char id[16];
  char rack[16];
  gboolean is_dead;
  int64_t lost_at_ms;
  int64_t next_report_ms;
  int64_t lag_ms;
  double p99_us;
} FakeWorker;

/** A report that is delivered at at_ms. */
typedef struct
{
  int64_t at_ms;
  CoreInput input;
} FakeReport;

struct Fake
{
  const BenchCase *bench;
  const BenchDeployment *deployment;
  GRand *rand;
  uint32_t seed;
  int64_t now_ms;
  FakeWorker workers[FAKE_WORKERS];
  GArray *tasks;            /**< FakeTask */
  GArray *reports;          /**< FakeReport */
  GHashTable *remaining;    /**< remaining run time (double) by task, of tasks that ran before */
  GArray *done;             /**< CoreTaskKey */
  double growth_factors[8]; /**< factor on FakeKind.growth by kind, drawn from the seed and unknown
                               to the core */
  FakeMeasures measures;
};

/** Returns the remaining run time of a task. */
double fake_remaining_ms (const Fake *fake, CoreTaskKey key);
