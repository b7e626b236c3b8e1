/**
 * @file soak.h
 * What the parts of the soak share: the run's options, its random numbers, its journal, addresses.
 */
#pragma once

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

G_BEGIN_DECLS

#define SOAK_SERVICE "renders"
#define SOAK_HOST "jobs.example"
#define SOAK_PREFIX "/jobs/"
#define SOAK_ATTEMPTS_MAX 4
#define SOAK_ENTRIES_MAX 16
#define SOAK_WORKERS_MAX 200

typedef struct
{
  uint32_t seed;
  uint32_t slot; /**< picks the loopback addresses, so that several runs fit on one machine */
  uint32_t n_entries;
  uint32_t n_workers;
  uint32_t fault_s;   /**< how long faults are injected */
  const char *bin;    /**< folder of the programs */
  const char *folder; /**< settings and logs of all processes */
} SoakOptions;

/** Kinds of addresses; each process has one of its own of each kind that it needs. */
typedef enum
{
  SOAK_STORE,        /**< the store's stand-in */
  SOAK_STORE_PROXY,  /**< the store as one process sees it */
  SOAK_ENTRY,        /**< entries */
  SOAK_AGENT,        /**< agents */
  SOAK_WORKER,       /**< workers */
  SOAK_WORKER_PROXY, /**< a worker as its agent sees it */
} SoakPlace;

typedef struct
{
  const SoakOptions *options;
  GRand *rand; /**< of the faults */
  FILE *journal;
  int64_t start_us;
  gboolean is_calm; /**< no faults are injected any more */
} Soak;

/** Loopback IP of number @p index of @p place; free with g_free(). */
char *soak_ip (const Soak *soak, SoakPlace place, uint32_t index);

/** Milliseconds since the run began. */
int64_t soak_ms (const Soak *soak);

/** Writes a line to the journal. */
void soak_note (const Soak *soak, const char *format, ...) G_GNUC_PRINTF (2, 3);

G_END_DECLS
