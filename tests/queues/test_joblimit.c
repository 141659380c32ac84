#include "support/queuerig.h"
#include "support/runner.h"

#define SEED 411
#define EXECUTORS 8
#define SETTLE_MS 12000
/* Two steps of 9,000 tasks are 1.4 MB; the rig allows 64 MB. */
#define TASKS 9000
#define TASK_MS 100000
#define JOBS 60
/* Ended jobs keep their tasks for 20 s. */
#define COMPACTED_MS 25000

/*
 * Guards against an owner whose memory is filled by accepted jobs, and against
 * ended ones that keep others out.
 */
static void
test_jobs_are_bounded(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	const char *ids[JOBS];
	uint32_t accepted = 0;
	uint32_t refused = 0;
	uint32_t i;

	bp_qrig_run_ms(rig, SETTLE_MS);
	for (i = 0; i < JOBS; i++) {
		ids[i] = bp_qrig_submit(rig, TASKS, TASK_MS, false);
		bp_qrig_run_ms(rig, 200);
	}
	bp_qrig_run_ms(rig, 2000);
	for (i = 0; i < JOBS; i++) {
		accepted += bp_qrig_told(rig, ids[i]) == BP_QRIG_ACCEPTED;
		refused += bp_qrig_told(rig, ids[i]) == BP_QRIG_REFUSED;
	}
	CU_ASSERT_TRUE(accepted >= 20 && refused > 0);
	CU_ASSERT_EQUAL(accepted + refused, JOBS);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "jobs_refused_memory"), refused);
	for (i = 0; i < accepted; i++)
		bp_qrig_cancel(rig, ids[i]);
	bp_qrig_run_ms(rig, COMPACTED_MS);
	for (i = 0; i < accepted; i++) {
		Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;

		ids[i] = bp_qrig_submit(rig, TASKS, TASK_MS, false);
		bp_qrig_run_ms(rig, 200);
		CU_ASSERT_EQUAL(bp_qrig_told(rig, ids[i]), BP_QRIG_ACCEPTED);
		CU_ASSERT_EQUAL(bp_qrig_status(rig, ids[i], &state), BP_OK);
	}
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"jobs are bounded", test_jobs_are_bounded},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("joblimit", tests);
}
