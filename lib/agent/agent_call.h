/**
 * @file agent_call.h
 * Sends one request to the endpoint over neon and reads the complete answer. docs/ENDPOINT.md
 * describes the contract.
 *
 * A once request uses a new connection, because neon repeats a request whose kept connection was
 * closed by the server.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"
#include "common/ids.h"

G_BEGIN_DECLS

/** Maximum size of an answer; with its envelope it fits into one message. */
#define AGENT_ANSWER_MAX ((size_t) 4 * 1024 * 1024 - 65536)

typedef struct AgentCaller AgentCaller;

/** One request and its result; freed with agent_call_free(). */
typedef struct
{
  IdsId id;
  uint32_t attempt;
  char *peer; /**< entry that sent the request */
  char *tenant;
  char *key; /**< "" for a repeatable request */
  gboolean once;
  int64_t chosen_us;
  char *path;
  char *content_type;
  GByteArray *body;
  int64_t deadline_us;
  /** Result. */
  gboolean
      has_answer; /**< TRUE: status, answer and answer_type are set; FALSE: kind, ran and message */
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
  int64_t once_read_ms; /**< minimum time to wait for the answer to a once request */
} AgentCallerOptions;

/** Creates a client; it may be used by one thread at a time. */
AgentCaller *agent_caller_new (const AgentCallerOptions *options);
void agent_caller_free (AgentCaller *caller);

/**
 * Sends @p call and fills in its result. Blocks until its deadline at the latest, for a once
 * request until once_read_ms have passed if that is later.
 */
void agent_caller_run (AgentCaller *caller, AgentCall *call);

/** Whether GET /healthz is answered with a 2xx status. */
gboolean agent_caller_check (AgentCaller *caller);

void agent_call_free (AgentCall *call);

G_END_DECLS
