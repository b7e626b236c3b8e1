/**
 * @file fake_private.h
 * Rows of the fake instances, shared by fake.c (time passes) and fake_obey.c (commands) alone.
 */
#pragma once

#include "bench/fake.h"

typedef enum
{
  FAKE_RUNS,
  FAKE_STOPS,
} FakeState;

/** One running attempt. */
typedef struct
{
  CoreTaskKey key;
  uint32_t attempt;
  uint32_t worker;
  FakeState state;
  CoreCommandType stop_with;
  int64_t due_ms; /**< when it starts to run, or has stopped */
  int64_t began_ms;
  double left_ms; /**< run time still to go */
  double saved_left_ms;
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

/** A report on its way. */
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
  GArray *tasks;    /**< FakeTask */
  GArray *reports;  /**< FakeReport */
  GHashTable *left; /**< run time left by task, of tasks that ran before; double */
  GArray *done;     /**< CoreTaskKey */
  double hidden[8]; /**< factor on each kind's growth */
  FakeMeasures measures;
};

/** Run time that a task still has to go. */
double fake_left_of (const Fake *fake, CoreTaskKey key);
