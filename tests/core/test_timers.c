#include "bulrushpost/clock.h"
#include "core/timers.h"
#include "support/runner.h"

#include <stdbool.h>

#define US_PER_MS 1000
#define TURNS_MAX 1000

static gboolean
count(gpointer data)
{
	(*(uint32_t *)data)++;
	return G_SOURCE_REMOVE;
}

static gboolean
count_to_three(gpointer data)
{
	return ++*(uint32_t *)data < 3 ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

/* Guards against timers that are late, lost or called after they ended. */
static void
test_timers_fall_due_in_order(void)
{
	bp_timers_t *timers = bp_timers_new();
	uint32_t unused = 0;
	guint late = bp_timers_add(timers, 0, 30, count, &unused);
	guint early = bp_timers_add(timers, 0, 10, count, &unused);
	guint ended = bp_timers_add(timers, 0, 20, count, &unused);
	bp_timer_t timer;

	CU_ASSERT_TRUE(late != 0 && early != 0 && late != early);
	CU_ASSERT_EQUAL(bp_timers_next_us(timers), 10 * US_PER_MS);
	bp_timers_cancel(timers, ended);
	bp_timers_cancel(timers, ended);
	CU_ASSERT_FALSE(bp_timers_pop_due(timers, 9 * US_PER_MS, &timer));
	CU_ASSERT_TRUE(bp_timers_pop_due(timers, 40 * US_PER_MS, &timer));
	CU_ASSERT_EQUAL(timer.id, early);
	bp_timers_rearm(timers, &timer, 40 * US_PER_MS);
	CU_ASSERT_TRUE(bp_timers_pop_due(timers, 40 * US_PER_MS, &timer));
	CU_ASSERT_EQUAL(timer.id, late);
	CU_ASSERT_EQUAL(bp_timers_next_us(timers), 50 * US_PER_MS);
	bp_timers_cancel(timers, early);
	CU_ASSERT_EQUAL(bp_timers_next_us(timers), -1);
	/* A timer that its own callback cancels does not continue. */
	(void)bp_timers_add(timers, 0, 1, count, &unused);
	CU_ASSERT_TRUE(bp_timers_pop_due(timers, 40 * US_PER_MS, &timer));
	bp_timers_cancel(timers, timer.id);
	bp_timers_rearm(timers, &timer, 40 * US_PER_MS);
	CU_ASSERT_EQUAL(bp_timers_next_us(timers), -1);
	bp_timers_free(timers);
}

/* The clock of the loop calls timers from the main context. */
static void
test_the_loop_calls_timers(void)
{
	bp_clock_loop_t *loop = bp_clock_loop_new();
	const bp_clock_t *clock = bp_clock_loop_clock(loop);
	uint32_t once = 0;
	uint32_t often = 0;
	uint32_t never = 0;
	guint ended;
	uint32_t turns;

	(void)bp_clock_add_timer(clock, 5, count, &once);
	(void)bp_clock_add_timer(clock, 1, count_to_three, &often);
	ended = bp_clock_add_timer(clock, 2, count, &never);
	bp_clock_cancel_timer(clock, &ended);
	CU_ASSERT_EQUAL(ended, 0);
	for (turns = 0; turns < TURNS_MAX && (once < 1 || often < 3); turns++)
		(void)g_main_context_iteration(NULL, TRUE);
	CU_ASSERT_EQUAL(once, 1);
	CU_ASSERT_EQUAL(often, 3);
	CU_ASSERT_EQUAL(never, 0);
	bp_clock_loop_free(loop);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"timers fall due in order", test_timers_fall_due_in_order},
	    {"the loop calls timers", test_the_loop_calls_timers},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("core/timers", tests);
}
