/**
 * @file once_row.h
 * Rows of the once table and the answers they give; used by once.c alone.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "entry/once.h"

G_BEGIN_DECLS

typedef enum
{
  ONCE_INTENT,  /**< our intent is appended, not yet read back: nothing is sent */
  ONCE_SENT,    /**< our attempt is at the agent */
  ONCE_OUTCOME, /**< the answer is held, its record appended, not yet read back */
  ONCE_WATCH,   /**< another's attempt: wait for its outcome, ask its agent */
  ONCE_FENCING, /**< truly not run; the record that says so is not yet read back */
} OnceState;

typedef struct
{
  void *waiter;
  int64_t deadline_us;
} OnceWaiter;

/** One tenant's key; owns all it points to. */
typedef struct
{
  char *name; /**< tenant and key: the row's key in the table */
  char *tenant;
  char *key;
  char *service;
  char *path;
  char *content_type;
  GBytes *body;
  uint64_t body_digest;
  uint64_t request_digest;
  int64_t dated_ms;
  IdsId first_request; /**< id of the first attempt that this row makes */
  OnceState state;
  IdsId request; /**< of the current attempt */
  uint32_t attempt;
  char *agent;
  uint64_t agent_incarnation;
  int64_t agent_sent_us; /**< of its newest heartbeat before the intent; 0: not known */
  IdsId record;          /**< pending record */
  gboolean is_abandoned; /**< a waiter was told that the attempt did not run: never sent */
  gboolean is_counted;   /**< counts as outstanding at its endpoint */
  uint32_t own_attempts;
  ErrKind last_kind; /**< why the newest attempt was not run */
  int64_t ask_us;    /**< next question to the agent */
  int64_t linger_us; /**< without waiters: forgotten then */
  const char *tried[ROUTE_TRIED_MAX];
  uint32_t n_tried;
  GArray *waiters; /**< OnceWaiter */
  gboolean has_held;
  OnceAnswer held; /**< owns content_type and body */
} OnceRow;

/** Makes a row for @p ask, with its waiter. */
OnceRow *once_row_new (const OnceAsk *ask, uint64_t request_digest);
void once_row_free (void *row);

/** Name of the row of a tenant's key; free with g_free(). */
char *once_row_name (const char *tenant, const char *key);

/** Digest of all that makes two requests under one key the same. */
uint64_t once_row_digest (const OnceAsk *ask);

/** Latest deadline of the waiters; 0 without any. */
int64_t once_row_deadline (const OnceRow *row);

/** Keeps the answer of @p response for the waiters. */
void once_row_hold (OnceRow *row, const Wire__Response *response);

/** Keeps an error whose work ran. */
void once_row_hold_error (OnceRow *row, ErrKind kind, const char *message);

/** The record that ends the current attempt with the held answer, packed by the caller at once. */
void once_row_outcome (const OnceRow *row, int64_t answer_bytes_max, Record__Outcome *outcome);

/** Notes the current attempt. */
void once_row_set_attempt (
    OnceRow *row, uint32_t attempt, IdsId request, const char *agent, uint64_t incarnation);

/** The record of the current attempt's intent, packed by the caller at once. */
void once_row_intent (const OnceRow *row, Record__Intent *intent);

/** The record that the current attempt was truly not run, for the reason @p kind. */
void once_row_fence (const OnceRow *row, ErrKind kind, Record__Outcome *outcome);

/** An error as an answer. */
OnceAnswer once_error (ErrKind kind, ErrRan ran, const char *message);

/** The answer that a folded outcome gives. */
OnceAnswer once_from_intent (const FoldIntent *intent);

G_END_DECLS
