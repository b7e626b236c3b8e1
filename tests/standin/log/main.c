/**
 * @file main.c
 * standin-log: the log service of docs/PLATFORM.md, in memory.
 */
#include <stdio.h>
#include <stdlib.h>

#include "support/fake_log.h"
#include "support/fake_main.h"

int
main (int argc, char **argv)
{
  FakeFlag flags[] = {
    { "port", "port on 127.0.0.1; 0: any free one", 0 },
    { "retention-records", "newest records kept of each stream; 0: all", 0 },
    { "append-delay-ms", "time that each append takes", 0 },
  };
  int status;

  if (!fake_main_flags (argc, argv, "standin-log", flags, G_N_ELEMENTS (flags), &status))
    return status;
  fake_main_block_signals ();
  const FakeLogOptions options = { .port = (uint16_t) flags[0].value,
                                   .retention_records = flags[1].value,
                                   .append_delay_ms = flags[2].value };
  FakeLog *log = fake_log_new (&options);
  if (log == NULL)
    {
      fprintf (stderr, "standin-log: cannot listen on port %d\n", flags[0].value);
      return EXIT_FAILURE;
    }
  fake_main_wait ("standin-log", fake_log_port (log));
  fake_log_free (log);
  return EXIT_SUCCESS;
}
