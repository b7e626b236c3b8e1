/**
 * @file agent_attempts.h
 * Table of attempts of once requests: each starts at most once, and its outcome can be queried.
 *
 * A row is running, ran, fenced or in doubt. A query about an unseen attempt fences it permanently.
 * The number of rows is bounded. At the bound the oldest ended rows are forgotten once they are old
 * enough, and every attempt that was chosen before they ended is then refused as in doubt. A
 * request carries the agent's time from the newest heartbeat that its sender had received when it
 * chose the attempt, so an old attempt is recognised without its row. When no row is old enough,
 * new attempts are refused. Does no I/O; time is passed in.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"

G_BEGIN_DECLS

#define AGENT_KEY_MAX 256

typedef struct AgentAttempts AgentAttempts;

/** Identifies one attempt; strings are copied. */
typedef struct
{
  const char *tenant;
  const char *key;
  uint32_t attempt;
  int64_t chosen_us; /**< newest agent time that the sender had at its choice; 0: unknown */
} AgentAttempt;

typedef struct
{
  uint32_t rows_max;
  int64_t answers_bytes_max; /**< total size of the stored answers */
  int64_t keep_us;           /**< ended rows are kept at least this long */
} AgentAttemptsOptions;

typedef enum
{
  AGENT_ATTEMPT_START,   /**< recorded as running: the caller must run it and report its end */
  AGENT_ATTEMPT_RUNNING, /**< seen before and still running: nothing to do */
  AGENT_ATTEMPT_RAN,     /**< seen before and ran: reply with the stored answer */
  AGENT_ATTEMPT_FENCED,  /**< did not run and never will */
  AGENT_ATTEMPT_FULL,    /**< refused because the table is full; never runs either */
  AGENT_ATTEMPT_UNKNOWN, /**< in doubt: its outcome was lost, or its row may have been forgotten */
} AgentAttemptState;

AgentAttempts *agent_attempts_new (const AgentAttemptsOptions *options);
void agent_attempts_free (AgentAttempts *attempts);

/**
 * Begins @p attempt unless it was seen or fenced before. With #AGENT_ATTEMPT_RAN sets @p answer,
 * borrowed, or NULL when the answer is no longer stored.
 */
AgentAttemptState agent_attempts_begin (AgentAttempts *attempts,
                                        const AgentAttempt *attempt,
                                        int64_t now_us,
                                        GBytes **answer);

/** Refuses an attempt: fences it if it has not started here. Results as agent_attempts_begin(). */
AgentAttemptState
agent_attempts_refuse (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us);

/** Ends an attempt that ran; keeps a reference on @p answer (may be NULL) while space allows. */
void agent_attempts_ran (AgentAttempts *attempts,
                         const AgentAttempt *attempt,
                         GBytes *answer,
                         int64_t now_us);

/** Ends a running attempt for which it is unknown whether the request ran. */
void agent_attempts_in_doubt (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us);

/** Ends and fences a running attempt whose request certainly did not run. */
void agent_attempts_not_run (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us);

/** Returns the state of an attempt; fences it if it was never seen. */
AgentAttemptState agent_attempts_query (AgentAttempts *attempts,
                                        const AgentAttempt *attempt,
                                        int64_t now_us,
                                        GBytes **answer);

uint32_t agent_attempts_count (const AgentAttempts *attempts);
int64_t agent_attempts_bytes (const AgentAttempts *attempts);

G_END_DECLS
