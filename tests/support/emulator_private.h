/**
 * @file emulator_private.h
 * State shared by the modules of the emulator.
 */
#pragma once

#include "batch/sched.h"
#include "common/clk.h"
#include "ledger/appender.h"
#include "ledger/claim.h"
#include "ledger/ledger.h"
#include "ledger/store_pace.h"
#include "platform/store.h"
#include "support/emulator.h"
#include "supervisor/report_flow.h"
#include "supervisor/supervisor.h"

G_BEGIN_DECLS

#define EMU_ENTRIES_MAX 8
#define EMU_AGENTS_MAX 12
#define EMU_GRANT_MS 4500
#define EMU_LEASE_MAX_MS 6000
#define EMU_ATTEMPTS_MAX 2
#define EMU_CPU_M 4000
#define EMU_NAME_CHARS 48
/** Wall clock at the simulated time 0. */
#define EMU_WALL_MS 1700000000000

typedef struct Emulator Emulator;

typedef void (*EmuFn) (gpointer ctx, gpointer data);

/** What is killed, frozen and started again as one. Events of an earlier life do not occur. */
typedef struct
{
  char name[16];
  uint64_t life; /**< changes when the process starts or ends */
  gboolean is_up;
  int64_t frozen_until_us;
} EmuProcess;

typedef struct
{
  int64_t time_us;
  uint64_t order; /**< events of one time occur in this order */
  EmuProcess *process;
  uint64_t life;
  EmuFn fn;
  gpointer ctx;
  gpointer data;
  GDestroyNotify free;
} EmuEvent;

typedef enum
{
  EMU_STORE_APPEND,
  EMU_STORE_READ,
  EMU_STORE_NEWEST,
} EmuStoreKind;

/** A call to the store. Reference-counted, as its answer and its timeout refer to it. */
typedef struct
{
  Emulator *emu;
  EmuStoreKind kind;
  EmuProcess *client;
  uint64_t client_life;
  GByteArray *records;
  int64_t expected_end;
  gboolean has_producer;
  int64_t epoch;
  int64_t sequence;
  int64_t queue_ms; /**< time before it is executed */
  int64_t from;
  int64_t wait_ms;
  gboolean is_answered;
  gboolean is_served;
  StoreAnswer answer; /**< records is NULL: the client reads them from the store */
  StoreDone done;
  void *ctx;
} EmuStoreCall;

typedef struct
{
  char *key;
  GBytes *value; /**< NULL: removes the key */
} EmuRecord;

#define EMU_REPEATS 5

typedef struct
{
  GPtrArray *records;              /**< EmuRecord, in order of offsets */
  GHashTable *newest;              /**< key -> offset */
  int64_t epoch;                   /**< of the owner's producer */
  int64_t sequence;                /**< newest of that epoch */
  int64_t repeats[EMU_REPEATS][3]; /**< epoch, sequence and offset of the newest appends */
  uint32_t n_repeats;
  GPtrArray *parked; /**< EmuStoreCall: reads that wait for a record */
  int64_t down_until_us;
  int64_t slow_until_us;
  int64_t slow_ms;
  int64_t queue_free_us;  /**< when all queued appends will have been executed */
  int64_t lossy_until_us; /**< answers are lost, and appends carried out late */
} EmuStore;

typedef struct
{
  char task[EMU_NAME_CHARS];
  int64_t run;
  uint64_t serial;
  int64_t start_us;
  int64_t duration_us;
  int64_t cpu_m;
  gboolean is_failing;
  gboolean is_stopping;
} EmuRun;

typedef struct
{
  int64_t number;
  char task[EMU_NAME_CHARS];
  int64_t run;
  WorkerEndHow how;
  int64_t end_us;
  gboolean is_void; /**< the lease expired before the end was acknowledged */
} EmuEnd;

typedef struct EmuAgent EmuAgent;

typedef struct
{
  Emulator *emu;
  EmuProcess process;
  uint32_t index;
  char id[24];
  int64_t born_wall_ms;
  int64_t sequence;
  double clock_rate;
  int64_t clock_base_ms; /**< its clock when it started */
  int64_t start_us;
  int64_t fence;
  int64_t lease_ms; /**< end of the lease on its clock; 0: none */
  gboolean is_lease_checked;
  GArray *runs; /**< EmuRun */
  GArray *ends; /**< EmuEnd, not yet acknowledged */
  int64_t n_ends;
  GHashTable *ended; /**< task -> highest run stopped or ended here */
  GPtrArray *parked; /**< EmuCall: polls that wait for an end */
  gboolean is_draining;
  gboolean guards_capacity;
  int64_t trouble_until_us; /**< calls stay without an answer */
  int64_t refused_until_us; /**< connections are refused, also those to its agent */
  uint64_t n_lives;
} EmuWorker;

typedef enum
{
  EMU_CALL_START,
  EMU_CALL_STOP,
  EMU_CALL_LIMIT,
  EMU_CALL_POLL,
} EmuCallKind;

/** A call of an agent to its worker. Reference-counted. */
typedef struct
{
  EmuAgent *agent;
  uint64_t agent_life;
  EmuCallKind kind;
  char worker_id[24];
  int64_t token;
  char task[EMU_NAME_CHARS];
  int64_t run;
  int64_t until_ms;
  int64_t acked_end;
  int64_t wait_ms;
  gboolean is_served;
  gboolean is_answered;
  gboolean loses_answer;
  RunnerAnswer answer;
  RunnerDone done;
  void *done_ctx;
} EmuCall;

struct EmuAgent
{
  Emulator *emu;
  EmuProcess process;
  uint32_t index;
  gboolean is_older; /**< it ignores fields that its build does not know */
  int64_t wall_offset_ms;
  uint64_t boot;
  Supervisor *supervisor;
  ReportFlow flow;
  uint64_t report_serial;
  int32_t owner;       /**< entry of the newest owner; -1: none */
  uint64_t connection; /**< connection to it */
  gboolean is_registering;
  int64_t contact_us;
};

/** One direction between an entry and an agent. */
typedef struct
{
  int64_t cut_until_us;
  int64_t next_us; /**< nothing arrives before this: messages stay in order */
} EmuPath;

typedef struct
{
  uint64_t connection; /**< 0: not connected */
  int64_t received_us;
  int64_t sent_us;
  EmuPath to_agent;
  EmuPath to_owner;
} EmuLink;

typedef enum
{
  EMU_OWNER_NONE,
  EMU_OWNER_CLAIMING,
  EMU_OWNER_WAITING,
  EMU_OWNER_ACTIVE,
} EmuOwnerPhase;

typedef struct
{
  Emulator *emu;
  EmuProcess process;
  uint32_t index;
  gboolean is_older; /**< its build knows nothing of the record of silent agents */
  uint64_t level_since;
  int64_t store_cut_until_us;
  StorePace pace;      /**< of the owner's appends */
  uint32_t pace_slot;  /**< of the append under way */
  uint32_t claim_slot; /**< of the claim under way */
  int64_t claim_delay_us;
  uint64_t boot;
  /* Feed. */
  Ledger *ledger;
  int64_t next;
  gboolean is_loaded;
  int64_t answered_us;
  int64_t poll_sent_us;
  int64_t refresh_sent_us;
  int64_t fresh_us; /**< all records up to this time were read */
  int64_t steady_us;
  int64_t pause_ms;
  /* Owner: the fields of programs/scheduler/owner_private.h. */
  EmuOwnerPhase phase;
  Claim claim;
  int64_t claim_sent_us;
  int64_t claim_refused_us;
  int64_t claim_offset;
  int64_t act_us;
  GByteArray *claim_records;
  uint64_t term;
  int64_t epoch;
  Appender appender;
  int64_t owner_seen_us;
  gboolean is_leaving;
  Sched *sched;
  SchedFlush *flush;
  gboolean is_calling;
  gboolean is_claim_open;
  gboolean is_release;
  int64_t renew_us;
  uint64_t term_serial; /**< timers of an earlier term do nothing */
  gboolean is_tick_due;
  gboolean is_flush_due;
  EmuLink links[EMU_AGENTS_MAX];
} EmuEntry;

typedef struct EmuCheck EmuCheck;

struct Emulator
{
  EmulatorOptions options;
  EmulatorResult *result;
  uint64_t random;
  int64_t now_us;
  int64_t end_us;
  uint64_t n_orders;
  uint64_t n_serials;
  GArray *events; /**< EmuEvent, a binary heap */
  QueueConfig *config;
  EmuStore store;
  EmuEntry entries[EMU_ENTRIES_MAX];
  EmuAgent agents[EMU_AGENTS_MAX];
  EmuWorker workers[EMU_AGENTS_MAX];
  EmuCheck *check;
};

/* emulator.c */
uint64_t emu_random (Emulator *emu);
/* A random number from @p low to @p high, both included. */
int64_t emu_between (Emulator *emu, int64_t low, int64_t high);
gboolean emu_chance (Emulator *emu, uint32_t percent);
uint64_t emu_serial (Emulator *emu);
/* Schedules an event; @p process may be NULL. @p data is freed with @p free after it. */
void emu_after (Emulator *emu,
                int64_t delay_us,
                EmuProcess *process,
                EmuFn fn,
                gpointer ctx,
                gpointer data,
                GDestroyNotify free);
void emu_process_start (Emulator *emu, EmuProcess *process);
void emu_process_end (Emulator *emu, EmuProcess *process);
void emu_trace (Emulator *emu, const char *who, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* emulator_store.c */
void emu_store_init (Emulator *emu);
void emu_store_clear (Emulator *emu);
/* A call of @p client, whose access to the store is cut until @p cut_until_us. */
EmuStoreCall *emu_store_call (Emulator *emu, EmuStoreKind kind, EmuProcess *client);
void emu_store_send (EmuStoreCall *call, int64_t cut_until_us, int64_t timeout_ms);
const EmuRecord *emu_store_record (const Emulator *emu, int64_t offset);
/* Whether a record is the newest of its key before @p end. */
gboolean emu_store_is_newest (const Emulator *emu, int64_t offset);

/* emulator_worker.c */
void emu_worker_start (EmuWorker *worker, gboolean keeps_id);
void emu_worker_crash (EmuWorker *worker);
void emu_worker_drain (EmuWorker *worker);
void emu_worker_clear (EmuWorker *worker);
void emu_worker_call (EmuCall *call);

/* emulator_agent.c */
void emu_agent_start (EmuAgent *agent);
void emu_agent_kill (EmuAgent *agent);
void emu_agent_leave (EmuAgent *agent);
void emu_agent_receive (EmuAgent *agent, uint32_t entry, uint64_t connection, GBytes *bytes);
EmuCall *emu_call_ref (EmuCall *call);
void emu_call_unref (gpointer call);

/* emulator_link.c */
void emu_link_connect (EmuEntry *entry, uint32_t agent);
void emu_link_disconnect (EmuEntry *entry, uint32_t agent);
void emu_link_to_agent (EmuEntry *entry, uint32_t agent, GBytes *bytes);
void emu_link_to_owner (EmuAgent *agent, GBytes *bytes);

/* emulator_entry.c */
void emu_entry_start (EmuEntry *entry);
void emu_entry_kill (EmuEntry *entry);
/* Releases ownership; the process ends within seconds. */
void emu_entry_leave (EmuEntry *entry);
void emu_entry_refresh (EmuEntry *entry);

/* emulator_owner.c: follows programs/scheduler/owner*.c. */
void emu_owner_check (EmuEntry *entry);
void emu_owner_claimed (EmuEntry *entry, const LedgerOwner *claim);
void emu_owner_add_job (EmuEntry *entry, const LedgerJob *job);
void emu_owner_add_agent (EmuEntry *entry, const LedgerAgent *agent);
void emu_owner_remove_agent (EmuEntry *entry, const char *name);
void emu_owner_report (EmuEntry *entry, uint32_t agent, GBytes *bytes);
void emu_owner_leave (EmuEntry *entry);
void emu_owner_resign (EmuEntry *entry, const char *reason);

/* emulator_faults.c */
void emu_faults_schedule (Emulator *emu);

/* emulator_config.c */
QueueConfig *emu_config_new (int64_t version, gboolean has_queue);
void emu_config_schedule (Emulator *emu);

/* emulator_check.c: judges what the workers do. */
EmuCheck *emu_check_new (Emulator *emu);
void emu_check_free (EmuCheck *check);
/* Adds the jobs of the schedule, which callers hand in at times of it. */
void emu_check_add_jobs (Emulator *emu);
int64_t emu_check_cpu_m (const Emulator *emu, const char *task);
/* Duration of a run, and whether it fails. */
int64_t emu_check_duration_us (const Emulator *emu, const char *task, int64_t run, gboolean *fails);
void emu_check_started (EmuWorker *worker, const EmuRun *run);
void emu_check_ended (EmuWorker *worker, const EmuRun *run, int how);
void emu_check_acknowledged (EmuWorker *worker, const EmuEnd *end);
void emu_check_finish (Emulator *emu);

G_END_DECLS
