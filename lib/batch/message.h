/**
 * @file message.h
 * Allocation of submessages that batch__*__free_unpacked() frees: it calls free(), so they must not
 * come from GLib's allocator.
 */
#pragma once

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/** Allocates @p size zeroed bytes, at least one. Never returns NULL. */
void *message_alloc (size_t size);

/** Copies @p text; NULL gives an empty string. Never returns NULL. */
char *message_strdup (const char *text);

G_END_DECLS
