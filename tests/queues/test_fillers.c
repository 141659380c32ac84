#include "support/runner.h"
#include "support/shardsim.h"

#include <string.h>

#define FILLERS 3
#define SERVING_MILLI 7000
#define FILLER_MILLI 4000
#define TARGET_MS 100
/* Tail latencies: far over the target, and far below it. */
#define OVER_MS 400
#define CALM_MS 10
/* A filler that cannot have its full speed is placed after this. */
#define SLOW_PLACEMENT_MS 1200
#define FILLER_MS 5000

/* Creates a shard with a serving task and fillers on one executor, all
 * started. */
static bp_shardsim_t *
sim_with_fillers(uint32_t filler_ms)
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
	fillers->expected_ms = filler_ms;
	bp_shardsim_submit_step(sim, "000000000000000a", serving);
	bp_shardsim_run_ms(sim, 200);
	bp_shardsim_submit_step(sim, "000000000000000b", fillers);
	bp_shardsim_run_ms(sim, SLOW_PLACEMENT_MS);
	while (
	    (start = bp_shardsim_open_order(sim, BP_SIM_START, NULL)) != NULL)
		bp_shardsim_answer(start, BP_EXEC_OK, 0, NULL);
	return sim;
}

/*
 * Answers the open poll of an executor with all tasks that were started there.
 * tail_ms is the tail latency of the serving task, milli what each filler uses.
 */
static void
answer_poll_of(bp_shardsim_t *sim, const char *executor, int64_t clock_ms,
    int64_t tail_ms, int64_t milli)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		const bp_sim_order_t *order = &sim->orders[i];
		bool serving = order->task != NULL && order->task[15] == 'a';
		bp_exec_running_t row = {
		    order->task, order->run, "", 10, serving ? tail_ms : milli};

		if (order->kind == BP_SIM_START &&
		    strcmp(order->executor, executor) == 0)
			g_array_append_val(rows, row);
	}
	bp_shardsim_answer_poll(
	    bp_shardsim_open_order_to(sim, BP_SIM_POLL, executor), clock_ms,
	    rows);
	g_array_unref(rows);
}

/* Answers the open poll of i-1, where the serving task runs. */
static void
answer_poll(
    bp_shardsim_t *sim, int64_t clock_ms, int64_t tail_ms, int64_t milli)
{
	answer_poll_of(sim, "i-1", clock_ms, tail_ms, milli);
}

/* Answers the open throttle orders; returns how many set this speed. */
static uint32_t
answer_throttles(bp_shardsim_t *sim, uint32_t percent)
{
	bp_sim_order_t *throttle;
	uint32_t n = 0;

	while ((throttle = bp_shardsim_open_order(
		    sim, BP_SIM_THROTTLE, NULL)) != NULL) {
		n += throttle->percent == percent;
		bp_shardsim_answer(throttle, BP_EXEC_OK, 0, NULL);
	}
	return n;
}

/*
 * Guards against fillers that stay paused after a takeover: a new owner that
 * takes them for fillers at full speed never resumes them.
 */
static void
test_a_new_owner_resumes_paused_fillers(void)
{
	bp_shardsim_t *sim = sim_with_fillers(FILLER_MS);

	answer_poll(sim, 1500, OVER_MS, FILLER_MILLI);
	CU_ASSERT_EQUAL(answer_throttles(sim, 0), FILLERS);
	bp_shardsim_take_over(sim);
	answer_poll(sim, 2500, CALM_MS, 0);
	CU_ASSERT_EQUAL(answer_throttles(sim, 100), FILLERS);
	bp_shardsim_free(sim);
}

/*
 * Guards against orders for fillers that run at full speed already: a new owner
 * has its first polls to send at that time.
 */
static void
test_a_new_owner_leaves_full_speed(void)
{
	bp_shardsim_t *sim = sim_with_fillers(FILLER_MS);

	answer_poll(sim, 1500, CALM_MS, FILLER_MILLI);
	bp_shardsim_take_over(sim);
	answer_poll(sim, 2500, CALM_MS, FILLER_MILLI);
	CU_ASSERT_PTR_NULL(bp_shardsim_open_order(sim, BP_SIM_THROTTLE, NULL));
	bp_shardsim_free(sim);
}

/* A tail latency at which fillers are slowed, and one that then allows them 91
 * to 99% of their speed. */
#define SLOWING_MS 87
#define NEARLY_FULL_MS 62

/*
 * Guards against an unknown speed limit that is never replaced: a limit just
 * below full speed counted as too small a change.
 */
static void
test_an_unanswered_limit_is_repeated(void)
{
	bp_shardsim_t *sim = sim_with_fillers(FILLER_MS);
	bp_sim_order_t *throttle;
	uint32_t repeated = 0;

	answer_poll(sim, 1500, SLOWING_MS, FILLER_MILLI);
	while ((throttle = bp_shardsim_open_order(
		    sim, BP_SIM_THROTTLE, NULL)) != NULL)
		bp_shardsim_answer(throttle, BP_EXEC_UNKNOWN, 0, NULL);
	bp_shardsim_run_ms(sim, 1000);
	answer_poll(sim, 2500, NEARLY_FULL_MS, FILLER_MILLI);
	while ((throttle = bp_shardsim_open_order(
		    sim, BP_SIM_THROTTLE, NULL)) != NULL) {
		CU_ASSERT_TRUE(throttle->percent > 90);
		CU_ASSERT_TRUE(throttle->percent < 100);
		repeated++;
		bp_shardsim_answer(throttle, BP_EXEC_OK, 0, NULL);
	}
	CU_ASSERT_EQUAL(repeated, FILLERS);
	bp_shardsim_free(sim);
}

static uint32_t
count_stops(const bp_shardsim_t *sim)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++)
		n += sim->orders[i].kind == BP_SIM_STOP;
	return n;
}

/* Polls i-1 once in each 500 ms, as the shard does beside serving tasks. */
static void
run_with_samples(
    bp_shardsim_t *sim, int64_t *clock_ms, uint32_t samples, int64_t tail_ms)
{
	uint32_t i;

	for (i = 0; i < samples; i++) {
		bp_shardsim_run_ms(sim, 500);
		*clock_ms += 500;
		answer_poll(sim, *clock_ms, tail_ms, 0);
		(void)answer_throttles(sim, 0);
	}
}

/*
 * Guards against work that is stopped and finds no place: a filler without
 * another executor is resumed where it is.
 */
static void
test_a_filler_without_a_place_is_not_stopped(void)
{
	bp_shardsim_t *sim = sim_with_fillers(FILLER_MS);
	int64_t clock_ms = 1500;

	answer_poll(sim, clock_ms, OVER_MS, FILLER_MILLI);
	CU_ASSERT_EQUAL(answer_throttles(sim, 0), FILLERS);
	run_with_samples(sim, &clock_ms, 6, OVER_MS);
	CU_ASSERT_EQUAL(count_stops(sim), 0);
	bp_shardsim_run_ms(sim, 500);
	answer_poll(sim, clock_ms + 500, CALM_MS, 0);
	CU_ASSERT_EQUAL(answer_throttles(sim, 100), FILLERS);
	bp_shardsim_free(sim);
}

/*
 * Guards against moves by a single sample: a new owner whose first polls take
 * long knows of no load that its pauses have changed.
 */
static void
test_a_move_waits_for_a_later_sample(void)
{
	bp_shardsim_t *sim = sim_with_fillers(FILLER_MS);
	int64_t clock_ms = 2500;

	bp_shardsim_take_over(sim);
	answer_poll(sim, clock_ms, OVER_MS, FILLER_MILLI);
	CU_ASSERT_EQUAL(answer_throttles(sim, 0), FILLERS);
	bp_shardsim_list(sim, "i-2");
	bp_shardsim_run_ms(sim, 2000);
	CU_ASSERT_EQUAL(count_stops(sim), 0);
	run_with_samples(sim, &clock_ms, 1, OVER_MS);
	bp_shardsim_run_ms(sim, 200);
	CU_ASSERT_EQUAL(count_stops(sim), 1);
	bp_shardsim_free(sim);
}

/* Fillers that use all processors of i-2. */
#define OTHER_FILLERS 4
/* Duration of the fillers of i-1: they are in time for all of the test. */
#define LONG_FILLER_MS 10000
#define SAMPLES_UNTIL_MOVE 8

static void
list_other_executor(bp_shardsim_t *sim)
{
	char *labels[] = {NULL};
	bp_executor_info_t info = {"i-2", "pool", "10.0.0.1:80", "za", "r1",
	    labels, OTHER_FILLERS * FILLER_MILLI, 64000, 0, false, 1};

	bp_shard_update_executor(sim->shard, &info);
}

/*
 * Returns how many fillers of i-1, which are paused by a new owner, are stopped
 * for places on i-2. All places there are taken by fillers of which the new
 * owner knows only that they use so many processors: its own limits are not
 * answered.
 */
static uint32_t
count_stops_beside_adopted(int64_t milli)
{
	bp_shardsim_t *sim = sim_with_fillers(LONG_FILLER_MS);
	int64_t clock_ms = 2500;
	bp_sim_order_t *order;
	Bp__Work__Step *others = bp_shardsim_step(OTHER_FILLERS, FILLER_MILLI);
	uint32_t stops;

	bp_shardsim_list(sim, "i-2");
	others->filler = true;
	others->image = strdup("filler");
	bp_shardsim_submit_step(sim, "000000000000000c", others);
	bp_shardsim_run_ms(sim, 200);
	while ((order = bp_shardsim_open_order_to(sim, BP_SIM_START, "i-2")) !=
	    NULL)
		bp_shardsim_answer(order, BP_EXEC_OK, 0, NULL);
	bp_shardsim_take_over(sim);
	list_other_executor(sim);
	answer_poll_of(sim, "i-2", clock_ms, 0, milli);
	while ((order = bp_shardsim_open_order_to(
		    sim, BP_SIM_THROTTLE, "i-2")) != NULL)
		bp_shardsim_answer(order, BP_EXEC_UNKNOWN, 0, NULL);
	answer_poll(sim, clock_ms, OVER_MS, FILLER_MILLI);
	CU_ASSERT_EQUAL(answer_throttles(sim, 0), FILLERS);
	run_with_samples(sim, &clock_ms, SAMPLES_UNTIL_MOVE, OVER_MS);
	stops = count_stops(sim);
	bp_shardsim_free(sim);
	return stops;
}

/*
 * Guards against fillers that the predecessor has paused being taken for places
 * which become free soon: a filler that is stopped for one waits for it.
 */
static void
test_paused_fillers_are_no_busy_places(void)
{
	CU_ASSERT_EQUAL(count_stops_beside_adopted(0), 0);
	CU_ASSERT_TRUE(count_stops_beside_adopted(FILLER_MILLI) > 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a new owner resumes paused fillers",
		test_a_new_owner_resumes_paused_fillers},
	    {"a new owner leaves full speed",
		test_a_new_owner_leaves_full_speed},
	    {"an unanswered limit is repeated",
		test_an_unanswered_limit_is_repeated},
	    {"a filler without a place is not stopped",
		test_a_filler_without_a_place_is_not_stopped},
	    {"a move waits for a later sample",
		test_a_move_waits_for_a_later_sample},
	    {"paused fillers are no busy places",
		test_paused_fillers_are_no_busy_places},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/fillers", tests);
}
