#ifndef BP_CLIENTS_LOGDECODE_H
#define BP_CLIENTS_LOGDECODE_H

#include "bulrushpost/logclient.h"

#define BP_LOG_RECORD_MAX_BYTES 65536 /* limit of the log service */
#define BP_LOG_FRAME_BYTES 12 /* header: offset and length */

int bp_log_decode_append(
    uint64_t *offset, const uint8_t *json, size_t size_bytes, bp_error_t *err);
int bp_log_decode_bounds(
    bp_log_batch_t *out, const char *first, const char *head, bp_error_t *err);
int bp_log_decode_records(bp_log_batch_t *out, uint64_t from, uint32_t max,
    const uint8_t *bytes, size_t size_bytes, bp_error_t *err);

#endif
