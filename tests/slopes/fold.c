#include "slopes/slopes.h"

#include "common/ids.h"
#include "state/fold.h"

#define JOBS 20000
#define TASKS_PER_JOB 12
#define INTENTS 50000
#define ANSWER_BYTES 256

/** Writer of a log whose records are folded as they are written. */
typedef struct
{
  Fold *fold;
  int64_t offset;
  int64_t time_ms;
  double bytes;
  double cpu_us;
} Writer;

static void
append_record (Writer *writer, Record__Record *record)
{
  IdsId id = ids_new ();

  record->id_high = id.high;
  record->id_low = id.low;
  record->writer = "entry-quito-norte-1";
  record->wall_ms = writer->time_ms;
  size_t size = record__record__get_packed_size (record);
  g_autofree uint8_t *data = g_malloc (size);
  (void) record__record__pack (record, data);
  double start_us = slopes_cpu_us ();
  FoldResult result = fold_apply (writer->fold, writer->offset, writer->time_ms, data, size);
  writer->cpu_us += slopes_cpu_us () - start_us;
  if (result != FOLD_APPLIED)
    g_error ("record %" G_GINT64_FORMAT " was not applied: %d", writer->offset, (int) result);
  writer->offset++;
  writer->time_ms++;
  writer->bytes += (double) size;
}

static void
put_claim (Writer *writer)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Entry entry = RECORD__ENTRY__INIT;
  Record__Claim claim = RECORD__CLAIM__INIT;

  entry.entry = "entry-quito-norte-1";
  entry.incarnation = 1;
  entry.data_centre = "quito-norte";
  entry.wire_address = "tcp://10.10.10.10:7001";
  record.body_case = RECORD__RECORD__BODY_ENTRY;
  record.entry = &entry;
  append_record (writer, &record);
  claim.epoch = 1;
  claim.entry = "entry-quito-norte-1";
  claim.incarnation = 1;
  record.body_case = RECORD__RECORD__BODY_CLAIM;
  record.claim = &claim;
  append_record (writer, &record);
}

static void
put_job (Writer *writer, uint64_t id)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Job job = RECORD__JOB__INIT;
  static const char definition[]
      = "[job.master-render]\nteam = \"default\"\nclass = \"render\"\ntasks = 12\n"
        "cpu_milli = 3000\nmemory_mb = 6144\nrun_ms = 1200000\ncheckpoint_ms = 30000\n";

  job.job = id;
  job.name = "master-render";
  job.submitter = "studio";
  job.submitted_ms = writer->time_ms;
  job.tasks = TASKS_PER_JOB;
  job.definition = (ProtobufCBinaryData){ sizeof definition - 1, (uint8_t *) definition };
  record.body_case = RECORD__RECORD__BODY_JOB;
  record.job = &job;
  append_record (writer, &record);
}

/* Ends all tasks of a job except the last, so that the fold keeps the job. */
static void
put_task_ends (Writer *writer, uint64_t id)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__TaskBatch batch = RECORD__TASK_BATCH__INIT;
  Record__TaskOutcome rows[TASKS_PER_JOB];
  Record__TaskOutcome *list[TASKS_PER_JOB];

  for (uint32_t i = 0; i + 1 < TASKS_PER_JOB; i++)
    {
      record__task_outcome__init (&rows[i]);
      rows[i].job = id;
      rows[i].index = i;
      rows[i].attempt = 1;
      rows[i].state = RECORD__TASK_END__END_DONE;
      rows[i].progress_ms = 1200000;
      list[i] = &rows[i];
    }
  batch.epoch = 1;
  batch.n_outcomes = TASKS_PER_JOB - 1;
  batch.outcomes = list;
  record.body_case = RECORD__RECORD__BODY_TASKS;
  record.tasks = &batch;
  append_record (writer, &record);
}

static void
put_once (Writer *writer, uint32_t index)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Intent intent = RECORD__INTENT__INIT;
  Record__Outcome outcome = RECORD__OUTCOME__INIT;
  char key[IDS_TEXT_SIZE];
  uint8_t body[ANSWER_BYTES] = { 0 };

  (void) g_snprintf (key, sizeof key, "%032x", index);
  intent.tenant = "zinsverbund";
  intent.key = key;
  intent.service = "zinspost";
  intent.request_digest = index;
  intent.request_high = intent.request_low = index + 1;
  intent.attempt = 1;
  intent.agent = "agent-wien-ost-123";
  intent.agent_incarnation = 1;
  intent.dated_ms = writer->time_ms;
  record.body_case = RECORD__RECORD__BODY_INTENT;
  record.intent = &intent;
  append_record (writer, &record);
  outcome.tenant = intent.tenant;
  outcome.key = key;
  outcome.attempt = 1;
  outcome.status = 200;
  outcome.content_type = "application/json";
  outcome.body = (ProtobufCBinaryData){ sizeof body, body };
  outcome.length = sizeof body;
  outcome.body_digest = ids_hash (body, sizeof body);
  outcome.body_held = TRUE;
  record.body_case = RECORD__RECORD__BODY_OUTCOME;
  record.outcome = &outcome;
  append_record (writer, &record);
}

static void
print_since (const Writer *writer, const Writer *before, double heap, const char *name, double n)
{
  g_autofree char *cpu = g_strdup_printf ("fold.%s_cpu", name);
  g_autofree char *log = g_strdup_printf ("fold.%s_log", name);
  g_autofree char *memory = g_strdup_printf ("fold.%s_memory", name);

  slopes_print (cpu, (writer->cpu_us - before->cpu_us) / n, "us");
  slopes_print (log, (writer->bytes - before->bytes) / n, "bytes");
  slopes_print (memory, (slopes_heap_bytes () - heap) / n, "bytes");
}

static void
print_snapshot (const Writer *writer, const FoldOptions *options, const char *name, double n)
{
  double start_us = slopes_cpu_us ();
  g_autoptr (GBytes) snapshot = fold_snapshot (writer->fold);
  double written_us = slopes_cpu_us ();
  gsize size = 0;
  const uint8_t *data = g_bytes_get_data (snapshot, &size);
  g_autoptr (GError) error = NULL;
  Fold *loaded = fold_from_snapshot (options, data, size, &error);
  g_autofree char *bytes = g_strdup_printf ("snapshot.%s_bytes", name);
  g_autofree char *write = g_strdup_printf ("snapshot.%s_write_cpu", name);
  g_autofree char *load = g_strdup_printf ("snapshot.%s_load_cpu", name);

  if (loaded == NULL)
    g_error ("%s", error->message);
  slopes_print (bytes, (double) size / n, "bytes");
  slopes_print (write, (written_us - start_us) / n, "us");
  slopes_print (load, (slopes_cpu_us () - written_us) / n, "us");
  fold_free (loaded);
}

static Writer
new_writer (const FoldOptions *options)
{
  Writer writer = { .fold = fold_new (options), .time_ms = 1000000 };

  put_claim (&writer);
  return writer;
}

static void
measure_jobs (const FoldOptions *options)
{
  Writer writer = new_writer (options);
  Writer before = writer;
  double heap = slopes_heap_bytes ();

  for (uint64_t i = 0; i < JOBS; i++)
    put_job (&writer, i + 1);
  print_since (&writer, &before, heap, "job", JOBS);
  heap = slopes_heap_bytes ();
  before = writer;
  for (uint64_t i = 0; i < JOBS; i++)
    put_task_ends (&writer, i + 1);
  print_since (&writer, &before, heap, "task_end", (double) JOBS * (TASKS_PER_JOB - 1));
  print_snapshot (&writer, options, "job", JOBS);
  fold_free (writer.fold);
}

static void
measure_once (const FoldOptions *options)
{
  Writer writer = new_writer (options);
  Writer before = writer;
  double heap = slopes_heap_bytes ();

  for (uint32_t i = 0; i < INTENTS; i++)
    put_once (&writer, i);
  print_since (&writer, &before, heap, "once", INTENTS);
  print_snapshot (&writer, options, "once", INTENTS);
  fold_free (writer.fold);
}

void
slopes_fold (void)
{
  FoldOptions options = { .key_window_ms = 86400000,
                          .answer_bytes_max = 65536,
                          .id_window_ms = 86400000,
                          .shards = 1,
                          .history_max = 100 };

  measure_jobs (&options);
  measure_once (&options);
}
