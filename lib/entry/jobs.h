/**
 * @file jobs.h
 * Runs of jobs: their ids, and the definition that is stored with a run when it is submitted.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"
#include "state/record.pb-c.h"

G_BEGIN_DECLS

#define JOBS_ID_SIZE 17

/** Id of the run that @p submitter requested under @p key; the same for each repeated request. */
uint64_t jobs_id (const char *submitter, const char *name, const char *key);

/** Prints the id as 16 hexadecimal digits; returns @p text. */
const char *jobs_print (uint64_t job, char text[JOBS_ID_SIZE]);

/** Shard of a run. */
uint32_t jobs_shard (uint64_t job, uint32_t shards);

/** Prints the definition as a separate document; free with g_free(). */
char *jobs_definition (const DocJob *job);

/** Parses the output of jobs_definition(). NULL when it has no valid job named @p name. */
DocDocument *jobs_parse (const char *name, const void *data, size_t size);

G_END_DECLS
