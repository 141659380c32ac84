#include "queues/estimates.h"
#include "support/runner.h"

#define STEPS 60

/* The factor is 1 until a step of the queue has ended. */
static void
test_an_unknown_queue(void)
{
	bp_estimates_t *estimates = bp_estimates_new();

	bp_estimates_add_sample(estimates, "a", 100, 300);
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
		bp_estimates_add_sample(estimates, "a", 100, took_ms);
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

	bp_estimates_add_sample(estimates, "a", 0, 60000);
	CU_ASSERT_TRUE(bp_estimates_factor(estimates, "a") <= 4);
	bp_estimates_add_sample(estimates, "b", 100, -5);
	CU_ASSERT_TRUE(bp_estimates_factor(estimates, "b") >= 0);
	bp_estimates_free(estimates);
}

/* The log line lists queues by name. */
static void
test_the_factors_are_described(void)
{
	bp_estimates_t *estimates = bp_estimates_new();
	GString *text = g_string_new("");

	bp_estimates_describe(estimates, text);
	CU_ASSERT_STRING_EQUAL(text->str, "");
	bp_estimates_add_sample(estimates, "b", 100, 150);
	bp_estimates_add_sample(estimates, "a", 100, 300);
	bp_estimates_describe(estimates, text);
	CU_ASSERT_STRING_EQUAL(text->str, "a=3.00/1.00 b=1.50/1.00");
	g_string_free(text, TRUE);
	bp_estimates_free(estimates);
}

/* The work of steps is a mean, and a successor goes on from it; it is 1 before
 * the first sample and after a record that cannot be read. */
static void
test_works_outlive_their_owner(void)
{
	bp_estimates_t *estimates = bp_estimates_new();
	bp_estimates_t *successor = bp_estimates_new();
	GBytes *bytes;
	gsize size = 0;
	const uint8_t *data;

	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_work(estimates, "a"), 1, 0);
	bp_estimates_add_work(estimates, "a", 100, 150);
	bp_estimates_add_work(estimates, "a", 100, 250);
	bp_estimates_add_work(estimates, "b", 0, 60000);
	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_work(estimates, "a"), 2, 0.001);
	CU_ASSERT_TRUE(bp_estimates_work(estimates, "b") <= 4);
	bytes = bp_estimates_serialize_works(estimates);
	data = g_bytes_get_data(bytes, &size);
	CU_ASSERT_FALSE(bp_estimates_deserialize_works(
	    successor, (const uint8_t *)"\xff\xff", 2));
	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_work(successor, "a"), 1, 0);
	CU_ASSERT_TRUE(bp_estimates_deserialize_works(successor, data, size));
	bp_estimates_add_work(successor, "a", 100, 500);
	CU_ASSERT_DOUBLE_EQUAL(
	    bp_estimates_work(successor, "a"), 8.0 / 3, 0.001);
	g_bytes_unref(bytes);
	bp_estimates_free(estimates);
	bp_estimates_free(successor);
}

/* Work that was read under the name of a queue moves to its key, and does not
 * replace what was learned under that. */
static void
test_work_is_renamed(void)
{
	bp_estimates_t *estimates = bp_estimates_new();

	bp_estimates_add_work(estimates, "a", 100, 200);
	bp_estimates_rename_work(estimates, "a", "h/a/");
	bp_estimates_rename_work(estimates, "none", "h/none/");
	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_work(estimates, "h/a/"), 2, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_work(estimates, "a"), 1, 0);
	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_work(estimates, "h/none/"), 1, 0);
	bp_estimates_add_work(estimates, "a", 100, 300);
	bp_estimates_rename_work(estimates, "a", "h/a/");
	CU_ASSERT_DOUBLE_EQUAL(bp_estimates_work(estimates, "h/a/"), 2, 0.001);
	bp_estimates_free(estimates);
}

/* Without samples the declared duration is the middle, and a multiple of it
 * the tail; guards against an estimate of 0 for an unknown queue. */
static void
test_runs_without_samples(void)
{
	bp_estimates_t *estimates = bp_estimates_new();

	CU_ASSERT_EQUAL(bp_estimates_run_ms(estimates, "q", "a", 100, 50), 100);
	CU_ASSERT_EQUAL(bp_estimates_run_ms(estimates, "q", "a", 100, 90), 200);
	bp_estimates_add_run(estimates, "q", "a", 100, 900);
	CU_ASSERT_EQUAL(bp_estimates_run_ms(estimates, "q", "a", 100, 90), 200);
	bp_estimates_free(estimates);
}

/* Guards against plans by declared durations that are three times too short or
 * too long. */
static void
test_runs_correct_declared_durations(void)
{
	bp_estimates_t *estimates = bp_estimates_new();
	uint32_t i;

	for (i = 0; i < STEPS; i++) {
		bp_estimates_add_run(
		    estimates, "q", "slow", 100, i % 10 == 9 ? 600 : 300);
		bp_estimates_add_run(estimates, "q", "fast", 900, 300);
	}
	CU_ASSERT_EQUAL(
	    bp_estimates_run_ms(estimates, "q", "slow", 200, 50), 600);
	CU_ASSERT_TRUE(
	    bp_estimates_run_ms(estimates, "q", "slow", 200, 95) >= 1200);
	CU_ASSERT_EQUAL(
	    bp_estimates_run_ms(estimates, "q", "fast", 900, 90), 300);
	bp_estimates_free(estimates);
}

/* An image without samples is estimated like its queue; another queue is not.
 */
static void
test_runs_of_a_new_image(void)
{
	bp_estimates_t *estimates = bp_estimates_new();
	uint32_t i;

	for (i = 0; i < STEPS; i++)
		bp_estimates_add_run(estimates, "q", "a", 100, 400);
	CU_ASSERT_EQUAL(
	    bp_estimates_run_ms(estimates, "q", "new", 100, 90), 400);
	CU_ASSERT_EQUAL(bp_estimates_run_ms(estimates, "r", "a", 100, 90), 200);
	bp_estimates_free(estimates);
}

/* Guards against durations of an earlier version of an image that stay in the
 * estimate. */
static void
test_runs_follow_a_change(void)
{
	bp_estimates_t *estimates = bp_estimates_new();
	uint32_t i;

	for (i = 0; i < 4 * STEPS; i++)
		bp_estimates_add_run(
		    estimates, "q", "a", 100, i < 2 * STEPS ? 100 : 500);
	CU_ASSERT_EQUAL(bp_estimates_run_ms(estimates, "q", "a", 100, 50), 500);
	bp_estimates_free(estimates);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"works outlive their owner", test_works_outlive_their_owner},
	    {"work is renamed", test_work_is_renamed},
	    {"the factors are described", test_the_factors_are_described},
	    {"an unknown queue", test_an_unknown_queue},
	    {"most steps keep within", test_most_steps_keep_within},
	    {"outliers are bounded", test_outliers_are_bounded},
	    {"runs without samples", test_runs_without_samples},
	    {"runs correct declared durations",
		test_runs_correct_declared_durations},
	    {"runs of a new image", test_runs_of_a_new_image},
	    {"runs follow a change", test_runs_follow_a_change},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/estimates", tests);
}
