/**
 * @file set.h
 * Validated settings: a table of keys, read from a TOML file into a struct.
 *
 * Keys are dotted ("http.port"); each has a type, a range and a default. Unknown keys, wrong types
 * and values out of range are rejected with file, line, key and what was expected.
 */
#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef enum
{
  SET_INTEGER, /**< int64_t field; min and max apply */
  SET_TEXT,    /**< char * field, owned by the struct; min and max bound its length */
  SET_LIST,    /**< char ** field, NULL-terminated, owned; min and max bound its length */
  SET_BOOLEAN, /**< gboolean field */
} SetType;

/** One key. A key without a default (NULL) is required. */
typedef struct
{
  const char *key;
  SetType type;
  size_t offset; /**< offset of the field in the struct */
  int64_t min;
  int64_t max;
  const char *fallback; /**< default in TOML notation; a list as comma-separated words */
  const char *help;     /**< one line, printed by set_example() */
} SetKey;

/**
 * Reads @p path into @p out, which must be zeroed. If @p path is NULL, only the defaults apply. On
 * failure returns FALSE with #ERR_BAD_CONFIG and leaves @p out zeroed.
 */
gboolean set_load (const SetKey *keys, size_t n_keys, const char *path, void *out, GError **error);

/** Like set_load(), but reads @p text; @p source names it in messages. */
gboolean set_load_text (const SetKey *keys,
                        size_t n_keys,
                        const char *text,
                        const char *source,
                        void *out,
                        GError **error);

/** Frees the texts and lists in @p out and zeroes those fields. */
void set_clear (const SetKey *keys, size_t n_keys, void *out);

/** Returns a commented example with all keys and their defaults; free with g_free(). */
char *set_example (const SetKey *keys, size_t n_keys);

G_END_DECLS
