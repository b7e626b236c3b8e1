/**
 * @file message.h
 * Parts of messages that batch__*__free_unpacked() frees: it calls free(), so they must not come
 * from GLib's allocator.
 */
#pragma once

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/** Zeroed memory of @p size bytes, at least one. */
void *message_part (size_t size);

/** A copy of @p text; NULL gives an empty one. */
char *message_text (const char *text);

G_END_DECLS
