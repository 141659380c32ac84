#include "support/queuerig.h"
#include "support/runner.h"

#include <stdio.h>

#define SEED 11
#define EXECUTORS 48
/* The users' sites have about 400 jobs per day. */
#define JOBS 400
#define TASKS 10
/* The users require recovery within 12 s of the return of the machines. */
#define BOUND_MS 12000
#define STEP_MS 10

/* Returns the time until a condition holds, in ms; above BOUND_MS if it does
 * not hold in time. */
static int64_t
wait_for(bp_qrig_t *sim, bool (*holds)(bp_qrig_t *sim, const char *id),
    const char *id)
{
	int64_t waited_ms = 0;

	while (waited_ms <= BOUND_MS && !holds(sim, id)) {
		bp_qrig_run_ms(sim, STEP_MS);
		waited_ms += STEP_MS;
	}
	return waited_ms;
}

static bool
is_known(bp_qrig_t *sim, const char *id)
{
	Bp__Work__JobState state;

	return bp_qrig_status(sim, id, &state) == BP_OK;
}

static void
recover(uint32_t times)
{
	bp_qrig_t *sim = bp_qrig_new(SEED, EXECUTORS);
	const char *last = NULL;
	int64_t known_ms;
	int64_t cpu_us;
	uint32_t i;

	bp_qrig_run_ms(sim, 3000);
	for (i = 0; i < JOBS * times; i++) {
		last = bp_qrig_submit(sim, TASKS, 60000, false);
		if (i % 20 == 19)
			bp_qrig_run_ms(sim, 50);
	}
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, last), BP_QRIG_ACCEPTED);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_kill(sim, i);
	bp_qrig_run_ms(sim, 1000);
	cpu_us = g_get_monotonic_time();
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_restart(sim, i);
	known_ms = wait_for(sim, is_known, last);
	cpu_us = g_get_monotonic_time() - cpu_us;
	printf("\n  %u jobs of %u tasks: all known after %d ms, %d ms of "
	       "processor here\n",
	    JOBS * times, TASKS * 2, (int)known_ms, (int)(cpu_us / 1000));
	CU_ASSERT_TRUE(known_ms <= BOUND_MS);
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	bp_qrig_free(sim);
}

/* All nodes die at once with the jobs of 1, 4 and 16 days. */
static void
test_recovery_is_in_time(void)
{
	recover(1);
	recover(4);
	recover(16);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"recovery is in time", test_recovery_is_in_time},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/recovery", tests);
}
