/**
 * @file dryrun.h
 * What a new configuration would change, and which of its selectors match nothing.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"
#include "entry/members.h"

G_BEGIN_DECLS

/**
 * Compares @p next with @p current (NULL for none) and tries its selectors on the known instances
 * and on its own work. Returns JSON:
 * {"base","changes":[{"section","name","change"}],"matches_nothing":[{"where","selector"}]}
 */
GBytes *dryrun_render (uint64_t base,
                       const DocDocument *current,
                       const DocDocument *next,
                       const Members *members);

G_END_DECLS
