#include <jansson.h>
#include <string.h>

#include "common/clk.h"
#include "worker_private.h"

#define STOP_DURATION_MS 200
#define DELAY_MIN_MS 2000
#define DELAY_MAX_MS 6000
#define ENDINGS_PER_ANSWER 500
/** Ten times the polls of an agent that polls at its shortest interval of 100 ms. */
#define POLLS_MAX 100
#define POLLS_PERIOD_MS 1000

typedef struct
{
  Worker *worker;
  NetRequest *request;
  char *path;
  char *target_id;
  int64_t started_us; /**< start of the incarnation that received the call */
  json_t *body;
} Call;

static void
call_free (Call *call)
{
  json_decref (call->body);
  g_free (call->path);
  g_free (call->target_id);
  g_free (call);
}

static void
reply (const Worker *worker, NetRequest *request, uint32_t status, json_t *body)
{
  (void) json_object_set_new (body, "clock_ms", json_integer (worker_clock_ms (worker)));
  (void) json_object_set_new (body, "born", json_integer (worker->started_wall_ms));
  char *text = json_dumps (body, JSON_COMPACT);
  const NetReply answer = { .status = status, .content_type = "application/json", .body = text };

  net_request_reply (request, &answer);
  free (text);
  json_decref (body);
}

static void
refuse (const Worker *worker, NetRequest *request, const char *reason)
{
  reply (worker, request, 409, json_pack ("{s:s}", "reason", reason));
}

static int64_t
number (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static const char *
text (const json_t *body, const char *name)
{
  const char *value = json_string_value (json_object_get (body, name));

  return value != NULL ? value : "";
}

static void
extend_lease (Worker *worker, const json_t *body)
{
  int64_t lease_end_ms = number (body, "until_ms");
  int64_t most_ms = worker_clock_ms (worker) + WORKER_LEASE_MAX_MS;

  worker->lease_end_ms = MAX (worker->lease_end_ms, MIN (lease_end_ms, most_ms));
}

/* Advances all workers before a start, as another worker's lease may just have expired. */
static void
advance_all (Workers *workers)
{
  for (guint i = 0; i < workers->all->len; i++)
    worker_advance (g_ptr_array_index (workers->all, i));
}

static void
start (Worker *worker, NetRequest *request, const json_t *body)
{
  const char *task = text (body, "task");
  int64_t run = number (body, "run");
  const WorkerRun *present = worker_find_run (worker, task);
  const int64_t *highest = g_hash_table_lookup (worker->highest, task);

  if (present != NULL && present->run == run)
    {
      reply (worker, request, 200, json_object ());
      return;
    }
  if (number (body, "until_ms") <= worker_clock_ms (worker))
    {
      refuse (worker, request, "late");
      return;
    }
  extend_lease (worker, body);
  if (present != NULL || (highest != NULL && run <= *highest))
    {
      refuse (worker, request, "old");
      return;
    }
  advance_all (worker->workers);
  checker_run_started (worker->workers->options.checker, worker->index, task, run,
                       text (body, "spec"), text (body, "last_checkpoint"));
  WorkerRun *begun = worker_begin_run (worker, task, run, text (body, "last_checkpoint"));
  /* A task that is started too often crashes no further workers, so that the soak can end. */
  if (!worker->is_call_late && !checker_check_crashes (worker->workers->options.checker, task))
    begun->crash_us = 0;
  worker_check_capacity (worker);
  reply (worker, request, 200, json_object ());
}

static void
stop (Worker *worker, NetRequest *request, const json_t *body)
{
  const char *task = text (body, "task");
  int64_t run = number (body, "run");
  WorkerRun *present = worker_find_run (worker, task);

  if (present != NULL && present->run <= run && present->stop_us == 0)
    present->stop_us = clk_now_us () + STOP_DURATION_MS * CLK_US_PER_MS;
  if (present == NULL)
    worker_note_highest (worker, task, run);
  reply (worker, request, 200, json_object ());
}

static void
set_cpu_limit (Worker *worker, NetRequest *request, const json_t *body)
{
  WorkerRun *present = worker_find_run (worker, text (body, "task"));

  if (present != NULL && present->run == number (body, "run"))
    present->percent = number (body, "percent");
  reply (worker, request, 200, json_object ());
}

static gboolean
has_new_rows (const Worker *worker)
{
  return clk_now_us () < worker->new_rows_until_us;
}

/* Adds a row to a list, with columns of a newer build if the worker is one. */
static void
add_row (const Worker *worker, json_t *rows, json_t *row)
{
  if (has_new_rows (worker))
    {
      (void) json_array_append_new (row, json_string ("r-1"));
      (void) json_array_append_new (row, json_pack ("{s:[i, n]}", "usage", 1));
    }
  (void) json_array_append_new (rows, row);
}

static json_t *
running_rows (const Worker *worker)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const WorkerRun *run = g_ptr_array_index (worker->runs, i);
      int64_t percent = run->need_us > 0 ? MIN (run->done_us * 100 / run->need_us, 100) : 0;
      add_row (worker, rows,
               json_pack ("[s, I, s, I, I]", run->task, (json_int_t) run->run, run->checkpoint,
                          (json_int_t) percent, (json_int_t) 0));
    }
  return rows;
}

static json_t *
ended_rows (const Worker *worker)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed", NULL, "moved" };
  json_t *rows = json_array ();

  for (guint i = 0; i < MIN (worker->endings->len, ENDINGS_PER_ANSWER); i++)
    {
      const WorkerEnding *ending = g_ptr_array_index (worker->endings, i);
      add_row (worker, rows,
               json_pack ("[I, s, I, s, s]", (json_int_t) ending->number, ending->task,
                          (json_int_t) ending->run, names[ending->end], ending->checkpoint));
    }
  return rows;
}

static void
reply_lists (const Worker *worker, NetRequest *request)
{
  json_t *body
      = json_pack ("{s:o, s:o}", "running", running_rows (worker), "ended", ended_rows (worker));

  if (has_new_rows (worker))
    (void) json_object_set_new (body, "waiting", json_pack ("[[s, i], {}]", "x", 1));
  reply (worker, request, 200, body);
}

/* An agent that polls without a pause takes a processor from its worker. */
static void
count_poll (Worker *worker)
{
  int64_t now_us = clk_now_us ();

  if (now_us - worker->polls_since_us > POLLS_PERIOD_MS * CLK_US_PER_MS)
    {
      worker->polls_since_us = now_us;
      worker->n_polls = 0;
    }
  if (++worker->n_polls == POLLS_MAX)
    checker_polled_too_often (worker->workers->options.checker, worker->index, POLLS_MAX);
}

static void
renew_lease (Worker *worker, NetRequest *request, const json_t *body)
{
  int64_t last_seen = number (body, "last_seen");
  int64_t wait_ms = number (body, "wait_ms");

  count_poll (worker);
  extend_lease (worker, body);
  worker_acknowledge (worker, last_seen);
  if (wait_ms == 0 || worker_has_new_endings (worker, last_seen))
    {
      reply_lists (worker, request);
      return;
    }
  WorkerWait *wait = g_new0 (WorkerWait, 1);
  wait->worker = worker;
  wait->request = request;
  wait->last_seen = last_seen;
  wait->end_us = clk_now_us () + wait_ms * CLK_US_PER_MS;
  g_ptr_array_add (worker->waiting, wait);
}

void
worker_answer_waits (Worker *worker, gboolean all)
{
  for (guint i = worker->waiting->len; i > 0; i--)
    {
      WorkerWait *wait = g_ptr_array_index (worker->waiting, i - 1);
      if (!all && clk_now_us () < wait->end_us && !worker_has_new_endings (worker, wait->last_seen))
        continue;
      if (worker->is_down)
        reply (worker, wait->request, 421, json_object ());
      else
        reply_lists (worker, wait->request);
      g_ptr_array_remove_index_fast (worker->waiting, i - 1);
    }
}

static void
execute_call (Worker *worker, const Call *call)
{
  worker_advance (worker);
  if (worker->is_down || strcmp (call->target_id, worker->id) != 0
      || call->started_us != worker->started_us)
    {
      reply (worker, call->request, 421, json_object ());
      return;
    }
  if (number (call->body, "fencing_token") < worker->token)
    {
      refuse (worker, call->request, "fence");
      return;
    }
  worker->token = number (call->body, "fencing_token");
  if (strcmp (call->path, "/run-start") == 0)
    start (worker, call->request, call->body);
  else if (strcmp (call->path, "/run-stop") == 0)
    stop (worker, call->request, call->body);
  else if (strcmp (call->path, "/pace") == 0)
    set_cpu_limit (worker, call->request, call->body);
  else
    renew_lease (worker, call->request, call->body);
}

static gboolean
on_delay_over (gpointer data)
{
  Call *call = data;

  soak_log (call->worker->workers->options.soak, "delayed call %s %s at worker %u", call->path,
            text (call->body, "task"), call->worker->index);
  call->worker->is_call_late = TRUE;
  execute_call (call->worker, call);
  call->worker->is_call_late = FALSE;
  call_free (call);
  return G_SOURCE_REMOVE;
}

void
worker_on_call (void *ctx, NetRequest *request)
{
  Worker *worker = ctx;
  const char *target_id = net_request_header (request, "X-Target-Instance");
  Call *call = g_new0 (Call, 1);

  call->worker = worker;
  call->request = request;
  call->started_us = worker->started_us;
  call->path = g_strdup (net_request_path (request));
  call->target_id = g_strdup (target_id != NULL ? target_id : worker->id);
  call->body = json_loads (net_request_body (request, NULL), 0, NULL);
  if (clk_now_us () < worker->delay_until_us)
    {
      (void) g_timeout_add ((guint) g_random_int_range (DELAY_MIN_MS, DELAY_MAX_MS), on_delay_over,
                            call);
      return;
    }
  execute_call (worker, call);
  call_free (call);
}
