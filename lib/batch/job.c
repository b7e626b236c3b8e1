#include "batch/job.h"

#include <string.h>

static void
step_free (gpointer data)
{
  JobStep *step = data;

  g_array_unref (step->after);
  g_free (step->label);
  g_free (step->rack);
  g_free (step->image);
  g_free (step);
}

JobSpec *
job_spec_new (void)
{
  JobSpec *spec = g_new0 (JobSpec, 1);

  spec->steps = g_ptr_array_new_with_free_func (step_free);
  return spec;
}

void
job_spec_free (JobSpec *spec)
{
  if (spec == NULL)
    return;
  g_ptr_array_unref (spec->steps);
  g_free (spec->spec);
  g_free (spec);
}

JobStep *
job_spec_add_step (JobSpec *spec)
{
  JobStep *step = g_new0 (JobStep, 1);

  step->after = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_ptr_array_add (spec->steps, step);
  return step;
}

uint32_t
job_spec_occurrences (const JobSpec *spec)
{
  return MAX (spec->n_repeats, 1);
}

uint32_t
job_spec_tasks (const JobSpec *spec)
{
  uint32_t n_tasks = 0;

  for (guint i = 0; i < spec->steps->len; i++)
    n_tasks += ((const JobStep *) g_ptr_array_index (spec->steps, i))->n_tasks;
  return n_tasks;
}

gboolean
job_id_is_valid (const char *id)
{
  if (strlen (id) != JOB_ID_CHARS)
    return FALSE;
  for (const char *at = id; *at != '\0'; at++)
    {
      if (!g_ascii_isxdigit (*at))
        return FALSE;
    }
  return TRUE;
}

static gboolean
parse_number (char **at, uint32_t *value)
{
  char *end = NULL;

  if (**at != '.' || !g_ascii_isdigit ((*at)[1]))
    return FALSE;
  guint64 number = g_ascii_strtoull (*at + 1, &end, 10);
  if (number > G_MAXUINT32)
    return FALSE;
  *value = (uint32_t) number;
  *at = end;
  return TRUE;
}

gboolean
job_task_name_parse (const char *text, JobTaskName *name)
{
  if (strlen (text) < JOB_ID_CHARS)
    return FALSE;
  (void) g_strlcpy (name->job, text, sizeof name->job);
  char *at = (char *) text + JOB_ID_CHARS;
  return job_id_is_valid (name->job) && parse_number (&at, &name->occurrence)
         && parse_number (&at, &name->step) && parse_number (&at, &name->index) && *at == '\0';
}

char *
job_task_name_format (const JobTaskName *name)
{
  return g_strdup_printf ("%s.%u.%u.%u", name->job, name->occurrence, name->step, name->index);
}
