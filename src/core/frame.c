#include "bulrushpost/frame.h"

#include <string.h>

/* Room that a decoder keeps between frames. */
#define KEPT_BYTES 65536

struct bp_frame_decoder {
	GByteArray *bytes;
	size_t start; /* of the first byte not yet returned */
	int failed; /* error kind; sticky, as the next frame cannot be found */
};

/* Appends a frame; BP_ETOOLARGE if the body exceeds BP_FRAME_MAX_BYTES. */
int
bp_frame_append(
    GByteArray *out, const uint8_t *body, size_t size_bytes, bp_error_t *err)
{
	uint32_t length;

	if (size_bytes > BP_FRAME_MAX_BYTES)
		return bp_error_set(err, BP_ETOOLARGE,
		    "a frame of %zu bytes: at most %d are allowed", size_bytes,
		    BP_FRAME_MAX_BYTES);
	length = GUINT32_TO_BE((uint32_t)size_bytes);
	g_byte_array_append(out, (const guint8 *)&length, sizeof(length));
	if (size_bytes > 0)
		g_byte_array_append(out, body, (guint)size_bytes);
	return BP_OK;
}

/* Creates an empty decoder. Free with bp_frame_decoder_free. */
bp_frame_decoder_t *
bp_frame_decoder_new(void)
{
	bp_frame_decoder_t *decoder = g_new0(bp_frame_decoder_t, 1);

	decoder->bytes = g_byte_array_new();
	return decoder;
}

/* Frees a decoder. NULL is allowed. */
void
bp_frame_decoder_free(bp_frame_decoder_t *decoder)
{
	if (decoder == NULL)
		return;
	g_byte_array_unref(decoder->bytes);
	g_free(decoder);
}

/*
 * Adds bytes of the stream. Memory grows with the bytes received, never with
 * the length in a header. Bodies returned before become invalid.
 */
void
bp_frame_decoder_push(
    bp_frame_decoder_t *decoder, const uint8_t *bytes, size_t size_bytes)
{
	if (decoder->failed != BP_OK || size_bytes == 0)
		return;
	if (decoder->start > 0) {
		g_byte_array_remove_range(
		    decoder->bytes, 0, (guint)decoder->start);
		decoder->start = 0;
	}
	g_byte_array_append(decoder->bytes, bytes, (guint)size_bytes);
}

/*
 * Returns 1 and the next body, which is valid until the next push, or 0 when
 * it is incomplete, or BP_ETOOLARGE. An error is permanent, as the start of
 * the next frame is unknown.
 */
int
bp_frame_decoder_next(bp_frame_decoder_t *decoder, const uint8_t **body,
    size_t *size_bytes, bp_error_t *err)
{
	size_t available = bp_frame_decoder_pending(decoder);
	uint32_t length;

	if (decoder->failed != BP_OK)
		return bp_error_set(
		    err, decoder->failed, "the stream had a broken frame");
	if (available < BP_FRAME_HEADER_BYTES)
		return 0;
	memcpy(&length, decoder->bytes->data + decoder->start, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (length > BP_FRAME_MAX_BYTES) {
		decoder->failed = BP_ETOOLARGE;
		return bp_error_set(err, BP_ETOOLARGE,
		    "a frame of %u bytes is announced: at most %d are allowed",
		    length, BP_FRAME_MAX_BYTES);
	}
	if (available - BP_FRAME_HEADER_BYTES < length)
		return 0;
	*body = decoder->bytes->data + decoder->start + BP_FRAME_HEADER_BYTES;
	*size_bytes = length;
	decoder->start += BP_FRAME_HEADER_BYTES + length;
	return 1;
}

/* Returns the number of buffered bytes that no returned frame contains. */
size_t
bp_frame_decoder_pending(const bp_frame_decoder_t *decoder)
{
	return decoder->bytes->len - decoder->start;
}

/* See the header. */
void
bp_frame_decoder_trim(bp_frame_decoder_t *decoder)
{
	if (bp_frame_decoder_pending(decoder) > 0 ||
	    decoder->bytes->len <= KEPT_BYTES)
		return;
	g_byte_array_unref(decoder->bytes);
	decoder->bytes = g_byte_array_new();
	decoder->start = 0;
}
