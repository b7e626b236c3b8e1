/* Platform calls over a kept connection that is reset after the request passed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "common/err.h"
#include "platform/plat_log.h"
#include "platform/plat_worker.h"
#include "support/reset_server.h"

#define TIMEOUT_MS 1000
#define STREAM "s"
#define CAPACITY "{\"cpu_milli\":1,\"memory_mb\":1,\"accelerators\":0}"
#define CAPACITY_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n" CAPACITY
#define BOUNDS_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"first_kept\":0,\"end\":0}"
#define BUSY_ANSWER "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"

/** What follows the reset. */
typedef struct
{
  const char *name;
  const char *next_answer;
} ResetCase;

static const ResetCase cases[] = {
  { "the repeat is refused with 503", BUSY_ANSWER },
  { "the next connection is refused", NULL },
};

static ErrKind
start_over_reset_connection (ResetServer *server, const char *next_answer)
{
  const PlatStart wanted = { .job = 1, .attempt = 1, .epoch = 1, .sent_wall_ms = clk_wall_ms () };
  PlatWorkerOptions options
      = { .host = "127.0.0.1", .connect_ms = TIMEOUT_MS, .read_ms = TIMEOUT_MS };
  g_autoptr (GError) error = NULL;
  DocSize capacity;

  reset_server_start (server, CAPACITY_ANSWER, next_answer);
  options.port = server->port;
  PlatWorker *worker = plat_worker_new (&options);
  assert_true (plat_worker_capacity (worker, &capacity, NULL));
  assert_false (plat_worker_start (worker, &wanted, &error));
  plat_worker_free (worker);
  reset_server_stop (server);
  return err_kind (error);
}

static ErrKind
append_over_reset_connection (ResetServer *server, const char *next_answer)
{
  PlatLogOptions options = { .host = "127.0.0.1", .connect_ms = TIMEOUT_MS, .read_ms = TIMEOUT_MS };
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  g_autoptr (GError) error = NULL;
  int64_t first_kept = 0;
  int64_t end_offset = 0;

  g_ptr_array_add (records, g_bytes_new_static ("x", 1));
  reset_server_start (server, BOUNDS_ANSWER, next_answer);
  options.port = server->port;
  PlatLog *log = plat_log_new (&options);
  assert_true (plat_log_bounds (log, STREAM, &first_kept, &end_offset, NULL));
  assert_false (plat_log_append (log, STREAM, records, NULL, &error));
  plat_log_free (log);
  reset_server_stop (server);
  return err_kind (error);
}

static void
check_in_doubt (const ResetCase *row, const ResetServer *server, ErrKind kind)
{
  if (server->n_requests < 2 || (kind != ERR_TIMEOUT && kind != ERR_PROTOCOL))
    fail_msg ("%s: %u requests, %s", row->name, server->n_requests, err_name (kind));
}

static void
reset_start_may_have_run (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      ResetServer server;
      ErrKind kind = start_over_reset_connection (&server, cases[i].next_answer);
      check_in_doubt (&cases[i], &server, kind);
    }
}

static void
reset_append_may_have_been_appended (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      ResetServer server;
      ErrKind kind = append_over_reset_connection (&server, cases[i].next_answer);
      check_in_doubt (&cases[i], &server, kind);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (reset_start_may_have_run),
    cmocka_unit_test (reset_append_may_have_been_appended),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
