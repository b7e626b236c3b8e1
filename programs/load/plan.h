/**
 * @file plan.h
 * The open-loop schedule: when each request is due and of which class it is.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

/** Number of requests of the whole run. */
int64_t plan_count (const LoadOptions *options);

/** When request @p index is due, in microseconds after the start. */
int64_t plan_due_us (const LoadOptions *options, int64_t index);

/** Class of request @p index: the same for the same options, spread evenly. */
LoadClass plan_class (const LoadOptions *options, int64_t index);

G_END_DECLS
