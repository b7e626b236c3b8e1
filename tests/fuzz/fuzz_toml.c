/**
 * @file fuzz_toml.c
 * Parses arbitrary bytes as an operators' document. The result is a valid document or a typed
 * error.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "common/doc.h"
#include "common/err.h"
#include "common/lab.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                            size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                        size_t size)
{
  GError *error = NULL;
  char *text = g_malloc (size + 1);

  memcpy (text, data, size);
  text[size] = '\0';
  DocDocument *document = doc_parse (text, size, "fuzz", &error);
  if ((document == NULL) == (error == NULL))
    abort ();
  if (document != NULL)
    {
      LabSet *labels = lab_new ();
      doc_apply_labels (document, labels);
      lab_free (labels);
    }
  else if (err_kind (error) != ERR_BAD_CONFIG && err_kind (error) != ERR_TOO_LARGE)
    abort ();
  doc_free (document);
  g_clear_error (&error);
  g_free (text);
  return 0;
}
