/**
 * @file worker.h
 * Stand-ins of the workers that agents call: they register with their agent, run tasks under leases
 * and fencing tokens, and list running and ended runs.
 */
#pragma once

#include "checker.h"
#include "net/net_client.h"

G_BEGIN_DECLS

typedef struct Workers Workers;

typedef struct
{
  const Soak *soak;
  Checker *checker;
  NetClient *client;
} WorkersOptions;

/** Starts all workers; NULL when an address is taken. */
Workers *workers_new (const WorkersOptions *options, GError **error);

/** Drops all runs of the worker, which restarts after @p down_ms as a new incarnation. */
void workers_crash (Workers *workers, uint32_t index, uint32_t down_ms);
/** Calls that arrive within @p for_ms are executed and answered only seconds later. */
void workers_delay_calls (Workers *workers, uint32_t index, uint32_t for_ms);

/** Whether a worker has crashed since the last call. */
gboolean workers_take_crash (Workers *workers);

/** Whether less than half of the workers' processors is in use. */
gboolean workers_half_free (const Workers *workers);

G_END_DECLS
