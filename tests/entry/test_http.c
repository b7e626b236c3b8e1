/* HTTP server over loopback: limits on requests, the error for each limit, and the answers. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/clk.h"
#include "entry/http.h"

#define BODY_MAX 2048
#define HEADERS_MAX 4096
#define CONNECTIONS_MAX 8
#define POOL_BYTES 16384
#define IDLE_MS 1000
#define ANSWER_MAX 65536
#define ANSWERS 10
#define ANSWER_MS_MAX 60

typedef struct
{
  Http *http;
  MetRegistry *metrics;
  ViewBoard *board;
  uint16_t port;
  gint is_full; /**< the loop accepts no requests; read by the HTTP thread */
} Fixture;

/* Answers with the received body, from another thread. */
static void *
echo (void *data)
{
  HttpRequest *request = data;
  const HttpHeader headers[] = { { "Acacia-Ran", "yes" } };

  g_usleep (10000);
  http_answer (request, 200, "text/plain", http_request_info (request)->body, headers, 1);
  return NULL;
}

static gboolean
submit (void *ctx, HttpRequest *request)
{
  const Fixture *fix = ctx;

  if (g_atomic_int_get (&fix->is_full))
    return FALSE;
  pthread_t thread;
  assert_int_equal (pthread_create (&thread, NULL, echo, request), 0);
  (void) pthread_detach (thread);
  return TRUE;
}

static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *) &address, size), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *) &address, &size), 0);
  close (fd);
  return ntohs (address.sin_port);
}

static void
publish (Fixture *fix)
{
  const char *text = "[service.live]\n[service.dead]\n";
  g_autoptr (GBytes) bytes = g_bytes_new_static (text, strlen (text));
  View view = { .config = config_new (7, "ana", 5, bytes, NULL),
                .is_ready = TRUE,
                .published_us = clk_now_us (),
                .live_services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };

  g_hash_table_add (view.live_services, g_strdup ("live"));
  view_publish (fix->board, &view);
}

static int
set_up (void **state)
{
  Fixture *fix = g_new0 (Fixture, 1);
  HttpOptions options = { .host = "127.0.0.1",
                          .body_bytes_max = BODY_MAX,
                          .headers_bytes_max = HEADERS_MAX,
                          .connections_max = CONNECTIONS_MAX,
                          .pool_bytes = POOL_BYTES,
                          .idle_ms = IDLE_MS,
                          .submit = submit,
                          .ctx = fix };

  fix->metrics = met_new ();
  fix->board = view_board_new ();
  fix->port = free_port ();
  publish (fix);
  options.port = fix->port;
  options.metrics = fix->metrics;
  options.board = fix->board;
  fix->http = http_new (&options, NULL);
  assert_non_null (fix->http);
  *state = fix;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *fix = *state;

  http_stop (fix->http);
  http_free (fix->http);
  view_board_free (fix->board);
  met_free (fix->metrics);
  g_free (fix);
  return 0;
}

static int
open_connection (const Fixture *fix)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (fix->port) };
  struct timeval wait = { .tv_sec = 5 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  assert_int_equal (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

static void
write_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
      data += sent;
      size -= (size_t) sent;
    }
}

/* Reads until the connection is closed. */
static void
read_all (int fd, char *answer)
{
  size_t size = 0;
  ssize_t got = 1;

  while (got > 0 && size < ANSWER_MAX - 1)
    {
      got = recv (fd, answer + size, ANSWER_MAX - 1 - size, 0);
      size += got > 0 ? (size_t) got : 0;
    }
  answer[size] = '\0';
}

static char *
exchange (const Fixture *fix, const char *request)
{
  char *answer = g_malloc (ANSWER_MAX);
  int fd = open_connection (fix);

  write_all (fd, request, strlen (request));
  read_all (fd, answer);
  close (fd);
  return answer;
}

typedef struct
{
  const char *request; /**< %s is replaced by 5000 letters */
  const char *status;
  const char *text;
} Case;

#define END "Host: x\r\nConnection: close\r\n\r\n"
#define EMPTY "Content-Length: 0\r\n" END
#define TENANT "Acacia-Tenant: norte\r\n"

static const Case cases[] = {
  { "GET /healthz HTTP/1.1\r\n" END, " 200 ", "ok" },
  { "GET /readyz HTTP/1.1\r\n" END, " 200 ", "ok" },
  { "GET /metrics HTTP/1.1\r\n" END, " 200 ", "" },
  { "GET /v1/config HTTP/1.1\r\n" END, " 200 ", "\"version\":7,\"author\":\"ana\"" },
  { "GET /nowhere HTTP/1.1\r\n" END, " 404 ", "\"kind\":\"not_found\"" },
  { "POST /v1/call/live/x HTTP/1.1\r\n" EMPTY, " 400 ", "Acacia-Tenant" },
  { "POST /v1/call/live/x HTTP/1.1\r\nAcacia-Tenant: a b\r\n" EMPTY, " 400 ", "Acacia-Tenant" },
  { "POST /v1/call/live/x HTTP/1.1\r\nAcacia-Kind: twice\r\n" TENANT EMPTY, " 400 ",
    "Acacia-Kind" },
  { "POST /v1/call/live/x HTTP/1.1\r\nAcacia-Timeout-Ms: 0\r\n" TENANT EMPTY, " 400 ",
    "Acacia-Timeout-Ms" },
  { "POST /v1/call/live/x HTTP/1.1\r\nAcacia-Timeout-Ms: 9999999\r\n" TENANT EMPTY, " 400 ",
    "Acacia-Timeout-Ms" },
  { "POST /v1/call/live/x HTTP/1.1\r\nAcacia-Request-Id: 12\r\n" TENANT EMPTY, " 400 ",
    "Acacia-Request-Id" },
  { "GET /v1/call/live/x HTTP/1.1\r\n" TENANT END, " 404 ", "expected POST" },
  { "POST /v1/call/other/x HTTP/1.1\r\n" TENANT EMPTY, " 404 ", "no such service" },
  { "POST /v1/call/dead/x HTTP/1.1\r\n" TENANT EMPTY, " 503 ", "Retry-After: 2" },
  { "POST /v1/call/dead/x HTTP/1.1\r\n" TENANT EMPTY, " 503 ", "Acacia-Ran: no" },
  { "POST /v1/call/live/x HTTP/1.1\r\nContent-Length: 4\r\n" TENANT END "mixs", " 200 ",
    "\r\n\r\nmixs" },
  { "POST /v1/call/live/x HTTP/1.1\r\nContent-Length: 999999\r\n" TENANT END, " 413 ",
    "\"kind\":\"too_large\"" },
  { "POST /v1/call/live/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" TENANT END
    "1388\r\n%s\r\n0\r\n\r\n",
    " 413 ", "body: expected at most 2048" },
  { "GET /healthz HTTP/1.1\r\nX-Long: %s\r\n" END, " 413 ", "headers: expected" },
  { "POST /v1/call/live/%.1025s HTTP/1.1\r\n" TENANT EMPTY, " 413 ", "path: expected" },
  { "PUT /v1/config?author=a HTTP/1.1\r\n" EMPTY, " 400 ", "base" },
  { "PUT /v1/config?base=7 HTTP/1.1\r\nContent-Length: 5\r\n" END "x = [", " 422 ",
    "\"kind\":\"bad_config\"" },
  { "POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n" END "[]", " 400 ", "name" },
  { "POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n" END "x]", " 400 ", "expected JSON" },
  { "GET /v1/jobs/xyz HTTP/1.1\r\n" END, " 400 ", "16 hexadecimal digits" },
};

static void
each_request_has_its_answer (void **state)
{
  const Fixture *fix = *state;
  g_autofree char *letters = g_strnfill (5000, 'a');

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *place = strstr (cases[i].request, "%");
      GString *request = g_string_new (cases[i].request);
      if (place != NULL)
        {
          g_string_truncate (request, (gsize) (place - cases[i].request));
          g_string_append_len (request, letters, place[1] == 's' ? 5000 : 1025);
          g_string_append (request, strchr (place, 's') + 1);
        }
      g_autofree char *answer = exchange (fix, request->str);
      if (strstr (answer, cases[i].status) == NULL || strstr (answer, cases[i].text) == NULL)
        fail_msg ("case %u: '%.40s' gave '%s'", (unsigned int) i, cases[i].request, answer);
      g_string_free (request, TRUE);
    }
}

static void
a_full_loop_refuses (void **state)
{
  Fixture *fix = *state;

  g_atomic_int_set (&fix->is_full, 1);
  g_autofree char *answer = exchange (fix, "POST /v1/call/live/x HTTP/1.1\r\n" TENANT EMPTY);
  assert_non_null (strstr (answer, " 503 "));
  assert_non_null (strstr (answer, "\"kind\":\"queue_full\""));
  assert_non_null (strstr (answer, "Retry-After: 1"));
}

/* The answer to a suspended request is sent as soon as it is ready, not at the next poll. */
static void
an_answer_is_sent_at_once (void **state)
{
  const Fixture *fix = *state;
  int64_t start_us = clk_now_us ();

  for (int i = 0; i < ANSWERS; i++)
    {
      g_autofree char *answer = exchange (fix, "POST /v1/call/live/x HTTP/1.1\r\n" TENANT EMPTY);
      assert_non_null (strstr (answer, " 200 "));
    }
  assert_in_range (clk_now_us () - start_us, 0, ANSWERS * ANSWER_MS_MAX * CLK_US_PER_MS);
}

/* A request whose body arrives slowly is cut off after the time limit for one request. */
static void
a_slow_request_is_cut_off (void **state)
{
  const Fixture *fix = *state;
  const char *head = "POST /v1/call/live/x HTTP/1.1\r\nContent-Length: 100\r\n" TENANT END;
  char answer[ANSWER_MAX];
  int fd = open_connection (fix);
  int64_t start_us = clk_now_us ();

  write_all (fd, head, strlen (head));
  for (int i = 0; i < 40 && clk_now_us () - start_us < 4 * IDLE_MS * CLK_US_PER_MS; i++)
    {
      write_all (fd, "x", 1);
      g_usleep (100000);
      if (recv (fd, answer, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
        break;
    }
  assert_int_equal (recv (fd, answer, 1, 0) <= 0, 1);
  assert_in_range (clk_now_us () - start_us, IDLE_MS * CLK_US_PER_MS, 3 * IDLE_MS * CLK_US_PER_MS);
  close (fd);
}

static void
connections_are_bounded (void **state)
{
  const Fixture *fix = *state;
  int fds[CONNECTIONS_MAX];
  const char *request = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  char answer[ANSWER_MAX];

  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = open_connection (fix);
      write_all (fds[i], request, strlen (request));
      assert_true (recv (fds[i], answer, sizeof answer, 0) > 0);
    }
  int extra = open_connection (fix);
  write_all (extra, request, strlen (request));
  /* The extra connection is closed, or waits until another one ends. */
  struct timeval wait = { .tv_usec = 300000 };
  setsockopt (extra, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  assert_true (recv (extra, answer, sizeof answer, 0) <= 0);
  close (extra);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
}

/* 300 headers of 5 bytes are within the limit of their size. Guards against memory of a connection
 * beyond its pool. */
static void
short_headers_are_limited_by_the_pool (void **state)
{
  g_autoptr (GString) request = g_string_new ("GET /healthz HTTP/1.1\r\n");

  for (int i = 0; i < 300; i++)
    g_string_append (request, "a:b\r\n");
  g_string_append (request, END);
  g_autofree char *answer = exchange (*state, request->str);
  assert_non_null (strstr (answer, " 431 "));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (short_headers_are_limited_by_the_pool, set_up, tear_down),
    cmocka_unit_test_setup_teardown (each_request_has_its_answer, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_full_loop_refuses, set_up, tear_down),
    cmocka_unit_test_setup_teardown (an_answer_is_sent_at_once, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_slow_request_is_cut_off, set_up, tear_down),
    cmocka_unit_test_setup_teardown (connections_are_bounded, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
