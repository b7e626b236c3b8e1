/**
 * @file faults.h
 * Draws faults by the seed and injects them; they come in series and overlap.
 */
#pragma once

#include "process.h"
#include "proxy.h"
#include "worker.h"

G_BEGIN_DECLS

typedef struct
{
  Soak *soak;
  GPtrArray *entries; /**< Process */
  GPtrArray *agents;  /**< Process */
  Process *store;
  GPtrArray *proxies; /**< Proxy: of the store and of the workers */
  Workers *workers;
} FaultTargets;

/** Injects faults until soak->is_calm; @p targets must live as long as the main loop. */
void faults_begin (const FaultTargets *targets);
/** Ends all holds and delays. */
void faults_end (const FaultTargets *targets);

G_END_DECLS
