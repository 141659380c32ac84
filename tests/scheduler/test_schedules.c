#include "support/runner.h"
#include "schedule/schedule.h"

#include <stdio.h>
#include <stdlib.h>

/* The sanitizer build is several times slower. */
#if defined(__SANITIZE_ADDRESS__)
#define SCHEDULES 60
#else
#define SCHEDULES 400
#endif
#define FIRST_SEED 1000
#define URGENT_LIMIT_MS 9400

static uint32_t
violations(const bp_schedule_result_t *r)
{
	return r->two_places + r->attempt_twice + r->over_capacity +
	    r->zone_late + r->rerun_forbidden + r->ran_though_not_started;
}

static void
print_result(uint64_t seed, const bp_schedule_result_t *r)
{
	printf("seed %lu: starts %u, two places %u, attempt twice %u, over "
	       "capacity %u, zone late %u, rerun %u, ran though not started "
	       "%u, unfinished %u\n",
	    (unsigned long)seed, r->starts, r->two_places, r->attempt_twice,
	    r->over_capacity, r->zone_late, r->rerun_forbidden,
	    r->ran_though_not_started, r->unfinished);
}

static uint32_t
run_many(
    bp_guard_t removed, uint64_t first, uint32_t count, uint32_t *unfinished)
{
	uint32_t bad = 0;
	uint64_t seed;

	*unfinished = 0;
	for (seed = first; seed < first + count; seed++) {
		bp_schedule_options_t options = {seed, removed, true};
		bp_schedule_result_t result;

		bp_schedule_run(&options, &result);
		bad += violations(&result) > 0;
		if (removed != BP_GUARD_NONE && bad > 0) {
			print_result(seed, &result);
			break;
		}
		*unfinished += result.unfinished > 0;
		if (removed == BP_GUARD_NONE &&
		    (violations(&result) > 0 || result.unfinished > 0))
			print_result(seed, &result);
	}
	return bad;
}

/* Without faults all tasks run once and urgent ones start in time. */
static void
test_quiet_schedule(void)
{
	bp_schedule_options_t options = {7, BP_GUARD_NONE, false};
	bp_schedule_result_t result;

	bp_schedule_run(&options, &result);
	CU_ASSERT_EQUAL(result.starts, BP_SCHEDULE_JOBS * BP_SCHEDULE_TASKS);
	CU_ASSERT_EQUAL(violations(&result), 0);
	CU_ASSERT_EQUAL(result.unfinished, 0);
	CU_ASSERT_TRUE(result.slowest_urgent_ms > 0);
	CU_ASSERT_TRUE(result.slowest_urgent_ms < URGENT_LIMIT_MS);
}

/*
 * Injects pauses longer than leases, partitions, delayed, lost and duplicated
 * messages, lost append answers, log outages, reboots and node crashes. No
 * task may run twice at the same time, in a zone that is out of service,
 * beyond capacity or against the log, and all tasks must finish after the
 * faults end.
 */
static void
test_faults_keep_the_invariants(void)
{
	uint32_t unfinished;

	CU_ASSERT_EQUAL(
	    run_many(BP_GUARD_NONE, FIRST_SEED, SCHEDULES, &unfinished), 0);
	CU_ASSERT_EQUAL(unfinished, 0);
}

/*
 * With a guard removed, the checks must detect the violations that it
 * prevents. The first seeds are shortly before schedules that cause one.
 */
static void
test_removed_guards_are_noticed(void)
{
	uint32_t unfinished;

	CU_ASSERT_TRUE(run_many(BP_GUARD_EPOCH, 3405, 2000, &unfinished) > 0);
	CU_ASSERT_TRUE(run_many(BP_GUARD_NONCE, 1110, 2000, &unfinished) > 0);
	CU_ASSERT_TRUE(
	    run_many(BP_GUARD_LEASE, FIRST_SEED, 2000, &unfinished) > 0);
}

/* With a seed as argument, runs only that schedule and prints its result. */
int
main(int argc, char **argv)
{
	CU_TestInfo tests[] = {
	    {"quiet schedule", test_quiet_schedule},
	    {"faults", test_faults_keep_the_invariants},
	    {"removed guards", test_removed_guards_are_noticed},
	    CU_TEST_INFO_NULL,
	};
	bp_schedule_result_t result;

	if (argc > 1) {
		bp_schedule_options_t options = {
		    strtoull(argv[1], NULL, 10), BP_GUARD_NONE, true};

		bp_schedule_run(&options, &result);
		print_result(options.seed, &result);
		return violations(&result) > 0 || result.unfinished > 0;
	}
	return bp_test_main("schedules", tests);
}
