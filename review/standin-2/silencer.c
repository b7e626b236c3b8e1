/**
 * @file silencer.c
 * review-silencer LISTEN SERVER: a TCP proxy. After SIGUSR1 no byte passes over the connections
 * that are open at that time, in either direction, and none of them is closed or reset. New ones
 * pass. Prints a line with the number of connections that went silent.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PAIRS_MAX 400
#define BUFFER_BYTES (64 * 1024)
#define BACKLOG 128

typedef struct
{
  int fd[2]; /* client, server */
  int is_silent;
} Pair;

static volatile sig_atomic_t is_asked;
static Pair pairs[PAIRS_MAX];
static int n_pairs;

static void
on_signal (int number)
{
  (void) number;
  is_asked = 1;
}

static struct sockaddr_in
address_of (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char host[64] = "";
  const char *colon = strrchr (text, ':');

  if (colon == NULL || (size_t) (colon - text) >= sizeof host)
    exit (2);
  memcpy (host, text, (size_t) (colon - text));
  address.sin_port = htons ((uint16_t) atoi (colon + 1));
  if (inet_pton (AF_INET, host, &address.sin_addr) != 1)
    exit (2);
  return address;
}

static void
silence (void)
{
  struct timespec now;
  int count = 0;

  is_asked = 0;
  for (int i = 0; i < n_pairs; i++)
    {
      count += !pairs[i].is_silent;
      pairs[i].is_silent = 1;
    }
  (void) clock_gettime (CLOCK_REALTIME, &now);
  (void) printf ("%lld silent %d\n", (long long) now.tv_sec * 1000 + now.tv_nsec / 1000000, count);
  (void) fflush (stdout);
}

static void
accept_pair (int listener, const struct sockaddr_in *server)
{
  int client = accept (listener, NULL, NULL);
  int upstream = socket (AF_INET, SOCK_STREAM, 0);

  if (client < 0 || upstream < 0 || n_pairs == PAIRS_MAX
      || connect (upstream, (const struct sockaddr *) server, sizeof *server) != 0)
    {
      (void) close (client);
      (void) close (upstream);
      return;
    }
  pairs[n_pairs++] = (Pair){ { client, upstream }, 0 };
}

/* Returns 0 once the connection has ended. */
static int
pass (const Pair *pair, int from)
{
  static char buffer[BUFFER_BYTES];
  ssize_t size = read (pair->fd[from], buffer, sizeof buffer);

  if (size <= 0)
    return 0;
  for (ssize_t at = 0; at < size;)
    {
      ssize_t written = write (pair->fd[1 - from], buffer + at, (size_t) (size - at));
      if (written <= 0)
        return 0;
      at += written;
    }
  return 1;
}

static void
run (int listener, const struct sockaddr_in *server)
{
  static struct pollfd polls[1 + 2 * PAIRS_MAX];
  int n_polled = n_pairs;

  polls[0] = (struct pollfd){ .fd = listener, .events = POLLIN };
  for (int i = 0; i < n_polled; i++)
    {
      for (int side = 0; side < 2; side++)
        polls[1 + 2 * i + side]
            = (struct pollfd){ .fd = pairs[i].is_silent ? -1 : pairs[i].fd[side],
                               .events = POLLIN };
    }
  if (poll (polls, (nfds_t) (1 + 2 * n_polled), -1) < 0)
    return;
  for (int i = n_polled - 1; i >= 0; i--)
    {
      int is_open = 1;
      for (int side = 0; side < 2 && is_open; side++)
        {
          if (polls[1 + 2 * i + side].revents != 0)
            is_open = pass (&pairs[i], side);
        }
      if (is_open)
        continue;
      (void) close (pairs[i].fd[0]);
      (void) close (pairs[i].fd[1]);
      pairs[i] = pairs[--n_pairs];
    }
  if ((polls[0].revents & POLLIN) != 0)
    accept_pair (listener, server);
}

int
main (int argc, char **argv)
{
  struct sigaction action = { .sa_handler = on_signal };
  int on = 1;

  if (argc != 3)
    {
      (void) fprintf (stderr, "Usage: review-silencer IP:PORT SERVER_IP:PORT\n");
      return 2;
    }
  struct sockaddr_in listen_address = address_of (argv[1]);
  struct sockaddr_in server = address_of (argv[2]);
  (void) signal (SIGPIPE, SIG_IGN);
  (void) sigaction (SIGUSR1, &action, NULL);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  (void) setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (const struct sockaddr *) &listen_address, sizeof listen_address) != 0
      || listen (listener, BACKLOG) != 0)
    {
      perror ("review-silencer");
      return 1;
    }
  for (;;)
    {
      if (is_asked)
        silence ();
      run (listener, &server);
    }
}
