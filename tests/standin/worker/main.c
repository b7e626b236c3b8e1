/**
 * @file main.c
 * standin-worker: implements the worker service of docs/PLATFORM.md; its tasks are timers.
 */
#include <stdio.h>
#include <stdlib.h>

#include "support/fake_main.h"
#include "support/fake_worker.h"

int
main (int argc, char **argv)
{
  FakeFlag flags[] = {
    { "port", "port on 127.0.0.1; 0: any free one", 0 },
    { "cpu-milli", "processors, in thousandths", 16000 },
    { "memory-mb", "memory, in mebibytes", 61440 },
    { "accelerators", "accelerators", 0 },
    { "usage-lag-ms", "age of the reported usage", 1000 },
    { "fail-after-ms", "run time after which tasks of jobs named *fail* fail; 0: never", 100 },
  };
  int status;

  if (!fake_main_flags (argc, argv, "standin-worker", flags, G_N_ELEMENTS (flags), &status))
    return status;
  fake_main_block_signals ();
  const FakeWorkerOptions options = { .port = (uint16_t) flags[0].value,
                                      .capacity = { .cpu_milli = flags[1].value,
                                                    .memory_mb = flags[2].value,
                                                    .accelerators = flags[3].value },
                                      .usage_lag_ms = flags[4].value,
                                      .fail_after_ms = flags[5].value };
  FakeWorker *worker = fake_worker_new (&options);
  if (worker == NULL)
    {
      fprintf (stderr, "standin-worker: cannot listen on port %d\n", flags[0].value);
      return EXIT_FAILURE;
    }
  fake_main_wait ("standin-worker", fake_worker_port (worker));
  fake_worker_free (worker);
  return EXIT_SUCCESS;
}
