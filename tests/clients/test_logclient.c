#include "bulrushpost/hash.h"
#include "clients/logdecode.h"
#include "support/logrig.h"
#include "support/runner.h"

#include <string.h>

#define SEED 20261204
#define MUTATIONS 4000
#define MUTATIONS_OVER_HTTP 300

static GByteArray *
valid_answer(uint64_t from, uint32_t count)
{
	GByteArray *bytes = g_byte_array_new();
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint8_t frame[BP_LOG_FRAME_BYTES + 5] = {0};

		frame[7] = (uint8_t)(from + i);
		frame[11] = 5;
		memset(frame + BP_LOG_FRAME_BYTES, 'a', 5);
		g_byte_array_append(bytes, frame, sizeof(frame));
	}
	return bytes;
}

/* Modifies, truncates or extends the bytes at random. */
static void
mutate(GByteArray *bytes, bp_random_t *random)
{
	uint32_t changes = 1 + bp_random_below(random, 4);

	while (changes-- > 0 && bytes->len > 0) {
		uint32_t at = bp_random_below(random, bytes->len);
		uint8_t byte = (uint8_t)bp_random_next(random);

		switch (bp_random_below(random, 4)) {
		case 0:
			g_byte_array_set_size(bytes, at);
			break;
		case 1:
			g_byte_array_append(bytes, &byte, 1);
			break;
		case 2:
			bytes->data[at] ^=
			    (uint8_t)(1U << bp_random_below(random, 8));
			break;
		default:
			bytes->data[at] = byte;
			break;
		}
	}
}

/* Checks that records lie within the response and are consecutive. */
static void
check_batch(const bp_log_batch_t *batch, uint64_t from, const uint8_t *bytes,
    size_t size_bytes)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		const bp_log_record_t *record = &batch->records[i];

		CU_ASSERT_EQUAL(record->offset, from + i);
		CU_ASSERT_TRUE(record->bytes >= bytes &&
		    record->bytes + record->size_bytes <= bytes + size_bytes);
	}
}

/*
 * Guards against reading beyond a corrupted response, and against accepting
 * records from it that have a gap, are out of order or lie beyond the head.
 */
static void
test_mutated_reads_never_crash(void)
{
	bp_random_t random;
	uint32_t accepted = 0;
	uint32_t i;

	bp_random_init(&random, SEED);
	for (i = 0; i < MUTATIONS; i++) {
		GByteArray *bytes = valid_answer(7, 6);
		bp_log_batch_t batch = {.first_offset = 3, .head_offset = 13};
		uint8_t *exact;

		mutate(bytes, &random);
		/* The exact block size lets the sanitizer detect overruns.
		 */
		exact = g_memdup2(bytes->data, bytes->len);
		if (bp_log_decode_records(
			&batch, 7, 10, exact, bytes->len, NULL) == BP_OK)
			accepted++;
		check_batch(&batch, 7, exact, bytes->len);
		g_free(batch.records);
		g_free(exact);
		g_byte_array_unref(bytes);
	}
	CU_ASSERT_TRUE(accepted > 0 && accepted < MUTATIONS);
}

/* Guards against responses of a faulty or malicious service. */
static void
test_impossible_reads_are_refused(void)
{
	GByteArray *bytes = valid_answer(7, 6);
	bp_log_batch_t batch = {.first_offset = 3, .head_offset = 13};
	uint8_t huge[BP_LOG_FRAME_BYTES] = {
	    0, 0, 0, 0, 0, 0, 0, 7, 0xff, 0xff, 0xff, 0xff};

	CU_ASSERT_EQUAL(
	    bp_log_decode_records(&batch, 7, 5, bytes->data, bytes->len, NULL),
	    BP_EMISMATCH);
	CU_ASSERT_EQUAL(
	    bp_log_decode_records(&batch, 8, 10, bytes->data, bytes->len, NULL),
	    BP_EMISMATCH);
	CU_ASSERT_EQUAL(bp_log_decode_records(
			    &batch, 7, 10, bytes->data, bytes->len - 1, NULL),
	    BP_ETRUNCATED);
	CU_ASSERT_EQUAL(
	    bp_log_decode_records(&batch, 7, 10, huge, sizeof(huge), NULL),
	    BP_EMISMATCH);
	batch.head_offset = 12;
	CU_ASSERT_EQUAL(
	    bp_log_decode_records(&batch, 7, 10, bytes->data, bytes->len, NULL),
	    BP_EMISMATCH);
	CU_ASSERT_EQUAL(
	    bp_log_decode_bounds(&batch, "5", "4", NULL), BP_EMISMATCH);
	CU_ASSERT_EQUAL(
	    bp_log_decode_bounds(&batch, "-1", "4", NULL), BP_EMISMATCH);
	CU_ASSERT_EQUAL(
	    bp_log_decode_bounds(&batch, NULL, "4", NULL), BP_EMISMATCH);
	g_byte_array_unref(bytes);
}

/* Guards against accepting a response without an offset. */
static void
test_append_answers_are_strict(void)
{
	static const char *const bad[] = {"", "{", "[]", "{}", "7",
	    "{\"offset\":-1}", "{\"offset\":\"7\"}", "{\"offset\":7.5}",
	    "{\"offset\":99999999999999999999}", "{\"offset\":7}x",
	    "{\"offset\":[[[[7]]]]}", "\xff\xfe"};
	uint64_t offset = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		CU_ASSERT_EQUAL(
		    bp_log_decode_append(
			&offset, (const uint8_t *)bad[i], strlen(bad[i]), NULL),
		    BP_EMISMATCH);
	}
	CU_ASSERT_EQUAL(bp_log_decode_append(&offset,
			    (const uint8_t *)"{\"offset\":7}", 12, NULL),
	    BP_OK);
	CU_ASSERT_EQUAL(offset, 7);
}

/* Guards against a follower that crashes on a bad response or cannot recover.
 */
static void
test_follower_survives_mutated_answers(void)
{
	bp_random_t random;
	logrig_t rig;
	uint32_t i;

	bp_random_init(&random, SEED);
	logrig_init(&rig, NULL, 5);
	logrig_put_job(&rig, "a", 1);
	bp_follower_start(rig.follower);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	for (i = 0; i < MUTATIONS_OVER_HTTP; i++) {
		GByteArray *bytes = valid_answer(1, 3);
		GBytes *body;

		mutate(bytes, &random);
		/* An offset that was not requested invalidates a response. */
		if (bytes->len > 0)
			bytes->data[0] = 0x80;
		body = g_byte_array_free_to_bytes(bytes);
		fakelog_set_answer(rig.log, body, "0", i % 2 ? "4" : "x");
		g_bytes_unref(body);
		bp_follower_read_now(rig.follower);
		run_for(2);
	}
	CU_ASSERT_EQUAL(
	    bp_state_next_offset(bp_follower_state(rig.follower)), 1);
	fakelog_set_answer(rig.log, NULL, NULL, NULL);
	logrig_put_job(&rig, "b", 2);
	CU_ASSERT_TRUE(logrig_wait_offset(&rig, 2));
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	logrig_clear(&rig);
}

typedef struct {
	uint32_t calls;
	int kind;
} read_result_t;

static void
on_read(const bp_log_batch_t *batch, const bp_error_t *err, void *data)
{
	read_result_t *result = data;

	result->calls++;
	result->kind = err != NULL ? (int)err->kind : BP_OK;
}

static bool
is_called(void *data)
{
	return ((read_result_t *)data)->calls > 0;
}

/*
 * Guards against unlimited memory use by an oversized response, and against
 * callbacks after a call was cancelled or the client was freed.
 */
static void
test_oversized_answer_and_cancel(void)
{
	GBytes *body = g_bytes_new_take(g_malloc0(1 << 20), 1 << 20);
	read_result_t result = {0, 0};
	read_result_t cancelled = {0, 0};
	logrig_t rig;

	logrig_init(&rig, NULL, 100);
	fakelog_set_answer(rig.log, body, "0", "4");
	bp_logclient_read(rig.client, BP_STREAM, 0, 4, 0, on_read, &result);
	bp_logclient_read(rig.client, BP_STREAM, 0, 4, 0, on_read, &cancelled);
	bp_logclient_cancel(rig.client, &cancelled);
	CU_ASSERT_TRUE(wait_until(is_called, &result, RIG_LIMIT_MS));
	CU_ASSERT_EQUAL(result.kind, BP_ETOOLARGE);
	bp_logclient_read(rig.client, BP_STREAM, 0, 4, 0, on_read, &cancelled);
	logrig_clear(&rig);
	CU_ASSERT_EQUAL(cancelled.calls, 0);
	g_bytes_unref(body);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"mutated reads", test_mutated_reads_never_crash},
	    {"impossible reads", test_impossible_reads_are_refused},
	    {"append answers", test_append_answers_are_strict},
	    {"mutated answers over HTTP",
		test_follower_survives_mutated_answers},
	    {"oversized answer and cancel", test_oversized_answer_and_cancel},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("logclient", tests);
}
