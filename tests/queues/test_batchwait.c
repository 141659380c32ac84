#include "support/queuerig.h"
#include "support/runner.h"

#define SEED 20261205
#define SETTLE_MS 3000

/* Batch load of the long days of komora-rota, at a third: far more arrives than
 * can run, for minutes. */
#define BATCH_JOBS 480
#define BATCH_TASK_MS 1000
#define BATCH_PERIOD_MS 125
#define BATCH_TASKS 10
#define BATCH_EXECUTORS 20
/* Longest time until the first start of an accepted job. */
#define BATCH_FIRST_START_MS 30000

/* Hands in batch jobs of fillers for a minute. */
static bp_qrig_t *
run_long_batch(const char **jobs, uint32_t n, int64_t task_ms)
{
	bp_qrig_shape_t shape = {
	    .reliable = true, .filler = true, .priority = 2};
	bp_qrig_t *rig = bp_qrig_new(SEED, BATCH_EXECUTORS);
	uint32_t i;

	bp_qrig_set_shape(rig, &shape);
	bp_qrig_run_ms(rig, SETTLE_MS);
	for (i = 0; i < n; i++) {
		jobs[i] = bp_qrig_submit(rig, BATCH_TASKS, task_ms, false);
		bp_qrig_run_ms(rig, BATCH_PERIOD_MS);
	}
	return rig;
}

/*
 * Guards against an accepted batch job that waits for as long as newer jobs
 * arrive that can still be in time: twice the work that there is capacity for.
 */
static void
test_waits_of_batch_are_bounded(void)
{
	const char *jobs[BATCH_JOBS];
	bp_qrig_t *rig = run_long_batch(jobs, BATCH_JOBS, BATCH_TASK_MS);
	int64_t longest_ms = 0;
	uint32_t overdue = 0;
	uint32_t i;

	for (i = 0; i < BATCH_JOBS; i++) {
		int64_t age_ms = (BATCH_JOBS - i) * BATCH_PERIOD_MS;
		int64_t wait_ms = bp_qrig_wait_ms(rig, jobs[i], 0);

		wait_ms = wait_ms < 0 ? age_ms : wait_ms;
		longest_ms = MAX(longest_ms, wait_ms);
		overdue += wait_ms > BATCH_FIRST_START_MS;
	}
	printf("longest wait for the first start %d ms, %u of %u over %d ms\n",
	    (int)longest_ms, overdue, BATCH_JOBS, BATCH_FIRST_START_MS);
	CU_ASSERT_TRUE(longest_ms <= BATCH_FIRST_START_MS);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"waits of batch are bounded", test_waits_of_batch_are_bounded},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/batchwait", tests);
}
