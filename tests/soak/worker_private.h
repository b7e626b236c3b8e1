/**
 * @file worker_private.h
 * State that the modules of the worker stand-in share.
 */
#pragma once

#include <jansson.h>

#include "net/net_server.h"
#include "worker.h"

G_BEGIN_DECLS

typedef struct
{
  char *task;
  int64_t run;
  const CheckerStep *step;
  gboolean fails;
  char *checkpoint;
  int64_t done_us; /**< completed work */
  int64_t need_us;
  int64_t checkpoint_us; /**< completed work in the newest checkpoint */
  int64_t percent;
  int64_t stop_us;  /**< when a requested stop takes effect; 0: none */
  int64_t crash_us; /**< when the run crashes its worker; 0: never */
} WorkerRun;

typedef struct
{
  int64_t number;
  char *task;
  int64_t run;
  CheckerRunEnd end;
  char *checkpoint;
  gboolean lease_expired; /**< the lease expired after this end */
} WorkerEnding;

typedef struct
{
  Workers *workers;
  uint32_t index;
  char *id;
  char *address;
  char *agent_address;
  NetServer *server;
  int64_t started_us;
  int64_t started_wall_ms;
  int64_t wall_offset_ms; /**< error of its wall clock */
  double rate;            /**< speed of its clock relative to real time */
  int64_t offset_ms;
  int64_t sequence;
  int64_t token;
  int64_t lease_end_ms; /**< by the worker's clock */
  int64_t advanced_us;
  gboolean is_down;
  gboolean keeps_id;   /**< the next incarnation has the same id */
  uint32_t n_restarts; /**< restarts that follow the current one */
  int64_t cpu_m;       /**< capacity that its reports show */
  int64_t mem_mb;
  int64_t shrunk_us;         /**< when the capacity shrank */
  gboolean is_call_late;     /**< the call that is being executed was delayed */
  int64_t new_rows_until_us; /**< lists have columns and members of a newer build until then */
  gboolean has_no_lease;     /**< the lease has expired */
  int64_t delay_until_us;    /**< calls are executed late until then */
  GPtrArray *runs;           /**< WorkerRun */
  GPtrArray *endings;        /**< WorkerEnding, not acknowledged yet */
  int64_t n_endings;
  GHashTable *highest; /**< task -> highest run that was stopped or has ended at this worker */
  GPtrArray *waiting;  /**< WorkerWait */
  int64_t polls_since_us;
  uint32_t n_polls; /**< since then */
} Worker;

typedef struct
{
  Worker *worker;
  NetRequest *request;
  int64_t last_seen;
  int64_t end_us;
} WorkerWait;

struct Workers
{
  WorkersOptions options;
  GPtrArray *all; /**< Worker */
  GRand *rand;    /**< random numbers of the worker faults */
  guint tick;
  gboolean has_crashed; /**< since the last workers_take_crash() */
};

/* worker.c: the report that the worker sends of itself, and reports sent to its agent. */
json_t *worker_describe (const Worker *worker);
void worker_send_report (const Worker *worker, const char *id, const char *body, size_t size);

/* worker_runs.c: progress and end of runs. */
void worker_run_free (gpointer data);
void worker_ending_free (gpointer data);
int64_t worker_clock_ms (const Worker *worker);
/* Applies the time that has passed to leases, stops and work. */
void worker_advance (Worker *worker);
WorkerRun *worker_find_run (const Worker *worker, const char *task);
void worker_end_run (Worker *worker, WorkerRun *run, CheckerRunEnd end);
/* Runs of the task up to this one are refused from then on. */
void worker_note_highest (Worker *worker, const char *task, int64_t run);
WorkerRun *worker_begin_run (Worker *worker, const char *task, int64_t run, const char *checkpoint);
/* Returns the task that crashes the worker now; NULL: none. */
const char *worker_deadly_task (const Worker *worker);
void worker_acknowledge (Worker *worker, int64_t last_seen);
gboolean worker_has_new_endings (const Worker *worker, int64_t last_seen);
int64_t worker_used_m (const Worker *worker);
void worker_check_capacity (Worker *worker);

/* worker_calls.c: calls from the agent. */
void worker_on_call (void *ctx, NetRequest *request);
void worker_answer_waits (Worker *worker, gboolean all);

#define WORKER_CPU_M 16000
#define WORKER_MEM_MB 64000
#define WORKER_LEASE_MAX_MS 10000
#define WORKER_REPORT_MS 500

G_END_DECLS
