#include "agent/agent_settings.h"

#include <stddef.h>
#include <string.h>

#include "common/doc.h"
#include "common/err.h"
#include "common/set.h"

#define TEXT_MAX 255
#define LIST_MAX 256
#define PORT_MAX 65535
#define MS_MAX 3600000
#define THREADS_MAX 1024
#define ROWS_MAX 4194304
#define BYTES_MAX (INT64_C (1) << 32)
#define SIZE_MAX_VALUE INT64_C (1000000000000)

#define TEXT(key, field, min, fallback, help)                                                      \
  {                                                                                                \
    key, SET_TEXT, offsetof (AgentSettings, field), min, TEXT_MAX, fallback, help                  \
  }
#define LIST(key, field, fallback, help)                                                           \
  {                                                                                                \
    key, SET_LIST, offsetof (AgentSettings, field), 0, LIST_MAX, fallback, help                    \
  }
#define INTEGER(key, field, min, max, fallback, help)                                              \
  {                                                                                                \
    key, SET_INTEGER, offsetof (AgentSettings, field), min, max, fallback, help                    \
  }

static const SetKey setting_keys[] = {
  TEXT ("name", name, 1, NULL, "Name of this agent, unique in the system"),
  TEXT ("data_centre", data_centre, 0, "", "Data centre of the instance"),
  TEXT ("rack", rack, 0, "", "Rack of the instance"),
  LIST ("labels", labels, "", "Labels of the instance, each \"key=value\""),
  LIST ("entries", entries, "", "Entries, each \"NAME=tcp://IP:PORT\""),
  TEXT ("http.host", http_host, 1, "127.0.0.1", "Address of /metrics, /healthz and /readyz"),
  INTEGER ("http.port", http_port, 0, PORT_MAX, "0", "Their port; 0: none is opened"),
  TEXT ("worker.host", worker_host, 1, "127.0.0.1", "Address of the worker's task interface"),
  INTEGER (
      "worker.port", worker_port, 0, PORT_MAX, "0", "Its port; 0: this instance runs no tasks"),
  INTEGER ("worker.connect_ms", worker_connect_ms, 1, MS_MAX, "1000", "Time to connect to it"),
  INTEGER ("worker.read_ms", worker_read_ms, 1, MS_MAX, "2000", "Time to wait for its answer"),
  INTEGER ("worker.poll_ms", worker_poll_ms, 10, MS_MAX, "500", "Interval of polling its tasks"),
  INTEGER ("worker.orphan_ms",
           worker_orphan_ms,
           0,
           MS_MAX,
           "30000",
           "Maximum lease that tasks of an earlier agent process may still hold"),
  TEXT ("endpoint.service", endpoint_service, 0, "", "Service of the endpoint; empty: no endpoint"),
  TEXT ("endpoint.host", endpoint_host, 1, "127.0.0.1", "Address of the endpoint"),
  INTEGER ("endpoint.port", endpoint_port, 0, PORT_MAX, "0", "Port of the endpoint; 0: none"),
  INTEGER ("endpoint.slots",
           endpoint_slots,
           1,
           THREADS_MAX,
           "8",
           "Requests run at once, until a configuration document sets it"),
  INTEGER ("endpoint.connections",
           endpoint_connections,
           1,
           ROWS_MAX,
           "64",
           "Requests running or queued, until a configuration document sets it"),
  INTEGER ("endpoint.threads",
           endpoint_threads,
           1,
           THREADS_MAX,
           "16",
           "Threads that call the endpoint; upper limit of the slots"),
  INTEGER ("endpoint.connect_ms", endpoint_connect_ms, 1, MS_MAX, "1000", "Time to connect to it"),
  INTEGER ("endpoint.once_read_ms",
           endpoint_once_read_ms,
           1,
           MS_MAX,
           "30000",
           "Minimum time to wait for the answer to a once request"),
  INTEGER (
      "endpoint.health_ms", endpoint_health_ms, 10, MS_MAX, "1000", "Interval of health checks"),
  INTEGER ("capacity.cpu_milli",
           cpu_milli,
           0,
           SIZE_MAX_VALUE,
           "0",
           "Thousandths of a processor, until the worker reports its capacity"),
  INTEGER ("capacity.memory_mb",
           memory_mb,
           0,
           SIZE_MAX_VALUE,
           "0",
           "Mebibytes, until the worker reports its capacity"),
  INTEGER ("capacity.accelerators",
           accelerators,
           0,
           SIZE_MAX_VALUE,
           "0",
           "Accelerators, until the worker reports its capacity"),
  INTEGER ("heartbeat_ms", heartbeat_ms, 10, MS_MAX, "500", "Interval of heartbeats"),
  INTEGER ("lease_margin_ms",
           lease_margin_ms,
           0,
           MS_MAX,
           "1000",
           "Tasks are checkpointed this long before the end of their lease"),
  INTEGER (
      "ready_ms", ready_ms, 10, MS_MAX, "3000", "Not ready if no entry answered for this long"),
  INTEGER ("drain_task_ms",
           drain_task_ms,
           0,
           MS_MAX,
           "20000",
           "Maximum time that a leaving agent waits for its tasks"),
  INTEGER ("drain_receipt_ms",
           drain_receipt_ms,
           0,
           MS_MAX,
           "3000",
           "Maximum time that a leaving agent waits for the receipt of its last messages"),
  INTEGER (
      "tasks_max", tasks_max, 1, ROWS_MAX, "4096", "Maximum number of task attempts in the table"),
  INTEGER (
      "fences_max", fences_max, 1, ROWS_MAX, "65536", "Maximum number of fences of task attempts"),
  INTEGER ("fences_keep_ms",
           fences_keep_ms,
           0,
           MS_MAX,
           "600000",
           "Minimum time for which fences are kept"),
  INTEGER ("attempts_max",
           attempts_max,
           1,
           ROWS_MAX,
           "65536",
           "Maximum number of attempts of once requests in the table"),
  INTEGER ("attempts_keep_ms",
           attempts_keep_ms,
           0,
           MS_MAX,
           "600000",
           "Minimum time for which ended attempts are kept"),
  INTEGER ("answers_bytes_max",
           answers_bytes_max,
           0,
           BYTES_MAX,
           "67108864",
           "Maximum total size of stored answers to once requests, in bytes"),
  INTEGER ("refusals_max",
           refusals_max,
           1,
           ROWS_MAX,
           "8192",
           "Maximum number of ids of refused repeatable requests"),
  INTEGER ("send_queue_max",
           send_queue_max,
           1,
           ROWS_MAX,
           "4096",
           "Maximum number of messages queued for one entry"),
  TEXT ("log.level", log_level, 1, "info", "debug, info, warn or error"),
};

static gboolean
check_entries (const AgentSettings *settings, GError **error)
{
  for (char **text = settings->entries; *text != NULL; text++)
    {
      g_autofree char *name = NULL;
      g_autofree char *address = NULL;
      if (!agent_settings_entry (*text, &name, &address))
        {
          err_set (error, ERR_BAD_CONFIG, "entries: '%s': expected NAME=tcp://IP:PORT", *text);
          return FALSE;
        }
    }
  return TRUE;
}

static gboolean
read_labels (AgentSettings *settings, GError **error)
{
  settings->label_set = lab_new ();
  for (char **text = settings->labels; *text != NULL; text++)
    {
      g_auto (GStrv) parts = g_strsplit (*text, "=", 2);
      if (parts[0] == NULL || parts[1] == NULL)
        {
          err_set (error, ERR_BAD_CONFIG, "labels: '%s': expected key=value", *text);
          return FALSE;
        }
      if (!lab_set (settings->label_set, parts[0], parts[1], error))
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_process_name (const char *name)
{
  static const char valid[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

  return strlen (name) <= DOC_NAME_MAX && strspn (name, valid) == strlen (name);
}

static gboolean
check_rest (AgentSettings *settings, GError **error)
{
  if (!is_process_name (settings->name))
    {
      err_set (error, ERR_BAD_CONFIG,
               "name: '%s': expected up to 63 letters, digits, '.', '_' or '-'", settings->name);
      return FALSE;
    }
  if (!jnl_level_from_name (settings->log_level, &settings->level))
    {
      err_set (error, ERR_BAD_CONFIG, "log.level: '%s': expected debug, info, warn or error",
               settings->log_level);
      return FALSE;
    }
  if ((*settings->endpoint_service != '\0') != (settings->endpoint_port != 0))
    {
      err_set (error, ERR_BAD_CONFIG, "endpoint: expected both service and port, or neither");
      return FALSE;
    }
  return TRUE;
}

gboolean
agent_settings_load (const char *path, AgentSettings *settings, GError **error)
{
  *settings = (AgentSettings){ 0 };
  if (!set_load (setting_keys, G_N_ELEMENTS (setting_keys), path, settings, error))
    return FALSE;
  if (check_entries (settings, error) && read_labels (settings, error)
      && check_rest (settings, error))
    return TRUE;
  agent_settings_clear (settings);
  return FALSE;
}

void
agent_settings_clear (AgentSettings *settings)
{
  lab_free (settings->label_set);
  settings->label_set = NULL;
  set_clear (setting_keys, G_N_ELEMENTS (setting_keys), settings);
}

char *
agent_settings_example (void)
{
  return set_example (setting_keys, G_N_ELEMENTS (setting_keys));
}

gboolean
agent_settings_entry (const char *text, char **name, char **address)
{
  const char *equals = strchr (text, '=');

  if (equals == NULL || equals == text || !g_str_has_prefix (equals + 1, "tcp://"))
    return FALSE;
  *name = g_strndup (text, (gsize) (equals - text));
  *address = g_strdup (equals + 1);
  return TRUE;
}
