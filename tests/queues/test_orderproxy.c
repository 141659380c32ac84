#include "queues/orderproxy.h"
#include "queues/orderrouter.h"
#include "support/runner.h"

#define WAIT_MS 3000
#define PAUSE_MS 4000
#define STEP_MS 200

typedef struct fixture fixture_t;

/* A clock that the test sets, with a single timer. */
typedef struct {
	bp_clock_t clock;
	int64_t now_ms;
	GSourceFunc call;
	void *data;
} manual_clock_t;

typedef struct {
	bp_executors_t interface;
	uint32_t starts;
} direct_t;

/* An owner's order router and a proxy, with a real connection between them. */
struct fixture {
	manual_clock_t clock;
	direct_t direct;
	bp_pause_watch_t *pauses;
	bp_order_proxy_t *proxy;
	bp_peer_server_t *server;
	bp_peer_client_t *client;
	bp_order_router_t *router;
	char *address;
	bp_exec_result_t result;
	bool done;
};

static int
set_mono(const bp_clock_t *clock, struct timespec *out)
{
	int64_t now_ms = ((const manual_clock_t *)clock)->now_ms;

	out->tv_sec = now_ms / 1000;
	out->tv_nsec = now_ms % 1000 * 1000000;
	return 0;
}

static guint
set_after(
    const bp_clock_t *clock, uint32_t delay_ms, GSourceFunc call, void *data)
{
	manual_clock_t *self = (manual_clock_t *)(void *)clock;

	(void)delay_ms;
	self->call = call;
	self->data = data;
	return 1;
}

static void
set_cancel(const bp_clock_t *clock, guint id)
{
	(void)clock;
	(void)id;
}

static void
direct_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	bp_exec_result_t result = {.outcome = BP_EXEC_OK};

	(void)target;
	(void)start;
	((direct_t *)self)->starts++;
	done(&result, data);
}

static void
direct_forget(bp_executors_t *self, void *data)
{
	(void)self;
	(void)data;
}

static void
on_request(bp_peer_request_t *request, void *data)
{
	bp_order_proxy_serve(((fixture_t *)data)->proxy, request);
}

static void
on_result(const bp_exec_result_t *result, void *data)
{
	((fixture_t *)data)->result = *result;
	((fixture_t *)data)->done = true;
}

static fixture_t *
set_up(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	bp_peer_server_options_t server = {0};
	bp_order_router_options_t options = {0};

	fixture->clock.clock.mono = set_mono;
	fixture->clock.clock.add_timer = set_after;
	fixture->clock.clock.cancel_timer = set_cancel;
	fixture->clock.now_ms = 1000000;
	fixture->direct.interface.start = direct_start;
	fixture->direct.interface.forget = direct_forget;
	fixture->pauses = bp_pause_watch_new(&fixture->clock.clock);
	fixture->proxy = bp_order_proxy_new(&fixture->clock.clock,
	    fixture->pauses, &fixture->direct.interface, "za");
	(void)bp_peer_server_options_init(&server);
	server.address = "127.0.0.1:0";
	server.handler = on_request;
	server.data = fixture;
	CU_ASSERT_EQUAL_FATAL(
	    bp_peer_server_new(&fixture->server, &server, NULL), BP_OK);
	fixture->address = g_strdup_printf(
	    "127.0.0.1:%u", (unsigned int)bp_peer_server_port(fixture->server));
	fixture->client = bp_peer_client_new(bp_clock_system(), NULL);
	options.clock = bp_clock_system();
	options.direct = &fixture->direct.interface;
	options.client = fixture->client;
	options.address = "10.0.0.1:7000";
	options.zone = "zb";
	fixture->router = bp_order_router_new(&options);
	return fixture;
}

static void
tear_down(fixture_t *fixture)
{
	bp_peer_client_free(fixture->client);
	bp_order_router_free(fixture->router);
	bp_order_proxy_free(fixture->proxy);
	bp_pause_watch_free(fixture->pauses);
	bp_peer_server_free(fixture->server);
	g_free(fixture->address);
	g_free(fixture);
}

/* Lets the proxy's process run for a while. */
static void
run(fixture_t *fixture, int64_t duration_ms)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += STEP_MS) {
		fixture->clock.now_ms += STEP_MS;
		if (fixture->clock.call != NULL)
			(void)fixture->clock.call(fixture->clock.data);
	}
}

/* Sends a start through the proxy and returns its outcome. */
static bp_exec_outcome_t
send_order(fixture_t *fixture)
{
	bp_executors_t *interface;
	bp_exec_target_t target = {"10.0.0.9:80", "i-1", "za", 1, 0};
	bp_exec_start_t start = {"t.0.0.0", 1, "work", 1000, NULL, NULL};
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * 1000;

	interface = bp_order_router_interface(fixture->router);
	fixture->done = false;
	bp_order_router_heartbeat(
	    fixture->router, fixture->address, "za", 1000);
	interface->start(interface, &target, &start, on_result, fixture);
	while (!fixture->done && g_get_monotonic_time() < end_us)
		(void)g_main_context_iteration(NULL, TRUE);
	CU_ASSERT_TRUE(fixture->done);
	return fixture->result.outcome;
}

/*
 * Guards against orders that wait in a paused process and are sent when it
 * resumes: the executor may have a new incarnation, which knows no fencing
 * token.
 */
static void
test_a_paused_proxy_carries_out_no_old_order(void)
{
	fixture_t *fixture = set_up();

	run(fixture, 2000);
	fixture->clock.now_ms += PAUSE_MS;
	CU_ASSERT_EQUAL(send_order(fixture), BP_EXEC_NOT_SENT);
	CU_ASSERT_EQUAL(fixture->direct.starts, 0);
	CU_ASSERT_TRUE(fixture->result.proxy_failed);
	tear_down(fixture);
}

/* The same if a timer runs before the order is read. */
static void
test_a_tick_after_a_pause_admits_no_old_order(void)
{
	fixture_t *fixture = set_up();

	run(fixture, 2000);
	fixture->clock.now_ms += PAUSE_MS;
	run(fixture, STEP_MS);
	CU_ASSERT_EQUAL(send_order(fixture), BP_EXEC_NOT_SENT);
	CU_ASSERT_EQUAL(fixture->direct.starts, 0);
	tear_down(fixture);
}

static void
test_a_proxy_goes_on_after_a_pause(void)
{
	fixture_t *fixture = set_up();

	run(fixture, 2000);
	CU_ASSERT_EQUAL(send_order(fixture), BP_EXEC_OK);
	fixture->clock.now_ms += PAUSE_MS;
	run(fixture, 1000);
	CU_ASSERT_EQUAL(send_order(fixture), BP_EXEC_OK);
	CU_ASSERT_EQUAL(fixture->direct.starts, 2);
	tear_down(fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a paused courier carries out no old order",
		test_a_paused_proxy_carries_out_no_old_order},
	    {"a tick after a pause admits no old order",
		test_a_tick_after_a_pause_admits_no_old_order},
	    {"a courier goes on after a pause",
		test_a_proxy_goes_on_after_a_pause},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/courier", tests);
}
