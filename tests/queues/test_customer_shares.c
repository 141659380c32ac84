#include "support/queuerig.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>

#define SEED 20261206
#define SETTLE_MS 3000
/* Executors have 16 cores. */
#define EXECUTORS 5
#define SITE_MILLI (EXECUTORS * 16000)
#define TASK_MILLI 2000
#define SITE_TASKS (SITE_MILLI / TASK_MILLI)

static const bp_qrig_customer_t both[] = {{"one", 5, 0}, {"three", 15, 0}};

static const bp_qrig_shape_t of_one = {
    .reliable = true, .cpu_milli = TASK_MILLI, .customer = "one"};
static const bp_qrig_shape_t of_three = {
    .reliable = true, .cpu_milli = TASK_MILLI, .customer = "three"};

static bp_qrig_t *
start_rig(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);

	bp_qrig_set_customers(rig, both, G_N_ELEMENTS(both));
	bp_qrig_run_ms(rig, SETTLE_MS);
	CU_ASSERT_TRUE(bp_qrig_owner(rig) >= 0);
	return rig;
}

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
    int64_t task_ms)
{
	bp_qrig_set_shape(rig, shape);
	return bp_qrig_submit(rig, tasks, task_ms, false);
}

static uint32_t
count_started(bp_qrig_t *rig, const char *id, uint32_t tasks)
{
	uint32_t started = 0;
	uint32_t k;

	for (k = 0; k < tasks; k++) {
		char *task = g_strdup_printf("%s.0.0.%u", id, k);

		started += bp_qfleet_starts_of(bp_qrig_fleet(rig), task) > 0;
		g_free(task);
	}
	return started;
}

/* Sums what both customers use at many moments. */
static void
observe(bp_qrig_t *rig, int64_t duration_ms, uint64_t *one, uint64_t *three)
{
	int64_t passed_ms;

	*one = 0;
	*three = 0;
	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += 50) {
		bp_qrig_run_ms(rig, 50);
		*one += bp_qrig_customer_milli(rig, "one");
		*three += bp_qrig_customer_milli(rig, "three");
	}
}

/*
 * Guards against use that follows what customers send instead of their weights:
 * the customer with a quarter of the weight sends ten times as much, and first.
 */
static void
test_weights_decide_under_overload(void)
{
	bp_qrig_t *rig = start_rig();
	uint64_t one;
	uint64_t three;
	uint32_t i;

	for (i = 0; i < 60; i++)
		(void)submit(rig, &of_one, 50, 500);
	for (i = 0; i < 12; i++)
		(void)submit(rig, &of_three, 50, 500);
	bp_qrig_run_ms(rig, 1500);
	observe(rig, 4000, &one, &three);
	CU_ASSERT_TRUE(three * 10 >= one * 24);
	CU_ASSERT_TRUE(three * 10 <= one * 36);
	if (three * 10 < one * 24 || three * 10 > one * 36)
		printf("%u to %u\n", (unsigned)one, (unsigned)three);
	finish(rig);
}

/*
 * Guards against room that stays free because the only customer with work has
 * its share already.
 */
static void
test_free_room_is_used(void)
{
	bp_qrig_t *rig = start_rig();
	uint64_t one;
	uint64_t three;
	uint32_t i;

	for (i = 0; i < 40; i++)
		(void)submit(rig, &of_one, 20, 500);
	bp_qrig_run_ms(rig, 1000);
	observe(rig, 3000, &one, &three);
	CU_ASSERT_EQUAL(three, 0);
	CU_ASSERT_TRUE(one / 60 >= (uint64_t)SITE_MILLI * 85 / 100);
	finish(rig);
}

/* Longest wait of an urgent job: that for the end of one task. */
#define URGENT_WAIT_MS 700

/*
 * Guards against an urgent job that waits behind a burst of urgent jobs of
 * another customer, which were due earlier.
 */
static void
test_a_burst_does_not_delay_another_customer(void)
{
	bp_qrig_t *rig = start_rig();
	const char *id;
	uint32_t i;

	for (i = 0; i < 40; i++)
		(void)submit(rig, &of_one, SITE_TASKS, 400);
	bp_qrig_run_ms(rig, 100);
	id = submit(rig, &of_three, 5, 400);
	bp_qrig_run_ms(rig, URGENT_WAIT_MS);
	CU_ASSERT_EQUAL(count_started(rig, id, 5), 5);
	finish(rig);
}

/* Guards against an urgent job that waits behind batch work of a customer that
 * uses less of its share: priority goes before shares. */
static void
test_priority_goes_first(void)
{
	bp_qrig_shape_t batch = of_three;
	bp_qrig_t *rig = start_rig();
	const char *id;
	uint32_t i;

	batch.priority = 1;
	for (i = 0; i < 10; i++)
		(void)submit(rig, &of_one, SITE_TASKS, 400);
	for (i = 0; i < 10; i++)
		(void)submit(rig, &batch, SITE_TASKS, 400);
	bp_qrig_run_ms(rig, 2000);
	id = submit(rig, &of_one, 4, 400);
	CU_ASSERT_EQUAL(bp_qrig_customer_milli(rig, "three"), 0);
	bp_qrig_run_ms(rig, 25000);
	CU_ASSERT_EQUAL(count_started(rig, id, 4), 4);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
	finish(rig);
}

/* Guards against an urgent job that waits behind a burst of another customer's
 * urgent jobs because its customer's batch work uses the site. */
static void
test_batch_use_does_not_delay_urgent_work(void)
{
	bp_qrig_shape_t batch = of_one;
	bp_qrig_t *rig = start_rig();
	const char *id;
	uint32_t i;

	batch.priority = 1;
	for (i = 0; i < 2 * SITE_TASKS; i++) {
		(void)submit(rig, &batch, 1, 8000);
		bp_qrig_run_ms(rig, 200);
	}
	CU_ASSERT_TRUE(
	    bp_qrig_customer_milli(rig, "one") >= SITE_MILLI * 9 / 10);
	(void)submit(rig, &of_three, 20, 3000);
	bp_qrig_run_ms(rig, 300);
	id = submit(rig, &of_one, 1, 400);
	bp_qrig_run_ms(rig, 1500);
	CU_ASSERT_EQUAL(count_started(rig, id, 1), 1);
	finish(rig);
}

/* Guards against a whole job of many tasks that takes all room at once although
 * another customer waits at the same moment. */
static void
test_a_large_job_shares_a_round(void)
{
	bp_qrig_t *rig = start_rig();

	(void)submit(rig, &of_one, 4 * SITE_TASKS, 4000);
	(void)submit(rig, &of_three, 4 * SITE_TASKS, 4000);
	bp_qrig_run_ms(rig, 1500);
	CU_ASSERT_TRUE(
	    bp_qrig_customer_milli(rig, "one") <= SITE_MILLI * 3 / 10);
	CU_ASSERT_TRUE(
	    bp_qrig_customer_milli(rig, "three") >= SITE_MILLI * 7 / 10);
	finish(rig);
}

/* Sends jobs of one task at a rate; returns how many were refused. */
static uint32_t
send_jobs(bp_qrig_t *rig, const bp_qrig_shape_t *shape, uint32_t jobs,
    uint32_t period_ms, uint32_t *least_retry_ms, uint32_t *most_retry_ms)
{
	const char **ids = g_new0(const char *, jobs);
	uint32_t refused = 0;
	uint32_t i;

	*least_retry_ms = UINT32_MAX;
	*most_retry_ms = 0;
	for (i = 0; i < jobs; i++) {
		ids[i] = submit(rig, shape, 8, 2000);
		bp_qrig_run_ms(rig, period_ms);
	}
	bp_qrig_run_ms(rig, 200);
	for (i = 0; i < jobs; i++) {
		uint32_t retry_ms = bp_qrig_retry_after_ms(rig, ids[i]);

		if (bp_qrig_told(rig, ids[i]) != BP_QRIG_REFUSED)
			continue;
		refused++;
		*least_retry_ms = MIN(*least_retry_ms, retry_ms);
		*most_retry_ms = MAX(*most_retry_ms, retry_ms);
	}
	g_free(ids);
	return refused;
}

/*
 * Guards against a customer that is refused nothing and fills the queue, and
 * against refusals of another that keeps to its rate. Refused jobs never run
 * (checked by the rig), and accepted ones all end.
 */
static void
test_only_the_sender_of_too_much_is_refused(void)
{
	bp_qrig_t *rig = start_rig();
	uint32_t least_ms;
	uint32_t most_ms;

	CU_ASSERT_TRUE(
	    send_jobs(rig, &of_one, 400, 10, &least_ms, &most_ms) >= 250);
	CU_ASSERT_TRUE(least_ms >= 1000);
	CU_ASSERT_TRUE(most_ms >= 4 * least_ms);
	CU_ASSERT_EQUAL(
	    send_jobs(rig, &of_three, 30, 100, &least_ms, &most_ms), 0);
	CU_ASSERT_TRUE(bp_qrig_count(rig, "jobs_refused") >= 250);
	bp_qrig_run_ms(rig, 120000);
	CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
	finish(rig);
}

/* Guards against refusals while there is room: of jobs far beyond the rate that
 * all fit, and of jobs that wait only for the cap of their customer. */
static void
test_nothing_is_refused_while_there_is_room(void)
{
	const bp_qrig_customer_t capped = {"one", 1, 4 * TASK_MILLI};
	bp_qrig_t *rig = start_rig();
	bp_qrig_shape_t small = of_one;
	uint32_t i;

	small.cpu_milli = 10;
	for (i = 0; i < 300; i++)
		(void)submit(rig, &small, 1, 3000);
	bp_qrig_run_ms(rig, 100);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "jobs_refused"), 0);
	bp_qrig_run_ms(rig, 10000);
	bp_qrig_set_customers(rig, &capped, 1);
	for (i = 0; i < 100; i++)
		(void)submit(rig, &of_one, 4, 200);
	bp_qrig_run_ms(rig, 500);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "jobs_refused"), 0);
	finish(rig);
}

/* Guards against refusals because of jobs that are due much later, and of such
 * jobs: there may be room then. */
static void
test_jobs_due_later_are_no_backlog(void)
{
	const bp_qrig_customer_t few = {"one", 1, 0};
	bp_qrig_shape_t later = of_one;
	bp_qrig_t *rig = start_rig();
	uint32_t i;

	bp_qrig_set_customers(rig, &few, 1);
	later.due_after_ms = 20000;
	(void)submit(rig, &of_one, 2 * SITE_TASKS, 3000);
	bp_qrig_run_ms(rig, 300);
	for (i = 0; i < 50; i++)
		(void)submit(rig, &later, 1, 100);
	bp_qrig_run_ms(rig, 300);
	for (i = 0; i < 5; i++)
		(void)submit(rig, &of_one, 1, 100);
	bp_qrig_run_ms(rig, 300);
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "jobs_refused"), 0);
	for (i = 0; i < 20; i++)
		(void)submit(rig, &of_one, 1, 100);
	CU_ASSERT_TRUE(bp_qrig_count(rig, "jobs_refused") > 0);
	finish(rig);
}

/* A customer beyond its share sees that as the reason, with both figures. */
static void
test_why_names_the_share(void)
{
	bp_qrig_t *rig = start_rig();
	const char *id;
	char *why;

	(void)submit(rig, &of_one, SITE_TASKS, 4000);
	id = submit(rig, &of_one, 4, 4000);
	(void)submit(rig, &of_three, 4, 4000);
	bp_qrig_run_ms(rig, 500);
	why = bp_qrig_why(rig, id);
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "\"customer_share\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "\"share_percent\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "\"entitled_percent\":25"));
	if (strstr(why, "\"customer_share\"") == NULL)
		printf("%s\n", why);
	g_free(why);
	finish(rig);
}

#define RECORDED_JOBS 60
/* The starts of the load below on code without customers. */
#define STARTS_HASH_BEFORE UINT64_C(0x5e5ae193f98a924e)
/* The executors examined for them. */
#define EXAMINED_BEFORE 6315

/* Runs a mixed load; returns the starts of each job's first task, as text, and
 * the number of executors examined. */
static char *
run_mixed_load(const char *first, const char *second, uint64_t *examined)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	GString *text = g_string_new(NULL);
	const char *ids[RECORDED_JOBS];
	uint32_t i;

	bp_qrig_run_ms(rig, SETTLE_MS);
	for (i = 0; i < RECORDED_JOBS; i++) {
		bp_qrig_shape_t shape = {.reliable = i % 3 > 0,
		    .cpu_milli = 1000 * (1 + i % 5),
		    .priority = i % 2,
		    .filler = i % 7 == 0,
		    .customer = i % 2 == 0 ? first : second};

		ids[i] = submit(rig, &shape, 1 + i % 9, 300 + 70 * (i % 6));
		bp_qrig_run_ms(rig, 40);
	}
	for (i = 0; i < 40; i++) {
		uint32_t k;

		bp_qrig_run_ms(rig, 100);
		for (k = 0; k < RECORDED_JOBS; k++)
			g_string_append_printf(
			    text, "%u ", count_started(rig, ids[k], 9));
	}
	g_string_truncate(text, text->len - 1);
	*examined = bp_qrig_count(rig, "executors_examined");
	CU_ASSERT_EQUAL(bp_qrig_count(rig, "jobs_refused"), 0);
	finish(rig);
	return g_string_free(text, FALSE);
}

/*
 * Guards against another order or other cost where the configuration has no
 * customers, whether or not jobs name one: the same starts at the same times,
 * with as many executors examined. The hash is that of the code before.
 */
static void
test_without_customers_nothing_changes(void)
{
	uint64_t examined = 0;
	uint64_t examined_named = 0;
	char *none = run_mixed_load(NULL, NULL, &examined);
	char *named = run_mixed_load("one", "three", &examined_named);

	CU_ASSERT_STRING_EQUAL(none, named);
	CU_ASSERT_EQUAL(bp_hash_text(none, 0), STARTS_HASH_BEFORE);
	CU_ASSERT_EQUAL(examined, EXAMINED_BEFORE);
	CU_ASSERT_EQUAL(examined_named, EXAMINED_BEFORE);
	if (bp_hash_text(none, 0) != STARTS_HASH_BEFORE ||
	    examined != EXAMINED_BEFORE)
		printf("%016" G_GINT64_MODIFIER "x, %u examined\n",
		    bp_hash_text(none, 0), (unsigned)examined);
	g_free(none);
	g_free(named);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"weights decide under overload",
		test_weights_decide_under_overload},
	    {"free room is used", test_free_room_is_used},
	    {"a burst does not delay another customer",
		test_a_burst_does_not_delay_another_customer},
	    {"priority goes first", test_priority_goes_first},
	    {"batch use does not delay urgent work",
		test_batch_use_does_not_delay_urgent_work},
	    {"a large job shares a round", test_a_large_job_shares_a_round},
	    {"only the sender of too much is refused",
		test_only_the_sender_of_too_much_is_refused},
	    {"nothing is refused while there is room",
		test_nothing_is_refused_while_there_is_room},
	    {"jobs due later are no backlog",
		test_jobs_due_later_are_no_backlog},
	    {"why names the share", test_why_names_the_share},
	    {"without customers nothing changes",
		test_without_customers_nothing_changes},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/customer_shares", tests);
}
