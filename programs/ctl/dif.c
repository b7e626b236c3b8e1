#include "dif.h"

#include <string.h>

#include "common/lab.h"
#include "common/sel.h"
#include "common/toml.h"

/* Prints a node without its line and place, so that equal values give equal texts. */
static void
print_node (GString *out, const TomlNode *node)
{
  switch (node->type)
    {
    case TOML_STRING:
      g_string_append_printf (out, "\"%s\"", node->text);
      break;
    case TOML_INTEGER:
    case TOML_BOOLEAN:
      g_string_append_printf (out, "%" G_GINT64_FORMAT, node->integer);
      break;
    case TOML_TABLE:
    case TOML_ARRAY:
      g_string_append_c (out, '{');
      for (guint i = 0; i < node->children->len; i++)
        {
          const TomlNode *child = g_ptr_array_index (node->children, i);
          g_string_append_printf (out, "%s=", child->key != NULL ? child->key : "");
          print_node (out, child);
          g_string_append_c (out, ';');
        }
      g_string_append_c (out, '}');
      break;
    case TOML_FLOAT:
    case TOML_OTHER:
    default:
      g_string_append_printf (out, "%g", node->real);
      break;
    }
}

/* "rule.NAME" for named rows, "label[2]" for the others; free with g_free(). */
static char *
row_name (const TomlNode *section, const TomlNode *row, guint index)
{
  if (row->key != NULL)
    return g_strdup_printf ("%s.%s", section->key, row->key);
  const TomlNode *name = toml_get (row, "name");
  if (name != NULL && name->type == TOML_STRING)
    return g_strdup_printf ("%s.%s", section->key, name->text);
  return g_strdup_printf ("%s[%u]", section->key, index);
}

static void
add_section (GHashTable *rows, const TomlNode *section)
{
  for (guint i = 0; i < section->children->len; i++)
    {
      const TomlNode *row = g_ptr_array_index (section->children, i);
      GString *text = g_string_new (NULL);
      print_node (text, row);
      g_hash_table_insert (rows, row_name (section, row, i), g_string_free (text, FALSE));
    }
}

/* Name of each row and its printed value. */
static GHashTable *
rows_of (const char *text, const char *source, GError **error)
{
  TomlNode *root = toml_parse (text, strlen (text), source, error);

  if (root == NULL)
    return NULL;
  GHashTable *rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (guint i = 0; i < root->children->len; i++)
    {
      const TomlNode *section = g_ptr_array_index (root->children, i);
      if (section->children != NULL)
        add_section (rows, section);
    }
  toml_free (root);
  return rows;
}

static void
add_change (json_t *changes, const char *change, const char *row)
{
  json_array_append_new (changes, json_pack ("{s:s, s:s}", "change", change, "row", row));
}

/* Appends rows of @p from that @p other lacks or holds differently, in order of name. */
static void
compare_rows (json_t *changes, GHashTable *from, GHashTable *other, gboolean from_is_new)
{
  GList *names = g_list_sort (g_hash_table_get_keys (from), (GCompareFunc) strcmp);

  for (const GList *at = names; at != NULL; at = at->next)
    {
      const char *theirs = g_hash_table_lookup (other, at->data);
      if (theirs == NULL)
        add_change (changes, from_is_new ? "add" : "remove", at->data);
      else if (from_is_new && strcmp (theirs, g_hash_table_lookup (from, at->data)) != 0)
        add_change (changes, "change", at->data);
    }
  g_list_free (names);
}

json_t *
dif_rows (const char *old_text, const char *new_text, GError **error)
{
  g_autoptr (GHashTable) old_rows = rows_of (old_text, "current configuration", error);

  if (old_rows == NULL)
    return NULL;
  g_autoptr (GHashTable) new_rows = rows_of (new_text, "new configuration", error);
  if (new_rows == NULL)
    return NULL;
  json_t *changes = json_array ();
  compare_rows (changes, new_rows, old_rows, TRUE);
  compare_rows (changes, old_rows, new_rows, FALSE);
  return changes;
}

static gboolean
matches_work (const DocDocument *document, const Sel *work)
{
  for (guint i = 0; i < document->services->len; i++)
    {
      const DocService *service = g_ptr_array_index (document->services, i);
      if (sel_match (work, service->labels))
        return TRUE;
    }
  for (guint i = 0; i < document->jobs->len; i++)
    {
      const DocJob *job = g_ptr_array_index (document->jobs, i);
      if (sel_match (work, job->labels))
        return TRUE;
    }
  return FALSE;
}

static gboolean
matches_instance (const GPtrArray *instances, const Sel *selector)
{
  for (guint i = 0; i < instances->len; i++)
    {
      if (sel_match (selector, g_ptr_array_index (instances, i)))
        return TRUE;
    }
  return FALSE;
}

static void
add_unmatched (json_t *list, const char *row, const Sel *selector, const char *what)
{
  json_array_append_new (list, json_pack ("{s:s, s:s, s:s}", "row", row, "selector",
                                          sel_text (selector), "matches", what));
}

static void
lab_destroy (gpointer data)
{
  lab_free (data);
}

/* Label sets of the instances as the document's label rules leave them. */
static GPtrArray *
instance_labels (const DocDocument *document, const json_t *instances)
{
  GPtrArray *sets = g_ptr_array_new_with_free_func (lab_destroy);
  size_t index = 0;
  json_t *instance = NULL;

  json_array_foreach (instances, index, instance)
  {
    LabSet *set = lab_new ();
    const char *key = NULL;
    json_t *value = NULL;
    json_object_foreach (instance, key, value)
    {
      if (json_is_string (value))
        (void) lab_set (set, key, json_string_value (value), NULL);
    }
    doc_apply_labels (document, set);
    g_ptr_array_add (sets, set);
  }
  return sets;
}

static void
check_rules (const DocDocument *document, const GPtrArray *instances, json_t *list)
{
  for (guint i = 0; i < document->rules->len; i++)
    {
      const DocRule *rule = g_ptr_array_index (document->rules, i);
      g_autofree char *row = g_strdup_printf ("rule.%s", rule->name);
      if (!matches_work (document, rule->work))
        add_unmatched (list, row, rule->work, "no work");
      if (rule->beside != NULL && !matches_work (document, rule->beside))
        add_unmatched (list, row, rule->beside, "no work");
      if (instances != NULL && rule->instances != NULL
          && !matches_instance (instances, rule->instances))
        add_unmatched (list, row, rule->instances, "no instance");
    }
}

json_t *
dif_unmatched (const DocDocument *document, const json_t *instances)
{
  json_t *list = json_array ();

  if (instances == NULL)
    {
      check_rules (document, NULL, list);
      return list;
    }
  GPtrArray *sets = instance_labels (document, instances);
  for (guint i = 0; i < document->labels->len; i++)
    {
      const DocLabel *label = g_ptr_array_index (document->labels, i);
      g_autofree char *row = g_strdup_printf ("label[%u]", i);
      if (!matches_instance (sets, label->instances))
        add_unmatched (list, row, label->instances, "no instance");
    }
  check_rules (document, sets, list);
  g_ptr_array_free (sets, TRUE);
  return list;
}
