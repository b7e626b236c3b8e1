/**
 * @file doc_read.h
 * Reads typed values out of one TOML table of the operators' document. Internal to doc.c.
 *
 * On failure each function returns FALSE and sets the reader's error to #ERR_BAD_CONFIG with the
 * message "source:line: path.key: expected ...".
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

/** Table that is being read, with the file and path that messages name. */
typedef struct
{
  const char *source;
  const TomlNode *table;
  const char *path;
  GError **error;
} DocReader;

/** Sets the error and returns FALSE, so that a caller can return its result. */
gboolean doc_set_error (const DocReader *reader,
                        const TomlNode *node,
                        const char *key,
                        const char *expected);

/** Rejects keys of the table that are not in the NULL-terminated list. */
gboolean doc_check_keys (const DocReader *reader, const char *const *keys);

/** Reads an integer from @p min to @p max, or @p fallback if the key is missing. */
gboolean doc_read_integer (const DocReader *reader,
                           const char *key,
                           int64_t min,
                           int64_t max,
                           int64_t fallback,
                           int64_t *out);

/** Reads a name, which the caller frees. A NULL @p fallback makes the key required. */
gboolean doc_read_name (const DocReader *reader, const char *key, const char *fallback, char **out);

/** Reads one of @p words and returns its index. A negative @p fallback makes the key required. */
gboolean doc_read_choice (
    const DocReader *reader, const char *key, const char *const *words, int fallback, int *out);

/** Parses a selector, which the caller frees. */
gboolean doc_read_selector (const DocReader *reader, const char *key, gboolean required, Sel **out);

/** Adds the pairs of the table "labels" to @p labels. */
gboolean doc_read_labels (const DocReader *reader, LabSet *labels);

/** Reads cpu_milli, memory_mb and accelerators, each 0 if it is missing. */
gboolean doc_read_size (const DocReader *reader, DocSize *size);

/** Returns whether @p text is a valid name: 1 to #DOC_NAME_MAX letters, digits, '.', '_' or '-'. */
gboolean doc_is_name (const char *text);

G_END_DECLS
