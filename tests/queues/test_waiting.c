#include "support/queuerig.h"
#include "support/runner.h"

#define SEED 20261206
#define SETTLE_MS 3000
/* No long-running task may be down for so long while there is capacity. */
#define DOWN_MAX_MS 3000
#define EXECUTOR_MILLI 16000

static bp_qrig_t *
start_simulation(uint32_t executors)
{
	bp_qrig_t *sim = bp_qrig_new(SEED, executors);

	bp_qrig_run_ms(sim, SETTLE_MS);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	return sim;
}

static uint32_t
count_running(bp_qrig_t *sim, const char *id)
{
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < bp_qfleet_size(fleet); i++)
		sum += bp_qfleet_running_on(fleet, i, id);
	return sum;
}

static void
finish_simulation(bp_qrig_t *sim)
{
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	if (bp_qrig_broken(sim) > 0)
		printf("%s\n", bp_qrig_first_broken(sim));
	bp_qrig_free(sim);
}

#define NEARLY_WHOLE_MILLI 15200
#define SMALL_MILLI 200

/*
 * Guards against long-running tasks of low priority that may not use the last
 * capacity of a full service: they should run wherever there is capacity.
 */
static void
test_long_running_tasks_use_the_last_capacity(void)
{
	bp_qrig_shape_t urgent = {.cpu_milli = NEARLY_WHOLE_MILLI};
	bp_qrig_shape_t later = {.cpu_milli = SMALL_MILLI, .priority = 1};
	bp_qrig_t *sim = start_simulation(6);
	const char *id;

	bp_qrig_set_shape(sim, &urgent);
	(void)bp_qrig_submit(sim, 6, 0, true);
	bp_qrig_run_ms(sim, 1000);
	bp_qrig_set_shape(sim, &later);
	id = bp_qrig_submit(sim, 2, 0, true);
	bp_qrig_run_ms(sim, DOWN_MAX_MS);
	CU_ASSERT_EQUAL(count_running(sim, id), 2);
	finish_simulation(sim);
}

/* Guards against batch work that waits although its own executors are idle,
 * because those of another service are full. */
static void
test_a_full_service_closes_no_other(void)
{
	bp_qrig_shape_t urgent = {.cpu_milli = EXECUTOR_MILLI};
	bp_qrig_shape_t batch = {
	    .priority = 1, .service = "other", .reliable = true};
	bp_qrig_t *sim = bp_qrig_new(SEED, 20);
	const char *id;

	bp_qfleet_set_service(bp_qrig_fleet(sim), 19, "other");
	bp_qrig_run_ms(sim, SETTLE_MS);
	bp_qrig_set_shape(sim, &urgent);
	(void)bp_qrig_submit(sim, 19, 0, true);
	bp_qrig_run_ms(sim, 1000);
	bp_qrig_set_shape(sim, &batch);
	id = bp_qrig_submit(sim, 1, 60000, false);
	bp_qrig_run_ms(sim, DOWN_MAX_MS);
	CU_ASSERT_EQUAL(bp_qfleet_running_on(bp_qrig_fleet(sim), 19, id), 1);
	finish_simulation(sim);
}

#define MANY_EXECUTORS 24
#define LARGE_MILLI 12000
#define FREE_MILLI 4000

/*
 * Guards against a long-running task that has waited long enough to use
 * reserved capacity, and is not placed because a short task of the same size
 * was rejected there.
 */
static void
test_reservations_yield_to_long_running_tasks(void)
{
	bp_qrig_shape_t whole = {.cpu_milli = EXECUTOR_MILLI};
	bp_qrig_shape_t large = {.cpu_milli = LARGE_MILLI, .reliable = true};
	bp_qrig_shape_t small = {.cpu_milli = FREE_MILLI / 4, .reliable = true};
	bp_qrig_t *sim = start_simulation(MANY_EXECUTORS);
	const char *id;
	uint32_t i;

	bp_qrig_set_shape(sim, &whole);
	(void)bp_qrig_submit(sim, MANY_EXECUTORS - 1, 0, true);
	bp_qrig_run_ms(sim, 1000);
	/* One runs and leaves some capacity free; the executor is reserved for
	 * the other. */
	bp_qrig_set_shape(sim, &large);
	(void)bp_qrig_submit(sim, 2, 30000, false);
	bp_qrig_run_ms(sim, 1000);
	bp_qrig_set_shape(sim, &small);
	for (i = 0; i < 4; i++)
		(void)bp_qrig_submit(sim, 4, 60000, false);
	id = bp_qrig_submit(sim, 1, 0, true);
	bp_qrig_run_ms(sim, DOWN_MAX_MS);
	CU_ASSERT_EQUAL(count_running(sim, id), 1);
	finish_simulation(sim);
}

#define BUSY_EXECUTORS 100
#define SLOW_ANSWER_MS 1000
#define BUSY_TASKS 20
#define BUSY_TASK_MS 4000
#define BUSY_PERIOD_MS 85
#define BUSY_S 10

/*
 * Guards against long-running tasks that wait in spite of free capacity,
 * because urgent work that can still be on time arrives faster than starts can
 * be sent.
 */
static void
test_full_start_limits_let_long_running_tasks_pass(void)
{
	bp_qrig_shape_t urgent = {.cpu_milli = 100, .reliable = true};
	bp_qrig_shape_t later = {.cpu_milli = 1000, .priority = 1};
	bp_qrig_t *sim = bp_qrig_new(SEED, BUSY_EXECUTORS);
	const char *id = NULL;
	uint32_t i;

	for (i = 0; i < BUSY_EXECUTORS; i++)
		bp_qfleet_set_slow_ms(bp_qrig_fleet(sim), i, SLOW_ANSWER_MS);
	bp_qrig_run_ms(sim, SETTLE_MS);
	for (i = 0; i < BUSY_S * 1000 / BUSY_PERIOD_MS; i++) {
		bp_qrig_set_shape(sim, &urgent);
		(void)bp_qrig_submit(sim, BUSY_TASKS, BUSY_TASK_MS, false);
		bp_qrig_run_ms(sim, BUSY_PERIOD_MS);
		if (i * BUSY_PERIOD_MS < BUSY_S * 1000 - DOWN_MAX_MS ||
		    id != NULL)
			continue;
		bp_qrig_set_shape(sim, &later);
		id = bp_qrig_submit(sim, 4, 0, true);
	}
	CU_ASSERT_EQUAL(count_running(sim, id), 4);
	finish_simulation(sim);
}

#define FAILING_TASKS 12
#define FAILS_AFTER_MS 3000
#define OBSERVED_MS 60000
#define SAMPLE_MS 100

/* Returns the longest time for which a task of the job did not run, in ms. */
static int64_t
longest_down_ms(
    bp_qrig_t *sim, const char *id, uint32_t tasks, int64_t observed_ms)
{
	int64_t *down_ms = g_new0(int64_t, tasks);
	int64_t longest_ms = 0;
	int64_t elapsed_ms;
	uint32_t k;

	for (elapsed_ms = 0; elapsed_ms < observed_ms;
	     elapsed_ms += SAMPLE_MS) {
		bp_qrig_run_ms(sim, SAMPLE_MS);
		for (k = 0; k < tasks; k++) {
			char *task = g_strdup_printf("%s.0.0.%u", id, k);

			down_ms[k] =
			    bp_qfleet_running_of(bp_qrig_fleet(sim), task) > 0
			    ? 0
			    : down_ms[k] + SAMPLE_MS;
			longest_ms = MAX(longest_ms, down_ms[k]);
			g_free(task);
		}
	}
	g_free(down_ms);
	return longest_ms;
}

/*
 * Guards against executors in backoff because long-running tasks, which never
 * succeed, have failed there now and then.
 */
static void
test_what_lasts_and_fails_comes_back(void)
{
	bp_qrig_shape_t shape = {.fails_after_ms = FAILS_AFTER_MS};
	bp_qrig_t *sim = start_simulation(6);
	const char *id;

	bp_qrig_set_shape(sim, &shape);
	id = bp_qrig_submit(sim, FAILING_TASKS, 0, true);
	CU_ASSERT_TRUE(
	    longest_down_ms(sim, id, FAILING_TASKS, OBSERVED_MS) < DOWN_MAX_MS);
	finish_simulation(sim);
}

#define FAILS_AT_ONCE_MS 20
#define SOUND_TASKS 12

/*
 * Guards against a defective job that fails wherever it starts and puts all
 * executors into backoff, so that other jobs have none.
 */
static void
test_a_hopeless_job_holds_no_executors(void)
{
	bp_qrig_shape_t hopeless = {.fails_after_ms = FAILS_AT_ONCE_MS};
	bp_qrig_shape_t sound = {.reliable = true};
	bp_qrig_t *sim = start_simulation(6);
	const char *id;

	bp_qrig_set_shape(sim, &hopeless);
	(void)bp_qrig_submit(sim, 6, 0, true);
	bp_qrig_run_ms(sim, 5000);
	bp_qrig_set_shape(sim, &sound);
	id = bp_qrig_submit(sim, SOUND_TASKS, 0, true);
	bp_qrig_run_ms(sim, DOWN_MAX_MS);
	CU_ASSERT_EQUAL(count_running(sim, id), SOUND_TASKS);
	finish_simulation(sim);
}

#define BATCH_JOBS 8

/*
 * Guards against sums of requests that wrap: a job that asks for more than any
 * executor has would seem to fit beside what runs there, be started in vain
 * again and again, and use up the starts of all other jobs.
 */
static void
test_a_request_of_any_size_starts_nothing(void)
{
	static const uint32_t sizes[] = {UINT32_MAX, UINT32_MAX - 999,
	    UINT32_MAX - 3999, (uint32_t)1 << 31, ((uint32_t)1 << 31) - 2000};
	bp_qrig_shape_t sound = {.reliable = true, .cpu_milli = 1000};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bp_qrig_shape_t poison = {.cpu_milli = sizes[i]};
		bp_qrig_t *sim = start_simulation(6);
		const char *ids[BATCH_JOBS];
		const char *poisoned[2];
		uint32_t k;

		bp_qrig_set_shape(sim, &sound);
		(void)bp_qrig_submit(sim, 12, 0, true);
		bp_qrig_run_ms(sim, 1000);
		bp_qrig_set_shape(sim, &poison);
		poisoned[0] = bp_qrig_submit(sim, 36, 1000, false);
		poisoned[1] = bp_qrig_submit(sim, 36, 0, true);
		sound.priority = 1;
		bp_qrig_set_shape(sim, &sound);
		for (k = 0; k < BATCH_JOBS; k++)
			ids[k] = bp_qrig_submit(sim, 2, 300, false);
		bp_qrig_run_ms(sim, 3000);
		for (k = 0; k < BATCH_JOBS; k++) {
			char *task = g_strdup_printf("%s.0.0.1", ids[k]);

			CU_ASSERT_TRUE(
			    bp_qfleet_has_done(bp_qrig_fleet(sim), task));
			g_free(task);
		}
		for (k = 0; k < G_N_ELEMENTS(poisoned); k++) {
			char *task = g_strdup_printf("%s.0.0.0", poisoned[k]);

			CU_ASSERT_EQUAL(
			    bp_qfleet_starts_of(bp_qrig_fleet(sim), task), 0);
			g_free(task);
		}
		finish_simulation(sim);
	}
}

#define RESTART_PERIOD_MS 2000
#define RESTARTS 12

/*
 * Guards against tasks that fail during a rolling restart of all owners and
 * stay down because one reconciliation follows the other.
 */
static void
test_long_running_tasks_return_during_rolling_restart(void)
{
	bp_qrig_shape_t shape = {.fails_after_ms = FAILS_AFTER_MS};
	bp_qrig_t *sim = start_simulation(6);
	int64_t longest_ms = 0;
	const char *id;
	uint32_t i;

	bp_qrig_set_shape(sim, &shape);
	id = bp_qrig_submit(sim, FAILING_TASKS, 0, true);
	bp_qrig_run_ms(sim, 1000);
	for (i = 0; i < RESTARTS; i++) {
		int owner = bp_qrig_owner(sim);

		if (owner >= 0)
			bp_qrig_leave(sim, (uint32_t)owner);
		longest_ms = MAX(longest_ms,
		    longest_down_ms(
			sim, id, FAILING_TASKS, RESTART_PERIOD_MS / 2));
		if (owner >= 0) {
			bp_qrig_kill(sim, (uint32_t)owner);
			bp_qrig_restart(sim, (uint32_t)owner);
		}
		longest_ms = MAX(longest_ms,
		    longest_down_ms(
			sim, id, FAILING_TASKS, RESTART_PERIOD_MS / 2));
	}
	CU_ASSERT_TRUE(longest_ms < RESTART_PERIOD_MS / 2);
	if (longest_ms >= RESTART_PERIOD_MS / 2)
		printf("down for %u ms\n", (unsigned)longest_ms);
	finish_simulation(sim);
}

static bool
has_capacity(const bp_qfleet_t *fleet, uint32_t cpu_milli)
{
	uint32_t i;

	for (i = 0; i < bp_qfleet_size(fleet); i++) {
		if (bp_qfleet_free_milli(fleet, i) >= cpu_milli)
			return true;
	}
	return false;
}

#define BURST_MS 20000
#define BURST_PERIOD_MS 50
#define BURST_JITTER_MS 100
#define BURST_TASK_MILLI 1000

/*
 * Guards against a long-running task that stays down during a burst of short
 * urgent work that takes all capacity as it becomes free. Orders take some
 * time, so that there is always capacity for two such tasks somewhere.
 */
static void
test_long_running_tasks_return_beside_a_burst(void)
{
	bp_qrig_shape_t urgent = {
	    .cpu_milli = BURST_TASK_MILLI, .reliable = true};
	bp_qrig_shape_t shape = {.cpu_milli = BURST_TASK_MILLI,
	    .priority = 1,
	    .fails_after_ms = FAILS_AFTER_MS};
	bp_qrig_t *sim = bp_qrig_new(SEED, MANY_EXECUTORS);
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	int64_t down_ms = 0;
	int64_t longest_ms = 0;
	int64_t at_ms;
	const char *id;

	bp_qfleet_set_jitter_ms(fleet, BURST_JITTER_MS);
	bp_qrig_run_ms(sim, SETTLE_MS);
	bp_qrig_set_shape(sim, &shape);
	id = bp_qrig_submit(sim, 1, 0, true);
	bp_qrig_run_ms(sim, 1000);
	bp_qrig_set_shape(sim, &urgent);
	for (at_ms = 0; at_ms < BURST_MS; at_ms += BURST_PERIOD_MS) {
		bool acceptable;

		(void)bp_qrig_submit(sim, 20, 2000 + at_ms % 2000, false);
		bp_qrig_run_ms(sim, BURST_PERIOD_MS);
		acceptable = count_running(sim, id) > 0 ||
		    !has_capacity(fleet, 2 * BURST_TASK_MILLI);
		down_ms = acceptable ? 0 : down_ms + BURST_PERIOD_MS;
		longest_ms = MAX(longest_ms, down_ms);
	}
	CU_ASSERT_TRUE(longest_ms < DOWN_MAX_MS);
	if (longest_ms >= DOWN_MAX_MS)
		printf("down for %u ms\n", (unsigned)longest_ms);
	finish_simulation(sim);
}

/*
 * Guards against a long-running task that waits although there is capacity on
 * an executor. Short tasks of several jobs have failed there, but it works
 * again, and it is the only one with capacity.
 */
static void
test_what_lasts_tries_a_quarantined_executor(void)
{
	bp_qrig_shape_t whole = {.cpu_milli = EXECUTOR_MILLI};
	bp_qrig_shape_t small = {.cpu_milli = FREE_MILLI};
	bp_qrig_t *sim = start_simulation(2);
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	uint32_t full = 0;
	const char *id;
	uint32_t i;

	bp_qrig_set_shape(sim, &whole);
	id = bp_qrig_submit(sim, 1, 0, true);
	bp_qrig_run_ms(sim, 1000);
	while (bp_qfleet_running_on(fleet, full, id) == 0)
		full++;
	bp_qfleet_set_failing(fleet, 1 - full, true);
	bp_qrig_set_shape(sim, &small);
	for (i = 0; i < 3; i++) {
		(void)bp_qrig_submit(sim, 1, 200, false);
		bp_qrig_run_ms(sim, 300);
	}
	bp_qfleet_set_failing(fleet, 1 - full, false);
	id = bp_qrig_submit(sim, 2, 0, true);
	bp_qrig_run_ms(sim, DOWN_MAX_MS);
	CU_ASSERT_EQUAL(count_running(sim, id), 2);
	finish_simulation(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"what lasts uses the last room",
		test_long_running_tasks_use_the_last_capacity},
	    {"a full service closes no other",
		test_a_full_service_closes_no_other},
	    {"kept room does not stand for what lasts",
		test_reservations_yield_to_long_running_tasks},
	    {"full lanes let what lasts pass",
		test_full_start_limits_let_long_running_tasks_pass},
	    {"what lasts and fails comes back",
		test_what_lasts_and_fails_comes_back},
	    {"a hopeless job holds no executors",
		test_a_hopeless_job_holds_no_executors},
	    {"a request of any size starts nothing",
		test_a_request_of_any_size_starts_nothing},
	    {"what lasts comes back while owners roll",
		test_long_running_tasks_return_during_rolling_restart},
	    {"what lasts comes back beside a rush",
		test_long_running_tasks_return_beside_a_burst},
	    {"what lasts tries a quarantined executor",
		test_what_lasts_tries_a_quarantined_executor},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/waiting", tests);
}
