/**
 * @file job.h
 * What a caller submits: a job of steps, each of which has a number of equal tasks.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Characters of a job id. */
#define JOB_ID_CHARS 16
/** Bounds of one job; a larger one is refused as malformed. */
#define JOB_STEPS_MAX 256
#define JOB_STEP_TASKS_MAX 10000
#define JOB_REPEATS_MAX 100000
#define JOB_SPEC_BYTES_MAX 4000

/** What a task takes of a worker, or what a worker has. */
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
  int64_t estimate_ms;     /**< rough duration of one task */
  GArray *after;           /**< uint32_t: earlier steps that must be done first */
  char *label;             /**< a label that the worker must have; NULL for any */
  char *rack;              /**< rack of the step's data; NULL for none */
  char *image;             /**< tasks of one image behave alike; NULL if not named */
  uint32_t per_worker_max; /**< tasks of one occurrence on one worker; 0 for no limit */
  uint32_t may_miss;       /**< tasks that may be away at once through our doing; 0 for no rule */
  int64_t tail_target_ms;  /**< bound on the tail latency of a serving task; 0 for none */
  gboolean has_miss_rule;
  gboolean saves;     /**< checkpoints its progress */
  gboolean is_gang;   /**< the tasks work only together */
  gboolean same_rack; /**< a gang that is slower across racks */
  gboolean may_race;  /**< copies of a task may run side by side */
  gboolean lasts;     /**< runs until the job is cancelled */
  gboolean fills;     /**< its processor share isn't reserved: it takes what others leave */
} JobStep;

typedef struct
{
  char *spec;
  GPtrArray *steps;   /**< JobStep, owned */
  uint32_t n_repeats; /**< 0: runs once, at once */
  int64_t start_wall_ms;
  int64_t interval_ms;
} JobSpec;

/** Makes an empty job; free with job_spec_free(). */
JobSpec *job_spec_new (void);

/** NULL is allowed. */
void job_spec_free (JobSpec *spec);

/** Adds an empty step, owned by @p spec. */
JobStep *job_spec_add_step (JobSpec *spec);

/** Times that the steps run: at least one. */
uint32_t job_spec_occurrences (const JobSpec *spec);

/** Whether @p id is a job id: 16 hexadecimal digits. */
gboolean job_id_is_valid (const char *id);

/** A task's name: job, occurrence, step, index. */
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
