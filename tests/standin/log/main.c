/**
 * @file main.c
 * standin-log: in-memory implementation of the log service of docs/PLATFORM.md.
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
    { "retention-records", "number of newest records kept per stream; 0: all", 0 },
    { "append-delay-ms", "duration of each append", 0 },
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
