/**
 * @file store.c
 * The project's stand-in of the store (tests/standin/store), with the limits of the users' pages:
 * records of at most record_bytes, calls of at most call_bytes, reads of at most max_kb, and pages
 * of at most 500 items.
 *
 * standin-store ADDRESS [APPEND_MS [SECOND]]: in-memory implementation of the part of the users'
 * metadata store that acaciadale uses: keyed topics with conditional appends, producers, long polls
 * and the newest record of each key.
 *
 * An append that repeats one of the last five of its producer is answered like the first one. If
 * its records differ from that one's, the caller has broken the store's rules: a line that begins
 * with "standin-store: BROKEN" goes to stderr.
 *
 * Appends are answered after APPEND_MS. SECOND is another address of the same store. After SIGUSR1
 * all calls to SECOND are answered with 503; after SIGUSR2 they are not answered.
 *
 * POST /standin-pace?service_ms=S&answer_ms=A makes the store slow: appends are executed one at a
 * time, each takes S, and every answer takes A longer. An append that would wait in the queue for
 * more than 2 s is answered with 503. S = A = 0 ends that; what is queued is executed at the old
 * pace.
 */
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "net/net_server.h"

#define CONNECTIONS_MAX 500
#define IDLE_S 60
#define BODY_MAX (4 * 1024 * 1024)
#define RECORD_HEAD 4
#define RECORD_BYTES 262144
#define CALL_BYTES 2097152
#define READ_KB 1024
#define PAGE_ITEMS 500
#define PAGE_BYTES (1024 * 1024)
/** Number of appends whose repeats receive the first response again. */
#define APPENDS_KEPT 5
/** Longest time that an append waits in the queue of a slow store. */
#define QUEUE_MAX_US (2 * G_USEC_PER_SEC)

/** An append of a producer. */
typedef struct
{
  int64_t sequence;
  int64_t offset;
  int64_t end_offset; /**< offset after its records */
  GBytes *body;
} Append;

typedef struct
{
  GPtrArray *records; /**< GBytes */
  int64_t epoch;      /**< epoch of the topic's only producer */
  GQueue *appends;    /**< Append of that epoch, at most #APPENDS_KEPT, the newest first */
  GPtrArray *waiting; /**< Waiting */
} Topic;

typedef struct
{
  NetRequest *request;
  Topic *topic;
  int64_t from;
  guint timer;
} Waiting;

typedef enum
{
  SECOND_SERVES,
  SECOND_REFUSES,
  SECOND_UNRESPONSIVE,
} SecondMode;

static GHashTable *topics;
static SecondMode second_mode;
static guint append_ms;      /* delay of the answer to an append */
static gint64 service_ms;    /* time that an append takes; 0: none */
static gint64 answer_ms;     /* delay of every answer while the store is slow */
static gint64 queue_free_us; /* when all queued appends will have been executed */

static Topic *
topic_of (const char *name)
{
  Topic *topic = g_hash_table_lookup (topics, name);

  if (topic == NULL)
    {
      topic = g_new0 (Topic, 1);
      topic->epoch = -1;
      topic->appends = g_queue_new ();
      topic->records = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
      topic->waiting = g_ptr_array_new ();
      g_hash_table_insert (topics, g_strdup (name), topic);
    }
  return topic;
}

static int64_t
argument (NetRequest *request, const char *name, int64_t fallback)
{
  const char *text = net_request_argument (request, name);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

static void
reply_json (NetRequest *request, uint32_t status, const char *body)
{
  const NetReply reply = { .status = status, .content_type = "application/json", .body = body };

  net_request_reply (request, &reply);
}

static void
add_be (GByteArray *bytes, uint64_t value, size_t size)
{
  uint64_t big = GUINT64_TO_BE (value);

  g_byte_array_append (bytes, (const guint8 *) &big + (8 - size), (guint) size);
}

static void
reply_records (NetRequest *request, const Topic *topic, int64_t from)
{
  size_t max_bytes = (size_t) argument (request, "max_kb", READ_KB) * 1024;
  g_autoptr (GByteArray) bytes = g_byte_array_new ();

  add_be (bytes, topic->records->len, 8);
  add_be (bytes, 0, 8);
  for (int64_t i = from; i < (int64_t) topic->records->len; i++)
    {
      size_t size = 0;
      const void *data = g_bytes_get_data (g_ptr_array_index (topic->records, (guint) i), &size);
      if (i > from && bytes->len + size > max_bytes)
        break;
      add_be (bytes, size, RECORD_HEAD);
      g_byte_array_append (bytes, data, (guint) size);
    }
  const NetReply reply = { .status = 200,
                           .content_type = "application/octet-stream",
                           .body = (const char *) bytes->data,
                           .body_size = bytes->len };
  net_request_reply (request, &reply);
}

static gboolean
on_answer_due (gpointer data)
{
  Waiting *waiting = data;

  reply_records (waiting->request, waiting->topic, waiting->from);
  g_free (waiting);
  return G_SOURCE_REMOVE;
}

static void
end_wait (Waiting *waiting)
{
  if (waiting->timer != 0)
    g_source_remove (waiting->timer);
  if (answer_ms > 0)
    (void) g_timeout_add ((guint) answer_ms, on_answer_due, waiting);
  else
    (void) on_answer_due (waiting);
}

static gboolean
on_wait_over (gpointer data)
{
  Waiting *waiting = data;

  waiting->timer = 0;
  (void) g_ptr_array_remove (waiting->topic->waiting, waiting);
  end_wait (waiting);
  return G_SOURCE_REMOVE;
}

static void
read_records (NetRequest *request, Topic *topic)
{
  int64_t from = argument (request, "from", 0);
  int64_t wait_ms = argument (request, "wait_ms", 0);

  Waiting *waiting = g_new0 (Waiting, 1);
  waiting->request = request;
  waiting->topic = topic;
  waiting->from = from;
  if (wait_ms == 0 || from < (int64_t) topic->records->len)
    {
      end_wait (waiting);
      return;
    }
  waiting->timer = g_timeout_add ((guint) wait_ms, on_wait_over, waiting);
  g_ptr_array_add (topic->waiting, waiting);
}

static void
add_records (Topic *topic, const uint8_t *body, size_t size)
{
  for (size_t at = 0; at + RECORD_HEAD <= size;)
    {
      size_t length = (size_t) body[at] << 24 | (size_t) body[at + 1] << 16
                      | (size_t) body[at + 2] << 8 | body[at + 3];
      at += RECORD_HEAD;
      if (length > size - at)
        return;
      g_ptr_array_add (topic->records, g_bytes_new (body + at, length));
      at += length;
    }
}

static void
append_free (gpointer data)
{
  Append *append = data;

  g_bytes_unref (append->body);
  g_free (append);
}

static const Append *
find_append (const Topic *topic, int64_t sequence)
{
  for (const GList *item = topic->appends->head; item != NULL; item = item->next)
    {
      const Append *append = item->data;
      if (append->sequence == sequence)
        return append;
    }
  return NULL;
}

static void
keep_append (Topic *topic, int64_t epoch, Append *append)
{
  if (epoch != topic->epoch)
    g_queue_clear_full (topic->appends, append_free);
  topic->epoch = epoch;
  g_queue_push_head (topic->appends, append);
  if (topic->appends->length > APPENDS_KEPT)
    append_free (g_queue_pop_tail (topic->appends));
}

static char *
describe_append (int64_t offset, int64_t end_offset)
{
  return g_strdup_printf ("{\"offset\":%" G_GINT64_FORMAT ",\"end_offset\":%" G_GINT64_FORMAT "}",
                          offset, end_offset);
}

/* The store answers without a comparison, so records that differ are lost. */
static void
reply_repeat (NetRequest *request, const Append *append, int64_t epoch)
{
  size_t size = 0;
  const char *body = net_request_body (request, &size);
  g_autoptr (GBytes) bytes = g_bytes_new (body, size);
  g_autofree char *text = describe_append (append->offset, append->end_offset);

  if (!g_bytes_equal (bytes, append->body))
    (void) fprintf (stderr,
                    "standin-store: BROKEN: topic %s epoch %" G_GINT64_FORMAT
                    " sequence %" G_GINT64_FORMAT " is used again for other records\n",
                    net_request_argument (request, "topic"), epoch, append->sequence);
  reply_json (request, 200, text);
}

/* Returns FALSE after an answer to a producer that is fenced, out of sequence or repeats an append.
 */
static gboolean
check_producer (NetRequest *request, const Topic *topic)
{
  int64_t epoch = argument (request, "epoch", -1);
  int64_t sequence = argument (request, "seq", -1);

  if (epoch < 0 || epoch > topic->epoch)
    return TRUE;
  if (epoch < topic->epoch)
    {
      reply_json (request, 409, "{\"reason\":\"fenced\"}");
      return FALSE;
    }
  const Append *repeated = find_append (topic, sequence);
  if (repeated != NULL)
    {
      reply_repeat (request, repeated, epoch);
      return FALSE;
    }
  const Append *newest = g_queue_peek_head (topic->appends);
  if (sequence != newest->sequence + 1)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"reason\":\"seq\",\"expected\":%" G_GINT64_FORMAT "}", newest->sequence + 1);
      reply_json (request, 409, text);
      return FALSE;
    }
  return TRUE;
}

typedef struct
{
  NetRequest *request;
  char *body;
} Delayed;

static gboolean
on_delay_over (gpointer data)
{
  Delayed *delayed = data;

  reply_json (delayed->request, 200, delayed->body);
  g_free (delayed->body);
  g_free (delayed);
  return G_SOURCE_REMOVE;
}

static void
reply_appended (NetRequest *request, int64_t offset, const Topic *topic)
{
  Delayed *delayed = g_new (Delayed, 1);

  delayed->request = request;
  delayed->body = describe_append (offset, topic->records->len);
  if (append_ms + answer_ms > 0)
    (void) g_timeout_add (append_ms + (guint) answer_ms, on_delay_over, delayed);
  else
    (void) on_delay_over (delayed);
}

/* Whether the records of a call are within the limits. */
static gboolean
are_small (const uint8_t *body, size_t size)
{
  size_t bytes = 0;

  for (size_t at = 0; at + RECORD_HEAD <= size;)
    {
      size_t length = (size_t) body[at] << 24 | (size_t) body[at + 1] << 16
                      | (size_t) body[at + 2] << 8 | body[at + 3];
      if (length > RECORD_BYTES)
        return FALSE;
      bytes += length;
      at += RECORD_HEAD + length;
    }
  return bytes <= CALL_BYTES;
}

static void
append_records (NetRequest *request, Topic *topic)
{
  int64_t at = argument (request, "at", -1);
  int64_t epoch = argument (request, "epoch", -1);
  int64_t offset = topic->records->len;
  size_t size = 0;
  const char *body = net_request_body (request, &size);

  if (!are_small ((const uint8_t *) body, size))
    {
      (void) fprintf (stderr, "store: refused a call with a record of more than %d bytes\n",
                      RECORD_BYTES);
      reply_json (request, 413, "{}");
      return;
    }
  if (!check_producer (request, topic))
    return;
  if (at >= 0 && at != offset)
    {
      g_autofree char *moved = g_strdup_printf ("{\"end_offset\":%d}", (int) offset);
      reply_json (request, 412, moved);
      return;
    }
  add_records (topic, (const uint8_t *) body, size);
  if (epoch >= 0)
    {
      Append *append = g_new0 (Append, 1);
      append->sequence = argument (request, "seq", -1);
      append->offset = offset;
      append->end_offset = topic->records->len;
      append->body = g_bytes_new (body, size);
      keep_append (topic, epoch, append);
    }
  reply_appended (request, offset, topic);
  while (topic->waiting->len > 0)
    end_wait (g_ptr_array_steal_index (topic->waiting, 0));
}

typedef struct
{
  NetRequest *request;
  Topic *topic;
} Queued;

static gboolean
on_queue_over (gpointer data)
{
  g_autofree Queued *queued = data;

  append_records (queued->request, queued->topic);
  return G_SOURCE_REMOVE;
}

static void
queue_append (NetRequest *request, Topic *topic)
{
  const NetReply busy = { .status = 503 };
  gint64 now_us = g_get_monotonic_time ();
  gint64 begin_us = MAX (now_us, queue_free_us);

  if (service_ms == 0 && begin_us == now_us)
    {
      append_records (request, topic);
      return;
    }
  if (begin_us - now_us > QUEUE_MAX_US)
    {
      net_request_reply (request, &busy);
      return;
    }
  Queued *queued = g_new (Queued, 1);
  *queued = (Queued){ request, topic };
  queue_free_us = begin_us + service_ms * 1000;
  (void) g_timeout_add ((guint) ((queue_free_us - now_us) / 1000), on_queue_over, queued);
}

static void
set_pace (NetRequest *request)
{
  service_ms = argument (request, "service_ms", 0);
  answer_ms = argument (request, "answer_ms", 0);
  reply_json (request, 200, "{}");
}

/* Returns whether no later record has the same key. */
static gboolean
is_newest (const Topic *topic, guint index)
{
  size_t size = 0;
  const uint8_t *record = g_bytes_get_data (g_ptr_array_index (topic->records, index), &size);

  for (guint i = index + 1; i < topic->records->len; i++)
    {
      size_t other_size = 0;
      const uint8_t *other = g_bytes_get_data (g_ptr_array_index (topic->records, i), &other_size);
      if (other[0] == record[0] && memcmp (other + 1, record + 1, record[0]) == 0)
        return FALSE;
    }
  return TRUE;
}

static const uint8_t *
record_at (const Topic *topic, guint index)
{
  return g_bytes_get_data (g_ptr_array_index (topic->records, index), NULL);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  const uint8_t *left = record_at (data, *(const guint *) a);
  const uint8_t *right = record_at (data, *(const guint *) b);
  int order = memcmp (left + 1, right + 1, MIN (left[0], right[0]));

  return order != 0 ? order : (int) left[0] - (int) right[0];
}

/* Indexes of the newest record of each key that has a value, by key. */
static GArray *
newest_records (Topic *topic)
{
  GArray *indexes = g_array_new (FALSE, FALSE, sizeof (guint));

  for (guint i = 0; i < topic->records->len; i++)
    {
      size_t size = g_bytes_get_size (g_ptr_array_index (topic->records, i));
      /* A record without a value deletes its key. */
      if (is_newest (topic, i) && size != 1U + record_at (topic, i)[0])
        g_array_append_val (indexes, i);
    }
  g_array_sort_with_data (indexes, compare_keys, topic);
  return indexes;
}

static void
reply_newest (NetRequest *request, Topic *topic)
{
  g_autoptr (GString) text = g_string_new ("{\"items\":[");
  g_autoptr (GArray) indexes = newest_records (topic);
  const char *after = net_request_argument (request, "after");
  gboolean has_more = FALSE;
  guint n_items = 0;

  for (guint i = 0; i < indexes->len; i++)
    {
      guint index = g_array_index (indexes, guint, i);
      size_t size = g_bytes_get_size (g_ptr_array_index (topic->records, index));
      const uint8_t *record = record_at (topic, index);
      g_autofree char *key = g_strndup ((const char *) record + 1, record[0]);
      if (after != NULL && strcmp (key, after) <= 0)
        continue;
      has_more = n_items >= PAGE_ITEMS || text->len > PAGE_BYTES;
      if (has_more)
        break;
      g_autofree char *value = g_base64_encode (record + 1 + record[0], size - 1 - record[0]);
      if (n_items++ > 0)
        g_string_append_c (text, ',');
      g_string_append_printf (text, "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}", key, value,
                              index);
    }
  g_string_append_printf (text, "],\"more\":%s,\"end_offset\":%u}", has_more ? "true" : "false",
                          topic->records->len);
  reply_json (request, 200, text->str);
}

static void
on_request (void *ctx, NetRequest *request)
{
  const char *path = net_request_path (request);
  const char *name = net_request_argument (request, "topic");
  const NetReply not_found = { .status = 404 };

  (void) ctx;
  if (name != NULL && strcmp (path, "/log-append") == 0)
    queue_append (request, topic_of (name));
  else if (strcmp (path, "/standin-pace") == 0)
    set_pace (request);
  else if (name != NULL && strcmp (path, "/log-read") == 0)
    read_records (request, topic_of (name));
  else if (name != NULL && strcmp (path, "/log-newest") == 0)
    reply_newest (request, topic_of (name));
  else
    net_request_reply (request, &not_found);
}

static void
on_second_request (void *ctx, NetRequest *request)
{
  const NetReply busy = { .status = 503 };

  if (second_mode == SECOND_SERVES)
    on_request (ctx, request);
  else if (second_mode == SECOND_REFUSES)
    net_request_reply (request, &busy);
}

static gboolean
on_refuse (gpointer data)
{
  (void) data;
  second_mode = SECOND_REFUSES;
  return G_SOURCE_CONTINUE;
}

static gboolean
on_make_unresponsive (gpointer data)
{
  (void) data;
  second_mode = SECOND_UNRESPONSIVE;
  return G_SOURCE_CONTINUE;
}

static NetServer *
open_second (const NetServerOptions *first, const char *address)
{
  NetServerOptions options = *first;

  options.address = address;
  options.handler = on_second_request;
  (void) g_unix_signal_add (SIGUSR1, on_refuse, NULL);
  (void) g_unix_signal_add (SIGUSR2, on_make_unresponsive, NULL);
  return net_server_new (&options, NULL);
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  if (argc < 2 || argc > 4)
    {
      (void) fprintf (stderr, "Usage: standin-store IP:PORT [APPEND_MS [IP:PORT]]\n");
      return 2;
    }
  const NetServerOptions options = { .address = argv[1],
                                     .connections_max = CONNECTIONS_MAX,
                                     .excess_waits = TRUE,
                                     .idle_s = IDLE_S,
                                     .body_bytes_max = BODY_MAX,
                                     .handler = on_request };
  append_ms = argc >= 3 ? (guint) g_ascii_strtoull (argv[2], NULL, 10) : 0;
  topics = g_hash_table_new (g_str_hash, g_str_equal);
  NetServer *server = net_server_new (&options, &error);
  if (server == NULL)
    {
      (void) fprintf (stderr, "standin-store: %s\n", error->message);
      return 1;
    }
  NetServer *second = argc == 4 ? open_second (&options, argv[3]) : NULL;
  g_main_loop_run (loop);
  net_server_free (second);
  net_server_free (server);
  return 0;
}
