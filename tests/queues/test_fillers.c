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
/* Tail latencies cover half a second. */
#define SAMPLE_MS 500

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

/*
 * Answers the open poll of i-1 with all tasks that were started there. tail_ms
 * is the tail latency of the serving task, milli what each filler uses.
 */
static void
answer_poll(
    bp_shardsim_t *sim, int64_t clock_ms, int64_t tail_ms, int64_t milli)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		const bp_sim_order_t *order = &sim->orders[i];
		bool serving = order->task != NULL && order->task[15] == 'a';
		bp_exec_running_t row = {
		    order->task, order->run, "", 10, serving ? tail_ms : milli};

		if (order->kind == BP_SIM_START &&
		    strcmp(order->executor, "i-1") == 0)
			g_array_append_val(rows, row);
	}
	bp_shardsim_answer_poll(
	    bp_shardsim_open_order_to(sim, BP_SIM_POLL, "i-1"), clock_ms, rows);
	g_array_unref(rows);
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
	bp_shardsim_t *sim = sim_with_fillers();

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
	bp_shardsim_t *sim = sim_with_fillers();

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
	bp_shardsim_t *sim = sim_with_fillers();
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

/* Ends the first filler; the serving task and the others run on. */
static void
end_filler(bp_shardsim_t *sim, int64_t clock_ms)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(bp_exec_ended_t));
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		const bp_sim_order_t *order = &sim->orders[i];
		bp_exec_running_t row = {order->task, order->run, "", 10, 1};
		bp_exec_ended_t end = {
		    1, order->task, order->run, BP_END_DONE, ""};

		if (order->kind != BP_SIM_START)
			continue;
		if (order->task[15] == 'b' && ends->len == 0)
			g_array_append_val(ends, end);
		else
			g_array_append_val(rows, row);
	}
	CU_ASSERT_EQUAL(ends->len, 1);
	bp_shardsim_answer_lists(
	    bp_shardsim_open_order_to(sim, BP_SIM_POLL, "i-1"), clock_ms, rows,
	    ends);
	g_array_unref(rows);
	g_array_unref(ends);
}

/*
 * Guards against tail latencies that are read too seldom to pause fillers in
 * time: the poll after a stored run end waited as long as where nothing has to
 * be sampled.
 */
static void
test_samples_go_on_after_a_run_end(void)
{
	bp_shardsim_t *sim = sim_with_fillers();
	const bp_sim_order_t *poll;

	end_filler(sim, 1500);
	bp_shardsim_run_ms(sim, 200);
	poll = bp_shardsim_open_order_to(sim, BP_SIM_POLL, "i-1");
	CU_ASSERT_PTR_NOT_NULL(poll);
	if (poll != NULL)
		CU_ASSERT_TRUE(poll->wait_ms > 0 && poll->wait_ms <= SAMPLE_MS);
	bp_shardsim_free(sim);
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
	    {"samples go on after a run end",
		test_samples_go_on_after_a_run_end},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/fillers", tests);
}
