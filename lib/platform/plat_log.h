/**
 * @file plat_log.h
 * Client of the platform's log service. docs/PLATFORM.md has the protocol.
 *
 * A client keeps one connection and belongs to one thread; its calls block up to its time-outs.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define PLAT_LOG_RECORD_MAX (512 * 1024)

typedef struct PlatLog PlatLog;

typedef struct
{
  const char *host; /**< IP number */
  uint16_t port;
  int64_t connect_ms;
  int64_t read_ms;
} PlatLogOptions;

typedef struct
{
  int64_t offset;
  int64_t time_ms; /**< the service's clock when it took the record */
  GBytes *data;
} PlatLogRecord;

typedef struct
{
  GArray *records; /**< PlatLogRecord, in offset order */
  int64_t next_offset;
  int64_t end_offset; /**< offset after the newest record of the stream */
  int64_t first_kept; /**< oldest offset still held */
} PlatLogPage;

PlatLog *plat_log_new (const PlatLogOptions *options);
void plat_log_free (PlatLog *log);

/**
 * Appends @p records (GBytes) in one call, all or nothing; @p first_offset may be NULL. Kinds:
 * #ERR_REFUSED and #ERR_LOG_DOWN: certainly not appended; #ERR_TIMEOUT and #ERR_PROTOCOL: may have
 * been; #ERR_TOO_LARGE, #ERR_BAD_REQUEST: never will be.
 */
gboolean plat_log_append (PlatLog *log,
                          const char *stream,
                          const GPtrArray *records,
                          int64_t *first_offset,
                          GError **error);

/**
 * Reads up to @p max_records from offset @p from, waiting up to @p wait_ms for the first. An empty
 * page is no error. #ERR_GAP when @p from has expired. Free with plat_log_page_free().
 */
PlatLogPage *plat_log_read (PlatLog *log,
                            const char *stream,
                            int64_t from,
                            uint32_t max_records,
                            int64_t wait_ms,
                            GError **error);

/** Oldest offset held and offset after the newest record. */
gboolean plat_log_bounds (
    PlatLog *log, const char *stream, int64_t *first_kept, int64_t *end_offset, GError **error);

void plat_log_page_free (PlatLogPage *page);

G_END_DECLS
