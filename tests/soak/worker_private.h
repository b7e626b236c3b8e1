/**
 * @file worker_private.h
 * The state that the parts of a stand-in worker share.
 */
#pragma once

#include "net/net_server.h"
#include "worker.h"

G_BEGIN_DECLS

typedef struct
{
  char *task;
  int64_t run;
  const BookStep *step;
  gboolean fails;
  char *saved;
  int64_t done_us; /**< work that was done */
  int64_t need_us;
  int64_t saved_us; /**< work that the newest checkpoint holds */
  int64_t percent;
  int64_t stop_us; /**< when a stop takes effect; 0: none was asked for */
} WorkerRun;

typedef struct
{
  int64_t number;
  char *task;
  int64_t run;
  BookEnd end;
  char *saved;
  gboolean has_lapsed; /**< a lease lapsed after it */
} WorkerEnding;

typedef struct
{
  Workers *workers;
  uint32_t index;
  char *id;
  char *address;
  char *agent_address;
  NetServer *server;
  int64_t born_us;
  int64_t born_wall_ms;
  double rate; /**< of its clock */
  int64_t offset_ms;
  int64_t sequence;
  int64_t token;
  int64_t until_ms; /**< end of the lease */
  int64_t worked_us;
  gboolean is_down;
  gboolean has_lapsed;    /**< no lease holds now */
  int64_t delay_until_us; /**< orders are carried out late until then */
  GPtrArray *runs;        /**< WorkerRun */
  GPtrArray *endings;     /**< WorkerEnding that were not acknowledged */
  int64_t n_endings;
  GHashTable *highest; /**< task -> highest run that was stopped or has ended here */
  GPtrArray *waiting;  /**< WorkerWait */
} Worker;

typedef struct
{
  Worker *worker;
  NetRequest *request;
  int64_t seen;
  int64_t end_us;
} WorkerWait;

struct Workers
{
  WorkersOptions options;
  GPtrArray *all; /**< Worker */
  guint tick;
};

/* worker_runs.c: what runs, and how it ends. */
void worker_run_free (gpointer data);
void worker_ending_free (gpointer data);
int64_t worker_clock_ms (const Worker *worker);
/* Takes the time that has passed: leases, stops, work. */
void worker_advance (Worker *worker);
WorkerRun *worker_find (const Worker *worker, const char *task);
void worker_end_run (Worker *worker, WorkerRun *run, BookEnd end);
/* Runs of the task up to this one are refused from now on. */
void worker_note_highest (Worker *worker, const char *task, int64_t run);
void worker_begin (Worker *worker, const char *task, int64_t run, const char *saved);
void worker_acknowledge (Worker *worker, int64_t seen);
gboolean worker_has_news (const Worker *worker, int64_t seen);
int64_t worker_used_m (const Worker *worker);
void worker_check_room (Worker *worker);

/* worker_calls.c: the calls of its agent. */
void worker_on_call (void *ctx, NetRequest *request);
void worker_answer_waits (Worker *worker, gboolean all);

#define WORKER_CPU_M 16000
#define WORKER_MEM_MB 64000
#define WORKER_LEASE_MAX_MS 10000

G_END_DECLS
