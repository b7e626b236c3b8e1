/**
 * @file toml.h
 * Parses TOML into a tree of nodes with line numbers.
 *
 * The parser is toml++, wrapped in one file with C linkage; all other code uses only this tree.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef enum
{
  TOML_TABLE,
  TOML_ARRAY,
  TOML_STRING,
  TOML_INTEGER,
  TOML_FLOAT,
  TOML_BOOLEAN,
  TOML_OTHER, /**< dates and times, which no setting uses */
} TomlType;

typedef struct TomlNode TomlNode;

/** One node. A parent owns its children. */
struct TomlNode
{
  TomlType type;
  char *key;           /**< key in the parent table; NULL in arrays and at the root */
  uint32_t line;       /**< 1-based */
  GPtrArray *children; /**< TomlNode of tables (file order) and arrays; NULL for scalars */
  char *text;          /**< value of a TOML_STRING */
  int64_t integer;     /**< value of a TOML_INTEGER or TOML_BOOLEAN */
  double real;         /**< value of a TOML_FLOAT */
};

/**
 * Parses @p size bytes; @p source names them in messages. Returns the root table, to be freed with
 * toml_free(), or NULL with #ERR_BAD_CONFIG "source:line: description".
 */
TomlNode *toml_parse (const char *text, size_t size, const char *source, GError **error);

/** Frees @p node and its descendants. NULL is allowed. */
void toml_free (TomlNode *node);

/** Returns the child of table @p table named @p key, or NULL. Owned by the table. */
const TomlNode *toml_get (const TomlNode *table, const char *key);

/** Returns the English name of a type, "string" for example; static storage. */
const char *toml_type_name (TomlType type);

G_END_DECLS
