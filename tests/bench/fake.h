/**
 * @file fake.h
 * Simulated instances: services run beside batch tasks that slow them by factors that the core does
 * not know, and reports arrive late. Executes the core's commands and produces its inputs.
 */
#pragma once

#include "bench/cases.h"
#include "common/clk.h"
#include "core/core.h"

#define FAKE_WORKERS 11
#define FAKE_PER_RACK 3
#define FAKE_STEP_MS INT64_C (100)
#define FAKE_TAIL_BUCKETS 400

#define FAKE_SERVICE_CPU 4000
#define FAKE_KINDS 6

/** A job's id is its FakeKindId times this, plus a sequence number. */
#define FAKE_KIND_STEP 100000U

typedef enum
{
  FAKE_NONE,
  FAKE_RENDER,
  FAKE_NOISY,
  FAKE_ACCRUAL,
  FAKE_URGENT,
  FAKE_BAD,
} FakeKindId;

/** Declared size and actual behaviour of a kind of job; the kind is part of the job's id. */
typedef struct
{
  const char *name;
  DocSize size;
  int64_t run_ms;
  int64_t checkpoint_ms;
  double growth;
} FakeKind;

extern const FakeKind fake_kinds[FAKE_KINDS];

typedef struct Fake Fake;

/** Histogram of p99 values by weight; describes a mix of latency distributions. */
typedef struct
{
  double weight[FAKE_TAIL_BUCKETS];
} FakeTails;

/** Measurements of a run so far. */
typedef struct
{
  FakeTails tails;
  FakeTails alone;
  double work_s; /**< CPU seconds of completed tasks */
  double lost_s; /**< CPU seconds that were repeated or discarded */
  double evict_lost_s;
  uint32_t evictions;
  uint32_t done;
  uint32_t failing_worker_starts; /**< starts that failed on the failing instance */
  uint32_t overcommitted; /**< ticks, summed over instances, with reservations above capacity */
  uint32_t double_starts; /**< starts of a task that was still running */
} FakeMeasures;

Fake *fake_new (const BenchCase *bench, const BenchDeployment *deployment, uint32_t seed);
void fake_free (Fake *fake);

/** Returns the operators' document of this case, to be freed by the caller. Without @p has_services
 * it defines batch work only. */
char *fake_document (const BenchCase *bench, const BenchDeployment *site, gboolean has_services);

/** Returns the p99 of a service at @p load without batch work beside it. */
double fake_isolated_tail_us (double load);

/** Appends the announcements of all instances that are not dead. */
void fake_announce (Fake *fake, GArray *inputs, gboolean has_services);

/** Appends the inputs that a new owner starts from: running and completed tasks. */
void fake_take_over (Fake *fake, GArray *inputs);

/** Advances the simulation by one step to @p now_us and appends the reports that arrive. */
void fake_step (Fake *fake, int64_t now_us, GArray *inputs);

/** Executes the core's @p commands. */
void fake_execute (Fake *fake, const GArray *commands);

/** Kills an instance; the core learns of it when the lease has expired. */
void fake_kill (Fake *fake, uint32_t worker);

const FakeMeasures *fake_measures (const Fake *fake);

/** Adds the p99 of one instance in one step. */
void fake_count_tail (FakeTails *tails, double p99_us, double weight);

/** Returns latency quantile @p q of the requests described by @p tails. */
double fake_quantile_us (const FakeTails *tails, double q);
