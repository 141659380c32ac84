#include "bulrushpost/endpoint.h"
#include "support/runner.h"

#include <stdio.h>

#define S ((int64_t)1000000) /* us */
#define MS ((int64_t)1000)

static bp_pool_t *
new_pool(int n, uint32_t gateways)
{
	bp_pool_t *pool = bp_pool_new(gateways);
	char name[16];
	int i;

	for (i = 0; i < n; i++) {
		g_snprintf(name, sizeof(name), "e%d", i);
		bp_pool_upsert(pool, name, "http://x", "a", false, false);
	}
	return pool;
}

static void
finish(bp_pool_t *pool, int index, bp_result_t result, int64_t now_us)
{
	bp_endpoint_t *endpoint = bp_pool_at(pool, (size_t)index);

	bp_endpoint_begin(endpoint);
	bp_endpoint_end(pool, endpoint, result, 10 * MS, now_us);
}

/* Guards against ejecting so many endpoints that the others are overloaded. */
static void
test_at_most_a_third_is_ejected(void)
{
	bp_pool_t *pool = new_pool(10, 1);
	int round;
	int i;

	for (round = 0; round < 20; round++) {
		for (i = 0; i < 10; i++)
			finish(pool, i, i < 4 ? BP_RESULT_FAILED : BP_RESULT_OK,
			    round * MS);
	}
	CU_ASSERT_EQUAL(bp_pool_ejected(pool), 3);
	CU_ASSERT_EQUAL(pool->ejections, 3);
	bp_pool_free(pool);
}

/* Guards against a setting of the ejection share that has no effect. */
static void
test_share_of_ejected_can_be_set(void)
{
	const struct {
		uint32_t percent;
		int endpoints;
		uint32_t ejected;
	} cases[] = {{0, 150, 0}, {33, 3, 1}, {33, 2, 0}, {50, 10, 5}};
	size_t k;
	int i;

	for (k = 0; k < G_N_ELEMENTS(cases); k++) {
		bp_pool_t *pool = new_pool(cases[k].endpoints, 1);

		bp_pool_set_limits(pool, 8, 60, cases[k].percent);
		for (i = 0; i < 10 * cases[k].endpoints; i++)
			finish(pool, i % cases[k].endpoints,
			    i % cases[k].endpoints < 6 ? BP_RESULT_REFUSED
						       : BP_RESULT_OK,
			    i * MS);
		CU_ASSERT_EQUAL(bp_pool_ejected(pool), cases[k].ejected);
		bp_pool_free(pool);
	}
}

/* Guards against ejections when all endpoints fail, e.g. on a bad request. */
static void
test_common_failure_ejects_nothing(void)
{
	bp_pool_t *pool = new_pool(30, 1);
	int i;

	for (i = 0; i < 3000; i++)
		finish(pool, i % 30, BP_RESULT_FAILED, i * MS);
	CU_ASSERT_EQUAL(bp_pool_ejected(pool), 0);
	bp_pool_free(pool);
}

/* Guards against an ejection that never ends, or ends at once. */
static void
test_probation_ends_an_ejection(void)
{
	bp_pool_t *pool = new_pool(3, 1);
	bp_endpoint_t *endpoint = bp_pool_at(pool, 0);
	int i;

	for (i = 0; i < 3; i++)
		finish(pool, 0, BP_RESULT_FAILED, 0);
	CU_ASSERT_FALSE(bp_endpoint_may_send(endpoint, 1 * S, true));
	/* One probe at a time, and none that is not idempotent. */
	CU_ASSERT_FALSE(bp_endpoint_may_send(endpoint, 3 * S, false));
	CU_ASSERT_TRUE(bp_endpoint_may_send(endpoint, 3 * S, true));
	bp_endpoint_begin(endpoint);
	CU_ASSERT_FALSE(bp_endpoint_may_send(endpoint, 3 * S, true));
	bp_endpoint_end(pool, endpoint, BP_RESULT_FAILED, 1, 3 * S);
	/* A failed probe doubles the ejection time. */
	CU_ASSERT_FALSE(bp_endpoint_may_send(endpoint, 6 * S, true));
	CU_ASSERT_TRUE(bp_endpoint_may_send(endpoint, 8 * S, true));
	for (i = 0; i < 3; i++)
		finish(pool, 0, BP_RESULT_OK, 8 * S);
	CU_ASSERT_EQUAL(endpoint->health.state, BP_HEALTH_LIVE);
	/* A service without idempotent requests must recover as well. */
	for (i = 0; i < 3; i++)
		finish(pool, 0, BP_RESULT_FAILED, 10 * S);
	CU_ASSERT_TRUE(bp_endpoint_may_send(endpoint, 23 * S, false));
	bp_pool_free(pool);
}

/* Guards against fast failures that lower the latency estimate. */
static void
test_failures_are_no_latency_samples(void)
{
	bp_pool_t *pool = new_pool(2, 1);
	bp_endpoint_t *endpoint = bp_pool_at(pool, 0);
	int i;

	for (i = 0; i < 50; i++) {
		finish(pool, 0, BP_RESULT_OK, i * MS);
		finish(pool, 1, BP_RESULT_OK, i * MS);
	}
	for (i = 0; i < 20; i++) {
		bp_endpoint_begin(endpoint);
		bp_endpoint_end(pool, endpoint, BP_RESULT_FAILED, 1, 60 * MS);
	}
	CU_ASSERT_TRUE(bp_endpoint_latency_us(pool, endpoint, 60 * MS) >
	    4 * bp_endpoint_latency_us(pool, bp_pool_at(pool, 1), 60 * MS));
	/* The estimate decays to the mean; the endpoint is tried again. */
	CU_ASSERT_TRUE(bp_endpoint_latency_us(pool, endpoint, 60 * S) <
	    1.1 * pool->latency_us);
	bp_pool_free(pool);
}

/* Guards against use after free of an endpoint removed with requests. */
static void
test_removed_endpoint_finishes(void)
{
	bp_pool_t *pool = new_pool(2, 1);
	bp_endpoint_t *endpoint = bp_pool_at(pool, 0);

	bp_endpoint_begin(endpoint);
	bp_pool_remove(pool, endpoint);
	CU_ASSERT_FALSE(bp_endpoint_may_send(endpoint, 0, true));
	CU_ASSERT_EQUAL(bp_pool_in_flight(pool), 0);
	bp_endpoint_end(pool, endpoint, BP_RESULT_FAILED, 1, 1);
	CU_ASSERT_EQUAL(pool->failure_rate, 0);
	bp_pool_free(pool);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"third", test_at_most_a_third_is_ejected},
	    {"share", test_share_of_ejected_can_be_set},
	    {"common failure", test_common_failure_ejects_nothing},
	    {"probation", test_probation_ends_an_ejection},
	    {"failure latency", test_failures_are_no_latency_samples},
	    {"removed", test_removed_endpoint_finishes},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway-endpoint", tests);
}
