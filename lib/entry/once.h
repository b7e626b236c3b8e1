/**
 * @file once.h
 * At-most-once requests: one state machine for each pair of tenant and idempotency key.
 *
 *     append intent -> read back as first -> send -> append outcome -> read back -> answer
 *
 * A request is sent only after this entry has read back its own intent as the first one of the
 * attempt. When the log holds another entry's intent without an outcome, the agent named in the
 * intent is queried; it replies that the attempt ran or is running, or fences it. The module does
 * no I/O and reads no clock: effects go through #OnceOps, and the time is an argument.
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

/** One caller's request. The module copies the strings and references the body. */
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
} OnceRequest;

/** Final answer to one waiter; valid only during the callback. */
typedef struct
{
  gboolean is_answer; /**< FALSE: an error, described by kind, ran and message */
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

/** One attempt to be sent to an agent; valid only during the callback. */
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
  int64_t agent_sent_us; /**< send time of its newest heartbeat before the intent; 0: unknown */
} OnceSend;

/** Effects of the state machine, implemented by its user. */
typedef struct
{
  /** Chooses an agent; FALSE with the reason in @p kind. @p agent need only live until the return
   * to the module, which copies it. */
  gboolean (*pick) (void *ctx,
                    const char *service,
                    const char *const *tried,
                    uint32_t n_tried,
                    int64_t budget_us,
                    const char **agent,
                    uint64_t *incarnation,
                    int64_t *agent_sent_us,
                    ErrKind *kind);
  /**
   * Queues a record. FALSE: the record is certainly not on the log. @p wait: keep the record
   * queued also while the log is unavailable.
   */
  gboolean (*append) (void *ctx, const Record__Record *record, gboolean wait, IdsId *id);
  /** Sends an attempt. FALSE: certainly nothing was sent. */
  gboolean (*send) (void *ctx, const OnceSend *send);
  /** Asks an agent for the state of an attempt; the reply goes to once_reply(). */
  void (*query) (void *ctx,
                 const char *agent,
                 uint64_t incarnation,
                 const char *tenant,
                 const char *key,
                 uint32_t attempt,
                 IdsId request,
                 int64_t agent_sent_us);
  /** Whether this incarnation of the agent may still answer. */
  gboolean (*is_alive) (void *ctx, const char *agent, uint64_t incarnation);
  /** Whether the log is currently known to be readable and writable. */
  gboolean (*log_is_up) (void *ctx);
  /** Whether the retry budget allows another attempt after a refusal of @p kind. */
  gboolean (*may_retry) (void *ctx, ErrKind kind);
  void (*ended) (
      void *ctx, const char *agent, uint64_t incarnation, const char *service, RouteEnd end);
  void (*answer) (void *ctx, void *waiter, const OnceAnswer *answer);
  void *ctx;
} OnceOps;

typedef struct
{
  int64_t query_after_us; /**< wait for another entry's outcome before its agent is queried */
  int64_t query_interval_us;
  int64_t answer_bytes_max; /**< largest body that is stored with an outcome */
  uint32_t rows_max;
} OnceOptions;

Once *once_new (const OnceOptions *options, const OnceOps *ops);
void once_free (Once *once);

/** Accepts a request; its waiter is answered exactly once, during this call or later. */
void once_begin (Once *once, const Fold *fold, const OnceRequest *ask, int64_t now_us);

/** Must be called after records were folded or the fold was replaced. */
void once_folded (Once *once, const Fold *fold, int64_t now_us);

/** Reports that the record @p id will certainly never be on the log. */
void once_not_appended (Once *once, IdsId id);

/** Reports that the append of record @p id is in doubt and a fence for the record was queued. */
void once_in_doubt (Once *once, IdsId id);

/** Handles an agent's response. FALSE with the reason when it matches no pending attempt. */
gboolean once_response (Once *once,
                        const char *agent,
                        const Wire__Response *response,
                        CallsVerdict *verdict);

/** Handles an agent's reply to a query. */
void once_reply (Once *once, const char *agent, const Wire__AttemptReply *reply, int64_t now_us);

/** Handles expired deadlines, queries that are due, and agents that are gone. */
void once_tick (Once *once, int64_t now_us);

/** Number of pending (tenant, key) pairs. */
uint32_t once_count (const Once *once);

G_END_DECLS
