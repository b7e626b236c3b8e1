/**
 * @file net_client.h
 * HTTP/1.1 client over libcurl on the default GLib main context.
 *
 * All calls are asynchronous and run on the thread of the main loop. A call fails when no byte is
 * sent or received for its time-out. A dead connection therefore fails only one call and is then
 * closed, with the idle ones to the same address that are as old. A large body over a slow link is
 * not cut short.
 *
 * At most #NET_CLIENT_CONNECTIONS_MAX connections to one address are open. Further calls wait for
 * one of them; their time-outs run meanwhile.
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

/** Limit of open connections to one address. */
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

/** Creates a client; free with net_client_free(). */
NetClient *net_client_new (void);

/** Cancels all calls in flight without calling their callbacks. NULL is allowed. */
void net_client_free (NetClient *client);

/**
 * Starts a call; @p done is called once, later, from the main loop. If the client is freed before
 * that, @p drop is called instead to free @p ctx; NULL if there is nothing to free.
 */
void net_client_call (
    NetClient *client, const NetCall *call, NetDone done, GDestroyNotify drop, void *ctx);

G_END_DECLS
