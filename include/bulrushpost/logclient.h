#ifndef BULRUSHPOST_LOGCLIENT_H
#define BULRUSHPOST_LOGCLIENT_H

#include "bulrushpost/error.h"

#include <stdint.h>

/* Client of the log service over HTTP; see docs/design.md, section 6. */
typedef struct bp_logclient bp_logclient_t;

typedef struct {
	const char *url;
	uint32_t timeout_ms; /* per append or read, in addition to wait_ms */
} bp_logclient_options_t;

typedef struct {
	uint64_t offset;
	const uint8_t *bytes;
	size_t size_bytes;
} bp_log_record_t;

typedef struct {
	bp_log_record_t *records;
	size_t count;
	uint64_t first_offset; /* oldest retained offset */
	uint64_t head_offset; /* offset of the next record */
} bp_log_batch_t;

typedef void (*bp_append_cb_t)(
    uint64_t offset, const bp_error_t *err, void *data);
typedef void (*bp_read_cb_t)(
    const bp_log_batch_t *batch, const bp_error_t *err, void *data);

int bp_logclient_options_init(bp_logclient_options_t *options);
int bp_logclient_new(bp_logclient_t **out,
    const bp_logclient_options_t *options, bp_error_t *err);
/* Cancels all calls; no callback runs afterwards. */
void bp_logclient_free(bp_logclient_t *client);
void bp_logclient_append(bp_logclient_t *client, const char *stream,
    const uint8_t *record, size_t size_bytes, bp_append_cb_t done, void *data);
/* Cancels the calls made with data without running their callbacks. */
void bp_logclient_cancel(bp_logclient_t *client, const void *data);
/*
 * err is BP_EEXPIRED if from is below the oldest retained offset; the batch
 * then holds first and head only. With any other err the batch is NULL.
 */
void bp_logclient_read(bp_logclient_t *client, const char *stream,
    uint64_t from, uint32_t max, uint32_t wait_ms, bp_read_cb_t done,
    void *data);

#endif
