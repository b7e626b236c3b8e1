#include "entry/params.h"

#include <string.h>

#include "common/err.h"

#define HEX16_DIGITS 16

gboolean
params_is_name (const char *text, size_t max)
{
  size_t length = text != NULL ? strlen (text) : 0;

  if (length == 0 || length > max)
    return FALSE;
  for (size_t i = 0; i < length; i++)
    {
      if (!g_ascii_isalnum (text[i]) && strchr ("._-", text[i]) == NULL)
        return FALSE;
    }
  return TRUE;
}

gboolean
params_integer (const char *text, int64_t min, int64_t max, int64_t *value)
{
  gint64 parsed = 0;

  if (text == NULL || !g_ascii_string_to_signed (text, 10, min, max, &parsed, NULL))
    return FALSE;
  *value = parsed;
  return TRUE;
}

gboolean
params_hex16 (const char *text, uint64_t *value)
{
  uint64_t result = 0;

  if (text == NULL || strlen (text) != HEX16_DIGITS)
    return FALSE;
  for (size_t i = 0; i < HEX16_DIGITS; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);
      if (digit < 0)
        return FALSE;
      result = result << 4 | (uint64_t) digit;
    }
  *value = result;
  return TRUE;
}

static gboolean
is_printable (const char *text, size_t max)
{
  size_t length = strlen (text);

  if (length == 0 || length > max)
    return FALSE;
  for (size_t i = 0; i < length; i++)
    {
      if (!g_ascii_isgraph (text[i]))
        return FALSE;
    }
  return TRUE;
}

static gboolean
read_target (const char *target, ParamsCall *call, GError **error)
{
  if (!g_str_has_prefix (target, PARAMS_CALL_PREFIX))
    {
      err_set (error, ERR_NOT_FOUND, "path: expected " PARAMS_CALL_PREFIX "SERVICE/PATH");
      return FALSE;
    }
  const char *service = target + strlen (PARAMS_CALL_PREFIX);
  size_t length = strcspn (service, "/?");
  const char *path = service + length;
  if (strlen (path) > PARAMS_PATH_MAX)
    {
      err_set (error, ERR_TOO_LARGE, "path: expected at most %d bytes", PARAMS_PATH_MAX);
      return FALSE;
    }
  call->service = g_strndup (service, length);
  call->path = *path == '/' ? g_strdup (path) : g_strconcat ("/", path, NULL);
  if (!params_is_name (call->service, PARAMS_NAME_MAX) || !is_printable (call->path, G_MAXSIZE))
    {
      err_set (error, ERR_BAD_REQUEST, "path: expected a service's name and a printable path");
      return FALSE;
    }
  return TRUE;
}

static gboolean
read_kind (const char *text, ParamsKind *kind, GError **error)
{
  *kind = PARAMS_KIND_DEFAULT;
  if (text == NULL)
    return TRUE;
  if (strcmp (text, "once") == 0)
    *kind = PARAMS_KIND_ONCE;
  else if (strcmp (text, "repeatable") == 0)
    *kind = PARAMS_KIND_REPEATABLE;
  else
    {
      err_set (error, ERR_BAD_REQUEST, "Acacia-Kind: expected once or repeatable");
      return FALSE;
    }
  return TRUE;
}

static gboolean
read_number (const char *name, const char *text, int64_t max, int64_t *value, GError **error)
{
  *value = 0;
  if (text == NULL || params_integer (text, 1, max, value))
    return TRUE;
  err_set (error, ERR_BAD_REQUEST, "%s: expected milliseconds from 1 to %" G_GINT64_FORMAT, name,
           max);
  return FALSE;
}

static gboolean
read_texts (ParamsHeader header, void *ctx, ParamsCall *call, GError **error)
{
  const char *tenant = header (ctx, "Acacia-Tenant");
  const char *key = header (ctx, "Idempotency-Key");
  const char *content_type = header (ctx, "Content-Type");
  const char *id = header (ctx, "Acacia-Request-Id");

  if (!params_is_name (tenant, PARAMS_NAME_MAX))
    err_set (error, ERR_BAD_REQUEST, "Acacia-Tenant: expected a name of 1 to 63 characters");
  else if (key != NULL && !is_printable (key, PARAMS_KEY_MAX))
    err_set (error, ERR_BAD_REQUEST, "Idempotency-Key: expected 1 to 128 printable characters");
  else if (content_type != NULL && strlen (content_type) > PARAMS_CONTENT_TYPE_MAX)
    err_set (error, ERR_TOO_LARGE, "Content-Type: expected at most 127 characters");
  else if (content_type != NULL && !g_utf8_validate (content_type, -1, NULL))
    err_set (error, ERR_BAD_REQUEST, "Content-Type: expected text");
  else if (id != NULL && (!ids_parse (id, &call->id) || ids_is_zero (call->id)))
    err_set (error, ERR_BAD_REQUEST, "Acacia-Request-Id: expected 32 hexadecimal digits");
  else
    {
      call->tenant = g_strdup (tenant);
      call->key = g_strdup (key);
      call->content_type = g_strdup (content_type != NULL ? content_type : "");
      return TRUE;
    }
  return FALSE;
}

gboolean
params_call (const char *target, ParamsHeader header, void *ctx, ParamsCall *call, GError **error)
{
  return read_target (target, call, error) && read_texts (header, ctx, call, error)
         && read_kind (header (ctx, "Acacia-Kind"), &call->kind, error)
         && read_number ("Acacia-Timeout-Ms", header (ctx, "Acacia-Timeout-Ms"),
                         PARAMS_TIMEOUT_MAX_MS, &call->timeout_ms, error)
         && read_number ("Acacia-Date-Ms", header (ctx, "Acacia-Date-Ms"), G_MAXINT64 / 1000,
                         &call->dated_ms, error);
}

void
params_clear (ParamsCall *call)
{
  g_free (call->tenant);
  g_free (call->service);
  g_free (call->path);
  g_free (call->key);
  g_free (call->content_type);
  *call = (ParamsCall){ 0 };
}
