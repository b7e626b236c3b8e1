#include "entry/dryrun.h"

#include <jansson.h>
#include <string.h>

#include "entry/jobs.h"

typedef char *(*RowPrint) (const void *row);

static char *
print_service (const void *data)
{
  const DocService *service = data;
  g_autofree char *labels = lab_print (service->labels);

  return g_strdup_printf ("%s|%s|%d|%" G_GINT64_FORMAT "|%" G_GINT64_FORMAT "|%" G_GINT64_FORMAT
                          "|%" G_GINT64_FORMAT "|%" G_GINT64_FORMAT "|%" G_GINT64_FORMAT
                          "|%" G_GINT64_FORMAT,
                          service->team, labels, (int) service->kind, service->size.cpu_milli,
                          service->size.memory_mb, service->size.accelerators, service->slots,
                          service->connections, service->target_p99_us, service->timeout_ms);
}

static char *
print_job (const void *data)
{
  return jobs_definition (data);
}

static char *
print_team (const void *data)
{
  const DocTeam *team = data;

  return g_strdup_printf (
      "%" G_GINT64_FORMAT "|%" G_GINT64_FORMAT "|%" G_GINT64_FORMAT "|%" G_GINT64_FORMAT,
      team->quota.cpu_milli, team->quota.memory_mb, team->quota.accelerators, team->weight);
}

static const char *
selector_text (const Sel *sel)
{
  return sel != NULL ? sel_text (sel) : "";
}

static char *
print_rule (const void *data)
{
  const DocRule *rule = data;

  return g_strdup_printf ("%d|%s|%s|%s|%d|%" G_GINT64_FORMAT, (int) rule->effect,
                          selector_text (rule->work), selector_text (rule->instances),
                          selector_text (rule->beside), (int) rule->spread, rule->max_each);
}

/* The first field of each named row type is its name. */
static const char *
row_name (const void *row)
{
  const char *const *name = row;

  return *name;
}

static const void *
find_row (const GPtrArray *rows, const char *name)
{
  for (guint i = 0; rows != NULL && i < rows->len; i++)
    {
      if (strcmp (row_name (g_ptr_array_index (rows, i)), name) == 0)
        return g_ptr_array_index (rows, i);
    }
  return NULL;
}

static void
add_change (json_t *changes, const char *section, const char *name, const char *change)
{
  json_t *row = json_object ();

  json_object_set_new (row, "section", json_string (section));
  json_object_set_new (row, "name", json_string (name));
  json_object_set_new (row, "change", json_string (change));
  json_array_append_new (changes, row);
}

static void
compare_rows (json_t *changes,
              const char *section,
              const GPtrArray *before,
              const GPtrArray *after,
              RowPrint print)
{
  for (guint i = 0; i < after->len; i++)
    {
      const void *row = g_ptr_array_index (after, i);
      const void *old = find_row (before, row_name (row));
      g_autofree char *new_text = print (row);
      g_autofree char *old_text = old != NULL ? print (old) : NULL;
      if (old == NULL)
        add_change (changes, section, row_name (row), "added");
      else if (strcmp (new_text, old_text) != 0)
        add_change (changes, section, row_name (row), "changed");
    }
  for (guint i = 0; before != NULL && i < before->len; i++)
    {
      const void *row = g_ptr_array_index (before, i);
      if (find_row (after, row_name (row)) == NULL)
        add_change (changes, section, row_name (row), "removed");
    }
}

static char *
print_labels (const DocDocument *document)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; document != NULL && i < document->labels->len; i++)
    {
      const DocLabel *label = g_ptr_array_index (document->labels, i);
      g_string_append_printf (text, "%s|%s|%s\n", sel_text (label->instances), label->key,
                              label->value);
    }
  return g_string_free (text, FALSE);
}

static void
compare_unnamed (json_t *changes, const DocDocument *current, const DocDocument *next)
{
  g_autofree char *before = print_labels (current);
  g_autofree char *after = print_labels (next);

  if (strcmp (before, after) != 0)
    add_change (changes, "label", "", "changed");
  if (current != NULL && memcmp (&current->policy, &next->policy, sizeof (DocPolicy)) != 0)
    add_change (changes, "policy", "", "changed");
}

static gboolean
matches_instance (const Sel *sel, const DocDocument *next, const Members *members)
{
  const GPtrArray *agents = members_agents (members);
  gboolean found = FALSE;

  for (guint i = 0; i < agents->len && !found; i++)
    {
      const MembersAgent *agent = g_ptr_array_index (agents, i);
      LabSet *labels = lab_copy (agent->labels);
      doc_apply_labels (next, labels);
      found = sel_match (sel, labels);
      lab_free (labels);
    }
  return found;
}

/* A label rule is evaluated on the labels set by the rules before it, without its own. */
static gboolean
label_matches (guint index, const DocDocument *next, const Members *members)
{
  const GPtrArray *agents = members_agents (members);
  gboolean found = FALSE;

  for (guint i = 0; i < agents->len && !found; i++)
    {
      const MembersAgent *agent = g_ptr_array_index (agents, i);
      LabSet *labels = lab_copy (agent->labels);
      for (guint j = 0; j < index; j++)
        {
          const DocLabel *earlier = g_ptr_array_index (next->labels, j);
          if (sel_match (earlier->instances, labels))
            (void) lab_set (labels, earlier->key, earlier->value, NULL);
        }
      const DocLabel *label = g_ptr_array_index (next->labels, index);
      found = sel_match (label->instances, labels);
      lab_free (labels);
    }
  return found;
}

static gboolean
matches_work (const Sel *sel, const DocDocument *next)
{
  for (guint i = 0; i < next->services->len; i++)
    {
      const DocService *service = g_ptr_array_index (next->services, i);
      if (sel_match (sel, service->labels))
        return TRUE;
    }
  for (guint i = 0; i < next->jobs->len; i++)
    {
      const DocJob *job = g_ptr_array_index (next->jobs, i);
      if (sel_match (sel, job->labels))
        return TRUE;
    }
  return FALSE;
}

static void
add_unmatched (json_t *rows, const char *where, const Sel *sel)
{
  json_t *row = json_object ();

  json_object_set_new (row, "where", json_string (where));
  json_object_set_new (row, "selector", json_string (sel_text (sel)));
  json_array_append_new (rows, row);
}

static void
check_rule (json_t *rows, const DocRule *rule, const DocDocument *next, const Members *members)
{
  g_autofree char *work = g_strdup_printf ("rule %s: work", rule->name);
  g_autofree char *instances = g_strdup_printf ("rule %s: instances", rule->name);
  g_autofree char *beside = g_strdup_printf ("rule %s: beside", rule->name);

  if (!matches_work (rule->work, next))
    add_unmatched (rows, work, rule->work);
  if (rule->instances != NULL && !matches_instance (rule->instances, next, members))
    add_unmatched (rows, instances, rule->instances);
  if (rule->beside != NULL && !matches_work (rule->beside, next))
    add_unmatched (rows, beside, rule->beside);
}

static json_t *
unmatched_value (const DocDocument *next, const Members *members)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < next->labels->len; i++)
    {
      const DocLabel *label = g_ptr_array_index (next->labels, i);
      g_autofree char *where = g_strdup_printf ("label %s=%s", label->key, label->value);
      if (!label_matches (i, next, members))
        add_unmatched (rows, where, label->instances);
    }
  for (guint i = 0; i < next->rules->len; i++)
    check_rule (rows, g_ptr_array_index (next->rules, i), next, members);
  return rows;
}

GBytes *
dryrun_render (uint64_t base,
               const DocDocument *current,
               const DocDocument *next,
               const Members *members)
{
  json_t *root = json_object ();
  json_t *changes = json_array ();

  compare_rows (changes, "service", current != NULL ? current->services : NULL, next->services,
                print_service);
  compare_rows (changes, "job", current != NULL ? current->jobs : NULL, next->jobs, print_job);
  compare_rows (changes, "team", current != NULL ? current->teams : NULL, next->teams, print_team);
  compare_rows (changes, "rule", current != NULL ? current->rules : NULL, next->rules, print_rule);
  compare_unnamed (changes, current, next);
  json_object_set_new (root, "base", json_integer ((json_int_t) base));
  json_object_set_new (root, "changes", changes);
  json_object_set_new (root, "matches_nothing", unmatched_value (next, members));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}
