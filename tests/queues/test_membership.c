#include "bulrushpost/shard.h"
#include "queues/membership.h"
#include "support/queuestore.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>

#define SHARDS 2
#define MEMBERS 3
#define HELLO_MS 500
#define START_MS 1000000

/* A member of the group and the shards that are assigned to it. */
typedef struct {
	bp_qstore_view_t *view;
	bp_membership_t *membership;
	char address[32];
	bool holds[SHARDS];
	uint32_t told; /* number of calls of on_held */
} member_t;

typedef struct {
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	member_t members[MEMBERS];
} fixture_t;

static void
on_held(const bool *shards, int64_t sent_mono_ms, void *data)
{
	member_t *member = data;

	(void)sent_mono_ms;
	member->told++;
	memcpy(member->holds, shards, sizeof(member->holds));
}

static fixture_t *
fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->clock = bp_clock_virtual_new(START_MS);
	bp_random_init(&fixture->random, 1);
	fixture->store =
	    bp_qstore_new(fixture->clock, &fixture->random, SHARDS);
	return fixture;
}

static void
join(fixture_t *fixture, uint32_t index, bool standby)
{
	member_t *member = &fixture->members[index];
	bp_membership_options_t options = {0};

	member->view = bp_qstore_view(fixture->store);
	snprintf(
	    member->address, sizeof(member->address), "10.0.0.%u:7000", index);
	options.clock = bp_clock_virtual_clock(fixture->clock);
	options.store = bp_qstore_interface(member->view);
	options.topic = "jobs";
	options.address = member->address;
	options.incarnation = index + 1;
	options.shards = SHARDS;
	options.standby = standby;
	options.held = on_held;
	options.data = member;
	member->membership = bp_membership_new(&options);
}

static void
leave(fixture_t *fixture, uint32_t index)
{
	bp_membership_free(fixture->members[index].membership);
	fixture->members[index].membership = NULL;
	memset(fixture->members[index].holds, 0, SHARDS);
}

static uint32_t
held(const member_t *member)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < SHARDS; i++)
		n += member->holds[i];
	return n;
}

/* Lets time pass, in which the owner of a shard answers the heartbeats of all
 * other members. No shard may have two owners in the end. */
static void
pass(fixture_t *fixture, int64_t duration_ms)
{
	int64_t passed_ms;
	uint32_t i;
	uint32_t k;
	uint32_t shard;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += HELLO_MS) {
		bp_clock_virtual_run_ms(fixture->clock, HELLO_MS);
		for (i = 0; i < MEMBERS * MEMBERS; i++) {
			const member_t *owner = &fixture->members[i / MEMBERS];
			member_t *other = &fixture->members[i % MEMBERS];

			for (shard = 0; shard < SHARDS; shard++) {
				if (owner->holds[shard] &&
				    other->membership != NULL)
					bp_membership_owner_answered(
					    other->membership, shard);
			}
		}
	}
	for (k = 0; k < SHARDS; k++) {
		uint32_t owners = 0;

		for (i = 0; i < MEMBERS; i++)
			owners += fixture->members[i].holds[k];
		CU_ASSERT_TRUE(owners <= 1);
	}
}

static void
fixture_free(fixture_t *fixture)
{
	uint32_t i;

	for (i = 0; i < MEMBERS; i++)
		leave(fixture, i);
	bp_qstore_free(fixture->store);
	bp_clock_virtual_free(fixture->clock);
	g_free(fixture);
}

/* A standby owns no shard while a preferred node lives, and all without one. */
static void
test_a_standby_owns_only_without_others(void)
{
	fixture_t *fixture = fixture_new();

	join(fixture, 0, true);
	join(fixture, 1, false);
	pass(fixture, 20000);
	CU_ASSERT_EQUAL(held(&fixture->members[0]), 0);
	CU_ASSERT_EQUAL(held(&fixture->members[1]), SHARDS);
	leave(fixture, 1);
	pass(fixture, 15000);
	CU_ASSERT_EQUAL(held(&fixture->members[0]), SHARDS);
	fixture_free(fixture);
}

/*
 * An owner that a standby does not hear of, but that renews its membership,
 * keeps its shards: a standby that joined would have them assigned again.
 */
static void
test_a_silent_owner_that_renews_is_kept(void)
{
	fixture_t *fixture = fixture_new();
	uint32_t i;

	join(fixture, 0, true);
	join(fixture, 1, false);
	for (i = 0; i < 18; i++) {
		bp_clock_virtual_run_ms(fixture->clock, HELLO_MS);
		CU_ASSERT_EQUAL(held(&fixture->members[0]), 0);
	}
	CU_ASSERT_EQUAL(held(&fixture->members[1]), SHARDS);
	fixture_free(fixture);
}

/* A preferred node that returns gets the shards back. */
static void
test_a_standby_gives_its_shards_up(void)
{
	fixture_t *fixture = fixture_new();

	join(fixture, 0, true);
	pass(fixture, 10000);
	CU_ASSERT_EQUAL(held(&fixture->members[0]), SHARDS);
	bp_membership_prefer_others(fixture->members[0].membership);
	join(fixture, 1, false);
	pass(fixture, 3000);
	fixture->members[0].told = 0;
	pass(fixture, 1000);
	/* A shard whose records were not stored before is still released. */
	CU_ASSERT_TRUE(fixture->members[0].told > 0);
	CU_ASSERT_EQUAL(held(&fixture->members[0]), 0);
	CU_ASSERT_EQUAL(held(&fixture->members[1]), SHARDS);
	pass(fixture, 10000);
	CU_ASSERT_EQUAL(held(&fixture->members[0]), 0);
	fixture_free(fixture);
}

/* A store whose answer to a join is triggered by the test. */
typedef struct {
	bp_store_t interface;
	bp_store_done_t joined;
	void *data;
	uint32_t left;
} slow_store_t;

static void
slow_join(bp_store_t *store, const char *group, const char *member,
    const char *topic, uint32_t ttl_ms, uint64_t generation,
    bp_store_done_t done, void *data)
{
	slow_store_t *slow = (slow_store_t *)store;

	(void)group;
	(void)member;
	(void)topic;
	(void)ttl_ms;
	(void)generation;
	slow->joined = done;
	slow->data = data;
}

static void
slow_leave(bp_store_t *store, const char *group, const char *member,
    bp_store_done_t done, void *data)
{
	(void)group;
	(void)member;
	(void)done;
	(void)data;
	((slow_store_t *)store)->left++;
}

static void
slow_owners(
    bp_store_t *store, const char *group, bp_store_done_t done, void *data)
{
	(void)store;
	(void)group;
	(void)done;
	(void)data;
}

static void
slow_forget(bp_store_t *store, void *data)
{
	(void)store;
	(void)data;
}

/*
 * A join in flight may reach the store after the leave request; a node that
 * has ended would then keep shards until its membership expires. Leaving
 * therefore waits for the join.
 */
static void
test_leaving_waits_for_a_join(void)
{
	static const bp_store_outcome_t outcomes[] = {
	    BP_STORE_OK, BP_STORE_UNKNOWN};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		bp_clock_virtual_t *clock = bp_clock_virtual_new(START_MS);
		slow_store_t slow = {{0}, NULL, NULL, 0};
		bp_membership_options_t options = {0};
		bp_store_result_t result = {0};
		member_t member = {0};

		slow.interface.join = slow_join;
		slow.interface.leave = slow_leave;
		slow.interface.owners = slow_owners;
		slow.interface.forget = slow_forget;
		options.clock = bp_clock_virtual_clock(clock);
		options.store = &slow.interface;
		options.topic = "jobs";
		options.address = "10.0.0.1:7000";
		options.shards = SHARDS;
		options.held = on_held;
		options.data = &member;
		member.membership = bp_membership_new(&options);
		bp_membership_leave(member.membership);
		CU_ASSERT_EQUAL(slow.left, 0);
		result.outcome = outcomes[i];
		result.holdings =
		    g_array_new(FALSE, TRUE, sizeof(bp_store_holding_t));
		slow.joined(&result, slow.data);
		CU_ASSERT_EQUAL(slow.left, 1);
		CU_ASSERT_EQUAL(member.told, 0);
		bp_membership_leave(member.membership);
		bp_clock_virtual_run_ms(clock, START_MS);
		CU_ASSERT_EQUAL(slow.left, 1);
		g_array_unref((GArray *)result.holdings);
		bp_membership_free(member.membership);
		bp_clock_virtual_free(clock);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a standby owns only without others",
		test_a_standby_owns_only_without_others},
	    {"a silent owner that renews is kept",
		test_a_silent_owner_that_renews_is_kept},
	    {"a standby gives its shards up",
		test_a_standby_gives_its_shards_up},
	    {"leaving waits for a join", test_leaving_waits_for_a_join},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/membership", tests);
}
