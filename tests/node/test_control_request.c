#include "bulrushpost/keyclaim.h"
#include "support/controlcall.h"
#include "support/gatewayfix.h"
#include "support/runner.h"

#include <string.h>

/* Guards against a refused request that "why" cannot explain. */
static void
test_why_explains_requests(void)
{
	bp_gateway_options_t options;
	const char *id;
	call_t *call;
	controlcall_t f;
	fix_t g;

	controlcall_init(&f);
	bp_gateway_options_init(&options);
	options.timeline = f.rig.timeline;
	fix_start_options(&g, 2, EXECUTOR_CLOSE, &options);
	call = call_wait(call_new(&g, "GET", "/none/x", NULL, NULL));
	id = call_header(call, "X-Request-Id");
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, (char *)id), 0);
	CU_ASSERT_STRING_EQUAL(f.message,
	    "request_refused: not_found, outcome not_run: no endpoint is known "
	    "for service none");
	call_free(call);
	call =
	    call_wait(call_new(&g, "GET", "/s/x", "X-Request-Id: mine", NULL));
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, "mine"), BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "request_retried: attempt 1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "request_not_known: "));
	call_free(call);
	g_atomic_int_set(&g.executors[0]->mode, EXECUTOR_WRONG_ECHO);
	g_atomic_int_set(&g.executors[1]->mode, EXECUTOR_WRONG_ECHO);
	call = call_wait(call_new(&g, "POST", "/s/x", NULL, NULL));
	id = call_header(call, "X-Request-Id");
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, (char *)id), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "request_discarded: "));
	call_free(call);
	/* A successful request records no event. */
	g_atomic_int_set(&g.executors[0]->mode, EXECUTOR_OK);
	g_atomic_int_set(&g.executors[1]->mode, EXECUTOR_OK);
	call = call_wait(call_new(&g, "POST", "/s/x", NULL, NULL));
	id = call_header(call, "X-Request-Id");
	CU_ASSERT_EQUAL(call_status(call), 200);
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, (char *)id),
	    BP_ENOTFOUND);
	call_free(call);
	fix_stop(&g);
	controlcall_clear(&f);
}

#define KEY_HEADER "Idempotency-Key: "

/* A node that claimed keys: its gateway, and a control service beside it. */
typedef struct {
	bp_key_claimer_t claimer;
	fix_t gateway;
	controlcall_t control;
	char *header; /* with a key issued now */
	char *full_key; /* of service s */
} holder_t;

static void
claim_at_once(const bp_key_claimer_t *claimer, const char *service,
    const char *key, int64_t issued_s, bp_claim_done_t done, void *data)
{
	done(BP_CLAIM_ACQUIRED, NULL, data);
}

static bool
is_claimed(void *data)
{
	holder_t *holder = data;

	return bp_state_key_claimed(
	    bp_follower_state(holder->control.rig.log.follower),
	    holder->full_key, NULL, NULL, NULL);
}

/* Puts the claim of this node's own incarnation into its log. */
static void
append_claim(holder_t *holder)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__KeyClaim claim = BP__LOG__KEY_CLAIM__INIT;

	claim.key = holder->full_key;
	claim.issued_s = (uint64_t)(g_get_real_time() / G_USEC_PER_SEC);
	entry.body_case = BP__LOG__ENTRY__BODY_KEY_CLAIM;
	entry.key_claim = &claim;
	CU_ASSERT_EQUAL(bp_appender_add(holder->control.rig.log.appender,
			    &entry, 2000, NULL, NULL, NULL),
	    BP_OK);
	CU_ASSERT_TRUE(wait_until(is_claimed, holder, CONTROLCALL_MS));
}

static void
holder_start(holder_t *holder)
{
	gint64 now_s = g_get_real_time() / G_USEC_PER_SEC;

	memset(holder, 0, sizeof(*holder));
	holder->claimer.claim = claim_at_once;
	fix_start(&holder->gateway, 1, EXECUTOR_OK, &holder->claimer);
	controlcall_init_gateway(&holder->control, holder->gateway.gateway);
	holder->header =
	    g_strdup_printf(KEY_HEADER "%" G_GINT64_FORMAT "-a", now_s);
	holder->full_key =
	    g_strconcat("s/", holder->header + strlen(KEY_HEADER), NULL);
}

static void
holder_stop(holder_t *holder)
{
	controlcall_clear(&holder->control);
	fix_stop(&holder->gateway);
	g_free(holder->header);
	g_free(holder->full_key);
}

static int
key_outcome(controlcall_t *call, const char *full_key)
{
	return controlcall_ask_for(
	    call, BP__PEER__VERB__VERB_KEY_OUTCOME, (char *)full_key);
}

/* Guards against an outcome that is not certain, or not reported. */
static void
test_key_outcome_is_that_of_the_gateway(void)
{
	holder_t h;

	holder_start(&h);
	CU_ASSERT_TRUE(
	    fix_expect(&h.gateway, "POST", "/s/x", h.header, 200, NULL));
	CU_ASSERT_EQUAL(key_outcome(&h.control, h.full_key), BP_OK);
	CU_ASSERT_EQUAL(h.control.outcome, BP_OUTCOME_NOT_KNOWN);
	CU_ASSERT_PTR_NOT_NULL(strstr(h.control.body, "\"claimed\":false"));
	append_claim(&h);
	CU_ASSERT_EQUAL(key_outcome(&h.control, h.full_key), BP_OK);
	CU_ASSERT_EQUAL(h.control.outcome, BP_OUTCOME_RAN);
	CU_ASSERT_STRING_EQUAL(h.control.arg, "200");
	/* A refused request keeps its key, and was not run. */
	CU_ASSERT_TRUE(fix_expect(
	    &h.gateway, "POST", "/none/x", h.header, 404, "not_run"));
	g_free(h.full_key);
	h.full_key = g_strconcat("none/", h.header + strlen(KEY_HEADER), NULL);
	append_claim(&h);
	CU_ASSERT_EQUAL(key_outcome(&h.control, h.full_key), BP_OK);
	CU_ASSERT_EQUAL(h.control.outcome, BP_OUTCOME_NOT_RUN);
	/* The records of an earlier process of the node are lost. */
	logrig_put_key(&h.control.rig.log, "node-1", "127.0.0.1:1",
	    "s/1790000000-earlier", 1);
	run_for(200);
	CU_ASSERT_EQUAL(key_outcome(&h.control, "s/1790000000-earlier"), BP_OK);
	CU_ASSERT_EQUAL(h.control.outcome, BP_OUTCOME_NOT_KNOWN);
	CU_ASSERT_PTR_NOT_NULL(strstr(h.control.body, "\"claimed\":true"));
	CU_ASSERT_EQUAL(key_outcome(&h.control, "s/none"), BP_EINVALID);
	CU_ASSERT_EQUAL(h.control.outcome, BP_OUTCOME_NOT_KNOWN);
	CU_ASSERT_EQUAL(key_outcome(&h.control, "none"), BP_EINVALID);
	holder_stop(&h);
}

/* An address that accepts connections and never answers. */
static char *
silent_address(GSocketListener *listener)
{
	return g_strdup_printf("127.0.0.1:%u",
	    g_socket_listener_add_any_inet_port(listener, NULL, NULL));
}

/*
 * Guards against a caller that retries through another gateway and does not
 * get the outcome, waits for a node that has stopped, or gets no response
 * when its gateway stops meanwhile.
 */
static void
test_other_gateway_learns_the_outcome(void)
{
	GSocketListener *listener = g_socket_listener_new();
	char *silent = silent_address(listener);
	bp_keyclaim_options_t options = {
	    .clock = bp_clock_system(), .node = "node-1", .timeout_ms = 1500};
	bp_keyclaim_t *keyclaim;
	controlcall_t other;
	gint64 start_us;
	call_t *call;
	holder_t h;
	fix_t g;

	holder_start(&h);
	CU_ASSERT_TRUE(
	    fix_expect(&h.gateway, "POST", "/s/x", h.header, 200, NULL));
	append_claim(&h);
	controlcall_init(&other);
	options.appender = other.rig.log.appender;
	options.follower = other.rig.log.follower;
	keyclaim = bp_keyclaim_new(&options);
	fix_start(&g, 1, EXECUTOR_OK, bp_keyclaim_claimer(keyclaim));
	logrig_put_key(
	    &other.rig.log, "node-7", h.control.rig.address, h.full_key, 1);
	run_for(200);
	CU_ASSERT_TRUE(fix_expect(&g, "POST", "/s/x", h.header, 409, "ran"));
	CU_ASSERT_EQUAL(executor_count(g.executors[0], ""), 0);
	CU_ASSERT_EQUAL(key_outcome(&other, h.full_key), BP_OK);
	CU_ASSERT_EQUAL(other.outcome, BP_OUTCOME_RAN);
	CU_ASSERT_PTR_NOT_NULL(strstr(other.message, "node-7"));
	/* The node moved to an address that does not answer. */
	logrig_put_key(&other.rig.log, "node-7", silent, "s/1-other", 2);
	run_for(200);
	start_us = g_get_monotonic_time();
	CU_ASSERT_TRUE(
	    fix_expect(&g, "POST", "/s/x", h.header, 409, "not_known"));
	CU_ASSERT_TRUE(g_get_monotonic_time() - start_us >= 250000);
	call = call_new(&g, "POST", "/s/x", h.header, NULL);
	fix_run_ms(50);
	fix_stop(&g);
	bp_keyclaim_free(keyclaim);
	call_free(call_wait(call));
	controlcall_clear(&other);
	holder_stop(&h);
	g_socket_listener_close(listener);
	g_object_unref(listener);
	g_free(silent);
}

/*
 * Guards against a claim that the log refuses as too old being reported to
 * callers as retryable, as if the log were down.
 */
static void
test_expired_claim_is_told(void)
{
	bp_keyclaim_options_t options = {
	    .clock = bp_clock_system(), .node = "node-1", .timeout_ms = 1500};
	gint64 now_s = g_get_real_time() / G_USEC_PER_SEC;
	char *header =
	    g_strdup_printf(KEY_HEADER "%" G_GINT64_FORMAT "-a", now_s);
	bp_keyclaim_t *keyclaim;
	controlcall_t c;
	fix_t g;

	controlcall_init(&c);
	options.appender = c.rig.log.appender;
	options.follower = c.rig.log.follower;
	keyclaim = bp_keyclaim_new(&options);
	fix_start(&g, 1, EXECUTOR_OK, bp_keyclaim_claimer(keyclaim));
	logrig_put_clock(&c.rig.log, 20 * 60);
	run_for(200);
	CU_ASSERT_TRUE(fix_expect(&g, "POST", "/s/x", header, 410, "not_run"));
	CU_ASSERT_EQUAL(executor_count(g.executors[0], ""), 0);
	fix_stop(&g);
	bp_keyclaim_free(keyclaim);
	controlcall_clear(&c);
	g_free(header);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"why", test_why_explains_requests},
	    {"key outcome", test_key_outcome_is_that_of_the_gateway},
	    {"other gateway", test_other_gateway_learns_the_outcome},
	    {"expired claim", test_expired_claim_is_told},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("control-request", tests);
}
