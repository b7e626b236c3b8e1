#include "common/sel.h"

#include <string.h>

#include "common/err.h"

typedef enum
{
  SEL_IN,
  SEL_NOT_IN,
  SEL_EXISTS,
  SEL_NOT_EXISTS,
} SelOperator;

typedef struct
{
  char *key;
  SelOperator op;
  GPtrArray *values; /**< values of SEL_IN and SEL_NOT_IN */
} SelTerm;

struct Sel
{
  char *text;
  GPtrArray *terms; /**< SelTerm; an empty list matches everything */
};

/** Parser state. */
typedef struct
{
  const char *text;
  const char *at;
  GError **error;
} SelReader;

static void
term_free (void *data)
{
  SelTerm *term = data;

  g_free (term->key);
  g_ptr_array_free (term->values, TRUE);
  g_free (term);
}

void
sel_free (Sel *sel)
{
  if (sel == NULL)
    return;
  g_ptr_array_free (sel->terms, TRUE);
  g_free (sel->text);
  g_free (sel);
}

static gboolean
fail_expected (SelReader *reader, const char *what)
{
  err_set (reader->error, ERR_BAD_CONFIG, "selector '%s': column %d: expected %s", reader->text,
           (int) (reader->at - reader->text) + 1, what);
  return FALSE;
}

static void
skip_spaces (SelReader *reader)
{
  while (*reader->at == ' ' || *reader->at == '\t')
    reader->at++;
}

static gboolean
is_word_char (char c)
{
  return g_ascii_isalnum (c) || (c != '\0' && strchr ("._-/", c) != NULL);
}

/* Consumes the next word. Returns NULL and consumes nothing if there is none. */
static char *
parse_word (SelReader *reader)
{
  skip_spaces (reader);
  const char *end = reader->at;

  while (is_word_char (*end))
    end++;
  if (end == reader->at || end - reader->at > LAB_KEY_MAX)
    return NULL;
  char *word = g_strndup (reader->at, (gsize) (end - reader->at));
  reader->at = end;
  return word;
}

static gboolean
accept_symbol (SelReader *reader, const char *symbol)
{
  skip_spaces (reader);
  if (!g_str_has_prefix (reader->at, symbol))
    return FALSE;
  reader->at += strlen (symbol);
  return TRUE;
}

static gboolean
accept_keyword (SelReader *reader, const char *keyword)
{
  const char *start = reader->at;
  g_autofree char *word = parse_word (reader);

  if (g_strcmp0 (word, keyword) == 0)
    return TRUE;
  reader->at = start;
  return FALSE;
}

static gboolean
parse_value (SelReader *reader, SelTerm *term)
{
  char *value = parse_word (reader);

  if (value == NULL)
    return fail_expected (reader, "a value");
  if (term->values->len >= SEL_VALUES_MAX)
    {
      g_free (value);
      return fail_expected (reader, "at most 64 values");
    }
  g_ptr_array_add (term->values, value);
  return TRUE;
}

static gboolean
parse_value_list (SelReader *reader, SelTerm *term)
{
  if (!accept_symbol (reader, "("))
    return fail_expected (reader, "'('");
  do
    {
      if (!parse_value (reader, term))
        return FALSE;
    }
  while (accept_symbol (reader, ","));
  return accept_symbol (reader, ")") || fail_expected (reader, "',' or ')'");
}

static gboolean
parse_operator (SelReader *reader, SelTerm *term)
{
  if (accept_symbol (reader, "!="))
    {
      term->op = SEL_NOT_IN;
      return parse_value (reader, term);
    }
  if (accept_symbol (reader, "="))
    {
      term->op = SEL_IN;
      return parse_value (reader, term);
    }
  gboolean negated = accept_keyword (reader, "not");
  if (accept_keyword (reader, "exists"))
    {
      term->op = negated ? SEL_NOT_EXISTS : SEL_EXISTS;
      return TRUE;
    }
  if (accept_keyword (reader, "in"))
    {
      term->op = negated ? SEL_NOT_IN : SEL_IN;
      return parse_value_list (reader, term);
    }
  return fail_expected (reader,
                        negated ? "'in' or 'exists'" : "'=', '!=', 'in', 'not' or 'exists'");
}

static gboolean
parse_term (SelReader *reader, Sel *sel)
{
  char *key = parse_word (reader);

  if (key == NULL)
    return fail_expected (reader, "a label key");
  SelTerm *term = g_new0 (SelTerm, 1);
  term->key = key;
  term->values = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (sel->terms, term);
  if (sel->terms->len > SEL_TERMS_MAX)
    return fail_expected (reader, "at most 32 terms");
  return parse_operator (reader, term);
}

static gboolean
parse_terms (SelReader *reader, Sel *sel)
{
  if (accept_symbol (reader, "*"))
    {
      skip_spaces (reader);
      return *reader->at == '\0' || fail_expected (reader, "the end after '*'");
    }
  do
    {
      if (!parse_term (reader, sel))
        return FALSE;
    }
  while (accept_keyword (reader, "and"));
  skip_spaces (reader);
  return *reader->at == '\0' || fail_expected (reader, "'and' or the end");
}

Sel *
sel_parse (const char *text, GError **error)
{
  SelReader reader = { text, text, error };

  if (strlen (text) > SEL_TEXT_MAX)
    {
      err_set (error, ERR_BAD_CONFIG, "selector: expected at most %d characters", SEL_TEXT_MAX);
      return NULL;
    }
  Sel *sel = g_new0 (Sel, 1);
  sel->text = g_strdup (text);
  sel->terms = g_ptr_array_new_with_free_func (term_free);
  if (parse_terms (&reader, sel))
    return sel;
  sel_free (sel);
  return NULL;
}

static gboolean
has_value (const SelTerm *term, const char *value)
{
  for (guint i = 0; value != NULL && i < term->values->len; i++)
    {
      if (strcmp (g_ptr_array_index (term->values, i), value) == 0)
        return TRUE;
    }
  return FALSE;
}

static gboolean
term_matches (const SelTerm *term, const LabSet *labels)
{
  const char *value = lab_get (labels, term->key);

  switch (term->op)
    {
    case SEL_IN:
      return has_value (term, value);
    case SEL_NOT_IN:
      return !has_value (term, value);
    case SEL_EXISTS:
      return value != NULL;
    case SEL_NOT_EXISTS:
    default:
      return value == NULL;
    }
}

gboolean
sel_match (const Sel *sel, const LabSet *labels)
{
  for (guint i = 0; i < sel->terms->len; i++)
    {
      if (!term_matches (g_ptr_array_index (sel->terms, i), labels))
        return FALSE;
    }
  return TRUE;
}

const char *
sel_text (const Sel *sel)
{
  return sel->text;
}
