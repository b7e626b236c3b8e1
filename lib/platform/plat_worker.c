#include "platform/plat_worker.h"

#include <string.h>

#include "common/clk.h"
#include "common/err.h"
#include "platform/plat_http.h"

/** Full share of a throttled task, in thousandths. */
#define PERMILLE_MAX 1000

struct PlatWorker
{
  PlatHttp *http;
};

static const char *const state_names[] = { "running", "done", "failed", "checkpointed", "stopped" };

PlatWorker *
plat_worker_new (const PlatWorkerOptions *options)
{
  const PlatHttpOptions http
      = { options->host, options->port, options->connect_ms, options->read_ms };
  PlatWorker *worker = g_new0 (PlatWorker, 1);

  worker->http = plat_http_new (&http);
  return worker;
}

void
plat_worker_free (PlatWorker *worker)
{
  if (worker == NULL)
    return;
  plat_http_free (worker->http);
  g_free (worker);
}

/* On 503, and on 4xx without a known reason, the worker did nothing. */
static void
set_status_error (uint32_t status, const json_t *answer, GError **error)
{
  ErrKind kind = ERR_PROTOCOL;

  if (status == 503 || status == 409)
    kind = ERR_REFUSED;
  else if (status == 404)
    kind = ERR_NOT_FOUND;
  else if (status == 413)
    kind = ERR_TOO_LARGE;
  else if (status == 400)
    kind = ERR_BAD_REQUEST;
  plat_http_failure (status, answer, status == 409 ? ERR_REFUSED : (int) kind, error);
}

/* Sends a call. Returns NULL with an error unless the status is 200. Takes ownership of @p body. */
static json_t *
call_worker (PlatWorker *worker, const char *method, const char *path, json_t *body, GError **error)
{
  const PlatHttpCall call = { method, path, body, 0 };
  json_t *answer = NULL;
  uint32_t status = plat_http_call (worker->http, &call, &answer, error);

  json_decref (body);
  if (status == 200)
    return answer;
  if (status != 0)
    set_status_error (status, answer, error);
  json_decref (answer);
  return NULL;
}

static gboolean
command (PlatWorker *worker, const char *method, const char *path, json_t *body, GError **error)
{
  json_t *answer = call_worker (worker, method, path, body, error);

  json_decref (answer);
  return answer != NULL;
}

static char *
task_path (uint64_t job, uint32_t index, uint32_t attempt, const char *verb)
{
  return g_strdup_printf ("/v1/tasks/%016" G_GINT64_MODIFIER "x/%u/%u%s", job, index, attempt,
                          verb);
}

static json_t *
size_to_json (const DocSize *size)
{
  return json_pack ("{s:I,s:I,s:I}", "cpu_milli", (json_int_t) size->cpu_milli, "memory_mb",
                    (json_int_t) size->memory_mb, "accelerators", (json_int_t) size->accelerators);
}

static gboolean
size_from_json (const json_t *object, DocSize *size, GError **error)
{
  return plat_http_integer (object, "cpu_milli", &size->cpu_milli, error)
         && plat_http_integer (object, "memory_mb", &size->memory_mb, error)
         && plat_http_integer (object, "accelerators", &size->accelerators, error);
}

gboolean
plat_worker_capacity (PlatWorker *worker, DocSize *capacity, GError **error)
{
  json_t *answer = call_worker (worker, "GET", "/v1/capacity", NULL, error);

  if (answer == NULL)
    return FALSE;
  gboolean ok = size_from_json (answer, capacity, error);
  json_decref (answer);
  return ok;
}

gboolean
plat_worker_start (PlatWorker *worker, const PlatStart *start, GError **error)
{
  g_autofree char *path = task_path (start->job, start->index, start->attempt, "");
  json_t *body = json_pack (
      "{s:I,s:I,s:s,s:s,s:o,s:I,s:I,s:s?,s:I,s:I}", "shard", (json_int_t) start->shard, "epoch",
      (json_int_t) start->epoch, "job_name", start->job_name != NULL ? start->job_name : "",
      "batch_class", start->batch_class != NULL ? start->batch_class : "", "reserved",
      size_to_json (&start->reserved), "run_ms", (json_int_t) start->run_ms, "progress_ms",
      (json_int_t) start->progress_ms, "checkpoint", start->checkpoint, "lease_left_ms",
      (json_int_t) start->lease_left_ms, "sent_wall_ms", (json_int_t) start->sent_wall_ms);

  if (body == NULL)
    {
      err_set (error, ERR_BAD_REQUEST, "worker: start request with text that is not UTF-8");
      return FALSE;
    }
  return command (worker, "PUT", path, body, error);
}

gboolean
plat_worker_checkpoint (
    PlatWorker *worker, uint64_t job, uint32_t index, uint32_t attempt, GError **error)
{
  g_autofree char *path = task_path (job, index, attempt, "/checkpoint");

  return command (worker, "POST", path, NULL, error);
}

gboolean
plat_worker_stop (
    PlatWorker *worker, uint64_t job, uint32_t index, uint32_t attempt, GError **error)
{
  g_autofree char *path = task_path (job, index, attempt, "/stop");

  return command (worker, "POST", path, NULL, error);
}

gboolean
plat_worker_throttle (PlatWorker *worker,
                      uint64_t job,
                      uint32_t index,
                      uint32_t attempt,
                      uint32_t permille,
                      GError **error)
{
  g_autofree char *path = task_path (job, index, attempt, "/throttle");
  json_t *body = json_pack ("{s:i}", "permille", (int) MIN (permille, PERMILLE_MAX));

  return command (worker, "POST", path, body, error);
}

gboolean
plat_worker_extend (
    PlatWorker *worker, uint32_t shard, uint64_t epoch, int64_t lease_left_ms, GError **error)
{
  json_t *body = json_pack ("{s:I,s:I,s:I,s:I}", "shard", (json_int_t) shard, "epoch",
                            (json_int_t) epoch, "lease_left_ms", (json_int_t) lease_left_ms,
                            "sent_wall_ms", (json_int_t) clk_wall_ms ());

  return command (worker, "POST", "/v1/lease", body, error);
}

static void
task_free (void *data)
{
  PlatTask *task = data;

  g_free (task->checkpoint);
  g_free (task->error);
  g_free (task);
}

static gboolean
read_state (const json_t *item, PlatTaskState *state, GError **error)
{
  const char *name = json_string_value (json_object_get (item, "state"));

  for (size_t i = 0; i < G_N_ELEMENTS (state_names); i++)
    {
      if (g_strcmp0 (name, state_names[i]) == 0)
        {
          *state = (PlatTaskState) i;
          return TRUE;
        }
    }
  err_set (error, ERR_PROTOCOL, "worker: task without a known state");
  return FALSE;
}

static gboolean
read_uint32 (const json_t *item, const char *key, uint32_t *value, GError **error)
{
  int64_t wide;

  if (!plat_http_integer (item, key, &wide, error))
    return FALSE;
  if (wide > G_MAXUINT32)
    {
      err_set (error, ERR_PROTOCOL, "worker: '%s' is too large", key);
      return FALSE;
    }
  *value = (uint32_t) wide;
  return TRUE;
}

static gboolean
read_job_id (const json_t *item, uint64_t *job, GError **error)
{
  const char *text = json_string_value (json_object_get (item, "job"));

  if (text != NULL && strlen (text) == 16
      && g_ascii_string_to_unsigned (text, 16, 0, G_MAXUINT64, job, NULL))
    return TRUE;
  err_set (error, ERR_PROTOCOL, "worker: task without a valid job id");
  return FALSE;
}

static gboolean
read_task (const json_t *item, PlatTask *task, GError **error)
{
  int64_t epoch;

  if (!read_job_id (item, &task->job, error) || !read_state (item, &task->state, error)
      || !read_uint32 (item, "index", &task->index, error)
      || !read_uint32 (item, "attempt", &task->attempt, error)
      || !read_uint32 (item, "shard", &task->shard, error)
      || !plat_http_integer (item, "epoch", &epoch, error)
      || !plat_http_integer (item, "progress_ms", &task->progress_ms, error)
      || !plat_http_integer (item, "used_age_ms", &task->used_age_ms, error)
      || !size_from_json (json_object_get (item, "reserved"), &task->reserved, error)
      || !size_from_json (json_object_get (item, "used"), &task->used, error))
    return FALSE;
  task->epoch = (uint64_t) epoch;
  task->checkpoint = g_strdup (json_string_value (json_object_get (item, "checkpoint")));
  task->error = g_strdup (json_string_value (json_object_get (item, "error")));
  return TRUE;
}

static gboolean
read_tasks (const json_t *answer, GPtrArray *tasks, GError **error)
{
  const json_t *items = json_object_get (answer, "tasks");

  if (!json_is_array (items))
    {
      err_set (error, ERR_PROTOCOL, "worker: answer without a list of tasks");
      return FALSE;
    }
  for (size_t i = 0; i < json_array_size (items); i++)
    {
      PlatTask *task = g_new0 (PlatTask, 1);
      g_ptr_array_add (tasks, task);
      if (!read_task (json_array_get (items, i), task, error))
        return FALSE;
    }
  return TRUE;
}

GPtrArray *
plat_worker_list (PlatWorker *worker, GError **error)
{
  json_t *answer = call_worker (worker, "GET", "/v1/tasks", NULL, error);

  if (answer == NULL)
    return NULL;
  GPtrArray *tasks = g_ptr_array_new_with_free_func (task_free);
  gboolean ok = read_tasks (answer, tasks, error);
  json_decref (answer);
  if (ok)
    return tasks;
  g_ptr_array_unref (tasks);
  return NULL;
}

gboolean
plat_worker_forget (
    PlatWorker *worker, uint64_t job, uint32_t index, uint32_t attempt, GError **error)
{
  g_autofree char *path = task_path (job, index, attempt, "");

  return command (worker, "DELETE", path, NULL, error);
}
