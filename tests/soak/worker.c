#include "worker.h"

#include <string.h>

#include "common/clk.h"
#include "worker_private.h"

#define TICK_MS 10
#define REPORT_TIMEOUT_MS 1000
#define CONNECTIONS_MAX 64
#define IDLE_S 60
#define BODY_MAX (256 * 1024)
/** Upper bound of how much a worker's clock runs slow, in percent. */
#define SLOW_PERCENT_MAX 2
/** Probability that a new incarnation keeps the previous id, in percent. */
#define SAME_ID_PERCENT 30
/** A worker that a task has crashed is down for this long. */
#define DEADLY_DOWN_MIN_MS 300
#define DEADLY_DOWN_MAX_MS 3000
/** Time between the restarts of a series, and how long each takes. */
#define SERIES_UP_MIN_MS 20
#define SERIES_UP_MAX_MS 800
#define SERIES_DOWN_MIN_MS 50
#define SERIES_DOWN_MAX_MS 1500
/** Number of workers in a rack. */
#define RACK_WORKERS 3

static void
begin_incarnation (Worker *worker)
{
  worker->started_us = clk_now_us ();
  worker->started_wall_ms = clk_wall_ms () + worker->wall_offset_ms;
  worker->advanced_us = worker->started_us;
  worker->offset_ms = g_random_int_range (1, 100000);
  worker->rate = 1.0 - g_random_double_range (0, SLOW_PERCENT_MAX) / 100.0;
  worker->token = 0;
  worker->lease_end_ms = 0;
  worker->sequence = 0;
  worker->n_endings = 0;
  worker->is_down = FALSE;
  gboolean keeps_id = worker->keeps_id;
  worker->keeps_id = FALSE;
  if (worker->id != NULL && (keeps_id || g_random_int_range (0, 100) < SAME_ID_PERCENT))
    return;
  g_free (worker->id);
  worker->id = g_strdup_printf ("i-%08x", g_random_int ());
}

static void
on_reported (void *ctx, const NetAnswer *answer)
{
  (void) ctx;
  (void) answer;
}

json_t *
worker_describe (const Worker *worker)
{
  g_autofree char *rack = g_strdup_printf ("r-%u", worker->index / RACK_WORKERS);

  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:{s:I, s:I, s:i}, s:[s, s], s:I, s:I, s:I}", "service",
      SOAK_SERVICE, "address", worker->address, "zone", "z", "machine", worker->address, "version",
      "1", "state", "ready", "slots", 8, "capacity", "cpu", (json_int_t) worker->cpu_m, "mem_mb",
      (json_int_t) worker->mem_mb, "gpu", 0, "labels", "a", rack, "seq",
      (json_int_t) worker->sequence, "clock_ms", (json_int_t) worker_clock_ms (worker), "born",
      (json_int_t) worker->started_wall_ms);
}

void
worker_send_report (const Worker *worker, const char *id, const char *body, size_t size)
{
  g_autofree char *url = g_strdup_printf ("http://%s/instances/%s", worker->agent_address, id);
  const NetCall call = { .method = "PUT",
                         .url = url,
                         .content_type = "application/json",
                         .body = body,
                         .size = size,
                         .timeout_ms = REPORT_TIMEOUT_MS };

  net_client_call (worker->workers->options.client, &call, on_reported, NULL, NULL);
}

static gboolean
report (gpointer data)
{
  Worker *worker = data;

  if (worker->is_down)
    return G_SOURCE_CONTINUE;
  worker->sequence++;
  json_t *body = worker_describe (worker);
  char *text = json_dumps (body, JSON_COMPACT);
  worker_send_report (worker, worker->id, text, strlen (text));
  free (text);
  json_decref (body);
  return G_SOURCE_CONTINUE;
}

static Worker *
worker_new (Workers *workers, uint32_t index, GError **error)
{
  const Soak *soak = workers->options.soak;
  Worker *worker = g_new0 (Worker, 1);
  g_autofree char *ip = soak_ip (soak, SOAK_WORKER, index);
  g_autofree char *agent_ip = soak_ip (soak, SOAK_AGENT, index);

  worker->workers = workers;
  worker->index = index;
  worker->cpu_m = WORKER_CPU_M;
  worker->mem_mb = WORKER_MEM_MB;
  worker->address = g_strdup_printf ("%s:29165", ip);
  worker->agent_address = g_strdup_printf ("%s:29166", agent_ip);
  worker->runs = g_ptr_array_new_with_free_func (worker_run_free);
  worker->endings = g_ptr_array_new_with_free_func (worker_ending_free);
  worker->waiting = g_ptr_array_new_with_free_func (g_free);
  worker->highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  begin_incarnation (worker);
  const NetServerOptions options = { .address = worker->address,
                                     .connections_max = CONNECTIONS_MAX,
                                     .idle_s = IDLE_S,
                                     .body_bytes_max = BODY_MAX,
                                     .handler = worker_on_call,
                                     .ctx = worker };
  worker->server = net_server_new (&options, error);
  (void) g_timeout_add (WORKER_REPORT_MS, report, worker);
  return worker;
}

/* Lets the worker crash if a task that runs there crashes it. */
static void
crash_if_deadly (Worker *worker)
{
  Workers *workers = worker->workers;
  const char *task = worker->is_down ? NULL : worker_deadly_task (worker);

  if (task == NULL)
    return;
  soak_log (workers->options.soak, "worker %u is crashed by task %s", worker->index, task);
  checker_worker_crashed_by (workers->options.checker, task);
  workers_crash (workers, worker->index,
                 (uint32_t) g_random_int_range (DEADLY_DOWN_MIN_MS, DEADLY_DOWN_MAX_MS));
}

static gboolean
on_tick (gpointer data)
{
  Workers *workers = data;

  for (guint i = 0; i < workers->all->len; i++)
    {
      Worker *worker = g_ptr_array_index (workers->all, i);
      worker_advance (worker);
      crash_if_deadly (worker);
      worker_answer_waits (worker, worker->is_down);
    }
  return G_SOURCE_CONTINUE;
}

Workers *
workers_new (const WorkersOptions *options, GError **error)
{
  Workers *workers = g_new0 (Workers, 1);

  workers->options = *options;
  workers->all = g_ptr_array_new ();
  workers->rand = g_rand_new_with_seed (options->soak->options->seed);
  for (uint32_t i = 0; i < options->soak->options->n_workers; i++)
    {
      Worker *worker = worker_new (workers, i, error);
      if (worker->server == NULL)
        return NULL;
      g_ptr_array_add (workers->all, worker);
    }
  workers->tick = g_timeout_add (TICK_MS, on_tick, workers);
  return workers;
}

static gboolean
on_crash_again (gpointer data)
{
  Worker *worker = data;
  Workers *workers = worker->workers;

  if (workers->options.soak->is_fault_phase_over || worker->is_down)
    return G_SOURCE_REMOVE;
  worker->keeps_id = TRUE;
  soak_log (workers->options.soak, "worker %u restarts again", worker->index);
  workers_crash (
      workers, worker->index,
      (uint32_t) g_rand_int_range (workers->rand, SERIES_DOWN_MIN_MS, SERIES_DOWN_MAX_MS));
  return G_SOURCE_REMOVE;
}

static gboolean
on_restart_due (gpointer data)
{
  Worker *worker = data;

  begin_incarnation (worker);
  soak_log (worker->workers->options.soak, "worker %u restarted as %s, born %" G_GINT64_FORMAT,
            worker->index, worker->id, worker->started_wall_ms);
  if (worker->n_restarts == 0)
    return G_SOURCE_REMOVE;
  worker->n_restarts--;
  (void) g_timeout_add (
      (guint) g_rand_int_range (worker->workers->rand, SERIES_UP_MIN_MS, SERIES_UP_MAX_MS),
      on_crash_again, worker);
  return G_SOURCE_REMOVE;
}

void
workers_crash (Workers *workers, uint32_t index, uint32_t down_ms)
{
  Worker *worker = g_ptr_array_index (workers->all, index);

  if (worker->is_down)
    return;
  worker_advance (worker);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const WorkerRun *run = g_ptr_array_index (worker->runs, i);
      checker_run_ended (workers->options.checker, index, run->task, run->run, CHECKER_CRASHED);
    }
  g_ptr_array_set_size (worker->runs, 0);
  g_ptr_array_set_size (worker->endings, 0);
  g_hash_table_remove_all (worker->highest);
  worker->is_down = TRUE;
  workers->has_crashed = TRUE;
  worker_answer_waits (worker, TRUE);
  (void) g_timeout_add (down_ms, on_restart_due, worker);
}

void
workers_delay_calls (Workers *workers, uint32_t index, uint32_t for_ms)
{
  Worker *worker = g_ptr_array_index (workers->all, index);

  worker->delay_until_us = clk_now_us () + (int64_t) for_ms * CLK_US_PER_MS;
}

gboolean
workers_take_crash (Workers *workers)
{
  gboolean has_crashed = workers->has_crashed;

  workers->has_crashed = FALSE;
  return has_crashed;
}

gboolean
workers_half_free (const Workers *workers)
{
  int64_t used_m = 0;

  for (guint i = 0; i < workers->all->len; i++)
    used_m += worker_used_m (g_ptr_array_index (workers->all, i));
  return used_m * 2 < (int64_t) workers->all->len * WORKER_CPU_M;
}
