/**
 * @file endpoint.h
 * Calls to the endpoint beside the agent, by a bounded pool of threads with a neon session each.
 *
 * docs/ENDPOINT.md has the contract. A call for a once request goes over a connection of its own,
 * so that no library repeats it.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"
#include "common/ids.h"

G_BEGIN_DECLS

#define ENDPOINT_ANSWER_MAX ((size_t) 4 * 1024 * 1024 - 65536)

typedef struct Endpoint Endpoint;

/** One request and what became of it; freed with endpoint_call_free(). */
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
} EndpointCall;

typedef struct
{
  const char *host;
  uint16_t port;
  uint32_t threads;
  int64_t connect_ms;
  int64_t once_read_ms; /**< shortest wait for the answer of a once request */
  int64_t health_ms;
  /** Called on a thread of the pool; the call is handed back. */
  void (*on_done) (void *ctx, EndpointCall *call);
  /** Called on a thread of the pool after each check. */
  void (*on_health) (void *ctx, gboolean healthy);
  void *ctx;
} EndpointOptions;

/** Starts the threads. */
Endpoint *endpoint_new (const EndpointOptions *options);

/** Ends the threads after the calls that wait. NULL is allowed. */
void endpoint_free (Endpoint *endpoint);

/** Hands a call to the pool, which owns it until on_done. */
void endpoint_push (Endpoint *endpoint, EndpointCall *call);

void endpoint_call_free (EndpointCall *call);

G_END_DECLS
