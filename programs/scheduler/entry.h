/**
 * @file entry.h
 * One entry: its view of the ledger and the configuration, its callers, and its turn as owner.
 */
#pragma once

#include "node/node.h"

G_BEGIN_DECLS

typedef struct Entry Entry;

/** Opens everything; NULL when an address is taken. Settings must outlive it. */
Entry *entry_new (const NodeSettings *settings, GError **error);
/** Runs until the process may end. */
void entry_run (Entry *entry);
void entry_free (Entry *entry);

G_END_DECLS
