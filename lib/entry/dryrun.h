/**
 * @file dryrun.h
 * Dry run of a new configuration: its changes, and its selectors that match nothing.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"
#include "entry/members.h"

G_BEGIN_DECLS

/**
 * Compares @p next with @p current (NULL for none) and evaluates its selectors on the known
 * instances and on its own services and jobs. Returns JSON:
 * {"base","changes":[{"section","name","change"}],"matches_nothing":[{"where","selector"}]}
 */
GBytes *dryrun_render (uint64_t base,
                       const DocDocument *current,
                       const DocDocument *next,
                       const Members *members);

G_END_DECLS
