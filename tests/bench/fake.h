/**
 * @file fake.h
 * Fake instances: services beside batch tasks that slow them in ways nobody is told, with lagging
 * reports. Takes the core's commands and gives back its inputs.
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

/** A job's id is its kind times this, plus a number. */
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

/** What a job really is; found by the kind in its id. */
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

/** A histogram of tails: weight by p99, to mix latency distributions. */
typedef struct
{
  double weight[FAKE_TAIL_BUCKETS];
} FakeTails;

/** What a run has measured so far. */
typedef struct
{
  FakeTails tails;
  FakeTails alone;
  double work_s; /**< processor seconds of tasks that are done or checkpointed */
  double lost_s; /**< processor seconds done twice or thrown away */
  double evict_lost_s;
  uint32_t evictions;
  uint32_t done;
  uint32_t failed_on_bad; /**< starts lost on the failing instance */
  uint32_t overcommitted; /**< instance ticks with reservations above capacity */
  uint32_t doubles;       /**< starts of a task that was still running */
} FakeMeasures;

Fake *fake_new (const BenchCase *bench, const BenchDeployment *deployment, uint32_t seed);
void fake_free (Fake *fake);

/** The operators' document of this case; @p has_services FALSE: batch work alone. */
char *fake_document (const BenchCase *bench, const BenchDeployment *site, gboolean has_services);

/** Tail of a service at @p load when nothing else runs. */
double fake_alone_us (double load);

/** Appends the announcements of all living instances. */
void fake_announce (Fake *fake, GArray *inputs, gboolean has_services);

/** Appends what a new owner learns: the tasks that run and those that are done. */
void fake_take_over (Fake *fake, GArray *inputs);

/** Goes on by one step to @p now_us and appends what is reported. */
void fake_step (Fake *fake, int64_t now_us, GArray *inputs);

/** Obeys @p commands. */
void fake_obey (Fake *fake, const GArray *commands);

/** Kills an instance; the core is told when its lease has lapsed. */
void fake_kill (Fake *fake, uint32_t worker);

const FakeMeasures *fake_measures (const Fake *fake);

/** Counts one instance's tail for one step. */
void fake_count_tail (FakeTails *tails, double p99_us, double weight);

/** Quantile @p q of the requests behind @p tails. */
double fake_quantile_us (const FakeTails *tails, double q);
