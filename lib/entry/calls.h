/**
 * @file calls.h
 * Table of requests that wait for an answer: matching of answers, and deadlines.
 *
 * An answer is accepted only when it carries the request's id, attempt and tenant, comes from the
 * agent to which the attempt was sent, and its body has the stated length and digest.
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
  CALLS_DROP_UNKNOWN, /**< no such request: already answered, or not of this entry */
  CALLS_DROP_ATTEMPT, /**< answer of an abandoned attempt */
  CALLS_DROP_TENANT,
  CALLS_DROP_AGENT, /**< from a different agent than the attempt's */
  CALLS_DROP_LENGTH,
  CALLS_DROP_DIGEST,
  CALLS_DROP_KIND, /**< an error kind unknown to this build */
  CALLS_VERDICT_COUNT,
} CallsVerdict;

/** Fields that an answer must match. */
typedef struct
{
  IdsId id;
  uint32_t attempt;
  const char *tenant;
  const char *agent;
} CallsExpected;

/** One waiting request; the table owns the strings and the body. */
typedef struct
{
  IdsId id;
  uint32_t attempt; /**< number of the newest attempt; 0: nothing was sent yet */
  char *tenant;
  char *service;
  char *path;
  char *content_type;
  GBytes *body;
  uint64_t body_digest;
  int64_t started_us;
  int64_t deadline_us;
  char *agent; /**< agent of the newest attempt */
  uint64_t agent_incarnation;
  gboolean may_have_run;              /**< the result of an earlier attempt is unknown */
  const char *tried[ROUTE_TRIED_MAX]; /**< interned names */
  uint32_t n_tried;
  void *waiter;
  GSequenceIter *by_deadline;
} CallsCall;

/** @p calls_max: largest number of waiting requests. */
Calls *calls_new (uint32_t calls_max);

/** Frees the table. The user must have answered the waiters before. */
void calls_free (Calls *calls);

/**
 * Adds a request; its strings and body are filled in by the user through the returned row. NULL
 * with #ERR_QUEUE_FULL when the table is full, or #ERR_BAD_REQUEST when the id is already in use.
 */
CallsCall *calls_add (Calls *calls, IdsId id, int64_t deadline_us, void *waiter, GError **error);

/** Starts the next attempt, which is sent to @p agent. */
void calls_attempt (CallsCall *call, const char *agent, uint64_t incarnation);

CallsCall *calls_find (const Calls *calls, IdsId id);

/** Removes and frees @p call. */
void calls_remove (Calls *calls, CallsCall *call);

/** Checks @p response from @p agent against the expected fields. */
CallsVerdict
calls_verify (const CallsExpected *expected, const char *agent, const Wire__Response *response);

/** Finds the request that is answered by @p response; NULL with the reason. */
CallsCall *calls_match (const Calls *calls,
                        const char *agent,
                        const Wire__Response *response,
                        CallsVerdict *verdict);

/** The request with the earliest deadline if that is at or before @p now_us, or NULL. */
CallsCall *calls_due (const Calls *calls, int64_t now_us);

uint32_t calls_count (const Calls *calls);

/** Calls @p function for each waiting request; it may remove the request that it is given. */
void calls_each (Calls *calls, void (*function) (void *ctx, CallsCall *call), void *ctx);

/** Name of @p verdict as a metric label; static storage. */
const char *calls_verdict_name (CallsVerdict verdict);

G_END_DECLS
