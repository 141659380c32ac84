#include "support/queuerig.h"
#include "support/runner.h"

#define SEED 20261205
#define SETTLE_MS 3000
/* With four tasks each they have capacity for 1,450 starts a second. */
#define EXECUTORS 400
#define TASK_MS 1000
/* Starts at the peak; one of ten proxies sends a tenth of them. */
#define STARTS_PER_S 1200
#define PROXY_DELAY_MS 700
/* Greatest delay each way: starts take 60 to 90 ms at that size. */
#define JITTER_MS 60
#define MEASURED_S 4

/* Guards against a slow proxy that delays the starts through all others. */
static void
test_a_slow_courier_holds_up_no_others(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	uint32_t before;
	uint32_t started;
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++) {
		if (bp_qfleet_carrier_of(i) == 0)
			bp_qfleet_set_slow_ms(
			    bp_qrig_fleet(rig), i, PROXY_DELAY_MS);
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

/*
 * Guards against rounds whose cost grows with the product of executors and
 * waiting tasks: fillers are most of all starts, also at start limits.
 */
static void
test_fillers_are_placed_without_asking_all(void)
{
	bp_qrig_shape_t shape = {.reliable = true, .filler = true};
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	uint64_t starts;
	uint64_t examined;
	uint32_t i;

	bp_qrig_set_shape(rig, &shape);
	bp_qfleet_set_jitter_ms(bp_qrig_fleet(rig), JITTER_MS);
	bp_qrig_run_ms(rig, SETTLE_MS);
	/* Three quarters of the capacity. */
	for (i = 0; i < 6; i++)
		(void)bp_qrig_submit(rig, 200, TASK_MS, false);
	bp_qrig_run_ms(rig, 4000);
	starts = bp_qrig_count(rig, "starts");
	examined = bp_qrig_count(rig, "executors_examined");
	CU_ASSERT_TRUE(starts > 2 * EXECUTORS);
	CU_ASSERT_TRUE(examined / MAX(starts, 1) < EXECUTORS / 4);
	if (examined / MAX(starts, 1) >= EXECUTORS / 4)
		printf("%u executors examined for %u starts\n",
		    (unsigned)examined, (unsigned)starts);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

/* Urgent work is to start within this time. */
#define URGENT_START_MS 9400
#define FULL_EXECUTORS 24
#define LARGE_MILLI 12000

/* Guards against a large urgent task that waits as long as small tasks arrive
 * and take all capacity that becomes free. */
static void
test_a_large_task_gets_its_gap(void)
{
	bp_qrig_shape_t small = {.reliable = true, .cpu_milli = 2000};
	bp_qrig_shape_t large = {.reliable = true, .cpu_milli = LARGE_MILLI};
	bp_qrig_t *rig = bp_qrig_new(SEED, FULL_EXECUTORS);
	char *task = NULL;
	uint32_t starts;
	uint32_t i;

	bp_qrig_run_ms(rig, SETTLE_MS);
	/* Twice the work that the executors have capacity for. */
	for (i = 0; i < 200; i++) {
		if (i == 20) {
			bp_qrig_set_shape(rig, &large);
			task = g_strdup_printf(
			    "%s.0.0.0", bp_qrig_submit(rig, 1, 800, false));
		}
		bp_qrig_set_shape(rig, &small);
		(void)bp_qrig_submit(rig, 24, 300 + i * 137 % 900, false);
		bp_qrig_run_ms(rig, 80);
		starts = task != NULL
		    ? bp_qfleet_starts_of(bp_qrig_fleet(rig), task)
		    : 0;
		if (starts > 0 || i * 80 > 20 * 80 + URGENT_START_MS)
			break;
	}
	CU_ASSERT_EQUAL(starts, 1);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	g_free(task);
	bp_qrig_free(rig);
}

/* Jobs of two steps whose objective is four times the length of a task. */
#define JOBS 200
#define JOB_TASKS 8
#define JOB_PERIOD_MS 100
#define JOB_EXECUTORS 20
#define SLOTS (JOB_EXECUTORS * 4)

typedef struct {
	const char *id;
	int64_t due_ms; /* since the first job */
	bool done;
	bool in_time;
} expected_t;

static void
note_completed(bp_qrig_t *rig, expected_t *jobs, uint32_t n, int64_t at_ms)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;

		if (jobs[i].done ||
		    bp_qrig_status(rig, jobs[i].id, &state) != BP_OK ||
		    state != BP__WORK__JOB_STATE__JOB_COMPLETED)
			continue;
		jobs[i].done = true;
		jobs[i].in_time = at_ms <= jobs[i].due_ms;
	}
}

/*
 * Guards against an order in which all jobs wait so long that all miss their
 * objective: with twice the work that there is capacity for, half of the jobs
 * that the capacity could serve must be in time.
 */
static void
test_jobs_are_in_time_beside_too_much_work(void)
{
	bp_qrig_shape_t shape = {.reliable = true};
	bp_qrig_t *rig = bp_qrig_new(SEED, JOB_EXECUTORS);
	expected_t jobs[JOBS] = {{0}};
	uint32_t servable =
	    SLOTS * JOBS * JOB_PERIOD_MS / (2 * JOB_TASKS * TASK_MS);
	uint32_t in_time = 0;
	uint32_t n;

	bp_qrig_set_shape(rig, &shape);
	bp_qrig_run_ms(rig, SETTLE_MS);
	for (n = 0; n < JOBS; n++) {
		jobs[n].id = bp_qrig_submit(rig, JOB_TASKS, TASK_MS, false);
		jobs[n].due_ms = (int64_t)n * JOB_PERIOD_MS + 4 * TASK_MS;
		bp_qrig_run_ms(rig, JOB_PERIOD_MS);
		note_completed(rig, jobs, n + 1, (n + 1) * JOB_PERIOD_MS);
	}
	for (n = 0; n < JOBS; n++)
		in_time += jobs[n].in_time;
	CU_ASSERT_TRUE(in_time >= servable / 2);
	if (in_time < servable / 2)
		printf(
		    "%u of %u in time, room for %u\n", in_time, JOBS, servable);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

/* Short jobs that need half of the capacity, and long-running ones that would
 * take all of it. */
#define SHORT_JOBS 150
#define SHORT_MS 800
#define LASTING_JOBS 60
#define LASTING_ACTIVE 20

/*
 * Guards against long-running tasks that take all capacity which short urgent
 * tasks leave and occupy it: tasks that can be in time go first.
 */
static void
test_short_tasks_go_before_lasting_ones(void)
{
	bp_qrig_shape_t shape = {.reliable = true};
	bp_qrig_t *rig = bp_qrig_new(SEED, FULL_EXECUTORS);
	expected_t jobs[SHORT_JOBS] = {{0}};
	const char *lasting[LASTING_JOBS];
	uint32_t in_time = 0;
	uint32_t n;

	bp_qrig_set_shape(rig, &shape);
	bp_qrig_run_ms(rig, SETTLE_MS);
	for (n = 0; n < SHORT_JOBS; n++) {
		if (n % 3 == 0 && n / 3 < LASTING_JOBS) {
			uint32_t k = n / 3;

			lasting[k] = bp_qrig_submit(rig, 8, 0, true);
			if (k >= LASTING_ACTIVE)
				bp_qrig_cancel(
				    rig, lasting[k - LASTING_ACTIVE]);
		}
		jobs[n].id = bp_qrig_submit(rig, 6, SHORT_MS, false);
		jobs[n].due_ms = (int64_t)n * JOB_PERIOD_MS + 4 * SHORT_MS;
		bp_qrig_run_ms(rig, JOB_PERIOD_MS);
		note_completed(rig, jobs, n + 1, (n + 1) * JOB_PERIOD_MS);
	}
	for (n = 0; n < SHORT_JOBS; n++)
		in_time += jobs[n].in_time;
	CU_ASSERT_TRUE(in_time >= SHORT_JOBS / 2);
	if (in_time < SHORT_JOBS / 2)
		printf("%u of %u in time\n", in_time, SHORT_JOBS);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

/*
 * The batch load of the burst on swarmline-ne-grown scale-2, at a tenth: jobs
 * of two steps of fillers arrive several times faster than they can be started,
 * because each start is answered after half a second.
 */
#define BATCH_JOBS 200
#define BATCH_TASKS 20
#define BATCH_TASK_MS 1700
#define BATCH_EXECUTORS 100
#define BATCH_PERIOD_MS 85
#define BATCH_DUE_MS (5 * BATCH_TASK_MS)
#define BATCH_ANSWER_MS 500

/*
 * Guards against batch jobs that are all late: half of the jobs for which there
 * were starts must be in time.
 */
static void
test_batch_is_in_time_beside_too_much_work(void)
{
	bp_qrig_shape_t shape = {.reliable = true, .filler = true};
	bp_qrig_t *rig = bp_qrig_new(SEED, BATCH_EXECUTORS);
	expected_t jobs[BATCH_JOBS] = {{0}};
	uint32_t servable;
	uint32_t in_time = 0;
	uint32_t n;

	bp_qrig_set_shape(rig, &shape);
	bp_qfleet_set_jitter_ms(bp_qrig_fleet(rig), JITTER_MS);
	for (n = 0; n < BATCH_EXECUTORS; n++)
		bp_qfleet_set_slow_ms(bp_qrig_fleet(rig), n, BATCH_ANSWER_MS);
	bp_qrig_run_ms(rig, SETTLE_MS);
	for (n = 0; n < BATCH_JOBS; n++) {
		jobs[n].id =
		    bp_qrig_submit(rig, BATCH_TASKS, BATCH_TASK_MS, false);
		jobs[n].due_ms = (int64_t)n * BATCH_PERIOD_MS + BATCH_DUE_MS;
		bp_qrig_run_ms(rig, BATCH_PERIOD_MS);
		note_completed(rig, jobs, n + 1, (n + 1) * BATCH_PERIOD_MS);
	}
	for (n = 0; n < BATCH_JOBS; n++)
		in_time += jobs[n].in_time;
	servable = bp_qfleet_starts(bp_qrig_fleet(rig)) / (2 * BATCH_TASKS);
	CU_ASSERT_TRUE(in_time >= servable / 2);
	if (in_time < servable / 2)
		printf("%u in time, starts for %u\n", in_time, servable);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

/* Longest time that an urgent task may wait for a start limiter. */
#define START_LIMIT_WAIT_MS 600
#define URGENT_TASKS 45

/*
 * Guards against urgent tasks that wait until the starts of fillers are
 * answered: fillers leave a part of each start limit to others.
 */
static void
test_fillers_leave_lanes_to_urgent_tasks(void)
{
	bp_qrig_shape_t filler = {.reliable = true, .filler = true};
	bp_qrig_shape_t urgent = {.reliable = true};
	bp_qrig_t *rig = bp_qrig_new(SEED, BATCH_EXECUTORS);
	uint32_t started = 0;
	const char *id;
	uint32_t n;

	bp_qfleet_set_jitter_ms(bp_qrig_fleet(rig), JITTER_MS);
	for (n = 0; n < BATCH_EXECUTORS; n++)
		bp_qfleet_set_slow_ms(
		    bp_qrig_fleet(rig), n, 2 * BATCH_ANSWER_MS);
	bp_qrig_run_ms(rig, SETTLE_MS);
	bp_qrig_set_shape(rig, &filler);
	for (n = 0; n < 10; n++)
		(void)bp_qrig_submit(rig, 200, BATCH_TASK_MS, false);
	bp_qrig_run_ms(rig, 4000);
	bp_qrig_set_shape(rig, &urgent);
	id = bp_qrig_submit(rig, URGENT_TASKS, BATCH_TASK_MS, false);
	bp_qrig_run_ms(rig, START_LIMIT_WAIT_MS);
	for (n = 0; n < URGENT_TASKS; n++) {
		char *task = g_strdup_printf("%s.0.0.%u", id, n);

		started += bp_qfleet_starts_of(bp_qrig_fleet(rig), task);
		g_free(task);
	}
	CU_ASSERT_EQUAL(started, URGENT_TASKS);
	if (started != URGENT_TASKS)
		printf("%u of %u started\n", started, URGENT_TASKS);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a slow courier holds up no others",
		test_a_slow_courier_holds_up_no_others},
	    {"fillers are placed without asking all",
		test_fillers_are_placed_without_asking_all},
	    {"a large task gets its gap", test_a_large_task_gets_its_gap},
	    {"jobs are in time beside too much work",
		test_jobs_are_in_time_beside_too_much_work},
	    {"batch is in time beside too much work",
		test_batch_is_in_time_beside_too_much_work},
	    {"fillers leave lanes to urgent tasks",
		test_fillers_leave_lanes_to_urgent_tasks},
	    {"short tasks go before lasting ones",
		test_short_tasks_go_before_lasting_ones},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/overload", tests);
}
