#include "bulrushpost/gateway.h"
#include "bulrushpost/hash.h"
#include "support/gatewayfix.h"
#include "support/rawcall.h"
#include "support/runner.h"

#include <string.h>

static bool
expect(fix_t *f, const char *method, const char *headers, guint status,
    const char *outcome)
{
	return fix_expect(f, method, "/s/x", headers, status, outcome);
}

/* Returns the requests received by an executor, or by all for index -1. */
static int
count_received(const fix_t *f, int index)
{
	int sum = 0;
	int i;

	for (i = 0; i < f->n; i++) {
		if (index < 0 || i == index)
			sum += executor_count(f->executors[i], "");
	}
	return sum;
}

static void
set_mode(fix_t *f, int index, executor_mode_t mode)
{
	g_atomic_int_set(&f->executors[index]->mode, (gint)mode);
}

static void
set_delay(fix_t *f, int delay_ms)
{
	g_atomic_int_set(&f->executors[0]->delay_ms, delay_ms);
}

/*
 * Guards against a response that is changed or lacks the caller's request id,
 * and against a decoded path, which could inject headers into the request.
 */
static void
test_whole_response_is_forwarded(void)
{
	fix_t f;
	gint64 remaining_ms;
	call_t *call;
	char *id;
	int i;

	fix_start(&f, 1, EXECUTOR_OK, NULL);
	call = call_wait(call_new(&f, "POST", "/s/a%20b%0D%0AX-Class:?c=%26",
	    "X-Request-Id: mine\nX-Class: urgent\nX-Deadline-Ms: 5000", "hi"));
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
	remaining_ms = g_ascii_strtoll(id, NULL, 10);
	CU_ASSERT_TRUE(remaining_ms > 4000 && remaining_ms <= 5000);
	g_free(id);
	call_free(call);
	CU_ASSERT_TRUE(expect(&f, "HEAD", NULL, 200, NULL));
	set_mode(&f, 0, EXECUTOR_CHUNKED);
	for (i = 0; i < 5; i++) {
		CU_ASSERT_TRUE(expect(&f, "GET", NULL, 200, NULL));
		CU_ASSERT_TRUE(expect(&f, "POST", NULL, 200, NULL));
	}
	fix_stop(&f);
}

/* Guards against forwarding a response that belongs to another request. */
static void
test_crossed_response_is_discarded(void)
{
	fix_t f;

	fix_start(&f, 1, EXECUTOR_WRONG_ECHO, NULL);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "not_known"));
	CU_ASSERT_EQUAL(count_received(&f, 0), 1);
	set_mode(&f, 0, EXECUTOR_NO_ECHO);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "not_known"));
	set_mode(&f, 0, EXECUTOR_WRONG_ECHO);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 502, "not_known"));
	CU_ASSERT_EQUAL(fix_counters(&f).mismatched, 3);
	/* The connection of a discarded response is not reused. */
	set_mode(&f, 0, EXECUTOR_OK);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 200, NULL));
	CU_ASSERT_EQUAL(f.executors[0]->connections, 4);
	fix_stop(&f);
}

/* Guards against a surplus response that is matched to the next request. */
static void
test_surplus_response_is_discarded(void)
{
	fix_t f;
	int i;

	fix_start(&f, 1, EXECUTOR_TWICE, NULL);
	for (i = 0; i < 10; i++) {
		char *path = g_strdup_printf("/s/%d", i);
		call_t *call = call_new(&f, "GET", path, NULL, NULL);
		char *id;

		call_wait(call);
		id = executor_header(f.executors[0], "X-Request-Id");
		CU_ASSERT_TRUE(
		    call_status(call) == 502 || call_body_has(call, id));
		g_free(id);
		g_free(path);
		call_free(call);
	}
	fix_stop(&f);
}

/* Guards against forwarding a truncated response as complete. */
static void
test_truncated_response_is_discarded(void)
{
	const executor_mode_t modes[] = {
	    EXECUTOR_TRUNCATED, EXECUTOR_CUT_CHUNKS, EXECUTOR_NO_LENGTH};
	fix_t f;
	size_t i;

	fix_start(&f, 1, EXECUTOR_OK, NULL);
	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		set_mode(&f, 0, modes[i]);
		CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "not_known"));
		CU_ASSERT_EQUAL(count_received(&f, 0), (int)i + 1);
	}
	CU_ASSERT_EQUAL(fix_counters(&f).truncated, 3);
	set_mode(&f, 0, EXECUTOR_LARGE);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "ran"));
	CU_ASSERT_EQUAL(fix_counters(&f).too_large_responses, 1);
	fix_stop(&f);
}

/* Guards against a late response that is matched to the next request. */
static void
test_late_response_is_not_used(void)
{
	fix_t f;
	int i;

	fix_start(&f, 1, EXECUTOR_SLOW, NULL);
	set_delay(&f, 150);
	CU_ASSERT_TRUE(
	    expect(&f, "GET", "X-Deadline-Ms: 60", 504, "not_known"));
	set_delay(&f, 0);
	for (i = 0; i < 10; i++) {
		call_t *call = call_new(&f, "GET", "/s/next", NULL, NULL);
		char *id;

		call_wait(call);
		id = executor_header(f.executors[0], "X-Request-Id");
		CU_ASSERT_EQUAL(call_status(call), 200);
		CU_ASSERT_TRUE(call_body_has(call, id));
		g_free(id);
		call_free(call);
		fix_run_ms(20);
	}
	CU_ASSERT_TRUE(expect(&f, "GET", "X-Deadline-Ms: 0", 504, "not_run"));
	fix_stop(&f);
}

/* Guards against a missing retry or a wrong outcome if an executor is down. */
static void
test_refused_connection_is_retried_elsewhere(void)
{
	GSocket *holder;
	char *dead = executor_dead_url(&holder);
	fix_t f;
	int i;

	fix_start(&f, 2, EXECUTOR_OK, NULL);
	f.endpoints[1].url = dead;
	fix_set_endpoints(&f);
	for (i = 0; i < 20; i++)
		CU_ASSERT_TRUE(expect(&f, "POST", NULL, 200, NULL));
	CU_ASSERT_EQUAL(count_received(&f, 0), 20);
	CU_ASSERT_TRUE(fix_counters(&f).refused_connections > 0);
	f.endpoints[0].url = dead;
	fix_set_endpoints(&f);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 503, "not_run"));
	fix_stop(&f);
	g_free(dead);
	g_object_unref(holder);
}

/* Guards against running a non-idempotent request twice. */
static void
test_non_idempotent_is_sent_once(void)
{
	fix_t f;
	int sent;

	fix_start(&f, 2, EXECUTOR_OK, NULL);
	/* Opens connections that libsoup could reuse and resend on. */
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 200, NULL));
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 200, NULL));
	set_mode(&f, 0, EXECUTOR_CLOSE);
	set_mode(&f, 1, EXECUTOR_CLOSE);
	sent = count_received(&f, -1);
	CU_ASSERT_TRUE(expect(&f, "POST", NULL, 502, "not_known"));
	CU_ASSERT_TRUE(expect(&f, "PUT", NULL, 502, "not_known"));
	CU_ASSERT_TRUE(expect(&f, "DELETE", NULL, 502, "not_known"));
	CU_ASSERT_TRUE(expect(&f, "GET", "X-Idempotent: no", 502, "not_known"));
	CU_ASSERT_EQUAL(count_received(&f, -1), sent + 4);
	CU_ASSERT_TRUE(
	    expect(&f, "POST", "X-Idempotent: yes", 502, "not_known"));
	CU_ASSERT_TRUE(count_received(&f, -1) >= sent + 6);
	CU_ASSERT_TRUE(fix_counters(&f).retries >= 1);
	fix_stop(&f);
}

/* Guards against new requests to a leaving endpoint, and lost current ones. */
static void
test_leaving_endpoint_only_finishes(void)
{
	bp_gateway_endpoint_t bad = {.name = "bad", .url = "x", .service = "s"};
	fix_t f;
	call_t *call;
	int i;

	fix_start(&f, 1, EXECUTOR_SLOW, NULL);
	set_delay(&f, 200);
	call = call_new(&f, "GET", "/s/x", NULL, NULL);
	fix_run_ms(50);
	/* An invalid endpoint must not block the update. */
	f.endpoints[1] = bad;
	f.endpoints[0].leaving = true;
	CU_ASSERT_EQUAL(
	    bp_gateway_set_endpoints(f.gateway, f.endpoints, 2, NULL),
	    BP_EINVALID);
	for (i = 0; i < 5; i++)
		CU_ASSERT_TRUE(expect(&f, "GET", NULL, 503, "not_run"));
	CU_ASSERT_EQUAL(bp_gateway_set_endpoints(f.gateway, NULL, 0, NULL), 0);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 404, "not_run"));
	call_wait(call);
	CU_ASSERT_EQUAL(call_status(call), 200);
	CU_ASSERT_EQUAL(count_received(&f, 0), 1);
	call_free(call);
	f.endpoints[0].leaving = false;
	f.endpoints[0].zone_out = true;
	fix_set_endpoints(&f);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 503, "not_run"));
	CU_ASSERT_EQUAL(count_received(&f, 0), 1);
	fix_stop(&f);
}

/* Guards against an endpoint that attracts requests by failing fast. */
static void
test_failing_endpoint_is_ejected(void)
{
	call_t *calls[12];
	fix_t f;
	int i;
	int j;

	fix_start(&f, 3, EXECUTOR_OK, NULL);
	set_mode(&f, 1, EXECUTOR_ERROR);
	for (i = 0; i < 96; i++) {
		calls[i % 12] = call_new(&f, "GET", "/s/x", NULL, NULL);
		if (i % 12 < 11)
			continue;
		for (j = 0; j < 12; j++) {
			call_wait(calls[j]);
			call_free(calls[j]);
		}
	}
	CU_ASSERT_EQUAL(fix_counters(&f).endpoints_ejected, 1);
	CU_ASSERT_TRUE(count_received(&f, 1) <= 8);
	fix_stop(&f);
}

static void
on_drained(bp_gateway_t *gateway, void *data)
{
	*(bool *)data = true;
}

/* Guards against a drain that aborts requests in flight. */
static void
test_drain_cuts_nothing(void)
{
	bool drained = false;
	call_t *calls[5];
	fix_t f;
	int i;

	fix_start(&f, 1, EXECUTOR_SLOW, NULL);
	set_delay(&f, 250);
	CU_ASSERT_TRUE(fix_expect(&f, "GET", "/healthz", NULL, 200, "ran"));
	for (i = 0; i < 5; i++)
		calls[i] = call_new(&f, "POST", "/s/x", NULL, "text");
	fix_run_ms(60);
	bp_gateway_drain(f.gateway, on_drained, &drained);
	CU_ASSERT_FALSE(drained);
	CU_ASSERT_TRUE(expect(&f, "GET", NULL, 503, "not_run"));
	CU_ASSERT_TRUE(fix_expect(&f, "GET", "/healthz", NULL, 503, "not_run"));
	CU_ASSERT_FALSE(drained);
	for (i = 0; i < 5; i++) {
		call_wait(calls[i]);
		CU_ASSERT_EQUAL(call_status(calls[i]), 200);
		CU_ASSERT_TRUE(call_body_has(calls[i], "the whole answer"));
		call_free(calls[i]);
	}
	fix_run_ms(20);
	CU_ASSERT_TRUE(drained);
	CU_ASSERT_EQUAL(count_received(&f, 0), 5);
	fix_stop(&f);
}

/* Guards against unbounded memory, and a refusal without an outcome. */
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
	char *response;
	call_t *call;
	fix_t f;

	fix_start(&f, 1, EXECUTOR_OK, NULL);
	CU_ASSERT_TRUE(expect(&f, "GET", header, 413, "not_run"));
	call = call_wait(call_new(&f, "POST", "/s/x", NULL, large));
	CU_ASSERT_EQUAL(call_status(call), 413);
	call_free(call);
	response = fix_raw(&f, chunked, strlen(chunked), 2000);
	CU_ASSERT_PTR_NOT_NULL(strstr(response, " 413 "));
	CU_ASSERT_PTR_NOT_NULL(strstr(response, "X-Outcome: not_run"));
	CU_ASSERT_EQUAL(count_received(&f, 0), 0);
	CU_ASSERT_TRUE(expect(&f, "GET", fits, 200, NULL));
	large[1024 * 1024] = '\0';
	call = call_wait(call_new(&f, "POST", "/s/x", NULL, large));
	CU_ASSERT_EQUAL(call_status(call), 200);
	call_free(call);
	fix_stop(&f);
	g_free(response);
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
	fix_t f;
	int i;

	fix_start(&f, 1, EXECUTOR_SLOW, NULL);
	set_delay(&f, 30);
	for (i = 0; i < 24; i++)
		calls[i] = call_new(&f, "GET", "/s/x", "X-Class: urgent", NULL);
	for (i = 0; i < 24; i++) {
		call_wait(calls[i]);
		CU_ASSERT_EQUAL(call_status(calls[i]), 200);
		call_free(calls[i]);
	}
	CU_ASSERT_TRUE(f.executors[0]->peak <= 8);
	fix_stop(&f);
}

/*
 * Guards against shedding urgent requests first, or requests that ran, and
 * against connections that are reset in a burst.
 */
static void
test_batch_is_shed_first(void)
{
	const char *const classes[] = {
	    "X-Class: batch", "X-Class: service", "X-Class: urgent"};
	int succeeded[3] = {0, 0, 0};
	call_t *calls[180];
	fix_t f;
	int i;

	fix_start(&f, 1, EXECUTOR_SLOW, NULL);
	set_delay(&f, 50);
	for (i = 0; i < 180; i++)
		calls[i] = call_new(&f, "POST", "/s/x", classes[i % 3], "x");
	for (i = 0; i < 180; i++) {
		call_wait(calls[i]);
		succeeded[i % 3] += call_status(calls[i]) == 200;
		if (call_status(calls[i]) != 200)
			CU_ASSERT_TRUE(
			    g_strcmp0(call_header(calls[i], "X-Outcome"),
				"not_run") == 0);
		call_free(calls[i]);
	}
	CU_ASSERT_EQUAL(succeeded[2], 60);
	CU_ASSERT_TRUE(succeeded[0] < succeeded[1]);
	CU_ASSERT_EQUAL(
	    count_received(&f, 0), succeeded[0] + succeeded[1] + succeeded[2]);
	CU_ASSERT_EQUAL(
	    fix_counters(&f).shed_batch, (uint64_t)(60 - succeeded[0]));
	fix_stop(&f);
}

/* Guards against requests that stay in flight after the caller disconnected. */
static void
test_cancelled_request_ends(void)
{
	const char *request = "GET /s/x HTTP/1.1\r\nHost: a\r\n\r\n";
	fix_t f;

	fix_start(&f, 1, EXECUTOR_SLOW, NULL);
	set_delay(&f, 400);
	g_free(fix_raw(&f, request, strlen(request), 60));
	fix_run_ms(60);
	CU_ASSERT_EQUAL(fix_counters(&f).cancelled, 1);
	CU_ASSERT_EQUAL(fix_counters(&f).in_flight, 0);
	CU_ASSERT_EQUAL(count_received(&f, 0), 1);
	fix_stop(&f);
}

/* Guards against requests that wait unread, in a paused process or a cut off
 * network, and run after their caller has given up. */
static void
test_abandoned_request_is_not_run(void)
{
	const char *request =
	    "POST /s/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab";
	bp_rawcall_t *call;
	fix_t f;

	fix_start(&f, 1, EXECUTOR_OK, NULL);
	call = bp_rawcall_new(f.port);
	CU_ASSERT_TRUE(bp_rawcall_send_text(call, request));
	bp_rawcall_free(call);
	fix_run_ms(100);
	CU_ASSERT_EQUAL(count_received(&f, 0), 0);
	CU_ASSERT_EQUAL(fix_counters(&f).cancelled, 1);
	CU_ASSERT_EQUAL(fix_counters(&f).in_flight, 0);
	fix_stop(&f);
}

/*
 * Guards against outcomes that contradict the executors' counts: sends 300
 * non-idempotent requests to executors with random faults.
 */
static void
test_outcomes_match_executors(void)
{
	const executor_mode_t modes[] = {EXECUTOR_OK, EXECUTOR_OK,
	    EXECUTOR_CLOSE, EXECUTOR_TRUNCATED, EXECUTOR_WRONG_ECHO,
	    EXECUTOR_BUSY};
	GSocket *holder;
	char *dead = executor_dead_url(&holder);
	bp_random_t random;
	fix_t f;
	int i;

	bp_random_init(&random, 11);
	fix_start(&f, 3, EXECUTOR_OK, NULL);
	for (i = 0; i < 300; i++) {
		uint32_t e = bp_random_below(&random, 3);
		char *path = g_strdup_printf("/s/%d", i);
		char *line = g_strdup_printf(" %s ", path);
		const char *outcome;
		call_t *call;
		int ran = 0;
		int j;

		set_mode(&f, e,
		    modes[bp_random_below(&random, G_N_ELEMENTS(modes))]);
		f.endpoints[e].url = bp_random_below(&random, 4) == 0
		    ? dead
		    : f.executors[e]->url;
		fix_set_endpoints(&f);
		call = call_wait(call_new(&f, "POST", path, NULL, "text"));
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
	fix_stop(&f);
	g_free(dead);
	g_object_unref(holder);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"whole answer", test_whole_response_is_forwarded},
	    {"crossed answer", test_crossed_response_is_discarded},
	    {"surplus answer", test_surplus_response_is_discarded},
	    {"truncated answer", test_truncated_response_is_discarded},
	    {"late answer", test_late_response_is_not_used},
	    {"refused connection",
		test_refused_connection_is_retried_elsewhere},
	    {"sent once", test_non_idempotent_is_sent_once},
	    {"leaving", test_leaving_endpoint_only_finishes},
	    {"ejected", test_failing_endpoint_is_ejected},
	    {"drain", test_drain_cuts_nothing},
	    {"limits", test_limits_of_headers_and_body},
	    {"slots", test_requests_wait_for_slots},
	    {"shedding", test_batch_is_shed_first},
	    {"cancelled", test_cancelled_request_ends},
	    {"abandoned", test_abandoned_request_is_not_run},
	    {"outcomes", test_outcomes_match_executors},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway", tests);
}
