#include "support/queuerig.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>

#define SEED 20261206
#define SETTLE_MS 3000
#define EXECUTORS 12
#define TASK_MILLI 2000
#define CAP_MILLI 10000
/* A takeover after a kill, with the wait for executors that do not answer. */
#define TAKEOVER_MS 16000

static const bp_qrig_customer_t capped[] = {
    {"narrow", 10, CAP_MILLI}, {"wide", 10, 0}};

static const bp_qrig_shape_t narrow = {
    .reliable = true, .cpu_milli = TASK_MILLI, .customer = "narrow"};
static const bp_qrig_shape_t wide = {
    .reliable = true, .cpu_milli = TASK_MILLI, .customer = "wide"};

static bp_qrig_t *
start_rig(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);

	bp_qrig_set_customers(rig, capped, G_N_ELEMENTS(capped));
	bp_qrig_run_ms(rig, SETTLE_MS);
	CU_ASSERT_TRUE(bp_qrig_owner(rig) >= 0);
	return rig;
}

/* Each start is checked against the caps by the rig. */
static void
finish(bp_qrig_t *rig)
{
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	if (bp_qrig_broken(rig) > 0)
		printf(
		    "%u: %s\n", bp_qrig_broken(rig), bp_qrig_first_broken(rig));
	bp_qrig_free(rig);
}

static const char *
submit(bp_qrig_t *rig, const bp_qrig_shape_t *shape, uint32_t tasks,
    int64_t task_ms, bool lasting)
{
	bp_qrig_set_shape(rig, shape);
	return bp_qrig_submit(rig, tasks, task_ms, lasting);
}

/* Guards against more running tasks than the cap during a burst, and against
 * a cap that also holds back other customers or stays unused. */
static void
test_a_burst_stays_within_the_cap(void)
{
	bp_qrig_t *rig = start_rig();
	Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;
	const char *first = submit(rig, &narrow, 8, 1000, false);
	const char *other;
	uint32_t i;

	for (i = 0; i < 10; i++)
		(void)submit(rig, &narrow, 8, 1000, false);
	other = submit(rig, &wide, 20, 1000, false);
	bp_qrig_run_ms(rig, 500);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "narrow"), CAP_MILLI);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "wide"), 20 * TASK_MILLI);
	bp_qrig_run_ms(rig, 60000);
	CU_ASSERT_EQUAL(bp_qrig_status(rig, first, &state), BP_OK);
	CU_ASSERT_EQUAL(state, BP__WORK__JOB_STATE__JOB_COMPLETED);
	CU_ASSERT_EQUAL(bp_qrig_status(rig, other, &state), BP_OK);
	CU_ASSERT_EQUAL(state, BP__WORK__JOB_STATE__JOB_COMPLETED);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
	finish(rig);
}

/* Fillers take no processors from an executor, but count against the cap. */
static void
test_fillers_count(void)
{
	bp_qrig_shape_t fillers = narrow;
	bp_qrig_t *rig = start_rig();

	fillers.filler = true;
	(void)submit(rig, &fillers, 30, 2000, false);
	bp_qrig_run_ms(rig, 1500);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "narrow"), CAP_MILLI);
	bp_qrig_run_ms(rig, 10000);
	finish(rig);
}

/*
 * Guards against a new owner that starts more while runs of the killed one go
 * on, on executors that it cannot reach, and of a job that was cancelled.
 */
static void
test_a_takeover_counts_what_may_run(void)
{
	bp_qrig_t *rig = start_rig();
	const char *cancelled = submit(rig, &narrow, 3, 0, true);
	uint32_t i;

	(void)submit(rig, &narrow, 2, 0, true);
	bp_qrig_run_ms(rig, 1000);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "narrow"), CAP_MILLI);
	(void)submit(rig, &narrow, 8, 0, true);
	bp_qrig_run_ms(rig, 300);
	/* No stop arrives, so the runs outlive the record of their job. */
	for (i = 0; i < EXECUTORS; i++)
		bp_qfleet_set_cut(bp_qrig_fleet(rig), i, true);
	bp_qrig_cancel(rig, cancelled);
	bp_qrig_run_ms(rig, 100);
	CU_ASSERT_EQUAL(bp_qrig_cancel_told(rig, cancelled), BP_QRIG_ACCEPTED);
	bp_qrig_kill(rig, (uint32_t)bp_qrig_owner(rig));
	for (i = 0; i < EXECUTORS; i += 2)
		bp_qfleet_set_cut(bp_qrig_fleet(rig), i, false);
	for (i = 0; i < TAKEOVER_MS / 500; i++)
		bp_qrig_run_ms(rig, 500);
	for (i = 0; i < EXECUTORS; i++)
		bp_qfleet_set_cut(bp_qrig_fleet(rig), i, false);
	bp_qrig_run_ms(rig, 5000);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "narrow"), CAP_MILLI);
	finish(rig);
}

/* Guards against starts beside others that got no answer and are carried out
 * seconds later. */
static void
test_unanswered_starts_count(void)
{
	bp_qrig_t *rig = start_rig();
	uint32_t i;

	bp_qfleet_set_late(bp_qrig_fleet(rig), 30);
	for (i = 0; i < 12; i++) {
		(void)submit(rig, &narrow, 6, 400, false);
		bp_qrig_run_ms(rig, 300);
	}
	bp_qrig_run_ms(rig, 20000);
	bp_qfleet_set_late(bp_qrig_fleet(rig), 0);
	bp_qrig_run_ms(rig, 20000);
	CU_ASSERT_TRUE(bp_qrig_count(rig, "starts_unanswered") > 0);
	finish(rig);
}

/* Random faults: owners are killed, restarted and frozen during a burst. */
static void
test_caps_hold_while_owners_change(void)
{
	bp_qrig_t *rig = start_rig();
	uint32_t i;

	bp_qfleet_set_late(bp_qrig_fleet(rig), 5);
	for (i = 0; i < 60; i++) {
		int owner = bp_qrig_owner(rig);

		(void)submit(rig, &narrow, 5, 700, false);
		if (i % 15 == 4 && owner >= 0)
			bp_qrig_kill(rig, (uint32_t)owner);
		if (i % 15 == 11 && owner >= 0)
			bp_qrig_freeze(rig, (uint32_t)owner, true);
		if (i % 15 == 14) {
			uint32_t k;

			for (k = 0; k < BP_QRIG_NODES; k++) {
				bp_qrig_freeze(rig, k, false);
				bp_qrig_restart(rig, k);
			}
		}
		bp_qrig_run_ms(rig, 1000);
	}
	bp_qrig_run_ms(rig, 30000);
	finish(rig);
}

#define FAULTS 80
#define JOBS_MAX (3 * FAULTS)

/* One fault of a node, an executor or the store, or the end of one. */
static void
cause_fault(bp_qrig_t *rig)
{
	bp_random_t *random = bp_qrig_random(rig);
	uint32_t node = bp_random_below(random, BP_QRIG_NODES);
	uint32_t exec = bp_random_below(random, EXECUTORS);
	bp_qfleet_t *fleet = bp_qrig_fleet(rig);

	switch (bp_random_below(random, 8)) {
	case 0:
		if (bp_qrig_owner(rig) >= 0)
			bp_qrig_kill(rig, (uint32_t)bp_qrig_owner(rig));
		break;
	case 1:
		bp_qrig_freeze(rig, node, true);
		break;
	case 2:
		bp_qfleet_set_cut(fleet, exec, true);
		break;
	case 3:
		bp_qfleet_crash(fleet, exec);
		break;
	case 4:
		bp_qrig_cut_executors(rig, node, true);
		break;
	case 5:
		bp_qfleet_lose_answers(fleet, exec, 3);
		break;
	default:
		bp_qrig_freeze(rig, node, false);
		bp_qrig_restart(rig, node);
		bp_qrig_cut_executors(rig, node, false);
		bp_qfleet_set_cut(fleet, exec, false);
		break;
	}
}

/*
 * Faults of all kinds beside short, long-running, filling and cancelled work:
 * guards against any run that an owner does not count.
 */
static void
test_caps_hold_under_faults(void)
{
	bp_qrig_t *rig = start_rig();
	const char *ids[JOBS_MAX];
	uint32_t n = 0;
	uint32_t i;

	bp_qfleet_set_late(bp_qrig_fleet(rig), 10);
	bp_qfleet_set_jitter_ms(bp_qrig_fleet(rig), 30);
	for (i = 0; i < FAULTS; i++) {
		bp_qrig_shape_t filler = narrow;

		filler.filler = true;
		ids[n++] = submit(rig, &narrow, 2, 0, true);
		ids[n++] = submit(rig, &filler, 3, 800, false);
		ids[n++] = submit(rig, &narrow, 2, 500, false);
		bp_qrig_cancel(
		    rig, ids[bp_random_below(bp_qrig_random(rig), n)]);
		cause_fault(rig);
		bp_qrig_run_ms(
		    rig, 100 + bp_random_below(bp_qrig_random(rig), 1500));
	}
	for (i = 0; i < BP_QRIG_NODES; i++) {
		bp_qrig_freeze(rig, i, false);
		bp_qrig_restart(rig, i);
		bp_qrig_cut_executors(rig, i, false);
	}
	for (i = 0; i < EXECUTORS; i++)
		bp_qfleet_set_cut(bp_qrig_fleet(rig), i, false);
	bp_qfleet_set_late(bp_qrig_fleet(rig), 0);
	for (i = 0; i < n; i++)
		bp_qrig_cancel(rig, ids[i]);
	bp_qrig_run_ms(rig, 30000);
	/* Nothing stays in the account for good. */
	(void)submit(rig, &narrow, 5, 0, true);
	bp_qrig_run_ms(rig, 3000);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "narrow"), CAP_MILLI);
	finish(rig);
}

/* Guards against starts above a cap that was lowered while in use, and against
 * a raised one that is not used. */
static void
test_a_cap_changes_in_use(void)
{
	bp_qrig_customer_t changed[] = {
	    {"narrow", 10, CAP_MILLI}, {"wide", 10, 0}};
	bp_qrig_t *rig = start_rig();
	uint32_t i;

	for (i = 0; i < 40; i++)
		(void)submit(rig, &narrow, 4, 900, false);
	bp_qrig_run_ms(rig, 2000);
	changed[0].cap_cpu_milli = 2 * TASK_MILLI;
	bp_qrig_set_customers(rig, changed, G_N_ELEMENTS(changed));
	bp_qrig_run_ms(rig, 3000);
	CU_ASSERT_TRUE(bp_qrig_customer_milli(rig, "narrow") <= 2 * TASK_MILLI);
	changed[0].cap_cpu_milli = 8 * TASK_MILLI;
	bp_qrig_set_customers(rig, changed, G_N_ELEMENTS(changed));
	bp_qrig_run_ms(rig, 2000);
	CU_ASSERT_TRUE(bp_qrig_customer_milli(rig, "narrow") >= 6 * TASK_MILLI);
	finish(rig);
}

/* Guards against a gang of which only some members start at the cap. */
static void
test_a_gang_starts_whole_or_not(void)
{
	bp_qrig_shape_t gang = narrow;
	bp_qrig_t *rig = start_rig();
	const char *id;
	char *why;

	gang.gang = true;
	(void)submit(rig, &narrow, 3, 4000, false);
	bp_qrig_run_ms(rig, 1000);
	id = submit(rig, &gang, 4, 1000, false);
	bp_qrig_run_ms(rig, 1000);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "narrow"), 3 * TASK_MILLI);
	why = bp_qrig_why(rig, id);
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "\"customer_cap\""));
	g_free(why);
	bp_qrig_run_ms(rig, 40000);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
	finish(rig);
}

/*
 * A customer that the configuration does not name any more keeps its last cap;
 * an owner that never knew it runs one task at a time. Guards against accepted
 * jobs that never run, and against unlimited starts.
 */
static void
test_a_removed_customer(void)
{
	bp_qrig_t *rig = start_rig();
	uint32_t i;

	for (i = 0; i < 6; i++)
		(void)submit(rig, &narrow, 5, 1000, false);
	bp_qrig_run_ms(rig, 500);
	bp_qrig_set_customers(rig, &capped[1], 1);
	bp_qrig_run_ms(rig, 1000);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "narrow"), CAP_MILLI);
	bp_qrig_kill(rig, (uint32_t)bp_qrig_owner(rig));
	bp_qrig_run_ms(rig, 8000);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "narrow"), TASK_MILLI);
	bp_qrig_run_ms(rig, 100000);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
	finish(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a burst stays within the cap", test_a_burst_stays_within_the_cap},
	    {"fillers count", test_fillers_count},
	    {"a takeover counts what may run",
		test_a_takeover_counts_what_may_run},
	    {"unanswered starts count", test_unanswered_starts_count},
	    {"caps hold while owners change",
		test_caps_hold_while_owners_change},
	    {"caps hold under faults", test_caps_hold_under_faults},
	    {"a cap changes in use", test_a_cap_changes_in_use},
	    {"a gang starts whole or not", test_a_gang_starts_whole_or_not},
	    {"a removed customer", test_a_removed_customer},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/customer_caps", tests);
}
