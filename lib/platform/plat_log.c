#include "platform/plat_log.h"

#include <string.h>

#include "common/err.h"
#include "platform/plat_http.h"

/** Longest stream name, in characters. */
#define STREAM_NAME_MAX 63

struct PlatLog
{
  PlatHttp *http;
};

PlatLog *
plat_log_new (const PlatLogOptions *options)
{
  const PlatHttpOptions http
      = { options->host, options->port, options->connect_ms, options->read_ms };
  PlatLog *log = g_new0 (PlatLog, 1);

  log->http = plat_http_new (&http);
  return log;
}

void
plat_log_free (PlatLog *log)
{
  if (log == NULL)
    return;
  plat_http_free (log->http);
  g_free (log);
}

static gboolean
check_stream (const char *stream, GError **error)
{
  size_t length = strspn (stream, "abcdefghijklmnopqrstuvwxyz0123456789-_");

  if (length > 0 && length <= STREAM_NAME_MAX && stream[length] == '\0')
    return TRUE;
  err_set (error, ERR_BAD_REQUEST, "log: '%s' is not a stream name", stream);
  return FALSE;
}

/* Sets the error for an answer with a failure status: nothing was appended or read. */
static void
set_status_error (uint32_t status, const json_t *answer, GError **error)
{
  ErrKind kind = ERR_PROTOCOL;

  if (status == 503)
    kind = ERR_LOG_DOWN;
  else if (status == 410)
    kind = ERR_GAP;
  else if (status == 413)
    kind = ERR_TOO_LARGE;
  else if (status == 400 || status == 404)
    kind = ERR_BAD_REQUEST;
  const char *reason = json_string_value (json_object_get (answer, "error"));
  err_set (error, kind, "log: status %u: %s", status, reason != NULL ? reason : "no reason");
}

static json_t *
encode_records (const GPtrArray *records, GError **error)
{
  json_t *list = json_array ();

  for (guint i = 0; i < records->len; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (g_ptr_array_index (records, i), &size);
      if (size > PLAT_LOG_RECORD_MAX)
        {
          json_decref (list);
          err_set (error, ERR_TOO_LARGE, "log: record of %zu bytes exceeds the limit", size);
          return NULL;
        }
      g_autofree char *text = g_base64_encode (data, size);
      json_array_append_new (list, json_string (text));
    }
  return json_pack ("{s:o}", "records", list);
}

gboolean
plat_log_append (PlatLog *log,
                 const char *stream,
                 const GPtrArray *records,
                 int64_t *first_offset,
                 GError **error)
{
  if (!check_stream (stream, error))
    return FALSE;
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s/records", stream);
  json_t *body = encode_records (records, error);
  json_t *answer = NULL;
  int64_t offset = 0;

  if (body == NULL)
    return FALSE;
  const PlatHttpCall call = { "POST", path, body, 0 };
  uint32_t status = plat_http_call (log->http, &call, &answer, error);
  json_decref (body);
  if (status == 0)
    return FALSE;
  gboolean ok = status == 200 && plat_http_integer (answer, "first_offset", &offset, error);
  if (status != 200)
    set_status_error (status, answer, error);
  json_decref (answer);
  if (ok && first_offset != NULL)
    *first_offset = offset;
  return ok;
}

static void
record_clear (void *data)
{
  PlatLogRecord *record = data;

  g_bytes_unref (record->data);
}

static PlatLogPage *
page_new (void)
{
  PlatLogPage *page = g_new0 (PlatLogPage, 1);

  page->records = g_array_new (FALSE, FALSE, sizeof (PlatLogRecord));
  g_array_set_clear_func (page->records, record_clear);
  return page;
}

void
plat_log_page_free (PlatLogPage *page)
{
  if (page == NULL)
    return;
  g_array_free (page->records, TRUE);
  g_free (page);
}

static gboolean
decode_record (const json_t *item, int64_t min_offset, PlatLogRecord *record, GError **error)
{
  const char *text = json_string_value (json_object_get (item, "data"));

  if (!plat_http_integer (item, "offset", &record->offset, error)
      || !plat_http_integer (item, "time_ms", &record->time_ms, error))
    return FALSE;
  if (text == NULL || record->offset < min_offset)
    {
      err_set (error, ERR_PROTOCOL, "log: record without data or out of order");
      return FALSE;
    }
  gsize size;
  guchar *data = g_base64_decode (text, &size);
  if (size > PLAT_LOG_RECORD_MAX
      || size
             != strlen (text) / 4 * 3 - (size_t) g_str_has_suffix (text, "=")
                    - (size_t) g_str_has_suffix (text, "=="))
    {
      g_free (data);
      err_set (error, ERR_PROTOCOL, "log: record with malformed data");
      return FALSE;
    }
  record->data = g_bytes_new_take (data, size);
  return TRUE;
}

static gboolean
decode_page (const json_t *answer, int64_t from, PlatLogPage *page, GError **error)
{
  const json_t *items = json_object_get (answer, "records");
  int64_t min_offset = from;

  if (!json_is_array (items) || !plat_http_integer (answer, "next", &page->next_offset, error)
      || !plat_http_integer (answer, "end", &page->end_offset, error)
      || !plat_http_integer (answer, "first_kept", &page->first_kept, error))
    {
      if (error != NULL && *error == NULL)
        err_set (error, ERR_PROTOCOL, "log: page without records");
      return FALSE;
    }
  for (size_t i = 0; i < json_array_size (items); i++)
    {
      PlatLogRecord record;
      if (!decode_record (json_array_get (items, i), min_offset, &record, error))
        return FALSE;
      g_array_append_val (page->records, record);
      min_offset = record.offset + 1;
    }
  if (page->next_offset >= min_offset && page->end_offset >= page->next_offset
      && page->first_kept <= page->end_offset)
    return TRUE;
  err_set (error, ERR_PROTOCOL, "log: page with inconsistent offsets");
  return FALSE;
}

PlatLogPage *
plat_log_read (PlatLog *log,
               const char *stream,
               int64_t from,
               uint32_t max_records,
               int64_t wait_ms,
               GError **error)
{
  if (!check_stream (stream, error))
    return NULL;
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s/records?from=%" G_GINT64_FORMAT
                                           "&max=%u&wait_ms=%" G_GINT64_FORMAT,
                                           stream, from, max_records, wait_ms);
  const PlatHttpCall call = { "GET", path, NULL, wait_ms };
  json_t *answer = NULL;
  uint32_t status = plat_http_call (log->http, &call, &answer, error);

  if (status == 0)
    return NULL;
  PlatLogPage *page = page_new ();
  gboolean ok = status == 200 && decode_page (answer, from, page, error);
  if (status != 200)
    set_status_error (status, answer, error);
  json_decref (answer);
  if (ok)
    return page;
  plat_log_page_free (page);
  return NULL;
}

gboolean
plat_log_bounds (
    PlatLog *log, const char *stream, int64_t *first_kept, int64_t *end_offset, GError **error)
{
  if (!check_stream (stream, error))
    return FALSE;
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s/bounds", stream);
  const PlatHttpCall call = { "GET", path, NULL, 0 };
  json_t *answer = NULL;
  uint32_t status = plat_http_call (log->http, &call, &answer, error);

  if (status == 0)
    return FALSE;
  gboolean ok = status == 200 && plat_http_integer (answer, "first_kept", first_kept, error)
                && plat_http_integer (answer, "end", end_offset, error);
  if (status != 200)
    set_status_error (status, answer, error);
  json_decref (answer);
  return ok;
}
