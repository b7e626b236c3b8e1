#include "common/jnl.h"

#include <log4c.h>
#include <stdatomic.h>
#include <stdio.h>

#include "common/err.h"

/* Global because log4c keeps its own state per process. */
static log4c_category_t *jnl_category;
static _Atomic int jnl_is_open;

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static _Thread_local char line[2048];
  GDateTime *now = g_date_time_new_now_utc ();
  char *stamp = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");

  (void) layout;
  g_snprintf (line, sizeof line, "%s.%06dZ %s %s\n", stamp, g_date_time_get_microsecond (now),
              log4c_priority_to_string (event->evt_priority), event->evt_msg);
  g_free (stamp);
  g_date_time_unref (now);
  return line;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void) appender;
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_layout_type_t jnl_layout_type = { "acacia-line", format_line };
static const log4c_appender_type_t jnl_appender_type = { "acacia-stderr", NULL, append_line, NULL };

static int
to_priority (JnlLevel level)
{
  static const int priorities[]
      = { LOG4C_PRIORITY_DEBUG, LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_ERROR };

  return priorities[level];
}

gboolean
jnl_open (JnlLevel level, GError **error)
{
  /* A path that doesn't exist keeps log4c from reading a configuration file of its own. */
  g_setenv ("LOG4C_RCPATH", "/nonexistent", TRUE);
  (void) log4c_init ();
  log4c_layout_type_set (&jnl_layout_type);
  log4c_appender_type_set (&jnl_appender_type);
  log4c_layout_t *layout = log4c_layout_get ("acacia-line");
  log4c_appender_t *appender = log4c_appender_get ("acacia-stderr");
  jnl_category = log4c_category_get ("acacia");
  if (layout == NULL || appender == NULL || jnl_category == NULL)
    {
      err_set (error, ERR_INTERNAL, "log4c returned no category, appender or layout");
      return FALSE;
    }
  log4c_layout_set_type (layout, &jnl_layout_type);
  log4c_appender_set_type (appender, &jnl_appender_type);
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (jnl_category, appender);
  log4c_category_set_additivity (jnl_category, 0);
  log4c_category_set_priority (jnl_category, to_priority (level));
  atomic_store (&jnl_is_open, 1);
  return TRUE;
}

void
jnl_close (void)
{
  if (atomic_exchange (&jnl_is_open, 0) == 0)
    return;
  (void) fflush (stderr);
  (void) log4c_fini ();
}

gboolean
jnl_level_from_name (const char *name, JnlLevel *level)
{
  static const char *const names[] = { "debug", "info", "warn", "error" };

  for (unsigned int i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (g_strcmp0 (name, names[i]) == 0)
        {
          *level = (JnlLevel) i;
          return TRUE;
        }
    }
  return FALSE;
}

void
jnl_event (JnlLevel level, const char *module, const char *event, const char *format, ...)
{
  va_list args;

  if (atomic_load (&jnl_is_open) == 0)
    return;
  va_start (args, format);
  char *pairs = g_strdup_vprintf (format, args);
  va_end (args);
  log4c_category_log (jnl_category, to_priority (level), "%s %s%s%s", module, event,
                      *pairs != '\0' ? " " : "", pairs);
  g_free (pairs);
}
