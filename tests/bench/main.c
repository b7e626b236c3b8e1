#include <argtable2.h>
#include <glib/gstdio.h>
#include <stdlib.h>

#include "bench/bench.h"

#define MAIN_SEEDS 20
#define MAIN_SHORT_SEEDS 1
#define MAIN_THREADS 4
#define MAIN_SCALE_MAX 11000
#define MAIN_FOLDER_MODE 0777

void
bench_target (BenchTargets *targets, gboolean is_met, const char *format, ...)
{
  va_list args;

  targets->all++;
  if (is_met)
    {
      targets->met++;
      return;
    }
  va_start (args, format);
  g_string_append (targets->missed, "missed: ");
  g_string_append_vprintf (targets->missed, format, args);
  g_string_append_c (targets->missed, '\n');
  va_end (args);
}

FILE *
bench_open (const BenchOptions *options, const char *name)
{
  if (options->out == NULL)
    return NULL;
  g_autofree char *path = g_build_filename (options->out, name, NULL);
  FILE *file = g_fopen (path, "w");
  if (file == NULL)
    (void) fprintf (stderr, "acacia-bench: can't write %s\n", path);
  return file;
}

double
bench_quantile (double *values, guint n, double q)
{
  for (guint i = 1; i < n; i++)
    {
      double value = values[i];
      guint at = i;
      for (; at > 0 && values[at - 1] > value; at--)
        values[at] = values[at - 1];
      values[at] = value;
    }
  return n > 0 ? values[MIN ((guint) (q * n), n - 1)] : 0;
}

static void
run_one (void *data, void *ctx)
{
  BenchJob *job = data;

  (void) ctx;
  run_case (&job->bench, job->site, &job->policy, job->seed, &job->result);
}

void
bench_run_all (GArray *jobs, uint32_t threads)
{
  GThreadPool *pool = g_thread_pool_new (run_one, NULL, (gint) threads, TRUE, NULL);

  for (guint i = 0; i < jobs->len; i++)
    (void) g_thread_pool_push (pool, &g_array_index (jobs, BenchJob, i), NULL);
  g_thread_pool_free (pool, FALSE, TRUE);
}

static void
run_all (const BenchOptions *options)
{
  BenchTargets targets = { .missed = g_string_new (NULL) };

  compare_run (options, &targets);
  if (options->only_case == NULL)
    {
      mechanisms_run (options);
      routing_run (options, &targets);
      scale_run (options, &targets);
      fleet_run (options, &targets);
    }
  (void) fputs (targets.missed->str, stdout);
  (void) printf ("bench: %u of %u targets met\n", targets.met, targets.all);
  g_string_free (targets.missed, TRUE);
}

int
main (int argc, char **argv)
{
  struct arg_lit *is_short = arg_lit0 (NULL, "short", "use one seed; takes less than a minute");
  struct arg_file *out = arg_file0 (NULL, "out", "DIR", "write CSV files and gnuplot scripts");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "number of seeds for each case");
  struct arg_int *threads = arg_int0 (NULL, "threads", "N", "number of concurrent runs");
  struct arg_str *only = arg_str0 (NULL, "case", "NAME", "run only this case");
  struct arg_int *scale
      = arg_int0 (NULL, "scale", "N", "largest number of instances in the size measurement");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { is_short, out, seeds, threads, only, scale, help, end };
  int status = EXIT_SUCCESS;

  int n_errors = arg_parse (argc, argv, table);
  if (help->count > 0 || n_errors > 0)
    {
      arg_print_errors (stderr, end, "acacia-bench");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-18s %s\n");
      status = n_errors > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
    }
  else
    {
      BenchOptions options = { .seeds = is_short->count > 0 ? MAIN_SHORT_SEEDS : MAIN_SEEDS,
                               .threads = MAIN_THREADS,
                               .scale_max = MAIN_SCALE_MAX };
      options.out = out->count > 0 ? out->filename[0] : NULL;
      options.only_case = only->count > 0 ? only->sval[0] : NULL;
      options.seeds = seeds->count > 0 ? (uint32_t) MAX (seeds->ival[0], 1) : options.seeds;
      options.threads = threads->count > 0 ? (uint32_t) MAX (threads->ival[0], 1) : options.threads;
      options.scale_max
          = scale->count > 0 ? (uint32_t) MAX (scale->ival[0], 11) : options.scale_max;
      if (options.out != NULL)
        (void) g_mkdir_with_parents (options.out, MAIN_FOLDER_MODE);
      run_all (&options);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
