#include "bulrushpost/shard.h"
#include "support/queuemembers.h"
#include "support/queuerig.h"
#include "support/runner.h"

#define STEP_MS 50
#define EXECUTORS 6
#define DELAY_MS 500
/* Time in which the group and its members agree after a change. */
#define SETTLE_MS 6000
/* A shard that its owner gives up is assigned again within this time. */
#define HANDOVER_MS 1500
/* A dead owner's membership expires, and the next one joins. */
#define REPLACED_MS (BP_SHARD_MEMBERSHIP_MS + 500)
#define SEEDS 20
#define SCHEDULES 200

static uint32_t
owned_count(const bp_qmembers_t *fixture, uint32_t index)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < fixture->shards; i++)
		n += bp_qmember_valid(&fixture->members[index], i);
	return n;
}

/* Two owners may exist only after a reassignment that waits for neither. */
static void
finish(bp_qmembers_t *fixture)
{
	CU_ASSERT_EQUAL(fixture->overlaps, 0);
	bp_qmembers_free(fixture);
}

/* Returns whether the owner keeps the only shard without interruption. */
static bool
keeps(bp_qmembers_t *fixture, int owner, int64_t duration_ms)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += STEP_MS) {
		bp_qmembers_run_ms(fixture, STEP_MS);
		if (bp_qmembers_owner(fixture, 0) != owner)
			return false;
	}
	return true;
}

/* Returns a group whose only shard is owned by member 0 and assigned to another
 * one. */
static bp_qmembers_t *
start_with_kept_shard(uint64_t seed)
{
	bp_qmembers_t *fixture = bp_qmembers_new(seed, 1);

	bp_qmembers_start(fixture, 0);
	bp_qmembers_run_ms(fixture, 100);
	bp_qmembers_start_all(fixture);
	bp_qmembers_run_ms(fixture, SETTLE_MS);
	while (g_str_has_prefix(
	    bp_qstore_wanted(fixture->store, 0), fixture->members[0].address)) {
		bp_qmembers_stop(fixture, 1);
		bp_qmembers_run_ms(fixture, SETTLE_MS);
		bp_qmembers_start(fixture, 1);
		bp_qmembers_run_ms(fixture, SETTLE_MS);
	}
	CU_ASSERT_EQUAL(bp_qmembers_owner(fixture, 0), 0);
	return fixture;
}

/* Guards against a takeover of a shard whose owner is well, each time that
 * another member returns after it has lost the store. */
static void
test_a_member_that_returns_takes_no_shard(void)
{
	uint64_t seed;
	uint32_t i;
	int owner;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_qmembers_t *fixture = bp_qmembers_new(seed, 1);

		bp_qmembers_start_all(fixture);
		bp_qmembers_run_ms(fixture, SETTLE_MS);
		owner = bp_qmembers_owner(fixture, 0);
		CU_ASSERT_TRUE_FATAL(owner >= 0);
		for (i = 0; i < BP_QMEMBERS; i++) {
			if ((int)i == owner)
				continue;
			bp_qstore_set_mode(
			    fixture->members[i].view, BP_QSTORE_SILENT);
			CU_ASSERT_TRUE(keeps(fixture, owner, SETTLE_MS));
			bp_qstore_set_mode(
			    fixture->members[i].view, BP_QSTORE_UP);
			CU_ASSERT_TRUE(keeps(fixture, owner, SETTLE_MS));
		}
		CU_ASSERT_EQUAL(fixture->acquired, 1);
		finish(fixture);
	}
}

/* Guards against one takeover after the other while a deployment starts. */
static void
test_the_first_to_start_keeps_its_shard(void)
{
	uint64_t seed;
	uint32_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_qmembers_t *fixture = bp_qmembers_new(seed, 1);

		for (i = 0; i < BP_QMEMBERS; i++) {
			bp_qmembers_start(fixture, i);
			bp_qmembers_run_ms(fixture, (int64_t)seed * 20);
		}
		bp_qmembers_run_ms(fixture, SETTLE_MS);
		CU_ASSERT_EQUAL(bp_qmembers_owner(fixture, 0), 0);
		CU_ASSERT_EQUAL(fixture->acquired, 1);
		finish(fixture);
	}
}

/* Guards against an owner that goes on although the group has reassigned its
 * shard without waiting for it. */
static void
test_an_owner_reassigned_at_once_lets_go(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_qmembers_t *fixture = start_with_kept_shard(seed);

		bp_qmembers_rebalance(fixture);
		bp_qmembers_run_ms(fixture, HANDOVER_MS);
		CU_ASSERT_TRUE(bp_qmembers_owner(fixture, 0) >= 0);
		CU_ASSERT_EQUAL(fixture->acquired,
		    bp_qmembers_owner(fixture, 0) == 0 ? 1 : 2);
		CU_ASSERT_EQUAL(fixture->members[0].owned[0],
		    bp_qmembers_owner(fixture, 0) == 0);
		finish(fixture);
	}
}

/* Guards against a shard that stays without an owner after one that kept it
 * against the group's assignment has died. */
static void
test_a_dead_owner_is_replaced(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_qmembers_t *fixture = start_with_kept_shard(seed);

		bp_qmembers_stop(fixture, 0);
		bp_qmembers_run_ms(fixture, REPLACED_MS);
		CU_ASSERT_TRUE(bp_qmembers_owner(fixture, 0) > 0);
		finish(fixture);
	}
}

/* Guards against an owner that keeps a shard although it steps down. */
static void
test_an_owner_that_steps_down_hands_over(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_qmembers_t *fixture = start_with_kept_shard(seed);

		bp_membership_step_down(fixture->members[0].membership);
		bp_qmembers_run_ms(fixture, HANDOVER_MS);
		CU_ASSERT_TRUE(bp_qmembers_owner(fixture, 0) > 0);
		finish(fixture);
	}
}

/* Guards against an owner that keeps a shard which it does not serve, until its
 * membership expires. */
static void
test_an_owner_that_drains_hands_over(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_qmembers_t *fixture = start_with_kept_shard(seed);

		fixture->members[0].draining = true;
		bp_qmembers_run_ms(fixture, HANDOVER_MS);
		CU_ASSERT_TRUE(bp_qmembers_owner(fixture, 0) > 0);
		finish(fixture);
	}
}

/* Guards against a node that owns all shards beside one that has returned. */
static void
test_a_returning_node_gets_its_part(void)
{
	uint64_t seed;
	uint32_t shards;

	for (seed = 1; seed <= SEEDS; seed++) {
		for (shards = 2; shards <= BP_QMEMBERS_SHARDS_MAX; shards++) {
			bp_qmembers_t *fixture = bp_qmembers_new(seed, shards);

			bp_qmembers_start(fixture, 0);
			bp_qmembers_run_ms(fixture, SETTLE_MS);
			CU_ASSERT_EQUAL(owned_count(fixture, 0), shards);
			bp_qmembers_start(fixture, 1);
			bp_qmembers_run_ms(fixture, SETTLE_MS);
			CU_ASSERT_TRUE(owned_count(fixture, 1) > 0);
			CU_ASSERT_EQUAL(
			    owned_count(fixture, 0) + owned_count(fixture, 1),
			    shards);
			finish(fixture);
		}
	}
}

/* Guards against reads of the owners at each join, of which the platform
 * accepts few, and against a membership that one lost answer ends. */
static void
test_reads_of_the_owners_are_bounded(void)
{
	bp_qmembers_t *fixture = start_with_kept_shard(1);
	uint64_t reads = bp_qstore_owner_reads(fixture->store);
	uint32_t i;

	CU_ASSERT_TRUE(keeps(fixture, 0, 60000));
	reads = bp_qstore_owner_reads(fixture->store) - reads;
	/* One each 600 ms, and that of the other members each 4 s. */
	CU_ASSERT_TRUE(reads <= 100 + (BP_QMEMBERS - 1) * 15 + BP_QMEMBERS);
	for (i = 0; i < 24; i++) {
		CU_ASSERT_TRUE(keeps(fixture, 0, SETTLE_MS + 25 * i));
		bp_qstore_set_mode(fixture->members[0].view, BP_QSTORE_SILENT);
		CU_ASSERT_TRUE(keeps(fixture, 0, 300));
		bp_qstore_set_mode(fixture->members[0].view, BP_QSTORE_UP);
	}
	CU_ASSERT_EQUAL(fixture->acquired, 1);
	finish(fixture);
}

/* Guards against a membership that counts from the owners' answer: the store
 * counts it from the join. */
static void
test_a_kept_shard_counts_from_the_join(void)
{
	bp_qmembers_t *fixture = start_with_kept_shard(1);
	uint32_t i;

	bp_qstore_set_delay_ms(fixture->store, DELAY_MS);
	CU_ASSERT_TRUE(keeps(fixture, 0, SETTLE_MS));
	for (i = 0; i < 100; i++) {
		CU_ASSERT_TRUE(keeps(fixture, 0, STEP_MS));
		/* The join and the read that follows it. */
		CU_ASSERT_TRUE(
		    fixture->members[0].confirmation_age_ms >= 2 * DELAY_MS);
	}
	finish(fixture);
}

static void
inject_fault(bp_qmembers_t *fixture)
{
	uint32_t index = bp_random_below(&fixture->random, BP_QMEMBERS);
	bp_qmember_t *member = &fixture->members[index];

	switch (bp_random_below(&fixture->random, 8)) {
	case 0:
		bp_qmembers_stop(fixture, index);
		break;
	case 1:
		if (member->membership != NULL)
			bp_qstore_set_mode(member->view, BP_QSTORE_SILENT);
		break;
	case 2:
		if (member->membership != NULL)
			bp_qstore_set_mode(member->view, BP_QSTORE_BUSY);
		break;
	case 3:
		bp_qmembers_rebalance(fixture);
		break;
	case 4:
		bp_qstore_set_group_lost(
		    fixture->store, bp_random_below(&fixture->random, 60));
		break;
	case 5:
		if (member->membership != NULL)
			bp_membership_step_down(member->membership);
		break;
	default:
		bp_qstore_set_group_lost(fixture->store, 0);
		bp_qmembers_start(fixture, index);
		bp_qstore_set_mode(member->view, BP_QSTORE_UP);
		break;
	}
}

/* Guards against two members whose confirmed memberships for a shard overlap,
 * and against shards that stay without an owner. */
static void
test_memberships_never_overlap(void)
{
	uint64_t seed;
	uint32_t i;

	for (seed = 1; seed <= SCHEDULES; seed++) {
		bp_qmembers_t *fixture = bp_qmembers_new(
		    seed, 1 + (uint32_t)(seed % BP_QMEMBERS_SHARDS_MAX));

		for (i = 0; i < 60; i++) {
			inject_fault(fixture);
			bp_qmembers_run_ms(fixture,
			    1 + bp_random_below(&fixture->random, 2500));
		}
		bp_qstore_set_group_lost(fixture->store, 0);
		bp_qmembers_start_all(fixture);
		for (i = 0; i < BP_QMEMBERS; i++)
			bp_qstore_set_mode(
			    fixture->members[i].view, BP_QSTORE_UP);
		bp_qmembers_run_ms(fixture, 5 * SETTLE_MS);
		for (i = 0; i < fixture->shards; i++)
			CU_ASSERT_TRUE(bp_qmembers_owner(fixture, i) >= 0);
		finish(fixture);
	}
}

/* Guards against a new epoch, for which all records are read and all executors
 * polled, when a node returns that had lost the store or was restarted. */
static void
test_an_owner_keeps_its_epoch(void)
{
	uint64_t seed;
	uint32_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_qrig_t *rig = bp_qrig_new(seed, EXECUTORS);
		GBytes *epoch;
		int owner;

		bp_qstore_set_shuffled(bp_qrig_store(rig), true);
		bp_qrig_run_ms(rig, SETTLE_MS);
		owner = bp_qrig_owner(rig);
		CU_ASSERT_TRUE_FATAL(owner >= 0);
		epoch = g_bytes_ref(
		    bp_qstore_value(bp_qrig_store(rig), 0, "owner"));
		for (i = 0; i < BP_QRIG_NODES; i++) {
			if ((int)i == owner)
				continue;
			(void)bp_qrig_submit(rig, 4, 3000, false);
			bp_qrig_store_mode(rig, i, BP_QSTORE_SILENT);
			bp_qrig_run_ms(rig, SETTLE_MS);
			bp_qrig_store_mode(rig, i, BP_QSTORE_UP);
			bp_qrig_run_ms(rig, SETTLE_MS);
			bp_qrig_kill(rig, i);
			bp_qrig_run_ms(rig, SETTLE_MS);
			bp_qrig_restart(rig, i);
			bp_qrig_run_ms(rig, SETTLE_MS);
		}
		CU_ASSERT_EQUAL(bp_qrig_owner(rig), owner);
		CU_ASSERT_TRUE(g_bytes_equal(
		    epoch, bp_qstore_value(bp_qrig_store(rig), 0, "owner")));
		CU_ASSERT_EQUAL(bp_qrig_unfinished(rig, false), 0);
		CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
		g_bytes_unref(epoch);
		bp_qrig_free(rig);
	}
}

/* Guards against a node whose claim gets no answer while its joins do, and that
 * keeps the shard from nodes that could own it. */
static void
test_a_takeover_without_end_is_given_up(void)
{
	uint64_t seed;
	uint32_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_qrig_t *rig = bp_qrig_new(seed, EXECUTORS);
		uint32_t stuck;
		int owner;

		bp_qstore_set_shuffled(bp_qrig_store(rig), true);
		bp_qrig_run_ms(rig, SETTLE_MS);
		owner = bp_qrig_owner(rig);
		CU_ASSERT_TRUE_FATAL(owner >= 0);
		stuck = ((uint32_t)owner + 1) % BP_QRIG_NODES;
		bp_qrig_store_mode(rig, stuck, BP_QSTORE_SILENT_APPENDS);
		for (i = 0; i < BP_QRIG_NODES; i++) {
			if (i != stuck)
				bp_qrig_kill(rig, i);
		}
		bp_qrig_run_ms(rig, SETTLE_MS);
		for (i = 0; i < BP_QRIG_NODES; i++) {
			if (i != stuck)
				bp_qrig_restart(rig, i);
			bp_qrig_run_ms(rig, SETTLE_MS);
		}
		bp_qrig_run_ms(rig, 5 * SETTLE_MS);
		CU_ASSERT_TRUE(bp_qrig_owner(rig) >= 0);
		bp_qrig_free(rig);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a member that returns takes no shard from an owner that is well",
		test_a_member_that_returns_takes_no_shard},
	    {"the first of several nodes to start keeps its shard",
		test_the_first_to_start_keeps_its_shard},
	    {"an owner that is reassigned at once lets go",
		test_an_owner_reassigned_at_once_lets_go},
	    {"a dead owner is replaced", test_a_dead_owner_is_replaced},
	    {"an owner that steps down hands over",
		test_an_owner_that_steps_down_hands_over},
	    {"an owner that drains hands over",
		test_an_owner_that_drains_hands_over},
	    {"a returning node gets its part of several shards",
		test_a_returning_node_gets_its_part},
	    {"reads of the owners are bounded",
		test_reads_of_the_owners_are_bounded},
	    {"a kept shard counts from the join",
		test_a_kept_shard_counts_from_the_join},
	    {"an owner keeps its epoch when another node returns",
		test_an_owner_keeps_its_epoch},
	    {"memberships never overlap", test_memberships_never_overlap},
	    {"a takeover without end is given up",
		test_a_takeover_without_end_is_given_up},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/ownership", tests);
}
