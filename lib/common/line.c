#include "common/line.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "common/clk.h"

/** Share of the limits that frequent lines may use. */
#define FREQUENT_PERCENT 75

/* Global because a process has a single standard output. */
static GString *line_buffer;
static uint32_t line_rate_max;
static int64_t line_second;
static uint32_t line_in_second;
static uint64_t line_dropped_count;
static uint64_t line_dropped_reported;

void
line_open (const char *program, uint32_t lines_per_s_max)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    (void) fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  if (line_buffer == NULL)
    line_buffer = g_string_new (NULL);
  line_rate_max = lines_per_s_max;
  line_add ("log", "opened", "program=%s lines_per_s_max=%u", program, lines_per_s_max);
}

static gboolean
may_add_line (int64_t wall_ms, uint32_t percent)
{
  int64_t second = wall_ms / CLK_MS_PER_S;

  if (second != line_second)
    {
      line_second = second;
      line_in_second = 0;
    }
  return (uint64_t) line_in_second * 100 < (uint64_t) line_rate_max * percent
         && line_buffer->len < LINE_BUFFER_MAX / 100 * percent;
}

static void
add_time (int64_t wall_ms)
{
  int64_t of_day_ms = wall_ms % (24 * 3600 * CLK_MS_PER_S);

  g_string_append_printf (line_buffer, "%02d:%02d:%02d.%03d ", (int) (of_day_ms / 3600000),
                          (int) (of_day_ms / 60000 % 60), (int) (of_day_ms / 1000 % 60),
                          (int) (of_day_ms % 1000));
}

static void
add_line (uint32_t percent, const char *module, const char *event, const char *format, va_list args)
{
  int64_t wall_ms = clk_wall_ms ();

  if (line_buffer == NULL)
    return;
  if (!may_add_line (wall_ms, percent))
    {
      line_dropped_count++;
      return;
    }
  line_in_second++;
  add_time (wall_ms);
  if (line_dropped_reported < line_dropped_count)
    {
      g_string_append_printf (line_buffer, "log dropped lines=%" G_GUINT64_FORMAT "\n",
                              line_dropped_count - line_dropped_reported);
      line_dropped_reported = line_dropped_count;
      add_time (wall_ms);
    }
  g_string_append_printf (line_buffer, "%s %s ", module, event);
  g_string_append_vprintf (line_buffer, format, args);
  g_string_append_c (line_buffer, '\n');
}

void
line_add (const char *module, const char *event, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  add_line (100, module, event, format, args);
  va_end (args);
}

void
line_add_frequent (const char *module, const char *event, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  add_line (FREQUENT_PERCENT, module, event, format, args);
  va_end (args);
}

static uint64_t
buffered_lines (void)
{
  uint64_t count = 0;

  for (gsize i = 0; i < line_buffer->len; i++)
    count += line_buffer->str[i] == '\n';
  return count;
}

void
line_flush (void)
{
  if (line_buffer == NULL || line_buffer->len == 0)
    return;
  ssize_t written = write (STDOUT_FILENO, line_buffer->str, line_buffer->len);
  if (written > 0)
    g_string_erase (line_buffer, 0, written);
  else if (written < 0 && errno != EAGAIN && errno != EINTR)
    {
      /* Standard output is broken, so the buffered lines can't be delivered. */
      line_dropped_count += buffered_lines ();
      g_string_truncate (line_buffer, 0);
    }
}
