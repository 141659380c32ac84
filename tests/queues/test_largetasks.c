#include "support/queuerig.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>

#define SEED 20261206
#define SETTLE_MS 3000
#define EXECUTORS 32
#define EXECUTOR_MILLI 16000
#define PERCENT 100
/* The replayed load: arrivals for a time, then a time to finish. */
#define ARRIVALS_MS 24000
#define WARM_MS 4000
#define STEP_MS 50
/* Tasks of the replayed jobs. */
#define URGENT_TASKS 10
#define BATCH_TASKS 16
#define LARGE_TASKS 2
/* Average time between jobs. At full load they ask for about as much as the
 * processors can do. */
#define URGENT_EVERY_MS 100
#define BATCH_EVERY_MS 120
#define LARGE_EVERY_MS 330
/* Loads in percent of these arrivals. */
#define FULL_LOAD 100
#define OVERLOAD 120
#define SEEDS 4
/* Bounds: the use of room with planning, in percent of that without; a change
 * of the mean wait of urgent tasks that does not count as a delay. */
#define USE_MIN_PERCENT 98
#define URGENT_SLACK_MS 25
/* Wait with which most jobs still meet their objective. */
#define IN_TIME_MS 1500
/* The digest of the replay before large tasks were planned. A change of
 * placement that is wanted without planning changes it. */
#define DIGEST_BEFORE 8278506275219910643U

typedef struct {
	GArray *urgent; /* int64_t, waits in ms */
	GArray *small;
	GArray *large;
	uint64_t cpu_ms; /* in use, in thousandths of a processor */
	uint64_t total_ms;
	uint64_t digest;
	uint64_t made;
	uint64_t kept;
	uint64_t missed;
	uint64_t dropped;
	uint64_t open;
	uint64_t admitted;
	uint64_t moved;
	uint64_t plans;
} outcome_t;

/* A submitted job. */
typedef struct {
	const char *id;
	uint32_t tasks;
	GArray *waits; /* of outcome_t that its waits belong to */
} job_t;

static double
mean(const GArray *waits)
{
	double sum = 0;
	guint i;

	for (i = 0; i < waits->len; i++)
		sum += (double)g_array_index(waits, int64_t, i);
	return waits->len > 0 ? sum / waits->len : 0;
}

static double
share_within(const GArray *waits, int64_t bound_ms)
{
	double within = 0;
	guint i;

	for (i = 0; i < waits->len; i++)
		within += g_array_index(waits, int64_t, i) <= bound_ms;
	return waits->len > 0 ? within / waits->len : 0;
}

static double
room_used(const outcome_t *outcome)
{
	return (double)outcome->cpu_ms / (double)MAX(outcome->total_ms, 1);
}

static void
open_outcome(outcome_t *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	outcome->urgent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	outcome->small = g_array_new(FALSE, FALSE, sizeof(int64_t));
	outcome->large = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

static uint32_t
between(bp_random_t *random, uint32_t low, uint32_t high)
{
	return low + bp_random_below(random, high - low + 1);
}

/* Declared durations are from half to twice the true ones. */
static uint32_t
declare(bp_random_t *random, uint32_t task_ms)
{
	return task_ms * between(random, 50, 200) / PERCENT;
}

static void
submit(bp_qrig_t *rig, GArray *jobs, GArray *waits, uint32_t tasks,
    uint32_t task_ms, const bp_qrig_shape_t *shape)
{
	job_t job = {NULL, tasks, waits};

	bp_qrig_set_shape(rig, shape);
	job.id = bp_qrig_submit(rig, tasks, task_ms, false);
	g_array_append_val(jobs, job);
}

static void
submit_urgent(bp_qrig_t *rig, bp_random_t *random, GArray *jobs, GArray *waits)
{
	uint32_t task_ms = between(random, 700, 1000);
	bp_qrig_shape_t shape = {.reliable = true,
	    .single = true,
	    .cpu_milli = between(random, 1300, 2650),
	    .declared_ms = declare(random, task_ms)};

	submit(rig, jobs, waits, URGENT_TASKS, task_ms, &shape);
}

static void
submit_batch(bp_qrig_t *rig, bp_random_t *random, GArray *jobs, GArray *waits,
    uint32_t tasks, uint32_t cpu_milli)
{
	uint32_t task_ms = between(random, 1400, 2200);
	bp_qrig_shape_t shape = {.reliable = true,
	    .single = true,
	    .priority = 1,
	    .cpu_milli = cpu_milli,
	    .declared_ms = declare(random, task_ms)};

	submit(rig, jobs, waits, tasks, task_ms, &shape);
}

static uint64_t
used_milli(bp_qrig_t *rig)
{
	uint64_t used = 0;
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++)
		used += EXECUTOR_MILLI -
		    bp_qfleet_free_milli(bp_qrig_fleet(rig), i);
	return used;
}

static void
collect_waits(const bp_qrig_t *rig, const GArray *jobs)
{
	guint i;
	uint32_t k;

	for (i = 0; i < jobs->len; i++) {
		const job_t *job = &g_array_index(jobs, job_t, i);

		for (k = 0; k < job->tasks; k++) {
			int64_t wait_ms = bp_qrig_wait_ms(rig, job->id, k);

			/* What never started has waited longest. */
			if (wait_ms < 0)
				wait_ms = ARRIVALS_MS;
			g_array_append_val(job->waits, wait_ms);
		}
	}
}

static void
read_counts(bp_qrig_t *rig, outcome_t *outcome)
{
	outcome->made = bp_qrig_count(rig, "large_reservations_made");
	outcome->kept = bp_qrig_count(rig, "large_reservations_kept");
	outcome->missed = bp_qrig_count(rig, "large_reservations_missed");
	outcome->dropped = bp_qrig_count(rig, "large_reservations_dropped");
	outcome->open = bp_qrig_count(rig, "large_reserved");
	outcome->admitted = bp_qrig_count(rig, "large_gap_admissions");
	outcome->moved = bp_qrig_count(rig, "large_tasks_moved");
	outcome->plans = bp_qrig_count(rig, "large_plans");
	outcome->digest = bp_qrig_starts_digest(rig);
}

/* Replays the same arrivals with planning on or off. */
static void
replay(uint64_t seed, bool planning, uint32_t load_percent, outcome_t *outcome)
{
	bp_qrig_t *rig = planning ? bp_qrig_new_planning(seed, EXECUTORS)
				  : bp_qrig_new(seed, EXECUTORS);
	GArray *jobs = g_array_new(FALSE, FALSE, sizeof(job_t));
	bp_random_t random;
	int64_t at_ms;

	open_outcome(outcome);
	bp_random_init(&random, seed);
	bp_qrig_run_ms(rig, SETTLE_MS);
	for (at_ms = 0; at_ms < ARRIVALS_MS; at_ms += STEP_MS) {
		uint32_t chance = STEP_MS * load_percent;

		if (bp_random_below(&random, URGENT_EVERY_MS * PERCENT) <
		    chance)
			submit_urgent(rig, &random, jobs, outcome->urgent);
		if (bp_random_below(&random, BATCH_EVERY_MS * PERCENT) < chance)
			submit_batch(rig, &random, jobs, outcome->small,
			    BATCH_TASKS, between(&random, 900, 1750));
		if (bp_random_below(&random, LARGE_EVERY_MS * PERCENT) < chance)
			submit_batch(rig, &random, jobs, outcome->large,
			    LARGE_TASKS, between(&random, 5000, 15500));
		bp_qrig_run_ms(rig, STEP_MS);
		if (at_ms >= WARM_MS) {
			outcome->cpu_ms += used_milli(rig) * STEP_MS;
			outcome->total_ms +=
			    (uint64_t)EXECUTORS * EXECUTOR_MILLI * STEP_MS;
		}
	}
	collect_waits(rig, jobs);
	read_counts(rig, outcome);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	if (bp_qrig_broken(rig) > 0)
		printf("%s\n", bp_qrig_first_broken(rig));
	g_array_unref(jobs);
	bp_qrig_free(rig);
}

static void
clear_outcome(outcome_t *outcome)
{
	g_array_unref(outcome->urgent);
	g_array_unref(outcome->small);
	g_array_unref(outcome->large);
}

static void
print_outcome(const char *name, const outcome_t *outcome)
{
	printf("%s: room used %.4f; mean wait urgent %.0f ms, small %.0f ms, "
	       "largest tenth %.0f ms; in time %.3f, %.3f, %.3f; made %u "
	       "kept %u missed %u dropped %u admitted %u moved %u plans %u\n",
	    name, room_used(outcome), mean(outcome->urgent),
	    mean(outcome->small), mean(outcome->large),
	    share_within(outcome->urgent, IN_TIME_MS),
	    share_within(outcome->small, IN_TIME_MS),
	    share_within(outcome->large, IN_TIME_MS), (unsigned)outcome->made,
	    (unsigned)outcome->kept, (unsigned)outcome->missed,
	    (unsigned)outcome->dropped, (unsigned)outcome->admitted,
	    (unsigned)outcome->moved, (unsigned)outcome->plans);
}

/* Guards against placement that changes although planning is off. */
static void
test_off_is_as_before(void)
{
	outcome_t off;

	replay(SEED, false, FULL_LOAD, &off);
	CU_ASSERT_EQUAL(off.digest, DIGEST_BEFORE);
	if (off.digest != DIGEST_BEFORE)
		printf("digest %" G_GUINT64_FORMAT "\n", off.digest);
	CU_ASSERT_EQUAL(off.made + off.admitted + off.plans, 0);
	clear_outcome(&off);
}

/* Adds the waits and the use of room of one outcome to those of several. */
static void
add_outcome(outcome_t *sum, const outcome_t *one)
{
	g_array_append_vals(sum->urgent, one->urgent->data, one->urgent->len);
	g_array_append_vals(sum->small, one->small->data, one->small->len);
	g_array_append_vals(sum->large, one->large->data, one->large->len);
	sum->cpu_ms += one->cpu_ms;
	sum->total_ms += one->total_ms;
	sum->made += one->made;
	sum->kept += one->kept;
	sum->missed += one->missed;
	sum->dropped += one->dropped;
	sum->open += one->open;
	sum->admitted += one->admitted;
	sum->moved += one->moved;
	sum->plans += one->plans;
}

static void
replay_seeds(bool planning, uint32_t load_percent, outcome_t *sum)
{
	uint32_t i;

	open_outcome(sum);
	for (i = 0; i < SEEDS; i++) {
		outcome_t one;

		replay(SEED + i, planning, load_percent, &one);
		add_outcome(sum, &one);
		clear_outcome(&one);
	}
}

static void
compare_loads(uint32_t load_percent)
{
	outcome_t off;
	outcome_t on;

	replay_seeds(false, load_percent, &off);
	replay_seeds(true, load_percent, &on);
	printf("load %u%%\n", load_percent);
	print_outcome("off", &off);
	print_outcome("on", &on);
	CU_ASSERT_TRUE(mean(on.large) < mean(off.large));
	CU_ASSERT_TRUE(
	    room_used(&on) * PERCENT >= room_used(&off) * USE_MIN_PERCENT);
	CU_ASSERT_TRUE(mean(on.urgent) <= mean(off.urgent) + URGENT_SLACK_MS);
	CU_ASSERT_TRUE(share_within(on.urgent, IN_TIME_MS) >=
	    share_within(off.urgent, IN_TIME_MS) - 0.005);
	CU_ASSERT_TRUE(on.kept > 0);
	CU_ASSERT_EQUAL(on.made, on.kept + on.missed + on.dropped + on.open);
	clear_outcome(&off);
	clear_outcome(&on);
}

/* Guards against large tasks that wait no less with planning, against capacity
 * that stands empty for them, and against urgent tasks that wait for them. */
static void
test_the_largest_tenth_waits_less(void)
{
	compare_loads(FULL_LOAD);
	compare_loads(OVERLOAD);
}

static bp_qrig_t *
start_rig(bool planning, uint32_t executors)
{
	bp_qrig_t *rig = planning ? bp_qrig_new_planning(SEED, executors)
				  : bp_qrig_new(SEED, executors);

	bp_qrig_run_ms(rig, SETTLE_MS);
	CU_ASSERT_TRUE(bp_qrig_owner(rig) >= 0);
	return rig;
}

static void
finish_rig(bp_qrig_t *rig)
{
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	if (bp_qrig_broken(rig) > 0)
		printf("%s\n", bp_qrig_first_broken(rig));
	bp_qrig_free(rig);
}

/* Submits a job of one task. label NULL for none. */
static const char *
submit_one(bp_qrig_t *rig, uint32_t cpu_milli, int64_t task_ms,
    uint32_t priority, const char *label)
{
	bp_qrig_shape_t shape = {.reliable = true,
	    .single = true,
	    .cpu_milli = cpu_milli,
	    .priority = priority,
	    .label = label};

	bp_qrig_set_shape(rig, &shape);
	return bp_qrig_submit(rig, 1, task_ms, false);
}

/*
 * Fills most of the only executor for a while and lets a large urgent task wait
 * for it. Returns the large task's job.
 */
static const char *
wait_for_the_only_executor(bp_qrig_t *rig, uint32_t priority)
{
	const char *large;

	(void)submit_one(rig, 6000, 1500, 0, NULL);
	bp_qrig_run_ms(rig, 300);
	large = submit_one(rig, 12000, 8000, priority, NULL);
	bp_qrig_run_ms(rig, 600);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reserved"), 1);
	return large;
}

static bool
mentions(const char *why, const char *text)
{
	return why != NULL && strstr(why, text) != NULL;
}

/* Guards against a wait of a large task that nobody can explain. */
static void
test_why_names_the_reservation(void)
{
	bp_qrig_t *rig = start_rig(true, 1);
	const char *large = wait_for_the_only_executor(rig, 0);
	char *why = bp_qrig_why(rig, large);

	CU_ASSERT_TRUE(mentions(why, "\"reserved_for_large\""));
	CU_ASSERT_TRUE(mentions(why, "\"expected_ms\""));
	CU_ASSERT_TRUE(mentions(why, "\"reserved_executor\""));
	g_free(why);
	bp_qrig_run_ms(rig, 3000);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, large, 0) >= 0);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reservations_kept"), 1);
	finish_rig(rig);
}

/* Guards against small tasks that start beside a reservation and run past its
 * time, and against short ones that wait although they end before it. */
static void
test_small_tasks_beside_a_reservation(void)
{
	bp_qrig_t *rig = start_rig(true, 1);
	const char *large = wait_for_the_only_executor(rig, 0);
	const char *slow = submit_one(rig, 5000, 4000, 0, NULL);
	const char *quick;
	const char *beside;
	char *why;

	bp_qrig_run_ms(rig, 100);
	why = bp_qrig_why(rig, slow);
	CU_ASSERT_TRUE(mentions(why, "\"reserved_for_large\""));
	CU_ASSERT_FALSE(mentions(why, "\"expected_ms\""));
	g_free(why);
	quick = submit_one(rig, 5000, 200, 0, NULL);
	beside = submit_one(rig, 3000, 4000, 0, NULL);
	bp_qrig_run_ms(rig, 150);
	CU_ASSERT_EQUAL(bp_qrig_wait_ms(rig, slow, 0), -1);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, quick, 0) >= 0);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, beside, 0) >= 0);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_gap_admissions"), 2);
	bp_qrig_run_ms(rig, 2000);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, large, 0) >= 0);
	CU_ASSERT_EQUAL(bp_qrig_wait_ms(rig, slow, 0), -1);
	finish_rig(rig);
}

/* Guards against an urgent small task that waits for a reservation for batch
 * work. */
static void
test_urgent_work_ignores_batch_reservations(void)
{
	bp_qrig_t *rig = start_rig(true, 1);
	const char *large = wait_for_the_only_executor(rig, 1);
	const char *batch = submit_one(rig, 6000, 4000, 1, NULL);
	const char *urgent = submit_one(rig, 6000, 4000, 0, NULL);

	bp_qrig_run_ms(rig, 150);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, urgent, 0) >= 0);
	CU_ASSERT_EQUAL(bp_qrig_wait_ms(rig, batch, 0), -1);
	CU_ASSERT_EQUAL(bp_qrig_wait_ms(rig, large, 0), -1);
	/* The reservation cannot be kept; it must not be held for good. */
	bp_qrig_run_ms(rig, 12000);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, large, 0) >= 0);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, batch, 0) >= 0);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reserved"), 0);
	finish_rig(rig);
}

/* Guards against a reservation of an executor that has left: the task gets
 * another one. */
static void
test_a_lost_executor(void)
{
	bp_qrig_t *rig = start_rig(true, 2);
	bp_qfleet_t *fleet = bp_qrig_fleet(rig);
	const char *large;

	(void)submit_one(rig, 6000, 1500, 0, "first");
	(void)submit_one(rig, 6000, 3000, 0, "other");
	bp_qrig_run_ms(rig, 300);
	large = submit_one(rig, 12000, 8000, 0, NULL);
	bp_qrig_run_ms(rig, 600);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reserved"), 1);
	bp_qfleet_set_draining(fleet, 0, true);
	bp_qrig_run_ms(rig, 1000);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reserved"), 1);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reservations_made"), 2);
	bp_qrig_run_ms(rig, 4000);
	CU_ASSERT_EQUAL(bp_qfleet_running_on(fleet, 0, large), 0);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, large, 0) >= 0);
	finish_rig(rig);
}

/* Guards against reservations that outlive their job. */
static void
test_a_cancelled_job_gives_its_place_up(void)
{
	bp_qrig_t *rig = start_rig(true, 1);
	const char *large = wait_for_the_only_executor(rig, 0);

	bp_qrig_cancel(rig, large);
	bp_qrig_run_ms(rig, 500);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reserved"), 0);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reservations_dropped"), 1);
	finish_rig(rig);
}

/* Reservations are in memory only: a new owner makes its own. Guards against a
 * large task that is forgotten after a takeover. */
static void
test_a_new_owner_plans_anew(void)
{
	bp_qrig_t *rig = start_rig(true, 1);
	bp_qrig_shape_t shape = {.reliable = true,
	    .single = true,
	    .cpu_milli = 6000,
	    .declared_ms = 2000};
	const char *large;

	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, 1, 20000, false);
	bp_qrig_run_ms(rig, 300);
	large = submit_one(rig, 12000, 60000, 0, NULL);
	bp_qrig_run_ms(rig, 600);
	bp_qrig_kill(rig, (uint32_t)bp_qrig_owner(rig));
	bp_qrig_run_ms(rig, 12000);
	CU_ASSERT_TRUE(bp_qrig_owner(rig) >= 0);
	CU_ASSERT_EQUAL(bp_qrig_wait_ms(rig, large, 0), -1);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reserved"), 1);
	/* The run outlasts its estimate: reservations are missed and remade. */
	CU_ASSERT_TRUE(bp_qrig_count(rig, "large_reservations_missed") > 0);
	bp_qrig_run_ms(rig, 15000);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, large, 0) >= 0);
	finish_rig(rig);
}

/*
 * Guards against plans by declared durations that are far off: tasks that
 * declare ten times their duration are admitted beside a reservation once that
 * has been learned.
 */
static bool
starts_beside(uint32_t learned_from)
{
	bp_qrig_t *rig = start_rig(true, 1);
	bp_qrig_shape_t shape = {.reliable = true,
	    .single = true,
	    .cpu_milli = 5000,
	    .declared_ms = 4000};
	const char *quick;
	bool started;

	bp_qrig_set_shape(rig, &shape);
	if (learned_from > 0)
		(void)bp_qrig_submit(rig, learned_from, 400, false);
	bp_qrig_run_ms(rig, 5000);
	shape.cpu_milli = 6000;
	shape.declared_ms = learned_from > 0 ? 20000 : 2500;
	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, 1, 2000, false);
	bp_qrig_run_ms(rig, 300);
	shape.cpu_milli = 12000;
	shape.declared_ms = 20000;
	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, 1, 2000, false);
	bp_qrig_run_ms(rig, 600);
	shape.cpu_milli = 5000;
	shape.declared_ms = 4000;
	bp_qrig_set_shape(rig, &shape);
	quick = bp_qrig_submit(rig, 1, 400, false);
	bp_qrig_run_ms(rig, 200);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reserved"), 1);
	started = bp_qrig_wait_ms(rig, quick, 0) >= 0;
	finish_rig(rig);
	return started;
}

static void
test_durations_are_learned(void)
{
	CU_ASSERT_FALSE(starts_beside(0));
	CU_ASSERT_TRUE(starts_beside(20));
}

/* Guards against reservations by processors only: memory is what is missing. */
static void
test_memory_bound_tasks_get_a_place(void)
{
	bp_qrig_t *rig = start_rig(true, 1);
	bp_qrig_shape_t shape = {.reliable = true,
	    .single = true,
	    .cpu_milli = 1000,
	    .memory_mib = 40000};
	const char *large;
	const char *small;

	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, 1, 1500, false);
	bp_qrig_run_ms(rig, 300);
	shape.memory_mib = 50000;
	bp_qrig_set_shape(rig, &shape);
	large = bp_qrig_submit(rig, 1, 8000, false);
	bp_qrig_run_ms(rig, 600);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "large_reserved"), 1);
	/* Its processors do not matter, its memory would keep the large task
	 * out. */
	shape.memory_mib = 15500;
	bp_qrig_set_shape(rig, &shape);
	small = bp_qrig_submit(rig, 1, 20000, false);
	bp_qrig_run_ms(rig, 200);
	CU_ASSERT_EQUAL(bp_qrig_wait_ms(rig, small, 0), -1);
	bp_qrig_run_ms(rig, 2000);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, large, 0) >= 0);
	finish_rig(rig);
}

/* Returns the executor of two that a long-running task gets beside short work
 * on the first and long-running work on the second. */
static uint32_t
place_lasting(bool planning)
{
	bp_qrig_t *rig = start_rig(planning, 2);
	bp_qrig_shape_t shape = {.cpu_milli = 3000, .label = "other"};
	const char *id;
	uint32_t on;

	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, 1, 0, true);
	(void)submit_one(rig, 8000, 3000, 0, "first");
	bp_qrig_run_ms(rig, 500);
	shape.label = NULL;
	bp_qrig_set_shape(rig, &shape);
	id = bp_qrig_submit(rig, 1, 0, true);
	bp_qrig_run_ms(rig, 500);
	on = bp_qfleet_running_on(bp_qrig_fleet(rig), 0, id) > 0 ? 0 : 1;
	finish_rig(rig);
	return on;
}

/* Guards against long-running tasks that fill a gap which is only as large as
 * it is because short work is about to end there. */
static void
test_long_running_tasks_keep_gaps_whole(void)
{
	CU_ASSERT_EQUAL(place_lasting(false), 0);
	CU_ASSERT_EQUAL(place_lasting(true), 1);
}

/* Guards against a large task that waits for minutes beside enough free
 * capacity in two parts, and against moves while planning is off. */
static void
test_checkpointed_tasks_are_moved(void)
{
	bp_qrig_t *rig = start_rig(true, 2);
	bp_qrig_shape_t shape = {.reliable = true,
	    .single = true,
	    .checkpoints = true,
	    .cpu_milli = 3000,
	    .priority = 1};
	const char *large;

	bp_qrig_set_shape(rig, &shape);
	shape.label = "first";
	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, 2, 60000, false);
	shape.label = "other";
	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, 2, 60000, false);
	bp_qrig_run_ms(rig, 500);
	large = submit_one(rig, 13500, 8000, 0, NULL);
	bp_qrig_run_ms(rig, 6000);
	CU_ASSERT_TRUE(bp_qrig_count(rig, "large_tasks_moved") > 0);
	CU_ASSERT_TRUE(bp_qrig_wait_ms(rig, large, 0) >= 0);
	finish_rig(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"off is as before", test_off_is_as_before},
	    {"the largest tenth waits less", test_the_largest_tenth_waits_less},
	    {"why names the reservation", test_why_names_the_reservation},
	    {"small tasks beside a reservation",
		test_small_tasks_beside_a_reservation},
	    {"urgent work ignores batch reservations",
		test_urgent_work_ignores_batch_reservations},
	    {"a lost executor", test_a_lost_executor},
	    {"a cancelled job gives its place up",
		test_a_cancelled_job_gives_its_place_up},
	    {"a new owner plans anew", test_a_new_owner_plans_anew},
	    {"durations are learned", test_durations_are_learned},
	    {"memory-bound tasks get a place",
		test_memory_bound_tasks_get_a_place},
	    {"long-running tasks keep gaps whole",
		test_long_running_tasks_keep_gaps_whole},
	    {"checkpointed tasks are moved", test_checkpointed_tasks_are_moved},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/largetasks", tests);
}
