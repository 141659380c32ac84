#include "bulrushpost/limiter.h"
#include "support/runner.h"

#define SAMPLE_INTERVAL_US 250000

static void
add_samples(bp_limiter_t *limiter, int n, double latency_us, bool overloaded)
{
	bp_limiter_sample_t sample = {
	    .latency_us = latency_us,
	    .base_us = 10000,
	    .overloaded = overloaded,
	};
	int i;

	for (i = 0; i < n; i++) {
		sample.now_us = limiter->decreased_us < 0
		    ? SAMPLE_INTERVAL_US
		    : limiter->decreased_us + SAMPLE_INTERVAL_US;
		sample.in_flight = bp_limiter_limit(limiter);
		bp_limiter_add(limiter, &sample);
	}
}

/* Guards against limits that exceed the connections or leave slots idle. */
static void
test_bounds_for_all_numbers_of_gateways(void)
{
	bp_limiter_t limiter;
	uint32_t n;

	for (n = 1; n <= 60; n++) {
		bp_limiter_init(&limiter, n);
		CU_ASSERT_TRUE(bp_limiter_limit(&limiter) >= 1);
		add_samples(&limiter, 500, 10000, false);
		CU_ASSERT_TRUE(
		    bp_limiter_limit(&limiter) * n <= BP_EXECUTOR_CONNECTIONS);
		CU_ASSERT_TRUE(bp_limiter_limit(&limiter) <= BP_EXECUTOR_SLOTS);
		add_samples(&limiter, 500, 90000, false);
		CU_ASSERT_TRUE(
		    bp_limiter_limit(&limiter) * n >= BP_EXECUTOR_SLOTS ||
		    n > BP_EXECUTOR_SLOTS);
	}
}

/* Guards against settings of the capacity that have no effect. */
static void
test_bounds_can_be_set(void)
{
	bp_limiter_t limiter;

	bp_limiter_init_bounds(&limiter, 1, 20, 60);
	add_samples(&limiter, 5000, 10000, false);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 20);
	bp_limiter_init_bounds(&limiter, 2, 20, 6);
	add_samples(&limiter, 5000, 10000, false);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 3);
}

/* Guards against a limit that ignores congestion or never recovers. */
static void
test_limit_follows_congestion(void)
{
	bp_limiter_t limiter;

	bp_limiter_init(&limiter, 8);
	add_samples(&limiter, 100, 12000, false);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 7);
	add_samples(&limiter, 3, 30000, false);
	CU_ASSERT_TRUE(bp_limiter_limit(&limiter) <= 3);
	add_samples(&limiter, 100, 12000, false);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 7);
	add_samples(&limiter, 20, 12000, true);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 1);
}

/* Guards against a burst of slow responses that lowers the limit repeatedly. */
static void
test_decreases_are_spaced(void)
{
	bp_limiter_sample_t sample = {
	    .now_us = 1, .latency_us = 90000, .base_us = 10000};
	bp_limiter_t limiter;
	int i;

	bp_limiter_init(&limiter, 1);
	bp_limiter_set_gateways(&limiter, 8);
	limiter.limit = 7;
	for (i = 0; i < 10; i++)
		bp_limiter_add(&limiter, &sample);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 5);
}

/* Guards against explicit bounds that are not reached or are exceeded. */
static void
test_explicit_bounds(void)
{
	bp_limiter_t limiter;

	bp_limiter_init_range(&limiter, 64, 64, 64);
	add_samples(&limiter, 100, 10000, false);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 64);
	bp_limiter_set_range(&limiter, 64, 300, 64);
	add_samples(&limiter, 64, 10000, false);
	CU_ASSERT_TRUE(bp_limiter_limit(&limiter) >= 100);
	add_samples(&limiter, 2000, 10000, false);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 300);
	add_samples(&limiter, 1, 10000, true);
	CU_ASSERT_TRUE(bp_limiter_limit(&limiter) < 300);
	add_samples(&limiter, 100, 90000, false);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 64);
	bp_limiter_set_range(&limiter, 64, 10, 64);
	CU_ASSERT_EQUAL(bp_limiter_limit(&limiter), 64);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"bounds", test_bounds_for_all_numbers_of_gateways},
	    {"bounds set", test_bounds_can_be_set},
	    {"congestion", test_limit_follows_congestion},
	    {"spacing", test_decreases_are_spaced},
	    {"a range of its own", test_explicit_bounds},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway-limiter", tests);
}
