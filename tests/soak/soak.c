#include "soak.h"

#include <stdarg.h>

#include "common/clk.h"

/** Scripts of tests use networks below 20, the stand-alone cases of review/ up to 219. */
#define FIRST_NETWORK 220

char *
soak_ip (const Soak *soak, SoakAddressKind kind, uint32_t index)
{
  return g_strdup_printf ("127.%u.%d.%u", FIRST_NETWORK + soak->options->slot, kind, index + 1);
}

const char *
soak_build_name (SoakBuild build)
{
  return build == SOAK_OLDER ? "older" : "newer";
}

char *
soak_program (const Soak *soak, SoakBuild build, const char *name)
{
  const SoakOptions *options = soak->options;

  return g_build_filename (build == SOAK_OLDER ? options->previous : options->bin, name, NULL);
}

SoakBuild
soak_first_build (const Soak *soak)
{
  return soak->options->previous != NULL && !soak->options->is_back ? SOAK_OLDER : SOAK_NEWER;
}

int64_t
soak_now_ms (const Soak *soak)
{
  return (clk_now_us () - soak->start_us) / CLK_US_PER_MS;
}

void
soak_log (const Soak *soak, const char *format, ...)
{
  va_list arguments;

  (void) fprintf (soak->journal, "%8.3f ", (double) soak_now_ms (soak) / 1000.0);
  va_start (arguments, format);
  (void) vfprintf (soak->journal, format, arguments);
  va_end (arguments);
  (void) fputc ('\n', soak->journal);
  (void) fflush (soak->journal);
}
