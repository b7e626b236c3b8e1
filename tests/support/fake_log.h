/**
 * @file fake_log.h
 * Stand-in of the platform's log service: streams in memory, over HTTP on 127.0.0.1.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "support/fake_http.h"

G_BEGIN_DECLS

typedef struct FakeLog FakeLog;

typedef struct
{
  uint16_t port;             /**< 0: any free port */
  int64_t retention_records; /**< newest records kept of each stream; 0: all */
  int64_t append_delay_ms;   /**< each append takes this long; appends go one after another */
  int64_t record_delay_ms;   /**< each record of an append adds this */
} FakeLogOptions;

/** Starts the service; NULL when the port is taken. */
FakeLog *fake_log_new (const FakeLogOptions *options);
void fake_log_free (FakeLog *log);

FakeHttp *fake_log_http (FakeLog *log);
uint16_t fake_log_port (const FakeLog *log);

/** Number of records ever appended to @p stream, and of append calls that took effect. */
int64_t fake_log_end (FakeLog *log, const char *stream);
uint64_t fake_log_appends (FakeLog *log);

/** Appends @p record as if by another process; faults don't touch it. */
void fake_log_put (FakeLog *log, const char *stream, GBytes *record);

/** Drops all records of @p stream below @p first_kept. */
void fake_log_expire (FakeLog *log, const char *stream, int64_t first_kept);

G_END_DECLS
