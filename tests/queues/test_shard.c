#include "support/queuerig.h"
#include "support/runner.h"

#include <stdlib.h>
#include <string.h>

#define SEED 20261204
#define SETTLE_MS 3000

/* Delay of the answer to a start that goes through a busy proxy. */
#define SLOW_ANSWER_MS 2000

static bp_qrig_t *
start_simulation(void)
{
	bp_qrig_t *sim = bp_qrig_new(SEED, 6);

	bp_qrig_run_ms(sim, SETTLE_MS);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	return sim;
}

/* Counts running tasks among the first ones of a job's first step. */
static uint32_t
count_running(bp_qrig_t *sim, const char *id, uint32_t tasks)
{
	uint32_t running = 0;
	uint32_t k;

	for (k = 0; k < tasks; k++) {
		char *task = g_strdup_printf("%s.0.0.%u", id, k);

		running += bp_qfleet_running_of(bp_qrig_fleet(sim), task);
		g_free(task);
	}
	return running;
}

static void
finish_simulation(bp_qrig_t *sim)
{
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	if (bp_qrig_broken(sim) > 0)
		printf("%s\n", bp_qrig_first_broken(sim));
	bp_qrig_free(sim);
}

static void
expect_state(bp_qrig_t *sim, const char *id, Bp__Work__JobState expected)
{
	Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;

	CU_ASSERT_EQUAL(bp_qrig_status(sim, id, &state), BP_OK);
	CU_ASSERT_EQUAL(state, expected);
}

/* A job is accepted, runs its two steps in order and is reported completed. */
static void
test_a_job_completes(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 4, 500, false);

	bp_qrig_run_ms(sim, 200);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, id), BP_QRIG_ACCEPTED);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_RUNNING);
	bp_qrig_run_ms(sim, 5000);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_COMPLETED);
	finish_simulation(sim);
}

/* Guards against a second job if a caller repeats a submission. */
static void
test_the_same_id_is_one_job(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 4, 500, false);
	uint32_t starts;

	bp_qrig_resubmit(sim, id);
	bp_qrig_run_ms(sim, 6000);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_COMPLETED);
	starts = bp_qfleet_starts(bp_qrig_fleet(sim));
	bp_qrig_resubmit(sim, id);
	bp_qrig_run_ms(sim, 3000);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, id), BP_QRIG_ACCEPTED);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), starts);
	finish_simulation(sim);
}

/* Guards against tasks that run on after their cancel was acknowledged. */
static void
test_a_cancel_stops_what_runs(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 3, 0, true);
	char *task = g_strdup_printf("%s.0.0.1", id);

	bp_qrig_run_ms(sim, 1000);
	CU_ASSERT_EQUAL(bp_qfleet_running_of(bp_qrig_fleet(sim), task), 1);
	bp_qrig_cancel(sim, id);
	bp_qrig_run_ms(sim, 1000);
	CU_ASSERT_EQUAL(bp_qrig_cancel_told(sim, id), BP_QRIG_ACCEPTED);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_CANCELLED);
	CU_ASSERT_EQUAL(bp_qfleet_running_of(bp_qrig_fleet(sim), task), 0);
	g_free(task);
	finish_simulation(sim);
}

/*
 * Guards against a submission that is delayed on its way to the owner and
 * accepted after its cancel was answered: the job would run for nobody.
 */
static void
test_a_cancel_overtakes_its_submission(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *other = bp_qrig_submit(sim, 1, 300, false);
	const char *id = bp_qrig_prepare(sim, 3, 0, true);
	Bp__Work__JobState state;

	bp_qrig_run_ms(sim, 500);
	CU_ASSERT_EQUAL(bp_qrig_status(sim, id, &state), BP_ENOTFOUND);
	bp_qrig_cancel(sim, id);
	bp_qrig_run_ms(sim, 2000);
	bp_qrig_resubmit(sim, id);
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, id), BP_QRIG_REFUSED);
	CU_ASSERT_EQUAL(count_running(sim, id, 3), 0);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, other), BP_QRIG_ACCEPTED);
	finish_simulation(sim);
}

#define SLOW_END_MS 400

/* Guards against a cancel that arrives while the end of its job is being
 * stored, and is never answered. */
static void
test_a_cancel_during_the_end_is_answered(void)
{
	const bp_qrig_shape_t shape = {.reliable = true};
	bp_qrig_t *sim = start_simulation();
	const char *id;
	char *last;

	bp_qrig_set_shape(sim, &shape);
	id = bp_qrig_submit(sim, 1, 300, false);
	last = g_strdup_printf("%s.0.1.0", id);
	bp_qrig_run_ms(sim, 550);
	bp_qstore_set_delay_ms(bp_qrig_store(sim), SLOW_END_MS);
	while (!bp_qfleet_has_done(bp_qrig_fleet(sim), last))
		bp_qrig_run_ms(sim, 10);
	g_free(last);
	bp_qrig_run_ms(sim, 100);
	bp_qrig_cancel(sim, id);
	CU_ASSERT_EQUAL(bp_qrig_cancel_told(sim, id), BP_QRIG_OPEN);
	bp_qrig_run_ms(sim, 1500);
	CU_ASSERT_EQUAL(bp_qrig_cancel_told(sim, id), BP_QRIG_ACCEPTED);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_COMPLETED);
	finish_simulation(sim);
}

/* Guards against restarts of tasks that a dead owner had started. */
static void
test_a_successor_adopts_what_runs(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 4, 0, true);
	int before = bp_qrig_owner(sim);
	uint32_t starts;

	bp_qrig_run_ms(sim, 1000);
	starts = bp_qfleet_starts(bp_qrig_fleet(sim));
	bp_qrig_kill(sim, (uint32_t)before);
	bp_qrig_run_ms(sim, 8000);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	CU_ASSERT_NOT_EQUAL(bp_qrig_owner(sim), before);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), starts);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_RUNNING);
	finish_simulation(sim);
}

/* All nodes die at once; every job is known again after their restart. */
static void
test_all_nodes_die_and_return(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *done = bp_qrig_submit(sim, 3, 300, false);
	const char *open = bp_qrig_submit(sim, 3, 4000, false);
	uint32_t i;

	bp_qrig_run_ms(sim, 3000);
	expect_state(sim, done, BP__WORK__JOB_STATE__JOB_COMPLETED);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_kill(sim, i);
	bp_qrig_run_ms(sim, 1000);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_restart(sim, i);
	bp_qrig_run_ms(sim, 4000);
	expect_state(sim, done, BP__WORK__JOB_STATE__JOB_COMPLETED);
	bp_qrig_run_ms(sim, 25000);
	expect_state(sim, open, BP__WORK__JOB_STATE__JOB_COMPLETED);
	finish_simulation(sim);
}

/* Guards against takeovers that read the whole record of every ended job. */
static void
test_ended_jobs_are_stored_small(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *done = bp_qrig_submit(sim, 3, 300, false);
	const char *cancelled = bp_qrig_submit(sim, 3, 0, true);
	char *key = g_strconcat("j/", done, NULL);
	char *other = g_strconcat("j/", cancelled, NULL);
	uint32_t starts;

	bp_qrig_run_ms(sim, 1000);
	CU_ASSERT_PTR_NOT_NULL(bp_qstore_value(bp_qrig_store(sim), 0, other));
	bp_qrig_cancel(sim, cancelled);
	bp_qrig_run_ms(sim, 5000);
	CU_ASSERT_PTR_NULL(bp_qstore_value(bp_qrig_store(sim), 0, key));
	CU_ASSERT_PTR_NULL(bp_qstore_value(bp_qrig_store(sim), 0, other));
	bp_qrig_kill(sim, (uint32_t)bp_qrig_owner(sim));
	bp_qrig_run_ms(sim, 5000);
	expect_state(sim, done, BP__WORK__JOB_STATE__JOB_COMPLETED);
	expect_state(sim, cancelled, BP__WORK__JOB_STATE__JOB_CANCELLED);
	starts = bp_qfleet_starts(bp_qrig_fleet(sim));
	bp_qrig_resubmit(sim, done);
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, done), BP_QRIG_ACCEPTED);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), starts);
	g_free(key);
	g_free(other);
	finish_simulation(sim);
}

/* Guards against leases that expire because a successor cannot store records.
 */
static void
test_a_successor_prolongs_leases_at_once(void)
{
	bp_qrig_t *sim = start_simulation();
	uint32_t starts;
	uint32_t i;

	(void)bp_qrig_submit(sim, 6, 0, true);
	bp_qrig_run_ms(sim, 1000);
	starts = bp_qfleet_starts(bp_qrig_fleet(sim));
	bp_qrig_kill(sim, (uint32_t)bp_qrig_owner(sim));
	for (i = 0; i < 5000 && bp_qrig_owner(sim) < 0; i++)
		bp_qrig_run_ms(sim, 1);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_store_mode(sim, i, BP_QSTORE_BUSY);
	bp_qrig_run_ms(sim, 3500);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_store_mode(sim, i, BP_QSTORE_UP);
	bp_qrig_run_ms(sim, 8000);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), starts);
	finish_simulation(sim);
}

static void
on_shard_event(bp_shard_t *shard, void *data)
{
	(void)shard;
	(void)data;
}

/* Creates a node that takes over the shard while its owner keeps running. */
static bp_shard_t *
new_rival(bp_qrig_t *sim)
{
	bp_shard_options_t options = {0};

	options.clock = bp_clock_virtual_clock(bp_qrig_clock(sim));
	options.store = bp_qstore_interface(bp_qstore_view(bp_qrig_store(sim)));
	options.executors =
	    bp_qfleet_interface(bp_qfleet_view(bp_qrig_fleet(sim)));
	options.node = "rival";
	options.address = "rival";
	options.topic = "jobs";
	options.limits.lease_max_ms = 6000;
	options.limits.status_keep_s = 60;
	options.membership_confirmed_ms = bp_clock_mono_ms(options.clock);
	options.lost = on_shard_event;
	options.owned = on_shard_event;
	return bp_shard_new(&options);
}

/*
 * Guards against a cancelled job that a successor removes at once: submitted
 * again under the same ID, it would run.
 */
static void
test_a_cancelled_job_stays_known(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 3, 300, false);
	bp_shard_answer_t answer = {0};
	Bp__Work__JobRef call = BP__WORK__JOB_REF__INIT;
	bp_shard_t *successor;
	uint32_t i;

	bp_qrig_run_ms(sim, 20);
	bp_qrig_cancel(sim, id);
	bp_qrig_run_ms(sim, 500);
	CU_ASSERT_EQUAL(bp_qrig_cancel_told(sim, id), BP_QRIG_ACCEPTED);
	successor = new_rival(sim);
	for (i = 0; i < 2000; i += 10) {
		bp_qrig_run_ms(sim, 10);
		(void)bp_shard_confirm_membership(successor,
		    bp_clock_mono_ms(
			bp_clock_virtual_clock(bp_qrig_clock(sim))));
	}
	call.queue = (char *)"q";
	call.id = (char *)id;
	bp_shard_status(successor, &call, &answer);
	CU_ASSERT_EQUAL(answer.kind, BP_OK);
	CU_ASSERT_EQUAL(answer.state, BP__WORK__JOB_STATE__JOB_CANCELLED);
	bp_shard_free(successor);
	finish_simulation(sim);
}

/* An acknowledged job must be known to every node after this time. */
#define VISIBLE_MAX_MS 3000

static Bp__Work__Job *
new_job(const char *id)
{
	Bp__Work__Job *job = malloc(sizeof(*job));
	Bp__Work__Step *step = malloc(sizeof(*step));

	bp__work__job__init(job);
	bp__work__step__init(step);
	step->tasks = 1;
	job->id = strdup(id);
	job->queue = strdup("q");
	job->service = strdup("pool");
	job->payload = strdup("work");
	job->steps = calloc(1, sizeof(Bp__Work__Step *));
	job->steps[job->n_steps++] = step;
	return job;
}

static void
on_answer(const bp_shard_answer_t *answer, void *data)
{
	*(bp_error_kind_t *)data = answer->kind;
}

/*
 * Guards against an owner that was replaced without notice, is still named by
 * the group, and reports a job that its successor has accepted as not found.
 */
static void
test_a_replaced_owner_denies_nothing(void)
{
	const char *id = "00000000000000aa";
	bp_qrig_t *sim = start_simulation();
	bp_error_kind_t answer_kind = BP_EUNKNOWN;
	Bp__Work__JobState state;
	int owner = bp_qrig_owner(sim);
	bp_shard_t *rival = new_rival(sim);

	bp_qrig_run_ms(sim, 1000);
	CU_ASSERT_TRUE(bp_shard_ready(rival));
	bp_shard_submit(rival, new_job(id), on_answer, &answer_kind);
	bp_qrig_run_ms(sim, 200);
	CU_ASSERT_EQUAL(answer_kind, BP_OK);
	bp_qrig_run_ms(sim, VISIBLE_MAX_MS);
	CU_ASSERT_EQUAL(bp_qrig_owner(sim), owner);
	CU_ASSERT_NOT_EQUAL(bp_qrig_status(sim, id, &state), BP_ENOTFOUND);
	bp_shard_free(rival);
	/* The replaced owner has noticed and takes over the shard again. */
	bp_qrig_run_ms(sim, 3000);
	CU_ASSERT_EQUAL(bp_qrig_status(sim, id, &state), BP_OK);
	bp_qrig_free(sim);
}

/* An owner without recent appends still reports an unknown job as not found. */
static void
test_an_idle_owner_denies_what_is_unknown(void)
{
	const char *id = "00000000000000ab";
	Bp__Work__JobState state;
	bp_qrig_t *sim = start_simulation();

	bp_qrig_run_ms(sim, 10000);
	(void)bp_qrig_status(sim, id, &state);
	bp_qrig_run_ms(sim, 60);
	CU_ASSERT_EQUAL(bp_qrig_status(sim, id, &state), BP_ENOTFOUND);
	finish_simulation(sim);
}

#define MANY_JOBS 1200
#define LIST_PAGE_KEYS 500

/* Guards against takeovers that list all keys again for each new record. */
static void
test_a_contested_takeover_lists_once(void)
{
	bp_qrig_t *sim = start_simulation();
	uint64_t before = bp_qstore_listings(bp_qrig_store(sim));
	bp_shard_t *rival;
	uint64_t listings;
	uint32_t i;

	for (i = 0; i < MANY_JOBS; i++)
		(void)bp_qrig_submit(sim, 1, 200, false);
	bp_qrig_run_ms(sim, 200);
	rival = new_rival(sim);
	for (i = 0; i < 3000 && !bp_shard_ready(rival); i++) {
		(void)bp_qrig_submit(sim, 1, 200, false);
		bp_qrig_run_ms(sim, 1);
	}
	CU_ASSERT_TRUE(bp_shard_ready(rival));
	/* Two records per job and some for executors, each listed once. */
	listings = bp_qstore_listings(bp_qrig_store(sim)) - before;
	CU_ASSERT_TRUE(listings <= 2 * (MANY_JOBS + i) / LIST_PAGE_KEYS + 2);
	if (listings > 2 * (MANY_JOBS + i) / LIST_PAGE_KEYS + 2)
		printf("%u pages listed\n", (unsigned)listings);
	bp_shard_free(rival);
	finish_simulation(sim);
}

/* Tasks of an unreachable executor start elsewhere once its lease expires. */
static void
test_a_cut_executor_is_waited_out(void)
{
	bp_qrig_t *sim = bp_qrig_new(SEED, 2);
	const char *id;
	char *task;

	bp_qrig_run_ms(sim, SETTLE_MS);
	id = bp_qrig_submit(sim, 1, 0, true);
	task = g_strdup_printf("%s.0.0.0", id);
	bp_qrig_run_ms(sim, 1000);
	CU_ASSERT_EQUAL(bp_qfleet_starts_of(bp_qrig_fleet(sim), task), 1);
	bp_qfleet_set_cut(bp_qrig_fleet(sim), 0, true);
	bp_qfleet_set_cut(bp_qrig_fleet(sim), 1, true);
	bp_qrig_run_ms(sim, 1000);
	bp_qfleet_set_cut(bp_qrig_fleet(sim), 1, false);
	bp_qrig_run_ms(sim, 9000);
	CU_ASSERT_EQUAL(bp_qfleet_running_of(bp_qrig_fleet(sim), task), 1);
	g_free(task);
	finish_simulation(sim);
}

/*
 * Guards against owners in quick succession that each wait the full time for a
 * dead executor.
 */
static void
test_waiting_goes_on_over_owners(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 6, 0, true);
	uint32_t round;

	bp_qrig_run_ms(sim, 1000);
	bp_qfleet_set_cut(bp_qrig_fleet(sim), 0, true);
	for (round = 0; round < 4; round++) {
		int owner = bp_qrig_owner(sim);

		if (owner >= 0)
			bp_qrig_kill(sim, (uint32_t)owner);
		bp_qrig_run_ms(sim, 1000);
		if (owner >= 0)
			bp_qrig_restart(sim, (uint32_t)owner);
		bp_qrig_run_ms(sim, 6000);
	}
	CU_ASSERT_EQUAL(count_running(sim, id, 6), 6);
	finish_simulation(sim);
}

/*
 * Guards against a successor that waits the full time for an executor that had
 * answered the previous owner, but had been given no lease for long.
 */
static void
test_a_successor_counts_the_silence_before(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 6, 0, true);

	bp_qrig_run_ms(sim, 1000);
	bp_qfleet_set_cut(bp_qrig_fleet(sim), 0, true);
	/* The owner dies before the leases there expire. */
	bp_qrig_run_ms(sim, 5000);
	bp_qrig_kill(sim, (uint32_t)bp_qrig_owner(sim));
	/* 3.5 s for the takeover and what is left of the lease expiry wait of
	 * 10.3 s, of which 4 s are stored. */
	bp_qrig_run_ms(sim, 10500);
	CU_ASSERT_EQUAL(count_running(sim, id, 6), 6);
	finish_simulation(sim);
}

/* 4 s without faults and 3 s for which a long-running task may be down. */
#define DOWN_MAX_MS 7000

/*
 * Guards against a lease expiry wait that starts again with each owner: a zone
 * is lost, and two owners die in turn. The first owner knows when it sent its
 * last order to the unresponsive executor, and stores the wait since then.
 */
static void
test_waiting_outlasts_three_owners(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 6, 0, true);

	bp_qrig_run_ms(sim, 1000);
	bp_qfleet_set_cut(bp_qrig_fleet(sim), 0, true);
	bp_qrig_run_ms(sim, 3500);
	bp_qrig_kill(sim, (uint32_t)bp_qrig_owner(sim));
	bp_qrig_run_ms(sim, 5000);
	CU_ASSERT_TRUE_FATAL(bp_qrig_owner(sim) >= 0);
	bp_qrig_kill(sim, (uint32_t)bp_qrig_owner(sim));
	bp_qrig_run_ms(sim, DOWN_MAX_MS);
	CU_ASSERT_EQUAL(count_running(sim, id, 6), 6);
	finish_simulation(sim);
}

/*
 * Guards against waits that count from the takeover: executors are lost for
 * good and the owner is killed in the same moment. Its node, once it is back,
 * sends no orders any more, so only the last lease has to expire.
 */
static void
test_a_dead_owner_ends_the_grace(void)
{
	uint32_t back;

	for (back = 0; back < 2; back++) {
		bp_qrig_t *sim = start_simulation();
		const char *id = bp_qrig_submit(sim, 6, 0, true);
		uint32_t owner;
		uint32_t lost;

		bp_qrig_run_ms(sim, 5000);
		lost = bp_qfleet_running_on(bp_qrig_fleet(sim), 0, id);
		CU_ASSERT_TRUE(lost > 0);
		owner = (uint32_t)bp_qrig_owner(sim);
		bp_qfleet_set_cut(bp_qrig_fleet(sim), 0, true);
		bp_qrig_kill(sim, owner);
		bp_qrig_run_ms(sim, 1000);
		if (back == 1)
			bp_qrig_restart(sim, owner);
		/* 4 s of calm after the restart, 6 s after the last run, and 3
		 * s for which a task may be down. */
		bp_qrig_run_ms(sim, 10000);
		CU_ASSERT_EQUAL(
		    count_running(sim, id, 6), back == 1 ? 6 : 6 - lost);
		bp_qrig_run_ms(sim, 4000);
		CU_ASSERT_EQUAL(count_running(sim, id, 6), 6);
		finish_simulation(sim);
	}
}

/*
 * Guards against a proof by the previous owner alone: the one before it may
 * still grant leases, and the previous owner's record says so.
 */
static void
test_all_earlier_owners_must_have_stopped(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 6, 0, true);
	uint32_t first;
	uint32_t second;
	uint32_t lost;

	bp_qrig_run_ms(sim, 5000);
	lost = bp_qfleet_running_on(bp_qrig_fleet(sim), 0, id);
	CU_ASSERT_TRUE(lost > 0);
	first = (uint32_t)bp_qrig_owner(sim);
	bp_qfleet_set_cut(bp_qrig_fleet(sim), 0, true);
	bp_qrig_freeze(sim, first, true);
	bp_qrig_run_ms(sim, 3500);
	CU_ASSERT_TRUE_FATAL(bp_qrig_owner(sim) >= 0);
	second = (uint32_t)bp_qrig_owner(sim);
	bp_qrig_kill(sim, second);
	bp_qrig_run_ms(sim, 500);
	bp_qrig_restart(sim, second);
	bp_qrig_run_ms(sim, 7500);
	/* The second owner's node has stopped for more than a lease by now. */
	CU_ASSERT_EQUAL(count_running(sim, id, 6), 6 - lost);
	bp_qrig_run_ms(sim, 7000);
	CU_ASSERT_EQUAL(count_running(sim, id, 6), 6);
	finish_simulation(sim);
}

/* A poll waits 1.5 s for a run to end, and its caller 0.9 s more. */
#define POLL_LOST_MS 2450
#define STORE_DOWN_MS 4500

/*
 * Guards against runs that are lost because a single answer of their executor
 * was lost: the wait was stored at once, and no lease was granted until the
 * store confirmed its end.
 */
static void
test_one_lost_answer_costs_no_lease(void)
{
	bp_qrig_t *sim = start_simulation();
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	uint32_t starts;
	uint32_t i;

	(void)bp_qrig_submit(sim, 24, 0, true);
	bp_qrig_run_ms(sim, 5000);
	starts = bp_qfleet_starts(fleet);
	CU_ASSERT_EQUAL(starts, 24);
	for (i = 0; i < bp_qfleet_size(fleet); i++)
		bp_qfleet_lose_answers(fleet, i, 1);
	bp_qstore_set_lost(bp_qrig_store(sim), 100, false);
	bp_qrig_run_ms(sim, POLL_LOST_MS + STORE_DOWN_MS);
	bp_qstore_set_lost(bp_qrig_store(sim), 0, false);
	bp_qrig_run_ms(sim, 10000);
	CU_ASSERT_EQUAL(bp_qfleet_starts(fleet), starts);
	finish_simulation(sim);
}

/*
 * Guards against tasks that are started again because the list entry of their
 * executor expired or came late, while the executor itself is running.
 */
static void
test_an_expired_entry_moves_no_work(void)
{
	bp_qrig_t *sim = start_simulation();
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	const char *id = bp_qrig_submit(sim, 12, 0, true);
	uint32_t starts;
	uint32_t i;

	bp_qrig_run_ms(sim, 3000);
	starts = bp_qfleet_starts(fleet);
	for (i = 0; i < 4; i++)
		bp_qfleet_set_listed(fleet, i, false);
	bp_qrig_run_ms(sim, 12000);
	bp_qrig_kill(sim, (uint32_t)bp_qrig_owner(sim));
	bp_qrig_run_ms(sim, 12000);
	for (i = 0; i < 4; i++)
		bp_qfleet_set_listed(fleet, i, true);
	bp_qrig_run_ms(sim, 3000);
	CU_ASSERT_EQUAL(bp_qfleet_starts(fleet), starts);
	CU_ASSERT_EQUAL(count_running(sim, id, 12), 12);
	finish_simulation(sim);
}

/*
 * Guards against use of a removed executor when a start is answered late: its
 * runs had ended, and its entry had left the list.
 */
static void
test_an_executor_outlives_its_orders(void)
{
	bp_qrig_shape_t shape = {.reliable = true};
	bp_qrig_t *sim = start_simulation();
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	const char *id;
	uint32_t i;

	for (i = 0; i < bp_qfleet_size(fleet); i++)
		bp_qfleet_set_slow_ms(fleet, i, SLOW_ANSWER_MS);
	bp_qrig_set_shape(sim, &shape);
	id = bp_qrig_submit(sim, 12, 100, false);
	while (count_running(sim, id, 12) == 0)
		bp_qrig_run_ms(sim, 1);
	for (i = 0; i < bp_qfleet_size(fleet); i++)
		bp_qfleet_set_listed(fleet, i, false);
	bp_qrig_run_ms(sim, 2 * SLOW_ANSWER_MS);
	CU_ASSERT_EQUAL(bp_qrig_count(sim, "starts_in_flight"), 0);
	CU_ASSERT_EQUAL(bp_qrig_count(sim, "executors"), 0);
	for (i = 0; i < bp_qfleet_size(fleet); i++)
		bp_qfleet_set_listed(fleet, i, true);
	bp_qrig_run_ms(sim, 10000);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_COMPLETED);
	finish_simulation(sim);
}

/* A refused submission never runs; one of unknown outcome isn't refused. */
static void
test_store_down_refuses_at_once(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *first;
	const char *second;
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_store_mode(sim, i, BP_QSTORE_BUSY);
	first = bp_qrig_submit(sim, 2, 300, false);
	bp_qrig_run_ms(sim, 100);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, first), BP_QRIG_REFUSED);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_store_mode(sim, i, BP_QSTORE_SILENT);
	second = bp_qrig_submit(sim, 2, 300, false);
	bp_qrig_run_ms(sim, 600);
	CU_ASSERT_NOT_EQUAL(bp_qrig_told(sim, second), BP_QRIG_REFUSED);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_store_mode(sim, i, BP_QSTORE_UP);
	bp_qrig_run_ms(sim, 9000);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, first), BP_QRIG_REFUSED);
	finish_simulation(sim);
}

/* Executors whose record the store refused get work once it recovers. */
static void
test_refused_records_are_repeated(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 1, 0, true);
	char *task = g_strdup_printf("%s.0.0.0", id);
	uint32_t i;

	bp_qrig_run_ms(sim, 1000);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_kill(sim, i);
	/* New incarnations report no run ends, which would request an append.
	 */
	for (i = 0; i < bp_qfleet_size(bp_qrig_fleet(sim)); i++)
		bp_qfleet_crash(bp_qrig_fleet(sim), i);
	bp_qrig_run_ms(sim, 3000);
	bp_qrig_restart(sim, 0);
	for (i = 0; i < SETTLE_MS && bp_qrig_owner(sim) < 0; i++)
		bp_qrig_run_ms(sim, 1);
	bp_qrig_store_mode(sim, 0, BP_QSTORE_BUSY);
	bp_qrig_run_ms(sim, 300);
	bp_qrig_store_mode(sim, 0, BP_QSTORE_UP);
	bp_qrig_run_ms(sim, 4000);
	CU_ASSERT_EQUAL(bp_qfleet_running_of(bp_qrig_fleet(sim), task), 1);
	g_free(task);
	finish_simulation(sim);
}

/* Guards against lost or duplicate runs when answers to appends are lost. */
static void
test_lost_answers_of_the_store(void)
{
	bp_qrig_t *sim = start_simulation();
	uint32_t i;

	for (i = 0; i < 2; i++) {
		uint32_t k;

		bp_qstore_set_lost(bp_qrig_store(sim), 35, i == 1);
		for (k = 0; k < 10; k++) {
			(void)bp_qrig_submit(sim, 3, 400, false);
			bp_qrig_run_ms(sim, 300);
		}
		bp_qrig_run_ms(sim, 8000);
	}
	bp_qstore_set_lost(bp_qrig_store(sim), 0, false);
	bp_qrig_run_ms(sim, 20000);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(sim, false), 0);
	finish_simulation(sim);
}

/* Guards against duplicate runs by unconfirmed starts that take effect seconds
 * later. */
static void
test_late_orders_do_not_double(void)
{
	bp_qrig_t *sim = start_simulation();
	uint32_t k;

	bp_qfleet_set_late(bp_qrig_fleet(sim), 20);
	for (k = 0; k < 12; k++) {
		(void)bp_qrig_submit(sim, 3, 700, false);
		bp_qrig_run_ms(sim, 400);
	}
	bp_qrig_run_ms(sim, 6000);
	bp_qfleet_set_late(bp_qrig_fleet(sim), 0);
	bp_qrig_run_ms(sim, 25000);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(sim, false), 0);
	finish_simulation(sim);
}

/*
 * Guards against duplicate runs if orders are delayed while polls are answered
 * and extend leases: a start takes effect although its own deadline has passed.
 */
static void
test_a_held_start_outlasts_its_deadline(void)
{
	bp_qrig_t *sim = start_simulation();
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	const char *id;

	/* Long-running tasks keep the leases of all executors renewed. */
	(void)bp_qrig_submit(sim, 6, 0, true);
	bp_qrig_run_ms(sim, 2000);
	bp_qfleet_set_hold_orders(fleet, true);
	id = bp_qrig_submit(sim, 4, 8000, false);
	bp_qrig_run_ms(sim, 6000);
	bp_qfleet_set_hold_orders(fleet, false);
	bp_qrig_run_ms(sim, 40000);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_COMPLETED);
	finish_simulation(sim);
}

/* Partitions are reassigned and come back while records are pending. */
static void
test_a_shard_dealt_away_and_back(void)
{
	bp_qrig_t *sim = start_simulation();
	uint32_t k;

	for (k = 0; k < 20; k++) {
		(void)bp_qrig_submit(sim, 2, 600, false);
		bp_qstore_rebalance(bp_qrig_store(sim));
		bp_qrig_run_ms(sim, 250 + 37 * k);
	}
	bp_qrig_run_ms(sim, 25000);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(sim, false), 0);
	finish_simulation(sim);
}

/* Guards against an executor that uses up the attempts of many tasks by failing
 * every run. */
static void
test_a_failing_executor_is_held(void)
{
	bp_qrig_t *sim = start_simulation();
	uint32_t k;
	uint32_t completed = 0;
	const char *ids[8];

	bp_qfleet_set_failing(bp_qrig_fleet(sim), 0, true);
	for (k = 0; k < G_N_ELEMENTS(ids); k++) {
		ids[k] = bp_qrig_submit(sim, 2, 400, false);
		bp_qrig_run_ms(sim, 500);
	}
	bp_qrig_run_ms(sim, 15000);
	for (k = 0; k < G_N_ELEMENTS(ids); k++) {
		Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;

		(void)bp_qrig_status(sim, ids[k], &state);
		completed += state == BP__WORK__JOB_STATE__JOB_COMPLETED;
	}
	CU_ASSERT_TRUE(completed >= G_N_ELEMENTS(ids) - 1);
	finish_simulation(sim);
}

/* Nothing starts in a zone out of service, and "why" gives that reason. */
static void
test_a_zone_out_gets_nothing(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id;
	char *why;

	bp_qrig_set_zone(sim, "za", true);
	bp_qrig_set_zone(sim, "zb", true);
	id = bp_qrig_submit(sim, 2, 300, false);
	bp_qrig_run_ms(sim, 3000);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), 0);
	why = bp_qrig_why(sim, id);
	CU_ASSERT_PTR_NOT_NULL(why);
	CU_ASSERT_TRUE(why != NULL && strstr(why, "\"zone_out\"") != NULL);
	g_free(why);
	bp_qrig_set_zone(sim, "za", false);
	bp_qrig_run_ms(sim, 4000);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_COMPLETED);
	finish_simulation(sim);
}

/* Duration of each call to a slow store. */
#define SLOW_STORE_MS 800

/* Submits a job and returns when its starts are planned but not stored. */
static const char *
submit_planned(bp_qrig_t *sim)
{
	const char *id;

	bp_qstore_set_delay_ms(bp_qrig_store(sim), SLOW_STORE_MS);
	bp_qrig_run_ms(sim, 1000);
	id = bp_qrig_submit(sim, 4, 500, false);
	while (bp_qrig_count(sim, "starts_in_flight") == 0)
		bp_qrig_run_ms(sim, 1);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), 0);
	return id;
}

/* Guards against planned starts that are sent when the store answers, although
 * their zone was taken out of service in between. */
static void
test_a_zone_out_drops_what_is_planned(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = submit_planned(sim);

	bp_qrig_set_zone(sim, "za", true);
	bp_qrig_set_zone(sim, "zb", true);
	bp_qrig_run_ms(sim, 4000);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), 0);
	bp_qstore_set_delay_ms(bp_qrig_store(sim), 4);
	bp_qrig_set_zone(sim, "za", false);
	bp_qrig_run_ms(sim, 8000);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_COMPLETED);
	finish_simulation(sim);
}

/* The same for an executor that starts draining in between. */
static void
test_a_leaving_executor_drops_what_is_planned(void)
{
	bp_qrig_t *sim = start_simulation();
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	const char *id = submit_planned(sim);
	uint32_t i;

	for (i = 0; i < bp_qfleet_size(fleet); i++)
		bp_qfleet_set_draining(fleet, i, true);
	bp_qrig_run_ms(sim, 4000);
	CU_ASSERT_EQUAL(bp_qfleet_starts(fleet), 0);
	bp_qstore_set_delay_ms(bp_qrig_store(sim), 4);
	for (i = 0; i < bp_qfleet_size(fleet); i++)
		bp_qfleet_set_draining(fleet, i, false);
	bp_qrig_run_ms(sim, 8000);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_COMPLETED);
	finish_simulation(sim);
}

static uint32_t
running(bp_qrig_t *sim, const char *job)
{
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < bp_qfleet_size(fleet); i++)
		sum += bp_qfleet_running_on(fleet, i, job);
	return sum;
}

/* A draining executor gets no work, and its long-running tasks move. */
static void
test_a_draining_executor_empties(void)
{
	bp_qrig_t *sim = start_simulation();
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	const char *lasting;
	const char *later;
	uint32_t on = 0;

	lasting = bp_qrig_submit(sim, 6, 0, true);
	bp_qrig_run_ms(sim, 1000);
	while (bp_qfleet_running_on(fleet, on, lasting) == 0)
		on++;
	bp_qfleet_set_draining(fleet, on, true);
	bp_qrig_run_ms(sim, 4000);
	CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, on, lasting), 0);
	CU_ASSERT_EQUAL(running(sim, lasting), 6);
	later = bp_qrig_submit(sim, 12, 0, true);
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, on, later), 0);
	CU_ASSERT_EQUAL(running(sim, later), 12);
	finish_simulation(sim);
}

/* Guards against placements that violate a step's label or spread limit. */
static void
test_label_and_spread_bind(void)
{
	const bp_qrig_shape_t spread = {.spread_max = 1};
	const bp_qrig_shape_t label = {.label = "first"};
	bp_qrig_t *sim = start_simulation();
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	const char *id;
	char *why;
	uint32_t i;

	bp_qrig_set_shape(sim, &label);
	id = bp_qrig_submit(sim, 3, 0, true);
	bp_qrig_run_ms(sim, 1000);
	CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, 0, id), 3);
	bp_qrig_set_shape(sim, &spread);
	id = bp_qrig_submit(sim, 8, 0, true);
	bp_qrig_run_ms(sim, 1000);
	for (i = 0; i < bp_qfleet_size(fleet); i++)
		CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, i, id), 1);
	why = bp_qrig_why(sim, id);
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "spread"));
	g_free(why);
	finish_simulation(sim);
}

/*
 * Guards against starts by the entry of an earlier life: an executor that
 * restarts may be of another kind, which the list shows later than its answers.
 */
static void
test_a_new_life_gets_nothing_by_an_old_entry(void)
{
	const bp_qrig_shape_t label = {.label = "first"};
	int64_t delay_ms;

	for (delay_ms = 0; delay_ms < 400; delay_ms += 40) {
		bp_qrig_t *sim = start_simulation();
		bp_qfleet_t *fleet = bp_qrig_fleet(sim);
		uint32_t starts;
		const char *id;

		bp_qrig_set_shape(sim, &label);
		id = bp_qrig_submit(sim, 3, 0, true);
		bp_qrig_run_ms(sim, 1000 + delay_ms);
		CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, 0, id), 3);
		starts = bp_qfleet_starts(fleet);
		bp_qfleet_set_kind(fleet, 0, "other");
		bp_qfleet_crash(fleet, 0);
		bp_qrig_run_ms(sim, 4000);
		CU_ASSERT_EQUAL(bp_qfleet_starts(fleet), starts);
		bp_qfleet_set_kind(fleet, 0, "first");
		bp_qfleet_crash(fleet, 0);
		bp_qrig_run_ms(sim, 4000);
		CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, 0, id), 3);
		finish_simulation(sim);
	}
}

/*
 * An executor restarts as another kind between the choice of a place and the
 * end of the slow append that precedes the start. Guards against starting what
 * was planned for the earlier incarnation.
 */
static void
test_a_plan_ends_with_its_incarnation(void)
{
	const bp_qrig_shape_t label = {.label = "first"};
	int64_t delay_ms;

	for (delay_ms = 0; delay_ms < 700; delay_ms += 50) {
		bp_qrig_t *sim = start_simulation();
		bp_qfleet_t *fleet = bp_qrig_fleet(sim);
		const char *id;

		bp_qrig_set_shape(sim, &label);
		bp_qstore_set_delay_ms(bp_qrig_store(sim), 400);
		id = bp_qrig_submit(sim, 3, 0, true);
		bp_qrig_run_ms(sim, delay_ms);
		bp_qstore_set_delay_ms(bp_qrig_store(sim), 1600);
		bp_qfleet_set_kind(fleet, 0, "other");
		bp_qfleet_crash(fleet, 0);
		bp_qrig_run_ms(sim, 4000);
		CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, 0, id), 0);
		bp_qstore_set_delay_ms(bp_qrig_store(sim), 4);
		bp_qfleet_set_kind(fleet, 0, "first");
		bp_qfleet_crash(fleet, 0);
		bp_qrig_run_ms(sim, 8000);
		CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, 0, id), 3);
		finish_simulation(sim);
	}
}

/* A gang starts only as a whole, with the accelerators of all its members. */
static void
test_a_gang_gets_its_accelerators(void)
{
	const bp_qrig_shape_t gang = {.gang = true, .accelerators = 1};
	bp_qrig_t *sim = start_simulation();
	bp_qfleet_t *fleet = bp_qrig_fleet(sim);
	const char *fits;
	const char *large;
	uint32_t i;

	bp_qrig_set_shape(sim, &gang);
	large = bp_qrig_submit(sim, 13, 0, true);
	fits = bp_qrig_submit(sim, 12, 0, true);
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_EQUAL(running(sim, large), 0);
	for (i = 0; i < bp_qfleet_size(fleet); i++)
		CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, i, fits), 2);
	finish_simulation(sim);
}

/*
 * A cancel that cannot be stored is refused at once, without any effect, so
 * that the caller can retry. Delayed until the deadline, the caller would have
 * no attempt left.
 */
static void
test_store_down_refuses_cancels(void)
{
	bp_qrig_t *sim = start_simulation();
	const char *id = bp_qrig_submit(sim, 2, 0, true);
	const char *other;
	uint32_t node;

	bp_qrig_run_ms(sim, 1000);
	for (node = 0; node < BP_QRIG_NODES; node++)
		bp_qrig_store_mode(sim, node, BP_QSTORE_SILENT);
	other = bp_qrig_submit(sim, 1, 200, false);
	bp_qrig_run_ms(sim, 1200);
	bp_qrig_cancel(sim, id);
	bp_qrig_run_ms(sim, 50);
	CU_ASSERT_EQUAL(bp_qrig_cancel_told(sim, id), BP_QRIG_REFUSED);
	for (node = 0; node < BP_QRIG_NODES; node++)
		bp_qrig_store_mode(sim, node, BP_QSTORE_UP);
	bp_qrig_run_ms(sim, 6000);
	expect_state(sim, id, BP__WORK__JOB_STATE__JOB_RUNNING);
	bp_qrig_cancel(sim, id);
	bp_qrig_run_ms(sim, 1000);
	CU_ASSERT_EQUAL(bp_qrig_cancel_told(sim, id), BP_QRIG_ACCEPTED);
	CU_ASSERT_NOT_EQUAL(bp_qrig_told(sim, other), BP_QRIG_REFUSED);
	finish_simulation(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a job completes", test_a_job_completes},
	    {"the same ID is one job", test_the_same_id_is_one_job},
	    {"a cancel stops what runs", test_a_cancel_stops_what_runs},
	    {"a successor adopts what runs", test_a_successor_adopts_what_runs},
	    {"all nodes die and return", test_all_nodes_die_and_return},
	    {"a cut executor is waited out", test_a_cut_executor_is_waited_out},
	    {"waiting goes on over owners", test_waiting_goes_on_over_owners},
	    {"a successor counts the silence before",
		test_a_successor_counts_the_silence_before},
	    {"waiting outlasts three owners",
		test_waiting_outlasts_three_owners},
	    {"a successor prolongs leases at once",
		test_a_successor_prolongs_leases_at_once},
	    {"a cancelled job stays known", test_a_cancelled_job_stays_known},
	    {"a replaced owner denies nothing",
		test_a_replaced_owner_denies_nothing},
	    {"an idle owner denies what is unknown",
		test_an_idle_owner_denies_what_is_unknown},
	    {"a contested takeover lists once",
		test_a_contested_takeover_lists_once},
	    {"ended jobs are stored small", test_ended_jobs_are_stored_small},
	    {"an expired entry moves no work",
		test_an_expired_entry_moves_no_work},
	    {"an executor outlives its orders",
		test_an_executor_outlives_its_orders},
	    {"one lost answer costs no lease",
		test_one_lost_answer_costs_no_lease},
	    {"store down refuses at once", test_store_down_refuses_at_once},
	    {"refused records are repeated", test_refused_records_are_repeated},
	    {"lost answers of the store", test_lost_answers_of_the_store},
	    {"late orders do not double", test_late_orders_do_not_double},
	    {"a held start outlasts its deadline",
		test_a_held_start_outlasts_its_deadline},
	    {"a shard dealt away and back", test_a_shard_dealt_away_and_back},
	    {"a failing executor is held", test_a_failing_executor_is_held},
	    {"a zone out gets nothing", test_a_zone_out_gets_nothing},
	    {"a zone out drops what is planned",
		test_a_zone_out_drops_what_is_planned},
	    {"a leaving executor drops what is planned",
		test_a_leaving_executor_drops_what_is_planned},
	    {"a draining executor empties", test_a_draining_executor_empties},
	    {"label and spread bind", test_label_and_spread_bind},
	    {"a new life gets nothing by an old entry",
		test_a_new_life_gets_nothing_by_an_old_entry},
	    {"a plan ends with its incarnation",
		test_a_plan_ends_with_its_incarnation},
	    {"a gang gets its accelerators", test_a_gang_gets_its_accelerators},
	    {"a cancel during the end is answered",
		test_a_cancel_during_the_end_is_answered},
	    {"a dead owner ends the grace", test_a_dead_owner_ends_the_grace},
	    {"all earlier owners must have stopped",
		test_all_earlier_owners_must_have_stopped},
	    {"a cancel overtakes its submission",
		test_a_cancel_overtakes_its_submission},
	    {"store down refuses cancels", test_store_down_refuses_cancels},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/shard", tests);
}
