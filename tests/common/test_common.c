#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/err.h"
#include "common/ids.h"
#include "common/met.h"
#include "common/set.h"

typedef struct
{
  int64_t port;
  char *name;
  char **peers;
  gboolean fast;
} Settings;

static const SetKey setting_keys[] = {
  { "http.port", SET_INTEGER, offsetof (Settings, port), 1, 65535, "8080", "Port." },
  { "name", SET_TEXT, offsetof (Settings, name), 1, 10, NULL, "Name." },
  { "http.peers", SET_LIST, offsetof (Settings, peers), 0, 2, "", "Peers." },
  { "fast", SET_BOOLEAN, offsetof (Settings, fast), 0, 1, "false", "Fast." },
};
#define N_KEYS G_N_ELEMENTS (setting_keys)

typedef struct
{
  const char *text;
  const char *message;
} BadSettings;

static const BadSettings bad_settings[] = {
  { "", "required key is missing" },
  { "name = 5", "s.toml:1: name: expected a string, found integer" },
  { "name = \"x\"\n[http]\nport = 0", "s.toml:3: http.port: value 0 is outside 1 to 65535" },
  { "name = \"x\"\nspeed = 1", "s.toml:2: speed: unknown key" },
  { "name = \"x\"\nhttp.peers = [1]", "s.toml:2: http.peers: expected an array of strings" },
  { "name = \"x\"\nhttp.peers = [\"a\",\"b\",\"c\"]", "number of entries 3 is outside" },
  { "name = \"much too long a name\"", "length" },
  { "name = ", "s.toml:1:" },
};

static void
invalid_settings_are_rejected_with_location (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (bad_settings); i++)
    {
      Settings settings = { 0 };
      GError *error = NULL;
      assert_false (
          set_load_text (setting_keys, N_KEYS, bad_settings[i].text, "s.toml", &settings, &error));
      if (strstr (error->message, bad_settings[i].message) == NULL)
        fail_msg ("'%s': message is '%s'", bad_settings[i].text, error->message);
      assert_null (settings.name);
      g_error_free (error);
    }
}

static void
valid_settings_and_defaults_are_read (void **state)
{
  Settings settings = { 0 };
  static const char text[] = "name = \"a\"\nhttp = { peers = [\"p\"] }\nfast = true\n";

  (void) state;
  assert_true (set_load_text (setting_keys, N_KEYS, text, "s.toml", &settings, NULL));
  assert_int_equal (settings.port, 8080);
  assert_string_equal (settings.peers[0], "p");
  assert_true (settings.fast);
  set_clear (setting_keys, N_KEYS, &settings);
}

static void
every_error_kind_has_a_table_row (void **state)
{
  (void) state;
  for (int i = 0; i < ERR_KIND_COUNT; i++)
    {
      const ErrRow *row = err_row ((ErrKind) i);
      ErrKind found;
      assert_int_equal (row->kind, i);
      assert_true (err_kind_from_name (row->name, &found));
      assert_int_equal (found, i);
      assert_in_range (row->http_status, 400, 599);
    }
}

static void
printed_ids_parse_to_the_same_id (void **state)
{
  char text[IDS_TEXT_SIZE];

  (void) state;
  for (int i = 0; i < 1000; i++)
    {
      IdsId id = ids_new ();
      IdsId parsed;
      assert_true (ids_parse (ids_print (id, text), &parsed));
      assert_true (ids_equal (id, parsed));
    }
  IdsId parsed;
  assert_false (ids_parse ("xyz", &parsed));
}

static void
quantiles_are_within_the_error_bound (void **state)
{
  MetRegistry *registry = met_new ();
  MetHistogram *histogram = met_histogram (registry, "t_us", NULL, "Test.");

  (void) state;
  for (int i = 1; i <= 10000; i++)
    met_observe (histogram, i);
  assert_in_range (met_quantile (histogram, 0.5), 4650, 5000);
  assert_in_range (met_quantile (histogram, 0.99), 9207, 9900);
  met_kind_add (registry, "refused_total", ERR_DEADLINE, 2);
  char *text = met_render (registry);
  assert_non_null (strstr (text, "refused_total{kind=\"deadline\"} 2\n"));
  g_free (text);
  met_free (registry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invalid_settings_are_rejected_with_location),
    cmocka_unit_test (valid_settings_and_defaults_are_read),
    cmocka_unit_test (every_error_kind_has_a_table_row),
    cmocka_unit_test (printed_ids_parse_to_the_same_id),
    cmocka_unit_test (quantiles_are_within_the_error_bound),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
