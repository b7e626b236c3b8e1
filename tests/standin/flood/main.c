/* Opens many connections that misbehave, and keeps them open until it is ended.
 *
 * Prints "settled" once each connection has sent all it is going to send, was closed by the server,
 * or can't send more because the server doesn't read. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#define CHUNK_BYTES 1000
#define PIECE_BYTES 512
/** Interval between the bytes of a slow client. */
#define SLOW_MS 50
/** Without progress for this long, a connection counts as blocked. */
#define SETTLE_US (2 * G_USEC_PER_SEC)
/** A server that never reads must not hold the program back for longer than this. */
#define RECEIVE_BYTES 4096

typedef struct
{
  const char *name;
  gboolean is_slow;
  gboolean reads; /**< reads what the server sends */
  size_t step;    /**< bytes per call of send(); 0: as many as possible */
  GString *(*compose) (const char *path, size_t bytes);
} Kind;

typedef struct
{
  int fd;
  size_t sent;
} Client;

static GString *
compose_head (const char *path, const char *method)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "%s %s HTTP/1.1\r\nHost: h.example\r\n", method, path);
  return text;
}

/* All but the last byte of a body. */
static GString *
compose_unfinished (const char *path, size_t bytes)
{
  GString *text = compose_head (path, "POST");

  g_string_append_printf (text, "Content-Length: %zu\r\n\r\n", bytes + 1);
  for (size_t i = 0; i < bytes; i++)
    g_string_append_c (text, 'x');
  return text;
}

static GString *
compose_chunked (const char *path, size_t bytes)
{
  GString *text = compose_head (path, "POST");

  g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  for (size_t i = 0; i < bytes; i += CHUNK_BYTES)
    {
      g_string_append_printf (text, "%x\r\n", CHUNK_BYTES);
      for (size_t j = 0; j < CHUNK_BYTES; j++)
        g_string_append_c (text, 'x');
      g_string_append (text, "\r\n");
    }
  return text;
}

/* Many short header fields that never end. */
static GString *
compose_headers (const char *path, size_t bytes)
{
  GString *text = compose_head (path, "GET");

  for (unsigned int i = 0; text->len < bytes; i++)
    g_string_append_printf (text, "a%x:1\r\n", i);
  return text;
}

static GString *
compose_pipeline (const char *path, size_t bytes)
{
  GString *text = g_string_new (NULL);

  while (text->len < bytes)
    g_string_append_printf (text, "GET %s HTTP/1.1\r\nHost: h.example\r\n\r\n", path);
  return text;
}

static const Kind kinds[] = {
  { "whole", FALSE, TRUE, 0, compose_unfinished },
  { "pieces", FALSE, TRUE, PIECE_BYTES, compose_unfinished },
  { "chunked", FALSE, TRUE, 0, compose_chunked },
  { "headers", FALSE, TRUE, 0, compose_headers },
  { "pipeline", FALSE, FALSE, 0, compose_pipeline },
  { "slow", TRUE, TRUE, 1, compose_unfinished },
};

static const Kind *
find_kind (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      if (strcmp (kinds[i].name, name) == 0)
        return &kinds[i];
    }
  return NULL;
}

static int
open_connection (const char *address)
{
  const char *colon = strchr (address, ':');
  struct sockaddr_in target = { .sin_family = AF_INET };
  /* A client that doesn't read takes little into its own buffer. */
  const int receive_bytes = RECEIVE_BYTES;

  if (colon == NULL)
    return -1;
  g_autofree char *host = g_strndup (address, (gsize) (colon - address));
  target.sin_port = htons ((uint16_t) g_ascii_strtoull (colon + 1, NULL, 10));
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (fd < 0 || inet_pton (AF_INET, host, &target.sin_addr) != 1)
    return -1;
  (void) setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  if (connect (fd, (const struct sockaddr *) &target, sizeof target) != 0 && errno != EINPROGRESS)
    {
      (void) close (fd);
      return -1;
    }
  return fd;
}

static void
end_client (Client *client)
{
  (void) close (client->fd);
  client->fd = -1;
}

/* Discards what the server sent; closes the connection when the server did. */
static void
receive (Client *client)
{
  char buffer[RECEIVE_BYTES];
  ssize_t size = 0;

  do
    size = recv (client->fd, buffer, sizeof buffer, 0);
  while (size > 0);
  if (size == 0 || (errno != EAGAIN && errno != EINTR))
    end_client (client);
}

static gboolean
send_part (Client *client, const Kind *kind, const GString *text)
{
  size_t left = text->len - client->sent;
  ssize_t size = send (client->fd, text->str + client->sent,
                       kind->step > 0 ? MIN (kind->step, left) : left, MSG_NOSIGNAL);

  if (size > 0)
    client->sent += (size_t) size;
  else if (errno != EAGAIN && errno != EINTR)
    end_client (client);
  return size > 0;
}

/* One pass over all connections. TRUE if a connection made progress. */
static gboolean
run_once (Client *clients, struct pollfd *fds, nfds_t count, const Kind *kind, const GString *text)
{
  gboolean has_progress = FALSE;

  for (nfds_t i = 0; i < count; i++)
    {
      gboolean has_more = clients[i].fd >= 0 && clients[i].sent < text->len;
      short events = (short) ((kind->reads ? POLLIN : 0) | (has_more ? POLLOUT : 0));

      fds[i] = (struct pollfd){ .fd = clients[i].fd, .events = events };
    }
  if (poll (fds, count, SLOW_MS) <= 0)
    return FALSE;
  for (nfds_t i = 0; i < count; i++)
    {
      int was_open = clients[i].fd;

      if (clients[i].fd >= 0 && (fds[i].revents & (POLLERR | POLLHUP)) != 0)
        end_client (&clients[i]);
      if (clients[i].fd >= 0 && (fds[i].revents & POLLIN) != 0)
        receive (&clients[i]);
      if (clients[i].fd >= 0 && (fds[i].revents & POLLOUT) != 0)
        has_progress |= send_part (&clients[i], kind, text);
      has_progress |= was_open != clients[i].fd;
    }
  if (kind->is_slow)
    g_usleep (SLOW_MS * 1000);
  return has_progress;
}

static void
run (Client *clients, nfds_t count, const Kind *kind, const GString *text)
{
  g_autofree struct pollfd *fds = g_new0 (struct pollfd, count);
  gint64 progress_us = g_get_monotonic_time ();
  gboolean is_settled = FALSE;

  for (;;)
    {
      gint64 now_us = g_get_monotonic_time ();

      if (run_once (clients, fds, count, kind, text) && !kind->is_slow)
        progress_us = now_us;
      if (!is_settled && now_us - progress_us > SETTLE_US)
        {
          is_settled = TRUE;
          (void) printf ("settled\n");
          (void) fflush (stdout);
        }
    }
}

int
main (int argc, char **argv)
{
  const Kind *kind = argc == 6 ? find_kind (argv[2]) : NULL;

  if (kind == NULL)
    {
      (void) fprintf (stderr, "Usage: standin-flood IP:PORT KIND CONNECTIONS BYTES PATH\n"
                              "KIND: whole, pieces, chunked, headers, pipeline, slow\n");
      return 2;
    }
  nfds_t count = (nfds_t) g_ascii_strtoull (argv[3], NULL, 10);
  g_autofree Client *clients = g_new0 (Client, count);
  GString *text = kind->compose (argv[5], (size_t) g_ascii_strtoull (argv[4], NULL, 10));
  for (nfds_t i = 0; i < count; i++)
    clients[i].fd = open_connection (argv[1]);
  run (clients, count, kind, text);
  return 0;
}
