/**
 * @file run.h
 * Runs the request schedule on a fixed number of threads, with job submissions in parallel.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

/** Runs the whole schedule. FALSE with #ERR_BAD_CONFIG for an invalid address; nothing was sent. */
gboolean run_load (const LoadOptions *options, LoadResult *result, GError **error);

/** Frees the contents of @p result. */
void run_result_clear (LoadResult *result);

G_END_DECLS
