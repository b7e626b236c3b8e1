/**
 * @file once.h
 * Requests that run at most once: one state machine for each tenant and idempotency key.
 *
 *     intent appended -> read back as the first -> sent -> outcome appended -> read back ->
 * answered
 *
 * Nothing is sent before this entry's own intent is read back from the log as the first of its
 * attempt. Who meets another's intent without an outcome asks the agent that the intent names,
 * which answers ran, running, or fences the attempt. Pure: effects go through #OnceOps, time is
 * passed in.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"
#include "common/ids.h"
#include "entry/calls.h"
#include "state/fold.h"
#include "wire/message.pb-c.h"

G_BEGIN_DECLS

typedef struct Once Once;

/** One caller's request; texts and body are copied where they are kept. */
typedef struct
{
  IdsId request;
  const char *tenant;
  const char *key;
  const char *service;
  const char *path;
  const char *content_type;
  GBytes *body;
  int64_t dated_ms;
  int64_t deadline_us;
  void *waiter;
} OnceAsk;

/** The final answer to one waiter; valid during the call. */
typedef struct
{
  gboolean is_answer; /**< FALSE: an error, see kind, ran and message */
  ErrKind kind;
  ErrRan ran;
  const char *message;
  int64_t retry_after_ms;
  uint32_t status;
  const char *content_type;
  GBytes *body;
  uint64_t body_digest;
  uint32_t attempts;
} OnceAnswer;

/** One attempt that is sent to an agent; valid during the call. */
typedef struct
{
  IdsId request;
  uint32_t attempt;
  const char *tenant;
  const char *key;
  const char *service;
  const char *path;
  const char *content_type;
  GBytes *body;
  uint64_t body_digest;
  int64_t budget_us;
  const char *agent;
  uint64_t agent_incarnation;
  int64_t agent_sent_us; /**< of its newest heartbeat before the intent; 0: not known */
} OnceSend;

/** What the state machine needs done. */
typedef struct
{
  /** Chooses an agent; FALSE with the reason. The name is copied at once. */
  gboolean (*pick) (void *ctx,
                    const char *service,
                    const char *const *tried,
                    uint32_t n_tried,
                    int64_t budget_us,
                    const char **agent,
                    uint64_t *incarnation,
                    int64_t *agent_sent_us,
                    ErrKind *kind);
  /** Queues a record; FALSE: certainly not on the log. @p wait: also while the log is away. */
  gboolean (*append) (void *ctx, const Record__Record *record, gboolean wait, IdsId *id);
  /** FALSE: certainly nothing was sent. */
  gboolean (*send) (void *ctx, const OnceSend *send);
  void (*query) (void *ctx,
                 const char *agent,
                 uint64_t incarnation,
                 const char *tenant,
                 const char *key,
                 uint32_t attempt,
                 IdsId request,
                 int64_t agent_sent_us);
  /** Whether that incarnation may still answer. */
  gboolean (*is_alive) (void *ctx, const char *agent, uint64_t incarnation);
  /** Whether the log can be read and written, as far as is known. */
  gboolean (*log_is_up) (void *ctx);
  /** Whether another attempt after a refusal of @p kind is within the budget for retries. */
  gboolean (*may_retry) (void *ctx, ErrKind kind);
  void (*ended) (
      void *ctx, const char *agent, uint64_t incarnation, const char *service, RouteEnd end);
  void (*answer) (void *ctx, void *waiter, const OnceAnswer *answer);
  void *ctx;
} OnceOps;

typedef struct
{
  int64_t ask_after_us; /**< wait for another entry's outcome before the agent is asked */
  int64_t ask_every_us;
  int64_t answer_bytes_max; /**< largest body held with an outcome */
  uint32_t rows_max;
} OnceOptions;

Once *once_new (const OnceOptions *options, const OnceOps *ops);
void once_free (Once *once);

/** Takes a request in; its waiter is answered exactly once, now or later. */
void once_begin (Once *once, const Fold *fold, const OnceAsk *ask, int64_t now_us);

/** After records were folded, or the fold was replaced. */
void once_folded (Once *once, const Fold *fold, int64_t now_us);

/** A record will certainly never be on the log. */
void once_not_appended (Once *once, IdsId id);

/** A record may or may not be on the log, and a fence for it was queued. */
void once_doubtful (Once *once, IdsId id);

/** An agent's answer; FALSE when it is none of ours, with the reason. */
gboolean once_response (Once *once,
                        const char *agent,
                        const Wire__Response *response,
                        CallsVerdict *verdict);

/** An agent's answer to a query. */
void once_reply (Once *once, const char *agent, const Wire__AttemptReply *reply, int64_t now_us);

/** Deadlines, questions that are due, agents that died. */
void once_tick (Once *once, int64_t now_us);

/** Requests being worked on. */
uint32_t once_count (const Once *once);

G_END_DECLS
