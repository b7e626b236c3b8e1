/**
 * @file load.h
 * Options and results of acacia-load.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"

G_BEGIN_DECLS

#define LOAD_THREADS_MAX 256
#define LOAD_RATE_MAX 100000
#define LOAD_SECONDS_MAX 86400
#define LOAD_REQUESTS_MAX 10000000
#define LOAD_BODY_MAX 1048576
#define LOAD_PERCENT_MAX 100

/** Path and kind of a request. */
typedef enum
{
  LOAD_REPEATABLE, /**< through an entry; may be run again */
  LOAD_ONCE,       /**< through an entry; at most once, with a unique key */
  LOAD_DIRECT,     /**< directly to the back end, for comparison */
  LOAD_CLASS_COUNT,
} LoadClass;

/** Options of a run. The caller owns the texts. */
typedef struct
{
  const char *const *entries; /**< NULL-terminated "http://IP:PORT", used round-robin */
  const char *direct;         /**< URL of a back end; NULL for no direct calls */
  const char *service;
  const char *path;
  const char *tenant;
  int64_t rate_per_s;
  int64_t seconds;
  int64_t threads;
  int64_t once_percent;   /**< share of once requests among those through entries */
  int64_t direct_percent; /**< share of direct requests among all requests */
  int64_t body_bytes;
  int64_t timeout_ms;
  const char *job; /**< NULL for no submissions */
  int64_t jobs_per_minute;
  int64_t job_wait_s;   /**< time after the run for submitted jobs to finish */
  gboolean is_own_cost; /**< send nothing and measure the delay of the tool itself */
} LoadOptions;

/**
 * Times of one request. latency_us counts from the due time and so includes delays before sending;
 * call_us counts from the time of sending.
 */
typedef struct
{
  int64_t latency_us;
  int64_t call_us;
} LoadSample;

/** Results of one class, of one thread or of all threads. */
typedef struct
{
  GArray *samples; /**< LoadSample of complete answers */
  uint64_t sent;
  uint64_t refusals[ERR_KIND_COUNT];
  uint64_t retries;    /**< attempts beyond the first, as reported by the answers */
  uint64_t mismatched; /**< answers that belong to another request */
} LoadTally;

typedef struct
{
  uint64_t submitted;
  uint64_t done;
  uint64_t unfinished;
  uint64_t refusals[ERR_KIND_COUNT];
} LoadJobs;

typedef struct
{
  LoadTally tallies[LOAD_CLASS_COUNT];
  LoadJobs jobs;
  int64_t elapsed_us;
  int64_t evictions; /**< evictions in the whole fleet during the run; -1 if unknown */
} LoadResult;

/** Returns the stable name of a class; static storage. */
const char *load_class_name (LoadClass class);

/** Creates and frees the sample list. */
void load_tally_init (LoadTally *tally);
void load_tally_clear (LoadTally *tally);

/** Adds @p from to @p into. */
void load_tally_merge (LoadTally *into, const LoadTally *from);

G_END_DECLS
