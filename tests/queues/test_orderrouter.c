#include "queues/orderrouter.h"
#include "support/process.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>

#define EXECUTORS 4000
/* Nothing listens there; calls to it stay open until the client is freed. */
#define NOBODY "127.0.0.1:9"

/* Counts the orders that the owner sends itself and answers the last one. */
typedef struct {
	bp_executors_t interface;
	uint32_t starts;
	bp_exec_done_t done; /* of the last start; NULL once answered */
	void *data;
} direct_t;

static void
direct_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	direct_t *direct = (direct_t *)self;

	(void)target;
	(void)start;
	direct->starts++;
	direct->done = done;
	direct->data = data;
}

static void
direct_forget(bp_executors_t *self, void *data)
{
	(void)self;
	(void)data;
}

static void
answer_direct(direct_t *direct)
{
	bp_exec_result_t result = {0};

	if (direct->done != NULL)
		direct->done(&result, direct->data);
	direct->done = NULL;
}

static void
on_done(const bp_exec_result_t *result, void *data)
{
	(void)result;
	(void)data;
}

/* Returns the share, in percent, of the executors of zone "za" to which the
 * owner itself sends the orders. */
static double
own_share(uint32_t own_milli, const char *zone, uint32_t other_milli)
{
	direct_t direct = {
	    .interface = {.start = direct_start, .forget = direct_forget}};
	bp_clock_virtual_t *clock = bp_clock_virtual_new(1000);
	bp_peer_client_t *client = bp_peer_client_new(bp_clock_system(), NULL);
	bp_order_router_options_t options = {0};
	bp_order_router_t *router;
	uint32_t i;

	options.clock = bp_clock_virtual_clock(clock);
	options.direct = &direct.interface;
	options.client = client;
	options.address = "10.0.0.1:7000";
	options.zone = "za";
	options.processor_milli = own_milli;
	router = bp_order_router_new(&options);
	for (i = 0; i < EXECUTORS; i++) {
		char id[32];
		bp_exec_target_t target = {"10.0.0.9:80", id, "za", 1, 0};
		bp_exec_start_t start = {
		    "t.0.0.0", 1, "work", 1000, NULL, NULL};

		snprintf(id, sizeof(id), "i-%u", i);
		if (zone != NULL)
			bp_order_router_heartbeat(
			    router, NOBODY, zone, other_milli);
		bp_order_router_interface(router)->start(
		    bp_order_router_interface(router), &target, &start, on_done,
		    NULL);
		answer_direct(&direct);
		/* No order waits for the turn of another one. */
		bp_clock_virtual_run_ms(clock, 2);
	}
	bp_peer_client_free(client);
	bp_order_router_free(router);
	bp_clock_virtual_free(clock);
	return direct.starts * 100.0 / EXECUTORS;
}

/* Guards against small nodes that get as many orders as large ones. */
static void
test_orders_go_by_processors(void)
{
	CU_ASSERT_DOUBLE_EQUAL(own_share(500, NULL, 0), 100, 0);
	/* The owner counts with a quarter of its processors: 100 of 400. */
	CU_ASSERT_DOUBLE_EQUAL(own_share(400, "za", 300), 25, 3);
	CU_ASSERT_DOUBLE_EQUAL(own_share(400, "za", 100), 50, 3);
	/* A node of another zone gets no order while one of this zone lives. */
	CU_ASSERT_DOUBLE_EQUAL(own_share(400, "zb", 1000), 100, 0);
}

/* A node that acts as a proxy, an owner with its order router, and the orders
 * between them. */
typedef struct {
	direct_t direct;
	bp_clock_loop_t *loop_clock;
	const bp_clock_t *clock;
	bp_clock_virtual_t *router_clock; /* a busy machine delays no probe */
	bp_peer_server_t *server;
	char *address; /* of the node */
	bp_peer_client_t *client;
	bp_order_router_t *router;
	bool hold; /* the node does not answer requests */
	/* The end of an order sends another, which the node answers. */
	bool follow_up;
	uint32_t received; /* orders that reached the node */
	uint32_t ended; /* orders that were answered or failed */
	uint32_t expected_ends; /* orders sent, which are to end */
} proxy_fixture_t;

static void
on_order(bp_peer_request_t *request, void *data)
{
	proxy_fixture_t *fixture = data;
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;

	fixture->received++;
	if (!fixture->hold)
		bp_peer_request_answer(request, &answer);
}

static void
start_node(proxy_fixture_t *fixture)
{
	bp_peer_server_options_t options;
	bp_error_t err = {BP_OK, ""};

	(void)bp_peer_server_options_init(&options);
	options.clock = fixture->clock;
	options.address = fixture->address;
	options.handler = on_order;
	options.data = fixture;
	CU_ASSERT_EQUAL(
	    bp_peer_server_new(&fixture->server, &options, &err), BP_OK);
}

/* Ends the node's process with all its connections. */
static void
stop_node(proxy_fixture_t *fixture)
{
	bp_peer_server_free(fixture->server);
	fixture->server = NULL;
}

static void
fixture_setup(proxy_fixture_t *fixture)
{
	bp_order_router_options_t options = {0};

	fixture->direct.interface.start = direct_start;
	fixture->direct.interface.forget = direct_forget;
	fixture->loop_clock = bp_clock_loop_new();
	fixture->clock = bp_clock_loop_clock(fixture->loop_clock);
	fixture->address = g_strdup("127.0.0.1:0");
	start_node(fixture);
	g_free(fixture->address);
	fixture->address = g_strdup_printf(
	    "127.0.0.1:%u", bp_peer_server_port(fixture->server));
	fixture->client = bp_peer_client_new(fixture->clock, NULL);
	fixture->router_clock = bp_clock_virtual_new(1000);
	options.clock = bp_clock_virtual_clock(fixture->router_clock);
	options.direct = &fixture->direct.interface;
	options.client = fixture->client;
	options.address = "127.0.0.1:1";
	options.zone = "zb";
	options.processor_milli = 1;
	fixture->router = bp_order_router_new(&options);
	bp_order_router_heartbeat(
	    fixture->router, fixture->address, "za", 1000);
}

static void
fixture_teardown(proxy_fixture_t *fixture)
{
	bp_peer_client_free(fixture->client);
	bp_order_router_free(fixture->router);
	bp_peer_server_free(fixture->server);
	bp_clock_virtual_free(fixture->router_clock);
	bp_clock_loop_free(fixture->loop_clock);
	g_free(fixture->address);
}

static bool
all_ended(void *data)
{
	const proxy_fixture_t *fixture = data;

	return fixture->ended >= fixture->expected_ends;
}

static bool
one_received(void *data)
{
	return ((const proxy_fixture_t *)data)->received > 0;
}

static void send_start(proxy_fixture_t *fixture);

static void
on_ended(const bp_exec_result_t *result, void *data)
{
	proxy_fixture_t *fixture = data;

	(void)result;
	fixture->ended++;
	if (!fixture->follow_up)
		return;
	fixture->follow_up = false;
	fixture->hold = false;
	send_start(fixture);
}

static void
send_start_to(proxy_fixture_t *fixture, const char *id)
{
	bp_exec_target_t target = {"10.0.0.9:80", id, "za", 1, 0};
	bp_exec_start_t start = {"t.0.0.0", 1, "work", 1000, NULL, NULL};

	bp_order_router_interface(fixture->router)
	    ->start(bp_order_router_interface(fixture->router), &target, &start,
		on_ended, fixture);
	fixture->expected_ends++;
}

static void
send_start(proxy_fixture_t *fixture)
{
	send_start_to(fixture, "i-1");
}

/* Guards against an owner that sends all orders itself after a connection to a
 * proxy broke, instead of connecting again. */
static void
test_a_broken_connection_is_made_anew(void)
{
	proxy_fixture_t fixture = {.hold = true};

	fixture_setup(&fixture);
	send_start(&fixture);
	send_start(&fixture);
	CU_ASSERT_TRUE(bp_wait_until(one_received, &fixture));
	stop_node(&fixture);
	CU_ASSERT_TRUE(bp_wait_until(all_ended, &fixture));
	fixture.hold = false;
	fixture.received = 0;
	start_node(&fixture);
	send_start(&fixture);
	CU_ASSERT_TRUE(bp_wait_until(all_ended, &fixture));
	CU_ASSERT_EQUAL(fixture.received, 1);
	CU_ASSERT_EQUAL(fixture.direct.starts, 0);
	fixture_teardown(&fixture);
}

/* Guards against orders that go on being sent to a node that has ended. */
static void
test_a_node_that_is_gone_rests(void)
{
	proxy_fixture_t fixture = {0};

	fixture_setup(&fixture);
	stop_node(&fixture);
	send_start(&fixture);
	CU_ASSERT_TRUE(bp_wait_until(all_ended, &fixture));
	send_start(&fixture);
	CU_ASSERT_TRUE(bp_wait_until(all_ended, &fixture));
	CU_ASSERT_EQUAL(fixture.direct.starts, 0);
	send_start(&fixture);
	CU_ASSERT_EQUAL(fixture.direct.starts, 1);
	fixture_teardown(&fixture);
}

/* Starts a task and waits for the end of the start. */
static void
send_start_and_wait(proxy_fixture_t *fixture)
{
	send_start(fixture);
	CU_ASSERT_TRUE(bp_wait_until(all_ended, fixture));
}

/*
 * Guards against an owner that was too busy to read the answers of its proxies
 * in time and then sends all orders itself, which keeps it busy.
 */
static void
test_a_slow_node_is_better_than_none(void)
{
	proxy_fixture_t fixture = {.hold = true};

	fixture_setup(&fixture);
	send_start_and_wait(&fixture);
	fixture.hold = false;
	send_start_and_wait(&fixture);
	CU_ASSERT_EQUAL(fixture.received, 2);
	CU_ASSERT_EQUAL(fixture.direct.starts, 0);
	fixture_teardown(&fixture);
}

/* Returns how many of the executors have the fixture's node as their proxy. */
static uint32_t
count_proxied(proxy_fixture_t *fixture)
{
	bp_executors_t *orders = bp_order_router_interface(fixture->router);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++) {
		char id[32];
		bp_exec_target_t target = {"10.0.0.9:80", id, "za", 1, 0};

		snprintf(id, sizeof(id), "i-%u", i);
		count += strcmp(orders->proxy_address(orders, &target),
			     fixture->address) == 0;
	}
	return count;
}

/* Guards against a node that cannot send orders and gets all of them again with
 * each of its heartbeats while others could send them. */
static void
test_a_heartbeat_ends_no_back_off(void)
{
	proxy_fixture_t fixture = {.hold = true};

	fixture_setup(&fixture);
	send_start_and_wait(&fixture);
	bp_order_router_heartbeat(fixture.router, fixture.address, "za", 1000);
	bp_order_router_heartbeat(fixture.router, NOBODY, "za", 1000);
	CU_ASSERT_EQUAL(count_proxied(&fixture), 0);
	fixture_teardown(&fixture);
}

/* Guards against an owner that sends all orders itself although the only other
 * node is back. */
static void
test_a_heartbeat_shows_that_a_node_is_back(void)
{
	proxy_fixture_t fixture = {0};

	fixture_setup(&fixture);
	stop_node(&fixture);
	send_start_and_wait(&fixture);
	send_start_and_wait(&fixture);
	CU_ASSERT_EQUAL(count_proxied(&fixture), 0);
	start_node(&fixture);
	bp_order_router_heartbeat(fixture.router, fixture.address, "za", 1000);
	CU_ASSERT_EQUAL(count_proxied(&fixture), EXECUTORS);
	send_start_and_wait(&fixture);
	CU_ASSERT_EQUAL(fixture.received, 1);
	CU_ASSERT_EQUAL(fixture.direct.starts, 0);
	fixture_teardown(&fixture);
}

/* Sends a start that is not answered; in the meantime the event loop has so
 * many turns of this length. Returns the number of executors that have the
 * fixture's node as their proxy afterwards. */
static uint32_t
proxied_after_turns(uint32_t turns, int64_t turn_ms)
{
	proxy_fixture_t fixture = {.hold = true};
	uint32_t count;
	uint32_t i;

	fixture_setup(&fixture);
	send_start(&fixture);
	bp_order_router_heartbeat(fixture.router, NOBODY, "za", 1000);
	for (i = 0; i < turns; i++) {
		bp_clock_virtual_advance_us(
		    fixture.router_clock, turn_ms * 1000);
		bp_clock_virtual_run_ms(fixture.router_clock, 0);
	}
	CU_ASSERT_TRUE(bp_wait_until(all_ended, &fixture));
	count = count_proxied(&fixture);
	fixture_teardown(&fixture);
	return count;
}

/*
 * Guards against an owner that takes its own busy loop for a failure of all its
 * proxies, and against proxies that never back off.
 */
static void
test_a_busy_owner_blames_itself(void)
{
	CU_ASSERT_TRUE(proxied_after_turns(7, 150) > 0);
	CU_ASSERT_EQUAL(proxied_after_turns(210, 5), 0);
}

/* Sends a start to an executor whose proxy is the fixture's node. */
static void
send_proxied_start(proxy_fixture_t *fixture)
{
	bp_executors_t *orders = bp_order_router_interface(fixture->router);
	char id[32] = "";
	bp_exec_target_t target = {"10.0.0.9:80", id, "za", 1, 0};
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++) {
		snprintf(id, sizeof(id), "i-%u", i);
		if (strcmp(orders->proxy_address(orders, &target),
			fixture->address) == 0)
			break;
	}
	CU_ASSERT_TRUE_FATAL(i < EXECUTORS);
	send_start_to(fixture, id);
}

/* Sends starts, of which none is answered, until the node gets no more orders,
 * at most so many; within each the event loop has so many turns of this length.
 * Returns the number of starts. */
static uint32_t
starts_until_left(uint32_t starts_max, uint32_t turns, int64_t turn_ms)
{
	proxy_fixture_t fixture = {.hold = true};
	uint32_t proxied = EXECUTORS;
	uint32_t starts;
	uint32_t i;

	fixture_setup(&fixture);
	for (starts = 0; starts < starts_max && proxied > 0; starts++) {
		send_proxied_start(&fixture);
		/* Its heartbeats go on arriving, and another node lives. */
		bp_order_router_heartbeat(
		    fixture.router, fixture.address, "za", 1000);
		bp_order_router_heartbeat(fixture.router, NOBODY, "za", 1000);
		for (i = 0; i < turns; i++) {
			bp_clock_virtual_advance_us(
			    fixture.router_clock, turn_ms * 1000);
			bp_clock_virtual_run_ms(fixture.router_clock, 0);
		}
		CU_ASSERT_TRUE(bp_wait_until(all_ended, &fixture));
		proxied = count_proxied(&fixture);
	}
	CU_ASSERT_EQUAL(proxied, 0);
	fixture_teardown(&fixture);
	return starts;
}

/*
 * Guards against a node that answers no order and never backs off, because the
 * loop of the owner is late by a little all the time: the polls of its
 * executors end there for good, and their leases lapse.
 */
static void
test_a_silent_node_is_left_in_the_end(void)
{
	/* Probes each 50 ms that are late by 15 ms excuse nothing. */
	CU_ASSERT_EQUAL(starts_until_left(6, 22, 65), 1);
}

/* Guards against a silent node that never backs off because its owner is always
 * busy. */
static void
test_a_busy_owner_leaves_a_silent_node(void)
{
	CU_ASSERT_EQUAL(starts_until_left(6, 7, 150), 4);
}

/* Sends two starts that are not answered: the time-out of the first closes the
 * connection, with which the second one ends. The loop is late by 0.7 s. */
static void
lose_connection_while_busy(proxy_fixture_t *fixture)
{
	uint32_t i;

	fixture->received = 0;
	send_start(fixture);
	CU_ASSERT_TRUE(bp_wait_until(one_received, fixture));
	send_start(fixture);
	for (i = 0; i < 7; i++) {
		bp_clock_virtual_advance_us(fixture->router_clock, 150 * 1000);
		bp_clock_virtual_run_ms(fixture->router_clock, 0);
	}
	CU_ASSERT_TRUE(bp_wait_until(all_ended, fixture));
}

/* Guards against an owner that closes connections because it is too busy to
 * read them, and takes that for a failure of its proxies. */
static void
test_a_busy_owner_blames_no_connection(void)
{
	proxy_fixture_t fixture = {.hold = true};

	fixture_setup(&fixture);
	lose_connection_while_busy(&fixture);
	lose_connection_while_busy(&fixture);
	CU_ASSERT_EQUAL(fixture.direct.starts, 0);
	bp_order_router_heartbeat(fixture.router, NOBODY, "za", 1000);
	CU_ASSERT_TRUE(count_proxied(&fixture) > 0);
	fixture_teardown(&fixture);
}

/*
 * Guards against orders that are lost with a connection on which they were not
 * sent: the stop that follows a start without an answer.
 */
static void
test_an_order_after_a_time_out_is_sent(void)
{
	proxy_fixture_t fixture = {.hold = true, .follow_up = true};

	fixture_setup(&fixture);
	send_start(&fixture);
	CU_ASSERT_TRUE(bp_wait_until(all_ended, &fixture));
	CU_ASSERT_EQUAL(fixture.ended, 2);
	CU_ASSERT_EQUAL(fixture.received, 2);
	fixture_teardown(&fixture);
}

#define WAIT_MS 3000

/* An owner's order router and a node that answers its orders with an error. */
typedef struct {
	bp_peer_server_t *server;
	bp_peer_client_t *client;
	bp_order_router_t *router;
	direct_t direct;
	Bp__Peer__Frame answer;
	char *address;
	bp_exec_result_t result;
	bool done;
} owner_t;

static void
on_request(bp_peer_request_t *request, void *data)
{
	bp_peer_request_answer(request, &((owner_t *)data)->answer);
}

static void
on_result(const bp_exec_result_t *result, void *data)
{
	owner_t *owner = data;

	owner->result = *result;
	owner->done = true;
}

static owner_t *
owner_new(void)
{
	owner_t *owner = g_new0(owner_t, 1);
	bp_peer_server_options_t server = {0};
	bp_order_router_options_t options = {0};

	(void)bp_peer_server_options_init(&server);
	server.address = "127.0.0.1:0";
	server.handler = on_request;
	server.data = owner;
	CU_ASSERT_EQUAL_FATAL(
	    bp_peer_server_new(&owner->server, &server, NULL), BP_OK);
	owner->address = g_strdup_printf(
	    "127.0.0.1:%u", (unsigned int)bp_peer_server_port(owner->server));
	owner->client = bp_peer_client_new(bp_clock_system(), NULL);
	owner->direct.interface.forget = direct_forget;
	options.clock = bp_clock_system();
	options.direct = &owner->direct.interface;
	options.client = owner->client;
	options.address = "10.0.0.1:7000";
	options.zone = "zb";
	owner->router = bp_order_router_new(&options);
	bp_order_router_heartbeat(owner->router, owner->address, "za", 1000);
	return owner;
}

static void
owner_free(owner_t *owner)
{
	bp_peer_client_free(owner->client);
	bp_order_router_free(owner->router);
	bp_peer_server_free(owner->server);
	g_free(owner->address);
	g_free(owner);
}

/* Polls an executor through a node that answers with this error. */
static owner_t *
poll_executor(bp_error_kind_t error, bp_outcome_t outcome)
{
	owner_t *owner = owner_new();
	bp_executors_t *interface = bp_order_router_interface(owner->router);
	bp_exec_target_t target = {"10.0.0.9:80", "i-1", "za", 1, 0};
	bp_exec_poll_t request = {0};
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * 1000;

	bp__peer__frame__init(&owner->answer);
	owner->answer.error = error;
	owner->answer.outcome = outcome;
	CU_ASSERT_STRING_EQUAL(
	    interface->proxy_address(interface, &target), owner->address);
	interface->poll(interface, &target, &request, on_result, owner);
	while (!owner->done && g_get_monotonic_time() < end_us)
		(void)g_main_context_iteration(NULL, TRUE);
	CU_ASSERT_TRUE(owner->done);
	CU_ASSERT_TRUE(owner->result.proxy_failed);
	/* The node is in back-off. */
	CU_ASSERT_STRING_EQUAL(
	    interface->proxy_address(interface, &target), "");
	return owner;
}

/*
 * Guards against executors that count as unresponsive, and lose their leases,
 * because a proxy starts, stops or is overloaded.
 */
static void
test_an_error_of_a_proxy_is_its_own(void)
{
	owner_t *owner = poll_executor(BP_EUNKNOWN, BP_OUTCOME_NOT_KNOWN);

	CU_ASSERT_EQUAL(owner->result.outcome, BP_EXEC_UNKNOWN);
	owner_free(owner);
	owner = poll_executor(BP_ESTATE, BP_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(owner->result.outcome, BP_EXEC_NOT_SENT);
	owner_free(owner);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a busy owner blames no connection",
		test_a_busy_owner_blames_no_connection},
	    {"a silent node is left in the end",
		test_a_silent_node_is_left_in_the_end},
	    {"a busy owner leaves a silent node",
		test_a_busy_owner_leaves_a_silent_node},
	    {"an order after a time-out is sent",
		test_an_order_after_a_time_out_is_sent},
	    {"orders go by processors", test_orders_go_by_processors},
	    {"a broken connection is made anew",
		test_a_broken_connection_is_made_anew},
	    {"a node that is gone rests", test_a_node_that_is_gone_rests},
	    {"a slow node is better than none",
		test_a_slow_node_is_better_than_none},
	    {"a heartbeat ends no back-off", test_a_heartbeat_ends_no_back_off},
	    {"a heartbeat shows that a node is back",
		test_a_heartbeat_shows_that_a_node_is_back},
	    {"a busy owner blames itself", test_a_busy_owner_blames_itself},
	    {"an error of a courier is its own",
		test_an_error_of_a_proxy_is_its_own},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/relay", tests);
}
