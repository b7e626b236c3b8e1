/**
 * @file fuzz_users.c
 * Decodes arbitrary bytes as each kind of body that the users' platform sends, and as a ledger
 * record.
 */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "ledger/ledger.h"
#include "platform/caller.h"
#include "platform/operator.h"
#include "platform/runner.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                            size_t size);

static void
decode_bodies (const char *body, size_t size)
{
  g_autoptr (JobSpec) spec = caller_decode_job (body, size, NULL);
  g_autoptr (QueueConfig) config = operator_decode_config (body, size, NULL);
  g_autoptr (WorkerInfo) info = runner_decode_report ("i", body, size, NULL);
  g_autofree char *path = g_strndup (body, size);

  if (spec != NULL)
    g_assert (spec->steps->len > 0);
  if (config != NULL)
    (void) queue_config_route (config, "h", path);
  if (info != NULL)
    g_assert (info->labels != NULL);
}

static void
fold_records (const uint8_t *data, size_t size)
{
  static const char *const keys[] = { "job.00000000000000aa",
                                      "run.00000000000000aa",
                                      "cancel.00000000000000aa",
                                      "owner",
                                      "agent.a",
                                      "learned",
                                      "silent" };
  const LedgerEvents events = { 0 };
  Ledger *ledger = ledger_new (&events);

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    (void) ledger_apply (ledger, (int64_t) i, keys[i], strlen (keys[i]), data, size);
  (void) ledger_apply (ledger, 9, (const char *) data, size, data, size);
  ledger_free (ledger);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                        size_t size)
{
  decode_bodies ((const char *) data, size);
  fold_records (data, size);
  return 0;
}
