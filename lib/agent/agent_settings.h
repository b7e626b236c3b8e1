/**
 * @file agent_settings.h
 * Settings file of acacia-agent.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/jnl.h"
#include "common/lab.h"

G_BEGIN_DECLS

typedef struct
{
  char *name;
  char *data_centre;
  char *rack;
  char **labels;
  char **entries;
  char *http_host;
  int64_t http_port;
  char *worker_host;
  int64_t worker_port;
  int64_t worker_connect_ms;
  int64_t worker_read_ms;
  int64_t worker_poll_ms;
  int64_t worker_orphan_ms;
  char *endpoint_service;
  char *endpoint_host;
  int64_t endpoint_port;
  int64_t endpoint_slots;
  int64_t endpoint_connections;
  int64_t endpoint_threads;
  int64_t endpoint_connect_ms;
  int64_t endpoint_once_read_ms;
  int64_t endpoint_health_ms;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t heartbeat_ms;
  int64_t lease_margin_ms;
  int64_t ready_ms;
  int64_t drain_task_ms;
  int64_t drain_receipt_ms;
  int64_t tasks_max;
  int64_t fences_max;
  int64_t fences_keep_ms;
  int64_t attempts_max;
  int64_t attempts_keep_ms;
  int64_t answers_bytes_max;
  int64_t refusals_max;
  int64_t send_queue_max;
  char *log_level;
  /** Parsed from the strings above. */
  LabSet *label_set;
  JnlLevel level;
} AgentSettings;

/** Reads and checks @p path (NULL: defaults only); FALSE with #ERR_BAD_CONFIG. */
gboolean agent_settings_load (const char *path, AgentSettings *settings, GError **error);

void agent_settings_clear (AgentSettings *settings);

/** Returns a commented example file; free with g_free(). */
char *agent_settings_example (void);

/** Splits "NAME=tcp://IP:PORT"; FALSE when malformed. Free both parts with g_free(). */
gboolean agent_settings_entry (const char *text, char **name, char **address);

G_END_DECLS
