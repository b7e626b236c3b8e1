/**
 * @file render.h
 * JSON bodies of the HTTP interface.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"
#include "common/err.h"
#include "entry/members.h"
#include "state/fold.h"

G_BEGIN_DECLS

/** {"error":{...}}; @p request_id may be NULL. Unref the result with g_bytes_unref(). */
GBytes *render_error (
    ErrKind kind, ErrRan ran, const char *message, int64_t retry_after_ms, const char *request_id);

/** {"version","author","wall_ms","text"} */
GBytes *render_config (uint64_t version, const char *author, int64_t wall_ms, GBytes *text);

/** {"version"} */
GBytes *render_version (uint64_t version);

/** Accepted versions of the configuration, newest first, without their texts. */
GBytes *render_history (const Fold *fold);

/** {"job":"<16 hexadecimal digits>"} */
GBytes *render_job_id (uint64_t job);

GBytes *render_job (const FoldJob *job);

/** Like render_job(), and "placement_unknown": @p why the owner of the job's shard was not asked.
 */
GBytes *render_unowned_job (const FoldJob *job, const char *why);
GBytes *render_jobs (const Fold *fold);

/** Input of render_status(). */
typedef struct
{
  const char *name;
  const char *data_centre;
  const Fold *fold;
  const Members *members;
  const DocDocument *document; /**< NULL for none */
  uint64_t config_version;
  uint32_t shards;
  gboolean is_leaving;
  gboolean log_is_up;
  int64_t log_age_ms;
  int64_t now_us;
} RenderStatus;

/** Status of entries, instances (counts by label), services, shards, configuration and log. */
GBytes *render_status (const RenderStatus *status);

G_END_DECLS
