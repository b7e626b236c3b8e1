/* Tests the grant duration that is derived from the platform's bounds. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib/gstdio.h>

#include "node/node_settings.h"

/* Longest leases of the workers of the two users, in ms. */
static const int64_t longest_leases_ms[] = { 10000, 6000 };

/* Otherwise the leases of all running tasks would expire whenever an owner is lost. */
static void
grant_outlasts_a_change_of_owner (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (longest_leases_ms); i++)
    {
      const NodeSettings settings = { .lease_max_ms = longest_leases_ms[i] };
      assert_true (node_settings_grant_ms (&settings) >= NODE_OWNER_QUIET_MS + NODE_TAKEOVER_MS);
    }
}

/* A grant needs a margin: the worker's clock may be slow, and orders take time to arrive. */
static void
grant_is_shorter_than_the_longest_lease (void **state)
{
  (void) state;
  for (int64_t lease_ms = 1000; lease_ms <= 20000; lease_ms += 500)
    {
      const NodeSettings settings = { .lease_max_ms = lease_ms };
      assert_true (node_settings_grant_ms (&settings) <= lease_ms * 3 / 4);
    }
}

/* Guards against reservations that are off where the file does not name them. */
static void
workers_are_reserved_unless_set_otherwise (void **state)
{
  g_autofree char *example = node_settings_example ();

  (void) state;
  assert_non_null (strstr (example, "placement.reserve = true"));
}

/* Guards against shares that are on where the file does not name them, and against a misspelled
 * value that turns them off silently. */
static void
shares_are_off_unless_named_rightly (void **state)
{
  g_autofree char *example = node_settings_example ();
  g_autofree char *path = NULL;
  int fd = g_file_open_tmp ("settingsXXXXXX", &path, NULL);
  NodeSettings settings = { 0 };
  g_autoptr (GError) error = NULL;

  (void) state;
  assert_non_null (strstr (example, "shares.by = \"none\""));
  assert_true (g_close (fd, NULL));
  assert_true (g_file_set_contents (path,
                                    "name = \"n\"\nip = \"127.0.0.1\"\n"
                                    "store.address = \"127.0.0.1:1\"\nshares.by = \"queues\"\n",
                                    -1, NULL));
  assert_false (node_settings_load (path, &settings, &error));
  assert_non_null (strstr (error->message, "shares.by"));
  assert_null (settings.name);
  (void) g_remove (path);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (grant_outlasts_a_change_of_owner),
    cmocka_unit_test (grant_is_shorter_than_the_longest_lease),
    cmocka_unit_test (workers_are_reserved_unless_set_otherwise),
    cmocka_unit_test (shares_are_off_unless_named_rightly),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
