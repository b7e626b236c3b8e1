/**
 * @file main.c
 * acacia-slopes: measures, within one process, the values from which docs/CAPACITY.md is computed.
 */
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "slopes/slopes.h"

#define US_PER_S 1e6
#define NS_PER_US 1e3

void
slopes_print (const char *name, double value, const char *unit)
{
  (void) printf ("%s %.3f %s\n", name, value, unit);
}

double
slopes_cpu_us (void)
{
  struct timespec time;

  (void) clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return (double) time.tv_sec * US_PER_S + (double) time.tv_nsec / NS_PER_US;
}

double
slopes_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double) info.uordblks + (double) info.hblkhd;
}

int
main (void)
{
  slopes_sizes ();
  slopes_fold ();
  slopes_tick ();
  return 0;
}
