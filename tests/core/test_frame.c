#include "bulrushpost/frame.h"
#include "bulrushpost/hash.h"
#include "support/runner.h"

#include <string.h>

#define CASES 4000
#define CASE_SEED 20261206

static GByteArray *
three_frames(void)
{
	GByteArray *stream = g_byte_array_new();
	uint8_t big[3000];

	memset(big, 'b', sizeof(big));
	(void)bp_frame_append(stream, (const uint8_t *)"one", 3, NULL);
	(void)bp_frame_append(stream, big, sizeof(big), NULL);
	(void)bp_frame_append(stream, NULL, 0, NULL);
	return stream;
}

/* Guards against frames lost or merged when they arrive in pieces. */
static void
test_any_split_gives_the_same_frames(void)
{
	GByteArray *stream = three_frames();
	bp_random_t random;
	int i;

	bp_random_init(&random, CASE_SEED);
	for (i = 0; i < CASES; i++) {
		bp_frame_decoder_t *decoder = bp_frame_decoder_new();
		size_t sizes[4] = {0};
		size_t frames = 0;
		size_t at = 0;

		while (at < stream->len) {
			size_t piece = 1 + bp_random_below(&random, 2500);
			const uint8_t *body;
			size_t size;

			piece = MIN(piece, stream->len - at);
			bp_frame_decoder_push(
			    decoder, stream->data + at, piece);
			at += piece;
			while (frames < 4 &&
			    bp_frame_decoder_next(
				decoder, &body, &size, NULL) == 1)
				sizes[frames++] = size;
		}
		CU_ASSERT_EQUAL(frames, 3);
		CU_ASSERT_TRUE(
		    sizes[0] == 3 && sizes[1] == 3000 && sizes[2] == 0);
		CU_ASSERT_EQUAL(bp_frame_decoder_pending(decoder), 0);
		bp_frame_decoder_free(decoder);
	}
	g_byte_array_unref(stream);
}

/* Guards against invalid input that is read out of bounds or accepted. */
static void
test_broken_input_is_safe(void)
{
	bp_random_t random;
	int i;

	bp_random_init(&random, CASE_SEED);
	for (i = 0; i < CASES; i++) {
		GByteArray *stream = three_frames();
		bp_frame_decoder_t *decoder = bp_frame_decoder_new();
		const uint8_t *body;
		size_t total = 0;
		size_t size;
		int rc;

		stream->data[bp_random_below(&random, 12)] =
		    (uint8_t)bp_random_next(&random);
		bp_frame_decoder_push(decoder, stream->data, stream->len);
		while ((rc = bp_frame_decoder_next(
			    decoder, &body, &size, NULL)) == 1) {
			CU_ASSERT_TRUE(
			    body + size <= body + stream->len - total);
			total += size + BP_FRAME_HEADER_BYTES;
		}
		CU_ASSERT_TRUE(total <= stream->len);
		CU_ASSERT_TRUE(rc == 0 || rc == BP_ETOOLARGE);
		if (rc < 0) {
			bp_frame_decoder_push(decoder, stream->data, 7);
			CU_ASSERT_EQUAL(
			    bp_frame_decoder_next(decoder, &body, &size, NULL),
			    rc);
		}
		bp_frame_decoder_free(decoder);
		g_byte_array_unref(stream);
	}
}

/* Guards against a frame that the peer must reject. */
static void
test_limit_holds_on_both_sides(void)
{
	static const uint8_t over[] = {0x00, 0x10, 0x00, 0x01};
	GByteArray *stream = g_byte_array_new();
	uint8_t *body = g_malloc0(BP_FRAME_MAX_BYTES + 1);
	bp_frame_decoder_t *decoder = bp_frame_decoder_new();
	const uint8_t *found;
	size_t size = 0;

	CU_ASSERT_EQUAL(
	    bp_frame_append(stream, body, BP_FRAME_MAX_BYTES + 1, NULL),
	    BP_ETOOLARGE);
	CU_ASSERT_EQUAL(stream->len, 0);
	CU_ASSERT_EQUAL(
	    bp_frame_append(stream, body, BP_FRAME_MAX_BYTES, NULL), BP_OK);
	bp_frame_decoder_push(decoder, stream->data, stream->len);
	CU_ASSERT_EQUAL(bp_frame_decoder_next(decoder, &found, &size, NULL), 1);
	CU_ASSERT_EQUAL(size, BP_FRAME_MAX_BYTES);
	bp_frame_decoder_push(decoder, over, sizeof(over));
	CU_ASSERT_EQUAL(
	    bp_frame_decoder_next(decoder, &found, &size, NULL), BP_ETOOLARGE);
	bp_frame_decoder_free(decoder);
	g_free(body);
	g_byte_array_unref(stream);
}

/* Guards against bytes of the next frame that are lost with the room. */
static void
test_trim_keeps_the_stream(void)
{
	bp_frame_decoder_t *decoder = bp_frame_decoder_new();
	GByteArray *stream = g_byte_array_new();
	uint8_t *body = g_malloc0(BP_FRAME_MAX_BYTES);
	const uint8_t *found;
	size_t size = 0;

	(void)bp_frame_append(stream, body, BP_FRAME_MAX_BYTES, NULL);
	(void)bp_frame_append(stream, (const uint8_t *)"one", 3, NULL);
	bp_frame_decoder_push(decoder, stream->data, stream->len - 1);
	CU_ASSERT_EQUAL(bp_frame_decoder_next(decoder, &found, &size, NULL), 1);
	bp_frame_decoder_trim(decoder);
	CU_ASSERT_EQUAL(bp_frame_decoder_pending(decoder), 6);
	bp_frame_decoder_push(decoder, (const uint8_t *)"e", 1);
	CU_ASSERT_EQUAL(bp_frame_decoder_next(decoder, &found, &size, NULL), 1);
	CU_ASSERT_TRUE(size == 3 && memcmp(found, "one", 3) == 0);
	bp_frame_decoder_push(decoder, stream->data, stream->len);
	CU_ASSERT_EQUAL(bp_frame_decoder_next(decoder, &found, &size, NULL), 1);
	CU_ASSERT_EQUAL(bp_frame_decoder_next(decoder, &found, &size, NULL), 1);
	bp_frame_decoder_trim(decoder);
	bp_frame_decoder_push(decoder, stream->data, stream->len);
	CU_ASSERT_EQUAL(bp_frame_decoder_next(decoder, &found, &size, NULL), 1);
	CU_ASSERT_EQUAL(size, BP_FRAME_MAX_BYTES);
	bp_frame_decoder_free(decoder);
	g_free(body);
	g_byte_array_unref(stream);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"splits", test_any_split_gives_the_same_frames},
	    {"broken input", test_broken_input_is_safe},
	    {"trim", test_trim_keeps_the_stream},
	    {"limit", test_limit_holds_on_both_sides},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("frame", tests);
}
