#include "queues/keptshard.h"

#include "bulrushpost/shard.h"
#include "support/runner.h"

#define SHARDS 3
#define NOW_MS 100000

/* A join that lists no shard of one that is served. */
static bool
join_unlisted(bp_kept_shard_t *kept, uint64_t generation, int64_t sent_ms)
{
	const bool listed[SHARDS] = {false, false, false};
	const bool served[SHARDS] = {false, true, false};

	return bp_kept_shard_joined(
	    kept, listed, served, SHARDS, generation, sent_ms);
}

/* Guards against a node that keeps more than its part. */
static void
test_only_a_single_shard_is_kept(void)
{
	static const struct {
		bool listed[SHARDS];
		bool served[SHARDS];
		bool kept;
	} cases[] = {
	    {{false, false, false}, {false, true, false}, true},
	    {{false, false, false}, {false, false, false}, false},
	    {{false, true, false}, {false, true, false}, false},
	    {{false, false, true}, {false, true, false}, false},
	    {{true, false, false}, {false, true, false}, false},
	    {{false, true, false}, {true, true, false}, false},
	    {{false, false, false}, {true, true, false}, false},
	    {{false, false, false}, {true, true, true}, false},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		bp_kept_shard_t kept = {0};

		CU_ASSERT_EQUAL(bp_kept_shard_joined(&kept, cases[i].listed,
				    cases[i].served, SHARDS, 1, NOW_MS),
		    cases[i].kept);
		if (cases[i].kept)
			CU_ASSERT_EQUAL(kept.number, 1);
	}
}

/* Guards against a membership that is counted from a later join than the last
 * one that was answered before the query was sent. */
static void
test_the_join_before_the_query_counts(void)
{
	bp_kept_shard_t kept = {0};

	CU_ASSERT_TRUE(join_unlisted(&kept, 2, NOW_MS));
	bp_kept_shard_query_sent(&kept);
	CU_ASSERT_TRUE(join_unlisted(&kept, 3, NOW_MS + 300));
	CU_ASSERT_EQUAL(
	    bp_kept_shard_answered(&kept, true), BP_KEPT_SHARD_CONFIRMED);
	CU_ASSERT_EQUAL(kept.confirmed_ms, NOW_MS);
	CU_ASSERT_EQUAL(kept.confirmed_generation, 2);
	CU_ASSERT_EQUAL(kept.generation, 3);
}

/* Guards against a decision by an answer to a query that was sent before the
 * shard was unlisted, and against one after a decision. */
static void
test_an_earlier_answer_decides_nothing(void)
{
	bp_kept_shard_t kept = {0};

	bp_kept_shard_query_sent(&kept);
	CU_ASSERT_TRUE(join_unlisted(&kept, 2, NOW_MS));
	CU_ASSERT_EQUAL(
	    bp_kept_shard_answered(&kept, true), BP_KEPT_SHARD_UNDECIDED);
	CU_ASSERT_EQUAL(
	    bp_kept_shard_answered(&kept, false), BP_KEPT_SHARD_UNDECIDED);
	bp_kept_shard_query_sent(&kept);
	CU_ASSERT_EQUAL(
	    bp_kept_shard_answered(&kept, false), BP_KEPT_SHARD_REASSIGNED);
	CU_ASSERT_EQUAL(
	    bp_kept_shard_answered(&kept, true), BP_KEPT_SHARD_UNDECIDED);
}

/* Guards against queries at each join, and against one that comes late: after a
 * change of the group, or for a membership that is about to expire. */
static void
test_queries_have_an_interval(void)
{
	bp_kept_shard_t kept = {0};
	int64_t late_ms = NOW_MS + BP_SHARD_MEMBERSHIP_MS / 2;

	CU_ASSERT_FALSE(bp_kept_shard_query_due(&kept, late_ms, 0));
	CU_ASSERT_TRUE(join_unlisted(&kept, 2, NOW_MS));
	CU_ASSERT_TRUE(bp_kept_shard_query_due(&kept, NOW_MS, 0));
	CU_ASSERT_FALSE(bp_kept_shard_query_due(&kept, NOW_MS + 299, NOW_MS));
	CU_ASSERT_TRUE(bp_kept_shard_query_due(&kept, NOW_MS + 300, NOW_MS));
	bp_kept_shard_query_sent(&kept);
	(void)bp_kept_shard_answered(&kept, true);
	CU_ASSERT_TRUE(join_unlisted(&kept, 2, NOW_MS + 300));
	CU_ASSERT_FALSE(bp_kept_shard_query_due(&kept, NOW_MS + 300, NOW_MS));
	CU_ASSERT_TRUE(bp_kept_shard_query_due(&kept, late_ms, NOW_MS));
	CU_ASSERT_TRUE(join_unlisted(&kept, 3, NOW_MS + 300));
	CU_ASSERT_TRUE(bp_kept_shard_query_due(&kept, NOW_MS + 300, NOW_MS));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"only a single shard is kept", test_only_a_single_shard_is_kept},
	    {"the join before the query counts",
		test_the_join_before_the_query_counts},
	    {"an earlier answer decides nothing",
		test_an_earlier_answer_decides_nothing},
	    {"queries have an interval", test_queries_have_an_interval},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/keptshard", tests);
}
