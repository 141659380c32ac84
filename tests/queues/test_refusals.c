#include "support/runner.h"
#include "support/shardsim.h"

#include <string.h>

#define BAD "00000000000000b1"
#define OTHER_BAD "00000000000000b2"
#define GOOD "00000000000000a1"
#define TASKS 8
#define TASK_CPU_MILLI 100
#define ROUND_MS 20

/* Answers each open start: refuses those of the jobs BAD, and of all jobs at
 * the executor that refuses all. Returns the number of refused starts. */
static uint32_t
answer_starts(bp_shardsim_t *sim, const char *refuses_all)
{
	uint32_t refused = 0;
	bp_sim_order_t *start;

	while (
	    (start = bp_shardsim_open_order(sim, BP_SIM_START, NULL)) != NULL) {
		bool bad = g_str_has_prefix(start->task, BAD) ||
		    g_str_has_prefix(start->task, OTHER_BAD) ||
		    g_strcmp0(start->executor, refuses_all) == 0;

		bp_shardsim_answer(
		    start, bad ? BP_EXEC_INVALID : BP_EXEC_OK, 1000, NULL);
		refused += bad;
	}
	return refused;
}

/* Runs for a time and answers all starts; returns the number of refused. */
static uint32_t
run_ms(bp_shardsim_t *sim, int64_t duration_ms, const char *refuses_all)
{
	uint32_t refused = 0;
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += ROUND_MS) {
		bp_shardsim_run_ms(sim, ROUND_MS);
		refused += answer_starts(sim, refuses_all);
	}
	return refused;
}

/* Returns how many starts of a job's tasks an executor has got; NULL: all. */
static uint32_t
count_starts(const bp_shardsim_t *sim, const char *job, const char *executor)
{
	uint32_t starts = 0;
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		const bp_sim_order_t *order = &sim->orders[i];

		starts += order->kind == BP_SIM_START &&
		    g_str_has_prefix(order->task, job) &&
		    (executor == NULL ||
			strcmp(order->executor, executor) == 0);
	}
	return starts;
}

static void
submit(bp_shardsim_t *sim, const char *job, uint32_t tasks)
{
	bp_shardsim_submit_step(
	    sim, job, bp_shardsim_step(tasks, TASK_CPU_MILLI));
}

/* Guards against a job that no executor accepts, and that closes all of them
 * for the jobs behind it. */
static void
test_a_refused_job_closes_no_executor(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();

	submit(sim, BAD, TASKS);
	CU_ASSERT_EQUAL(run_ms(sim, 200, NULL), TASKS);
	submit(sim, GOOD, 1);
	(void)run_ms(sim, 100, NULL);
	CU_ASSERT_EQUAL(count_starts(sim, GOOD, NULL), 1);
	bp_shardsim_free(sim);
}

/* Guards against starts of a refused job without end and pause; the job says
 * why it waits, and it is tried on. */
static void
test_tries_are_spaced(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();
	char *why;

	submit(sim, BAD, TASKS);
	(void)run_ms(sim, 200, NULL);
	CU_ASSERT_TRUE(run_ms(sim, 2000, NULL) <= 5);
	why = bp_shard_why_text(sim->shard, BAD);
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "8 of 8 tasks"));
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "(invalid)"));
	g_free(why);
	(void)run_ms(sim, 10000, NULL);
	CU_ASSERT_TRUE(run_ms(sim, 10000, NULL) >= 1);
	bp_shardsim_free(sim);
}

/* Guards against a job that is blamed for an executor that refuses all jobs:
 * it runs elsewhere, and the executor is left out for others. */
static void
test_an_executor_that_refuses_all(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();

	bp_shardsim_list(sim, "i-2");
	submit(sim, "00000000000000c1", TASKS);
	submit(sim, "00000000000000c2", TASKS);
	(void)run_ms(sim, 1000, "i-1");
	CU_ASSERT_EQUAL(count_starts(sim, "00000000000000c", "i-2"), 2 * TASKS);
	submit(sim, GOOD, 1);
	(void)run_ms(sim, 100, "i-1");
	CU_ASSERT_EQUAL(count_starts(sim, GOOD, "i-2"), 1);
	CU_ASSERT_EQUAL(count_starts(sim, GOOD, "i-1"), 0);
	bp_shardsim_free(sim);
}

/* Guards against a job that is not tried again on its only executor, which
 * refused it once. */
static void
test_the_only_executor_is_tried_again(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();

	submit(sim, GOOD, TASKS);
	(void)run_ms(sim, 100, "i-1");
	(void)run_ms(sim, 1000, NULL);
	CU_ASSERT_EQUAL(count_starts(sim, GOOD, "i-1"), 2 * TASKS);
	bp_shardsim_free(sim);
}

/* Two refused jobs do not keep the executors closed in turn. */
static void
test_two_refused_jobs(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();
	uint32_t i;

	submit(sim, BAD, TASKS);
	submit(sim, OTHER_BAD, TASKS);
	(void)run_ms(sim, 5000, NULL);
	for (i = 0; i < 5; i++) {
		char *id = g_strdup_printf("00000000000000d%u", i);

		submit(sim, id, 1);
		(void)run_ms(sim, 2000, NULL);
		CU_ASSERT_EQUAL(count_starts(sim, id, NULL), 1);
		g_free(id);
	}
	bp_shardsim_free(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a refused job closes no executor",
		test_a_refused_job_closes_no_executor},
	    {"tries are spaced", test_tries_are_spaced},
	    {"an executor that refuses all", test_an_executor_that_refuses_all},
	    {"the only executor is tried again",
		test_the_only_executor_is_tried_again},
	    {"two refused jobs", test_two_refused_jobs},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/refusals", tests);
}
