#include "support/fake_log.h"

#include <string.h>

#include "common/clk.h"
#include "state/wake.h"

#define PAGE_BYTES_MAX (4 * 1024 * 1024)
#define APPEND_RECORDS_MAX 4096
#define RECORD_TEXT_MAX ((size_t) 700 * 1024)
#define STREAM_NAME_MAX 63
/** Interval at which a waiting read checks whether the service is stopping. */
#define WAIT_STEP_US (20 * CLK_US_PER_MS)

typedef struct
{
  char *text; /**< base64, as received */
  int64_t time_ms;
} FakeRecord;

typedef struct
{
  GQueue records; /**< FakeRecord, oldest first */
  int64_t first_kept;
  int64_t end;
} FakeStream;

struct FakeLog
{
  FakeHttp *http;
  FakeLogOptions options;
  pthread_mutex_t append_lock; /**< one append at a time */
  Wake wake;                   /**< guards the fields below */
  GHashTable *streams;
  int64_t newest_ms;
  uint64_t appends;
  gboolean is_stopping;
};

static void
record_free (void *data)
{
  FakeRecord *record = data;

  g_free (record->text);
  g_free (record);
}

static void
stream_free (void *data)
{
  FakeStream *stream = data;

  g_queue_clear_full (&stream->records, record_free);
  g_free (stream);
}

static FakeStream *
find_stream (FakeLog *log, const char *name)
{
  FakeStream *stream = g_hash_table_lookup (log->streams, name);

  if (stream == NULL)
    {
      stream = g_new0 (FakeStream, 1);
      g_queue_init (&stream->records);
      g_hash_table_insert (log->streams, g_strdup (name), stream);
    }
  return stream;
}

static void
expire (FakeStream *stream, int64_t first_kept)
{
  while (stream->first_kept < first_kept && stream->first_kept < stream->end)
    {
      record_free (g_queue_pop_head (&stream->records));
      stream->first_kept++;
    }
}

/* Returns 0, or the status with which the whole append is refused. */
static uint32_t
check_append (const json_t *items, json_t **answer)
{
  size_t bytes = 0;

  if (!json_is_array (items) || json_array_size (items) == 0)
    return fake_fail (answer, 400, "bad_request");
  for (size_t i = 0; i < json_array_size (items); i++)
    {
      const json_t *item = json_array_get (items, i);
      if (!json_is_string (item))
        return fake_fail (answer, 400, "bad_request");
      if (json_string_length (item) > RECORD_TEXT_MAX)
        return fake_fail (answer, 413, "too_large");
      bytes += json_string_length (item) / 4 * 3;
    }
  if (bytes > PAGE_BYTES_MAX || json_array_size (items) > APPEND_RECORDS_MAX)
    return fake_fail (answer, 413, "too_large");
  return 0;
}

static uint32_t
append (FakeLog *log, const char *name, const json_t *items, json_t **answer)
{
  uint32_t refused = check_append (items, answer);

  if (refused != 0)
    return refused;
  pthread_mutex_lock (&log->append_lock);
  int64_t delay_ms = log->options.append_delay_ms
                     + log->options.record_delay_ms * (int64_t) json_array_size (items);
  if (delay_ms > 0)
    g_usleep ((gulong) (delay_ms * CLK_US_PER_MS));
  wake_lock (&log->wake);
  FakeStream *stream = find_stream (log, name);
  int64_t first = stream->end;
  log->newest_ms = MAX (log->newest_ms, clk_wall_ms ());
  log->appends++;
  for (size_t i = 0; i < json_array_size (items); i++)
    {
      FakeRecord *record = g_new0 (FakeRecord, 1);
      record->text = g_strdup (json_string_value (json_array_get (items, i)));
      record->time_ms = log->newest_ms;
      g_queue_push_tail (&stream->records, record);
      stream->end++;
    }
  if (log->options.retention_records > 0)
    expire (stream, stream->end - log->options.retention_records);
  wake_signal (&log->wake);
  wake_unlock (&log->wake);
  pthread_mutex_unlock (&log->append_lock);
  *answer = json_pack ("{s:I}", "first_offset", (json_int_t) first);
  return 200;
}

static void
wait_for_records (FakeLog *log, const FakeStream *stream, int64_t from, int64_t wait_ms)
{
  int64_t end_us = wake_now_us () + wait_ms * CLK_US_PER_MS;

  while (stream->end <= from && !log->is_stopping && wake_now_us () < end_us)
    {
      int64_t step_us = wake_now_us () + WAIT_STEP_US;
      (void) wake_wait_until (&log->wake, MIN (step_us, end_us));
    }
}

static json_t *
make_page (const FakeStream *stream, int64_t from, int64_t max)
{
  json_t *items = json_array ();
  int64_t offset = from;
  size_t bytes = 0;
  GList *link = g_queue_peek_nth_link ((GQueue *) &stream->records,
                                       (guint) MAX (from - stream->first_kept, 0));

  for (; link != NULL && offset - from < max; link = link->next)
    {
      const FakeRecord *record = link->data;
      bytes += strlen (record->text) / 4 * 3;
      if (bytes > PAGE_BYTES_MAX && offset > from)
        break;
      json_array_append_new (items,
                             json_pack ("{s:I,s:I,s:s}", "offset", (json_int_t) offset, "time_ms",
                                        (json_int_t) record->time_ms, "data", record->text));
      offset++;
    }
  return json_pack ("{s:o,s:I,s:I,s:I}", "records", items, "next", (json_int_t) offset, "end",
                    (json_int_t) stream->end, "first_kept", (json_int_t) stream->first_kept);
}

static uint32_t
read_page (FakeLog *log, const char *name, const FakeRequest *request, json_t **answer)
{
  int64_t from = fake_query (request, "from", 0);
  int64_t max = fake_query (request, "max", 1000);
  uint32_t status = 200;

  if (from < 0 || max < 1)
    return fake_fail (answer, 400, "bad_request");
  wake_lock (&log->wake);
  const FakeStream *stream = find_stream (log, name);
  if (from >= stream->first_kept)
    wait_for_records (log, stream, from, fake_query (request, "wait_ms", 0));
  if (from < stream->first_kept)
    {
      status = 410;
      *answer = json_pack ("{s:s,s:I,s:I}", "error", "gap", "first_kept",
                           (json_int_t) stream->first_kept, "end", (json_int_t) stream->end);
    }
  else if (from > stream->end)
    status = fake_fail (answer, 400, "bad_request");
  else
    *answer = make_page (stream, from, max);
  wake_unlock (&log->wake);
  return status;
}

static uint32_t
read_bounds (FakeLog *log, const char *name, json_t **answer)
{
  wake_lock (&log->wake);
  const FakeStream *stream = find_stream (log, name);
  *answer = json_pack ("{s:I,s:I}", "first_kept", (json_int_t) stream->first_kept, "end",
                       (json_int_t) stream->end);
  wake_unlock (&log->wake);
  return 200;
}

static uint32_t
handle (void *ctx, const FakeRequest *request, json_t **answer)
{
  FakeLog *log = ctx;

  if (request->n_parts != 4 || strcmp (request->parts[0], "v1") != 0
      || strcmp (request->parts[1], "streams") != 0 || strlen (request->parts[2]) > STREAM_NAME_MAX)
    return fake_fail (answer, 404, "not_found");
  const char *name = request->parts[2];
  gboolean is_get = strcmp (request->method, "GET") == 0;
  if (is_get && strcmp (request->parts[3], "bounds") == 0)
    return read_bounds (log, name, answer);
  if (strcmp (request->parts[3], "records") != 0)
    return fake_fail (answer, 404, "not_found");
  if (is_get)
    return read_page (log, name, request, answer);
  return append (log, name, json_object_get (request->body, "records"), answer);
}

FakeLog *
fake_log_new (const FakeLogOptions *options)
{
  FakeLog *log = g_new0 (FakeLog, 1);

  log->options = *options;
  pthread_mutex_init (&log->append_lock, NULL);
  wake_init (&log->wake);
  log->streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stream_free);
  log->http = fake_http_new (options->port, handle, log);
  if (log->http != NULL)
    return log;
  fake_log_free (log);
  return NULL;
}

void
fake_log_free (FakeLog *log)
{
  if (log == NULL)
    return;
  wake_lock (&log->wake);
  log->is_stopping = TRUE;
  wake_signal (&log->wake);
  wake_unlock (&log->wake);
  fake_http_free (log->http);
  g_hash_table_unref (log->streams);
  wake_clear (&log->wake);
  pthread_mutex_destroy (&log->append_lock);
  g_free (log);
}

FakeHttp *
fake_log_http (FakeLog *log)
{
  return log->http;
}

uint16_t
fake_log_port (const FakeLog *log)
{
  return fake_http_port (log->http);
}

int64_t
fake_log_end (FakeLog *log, const char *stream)
{
  wake_lock (&log->wake);
  int64_t end = find_stream (log, stream)->end;
  wake_unlock (&log->wake);
  return end;
}

uint64_t
fake_log_appends (FakeLog *log)
{
  wake_lock (&log->wake);
  uint64_t appends = log->appends;
  wake_unlock (&log->wake);
  return appends;
}

void
fake_log_put (FakeLog *log, const char *stream, GBytes *record)
{
  gsize size;
  const void *data = g_bytes_get_data (record, &size);
  g_autofree char *text = g_base64_encode (data, size);
  json_t *items = json_pack ("[s]", text);
  json_t *answer = NULL;

  (void) append (log, stream, items, &answer);
  json_decref (items);
  json_decref (answer);
}

void
fake_log_expire (FakeLog *log, const char *stream, int64_t first_kept)
{
  wake_lock (&log->wake);
  expire (find_stream (log, stream), first_kept);
  wake_unlock (&log->wake);
}
