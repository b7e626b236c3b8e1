/**
 * @file dif.h
 * What a new operators' document would change, and which of its selectors match nothing.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

#include "common/doc.h"

G_BEGIN_DECLS

/**
 * Compares two documents row by row. Returns a JSON array of {"change","row"} with change one of
 * "add", "remove", "change"; NULL with #ERR_BAD_CONFIG when one of them is no TOML.
 */
json_t *dif_rows (const char *old_text, const char *new_text, GError **error);

/**
 * Returns a JSON array of {"row","selector","matches"}: selectors of @p document that match no
 * work of it or, when @p instances is a list of label sets (JSON objects), no instance. With
 * @p instances NULL only work selectors are looked at.
 */
json_t *dif_unmatched (const DocDocument *document, const json_t *instances);

G_END_DECLS
