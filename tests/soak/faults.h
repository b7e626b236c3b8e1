/**
 * @file faults.h
 * Draws faults from the seed and injects them; they come in series and overlap.
 */
#pragma once

#include "process.h"
#include "support/proxy.h"
#include "worker.h"

G_BEGIN_DECLS

typedef struct
{
  Soak *soak;
  GPtrArray *entries; /**< Process */
  GPtrArray *agents;  /**< Process */
  Process *store;
  GPtrArray *proxies; /**< Proxy, in front of the store and of the workers */
  Workers *workers;
} FaultTargets;

/** Injects faults until faults_end(); @p targets must live as long as the main loop. */
void faults_begin (const FaultTargets *targets);
/** Stops the injection and ends all faults of links and worker calls. */
void faults_end (const FaultTargets *targets);

G_END_DECLS
