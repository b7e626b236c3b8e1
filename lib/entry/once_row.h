/**
 * @file once_row.h
 * Rows of the table of at-most-once requests and the answers made from them; private to once.c.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "entry/once.h"

G_BEGIN_DECLS

typedef enum
{
  ONCE_INTENT,  /**< own intent appended, not yet read back: nothing is sent */
  ONCE_SENT,    /**< own attempt sent to the agent */
  ONCE_OUTCOME, /**< answer stored, its record appended, not yet read back */
  ONCE_WATCH,   /**< another entry's attempt: wait for its outcome, query its agent */
  ONCE_FENCING, /**< certainly not run; the fence is appended, not yet read back */
} OnceState;

typedef struct
{
  void *waiter;
  int64_t deadline_us;
} OnceWaiter;

/** State of one tenant's key; owns all that it points to. */
typedef struct
{
  char *name; /**< key of the table, made from tenant and key */
  char *tenant;
  char *key;
  char *service;
  char *path;
  char *content_type;
  GBytes *body;
  uint64_t body_digest;
  uint64_t request_digest;
  int64_t dated_ms;
  IdsId first_request; /**< request id of the first attempt made by this row */
  OnceState state;
  IdsId request; /**< request id of the current attempt */
  uint32_t attempt;
  char *agent;
  uint64_t agent_incarnation;
  int64_t agent_sent_us;   /**< send time of its newest heartbeat before the intent; 0: unknown */
  IdsId record;            /**< id of the pending record */
  gboolean is_abandoned;   /**< answered as not run: must never be sent */
  gboolean is_outstanding; /**< counted as outstanding at its endpoint */
  uint32_t own_attempts;
  ErrKind last_kind;     /**< why the newest attempt did not run */
  int64_t query_us;      /**< time of the next query to the agent */
  int64_t keep_until_us; /**< a row without waiters is kept until then */
  const char *tried[ROUTE_TRIED_MAX];
  uint32_t n_tried;
  GArray *waiters; /**< OnceWaiter */
  gboolean has_stored;
  OnceAnswer stored; /**< owns content_type and body */
} OnceRow;

/** Creates a row for @p ask with its waiter. */
OnceRow *once_row_new (const OnceRequest *ask, uint64_t request_digest);
void once_row_free (void *row);

/** Name of the row for a tenant's key; free with g_free(). */
char *once_row_name (const char *tenant, const char *key);

/** Digest of the fields in which two requests with one key must agree. */
uint64_t once_row_digest (const OnceRequest *ask);

/** Latest deadline of the waiters; 0 without waiters. */
int64_t once_row_deadline (const OnceRow *row);

/** Stores the answer of @p response for the waiters. */
void once_row_store (OnceRow *row, const Wire__Response *response);

/** Stores an error of a request that ran. */
void once_row_store_error (OnceRow *row, ErrKind kind, const char *message);

/** Fills the record that ends the current attempt with the stored answer. The record points into
 * the row: pack it at once. */
void once_row_outcome (const OnceRow *row, int64_t answer_bytes_max, Record__Outcome *outcome);

/** Sets the current attempt. */
void once_row_set_attempt (
    OnceRow *row, uint32_t attempt, IdsId request, const char *agent, uint64_t incarnation);

/** Fills the record of the current attempt's intent, which points into the row: pack it at once. */
void once_row_intent (const OnceRow *row, Record__Intent *intent);

/** Fills the record that the current attempt certainly did not run, for the reason @p kind. */
void once_row_fence (const OnceRow *row, ErrKind kind, Record__Outcome *outcome);

/** Makes an answer from an error. */
OnceAnswer once_error (ErrKind kind, ErrRan ran, const char *message);

/** Makes the answer from a folded outcome. */
OnceAnswer once_from_intent (const FoldIntent *intent);

G_END_DECLS
