/**
 * @file report.h
 * Prints what a run found, as text or as JSON.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

/** Sorts the samples in @p result as it goes. */
void report_print (const LoadOptions *options, LoadResult *result, gboolean is_json);

G_END_DECLS
