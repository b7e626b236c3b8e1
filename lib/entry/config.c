#include "entry/config.h"

static void
config_clear (gpointer data)
{
  Config *config = data;

  g_free (config->author);
  g_clear_pointer (&config->text, g_bytes_unref);
  doc_free (config->document);
}

Config *
config_new (uint64_t version, const char *author, int64_t wall_ms, GBytes *text, GError **error)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);
  DocDocument *document = doc_parse (data != NULL ? data : "", size, "configuration", error);

  if (document == NULL)
    return NULL;
  Config *config = g_atomic_rc_box_new0 (Config);
  config->version = version;
  config->author = g_strdup (author);
  config->wall_ms = wall_ms;
  config->text = g_bytes_ref (text);
  config->document = document;
  return config;
}

Config *
config_empty (void)
{
  GBytes *text = g_bytes_new_static ("", 0);
  Config *config = config_new (0, "", 0, text, NULL);

  g_bytes_unref (text);
  g_assert (config != NULL);
  return config;
}

Config *
config_ref (Config *config)
{
  return g_atomic_rc_box_acquire (config);
}

void
config_unref (Config *config)
{
  if (config != NULL)
    g_atomic_rc_box_release_full (config, config_clear);
}

gboolean
config_advance (Config **current, Config *next)
{
  if (next->version <= (*current)->version)
    {
      config_unref (next);
      return FALSE;
    }
  config_unref (*current);
  *current = next;
  return TRUE;
}
