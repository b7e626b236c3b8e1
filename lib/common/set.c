#include "common/set.h"

#include <string.h>

#include "common/err.h"
#include "common/toml.h"

static void *
field_of (const SetKey *key, void *out)
{
  return (char *) out + key->offset;
}

static const SetKey *
find_key (const SetKey *keys, size_t n_keys, const char *name)
{
  for (size_t i = 0; i < n_keys; i++)
    {
      if (strcmp (keys[i].key, name) == 0)
        return &keys[i];
    }
  return NULL;
}

static gboolean
is_section (const SetKey *keys, size_t n_keys, const char *name)
{
  size_t length = strlen (name);

  for (size_t i = 0; i < n_keys; i++)
    {
      if (strncmp (keys[i].key, name, length) == 0 && keys[i].key[length] == '.')
        return TRUE;
    }
  return FALSE;
}

static const char *
expected_type (const SetKey *key)
{
  switch (key->type)
    {
    case SET_INTEGER:
      return "an integer";
    case SET_TEXT:
      return "a string";
    case SET_LIST:
      return "an array of strings";
    case SET_BOOLEAN:
    default:
      return "true or false";
    }
}

static gboolean
in_range (const SetKey *key, int64_t value, const char *what, const char *where, GError **error)
{
  if (value >= key->min && value <= key->max)
    return TRUE;
  err_set (error, ERR_BAD_CONFIG,
           "%s: %s: %s %" G_GINT64_FORMAT " is outside %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
           where, key->key, what, value, key->min, key->max);
  return FALSE;
}

static gboolean
store_text (const SetKey *key, const char *text, const char *where, void *out, GError **error)
{
  if (!in_range (key, (int64_t) strlen (text), "length", where, error))
    return FALSE;
  char **field = field_of (key, out);
  g_free (*field);
  *field = g_strdup (text);
  return TRUE;
}

static gboolean
store_list (const SetKey *key, char **list, const char *where, void *out, GError **error)
{
  if (!in_range (key, (int64_t) g_strv_length (list), "number of entries", where, error))
    {
      g_strfreev (list);
      return FALSE;
    }
  char ***field = field_of (key, out);
  g_strfreev (*field);
  *field = list;
  return TRUE;
}

static gboolean
store_integer (const SetKey *key, int64_t value, const char *where, void *out, GError **error)
{
  if (!in_range (key, value, "value", where, error))
    return FALSE;
  *(int64_t *) field_of (key, out) = value;
  return TRUE;
}

static char **
list_of_strings (const TomlNode *node)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < node->children->len; i++)
    {
      const TomlNode *child = g_ptr_array_index (node->children, i);
      if (child->type != TOML_STRING)
        {
          g_ptr_array_free (list, TRUE);
          return NULL;
        }
      g_ptr_array_add (list, g_strdup (child->text));
    }
  g_ptr_array_add (list, NULL);
  return (char **) g_ptr_array_free (list, FALSE);
}

static gboolean
store_node (const SetKey *key, const TomlNode *node, const char *where, void *out, GError **error)
{
  if (key->type == SET_INTEGER && node->type == TOML_INTEGER)
    return store_integer (key, node->integer, where, out, error);
  if (key->type == SET_TEXT && node->type == TOML_STRING)
    return store_text (key, node->text, where, out, error);
  if (key->type == SET_BOOLEAN && node->type == TOML_BOOLEAN)
    {
      *(gboolean *) field_of (key, out) = node->integer != 0;
      return TRUE;
    }
  if (key->type == SET_LIST && node->type == TOML_ARRAY)
    {
      char **list = list_of_strings (node);
      if (list != NULL)
        return store_list (key, list, where, out, error);
    }
  err_set (error, ERR_BAD_CONFIG, "%s: %s: expected %s, found %s", where, key->key,
           expected_type (key), toml_type_name (node->type));
  return FALSE;
}

static gboolean
store_fallback (const SetKey *key, const char *source, void *out, GError **error)
{
  switch (key->type)
    {
    case SET_INTEGER:
      return store_integer (key, g_ascii_strtoll (key->fallback, NULL, 10), source, out, error);
    case SET_TEXT:
      return store_text (key, key->fallback, source, out, error);
    case SET_LIST:
      if (*key->fallback == '\0')
        return store_list (key, g_new0 (char *, 1), source, out, error);
      return store_list (key, g_strsplit (key->fallback, ",", -1), source, out, error);
    case SET_BOOLEAN:
    default:
      *(gboolean *) field_of (key, out) = strcmp (key->fallback, "true") == 0;
      return TRUE;
    }
}

typedef struct
{
  const SetKey *keys;
  size_t n_keys;
  const char *source;
  void *out;
  GHashTable *seen; /**< names of the keys found in the file */
} SetReader;

static gboolean
read_table (SetReader *reader, const TomlNode *table, const char *prefix, GError **error)
{
  for (guint i = 0; i < table->children->len; i++)
    {
      const TomlNode *node = g_ptr_array_index (table->children, i);
      g_autofree char *name = g_strconcat (prefix, node->key, NULL);
      g_autofree char *where = g_strdup_printf ("%s:%u", reader->source, node->line);
      const SetKey *key = find_key (reader->keys, reader->n_keys, name);

      if (key != NULL)
        {
          if (!store_node (key, node, where, reader->out, error))
            return FALSE;
          g_hash_table_add (reader->seen, g_steal_pointer (&name));
        }
      else if (node->type == TOML_TABLE && is_section (reader->keys, reader->n_keys, name))
        {
          g_autofree char *child_prefix = g_strconcat (name, ".", NULL);
          if (!read_table (reader, node, child_prefix, error))
            return FALSE;
        }
      else
        {
          err_set (error, ERR_BAD_CONFIG, "%s: %s: unknown key", where, name);
          return FALSE;
        }
    }
  return TRUE;
}

static gboolean
fill_defaults (SetReader *reader, GError **error)
{
  for (size_t i = 0; i < reader->n_keys; i++)
    {
      const SetKey *key = &reader->keys[i];
      if (g_hash_table_contains (reader->seen, key->key))
        continue;
      if (key->fallback == NULL)
        {
          err_set (error, ERR_BAD_CONFIG, "%s: %s: required key is missing, expected %s",
                   reader->source, key->key, expected_type (key));
          return FALSE;
        }
      if (!store_fallback (key, reader->source, reader->out, error))
        return FALSE;
    }
  return TRUE;
}

gboolean
set_load_text (const SetKey *keys,
               size_t n_keys,
               const char *text,
               const char *source,
               void *out,
               GError **error)
{
  TomlNode *root = toml_parse (text, strlen (text), source, error);

  if (root == NULL)
    return FALSE;
  SetReader reader = { keys, n_keys, source, out, NULL };
  reader.seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gboolean ok = read_table (&reader, root, "", error) && fill_defaults (&reader, error);
  g_hash_table_destroy (reader.seen);
  toml_free (root);
  if (!ok)
    set_clear (keys, n_keys, out);
  return ok;
}

gboolean
set_load (const SetKey *keys, size_t n_keys, const char *path, void *out, GError **error)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) failure = NULL;

  if (path == NULL)
    return set_load_text (keys, n_keys, "", "defaults", out, error);
  if (!g_file_get_contents (path, &text, NULL, &failure))
    {
      err_set (error, ERR_BAD_CONFIG, "%s: %s", path, failure->message);
      return FALSE;
    }
  return set_load_text (keys, n_keys, text, path, out, error);
}

void
set_clear (const SetKey *keys, size_t n_keys, void *out)
{
  for (size_t i = 0; i < n_keys; i++)
    {
      void *field = field_of (&keys[i], out);
      switch (keys[i].type)
        {
        case SET_TEXT:
          g_clear_pointer ((char **) field, g_free);
          break;
        case SET_LIST:
          g_clear_pointer ((char ***) field, g_strfreev);
          break;
        case SET_INTEGER:
          *(int64_t *) field = 0;
          break;
        case SET_BOOLEAN:
        default:
          *(gboolean *) field = FALSE;
          break;
        }
    }
}

static void
print_value (GString *out, const SetKey *key)
{
  const char *fallback = key->fallback != NULL ? key->fallback : "";

  if (key->type == SET_TEXT)
    g_string_append_printf (out, "\"%s\"", fallback);
  else if (key->type == SET_LIST)
    {
      char **words = g_strsplit (fallback, ",", -1);
      char *joined = g_strjoinv ("\", \"", words);
      g_string_append_printf (out, words[0] != NULL ? "[\"%s\"]" : "[%s]", joined);
      g_free (joined);
      g_strfreev (words);
    }
  else
    g_string_append (out, fallback);
}

char *
set_example (const SetKey *keys, size_t n_keys)
{
  GString *out = g_string_new (NULL);

  for (size_t i = 0; i < n_keys; i++)
    {
      g_string_append_printf (out, "# %s", keys[i].help);
      if (keys[i].type == SET_INTEGER)
        g_string_append_printf (out, " (%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ")", keys[i].min,
                                keys[i].max);
      g_string_append (out, keys[i].fallback != NULL ? "\n# " : " (required)\n");
      g_string_append_printf (out, "%s = ", keys[i].key);
      print_value (out, &keys[i]);
      g_string_append_c (out, '\n');
    }
  return g_string_free (out, FALSE);
}
