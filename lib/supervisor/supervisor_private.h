/**
 * @file supervisor_private.h
 * State shared by the modules of the worker supervisor. Internal to lib/supervisor.
 */
#pragma once

#include "supervisor/supervisor.h"

G_BEGIN_DECLS

/** If the worker has not answered for this long, its state is not known. */
#define SUPERVISOR_SILENCE_MS 1500
/** Pause before a stop without an answer, or a failed poll, is repeated. */
#define SUPERVISOR_RETRY_MS 300
/** A poll returns at once while the worker lists ends that the owner has not written. Such polls
 * are at least this far apart. */
#define SUPERVISOR_POLL_GAP_MS 100

typedef enum
{
  ROW_STARTING, /**< the call to start it is under way */
  ROW_IN_DOUBT, /**< the start had no answer and may still take effect */
  ROW_STARTED,  /**< it runs, or has ended */
} SupervisorRowState;

/** Level that reports announce: crashes of the worker are reported. */
#define SUPERVISOR_LEVEL 1

/** A run that was ordered at this worker, or that the worker lists. */
typedef struct
{
  char *task;
  int64_t run;
  SupervisorRowState state;
  int64_t added_us;    /**< when it was ordered or first listed */
  int64_t answered_us; /**< when the newest call for this run was answered */
  gboolean stop_wanted;
  gboolean is_stopping; /**< a call to stop it is under way */
  gboolean stop_answered;
  int64_t stop_retry_us;
  gboolean is_listed;        /**< listed by the newest poll */
  gboolean was_listed;       /**< listed by the poll before the newest one */
  WorkerTask polled;         /**< state in the newest poll; texts owned */
  uint32_t cpu_limit_known;  /**< CPU limit in percent plus 1; 0: not known */
  uint32_t cpu_limit_wanted; /**< newest limit that was ordered, in percent plus 1; 0: none */
  gboolean is_limiting;      /**< a call to limit it is under way */
  int64_t limit_retry_us;    /**< no call to limit it before this time */
  int64_t limit_doubt_us;    /**< until then an earlier limit may still take effect */
  uint64_t version;          /**< version of the newest change that is reported */
  int64_t reported_percent;  /**< percent, measurement and time of that change */
  int64_t reported_measurement;
  int64_t reported_us;
} SupervisorRow;

/** Identity of an incarnation of a worker. */
typedef struct
{
  char *id;
  int64_t started_wall_ms;
} SupervisorIdentity;

/** A run that is no longer at this worker, or was refused. */
typedef struct
{
  char *task;
  int64_t run;
  uint64_t version;
} SupervisorGone;

/** A run that was lost when the worker crashed. */
typedef struct
{
  uint64_t number;
  char *task;
  int64_t run;
  int64_t age_ms;
  uint32_t n_others;
  uint64_t incarnation;
  int64_t crash_us;
  uint64_t version;
} SupervisorCrash;

/** An end that the worker lists, and the version of the change that added it. */
typedef struct
{
  WorkerEnd end;
  uint64_t version;
} SupervisorEnd;

struct Supervisor
{
  SupervisorOptions options;
  int64_t token;
  WorkerInfo *info;
  uint64_t incarnation;       /**< fencing token when it began; 0 until the lists were read */
  uint64_t incarnation_count; /**< counts incarnations, to recognise late answers of earlier ones */
  WorkerInfo *candidate; /**< newest report of another incarnation, while the known one answers */
  int64_t candidate_us;  /**< when it was received */
  WorkerInfo *doubted;   /**< newest report that does not follow the one in info */
  /** Incarnation that answered before the one that was begun last; its id is NULL if there is none,
   * or once the newer one has answered. */
  SupervisorIdentity last;
  GArray *replaced; /**< SupervisorIdentity of earlier incarnations */
  uint64_t epoch;
  uint64_t done_number;
  int64_t echo_us;         /**< newest report time that this owner's messages echoed */
  int64_t lease_end_us;    /**< end of the newest grant */
  int64_t leased_until_us; /**< no run outlasts this: the furthest lease that a call carried */
  int64_t clock_ms;        /**< the worker's clock at clock_us; -1: not known */
  int64_t clock_us;
  int64_t polled_us;        /**< when the newest poll was answered */
  int64_t poll_sent_us;     /**< when that poll was sent */
  int64_t unanswered_us;    /**< when the first poll after that failed; 0: none did */
  GHashTable *rows;         /**< "task run" -> SupervisorRow */
  GArray *ended;            /**< SupervisorEnd that the worker still lists */
  GHashTable *ended_keys;   /**< set of their row keys */
  int64_t ends_written;     /**< the worker may drop ends up to this number */
  GArray *refused;          /**< SupervisorRefused that the owner has not applied */
  GArray *gone;             /**< SupervisorGone that the owner has not applied */
  GArray *crashes;          /**< SupervisorCrash that no owner has written */
  uint64_t n_crashes;       /**< number of the newest of them */
  uint64_t version;         /**< version of the newest change */
  uint64_t applied_version; /**< the owner has applied changes up to this version; 0: it needs a
                               full report */
  uint64_t info_version;    /**< version of the newest change of info */
  int64_t full_report_us;   /**< when the newest full report was built */
  gboolean awaits_info;     /**< the worker restarted and has not reported since */
  gboolean is_polling;
  gboolean is_verified;    /**< a poll that was sent after the last failed call was answered */
  uint64_t n_failed_calls; /**< calls without an answer of the known incarnation */
  int64_t next_poll_us;
  GHashTable *calls; /**< SupervisorCall under way, as a set */
  gboolean is_leaving;
  gboolean has_incomplete_lists; /**< the newest poll listed what could not be decoded */
  gboolean has_more_ends;        /**< its list of ends may be cut off */
  gboolean forbids_starts;       /**< the owner forbade starts in its newest message */
  gboolean has_left;             /**< the worker said that it shuts down; it may still answer */
  gboolean is_gone;              /**< it has left, and does not answer any more */
};

typedef struct
{
  char *task;
  int64_t run;
  RunnerOutcome outcome;
  uint64_t version;
} SupervisorRefused;

/** Context of a call to the worker. */
typedef struct
{
  Supervisor *supervisor;
  uint64_t incarnation_count;
  uint64_t n_failed_calls; /**< as it was when the call was sent */
  char *key;
  int64_t sent_us;
  int64_t clock_ms; /**< newest time of the worker's clock that was known then; -1: none */
  uint32_t percent; /**< CPU limit that the call sets */
} SupervisorCall;

/* supervisor.c */
int64_t supervisor_now_us (const Supervisor *supervisor);
/* Handles that the worker is another incarnation than the known one: begins that of the candidate,
 * or waits for its report. */
void supervisor_worker_changed (Supervisor *supervisor);
/* Begins the incarnation of the candidate, if there is one. */
void supervisor_begin_candidate (Supervisor *supervisor);
/* Handles that the known worker does not answer any more: begins the incarnation of the candidate.
 * Without one, the worker counts as gone if it had left and nothing of it runs any more:
 * @p is_over. */
void supervisor_worker_ended (Supervisor *supervisor, gboolean is_over);
/* Handles that the worker answered: it is the known incarnation. @p sent_us is when it was called.
 */
void supervisor_confirm (Supervisor *supervisor, int64_t sent_us);
/* Whether a worker has registered and its lists were read. */
gboolean supervisor_is_known (const Supervisor *supervisor);
/* Whether the worker answered a poll within SUPERVISOR_SILENCE_MS. */
gboolean supervisor_is_responsive (const Supervisor *supervisor);
void supervisor_log (const Supervisor *supervisor, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* Requests that a change be reported to the owner at once. */
void supervisor_changed (const Supervisor *supervisor);
/* Returns the version of a new change. */
uint64_t supervisor_next_version (Supervisor *supervisor);
/* Records that a run is not at this worker. */
void supervisor_add_gone (Supervisor *supervisor, const char *task, int64_t run);
/* Returns an array of SupervisorEnd that owns its elements. */
GArray *supervisor_ends_new (void);
/* Starts the next poll when one is due. */
void supervisor_poll_if_due (Supervisor *supervisor);
char *supervisor_row_key (const char *task, int64_t run);
SupervisorRow *supervisor_add_row (Supervisor *supervisor,
                                   const char *task,
                                   int64_t run,
                                   SupervisorRowState state);

/* supervisor_calls.c: calls to the worker and their answers. */
void supervisor_call_destroy (gpointer data);
void supervisor_execute_order (Supervisor *supervisor, const Batch__Order *order);
void supervisor_repeat_stops (Supervisor *supervisor);
/* Repeats CPU limits that the worker may not have. */
void supervisor_repeat_limits (Supervisor *supervisor);
void supervisor_send_poll (Supervisor *supervisor);

/* supervisor_crashes.c: runs that were lost when the worker crashed. */
/* Returns an array of SupervisorCrash that owns its elements. */
GArray *supervisor_crashes_new (void);
/* Call it when the worker turns out to have started anew, before its rows are dropped. Keeps the
 * runs that were lost, unless the worker had announced its end. */
void supervisor_note_crash (Supervisor *supervisor);
/* Drops the crashed runs up to a number: an owner wrote them. */
void supervisor_drop_crashes (Supervisor *supervisor, uint64_t number);
void supervisor_report_crashes (const Supervisor *supervisor, Batch__Report *report);

/* supervisor_poll.c: applies the answer of a poll. */
/* Whether the worker lists an end of the run with that row key. */
gboolean supervisor_has_ended (const Supervisor *supervisor, const char *key);
/* Whether the run may have ended without being listed, since the list of ends is cut off. */
gboolean supervisor_may_have_unlisted_end (const Supervisor *supervisor, const SupervisorRow *row);
void supervisor_handle_poll (Supervisor *supervisor, const RunnerAnswer *answer, int64_t sent_us);

G_END_DECLS
