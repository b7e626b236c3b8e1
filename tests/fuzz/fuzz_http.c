/**
 * @file fuzz_http.c
 * Parses request target and headers of a caller's request. The first line of the input is the
 * target, each further line is a header "Name: value".
 */
#include <string.h>

#include "common/err.h"
#include "entry/params.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                            size_t size);

static const char *
find_header (void *ctx, const char *name)
{
  char **lines = ctx;
  size_t length = strlen (name);

  for (char **line = lines + 1; *lines != NULL && *line != NULL; line++)
    {
      if (g_ascii_strncasecmp (*line, name, length) == 0 && g_str_has_prefix (*line + length, ": "))
        return *line + length + 2;
    }
  return NULL;
}

/* An accepted request is within its limits; a rejected one has a typed error. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                        size_t size)
{
  g_autofree char *text = g_strndup ((const char *) data, size);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autoptr (GError) error = NULL;
  ParamsCall call = { 0 };
  const char *target = lines[0] != NULL ? lines[0] : "";

  if (params_call (target, find_header, lines, &call, &error))
    {
      g_assert (error == NULL && params_is_name (call.tenant, PARAMS_NAME_MAX));
      g_assert (params_is_name (call.service, PARAMS_NAME_MAX) && *call.path == '/');
      g_assert (strlen (call.path) <= PARAMS_PATH_MAX + 1);
      g_assert (call.key == NULL || strlen (call.key) <= PARAMS_KEY_MAX);
      g_assert (call.timeout_ms >= 0 && call.timeout_ms <= PARAMS_TIMEOUT_MAX_MS);
    }
  else
    g_assert (error != NULL && error->domain == ERR_DOMAIN);
  params_clear (&call);
  return 0;
}
