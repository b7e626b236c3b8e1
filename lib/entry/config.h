/**
 * @file config.h
 * One version of the configuration with its parsed document: immutable, shared between threads.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"

G_BEGIN_DECLS

/** Counted references; version 0 is the empty document before the first. */
typedef struct
{
  uint64_t version;
  int64_t wall_ms;
  char *author;
  GBytes *text;
  DocDocument *document;
} Config;

/** Parses @p text, which is referenced; NULL with #ERR_BAD_CONFIG. */
Config *
config_new (uint64_t version, const char *author, int64_t wall_ms, GBytes *text, GError **error);

/** The empty configuration of version 0. */
Config *config_empty (void);

Config *config_ref (Config *config);

/** Drops a reference; NULL is allowed. */
void config_unref (Config *config);

/**
 * Puts @p next in the place of @p held when its version is higher; the reference to @p next is
 * taken either way. FALSE: it is not newer, and what is held stays.
 */
gboolean config_advance (Config **held, Config *next);

G_END_DECLS
