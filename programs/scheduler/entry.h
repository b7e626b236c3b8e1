/**
 * @file entry.h
 * An entry process. It follows the ledger and the configuration, serves callers, and schedules the
 * jobs while it is the owner.
 */
#pragma once

#include "node/node.h"

G_BEGIN_DECLS

typedef struct Entry Entry;

/** Creates an entry; NULL if an address is in use. @p settings must outlive it. */
Entry *entry_new (const NodeSettings *settings, GError **error);
/** Runs the main loop until the process has left and may exit. */
void entry_run (Entry *entry);
void entry_free (Entry *entry);

G_END_DECLS
