/**
 * @file lab.h
 * Labels: sets of key=value pairs on instances, services, jobs and teams.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define LAB_KEY_MAX 63
#define LAB_VALUE_MAX 63
#define LAB_COUNT_MAX 64

typedef struct LabSet LabSet;

/** Creates an empty set; free with lab_free(). */
LabSet *lab_new (void);

/** Frees @p set. NULL is allowed. */
void lab_free (LabSet *set);

/** Returns a copy that the caller owns. */
LabSet *lab_copy (const LabSet *set);

/**
 * Sets @p key to @p value. Keys and values are letters, digits, '.', '_', '-' and '/'; a key is
 * not empty. FALSE with #ERR_BAD_CONFIG for an invalid text or beyond a limit.
 */
gboolean lab_set (LabSet *set, const char *key, const char *value, GError **error);

/** Returns the value of @p key or NULL; owned by the set, valid until it changes. */
const char *lab_get (const LabSet *set, const char *key);

/** Returns the number of pairs. */
uint32_t lab_count (const LabSet *set);

/** Reads pair @p index in key order. */
void lab_at (const LabSet *set, uint32_t index, const char **key, const char **value);

/** Returns whether both sets hold the same pairs. */
gboolean lab_equal (const LabSet *a, const LabSet *b);

/** Returns "key=value,key=value" in key order; free with g_free(). */
char *lab_print (const LabSet *set);

/** Parses the format of lab_print(). NULL with #ERR_BAD_CONFIG on failure. */
LabSet *lab_parse (const char *text, GError **error);

G_END_DECLS
