/**
 * @file fake_log.h
 * In-memory stand-in of the platform's log service, over HTTP on 127.0.0.1.
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
  int64_t retention_records; /**< number of newest records kept per stream; 0: all */
  int64_t append_delay_ms;   /**< duration of each append; appends are serialised */
  int64_t record_delay_ms;   /**< additional duration for each record of an append */
} FakeLogOptions;

/** Starts the service. Returns NULL when the port is in use. */
FakeLog *fake_log_new (const FakeLogOptions *options);
void fake_log_free (FakeLog *log);

FakeHttp *fake_log_http (FakeLog *log);
uint16_t fake_log_port (const FakeLog *log);

/** Returns the end offset of @p stream: the number of records ever appended. */
int64_t fake_log_end (FakeLog *log, const char *stream);
/** Returns the number of append calls that took effect, over all streams. */
uint64_t fake_log_appends (FakeLog *log);

/** Appends @p record as if by another process, bypassing HTTP and faults. */
void fake_log_put (FakeLog *log, const char *stream, GBytes *record);

/** Drops all records of @p stream with offsets below @p first_kept. */
void fake_log_expire (FakeLog *log, const char *stream, int64_t first_kept);

G_END_DECLS
