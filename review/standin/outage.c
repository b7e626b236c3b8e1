/**
 * @file outage.c
 * outage LISTEN SERVER TEXT DOWN_MS RECORD: forwards connections to the store stand-in, and lets
 * the store go down once. When the answer to a request that contains TEXT arrives, that answer is
 * lost, all connections are reset, and for DOWN_MS nothing listens. The requests themselves were
 * executed. An empty TEXT: it never goes down.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PAIRS_MAX 400
#define BUFFER_BYTES (64 * 1024)

typedef struct
{
  int client;
  int server;
  int is_marked; /**< the text was in the newest request */
} Pair;

static Pair pairs[PAIRS_MAX];
static int n_pairs;
static char buffer[BUFFER_BYTES];

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char host[64];
  const char *colon = strrchr (text, ':');

  if (colon == NULL)
    exit (2);
  (void) snprintf (host, sizeof host, "%.*s", (int) (colon - text), text);
  address.sin_port = htons ((uint16_t) atoi (colon + 1));
  if (inet_pton (AF_INET, host, &address.sin_addr) != 1)
    exit (2);
  return address;
}

static int
open_listener (const struct sockaddr_in *address)
{
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  (void) setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (const struct sockaddr *) address, sizeof *address) != 0 || listen (fd, 128) != 0)
    {
      perror ("outage");
      exit (2);
    }
  return fd;
}

static void
reset (int fd)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  (void) setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  (void) close (fd);
}

static void
remove_pair (int index)
{
  (void) close (pairs[index].client);
  (void) close (pairs[index].server);
  pairs[index] = pairs[--n_pairs];
}

static void
accept_pair (int listener, const struct sockaddr_in *server)
{
  int client = accept (listener, NULL, NULL);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (client < 0 || n_pairs == PAIRS_MAX
      || connect (fd, (const struct sockaddr *) server, sizeof *server) != 0)
    {
      (void) close (client);
      (void) close (fd);
      return;
    }
  pairs[n_pairs++] = (Pair){ client, fd, 0 };
}

static int
forward (int from, int to, ssize_t *size)
{
  *size = read (from, buffer, sizeof buffer);
  for (ssize_t at = 0; at < *size;)
    {
      ssize_t sent = send (to, buffer + at, (size_t) (*size - at), MSG_NOSIGNAL);
      if (sent <= 0)
        return 0;
      at += sent;
    }
  return *size > 0;
}

static int64_t
wall_ms (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
go_down (int *listener, const struct sockaddr_in *address, int down_ms, FILE *record)
{
  (void) fprintf (record, "%ld store down, an append was executed and its answer is lost\n",
                  (long) wall_ms ());
  (void) fflush (record);
  (void) close (*listener);
  for (int i = 0; i < n_pairs; i++)
    {
      reset (pairs[i].client);
      (void) close (pairs[i].server);
    }
  n_pairs = 0;
  (void) poll (NULL, 0, down_ms);
  *listener = open_listener (address);
  (void) fprintf (record, "%ld store up\n", (long) wall_ms ());
  (void) fflush (record);
}

int
main (int argc, char **argv)
{
  if (argc != 6)
    {
      (void) fprintf (stderr, "Usage: outage LISTEN SERVER TEXT DOWN_MS RECORD\n");
      return 2;
    }
  const struct sockaddr_in address = parse_address (argv[1]);
  const struct sockaddr_in server = parse_address (argv[2]);
  const char *text = argv[3];
  int may_go_down = *text != '\0';
  FILE *record = fopen (argv[5], "a");
  int listener = open_listener (&address);

  if (record == NULL)
    return 2;
  (void) signal (SIGPIPE, SIG_IGN);
  for (;;)
    {
      struct pollfd fds[1 + 2 * PAIRS_MAX] = { { .fd = listener, .events = POLLIN } };
      for (int i = 0; i < n_pairs; i++)
        {
          fds[1 + 2 * i] = (struct pollfd){ .fd = pairs[i].client, .events = POLLIN };
          fds[2 + 2 * i] = (struct pollfd){ .fd = pairs[i].server, .events = POLLIN };
        }
      if (poll (fds, 1 + 2 * (nfds_t) n_pairs, -1) < 0 && errno != EINTR)
        return 1;
      int is_down_due = 0;
      for (int i = n_pairs - 1; i >= 0 && !is_down_due; i--)
        {
          Pair *pair = &pairs[i];
          ssize_t size = 0;
          if (pair->is_marked && fds[2 + 2 * i].revents != 0)
            {
              is_down_due = 1;
              continue;
            }
          int is_open = 1;
          if (fds[1 + 2 * i].revents != 0)
            {
              is_open = forward (pair->client, pair->server, &size);
              if (is_open && may_go_down)
                pair->is_marked |= memmem (buffer, (size_t) size, text, strlen (text)) != NULL;
            }
          if (is_open && fds[2 + 2 * i].revents != 0)
            is_open = forward (pair->server, pair->client, &size);
          if (!is_open)
            remove_pair (i);
        }
      if (is_down_due)
        {
          may_go_down = 0;
          go_down (&listener, &address, atoi (argv[4]), record);
        }
      else if ((fds[0].revents & POLLIN) != 0)
        accept_pair (listener, &server);
    }
}
