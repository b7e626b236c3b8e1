/**
 * @file report.h
 * Prints the results of a run as text or JSON.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

/** Prints @p result and sorts its samples. */
void report_print (const LoadOptions *options, LoadResult *result, gboolean is_json);

G_END_DECLS
