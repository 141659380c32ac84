#include "support/queuerig.h"
#include "support/runner.h"

#define SEED 20261207
#define EXECUTORS 4
#define SETTLE_MS 3000
#define TASKS 4
#define STARTED_MS 500
#define RUN_MS 10000

/*
 * Guards against starts that are refused as late, and leases that lapse within
 * a second, on executors that were idle for minutes: the owner's estimate of
 * their clocks falls behind by 3% of the time since their last answer.
 */
static void
test_work_after_an_idle_time(void)
{
	static const int64_t idle_ms[] = {20000, 60000, 120000, 170000, 600000};
	bp_qrig_shape_t shape = {.reliable = true};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(idle_ms); i++) {
		bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
		const char *id;
		uint32_t task;

		bp_qrig_set_shape(rig, &shape);
		bp_qrig_run_ms(rig, SETTLE_MS + idle_ms[i]);
		id = bp_qrig_submit(rig, TASKS, 0, true);
		bp_qrig_run_ms(rig, STARTED_MS);
		CU_ASSERT_EQUAL(bp_qrig_away(rig), 0);
		bp_qrig_run_ms(rig, RUN_MS);
		for (task = 0; task < TASKS; task++)
			CU_ASSERT_TRUE(
			    bp_qrig_wait_ms(rig, id, task) < STARTED_MS);
		CU_ASSERT_EQUAL(bp_qrig_count(rig, "starts"), TASKS);
		CU_ASSERT_EQUAL(bp_qrig_count(rig, "starts_rejected"), 0);
		CU_ASSERT_EQUAL(bp_qfleet_lapses(bp_qrig_fleet(rig)), 0);
		CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
		bp_qrig_free(rig);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"work after an idle time", test_work_after_an_idle_time},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/idleclock", tests);
}
