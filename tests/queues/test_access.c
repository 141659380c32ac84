#include "bulrushpost/access.h"
#include "queues/callcounters.h"
#include "queues/keyindex.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>

#define CUSTOMERS 100
/* Customers that are counted by name. */
#define NAMED 64
#define KEYS 600

/* A configuration with a public queue, another one and two customers. */
static bp_catalog_t *
make_catalog(bool requires_keys)
{
	bp_catalog_t *catalog = bp_catalog_new();
	uint32_t i;

	for (i = 0; i < 2; i++) {
		bp_queue_route_t *route = g_new0(bp_queue_route_t, 1);
		bp_customer_t *customer = bp_customer_new();

		route->name = g_strdup(i == 0 ? "open" : "closed");
		route->host = g_strdup("h");
		route->prefix = g_strdup_printf("/%s/", route->name);
		route->service = g_strdup("s");
		route->is_public = i == 0;
		g_ptr_array_add(catalog->routes, route);
		if (!requires_keys) {
			g_ptr_array_unref(customer->keys);
			g_free(customer);
			continue;
		}
		customer->name = g_strdup(i == 0 ? "acme" : "borea");
		g_ptr_array_add(
		    customer->keys, g_strdup(i == 0 ? "key-a" : "key-b"));
		g_ptr_array_add(catalog->customers, customer);
	}
	catalog->requires_keys = requires_keys;
	bp_catalog_index_keys(catalog);
	return catalog;
}

/* One row for each combination that callers, operators and faults can make. */
static const struct {
	bool requires_keys;
	bool confirmed;
	const char *queue; /* NULL: none at this path */
	const char *key;
	bp_access_verdict_t verdict;
	const char *customer;
} cases[] = {
    {true, true, "closed", "key-a", BP_ACCESS_ALLOWED, "acme"},
    {true, true, "closed", "key-b", BP_ACCESS_ALLOWED, "borea"},
    {true, true, "closed", "key-", BP_ACCESS_UNAUTHORIZED, ""},
    {true, true, "closed", "key-ab", BP_ACCESS_UNAUTHORIZED, ""},
    {true, true, "closed", "", BP_ACCESS_UNAUTHORIZED, ""},
    {true, true, "closed", NULL, BP_ACCESS_UNAUTHORIZED, ""},
    {true, true, "open", NULL, BP_ACCESS_ALLOWED, ""},
    {true, true, "open", "wrong", BP_ACCESS_ALLOWED, ""},
    {true, true, "open", "key-a", BP_ACCESS_ALLOWED, "acme"},
    {true, true, NULL, "key-a", BP_ACCESS_NOT_FOUND, ""},
    {true, true, NULL, NULL, BP_ACCESS_NOT_FOUND, ""},
    /* Removed or added keys, queues and flags cannot be told. */
    {true, false, "closed", "key-a", BP_ACCESS_UNCONFIRMED, ""},
    {true, false, "closed", "wrong", BP_ACCESS_UNCONFIRMED, ""},
    {true, false, "closed", NULL, BP_ACCESS_UNCONFIRMED, ""},
    {true, false, "open", NULL, BP_ACCESS_UNCONFIRMED, ""},
    {true, false, NULL, "key-a", BP_ACCESS_UNCONFIRMED, ""},
    /* Without customers keys have no effect. */
    {false, true, "closed", NULL, BP_ACCESS_ALLOWED, ""},
    {false, true, "closed", "wrong", BP_ACCESS_ALLOWED, ""},
    {false, true, NULL, NULL, BP_ACCESS_NOT_FOUND, ""},
    {false, false, "closed", NULL, BP_ACCESS_ALLOWED, ""},
    {false, false, NULL, NULL, BP_ACCESS_UNCONFIRMED, ""},
};

static void
test_verdicts(void)
{
	bp_catalog_t *catalogs[] = {make_catalog(false), make_catalog(true)};
	bp_access_t access;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const bp_catalog_t *catalog = catalogs[cases[i].requires_keys];

		access = bp_access_decide(catalog, cases[i].confirmed,
		    cases[i].queue != NULL
			? bp_catalog_queue(catalog, cases[i].queue)
			: NULL,
		    cases[i].key);
		if (access.verdict != cases[i].verdict)
			printf("row %u: %d\n", (unsigned)i, access.verdict);
		CU_ASSERT_EQUAL(access.verdict, cases[i].verdict);
		CU_ASSERT_STRING_EQUAL(access.customer, cases[i].customer);
		CU_ASSERT_TRUE(cases[i].key == NULL ||
		    cases[i].key[0] == '\0' ||
		    strstr(access.reason, cases[i].key) == NULL);
	}
	access = bp_access_decide(NULL, true, NULL, "key-a");
	CU_ASSERT_EQUAL(access.verdict, BP_ACCESS_UNCONFIRMED);
	/* A list of customers of which no row could be read. */
	g_ptr_array_set_size(catalogs[1]->customers, 0);
	bp_catalog_index_keys(catalogs[1]);
	access = bp_access_decide(catalogs[1], true,
	    bp_catalog_queue(catalogs[1], "closed"), "key-a");
	CU_ASSERT_EQUAL(access.verdict, BP_ACCESS_UNAUTHORIZED);
	bp_catalog_free(catalogs[0]);
	bp_catalog_free(catalogs[1]);
}

/* Keys that are similar to each other belong to their own owners only. */
static void
test_similar_keys(void)
{
	static uint32_t owners[KEYS];
	bp_key_index_t *index = bp_key_index_new();
	char key[64];
	uint32_t i;

	for (i = 0; i < KEYS; i++) {
		snprintf(key, sizeof(key), "customer-key-%08x", i);
		bp_key_index_add(index, key, &owners[i]);
	}
	bp_key_index_add(index, "customer-key-00000000", &owners[1]);
	for (i = 0; i < KEYS; i++) {
		snprintf(key, sizeof(key), "customer-key-%08x", i);
		CU_ASSERT_PTR_EQUAL(bp_key_index_find(index, key), &owners[i]);
		key[strlen(key) - 1] = 'g';
		CU_ASSERT_PTR_NULL(bp_key_index_find(index, key));
	}
	CU_ASSERT_PTR_NULL(bp_key_index_find(index, ""));
	bp_key_index_free(index);
}

/*
 * Guards against metrics that grow with the customers of ever new
 * configurations, or that contain a key.
 */
static void
test_counters_are_bounded(void)
{
	bp_metrics_t *metrics = bp_metrics_new();
	bp_call_counters_t *counters = bp_call_counters_new(metrics);
	bp_access_t access = {BP_ACCESS_ALLOWED, NULL, "", ""};
	char name[32];
	uint32_t round;
	uint32_t i;

	bp_call_counters_count(NULL, &access, true);
	for (round = 0; round < 2; round++) {
		for (i = 0; i < CUSTOMERS; i++) {
			snprintf(name, sizeof(name), "c%u", i);
			access.customer = name;
			bp_call_counters_count(counters, &access, true);
		}
	}
	access.customer = "";
	bp_call_counters_count(counters, &access, false);
	access.verdict = BP_ACCESS_UNAUTHORIZED;
	bp_call_counters_count(counters, &access, true);
	bp_call_counters_count(counters, &access, false);
	access.verdict = BP_ACCESS_UNCONFIRMED;
	bp_call_counters_count(counters, &access, true);
	CU_ASSERT_EQUAL(bp_metric_value(bp_metrics_counter(metrics,
			    "bp_customer_calls", "customer", "c0", NULL)),
	    2);
	CU_ASSERT_EQUAL(bp_metric_value(bp_metrics_counter(
			    metrics, "bp_customer_calls_others", NULL)),
	    2 * (CUSTOMERS - NAMED));
	CU_ASSERT_EQUAL(bp_metric_value(bp_metrics_counter(
			    metrics, "bp_public_calls", NULL)),
	    1);
	CU_ASSERT_EQUAL(bp_metric_value(bp_metrics_counter(metrics,
			    "bp_calls_refused", "reason", "unknown_key", NULL)),
	    1);
	CU_ASSERT_EQUAL(bp_metric_value(bp_metrics_counter(metrics,
			    "bp_calls_refused", "reason", "no_key", NULL)),
	    1);
	CU_ASSERT_EQUAL(bp_metric_value(bp_metrics_counter(metrics,
			    "bp_calls_refused", "reason", "unconfirmed", NULL)),
	    1);
	bp_call_counters_free(counters);
	bp_metrics_free(metrics);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"verdicts", test_verdicts},
	    {"similar keys", test_similar_keys},
	    {"counters are bounded", test_counters_are_bounded},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/access", tests);
}
