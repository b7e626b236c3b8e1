/**
 * @file node_settings.h
 * Settings of the programs on the users' instances. Both programs use the same file.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  char *name; /**< name of this instance */
  char *data_centre;
  char *ip;
  int64_t internal_port; /**< first port for messages between the deployment's processes */
  int64_t metrics_port;
  char *caller_address;      /**< "IP:PORT" where callers connect; "" for none */
  char *ready_address;       /**< "IP:PORT" of the readiness probe */
  char *worker_address;      /**< "IP:PORT" where the worker reports; "" for none */
  char *worker_call_address; /**< "IP:PORT" where the worker accepts calls */
  char *store_address;
  int64_t state_s;         /**< how long the state of an ended job is reported to callers */
  int64_t evacuate_ms;     /**< nothing starts in a data centre this long after its evacuation was
                                requested */
  int64_t memory_mb;       /**< memory of this instance */
  int64_t connections_max; /**< open connections of callers */
  int64_t
      buffer_bytes; /**< request bodies and unsent answers; 0: see node_settings_buffer_bytes() */
  int64_t read_timeout_s; /**< longest time to read a request */
  int64_t outbox_bytes;   /**< records that wait for the store; 0: a sixteenth of the memory */
  int64_t job_bytes;      /**< bodies of accepted jobs; 0: a quarter of the memory */
  int64_t tasks_max;      /**< tasks of accepted jobs; 0: see node_settings_tasks_max() */
  char *cpu_share;        /**< share of a core, a fraction */
  int64_t lease_max_ms;   /**< longest lease that a worker accepts */
  int64_t gang_timeout_ms;
  char *leave_s;          /**< time between SIGTERM and SIGKILL, a fraction */
  gboolean reserves_gaps; /**< a worker is kept for a large task that waits */
  char *shares_by;        /**< origins that share processors, see shares_by_parse() */
  int64_t log_lines_per_s;
} NodeSettings;

/** Loads @p path (NULL: only defaults); FALSE with #ERR_BAD_CONFIG. */
gboolean node_settings_load (const char *path, NodeSettings *settings, GError **error);

void node_settings_clear (NodeSettings *settings);

/** Example file with all settings and their defaults; free with g_free(). */
char *node_settings_example (void);

/** Parses a fraction such as "0.25"; returns @p fallback if it is malformed. */
double node_settings_fraction (const char *text, double fallback);

/** Another entry claims ownership if it has read no record of the owner for this long. */
#define NODE_OWNER_QUIET_MS 3300
/** Time from then until the new owner has received the agents' reports and extended their leases.
 * Claims are spread over 0.4 s; a connection and a report take about 0.3 s, and as long again with
 * a slow store. */
#define NODE_TAKEOVER_MS 1200

/** Duration of the grant that follows a report, in ms. It outlasts a change of owner if workers
 * accept leases that long. */
int64_t node_settings_grant_ms (const NodeSettings *settings);

/** Bytes of request bodies and unsent answers that a process holds, over all connections. */
uint32_t node_settings_buffer_bytes (const NodeSettings *settings);

/** Bytes of records that may wait for the store before new jobs are refused. */
uint64_t node_settings_outbox_bytes (const NodeSettings *settings);
/** Bytes of the bodies of accepted jobs above which new jobs are refused. */
uint64_t node_settings_job_bytes (const NodeSettings *settings);
/** Tasks of accepted jobs above which new jobs are refused. */
uint64_t node_settings_tasks_max (const NodeSettings *settings);

G_END_DECLS
