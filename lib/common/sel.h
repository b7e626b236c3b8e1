/**
 * @file sel.h
 * Label selectors for work and instances.
 *
 *     selector := "*" | term ("and" term)*
 *     term     := KEY "=" VALUE | KEY "!=" VALUE | KEY "exists" | KEY "not" "exists"
 *               | KEY "in" "(" VALUE ("," VALUE)* ")" | KEY "not" "in" "(" VALUE ("," VALUE)* ")"
 *
 * "*" selects everything. "!=" and "not in" also match labels that lack the key.
 */
#pragma once

#include <glib.h>

#include "common/lab.h"

G_BEGIN_DECLS

#define SEL_TERMS_MAX 32
#define SEL_VALUES_MAX 64
#define SEL_TEXT_MAX 1024

typedef struct Sel Sel;

/** Parses @p text. NULL with #ERR_BAD_CONFIG that names the column and what was expected. */
Sel *sel_parse (const char *text, GError **error);

/** Frees @p sel. NULL is allowed. */
void sel_free (Sel *sel);

/** Returns whether @p labels match every term. */
gboolean sel_match (const Sel *sel, const LabSet *labels);

/** Returns the text that was parsed; owned by @p sel. */
const char *sel_text (const Sel *sel);

G_END_DECLS
