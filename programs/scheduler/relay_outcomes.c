#include "relay_outcomes.h"

#include "batch/ledger.pb-c.h"
#include "common/clk.h"
#include "common/line.h"

/** The queue of a link is emptied within a few ms, unless its peer is gone. */
#define RETRY_MS 20
/** Most outcomes kept: those of 30 entries with 100 records each. Entries whose outcomes are
 * dropped append the records themselves. */
#define KEPT_MAX 4096

typedef struct
{
  GBytes *peer;
  char *key;
  OutboxResult result;
  int64_t offset;
  int64_t until_us; /**< the peer does not wait for it any longer than this */
} Unsent;

struct RelayOutcomes
{
  NetLink *server;
  const StorePace *pace;
  GQueue unsent; /**< Unsent, owned, oldest first */
  guint timer;
};

static void
unsent_free (gpointer data)
{
  Unsent *unsent = data;

  g_bytes_unref (unsent->peer);
  g_free (unsent->key);
  g_free (unsent);
}

RelayOutcomes *
relay_outcomes_new (NetLink *server, const StorePace *pace)
{
  RelayOutcomes *outcomes = g_new0 (RelayOutcomes, 1);

  outcomes->server = server;
  outcomes->pace = pace;
  g_queue_init (&outcomes->unsent);
  return outcomes;
}

void
relay_outcomes_free (RelayOutcomes *outcomes)
{
  if (outcomes == NULL)
    return;
  g_clear_handle_id (&outcomes->timer, g_source_remove);
  g_queue_clear_full (&outcomes->unsent, unsent_free);
  g_free (outcomes);
}

static gboolean
try_send (const RelayOutcomes *outcomes, const Unsent *unsent)
{
  Batch__Relay answer = BATCH__RELAY__INIT;
  Batch__Fate fate = BATCH__FATE__INIT;

  fate.key = unsent->key;
  fate.result = (uint32_t) unsent->result;
  fate.offset = unsent->offset;
  fate.append_ms
      = (uint32_t) MIN (store_pace_answered_ms (outcomes->pace, clk_now_us ()), G_MAXINT32);
  answer.what_case = BATCH__RELAY__WHAT_FATE;
  answer.fate = &fate;
  size_t size = batch__relay__get_packed_size (&answer);
  g_autofree uint8_t *bytes = g_malloc (size);
  (void) batch__relay__pack (&answer, bytes);
  return net_link_send (outcomes->server, unsent->peer, bytes, size) == NET_LINK_SENT;
}

static gboolean
on_retry (gpointer data)
{
  RelayOutcomes *outcomes = data;
  int64_t now = clk_now_us ();

  /* All are tried: one peer's full queue does not hold up the outcomes of others. */
  for (guint n_left = outcomes->unsent.length; n_left > 0; n_left--)
    {
      Unsent *unsent = g_queue_pop_head (&outcomes->unsent);
      if (now < unsent->until_us && !try_send (outcomes, unsent))
        g_queue_push_tail (&outcomes->unsent, unsent);
      else
        unsent_free (unsent);
    }
  if (outcomes->unsent.length > 0)
    return G_SOURCE_CONTINUE;
  outcomes->timer = 0;
  return G_SOURCE_REMOVE;
}

void
relay_outcomes_send (
    RelayOutcomes *outcomes, GBytes *peer, const char *key, OutboxResult result, int64_t offset)
{
  Unsent *unsent = g_new (Unsent, 1);

  *unsent = (Unsent){ g_bytes_ref (peer), g_strdup (key), result, offset,
                      clk_now_us () + RELAY_WRITE_TIMEOUT_MS * CLK_US_PER_MS };
  if (try_send (outcomes, unsent))
    {
      unsent_free (unsent);
      return;
    }
  if (outcomes->unsent.length >= KEPT_MAX)
    {
      line_add ("relay", "outcome_dropped", "key=%s kept=%u", key, outcomes->unsent.length);
      unsent_free (unsent);
      return;
    }
  g_queue_push_tail (&outcomes->unsent, unsent);
  if (outcomes->timer == 0)
    outcomes->timer = g_timeout_add (RETRY_MS, on_retry, outcomes);
}
