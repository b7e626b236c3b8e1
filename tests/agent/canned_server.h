/**
 * @file canned_server.h
 * Endpoint that answers each POST with given bytes after a delay, and counts the POSTs.
 */
#pragma once

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CANNED_OK "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole"
#define CANNED_HEALTHY "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

typedef struct
{
  int fd;
  uint16_t port;
  pthread_t thread;
  GArray *connections; /**< pthread_t; owned by the accepting thread until that is joined */
  pthread_mutex_t mutex;
  const char *answer; /**< this and the following fields are guarded by mutex */
  int64_t delay_ms;
  int32_t n_posts;
  int32_t running;
  int32_t max_running;
} CannedServer;

typedef struct
{
  CannedServer *server;
  int fd;
} CannedConnection;

/* Reads one request to the end of its body; FALSE when the connection is closed. */
static inline gboolean
canned_read (int fd, GString *request)
{
  g_string_truncate (request, 0);
  for (;;)
    {
      char chunk[4096];
      ssize_t got = recv (fd, chunk, sizeof (chunk), 0);
      if (got <= 0)
        return FALSE;
      g_string_append_len (request, chunk, got);
      const char *end = strstr (request->str, "\r\n\r\n");
      if (end == NULL)
        continue;
      const char *field = strstr (request->str, "Content-Length: ");
      size_t length = field != NULL ? (size_t) g_ascii_strtoull (field + 16, NULL, 10) : 0;
      if (request->len >= (size_t) (end + 4 - request->str) + length)
        return TRUE;
    }
}

static inline void *
canned_serve (void *data)
{
  CannedConnection *connection = data;
  CannedServer *server = connection->server;
  GString *request = g_string_new (NULL);

  while (canned_read (connection->fd, request))
    {
      gboolean is_post = g_str_has_prefix (request->str, "POST");
      pthread_mutex_lock (&server->mutex);
      const char *answer = is_post ? server->answer : CANNED_HEALTHY;
      int64_t delay_ms = is_post ? server->delay_ms : 0;
      server->n_posts += is_post ? 1 : 0;
      server->running += is_post ? 1 : 0;
      server->max_running = MAX (server->max_running, server->running);
      pthread_mutex_unlock (&server->mutex);
      g_usleep ((gulong) delay_ms * 1000);
      pthread_mutex_lock (&server->mutex);
      server->running -= is_post ? 1 : 0;
      pthread_mutex_unlock (&server->mutex);
      (void) send (connection->fd, answer, strlen (answer), MSG_NOSIGNAL);
      if (is_post)
        break;
    }
  g_string_free (request, TRUE);
  close (connection->fd);
  g_free (connection);
  return NULL;
}

static inline void *
canned_accept (void *data)
{
  CannedServer *server = data;
  int fd;

  while ((fd = accept (server->fd, NULL, NULL)) >= 0)
    {
      CannedConnection *connection = g_new (CannedConnection, 1);
      *connection = (CannedConnection){ server, fd };
      pthread_t thread;
      g_assert_cmpint (pthread_create (&thread, NULL, canned_serve, connection), ==, 0);
      g_array_append_val (server->connections, thread);
    }
  return NULL;
}

static inline CannedServer *
canned_new (void)
{
  CannedServer *server = g_new0 (CannedServer, 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof (address);

  pthread_mutex_init (&server->mutex, NULL);
  server->answer = CANNED_OK;
  server->connections = g_array_new (FALSE, FALSE, sizeof (pthread_t));
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (server->fd, (struct sockaddr *) &address, size), ==, 0);
  g_assert_cmpint (listen (server->fd, 64), ==, 0);
  g_assert_cmpint (getsockname (server->fd, (struct sockaddr *) &address, &size), ==, 0);
  server->port = ntohs (address.sin_port);
  g_assert_cmpint (pthread_create (&server->thread, NULL, canned_accept, server), ==, 0);
  return server;
}

/* All clients must be closed before. */
static inline void
canned_free (CannedServer *server)
{
  shutdown (server->fd, SHUT_RDWR);
  close (server->fd);
  pthread_join (server->thread, NULL);
  for (guint i = 0; i < server->connections->len; i++)
    pthread_join (g_array_index (server->connections, pthread_t, i), NULL);
  g_array_unref (server->connections);
  pthread_mutex_destroy (&server->mutex);
  g_free (server);
}

static inline void
canned_set (CannedServer *server, const char *answer, int64_t delay_ms)
{
  pthread_mutex_lock (&server->mutex);
  server->answer = answer;
  server->delay_ms = delay_ms;
  pthread_mutex_unlock (&server->mutex);
}

static inline int32_t
canned_posts (CannedServer *server)
{
  pthread_mutex_lock (&server->mutex);
  int32_t n = server->n_posts;
  pthread_mutex_unlock (&server->mutex);
  return n;
}
