/**
 * @file evacuations.h
 * Data centres that operators evacuate: nothing is started on their workers until the request is
 * removed.
 *
 * Folds the operators' records. Pure: no I/O, no clock.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct Evacuations Evacuations;

/** Creates an empty set; free with evacuations_free(). */
Evacuations *evacuations_new (void);

/** NULL is allowed. */
void evacuations_free (Evacuations *evacuations);

/**
 * Applies the record at @p offset, which requests the evacuation of a data centre or removes the
 * request. A removal that is older than the request is ignored: records can be read again after
 * newer ones. Returns whether the set changed.
 */
gboolean evacuations_apply (Evacuations *evacuations,
                            const char *data_centre,
                            int64_t offset,
                            gboolean is_requested);

/** Call these around a load of the newest record of each key. Requests that are not applied in
 * between have been removed; the second function returns whether there are any. */
void evacuations_begin_load (Evacuations *evacuations);
gboolean evacuations_end_load (Evacuations *evacuations);

gboolean evacuations_contains (const Evacuations *evacuations, const char *data_centre);

/** Number of data centres that are evacuated. */
uint32_t evacuations_count (const Evacuations *evacuations);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Evacuations, evacuations_free)

G_END_DECLS
