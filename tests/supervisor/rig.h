/**
 * @file rig.h
 * A fake worker and the supervisor that drives it. Each test answers the calls one by one.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "supervisor/supervisor.h"

G_BEGIN_DECLS

#define TASK "00000000000000aa.0.0.0"
#define GRANT_MS 3000
#define CALLS_MAX 64

typedef enum
{
  CALL_START,
  CALL_STOP,
  CALL_CPU_LIMIT,
  CALL_POLL,
} CallKind;

typedef struct
{
  CallKind kind;
  char task[40];
  int64_t run;
  int64_t until_ms;
  int64_t seen;
  int64_t percent;
  int64_t wait_ms;
  int64_t token;
  char worker_id[40];
  RunnerDone done;
  void *done_ctx;
} FakeCall;

/* A fake worker. The test answers its calls one by one. */
typedef struct
{
  Supervisor *supervisor;
  int64_t now_us;
  FakeCall calls[CALLS_MAX];
  uint32_t n_calls;
  gboolean forbids_starts; /**< sent with all orders */
  gboolean wants_report;   /**< the same */
  int64_t needs_cpu_m;     /**< sent with starts; 0: not sent */
  uint32_t n_changes;
} Fake;

static inline int64_t
read_now (void *ctx)
{
  return ((Fake *) ctx)->now_us;
}

static inline FakeCall *
add_call (Fake *fake, CallKind kind, const RunnerTarget *target, RunnerDone done, void *done_ctx)
{
  FakeCall *call = &fake->calls[fake->n_calls++];

  assert_true (fake->n_calls < CALLS_MAX);
  memset (call, 0, sizeof *call);
  call->kind = kind;
  call->token = target->token;
  (void) g_strlcpy (call->worker_id, target->worker_id, sizeof call->worker_id);
  call->done = done;
  call->done_ctx = done_ctx;
  return call;
}

static inline void
fake_start (void *ctx,
            const RunnerTarget *target,
            const RunnerStart *start,
            RunnerDone done,
            void *done_ctx)
{
  FakeCall *call = add_call (ctx, CALL_START, target, done, done_ctx);

  (void) g_strlcpy (call->task, start->task, sizeof call->task);
  call->run = start->run;
  call->until_ms = start->until_ms;
}

static inline void
fake_stop (void *ctx,
           const RunnerTarget *target,
           const char *task,
           int64_t run,
           RunnerDone done,
           void *done_ctx)
{
  FakeCall *call = add_call (ctx, CALL_STOP, target, done, done_ctx);

  (void) g_strlcpy (call->task, task, sizeof call->task);
  call->run = run;
}

static inline void
fake_set_cpu_limit (void *ctx,
                    const RunnerTarget *target,
                    const char *task,
                    int64_t run,
                    int64_t percent,
                    RunnerDone done,
                    void *done_ctx)
{
  (void) task;
  (void) run;
  add_call (ctx, CALL_CPU_LIMIT, target, done, done_ctx)->percent = percent;
}

static inline void
fake_poll (void *ctx,
           const RunnerTarget *target,
           const RunnerPoll *request,
           RunnerDone done,
           void *done_ctx)
{
  FakeCall *call = add_call (ctx, CALL_POLL, target, done, done_ctx);

  call->until_ms = request->until_ms;
  call->seen = request->acked_end;
  call->wait_ms = request->wait_ms;
}

static inline void
count_change (void *ctx)
{
  ((Fake *) ctx)->n_changes++;
}

static inline void
ignore_log (void *ctx, const char *event, const char *text)
{
  (void) ctx;
  (void) event;
  (void) text;
}

/* Removes the oldest call of a kind from the list; FALSE if there is none. */
static inline gboolean
take_call (Fake *fake, CallKind kind, FakeCall *out)
{
  memset (out, 0, sizeof *out);
  for (uint32_t i = 0; i < fake->n_calls; i++)
    {
      if (fake->calls[i].kind != kind)
        continue;
      *out = fake->calls[i];
      fake->n_calls--;
      memmove (&fake->calls[i], &fake->calls[i + 1], (fake->n_calls - i) * sizeof *fake->calls);
      return TRUE;
    }
  return FALSE;
}

static inline void
answer_call (const FakeCall *call, RunnerOutcome outcome)
{
  const RunnerAnswer reply = { .outcome = outcome, .clock_ms = -1 };

  assert_non_null (call->done);
  if (call->done != NULL)
    call->done (call->done_ctx, &reply);
}

typedef struct
{
  const char *running; /**< task listed as running with run 1, or NULL */
  int64_t end_number;  /**< number of the end of TASK run 1; 0: none */
} Lists;

/** Members of an answer beside the lists. */
typedef struct
{
  int64_t born;          /**< when the worker that answers started; 0 if it does not say */
  uint32_t n_unreadable; /**< rows that could not be decoded */
  gboolean has_more_ends;
} Answer;

static inline void
answer_poll_with (Fake *fake, Lists lists, Answer answer)
{
  FakeCall call;
  RunnerAnswer reply = { .outcome = RUNNER_OK,
                         .clock_ms = fake->now_us / 1000,
                         .born_wall_ms = answer.born,
                         .n_unreadable = answer.n_unreadable,
                         .has_more_ends = answer.has_more_ends };

  assert_true (take_call (fake, CALL_POLL, &call));
  assert_non_null (call.done);
  reply.running = worker_tasks_new ();
  reply.ended = worker_ends_new ();
  if (lists.running != NULL)
    {
      WorkerTask task = { g_strdup (lists.running), 1, g_strdup (""), 10, 0 };
      g_array_append_val (reply.running, task);
    }
  if (lists.end_number != 0)
    {
      WorkerEnd end = { lists.end_number, g_strdup (TASK), 1, WORKER_END_DONE, g_strdup ("") };
      g_array_append_val (reply.ended, end);
    }
  if (call.done != NULL)
    call.done (call.done_ctx, &reply);
  g_array_unref (reply.running);
  g_array_unref (reply.ended);
}

static inline void
answer_poll (Fake *fake, Lists lists)
{
  answer_poll_with (fake, lists, (Answer){ 0 });
}

static inline WorkerInfo *
info_of (const char *id, int64_t born, int64_t sequence)
{
  WorkerInfo *info = worker_info_new ();

  info->id = g_strdup (id);
  info->started_wall_ms = born;
  info->service = g_strdup ("s");
  info->data_centre = g_strdup ("d");
  info->instance = g_strdup ("");
  info->labels = g_new0 (char *, 1);
  info->capacity = (JobSize){ 16000, 64000, 0 };
  info->sequence = sequence;
  return info;
}

/* Creates a supervisor whose worker has registered and answered the first poll. */
static inline Fake *
fake_new (Lists first)
{
  Fake *fake = g_new0 (Fake, 1);
  const SupervisorOptions options = { .boot = 5,
                                      .token = 1000,
                                      .grant_ms = GRANT_MS,
                                      .poll_wait_ms = 400,
                                      .call_timeout_ms = 600,
                                      .now_us = read_now,
                                      .start = fake_start,
                                      .stop = fake_stop,
                                      .set_cpu_limit = fake_set_cpu_limit,
                                      .poll = fake_poll,
                                      .changed = count_change,
                                      .log = ignore_log,
                                      .ctx = fake };

  fake->now_us = 1000 * 1000000;
  fake->supervisor = supervisor_new (&options);
  supervisor_handle_info (fake->supervisor, info_of ("i1", 1, 1));
  answer_poll (fake, first);
  return fake;
}

/* Answers the open calls first, as their contexts belong to them. */
static inline void
fake_free (Fake *fake)
{
  FakeCall call;

  supervisor_worker_left (fake->supervisor, "i1");
  supervisor_worker_left (fake->supervisor, "i2");
  while (fake->n_calls > 0)
    {
      call = fake->calls[--fake->n_calls];
      answer_call (&call, RUNNER_NOT_SENT);
    }
  supervisor_free (fake->supervisor);
  g_free (fake);
}

static inline uint64_t
incarnation_of (const Fake *fake)
{
  Batch__Report *report = supervisor_report (fake->supervisor);

  assert_non_null (report);
  uint64_t incarnation = report->life;
  batch__report__free_unpacked (report, NULL);
  return incarnation;
}

/* Returns the version of a new report, which an owner that applied it sends back. */
static inline uint64_t
version_of (const Fake *fake)
{
  Batch__Report *report = supervisor_report (fake->supervisor);

  assert_non_null (report);
  uint64_t version = report->version;
  batch__report__free_unpacked (report, NULL);
  return version;
}

typedef struct
{
  uint64_t epoch;
  int64_t echo_us;
  int64_t ends_kept;
  uint64_t number; /**< number of the order to start TASK run 1; 0: none */
  uint64_t stop_number;
  uint64_t applied_version; /**< version of the report that the owner applied */
  uint64_t order_before;
} OrdersSpec;

static inline gboolean
send_orders (Fake *fake, OrdersSpec spec)
{
  Batch__Orders orders = BATCH__ORDERS__INIT;
  Batch__Order order = BATCH__ORDER__INIT;
  Batch__Order stop_order = BATCH__ORDER__INIT;
  Batch__Start start = BATCH__START__INIT;
  Batch__Stop stop = BATCH__STOP__INIT;
  Batch__Order *rows[2];

  orders.epoch = spec.epoch;
  orders.owner = "owner";
  orders.agent_boot = 5;
  orders.life = incarnation_of (fake);
  orders.echo_us = spec.echo_us;
  orders.ends_kept = spec.ends_kept;
  orders.report_taken = spec.applied_version;
  orders.order_before = spec.order_before;
  orders.forbids_starts = fake->forbids_starts;
  orders.wants_report = fake->wants_report;
  orders.orders = rows;
  start.task = TASK;
  start.run = 1;
  start.has_needs = fake->needs_cpu_m > 0;
  start.needs_cpu_m = fake->needs_cpu_m;
  order.number = spec.number;
  order.what_case = BATCH__ORDER__WHAT_START;
  order.start = &start;
  stop.task = TASK;
  stop.run = 1;
  stop_order.number = spec.stop_number;
  stop_order.what_case = BATCH__ORDER__WHAT_STOP;
  stop_order.stop = &stop;
  if (spec.number != 0)
    rows[orders.n_orders++] = &order;
  if (spec.stop_number != 0)
    rows[orders.n_orders++] = &stop_order;
  return supervisor_handle_orders (fake->supervisor, &orders);
}

static inline void
refuse_poll (Fake *fake)
{
  FakeCall call;

  assert_true (take_call (fake, CALL_POLL, &call));
  answer_call (&call, RUNNER_NOT_SENT);
}

/* Advances the time and starts a poll that is due. */
static inline void
advance (Fake *fake, int64_t ms)
{
  fake->now_us += ms * 1000;
  supervisor_tick (fake->supervisor);
}

/* A report need not come, but must not say that the run is gone. */
static inline void
assert_not_reported_gone (const Fake *fake, uint64_t incarnation)
{
  Batch__Report *report = supervisor_report (fake->supervisor);

  if (report == NULL)
    return;
  assert_int_equal (report->life, incarnation);
  assert_int_equal (report->n_gone, 0);
  assert_int_equal (report->n_running, 1);
  batch__report__free_unpacked (report, NULL);
}

/* Refuses the polls of a worker with one run that left, up to @p end_us. Until then the run must
 * not be reported as gone; after the next refusal it must be. */
static inline void
refuse_until_gone (Fake *fake, int64_t end_us)
{
  uint64_t incarnation = incarnation_of (fake);

  while (fake->now_us <= end_us)
    {
      refuse_poll (fake);
      assert_not_reported_gone (fake, incarnation);
      advance (fake, 50);
    }
  refuse_poll (fake);
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_non_null (report);
  assert_true (report->life != incarnation);
  assert_true (report->worker->is_draining);
  assert_int_equal (report->n_running, 0);
  batch__report__free_unpacked (report, NULL);
}

G_END_DECLS
