/**
 * @file slopes.h
 * Cost of one message, record, tick or snapshot. Each function prints lines of "name value unit".
 */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Prints one measurement. */
void slopes_print (const char *name, double value, const char *unit);

/** Returns the CPU time of this thread in microseconds. */
double slopes_cpu_us (void);

/** Returns the number of bytes allocated on the heap. */
double slopes_heap_bytes (void);

/** Measures encoded sizes of messages, and their bytes on the wire with all headers. */
void slopes_sizes (void);

/** Measures CPU time and memory of a folded record, and size and CPU time of a snapshot. */
void slopes_fold (void);

/** Measures CPU time and memory of the core by number of instances. */
void slopes_tick (void);
