/**
 * @file fixture.h
 * Test fixture of lib/core: a core, its pending inputs and the commands that it gave.
 */
#pragma once

#include <string.h>

#include "common/clk.h"
#include "core/core.h"

typedef struct
{
  Core *core;
  GArray *inputs;
  GArray *commands; /**< commands of the last tick */
  GArray *all;      /**< commands of all ticks */
  GPtrArray *documents;
  int64_t now_us;
} Fixture;

static inline DocDocument *
fix_document (Fixture *fix, const char *text)
{
  GError *error = NULL;
  DocDocument *document = doc_parse (text, strlen (text), "test.toml", &error);

  if (document == NULL)
    g_error ("%s", error->message);
  g_ptr_array_add (fix->documents, document);
  core_set_document (fix->core, document);
  return document;
}

static inline Fixture *
fix_new (const char *text, const CoreOptions *options)
{
  Fixture *fix = g_new0 (Fixture, 1);

  fix->core = core_new (options);
  fix->inputs = g_array_new (FALSE, TRUE, sizeof (CoreInput));
  fix->commands = g_array_new (FALSE, TRUE, sizeof (CoreCommand));
  fix->all = g_array_new (FALSE, TRUE, sizeof (CoreCommand));
  fix->documents = g_ptr_array_new_with_free_func ((GDestroyNotify) doc_free);
  fix->now_us = CLK_US_PER_S;
  (void) fix_document (fix, text);
  return fix;
}

static inline void
fix_free (Fixture *fix)
{
  core_free (fix->core);
  g_array_free (fix->inputs, TRUE);
  g_array_free (fix->commands, TRUE);
  g_array_free (fix->all, TRUE);
  g_ptr_array_free (fix->documents, TRUE);
  g_free (fix);
}

static inline const DocDocument *
fix_latest_document (const Fixture *fix)
{
  return (const DocDocument *) g_ptr_array_index (fix->documents, fix->documents->len - 1);
}

static inline void
fix_input (Fixture *fix, const CoreInput *input)
{
  g_array_append_vals (fix->inputs, input, 1);
}

/* Advances the clock by @p after_ms and runs one tick with the pending inputs. */
static inline void
fix_tick (Fixture *fix, int64_t after_ms)
{
  fix->now_us += after_ms * CLK_US_PER_MS;
  g_array_set_size (fix->commands, 0);
  core_tick (fix->core, fix->now_us, (const CoreInput *) (void *) fix->inputs->data,
             fix->inputs->len, fix->commands);
  g_array_set_size (fix->inputs, 0);
  g_array_append_vals (fix->all, fix->commands->data, fix->commands->len);
}

static inline void
fix_worker_of_size (
    Fixture *fix, const char *id, const char *rack, DocSize capacity, const char *const *services)
{
  CoreInput input = { .type = CORE_IN_WORKER };

  input.worker.id = id;
  input.worker.incarnation = 1;
  input.worker.data_centre = "quito-norte";
  input.worker.rack = rack;
  input.worker.capacity = capacity;
  input.worker.services = services;
  fix_input (fix, &input);
}

static inline void
fix_worker (Fixture *fix, const char *id, const char *rack)
{
  fix_worker_of_size (fix, id, rack, (DocSize){ 16000, 60000, 0 }, NULL);
}

static inline void
fix_worker_event (Fixture *fix, const char *id, CoreInputType type)
{
  CoreInput input = { .type = type };

  input.worker_id = id;
  fix_input (fix, &input);
}

static inline void
fix_job_with_deadline (Fixture *fix, uint64_t id, const char *name, int64_t deadline_us)
{
  CoreInput input = { .type = CORE_IN_JOB };

  input.job.job = id;
  input.job.definition = doc_job (fix_latest_document (fix), name);
  input.job.submitted_us = fix->now_us;
  input.job.deadline_us = deadline_us;
  fix_input (fix, &input);
}

static inline void
fix_job (Fixture *fix, uint64_t id, const char *name)
{
  fix_job_with_deadline (fix, id, name, 0);
}

static inline void
fix_cancel (Fixture *fix, uint64_t id)
{
  CoreInput input = { .type = CORE_IN_CANCEL };

  input.cancelled_job = id;
  fix_input (fix, &input);
}

static inline void
fix_task (Fixture *fix, CoreTaskKey task, uint32_t attempt, const char *worker, CoreTaskEvent event)
{
  CoreInput input = { .type = CORE_IN_TASK };

  input.task.task = task;
  input.task.attempt = attempt;
  input.task.worker = worker;
  input.task.event = event;
  fix_input (fix, &input);
}

/* Reports @p event for the task, attempt and instance of a command. The command must stay valid
 * until the next tick. */
static inline void
fix_report_event (Fixture *fix, const CoreCommand *command, CoreTaskEvent event)
{
  fix_task (fix, command->task, command->attempt, command->worker, event);
}

static inline void
fix_service_report (Fixture *fix, const char *worker, int64_t p99_us, int64_t age_ms)
{
  CoreInput input = { .type = CORE_IN_SERVICE };

  input.service.worker = worker;
  input.service.service = "mixdesk";
  input.service.p99_us = p99_us;
  input.service.load_permille = 400;
  input.service.measured_us = fix->now_us - age_ms * CLK_US_PER_MS;
  fix_input (fix, &input);
}

/* Counts the commands of @p list with @p type and, unless it is CORE_REASON_COUNT, with @p why. */
static inline guint
fix_count (const GArray *list, CoreCommandType type, CoreReason why)
{
  guint n = 0;

  for (guint i = 0; i < list->len; i++)
    {
      const CoreCommand *command = &g_array_index (list, CoreCommand, i);
      if (command->type == type && (why == CORE_REASON_COUNT || command->why == why))
        n++;
    }
  return n;
}

/* Copies the last command of @p type for a task of @p job (0: any). Aborts if there is none. */
static inline CoreCommand
fix_last (const GArray *list, CoreCommandType type, uint64_t job)
{
  for (guint i = list->len; i > 0; i--)
    {
      const CoreCommand *command = &g_array_index (list, CoreCommand, i - 1);
      if (command->type == type && (job == 0 || command->task.job == job))
        return *command;
    }
  g_error ("no command %s for job %" G_GUINT64_FORMAT, core_command_name (type), job);
}
