#include "bulrushpost/gateway.h"
#include "support/gatewayfix.h"
#include "support/runner.h"

#include <string.h>

#define KEY_BYTES 64

/* A claimer with a set result, which it reports at once or when told to. */
typedef struct {
	bp_key_claimer_t claimer;
	bp_claim_result_t result;
	uint32_t holder_status;
	bool deferred;
	int claims;
	bp_claim_done_t done;
	void *data;
} fake_claimer_t;

static void
claim(const bp_key_claimer_t *claimer, const char *service, const char *key,
    int64_t issued_s, bp_claim_done_t done, void *data)
{
	fake_claimer_t *fake = (fake_claimer_t *)claimer;

	bp_key_holder_t holder = {.node = "node-7",
	    .outcome = fake->holder_status != 0 ? BP_OUTCOME_RAN
						: BP_OUTCOME_NOT_KNOWN,
	    .http_status = fake->holder_status};

	fake->claims++;
	fake->done = done;
	fake->data = data;
	if (!fake->deferred)
		done(fake->result, &holder, data);
}

typedef struct {
	fake_claimer_t fake;
	fix_t fix;
	char header[KEY_BYTES];
} claim_fix_t;

static void
new_key(claim_fix_t *f, const char *text, int64_t age_s)
{
	g_snprintf(f->header, sizeof(f->header),
	    "Idempotency-Key: %" G_GINT64_FORMAT "-%s",
	    g_get_real_time() / G_USEC_PER_SEC - age_s, text);
}

static void
start(claim_fix_t *f, bp_claim_result_t result)
{
	memset(f, 0, sizeof(*f));
	f->fake.claimer.claim = claim;
	f->fake.result = result;
	fix_start(&f->fix, 1, EXECUTOR_OK, &f->fake.claimer);
	new_key(f, "a", 0);
}

static bool
expect(claim_fix_t *f, guint status, const char *outcome)
{
	return fix_expect(&f->fix, "POST", "/s/x", f->header, status, outcome);
}

/* Guards against a dispatch before the claim, and a second dispatch. */
static void
test_claim_comes_before_dispatch(void)
{
	claim_fix_t f;
	call_t *call;

	start(&f, BP_CLAIM_NOW);
	f.fake.deferred = true;
	call = call_new(&f.fix, "POST", "/s/x", f.header, NULL);
	fix_run_ms(50);
	CU_ASSERT_EQUAL(executor_count(f.fix.executors[0], ""), 0);
	CU_ASSERT_TRUE(expect(&f, 409, "not_known"));
	f.fake.done(BP_CLAIM_NOW, NULL, f.fake.data);
	call_wait(call);
	CU_ASSERT_EQUAL(call_status(call), 200);
	call_free(call);
	CU_ASSERT_TRUE(expect(&f, 409, "ran"));
	CU_ASSERT_EQUAL(f.fake.claims, 1);
	CU_ASSERT_EQUAL(executor_count(f.fix.executors[0], ""), 1);
	new_key(&f, "old", 700);
	CU_ASSERT_TRUE(expect(&f, 410, "not_run"));
	new_key(&f, "ahead", -700);
	CU_ASSERT_TRUE(expect(&f, 400, "not_run"));
	fix_stop(&f.fix);
}

/* Guards against a dispatch or a wrong outcome without a claim. */
static void
test_results_of_claims(void)
{
	claim_fix_t f;

	start(&f, BP_CLAIM_TAKEN);
	CU_ASSERT_TRUE(expect(&f, 409, "not_known"));
	f.fake.holder_status = 201;
	CU_ASSERT_TRUE(expect(&f, 409, "ran"));
	f.fake.result = BP_CLAIM_LOG_UNAVAILABLE;
	CU_ASSERT_TRUE(expect(&f, 503, "not_run"));
	f.fake.result = BP_CLAIM_EXPIRED;
	CU_ASSERT_TRUE(expect(&f, 410, "not_run"));
	f.fake.result = BP_CLAIM_NOT_KNOWN;
	CU_ASSERT_TRUE(expect(&f, 504, "not_known"));
	CU_ASSERT_EQUAL(executor_count(f.fix.executors[0], ""), 0);
	/* Only a key that was certainly not claimed may be used again. */
	f.fake.result = BP_CLAIM_NOW;
	CU_ASSERT_TRUE(expect(&f, 409, "not_known"));
	new_key(&f, "b", 0);
	g_atomic_int_set(&f.fix.executors[0]->mode, EXECUTOR_CLOSE);
	CU_ASSERT_TRUE(expect(&f, 502, "not_known"));
	CU_ASSERT_TRUE(expect(&f, 409, "not_known"));
	CU_ASSERT_EQUAL(executor_count(f.fix.executors[0], ""), 1);
	fix_stop(&f.fix);
}

/* Guards against a late claim that dispatches or uses freed memory. */
static void
test_late_claims_do_nothing(void)
{
	char header[2 * KEY_BYTES];
	bp_claim_done_t done;
	claim_fix_t f;
	void *data;
	call_t *call;

	start(&f, BP_CLAIM_NOW);
	f.fake.deferred = true;
	g_snprintf(header, sizeof(header), "%s\nX-Deadline-Ms: 50", f.header);
	CU_ASSERT_TRUE(
	    fix_expect(&f.fix, "POST", "/s/x", header, 504, "not_known"));
	f.fake.done(BP_CLAIM_NOW, NULL, f.fake.data);
	CU_ASSERT_TRUE(expect(&f, 409, "not_run"));
	new_key(&f, "b", 0);
	call = call_new(&f.fix, "POST", "/s/x", f.header, NULL);
	fix_run_ms(50);
	done = f.fake.done;
	data = f.fake.data;
	CU_ASSERT_EQUAL(executor_count(f.fix.executors[0], ""), 0);
	fix_stop(&f.fix);
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
