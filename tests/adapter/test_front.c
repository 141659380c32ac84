#include "platform/front.h"
#include "support/process.h"
#include "support/rawcall.h"
#include "support/runner.h"

#include <gio/gio.h>
#include <string.h>
#include <sys/resource.h>

#define BODY_BYTES 1000
#define FLOOD_BYTES ((size_t)64 * 1024 * 1024)
#define PIECE_BYTES 16384
/* The connection is closed before so many bytes of headers were taken. */
#define HEADERS_MAX_BYTES ((size_t)1024 * 1024)
/* More than the caller's and the server's sides keep of a flood. */
#define GROWTH_MAX_KIB (16 * 1024)
/* More than a segment takes on the loopback interface. */
#define SEGMENT_US 20000
#define SUBMIT                                                           \
	"POST /q/00000000000000a1 HTTP/1.1\r\nHost: h\r\nContent-Type: " \
	"application/json\r\n"
#define JOB "{\"steps\":[{\"count\":1}]}"

/* Stands for the job router: answers each call at once, or holds it. */
struct bp_job_router {
	bp_catalog_t *catalog;
	bool hold;
	bp_job_router_done_t done; /* of the call that is held */
	void *data;
	uint32_t submitted;
	char customer[32]; /* of the last submission */
	bool unconfirmed; /* the configuration may be out of date */
};

typedef struct {
	bp_job_router_t router;
	bp_platform_front_t *front;
	GPtrArray *held;
	uint16_t port;
} fixture_t;

static void
answer(bp_job_router_t *router, bp_job_router_done_t done, void *data)
{
	bp_job_router_answer_t ok = {
	    BP_JOB_ROUTER_OK, BP__WORK__JOB_STATE__JOB_QUEUED, 0, 0, ""};

	if (router->hold) {
		router->done = done;
		router->data = data;
	} else {
		done(&ok, data);
	}
}

const bp_catalog_t *
bp_job_router_catalog(const bp_job_router_t *router)
{
	return router->catalog;
}

void
bp_job_router_admit(bp_job_router_t *router, const char *host, const char *path,
    const char *key, bp_job_router_admitted_t done, void *data)
{
	bp_access_t access =
	    bp_access_decide(router->catalog, !router->unconfirmed,
		bp_catalog_route(router->catalog, host, path), key);

	done(&access, data);
}

void
bp_job_router_submit(bp_job_router_t *router, const bp_queue_route_t *route,
    const char *customer, const char *id, Bp__Work__Job *job,
    uint32_t deadline_ms, bp_job_router_done_t done, void *data)
{
	(void)route;
	(void)id;
	(void)deadline_ms;
	router->submitted++;
	(void)g_strlcpy(router->customer, customer, sizeof(router->customer));
	bp__work__job__free_unpacked(job, NULL);
	answer(router, done, data);
}

void
bp_job_router_status(bp_job_router_t *router, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_job_router_done_t done, void *data)
{
	(void)route;
	(void)id;
	(void)deadline_ms;
	answer(router, done, data);
}

void
bp_job_router_cancel(bp_job_router_t *router, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_job_router_done_t done, void *data)
{
	bp_job_router_status(router, route, id, deadline_ms, done, data);
}

void
bp_job_router_count(bp_job_router_t *router, const bp_queue_route_t *route,
    uint32_t deadline_ms, bp_job_router_done_t done, void *data)
{
	bp_job_router_status(router, route, "", deadline_ms, done, data);
}

bool
bp_job_router_ready(const bp_job_router_t *router)
{
	return router->catalog != NULL;
}

static bp_catalog_t *
make_catalog(void)
{
	bp_catalog_t *catalog = bp_catalog_new();
	bp_queue_route_t *route = g_new0(bp_queue_route_t, 1);

	route->name = g_strdup("q");
	route->host = g_strdup("h");
	route->prefix = g_strdup("/q/");
	route->service = g_strdup("s");
	g_ptr_array_add(catalog->routes, route);
	catalog->body_bytes = BODY_BYTES;
	return catalog;
}

static void
setup_with_admission(
    fixture_t *fixture, bool configured, bp_admission_t *admission)
{
	bp_platform_front_options_t options = {0};
	bp_error_t err = {BP_OK, ""};
	char *address;

	memset(fixture, 0, sizeof(*fixture));
	fixture->held = g_ptr_array_new_with_free_func(g_object_unref);
	fixture->port = bp_process_reserve_port(fixture->held);
	if (configured)
		fixture->router.catalog = make_catalog();
	address = g_strdup_printf("127.0.0.1:%u", fixture->port);
	options.router = &fixture->router;
	options.admission = admission;
	options.clients_address = address;
	CU_ASSERT_EQUAL_FATAL(
	    bp_platform_front_new(&fixture->front, &options, &err), BP_OK);
	g_free(address);
}

static void
setup(fixture_t *fixture, bool configured)
{
	setup_with_admission(fixture, configured, NULL);
}

static void
teardown(fixture_t *fixture)
{
	bp_platform_front_free(fixture->front);
	if (fixture->router.catalog != NULL)
		bp_catalog_free(fixture->router.catalog);
	g_ptr_array_unref(fixture->held);
}

static long
peak_kib(void)
{
	struct rusage usage;

	(void)getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
}

/* Sends piece after piece until the other side answers, closes or has all. */
static size_t
flood(bp_rawcall_t *call, const char *piece, size_t piece_bytes)
{
	size_t sent = 0;
	size_t at = 0;

	while (sent < FLOOD_BYTES && !bp_rawcall_closed(call)) {
		size_t n = bp_rawcall_send(call, piece + at, piece_bytes - at);

		sent += n;
		at = (at + n) % piece_bytes;
		while (g_main_context_iteration(NULL, FALSE))
			continue;
	}
	return sent;
}

/* The front still serves. */
static bool
serves(fixture_t *fixture)
{
	bp_rawcall_t *call = bp_rawcall_new(fixture->port);
	bool good = bp_rawcall_send_text(
			call, SUBMIT "Content-Length: 23\r\n\r\n" JOB) &&
	    bp_rawcall_wait(call, "HTTP/1.1 200");

	bp_rawcall_free(call);
	return good;
}

/* A body over the limit is refused and never kept in memory. */
static void
test_large_bodies_are_not_kept(void)
{
	static const char *const heads[] = {SUBMIT
	    "Content-Length: 100000000\r\n\r\n",
	    SUBMIT "Transfer-Encoding: chunked\r\n\r\n"};
	char *piece = g_malloc(PIECE_BYTES);
	char *chunk;
	fixture_t fixture;
	uint32_t k;
	size_t i;

	memset(piece, 'x', PIECE_BYTES);
	chunk =
	    g_strdup_printf("%x\r\n%.*s\r\n", PIECE_BYTES, PIECE_BYTES, piece);
	for (k = 0; k < 2; k++) {
		setup(&fixture, k == 0);
		for (i = 0; i < G_N_ELEMENTS(heads); i++) {
			bp_rawcall_t *call = bp_rawcall_new(fixture.port);
			long before_kib = peak_kib();

			CU_ASSERT_TRUE(bp_rawcall_send_text(call, heads[i]));
			(void)flood(call, i == 0 ? piece : chunk,
			    i == 0 ? PIECE_BYTES : strlen(chunk));
			CU_ASSERT_TRUE(
			    peak_kib() - before_kib < GROWTH_MAX_KIB);
			bp_rawcall_free(call);
		}
		CU_ASSERT_EQUAL(serves(&fixture), k == 0);
		CU_ASSERT_EQUAL(fixture.router.submitted, k == 0 ? 1 : 0);
		teardown(&fixture);
	}
	g_free(chunk);
	g_free(piece);
}

/* The refusal says why; a caller that asks first need not send the body. */
static void
test_large_bodies_are_refused(void)
{
	static const char *const calls[] = {SUBMIT
	    "Content-Length: 5000\r\nExpect: 100-continue\r\n\r\n",
	    SUBMIT "Content-Length: 1001\r\n\r\n",
	    SUBMIT "Transfer-Encoding: chunked\r\n\r\n3e9\r\n"};
	char body[BODY_BYTES + 2];
	fixture_t fixture;
	size_t i;

	memset(body, 'x', BODY_BYTES + 1);
	body[BODY_BYTES + 1] = '\0';
	setup(&fixture, true);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		bp_rawcall_t *call = bp_rawcall_new(fixture.port);

		CU_ASSERT_TRUE(bp_rawcall_send_text(call, calls[i]));
		if (i > 0)
			CU_ASSERT_TRUE(bp_rawcall_send_text(call, body));
		if (i == 2)
			CU_ASSERT_TRUE(
			    bp_rawcall_send_text(call, "\r\n0\r\n\r\n"));
		CU_ASSERT_TRUE(bp_rawcall_wait(call, "HTTP/1.1 413"));
		bp_rawcall_free(call);
	}
	CU_ASSERT_EQUAL(fixture.router.submitted, 0);
	CU_ASSERT_TRUE(serves(&fixture));
	teardown(&fixture);
}

/* Headers without an end are not kept either. */
static void
test_endless_headers(void)
{
	static const char *const heads[] = {
	    SUBMIT, "GET /", "POST /q/a HTTP/1.1\r\nHost: "};
	static const char line[] = "X-A: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n";
	fixture_t fixture;
	size_t i;

	setup(&fixture, true);
	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		bp_rawcall_t *call = bp_rawcall_new(fixture.port);

		CU_ASSERT_TRUE(bp_rawcall_send_text(call, heads[i]));
		CU_ASSERT_TRUE(
		    flood(call, i == 0 ? line : "aaaaaaaa",
			i == 0 ? strlen(line) : 8) < HEADERS_MAX_BYTES);
		bp_rawcall_free(call);
	}
	CU_ASSERT_TRUE(serves(&fixture));
	teardown(&fixture);
}

/* Requests that no client of ours sends end nothing but themselves. */
static void
test_odd_requests(void)
{
	static const char *const requests[] = {"\r\n\r\n", "GET\r\n\r\n",
	    "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	    "GET * HTTP/1.1\r\nHost: h\r\n\r\n",
	    "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
	    "GET http://h/q/ HTTP/1.1\r\nHost: h\r\n\r\n",
	    "GET //q/ HTTP/1.1\r\nHost: [::1\r\n\r\n",
	    "GET /q/%00%ff%2f HTTP/1.1\r\nHost: \xff\r\n\r\n",
	    "GET /q/ HTTP/1.0\r\n\r\n", "GET /q/ HTTP/9.9\r\nHost: h\r\n\r\n",
	    "GET /q/?a=%zz&=&& HTTP/1.1\r\nHost: h\r\n\r\n",
	    "HEAD /q/ HTTP/1.1\r\nHost: h\r\n\r\n",
	    "PUT /q/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
	    SUBMIT "Content-Length: -5\r\n\r\n",
	    SUBMIT "Content-Length: 99999999999999999999999\r\n\r\n",
	    SUBMIT "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	    SUBMIT "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
	    SUBMIT "Connection: Upgrade\r\nUpgrade: websocket\r\n"
		   "Content-Length: 0\r\n\r\n",
	    SUBMIT "X-Bulrushpost-Deadline-Ms: 99999999999999999999\r\n"
		   "Content-Length: 23\r\n\r\n" JOB};
	fixture_t fixture;
	size_t i;

	setup(&fixture, true);
	for (i = 0; i < G_N_ELEMENTS(requests); i++) {
		bp_rawcall_t *call = bp_rawcall_new(fixture.port);

		(void)bp_rawcall_send_text(call, requests[i]);
		bp_run_for_ms(20);
		bp_rawcall_free(call);
		CU_ASSERT_TRUE(serves(&fixture));
	}
	bp_run_for_ms(20);
	CU_ASSERT_EQUAL(bp_platform_front_open(fixture.front), 0);
	teardown(&fixture);
}

static bool
is_held(void *data)
{
	return ((const fixture_t *)data)->router.done != NULL;
}

static bool
none_open(void *data)
{
	return bp_platform_front_open(((fixture_t *)data)->front) == 0;
}

/*
 * A call is open from its headers until its answer has been written, also
 * if its caller has gone meanwhile.
 */
static void
test_open_calls(void)
{
	bp_job_router_answer_t gone = {
	    BP_JOB_ROUTER_NOT_FOUND, BP__WORK__JOB_STATE__JOB_QUEUED, 0, 0, ""};
	fixture_t fixture;
	bp_rawcall_t *call;

	setup(&fixture, true);
	fixture.router.hold = true;
	call = bp_rawcall_new(fixture.port);
	bp_run_for_ms(20);
	CU_ASSERT_EQUAL(bp_platform_front_open(fixture.front), 0);
	CU_ASSERT_TRUE(bp_rawcall_send_text(
	    call, SUBMIT "Content-Length: 23\r\n\r\n{\"steps\""));
	bp_run_for_ms(20);
	CU_ASSERT_EQUAL(bp_platform_front_open(fixture.front), 1);
	CU_ASSERT_TRUE(bp_rawcall_send_text(call, JOB + 8));
	CU_ASSERT_TRUE(bp_wait_until(is_held, &fixture));
	bp_platform_front_drain(fixture.front);
	fixture.router.done(&gone, fixture.router.data);
	CU_ASSERT_EQUAL(bp_platform_front_open(fixture.front), 1);
	CU_ASSERT_TRUE(bp_rawcall_wait(call, "HTTP/1.1 410"));
	CU_ASSERT_TRUE(bp_rawcall_wait_closed(call));
	CU_ASSERT_TRUE(bp_wait_until(none_open, &fixture));
	bp_rawcall_free(call);
	call = bp_rawcall_new(fixture.port);
	fixture.router.done = NULL;
	CU_ASSERT_TRUE(bp_rawcall_send_text(
	    call, "DELETE /q/a HTTP/1.1\r\nHost: h\r\n\r\n"));
	CU_ASSERT_TRUE(bp_wait_until(is_held, &fixture));
	bp_rawcall_free(call);
	bp_run_for_ms(20);
	fixture.router.done(&gone, fixture.router.data);
	CU_ASSERT_TRUE(bp_wait_until(none_open, &fixture));
	teardown(&fixture);
}

/*
 * Guards against jobs whose caller gave up before the node, paused or cut off,
 * read the submission.
 */
static void
test_a_caller_that_has_gone_submits_nothing(void)
{
	fixture_t fixture;
	bp_rawcall_t *call;

	setup(&fixture, true);
	call = bp_rawcall_new(fixture.port);
	CU_ASSERT_TRUE(bp_rawcall_send_text(
	    call, SUBMIT "Content-Length: 23\r\n\r\n" JOB));
	bp_rawcall_free(call);
	bp_run_for_ms(100);
	CU_ASSERT_EQUAL(fixture.router.submitted, 0);
	CU_ASSERT_TRUE(bp_wait_until(none_open, &fixture));
	CU_ASSERT_TRUE(serves(&fixture));
	CU_ASSERT_EQUAL(fixture.router.submitted, 1);
	teardown(&fixture);
}

#define KEY_HEADER "X-Bulrushpost-Credential: "
#define KEY "key-of-acme-0001"

static void
add_customer(bp_catalog_t *catalog)
{
	bp_customer_t *customer = bp_customer_new();

	customer->name = g_strdup("acme");
	g_ptr_array_add(customer->keys, g_strdup(KEY));
	g_ptr_array_add(catalog->customers, customer);
	catalog->requires_keys = true;
	bp_catalog_index_keys(catalog);
}

/* Sends one call of each kind; all have to get the same status. */
static bool
all_answered(fixture_t *fixture, const char *header, const char *status)
{
	static const char *const starts[] = {"POST /q/a", "GET /q/a",
	    "DELETE /q/a", "GET /q/", "PUT /q/a", "POST /q/no+id"};
	char *part = g_strdup_printf("HTTP/1.1 %s", status);
	bool good = true;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(starts); i++) {
		bp_rawcall_t *call = bp_rawcall_new(fixture->port);
		char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: h\r\n%s"
					     "Connection: close\r\n"
					     "Content-Length: 23\r\n\r\n" JOB,
		    starts[i], header);

		/* Of the last two only refusals before the call is looked at
		 * have the same status as the others. */
		if (i < 4 || strcmp(status, "200") != 0)
			good = bp_rawcall_send_text(call, text) &&
			    bp_rawcall_wait(call, part) &&
			    strstr(bp_rawcall_text(call), KEY) == NULL && good;
		bp_rawcall_free(call);
		g_free(text);
	}
	g_free(part);
	return good;
}

/*
 * A wrong, missing, empty or repeated key is refused alike on every kind of
 * call, nothing runs, and the answer does not contain the key.
 */
static void
test_calls_without_a_valid_key(void)
{
	static const char *const headers[] = {"", KEY_HEADER "\r\n",
	    KEY_HEADER "wrong\r\n", KEY_HEADER KEY "x\r\n",
	    KEY_HEADER KEY "\r\n" KEY_HEADER "other\r\n",
	    KEY_HEADER "other\r\n" KEY_HEADER KEY "\r\n",
	    KEY_HEADER "Bearer " KEY "\r\n"};
	fixture_t fixture;
	size_t i;

	setup(&fixture, true);
	add_customer(fixture.router.catalog);
	for (i = 0; i < G_N_ELEMENTS(headers); i++)
		CU_ASSERT_TRUE(all_answered(&fixture, headers[i], "401"));
	CU_ASSERT_EQUAL(fixture.router.submitted, 0);
	CU_ASSERT_TRUE(all_answered(&fixture, KEY_HEADER KEY "\r\n", "200"));
	CU_ASSERT_EQUAL(fixture.router.submitted, 1);
	CU_ASSERT_STRING_EQUAL(fixture.router.customer, "acme");
	teardown(&fixture);
}

/*
 * A node whose configuration may be out of date refuses valid and wrong keys
 * with 503 and a time to retry, never with 401.
 */
static void
test_keys_of_an_old_configuration(void)
{
	static const char *const headers[] = {
	    "", KEY_HEADER "wrong\r\n", KEY_HEADER KEY "\r\n"};
	fixture_t fixture;
	bp_rawcall_t *call;
	size_t i;

	setup(&fixture, true);
	add_customer(fixture.router.catalog);
	fixture.router.unconfirmed = true;
	for (i = 0; i < G_N_ELEMENTS(headers); i++)
		CU_ASSERT_TRUE(all_answered(&fixture, headers[i], "503"));
	CU_ASSERT_EQUAL(fixture.router.submitted, 0);
	call = bp_rawcall_new(fixture.port);
	CU_ASSERT_TRUE(
	    bp_rawcall_send_text(call, "GET /q/a HTTP/1.1\r\nHost: h\r\n\r\n"));
	CU_ASSERT_TRUE(bp_rawcall_wait(call, "Retry-After: 1\r\n"));
	bp_rawcall_free(call);
	teardown(&fixture);
}

/* Where the configuration has no customers, keys have no effect, and a queue
 * that the node knows is served from an old configuration as before. */
static void
test_no_customers_no_keys(void)
{
	fixture_t fixture;

	setup(&fixture, true);
	CU_ASSERT_TRUE(all_answered(&fixture, "", "200"));
	CU_ASSERT_TRUE(all_answered(&fixture, KEY_HEADER "wrong\r\n", "200"));
	fixture.router.unconfirmed = true;
	CU_ASSERT_TRUE(all_answered(&fixture, "", "200"));
	CU_ASSERT_STRING_EQUAL(fixture.router.customer, "");
	teardown(&fixture);
}

/* Guards against a server that closes the connection after each request. */
static void
test_connections_are_kept(void)
{
	static const char request[] = "GET /q/00000000000000a1 HTTP/1.1\r\n"
				      "Host: h\r\n\r\n";
	fixture_t fixture;
	bp_rawcall_t *call;

	setup(&fixture, true);
	call = bp_rawcall_new(fixture.port);
	CU_ASSERT_TRUE(bp_rawcall_send_text(call, request));
	CU_ASSERT_TRUE(bp_rawcall_wait(call, "queued\"}"));
	CU_ASSERT_TRUE(bp_rawcall_send_text(call, request));
	CU_ASSERT_TRUE(bp_rawcall_wait(call, "queued\"}HTTP/1.1 200"));
	CU_ASSERT_FALSE(bp_rawcall_closed(call));
	bp_rawcall_free(call);
	teardown(&fixture);
}

/* Lets time pass for the admission; the main loop does not run. */
static void
pass(bp_clock_virtual_t *clock, bp_admission_t *admission, int64_t ms)
{
	for (; ms > 0; ms -= 500) {
		bp_clock_virtual_advance_us(clock, MIN(ms, 500) * 1000);
		bp_admission_check(admission);
	}
}

/* Returns a connection that had one request answered and is idle. */
static bp_rawcall_t *
open_idle(fixture_t *fixture)
{
	bp_rawcall_t *call = bp_rawcall_new(fixture->port);

	CU_ASSERT_TRUE(
	    bp_rawcall_send_text(call, "GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n"));
	CU_ASSERT_TRUE(bp_rawcall_wait(call, "\"pending\""));
	bp_run_for_ms(20);
	return call;
}

/* Sends bytes that arrive in the socket, while the main loop does not run. */
static void
send_part(bp_rawcall_t *call, const char *text)
{
	CU_ASSERT_TRUE(bp_rawcall_send_text(call, text));
	g_usleep(SEGMENT_US);
}

/*
 * Guards against a node that was busy and closes a connection as idle, or for
 * a new one at the bound, while a request waits unread in its socket. A part
 * of a head keeps the connection for no longer than a head may take.
 */
static void
test_an_unread_request_is_not_idle(void)
{
	bp_clock_virtual_t *clock = bp_clock_virtual_new(1000000);
	bp_admission_options_t options;
	bp_admission_t *admission;
	bp_rawcall_t *calls[3];
	fixture_t fixture;
	size_t i;

	bp_admission_options_init(&options, 160, 4100);
	options.clock = bp_clock_virtual_clock(clock);
	options.manual = true;
	options.connections_max[BP_ADMISSION_CALLERS] = 2;
	admission = bp_admission_new(&options);
	setup_with_admission(&fixture, true, admission);
	for (i = 0; i < 2; i++)
		calls[i] = open_idle(&fixture);
	pass(clock, admission, 14900);
	send_part(calls[0], "GET /q/00000000");
	pass(clock, admission, 1000);
	CU_ASSERT_EQUAL(
	    bp_admission_connections(admission, BP_ADMISSION_CALLERS), 1);
	send_part(calls[0], "000000a1 HTTP/1.1\r\nHost: h\r\n\r\n");
	CU_ASSERT_TRUE(bp_rawcall_wait(calls[0], "\"state\""));
	CU_ASSERT_TRUE(bp_rawcall_wait_closed(calls[1]));
	bp_rawcall_free(calls[1]);
	/* At the bound the next one goes. */
	calls[1] = open_idle(&fixture);
	send_part(calls[0], "GET /q/");
	calls[2] = open_idle(&fixture);
	CU_ASSERT_TRUE(bp_rawcall_wait_closed(calls[1]));
	bp_rawcall_free(calls[1]);
	bp_rawcall_free(calls[0]);
	bp_run_for_ms(20);
	/* An unread part of a head ends with the time for heads. */
	pass(clock, admission, 14900);
	send_part(calls[2], "GET");
	pass(clock, admission, 4500);
	CU_ASSERT_EQUAL(
	    bp_admission_connections(admission, BP_ADMISSION_CALLERS), 0);
	CU_ASSERT_TRUE(bp_rawcall_wait_closed(calls[2]));
	bp_rawcall_free(calls[2]);
	bp_run_for_ms(20);
	teardown(&fixture);
	bp_run_for_ms(20);
	bp_admission_free(admission);
	bp_clock_virtual_free(clock);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"large bodies are not kept", test_large_bodies_are_not_kept},
	    {"large bodies are refused", test_large_bodies_are_refused},
	    {"endless headers", test_endless_headers},
	    {"odd requests", test_odd_requests},
	    {"open calls", test_open_calls},
	    {"a caller that has gone submits nothing",
		test_a_caller_that_has_gone_submits_nothing},
	    {"calls without a valid key", test_calls_without_a_valid_key},
	    {"keys of an old configuration", test_keys_of_an_old_configuration},
	    {"no customers, no keys", test_no_customers_no_keys},
	    {"connections are kept", test_connections_are_kept},
	    {"an unread request is not idle",
		test_an_unread_request_is_not_idle},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("adapter/front", tests);
}
