#include "support/runner.h"
#include "support/shardsim.h"

#include <string.h>

#define JOB "00000000000000a1"
#define TASK JOB ".0.0.0"
#define BORN_MS 1000000
#define CLOCK_MS 50000
#define CLOCK_RESTARTED_MS 10
#define FAR_FUTURE_MS (INT64_C(1) << 52)

/* Answers the oldest open poll as a life, which lists a run or none. */
static void
answer_poll(bp_shardsim_t *sim, int64_t born_ms, int64_t clock_ms,
    const bp_sim_order_t *running)
{
	bp_sim_order_t *poll = bp_shardsim_open_order(sim, BP_SIM_POLL, NULL);

	CU_ASSERT_PTR_NOT_NULL(poll);
	if (poll == NULL)
		return;
	poll->born_ms = born_ms;
	bp_shardsim_answer(poll, BP_EXEC_OK, clock_ms, running);
	bp_shardsim_run_ms(sim, 50);
}

/* Answers polls as a life until none is open. */
static void
answer_polls(bp_shardsim_t *sim, int64_t born_ms, int64_t clock_ms,
    const bp_sim_order_t *running)
{
	uint32_t i;

	for (i = 0;
	     i < 4 && bp_shardsim_open_order(sim, BP_SIM_POLL, NULL) != NULL;
	     i++)
		answer_poll(sim, born_ms, clock_ms + i, running);
}

/* Starts a task that lasts on the executor, whose life began at BORN_MS.
 * Returns its start. */
static bp_sim_order_t *
start_task(bp_shardsim_t *sim)
{
	Bp__Work__Step *step = bp_shardsim_step(1, 1000);
	bp_sim_order_t *start;

	bp_shardsim_list_born(sim, "i-1", BORN_MS);
	answer_poll(sim, BORN_MS, CLOCK_MS, NULL);
	step->lasting = true;
	bp_shardsim_submit_step(sim, JOB, step);
	bp_shardsim_run_ms(sim, 200);
	start = bp_shardsim_open_order(sim, BP_SIM_START, TASK);
	CU_ASSERT_PTR_NOT_NULL_FATAL(start);
	bp_shardsim_answer(start, BP_EXEC_OK, CLOCK_MS + 100, NULL);
	bp_shardsim_run_ms(sim, 50);
	answer_poll(sim, BORN_MS, CLOCK_MS + 200, start);
	return start;
}

/* Returns whether the task was started again, and is started by then. */
static bool
starts_again(bp_shardsim_t *sim)
{
	bp_shardsim_run_ms(sim, 200);
	return bp_shardsim_open_order(sim, BP_SIM_START, TASK) != NULL;
}

/* Guards against tasks that never run again, and an executor that is never used
 * again, after a restart whose time is not above the one before: the time of
 * day was set back. The same life, by its time, has an earlier clock. */
static void
test_times_of_starts_have_no_order(void)
{
	static const int64_t born_ms[] = {
	    BORN_MS - 800, BORN_MS, BORN_MS + 800, FAR_FUTURE_MS};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(born_ms); i++) {
		bp_shardsim_t *sim = bp_shardsim_new();

		(void)start_task(sim);
		answer_polls(sim, born_ms[i], CLOCK_RESTARTED_MS, NULL);
		bp_shardsim_list_born(sim, "i-1", born_ms[i]);
		answer_polls(sim, born_ms[i], CLOCK_RESTARTED_MS + 100, NULL);
		CU_ASSERT_TRUE(starts_again(sim));
		bp_shardsim_free(sim);
	}
}

/* The same when it restarts again within a lease, and the time is right again.
 */
static void
test_restarts_in_a_row(void)
{
	static const int64_t born_ms[] = {
	    FAR_FUTURE_MS, BORN_MS - 800, BORN_MS - 400};
	bp_shardsim_t *sim = bp_shardsim_new();
	size_t i;

	(void)start_task(sim);
	for (i = 0; i < G_N_ELEMENTS(born_ms); i++) {
		answer_polls(sim, born_ms[i], CLOCK_RESTARTED_MS, NULL);
		bp_shardsim_list_born(sim, "i-1", born_ms[i]);
		answer_polls(sim, born_ms[i], CLOCK_RESTARTED_MS + 100, NULL);
	}
	CU_ASSERT_TRUE(starts_again(sim));
	bp_shardsim_free(sim);
}

/* An answer of the earlier life that arrives after one of the later does
 * nothing: it does not bring the run back, nor the earlier life. */
static void
test_a_late_answer_of_an_earlier_life(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();
	bp_sim_order_t *start = start_task(sim);
	bp_sim_order_t *late = bp_shardsim_open_order(sim, BP_SIM_POLL, NULL);

	CU_ASSERT_PTR_NOT_NULL(late);
	if (late == NULL) {
		bp_shardsim_free(sim);
		return;
	}
	/* Its entry in the list changes, which causes a second poll. */
	bp_shardsim_list_born(sim, "i-1", BORN_MS - 800);
	late->answered = true;
	answer_poll(sim, BORN_MS - 800, CLOCK_RESTARTED_MS, NULL);
	late->born_ms = BORN_MS;
	bp_shardsim_answer(late, BP_EXEC_OK, CLOCK_MS + 300, start);
	bp_shardsim_run_ms(sim, 50);
	answer_polls(sim, BORN_MS - 800, CLOCK_RESTARTED_MS + 100, NULL);
	CU_ASSERT_TRUE(starts_again(sim));
	bp_shardsim_free(sim);
}

/* The time of the start in the record of an earlier owner orders nothing. */
static void
test_a_lower_time_than_in_the_record(void)
{
	bp_shardsim_t *sim = bp_shardsim_new();

	(void)start_task(sim);
	bp_shardsim_take_over(sim);
	bp_shardsim_list_born(sim, "i-1", BORN_MS - 800);
	answer_polls(sim, BORN_MS - 800, CLOCK_RESTARTED_MS, NULL);
	bp_shardsim_run_ms(sim, 200);
	answer_polls(sim, BORN_MS - 800, CLOCK_RESTARTED_MS + 100, NULL);
	CU_ASSERT_TRUE(starts_again(sim));
	bp_shardsim_free(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"times of starts have no order",
		test_times_of_starts_have_no_order},
	    {"restarts in a row", test_restarts_in_a_row},
	    {"a late answer of an earlier life",
		test_a_late_answer_of_an_earlier_life},
	    {"a lower time than in the record",
		test_a_lower_time_than_in_the_record},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/lives", tests);
}
