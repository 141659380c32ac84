#include "support/records.h"
#include "support/runner.h"

#define START_MS 1800000000000LL

/* A wall clock that jumps ahead must not make a claimed key claimable. */
static void
test_key_stays_claimed_after_clock_jump(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};
	bp_writer_t b = {"b", 2, 0};
	uint64_t issued_s = START_MS / 1000;

	bp_records_init(&r, START_MS);
	CU_ASSERT_EQUAL(bp_records_key(&r, &a, "s/k", issued_s), BP_OK);
	CU_ASSERT_EQUAL(bp_records_key(&r, &b, "s/k", issued_s), BP_ECONFLICT);
	r.time_ms += 3600 * 1000;
	(void)bp_records_submit(&r, &b, "tick", "t", 1, 1000);
	r.time_ms = START_MS + 1000;
	CU_ASSERT_EQUAL(bp_records_key(&r, &b, "s/k", issued_s), BP_EEXPIRED);
	bp_records_clear(&r);
}

static bool
is_proven(bp_records_t *r, bp_writer_t *writer, const char *key, int age_s)
{
	r->time_ms = START_MS + (int64_t)age_s * 1000;
	(void)bp_records_submit(r, writer, "tick", "t", 1, 1000);
	return bp_state_key_never_claimed(r->state, key, START_MS / 1000);
}

/* Guards against "not run" for a key that may be claimed or was removed. */
static void
test_unclaimed_key_is_proven_in_time(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};
	GByteArray *bytes = NULL;
	bp_state_t *loaded = NULL;

	bp_records_init(&r, START_MS);
	CU_ASSERT_EQUAL(bp_records_key(&r, &a, "s/k", START_MS / 1000), BP_OK);
	CU_ASSERT_FALSE(is_proven(&r, &a, "s/other", 890));
	CU_ASSERT_TRUE(is_proven(&r, &a, "s/other", 960));
	CU_ASSERT_EQUAL(
	    bp_records_key(&r, &a, "s/other", START_MS / 1000), BP_EEXPIRED);
	CU_ASSERT_FALSE(is_proven(&r, &a, "s/k", 1190));
	CU_ASSERT_TRUE(bp_state_key_claimed(r.state, "s/k", NULL, NULL, NULL));
	(void)bp_snapshot_save(&bytes, r.state, NULL);
	CU_ASSERT_EQUAL_FATAL(
	    bp_snapshot_load(&loaded, bytes->data, bytes->len, NULL), BP_OK);
	CU_ASSERT_TRUE(
	    bp_state_key_never_claimed(loaded, "s/other", START_MS / 1000));
	CU_ASSERT_FALSE(is_proven(&r, &a, "s/other", 1300));
	CU_ASSERT_FALSE(is_proven(&r, &a, "s/k", 1300));
	bp_state_free(loaded);
	g_byte_array_unref(bytes);
	bp_records_clear(&r);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"keys and clocks", test_key_stays_claimed_after_clock_jump},
	    {"unclaimed keys", test_unclaimed_key_is_proven_in_time},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("state-keys", tests);
}
