#include "support/queuerig.h"
#include "support/runner.h"

#define SEED 20261205
#define SETTLE_MS 3000
/* With four tasks each they have room for 1,450 starts a second. */
#define EXECUTORS 400
#define TASK_MS 1000
/* At the peak; one courier in ten carries a tenth of them. */
#define STARTS_PER_S 1200
#define SLOW_MS 700
/* Each way, at most: starts took 60 to 90 ms at that size. */
#define JITTER_MS 60
#define MEASURED_S 4

/* Guards against a slow courier that holds up the starts of all others. */
static void
test_a_slow_courier_holds_up_no_others(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	uint32_t before;
	uint32_t started;
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++) {
		if (bp_qfleet_carrier_of(i) == 0)
			bp_qfleet_set_slow_ms(bp_qrig_fleet(rig), i, SLOW_MS);
	}
	bp_qfleet_set_jitter_ms(bp_qrig_fleet(rig), JITTER_MS);
	bp_qrig_run_ms(rig, SETTLE_MS);
	for (i = 0; i < 20; i++)
		(void)bp_qrig_submit(rig, 800, TASK_MS, false);
	bp_qrig_run_ms(rig, 3000);
	before = bp_qfleet_starts(bp_qrig_fleet(rig));
	bp_qrig_run_ms(rig, MEASURED_S * 1000);
	started = bp_qfleet_starts(bp_qrig_fleet(rig)) - before;
	CU_ASSERT_TRUE(started >= MEASURED_S * STARTS_PER_S * 9 / 10);
	if (started < MEASURED_S * STARTS_PER_S * 9 / 10)
		printf("%u starts in %u s\n", started, MEASURED_S);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a slow courier holds up no others",
		test_a_slow_courier_holds_up_no_others},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/overload", tests);
}
