#include "support/queuerig.h"
#include "support/runner.h"

#include <stdio.h>

#define SEED 20261204
#define EXECUTORS 6
#define SETTLE_MS 3000
#define TASKS 12
/* Leases last for 6 s; the owner must change before they expire. */
#define LEASE_MS 6000

static bp_qrig_t *
start_simulation(const char **id)
{
	bp_qrig_shape_t shape = {.spread_max = TASKS / EXECUTORS};
	bp_qrig_t *sim = bp_qrig_new(SEED, EXECUTORS);

	bp_qrig_set_shape(sim, &shape);
	bp_qrig_run_ms(sim, SETTLE_MS);
	*id = bp_qrig_submit(sim, TASKS, 0, true);
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	return sim;
}

static void
finish_simulation(bp_qrig_t *sim)
{
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	if (bp_qrig_broken(sim) > 0)
		printf("%s\n", bp_qrig_first_broken(sim));
	bp_qrig_free(sim);
}

static uint32_t
running(bp_qrig_t *sim, const char *id)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++)
		sum += bp_qfleet_running_on(bp_qrig_fleet(sim), i, id);
	return sum;
}

/*
 * Guards against an owner that keeps its membership while it can reach no
 * executor, so that leases expire and tasks don't start again.
 */
static void
test_an_isolated_owner_steps_back(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int before = bp_qrig_owner(sim);
	uint32_t starts = bp_qfleet_starts(bp_qrig_fleet(sim));
	uint32_t expected = running(sim, id);

	CU_ASSERT_TRUE(expected > 0);
	bp_qrig_cut_executors(sim, (uint32_t)before, true);
	bp_qrig_run_ms(sim, 2 * LEASE_MS);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	CU_ASSERT_NOT_EQUAL(bp_qrig_owner(sim), before);
	CU_ASSERT_EQUAL(running(sim, id), expected);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), starts);
	finish_simulation(sim);
}

/* Guards against owners that hand on a shard again and again because its
 * executors are down. */
static void
test_dead_executors_change_the_owner_once(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int owner = bp_qrig_owner(sim);
	uint32_t changes = 0;
	uint32_t i;

	for (i = 0; i < EXECUTORS - 1; i++)
		bp_qfleet_set_cut(bp_qrig_fleet(sim), i, true);
	for (i = 0; i < 180; i++) {
		bp_qrig_run_ms(sim, 100);
		if (bp_qrig_owner(sim) >= 0 && bp_qrig_owner(sim) != owner) {
			owner = bp_qrig_owner(sim);
			changes++;
		}
	}
	CU_ASSERT_TRUE(changes <= 1);
	finish_simulation(sim);
}

/* Guards against a node that owns no shard again after it stepped down. */
static void
test_the_only_node_returns(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int owner = bp_qrig_owner(sim);
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++) {
		if ((int)i != owner)
			bp_qrig_kill(sim, i);
	}
	bp_qrig_cut_executors(sim, (uint32_t)owner, true);
	bp_qrig_run_ms(sim, 8000);
	bp_qrig_cut_executors(sim, (uint32_t)owner, false);
	bp_qrig_run_ms(sim, 20000);
	CU_ASSERT_EQUAL(bp_qrig_owner(sim), owner);
	CU_ASSERT_EQUAL(running(sim, id), TASKS);
	finish_simulation(sim);
}

/* Freezes a node for most of the time. */
static void
run_slowly(bp_qrig_t *sim, uint32_t node, uint32_t turns)
{
	while (turns-- > 0) {
		bp_qrig_freeze(sim, node, true);
		bp_qrig_run_ms(sim, 700);
		bp_qrig_freeze(sim, node, false);
		bp_qrig_run_ms(sim, 20);
	}
}

/* Guards against a slow node that keeps a shard which others could serve. */
static void
test_a_slow_owner_steps_back(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int before = bp_qrig_owner(sim);
	uint32_t starts = bp_qfleet_starts(bp_qrig_fleet(sim));

	run_slowly(sim, (uint32_t)before, 7);
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	CU_ASSERT_NOT_EQUAL(bp_qrig_owner(sim), before);
	CU_ASSERT_EQUAL(running(sim, id), TASKS);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), starts);
	finish_simulation(sim);
}

/* Guards against slow nodes that keep handing a shard to each other. */
static void
test_slow_nodes_keep_an_owner(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int owner = bp_qrig_owner(sim);
	uint32_t changes = 0;
	uint32_t turn;
	uint32_t i;

	for (turn = 0; turn < 24; turn++) {
		for (i = 0; i < BP_QRIG_NODES; i++)
			bp_qrig_freeze(sim, i, true);
		bp_qrig_run_ms(sim, 700);
		for (i = 0; i < BP_QRIG_NODES; i++)
			bp_qrig_freeze(sim, i, false);
		bp_qrig_run_ms(sim, 20);
		if (bp_qrig_owner(sim) >= 0 && bp_qrig_owner(sim) != owner) {
			owner = bp_qrig_owner(sim);
			changes++;
		}
	}
	CU_ASSERT_TRUE(changes < BP_QRIG_NODES);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	bp_qrig_run_ms(sim, 5000);
	CU_ASSERT_EQUAL(running(sim, id), TASKS);
	finish_simulation(sim);
}

/* Guards against an owner that was too slow once, and later does not report
 * that it can reach no executor. */
static void
test_the_only_slow_node_reports_isolation(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int before = bp_qrig_owner(sim);
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++) {
		if ((int)i != before)
			bp_qrig_kill(sim, i);
	}
	run_slowly(sim, (uint32_t)before, 7);
	CU_ASSERT_EQUAL(bp_qrig_owner(sim), before);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_restart(sim, i);
	bp_qrig_run_ms(sim, 2000);
	before = bp_qrig_owner(sim);
	bp_qrig_cut_executors(sim, (uint32_t)before, true);
	bp_qrig_run_ms(sim, 2 * LEASE_MS);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	CU_ASSERT_NOT_EQUAL(bp_qrig_owner(sim), before);
	CU_ASSERT_EQUAL(running(sim, id), TASKS);
	finish_simulation(sim);
}

/* Guards against a change of owner for every short pause. */
static void
test_a_pause_changes_no_owner(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int before = bp_qrig_owner(sim);
	uint32_t i;

	for (i = 0; i < 3; i++) {
		run_slowly(sim, (uint32_t)before, 1);
		bp_qrig_run_ms(sim, 1000);
		CU_ASSERT_EQUAL(bp_qrig_owner(sim), before);
	}
	finish_simulation(sim);
}

/* Guards against an owner that keeps its membership but cannot store: nothing
 * starts and no job is accepted, although other nodes could. */
static void
test_an_owner_without_appends_steps_back(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int before = bp_qrig_owner(sim);
	uint32_t starts = bp_qfleet_starts(bp_qrig_fleet(sim));
	const char *later;

	bp_qrig_store_mode(sim, (uint32_t)before, BP_QSTORE_SILENT_APPENDS);
	later = bp_qrig_submit(sim, 1, 300, false);
	bp_qrig_run_ms(sim, 3000);
	CU_ASSERT_EQUAL(bp_qrig_owner(sim), before);
	bp_qrig_run_ms(sim, 4000);
	CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	CU_ASSERT_NOT_EQUAL(bp_qrig_owner(sim), before);
	CU_ASSERT_EQUAL(running(sim, id), TASKS);
	CU_ASSERT_EQUAL(bp_qfleet_starts(bp_qrig_fleet(sim)), starts);
	bp_qrig_resubmit(sim, later);
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_EQUAL(bp_qrig_told(sim, later), BP_QRIG_ACCEPTED);
	finish_simulation(sim);
}

/* Guards against a store that answers nobody's appends and has the shard handed
 * from node to node. */
static void
test_the_only_node_without_appends_stays(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int owner = bp_qrig_owner(sim);
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++) {
		if ((int)i != owner)
			bp_qrig_kill(sim, i);
	}
	bp_qrig_store_mode(sim, (uint32_t)owner, BP_QSTORE_SILENT_APPENDS);
	(void)bp_qrig_submit(sim, 1, 300, false);
	for (i = 0; i < 10; i++) {
		bp_qrig_run_ms(sim, 1000);
		CU_ASSERT_EQUAL(bp_qrig_owner(sim), owner);
	}
	bp_qrig_store_mode(sim, (uint32_t)owner, BP_QSTORE_UP);
	bp_qrig_run_ms(sim, 2000);
	CU_ASSERT_EQUAL(running(sim, id), TASKS);
	finish_simulation(sim);
}

/*
 * Guards against runs that end because their leases lapse while the store
 * answers no node's appends: an owner needs none to renew them, and a successor
 * cannot claim the shard.
 */
static void
test_a_store_without_appends_changes_no_owner(void)
{
	const char *id;
	bp_qrig_t *sim = start_simulation(&id);
	int owner = bp_qrig_owner(sim);
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_store_mode(sim, i, BP_QSTORE_SILENT_APPENDS);
	(void)bp_qrig_submit(sim, 1, 300, false);
	for (i = 0; i < 15; i++) {
		bp_qrig_run_ms(sim, 1000);
		CU_ASSERT_EQUAL(running(sim, id), TASKS);
		CU_ASSERT_TRUE(bp_qrig_owner(sim) >= 0);
	}
	CU_ASSERT_EQUAL(bp_qrig_owner(sim), owner);
	finish_simulation(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"an isolated owner steps back", test_an_isolated_owner_steps_back},
	    {"dead executors change the owner once",
		test_dead_executors_change_the_owner_once},
	    {"the only node returns", test_the_only_node_returns},
	    {"a slow owner steps back", test_a_slow_owner_steps_back},
	    {"slow nodes keep an owner", test_slow_nodes_keep_an_owner},
	    {"the only slow node reports isolation",
		test_the_only_slow_node_reports_isolation},
	    {"a pause changes no owner", test_a_pause_changes_no_owner},
	    {"an owner without appends steps back",
		test_an_owner_without_appends_steps_back},
	    {"the only node without appends stays",
		test_the_only_node_without_appends_stays},
	    {"a store without appends changes no owner",
		test_a_store_without_appends_changes_no_owner},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/fitness", tests);
}
