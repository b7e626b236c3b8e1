/**
 * @file agent_call.h
 * One request to the endpoint and its whole answer, over neon; docs/ENDPOINT.md has the contract.
 *
 * A call for a once request goes over a connection of its own, so that no library repeats it.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"
#include "common/ids.h"

G_BEGIN_DECLS

/** Largest answer: with its envelope it still fits one message. */
#define AGENT_ANSWER_MAX ((size_t) 4 * 1024 * 1024 - 65536)

typedef struct AgentCaller AgentCaller;

/** One request and what became of it; freed with agent_call_free(). */
typedef struct
{
  IdsId id;
  uint32_t attempt;
  char *peer; /**< entry that asked */
  char *tenant;
  char *key; /**< "" for a repeatable request */
  gboolean once;
  int64_t chosen_us;
  char *path;
  char *content_type;
  GByteArray *body;
  int64_t deadline_us;
  /** Result. */
  gboolean has_answer; /**< status, answer and answer_type are set; else kind, ran and message */
  ErrKind kind;
  ErrRan ran;
  char *message;
  uint32_t status;
  char *answer_type;
  GByteArray *answer;
  int64_t took_us;
} AgentCall;

typedef struct
{
  const char *host;
  uint16_t port;
  int64_t connect_ms;
  int64_t once_read_ms; /**< shortest wait for the answer of a once request */
} AgentCallerOptions;

/** Makes a client, which belongs to one thread at a time. */
AgentCaller *agent_caller_new (const AgentCallerOptions *options);
void agent_caller_free (AgentCaller *caller);

/** Sends @p call and fills in its result; blocks up to its deadline, and longer for a once request.
 */
void agent_caller_run (AgentCaller *caller, AgentCall *call);

/** Whether GET /healthz is answered with a status of the 200s. */
gboolean agent_caller_check (AgentCaller *caller);

void agent_call_free (AgentCall *call);

G_END_DECLS
