/**
 * @file reset_server.h
 * Server that answers the first request and resets the connection when the second one has arrived.
 * It answers the first request of the next connection, or refuses that connection.
 */
#pragma once

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct
{
  int listener;
  uint16_t port;
  const char *first_answer;
  const char *next_answer; /**< NULL: the next connection is refused */
  uint32_t n_requests;     /**< valid after reset_server_stop() */
  pthread_t thread;
} ResetServer;

/* Reads one request to the end of its body. */
static inline gboolean
reset_server_read (ResetServer *server, int fd)
{
  g_autoptr (GString) request = g_string_new (NULL);

  for (;;)
    {
      char chunk[4096];
      ssize_t got = recv (fd, chunk, sizeof chunk, 0);
      if (got <= 0)
        return FALSE;
      g_string_append_len (request, chunk, got);
      const char *end = strstr (request->str, "\r\n\r\n");
      if (end == NULL)
        continue;
      const char *field = strstr (request->str, "Content-Length: ");
      size_t length = field != NULL ? (size_t) g_ascii_strtoull (field + 16, NULL, 10) : 0;
      if (request->len < (size_t) (end + 4 - request->str) + length)
        continue;
      server->n_requests++;
      return TRUE;
    }
}

static inline void *
reset_server_run (void *data)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
  ResetServer *server = data;
  int first = accept (server->listener, NULL, NULL);

  if (reset_server_read (server, first))
    (void) send (first, server->first_answer, strlen (server->first_answer), MSG_NOSIGNAL);
  (void) reset_server_read (server, first);
  if (server->next_answer == NULL)
    (void) shutdown (server->listener, SHUT_RDWR);
  (void) setsockopt (first, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  (void) close (first);
  int next = accept (server->listener, NULL, NULL);
  if (next < 0)
    return NULL;
  if (reset_server_read (server, next))
    (void) send (next, server->next_answer, strlen (server->next_answer), MSG_NOSIGNAL);
  (void) close (next);
  return NULL;
}

static inline void
reset_server_start (ResetServer *server, const char *first_answer, const char *next_answer)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;

  *server = (ResetServer){ .first_answer = first_answer, .next_answer = next_answer };
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (server->listener, (struct sockaddr *) &address, size), ==, 0);
  g_assert_cmpint (listen (server->listener, 4), ==, 0);
  g_assert_cmpint (getsockname (server->listener, (struct sockaddr *) &address, &size), ==, 0);
  server->port = ntohs (address.sin_port);
  g_assert_cmpint (pthread_create (&server->thread, NULL, reset_server_run, server), ==, 0);
}

/* All clients must be closed before. */
static inline void
reset_server_stop (ResetServer *server)
{
  (void) shutdown (server->listener, SHUT_RDWR);
  (void) pthread_join (server->thread, NULL);
  (void) close (server->listener);
}
