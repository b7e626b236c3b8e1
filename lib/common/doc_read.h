/**
 * @file doc_read.h
 * Reads typed values out of one TOML table of the operators' document. Internal to doc.c.
 *
 * Each function gives FALSE with #ERR_BAD_CONFIG "source:line: path.key: expected ..." in the
 * reader's error.
 */
#pragma once

#include "common/clk.h"
#include "common/doc.h"
#include "common/toml.h"

G_BEGIN_DECLS

#define DOC_CPU_MILLI_MAX INT64_C (1000000000000)
#define DOC_MEMORY_MB_MAX INT64_C (1000000000000)
#define DOC_ACCELERATORS_MAX INT64_C (1000000000)
#define DOC_MILLIS_MAX (INT64_C (366) * 24 * 3600 * CLK_MS_PER_S)
#define DOC_TASKS_MAX INT64_C (1000000)
#define DOC_WEIGHT_MAX INT64_C (1000000)

/** One table being read: messages name its file, line and path. */
typedef struct
{
  const char *source;
  const TomlNode *table;
  const char *path;
  GError **error;
} DocReader;

/** Sets the error; always FALSE, to be returned. */
gboolean
doc_complain (const DocReader *reader, const TomlNode *node, const char *key, const char *expected);

/** Refuses keys of the table that are not in the NULL-terminated list. */
gboolean doc_only_keys (const DocReader *reader, const char *const *keys);

/** Reads an integer of a range, or @p fallback where the key is missing. */
gboolean doc_read_integer (const DocReader *reader,
                           const char *key,
                           int64_t min,
                           int64_t max,
                           int64_t fallback,
                           int64_t *out);

/** Reads a name that the caller frees; a NULL @p fallback makes the key required. */
gboolean doc_read_name (const DocReader *reader, const char *key, const char *fallback, char **out);

/** Reads a word and gives its place in @p words; a negative @p fallback makes the key required. */
gboolean doc_read_choice (
    const DocReader *reader, const char *key, const char *const *words, int fallback, int *out);

/** Parses a selector that the caller frees. */
gboolean doc_read_selector (const DocReader *reader, const char *key, gboolean required, Sel **out);

/** Adds the table "labels" to @p labels. */
gboolean doc_read_labels (const DocReader *reader, LabSet *labels);

/** Reads cpu_milli, memory_mb and accelerators, each 0 where it is missing. */
gboolean doc_read_size (const DocReader *reader, DocSize *size);

/** Whether @p text is a name: 1 to #DOC_NAME_MAX letters, digits, '.', '_' or '-'. */
gboolean doc_is_name (const char *text);

G_END_DECLS
