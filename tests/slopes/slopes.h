/**
 * @file slopes.h
 * What one message, record, tick or snapshot costs; each function prints "name value unit" lines.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Prints one measured value. */
void slopes_print (const char *name, double value, const char *unit);

/** Processor time of this thread in microseconds. */
double slopes_cpu_us (void);

/** Bytes that the allocator has handed out. */
double slopes_heap_bytes (void);

/** Encoded sizes of the messages, and their bytes on the wire with all headers. */
void slopes_sizes (void);

/** Time and memory of a folded record; size and time of a snapshot. */
void slopes_fold (void);

/** Time of a tick by number of instances and starts. */
void slopes_tick (void);
