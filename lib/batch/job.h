/**
 * @file job.h
 * A job as submitted by a caller: a graph of steps, each with a number of identical tasks.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Length of a job id in characters. */
#define JOB_ID_CHARS 16
/** Limits of one job; a larger one is rejected as malformed. */
#define JOB_STEPS_MAX 256
#define JOB_STEP_TASKS_MAX 10000
#define JOB_REPEATS_MAX 100000
#define JOB_SPEC_BYTES_MAX 4000
/** Tasks of all steps of one occurrence. */
#define JOB_TASKS_MAX 100000
/** Largest amount of one resource, longest duration, and latest time: sums and products of them
 * stay within 64 bits. */
#define JOB_SIZE_MAX (INT64_C (1) << 40)
#define JOB_DURATION_MAX_MS (INT64_C (1) << 40)
#define JOB_WALL_MAX_MS (INT64_C (1) << 48)

/** Resources that a task needs, or capacity of a worker. */
typedef struct
{
  int64_t cpu_m; /**< thousandths of a core */
  int64_t mem_mb;
  int64_t gpus;
} JobSize;

typedef struct
{
  uint32_t n_tasks;
  JobSize size;
  int64_t estimate_ms;     /**< declared duration of one task; 0: none */
  GArray *after;           /**< uint32_t: indexes of earlier steps that must be done first */
  char *label;             /**< a label that the worker must have; NULL for any */
  char *rack;              /**< label of the rack that holds the step's data; NULL for none */
  char *image;             /**< tasks of one image are assumed to behave alike; NULL if not named */
  uint32_t per_worker_max; /**< limit of tasks of one occurrence on one worker; 0 for none */
  uint32_t unavailable_max;     /**< tasks that the scheduler may make unavailable at once */
  int64_t tail_target_ms;       /**< bound on the tail latency of a serving task; 0 for none */
  gboolean has_unavailable_max; /**< unavailable_max applies */
  gboolean has_checkpoints;     /**< its tasks write checkpoints */
  gboolean is_gang;        /**< its tasks are scheduled together and only make progress together */
  gboolean same_rack;      /**< a gang that is slower across racks */
  gboolean is_speculative; /**< copies of a task may run concurrently */
  gboolean is_continuous;  /**< long-running: runs until the job is cancelled */
  gboolean is_best_effort; /**< best-effort: its CPU is not reserved, it uses what others leave */
} JobStep;

typedef struct
{
  char *spec;
  GPtrArray *steps;   /**< JobStep, owned */
  uint32_t n_repeats; /**< 0: runs once, immediately */
  int64_t start_wall_ms;
  int64_t interval_ms;
} JobSpec;

/** Creates a job without steps; free with job_spec_free(). */
JobSpec *job_spec_new (void);

/** Frees a job; NULL is allowed. */
void job_spec_free (JobSpec *spec);

/** Appends a zeroed step, owned by @p spec. */
JobStep *job_spec_add_step (JobSpec *spec);

/** Number of occurrences, at least 1. */
uint32_t job_spec_occurrences (const JobSpec *spec);

/** Number of tasks of one occurrence. */
uint32_t job_spec_tasks (const JobSpec *spec);

/** Whether @p id is a job id: 16 hexadecimal digits. */
gboolean job_id_is_valid (const char *id);

/** Name of a task: job, occurrence, step, index. */
typedef struct
{
  char job[JOB_ID_CHARS + 1];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} JobTaskName;

/** Parses "ID.K.STEP.INDEX"; FALSE if it is malformed. */
gboolean job_task_name_parse (const char *text, JobTaskName *name);

/** Formats a task's name; free with g_free(). */
char *job_task_name_format (const JobTaskName *name);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (JobSpec, job_spec_free)

G_END_DECLS
