#include "entry/render.h"

#include <jansson.h>
#include <string.h>

#include "common/clk.h"
#include "entry/jobs.h"

/* Strings from outside may be invalid UTF-8; invalid bytes are replaced. */
static json_t *
text_value (const char *text)
{
  g_autofree char *valid = g_utf8_make_valid (text != NULL ? text : "", -1);

  return json_string (valid);
}

static GBytes *
dump_and_unref (json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  g_assert (text != NULL);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}

GBytes *
render_error (
    ErrKind kind, ErrRan ran, const char *message, int64_t retry_after_ms, const char *request_id)
{
  json_t *error = json_object ();
  json_t *root = json_object ();

  json_object_set_new (error, "kind", json_string (err_name (kind)));
  json_object_set_new (error, "message", text_value (message));
  json_object_set_new (error, "ran", json_string (err_ran_name (ran)));
  json_object_set_new (error, "retry_after_ms", json_integer (retry_after_ms));
  json_object_set_new (error, "request_id", text_value (request_id));
  json_object_set_new (root, "error", error);
  return dump_and_unref (root);
}

GBytes *
render_config (uint64_t version, const char *author, int64_t wall_ms, GBytes *text)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);
  g_autofree char *copy = g_strndup (data != NULL ? data : "", size);
  json_t *root = json_object ();

  json_object_set_new (root, "version", json_integer ((json_int_t) version));
  json_object_set_new (root, "author", text_value (author));
  json_object_set_new (root, "wall_ms", json_integer (wall_ms));
  json_object_set_new (root, "text", text_value (copy));
  return dump_and_unref (root);
}

GBytes *
render_version (uint64_t version)
{
  json_t *root = json_object ();

  json_object_set_new (root, "version", json_integer ((json_int_t) version));
  return dump_and_unref (root);
}

GBytes *
render_history (const Fold *fold)
{
  const GPtrArray *history = fold_history (fold);
  json_t *rows = json_array ();
  json_t *root = json_object ();

  for (guint i = 0; i < history->len; i++)
    {
      const FoldConfig *config = g_ptr_array_index (history, i);
      json_t *row = json_object ();
      json_object_set_new (row, "version", json_integer ((json_int_t) config->version));
      json_object_set_new (row, "base", json_integer ((json_int_t) config->base_version));
      json_object_set_new (row, "author", text_value (config->author));
      json_object_set_new (row, "note", text_value (config->note));
      json_object_set_new (row, "wall_ms", json_integer (config->wall_ms));
      json_array_append_new (rows, row);
    }
  json_object_set_new (root, "versions", rows);
  return dump_and_unref (root);
}

static json_t *
job_id_value (uint64_t job)
{
  char text[JOBS_ID_SIZE];

  return json_string (jobs_print (job, text));
}

GBytes *
render_job_id (uint64_t job)
{
  json_t *root = json_object ();

  json_object_set_new (root, "job", job_id_value (job));
  return dump_and_unref (root);
}

static const char *
end_name (Record__TaskEnd end)
{
  static const char *const names[]
      = { "open", "done", "failed", "checkpointed", "cancelled", "given_up", "unplaceable" };

  return (size_t) end < G_N_ELEMENTS (names) ? names[end] : "unknown";
}

static const char *
job_state (const FoldJob *job)
{
  gboolean all_done = TRUE;

  if (job->n_final < job->n_tasks)
    return job->cancelled ? "cancelling" : "open";
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      if (job->tasks[i].end == RECORD__TASK_END__END_GIVEN_UP)
        return "given_up";
      all_done = all_done && job->tasks[i].end == RECORD__TASK_END__END_DONE;
    }
  return all_done ? "done" : "cancelled";
}

static json_t *
job_value (const FoldJob *job)
{
  json_t *row = json_object ();

  json_object_set_new (row, "job", job_id_value (job->job));
  json_object_set_new (row, "name", text_value (job->name));
  json_object_set_new (row, "submitter", text_value (job->submitter));
  json_object_set_new (row, "state", json_string (job_state (job)));
  json_object_set_new (row, "tasks", json_integer (job->n_tasks));
  json_object_set_new (row, "final", json_integer (job->n_final));
  json_object_set_new (row, "cancelled", json_boolean (job->cancelled));
  json_object_set_new (row, "submitted_ms", json_integer (job->submitted_ms));
  json_object_set_new (row, "deadline_ms", json_integer (job->deadline_ms));
  return row;
}

/* The job with its tasks, as the log has them. */
static json_t *
job_with_tasks (const FoldJob *job)
{
  json_t *root = job_value (job);
  json_t *tasks = json_array ();

  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const FoldTask *task = &job->tasks[i];
      json_t *row = json_object ();
      json_object_set_new (row, "index", json_integer (i));
      json_object_set_new (row, "state", json_string (end_name (task->end)));
      json_object_set_new (row, "attempts", json_integer (task->attempts));
      json_object_set_new (row, "failures", json_integer (task->failures));
      json_object_set_new (row, "progress_ms", json_integer (task->progress_ms));
      json_array_append_new (tasks, row);
    }
  json_object_set_new (root, "task_list", tasks);
  return root;
}

GBytes *
render_job (const FoldJob *job)
{
  return dump_and_unref (job_with_tasks (job));
}

GBytes *
render_unowned_job (const FoldJob *job, const char *why)
{
  json_t *root = job_with_tasks (job);

  json_object_set_new (root, "placement_unknown", text_value (why));
  return dump_and_unref (root);
}

GBytes *
render_jobs (const Fold *fold)
{
  const GPtrArray *jobs = fold_jobs (fold);
  json_t *rows = json_array ();
  json_t *root = json_object ();

  for (guint i = 0; i < jobs->len; i++)
    json_array_append_new (rows, job_value (g_ptr_array_index (jobs, i)));
  json_object_set_new (root, "jobs", rows);
  return dump_and_unref (root);
}

static json_t *
entries_value (const RenderStatus *status)
{
  const GPtrArray *entries = fold_entries (status->fold);
  json_t *rows = json_array ();

  for (guint i = 0; i < entries->len; i++)
    {
      const FoldEntry *entry = g_ptr_array_index (entries, i);
      const MembersEntry *member = members_entry (status->members, entry->entry);
      gboolean is_self = g_strcmp0 (entry->entry, status->name) == 0;
      gboolean is_live
          = is_self
            || (member != NULL && member->incarnation == entry->incarnation
                && members_is_live (status->members, member->last_received_us, status->now_us));
      uint64_t version
          = is_self ? status->config_version : (member != NULL ? member->config_version : 0);
      json_t *row = json_object ();
      json_object_set_new (row, "name", text_value (entry->entry));
      json_object_set_new (row, "data_centre", text_value (entry->data_centre));
      json_object_set_new (row, "live", json_boolean (is_live));
      json_object_set_new (row, "config_version", json_integer ((json_int_t) version));
      json_array_append_new (rows, row);
    }
  return rows;
}

static void
count_label (json_t *counts, const char *key, const char *value)
{
  g_autofree char *name = g_strconcat (key, "=", value, NULL);
  g_autofree char *valid = g_utf8_make_valid (name, -1);
  json_int_t before = json_integer_value (json_object_get (counts, valid));

  json_object_set_new (counts, valid, json_integer (before + 1));
}

static void
count_labels (json_t *counts, const RenderStatus *status, const MembersAgent *agent)
{
  LabSet *labels = lab_copy (agent->labels);

  if (status->document != NULL)
    doc_apply_labels (status->document, labels);
  for (uint32_t i = 0; i < lab_count (labels); i++)
    {
      const char *key = NULL;
      const char *value = NULL;
      lab_at (labels, i, &key, &value);
      count_label (counts, key, value);
    }
  lab_free (labels);
}

static json_t *
instances_value (const RenderStatus *status)
{
  const GPtrArray *agents = members_agents (status->members);
  json_t *root = json_object ();
  json_t *counts = json_object ();
  json_int_t live = 0;
  json_int_t leaving = 0;
  json_int_t behind = 0;

  for (guint i = 0; i < agents->len; i++)
    {
      const MembersAgent *agent = g_ptr_array_index (agents, i);
      if (!members_is_live (status->members, agent->last_received_us, status->now_us))
        continue;
      live++;
      leaving += agent->leaving;
      behind += agent->config_version < status->config_version;
      count_labels (counts, status, agent);
    }
  json_object_set_new (root, "live", json_integer (live));
  json_object_set_new (root, "leaving", json_integer (leaving));
  json_object_set_new (root, "config_behind", json_integer (behind));
  json_object_set_new (root, "by_label", counts);
  return root;
}

static json_t *
service_value (const RenderStatus *status, const DocService *service)
{
  const GPtrArray *endpoints = members_endpoints (status->members, service->name);
  json_t *row = json_object ();
  json_int_t usable = 0;
  json_int_t slots = 0;
  json_int_t running = 0;
  json_int_t queued = 0;
  int64_t p99_us = 0;

  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      const MembersEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      const MembersAgent *agent = endpoint->agent;
      if (!endpoint->is_listed || !endpoint->healthy || agent->leaving
          || !members_is_live (status->members, agent->last_received_us, status->now_us))
        continue;
      usable++;
      slots += endpoint->slots;
      running += endpoint->running;
      queued += endpoint->queued;
      p99_us = MAX (p99_us, endpoint->p99_us);
    }
  json_object_set_new (row, "name", text_value (service->name));
  json_object_set_new (row, "endpoints", json_integer (usable));
  json_object_set_new (row, "slots", json_integer (slots));
  json_object_set_new (row, "running", json_integer (running));
  json_object_set_new (row, "queued", json_integer (queued));
  json_object_set_new (row, "worst_p99_us", json_integer (p99_us));
  json_object_set_new (row, "target_p99_us", json_integer (service->target_p99_us));
  return row;
}

static json_t *
services_value (const RenderStatus *status)
{
  json_t *rows = json_array ();

  for (guint i = 0; status->document != NULL && i < status->document->services->len; i++)
    {
      const DocService *service = g_ptr_array_index (status->document->services, i);
      json_array_append_new (rows, service_value (status, service));
    }
  return rows;
}

static json_t *
shards_value (const RenderStatus *status)
{
  json_t *rows = json_array ();

  for (uint32_t i = 0; i < status->shards; i++)
    {
      const FoldClaim *claim = fold_claim (status->fold, i);
      json_t *row = json_object ();
      json_object_set_new (row, "shard", json_integer (i));
      json_object_set_new (row, "owner", text_value (claim->entry));
      json_object_set_new (row, "epoch", json_integer ((json_int_t) claim->epoch));
      json_array_append_new (rows, row);
    }
  return rows;
}

GBytes *
render_status (const RenderStatus *status)
{
  json_t *root = json_object ();
  json_t *log = json_object ();

  json_object_set_new (log, "up", json_boolean (status->log_is_up));
  json_object_set_new (log, "age_ms", json_integer (status->log_age_ms));
  json_object_set_new (log, "next_offset", json_integer (fold_next_offset (status->fold)));
  json_object_set_new (root, "entry", text_value (status->name));
  json_object_set_new (root, "data_centre", text_value (status->data_centre));
  json_object_set_new (root, "leaving", json_boolean (status->is_leaving));
  json_object_set_new (root, "config_version", json_integer ((json_int_t) status->config_version));
  json_object_set_new (root, "entries", entries_value (status));
  json_object_set_new (root, "instances", instances_value (status));
  json_object_set_new (root, "services", services_value (status));
  json_object_set_new (root, "shards", shards_value (status));
  json_object_set_new (root, "log", log);
  return dump_and_unref (root);
}
