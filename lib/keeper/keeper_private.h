/**
 * @file keeper_private.h
 * The state that the parts of a keeper share. Internal to lib/keeper.
 */
#pragma once

#include "keeper/keeper.h"

G_BEGIN_DECLS

/** Without an answer for this long nothing certain can be said of the worker. */
#define KEEPER_SILENCE_MS 1500
/** A stop or pace without an answer, or a look that failed, is tried again after this. */
#define KEEPER_AGAIN_MS 300
/** While ends are listed that the owner has not written, a look returns at once: such looks are at
 * least this far apart. */
#define KEEPER_LOOK_GAP_MS 100

typedef enum
{
  ROW_STARTING, /**< the start is under way */
  ROW_IN_DOUBT, /**< the start had no answer: it may act later */
  ROW_STARTED,  /**< there, or ended */
} KeeperRowState;

/** A task that was ordered here, or runs here. */
typedef struct
{
  char *task;
  int64_t run;
  KeeperRowState state;
  int64_t settled_us; /**< when the newest call for it was answered */
  gboolean stop_wanted;
  gboolean is_stopping; /**< a stop is under way */
  gboolean stop_answered;
  int64_t stop_again_us;
  gboolean is_listed;   /**< runs by the newest look */
  gboolean was_listed;  /**< ran by the look before it */
  WorkerTask seen;      /**< of the newest look; texts owned */
  uint32_t pace_known;  /**< pace in percent and 1; 0: not known */
  uint64_t version;     /**< of its newest change that reports tell */
  int64_t told_percent; /**< at that change */
  int64_t told_figure;
  int64_t told_us; /**< when that was */
} KeeperRow;

/** A run that is not here any more, or was refused. */
typedef struct
{
  char *task;
  int64_t run;
  uint64_t version;
} KeeperGone;

/** An end that the worker lists, with the version that told it first. */
typedef struct
{
  WorkerEnd end;
  uint64_t version;
} KeeperEnd;

struct Keeper
{
  KeeperOptions options;
  int64_t token;
  WorkerInfo *info;
  uint64_t life;       /**< token at the start of the worker's life; 0 before its lists were read */
  uint64_t lives;      /**< counts lives, to tell late answers of an earlier one */
  GPtrArray *replaced; /**< ids of earlier workers */
  uint64_t epoch;
  uint64_t done_number;
  int64_t lease_end_us;
  int64_t clock_ms; /**< of the worker, at clock_us; -1: not known */
  int64_t clock_us;
  int64_t heard_us; /**< when the newest look was answered */
  GHashTable *rows; /**< "task run" -> KeeperRow */
  GArray *ended;    /**< KeeperEnd not forgotten yet */
  int64_t seen;     /**< ends up to this one may be forgotten */
  GArray *refused;  /**< KeeperRefused that the owner has not taken */
  GArray *gone;     /**< KeeperGone that the owner has not taken */
  uint64_t version; /**< of the newest change */
  uint64_t taken;   /**< the owner has applied all up to this version; 0: it needs a whole report */
  uint64_t info_version; /**< of the newest change of info */
  int64_t whole_us;      /**< when the newest whole report was made */
  gboolean is_looking;
  int64_t look_again_us;
  GHashTable *calls; /**< KeeperCall under way, as a set */
  gboolean is_leaving;
  gboolean is_gone; /**< the worker said that it ends */
};

typedef struct
{
  char *task;
  int64_t run;
  RunnerOutcome outcome;
  uint64_t version;
} KeeperRefused;

/** Context of one call. */
typedef struct
{
  Keeper *keeper;
  uint64_t lives;
  char *key;
  int64_t sent_us;
  uint32_t percent; /**< of a pace */
} KeeperCall;

/* keeper.c */
int64_t keeper_now_us (const Keeper *keeper);
/* Whether a worker reported itself and its lists were read. */
gboolean keeper_is_known (const Keeper *keeper);
/* Whether the worker answered lately. */
gboolean keeper_is_heard (const Keeper *keeper);
void keeper_note (const Keeper *keeper, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* Tells that the owner should hear of a change at once. */
void keeper_changed (const Keeper *keeper);
/* Version of a change that is being made. */
uint64_t keeper_next_version (Keeper *keeper);
/* Notes that a run is not here. */
void keeper_add_gone (Keeper *keeper, const char *task, int64_t run);
/* An array of KeeperEnd that owns what is in it. */
GArray *keeper_ends_new (void);
/* Starts the next look when one is due. */
void keeper_look_if_due (Keeper *keeper);
char *keeper_row_key (const char *task, int64_t run);
KeeperRow *keeper_add_row (Keeper *keeper, const char *task, int64_t run, KeeperRowState state);

/* keeper_calls.c: calls to the worker, and what their answers say. */
void keeper_call_destroy (gpointer data);
void keeper_carry_out (Keeper *keeper, const Batch__Order *order);
void keeper_repeat_stops (Keeper *keeper);
void keeper_send_look (Keeper *keeper);

/* keeper_look.c: what a look tells of the rows. */
void keeper_take_look (Keeper *keeper, const RunnerAnswer *answer, int64_t sent_us);

G_END_DECLS
