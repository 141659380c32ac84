#include "support/queuerig.h"
#include "support/runner.h"

#include <stdio.h>

#define SEED 20261207
#define EXECUTORS 6
#define SETTLE_MS 6000
#define SAMPLE_MS 50
#define KEPT 6 /* jobs that last and are not cancelled */
#define KEPT_TASKS 2 /* of each of them */
#define CANCELLED 2 /* jobs with a task on each executor */
#define SUBMIT_INTERVAL_MS 100
#define OUTAGE_GAP_MS 2000
#define QUIET_MS 20000
#define PHASES 16 /* of joins and polls at the start of an outage */
#define PHASE_MS 100
#define TASK_MS 1000
#define ENDING 8
#define KILL_STEP_MS 5
#define KILL_MAX_MS 700
#define GIVE_UP_STEP_MS 20
#define SILENT_APPENDS_MS 9000
/* The longest outage of the whole store that deployments name. */
#define OUTAGE_MS 6800
#define SHORT_OUTAGE_MS 1500
/* After the return of the store; one of its calls may go without an answer. */
#define ACKNOWLEDGE_MS 4000

/* Lets time pass; raises *away to the most tasks that were away together. */
static void
run_watching(bp_qrig_t *rig, int64_t duration_ms, uint32_t *away)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += SAMPLE_MS) {
		bp_qrig_run_ms(rig, SAMPLE_MS);
		*away = MAX(*away, bp_qrig_away(rig));
	}
}

/* Creates a rig whose executors are full of tasks that last, each with some of
 * the jobs to be cancelled, and lets it settle. */
static bp_qrig_t *
new_rig(const char **cancelled)
{
	bp_qrig_shape_t spread = {.reliable = true, .spread_max = 1};
	bp_qrig_shape_t shape = {.reliable = true};
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	uint32_t i;

	bp_qrig_run_ms(rig, SETTLE_MS);
	bp_qrig_set_shape(rig, &spread);
	for (i = 0; i < CANCELLED; i++)
		cancelled[i] = bp_qrig_submit(rig, EXECUTORS, 0, true);
	bp_qrig_set_shape(rig, &shape);
	for (i = 0; i < KEPT; i++)
		(void)bp_qrig_submit(rig, KEPT_TASKS, 0, true);
	bp_qrig_run_ms(rig, SETTLE_MS);
	CU_ASSERT_EQUAL(bp_qrig_away(rig), 0);
	return rig;
}

static void
check_rules(bp_qrig_t *rig)
{
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	if (bp_qrig_broken(rig) > 0)
		printf("%s\n", bp_qrig_first_broken(rig));
}

/* Checks that no task was away and no run end is left, and frees the rig. */
static void
end_quiet(bp_qrig_t *rig, uint32_t away)
{
	CU_ASSERT_EQUAL(away, 0);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "executors_unstored_ends"), 0);
	check_rules(rig);
	bp_qrig_free(rig);
}

/* Hands jobs in while the store refuses all calls. */
static void
submit_in_outage(bp_qrig_t *rig, uint32_t submissions, uint32_t *away)
{
	uint32_t i;

	bp_qrig_store_mode_all(rig, BP_QSTORE_BUSY);
	for (i = 0; i < submissions; i++) {
		(void)bp_qrig_submit(rig, 1, 1000, false);
		run_watching(rig, SUBMIT_INTERVAL_MS, away);
	}
	bp_qrig_store_mode_all(rig, BP_QSTORE_UP);
}

/* Guards against executors that are not polled any more (review/11): ends of
 * cancelled runs share an append with a submission, and the store refuses it.
 */
static void
test_tasks_run_on_after_refused_appends(void)
{
	static const struct {
		uint32_t outages;
		uint32_t submissions; /* in each */
		uint32_t after_ms; /* from the cancels to the outage */
	} cases[] = {{1, 15, 0}, {1, 15, 60}, {1, 3, 0}, {1, 3, 60}, {2, 10, 0},
	    {2, 10, 60}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *cancelled[CANCELLED];
		bp_qrig_t *rig = new_rig(cancelled);
		uint32_t away = 0;
		uint32_t n;

		bp_qrig_cancel(rig, cancelled[0]);
		bp_qrig_run_ms(rig, SAMPLE_MS);
		bp_qrig_run_ms(rig, cases[i].after_ms);
		for (n = 0; n < cases[i].outages; n++) {
			submit_in_outage(rig, cases[i].submissions, &away);
			run_watching(rig, OUTAGE_GAP_MS, &away);
		}
		run_watching(rig, QUIET_MS, &away);
		end_quiet(rig, away);
	}
}

/* Guards against the same at an executor whose own record the store rejects for
 * good: its ends need no record. */
static void
test_tasks_run_on_where_the_record_is_rejected(void)
{
	const char *cancelled[CANCELLED];
	bp_qrig_t *rig = new_rig(cancelled);
	uint32_t away = 0;

	/* Room on each executor, and then starts there to record. */
	bp_qrig_cancel(rig, cancelled[0]);
	run_watching(rig, 1000, &away);
	bp_qstore_set_rejected(bp_qrig_store(rig), "x/i-1");
	(void)bp_qrig_submit(rig, EXECUTORS, 1000, false);
	run_watching(rig, 5000, &away);
	bp_qrig_cancel(rig, cancelled[1]);
	run_watching(rig, QUIET_MS, &away);
	end_quiet(rig, away);
}

/* Starts a task on each executor that ends within the outage which begins when
 * this returns. */
static void
start_ending_tasks(bp_qrig_t *rig, const char *cancelled, uint32_t *away)
{
	bp_qrig_shape_t shape = {
	    .reliable = true, .spread_max = 1, .single = true};

	bp_qrig_cancel(rig, cancelled);
	run_watching(rig, 1000, away);
	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, EXECUTORS, 1000, false);
	run_watching(rig, 500, away);
}

/* Guards against leases that are not renewed while run ends wait for a store
 * that answers joins, but no append. */
static void
test_leases_are_renewed_while_ends_wait(void)
{
	const char *cancelled[CANCELLED];
	bp_qrig_t *rig = new_rig(cancelled);
	uint32_t away = 0;

	start_ending_tasks(rig, cancelled[0], &away);
	bp_qrig_store_mode_all(rig, BP_QSTORE_SILENT_APPENDS);
	run_watching(rig, SILENT_APPENDS_MS, &away);
	CU_ASSERT_EQUAL(
	    bp_qrig_count(rig, "executors_unstored_ends"), EXECUTORS);
	bp_qrig_store_mode_all(rig, BP_QSTORE_UP);
	run_watching(rig, QUIET_MS, &away);
	end_quiet(rig, away);
}

/* The same while the store answers nothing at all, or refuses all calls. */
static void
test_leases_outlast_an_outage(void)
{
	static const bp_qstore_mode_t modes[] = {
	    BP_QSTORE_SILENT, BP_QSTORE_BUSY};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(modes) * PHASES; i++) {
		const char *cancelled[CANCELLED];
		bp_qrig_t *rig = new_rig(cancelled);
		uint32_t away = 0;

		run_watching(rig, i % PHASES * PHASE_MS, &away);
		start_ending_tasks(rig, cancelled[0], &away);
		bp_qrig_store_mode_all(rig, modes[i / PHASES]);
		run_watching(rig, OUTAGE_MS, &away);
		bp_qrig_store_mode_all(rig, BP_QSTORE_UP);
		run_watching(rig, QUIET_MS, &away);
		end_quiet(rig, away);
	}
}

/*
 * Has run ends share an append with the failure of a task whose job the store
 * rejects, and kills the owner after kill_ms.
 */
static void
kill_owner_after_rejections(uint32_t kill_ms)
{
	bp_qrig_shape_t shape = {.reliable = true, .single = true};
	bp_qrig_shape_t failing = {.fails_after_ms = TASK_MS};
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	char *key;
	uint32_t i;
	int owner;

	bp_qrig_run_ms(rig, SETTLE_MS);
	bp_qrig_set_shape(rig, &failing);
	key = g_strconcat("p/", bp_qrig_submit(rig, 1, 0, true), NULL);
	bp_qrig_set_shape(rig, &shape);
	for (i = 0; i < ENDING; i++)
		(void)bp_qrig_submit(rig, 1, TASK_MS, false);
	bp_qrig_run_ms(rig, TASK_MS);
	bp_qstore_set_rejected(bp_qrig_store(rig), key);
	bp_qrig_run_ms(rig, kill_ms);
	owner = bp_qrig_owner(rig);
	CU_ASSERT_TRUE_FATAL(owner >= 0);
	bp_qrig_kill(rig, (uint32_t)owner);
	bp_qstore_set_rejected(bp_qrig_store(rig), NULL);
	bp_qrig_run_ms(rig, QUIET_MS);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
	check_rules(rig);
	bp_qrig_free(rig);
	g_free(key);
}

/* Guards against an end that is acknowledged though its append was rejected:
 * the next one that succeeds covered it, and a successor runs the task again.
 */
static void
test_rejected_ends_are_not_acknowledged(void)
{
	uint32_t kill_ms;

	for (kill_ms = 0; kill_ms < KILL_MAX_MS; kill_ms += KILL_STEP_MS)
		kill_owner_after_rejections(kill_ms);
}

/* Guards against keys that stay in the store because their deletion was
 * refused: a successor would wait for an executor that is gone. */
static void
test_deletions_outlast_an_outage(void)
{
	static const bp_qstore_mode_t modes[] = {
	    BP_QSTORE_SILENT_APPENDS, BP_QSTORE_BUSY};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
		bp_qstore_t *store = bp_qrig_store(rig);

		bp_qrig_run_ms(rig, SETTLE_MS);
		CU_ASSERT_PTR_NOT_NULL(bp_qstore_value(store, 0, "x/i-1"));
		bp_qrig_store_mode_all(rig, modes[i]);
		bp_qfleet_set_listed(bp_qrig_fleet(rig), 1, false);
		bp_qfleet_set_cut(bp_qrig_fleet(rig), 1, true);
		bp_qrig_run_ms(rig, SHORT_OUTAGE_MS);
		bp_qrig_store_mode_all(rig, BP_QSTORE_UP);
		bp_qrig_run_ms(rig, QUIET_MS);
		CU_ASSERT_PTR_NULL(bp_qstore_value(store, 0, "x/i-1"));
		CU_ASSERT_PTR_NOT_NULL(bp_qstore_value(store, 0, "x/i-2"));
		check_rules(rig);
		bp_qrig_free(rig);
	}
}

/* Guards against the deletion of a key that was written again since: the
 * executor has returned within the outage. */
static void
test_written_keys_are_not_deleted(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);

	bp_qrig_run_ms(rig, SETTLE_MS);
	bp_qrig_store_mode_all(rig, BP_QSTORE_BUSY);
	bp_qfleet_set_listed(bp_qrig_fleet(rig), 1, false);
	bp_qrig_run_ms(rig, SHORT_OUTAGE_MS / 2);
	bp_qfleet_set_listed(bp_qrig_fleet(rig), 1, true);
	bp_qrig_run_ms(rig, SHORT_OUTAGE_MS / 2);
	bp_qrig_store_mode_all(rig, BP_QSTORE_UP);
	bp_qrig_run_ms(rig, QUIET_MS);
	CU_ASSERT_PTR_NOT_NULL(bp_qstore_value(bp_qrig_store(rig), 0, "x/i-1"));
	check_rules(rig);
	bp_qrig_free(rig);
}

/* Guards against the last ends of an executor that are never acknowledged: no
 * run is left there, and the store was slow to take them. */
static void
test_last_ends_are_acknowledged(void)
{
	static const bp_qstore_mode_t modes[] = {
	    BP_QSTORE_SILENT_APPENDS, BP_QSTORE_BUSY, BP_QSTORE_SILENT};
	bp_qrig_shape_t shape = {.reliable = true, .single = true};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);

		bp_qrig_set_shape(rig, &shape);
		bp_qrig_run_ms(rig, SETTLE_MS);
		(void)bp_qrig_submit(rig, EXECUTORS, TASK_MS, false);
		bp_qrig_run_ms(rig, TASK_MS / 2);
		bp_qrig_store_mode_all(rig, modes[i]);
		bp_qrig_run_ms(rig, SHORT_OUTAGE_MS);
		CU_ASSERT_EQUAL(
		    bp_qfleet_unacknowledged(bp_qrig_fleet(rig)), EXECUTORS);
		bp_qrig_store_mode_all(rig, BP_QSTORE_UP);
		bp_qrig_run_ms(rig, ACKNOWLEDGE_MS);
		CU_ASSERT_EQUAL(
		    bp_qfleet_unacknowledged(bp_qrig_fleet(rig)), 0);
		CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
		check_rules(rig);
		bp_qrig_free(rig);
	}
}

/* Ends a task while the store rejects all progress of its job, the last record
 * included, and kills the owner after kill_ms. */
static void
kill_owner_of_rejected_job(uint32_t kill_ms)
{
	bp_qrig_shape_t shape = {.reliable = true, .single = true};
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	int owner;

	bp_qrig_set_shape(rig, &shape);
	bp_qrig_run_ms(rig, SETTLE_MS);
	(void)bp_qrig_submit(rig, 1, TASK_MS, false);
	bp_qrig_run_ms(rig, TASK_MS);
	bp_qstore_set_rejected(bp_qrig_store(rig), "p/");
	bp_qrig_run_ms(rig, kill_ms);
	owner = bp_qrig_owner(rig);
	CU_ASSERT_TRUE_FATAL(owner >= 0);
	bp_qrig_kill(rig, (uint32_t)owner);
	bp_qstore_set_rejected(bp_qrig_store(rig), NULL);
	bp_qrig_run_ms(rig, QUIET_MS);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
	check_rules(rig);
	bp_qrig_free(rig);
}

/* Guards against a task that a successor runs again although its end was noted:
 * its job was given up, and the store has rejected that record, too. */
static void
test_a_job_that_is_given_up_is_not_run_again(void)
{
	uint32_t kill_ms;

	for (kill_ms = 0; kill_ms < KILL_MAX_MS; kill_ms += GIVE_UP_STEP_MS)
		kill_owner_of_rejected_job(kill_ms);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"tasks run on after refused appends",
		test_tasks_run_on_after_refused_appends},
	    {"tasks run on where the record is rejected",
		test_tasks_run_on_where_the_record_is_rejected},
	    {"leases are renewed while ends wait",
		test_leases_are_renewed_while_ends_wait},
	    {"leases outlast an outage", test_leases_outlast_an_outage},
	    {"rejected ends are not acknowledged",
		test_rejected_ends_are_not_acknowledged},
	    {"deletions outlast an outage", test_deletions_outlast_an_outage},
	    {"written keys are not deleted", test_written_keys_are_not_deleted},
	    {"last ends are acknowledged", test_last_ends_are_acknowledged},
	    {"a job that is given up is not run again",
		test_a_job_that_is_given_up_is_not_run_again},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/storeoutage", tests);
}
