#include "common/lab.h"

#include <string.h>

#include "common/err.h"

typedef struct
{
  char *key;
  char *value;
} LabPair;

struct LabSet
{
  GArray *pairs; /**< LabPair in key order */
};

static void
pair_clear (void *data)
{
  LabPair *pair = data;

  g_free (pair->key);
  g_free (pair->value);
}

LabSet *
lab_new (void)
{
  LabSet *set = g_new0 (LabSet, 1);

  set->pairs = g_array_new (FALSE, FALSE, sizeof (LabPair));
  g_array_set_clear_func (set->pairs, pair_clear);
  return set;
}

void
lab_free (LabSet *set)
{
  if (set == NULL)
    return;
  g_array_free (set->pairs, TRUE);
  g_free (set);
}

LabSet *
lab_copy (const LabSet *set)
{
  LabSet *copy = lab_new ();

  for (guint i = 0; set != NULL && i < set->pairs->len; i++)
    {
      const LabPair *pair = &g_array_index (set->pairs, LabPair, i);
      LabPair own = { g_strdup (pair->key), g_strdup (pair->value) };
      g_array_append_val (copy->pairs, own);
    }
  return copy;
}

static gboolean
is_word (const char *text, size_t max)
{
  size_t length = strlen (text);

  if (length > max)
    return FALSE;
  for (size_t i = 0; i < length; i++)
    {
      if (!g_ascii_isalnum (text[i]) && strchr ("._-/", text[i]) == NULL)
        return FALSE;
    }
  return TRUE;
}

/* Index of the first pair whose key is not before @p key. */
static guint
lower_bound (const LabSet *set, const char *key)
{
  guint low = 0;
  guint high = set->pairs->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (strcmp (g_array_index (set->pairs, LabPair, middle).key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static LabPair *
find_pair (const LabSet *set, const char *key)
{
  guint index = lower_bound (set, key);

  if (index == set->pairs->len)
    return NULL;
  LabPair *pair = &g_array_index (set->pairs, LabPair, index);
  return strcmp (pair->key, key) == 0 ? pair : NULL;
}

gboolean
lab_set (LabSet *set, const char *key, const char *value, GError **error)
{
  if (*key == '\0' || !is_word (key, LAB_KEY_MAX))
    {
      err_set (error, ERR_BAD_CONFIG,
               "label key: expected 1 to %d letters, digits, '.', '_', '-' or '/'", LAB_KEY_MAX);
      return FALSE;
    }
  if (!is_word (value, LAB_VALUE_MAX))
    {
      err_set (error, ERR_BAD_CONFIG,
               "label %s: expected a value of at most %d letters, digits, '.', '_', '-' or '/'",
               key, LAB_VALUE_MAX);
      return FALSE;
    }
  LabPair *old = find_pair (set, key);
  if (old != NULL)
    {
      char *copy = g_strdup (value);
      g_free (old->value);
      old->value = copy;
      return TRUE;
    }
  if (set->pairs->len >= LAB_COUNT_MAX)
    {
      err_set (error, ERR_BAD_CONFIG, "label %s: expected at most %d labels", key, LAB_COUNT_MAX);
      return FALSE;
    }
  LabPair pair = { g_strdup (key), g_strdup (value) };
  g_array_insert_val (set->pairs, lower_bound (set, key), pair);
  return TRUE;
}

const char *
lab_get (const LabSet *set, const char *key)
{
  const LabPair *pair = find_pair (set, key);

  return pair != NULL ? pair->value : NULL;
}

uint32_t
lab_count (const LabSet *set)
{
  return set->pairs->len;
}

void
lab_at (const LabSet *set, uint32_t index, const char **key, const char **value)
{
  const LabPair *pair = &g_array_index (set->pairs, LabPair, index);

  *key = pair->key;
  *value = pair->value;
}

gboolean
lab_equal (const LabSet *a, const LabSet *b)
{
  if (a->pairs->len != b->pairs->len)
    return FALSE;
  for (guint i = 0; i < a->pairs->len; i++)
    {
      const LabPair *left = &g_array_index (a->pairs, LabPair, i);
      const LabPair *right = &g_array_index (b->pairs, LabPair, i);
      if (strcmp (left->key, right->key) != 0 || strcmp (left->value, right->value) != 0)
        return FALSE;
    }
  return TRUE;
}

char *
lab_print (const LabSet *set)
{
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < set->pairs->len; i++)
    {
      const LabPair *pair = &g_array_index (set->pairs, LabPair, i);
      g_string_append_printf (out, "%s%s=%s", i > 0 ? "," : "", pair->key, pair->value);
    }
  return g_string_free (out, FALSE);
}

LabSet *
lab_parse (const char *text, GError **error)
{
  LabSet *set = lab_new ();
  g_auto (GStrv) words = g_strsplit (text, ",", -1);

  for (guint i = 0; words[i] != NULL; i++)
    {
      char *equals = strchr (words[i], '=');
      if (equals == NULL)
        {
          err_set (error, ERR_BAD_CONFIG, "label '%s': expected key=value", words[i]);
          lab_free (set);
          return NULL;
        }
      *equals = '\0';
      if (!lab_set (set, words[i], equals + 1, error))
        {
          lab_free (set);
          return NULL;
        }
    }
  return set;
}
