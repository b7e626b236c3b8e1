/**
 * @file calls.h
 * Requests that wait for an answer: matching of answers, and deadlines.
 *
 * An answer is taken only when it carries the request's id, attempt and tenant, comes from the
 * agent that the attempt went to, and its body has the length and digest that it names.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"
#include "entry/route.h"
#include "wire/message.pb-c.h"

G_BEGIN_DECLS

typedef struct Calls Calls;

/** Why an answer was dropped. */
typedef enum
{
  CALLS_MATCH,
  CALLS_DROP_UNKNOWN, /**< no such request: answered before, or never ours */
  CALLS_DROP_ATTEMPT, /**< of an attempt that was given up */
  CALLS_DROP_TENANT,
  CALLS_DROP_AGENT, /**< from another agent than the one asked */
  CALLS_DROP_LENGTH,
  CALLS_DROP_DIGEST,
  CALLS_DROP_KIND, /**< an error kind that this build does not know */
  CALLS_VERDICT_COUNT,
} CallsVerdict;

/** What an answer must carry. */
typedef struct
{
  IdsId id;
  uint32_t attempt;
  const char *tenant;
  const char *agent;
} CallsExpected;

/** One waiting request; the table owns texts and body. */
typedef struct
{
  IdsId id;
  uint32_t attempt; /**< newest; 0: nothing was sent yet */
  char *tenant;
  char *service;
  char *path;
  char *content_type;
  GBytes *body;
  uint64_t body_digest;
  int64_t started_us;
  int64_t deadline_us;
  char *agent; /**< of the newest attempt */
  uint64_t agent_incarnation;
  gboolean may_have_run;              /**< an earlier attempt's end isn't known */
  const char *tried[ROUTE_TRIED_MAX]; /**< interned names */
  uint32_t n_tried;
  void *waiter;
  GSequenceIter *by_deadline;
} CallsCall;

/** @p calls_max bounds the table. */
Calls *calls_new (uint32_t calls_max);

/** Frees the table; waiters are the caller's business before that. */
void calls_free (Calls *calls);

/**
 * Adds a request whose texts, body and deadline are filled in by the caller through the returned
 * row. NULL with #ERR_QUEUE_FULL when the table is full, or #ERR_BAD_REQUEST when the id is taken.
 */
CallsCall *calls_add (Calls *calls, IdsId id, int64_t deadline_us, void *waiter, GError **error);

/** Notes that the next attempt goes to @p agent. */
void calls_attempt (CallsCall *call, const char *agent, uint64_t incarnation);

CallsCall *calls_find (const Calls *calls, IdsId id);

/** Forgets @p call. */
void calls_remove (Calls *calls, CallsCall *call);

/** Checks @p response from @p agent against what was asked. */
CallsVerdict
calls_verify (const CallsExpected *expected, const char *agent, const Wire__Response *response);

/** Finds the request that @p response answers; NULL with the reason. */
CallsCall *calls_match (const Calls *calls,
                        const char *agent,
                        const Wire__Response *response,
                        CallsVerdict *verdict);

/** First request whose deadline is at or before @p now_us, or NULL. */
CallsCall *calls_due (const Calls *calls, int64_t now_us);

uint32_t calls_count (const Calls *calls);

/** Calls @p function for each waiting request, which may remove the one it is given. */
void calls_each (Calls *calls, void (*function) (void *ctx, CallsCall *call), void *ctx);

/** Stable name for counters; static storage. */
const char *calls_verdict_name (CallsVerdict verdict);

G_END_DECLS
