#include "core/tables.h"

#include <string.h>

#define CONFIG_POLICY_DEFAULT                                                                      \
  {                                                                                                \
    .tail_weight = 1, .batch_weight = 1, .eviction_weight = 1, .evictions_per_minute = 6,          \
    .cooldown_ms = 60000, .report_lag_ms = 30000, .urgent_start_ms = 1100, .starts_per_tick = 100, \
    .retry_percent = 10                                                                            \
  }

static Sel *
copy_selector (const Sel *sel)
{
  return sel != NULL ? sel_parse (sel_text (sel), NULL) : NULL;
}

static void
rule_free (void *data)
{
  CoreRule *rule = data;

  g_free (rule->name);
  sel_free (rule->work);
  sel_free (rule->instances);
  sel_free (rule->beside);
  g_free (rule);
}

static void
label_free (void *data)
{
  DocLabel *label = data;

  sel_free (label->instances);
  g_free (label->key);
  g_free (label->value);
  g_free (label);
}

void
config_clear (CoreConfig *config)
{
  if (config->rules != NULL)
    g_ptr_array_free (config->rules, TRUE);
  if (config->label_rules != NULL)
    {
      g_ptr_array_free (config->label_rules->labels, TRUE);
      g_free (config->label_rules);
    }
  config->rules = NULL;
  config->label_rules = NULL;
}

static void
copy_rules (CoreConfig *config, const DocDocument *document)
{
  config->rules = g_ptr_array_new_with_free_func (rule_free);
  config->has_spread = FALSE;
  for (guint i = 0; document != NULL && i < document->rules->len; i++)
    {
      const DocRule *from = g_ptr_array_index (document->rules, i);
      CoreRule *rule = g_new0 (CoreRule, 1);
      rule->name = g_strdup (from->name);
      rule->effect = from->effect;
      config->has_spread = config->has_spread || from->effect == DOC_APART;
      rule->work = copy_selector (from->work);
      rule->instances = copy_selector (from->instances);
      rule->beside = copy_selector (from->beside);
      rule->spread = from->spread;
      rule->max_each = from->max_each;
      g_ptr_array_add (config->rules, rule);
    }
}

static void
copy_label_rules (CoreConfig *config, const DocDocument *document)
{
  config->label_rules = g_new0 (DocDocument, 1);
  config->label_rules->labels = g_ptr_array_new_with_free_func (label_free);
  for (guint i = 0; document != NULL && i < document->labels->len; i++)
    {
      const DocLabel *from = g_ptr_array_index (document->labels, i);
      DocLabel *label = g_new0 (DocLabel, 1);
      label->instances = copy_selector (from->instances);
      label->key = g_strdup (from->key);
      label->value = g_strdup (from->value);
      g_ptr_array_add (config->label_rules->labels, label);
    }
}

static void
load_services (Core *core, const DocDocument *document)
{
  for (guint i = 0; i < core->services->len; i++)
    {
      CoreService *service = tables_service_row (core, i);
      service->size = (DocSize){ 0 };
      service->target_us = 0;
    }
  for (guint i = 0; document != NULL && i < document->services->len; i++)
    {
      const DocService *from = g_ptr_array_index (document->services, i);
      CoreService *service = tables_service_row (core, tables_service (core, from->name));
      service->size = from->size;
      service->target_us = from->target_p99_us;
      lab_free (service->labels);
      service->labels = lab_copy (from->labels);
    }
}

static void
load_teams (Core *core, const DocDocument *document)
{
  for (guint i = 0; i < core->teams->len; i++)
    {
      CoreTeam *team = tables_team_row (core, i);
      team->quota = (DocSize){ 0 };
      team->weight = 1;
    }
  for (guint i = 0; document != NULL && i < document->teams->len; i++)
    {
      const DocTeam *from = g_ptr_array_index (document->teams, i);
      CoreTeam *team = tables_team_row (core, tables_team (core, from->name));
      team->quota = from->quota;
      team->weight = from->weight;
    }
}

void
config_load (Core *core, const DocDocument *document)
{
  static const DocPolicy fallback = CONFIG_POLICY_DEFAULT;
  CoreConfig *config = &core->config;

  config_clear (config);
  copy_rules (config, document);
  copy_label_rules (config, document);
  config->policy = document != NULL ? document->policy : fallback;
  load_services (core, document);
  load_teams (core, document);
  core->generation++;
  config->generation = core->generation;
  for (guint i = 0; i < core->workers->len; i++)
    {
      CoreWorker *worker = tables_worker_row (core, i);
      if (worker->state == WORKER_GONE)
        continue;
      rules_label_worker (core, worker);
      tables_grant_endpoints (core, worker);
    }
}
