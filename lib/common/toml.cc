#include "common/toml.h"

#include <algorithm>
#include <exception>
#include <string_view>
#include <vector>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include "common/err.h"

namespace
{

TomlNode *convert (const toml::node &source, const char *key);

void
free_child (gpointer data)
{
  toml_free (static_cast<TomlNode *> (data));
}

TomlNode *
new_node (TomlType type, const toml::node &source, const char *key)
{
  TomlNode *node = g_new0 (TomlNode, 1);

  node->type = type;
  node->key = g_strdup (key);
  node->line = source.source ().begin.line;
  if (type == TOML_TABLE || type == TOML_ARRAY)
    node->children = g_ptr_array_new_with_free_func (free_child);
  return node;
}

TomlNode *
convert_table (const toml::table &table, const char *key)
{
  TomlNode *node = new_node (TOML_TABLE, table, key);

  for (auto &&[name, value] : table)
    g_ptr_array_add (node->children, convert (value, std::string (name.str ()).c_str ()));
  auto **first = reinterpret_cast<TomlNode **> (node->children->pdata);
  std::stable_sort (first, first + node->children->len,
                    [] (const TomlNode *a, const TomlNode *b) { return a->line < b->line; });
  return node;
}

TomlNode *
convert_array (const toml::array &array, const char *key)
{
  TomlNode *node = new_node (TOML_ARRAY, array, key);

  for (auto &&value : array)
    g_ptr_array_add (node->children, convert (value, nullptr));
  return node;
}

TomlNode *
convert (const toml::node &source, const char *key)
{
  if (const toml::table *table = source.as_table ())
    return convert_table (*table, key);
  if (const toml::array *array = source.as_array ())
    return convert_array (*array, key);
  if (const auto *text = source.as_string ())
    {
      TomlNode *node = new_node (TOML_STRING, source, key);
      node->text = g_strndup (text->get ().data (), text->get ().size ());
      return node;
    }
  if (const auto *integer = source.as_integer ())
    {
      TomlNode *node = new_node (TOML_INTEGER, source, key);
      node->integer = integer->get ();
      return node;
    }
  if (const auto *real = source.as_floating_point ())
    {
      TomlNode *node = new_node (TOML_FLOAT, source, key);
      node->real = real->get ();
      return node;
    }
  if (const auto *boolean = source.as_boolean ())
    {
      TomlNode *node = new_node (TOML_BOOLEAN, source, key);
      node->integer = boolean->get () ? 1 : 0;
      return node;
    }
  return new_node (TOML_OTHER, source, key);
}

} // namespace

TomlNode *
toml_parse (const char *text, size_t size, const char *source, GError **error)
{
  toml::parse_result result = toml::parse (std::string_view (text, size));

  if (!result)
    {
      err_set (error, ERR_BAD_CONFIG, "%s:%u: %s", source,
               static_cast<unsigned> (result.error ().source ().begin.line),
               std::string (result.error ().description ()).c_str ());
      return nullptr;
    }
  return convert_table (result.table (), nullptr);
}

void
toml_free (TomlNode *node)
{
  if (node == nullptr)
    return;
  if (node->children != nullptr)
    g_ptr_array_free (node->children, TRUE);
  g_free (node->key);
  g_free (node->text);
  g_free (node);
}

const TomlNode *
toml_get (const TomlNode *table, const char *key)
{
  if (table == nullptr || table->type != TOML_TABLE)
    return nullptr;
  for (guint i = 0; i < table->children->len; i++)
    {
      const auto *child = static_cast<const TomlNode *> (g_ptr_array_index (table->children, i));
      if (g_strcmp0 (child->key, key) == 0)
        return child;
    }
  return nullptr;
}

const char *
toml_type_name (TomlType type)
{
  static const char *const names[]
      = { "table", "array", "string", "integer", "float", "boolean", "date" };

  return names[type];
}
