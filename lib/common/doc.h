/**
 * @file doc.h
 * The operators' document: services, jobs, teams, label rules, placement rules and policy.
 *
 * One TOML document is one version of the configuration. It is parsed and checked here and nowhere
 * else; everything that decides reads the rows below. The document owns all its rows and texts.
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

/** Processors, memory and accelerators, of an instance, a task or a quota. */
typedef struct
{
  int64_t cpu_milli;    /**< thousandths of a processor */
  int64_t memory_mb;    /**< mebibytes */
  int64_t accelerators; /**< whole devices */
} DocSize;

/** Whether a request may be run again when its answer is lost. */
typedef enum
{
  DOC_REPEATABLE,
  DOC_ONCE,
} DocRequestKind;

typedef enum
{
  DOC_NORMAL,
  DOC_URGENT, /**< started before all normal work, within the urgent bound */
} DocPriority;

/** [service.NAME]: a latency-critical service that endpoints announce. */
typedef struct
{
  char *name;
  char *team;
  LabSet *labels;        /**< the operator's, with name=, team= and kind=service added */
  DocRequestKind kind;   /**< default kind of a request that doesn't say */
  DocSize size;          /**< reservation of one endpoint on its instance */
  int64_t slots;         /**< requests an endpoint runs at once */
  int64_t connections;   /**< requests an endpoint holds at once, running and queued */
  int64_t target_p99_us; /**< tail latency target */
  int64_t timeout_ms;    /**< deadline of a request that names none */
} DocService;

/** [job.NAME]: batch work, started by a submission that names it. */
typedef struct
{
  char *name;
  char *team;
  LabSet *labels;    /**< the operator's, with name=, team= and kind=job added */
  char *batch_class; /**< tasks of one class are taken to interfere alike; default the name */
  DocPriority priority;
  int64_t tasks;
  DocSize size;          /**< declared size of one task */
  int64_t run_ms;        /**< declared run time of one task */
  int64_t deadline_ms;   /**< after submission; 0: none */
  int64_t max_failures;  /**< failures of one task before the job is given up */
  int64_t checkpoint_ms; /**< how often a task can checkpoint; 0: it can't */
} DocJob;

/** [team.NAME] */
typedef struct
{
  char *name;
  DocSize quota; /**< 0 in a field: no limit on it */
  int64_t weight;
} DocTeam;

/** [[label]]: gives a label to all instances that a selector matches. */
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

/** [[rule]] */
typedef struct
{
  char *name; /**< unique; named by explanations */
  DocEffect effect;
  Sel *work;
  Sel *instances; /**< for DOC_MAY and DOC_MAY_NOT */
  Sel *beside;    /**< for DOC_NOT_BESIDE */
  DocSpread spread;
  int64_t max_each; /**< for DOC_APART: tasks of one job allowed in one rack or data centre */
} DocRule;

/** [policy]: weights and limits of the decisions. */
typedef struct
{
  int64_t tail_weight; /**< weights of the three measures, out of their sum */
  int64_t batch_weight;
  int64_t eviction_weight;
  int64_t evictions_per_minute; /**< budget of the whole fleet */
  int64_t cooldown_ms;          /**< between two measures against one pair */
  int64_t report_lag_ms;        /**< longest expected age of a usage report */
  int64_t urgent_start_ms;      /**< bound on starting urgent work */
  int64_t starts_per_tick;      /**< pacing of waves */
  int64_t retry_percent;        /**< retries allowed per hundred first attempts */
} DocPolicy;

/** One checked document. Rows are in file order. */
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
 * Parses and checks @p text. NULL with #ERR_BAD_CONFIG "source:line: key: what was expected".
 * An empty text is a valid, empty document. Free with doc_free().
 */
DocDocument *doc_parse (const char *text, size_t size, const char *source, GError **error);

/** Frees @p document. NULL is allowed. */
void doc_free (DocDocument *document);

/** Finds a row by name, or NULL; owned by the document. */
const DocService *doc_service (const DocDocument *document, const char *name);
const DocJob *doc_job (const DocDocument *document, const char *name);
const DocTeam *doc_team (const DocDocument *document, const char *name);

/**
 * Gives the instance labels @p labels what the document's label rules add, in file order; a later
 * rule sees and may replace what an earlier one set.
 */
void doc_apply_labels (const DocDocument *document, LabSet *labels);

/** Names of the keys of [policy], [service.X] and so on are listed in docs/CONFIGURATION.md. */

G_END_DECLS
