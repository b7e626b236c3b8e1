/**
 * @file plan.h
 * The open-loop schedule: when each request is due and of which class it is.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

/** Returns the number of requests of the run. */
int64_t plan_count (const LoadOptions *options);

/** Returns when request @p index is due, in microseconds after the start. */
int64_t plan_due_us (const LoadOptions *options, int64_t index);

/** Returns the class of request @p index: deterministic and evenly distributed. */
LoadClass plan_class (const LoadOptions *options, int64_t index);

G_END_DECLS
