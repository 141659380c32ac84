#include "support/queuerig.h"
#include "support/runner.h"

/*
 * The batch load of pecanslate-sched-grown trouble-1, at a twentieth: a burst
 * leaves a backlog that the load after it does not let drain. Jobs have two
 * steps of fillers, declare less than they take, and are due after twice their
 * real work.
 */
#define SEED 20261207
#define SETTLE_MS 3000
#define EXECUTORS 20
/* Fillers that run at a time. */
#define SLOTS (EXECUTORS * 4)
#define TASKS 8
#define STEPS 2
#define STRETCH 2
#define TASK_MS_MIN 600
#define TASK_MS_SPREAD 800
#define TASK_MS_MEAN (TASK_MS_MIN + TASK_MS_SPREAD / 2)
#define DECLARED_PERCENT_MIN 40
#define DECLARED_PERCENT_SPREAD 40
/* Time between two jobs that keeps all slots busy. */
#define PERIOD_MS (STEPS * TASKS * TASK_MS_MEAN / SLOTS)
#define BURST_JOBS 60
#define JOBS 240

typedef struct {
	const char *id;
	int64_t due_ms; /* since the first job */
	bool done;
	bool in_time;
} job_t;

static void
note_completed(bp_qrig_t *rig, job_t *jobs, uint32_t n, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;

		if (jobs[i].done ||
		    bp_qrig_status(rig, jobs[i].id, &state) != BP_OK ||
		    state != BP__WORK__JOB_STATE__JOB_COMPLETED)
			continue;
		jobs[i].done = true;
		jobs[i].in_time = now_ms <= jobs[i].due_ms;
	}
}

static const char *
submit(bp_qrig_t *rig, bp_random_t *random, int64_t *work_ms)
{
	bp_qrig_shape_t shape = {
	    .reliable = true, .filler = true, .priority = 2};
	int64_t task_ms = TASK_MS_MIN + bp_random_below(random, TASK_MS_SPREAD);

	shape.declared_ms = (uint32_t)(task_ms *
	    (DECLARED_PERCENT_MIN +
		bp_random_below(random, DECLARED_PERCENT_SPREAD)) /
	    100);
	bp_qrig_set_shape(rig, &shape);
	*work_ms = STEPS * task_ms;
	return bp_qrig_submit(rig, TASKS, task_ms, false);
}

/*
 * Guards against batch jobs that count as late when they arrive, since they
 * declare less than they take: then nothing keeps the backlog of a burst from
 * delaying all later jobs (SHORT on pecanslate-sched-grown). Capacity suffices
 * for the jobs after the burst; half of them must be in time.
 */
static void
test_jobs_that_declare_too_little_are_in_time(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	job_t jobs[JOBS] = {{0}};
	bp_random_t random;
	int64_t now_ms = 0;
	uint32_t in_time = 0;
	uint32_t n;

	bp_random_init(&random, SEED);
	bp_qrig_run_ms(rig, SETTLE_MS);
	for (n = 0; n < JOBS; n++) {
		uint32_t period_ms =
		    n < BURST_JOBS ? PERIOD_MS / 2 : PERIOD_MS * 21 / 20;
		int64_t work_ms;

		jobs[n].id = submit(rig, &random, &work_ms);
		jobs[n].due_ms = now_ms + STRETCH * work_ms;
		bp_qrig_run_ms(rig, period_ms);
		now_ms += period_ms;
		note_completed(rig, jobs, n + 1, now_ms);
	}
	for (n = BURST_JOBS; n < JOBS; n++)
		in_time += jobs[n].in_time;
	CU_ASSERT_TRUE(in_time >= (JOBS - BURST_JOBS) / 2);
	if (in_time < (JOBS - BURST_JOBS) / 2)
		printf("%u of %u in time\n", in_time, JOBS - BURST_JOBS);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

/* Short jobs that need half of the capacity, and long-running ones that would
 * take all of it. */
#define FULL_EXECUTORS 24
#define SHORT_JOBS 150
#define SHORT_TASKS 6
#define SHORT_MS 800
#define SHORT_PERIOD_MS 100
#define SHORT_DECLARED_MS (SHORT_MS / 2)
#define LASTING_JOBS 60
#define LASTING_TASKS 8
#define LASTING_ACTIVE 20

/* Hands in the k-th long-running job; cancels the one that makes room. */
static void
submit_lasting(bp_qrig_t *rig, const char **lasting, uint32_t k)
{
	bp_qrig_shape_t shape = {.reliable = true};

	bp_qrig_set_shape(rig, &shape);
	lasting[k] = bp_qrig_submit(rig, LASTING_TASKS, 0, true);
	if (k >= LASTING_ACTIVE)
		bp_qrig_cancel(rig, lasting[k - LASTING_ACTIVE]);
}

/*
 * Guards against short urgent jobs that count as late when they arrive, since
 * they declare less than they take, and go behind long-running tasks.
 */
static void
test_short_jobs_that_declare_too_little_go_first(void)
{
	bp_qrig_shape_t shape = {
	    .reliable = true, .declared_ms = SHORT_DECLARED_MS};
	bp_qrig_t *rig = bp_qrig_new(SEED, FULL_EXECUTORS);
	const char *lasting[LASTING_JOBS];
	job_t jobs[SHORT_JOBS] = {{0}};
	uint32_t in_time = 0;
	uint32_t n;

	bp_qrig_run_ms(rig, SETTLE_MS);
	for (n = 0; n < SHORT_JOBS; n++) {
		int64_t now_ms = (int64_t)n * SHORT_PERIOD_MS;

		if (n % 3 == 0 && n / 3 < LASTING_JOBS)
			submit_lasting(rig, lasting, n / 3);
		bp_qrig_set_shape(rig, &shape);
		jobs[n].id = bp_qrig_submit(rig, SHORT_TASKS, SHORT_MS, false);
		jobs[n].due_ms = now_ms + STRETCH * STEPS * SHORT_MS;
		bp_qrig_run_ms(rig, SHORT_PERIOD_MS);
		note_completed(rig, jobs, n + 1, now_ms + SHORT_PERIOD_MS);
	}
	for (n = 0; n < SHORT_JOBS; n++)
		in_time += jobs[n].in_time;
	CU_ASSERT_TRUE(in_time >= SHORT_JOBS / 2);
	if (in_time < SHORT_JOBS / 2)
		printf("%u of %u in time\n", in_time, SHORT_JOBS);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"jobs that declare too little are in time",
		test_jobs_that_declare_too_little_are_in_time},
	    {"short jobs that declare too little go first",
		test_short_jobs_that_declare_too_little_go_first},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/outlook", tests);
}
