#include "queues/fillermove.h"
#include "support/runner.h"

#include <glib.h>

/* A paused task of 2.2 s, a third done, that saves its work at a stop; another
 * executor has a free place, and its pause shows in one sample. */
static const bp_filler_outlook_t PAUSED = {
    .expected_ms = 2200,
    .percent = 33,
    .checkpoints = true,
    .speed = 0,
    .slowed_ms = 700,
    .samples = 1,
    .free_speed = 1,
};

/* Guards against moves that repeat more time than the pause costs. */
static void
test_a_short_pause_is_waited_out(void)
{
	bp_filler_outlook_t outlook = PAUSED;

	CU_ASSERT_EQUAL(
	    bp_filler_move_decide(&outlook), BP_FILLER_TO_FREE_PLACE);
	outlook.slowed_ms = 500;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
	outlook.slowed_ms = 5000;
	outlook.samples = 0;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
}

/* Guards against moves of tasks that lose their work when they stop. */
static void
test_unsaved_work_counts(void)
{
	bp_filler_outlook_t outlook = PAUSED;

	outlook.checkpoints = false;
	outlook.percent = 5;
	CU_ASSERT_EQUAL(
	    bp_filler_move_decide(&outlook), BP_FILLER_TO_FREE_PLACE);
	outlook.percent = 50;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
	outlook.slowed_ms = 2000;
	CU_ASSERT_EQUAL(
	    bp_filler_move_decide(&outlook), BP_FILLER_TO_FREE_PLACE);
}

/* Guards against moves to places that are slow as well. */
static void
test_a_slow_place_is_weighed(void)
{
	bp_filler_outlook_t outlook = PAUSED;

	outlook.percent = 0;
	outlook.free_speed = 0.45;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
	outlook.slowed_ms = 4000;
	CU_ASSERT_EQUAL(
	    bp_filler_move_decide(&outlook), BP_FILLER_TO_FREE_PLACE);
}

/*
 * Guards against stops on a full site: a task whose job is late waits behind
 * all others, and one that goes first waits for the next place.
 */
static void
test_a_full_site(void)
{
	bp_filler_outlook_t outlook = PAUSED;

	outlook.free_speed = 0;
	outlook.busy_places = 100;
	outlook.slowed_ms = 10000;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
	outlook.goes_first = true;
	CU_ASSERT_EQUAL(
	    bp_filler_move_decide(&outlook), BP_FILLER_TO_NEXT_PLACE);
	outlook.slowed_ms = 800;
	CU_ASSERT_EQUAL(
	    bp_filler_move_decide(&outlook), BP_FILLER_TO_NEXT_PLACE);
	outlook.busy_places = 2;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
	outlook.busy_places = 0;
	outlook.slowed_ms = 10000;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
}

/* Guards against moves of tasks that end before a restart would. */
static void
test_a_slowed_task_near_its_end_stays(void)
{
	bp_filler_outlook_t outlook = PAUSED;

	outlook.speed = 0.5;
	outlook.slowed_ms = 5000;
	outlook.percent = 80;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
	outlook.percent = 0;
	CU_ASSERT_EQUAL(
	    bp_filler_move_decide(&outlook), BP_FILLER_TO_FREE_PLACE);
	outlook.speed = 1;
	CU_ASSERT_EQUAL(bp_filler_move_decide(&outlook), BP_FILLER_STAYS);
}

/* Orders to stop and start, and the time to restore. */
#define RESTART_MS 550
#define NEVER_MS 1000000
#define STEP_MS 50

/* Returns when a paused filler moves, at most pause_ms. */
static int64_t
moved_at_ms(int64_t pause_ms)
{
	bp_filler_outlook_t outlook = PAUSED;
	int64_t at_ms;

	for (at_ms = STEP_MS; at_ms < pause_ms; at_ms += STEP_MS) {
		outlook.slowed_ms = at_ms;
		if (bp_filler_move_decide(&outlook) != BP_FILLER_STAYS)
			return at_ms;
	}
	return pause_ms;
}

/*
 * Returns the mean delay over pauses of up to longest_ms, when fillers move
 * after after_ms; 0: as decided.
 */
static double
mean_delay_ms(int64_t longest_ms, int64_t after_ms)
{
	int64_t total_ms = 0;
	int64_t pause_ms;

	for (pause_ms = STEP_MS; pause_ms <= longest_ms; pause_ms += STEP_MS) {
		int64_t at_ms =
		    after_ms == 0 ? moved_at_ms(pause_ms) : after_ms;

		total_ms += at_ms < pause_ms ? at_ms + RESTART_MS : pause_ms;
	}
	return (double)total_ms * STEP_MS / (double)longest_ms;
}

/*
 * Guards against a decision that loses against always staying, or against the
 * earlier rule of 0.5 s, where these are good, and that costs over twice as
 * much as knowing the length of the pause would.
 */
static void
test_pauses_of_each_length(void)
{
	const int64_t longest_ms[] = {500, 1000, 2000, 4000, 7000};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(longest_ms); i++) {
		int64_t best_ms = MIN(longest_ms[i], RESTART_MS);
		double decided_ms = mean_delay_ms(longest_ms[i], 0);
		int64_t pause_ms;

		for (pause_ms = STEP_MS; pause_ms <= longest_ms[i];
		     pause_ms += STEP_MS) {
			int64_t at_ms = moved_at_ms(pause_ms);
			int64_t cost_ms =
			    at_ms < pause_ms ? at_ms + RESTART_MS : pause_ms;

			CU_ASSERT_TRUE(
			    cost_ms <= 2 * MIN(pause_ms, best_ms) + STEP_MS);
		}
		if (longest_ms[i] <= 1000)
			CU_ASSERT_TRUE(
			    decided_ms <= mean_delay_ms(longest_ms[i], 500));
		if (longest_ms[i] >= 4000)
			CU_ASSERT_TRUE(decided_ms <
			    mean_delay_ms(longest_ms[i], NEVER_MS));
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a short pause is waited out", test_a_short_pause_is_waited_out},
	    {"unsaved work counts", test_unsaved_work_counts},
	    {"a slow place is weighed", test_a_slow_place_is_weighed},
	    {"a full site", test_a_full_site},
	    {"a slowed task near its end stays",
		test_a_slowed_task_near_its_end_stays},
	    {"pauses of each length", test_pauses_of_each_length},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/fillermove", tests);
}
