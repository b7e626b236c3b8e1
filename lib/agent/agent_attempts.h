/**
 * @file agent_attempts.h
 * Attempts of once requests: each starts at most once, and what became of it can be asked.
 *
 * A row is running, ran or fenced. A question about an attempt never seen fences it for good. Rows
 * are bounded. At the bound the oldest ended rows are forgotten once they are old enough, and from
 * then on every attempt that was chosen before is refused as in doubt: a request carries the
 * agent's own time that its sender had heard before it chose the attempt, so an old one is known
 * without its row. When no row is old enough, new attempts are refused. Pure: time is passed in.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"

G_BEGIN_DECLS

#define AGENT_KEY_MAX 256

typedef struct AgentAttempts AgentAttempts;

/** Names one attempt; texts are copied. */
typedef struct
{
  const char *tenant;
  const char *key;
  uint32_t attempt;
  int64_t chosen_us; /**< the agent's time that the sender knew when it chose it; 0: not known */
} AgentAttempt;

typedef struct
{
  uint32_t rows_max;
  int64_t answers_bytes_max; /**< of all held answers together */
  int64_t keep_us;           /**< rows are held at least this long */
} AgentAttemptsOptions;

typedef enum
{
  AGENT_ATTEMPT_START,   /**< recorded as running: the caller must run it and tell the end */
  AGENT_ATTEMPT_RUNNING, /**< seen before and not ended: nothing to do */
  AGENT_ATTEMPT_RAN,     /**< seen before: answer with what is held */
  AGENT_ATTEMPT_FENCED,  /**< never runs */
  AGENT_ATTEMPT_FULL,    /**< refused, and never runs either */
  AGENT_ATTEMPT_UNKNOWN, /**< it may have run: its end was lost, or it may have been forgotten */
} AgentAttemptState;

AgentAttempts *agent_attempts_new (const AgentAttemptsOptions *options);
void agent_attempts_free (AgentAttempts *attempts);

/** Takes a request for @p attempt. With #AGENT_ATTEMPT_RAN sets @p answer, NULL when gone. */
AgentAttemptState agent_attempts_begin (AgentAttempts *attempts,
                                        const AgentAttempt *attempt,
                                        int64_t now_us,
                                        GBytes **answer);

/** Fences an attempt that hasn't started here, which is refused; see agent_attempts_begin(). */
AgentAttemptState
agent_attempts_refuse (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us);

/** Ends a running attempt that ran; holds a reference on @p answer while there is room. */
void agent_attempts_ran (AgentAttempts *attempts,
                         const AgentAttempt *attempt,
                         GBytes *answer,
                         int64_t now_us);

/** Ends a running attempt of which nobody can say whether it ran. */
void agent_attempts_in_doubt (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us);

/** Ends a running attempt that certainly didn't start: it is fenced. */
void agent_attempts_not_run (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us);

/** Says what became of an attempt; fences one never seen. */
AgentAttemptState agent_attempts_query (AgentAttempts *attempts,
                                        const AgentAttempt *attempt,
                                        int64_t now_us,
                                        GBytes **answer);

uint32_t agent_attempts_count (const AgentAttempts *attempts);
int64_t agent_attempts_bytes (const AgentAttempts *attempts);

G_END_DECLS
