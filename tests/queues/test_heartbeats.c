#include "queues/heartbeats.h"
#include "support/runner.h"

#include <string.h>

/* Heartbeats of a node to the owner of one shard, under a virtual clock. */
typedef struct {
	bp_clock_virtual_t *clock;
	bp_heartbeats_t *heartbeats;
	const char *owner;
	uint32_t sent;
	char last[32]; /* receiver of the last heartbeat */
} fixture_t;

static const char *
get_owner(uint32_t shard, void *data)
{
	(void)shard;
	return ((fixture_t *)data)->owner;
}

static void
count_heartbeat(uint32_t shard, const char *owner, void *data)
{
	fixture_t *fixture = data;

	CU_ASSERT_EQUAL(shard, 0);
	fixture->sent++;
	(void)g_strlcpy(fixture->last, owner, sizeof(fixture->last));
}

static void
fixture_setup(fixture_t *fixture)
{
	bp_heartbeats_options_t options = {0};

	fixture->clock = bp_clock_virtual_new(1000);
	options.clock = bp_clock_virtual_clock(fixture->clock);
	options.shards = 1;
	options.owner = get_owner;
	options.send = count_heartbeat;
	options.data = fixture;
	fixture->heartbeats = bp_heartbeats_new(&options);
}

static void
fixture_teardown(fixture_t *fixture)
{
	bp_heartbeats_free(fixture->heartbeats);
	bp_clock_virtual_free(fixture->clock);
}

/* Guards against a new owner that learns of its order proxies only with their
 * next regular heartbeats. */
static void
test_a_new_owner_gets_a_heartbeat_at_once(void)
{
	fixture_t fixture = {.owner = "a"};

	fixture_setup(&fixture);
	bp_clock_virtual_run_ms(fixture.clock, 150);
	CU_ASSERT_EQUAL(fixture.sent, 1);
	bp_heartbeats_answered(fixture.heartbeats, 0, true);
	fixture.owner = "b";
	bp_clock_virtual_run_ms(fixture.clock, 150);
	CU_ASSERT_EQUAL(fixture.sent, 2);
	CU_ASSERT_STRING_EQUAL(fixture.last, "b");
	fixture_teardown(&fixture);
}

/* Guards against nodes that flood an owner, or a store that changes it often,
 * with heartbeats. */
static void
test_heartbeats_are_bounded(void)
{
	static const char *const owners[] = {"a", "b"};
	fixture_t fixture = {.owner = "a"};
	uint32_t i;

	fixture_setup(&fixture);
	for (i = 0; i < 300; i++) {
		fixture.owner = owners[i % G_N_ELEMENTS(owners)];
		bp_clock_virtual_run_ms(fixture.clock, 10);
	}
	CU_ASSERT_TRUE(fixture.sent <= 20);
	fixture.owner = "c";
	bp_clock_virtual_run_ms(fixture.clock, 150);
	bp_heartbeats_answered(fixture.heartbeats, 0, true);
	fixture.sent = 0;
	bp_clock_virtual_run_ms(fixture.clock, 7500);
	/* Ticks of 0.15 s make the interval 0.75 s. */
	CU_ASSERT_EQUAL(fixture.sent, 10);
	fixture_teardown(&fixture);
}

/* Guards against a node that waits long before it asks again, while the owner
 * that it knows gives the shard up or takes it over. */
static void
test_an_unconfirmed_owner_is_asked_sooner(void)
{
	fixture_t fixture = {.owner = "a"};

	fixture_setup(&fixture);
	bp_clock_virtual_run_ms(fixture.clock, 150);
	bp_heartbeats_answered(fixture.heartbeats, 0, false);
	fixture.sent = 0;
	bp_clock_virtual_run_ms(fixture.clock, 3000);
	CU_ASSERT_EQUAL(fixture.sent, 10);
	fixture.owner = NULL;
	bp_clock_virtual_run_ms(fixture.clock, 3000);
	CU_ASSERT_EQUAL(fixture.sent, 10);
	fixture_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a new owner gets a heartbeat at once",
		test_a_new_owner_gets_a_heartbeat_at_once},
	    {"heartbeats are bounded", test_heartbeats_are_bounded},
	    {"an unconfirmed owner is asked sooner",
		test_an_unconfirmed_owner_is_asked_sooner},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/heartbeats", tests);
}
