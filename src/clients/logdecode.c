#include "clients/logdecode.h"

#include "clients/jsondoc.h"

#define RESPONSE_MAX_DEPTH 2
#define LENGTH_OFFSET 8 /* offset of the length within a frame */

/* Parses {"offset":n}. Returns BP_EMISMATCH for any other text. */
int
bp_log_decode_append(
    uint64_t *offset, const uint8_t *json, size_t size_bytes, bp_error_t *err)
{
	uint64_t value = UINT64_MAX;
	JsonParser *parser;
	JsonNode *root;
	int rc;

	rc = bp_json_parse(
	    &parser, (const char *)json, size_bytes, RESPONSE_MAX_DEPTH, err);
	if (rc == BP_OK) {
		root = json_parser_get_root(parser);
		rc = bp_json_uint(&value, json_node_get_object(root), "offset",
		    G_MAXINT64, err);
		g_object_unref(parser);
	}
	if (rc != BP_OK || value == UINT64_MAX)
		return bp_error_set(err, BP_EMISMATCH,
		    "the append response has no valid offset");
	*offset = value;
	return BP_OK;
}

/*
 * Sets first and head from the headers X-Log-First and X-Log-Head, which may
 * be NULL. Returns BP_EMISMATCH if one is missing or invalid.
 */
int
bp_log_decode_bounds(
    bp_log_batch_t *out, const char *first, const char *head, bp_error_t *err)
{
	guint64 first_offset;
	guint64 head_offset;

	if (first == NULL || head == NULL ||
	    !g_ascii_string_to_unsigned(
		first, 10, 0, G_MAXINT64, &first_offset, NULL) ||
	    !g_ascii_string_to_unsigned(
		head, 10, 0, G_MAXINT64, &head_offset, NULL) ||
	    first_offset > head_offset)
		return bp_error_set(err, BP_EMISMATCH,
		    "the read response has no valid X-Log-First and "
		    "X-Log-Head");
	out->first_offset = first_offset;
	out->head_offset = head_offset;
	return BP_OK;
}

static uint64_t
read_be(const uint8_t *bytes, size_t count)
{
	uint64_t value = 0;
	size_t i;

	for (i = 0; i < count; i++)
		value = value << 8 | bytes[i];
	return value;
}

/*
 * Returns BP_ETRUNCATED if the bytes end within the frame or its record, and
 * BP_EMISMATCH if the record is too large.
 */
static int
read_frame(bp_log_record_t *out, const uint8_t *bytes, size_t size_bytes,
    bp_error_t *err)
{
	uint64_t length;

	*out = (bp_log_record_t){0};
	if (size_bytes < BP_LOG_FRAME_BYTES)
		return bp_error_set(err, BP_ETRUNCATED,
		    "the read response ends within a frame header");
	length =
	    read_be(bytes + LENGTH_OFFSET, BP_LOG_FRAME_BYTES - LENGTH_OFFSET);
	if (length > BP_LOG_RECORD_MAX_BYTES)
		return bp_error_set(err, BP_EMISMATCH,
		    "a record of %" G_GUINT64_FORMAT " bytes exceeds the limit",
		    length);
	if (length > size_bytes - BP_LOG_FRAME_BYTES)
		return bp_error_set(err, BP_ETRUNCATED,
		    "the read response ends within a record");
	out->offset = read_be(bytes, LENGTH_OFFSET);
	out->bytes = bytes + BP_LOG_FRAME_BYTES;
	out->size_bytes = (size_t)length;
	return BP_OK;
}

static int
check_record(const bp_log_batch_t *batch, const bp_log_record_t *record,
    uint64_t expected, uint32_t max, bp_error_t *err)
{
	if (batch->count >= max)
		return bp_error_set(
		    err, BP_EMISMATCH, "more records than requested");
	if (record->offset != expected || record->offset >= batch->head_offset)
		return bp_error_set(err, BP_EMISMATCH,
		    "offset %" G_GUINT64_FORMAT " instead of %" G_GUINT64_FORMAT
		    ", head %" G_GUINT64_FORMAT,
		    record->offset, expected, batch->head_offset);
	return BP_OK;
}

/*
 * Decodes the frames of a response whose bounds are already in out. Offsets
 * must be consecutive from the requested one, because a record in a gap would
 * never be applied. The records point into bytes; the caller frees
 * out->records with g_free.
 */
int
bp_log_decode_records(bp_log_batch_t *out, uint64_t from, uint32_t max,
    const uint8_t *bytes, size_t size_bytes, bp_error_t *err)
{
	GArray *records;
	size_t at = 0;
	int rc = BP_OK;

	if (from < out->first_offset || from > out->head_offset)
		return bp_error_set(err, BP_EMISMATCH,
		    "offset %" G_GUINT64_FORMAT
		    " is outside of the log, %" G_GUINT64_FORMAT
		    " to %" G_GUINT64_FORMAT,
		    from, out->first_offset, out->head_offset);
	records = g_array_new(FALSE, FALSE, sizeof(bp_log_record_t));
	while (rc == BP_OK && at < size_bytes) {
		bp_log_record_t record;

		rc = read_frame(&record, bytes + at, size_bytes - at, err);
		out->count = records->len;
		if (rc == BP_OK)
			rc = check_record(
			    out, &record, from + records->len, max, err);
		if (rc == BP_OK)
			g_array_append_val(records, record);
		at +=
		    BP_LOG_FRAME_BYTES + (rc == BP_OK ? record.size_bytes : 0);
	}
	out->count = rc == BP_OK ? records->len : 0;
	out->records =
	    (bp_log_record_t *)(void *)g_array_free(records, rc != BP_OK);
	return rc;
}
