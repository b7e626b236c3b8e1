/**
 * @file run.h
 * Runs the schedule with a bounded set of threads, and the job submissions beside it.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

/** Runs to the end. FALSE with #ERR_BAD_CONFIG when an address is wrong; nothing was sent then. */
gboolean run_load (const LoadOptions *options, LoadResult *result, GError **error);

/** Frees what @p result owns. */
void run_result_clear (LoadResult *result);

G_END_DECLS
