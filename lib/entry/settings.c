#include "entry/settings.h"

#include <string.h>

#include "common/err.h"
#include "common/jnl.h"
#include "entry/params.h"

#define DAY_MS INT64_C (86400000)
/** Smallest default of http.pool_bytes, as in lib/net/net_server.c. */
#define POOL_BYTES_MIN 16384
#define WEEK_MS INT64_C (604800000)

#define INTEGER(name, field, min, max, fallback, help)                                             \
  {                                                                                                \
    name, SET_INTEGER, offsetof (EntrySettings, field), min, max, fallback, help                   \
  }
#define TEXT(name, field, min, max, fallback, help)                                                \
  {                                                                                                \
    name, SET_TEXT, offsetof (EntrySettings, field), min, max, fallback, help                      \
  }

static const SetKey setting_keys[] = {
  TEXT ("name", name, 1, 63, NULL, "Name of this entry, unique in the system."),
  TEXT ("data_centre", data_centre, 1, 63, NULL, "Data centre of this entry."),
  TEXT ("http.host", http_host, 1, 63, "127.0.0.1", "IP number to listen on."),
  INTEGER ("http.port", http_port, 1, 65535, "8080", "Port for callers and operators."),
  INTEGER ("http.body_bytes_max",
           http_body_bytes_max,
           1,
           2097152,
           "1048576",
           "Largest body of a request."),
  INTEGER ("http.headers_bytes_max",
           http_headers_bytes_max,
           1024,
           1048576,
           "16384",
           "Largest request line with headers."),
  INTEGER ("http.connections_max",
           http_connections_max,
           1,
           100000,
           "4096",
           "Largest number of open connections."),
  INTEGER ("http.pool_bytes",
           http_pool_bytes,
           0,
           4194304,
           "0",
           "Memory for the headers of each connection; 0: twice http.headers_bytes_max, at least "
           "16384."),
  INTEGER ("http.buffer_bytes",
           http_buffer_bytes,
           1048576,
           1000000000,
           "67108864",
           "Largest total of request bodies and unsent answers of all connections, in bytes."),
  INTEGER ("http.idle_ms",
           http_idle_ms,
           1000,
           600000,
           "30000",
           "Idle timeout of a connection, and longest time for receiving a request."),
  TEXT ("wire.listen",
        wire_listen,
        1,
        255,
        "tcp://127.0.0.1:7001",
        "Address for agents and other entries."),
  { "wire.peers", SET_LIST, offsetof (EntrySettings, wire_peers), 0, 64, "",
    "Other entries, each \"name=tcp://IP:PORT\"." },
  INTEGER ("wire.queue_max",
           wire_queue_max,
           16,
           1000000,
           "8192",
           "Largest number of messages queued for one peer."),
  TEXT ("log.host", log_host, 1, 63, "127.0.0.1", "IP number of the platform's log service."),
  INTEGER ("log.port", log_port, 1, 65535, "9100", "Port of the log service."),
  TEXT ("log.stream", log_stream, 1, 63, "acacia", "Stream of records."),
  TEXT ("log.snapshot_stream",
        log_snapshot_stream,
        1,
        63,
        "acacia-snapshots",
        "Stream of snapshots."),
  INTEGER ("log.connect_ms",
           log_connect_ms,
           10,
           60000,
           "1000",
           "Timeout for connecting to the log service."),
  INTEGER (
      "log.read_ms", log_read_ms, 10, 60000, "2000", "Timeout for an answer of the log service."),
  INTEGER ("log.give_up_ms",
           log_give_up_ms,
           10,
           600000,
           "3000",
           "Time after which an append that was not answered is in doubt."),
  INTEGER ("snapshot_every_ms",
           snapshot_every_ms,
           1000,
           DAY_MS,
           "600000",
           "Interval between snapshots; must be well under the log's retention."),
  INTEGER ("shards", shards, 1, 64, "1", "Shards of tasks; the same in every process."),
  INTEGER ("lease_ms", lease_ms, 100, 600000, "5000", "Length of a lease."),
  INTEGER ("fresh_ms",
           fresh_ms,
           100,
           600000,
           "2000",
           "Largest age of the view of the log at which leases are renewed."),
  INTEGER ("drift_ms", drift_ms, 0, 60000, "500", "Bound on drift between two clocks in a lease."),
  INTEGER (
      "outage_ms",
      outage_ms,
      0,
      DAY_MS,
      "7200000",
      "Longest outage of the log through which leases are renewed by consent; the same in every "
      "entry."),
  INTEGER (
      "heartbeat_ms", heartbeat_ms, 10, 60000, "500", "Interval between digests to other entries."),
  INTEGER ("tick_ms", tick_ms, 1, 10000, "100", "Interval between scheduling decisions."),
  INTEGER ("member_timeout_ms",
           member_timeout_ms,
           20,
           600000,
           "1250",
           "Time without a heartbeat after which an agent or entry gets no new work."),
  INTEGER ("key_window_ms",
           key_window_ms,
           1000,
           WEEK_MS,
           "86400000",
           "Time for which idempotency keys are kept; the same in every process."),
  INTEGER ("answer_bytes_max",
           answer_bytes_max,
           0,
           262144,
           "65536",
           "Largest answer kept with an outcome; the same in every process."),
  INTEGER ("calls_max",
           calls_max,
           1,
           1000000,
           "4096",
           "Largest number of requests waiting for answers."),
  INTEGER ("stop_wait_ms",
           stop_wait_ms,
           0,
           600000,
           "30000",
           "Longest wait for requests in flight when stopping."),
  TEXT ("log_level", log_level, 4, 5, "info", "debug, info, warn or error."),
};

gboolean
settings_peer (const char *text, char **name, char **address, GError **error)
{
  const char *equals = strchr (text, '=');

  *name = equals != NULL ? g_strndup (text, (gsize) (equals - text)) : NULL;
  if (params_is_name (*name, PARAMS_NAME_MAX) && g_str_has_prefix (equals + 1, "tcp://"))
    {
      *address = g_strdup (equals + 1);
      return TRUE;
    }
  g_clear_pointer (name, g_free);
  err_set (error, ERR_BAD_CONFIG, "wire.peers: %s: expected name=tcp://IP:PORT", text);
  return FALSE;
}

static gboolean
check_peers (const EntrySettings *settings, GError **error)
{
  for (char **peer = settings->wire_peers; *peer != NULL; peer++)
    {
      g_autofree char *name = NULL;
      g_autofree char *address = NULL;
      if (!settings_peer (*peer, &name, &address, error))
        return FALSE;
    }
  return TRUE;
}

static gboolean
check_rest (const EntrySettings *settings, GError **error)
{
  JnlLevel level = JNL_INFO;

  if (!params_is_name (settings->name, PARAMS_NAME_MAX))
    err_set (error, ERR_BAD_CONFIG, "name: expected letters, digits, '.', '_' or '-'");
  else if (!jnl_level_from_name (settings->log_level, &level))
    err_set (error, ERR_BAD_CONFIG, "log_level: expected debug, info, warn or error");
  else
    return check_peers (settings, error);
  return FALSE;
}

gboolean
settings_load (const char *path, EntrySettings *settings, GError **error)
{
  if (!set_load (setting_keys, G_N_ELEMENTS (setting_keys), path, settings, error))
    return FALSE;
  if (check_rest (settings, error))
    return TRUE;
  settings_clear (settings);
  return FALSE;
}

void
settings_clear (EntrySettings *settings)
{
  set_clear (setting_keys, G_N_ELEMENTS (setting_keys), settings);
}

size_t
settings_pool_bytes (const EntrySettings *settings)
{
  int64_t bytes = settings->http_pool_bytes;

  if (bytes == 0)
    bytes = MAX (settings->http_headers_bytes_max * 2, POOL_BYTES_MIN);
  return (size_t) bytes;
}

char *
settings_example (void)
{
  return set_example (setting_keys, G_N_ELEMENTS (setting_keys));
}
