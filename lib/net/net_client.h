/**
 * @file net_client.h
 * HTTP/1.1 client over libcurl on the default GLib main context.
 *
 * All calls are asynchronous and run on the thread of the main loop. A call fails when no byte is
 * sent or received for its time-out. A large body over a slow link is not cut short.
 *
 * Connections can go silent without a reset, many at once. After a time-out no later call uses a
 * connection to that address that was open then; they are closed once the calls that are under way
 * over them have ended. So however many went silent, a call that begins after the first time-out
 * goes over a new one.
 *
 * At most #NET_CLIENT_CONNECTIONS_MAX connections to one address are open, and a few more while
 * calls go on over connections that were replaced. Further calls wait for one of them; their
 * time-outs run meanwhile.
 *
 * A request other than GET is sent at most once: libcurl's own repeats over another connection are
 * suppressed, since their answers say nothing of the first transmission.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct NetClient NetClient;

/** One call. All strings and the body are copied. */
typedef struct
{
  const char *method;
  const char *url;
  const char *content_type;   /**< NULL without a body */
  const char *const *headers; /**< "Name: value", NULL-terminated; NULL for none */
  const void *body;
  size_t size;
  int64_t timeout_ms; /**< the call ends when no byte is sent or received for this long */
} NetCall;

/** Limit of the total duration of a call, in multiples of its time-out. */
#define NET_CLIENT_TIMEOUTS_MAX 8

/** Limit of open connections to one address: more than a worker of 32 cores has tasks of 0.37
 * cores. */
#define NET_CLIENT_CONNECTIONS_MAX 128

/** Result of a call. The body is valid during the callback only, and ends with a zero byte. */
typedef struct
{
  uint32_t status;       /**< HTTP status; 0 when no complete answer arrived */
  gboolean may_have_run; /**< without an answer: FALSE only if no connection was established */
  const char *body;
  size_t size;
  const char *reason; /**< why there is no answer; static storage */
} NetAnswer;

typedef void (*NetDone) (void *ctx, const NetAnswer *answer);

/** A call that timed out. Valid during the callback only. */
typedef struct
{
  const char *peer;       /**< host:port */
  uint64_t generation;    /**< how often the connections to the peer had been replaced before */
  gboolean has_replaced;  /**< they are replaced because of this call; FALSE: they had been */
  gboolean was_started;   /**< a connection was there, and the request may have left over it */
  uint32_t n_connections; /**< connections of that generation */
  uint32_t n_others;      /**< other calls over them */
  int64_t waited_ms;      /**< since the call began */
} NetTimeout;

typedef void (*NetClientTimedOut) (void *ctx, const NetTimeout *timeout);

/** Creates a client; free with net_client_free(). */
NetClient *net_client_new (void);

/** Cancels all calls in flight without calling their callbacks. NULL is allowed. */
void net_client_free (NetClient *client);

/** Calls @p timed_out for each call that times out, before its own callback. It must not use the
 * client. NULL: none. */
void net_client_on_timeout (NetClient *client, NetClientTimedOut timed_out, void *ctx);

/**
 * Starts a call; @p done is called once, later, from the main loop. If the client is freed before
 * that, @p drop is called instead to free @p ctx; NULL if there is nothing to free.
 */
void net_client_call (
    NetClient *client, const NetCall *call, NetDone done, GDestroyNotify drop, void *ctx);

G_END_DECLS
