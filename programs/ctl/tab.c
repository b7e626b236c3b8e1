#include "tab.h"

#include <glib.h>
#include <string.h>

#define TAB_KEY_WIDTH 16

/* Returns the text of a cell, as compact JSON for nested values; free with g_free(). */
static char *
cell_text (const json_t *value)
{
  if (value == NULL || json_is_null (value))
    return g_strdup ("-");
  if (json_is_string (value))
    return g_strdup (json_string_value (value));
  char *dump = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  char *text = g_strdup (dump);
  free (dump);
  return text;
}

static gboolean
is_table (const json_t *value)
{
  return json_is_array (value) && json_array_size (value) > 0
         && json_is_object (json_array_get (value, 0));
}

/* Returns the keys of all rows in order of first occurrence. The rows own the texts. */
static GPtrArray *
columns_of (const json_t *rows)
{
  GPtrArray *columns = g_ptr_array_new ();
  size_t index = 0;
  json_t *row = NULL;

  json_array_foreach (rows, index, row)
  {
    const char *key = NULL;
    json_t *value = NULL;
    json_object_foreach (row, key, value)
    {
      if (!g_ptr_array_find_with_equal_func (columns, key, g_str_equal, NULL))
        g_ptr_array_add (columns, (gpointer) key);
    }
  }
  return columns;
}

static int
column_width (const json_t *rows, const char *column)
{
  size_t width = strlen (column);
  size_t index = 0;
  json_t *row = NULL;

  json_array_foreach (rows, index, row)
  {
    g_autofree char *text = cell_text (json_object_get (row, column));
    width = MAX (width, strlen (text));
  }
  return (int) width;
}

static void
print_row (FILE *out, const GPtrArray *columns, const int *widths, const json_t *row)
{
  for (guint i = 0; i < columns->len; i++)
    {
      const char *column = g_ptr_array_index (columns, i);
      g_autofree char *text
          = row != NULL ? cell_text (json_object_get (row, column)) : g_ascii_strup (column, -1);
      if (i + 1 < columns->len)
        (void) fprintf (out, "%-*s  ", widths[i], text);
      else
        (void) fprintf (out, "%s\n", text);
    }
}

static void
print_table (FILE *out, const json_t *rows)
{
  GPtrArray *columns = columns_of (rows);
  int *widths = g_new0 (int, columns->len + 1);
  size_t index = 0;
  json_t *row = NULL;

  for (guint i = 0; i < columns->len; i++)
    widths[i] = column_width (rows, g_ptr_array_index (columns, i));
  print_row (out, columns, widths, NULL);
  json_array_foreach (rows, index, row)
  {
    print_row (out, columns, widths, row);
  }
  g_free (widths);
  g_ptr_array_free (columns, TRUE);
}

void
tab_print (FILE *out, const json_t *root)
{
  const char *key = NULL;
  json_t *value = NULL;

  if (is_table (root))
    {
      print_table (out, root);
      return;
    }
  if (!json_is_object (root))
    {
      g_autofree char *text = cell_text (root);
      (void) fprintf (out, "%s\n", json_is_array (root) ? "(none)" : text);
      return;
    }
  json_object_foreach ((json_t *) root, key, value)
  {
    if (is_table (value))
      continue;
    g_autofree char *text = cell_text (value);
    (void) fprintf (out, "%-*s %s\n", TAB_KEY_WIDTH, key, text);
  }
  json_object_foreach ((json_t *) root, key, value)
  {
    if (!is_table (value))
      continue;
    (void) fprintf (out, "\n%s:\n", key);
    print_table (out, value);
  }
}
