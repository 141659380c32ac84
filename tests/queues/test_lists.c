#include "support/runner.h"
#include "support/shardsim.h"

#include <stdlib.h>
#include <string.h>

/*
 * Guards against a poll result that ends a run which only another result of the
 * same millisecond reports: the two have no known order, and the result that
 * was requested later may be the older one.
 */
static void
test_an_overtaken_list_ends_no_run(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();
	bp_sim_order_t *start;
	bp_sim_order_t *refused;
	bp_sim_order_t *newer;
	bp_sim_order_t *older;

	bp_shardsim_submit(sim, "000000000000000a");
	bp_shardsim_run_ms(sim, 200);
	start =
	    bp_shardsim_open_order(sim, BP_SIM_START, "000000000000000a.0.0.0");
	newer = bp_shardsim_open_order(sim, BP_SIM_POLL, NULL);
	bp_shardsim_submit(sim, "000000000000000b");
	bp_shardsim_run_ms(sim, 200);
	refused =
	    bp_shardsim_open_order(sim, BP_SIM_START, "000000000000000b.0.0.0");
	bp_shardsim_answer(refused, BP_EXEC_NO_CAPACITY, 1400, NULL);
	bp_shardsim_answer(newer, BP_EXEC_OK, 1500, start);
	older = bp_shardsim_open_order(sim, BP_SIM_POLL, NULL);
	bp_shardsim_answer(older, BP_EXEC_OK, 1500, NULL);
	bp_shardsim_run_ms(sim, 300);
	CU_ASSERT_PTR_EQUAL(
	    bp_shardsim_open_order(sim, BP_SIM_START, "000000000000000a.0.0.0"),
	    start);
	CU_ASSERT_PTR_NULL(bp_shardsim_open_order(sim, BP_SIM_STOP, NULL));
	bp_shardsim_answer(start, BP_EXEC_OK, 1900, NULL);
	bp_shardsim_run_ms(sim, 300);
	CU_ASSERT_PTR_NULL(bp_shardsim_open_order(
	    sim, BP_SIM_START, "000000000000000a.0.0.0"));
	bp_shardsim_free(sim);
}

#define FILLERS 3
#define SERVING_MILLI 7000
#define FILLER_MILLI 4000
#define TARGET_MS 100
/* A filler that cannot have its full speed is placed after this. */
#define SLOW_PLACEMENT_MS 1200

/* Creates a shard with a serving task and fillers on one executor, all
 * started. */
static bp_shardsim_t *
sim_with_fillers(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();
	Bp__Work__Step *serving = bp_shardsim_step(1, SERVING_MILLI);
	Bp__Work__Step *fillers = bp_shardsim_step(FILLERS, FILLER_MILLI);
	bp_sim_order_t *start;

	serving->lasting = true;
	serving->target_ms = TARGET_MS;
	serving->image = strdup("serving");
	fillers->filler = true;
	fillers->image = strdup("filler");
	fillers->checkpoints = true;
	bp_shardsim_submit_step(sim, "000000000000000a", serving);
	bp_shardsim_run_ms(sim, 200);
	bp_shardsim_submit_step(sim, "000000000000000b", fillers);
	bp_shardsim_run_ms(sim, SLOW_PLACEMENT_MS);
	while (
	    (start = bp_shardsim_open_order(sim, BP_SIM_START, NULL)) != NULL)
		bp_shardsim_answer(start, BP_EXEC_OK, 0, NULL);
	return sim;
}

/* Answers a poll with all started runs, as many as expected; tail_ms is the
 * tail latency of the serving task. */
static void
answer_with_runs(
    bp_shardsim_t *sim, int64_t clock_ms, int64_t tail_ms, uint32_t expected)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		const bp_sim_order_t *order = &sim->orders[i];
		bool serving = order->task != NULL && order->task[15] == 'a';
		bp_exec_running_t row = {order->task, order->run, "", 10,
		    serving ? tail_ms : FILLER_MILLI};

		if (order->kind == BP_SIM_START)
			g_array_append_val(rows, row);
	}
	CU_ASSERT_EQUAL(rows->len, expected);
	bp_shardsim_answer_poll(
	    bp_shardsim_open_order(sim, BP_SIM_POLL, NULL), clock_ms, rows);
	g_array_unref(rows);
}

static void
answer_with_tail(bp_shardsim_t *sim, int64_t clock_ms, int64_t tail_ms)
{
	answer_with_runs(sim, clock_ms, tail_ms, 1 + FILLERS);
}

/*
 * Guards against a step that waits for one paused filler while its others run
 * at full speed: all fillers of an executor get the same speed limit.
 */
static void
test_fillers_are_slowed_alike(void)
{
	bp_shardsim_t *sim = sim_with_fillers();
	uint32_t throttled = 0;
	uint32_t slowest = 100;
	uint32_t i;

	/* Leaves three quarters of the slack that the fillers would use. */
	answer_with_tail(sim, 1500, 87);
	for (i = 0; i < sim->n_orders; i++) {
		if (sim->orders[i].kind != BP_SIM_THROTTLE)
			continue;
		throttled++;
		slowest = MIN(slowest, sim->orders[i].percent);
	}
	CU_ASSERT_EQUAL(throttled, FILLERS);
	CU_ASSERT_TRUE(slowest >= 60);
	bp_shardsim_free(sim);
}

static Bp__Work__Step *
new_filler(uint32_t tasks, uint32_t cpu_milli)
{
	Bp__Work__Step *step = bp_shardsim_step(tasks, cpu_milli);

	step->filler = true;
	step->image = strdup("filler");
	return step;
}

/* A filler that takes hardly any latency, and the samples over a target after
 * which it is paused as well. */
#define SMALL_JOB "000000000000000c"
#define SMALL_MILLI 100
#define OVERRUNS_TO_PAUSE_ALL 5
#define SAMPLE_MS 600

/* Returns the number of speed limits that were ordered for a job; *last_percent
 * is the last of them. */
static uint32_t
count_throttles(
    const bp_shardsim_t *sim, const char *job, uint32_t *last_percent)
{
	uint32_t throttles = 0;
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		const bp_sim_order_t *order = &sim->orders[i];

		if (order->kind != BP_SIM_THROTTLE ||
		    !g_str_has_prefix(order->task, job))
			continue;
		throttles++;
		*last_percent = order->percent;
	}
	return throttles;
}

/*
 * Guards against fillers that are slowed, paused and moved because of a serving
 * task with which they do not interfere (SHORT on pecanslate-sched-grown), and
 * against a wrong model of them that keeps the task over its target.
 */
static void
test_only_fillers_that_interfere_are_slowed(void)
{
	bp_shardsim_t *sim = sim_with_fillers();
	uint32_t percent = 100;
	uint32_t i;

	bp_shardsim_submit_step(sim, SMALL_JOB, new_filler(1, SMALL_MILLI));
	bp_shardsim_run_ms(sim, 300);
	bp_shardsim_answer(bp_shardsim_open_order(sim, BP_SIM_START, NULL),
	    BP_EXEC_OK, 0, NULL);
	for (i = 1; i < OVERRUNS_TO_PAUSE_ALL; i++) {
		answer_with_runs(
		    sim, 1000 + i * SAMPLE_MS, 2 * TARGET_MS, 2 + FILLERS);
		CU_ASSERT_EQUAL(count_throttles(sim, SMALL_JOB, &percent), 0);
		bp_shardsim_run_ms(sim, SAMPLE_MS);
	}
	CU_ASSERT_TRUE(
	    count_throttles(sim, "000000000000000b", &percent) >= FILLERS);
	answer_with_runs(sim, 1000 + i * SAMPLE_MS, 2 * TARGET_MS, 2 + FILLERS);
	CU_ASSERT_EQUAL(count_throttles(sim, SMALL_JOB, &percent), 1);
	CU_ASSERT_EQUAL(percent, 0);
	bp_shardsim_free(sim);
}

/* Guards against fillers that stay paused for long instead of being moved. */
static void
test_a_paused_filler_is_moved_soon(void)
{
	bp_shardsim_t *sim = sim_with_fillers();
	bp_sim_order_t *throttle;

	answer_with_tail(sim, 1500, 4 * TARGET_MS);
	while ((throttle = bp_shardsim_open_order(
		    sim, BP_SIM_THROTTLE, NULL)) != NULL) {
		CU_ASSERT_EQUAL(throttle->percent, 0);
		bp_shardsim_answer(throttle, BP_EXEC_OK, 0, NULL);
	}
	CU_ASSERT_PTR_NULL(bp_shardsim_open_order(sim, BP_SIM_STOP, NULL));
	bp_shardsim_run_ms(sim, 900);
	CU_ASSERT_PTR_NOT_NULL(bp_shardsim_open_order(sim, BP_SIM_STOP, NULL));
	bp_shardsim_free(sim);
}

/* Beside NARROW_MILLI of serving tasks and two fillers of FILLER_MILLI, a
 * filler of WIDE_MILLI has half of its speed. */
#define NARROW_MILLI 1000
#define WIDE_MILLI 7000

/*
 * Guards against unused processors: a filler that no executor can run at most
 * of its full speed accepts a slower placement after 1 s.
 */
static void
test_a_filler_takes_a_slow_place(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();
	Bp__Work__Step *serving = bp_shardsim_step(1, NARROW_MILLI);
	bp_sim_order_t *start;

	serving->lasting = true;
	serving->target_ms = TARGET_MS;
	serving->image = strdup("serving");
	bp_shardsim_submit_step(sim, "000000000000000a", serving);
	bp_shardsim_submit_step(
	    sim, "000000000000000b", new_filler(2, FILLER_MILLI));
	bp_shardsim_run_ms(sim, 200);
	while (
	    (start = bp_shardsim_open_order(sim, BP_SIM_START, NULL)) != NULL)
		bp_shardsim_answer(start, BP_EXEC_OK, 0, NULL);
	bp_shardsim_submit_step(
	    sim, "000000000000000c", new_filler(1, WIDE_MILLI));
	bp_shardsim_run_ms(sim, 800);
	CU_ASSERT_PTR_NULL(bp_shardsim_open_order(sim, BP_SIM_START, NULL));
	bp_shardsim_run_ms(sim, 600);
	CU_ASSERT_PTR_NOT_NULL(bp_shardsim_open_order(sim, BP_SIM_START, NULL));
	bp_shardsim_free(sim);
}

/* A tail latency that leaves a filler at full speed within SLACK_MIN, but not
 * with the margin of a placement, and one that leaves both. */
#define CLOSE_TAIL_MS 55
#define SHORT_TAIL_MS 20

/*
 * Guards against fillers that are placed just below the limit of a serving task
 * and slowed or stopped later, once the task was over its target.
 */
static void
test_a_filler_keeps_a_margin(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();
	Bp__Work__Step *serving = bp_shardsim_step(1, SERVING_MILLI);
	bp_sim_order_t *start;

	serving->lasting = true;
	serving->target_ms = TARGET_MS;
	serving->image = strdup("serving");
	bp_shardsim_submit_step(sim, "000000000000000a", serving);
	bp_shardsim_run_ms(sim, 200);
	while (
	    (start = bp_shardsim_open_order(sim, BP_SIM_START, NULL)) != NULL)
		bp_shardsim_answer(start, BP_EXEC_OK, 0, NULL);
	answer_with_runs(sim, 1500, CLOSE_TAIL_MS, 1);
	bp_shardsim_submit_step(
	    sim, "000000000000000b", new_filler(1, FILLER_MILLI));
	bp_shardsim_run_ms(sim, 2 * SLOW_PLACEMENT_MS);
	CU_ASSERT_PTR_NULL(bp_shardsim_open_order(sim, BP_SIM_START, NULL));
	answer_with_runs(sim, 4000, SHORT_TAIL_MS, 1);
	bp_shardsim_run_ms(sim, 200);
	CU_ASSERT_PTR_NOT_NULL(bp_shardsim_open_order(sim, BP_SIM_START, NULL));
	bp_shardsim_free(sim);
}

/* Three fillers and a serving task leave no processors for a fourth. */
#define LATER_JOB "000000000000000c"
#define LATER_TASK LATER_JOB ".0.0.0"
#define TRAFFIC_MS 3000
#define QUIET_MS 5000
#define POLL_MS 500
/* Start of the virtual clock. */
#define START_MS 1000000

/* Lets time pass while polls report all runs; returns whether the later job has
 * been started. */
static bool
pass_with_polls(bp_shardsim_t *sim, int64_t duration_ms, int64_t tail_ms)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += POLL_MS) {
		int64_t now_ms =
		    bp_clock_mono_ms(bp_clock_virtual_clock(sim->clock));

		bp_shardsim_run_ms(sim, POLL_MS);
		if (bp_shardsim_open_order(sim, BP_SIM_START, LATER_TASK) !=
		    NULL)
			return true;
		if (bp_shardsim_open_order(sim, BP_SIM_POLL, NULL) != NULL)
			answer_with_tail(
			    sim, 1000 + now_ms - START_MS, tail_ms);
	}
	return false;
}

/* Creates a shard whose executor has no processors left for the task of a later
 * job. */
static bp_shardsim_t *
sim_with_waiting_job(void)
{
	bp_shardsim_t *sim = sim_with_fillers();

	answer_with_tail(sim, 1500, SHORT_TAIL_MS);
	bp_shardsim_submit_step(sim, LATER_JOB, new_filler(1, FILLER_MILLI));
	return sim;
}

/*
 * Guards against a job that waits with nothing running while another one has
 * several fillers on an executor whose processors are half free: once the
 * traffic has ended, it shares processors with them.
 */
static void
test_a_waiting_job_shares_processors(void)
{
	bp_shardsim_t *sim = sim_with_waiting_job();

	CU_ASSERT_FALSE(pass_with_polls(sim, TRAFFIC_MS, SHORT_TAIL_MS));
	CU_ASSERT_TRUE(pass_with_polls(sim, QUIET_MS, SHORT_TAIL_MS));
	bp_shardsim_free(sim);
}

/* Guards against shared processors that bring a serving task near its target.
 */
static void
test_shared_processors_spare_serving_tasks(void)
{
	bp_shardsim_t *sim = sim_with_waiting_job();

	CU_ASSERT_FALSE(pass_with_polls(sim, TRAFFIC_MS, SHORT_TAIL_MS));
	CU_ASSERT_FALSE(pass_with_polls(sim, QUIET_MS, TARGET_MS));
	bp_shardsim_free(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"an overtaken list ends no run",
		test_an_overtaken_list_ends_no_run},
	    {"fillers are slowed alike", test_fillers_are_slowed_alike},
	    {"only fillers that interfere are slowed",
		test_only_fillers_that_interfere_are_slowed},
	    {"a filler at rest is moved soon",
		test_a_paused_filler_is_moved_soon},
	    {"a filler takes a slow place", test_a_filler_takes_a_slow_place},
	    {"a filler keeps a margin", test_a_filler_keeps_a_margin},
	    {"a waiting job shares processors",
		test_a_waiting_job_shares_processors},
	    {"shared processors spare serving tasks",
		test_shared_processors_spare_serving_tasks},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/lists", tests);
}
