/**
 * @file config.h
 * One version of the configuration with its parsed document; immutable and shared between threads.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"

G_BEGIN_DECLS

/** Reference-counted. Version 0 is the empty document before the first accepted version. */
typedef struct
{
  uint64_t version;
  int64_t wall_ms;
  char *author;
  GBytes *text;
  DocDocument *document;
} Config;

/** Parses @p text and keeps a reference to it; NULL with #ERR_BAD_CONFIG. */
Config *
config_new (uint64_t version, const char *author, int64_t wall_ms, GBytes *text, GError **error);

/** The empty configuration of version 0. */
Config *config_empty (void);

Config *config_ref (Config *config);

/** Drops a reference; NULL is allowed. */
void config_unref (Config *config);

/**
 * Replaces @p current by @p next when the version of @p next is higher. Takes ownership of the
 * reference to @p next in any case. FALSE: @p next is not newer and was dropped.
 */
gboolean config_advance (Config **current, Config *next);

G_END_DECLS
