#include "bulrushpost/pausewatch.h"
#include "support/runner.h"

#define START_MS 1000000
#define US_PER_MS 1000

/* What is read after a pause counts as arrived when the pause began; with
 * time, or after a short delay, it counts as arrived now. */
static void
test_arrival_counts_from_the_pause(void)
{
	bp_clock_virtual_t *time = bp_clock_virtual_new(START_MS);
	const bp_clock_t *clock = bp_clock_virtual_clock(time);
	bp_pause_watch_t *watch = bp_pause_watch_new(clock);
	bp_pause_t pause;

	bp_clock_virtual_run_ms(time, 1000);
	CU_ASSERT_FALSE(bp_pause_watch_recent(watch, &pause));
	bp_clock_virtual_advance_us(time, (int64_t)300 * US_PER_MS);
	CU_ASSERT_EQUAL(
	    bp_pause_watch_arrival_ms(watch), bp_clock_mono_ms(clock));
	bp_clock_virtual_advance_us(time, (int64_t)4000 * US_PER_MS);
	CU_ASSERT_TRUE(bp_pause_watch_recent(watch, &pause));
	CU_ASSERT_EQUAL(pause.end_ms - pause.start_ms, 4000);
	bp_clock_virtual_run_ms(time, 400);
	CU_ASSERT_EQUAL(bp_pause_watch_arrival_ms(watch), pause.start_ms);
	bp_clock_virtual_run_ms(time, 200);
	CU_ASSERT_EQUAL(
	    bp_pause_watch_arrival_ms(watch), bp_clock_mono_ms(clock));
	bp_pause_watch_free(watch);
	bp_clock_virtual_free(time);
}

/* Guards against a timer that hides a pause because it runs before the data
 * that waited is read. */
static void
test_a_tick_hides_no_pause(void)
{
	bp_clock_virtual_t *time = bp_clock_virtual_new(START_MS);
	bp_pause_watch_t *watch =
	    bp_pause_watch_new(bp_clock_virtual_clock(time));
	bp_pause_t pause;

	bp_clock_virtual_run_ms(time, 1000);
	bp_clock_virtual_advance_us(time, (int64_t)2000 * US_PER_MS);
	bp_clock_virtual_run_ms(time, 200);
	CU_ASSERT_TRUE(bp_pause_watch_recent(watch, &pause));
	CU_ASSERT_TRUE(pause.end_ms - pause.start_ms >= 2000);
	bp_pause_watch_free(watch);
	bp_clock_virtual_free(time);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"arrival counts from the pause",
		test_arrival_counts_from_the_pause},
	    {"a tick hides no pause", test_a_tick_hides_no_pause},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("core/pausewatch", tests);
}
