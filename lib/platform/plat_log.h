/**
 * @file plat_log.h
 * Client of the platform's log service. docs/PLATFORM.md has the protocol.
 *
 * A client keeps one connection and must be used from one thread only. Its calls block for up to
 * its time-outs.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define PLAT_LOG_RECORD_MAX (512 * 1024)

typedef struct PlatLog PlatLog;

typedef struct
{
  const char *host; /**< IP address */
  uint16_t port;
  int64_t connect_ms;
  int64_t read_ms;
} PlatLogOptions;

typedef struct
{
  int64_t offset;
  int64_t time_ms; /**< the service's clock when it accepted the record */
  GBytes *data;
} PlatLogRecord;

typedef struct
{
  GArray *records; /**< PlatLogRecord, in offset order */
  int64_t next_offset;
  int64_t end_offset; /**< offset after the newest record of the stream */
  int64_t first_kept; /**< oldest offset still retained */
} PlatLogPage;

PlatLog *plat_log_new (const PlatLogOptions *options);
void plat_log_free (PlatLog *log);

/**
 * Appends @p records (GBytes) atomically; @p first_offset may be NULL. Error kinds: #ERR_REFUSED
 * and #ERR_LOG_DOWN: certainly not appended; #ERR_TIMEOUT and #ERR_PROTOCOL: may have been
 * appended; #ERR_TOO_LARGE and #ERR_BAD_REQUEST: not appended, and a retry would fail as well.
 */
gboolean plat_log_append (PlatLog *log,
                          const char *stream,
                          const GPtrArray *records,
                          int64_t *first_offset,
                          GError **error);

/**
 * Reads up to @p max_records from offset @p from, waiting up to @p wait_ms for the first one. An
 * empty page is not an error. Fails with #ERR_GAP when the record at @p from has expired. Free with
 * plat_log_page_free().
 */
PlatLogPage *plat_log_read (PlatLog *log,
                            const char *stream,
                            int64_t from,
                            uint32_t max_records,
                            int64_t wait_ms,
                            GError **error);

/** Reads the oldest retained offset and the offset after the newest record. */
gboolean plat_log_bounds (
    PlatLog *log, const char *stream, int64_t *first_kept, int64_t *end_offset, GError **error);

void plat_log_page_free (PlatLogPage *page);

G_END_DECLS
