/**
 * @file route.h
 * Chooses the endpoint of a request: the less loaded of two random candidates, preferably in the
 * same data centre.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"
#include "entry/members.h"

G_BEGIN_DECLS

#define ROUTE_TRIED_MAX 8

typedef struct
{
  const char *service;
  const char *data_centre;            /**< data centre of this entry */
  int64_t budget_us;                  /**< time left until the deadline */
  const char *tried[ROUTE_TRIED_MAX]; /**< agents of failed attempts, used as a last resort */
  uint32_t n_tried;
} RouteRequest;

typedef struct
{
  MembersEndpoint *endpoint; /**< NULL: none was found; kind has the reason */
  ErrKind kind;
  int64_t retry_after_ms;
} RouteChoice;

/** Chooses an endpoint; does not count the request, see route_sent(). */
RouteChoice
route_choose (const Members *members, const RouteRequest *ask, GRand *rand, int64_t now_us);

/** Counts a request sent to @p endpoint. */
void route_sent (MembersEndpoint *endpoint);

/** Result of a request, for route_ended(). */
typedef enum
{
  ROUTE_ANSWERED,
  ROUTE_FAILED, /**< no complete answer in time, or the endpoint was unreachable */
  ROUTE_REFUSED_LEAVING,
  ROUTE_ABANDONED, /**< the caller's deadline passed; not counted as a failure of the endpoint */
} RouteEnd;

/** Counts the end of a request; does nothing when the incarnation was replaced. */
void route_ended (Members *members,
                  const char *agent,
                  uint64_t incarnation,
                  const char *service,
                  RouteEnd end,
                  int64_t now_us);

/** Estimated number of requests at @p endpoint. */
uint32_t route_load (const MembersEndpoint *endpoint);

G_END_DECLS
