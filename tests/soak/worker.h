/**
 * @file worker.h
 * Stand-ins of the workers that agents call: they report themselves, run tasks under leases and
 * fencing tokens, and tell what runs and what has ended.
 */
#pragma once

#include "book.h"
#include "net/net_client.h"

G_BEGIN_DECLS

typedef struct Workers Workers;

typedef struct
{
  const Soak *soak;
  Book *book;
  NetClient *client;
} WorkersOptions;

/** Starts all workers; NULL when an address is taken. */
Workers *workers_new (const WorkersOptions *options, GError **error);

/** Everything that runs at the worker is gone; it comes back after @p down_ms as another life. */
void workers_crash (Workers *workers, uint32_t index, uint32_t down_ms);
/** For @p for_ms, orders are left unanswered and carried out seconds later. */
void workers_delay_orders (Workers *workers, uint32_t index, uint32_t for_ms);

/** Whether less than half of the workers' processors is in use. */
gboolean workers_half_free (const Workers *workers);

G_END_DECLS
