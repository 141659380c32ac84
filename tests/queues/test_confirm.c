#include "queues/confirm.h"
#include "support/runner.h"

#include <string.h>

/* Time within which an accepted configuration has to be in force. */
#define LIMIT_MS 2000
/* Duration of a loop iteration of a busy owner, and the iterations that one
 * read of the store takes. */
#define TURN_MS 300
#define READ_TURNS 16

typedef struct {
	bp_clock_virtual_t *clock;
	bp_confirm_t *confirm;
	uint32_t asked;
	uint32_t confirmed;
	uint32_t refused;
} fixture_t;

static void
on_ask(void *data)
{
	((fixture_t *)data)->asked++;
}

static void
on_done(bool confirmed, void *data)
{
	fixture_t *fixture = data;

	if (confirmed)
		fixture->confirmed++;
	else
		fixture->refused++;
}

static void
setup(fixture_t *fixture)
{
	bp_confirm_options_t options = {0};

	memset(fixture, 0, sizeof(*fixture));
	fixture->clock = bp_clock_virtual_new(1000);
	options.clock = bp_clock_virtual_clock(fixture->clock);
	options.limit_ms = LIMIT_MS;
	options.ask = on_ask;
	options.data = fixture;
	fixture->confirm = bp_confirm_new(&options);
}

static void
teardown(fixture_t *fixture)
{
	bp_confirm_free(fixture->confirm);
	bp_clock_virtual_free(fixture->clock);
}

static int64_t
now_ms(const fixture_t *fixture)
{
	return bp_clock_mono_ms(bp_clock_virtual_clock(fixture->clock));
}

static void
call(fixture_t *fixture)
{
	bp_confirm_run(fixture->confirm, on_done, fixture);
}

/*
 * Guards against an owner that answers from an old configuration: its loop
 * iterations take 0.3 s and a read takes 16 of them, so that the result is
 * 4.8 s old. Calls within the bound are answered at once, later ones after a
 * refresh.
 */
static void
test_a_busy_owner_asks_first(void)
{
	fixture_t fixture;
	int64_t sent_ms;

	setup(&fixture);
	bp_confirm_told(fixture.confirm, now_ms(&fixture));
	bp_clock_virtual_run_ms(fixture.clock, LIMIT_MS);
	call(&fixture);
	CU_ASSERT_EQUAL(fixture.confirmed, 1);
	sent_ms = now_ms(&fixture) - LIMIT_MS;
	bp_clock_virtual_run_ms(fixture.clock, READ_TURNS * TURN_MS - LIMIT_MS);
	call(&fixture);
	call(&fixture);
	CU_ASSERT_EQUAL(fixture.confirmed, 1);
	CU_ASSERT_EQUAL(fixture.asked, 1);
	/* The answer to a read that was sent too long ago confirms nothing. */
	bp_confirm_told(fixture.confirm, sent_ms);
	CU_ASSERT_EQUAL(fixture.confirmed, 1);
	bp_confirm_told(fixture.confirm, now_ms(&fixture) - TURN_MS);
	CU_ASSERT_EQUAL(fixture.confirmed, 3);
	CU_ASSERT_EQUAL(fixture.refused, 0);
	teardown(&fixture);
}

/* After a start, a pause or a partition a call needs a refresh. */
static void
test_nothing_is_known_at_the_start(void)
{
	fixture_t fixture;

	setup(&fixture);
	call(&fixture);
	CU_ASSERT_EQUAL(fixture.asked, 1);
	CU_ASSERT_EQUAL(fixture.confirmed + fixture.refused, 0);
	bp_confirm_told(fixture.confirm, now_ms(&fixture));
	CU_ASSERT_EQUAL(fixture.confirmed, 1);
	teardown(&fixture);
}

/* A store that does not answer delays one call, but not each later one. */
static void
test_a_silent_store_holds_up_few(void)
{
	fixture_t fixture;

	setup(&fixture);
	bp_confirm_told(fixture.confirm, now_ms(&fixture));
	bp_clock_virtual_run_ms(fixture.clock, LIMIT_MS + 1);
	call(&fixture);
	bp_clock_virtual_run_ms(fixture.clock, LIMIT_MS / 4);
	CU_ASSERT_EQUAL(fixture.refused, 1);
	call(&fixture);
	CU_ASSERT_EQUAL(fixture.refused, 2);
	CU_ASSERT_EQUAL(fixture.asked, 1);
	/* The refresh is repeated after the back-off. */
	bp_clock_virtual_run_ms(fixture.clock, LIMIT_MS);
	call(&fixture);
	CU_ASSERT_EQUAL(fixture.asked, 2);
	bp_confirm_give_up(fixture.confirm);
	CU_ASSERT_EQUAL(fixture.refused, 3);
	teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a busy owner asks first", test_a_busy_owner_asks_first},
	    {"nothing is known at the start",
		test_nothing_is_known_at_the_start},
	    {"a silent store holds up few", test_a_silent_store_holds_up_few},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/confirm", tests);
}
