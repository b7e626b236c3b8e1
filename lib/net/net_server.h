/**
 * @file net_server.h
 * An HTTP/1.1 server over libmicrohttpd on the default GLib main context, without threads.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct NetServer NetServer;

/** One request whose body has been read. Valid until it is answered. */
typedef struct NetRequest NetRequest;

/** Answers @p request with net_request_reply(), now or later. */
typedef void (*NetHandler) (void *ctx, NetRequest *request);

typedef struct
{
  const char *address; /**< "IP:PORT" */
  uint32_t connections_max;
  uint32_t idle_s;         /**< a connection without a request is closed after this long */
  uint32_t body_bytes_max; /**< a longer body is refused with 413 */
  NetHandler handler;
  void *ctx;
} NetServerOptions;

/** Listens; NULL with #ERR_REFUSED when the address can't be used. */
NetServer *net_server_new (const NetServerOptions *options, GError **error);

/**
 * Closes all connections. Requests that were not answered get 504, since what becomes of them is
 * not known, and must not be used any more.
 */
void net_server_free (NetServer *server);

/** Stops listening; open connections go on, and each is closed after its next answer. */
void net_server_quiesce (NetServer *server);

/** Requests that were read and not answered yet. */
uint32_t net_server_open_requests (const NetServer *server);

const char *net_request_method (const NetRequest *request);
const char *net_request_path (const NetRequest *request);
/** Value of a header, or NULL; owned by @p request. */
const char *net_request_header (const NetRequest *request, const char *name);
/** Value of an argument of the query, or NULL; owned by @p request. */
const char *net_request_argument (const NetRequest *request, const char *name);
/** The body with a zero byte behind it; @p size may be NULL. Owned by @p request. */
const char *net_request_body (const NetRequest *request, size_t *size);
/** When the request was read whole, on clk_now_us(). */
int64_t net_request_read_us (const NetRequest *request);

/** An answer. Texts are copied. */
typedef struct
{
  uint32_t status;
  const char *content_type; /**< NULL without a body */
  const char *body;         /**< NULL for none */
  size_t body_size;         /**< 0: the body is a text */
  uint32_t retry_after_s;   /**< 0: no Retry-After */
} NetReply;

/** Answers once; the request is gone afterwards. */
void net_request_reply (NetRequest *request, const NetReply *reply);

G_END_DECLS
