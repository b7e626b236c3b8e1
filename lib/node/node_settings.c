#include "node/node_settings.h"

#include <string.h>

#include "batch/shares.h"
#include "common/err.h"
#include "common/set.h"

/** Longest grant. Tasks of a lost worker can start elsewhere only after it has expired. */
#define GRANT_MAX_MS (NODE_OWNER_QUIET_MS + NODE_TAKEOVER_MS)
/** Longest grant in percent of the longest lease that the worker accepts. */
#define GRANT_PERCENT 75

/** Part of the memory for request bodies and unsent answers. At 160 MB it holds 80 bodies of the
 * largest size; connections take another fifth, and the ledger's fold needs the rest. */
#define BUFFER_PART 8

/** Part of the memory for records that wait for the store. An outage of 60 s, after which records
 * are given up, holds 10 MB at 160 MB: 1,100 jobs of 9 KB. */
#define OUTBOX_PART 16
/** Part of the memory for the bodies of accepted jobs, which each entry keeps until they are
 * dropped. */
#define JOBS_PART 4
/** The owner holds 240 bytes for each task, so all tasks take up to three eighths of the memory. */
#define TASKS_PER_MB 1600

#define FIELD(name) offsetof (NodeSettings, name)

static const SetKey keys[] = {
  { "name", SET_TEXT, FIELD (name), 1, 200, NULL, "Name of this instance." },
  { "data_centre", SET_TEXT, FIELD (data_centre), 0, 200, "", "Data centre." },
  { "ip", SET_TEXT, FIELD (ip), 1, 64, NULL, "Address of this instance." },
  { "internal.port", SET_INTEGER, FIELD (internal_port), 1, 65535, "7720",
    "Port for messages between processes." },
  { "internal.metrics_port", SET_INTEGER, FIELD (metrics_port), 1, 65535, "7721",
    "Port of the metrics." },
  { "callers.listen", SET_TEXT, FIELD (caller_address), 0, 64, "",
    "IP:PORT for callers; empty for none." },
  { "callers.ready", SET_TEXT, FIELD (ready_address), 0, 64, "",
    "IP:PORT of the readiness probe." },
  { "callers.connections_max", SET_INTEGER, FIELD (connections_max), 16, 3500, "2000",
    "Largest number of open connections of callers." },
  { "callers.buffer_bytes", SET_INTEGER, FIELD (buffer_bytes), 0, 1000000000, "0",
    "Bytes of request bodies and unsent answers of all connections; 0: an eighth of the memory." },
  { "callers.read_timeout_s", SET_INTEGER, FIELD (read_timeout_s), 1, 600, "30",
    "Longest time for reading a request, and for sending an answer." },
  { "jobs.outbox_bytes", SET_INTEGER, FIELD (outbox_bytes), 0, 1000000000, "0",
    "Bytes of records that may wait for the store; 0: a sixteenth of the memory." },
  { "jobs.body_bytes", SET_INTEGER, FIELD (job_bytes), 0, 1000000000, "0",
    "Bytes of the bodies of accepted jobs; 0: a quarter of the memory." },
  { "jobs.tasks_max", SET_INTEGER, FIELD (tasks_max), 0, 1000000000, "0",
    "Tasks of accepted jobs; 0: 1600 for each MiB of the memory." },
  { "worker.listen", SET_TEXT, FIELD (worker_address), 0, 64, "",
    "IP:PORT that receives the worker's reports; empty for none." },
  { "worker.call", SET_TEXT, FIELD (worker_call_address), 0, 64, "",
    "IP:PORT to which the worker's commands are sent." },
  { "worker.lease_max_ms", SET_INTEGER, FIELD (lease_max_ms), 1000, 600000, "10000",
    "Longest lease that a worker accepts." },
  { "worker.gang_timeout_ms", SET_INTEGER, FIELD (gang_timeout_ms), 0, 60000, "3000",
    "Longest time for which the members of a gang wait for each other." },
  { "store.address", SET_TEXT, FIELD (store_address), 1, 64, NULL,
    "IP:PORT of the platform's store." },
  { "jobs.state_s", SET_INTEGER, FIELD (state_s), 1, 86400, "120",
    "Seconds for which the state of an ended job can be queried." },
  { "jobs.evacuate_ms", SET_INTEGER, FIELD (evacuate_ms), 1000, 600000, "5000",
    "Nothing starts in a data centre this long after its evacuation was requested." },
  { "placement.reserve", SET_BOOLEAN, FIELD (reserves_gaps), 0, 0, "true",
    "Keep a worker for a large task that waits for processors or memory." },
  { "shares.by", SET_TEXT, FIELD (shares_by), 1, 20, "none",
    "Origins that share processors fairly: none, data_centre, queue, or both." },
  { "limits.memory_mb", SET_INTEGER, FIELD (memory_mb), 32, 1000000, "160",
    "Memory of this instance." },
  { "limits.cpu_share", SET_TEXT, FIELD (cpu_share), 1, 20, "1.0",
    "Share of a CPU core that this instance may use." },
  { "limits.leave_s", SET_TEXT, FIELD (leave_s), 1, 20, "6",
    "Seconds between SIGTERM and SIGKILL; may be a fraction." },
  { "log.lines_per_s", SET_INTEGER, FIELD (log_lines_per_s), 1, 100000, "500",
    "Largest number of decision lines a second; the rest are only counted." },
};

gboolean
node_settings_load (const char *path, NodeSettings *settings, GError **error)
{
  SharesBy by;

  if (!set_load (keys, G_N_ELEMENTS (keys), path, settings, error))
    return FALSE;
  if (shares_by_parse (settings->shares_by, &by))
    return TRUE;
  err_set (error, ERR_BAD_CONFIG,
           "%s: shares.by: expected none, data_centre, queue or both, found \"%s\"", path,
           settings->shares_by);
  node_settings_clear (settings);
  memset (settings, 0, sizeof *settings);
  return FALSE;
}

void
node_settings_clear (NodeSettings *settings)
{
  set_clear (keys, G_N_ELEMENTS (keys), settings);
}

char *
node_settings_example (void)
{
  return set_example (keys, G_N_ELEMENTS (keys));
}

double
node_settings_fraction (const char *text, double fallback)
{
  char *end = NULL;
  double value = g_ascii_strtod (text, &end);

  return end != text && *end == '\0' ? value : fallback;
}

int64_t
node_settings_grant_ms (const NodeSettings *settings)
{
  return MIN (GRANT_MAX_MS, settings->lease_max_ms * GRANT_PERCENT / 100);
}

static uint64_t
bytes_or_part (const NodeSettings *settings, int64_t bytes, int64_t part)
{
  return (uint64_t) (bytes > 0 ? bytes : settings->memory_mb * 1024 * 1024 / part);
}

uint32_t
node_settings_buffer_bytes (const NodeSettings *settings)
{
  return (uint32_t) MIN (bytes_or_part (settings, settings->buffer_bytes, BUFFER_PART),
                         (uint64_t) G_MAXINT32);
}

uint64_t
node_settings_outbox_bytes (const NodeSettings *settings)
{
  return bytes_or_part (settings, settings->outbox_bytes, OUTBOX_PART);
}

uint64_t
node_settings_job_bytes (const NodeSettings *settings)
{
  return bytes_or_part (settings, settings->job_bytes, JOBS_PART);
}

uint64_t
node_settings_tasks_max (const NodeSettings *settings)
{
  int64_t max = settings->tasks_max;

  return (uint64_t) (max > 0 ? max : settings->memory_mb * TASKS_PER_MB);
}
