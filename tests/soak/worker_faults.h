/**
 * @file worker_faults.h
 * Faults of the worker stand-ins that only their agents see: restarts under the same id, capacity
 * that shrinks, reports of another writer, and lists of a newer build. Drawn from the seed apart
 * from the other faults.
 */
#pragma once

#include "worker.h"

G_BEGIN_DECLS

#define WORKER_FAULT_KINDS "deadly, restarts, capacity, reports or lists"

/** Whether @p name is one of #WORKER_FAULT_KINDS. Tasks that crash their workers are submitted by
 * the callers; with "deadly" no fault is injected here. */
gboolean worker_faults_is_kind (const char *name);

/** Injects faults until worker_faults_end(). */
void worker_faults_begin (Workers *workers);
void worker_faults_end (Workers *workers);

G_END_DECLS
