/**
 * @file route.h
 * Chooses the endpoint of a request: two random ones, the less loaded wins, near ones first.
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
  const char *data_centre;            /**< of this entry */
  int64_t budget_us;                  /**< time left until the deadline */
  const char *tried[ROUTE_TRIED_MAX]; /**< agents that failed it before: last choice */
  uint32_t n_tried;
} RouteAsk;

typedef struct
{
  MembersEndpoint *endpoint; /**< NULL: none, with the reason */
  ErrKind kind;
  int64_t retry_after_ms;
} RouteChoice;

/** Chooses; nothing is counted yet. */
RouteChoice route_choose (const Members *members, const RouteAsk *ask, GRand *rand, int64_t now_us);

/** Counts a request sent to @p endpoint. */
void route_sent (MembersEndpoint *endpoint);

/** What became of a request, for route_ended(). */
typedef enum
{
  ROUTE_ANSWERED,
  ROUTE_FAILED, /**< no whole answer in time, or the endpoint could not be reached */
  ROUTE_REFUSED_LEAVING,
  ROUTE_GIVEN_UP, /**< the caller's time was up; says little about the endpoint */
} RouteEnd;

/** Counts the end of a request; a replaced incarnation is left alone. */
void route_ended (Members *members,
                  const char *agent,
                  uint64_t incarnation,
                  const char *service,
                  RouteEnd end,
                  int64_t now_us);

/** Requests believed to be at @p endpoint. */
uint32_t route_load (const MembersEndpoint *endpoint);

G_END_DECLS
