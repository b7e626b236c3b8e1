/**
 * @file node.h
 * Common part of the programs on the users' instances: main loop, signals, metrics, decision log.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/met.h"
#include "net/net_client.h"
#include "net/net_server.h"
#include "node/node_settings.h"

G_BEGIN_DECLS

typedef struct Node Node;

typedef struct
{
  const NodeSettings *settings;
  /** Called once on SIGTERM or SIGINT; the program calls node_quit() when it may exit. */
  void (*on_leave) (void *ctx);
  /** Called on SIGHUP. May be NULL. */
  void (*on_reload) (void *ctx);
  /** Path of the metrics address at which POST requests go to @p on_post; NULL for none. */
  const char *post_path;
  uint32_t
      post_bytes_max; /**< largest body of such a request; others have their bodies discarded */
  NetHandler on_post;
  void *ctx;
} NodeOptions;

/** Starts the metrics server and handles signals; NULL if the metrics address is in use. */
Node *node_new (const NodeOptions *options, GError **error);
/** NULL is allowed. */
void node_free (Node *node);

/** Counts a refused request or closed connection of a server of this process, and logs it at most
 * once a second. @p server and @p reason must be short names. */
void node_refused (Node *node, const char *server, const char *reason);

MetRegistry *node_metrics (Node *node);
NetClient *node_client (Node *node);

/** Runs the main loop until node_quit(). */
void node_run (Node *node);
void node_quit (Node *node);

/** Random id of this process; never 0. */
uint64_t node_boot (const Node *node);

/** Defers SIGTERM, SIGINT and SIGHUP until node_new() handles them. Call it first in main(): their
 * default action ends a process that could still leave in order. */
void node_block_signals (void);

G_END_DECLS
