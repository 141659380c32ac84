#include "queues/orderqueue.h"
#include "support/runner.h"

#include <string.h>

#define ORDERS_MAX 2000
#define ANSWER_MS 5
/* No turn of the event loop is shorter. */
#define TURN_MS 2

/* What was sent: its kind and the name of its executor. */
typedef struct {
	bp_order_kind_t kind;
	char id[16];
	char text[16]; /* of a start: its payload */
	int64_t sent_ms; /* mono */
	bp_exec_done_t done; /* NULL once answered or forgotten */
	void *data;
} sent_t;

/* A queue under a virtual clock and the executors behind it. */
typedef struct {
	bp_executors_t interface;
	bp_clock_virtual_t *clock;
	bp_order_queue_t *queue;
	bool silent; /* executors do not answer */
	bool rerouting; /* another node sends the orders */
	uint32_t rerouted;
	uint32_t dones; /* of orders that ended */
	bp_exec_result_t last; /* result of the last of them */
	uint32_t n_sent;
	sent_t sent[ORDERS_MAX];
} fixture_t;

static int64_t
now_ms(const fixture_t *fixture)
{
	return bp_clock_mono_ms(bp_clock_virtual_clock(fixture->clock));
}

static void
record(bp_executors_t *self, bp_order_kind_t kind,
    const bp_exec_target_t *target, bp_exec_done_t done, void *data)
{
	fixture_t *fixture = (fixture_t *)self;
	sent_t *sent = &fixture->sent[fixture->n_sent++];

	CU_ASSERT_TRUE_FATAL(fixture->n_sent < ORDERS_MAX);
	sent->kind = kind;
	(void)g_strlcpy(sent->id, target->id, sizeof(sent->id));
	sent->sent_ms = now_ms(fixture);
	sent->done = done;
	sent->data = data;
}

static void
record_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	fixture_t *fixture = (fixture_t *)self;

	(void)g_strlcpy(fixture->sent[fixture->n_sent].text, start->payload,
	    sizeof(fixture->sent[0].text));
	record(self, BP_ORDER_START, target, done, data);
}

static void
record_stop(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, bp_exec_done_t done, void *data)
{
	(void)task;
	(void)run;
	record(self, BP_ORDER_STOP, target, done, data);
}

static void
record_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	(void)poll;
	record(self, BP_ORDER_POLL, target, done, data);
}

static void
record_forget(bp_executors_t *self, void *data)
{
	fixture_t *fixture = (fixture_t *)self;
	uint32_t i;

	for (i = 0; i < fixture->n_sent; i++) {
		if (fixture->sent[i].data == data)
			fixture->sent[i].done = NULL;
	}
}

static bool
reroute(
    const bp_order_t *order, bp_exec_done_t done, void *done_data, void *data)
{
	fixture_t *fixture = data;

	(void)order;
	(void)done;
	(void)done_data;
	fixture->rerouted += fixture->rerouting;
	return fixture->rerouting;
}

static fixture_t *
fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	bp_order_queue_options_t options = {0};

	fixture->interface.start = record_start;
	fixture->interface.stop = record_stop;
	fixture->interface.poll = record_poll;
	fixture->interface.forget = record_forget;
	fixture->clock = bp_clock_virtual_new(1000);
	options.clock = bp_clock_virtual_clock(fixture->clock);
	options.executors = &fixture->interface;
	options.reroute = reroute;
	options.data = fixture;
	fixture->queue = bp_order_queue_new(&options);
	return fixture;
}

static void
fixture_free(fixture_t *fixture)
{
	bp_order_queue_free(fixture->queue);
	bp_clock_virtual_free(fixture->clock);
	g_free(fixture);
}

static void
on_done(const bp_exec_result_t *result, void *data)
{
	fixture_t *fixture = data;

	fixture->dones++;
	fixture->last = *result;
}

/* Adds an order to an executor with this name. */
static void
add_to(fixture_t *fixture, bp_order_kind_t kind, const char *name)
{
	char id[16];
	char text[16] = "work";
	bp_order_t order = {.kind = kind};

	(void)g_strlcpy(id, name, sizeof(id));
	order.target.id = id;
	if (kind == BP_ORDER_START)
		order.start.payload = text;
	bp_order_queue_add(fixture->queue, &order, on_done, fixture);
	/* The caller's texts are gone after the call. */
	memset(id, 'x', sizeof(id) - 1);
	memset(text, 'x', sizeof(text) - 1);
}

static void
add_polls(fixture_t *fixture, uint32_t count)
{
	while (count-- > 0)
		add_to(fixture, BP_ORDER_POLL, "polled");
}

/* Adds a poll that renews a lease. */
static void
add_lease_poll(fixture_t *fixture)
{
	bp_order_t order = {.kind = BP_ORDER_POLL};

	order.target.id = "leased";
	order.poll.deadline_ms = 1000000;
	bp_order_queue_add(fixture->queue, &order, on_done, fixture);
}

static void
answer_due(fixture_t *fixture)
{
	bp_exec_result_t result = {0};
	uint32_t i;

	for (i = 0; i < fixture->n_sent; i++) {
		sent_t *sent = &fixture->sent[i];
		bp_exec_done_t done = sent->done;

		if (done == NULL || now_ms(fixture) - sent->sent_ms < ANSWER_MS)
			continue;
		sent->done = NULL;
		done(&result, sent->data);
	}
}

static void
run_ms(fixture_t *fixture, uint32_t duration_ms)
{
	while (duration_ms-- > 0) {
		bp_clock_virtual_run_ms(fixture->clock, 1);
		if (!fixture->silent)
			answer_due(fixture);
	}
}

/* Guards against turns of the event loop that send hundreds of orders. */
static void
test_a_turn_sends_few_orders(void)
{
	fixture_t *fixture = fixture_new();
	uint32_t i;

	add_polls(fixture, 500);
	CU_ASSERT_EQUAL(fixture->n_sent, BP_ORDER_QUEUE_TURN_ORDERS);
	run_ms(fixture, 500);
	CU_ASSERT_EQUAL(fixture->n_sent, 500);
	CU_ASSERT_EQUAL(fixture->dones, 500);
	CU_ASSERT_EQUAL(bp_order_queue_waiting(fixture->queue), 0);
	for (i = BP_ORDER_QUEUE_TURN_ORDERS; i < fixture->n_sent; i++)
		CU_ASSERT_TRUE(fixture->sent[i].sent_ms -
			fixture->sent[i - BP_ORDER_QUEUE_TURN_ORDERS].sent_ms >=
		    TURN_MS);
	fixture_free(fixture);
}

/* Guards against a busy node that sends on while no answer is read. */
static void
test_open_orders_are_bounded(void)
{
	fixture_t *fixture = fixture_new();

	fixture->silent = true;
	add_polls(fixture, 500);
	run_ms(fixture, 200);
	CU_ASSERT_EQUAL(fixture->n_sent, 64);
	/* An executor that does not answer holds up no others for long. */
	run_ms(fixture, 2000);
	CU_ASSERT_EQUAL(fixture->n_sent, 500);
	fixture_free(fixture);
}

/* Guards against starts that wait for the first polls of all executors. */
static void
test_starts_and_stops_go_first(void)
{
	fixture_t *fixture = fixture_new();

	add_polls(fixture, 100);
	add_to(fixture, BP_ORDER_STOP, "stopped");
	add_to(fixture, BP_ORDER_START, "started");
	run_ms(fixture, 2 * TURN_MS);
	CU_ASSERT_EQUAL(fixture->sent[4].kind, BP_ORDER_STOP);
	CU_ASSERT_STRING_EQUAL(fixture->sent[4].id, "stopped");
	CU_ASSERT_EQUAL(fixture->sent[5].kind, BP_ORDER_START);
	CU_ASSERT_STRING_EQUAL(fixture->sent[5].id, "started");
	CU_ASSERT_STRING_EQUAL(fixture->sent[5].text, "work");
	CU_ASSERT_EQUAL(fixture->sent[6].kind, BP_ORDER_POLL);
	fixture_free(fixture);
}

/* Guards against starts without end that hold up the polls which renew leases.
 */
static void
test_polls_are_not_held_up(void)
{
	fixture_t *fixture = fixture_new();
	uint32_t polls = 0;
	uint32_t i;

	add_polls(fixture, 50);
	for (i = 0; i < 100; i++) {
		uint32_t k;

		for (k = 0; k < BP_ORDER_QUEUE_TURN_ORDERS; k++)
			add_to(fixture, BP_ORDER_START, "started");
		run_ms(fixture, TURN_MS);
	}
	for (i = 0; i < fixture->n_sent; i++)
		polls += fixture->sent[i].kind == BP_ORDER_POLL;
	CU_ASSERT_EQUAL(polls, 50);
	fixture_free(fixture);
}

/* Guards against polls that are held up for good while executors answer slowly:
 * each turn may then send fewer orders than BP_ORDER_QUEUE_TURN_ORDERS. */
static void
test_polls_are_not_held_up_by_slow_starts(void)
{
	fixture_t *fixture = fixture_new();
	uint32_t polls = 0;
	uint32_t i;

	fixture->silent = true;
	/* Two starts in each turn; some 256 orders a second are sent. */
	for (i = 0; i < 4000; i++) {
		if (i == 100) {
			add_polls(fixture, 1);
			add_lease_poll(fixture);
		}
		add_to(fixture, BP_ORDER_START, "started");
		run_ms(fixture, 1);
	}
	for (i = 0; i < fixture->n_sent; i++)
		polls += fixture->sent[i].kind == BP_ORDER_POLL;
	CU_ASSERT_EQUAL(polls, 2);
	fixture_free(fixture);
}

/* Guards against starts that reach an executor after their owner has given up
 * on them. */
static void
test_an_old_start_is_not_sent(void)
{
	fixture_t *fixture = fixture_new();

	add_polls(fixture, 100);
	add_to(fixture, BP_ORDER_START, "started");
	bp_clock_virtual_advance_us(fixture->clock, 401 * 1000);
	bp_clock_virtual_run_ms(fixture->clock, TURN_MS);
	CU_ASSERT_EQUAL(fixture->dones, 1);
	CU_ASSERT_EQUAL(fixture->last.outcome, BP_EXEC_NOT_SENT);
	CU_ASSERT_TRUE(fixture->last.proxy_failed);
	run_ms(fixture, 500);
	/* The polls are sent all the same. */
	CU_ASSERT_EQUAL(fixture->n_sent, 100);
	fixture_free(fixture);
}

/* Opens as many polls as may be open, and adds one with a lease and one without
 * that wait while the event loop stands still. */
static fixture_t *
fixture_with_waiting_polls(int64_t pause_ms)
{
	fixture_t *fixture = fixture_new();

	fixture->silent = true;
	add_polls(fixture, 64);
	run_ms(fixture, 40 * TURN_MS);
	CU_ASSERT_EQUAL(fixture->n_sent, 64);
	add_lease_poll(fixture);
	add_polls(fixture, 1);
	bp_clock_virtual_advance_us(fixture->clock, pause_ms * 1000);
	run_ms(fixture, 10 * TURN_MS);
	return fixture;
}

/* Guards against polls that are sent after their shard has lost the right to
 * send orders, while the node does not know of it. */
static void
test_an_old_poll_is_not_sent(void)
{
	fixture_t *fixture = fixture_with_waiting_polls(990);

	CU_ASSERT_EQUAL(fixture->n_sent, 66);
	CU_ASSERT_EQUAL(fixture->dones, 0);
	fixture_free(fixture);
	fixture = fixture_with_waiting_polls(1010);
	CU_ASSERT_EQUAL(fixture->n_sent, 65);
	CU_ASSERT_STRING_EQUAL(fixture->sent[64].id, "polled");
	CU_ASSERT_EQUAL(fixture->dones, 1);
	CU_ASSERT_EQUAL(fixture->last.outcome, BP_EXEC_NOT_SENT);
	CU_ASSERT_TRUE(fixture->last.proxy_failed);
	fixture_free(fixture);
	fixture = fixture_with_waiting_polls(2510);
	CU_ASSERT_EQUAL(fixture->n_sent, 64);
	CU_ASSERT_EQUAL(fixture->dones, 2);
	CU_ASSERT_EQUAL(bp_order_queue_waiting(fixture->queue), 0);
	fixture_free(fixture);
}

/* Guards against a node that goes on sending orders itself after another one
 * has said that it can. */
static void
test_another_node_takes_over(void)
{
	fixture_t *fixture = fixture_new();

	add_polls(fixture, 300);
	run_ms(fixture, TURN_MS);
	CU_ASSERT_EQUAL(fixture->n_sent, 2 * BP_ORDER_QUEUE_TURN_ORDERS);
	fixture->rerouting = true;
	run_ms(fixture, 10 * TURN_MS);
	CU_ASSERT_EQUAL(fixture->n_sent, 2 * BP_ORDER_QUEUE_TURN_ORDERS);
	CU_ASSERT_EQUAL(
	    fixture->rerouted, 300 - 2 * BP_ORDER_QUEUE_TURN_ORDERS);
	CU_ASSERT_EQUAL(bp_order_queue_waiting(fixture->queue), 0);
	fixture_free(fixture);
}

/* Guards against orders that are sent, or answered, after their owner has
 * forgotten them. */
static void
test_forgotten_orders_are_dropped(void)
{
	fixture_t *fixture = fixture_new();
	uint32_t other = 0;
	bp_order_t order = {.kind = BP_ORDER_POLL};

	add_polls(fixture, 50);
	order.target.id = "kept";
	bp_order_queue_add(fixture->queue, &order, on_done, &other);
	bp_order_queue_forget(fixture->queue, fixture);
	CU_ASSERT_EQUAL(bp_order_queue_waiting(fixture->queue), 1);
	fixture->silent = true;
	run_ms(fixture, 100);
	CU_ASSERT_EQUAL(fixture->n_sent, BP_ORDER_QUEUE_TURN_ORDERS + 1);
	CU_ASSERT_STRING_EQUAL(
	    fixture->sent[BP_ORDER_QUEUE_TURN_ORDERS].id, "kept");
	CU_ASSERT_EQUAL(fixture->dones, 0);
	fixture_free(fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a turn sends few orders", test_a_turn_sends_few_orders},
	    {"open orders are bounded", test_open_orders_are_bounded},
	    {"starts and stops go first", test_starts_and_stops_go_first},
	    {"polls are not held up", test_polls_are_not_held_up},
	    {"polls are not held up by slow starts",
		test_polls_are_not_held_up_by_slow_starts},
	    {"an old start is not sent", test_an_old_start_is_not_sent},
	    {"an old poll is not sent", test_an_old_poll_is_not_sent},
	    {"another node takes over", test_another_node_takes_over},
	    {"forgotten orders are dropped", test_forgotten_orders_are_dropped},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/orderqueue", tests);
}
