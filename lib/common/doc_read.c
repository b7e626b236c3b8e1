#include "common/doc_read.h"

#include <string.h>

#include "common/err.h"

gboolean
doc_set_error (const DocReader *reader, const TomlNode *node, const char *key, const char *expected)
{
  err_set (reader->error, ERR_BAD_CONFIG, "%s:%u: %s%s%s: expected %s", reader->source,
           node != NULL ? node->line : 1, reader->path, *key != '\0' ? "." : "", key, expected);
  return FALSE;
}

gboolean
doc_check_keys (const DocReader *reader, const char *const *keys)
{
  for (guint i = 0; i < reader->table->children->len; i++)
    {
      const TomlNode *child = g_ptr_array_index (reader->table->children, i);
      if (!g_strv_contains (keys, child->key))
        {
          g_autofree char *list = g_strjoinv (", ", (char **) keys);
          g_autofree char *expected = g_strdup_printf ("one of %s", list);
          return doc_set_error (reader, child, child->key, expected);
        }
    }
  return TRUE;
}

gboolean
doc_read_integer (const DocReader *reader,
                  const char *key,
                  int64_t min,
                  int64_t max,
                  int64_t fallback,
                  int64_t *out)
{
  const TomlNode *node = toml_get (reader->table, key);

  *out = fallback;
  if (node == NULL)
    return TRUE;
  if (node->type != TOML_INTEGER || node->integer < min || node->integer > max)
    {
      g_autofree char *expected
          = g_strdup_printf ("an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min, max);
      return doc_set_error (reader, node, key, expected);
    }
  *out = node->integer;
  return TRUE;
}

gboolean
doc_is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > DOC_NAME_MAX)
    return FALSE;
  for (size_t i = 0; i < length; i++)
    {
      if (!g_ascii_isalnum (text[i]) && strchr ("._-", text[i]) == NULL)
        return FALSE;
    }
  return TRUE;
}

gboolean
doc_read_name (const DocReader *reader, const char *key, const char *fallback, char **out)
{
  const TomlNode *node = toml_get (reader->table, key);

  if (node == NULL && fallback != NULL)
    {
      *out = g_strdup (fallback);
      return TRUE;
    }
  if (node == NULL || node->type != TOML_STRING || !doc_is_name (node->text))
    return doc_set_error (reader, node != NULL ? node : reader->table, key,
                          "a name of 1 to 63 letters, digits, '.', '_' or '-'");
  *out = g_strdup (node->text);
  return TRUE;
}

gboolean
doc_read_choice (
    const DocReader *reader, const char *key, const char *const *words, int fallback, int *out)
{
  const TomlNode *node = toml_get (reader->table, key);

  *out = fallback;
  if (node == NULL && fallback >= 0)
    return TRUE;
  for (int i = 0; node != NULL && node->type == TOML_STRING && words[i] != NULL; i++)
    {
      if (strcmp (words[i], node->text) == 0)
        {
          *out = i;
          return TRUE;
        }
    }
  g_autofree char *list = g_strjoinv (", ", (char **) words);
  g_autofree char *expected = g_strdup_printf ("one of %s", list);
  return doc_set_error (reader, node != NULL ? node : reader->table, key, expected);
}

gboolean
doc_read_selector (const DocReader *reader, const char *key, gboolean required, Sel **out)
{
  const TomlNode *node = toml_get (reader->table, key);
  g_autoptr (GError) failure = NULL;

  if (node == NULL && !required)
    return TRUE;
  if (node == NULL || node->type != TOML_STRING)
    return doc_set_error (reader, node != NULL ? node : reader->table, key, "a selector");
  *out = sel_parse (node->text, &failure);
  if (*out != NULL)
    return TRUE;
  err_set (reader->error, ERR_BAD_CONFIG, "%s:%u: %s.%s: %s", reader->source, node->line,
           reader->path, key, failure->message);
  return FALSE;
}

gboolean
doc_read_labels (const DocReader *reader, LabSet *labels)
{
  const TomlNode *node = toml_get (reader->table, "labels");

  if (node == NULL)
    return TRUE;
  if (node->type != TOML_TABLE)
    return doc_set_error (reader, node, "labels", "a table of strings");
  for (guint i = 0; i < node->children->len; i++)
    {
      const TomlNode *child = g_ptr_array_index (node->children, i);
      g_autoptr (GError) failure = NULL;
      if (child->type != TOML_STRING)
        return doc_set_error (reader, child, child->key, "a string");
      if (!lab_set (labels, child->key, child->text, &failure))
        {
          err_set (reader->error, ERR_BAD_CONFIG, "%s:%u: %s.labels: %s", reader->source,
                   child->line, reader->path, failure->message);
          return FALSE;
        }
    }
  return TRUE;
}

gboolean
doc_read_size (const DocReader *reader, DocSize *size)
{
  return doc_read_integer (reader, "cpu_milli", 0, DOC_CPU_MILLI_MAX, 0, &size->cpu_milli)
         && doc_read_integer (reader, "memory_mb", 0, DOC_MEMORY_MB_MAX, 0, &size->memory_mb)
         && doc_read_integer (reader, "accelerators", 0, DOC_ACCELERATORS_MAX, 0,
                              &size->accelerators);
}
