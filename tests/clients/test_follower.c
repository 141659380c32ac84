#include "support/logrig.h"
#include "support/runner.h"

#include <string.h>

#define WAIT_MS 100

static bool
has_job(logrig_t *rig, const char *job)
{
	return bp_state_job(bp_follower_state(rig->follower), job) != NULL;
}

/* Builds the state of another node after n records. */
static bp_state_t *
state_after(logrig_t *rig, uint64_t records)
{
	bp_state_t *state = bp_state_new();
	uint64_t offset;

	for (offset = 0; offset < records; offset++) {
		gsize size;
		const uint8_t *bytes = g_bytes_get_data(
		    fakelog_get(rig->log, BP_STREAM, offset), &size);

		CU_ASSERT_EQUAL(
		    bp_state_apply(state, offset, bytes, size, NULL), BP_OK);
	}
	return state;
}

/* Checks that the follower has exactly the state after n records. */
static void
check_state(logrig_t *rig, uint64_t records)
{
	bp_state_t *state = state_after(rig, records);
	GByteArray *expected;
	GByteArray *bytes;

	CU_ASSERT_EQUAL_FATAL(bp_snapshot_save(&expected, state, NULL), BP_OK);
	CU_ASSERT_EQUAL_FATAL(
	    bp_snapshot_save(&bytes, bp_follower_state(rig->follower), NULL),
	    BP_OK);
	CU_ASSERT_EQUAL(bytes->len, expected->len);
	CU_ASSERT_TRUE(bytes->len == expected->len &&
	    memcmp(bytes->data, expected->data, bytes->len) == 0);
	g_byte_array_unref(expected);
	g_byte_array_unref(bytes);
	bp_state_free(state);
}

static void
put_snapshot_at(
    logrig_t *rig, uint64_t records, uint32_t parts, uint32_t missing)
{
	bp_state_t *state = state_after(rig, records);

	logrig_put_snapshot(rig, state, parts, missing);
	bp_state_free(state);
}

/* Guards against treating an empty log as a lost state. */
static void
test_empty_log_is_current(void)
{
	logrig_t rig;

	logrig_init(&rig, NULL, WAIT_MS);
	bp_follower_start(rig.follower);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	logrig_put_job(&rig, "a", 1);
	CU_ASSERT_TRUE(logrig_wait_offset(&rig, 1));
	CU_ASSERT_TRUE(has_job(&rig, "a"));
	logrig_clear(&rig);
}

/*
 * Guards against failing recovery if the newest snapshot is corrupt or
 * incomplete although an older one is complete.
 */
static void
test_falls_back_to_older_snapshot(void)
{
	uint8_t bad[] = {1, 2, 3};
	logrig_t rig;
	GBytes *chunk;
	uint8_t *copy;
	gsize size;

	logrig_init(&rig, NULL, WAIT_MS);
	logrig_put_job(&rig, "a", 1);
	logrig_put_job(&rig, "b", 2);
	logrig_put_job(&rig, "c", 3);
	logrig_put_job(&rig, "d", 4);
	put_snapshot_at(&rig, 2, 2, 0);
	put_snapshot_at(&rig, 3, 2, 0);
	put_snapshot_at(&rig, 4, 3, 1);
	fakelog_put(rig.log, BP_SNAPSHOT_STREAM, bad, sizeof(bad));
	chunk = fakelog_get(rig.log, BP_SNAPSHOT_STREAM, 3);
	copy =
	    g_memdup2(g_bytes_get_data(chunk, &size), g_bytes_get_size(chunk));
	copy[g_bytes_get_size(chunk) - 1] ^= 1;
	fakelog_replace(rig.log, BP_SNAPSHOT_STREAM, 3, copy, size);
	g_free(copy);
	fakelog_trim(rig.log, BP_STREAM, 2);
	bp_follower_start(rig.follower);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	check_state(&rig, 4);
	logrig_clear(&rig);
}

/*
 * Guards against skipping records that the log no longer retains: the follower
 * must reload a snapshot, or report an unknown state if none covers the gap.
 */
static void
test_retention_gap(void)
{
	logrig_t rig;
	uint64_t generation;

	logrig_init(&rig, NULL, WAIT_MS);
	logrig_put_job(&rig, "a", 1);
	bp_follower_start(rig.follower);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	generation = bp_follower_generation(rig.follower);
	fakelog_set_status(rig.log, 503);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_LOG_DOWN));
	logrig_put_job(&rig, "b", 2);
	logrig_put_job(&rig, "c", 3);
	put_snapshot_at(&rig, 2, 1, 0);
	fakelog_trim(rig.log, BP_STREAM, 2);
	fakelog_set_status(rig.log, 0);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	CU_ASSERT_TRUE(has_job(&rig, "b"));
	CU_ASSERT_TRUE(has_job(&rig, "c"));
	CU_ASSERT_NOT_EQUAL(bp_follower_generation(rig.follower), generation);
	fakelog_set_status(rig.log, 503);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_LOG_DOWN));
	logrig_put_job(&rig, "d", 4);
	logrig_put_job(&rig, "e", 5);
	fakelog_trim(rig.log, BP_STREAM, 4);
	fakelog_set_status(rig.log, 0);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_STATE_UNKNOWN));
	CU_ASSERT_FALSE(has_job(&rig, "e"));
	logrig_clear(&rig);
}

/* Guards against placement by a node that cannot decode all records. */
static void
test_unknown_version_stops(void)
{
	logrig_t rig;

	logrig_init(&rig, NULL, WAIT_MS);
	logrig_put_job(&rig, "a", 1);
	logrig_put_version(&rig, BP_RECORD_VERSION + 1);
	logrig_put_job(&rig, "b", 2);
	bp_follower_start(rig.follower);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_VERSION_UNKNOWN));
	bp_follower_read_now(rig.follower);
	run_for(100);
	CU_ASSERT_TRUE(has_job(&rig, "a"));
	CU_ASSERT_FALSE(has_job(&rig, "b"));
	CU_ASSERT_EQUAL(bp_follower_synced_us(rig.follower), 0);
	logrig_clear(&rig);
}

typedef struct {
	logrig_t *rig;
	int64_t after_us;
} freshness_t;

static bool
is_fresh(void *data)
{
	freshness_t *fresh = data;

	return bp_follower_synced_us(fresh->rig->follower) >= fresh->after_us;
}

/*
 * Guards against a permit based on a read that began too early:
 * bp_follower_read_now must start a new read long before the long poll ends.
 */
static void
test_poke_gives_a_later_read(void)
{
	logrig_t rig;
	freshness_t fresh = {&rig, 0};

	logrig_init(&rig, NULL, 60000);
	bp_follower_start(rig.follower);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	run_for(30);
	fresh.after_us = bp_clock_mono_us(rig.clock);
	logrig_put_job(&rig, "a", 1);
	CU_ASSERT_TRUE(logrig_wait_offset(&rig, 1));
	CU_ASSERT_FALSE(is_fresh(&fresh)); /* the read began earlier */
	run_for(50);
	fresh.after_us = bp_clock_mono_us(rig.clock);
	bp_follower_read_now(rig.follower);
	bp_follower_read_now(rig.follower);
	CU_ASSERT_TRUE(wait_until(is_fresh, &fresh, RIG_LIMIT_MS));
	logrig_clear(&rig);
}

/* Guards against replacing the state by an older one of a peer. */
static void
test_offer_takes_only_newer(void)
{
	logrig_t rig;
	bp_state_t *state;
	GByteArray *bytes;

	logrig_init(&rig, NULL, WAIT_MS);
	logrig_put_job(&rig, "a", 1);
	logrig_put_job(&rig, "b", 2);
	state = state_after(&rig, 2);
	CU_ASSERT_EQUAL_FATAL(bp_snapshot_save(&bytes, state, NULL), BP_OK);
	fakelog_set_status(rig.log, 503);
	bp_follower_start(rig.follower);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_LOG_DOWN));
	CU_ASSERT_EQUAL(bp_follower_install_snapshot(
			    rig.follower, bytes->data, bytes->len, NULL),
	    BP_OK);
	CU_ASSERT_TRUE(has_job(&rig, "b"));
	CU_ASSERT_EQUAL(bp_follower_synced_us(rig.follower), 0);
	CU_ASSERT_EQUAL(bp_follower_install_snapshot(
			    rig.follower, bytes->data, bytes->len, NULL),
	    BP_ESTALE);
	fakelog_set_status(rig.log, 0);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	g_byte_array_unref(bytes);
	bp_state_free(state);
	logrig_clear(&rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"empty log", test_empty_log_is_current},
	    {"older snapshot", test_falls_back_to_older_snapshot},
	    {"retention gap", test_retention_gap},
	    {"unknown version", test_unknown_version_stops},
	    {"poke", test_poke_gives_a_later_read},
	    {"offer", test_offer_takes_only_newer},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("follower", tests);
}
