#include "queues/callretry.h"
#include "support/runner.h"

#define OWNER "10.0.0.1:7"
#define NEXT_OWNER "10.0.0.2:7"
/* 30 calls a second. */
#define CALL_INTERVAL_MS 33
#define STALL_MS 2000

typedef struct {
	bp_clock_virtual_t *clock;
	bp_call_retry_t *retry;
} fixture_t;

static void
setup(fixture_t *fixture)
{
	fixture->clock = bp_clock_virtual_new(1000000);
	fixture->retry =
	    bp_call_retry_new(bp_clock_virtual_clock(fixture->clock), 2);
}

static void
teardown(fixture_t *fixture)
{
	bp_call_retry_free(fixture->retry);
	bp_clock_virtual_free(fixture->clock);
}

static bool
send_to(fixture_t *fixture, const char *owner, bp_call_retry_kind_t kind)
{
	return bp_call_retry_send(fixture->retry, 0, owner, kind);
}

/* Sends new calls at the usual rate; returns how many the owner gets. */
static uint32_t
send_for(fixture_t *fixture, int64_t ms, bool answers)
{
	uint32_t sent = 0;

	for (; ms > 0; ms -= CALL_INTERVAL_MS) {
		if (send_to(fixture, OWNER, BP_CALL_RETRY_NEW))
			sent++;
		bp_clock_virtual_run_ms(fixture->clock, CALL_INTERVAL_MS);
		if (answers)
			bp_call_retry_answered(fixture->retry, 0, OWNER);
	}
	return sent;
}

/*
 * Guards against an owner that stalls while 30 calls a second go on to be sent
 * to it: each ends with an unknown outcome, and all of them wait for the owner
 * when it is back.
 */
static void
test_a_stalled_owner_gets_few_calls(void)
{
	fixture_t fixture;
	uint32_t sent;

	setup(&fixture);
	CU_ASSERT_EQUAL(send_for(&fixture, 990, true), 30);
	sent = send_for(&fixture, STALL_MS, false);
	/* 22 before the silence is noticed, then at most 4 a second. */
	CU_ASSERT_TRUE(sent >= 22 && sent <= 28);
	CU_ASSERT_FALSE(send_to(&fixture, OWNER, BP_CALL_RETRY_WAITED));
	/* Right after a call that was sent, no repeat is. */
	(void)send_to(&fixture, OWNER, BP_CALL_RETRY_NEW);
	CU_ASSERT_FALSE(send_to(&fixture, OWNER, BP_CALL_RETRY_REPEATED));
	/* One answer tells that it is back. */
	bp_call_retry_answered(fixture.retry, 0, OWNER);
	CU_ASSERT_TRUE(send_to(&fixture, OWNER, BP_CALL_RETRY_WAITED));
	CU_ASSERT_EQUAL(send_for(&fixture, 990, true), 30);
	teardown(&fixture);
}

/* Guards against calls that wait for an owner that was replaced, and against
 * late answers of the old one that count for the new one. */
static void
test_a_new_owner_gets_calls(void)
{
	fixture_t fixture;

	setup(&fixture);
	(void)send_for(&fixture, STALL_MS, false);
	CU_ASSERT_FALSE(send_to(&fixture, OWNER, BP_CALL_RETRY_WAITED));
	CU_ASSERT_TRUE(send_to(&fixture, NEXT_OWNER, BP_CALL_RETRY_WAITED));
	bp_clock_virtual_run_ms(fixture.clock, STALL_MS);
	bp_call_retry_answered(fixture.retry, 0, OWNER);
	CU_ASSERT_FALSE(send_to(&fixture, NEXT_OWNER, BP_CALL_RETRY_WAITED));
	/* The other shard has an owner of its own. */
	CU_ASSERT_TRUE(
	    bp_call_retry_send(fixture.retry, 1, OWNER, BP_CALL_RETRY_WAITED));
	teardown(&fixture);
}

/* Guards against a call that is refused although its node sends few calls and
 * the silence is an old one. */
static void
test_a_rare_call_is_sent(void)
{
	fixture_t fixture;

	setup(&fixture);
	CU_ASSERT_TRUE(send_to(&fixture, OWNER, BP_CALL_RETRY_NEW));
	bp_clock_virtual_run_ms(fixture.clock, STALL_MS);
	CU_ASSERT_TRUE(send_to(&fixture, OWNER, BP_CALL_RETRY_NEW));
	CU_ASSERT_FALSE(send_to(&fixture, OWNER, BP_CALL_RETRY_NEW));
	teardown(&fixture);
}

/* Guards against a repeat that is never sent, as the call before it is the only
 * one that could have told that the owner is back. */
static void
test_a_repeat_asks_a_stalled_owner(void)
{
	fixture_t fixture;

	setup(&fixture);
	CU_ASSERT_TRUE(send_to(&fixture, OWNER, BP_CALL_RETRY_NEW));
	bp_clock_virtual_run_ms(fixture.clock, 1200);
	CU_ASSERT_TRUE(send_to(&fixture, OWNER, BP_CALL_RETRY_REPEATED));
	bp_clock_virtual_run_ms(fixture.clock, 240);
	CU_ASSERT_FALSE(send_to(&fixture, OWNER, BP_CALL_RETRY_REPEATED));
	teardown(&fixture);
}

/* Guards against repeats that multiply the load of an owner: all nodes together
 * repeat one call in ten, and a quiet time saves no more than ten repeats. */
static void
test_repeats_are_a_part_of_the_calls(void)
{
	fixture_t fixture;
	uint32_t repeats = 0;
	uint32_t i;

	setup(&fixture);
	for (i = 0; i < 1000; i++) {
		CU_ASSERT_TRUE(send_to(&fixture, OWNER, BP_CALL_RETRY_NEW));
		bp_call_retry_answered(fixture.retry, 0, OWNER);
		if (send_to(&fixture, OWNER, BP_CALL_RETRY_REPEATED))
			repeats++;
	}
	CU_ASSERT_EQUAL(repeats, 103);
	for (i = 0; i < 1000; i++) {
		(void)send_to(&fixture, OWNER, BP_CALL_RETRY_NEW);
		bp_call_retry_answered(fixture.retry, 0, OWNER);
	}
	for (repeats = 0; send_to(&fixture, OWNER, BP_CALL_RETRY_REPEATED);)
		repeats++;
	CU_ASSERT_EQUAL(repeats, 10);
	teardown(&fixture);
}

/* Guards against calls that ask an owner that takes over 16 times a second. */
static void
test_delays_grow(void)
{
	static const uint32_t delays_ms[] = {60, 120, 240, 240};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(delays_ms); i++)
		CU_ASSERT_EQUAL(bp_call_retry_delay_ms(i + 1), delays_ms[i]);
	CU_ASSERT_EQUAL(bp_call_retry_delay_ms(UINT32_MAX), 240);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a stalled owner gets few calls",
		test_a_stalled_owner_gets_few_calls},
	    {"a new owner gets calls", test_a_new_owner_gets_calls},
	    {"a rare call is sent", test_a_rare_call_is_sent},
	    {"a repeat asks a stalled owner",
		test_a_repeat_asks_a_stalled_owner},
	    {"repeats are a part of the calls",
		test_repeats_are_a_part_of_the_calls},
	    {"delays grow", test_delays_grow},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/callretry", tests);
}
