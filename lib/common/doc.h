/**
 * @file doc.h
 * The operators' document: services, jobs, teams, label rules, placement rules and policy.
 *
 * One TOML document is one version of the configuration. It is parsed and checked only here; all
 * scheduling and routing decisions read the rows below. The document owns all its rows and texts.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/lab.h"
#include "common/sel.h"

G_BEGIN_DECLS

#define DOC_SIZE_MAX (256 * 1024)
#define DOC_NAME_MAX 63
#define DOC_ROWS_MAX 4096

/** Processors, memory and accelerators of an instance, a task or a quota. */
typedef struct
{
  int64_t cpu_milli;    /**< thousandths of a processor */
  int64_t memory_mb;    /**< mebibytes */
  int64_t accelerators; /**< whole devices */
} DocSize;

/** Whether a request may be run again after its answer was lost. */
typedef enum
{
  DOC_REPEATABLE,
  DOC_ONCE,
} DocRequestKind;

typedef enum
{
  DOC_NORMAL,
  DOC_URGENT, /**< started before all normal work, within DocPolicy.urgent_start_ms */
} DocPriority;

/** [service.NAME]: a latency-critical service that endpoints announce. */
typedef struct
{
  char *name;
  char *team;
  LabSet *labels;        /**< labels of the document plus name=, team= and kind=service */
  DocRequestKind kind;   /**< kind of a request that doesn't name one */
  DocSize size;          /**< reservation of one endpoint on its instance */
  int64_t slots;         /**< requests that an endpoint runs concurrently */
  int64_t connections;   /**< requests that an endpoint holds, running and queued */
  int64_t target_p99_us; /**< tail latency target */
  int64_t timeout_ms;    /**< deadline of a request that names none */
} DocService;

/** [job.NAME]: batch work, started by a submission that names the job. */
typedef struct
{
  char *name;
  char *team;
  LabSet *labels;    /**< labels of the document plus name=, team= and kind=job */
  char *batch_class; /**< tasks of one class are assumed to interfere alike; default: name */
  DocPriority priority;
  int64_t tasks;
  DocSize size;          /**< declared size of one task */
  int64_t run_ms;        /**< declared run time of one task */
  int64_t deadline_ms;   /**< after submission; 0: none */
  int64_t max_failures;  /**< failures of one task after which the job fails */
  int64_t checkpoint_ms; /**< checkpoint interval of a task; 0: no checkpoints */
} DocJob;

/** [team.NAME]: a group of users with a quota and a fair-share weight. */
typedef struct
{
  char *name;
  DocSize quota; /**< a field of 0 sets no limit */
  int64_t weight;
} DocTeam;

/** [[label]]: adds a label to all instances that a selector matches. */
typedef struct
{
  Sel *instances;
  char *key;
  char *value;
} DocLabel;

typedef enum
{
  DOC_MAY,        /**< selected work runs only on selected instances */
  DOC_MAY_NOT,    /**< selected work never runs on selected instances */
  DOC_APART,      /**< tasks of one job (or service) are spread over racks or data centres */
  DOC_NOT_BESIDE, /**< selected work never shares an instance with work matching beside */
} DocEffect;

typedef enum
{
  DOC_BY_RACK,
  DOC_BY_DATA_CENTRE,
} DocSpread;

/** [[rule]]: a placement constraint. */
typedef struct
{
  char *name; /**< unique; explanations refer to it */
  DocEffect effect;
  Sel *work;
  Sel *instances; /**< valid for DOC_MAY and DOC_MAY_NOT */
  Sel *beside;    /**< valid for DOC_NOT_BESIDE */
  DocSpread spread;
  int64_t max_each; /**< for DOC_APART: tasks of one job allowed in one rack or data centre */
} DocRule;

/** [policy]: weights and limits of the scheduler's decisions. */
typedef struct
{
  int64_t tail_weight; /**< weights of the three objectives, relative to their sum */
  int64_t batch_weight;
  int64_t eviction_weight;
  int64_t evictions_per_minute; /**< limit for the whole fleet */
  int64_t cooldown_ms;     /**< between two interventions for one pair of serving and batch task */
  int64_t report_lag_ms;   /**< longest expected age of a usage report */
  int64_t urgent_start_ms; /**< bound on the time until urgent work starts */
  int64_t starts_per_tick; /**< limits the rate at which a large job starts */
  int64_t retry_percent;   /**< retries allowed per hundred first attempts */
} DocPolicy;

/** One valid document. Rows are in file order. */
typedef struct
{
  GPtrArray *services; /**< DocService */
  GPtrArray *jobs;     /**< DocJob */
  GPtrArray *teams;    /**< DocTeam */
  GPtrArray *labels;   /**< DocLabel */
  GPtrArray *rules;    /**< DocRule */
  DocPolicy policy;
} DocDocument;

/**
 * Parses and checks @p text. Returns NULL with #ERR_BAD_CONFIG "source:line: key: what was
 * expected", or with #ERR_TOO_LARGE for more than #DOC_SIZE_MAX bytes.
 * An empty text is a valid, empty document. Free with doc_free().
 */
DocDocument *doc_parse (const char *text, size_t size, const char *source, GError **error);

/** Frees @p document. NULL is allowed. */
void doc_free (DocDocument *document);

/** Finds a row by name. Returns NULL if there is none; the document owns the row. */
const DocService *doc_service (const DocDocument *document, const char *name);
const DocJob *doc_job (const DocDocument *document, const char *name);
const DocTeam *doc_team (const DocDocument *document, const char *name);

/**
 * Applies the document's label rules to the labels of an instance, in file order. A later rule sees
 * the labels that earlier rules set and may replace them.
 */
void doc_apply_labels (const DocDocument *document, LabSet *labels);

/* docs/CONFIGURATION.md lists the keys of [policy], [service.X] and the other sections. */

G_END_DECLS
