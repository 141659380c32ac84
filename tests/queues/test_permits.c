#include "queues/ownedshards.h"
#include "support/queuestore.h"
#include "support/runner.h"

#define START_MS 1000000
/* Longer than a membership is valid. */
#define EXPIRED_MS 3000
#define SETTLE_MS 1000
#define JOIN_MS 300
/* A takeover that ends within this time is not given up. */
#define TAKEOVER_MS 5000

/* The shards of one node, whose membership the test determines. */
typedef struct {
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	bp_sharding_t *sharding;
	bp_executors_t executors;
	bp_qstore_view_t *view;
	bp_owned_shards_t *shards;
	uint32_t unfit; /* number of calls of on_unfit */
} node_t;

static void
on_follow(bool follow, void *data)
{
	(void)follow;
	(void)data;
}

static void
forget(bp_executors_t *self, void *data)
{
	(void)self;
	(void)data;
}

static void
on_unfit(bp_shard_unfit_t why, void *data)
{
	node_t *node = data;

	CU_ASSERT_EQUAL(why, BP_SHARD_UNFIT_UNSTORED);
	node->unfit++;
}

static node_t *
node_new(void)
{
	node_t *node = g_new0(node_t, 1);
	bp_sharding_options_t sharding = {0};
	bp_owned_shards_options_t options = {0};

	node->clock = bp_clock_virtual_new(START_MS);
	bp_random_init(&node->random, 1);
	node->store = bp_qstore_new(node->clock, &node->random, 1);
	sharding.clock = bp_clock_virtual_clock(node->clock);
	sharding.shards = 1;
	node->sharding = bp_sharding_new(&sharding);
	node->executors.forget = forget;
	options.clock = sharding.clock;
	node->view = bp_qstore_view(node->store);
	options.store = bp_qstore_interface(node->view);
	options.executors = &node->executors;
	options.node = "n";
	options.address = "10.0.0.9:7000";
	options.topic = "jobs";
	options.sharding = node->sharding;
	options.limits.status_keep_s = 3600;
	options.watch_executors = on_follow;
	options.unfit = on_unfit;
	options.data = node;
	node->shards = bp_owned_shards_new(&options);
	return node;
}

static void
node_free(node_t *node)
{
	bp_owned_shards_free(node->shards);
	bp_sharding_free(node->sharding);
	bp_qstore_free(node->store);
	bp_clock_virtual_free(node->clock);
	g_free(node);
}

/* Delivers the answer to a join that was sent ago_ms ago; it assigns the
 * shard. */
static void
assign_shard(node_t *node, int64_t ago_ms)
{
	const bp_clock_t *clock = bp_clock_virtual_clock(node->clock);
	bool shards[] = {true};

	bp_owned_shards_set_assigned(
	    node->shards, shards, bp_clock_mono_ms(clock) - ago_ms);
}

/* Guards against a process that was paused before it read the answer to a join
 * and takes the shard with an expired membership. */
static void
test_an_old_answer_takes_no_shard(void)
{
	node_t *node = node_new();

	assign_shard(node, EXPIRED_MS);
	bp_clock_virtual_run_ms(node->clock, SETTLE_MS);
	CU_ASSERT_EQUAL(bp_qstore_appends(node->store), 0);
	assign_shard(node, 0);
	bp_clock_virtual_run_ms(node->clock, SETTLE_MS);
	CU_ASSERT_EQUAL(bp_qstore_appends(node->store), 1);
	node_free(node);
}

/* Guards against a claim after the membership has expired: it would fence the
 * node to which the group has assigned the shard since. */
static void
test_nothing_is_claimed_after_the_membership(void)
{
	node_t *node = node_new();

	bp_qstore_set_delay_ms(node->store, EXPIRED_MS);
	assign_shard(node, 0);
	bp_clock_virtual_run_ms(node->clock, EXPIRED_MS + SETTLE_MS);
	bp_qstore_set_delay_ms(node->store, 4);
	bp_clock_virtual_run_ms(node->clock, EXPIRED_MS + SETTLE_MS);
	CU_ASSERT_EQUAL(bp_qstore_appends(node->store), 0);
	assign_shard(node, 0);
	assign_shard(node, 0);
	bp_clock_virtual_run_ms(node->clock, SETTLE_MS);
	CU_ASSERT_EQUAL(bp_qstore_appends(node->store), 1);
	node_free(node);
}

/* Guards against a membership that is counted from the answer to a join: it is
 * valid from the time at which the join was sent. */
static void
test_the_membership_counts_from_the_call(void)
{
	node_t *node = node_new();
	bp_shard_t *shard;

	assign_shard(node, BP_SHARD_MEMBERSHIP_MS - SETTLE_MS);
	shard = bp_owned_shards_by_number(node->shards)[0];
	CU_ASSERT_PTR_NOT_NULL_FATAL(shard);
	bp_clock_virtual_run_ms(node->clock, SETTLE_MS);
	CU_ASSERT_FALSE(bp_shard_confirm_membership(
	    shard, bp_clock_mono_ms(bp_clock_virtual_clock(node->clock))));
	node_free(node);
}

/* Guards against a shard that is kept although it is not served any more, or
 * not yet. */
static void
test_only_a_valid_shard_is_served(void)
{
	node_t *node = node_new();

	CU_ASSERT_FALSE(bp_owned_shards_serves(node->shards, 0));
	assign_shard(node, 0);
	CU_ASSERT_FALSE(bp_owned_shards_serves(node->shards, 0));
	bp_clock_virtual_run_ms(node->clock, SETTLE_MS);
	CU_ASSERT_TRUE(bp_owned_shards_serves(node->shards, 0));
	bp_clock_virtual_run_ms(node->clock, EXPIRED_MS);
	CU_ASSERT_FALSE(bp_owned_shards_serves(node->shards, 0));
	assign_shard(node, 0);
	bp_clock_virtual_run_ms(node->clock, SETTLE_MS);
	assign_shard(node, 0);
	CU_ASSERT_FALSE(bp_owned_shards_serves(node->shards, 0));
	bp_clock_virtual_run_ms(node->clock, SETTLE_MS);
	CU_ASSERT_TRUE(bp_owned_shards_serves(node->shards, 0));
	bp_owned_shards_release(node->shards);
	CU_ASSERT_FALSE(bp_owned_shards_serves(node->shards, 0));
	node_free(node);
}

/* Lets time pass in which all joins are answered. */
static void
run_as_member(node_t *node, int64_t duration_ms)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += JOIN_MS) {
		assign_shard(node, 0);
		bp_clock_virtual_run_ms(node->clock, JOIN_MS);
	}
}

/* Guards against a takeover that is given up because the store is slow. */
static void
test_a_slow_takeover_is_not_given_up(void)
{
	node_t *node = node_new();

	/* The records are read and the shard is claimed. */
	bp_qstore_set_delay_ms(node->store, TAKEOVER_MS / 2);
	run_as_member(node, TAKEOVER_MS - SETTLE_MS);
	CU_ASSERT_FALSE(bp_owned_shards_serves(node->shards, 0));
	run_as_member(node, 2 * SETTLE_MS);
	CU_ASSERT_TRUE(bp_owned_shards_serves(node->shards, 0));
	run_as_member(node, 2 * TAKEOVER_MS);
	CU_ASSERT_EQUAL(node->unfit, 0);
	node_free(node);
}

/* Guards against a takeover without end whose node says so only once, when no
 * other node may have been there to take the shard. */
static void
test_a_takeover_without_end_is_reported(void)
{
	node_t *node = node_new();

	bp_qstore_set_mode(node->view, BP_QSTORE_SILENT_APPENDS);
	run_as_member(node, TAKEOVER_MS);
	CU_ASSERT_EQUAL(node->unfit, 0);
	run_as_member(node, TAKEOVER_MS);
	CU_ASSERT_TRUE(node->unfit >= 1);
	run_as_member(node, TAKEOVER_MS);
	CU_ASSERT_TRUE(node->unfit >= 2);
	node_free(node);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"an old answer takes no shard", test_an_old_answer_takes_no_shard},
	    {"nothing is claimed after the membership",
		test_nothing_is_claimed_after_the_membership},
	    {"the membership counts from the call",
		test_the_membership_counts_from_the_call},
	    {"only a valid shard is served", test_only_a_valid_shard_is_served},
	    {"a slow takeover is not given up",
		test_a_slow_takeover_is_not_given_up},
	    {"a takeover without end is reported",
		test_a_takeover_without_end_is_reported},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/permits", tests);
}
