/**
 * @file book.h
 * What callers and workers saw, and the promises that it is held against.
 *
 * The book knows each job that a caller sent, and hears of each start, end and acknowledgement at
 * the workers and of each answer to a caller. A broken promise is counted and noted.
 */
#pragma once

#include "soak.h"

G_BEGIN_DECLS

typedef struct Book Book;

typedef struct
{
  uint32_t n_tasks;
  int64_t cpu_m;
  int64_t mem_mb;
  int64_t work_ms;
  gboolean has_after; /**< waits for the step before it */
  gboolean saves;
  gboolean lasts;
  gboolean fails; /**< its first task fails whenever it runs */
} BookStep;

typedef struct
{
  char *id;
  char *spec;
  GArray *steps;      /**< BookStep */
  uint32_t n_unknown; /**< attempts to hand it in that have no answer, or one in doubt */
  gboolean is_accepted;
  gboolean was_cancelled;   /**< a cancel was sent */
  gboolean is_cancel_known; /**< a cancel was acknowledged */
  gboolean is_over;         /**< a caller saw it end */
  int64_t idle_ms;   /**< since when nothing of it runs though there is room; 0: something does */
  GHashTable *tasks; /**< name -> BookTask */
} BookJob;

typedef struct BookTask BookTask;

/** How a run ended, besides what a worker lists. */
typedef enum
{
  BOOK_DONE,
  BOOK_FAILED,
  BOOK_STOPPED,
  BOOK_LAPSED,
  BOOK_CRASHED,
} BookEnd;

Book *book_new (const Soak *soak);
void book_free (Book *book);

/** Adds a job, which the book then owns. */
BookJob *book_add (Book *book, char *id, char *spec, GArray *steps);

/** The step of a task's name, or NULL if no caller sent such a task. */
const BookStep *book_step (Book *book, const char *task, uint32_t *index);

/** A worker begins a run. */
void book_start (Book *book,
                 uint32_t worker,
                 const char *task,
                 int64_t run,
                 const char *spec,
                 const char *saved);
/** The reservations of what runs at a worker are over its capacity. */
void book_over (Book *book, uint32_t worker, int64_t used_m, int64_t capacity_m);
void book_end (Book *book, uint32_t worker, const char *task, int64_t run, BookEnd end);
/** The agent acknowledged an end; no lease lapsed at that worker since the end was listed. */
void book_acknowledged (Book *book, const char *task, int64_t run, BookEnd end);
/** A run has a new checkpoint. */
void book_saved (Book *book, const char *task, const char *saved);

/** A caller was told a job's state, or 410 (NULL). */
void book_state (Book *book, BookJob *job, const char *state);

/** While nothing disturbs: no job waits without a task at work if @p has_room. */
void book_check_idle (Book *book, int64_t now_ms, gboolean has_room);

/** Whether every accepted job that can end has ended. */
gboolean book_is_over (const Book *book);

/** After the calm: every accepted job has ended or is at work as it should be. */
void book_check_end (Book *book);

uint32_t book_n_broken (const Book *book);
/** One line of what was played. */
char *book_summary (Book *book);

G_END_DECLS
