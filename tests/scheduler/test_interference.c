#include "bulrushpost/hash.h"
#include "bulrushpost/interference.h"
#include "support/runner.h"

#include <glib.h>
#include <stdbool.h>

#define KINDS 4U
#define REPORTS 400U
#define SEEDS 20U
#define REPORT_MS 1500

static const char *const kinds[KINDS] = {"guilty", "a", "b", "c"};

static double
noise(bp_random_t *random)
{
	return 0.2 * (bp_random_unit(random) + bp_random_unit(random) - 1.0);
}

/*
 * Feeds reports in which "guilty" adds effect to the slowdown, "a" is nearly
 * always co-located with it, and some outliers have no cause. Returns the
 * time of the last report in ms.
 */
static int64_t
feed(bp_interference_t *interference, uint64_t seed, double effect,
    int64_t at_ms)
{
	bp_neighbour_t colocated[KINDS];
	bp_random_t random;
	uint32_t i;

	bp_random_init(&random, seed);
	for (i = 0; i < REPORTS; i++) {
		bool cause_runs = bp_random_below(&random, 2) == 0;
		double slowdown =
		    1.1 + (cause_runs ? effect : 0) + noise(&random);
		size_t n = 0;
		uint32_t k;

		for (k = 0; k < KINDS; k++) {
			bool present = k == 0 ? cause_runs
			    : k == 1
			    ? cause_runs != (bp_random_below(&random, 10) == 0)
			    : bp_random_below(&random, 2) == 0;

			if (present)
				colocated[n++] =
				    (bp_neighbour_t){kinds[k], 1.0};
		}
		if (bp_random_below(&random, 40) == 0)
			slowdown += 3.0;
		at_ms += REPORT_MS;
		bp_interference_report(
		    interference, "match", slowdown, 0.3, colocated, n, at_ms);
	}
	return at_ms;
}

static bp_interference_t *
new_interference(void)
{
	bp_interference_options_t options;

	bp_interference_options_init(&options);
	return bp_interference_new(&options);
}

/* Guards against attributing a slowdown to tasks co-located with its cause. */
static void
test_attributes_to_the_cause_only(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_interference_t *interference = new_interference();
		bp_estimate_t estimate;
		uint32_t k;

		feed(interference, seed, 0.8, 0);
		estimate =
		    bp_interference_estimate(interference, "guilty", "match");
		CU_ASSERT_TRUE(estimate.mean - 2 * estimate.sd > 0.3);
		CU_ASSERT_DOUBLE_EQUAL(estimate.mean, 0.8, 0.3);
		for (k = 1; k < KINDS; k++) {
			estimate = bp_interference_estimate(
			    interference, kinds[k], "match");
			CU_ASSERT_TRUE(estimate.mean - 2 * estimate.sd < 0.1);
		}
		bp_interference_free(interference);
	}
}

/* Guards against estimates that do not follow a change of the effect. */
static void
test_follows_a_change(void)
{
	bp_interference_t *interference = new_interference();
	int64_t at_ms = feed(interference, 1, 0.8, 0);

	feed(interference, 2, 0, at_ms);
	CU_ASSERT_DOUBLE_EQUAL(
	    bp_interference_estimate(interference, "guilty", "match").mean, 0,
	    0.25);
	bp_interference_free(interference);
}

/* Guards against certainty without reports or long after the last one. */
static void
test_uncertainty(void)
{
	bp_interference_t *interference = new_interference();
	bp_neighbour_t other = {"b", 1.0};
	bp_estimate_t before;
	bp_estimate_t after;
	int64_t at_ms;

	before = bp_interference_estimate(interference, "guilty", "match");
	CU_ASSERT_DOUBLE_EQUAL(before.mean, 0, 0);
	CU_ASSERT_TRUE(before.sd > 0.5);
	CU_ASSERT_DOUBLE_EQUAL(
	    bp_interference_expected(interference, "guilty", "match"), 0, 0);
	at_ms = feed(interference, 1, 0.8, 0);
	before = bp_interference_estimate(interference, "guilty", "match");
	bp_interference_report(
	    interference, "match", 1.1, 0.3, &other, 1, at_ms + 3600000);
	after = bp_interference_estimate(interference, "guilty", "match");
	CU_ASSERT_TRUE(after.sd > 2 * before.sd);
	bp_interference_free(interference);
}

/* Guards against attributing the service's own load to co-located tasks. */
static void
test_own_load_is_not_attributed(void)
{
	bp_interference_t *interference = new_interference();
	bp_neighbour_t colocated = {"a", 1.0};
	bp_estimate_t estimate;
	bp_random_t random;
	uint32_t i;

	bp_random_init(&random, 3);
	for (i = 0; i < REPORTS; i++) {
		double load = 0.2 + 0.6 * bp_random_unit(&random);
		/* The co-located task runs mostly under high load. */
		size_t n = bp_random_unit(&random) < load ? 1 : 0;

		bp_interference_report(interference, "match",
		    1.0 + 0.5 * load / (1 - load) + noise(&random), load,
		    &colocated, n, (int64_t)i * REPORT_MS);
	}
	estimate = bp_interference_estimate(interference, "a", "match");
	CU_ASSERT_TRUE(estimate.mean - 2 * estimate.sd < 0.1);
	bp_interference_free(interference);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"blames only the guilty", test_attributes_to_the_cause_only},
	    {"follows a change", test_follows_a_change},
	    {"uncertainty", test_uncertainty},
	    {"own load is not blamed", test_own_load_is_not_attributed},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("interference", tests);
}
