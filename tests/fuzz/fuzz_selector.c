/**
 * @file fuzz_selector.c
 * Parses arbitrary text as a selector. The result is a typed error, or a selector whose text parses
 * to one that matches the same labels.
 */
#include <stdint.h>
#include <stdlib.h>

#include "common/err.h"
#include "common/lab.h"
#include "common/sel.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                            size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                        size_t size)
{
  GError *error = NULL;
  char *text = g_strndup ((const char *) data, size);
  Sel *selector = sel_parse (text, &error);
  LabSet *labels = lab_new ();

  if ((selector == NULL) == (error == NULL))
    abort ();
  if (selector == NULL && err_kind (error) != ERR_BAD_CONFIG)
    abort ();
  (void) lab_set (labels, "pool", "render", NULL);
  if (selector != NULL)
    {
      Sel *again = sel_parse (sel_text (selector), NULL);
      if (again == NULL || sel_match (again, labels) != sel_match (selector, labels))
        abort ();
      sel_free (again);
    }
  lab_free (labels);
  sel_free (selector);
  g_clear_error (&error);
  g_free (text);
  return 0;
}
