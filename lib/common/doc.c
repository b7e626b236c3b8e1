#include "common/doc.h"

#include <string.h>

#include "common/doc_read.h"
#include "common/err.h"

/* Adds the labels that every service and job has for selectors to match. */
static void
add_own_labels (LabSet *labels, const char *name, const char *team, const char *kind)
{
  (void) lab_set (labels, "name", name, NULL);
  (void) lab_set (labels, "team", team, NULL);
  (void) lab_set (labels, "kind", kind, NULL);
}

static void
service_free (void *data)
{
  DocService *service = data;

  g_free (service->name);
  g_free (service->team);
  lab_free (service->labels);
  g_free (service);
}

static gboolean
read_service (const DocReader *reader, DocService *service)
{
  static const char *const keys[]
      = { "team",  "labels",      "requests",      "cpu_milli",  "memory_mb", "accelerators",
          "slots", "connections", "target_p99_us", "timeout_ms", NULL };
  static const char *const kinds[] = { "repeatable", "once", NULL };
  int kind = DOC_REPEATABLE;

  service->labels = lab_new ();
  gboolean ok
      = doc_check_keys (reader, keys) && doc_read_name (reader, "team", "default", &service->team)
        && doc_read_labels (reader, service->labels)
        && doc_read_choice (reader, "requests", kinds, DOC_REPEATABLE, &kind)
        && doc_read_size (reader, &service->size)
        && doc_read_integer (reader, "slots", 1, 65536, 8, &service->slots)
        && doc_read_integer (reader, "connections", 1, 65536, 64, &service->connections)
        && doc_read_integer (reader, "target_p99_us", 1, INT64_C (3600000000), 100000,
                             &service->target_p99_us)
        && doc_read_integer (reader, "timeout_ms", 1, DOC_MILLIS_MAX, 10000, &service->timeout_ms);
  if (!ok)
    return FALSE;
  service->kind = (DocRequestKind) kind;
  add_own_labels (service->labels, service->name, service->team, "service");
  if (service->connections < service->slots)
    return doc_set_error (reader, toml_get (reader->table, "connections"), "connections",
                          "at least as many as slots");
  return TRUE;
}

static void
job_free (void *data)
{
  DocJob *job = data;

  g_free (job->name);
  g_free (job->team);
  lab_free (job->labels);
  g_free (job->batch_class);
  g_free (job);
}

static gboolean
read_job (const DocReader *reader, DocJob *job)
{
  static const char *const keys[]
      = { "team",      "labels",       "class",  "priority",    "tasks",        "cpu_milli",
          "memory_mb", "accelerators", "run_ms", "deadline_ms", "max_failures", "checkpoint_ms",
          NULL };
  static const char *const priorities[] = { "normal", "urgent", NULL };
  int priority = DOC_NORMAL;

  job->labels = lab_new ();
  gboolean ok
      = doc_check_keys (reader, keys) && doc_read_name (reader, "team", "default", &job->team)
        && doc_read_labels (reader, job->labels)
        && doc_read_name (reader, "class", job->name, &job->batch_class)
        && doc_read_choice (reader, "priority", priorities, DOC_NORMAL, &priority)
        && doc_read_integer (reader, "tasks", 1, DOC_TASKS_MAX, 1, &job->tasks)
        && doc_read_size (reader, &job->size)
        && doc_read_integer (reader, "run_ms", 1, DOC_MILLIS_MAX, 60000, &job->run_ms)
        && doc_read_integer (reader, "deadline_ms", 0, DOC_MILLIS_MAX, 0, &job->deadline_ms)
        && doc_read_integer (reader, "max_failures", 1, 1000, 3, &job->max_failures)
        && doc_read_integer (reader, "checkpoint_ms", 0, DOC_MILLIS_MAX, 0, &job->checkpoint_ms);
  if (!ok)
    return FALSE;
  job->priority = (DocPriority) priority;
  add_own_labels (job->labels, job->name, job->team, "job");
  return TRUE;
}

static void
team_free (void *data)
{
  DocTeam *team = data;

  g_free (team->name);
  g_free (team);
}

static gboolean
read_team (const DocReader *reader, DocTeam *team)
{
  static const char *const keys[] = { "cpu_milli", "memory_mb", "accelerators", "weight", NULL };

  return doc_check_keys (reader, keys) && doc_read_size (reader, &team->quota)
         && doc_read_integer (reader, "weight", 1, DOC_WEIGHT_MAX, 1, &team->weight);
}

static void
label_free (void *data)
{
  DocLabel *label = data;

  sel_free (label->instances);
  g_free (label->key);
  g_free (label->value);
  g_free (label);
}

static gboolean
read_label (const DocReader *reader, DocLabel *label)
{
  static const char *const keys[] = { "instances", "key", "value", NULL };
  LabSet *probe = lab_new ();
  g_autoptr (GError) failure = NULL;

  gboolean ok = doc_check_keys (reader, keys)
                && doc_read_selector (reader, "instances", TRUE, &label->instances)
                && doc_read_name (reader, "key", NULL, &label->key)
                && doc_read_name (reader, "value", NULL, &label->value);
  if (ok && !lab_set (probe, label->key, label->value, &failure))
    ok = doc_set_error (reader, reader->table, "key", failure->message);
  lab_free (probe);
  return ok;
}

static void
rule_free (void *data)
{
  DocRule *rule = data;

  g_free (rule->name);
  sel_free (rule->work);
  sel_free (rule->instances);
  sel_free (rule->beside);
  g_free (rule);
}

/* Checks that the rule has exactly the keys of its effect. */
static gboolean
check_rule_keys (const DocReader *reader, const DocRule *rule)
{
  const TomlNode *beside = toml_get (reader->table, "beside");
  const TomlNode *instances = toml_get (reader->table, "instances");
  const TomlNode *by = toml_get (reader->table, "by");
  gboolean is_place = rule->effect == DOC_MAY || rule->effect == DOC_MAY_NOT;

  if (is_place != (instances != NULL))
    return doc_set_error (reader, instances != NULL ? instances : reader->table, "instances",
                          is_place ? "a selector" : "no such key with this effect");
  if ((rule->effect == DOC_NOT_BESIDE) != (beside != NULL))
    return doc_set_error (reader, beside != NULL ? beside : reader->table, "beside",
                          beside == NULL ? "a selector" : "no such key with this effect");
  if (rule->effect != DOC_APART && by != NULL)
    return doc_set_error (reader, by, "by", "no such key with this effect");
  return TRUE;
}

static gboolean
read_rule (const DocReader *reader, DocRule *rule)
{
  static const char *const keys[]
      = { "name", "effect", "work", "instances", "beside", "by", "max_each", NULL };
  static const char *const effects[] = { "may", "may not", "apart", "not beside", NULL };
  static const char *const spreads[] = { "rack", "data centre", NULL };
  int effect = -1;
  int spread = DOC_BY_RACK;

  gboolean ok = doc_check_keys (reader, keys) && doc_read_name (reader, "name", NULL, &rule->name)
                && doc_read_choice (reader, "effect", effects, -1, &effect)
                && doc_read_selector (reader, "work", TRUE, &rule->work)
                && doc_read_selector (reader, "instances", FALSE, &rule->instances)
                && doc_read_selector (reader, "beside", FALSE, &rule->beside)
                && doc_read_choice (reader, "by", spreads, DOC_BY_RACK, &spread)
                && doc_read_integer (reader, "max_each", 1, DOC_TASKS_MAX, 1, &rule->max_each);
  if (!ok)
    return FALSE;
  rule->effect = (DocEffect) effect;
  rule->spread = (DocSpread) spread;
  return check_rule_keys (reader, rule);
}

static gboolean
read_policy (const DocReader *reader, DocPolicy *policy)
{
  static const char *const keys[] = {
    "tail_weight",   "batch_weight",    "eviction_weight", "evictions_per_minute", "cooldown_ms",
    "report_lag_ms", "urgent_start_ms", "starts_per_tick", "retry_percent",        NULL
  };

  return doc_check_keys (reader, keys)
         && doc_read_integer (reader, "tail_weight", 0, 1000, 1, &policy->tail_weight)
         && doc_read_integer (reader, "batch_weight", 0, 1000, 1, &policy->batch_weight)
         && doc_read_integer (reader, "eviction_weight", 0, 1000, 1, &policy->eviction_weight)
         && doc_read_integer (reader, "evictions_per_minute", 0, 1000000, 6,
                              &policy->evictions_per_minute)
         && doc_read_integer (reader, "cooldown_ms", 0, DOC_MILLIS_MAX, 60000, &policy->cooldown_ms)
         && doc_read_integer (reader, "report_lag_ms", 1, DOC_MILLIS_MAX, 30000,
                              &policy->report_lag_ms)
         && doc_read_integer (reader, "urgent_start_ms", 1, DOC_MILLIS_MAX, 1100,
                              &policy->urgent_start_ms)
         && doc_read_integer (reader, "starts_per_tick", 1, 1000000, 100, &policy->starts_per_tick)
         && doc_read_integer (reader, "retry_percent", 0, 100, 10, &policy->retry_percent);
}

/* One section of the document and the array that receives its rows. */
typedef struct
{
  const char *section;
  GPtrArray *rows;
  size_t row_size;
  gboolean (*read) (const DocReader *reader, void *row);
  gboolean is_named; /**< a table of tables such as [service.X]; else an array of tables */
} DocSection;

static gboolean
read_service_row (const DocReader *reader, void *row)
{
  return read_service (reader, row);
}

static gboolean
read_job_row (const DocReader *reader, void *row)
{
  return read_job (reader, row);
}

static gboolean
read_team_row (const DocReader *reader, void *row)
{
  return read_team (reader, row);
}

static gboolean
read_label_row (const DocReader *reader, void *row)
{
  return read_label (reader, row);
}

static gboolean
read_rule_row (const DocReader *reader, void *row)
{
  return read_rule (reader, row);
}

static gboolean
read_section (const DocSection *section, const TomlNode *node, const DocReader *parent)
{
  TomlType wanted = section->is_named ? TOML_TABLE : TOML_ARRAY;

  if (node->type != wanted)
    return doc_set_error (parent, node, section->section,
                          section->is_named ? "tables [section.NAME]" : "an array of tables");
  if (node->children->len > DOC_ROWS_MAX)
    return doc_set_error (parent, node, section->section, "at most 4096 rows");
  for (guint i = 0; i < node->children->len; i++)
    {
      const TomlNode *child = g_ptr_array_index (node->children, i);
      g_autofree char *path = section->is_named
                                  ? g_strdup_printf ("%s.%s", section->section, child->key)
                                  : g_strdup_printf ("%s[%u]", section->section, i);
      DocReader reader = { parent->source, child, path, parent->error };
      if (child->type != TOML_TABLE)
        return doc_set_error (&reader, child, "", "a table");
      if (section->is_named && !doc_is_name (child->key))
        return doc_set_error (&reader, child, "",
                              "a name of 1 to 63 letters, digits, '.', '_' or '-'");
      char **row = g_malloc0 (section->row_size);
      g_ptr_array_add (section->rows, row);
      /* The name is the first field of the structs of all named sections. */
      if (section->is_named)
        *row = g_strdup (child->key);
      if (!section->read (&reader, row))
        return FALSE;
    }
  return TRUE;
}

static gboolean
read_root (DocDocument *document, const DocReader *reader)
{
  const DocSection sections[] = {
    { "service", document->services, sizeof (DocService), read_service_row, TRUE },
    { "job", document->jobs, sizeof (DocJob), read_job_row, TRUE },
    { "team", document->teams, sizeof (DocTeam), read_team_row, TRUE },
    { "label", document->labels, sizeof (DocLabel), read_label_row, FALSE },
    { "rule", document->rules, sizeof (DocRule), read_rule_row, FALSE },
  };
  static const char *const keys[] = { "service", "job", "team", "label", "rule", "policy", NULL };
  const TomlNode *policy = toml_get (reader->table, "policy");

  if (!doc_check_keys (reader, keys))
    return FALSE;
  for (size_t i = 0; i < G_N_ELEMENTS (sections); i++)
    {
      const TomlNode *node = toml_get (reader->table, sections[i].section);
      if (node != NULL && !read_section (&sections[i], node, reader))
        return FALSE;
    }
  if (policy != NULL && policy->type != TOML_TABLE)
    return doc_set_error (reader, policy, "policy", "a table");
  TomlNode empty = { .type = TOML_TABLE, .line = 1, .children = g_ptr_array_new () };
  DocReader policy_reader
      = { reader->source, policy != NULL ? policy : &empty, "policy", reader->error };
  gboolean ok = read_policy (&policy_reader, &document->policy);
  g_ptr_array_free (empty.children, TRUE);
  return ok;
}

static gboolean
check_team (const DocDocument *document,
            const DocReader *reader,
            const char *section,
            const char *name,
            const char *team)
{
  if (strcmp (team, "default") == 0 || doc_team (document, team) != NULL)
    return TRUE;
  const TomlNode *row = toml_get (toml_get (reader->table, section), name);
  g_autofree char *path = g_strdup_printf ("%s.%s", section, name);
  DocReader row_reader = { reader->source, row, path, reader->error };
  return doc_set_error (&row_reader, toml_get (row, "team"), "team", "a team of this document");
}

static gboolean
check_references (const DocDocument *document, const DocReader *reader)
{
  for (guint i = 0; i < document->services->len; i++)
    {
      const DocService *service = g_ptr_array_index (document->services, i);
      if (!check_team (document, reader, "service", service->name, service->team))
        return FALSE;
    }
  for (guint i = 0; i < document->jobs->len; i++)
    {
      const DocJob *job = g_ptr_array_index (document->jobs, i);
      if (!check_team (document, reader, "job", job->name, job->team))
        return FALSE;
    }
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < document->rules->len; i++)
    {
      const DocRule *rule = g_ptr_array_index (document->rules, i);
      if (!g_hash_table_add (names, rule->name))
        {
          const TomlNode *rules = toml_get (reader->table, "rule");
          return doc_set_error (reader, g_ptr_array_index (rules->children, i), "rule.name",
                                "a name that no other rule has");
        }
    }
  return TRUE;
}

DocDocument *
doc_parse (const char *text, size_t size, const char *source, GError **error)
{
  if (size > DOC_SIZE_MAX)
    {
      err_set (error, ERR_TOO_LARGE, "%s: expected at most %d bytes", source, DOC_SIZE_MAX);
      return NULL;
    }
  TomlNode *root = toml_parse (text, size, source, error);
  if (root == NULL)
    return NULL;
  DocReader reader = { source, root, "", error };
  DocDocument *document = g_new0 (DocDocument, 1);
  document->services = g_ptr_array_new_with_free_func (service_free);
  document->jobs = g_ptr_array_new_with_free_func (job_free);
  document->teams = g_ptr_array_new_with_free_func (team_free);
  document->labels = g_ptr_array_new_with_free_func (label_free);
  document->rules = g_ptr_array_new_with_free_func (rule_free);
  gboolean ok = read_root (document, &reader) && check_references (document, &reader);
  toml_free (root);
  if (ok)
    return document;
  doc_free (document);
  return NULL;
}

void
doc_free (DocDocument *document)
{
  if (document == NULL)
    return;
  g_ptr_array_free (document->services, TRUE);
  g_ptr_array_free (document->jobs, TRUE);
  g_ptr_array_free (document->teams, TRUE);
  g_ptr_array_free (document->labels, TRUE);
  g_ptr_array_free (document->rules, TRUE);
  g_free (document);
}

/* Finds a row by name: the name is the first field of the structs of all named sections. */
static const void *
find_named (const GPtrArray *rows, const char *name)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const char *const *row = g_ptr_array_index (rows, i);
      if (g_strcmp0 (*row, name) == 0)
        return row;
    }
  return NULL;
}

const DocService *
doc_service (const DocDocument *document, const char *name)
{
  return find_named (document->services, name);
}

const DocJob *
doc_job (const DocDocument *document, const char *name)
{
  return find_named (document->jobs, name);
}

const DocTeam *
doc_team (const DocDocument *document, const char *name)
{
  return find_named (document->teams, name);
}

void
doc_apply_labels (const DocDocument *document, LabSet *labels)
{
  for (guint i = 0; i < document->labels->len; i++)
    {
      const DocLabel *rule = g_ptr_array_index (document->labels, i);
      if (sel_match (rule->instances, labels))
        (void) lab_set (labels, rule->key, rule->value, NULL);
    }
}
