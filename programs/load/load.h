/**
 * @file load.h
 * What acacia-load is asked to do, and what it found.
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

/** Where a request goes and what it may do. */
typedef enum
{
  LOAD_REPEATABLE, /**< through an entry, may be run again */
  LOAD_ONCE,       /**< through an entry, at most once, with a key of its own */
  LOAD_DIRECT,     /**< straight to the back end, for comparison */
  LOAD_CLASS_COUNT,
} LoadClass;

/** Texts belong to the caller. */
typedef struct
{
  const char *const *entries; /**< NULL-terminated "http://IP:PORT", used in turn */
  const char *direct;         /**< URL of a back end; NULL for no direct calls */
  const char *service;
  const char *path;
  const char *tenant;
  int64_t rate_per_s;
  int64_t seconds;
  int64_t threads;
  int64_t once_percent;   /**< of the requests through entries */
  int64_t direct_percent; /**< of all requests */
  int64_t body_bytes;
  int64_t timeout_ms;
  const char *job; /**< NULL for no submissions */
  int64_t jobs_per_minute;
  int64_t job_wait_s;   /**< after the run, for submitted jobs to end */
  gboolean is_own_cost; /**< send nothing: measure the tool itself */
} LoadOptions;

/** Times of one request; latency counts from when it was due, not from when it could be sent. */
typedef struct
{
  int64_t latency_us;
  int64_t call_us;
} LoadSample;

/** What one thread, or all together, saw of one class. */
typedef struct
{
  GArray *samples; /**< LoadSample of whole answers */
  uint64_t sent;
  uint64_t refusals[ERR_KIND_COUNT];
  uint64_t retries;    /**< attempts beyond the first, as the answers tell */
  uint64_t mismatched; /**< answers that are not the request's own */
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
  int64_t evictions; /**< of the fleet during the run; -1 when no entry told */
} LoadResult;

/** Stable name of a class; static storage. */
const char *load_class_name (LoadClass class);

/** Makes and frees the sample lists. */
void load_tally_init (LoadTally *tally);
void load_tally_clear (LoadTally *tally);

/** Adds @p from to @p into. */
void load_tally_merge (LoadTally *into, const LoadTally *from);

G_END_DECLS
