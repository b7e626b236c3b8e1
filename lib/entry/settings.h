/**
 * @file settings.h
 * Settings of the entry program: table of keys, and the struct that they fill.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/set.h"

G_BEGIN_DECLS

/** All settings; owns its strings and lists. */
typedef struct
{
  char *name;
  char *data_centre;
  char *http_host;
  int64_t http_port;
  int64_t http_body_bytes_max;
  int64_t http_headers_bytes_max;
  int64_t http_connections_max;
  int64_t http_pool_bytes; /**< see settings_pool_bytes() */
  int64_t http_buffer_bytes;
  int64_t http_idle_ms;
  char *wire_listen;
  char **wire_peers;
  int64_t wire_queue_max;
  char *log_host;
  int64_t log_port;
  char *log_stream;
  char *log_snapshot_stream;
  int64_t log_connect_ms;
  int64_t log_read_ms;
  int64_t log_give_up_ms;
  int64_t snapshot_every_ms;
  int64_t shards;
  int64_t lease_ms;
  int64_t fresh_ms;
  int64_t drift_ms;
  int64_t outage_ms;
  int64_t heartbeat_ms;
  int64_t tick_ms;
  int64_t member_timeout_ms;
  int64_t key_window_ms;
  int64_t answer_bytes_max;
  int64_t calls_max;
  int64_t stop_wait_ms;
  char *log_level;
} EntrySettings;

/** Loads @p path, or the defaults for NULL; FALSE with #ERR_BAD_CONFIG. */
gboolean settings_load (const char *path, EntrySettings *settings, GError **error);

/** Frees the strings and lists of @p settings. */
void settings_clear (EntrySettings *settings);

/** Returns a commented example with all keys; free with g_free(). */
char *settings_example (void);

/** Bytes for the headers of each connection. */
size_t settings_pool_bytes (const EntrySettings *settings);

/** Splits "name=address"; FALSE with #ERR_BAD_CONFIG. Free both with g_free(). */
gboolean settings_peer (const char *text, char **name, char **address, GError **error);

G_END_DECLS
