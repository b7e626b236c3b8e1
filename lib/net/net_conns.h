/**
 * @file net_conns.h
 * Connections of a libmicrohttpd server: applies the limits of net_peers.h, and gives memory back.
 *
 * All functions are called on the thread that runs the daemon.
 */
#pragma once

#include <microhttpd.h>

#include "net/net_peers.h"

G_BEGIN_DECLS

/** An open connection. */
typedef struct
{
  NetPeer peer; /**< first, so that it is the same address */
  int fd;
  void *request; /**< of the server; NULL between requests */
} NetConn;

typedef struct
{
  uint32_t connections_max;
  gboolean excess_waits; /**< connections above the limit wait instead of taking another's place */
  size_t pool_bytes;     /**< memory of libmicrohttpd for each connection; bounds the headers */
  uint32_t buffer_bytes_max; /**< request bodies and unsent answers; 0: no limit */
  uint32_t idle_s;
  uint32_t read_timeout_s; /**< longest time to read a request and to send an answer; 0: no limit */
  /** Called before a connection is closed because of a limit; frees an incomplete body. */
  void (*on_close) (void *ctx, NetConn *conn, const char *reason);
  void *ctx;
} NetConnsOptions;

/** Part of the server's own struct. Its members are private to the module. */
typedef struct
{
  NetConnsOptions options;
  NetPeers peers;
  uint64_t freed; /**< bytes freed since memory was last given back */
} NetConns;

/** @p conns must not move afterwards. */
void net_conns_init (NetConns *conns, const NetConnsOptions *options);

/** Value of MHD_OPTION_CONNECTION_LIMIT. */
unsigned int net_conns_limit (const NetConns *conns);

/** MHD_NotifyConnectionCallback; @p ctx is a NetConns. */
void net_conns_notify (void *ctx,
                       struct MHD_Connection *connection,
                       void **slot,
                       enum MHD_ConnectionNotificationCode code);

/** Closes connections that exceed a time limit, and gives freed memory back to the system. */
void net_conns_check (NetConns *conns, int64_t now_us);

/** The connection that net_conns_notify() added; owned by the module. */
NetConn *net_conn_of (struct MHD_Connection *connection);

void net_conn_set_phase (NetConn *conn, NetPhase phase);

/** Outcome of net_conn_append(). */
typedef enum
{
  NET_BODY_KEPT,
  NET_BODY_TOO_LARGE,
  NET_BODY_UNBUFFERED, /**< the connections together hold too much */
} NetBody;

/** Adds a piece to a request's body of at most @p bytes_max, and charges its memory. */
NetBody
net_conn_append (NetConn *conn, GByteArray *body, const void *data, size_t size, size_t bytes_max);

/** Ends the charge of a body that net_conn_append() built. */
void net_conn_uncharge_body (NetConn *conn, const GByteArray *body);

/** Ends all charges of the connection. */
void net_conn_uncharge (NetConn *conn);

G_END_DECLS
