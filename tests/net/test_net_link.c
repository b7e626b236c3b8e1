/* Links between processes on the loopback interface. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "net/net_link.h"
#include "wire/free_address.h"

#define WAIT_US (INT64_C (2000) * CLK_US_PER_MS)
#define ODD_ROUNDS 3

static const char *const odd_addresses[] = { "",
                                             ":0",
                                             ":",
                                             "127.0.0.1",
                                             "127.0.0.1:0",
                                             "127.0.0.1:99999",
                                             "host:99999",
                                             "127.0.0.1:-1",
                                             "127.0.0.1:4294967297",
                                             "[::1",
                                             "*:5",
                                             "a b:5",
                                             "\xff\xfe:5",
                                             "127.0.0.1:5;127.0.0.1:6",
                                             "127.0.0.1:5;" };

static void
count_message (void *ctx, GBytes *peer, const uint8_t *data, size_t size)
{
  (void) peer;
  (void) data;
  (void) size;
  (*(uint32_t *) ctx)++;
}

static void
add_odd_peers (NetLink *link)
{
  g_autofree char *text = g_strnfill (70000, 'h');
  g_autofree char *address = g_strdup_printf ("%s:5", text);

  for (size_t i = 0; i <= G_N_ELEMENTS (odd_addresses); i++)
    {
      const char *odd = i < G_N_ELEMENTS (odd_addresses) ? odd_addresses[i] : address;
      g_autoptr (GError) error = NULL;
      assert_null (net_link_add_peer (link, odd, &error));
      assert_non_null (error);
      net_link_drop_peer (link, odd);
    }
}

/* The addresses come from records that another writer may have left. */
static void
odd_addresses_are_refused_and_do_not_hinder_others (void **state)
{
  uint32_t n_received = 0;
  uint32_t n_answers = 0;
  NetLinks *links = net_links_new ();
  g_autofree char *url = free_address ();
  const char *address = url + strlen ("tcp://");

  (void) state;
  NetLink *server = net_link_listen (links, address, count_message, &n_received, NULL);
  NetLink *client = net_link_open (links, count_message, &n_answers);
  assert_non_null (server);
  for (uint32_t i = 0; i < ODD_ROUNDS; i++)
    add_odd_peers (client);
  GBytes *id = net_link_add_peer (client, address, NULL);
  assert_non_null (id);
  int64_t end_us = clk_now_us () + WAIT_US;
  while (n_received == 0 && clk_now_us () < end_us)
    {
      (void) net_link_send (client, id, "x", 1);
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  assert_true (n_received > 0);
  g_bytes_unref (id);
  net_link_free (client);
  net_link_free (server);
  net_links_free (links);
}

/* Guards against: a message that its receiver does not take closed the connection, was sent again
 * over the next one, and nothing told its sender. */
static void
too_large_message_is_refused_and_the_connection_stays (void **state)
{
  uint32_t n_received = 0;
  uint32_t n_answers = 0;
  NetLinks *links = net_links_new ();
  g_autofree char *url = free_address ();
  const char *address = url + strlen ("tcp://");
  char *large = g_malloc0 (NET_LINK_MESSAGE_MAX + 1);

  (void) state;
  NetLink *server = net_link_listen (links, address, count_message, &n_received, NULL);
  NetLink *client = net_link_open (links, count_message, &n_answers);
  GBytes *id = net_link_add_peer (client, address, NULL);
  assert_non_null (server);
  assert_non_null (id);
  assert_int_equal (net_link_send (client, id, large, NET_LINK_MESSAGE_MAX + 1),
                    NET_LINK_TOO_LARGE);
  int64_t end_us = clk_now_us () + WAIT_US;
  while (net_link_send (client, id, large, NET_LINK_MESSAGE_MAX) != NET_LINK_SENT
         && clk_now_us () < end_us)
    g_usleep (1000);
  while (n_received == 0 && clk_now_us () < end_us)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  assert_int_equal (n_received, 1);
  g_free (large);
  g_bytes_unref (id);
  net_link_free (client);
  net_link_free (server);
  net_links_free (links);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (odd_addresses_are_refused_and_do_not_hinder_others),
    cmocka_unit_test (too_large_message_is_refused_and_the_connection_stays),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
