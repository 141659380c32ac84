#include "queues/estimates.h"
#include "support/runner.h"

#define STEPS 60

/* The factor is 1 until a step of the queue has ended. */
static void
test_an_unknown_queue(void)
{
	bp_estimates_t *estimates = bp_estimates_new();

	bp_estimates_note(estimates, "a", 100, 300);
	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_factor(estimates, "b"), 1, 0);
	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_factor(estimates, "a"), 3, 0.001);
	bp_estimates_free(estimates);
}

/* Most steps do not exceed the factor, also when durations vary. */
static void
test_most_steps_keep_within(void)
{
	bp_estimates_t *estimates = bp_estimates_new();
	uint32_t within = 0;
	uint32_t i;

	for (i = 0; i < STEPS; i++) {
		int64_t took_ms = i % 4 == 3 ? 250 : 150;

		within += (double)took_ms <=
		    100 * bp_estimates_factor(estimates, "a");
		bp_estimates_note(estimates, "a", 100, took_ms);
	}
	CU_ASSERT_TRUE(within >= STEPS * 2 / 3);
	CU_ASSERT_TRUE(bp_estimates_factor(estimates, "a") < 3);
	bp_estimates_free(estimates);
}

/* The effect of a step that stalled or has no estimate is bounded. */
static void
test_outliers_are_bounded(void)
{
	bp_estimates_t *estimates = bp_estimates_new();

	bp_estimates_note(estimates, "a", 0, 60000);
	CU_ASSERT_TRUE(bp_estimates_factor(estimates, "a") <= 4);
	bp_estimates_note(estimates, "b", 100, -5);
	CU_ASSERT_TRUE(bp_estimates_factor(estimates, "b") >= 0);
	bp_estimates_free(estimates);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"an unknown queue", test_an_unknown_queue},
	    {"most steps keep within", test_most_steps_keep_within},
	    {"outliers are bounded", test_outliers_are_bounded},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/estimates", tests);
}
