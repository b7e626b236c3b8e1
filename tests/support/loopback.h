/**
 * @file loopback.h
 * A loopback address of this process, so that concurrent runs of a test do not collide.
 */
#pragma once

#include <arpa/inet.h>
#include <glib.h>
#include <unistd.h>

/** Addresses of C tests are 127.251.X.Y; scripts and the soak use other networks. */
#define LOOPBACK_NETWORK 251
#define LOOPBACK_HOSTS 250

/** Returns an IPv4 address that no other running process gets from this function, unless their ids
 * differ by a multiple of 62,500. The text is static. */
static inline const char *
loopback_ip (void)
{
  static char text[INET_ADDRSTRLEN];
  guint id = (guint) getpid ();

  (void) g_snprintf (text, sizeof text, "127.%d.%u.%u", LOOPBACK_NETWORK,
                     1 + id / LOOPBACK_HOSTS % LOOPBACK_HOSTS, 1 + id % LOOPBACK_HOSTS);
  return text;
}

/** Returns "IP:PORT" with the address of loopback_ip(). The text is static, and valid until the
 * next call. */
static inline const char *
loopback_address (guint port)
{
  static char text[INET_ADDRSTRLEN + sizeof ":65535"];

  (void) g_snprintf (text, sizeof text, "%s:%u", loopback_ip (), port);
  return text;
}

/** Returns "http://IP:PORT/x" with the address of loopback_ip(). The text is static, and valid
 * until the next call. */
static inline const char *
loopback_url (guint port)
{
  static char text[INET_ADDRSTRLEN + sizeof "http://:65535/x"];

  (void) g_snprintf (text, sizeof text, "http://%s:%u/x", loopback_ip (), port);
  return text;
}
