#include "support/queuenodes.h"
#include "support/runner.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define KEY_KEPT "kept-key-0123456789"
#define KEY_LONGER "kept-key-0123456789x"
#define KEY_REMOVED "removed-key-0123456789"
#define KEY_ADDED "added-key-0123456789"
#define KEY_BOREA "borea-key-0123456789"
#define CUSTOMERS_BEFORE                                                    \
	"[{\"name\":\"acme\",\"api_keys\":[\"" KEY_KEPT "\",\"" KEY_REMOVED \
	"\"],\"weight\":5},"                                                \
	"{\"name\":\"borea\",\"api_keys\":[\"" KEY_BOREA "\"],\"weight\":1}]"
#define CUSTOMERS_AFTER                                       \
	"[{\"name\":\"acme\",\"api_keys\":[\"" KEY_KEPT       \
	"\"],\"weight\":5},{\"name\":\"borea\",\"api_keys\":" \
	"[\"" KEY_BOREA "\",\"" KEY_ADDED "\"],\"weight\":1}]"
/* An accepted configuration is in force after this, at the latest. */
#define CONFIG_APPLY_MS 2000
/* A read of the store under way when it falls silent ends by then. */
#define LONG_READ_MS 1500
#define MARGIN_MS 300
/* Calls that are sent after a fault. */
#define CALLS 5
#define CALLS_APART_MS 20

static void
prepare(bp_queuehttp_t *platform)
{
	bp_queuehttp_configure_customers(platform, 4, CUSTOMERS_BEFORE);
}

static uint32_t
status_of(bp_queuenodes_t *fixture, uint32_t node, const char *key,
    const char *method, const char *path, const char *body)
{
	bp_queuenodes_ask_t ask = {
	    fixture, node, method, path, body, 0, NULL, 0};

	fixture->key = key;
	(void)bp_queuenodes_asked(&ask);
	fixture->key = NULL;
	return ask.seen;
}

static bool
expect(bp_queuenodes_t *fixture, uint32_t node, const char *key,
    const char *method, const char *path, const char *body, uint32_t status)
{
	bool good;

	fixture->key = key;
	good = bp_queuenodes_expect(
	    fixture, node, method, path, body, status, NULL);
	fixture->key = NULL;
	return good;
}

static char *
customer_of(bp_queuenodes_t *fixture, const char *id)
{
	return bp_queuehttp_customer(fixture->platform, id);
}

/* Whether a file that a node has written contains one of the keys. */
static bool
has_key(const char *path)
{
	char *text = NULL;
	bool found;

	CU_ASSERT_TRUE(g_file_get_contents(path, &text, NULL, NULL));
	found = text == NULL || strstr(text, KEY_KEPT) != NULL ||
	    strstr(text, KEY_REMOVED) != NULL ||
	    strstr(text, KEY_ADDED) != NULL || strstr(text, KEY_BOREA) != NULL;
	g_free(text);
	return found;
}

static void
check_logs(bp_queuenodes_t *fixture)
{
	uint32_t i;

	for (i = 0; i < BP_QUEUENODES; i++) {
		CU_ASSERT_FALSE(
		    has_key(bp_process_output_path(fixture->nodes[i])));
		CU_ASSERT_FALSE(
		    has_key(bp_process_error_path(fixture->nodes[i])));
	}
}

static void
teardown(bp_queuenodes_t *fixture)
{
	check_logs(fixture);
	bp_queuenodes_teardown(fixture);
}

/* No node accepts a call of any kind without a valid key, none denies one with
 * it, and the record of the job names the customer. */
static void
test_keys_decide(void)
{
	static const char *const wrong[] = {
	    NULL, "", "wrong", KEY_LONGER, "kept-key", KEY_ADDED};
	bp_queuenodes_t fixture;
	char *customer;
	uint32_t i;
	size_t k;

	bp_queuenodes_setup_with(&fixture, "customers", prepare);
	for (i = 0; i < BP_QUEUENODES; i++) {
		CU_ASSERT_TRUE(
		    expect(&fixture, i, KEY_KEPT, "GET", "/q/", NULL, 200));
		for (k = 0; k < G_N_ELEMENTS(wrong); k++) {
			CU_ASSERT_EQUAL(status_of(&fixture, i, wrong[k], "POST",
					    "/q/00000000000000a1", BP_JOB),
			    401);
			CU_ASSERT_EQUAL(status_of(&fixture, i, wrong[k], "GET",
					    "/q/00000000000000a1", NULL),
			    401);
			CU_ASSERT_EQUAL(
			    status_of(&fixture, i, wrong[k], "DELETE",
				"/q/00000000000000a1", NULL),
			    401);
			CU_ASSERT_EQUAL(status_of(&fixture, i, wrong[k], "GET",
					    "/q/", NULL),
			    401);
		}
	}
	CU_ASSERT_EQUAL(
	    bp_qfleet_starts(bp_queuehttp_fleet(fixture.platform)), 0);
	CU_ASSERT_TRUE(expect(&fixture, 0, KEY_BOREA, "POST",
	    "/q/f0000000000000a2", BP_JOB_LASTING, 200));
	CU_ASSERT_TRUE(expect(&fixture, 1, NULL, "POST",
	    "/open/f0000000000000a3", BP_JOB_LASTING, 200));
	customer = customer_of(&fixture, "f0000000000000a2");
	CU_ASSERT_STRING_EQUAL(customer != NULL ? customer : "none", "borea");
	g_free(customer);
	customer = customer_of(&fixture, "f0000000000000a3");
	CU_ASSERT_STRING_EQUAL(customer != NULL ? customer : "none", "");
	g_free(customer);
	teardown(&fixture);
}

/* The metrics count calls by customer and refusals, and contain no key. */
static void
test_metrics_have_no_keys(void)
{
	bp_queuenodes_t fixture;
	bp_reply_t *reply;
	char *url;

	bp_queuenodes_setup_with(&fixture, "customers-metrics", prepare);
	CU_ASSERT_TRUE(expect(&fixture, 0, KEY_BOREA, "GET", "/q/", NULL, 200));
	CU_ASSERT_EQUAL(
	    status_of(&fixture, 0, "wrong", "GET", "/q/", NULL), 401);
	CU_ASSERT_EQUAL(status_of(&fixture, 0, NULL, "GET", "/q/", NULL), 401);
	CU_ASSERT_TRUE(expect(&fixture, 0, NULL, "GET", "/open/", NULL, 200));
	url = g_strdup_printf(
	    "http://127.0.0.1:%u/metrics", fixture.ports[0][BP_LISTEN_METRICS]);
	reply = bp_http_send(fixture.http, "GET", url, NULL, NULL);
	CU_ASSERT_TRUE_FATAL(bp_http_wait(reply));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(reply->body, "bp_customer_calls{customer=\"borea\"} "));
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    reply->body, "bp_calls_refused{reason=\"unknown_key\"} 1\n"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(reply->body, "bp_calls_refused{reason=\"no_key\"} 1\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(reply->body, "bp_public_calls "));
	CU_ASSERT_PTR_NULL(strstr(reply->body, "-key-"));
	bp_reply_free(reply);
	g_free(url);
	teardown(&fixture);
}

/*
 * Sends calls to a node after a fault during which a key was removed and one
 * was added: the node may say that it does not know (503, or no answer), but
 * neither honours the removed key nor denies the added one.
 */
static void
check_after_fault(bp_queuenodes_t *fixture, uint32_t node)
{
	uint32_t i;

	for (i = 0; i < CALLS; i++) {
		char *path = g_strdup_printf("/q/f00000000000%02xb1", i);
		uint32_t seen = status_of(
		    fixture, node, KEY_REMOVED, "POST", path, BP_JOB_LASTING);

		CU_ASSERT_TRUE(seen == 401 || seen == 503 || seen == 0);
		seen = status_of(fixture, node, KEY_ADDED, "GET", "/q/", NULL);
		CU_ASSERT_TRUE(seen == 200 || seen == 503 || seen == 0);
		g_free(path);
		bp_run_for_ms(CALLS_APART_MS);
	}
}

/* Once all is well, the newest configuration decides; the submission that was
 * accepted before is refused as any other call is. */
static void
check_settled(bp_queuenodes_t *fixture)
{
	uint32_t i;

	for (i = 0; i < BP_QUEUENODES; i++) {
		CU_ASSERT_TRUE(
		    expect(fixture, i, KEY_ADDED, "GET", "/q/", NULL, 200));
		CU_ASSERT_TRUE(expect(fixture, i, KEY_REMOVED, "POST",
		    "/q/f0000000000000a1", BP_JOB_LASTING, 401));
		CU_ASSERT_TRUE(expect(fixture, i, KEY_KEPT, "GET",
		    "/q/f0000000000000a1", NULL, 200));
	}
	CU_ASSERT_EQUAL(
	    bp_qfleet_starts(bp_queuehttp_fleet(fixture->platform)), 2);
}

static void
setup_with_job(bp_queuenodes_t *fixture, const char *name)
{
	bp_queuenodes_setup_with(fixture, name, prepare);
	CU_ASSERT_TRUE(expect(fixture, 0, KEY_REMOVED, "POST",
	    "/q/f0000000000000a1", BP_JOB_LASTING, 200));
	CU_ASSERT_TRUE(expect(fixture, 0, KEY_ADDED, "GET", "/q/", NULL, 401));
}

/* Guards against a node that stood still while the keys changed. */
static void
test_a_paused_node(void)
{
	bp_queuenodes_t fixture;

	setup_with_job(&fixture, "customers-paused");
	bp_process_signal(fixture.nodes[1], SIGSTOP);
	bp_run_for_ms(LONG_READ_MS);
	bp_queuehttp_configure_customers(fixture.platform, 5, CUSTOMERS_AFTER);
	bp_run_for_ms(CONFIG_APPLY_MS + MARGIN_MS);
	bp_process_signal(fixture.nodes[1], SIGCONT);
	check_after_fault(&fixture, 1);
	check_settled(&fixture);
	teardown(&fixture);
}

/* The same while its reads of the configuration get no answer either. */
static void
test_a_paused_node_without_the_store(void)
{
	bp_queuenodes_t fixture;
	uint32_t i;

	setup_with_job(&fixture, "customers-cut");
	bp_process_signal(fixture.nodes[1], SIGSTOP);
	bp_queuehttp_set_silent(fixture.platform, true);
	bp_run_for_ms(LONG_READ_MS);
	bp_queuehttp_configure_customers(fixture.platform, 5, CUSTOMERS_AFTER);
	bp_run_for_ms(CONFIG_APPLY_MS + MARGIN_MS);
	bp_process_signal(fixture.nodes[1], SIGCONT);
	for (i = 0; i < BP_QUEUENODES; i++)
		check_after_fault(&fixture, i);
	bp_queuehttp_set_silent(fixture.platform, false);
	check_settled(&fixture);
	teardown(&fixture);
}

/* Guards against nodes that cannot read the configuration, though the store
 * answers all else: they are certain of neither key, and say so. */
static void
test_lost_reads_decide_nothing(void)
{
	static const char *const keys[] = {
	    KEY_REMOVED, KEY_ADDED, KEY_KEPT, "wrong"};
	bp_queuenodes_t fixture;
	uint32_t i;
	size_t k;

	setup_with_job(&fixture, "customers-lost");
	bp_queuehttp_set_silent(fixture.platform, true);
	bp_run_for_ms(LONG_READ_MS);
	bp_queuehttp_configure_customers(fixture.platform, 5, CUSTOMERS_AFTER);
	bp_run_for_ms(CONFIG_APPLY_MS + MARGIN_MS);
	for (i = 0; i < BP_QUEUENODES; i++) {
		for (k = 0; k < G_N_ELEMENTS(keys); k++)
			CU_ASSERT_EQUAL(
			    status_of(&fixture, i, keys[k], "GET", "/q/", NULL),
			    503);
		CU_ASSERT_EQUAL(
		    status_of(&fixture, i, NULL, "GET", "/open/", NULL), 503);
		CU_ASSERT_EQUAL(
		    status_of(&fixture, i, KEY_KEPT, "GET", "/none/", NULL),
		    503);
	}
	bp_queuehttp_set_silent(fixture.platform, false);
	check_settled(&fixture);
	teardown(&fixture);
}

/* A node that starts anew knows no keys until it has read them. */
static void
test_a_restarted_node(void)
{
	bp_queuenodes_t fixture;

	setup_with_job(&fixture, "customers-restarted");
	bp_process_signal(fixture.nodes[1], SIGKILL);
	(void)bp_process_wait(fixture.nodes[1]);
	bp_process_free(fixture.nodes[1]);
	bp_queuehttp_configure_customers(fixture.platform, 5, CUSTOMERS_AFTER);
	bp_run_for_ms(CONFIG_APPLY_MS + MARGIN_MS);
	bp_queuenodes_start(&fixture, 1);
	check_after_fault(&fixture, 1);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "GET", "/v1/readyz", NULL, 200, NULL));
	check_after_fault(&fixture, 1);
	check_settled(&fixture);
	teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"keys decide", test_keys_decide},
	    {"metrics have no keys", test_metrics_have_no_keys},
	    {"a paused node", test_a_paused_node},
	    {"a paused node without the store",
		test_a_paused_node_without_the_store},
	    {"lost reads decide nothing", test_lost_reads_decide_nothing},
	    {"a restarted node", test_a_restarted_node},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/customers", tests);
}
