/**
 * @file soak.h
 * State that the modules of the soak share: options, random numbers, journal and addresses.
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
  uint32_t slot; /**< selects the loopback addresses, so that several runs can share a machine */
  uint32_t n_entries;
  uint32_t n_workers;
  uint32_t fault_s;         /**< duration of the fault phase */
  uint32_t deadly_percent;  /**< share of jobs with a task that crashes its workers */
  gboolean has_open_faults; /**< also inject worker faults that show open faults */
  const char *only;         /**< inject only this kind of worker fault; NULL: all faults */
  const char *bin;          /**< directory of the programs */
  const char *previous;     /**< directory of the programs of an older build; NULL: there is none */
  uint32_t n_successions;   /**< successions of owners in the roll; 0: drawn from the seed */
  gboolean is_roll_only;    /**< no faults but those of the roll */
  gboolean is_back;         /**< processes are rolled from the newer to the older build */
  const char *folder;       /**< directory for settings and logs of all processes */
} SoakOptions;

/** Build of the programs that a process runs. */
typedef enum
{
  SOAK_OLDER, /**< programs in SoakOptions.previous */
  SOAK_NEWER, /**< programs in SoakOptions.bin */
} SoakBuild;

/** Kinds of addresses; each process has its own address of each kind that it needs. */
typedef enum
{
  SOAK_STORE,        /**< store stand-in */
  SOAK_STORE_PROXY,  /**< proxy between one process and the store */
  SOAK_ENTRY,        /**< entries */
  SOAK_AGENT,        /**< agents */
  SOAK_WORKER,       /**< workers */
  SOAK_WORKER_PROXY, /**< proxy between an agent and its worker */
} SoakAddressKind;

typedef struct
{
  const SoakOptions *options;
  GRand *rand; /**< random numbers of the faults */
  FILE *journal;
  int64_t start_us;
  gboolean is_fault_phase_over;
} Soak;

/** Returns loopback address number @p index of @p kind; free with g_free(). */
char *soak_ip (const Soak *soak, SoakAddressKind kind, uint32_t index);

const char *soak_build_name (SoakBuild build);
/** Returns the path of a program; free with g_free(). */
char *soak_program (const Soak *soak, SoakBuild build, const char *name);
/** Build that entries and agents start on. */
SoakBuild soak_first_build (const Soak *soak);

/** Milliseconds since the run began. */
int64_t soak_now_ms (const Soak *soak);

/** Writes a line to the journal. */
void soak_log (const Soak *soak, const char *format, ...) G_GNUC_PRINTF (2, 3);

G_END_DECLS
