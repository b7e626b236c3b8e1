/**
 * @file node_settings.h
 * Settings of the processes on the users' instances: the same file serves both programs.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  char *name; /**< of this instance */
  char *data_centre;
  char *ip;
  int64_t internal_port; /**< first of those for messages between our processes */
  int64_t metrics_port;
  char *caller_address;      /**< "IP:PORT" where callers connect; "" if none do */
  char *ready_address;       /**< "IP:PORT" of the readiness probe */
  char *worker_address;      /**< "IP:PORT" where the worker reports; "" if none does */
  char *worker_call_address; /**< "IP:PORT" of the worker's interface for orders */
  char *store_address;
  int64_t state_s;      /**< the state of a job is told for this long after its end */
  char *cpu_share;      /**< share of a core, a fraction */
  int64_t lease_max_ms; /**< longest lease that a worker takes */
  int64_t gang_timeout_ms;
  char *leave_s; /**< time between SIGTERM and SIGKILL, a fraction */
  int64_t log_lines_per_s;
} NodeSettings;

/** Reads @p path (NULL: defaults alone); FALSE with #ERR_BAD_CONFIG. */
gboolean node_settings_load (const char *path, NodeSettings *settings, GError **error);

void node_settings_clear (NodeSettings *settings);

/** All settings with their defaults; free with g_free(). */
char *node_settings_example (void);

/** A fraction such as "0.25"; @p fallback when it can't be read. */
double node_settings_fraction (const char *text, double fallback);

/** Another entry claims the jobs when it has read no sign of life of the owner for this long. */
#define NODE_OWNER_QUIET_MS 3300
/** From there until the new owner has heard the agents and prolonged what they run: claims are
 * spread over 0.4 s, a connection and a report take some 0.3 s, and as long again beside a slow
 * store. */
#define NODE_TAKEOVER_MS 1200

/** Lease that agents take from a report: it outlasts a change of owner, if workers take that long.
 */
int64_t node_settings_grant_ms (const NodeSettings *settings);

G_END_DECLS
