#include "queues/batchorder.h"
#include "support/runner.h"

#define NOW_MS 1000000
#define POOL "pool"
#define PLACES 100
/* Running fillers of which a fifth is one. */
#define SMALL_PLACES 5
/* Accepted so long ago that it counts as the end of the traffic, or now. */
#define ENDED_MS (NOW_MS - 2 * BP_BATCH_QUIET_MS)

/* Identify steps; their addresses are compared only. */
static int steps[BP_BATCH_CLAIMS_MAX * 2];

static void
add_running(
    bp_batch_order_t *order, uint32_t tasks, bool claimed, int64_t accepted_ms)
{
	bp_batch_job_t job = {.service = POOL,
	    .accepted_ms = accepted_ms,
	    .running = tasks,
	    .claimed = claimed};

	bp_batch_order_add(order, &job);
}

static void
add_waiting(bp_batch_order_t *order, int *step, int64_t accepted_ms,
    int64_t idle_ms, int64_t tried_ms)
{
	bp_batch_job_t job = {.service = POOL,
	    .accepted_ms = accepted_ms,
	    .idle_since_ms = NOW_MS - idle_ms,
	    .tried_ms = tried_ms,
	    .ready = step};

	bp_batch_order_add(order, &job);
}

static bp_batch_claim_t
claim_of(const GArray *claims, const int *step)
{
	guint i;

	for (i = 0; i < claims->len; i++) {
		const bp_batch_job_t *job =
		    &g_array_index(claims, bp_batch_job_t, i);

		if (job->ready == step)
			return job->claim;
	}
	return BP_BATCH_CLAIM_NONE;
}

/* Guards against an order by due time among jobs that can be in time and have
 * not begun: under overload all of them would be late. */
static void
test_the_newest_job_in_time_goes_first(void)
{
	bp_batch_in_time_t started = {
	    .started = true, .due_ms = NOW_MS + 9000, .interference = 3};
	bp_batch_in_time_t older = {.due_ms = NOW_MS + 1000};
	bp_batch_in_time_t newer = {.due_ms = NOW_MS + 2000};
	bp_batch_in_time_t sooner = {.started = true, .due_ms = NOW_MS + 3000};

	CU_ASSERT_TRUE(bp_batch_compare_in_time(&started, &newer) < 0);
	CU_ASSERT_TRUE(bp_batch_compare_in_time(&newer, &older) < 0);
	CU_ASSERT_TRUE(bp_batch_compare_in_time(&sooner, &started) < 0);
	CU_ASSERT_EQUAL(bp_batch_compare_in_time(&newer, &newer), 0);
}

/*
 * Guards against few jobs that interfere much and use up the latency that
 * serving tasks can spare (SHORT on pecanslate-sched-grown): others begin
 * before them.
 */
static void
test_the_least_interference_begins_first(void)
{
	bp_batch_in_time_t calm = {.due_ms = NOW_MS + 1000};
	bp_batch_in_time_t loud = {.due_ms = NOW_MS + 2000, .interference = 2};
	bp_batch_in_time_t louder = {
	    .due_ms = NOW_MS + 3000, .interference = 3};
	bp_batch_in_time_t begun = {
	    .started = true, .due_ms = NOW_MS + 9000, .interference = 3};

	CU_ASSERT_TRUE(bp_batch_compare_in_time(&calm, &loud) < 0);
	CU_ASSERT_TRUE(bp_batch_compare_in_time(&loud, &louder) < 0);
	CU_ASSERT_TRUE(bp_batch_compare_in_time(&begun, &calm) < 0);
}

/* Guards against a job that waits for as long as the traffic lasts, and against
 * claims of jobs that have not waited for long. */
static void
test_a_long_wait_gives_a_claim(void)
{
	bp_batch_order_t *order = bp_batch_order_new();
	const GArray *claims;

	add_running(order, PLACES, false, NOW_MS);
	add_waiting(order, &steps[0], 0, BP_BATCH_WAIT_MAX_MS - 1, 0);
	add_waiting(order, &steps[1], 0, BP_BATCH_WAIT_MAX_MS, 0);
	claims = bp_batch_order_decide(order, NOW_MS);
	CU_ASSERT_EQUAL(claim_of(claims, &steps[0]), BP_BATCH_CLAIM_NONE);
	CU_ASSERT_EQUAL(claim_of(claims, &steps[1]), BP_BATCH_CLAIM_FIRST);
	bp_batch_order_free(order);
}

/* Guards against claims that leave less than four fifths of the places to jobs
 * which can be in time. */
static void
test_jobs_in_time_keep_four_fifths(void)
{
	bp_batch_order_t *order = bp_batch_order_new();
	const uint32_t most = PLACES * (100 - BP_BATCH_IN_TIME_PERCENT) / 100;
	uint32_t went = 0;

	CU_ASSERT_TRUE(BP_BATCH_IN_TIME_PERCENT >= 80);
	add_running(order, PLACES - 2, false, NOW_MS);
	add_running(order, 1, true, NOW_MS);
	add_running(order, 1, true, NOW_MS);
	while (went < PLACES && bp_batch_order_may_go_first(order, POOL)) {
		bp_batch_order_went_first(order, POOL);
		went++;
	}
	CU_ASSERT_EQUAL(went, most - 2);
	bp_batch_order_free(order);
}

/* Guards against a service that is too small for any claim, whose jobs wait for
 * as long as the traffic lasts, and against one that gives all its places to
 * claims. */
static void
test_a_small_service_grants_one_claim(void)
{
	uint32_t running;

	for (running = 0; running < SMALL_PLACES; running++) {
		bp_batch_order_t *order = bp_batch_order_new();

		add_running(order, running, false, NOW_MS);
		CU_ASSERT_TRUE(bp_batch_order_may_go_first(order, POOL));
		bp_batch_order_went_first(order, POOL);
		CU_ASSERT_FALSE(bp_batch_order_may_go_first(order, POOL));
		bp_batch_order_free(order);
		order = bp_batch_order_new();
		add_running(order, running, false, NOW_MS);
		add_running(order, 1, true, NOW_MS);
		CU_ASSERT_FALSE(bp_batch_order_may_go_first(order, POOL));
		bp_batch_order_free(order);
	}
}

/* Guards against jobs that have nothing running after the traffic while others
 * have several, and against this order while the traffic goes on. */
static void
test_after_the_traffic_each_job_has_a_claim(void)
{
	bp_batch_order_t *order = bp_batch_order_new();
	const GArray *claims;

	add_running(order, PLACES, false, ENDED_MS);
	add_waiting(order, &steps[0], ENDED_MS, BP_BATCH_IDLE_MS, 0);
	add_waiting(order, &steps[1], ENDED_MS, BP_BATCH_SHARE_AFTER_MS, 0);
	add_waiting(order, &steps[2], ENDED_MS, BP_BATCH_WAIT_MAX_MS, 0);
	claims = bp_batch_order_decide(order, NOW_MS);
	CU_ASSERT_EQUAL(claims->len, 3);
	CU_ASSERT_EQUAL(claim_of(claims, &steps[0]), BP_BATCH_CLAIM_LATE);
	CU_ASSERT_EQUAL(
	    claim_of(claims, &steps[2]), BP_BATCH_CLAIM_FIRST_OR_LATE);
	CU_ASSERT_TRUE(
	    g_array_index(claims, bp_batch_job_t, 1).shares_processors);
	CU_ASSERT_FALSE(
	    g_array_index(claims, bp_batch_job_t, 2).shares_processors);
	bp_batch_order_free(order);
	order = bp_batch_order_new();
	add_running(order, PLACES, false, NOW_MS);
	add_waiting(order, &steps[0], ENDED_MS, BP_BATCH_SHARE_AFTER_MS, 0);
	CU_ASSERT_EQUAL(bp_batch_order_decide(order, NOW_MS)->len, 0);
	bp_batch_order_free(order);
}

/* Guards against traffic of which only ended jobs tell. */
static void
test_ended_jobs_count_as_traffic(void)
{
	bp_batch_order_t *order = bp_batch_order_new();

	bp_batch_order_add_acceptance(
	    order, POOL, NOW_MS - BP_BATCH_QUIET_MS + 1);
	add_waiting(order, &steps[0], ENDED_MS, BP_BATCH_SHARE_AFTER_MS, 0);
	CU_ASSERT_EQUAL(bp_batch_order_decide(order, NOW_MS)->len, 0);
	bp_batch_order_free(order);
}

/* Guards against the oldest jobs taking each place again, against rounds that
 * try all waiting jobs, and against jobs that fit nowhere and keep others from
 * being tried. */
static void
test_the_longest_wait_goes_first(void)
{
	bp_batch_order_t *order = bp_batch_order_new();
	const GArray *claims;
	uint32_t n = G_N_ELEMENTS(steps);
	int64_t before_ms = INT64_MIN;
	guint i;

	/* The one with the shortest wait was tried longest ago. */
	for (i = 0; i < n; i++)
		add_waiting(order, &steps[i], ENDED_MS,
		    BP_BATCH_IDLE_MS + (i * 37) % n, (i * 37) % n);
	bp_batch_order_add_acceptance(order, POOL, ENDED_MS);
	bp_batch_order_add_acceptance(order, "other", NOW_MS);
	claims = bp_batch_order_decide(order, NOW_MS);
	CU_ASSERT_EQUAL(claims->len, BP_BATCH_CLAIMS_MAX);
	for (i = 0; i < claims->len; i++) {
		const bp_batch_job_t *job =
		    &g_array_index(claims, bp_batch_job_t, i);
		int64_t idle_ms = NOW_MS - job->idle_since_ms;

		if (i == BP_BATCH_CLAIMS_MAX / 2) {
			CU_ASSERT_EQUAL(idle_ms, BP_BATCH_IDLE_MS);
		}
		if (i >= BP_BATCH_CLAIMS_MAX / 2)
			continue;
		CU_ASSERT_TRUE(job->idle_since_ms >= before_ms);
		CU_ASSERT_TRUE(
		    idle_ms >= BP_BATCH_IDLE_MS + n - BP_BATCH_CLAIMS_MAX / 2);
		before_ms = job->idle_since_ms;
	}
	bp_batch_order_free(order);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"the newest job in time goes first",
		test_the_newest_job_in_time_goes_first},
	    {"the least interference begins first",
		test_the_least_interference_begins_first},
	    {"a long wait gives a claim", test_a_long_wait_gives_a_claim},
	    {"jobs in time keep four fifths",
		test_jobs_in_time_keep_four_fifths},
	    {"a small service grants one claim",
		test_a_small_service_grants_one_claim},
	    {"after the traffic each job has a claim",
		test_after_the_traffic_each_job_has_a_claim},
	    {"ended jobs count as traffic", test_ended_jobs_count_as_traffic},
	    {"the longest wait goes first", test_the_longest_wait_goes_first},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/batchorder", tests);
}
