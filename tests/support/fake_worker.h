/**
 * @file fake_worker.h
 * Stand-in of a worker's task interface over HTTP on 127.0.0.1; its tasks are timers.
 *
 * Progress, ends and lease expiry of tasks are computed lazily when a call arrives, and carry the
 * times at which they would have happened.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"
#include "support/fake_http.h"

G_BEGIN_DECLS

typedef struct FakeWorker FakeWorker;

typedef struct
{
  uint16_t port; /**< 0: any free port */
  DocSize capacity;
  int64_t usage_lag_ms;
  int64_t fail_after_ms; /**< run time after which tasks of jobs named *fail* fail; 0: never */
} FakeWorkerOptions;

/** Starts the service. Returns NULL when the port is in use. */
FakeWorker *fake_worker_new (const FakeWorkerOptions *options);
void fake_worker_free (FakeWorker *worker);

FakeHttp *fake_worker_http (FakeWorker *worker);
uint16_t fake_worker_port (const FakeWorker *worker);

G_END_DECLS
