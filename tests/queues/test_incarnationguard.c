#include "queues/incarnationguard.h"
#include "support/runner.h"

#include <string.h>

#define BORN_MS 5000
#define CALLS_MAX 16

/* A client that answers each call as it is told, from the test. */
typedef struct {
	bp_executors_t interface;
	const char *kinds[CALLS_MAX];
	int64_t born_ms[CALLS_MAX]; /* of the target */
	uint64_t cursors[CALLS_MAX];
	char *payloads[CALLS_MAX];
	uint32_t calls;
	bp_exec_done_t done;
	void *data;
} client_t;

typedef struct {
	bp_clock_virtual_t *clock;
	client_t client;
	bp_incarnation_guard_t *guard;
	uint32_t ended;
	bp_exec_outcome_t outcome;
	int64_t born_ms;
} fixture_t;

static void
add_call(bp_executors_t *self, const char *kind, const bp_exec_target_t *target,
    bp_exec_done_t done, void *data)
{
	client_t *client = (client_t *)self;

	client->kinds[client->calls] = kind;
	client->born_ms[client->calls] = target->born_ms;
	client->calls++;
	client->done = done;
	client->data = data;
}

static void
client_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	client_t *client = (client_t *)self;

	client->payloads[client->calls] = g_strdup(start->payload);
	add_call(self, "start", target, done, data);
}

static void
client_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	client_t *client = (client_t *)self;

	client->cursors[client->calls] = poll->cursor;
	add_call(self, "poll", target, done, data);
}

static void
client_forget(bp_executors_t *self, void *data)
{
	client_t *client = (client_t *)self;

	if (client->data == data)
		client->done = NULL;
}

static void
on_end(const bp_exec_result_t *result, void *data)
{
	fixture_t *fixture = data;

	fixture->ended++;
	fixture->outcome = result->outcome;
	fixture->born_ms = result->born_ms;
}

static void
setup(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->clock = bp_clock_virtual_new(1000);
	fixture->client.interface.start = client_start;
	fixture->client.interface.poll = client_poll;
	fixture->client.interface.forget = client_forget;
	fixture->guard = bp_incarnation_guard_new(
	    bp_clock_virtual_clock(fixture->clock), &fixture->client.interface);
}

static void
teardown(fixture_t *fixture)
{
	uint32_t i;

	bp_incarnation_guard_free(fixture->guard);
	for (i = 0; i < fixture->client.calls; i++)
		g_free(fixture->client.payloads[i]);
	bp_clock_virtual_free(fixture->clock);
}

static void
start(fixture_t *fixture)
{
	bp_executors_t *guard = bp_incarnation_guard_interface(fixture->guard);
	char payload[] = "payload";
	bp_exec_target_t target = {"10.0.0.1:80", "i-1", "za", 3, BORN_MS};
	bp_exec_start_t order = {"t", 1, payload, 9000, NULL, NULL};

	guard->start(guard, &target, &order, on_end, fixture);
	/* The order is copied. */
	payload[0] = 'x';
}

static void
answer(fixture_t *fixture, bp_exec_outcome_t outcome, int64_t born_ms)
{
	GArray *empty = g_array_new(FALSE, FALSE, 1);
	bp_exec_result_t result = {0};

	result.outcome = outcome;
	result.born_ms = born_ms;
	if (outcome == BP_EXEC_OK) {
		result.running = empty;
		result.ended = empty;
	}
	fixture->client.done(&result, fixture->client.data);
	g_array_unref(empty);
}

/* A start without a connection of its incarnation is sent after a poll. */
static void
test_a_poll_confirms_the_incarnation(void)
{
	fixture_t fixture;

	setup(&fixture);
	start(&fixture);
	answer(&fixture, BP_EXEC_UNCONFIRMED, 0);
	CU_ASSERT_EQUAL(fixture.client.calls, 2);
	CU_ASSERT_STRING_EQUAL(fixture.client.kinds[1], "poll");
	CU_ASSERT_EQUAL(fixture.client.born_ms[1], 0);
	answer(&fixture, BP_EXEC_OK, BORN_MS);
	CU_ASSERT_EQUAL(fixture.client.calls, 3);
	CU_ASSERT_STRING_EQUAL(fixture.client.kinds[2], "start");
	CU_ASSERT_STRING_EQUAL(fixture.client.payloads[2], "payload");
	CU_ASSERT_EQUAL(fixture.client.born_ms[2], BORN_MS);
	CU_ASSERT_EQUAL(fixture.ended, 0);
	answer(&fixture, BP_EXEC_OK, BORN_MS);
	CU_ASSERT_EQUAL(fixture.ended, 1);
	CU_ASSERT_EQUAL(fixture.outcome, BP_EXEC_OK);
	teardown(&fixture);
}

/* Guards against a start that reaches a later incarnation. */
static void
test_another_incarnation_gets_no_start(void)
{
	fixture_t fixture;

	setup(&fixture);
	start(&fixture);
	answer(&fixture, BP_EXEC_UNCONFIRMED, 0);
	answer(&fixture, BP_EXEC_OK, BORN_MS + 1);
	CU_ASSERT_EQUAL(fixture.client.calls, 2);
	CU_ASSERT_EQUAL(fixture.outcome, BP_EXEC_OTHER_INCARNATION);
	teardown(&fixture);
}

/* Guards against polling an executor without end, and against sending a start
 * after whoever waits for it has given up. */
static void
test_confirmations_are_bounded(void)
{
	fixture_t fixture;

	setup(&fixture);
	start(&fixture);
	while (fixture.ended == 0 && fixture.client.calls < CALLS_MAX)
		answer(&fixture,
		    strcmp(fixture.client.kinds[fixture.client.calls - 1],
			"poll") == 0
			? BP_EXEC_OK
			: BP_EXEC_UNCONFIRMED,
		    BORN_MS);
	CU_ASSERT_EQUAL(fixture.ended, 1);
	CU_ASSERT_EQUAL(fixture.outcome, BP_EXEC_UNCONFIRMED);
	start(&fixture);
	answer(&fixture, BP_EXEC_UNCONFIRMED, 0);
	bp_clock_virtual_run_ms(fixture.clock, 500);
	answer(&fixture, BP_EXEC_OK, BORN_MS);
	CU_ASSERT_EQUAL(fixture.ended, 2);
	CU_ASSERT_EQUAL(fixture.outcome, BP_EXEC_UNCONFIRMED);
	teardown(&fixture);
}

/* Guards against acknowledging ends that a later incarnation has counted. */
static void
test_a_poll_acknowledges_to_its_incarnation(void)
{
	bp_exec_target_t target = {"10.0.0.1:80", "i-1", "za", 3, BORN_MS};
	bp_exec_poll_t poll = {7000, 12, 1500};
	bp_executors_t *guard;
	fixture_t fixture;

	setup(&fixture);
	guard = bp_incarnation_guard_interface(fixture.guard);
	guard->poll(guard, &target, &poll, on_end, &fixture);
	CU_ASSERT_EQUAL(fixture.client.cursors[0], 12);
	answer(&fixture, BP_EXEC_UNCONFIRMED, 0);
	CU_ASSERT_EQUAL(fixture.client.cursors[1], 0);
	answer(&fixture, BP_EXEC_OK, BORN_MS + 9);
	CU_ASSERT_EQUAL(fixture.outcome, BP_EXEC_OK);
	CU_ASSERT_EQUAL(fixture.born_ms, BORN_MS + 9);
	teardown(&fixture);
}

static void
test_failures_end_the_order(void)
{
	fixture_t fixture;

	setup(&fixture);
	start(&fixture);
	answer(&fixture, BP_EXEC_UNKNOWN, 0);
	CU_ASSERT_EQUAL(fixture.outcome, BP_EXEC_UNKNOWN);
	start(&fixture);
	answer(&fixture, BP_EXEC_UNCONFIRMED, 0);
	answer(&fixture, BP_EXEC_FENCED, 0);
	CU_ASSERT_EQUAL(fixture.outcome, BP_EXEC_FENCED);
	start(&fixture);
	answer(&fixture, BP_EXEC_UNCONFIRMED, 0);
	answer(&fixture, BP_EXEC_UNKNOWN, 0);
	CU_ASSERT_EQUAL(fixture.outcome, BP_EXEC_NOT_SENT);
	CU_ASSERT_EQUAL(fixture.ended, 3);
	teardown(&fixture);
}

/* Guards against callbacks for an owner that is gone. */
static void
test_forgotten_orders_end_silently(void)
{
	bp_executors_t *guard;
	fixture_t fixture;

	setup(&fixture);
	guard = bp_incarnation_guard_interface(fixture.guard);
	start(&fixture);
	guard->forget(guard, &fixture);
	CU_ASSERT_PTR_NULL(fixture.client.done);
	start(&fixture);
	bp_incarnation_guard_free(fixture.guard);
	CU_ASSERT_PTR_NULL(fixture.client.done);
	fixture.guard = NULL;
	CU_ASSERT_EQUAL(fixture.ended, 0);
	teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a poll confirms the incarnation",
		test_a_poll_confirms_the_incarnation},
	    {"another incarnation gets no start",
		test_another_incarnation_gets_no_start},
	    {"confirmations are bounded", test_confirmations_are_bounded},
	    {"a poll acknowledges to its incarnation",
		test_a_poll_acknowledges_to_its_incarnation},
	    {"failures end the order", test_failures_end_the_order},
	    {"forgotten orders end silently",
		test_forgotten_orders_end_silently},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/incarnationguard", tests);
}
