#include "entry/inputs.h"

#include "common/ids.h"

#define CHUNK_BYTES 4096
#define PERMILLE 1000

static void
labels_free (void *data)
{
  lab_free (data);
}

Inputs *
inputs_new (void)
{
  Inputs *inputs = g_new0 (Inputs, 1);

  inputs->rows = g_array_new (FALSE, TRUE, sizeof (CoreInput));
  inputs->texts = g_string_chunk_new (CHUNK_BYTES);
  inputs->labels = g_ptr_array_new_with_free_func (labels_free);
  inputs->arrays = g_ptr_array_new_with_free_func (g_free);
  return inputs;
}

void
inputs_free (Inputs *inputs)
{
  if (inputs == NULL)
    return;
  g_array_free (inputs->rows, TRUE);
  g_string_chunk_free (inputs->texts);
  g_ptr_array_free (inputs->labels, TRUE);
  g_ptr_array_free (inputs->arrays, TRUE);
  g_free (inputs);
}

const char *
inputs_keep (Inputs *inputs, const char *text)
{
  return text != NULL ? g_string_chunk_insert (inputs->texts, text) : NULL;
}

static const char *const *
service_names (Inputs *inputs, const MembersAgent *agent)
{
  const char **names = g_new0 (const char *, agent->endpoints->len + 1);
  guint count = 0;

  for (guint i = 0; i < agent->endpoints->len; i++)
    {
      const MembersEndpoint *endpoint = g_ptr_array_index (agent->endpoints, i);
      if (endpoint->is_listed)
        names[count++] = inputs_keep (inputs, endpoint->service);
    }
  g_ptr_array_add (inputs->arrays, names);
  return names;
}

void
inputs_worker (Inputs *inputs, const MembersAgent *agent)
{
  CoreInput input = { .type = CORE_IN_WORKER };
  LabSet *labels = lab_copy (agent->labels);

  g_ptr_array_add (inputs->labels, labels);
  input.worker.id = inputs_keep (inputs, agent->name);
  input.worker.incarnation = agent->incarnation;
  input.worker.data_centre = inputs_keep (inputs, agent->data_centre);
  input.worker.rack = inputs_keep (inputs, agent->rack);
  input.worker.labels = labels;
  input.worker.capacity = agent->capacity;
  input.worker.services = service_names (inputs, agent);
  g_array_append_val (inputs->rows, input);
}

void
inputs_worker_end (Inputs *inputs, const char *agent, CoreInputType type)
{
  CoreInput input = { .type = type };

  input.worker_id = inputs_keep (inputs, agent);
  g_array_append_val (inputs->rows, input);
}

void
inputs_services (Inputs *inputs, const MembersAgent *agent)
{
  for (guint i = 0; i < agent->endpoints->len; i++)
    {
      const MembersEndpoint *endpoint = g_ptr_array_index (agent->endpoints, i);
      CoreInput input = { .type = CORE_IN_SERVICE };
      if (!endpoint->is_listed)
        continue;
      input.service.worker = inputs_keep (inputs, agent->name);
      input.service.service = inputs_keep (inputs, endpoint->service);
      input.service.p99_us = endpoint->p99_us;
      input.service.load_permille = endpoint->running * PERMILLE / MAX (endpoint->slots, 1);
      input.service.measured_us = endpoint->measured_us;
      g_array_append_val (inputs->rows, input);
    }
}

CoreInput *
inputs_task (Inputs *inputs, CoreTaskKey task, uint32_t attempt, CoreTaskEvent event)
{
  CoreInput input = { .type = CORE_IN_TASK };

  input.task.task = task;
  input.task.attempt = attempt;
  input.task.event = event;
  g_array_append_val (inputs->rows, input);
  return &g_array_index (inputs->rows, CoreInput, inputs->rows->len - 1);
}

uint64_t
inputs_signature (const MembersAgent *agent)
{
  g_autofree char *labels = lab_print (agent->labels);
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "%s\n%s\n%s\n%" G_GINT64_FORMAT "\n%" G_GINT64_FORMAT "\n%" G_GINT64_FORMAT,
                   agent->data_centre, agent->rack, labels, agent->capacity.cpu_milli,
                   agent->capacity.memory_mb, agent->capacity.accelerators);
  for (guint i = 0; i < agent->endpoints->len; i++)
    {
      const MembersEndpoint *endpoint = g_ptr_array_index (agent->endpoints, i);
      if (endpoint->is_listed)
        g_string_append_printf (text, "\n%s", endpoint->service);
    }
  uint64_t signature = ids_hash_text (text->str);
  g_string_free (text, TRUE);
  return signature;
}
