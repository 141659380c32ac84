#include "bulrushpost/admission.h"
#include "support/runner.h"

#include <string.h>

#define MIB ((uint64_t)1024 * 1024)
#define CONNECTIONS 8

typedef struct {
	bp_clock_virtual_t *clock;
	bp_metrics_t *metrics;
	bp_admission_t *admission;
	bp_admitted_t *all[CONNECTIONS];
	bool closed[CONNECTIONS];
} fixture_t;

static void
on_close(void *data)
{
	*(bool *)data = true;
}

/* A machine of 64 MB: an account of 16 MB, 12 of them for HTTP. */
static void
setup(fixture_t *fixture, uint32_t connections_max)
{
	bp_admission_options_t options;
	size_t i;

	memset(fixture, 0, sizeof(*fixture));
	fixture->clock = bp_clock_virtual_new(1000);
	fixture->metrics = bp_metrics_new();
	bp_admission_options_init(&options, 64, 4100);
	options.clock = bp_clock_virtual_clock(fixture->clock);
	options.metrics = fixture->metrics;
	options.manual = true;
	for (i = 0; i < BP_ADMISSION_ADDRESSES; i++)
		options.connections_max[i] = connections_max;
	fixture->admission = bp_admission_new(&options);
}

static void
teardown(fixture_t *fixture)
{
	size_t i;

	for (i = 0; i < CONNECTIONS; i++)
		bp_admitted_leave(fixture->all[i]);
	CU_ASSERT_EQUAL(bp_admission_bytes(fixture->admission), 0);
	CU_ASSERT_EQUAL(
	    bp_admission_connections(fixture->admission, BP_ADMISSION_CALLERS),
	    0);
	bp_admission_free(fixture->admission);
	bp_metrics_free(fixture->metrics);
	bp_clock_virtual_free(fixture->clock);
}

static bool
enter_at(fixture_t *fixture, size_t i, bp_admission_address_t address)
{
	fixture->all[i] = bp_admission_enter(
	    fixture->admission, address, on_close, &fixture->closed[i]);
	return fixture->all[i] != NULL;
}

static bool
enter(fixture_t *fixture, size_t i)
{
	return enter_at(fixture, i, BP_ADMISSION_CALLERS);
}

/* Lets time pass in steps that the admission counts in full. */
static void
pass(fixture_t *fixture, int64_t ms)
{
	for (; ms > 0; ms -= 500) {
		bp_clock_virtual_advance_us(
		    fixture->clock, MIN(ms, 500) * 1000);
		bp_admission_check(fixture->admission);
	}
}

static void
set_phase(fixture_t *fixture, size_t i, bp_admitted_phase_t phase)
{
	bp_admitted_set_phase(fixture->all[i], phase);
}

/* Guards against new callers that are kept out by idle connections. */
static void
test_longest_idle_goes(void)
{
	fixture_t fixture;

	setup(&fixture, 3);
	CU_ASSERT_TRUE(
	    enter(&fixture, 0) && enter(&fixture, 1) && enter(&fixture, 2));
	set_phase(&fixture, 0, BP_ADMITTED_IDLE); /* after a request */
	CU_ASSERT_TRUE(enter(&fixture, 3));
	CU_ASSERT_TRUE(fixture.closed[1]);
	CU_ASSERT_TRUE(bp_admitted_closing(fixture.all[1]));
	set_phase(&fixture, 0, BP_ADMITTED_BODY);
	set_phase(&fixture, 3, BP_ADMITTED_SERVED);
	CU_ASSERT_TRUE(enter(&fixture, 4));
	CU_ASSERT_TRUE(fixture.closed[2]);
	teardown(&fixture);
}

/* Without an idle one the unfinished one that began first goes. */
static void
test_slowest_goes(void)
{
	fixture_t fixture;

	setup(&fixture, 2);
	CU_ASSERT_TRUE(enter(&fixture, 0) && enter(&fixture, 1));
	set_phase(&fixture, 1, BP_ADMITTED_HEAD);
	pass(&fixture, 1000);
	set_phase(&fixture, 0, BP_ADMITTED_BODY);
	CU_ASSERT_TRUE(enter(&fixture, 2));
	CU_ASSERT_TRUE(fixture.closed[1] && !fixture.closed[0]);
	teardown(&fixture);
}

/* Guards against a request that is cut off while it may be accepted. */
static void
test_served_stay(void)
{
	fixture_t fixture;

	setup(&fixture, 2);
	CU_ASSERT_TRUE(enter(&fixture, 0) && enter(&fixture, 1));
	set_phase(&fixture, 0, BP_ADMITTED_SERVED);
	set_phase(&fixture, 1, BP_ADMITTED_SERVED);
	CU_ASSERT_FALSE(enter(&fixture, 2));
	pass(&fixture, 60000);
	CU_ASSERT_FALSE(fixture.closed[0] || fixture.closed[1]);
	/* Another address has a bound of its own. */
	CU_ASSERT_TRUE(enter_at(&fixture, 3, BP_ADMISSION_READY));
	teardown(&fixture);
}

/* Guards against unfinished requests that fill the memory. */
static void
test_memory(void)
{
	fixture_t fixture;
	size_t i;

	setup(&fixture, CONNECTIONS);
	for (i = 0; i < 3; i++) {
		CU_ASSERT_TRUE(enter(&fixture, i));
		set_phase(&fixture, i, BP_ADMITTED_BODY);
		CU_ASSERT_TRUE(bp_admitted_set_bytes(fixture.all[i], 3 * MIB));
	}
	/* 13 MB would be more than 12. */
	CU_ASSERT_TRUE(enter(&fixture, 3));
	CU_ASSERT_TRUE(bp_admitted_set_bytes(fixture.all[3], 4 * MIB));
	CU_ASSERT_TRUE(fixture.closed[0] && !fixture.closed[1]);
	CU_ASSERT_FALSE(bp_admitted_set_bytes(fixture.all[0], 1));
	/* Nothing is closed for what can never fit, once none is left. */
	set_phase(&fixture, 1, BP_ADMITTED_SERVED);
	set_phase(&fixture, 2, BP_ADMITTED_SERVED);
	CU_ASSERT_FALSE(bp_admitted_set_bytes(fixture.all[3], 7 * MIB));
	CU_ASSERT_EQUAL(bp_admitted_bytes(fixture.all[3]), 4 * MIB);
	/* Less is always possible. */
	CU_ASSERT_TRUE(bp_admitted_set_bytes(fixture.all[3], 0));
	teardown(&fixture);
}

/* Guards against other nodes that are cut off by callers. */
static void
test_reserve_of_control(void)
{
	fixture_t fixture;

	setup(&fixture, CONNECTIONS);
	CU_ASSERT_TRUE(enter(&fixture, 0));
	set_phase(&fixture, 0, BP_ADMITTED_SERVED);
	CU_ASSERT_TRUE(bp_admitted_set_bytes(fixture.all[0], 12 * MIB - 20000));
	CU_ASSERT_FALSE(enter(&fixture, 1));
	CU_ASSERT_TRUE(enter_at(&fixture, 2, BP_ADMISSION_CONTROL));
	CU_ASSERT_TRUE(bp_admitted_set_bytes(fixture.all[2], 3 * MIB));
	pass(&fixture, 60000);
	CU_ASSERT_FALSE(fixture.closed[2]);
	teardown(&fixture);
}

/* Guards against connections that never end what they began. */
static void
test_ages(void)
{
	fixture_t fixture;
	size_t i;

	setup(&fixture, CONNECTIONS);
	for (i = 0; i < 4; i++)
		CU_ASSERT_TRUE(enter(&fixture, i));
	set_phase(&fixture, 1, BP_ADMITTED_HEAD);
	set_phase(&fixture, 2, BP_ADMITTED_BODY);
	set_phase(&fixture, 3, BP_ADMITTED_ANSWER);
	pass(&fixture, 2500);
	set_phase(&fixture, 1, BP_ADMITTED_HEAD); /* is no new head */
	pass(&fixture, 500);
	CU_ASSERT_FALSE(fixture.closed[1]);
	pass(&fixture, 500);
	CU_ASSERT_TRUE(fixture.closed[1]);
	pass(&fixture, 11500);
	CU_ASSERT_FALSE(
	    fixture.closed[0] || fixture.closed[2] || fixture.closed[3]);
	pass(&fixture, 500);
	CU_ASSERT_TRUE(
	    fixture.closed[0] && fixture.closed[2] && fixture.closed[3]);
	CU_ASSERT_EQUAL(bp_metric_value(bp_metrics_counter(fixture.metrics,
			    "bp_caller_limits", "address", "callers", "reason",
			    "body too slow", NULL)),
	    1);
	teardown(&fixture);
}

/*
 * Guards against connections that are closed before their time: the age counts
 * from the moment a phase begins, not from the check before it, however late
 * the checks are.
 */
static void
test_ages_begin_between_checks(void)
{
	fixture_t fixture;
	size_t i;

	setup(&fixture, CONNECTIONS);
	bp_clock_virtual_advance_us(fixture.clock, 499 * 1000);
	CU_ASSERT_TRUE(enter(&fixture, 0) && enter(&fixture, 1));
	set_phase(&fixture, 1, BP_ADMITTED_HEAD);
	for (i = 0; i < 29; i++) {
		bp_clock_virtual_advance_us(fixture.clock, 501 * 1000);
		bp_admission_check(fixture.admission);
		if (i == 4)
			CU_ASSERT_FALSE(fixture.closed[1]);
	}
	CU_ASSERT_TRUE(fixture.closed[1]);
	CU_ASSERT_FALSE(fixture.closed[0]);
	pass(&fixture, 1000);
	CU_ASSERT_TRUE(fixture.closed[0]);
	teardown(&fixture);
}

/* Guards against callers that are cut off because this process was paused. */
static void
test_pause(void)
{
	fixture_t fixture;

	setup(&fixture, CONNECTIONS);
	CU_ASSERT_TRUE(enter(&fixture, 0));
	set_phase(&fixture, 0, BP_ADMITTED_HEAD);
	bp_clock_virtual_advance_us(fixture.clock, 60 * G_USEC_PER_SEC);
	bp_admission_check(fixture.admission);
	CU_ASSERT_FALSE(fixture.closed[0]);
	pass(&fixture, 2500);
	CU_ASSERT_TRUE(fixture.closed[0]);
	teardown(&fixture);
}

/* The bounds leave descriptors for the store, other nodes and executors. */
static void
test_defaults(void)
{
	bp_admission_options_t options;
	uint32_t sum = 0;
	size_t i;

	bp_admission_options_init(&options, 160, 4100);
	for (i = 0; i < BP_ADMISSION_ADDRESSES; i++)
		sum += options.connections_max[i];
	CU_ASSERT_EQUAL(options.bytes_max, 40 * MIB);
	CU_ASSERT_EQUAL(options.connections_max[BP_ADMISSION_CALLERS], 1025);
	CU_ASSERT_TRUE(sum < 4100 / 2);
	bp_admission_options_init(&options, 64, 512);
	for (i = 0; i < BP_ADMISSION_ADDRESSES; i++)
		CU_ASSERT_TRUE(options.connections_max[i] > 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"the longest idle goes", test_longest_idle_goes},
	    {"the slowest goes", test_slowest_goes},
	    {"served ones stay", test_served_stay},
	    {"memory", test_memory},
	    {"reserve of control", test_reserve_of_control},
	    {"ages", test_ages},
	    {"ages begin between checks", test_ages_begin_between_checks},
	    {"pause", test_pause},
	    {"defaults", test_defaults},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("admission", tests);
}
