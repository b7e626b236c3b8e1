/**
 * @file free_address.h
 * Finds a free port of 127.0.0.1, so that concurrent runs of a test do not collide.
 */
#pragma once

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

/** Returns "tcp://127.0.0.1:PORT" with a port that is free at the time of the call; free with
 * g_free(). */
static inline char *
free_address (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof (address);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *) &address, size), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *) &address, &size), ==, 0);
  close (fd);
  return g_strdup_printf ("tcp://127.0.0.1:%u", ntohs (address.sin_port));
}
