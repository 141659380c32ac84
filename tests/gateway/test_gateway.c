#include "bulrushpost/gateway.h"
#include "bulrushpost/hash.h"
#include "support/caller.h"
#include "support/executor.h"
#include "support/runner.h"

#include <string.h>

#define MAX_EXECUTORS 4

/* A gateway, its executors (service "s") and one caller. */
typedef struct {
	bp_gateway_t *gateway;
	executor_t *executors[MAX_EXECUTORS];
	bp_gateway_endpoint_t endpoints[MAX_EXECUTORS];
	int n;
	caller_t caller;
} fixture_t;

static const char *const names[MAX_EXECUTORS] = {"e0", "e1", "e2", "e3"};

static void
set_endpoints(fixture_t *f)
{
	CU_ASSERT_EQUAL(bp_gateway_set_endpoints(
			    f->gateway, f->endpoints, (size_t)f->n, NULL),
	    BP_OK);
}

static void
start(
    fixture_t *f, int n, executor_mode_t mode, const bp_key_claimer_t *claimer)
{
	bp_gateway_options_t options;
	bp_error_t err;
	int i;

	memset(f, 0, sizeof(*f));
	bp_gateway_options_init(&options);
	options.claimer = claimer;
	options.seed = 7;
	CU_ASSERT_EQUAL_FATAL(
	    bp_gateway_new(&f->gateway, &options, &err), BP_OK);
	f->n = n;
	for (i = 0; i < n; i++) {
		f->executors[i] = executor_new(mode);
		f->endpoints[i] = (bp_gateway_endpoint_t){.name = names[i],
		    .url = executor_url(f->executors[i]),
		    .service = "s",
		    .zone = "a"};
	}
	set_endpoints(f);
	caller_init(&f->caller, bp_gateway_port(f->gateway));
}

static void
stop(fixture_t *f)
{
	int i;

	caller_clear(&f->caller);
	bp_gateway_free(f->gateway);
	for (i = 0; i < f->n; i++)
		executor_free(f->executors[i]);
}

static bool
expect(fixture_t *f, const char *method, const char *headers, guint status,
    const char *outcome)
{
	return caller_expect(
	    &f->caller, method, "/s/x", headers, status, outcome);
}

static bp_gateway_counters_t
counters(const fixture_t *f)
{
	bp_gateway_counters_t out;

	bp_gateway_counters(f->gateway, &out);
	return out;
}

/*
 * Guards against an answer that is changed or lacks the caller's own id, and
 * against a path that is decoded, which could add headers to the request.
 */
static void
test_whole_answer_is_passed_on(void)
{
	fixture_t f;
	gint64 left_ms;
	call_t *call;
	char *id;
	int i;

	start(&f, 1, EXECUTOR_OK, NULL);
	call = caller_send(&f.caller, "POST", "/s/a%20b%0D%0AX-Class:?c=%26",
	    "X-Request-Id: mine\nX-Class: urgent\nX-Deadline-Ms: 5000", "hi");
	call_wait(call);
	CU_ASSERT_EQUAL(call_status(call), 200);
	CU_ASSERT_TRUE(call_body_has(call, "the whole answer to gateway-"));
	CU_ASSERT_STRING_EQUAL(call_header(call, "X-Request-Id"), "mine");
	CU_ASSERT_PTR_NULL(call_header(call, "X-Outcome"));
	CU_ASSERT_EQUAL(executor_count(f.executors[0],
			    "POST /s/a%20b%0D%0AX-Class:?c=%26 "),
	    1);
	CU_ASSERT_EQUAL(executor_count(f.executors[0], "Length: 2\r"), 1);
	id = executor_header(f.executors[0], "X-Deadline-Ms");
	CU_ASSERT_PTR_NOT_NULL_FATAL(id);
	left_ms = g_ascii_strtoll(id, NULL, 10);
	CU_ASSERT_TRUE(left_ms > 4000 && left_ms <= 5000);
	g_free(id);
	call_free(call);
	CU_ASSERT_TRUE(expect(&f, "HEAD", NULL, 200, NULL));
	executor_set_mode(f.executors[0], EXECUTOR_CHUNKED);
	for (i = 0; i < 5; i++) {
		CU_ASSERT_TRUE(expect(&f, "GET", NULL, 200, NULL));
		CU_ASSERT_TRUE(expect(&f, "POST", NULL, 200, NULL));
	}
	stop(&f);
}

/* Guards against passing on an answer that belongs to another request. */
static void
test_crossed_answer_is_discarded(void)
{
	fixture_t f;

	start(&f, 1, EXECUTOR_WRONG_ECHO, NULL);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "not_known"));
	CU_ASSERT_EQUAL(executor_requests(f.executors[0]), 1);
	executor_set_mode(f.executors[0], EXECUTOR_NO_ECHO);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "not_known"));
	executor_set_mode(f.executors[0], EXECUTOR_WRONG_ECHO);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 502, "not_known"));
	CU_ASSERT_EQUAL(counters(&f).mismatched, 3);
	/* The connection of the discarded answer carries nothing more. */
	executor_set_mode(f.executors[0], EXECUTOR_OK);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 200, NULL));
	CU_ASSERT_EQUAL(executor_connections(f.executors[0]), 4);
	stop(&f);
}

/* Guards against a surplus answer reaching the next request. */
static void
test_surplus_answer_is_discarded(void)
{
	fixture_t f;
	int i;

	start(&f, 1, EXECUTOR_TWICE, NULL);
	for (i = 0; i < 10; i++) {
		char *path = g_strdup_printf("/s/%d", i);
		call_t *call = caller_send(&f.caller, "GET", path, NULL, NULL);
		char *id;

		call_wait(call);
		id = executor_header(f.executors[0], "X-Request-Id");
		CU_ASSERT_TRUE(
		    call_status(call) == 502 || call_body_has(call, id));
		g_free(id);
		g_free(path);
		call_free(call);
	}
	stop(&f);
}

/* Guards against passing on a part of an answer as the whole. */
static void
test_truncated_answer_is_discarded(void)
{
	const executor_mode_t modes[] = {
	    EXECUTOR_TRUNCATED, EXECUTOR_CUT_CHUNKS, EXECUTOR_NO_LENGTH};
	fixture_t f;
	size_t i;

	start(&f, 1, EXECUTOR_OK, NULL);
	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		executor_set_mode(f.executors[0], modes[i]);
		CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "not_known"));
		CU_ASSERT_EQUAL(executor_requests(f.executors[0]), (int)i + 1);
	}
	CU_ASSERT_EQUAL(counters(&f).truncated, 3);
	executor_set_mode(f.executors[0], EXECUTOR_LARGE);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "ran"));
	CU_ASSERT_EQUAL(counters(&f).too_large_answers, 1);
	stop(&f);
}

/* Guards against a late answer that reaches the next request. */
static void
test_late_answer_is_not_used(void)
{
	fixture_t f;
	int i;

	start(&f, 1, EXECUTOR_SLOW, NULL);
	executor_set_delay(f.executors[0], 150);
	CU_ASSERT_TRUE(
	    expect(&f, "GET", "X-Deadline-Ms: 60", 504, "not_known"));
	executor_set_delay(f.executors[0], 0);
	for (i = 0; i < 10; i++) {
		call_t *call =
		    caller_send(&f.caller, "GET", "/s/next", NULL, NULL);
		char *id;

		call_wait(call);
		id = executor_header(f.executors[0], "X-Request-Id");
		CU_ASSERT_EQUAL(call_status(call), 200);
		CU_ASSERT_TRUE(call_body_has(call, id));
		g_free(id);
		call_free(call);
		caller_run_ms(20);
	}
	CU_ASSERT_TRUE(expect(&f, "GET", "X-Deadline-Ms: 0", 504, "not_run"));
	stop(&f);
}

/* Guards against giving up, or lying, when an executor is gone. */
static void
test_refused_connection_is_retried_elsewhere(void)
{
	char *dead = executor_dead_url();
	fixture_t f;
	int i;

	start(&f, 2, EXECUTOR_OK, NULL);
	f.endpoints[1].url = dead;
	set_endpoints(&f);
	for (i = 0; i < 20; i++)
		CU_ASSERT_TRUE(expect(&f, "POST", NULL, 200, NULL));
	CU_ASSERT_EQUAL(executor_requests(f.executors[0]), 20);
	CU_ASSERT_TRUE(counters(&f).refused_connections > 0);
	f.endpoints[0].url = dead;
	set_endpoints(&f);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 503, "not_run"));
	stop(&f);
	g_free(dead);
}

/* Guards against running a non-idempotent request twice. */
static void
test_non_idempotent_is_sent_once(void)
{
	fixture_t f;
	int sent;

	start(&f, 2, EXECUTOR_OK, NULL);
	/* Kept connections, on which libsoup would repeat by itself. */
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 200, NULL));
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 200, NULL));
	executor_set_mode(f.executors[0], EXECUTOR_CLOSE);
	executor_set_mode(f.executors[1], EXECUTOR_CLOSE);
	sent = executor_requests(f.executors[0]) +
	    executor_requests(f.executors[1]);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "not_known"));
	CU_ASSERT_TRUE(expect(&f, "PUT", NULL, 502, "not_known"));
	CU_ASSERT_TRUE(expect(&f, "DELETE", NULL, 502, "not_known"));
	CU_ASSERT_TRUE(expect(&f, "GET", "X-Idempotent: no", 502, "not_known"));
	CU_ASSERT_EQUAL(executor_requests(f.executors[0]) +
		executor_requests(f.executors[1]),
	    sent + 4);
	CU_ASSERT_TRUE(
	    expect(&f, "POST", "X-Idempotent: yes", 502, "not_known"));
	CU_ASSERT_TRUE(executor_requests(f.executors[0]) +
		executor_requests(f.executors[1]) >=
	    sent + 6);
	CU_ASSERT_TRUE(counters(&f).retries >= 1);
	stop(&f);
}

/* Guards against new work for a leaving endpoint, and against cutting it. */
static void
test_leaving_endpoint_only_finishes(void)
{
	fixture_t f;
	call_t *call;
	int i;

	start(&f, 1, EXECUTOR_SLOW, NULL);
	executor_set_delay(f.executors[0], 200);
	call = caller_send(&f.caller, "GET", "/s/x", NULL, NULL);
	caller_run_ms(50);
	f.endpoints[0].leaving = true;
	set_endpoints(&f);
	for (i = 0; i < 5; i++)
		CU_ASSERT_TRUE(expect(&f, "GET", NULL, 503, "not_run"));
	CU_ASSERT_EQUAL(bp_gateway_set_endpoints(f.gateway, NULL, 0, NULL), 0);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 404, "not_run"));
	call_wait(call);
	CU_ASSERT_EQUAL(call_status(call), 200);
	CU_ASSERT_EQUAL(executor_requests(f.executors[0]), 1);
	call_free(call);
	f.endpoints[0].leaving = false;
	f.endpoints[0].zone_out = true;
	set_endpoints(&f);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 503, "not_run"));
	CU_ASSERT_EQUAL(executor_requests(f.executors[0]), 1);
	stop(&f);
}

/* Guards against an endpoint that attracts work by failing fast. */
static void
test_failing_endpoint_is_ejected(void)
{
	call_t *calls[12];
	fixture_t f;
	int i;
	int j;

	start(&f, 3, EXECUTOR_OK, NULL);
	executor_set_mode(f.executors[1], EXECUTOR_ERROR);
	for (i = 0; i < 96; i++) {
		calls[i % 12] =
		    caller_send(&f.caller, "GET", "/s/x", NULL, NULL);
		if (i % 12 < 11)
			continue;
		for (j = 0; j < 12; j++) {
			call_wait(calls[j]);
			call_free(calls[j]);
		}
	}
	CU_ASSERT_EQUAL(counters(&f).endpoints_ejected, 1);
	CU_ASSERT_TRUE(executor_requests(f.executors[1]) <= 8);
	stop(&f);
}

static void
on_drained(bp_gateway_t *gateway, void *data)
{
	*(bool *)data = true;
}

/* Guards against a planned stop that cuts a request. */
static void
test_drain_cuts_nothing(void)
{
	bool drained = false;
	call_t *calls[5];
	fixture_t f;
	int i;

	start(&f, 1, EXECUTOR_SLOW, NULL);
	executor_set_delay(f.executors[0], 250);
	CU_ASSERT_TRUE(
	    caller_expect(&f.caller, "GET", "/healthz", NULL, 200, "ran"));
	for (i = 0; i < 5; i++)
		calls[i] = caller_send(&f.caller, "POST", "/s/x", NULL, "text");
	caller_run_ms(60);
	bp_gateway_drain(f.gateway, on_drained, &drained);
	CU_ASSERT_FALSE(drained);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 503, "not_run"));
	CU_ASSERT_TRUE(
	    caller_expect(&f.caller, "GET", "/healthz", NULL, 503, "not_run"));
	CU_ASSERT_FALSE(drained);
	for (i = 0; i < 5; i++) {
		call_wait(calls[i]);
		CU_ASSERT_EQUAL(call_status(calls[i]), 200);
		CU_ASSERT_TRUE(call_body_has(calls[i], "the whole answer"));
		call_free(calls[i]);
	}
	caller_run_ms(20);
	CU_ASSERT_TRUE(drained);
	CU_ASSERT_EQUAL(executor_requests(f.executors[0]), 5);
	stop(&f);
}

/* Guards against unbounded memory, and a refusal that is not explained. */
static void
test_limits_of_headers_and_body(void)
{
	char *large = g_strnfill(1024 * 1024 + 1, 'x');
	char *header = g_strdup_printf("X-Large: %.*s", 20000, large);
	char *fits = g_strdup_printf("X-Large: %.*s", 15000, large);
	char *chunked = g_strdup_printf("POST /s/x HTTP/1.1\r\nHost: a\r\n"
					"Transfer-Encoding: chunked\r\n\r\n"
					"%x\r\n%s\r\n0\r\n\r\n",
	    1024 * 1024 + 1, large);
	char *answer;
	call_t *call;
	fixture_t f;

	start(&f, 1, EXECUTOR_OK, NULL);
	CU_ASSERT_TRUE(expect(&f, "GET", header, 413, "not_run"));
	call = caller_send(&f.caller, "POST", "/s/x", NULL, large);
	call_wait(call);
	CU_ASSERT_EQUAL(call_status(call), 413);
	call_free(call);
	answer = caller_raw(f.caller.port, chunked, strlen(chunked), 2000);
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, " 413 "));
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, "X-Outcome: not_run"));
	CU_ASSERT_EQUAL(executor_requests(f.executors[0]), 0);
	CU_ASSERT_TRUE(expect(&f, "GET", fits, 200, NULL));
	large[1024 * 1024] = '\0';
	call = caller_send(&f.caller, "POST", "/s/x", NULL, large);
	call_wait(call);
	CU_ASSERT_EQUAL(call_status(call), 200);
	call_free(call);
	stop(&f);
	g_free(answer);
	g_free(chunked);
	g_free(fits);
	g_free(header);
	g_free(large);
}

/* Guards against more requests at an executor than it has slots. */
static void
test_requests_wait_for_slots(void)
{
	call_t *calls[24];
	fixture_t f;
	int i;

	start(&f, 1, EXECUTOR_SLOW, NULL);
	executor_set_delay(f.executors[0], 30);
	for (i = 0; i < 24; i++)
		calls[i] = caller_send(
		    &f.caller, "GET", "/s/x", "X-Class: urgent", NULL);
	for (i = 0; i < 24; i++) {
		call_wait(calls[i]);
		CU_ASSERT_EQUAL(call_status(calls[i]), 200);
		call_free(calls[i]);
	}
	CU_ASSERT_TRUE(executor_peak(f.executors[0]) <= 8);
	stop(&f);
}

/* Guards against work for a caller that has gone. */
static void
test_cancelled_request_ends(void)
{
	const char *request = "GET /s/x HTTP/1.1\r\nHost: a\r\n\r\n";
	fixture_t f;

	start(&f, 1, EXECUTOR_SLOW, NULL);
	executor_set_delay(f.executors[0], 400);
	g_free(caller_raw(f.caller.port, request, strlen(request), 60));
	caller_run_ms(60);
	CU_ASSERT_EQUAL(counters(&f).cancelled, 1);
	CU_ASSERT_EQUAL(counters(&f).in_flight, 0);
	CU_ASSERT_EQUAL(executor_requests(f.executors[0]), 1);
	stop(&f);
}

/*
 * Guards against an outcome that differs from what executors counted, in
 * 300 non-idempotent requests to executors that misbehave at random.
 */
static void
test_outcomes_match_executors(void)
{
	const executor_mode_t modes[] = {EXECUTOR_OK, EXECUTOR_OK,
	    EXECUTOR_CLOSE, EXECUTOR_TRUNCATED, EXECUTOR_WRONG_ECHO,
	    EXECUTOR_BUSY};
	char *dead = executor_dead_url();
	bp_random_t random;
	fixture_t f;
	int i;

	bp_random_init(&random, 11);
	start(&f, 3, EXECUTOR_OK, NULL);
	for (i = 0; i < 300; i++) {
		uint32_t e = bp_random_below(&random, 3);
		char *path = g_strdup_printf("/s/%d", i);
		char *line = g_strdup_printf(" %s ", path);
		const char *outcome;
		call_t *call;
		int ran = 0;
		int j;

		executor_set_mode(f.executors[e],
		    modes[bp_random_below(&random, G_N_ELEMENTS(modes))]);
		f.endpoints[e].url = bp_random_below(&random, 4) == 0
		    ? dead
		    : executor_url(f.executors[e]);
		set_endpoints(&f);
		call = caller_send(&f.caller, "POST", path, NULL, "text");
		call_wait(call);
		for (j = 0; j < 3; j++)
			ran += executor_count(f.executors[j], line);
		outcome = call_header(call, "X-Outcome");
		CU_ASSERT_TRUE(ran <= 1);
		if (g_strcmp0(outcome, "not_run") == 0)
			CU_ASSERT_EQUAL(ran, 0);
		if (outcome == NULL || strcmp(outcome, "ran") == 0)
			CU_ASSERT_EQUAL(ran, 1);
		call_free(call);
		g_free(line);
		g_free(path);
	}
	stop(&f);
	g_free(dead);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"whole answer", test_whole_answer_is_passed_on},
	    {"crossed answer", test_crossed_answer_is_discarded},
	    {"surplus answer", test_surplus_answer_is_discarded},
	    {"truncated answer", test_truncated_answer_is_discarded},
	    {"late answer", test_late_answer_is_not_used},
	    {"refused connection",
		test_refused_connection_is_retried_elsewhere},
	    {"sent once", test_non_idempotent_is_sent_once},
	    {"leaving", test_leaving_endpoint_only_finishes},
	    {"ejected", test_failing_endpoint_is_ejected},
	    {"drain", test_drain_cuts_nothing},
	    {"limits", test_limits_of_headers_and_body},
	    {"slots", test_requests_wait_for_slots},
	    {"cancelled", test_cancelled_request_ends},
	    {"outcomes", test_outcomes_match_executors},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway", tests);
}
