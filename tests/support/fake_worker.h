/**
 * @file fake_worker.h
 * Stand-in of a worker's task interface: tasks are timers, over HTTP on 127.0.0.1.
 *
 * A task's progress, its end and the end of its lease are worked out when a call comes, at the
 * times at which they happened.
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
  int64_t fail_after_ms; /**< run time after which a job named *fail* fails; 0: it doesn't */
} FakeWorkerOptions;

/** Starts the service; NULL when the port is taken. */
FakeWorker *fake_worker_new (const FakeWorkerOptions *options);
void fake_worker_free (FakeWorker *worker);

FakeHttp *fake_worker_http (FakeWorker *worker);
uint16_t fake_worker_port (const FakeWorker *worker);

G_END_DECLS
