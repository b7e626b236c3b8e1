/**
 * @file net_client.h
 * HTTP/1.1 calls over libcurl on the default GLib main context.
 *
 * All calls are asynchronous and belong to the thread of the main loop. Every call ends when
 * nothing moved for its time-out, so a connection that went silent costs one call and is then
 * closed, and a large body over a slow link is not cut short.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct NetClient NetClient;

/** One call. Texts belong to the caller and are copied. */
typedef struct
{
  const char *method;
  const char *url;
  const char *content_type;   /**< NULL without a body */
  const char *const *headers; /**< "Name: value", NULL-terminated; NULL for none */
  const void *body;
  size_t size;
  int64_t timeout_ms; /**< without a byte sent or received for this long the call ends */
} NetCall;

/** A call ends after this many time-outs, however it moves. */
#define NET_CLIENT_TIMEOUTS_MAX 8

/** What came back. The body is valid during the callback only, and ends with a zero byte. */
typedef struct
{
  uint32_t status;       /**< HTTP status; 0 when no whole answer came */
  gboolean may_have_run; /**< without an answer: the peer may have received the call */
  const char *body;
  size_t size;
  const char *reason; /**< of a call without an answer; static storage */
} NetAnswer;

typedef void (*NetDone) (void *ctx, const NetAnswer *answer);

/** Makes a client; free with net_client_free(). */
NetClient *net_client_new (void);

/** Drops all calls under way without calling back. NULL is allowed. */
void net_client_free (NetClient *client);

/**
 * Starts a call; @p done is called once, later, from the main loop. If the client is freed before,
 * @p drop is called in its place to free @p ctx; NULL if it owns nothing.
 */
void net_client_call (
    NetClient *client, const NetCall *call, NetDone done, GDestroyNotify drop, void *ctx);

G_END_DECLS
