#include "support/queuenodes.h"
#include "support/runner.h"

#include <signal.h>

#define ROUNDS 4
#define JOBS 6
/* The label that only the first executor has, in its first incarnation. */
#define JOB_FIRST                                                    \
	"{\"task_spec\":\"t\",\"steps\":[{\"count\":2,\"cpu\":1000," \
	"\"long_running\":true,\"requirements\":\"first\"}]}"
/* Longer than the interval at which nodes read the list of executors. */
#define LISTED_MS 1200
/* Jobs arrive this long after the restart, before the list is read. */
#define SUBMIT_AFTER_MS 20
#define SUBMIT_APART_MS 40

typedef struct {
	bp_qfleet_t *fleet;
	int64_t born_ms;
} restart_t;

static int64_t
born_ms_of(const bp_qfleet_t *fleet)
{
	bp_executor_info_t *info = bp_qfleet_info(fleet, 0);
	int64_t born_ms = info->born_ms;

	bp_executor_info_free(info);
	return born_ms;
}

static bool
has_restarted(void *data)
{
	const restart_t *restart = data;

	return born_ms_of(restart->fleet) != restart->born_ms;
}

/* Crashes the first executor; returns once its next incarnation has begun. */
static void
restart_as(bp_queuenodes_t *fixture, const char *kind)
{
	bp_qfleet_t *fleet = bp_queuehttp_fleet(fixture->platform);
	restart_t restart = {fleet, born_ms_of(fleet)};

	bp_qfleet_set_kind(fleet, 0, kind);
	bp_queuehttp_crash(fixture->platform, 0);
	CU_ASSERT_TRUE(bp_wait_until(has_restarted, &restart));
}

static uint32_t
misplaced(bp_queuenodes_t *fixture, uint32_t round)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < JOBS; i++) {
		char *id = g_strdup_printf("f%015x", round * JOBS + i);

		count += bp_qfleet_running_on(
		    bp_queuehttp_fleet(fixture->platform), 0, id);
		g_free(id);
	}
	return count;
}

static void
call_all(bp_queuenodes_t *fixture, uint32_t round, const char *method)
{
	uint32_t i;

	for (i = 0; i < JOBS; i++) {
		char *path = g_strdup_printf("/q/f%015x", round * JOBS + i);

		CU_ASSERT_TRUE(
		    bp_queuenodes_expect(fixture, i % BP_QUEUENODES, method,
			path, method[0] == 'P' ? JOB_FIRST : NULL, 200, NULL));
		bp_run_for_ms(SUBMIT_APART_MS);
		g_free(path);
	}
}

/*
 * An executor that runs nothing restarts under its ID without the label that a
 * job requires, and the job arrives before any node knows. Guards against
 * starts that are decided by the entry of an earlier incarnation.
 */
static void
test_an_idle_executor_restarts_as_another_kind(void)
{
	bp_queuenodes_t fixture;
	uint32_t round;

	bp_queuenodes_setup(&fixture, "incarnations");
	for (round = 0; round < ROUNDS; round++) {
		bp_run_for_ms(LISTED_MS);
		restart_as(&fixture, "other");
		bp_run_for_ms(SUBMIT_AFTER_MS);
		call_all(&fixture, round, "POST");
		CU_ASSERT_EQUAL(misplaced(&fixture, round), 0);
		bp_run_for_ms(LISTED_MS);
		CU_ASSERT_EQUAL(misplaced(&fixture, round), 0);
		call_all(&fixture, round, "DELETE");
		restart_as(&fixture, "first");
	}
	bp_queuenodes_teardown(&fixture);
}

/* The same executor is used again once its entry has the label. */
static bool
both_run(void *data)
{
	return bp_qfleet_running_on(data, 0, "f") == 2;
}

static void
test_a_restarted_executor_is_used(void)
{
	bp_queuenodes_t fixture;

	bp_queuenodes_setup(&fixture, "restarted");
	restart_as(&fixture, "first");
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "POST", "/q/f0000000000000a1", JOB_FIRST, 200, NULL));
	CU_ASSERT_TRUE(
	    bp_wait_until(both_run, bp_queuehttp_fleet(fixture.platform)));
	bp_queuenodes_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"an idle executor restarts as another kind",
		test_an_idle_executor_restarts_as_another_kind},
	    {"a restarted executor is used", test_a_restarted_executor_is_used},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/incarnations", tests);
}
