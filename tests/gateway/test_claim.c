#include "bulrushpost/gateway.h"
#include "support/caller.h"
#include "support/executor.h"
#include "support/runner.h"

#include <string.h>

#define KEY_BYTES 64

/* A claimer that answers as told, at once or when asked to. */
typedef struct {
	bp_key_claimer_t claimer;
	bp_claim_result_t result;
	bool hold;
	int claims;
	bp_claim_done_t done;
	void *data;
} fake_claimer_t;

static void
claim(const bp_key_claimer_t *claimer, const char *service, const char *key,
    int64_t issued_s, bp_claim_done_t done, void *data)
{
	fake_claimer_t *fake = (fake_claimer_t *)claimer;

	fake->claims++;
	fake->done = done;
	fake->data = data;
	if (!fake->hold)
		done(fake->result, "node-7", data);
}

typedef struct {
	fake_claimer_t fake;
	bp_gateway_t *gateway;
	executor_t *executor;
	caller_t caller;
	char header[KEY_BYTES];
} fixture_t;

static void
new_key(fixture_t *f, const char *text, int64_t age_s)
{
	g_snprintf(f->header, sizeof(f->header),
	    "Idempotency-Key: %" G_GINT64_FORMAT "-%s",
	    g_get_real_time() / G_USEC_PER_SEC - age_s, text);
}

static void
start(fixture_t *f, bp_claim_result_t result)
{
	bp_gateway_endpoint_t endpoint = {.name = "e", .service = "s"};
	bp_gateway_options_t options;

	memset(f, 0, sizeof(*f));
	f->fake.claimer.claim = claim;
	f->fake.result = result;
	bp_gateway_options_init(&options);
	options.claimer = &f->fake.claimer;
	CU_ASSERT_EQUAL_FATAL(
	    bp_gateway_new(&f->gateway, &options, NULL), BP_OK);
	f->executor = executor_new(EXECUTOR_OK);
	endpoint.url = executor_url(f->executor);
	bp_gateway_set_endpoints(f->gateway, &endpoint, 1, NULL);
	caller_init(&f->caller, bp_gateway_port(f->gateway));
	new_key(f, "a", 0);
}

static void
stop(fixture_t *f)
{
	caller_clear(&f->caller);
	bp_gateway_free(f->gateway);
	executor_free(f->executor);
}

static bool
expect(fixture_t *f, guint status, const char *outcome)
{
	return caller_expect(
	    &f->caller, "POST", "/s/x", f->header, status, outcome);
}

/* Guards against a dispatch before the claim, or a second one after it. */
static void
test_claim_comes_before_dispatch(void)
{
	fixture_t f;
	call_t *call;

	start(&f, BP_CLAIM_NOW);
	f.fake.hold = true;
	call = caller_send(&f.caller, "POST", "/s/x", f.header, NULL);
	caller_run_ms(50);
	CU_ASSERT_EQUAL(executor_requests(f.executor), 0);
	CU_ASSERT_TRUE(expect(&f, 409, "not_known"));
	f.fake.done(BP_CLAIM_NOW, NULL, f.fake.data);
	call_wait(call);
	CU_ASSERT_EQUAL(call_status(call), 200);
	call_free(call);
	CU_ASSERT_TRUE(expect(&f, 409, "ran"));
	CU_ASSERT_EQUAL(f.fake.claims, 1);
	CU_ASSERT_EQUAL(executor_requests(f.executor), 1);
	new_key(&f, "old", 700);
	CU_ASSERT_TRUE(expect(&f, 410, "not_run"));
	new_key(&f, "ahead", -700);
	CU_ASSERT_TRUE(expect(&f, 400, "not_run"));
	stop(&f);
}

/* Guards against running, or promising, without a claim. */
static void
test_results_of_claims(void)
{
	fixture_t f;

	start(&f, BP_CLAIM_TAKEN);
	CU_ASSERT_TRUE(expect(&f, 409, "not_known"));
	f.fake.result = BP_CLAIM_LOG_UNAVAILABLE;
	CU_ASSERT_TRUE(expect(&f, 503, "not_run"));
	f.fake.result = BP_CLAIM_NOT_KNOWN;
	CU_ASSERT_TRUE(expect(&f, 504, "not_known"));
	CU_ASSERT_EQUAL(executor_requests(f.executor), 0);
	/* A key that was not claimed may be used again, but no other. */
	f.fake.result = BP_CLAIM_NOW;
	CU_ASSERT_TRUE(expect(&f, 409, "not_known"));
	new_key(&f, "b", 0);
	executor_set_mode(f.executor, EXECUTOR_CLOSE);
	CU_ASSERT_TRUE(expect(&f, 502, "not_known"));
	CU_ASSERT_TRUE(expect(&f, 409, "not_known"));
	CU_ASSERT_EQUAL(executor_requests(f.executor), 1);
	stop(&f);
}

/* Guards against a late claim that dispatches or touches freed memory. */
static void
test_late_claims_do_nothing(void)
{
	char header[2 * KEY_BYTES];
	bp_claim_done_t done;
	fixture_t f;
	void *data;
	call_t *call;

	start(&f, BP_CLAIM_NOW);
	f.fake.hold = true;
	g_snprintf(header, sizeof(header), "%s\nX-Deadline-Ms: 50", f.header);
	CU_ASSERT_TRUE(
	    caller_expect(&f.caller, "POST", "/s/x", header, 504, "not_known"));
	f.fake.done(BP_CLAIM_NOW, NULL, f.fake.data);
	CU_ASSERT_TRUE(expect(&f, 409, "not_run"));
	new_key(&f, "b", 0);
	call = caller_send(&f.caller, "POST", "/s/x", f.header, NULL);
	caller_run_ms(50);
	done = f.fake.done;
	data = f.fake.data;
	CU_ASSERT_EQUAL(executor_requests(f.executor), 0);
	stop(&f);
	done(BP_CLAIM_NOW, NULL, data);
	call_wait(call);
	call_free(call);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"before dispatch", test_claim_comes_before_dispatch},
	    {"results", test_results_of_claims},
	    {"late", test_late_claims_do_nothing},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway-claim", tests);
}
