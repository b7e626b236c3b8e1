/**
 * @file net_server.h
 * HTTP/1.1 server over libmicrohttpd on the default GLib main context, without threads.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct NetServer NetServer;

/** One request whose body has been read. Valid until net_request_reply(). */
typedef struct NetRequest NetRequest;

/** Handles @p request; must call net_request_reply() for it, at once or later. */
typedef void (*NetHandler) (void *ctx, NetRequest *request);

typedef struct
{
  const char *address; /**< "IP:PORT" */
  /** Above this, the connection whose request has been incomplete for longest is closed. */
  uint32_t connections_max;
  uint32_t idle_s;         /**< an idle connection is closed after this time */
  uint32_t body_bytes_max; /**< a larger body is rejected with 413; 0: bodies are discarded */
  /** Bytes of request bodies and unsent answers of all connections; 0: no limit. */
  uint32_t buffer_bytes_max;
  /** Longest time to read a request, and to send an answer; 0: no limit. */
  uint32_t read_timeout_s;
  /** Whether a body of this request is kept; NULL: each is. The rest is discarded as it comes. */
  gboolean (*takes_body) (void *ctx, const char *method, const char *path, const char *host);
  /** Called for each connection that was closed or request that was refused. May be NULL. */
  void (*on_refused) (void *ctx, const char *reason);
  /** Connections above the limit wait in the listen queue; otherwise another one is closed. */
  gboolean excess_waits;
  NetHandler handler;
  void *ctx;
} NetServerOptions;

/** Starts to listen. Returns NULL with #ERR_BAD_CONFIG or #ERR_REFUSED. */
NetServer *net_server_new (const NetServerOptions *options, GError **error);

/**
 * Closes all connections. Requests without a reply get 504, because their outcome is unknown, and
 * must not be used any more.
 */
void net_server_free (NetServer *server);

/** Stops listening. Open connections continue, and each is closed after its next reply. */
void net_server_quiesce (NetServer *server);

/** Number of requests without a reply so far. */
uint32_t net_server_open_requests (const NetServer *server);

const char *net_request_method (const NetRequest *request);
const char *net_request_path (const NetRequest *request);
/** Value of a header, or NULL; owned by @p request. */
const char *net_request_header (const NetRequest *request, const char *name);
/** Value of a query argument, or NULL; owned by @p request. */
const char *net_request_argument (const NetRequest *request, const char *name);
/** The body, followed by a zero byte; @p size may be NULL. Owned by @p request. */
const char *net_request_body (const NetRequest *request, size_t *size);
/** Time when the request was read completely, on the clock of clk_now_us(). */
int64_t net_request_read_us (const NetRequest *request);

/** A reply. Strings and the body are copied. */
typedef struct
{
  uint32_t status;
  const char *content_type; /**< NULL without a body */
  const char *body;         /**< NULL for none */
  size_t body_size;         /**< 0: the body is a string */
  uint32_t retry_after_s;   /**< 0: no Retry-After */
  const char *location;     /**< NULL: no Location */
} NetReply;

/** Sends the reply; @p request must not be used afterwards. */
void net_request_reply (NetRequest *request, const NetReply *reply);

G_END_DECLS
