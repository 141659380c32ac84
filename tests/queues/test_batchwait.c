#include "queues/batchorder.h"
#include "support/queuerig.h"
#include "support/runner.h"
#include "support/shardsim.h"

#include <string.h>

#define SEED 20261205
#define SETTLE_MS 3000

/* Batch load of the long days of komora-rota, at a third: far more arrives than
 * can run, for minutes. */
#define BATCH_JOBS 480
#define BATCH_TASK_MS 1000
#define BATCH_PERIOD_MS 125
#define BATCH_TASKS 10
#define BATCH_EXECUTORS 20
#define BATCH_STEP_MS 100
/* Longest time until the first start of an accepted job. */
#define BATCH_FIRST_START_MS 30000
/* No job may have nothing running for so long after the traffic. */
#define BATCH_IDLE_MS 3000
/* The platform looks 14 s after the end of the traffic. */
#define LEFT_SETTLE_MS 14000
#define BATCH_WATCHED_MS 20000

/* An accepted job and for how long it has had nothing running. */
typedef struct {
	const char *id;
	int64_t idle_ms;
} idle_job_t;

static void
mark_running(const char *task, void *data)
{
	GHashTable *running = data;
	const char *end = strchr(task, '.');

	g_hash_table_add(running, g_strndup(task, (gsize)(end - task)));
}

/* Adds a time step to the idle time of each job; returns the longest. */
static int64_t
add_idle_ms(bp_qrig_t *rig, idle_job_t *jobs, uint32_t n)
{
	GHashTable *running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int64_t longest_ms = 0;
	uint32_t i;

	bp_qfleet_each_running(bp_qrig_fleet(rig), mark_running, running);
	for (i = 0; i < n; i++) {
		Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;

		if (g_hash_table_contains(running, jobs[i].id) ||
		    bp_qrig_status(rig, jobs[i].id, &state) != BP_OK ||
		    state == BP__WORK__JOB_STATE__JOB_COMPLETED)
			jobs[i].idle_ms = 0;
		else
			jobs[i].idle_ms += BATCH_STEP_MS;
		longest_ms = MAX(longest_ms, jobs[i].idle_ms);
	}
	g_hash_table_unref(running);
	return longest_ms;
}

/* Hands in batch jobs of fillers for a minute. */
static bp_qrig_t *
run_long_batch(idle_job_t *jobs, uint32_t n, int64_t task_ms)
{
	bp_qrig_shape_t shape = {
	    .reliable = true, .filler = true, .priority = 2};
	bp_qrig_t *rig = bp_qrig_new(SEED, BATCH_EXECUTORS);
	uint32_t i;

	bp_qrig_set_shape(rig, &shape);
	bp_qrig_run_ms(rig, SETTLE_MS);
	for (i = 0; i < n; i++) {
		jobs[i].id = bp_qrig_submit(rig, BATCH_TASKS, task_ms, false);
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
	idle_job_t jobs[BATCH_JOBS] = {{0}};
	bp_qrig_t *rig = run_long_batch(jobs, BATCH_JOBS, BATCH_TASK_MS);
	int64_t longest_ms = 0;
	uint32_t overdue = 0;
	uint32_t i;

	for (i = 0; i < BATCH_JOBS; i++) {
		int64_t age_ms = (BATCH_JOBS - i) * BATCH_PERIOD_MS;
		int64_t wait_ms = bp_qrig_wait_ms(rig, jobs[i].id, 0);

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

/*
 * Guards against accepted batch jobs without a running task beside free
 * capacity once the traffic has ended, while other jobs have several running.
 */
static void
test_batch_left_after_the_traffic_runs(void)
{
	/* At the end jobs left for each place as on komora-rota. */
	uint32_t n = BATCH_JOBS / 2;
	idle_job_t jobs[BATCH_JOBS] = {{0}};
	bp_qrig_t *rig = run_long_batch(jobs, n, 3 * BATCH_TASK_MS);
	int64_t longest_ms = 0;
	uint32_t left = bp_qrig_unfinished(rig, false);
	uint32_t i;

	bp_qrig_run_ms(rig, LEFT_SETTLE_MS);
	for (i = 0; i < BATCH_WATCHED_MS / BATCH_STEP_MS; i++) {
		int64_t idle_ms;

		bp_qrig_run_ms(rig, BATCH_STEP_MS);
		idle_ms = add_idle_ms(rig, jobs, n);
		longest_ms = MAX(longest_ms, idle_ms);
	}
	printf("%u jobs left, %u at the end; longest without a running task "
	       "%d ms\n",
	    left, bp_qrig_unfinished(rig, false), (int)longest_ms);
	CU_ASSERT_TRUE(left > BATCH_EXECUTORS * 4);
	CU_ASSERT_TRUE(longest_ms < BATCH_IDLE_MS);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

/* The executor of a simulated shard has processors for this many fillers. */
#define PLACES 4
#define FILLER_MILLI 4000
#define FILLER_MS 20000
#define OLDER_JOB "000000000000000a"
#define NEWER_JOB "000000000000000b"
#define ENDED_JOB "000000000000000c"
/* By then the traffic has ended and each waiting job has a claim. */
#define CLAIMS_AFTER_MS (BP_BATCH_QUIET_MS + 500)
#define BEFORE_CLAIMS_MS 1000
/* Takes all tasks that can be placed. */
#define ROUNDS_MS 300

/* Lists the executor i-1 of a simulated shard as draining, or not. */
static void
set_draining(bp_shardsim_t *sim, bool draining)
{
	char *labels[] = {NULL};
	bp_executor_info_t info = {"i-1", "pool", "10.0.0.1:80", "za", "r1",
	    labels, PLACES * FILLER_MILLI, 64000, 0, draining, 1};

	bp_shard_update_executor(sim->shard, &info);
}

static void
submit_fillers(bp_shardsim_t *sim, const char *id, uint32_t expected_ms)
{
	Bp__Work__Step *fillers = bp_shardsim_step(PLACES, FILLER_MILLI);

	fillers->filler = true;
	fillers->image = strdup("filler");
	fillers->expected_ms = expected_ms;
	bp_shardsim_submit_step(sim, id, fillers);
}

static uint32_t
count_starts(const bp_shardsim_t *sim, const char *job)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++)
		n += sim->orders[i].kind == BP_SIM_START &&
		    g_str_has_prefix(sim->orders[i].task, job);
	return n;
}

/* Creates a shard with two jobs that can be in time for as long as a test takes
 * and an executor that takes none of them yet. */
static bp_shardsim_t *
sim_with_waiting_jobs(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();

	set_draining(sim, true);
	submit_fillers(sim, OLDER_JOB, FILLER_MS);
	submit_fillers(sim, NEWER_JOB, FILLER_MS + 1000);
	return sim;
}

/* Lets the executor take tasks: those of the newer job, and one of the older
 * job if it has a claim. Returns the started tasks of the older job. */
static uint32_t
count_claimed_starts(bp_shardsim_t *sim)
{
	set_draining(sim, false);
	bp_shardsim_run_ms(sim, ROUNDS_MS);
	CU_ASSERT_EQUAL(count_starts(sim, NEWER_JOB), PLACES);
	return count_starts(sim, OLDER_JOB);
}

/*
 * Guards against the regular turn of a job being taken for its claim: a job
 * that can still be in time got one task in its turn and the rest behind
 * others, and the claim placed more than one task.
 */
static void
test_a_claim_does_not_replace_the_regular_turn(void)
{
	bp_shardsim_t *sim = sim_with_waiting_jobs();

	bp_shardsim_run_ms(sim, CLAIMS_AFTER_MS);
	CU_ASSERT_EQUAL(count_starts(sim, NEWER_JOB), 0);
	CU_ASSERT_EQUAL(count_claimed_starts(sim), 1);
	bp_shardsim_free(sim);
}

/*
 * Guards against waits that a step of the time of day makes long or short: all
 * jobs had a claim at once, or none had one for as long as the step.
 */
static void
test_a_step_of_the_wall_clock_changes_no_claim(void)
{
	bp_shardsim_t *sim = sim_with_waiting_jobs();

	bp_shardsim_run_ms(sim, BEFORE_CLAIMS_MS);
	bp_clock_virtual_step_wall_ms(sim->clock, CLAIMS_AFTER_MS);
	CU_ASSERT_EQUAL(count_claimed_starts(sim), 0);
	bp_shardsim_free(sim);
	sim = sim_with_waiting_jobs();
	bp_shardsim_run_ms(sim, CLAIMS_AFTER_MS);
	bp_clock_virtual_step_wall_ms(sim->clock, -CLAIMS_AFTER_MS);
	CU_ASSERT_EQUAL(count_claimed_starts(sim), 1);
	bp_shardsim_free(sim);
}

/*
 * Guards against waits that begin anew with each owner: where the owner changes
 * often, no job would have a claim.
 */
static void
test_a_new_owner_counts_the_wait_before_it(void)
{
	bp_shardsim_t *sim = sim_with_waiting_jobs();

	bp_shardsim_run_ms(sim, CLAIMS_AFTER_MS);
	bp_shardsim_take_over(sim);
	bp_shardsim_answer(bp_shardsim_open_order(sim, BP_SIM_POLL, NULL),
	    BP_EXEC_OK, CLAIMS_AFTER_MS, NULL);
	CU_ASSERT_EQUAL(count_claimed_starts(sim), 1);
	bp_shardsim_free(sim);
}

static void
on_cancelled(const bp_shard_answer_t *told, void *data)
{
	(void)data;
	CU_ASSERT_EQUAL(told->kind, BP_OK);
}

/* Guards against traffic that counts as ended while jobs arrive and end within
 * a few seconds, so that only older ones are left. */
static void
test_a_job_that_has_ended_belongs_to_the_traffic(void)
{
	bp_shardsim_t *sim = sim_with_waiting_jobs();
	Bp__Work__JobRef ended = BP__WORK__JOB_REF__INIT;

	ended.queue = (char *)"q";
	ended.id = (char *)ENDED_JOB;
	bp_shardsim_run_ms(sim, CLAIMS_AFTER_MS - 2 * BEFORE_CLAIMS_MS);
	submit_fillers(sim, ENDED_JOB, FILLER_MS);
	bp_shardsim_run_ms(sim, BEFORE_CLAIMS_MS);
	bp_shard_cancel(sim->shard, &ended, on_cancelled, NULL);
	bp_shardsim_run_ms(sim, BEFORE_CLAIMS_MS);
	CU_ASSERT_EQUAL(count_claimed_starts(sim), 0);
	bp_shardsim_run_ms(sim, CLAIMS_AFTER_MS);
	CU_ASSERT_EQUAL(count_starts(sim, OLDER_JOB), 1);
	bp_shardsim_free(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"waits of batch are bounded", test_waits_of_batch_are_bounded},
	    {"batch left after the traffic runs",
		test_batch_left_after_the_traffic_runs},
	    {"a claim does not replace the regular turn",
		test_a_claim_does_not_replace_the_regular_turn},
	    {"a step of the wall clock changes no claim",
		test_a_step_of_the_wall_clock_changes_no_claim},
	    {"a new owner counts the wait before it",
		test_a_new_owner_counts_the_wait_before_it},
	    {"a job that has ended belongs to the traffic",
		test_a_job_that_has_ended_belongs_to_the_traffic},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/batchwait", tests);
}
