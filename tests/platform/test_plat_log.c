#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "common/err.h"
#include "platform/plat_log.h"
#include "support/fake_log.h"

#define STREAM "main"
/** A port of 127.0.0.1 on which nothing listens. */
#define CLOSED_PORT 1
#define LATE_MS 5000

static PlatLog *
client_of (uint16_t port)
{
  const PlatLogOptions options
      = { .host = "127.0.0.1", .port = port, .connect_ms = 500, .read_ms = 1000 };

  return plat_log_new (&options);
}

static GPtrArray *
records_of (guint n, gsize size)
{
  GPtrArray *records = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);

  for (guint i = 0; i < n; i++)
    {
      guint8 *data = g_malloc (size);
      memset (data, (int) i, size);
      g_ptr_array_add (records, g_bytes_new_take (data, size));
    }
  return records;
}

/* Appends one record; returns the kind of the failure, or ERR_KIND_COUNT. */
static ErrKind
append_one (PlatLog *client, const char *stream, gsize size)
{
  g_autoptr (GPtrArray) records = records_of (1, size);
  g_autoptr (GError) error = NULL;

  if (plat_log_append (client, stream, records, NULL, &error))
    return ERR_KIND_COUNT;
  return err_kind (error);
}

static ErrKind
read_from (PlatLog *client, int64_t from)
{
  g_autoptr (GError) error = NULL;
  PlatLogPage *page = plat_log_read (client, STREAM, from, 100, 0, &error);

  plat_log_page_free (page);
  return page != NULL ? ERR_KIND_COUNT : err_kind (error);
}

/* Waits until the stream ends at @p end: an append may take effect after the client timed out. */
static void
wait_end (FakeLog *log, int64_t end)
{
  int64_t limit_us = clk_now_us () + LATE_MS * CLK_US_PER_MS;

  while (fake_log_end (log, STREAM) < end && clk_now_us () < limit_us)
    g_usleep (2000);
  assert_int_equal (fake_log_end (log, STREAM), end);
}

typedef struct
{
  const char *name;
  FakeFault fault;
  ErrKind append_kind; /**< ERR_KIND_COUNT: success */
  int64_t n_appended;
  ErrKind read_kind;
} FaultCase;

static const FaultCase fault_cases[] = {
  { "none", { FAKE_FAULT_NONE, 0, 0, 0 }, ERR_KIND_COUNT, 1, ERR_KIND_COUNT },
  { "down", { FAKE_FAULT_DOWN, 1, 0, 0 }, ERR_LOG_DOWN, 0, ERR_LOG_DOWN },
  { "slow in time", { FAKE_FAULT_SLOW, 1, 0, 200 }, ERR_KIND_COUNT, 1, ERR_KIND_COUNT },
  { "slow, too late", { FAKE_FAULT_SLOW, 1, 0, 1400 }, ERR_TIMEOUT, 1, ERR_TIMEOUT },
  { "answer lost", { FAKE_FAULT_LOSE_ANSWER, 2, 0, 0 }, ERR_TIMEOUT, 1, ERR_TIMEOUT },
  { "duplicate", { FAKE_FAULT_DUPLICATE, 1, 0, 0 }, ERR_KIND_COUNT, 2, ERR_KIND_COUNT },
  { "truncated", { FAKE_FAULT_TRUNCATE, 1, 0, 0 }, ERR_PROTOCOL, 1, ERR_PROTOCOL },
  { "garbage", { FAKE_FAULT_GARBAGE, 1, 0, 0 }, ERR_PROTOCOL, 1, ERR_PROTOCOL },
  { "closed without effect", { FAKE_FAULT_REFUSE, 2, 0, 0 }, ERR_TIMEOUT, 0, ERR_TIMEOUT },
};

/* An error kind that means "certainly not appended" must not be returned for an append that may
 * have taken effect. */
static void
faults_map_to_error_kinds (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      const FaultCase *row = &fault_cases[i];
      FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
      PlatLog *client = client_of (fake_log_port (log));

      print_message ("  %s\n", row->name);
      fake_http_fault (fake_log_http (log), &row->fault);
      assert_int_equal (append_one (client, STREAM, 10), row->append_kind);
      wait_end (log, row->n_appended);
      fake_http_fault (fake_log_http (log), &row->fault);
      assert_int_equal (read_from (client, 0), row->read_kind);
      fake_http_fault (fake_log_http (log), &(FakeFault){ .mode = FAKE_FAULT_NONE });
      assert_int_equal (append_one (client, STREAM, 10), ERR_KIND_COUNT);
      plat_log_free (client);
      fake_log_free (log);
    }
}

static void
closed_port_is_refused (void **state)
{
  (void) state;
  PlatLog *client = client_of (CLOSED_PORT);

  assert_int_equal (append_one (client, STREAM, 10), ERR_REFUSED);
  assert_int_equal (read_from (client, 0), ERR_REFUSED);
  plat_log_free (client);
}

/* An append on a kept connection that breaks may have taken effect, although a reconnect fails. */
static void
broken_connection_leaves_append_in_doubt (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
  PlatLog *client = client_of (fake_log_port (log));

  assert_int_equal (append_one (client, STREAM, 10), ERR_KIND_COUNT);
  fake_log_free (log);
  assert_int_equal (append_one (client, STREAM, 10), ERR_TIMEOUT);
  assert_int_equal (append_one (client, STREAM, 10), ERR_REFUSED);
  plat_log_free (client);
}

static void
pages_carry_what_was_appended (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
  PlatLog *client = client_of (fake_log_port (log));
  g_autoptr (GPtrArray) records = records_of (300, 33);
  int64_t first = -1;
  int64_t kept = -1;
  int64_t end = -1;

  assert_int_equal (append_one (client, STREAM, 1), ERR_KIND_COUNT);
  assert_true (plat_log_append (client, STREAM, records, &first, NULL));
  assert_int_equal (first, 1);
  PlatLogPage *page = plat_log_read (client, STREAM, 1, 250, 0, NULL);
  assert_non_null (page);
  assert_int_equal (page->records->len, 250);
  assert_int_equal (page->next_offset, 251);
  assert_int_equal (page->end_offset, 301);
  for (guint i = 0; i < page->records->len; i++)
    {
      const PlatLogRecord *record = &g_array_index (page->records, PlatLogRecord, i);
      assert_int_equal (record->offset, 1 + i);
      assert_true (g_bytes_equal (record->data, g_ptr_array_index (records, i)));
    }
  plat_log_page_free (page);
  assert_true (plat_log_bounds (client, STREAM, &kept, &end, NULL));
  assert_int_equal (kept, 0);
  assert_int_equal (end, 301);
  plat_log_free (client);
  fake_log_free (log);
}

static void
expired_records_are_a_gap (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .retention_records = 5 });
  PlatLog *client = client_of (fake_log_port (log));
  g_autoptr (GPtrArray) records = records_of (20, 4);
  int64_t kept = -1;
  int64_t end = -1;

  assert_true (plat_log_append (client, STREAM, records, NULL, NULL));
  assert_int_equal (read_from (client, 14), ERR_GAP);
  assert_int_equal (read_from (client, 15), ERR_KIND_COUNT);
  assert_int_equal (read_from (client, 21), ERR_BAD_REQUEST);
  assert_true (plat_log_bounds (client, STREAM, &kept, &end, NULL));
  assert_int_equal (kept, 15);
  plat_log_free (client);
  fake_log_free (log);
}

static void
limits_are_enforced (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
  PlatLog *client = client_of (fake_log_port (log));
  g_autoptr (GPtrArray) many = records_of (5000, 1);
  g_autoptr (GError) error = NULL;

  assert_int_equal (append_one (client, STREAM, PLAT_LOG_RECORD_MAX), ERR_KIND_COUNT);
  assert_int_equal (append_one (client, STREAM, PLAT_LOG_RECORD_MAX + 1), ERR_TOO_LARGE);
  assert_int_equal (append_one (client, "a/b", 1), ERR_BAD_REQUEST);
  assert_int_equal (append_one (client, "", 1), ERR_BAD_REQUEST);
  assert_false (plat_log_append (client, STREAM, many, NULL, &error));
  assert_int_equal (err_kind (error), ERR_TOO_LARGE);
  assert_int_equal (fake_log_end (log, STREAM), 1);
  plat_log_free (client);
  fake_log_free (log);
}

static void
read_waits_for_the_first_record (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
  PlatLog *client = client_of (fake_log_port (log));
  int64_t start_us = clk_now_us ();
  PlatLogPage *page = plat_log_read (client, STREAM, 0, 10, 150, NULL);

  assert_non_null (page);
  assert_int_equal (page->records->len, 0);
  assert_true (clk_now_us () - start_us >= 140 * CLK_US_PER_MS);
  plat_log_page_free (page);
  plat_log_free (client);
  fake_log_free (log);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (faults_map_to_error_kinds),
    cmocka_unit_test (closed_port_is_refused),
    cmocka_unit_test (broken_connection_leaves_append_in_doubt),
    cmocka_unit_test (pages_carry_what_was_appended),
    cmocka_unit_test (expired_records_are_a_gap),
    cmocka_unit_test (limits_are_enforced),
    cmocka_unit_test (read_waits_for_the_first_record),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
