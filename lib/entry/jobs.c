#include "entry/jobs.h"

#include "common/ids.h"

uint64_t
jobs_id (const char *submitter, const char *name, const char *key)
{
  g_autofree char *text = g_strdup_printf ("%s\n%s\n%s", submitter, name, key);
  uint64_t id = ids_hash_text (text);

  return id != 0 ? id : 1;
}

const char *
jobs_print (uint64_t job, char text[JOBS_ID_SIZE])
{
  g_snprintf (text, JOBS_ID_SIZE, "%016" G_GINT64_MODIFIER "x", job);
  return text;
}

uint32_t
jobs_shard (uint64_t job, uint32_t shards)
{
  return (uint32_t) (job % shards);
}

static void
print_labels (GString *text, const DocJob *job)
{
  gboolean is_first = TRUE;

  g_string_append (text, "labels = {");
  for (uint32_t i = 0; i < lab_count (job->labels); i++)
    {
      const char *key = NULL;
      const char *value = NULL;
      lab_at (job->labels, i, &key, &value);
      /* The parser adds these labels. */
      if (g_str_equal (key, "name") || g_str_equal (key, "team") || g_str_equal (key, "kind"))
        continue;
      g_string_append_printf (text, "%s \"%s\" = \"%s\"", is_first ? "" : ",", key, value);
      is_first = FALSE;
    }
  g_string_append (text, " }\n");
}

static void
print_integer (GString *text, const char *key, int64_t value)
{
  g_string_append_printf (text, "%s = %" G_GINT64_FORMAT "\n", key, value);
}

char *
jobs_definition (const DocJob *job)
{
  GString *text = g_string_new (NULL);

  if (g_strcmp0 (job->team, "default") != 0)
    g_string_append_printf (text, "[team.\"%s\"]\n", job->team);
  g_string_append_printf (text, "[job.\"%s\"]\nteam = \"%s\"\nclass = \"%s\"\npriority = \"%s\"\n",
                          job->name, job->team, job->batch_class,
                          job->priority == DOC_URGENT ? "urgent" : "normal");
  print_labels (text, job);
  print_integer (text, "tasks", job->tasks);
  print_integer (text, "cpu_milli", job->size.cpu_milli);
  print_integer (text, "memory_mb", job->size.memory_mb);
  print_integer (text, "accelerators", job->size.accelerators);
  print_integer (text, "run_ms", job->run_ms);
  print_integer (text, "deadline_ms", job->deadline_ms);
  print_integer (text, "max_failures", job->max_failures);
  print_integer (text, "checkpoint_ms", job->checkpoint_ms);
  return g_string_free (text, FALSE);
}

DocDocument *
jobs_parse (const char *name, const void *data, size_t size)
{
  DocDocument *document = doc_parse (data, size, "definition", NULL);

  if (document != NULL && doc_job (document, name) != NULL)
    return document;
  doc_free (document);
  return NULL;
}
