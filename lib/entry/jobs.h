/**
 * @file jobs.h
 * Runs of jobs: their ids, and the definition that a run keeps from the day it was submitted.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"
#include "state/record.pb-c.h"

G_BEGIN_DECLS

#define JOBS_ID_SIZE 17

/** Id of the run that @p submitter asked for under @p key: the same whenever it is asked again. */
uint64_t jobs_id (const char *submitter, const char *name, const char *key);

/** Prints 16 hexadecimal digits. */
const char *jobs_print (uint64_t job, char text[JOBS_ID_SIZE]);

/** Shard that a run belongs to. */
uint32_t jobs_shard (uint64_t job, uint32_t shards);

/** The definition as a document of its own; free with g_free(). */
char *jobs_definition (const DocJob *job);

/** Parses jobs_definition(); the job of the document is named @p name. NULL when it is not one. */
DocDocument *jobs_parse (const char *name, const void *data, size_t size);

G_END_DECLS
