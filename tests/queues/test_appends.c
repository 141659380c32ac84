#include "support/queuerig.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>

#define SEED 20261204
#define EXECUTORS 4
#define SETTLE_MS 3000
/* The jobs together exceed 2 MiB: each has two labels of 8 KB, which no
 * executor has. */
#define LABEL_BYTES 8000
#define JOBS 160

/* Guards against an append that is too large for the store because many jobs
 * arrive together, and is refused for good. */
static void
test_many_jobs_take_several_appends(void)
{
	bp_qrig_t *sim = bp_qrig_new(SEED, EXECUTORS);
	char *label = g_strnfill(LABEL_BYTES, 'l');
	bp_qrig_shape_t shape = {.label = label};
	const char *ids[JOBS];
	uint32_t accepted = 0;
	uint32_t i;

	bp_qrig_set_shape(sim, &shape);
	bp_qrig_run_ms(sim, SETTLE_MS);
	for (i = 0; i < JOBS; i++)
		ids[i] = bp_qrig_submit(sim, 1, 100, false);
	bp_qrig_run_ms(sim, 1000);
	for (i = 0; i < JOBS; i++)
		accepted += bp_qrig_told(sim, ids[i]) == BP_QRIG_ACCEPTED;
	CU_ASSERT_EQUAL(accepted, JOBS);
	/* Their cancellations arrive together, too. */
	for (i = 0; i < JOBS; i++)
		bp_qrig_cancel(sim, ids[i]);
	bp_qrig_run_ms(sim, 1000);
	for (i = 0; i < JOBS; i++)
		CU_ASSERT_EQUAL(
		    bp_qrig_cancel_told(sim, ids[i]), BP_QRIG_ACCEPTED);
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	g_free(label);
	bp_qrig_free(sim);
}

/* Tasks whose progress exceeds 256 KiB, at 100 bytes of checkpoint each. */
#define LARGE_TASKS 3000
#define CHECKPOINT_BYTES 100
#define LARGE_TASK_MS 6000
#define LARGE_CPU_MILLI 10

/*
 * Guards against a job whose progress outgrows a record of the store: nothing
 * of any job is stored any more. The owner is killed while parts are written;
 * no end that a part holds is lost, and no task runs again.
 */
static void
test_progress_of_many_tasks_is_divided(void)
{
	bp_qrig_t *sim = bp_qrig_new(SEED, EXECUTORS + 2);
	bp_qrig_shape_t large = {
	    .cpu_milli = LARGE_CPU_MILLI, .reliable = true, .priority = 1};
	bp_qrig_shape_t small = {.reliable = true};
	char *checkpoint = g_strnfill(CHECKPOINT_BYTES, 'c');
	Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;
	const char *id;
	const char *lasting;
	uint32_t owner;
	uint32_t i;

	bp_qfleet_set_checkpoint(bp_qrig_fleet(sim), checkpoint);
	bp_qrig_run_ms(sim, SETTLE_MS);
	bp_qrig_set_shape(sim, &small);
	lasting = bp_qrig_submit(sim, 4, 0, true);
	bp_qrig_set_shape(sim, &large);
	id = bp_qrig_submit(sim, LARGE_TASKS, LARGE_TASK_MS, false);
	bp_qrig_set_shape(sim, &small);
	bp_qrig_run_ms(sim, 500);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, id), BP_QRIG_ACCEPTED);
	for (i = 0; i < 20; i++) {
		const char *other = bp_qrig_submit(sim, 1, 100, false);

		bp_qrig_run_ms(sim, 1000);
		CU_ASSERT_EQUAL(bp_qrig_told(sim, other), BP_QRIG_ACCEPTED);
	}
	owner = (uint32_t)bp_qrig_owner(sim);
	bp_qrig_kill(sim, owner);
	bp_qrig_run_ms(sim, 1000);
	bp_qrig_restart(sim, owner);
	for (i = 0; i < 90 && state != BP__WORK__JOB_STATE__JOB_COMPLETED;
	     i++) {
		bp_qrig_run_ms(sim, 1000);
		(void)bp_qrig_status(sim, id, &state);
	}
	CU_ASSERT_EQUAL(state, BP__WORK__JOB_STATE__JOB_COMPLETED);
	CU_ASSERT_EQUAL(bp_qrig_away(sim), 0);
	CU_ASSERT_EQUAL(bp_qrig_status(sim, lasting, &state), BP_OK);
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	if (bp_qrig_broken(sim) > 0)
		printf("%s\n", bp_qrig_first_broken(sim));
	bp_qrig_free(sim);
	g_free(checkpoint);
}

#define OTHERS 6

/*
 * Guards against a record that the store rejects for good and that is sent
 * again and again with all others: the job concerned ends, the rest goes on.
 */
static void
test_a_rejected_record_holds_up_no_other(void)
{
	static const char *const parts[] = {"j/0000000000000002",
	    "p/0000000000000002", "0000000000000002", "x/i-1"};
	bp_qrig_shape_t shape = {.reliable = true};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		bp_qrig_t *sim = bp_qrig_new(SEED, EXECUTORS);
		Bp__Work__JobState state;
		const char *ids[OTHERS];
		const char *bad;
		uint32_t k;

		bp_qrig_set_shape(sim, &shape);
		bp_qrig_run_ms(sim, SETTLE_MS);
		(void)bp_qrig_submit(sim, 2, 0, true);
		bp_qrig_run_ms(sim, 1000);
		bp_qstore_set_rejected(bp_qrig_store(sim), parts[i]);
		bad = bp_qrig_submit(sim, 2, 300, false);
		for (k = 0; k < OTHERS; k++) {
			ids[k] = bp_qrig_submit(sim, 2, 300, false);
			bp_qrig_run_ms(sim, 100);
		}
		bp_qrig_run_ms(sim, 5000);
		for (k = 0; k < OTHERS; k++) {
			CU_ASSERT_EQUAL(
			    bp_qrig_told(sim, ids[k]), BP_QRIG_ACCEPTED);
			CU_ASSERT_EQUAL(
			    bp_qrig_status(sim, ids[k], &state), BP_OK);
			CU_ASSERT_EQUAL(
			    state, BP__WORK__JOB_STATE__JOB_COMPLETED);
		}
		if (i == 1) {
			CU_ASSERT_EQUAL(
			    bp_qrig_status(sim, bad, &state), BP_OK);
			CU_ASSERT_EQUAL(state, BP__WORK__JOB_STATE__JOB_FAILED);
		} else if (i < 3) {
			CU_ASSERT_EQUAL(
			    bp_qrig_told(sim, bad), BP_QRIG_REFUSED);
		}
		CU_ASSERT_EQUAL(bp_qrig_away(sim), 0);
		CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
		bp_qrig_free(sim);
	}
}

/* A store that takes no record at all ends no job. */
static void
test_a_store_that_rejects_all_ends_no_job(void)
{
	bp_qrig_shape_t shape = {.reliable = true};
	bp_qrig_t *sim = bp_qrig_new(SEED, EXECUTORS);
	Bp__Work__JobState state;
	const char *id;

	bp_qrig_set_shape(sim, &shape);
	bp_qrig_run_ms(sim, SETTLE_MS);
	id = bp_qrig_submit(sim, 4, 500, false);
	bp_qrig_run_ms(sim, 200);
	bp_qstore_set_rejected(bp_qrig_store(sim), "");
	bp_qrig_run_ms(sim, 3000);
	bp_qstore_set_rejected(bp_qrig_store(sim), NULL);
	bp_qrig_run_ms(sim, 8000);
	CU_ASSERT_EQUAL(bp_qrig_status(sim, id, &state), BP_OK);
	CU_ASSERT_EQUAL(state, BP__WORK__JOB_STATE__JOB_COMPLETED);
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	bp_qrig_free(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"many jobs take several appends",
		test_many_jobs_take_several_appends},
	    {"progress of many tasks is divided",
		test_progress_of_many_tasks_is_divided},
	    {"a rejected record holds up no other",
		test_a_rejected_record_holds_up_no_other},
	    {"a store that rejects all ends no job",
		test_a_store_that_rejects_all_ends_no_job},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/appends", tests);
}
