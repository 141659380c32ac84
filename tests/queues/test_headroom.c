#include "queues/headroom.h"

#include "support/queuerig.h"
#include "support/runner.h"

#define SERVICE "pool"
#define CPU_MILLI 100000
#define LASTING_MILLI 70000
#define URGENT_MILLI 20000
#define FRAGMENTS_MILLI 6000

static bool
admits(bp_headroom_t *headroom, uint64_t lasting_milli, uint64_t request_milli,
    int64_t now_ms)
{
	bp_headroom_load_t load = {
	    .cpu_milli = CPU_MILLI, .lasting_milli = lasting_milli};

	return bp_headroom_admits(
	    headroom, SERVICE, &load, request_milli, now_ms);
}

static void
test_the_peak_of_urgent_work_is_kept(void)
{
	bp_headroom_t *headroom = bp_headroom_new();
	uint64_t rest =
	    CPU_MILLI - LASTING_MILLI - FRAGMENTS_MILLI - URGENT_MILLI;

	bp_headroom_observe(headroom, SERVICE, URGENT_MILLI, 1000);
	bp_headroom_observe(headroom, SERVICE, URGENT_MILLI / 2, 1000);
	CU_ASSERT_TRUE(admits(headroom, LASTING_MILLI, rest, 1000));
	CU_ASSERT_FALSE(admits(headroom, LASTING_MILLI, rest + 10, 1000));
	/* Another service has its own. */
	bp_headroom_observe(headroom, "other", CPU_MILLI, 1000);
	CU_ASSERT_TRUE(admits(headroom, LASTING_MILLI, rest, 1000));
	bp_headroom_free(headroom);
}

/* Guards against processors that stay unused once urgent work has ended. */
static void
test_a_peak_is_forgotten(void)
{
	bp_headroom_t *headroom = bp_headroom_new();

	bp_headroom_observe(headroom, SERVICE, URGENT_MILLI, 1000);
	CU_ASSERT_FALSE(admits(headroom, LASTING_MILLI, 20000, 1000));
	CU_ASSERT_TRUE(admits(headroom, LASTING_MILLI, 20000, 60000));
	bp_headroom_free(headroom);
}

/* Guards against long-running jobs that are all refused after an outage, when
 * more urgent work waits than the service has processors. */
static void
test_a_backlog_keeps_a_quarter(void)
{
	bp_headroom_t *headroom = bp_headroom_new();
	uint64_t rest = CPU_MILLI * 3 / 4 - FRAGMENTS_MILLI;

	bp_headroom_observe(headroom, SERVICE, 2 * CPU_MILLI, 1000);
	CU_ASSERT_TRUE(admits(headroom, rest / 2, rest / 2, 1000));
	CU_ASSERT_FALSE(admits(headroom, rest / 2, rest / 2 + 10, 1000));
	bp_headroom_free(headroom);
}

/* Guards against a job that is refused for good as it is larger than what a
 * service can keep free. */
static void
test_the_only_job_is_admitted(void)
{
	bp_headroom_t *headroom = bp_headroom_new();

	bp_headroom_observe(headroom, SERVICE, URGENT_MILLI, 1000);
	CU_ASSERT_TRUE(admits(headroom, 0, CPU_MILLI, 1000));
	bp_headroom_free(headroom);
}

/*
 * The load of pecanslate-sched-grown scale-2 at a tenth: long-running jobs
 * arrive faster than they end, beside short urgent ones.
 */
#define SEED 20261206
#define EXECUTORS 49
#define STEP_MS 100
#define STEPS 300
#define URGENT_TASKS 10
#define URGENT_MS 1000
/* Urgent work is to start within this time. */
#define URGENT_WAIT_MS 300
#define LASTING_TASKS 14
#define STEPS_PER_LASTING 20

/* Hands the load in. Returns how many urgent jobs were late, and in *refused
 * how many long-running ones were refused with a time to come back. */
static uint32_t
run_load(bp_qrig_t *rig, uint32_t *refused)
{
	bp_qrig_shape_t urgent = {.reliable = true, .single = true};
	bp_qrig_shape_t lasting = {.reliable = true};
	const char *ids[STEPS];
	uint32_t late = 0;
	uint32_t i;

	*refused = 0;
	bp_qrig_run_ms(rig, 3000);
	for (i = 0; i < STEPS; i++) {
		if (i % STEPS_PER_LASTING == 0) {
			const char *id;

			bp_qrig_set_shape(rig, &lasting);
			id = bp_qrig_submit(rig, LASTING_TASKS, 0, true);
			bp_qrig_run_ms(rig, STEP_MS / 2);
			*refused += bp_qrig_told(rig, id) == BP_QRIG_REFUSED &&
			    bp_qrig_retry_after_ms(rig, id) > 0;
		}
		bp_qrig_set_shape(rig, &urgent);
		ids[i] = bp_qrig_submit(
		    rig, i % 4 == 0 ? URGENT_TASKS : 1, URGENT_MS, false);
		bp_qrig_run_ms(rig, STEP_MS);
	}
	bp_qrig_run_ms(rig, 3000);
	for (i = 0; i < STEPS; i++) {
		int64_t wait_ms = bp_qrig_wait_ms(rig, ids[i], 0);

		late += wait_ms < 0 || wait_ms > URGENT_WAIT_MS;
	}
	return late;
}

/*
 * Guards against urgent tasks that wait for as long as long-running ones hold
 * all processors (SHORT on pecanslate-sched-grown): refused ones are told when
 * to come back.
 */
static void
test_urgent_work_finds_processors(void)
{
	bp_qrig_t *rig = bp_qrig_new_headroom(SEED, EXECUTORS);
	uint32_t refused;
	uint32_t late = run_load(rig, &refused);

	CU_ASSERT_EQUAL(late, 0);
	CU_ASSERT_TRUE(refused > 0);
	if (late > 0 || refused == 0)
		printf("%u of %u late, %u refused\n", late, STEPS, refused);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

/* Guards against refusals where the setting does not ask for them. */
static void
test_without_the_setting_all_are_accepted(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	uint32_t refused;

	(void)run_load(rig, &refused);
	CU_ASSERT_EQUAL(refused, 0);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"the peak of urgent work is kept",
		test_the_peak_of_urgent_work_is_kept},
	    {"a peak is forgotten", test_a_peak_is_forgotten},
	    {"a backlog keeps a quarter", test_a_backlog_keeps_a_quarter},
	    {"the only job is admitted", test_the_only_job_is_admitted},
	    {"urgent work finds processors", test_urgent_work_finds_processors},
	    {"without the setting all are accepted",
		test_without_the_setting_all_are_accepted},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/headroom", tests);
}
