#include "bulrushpost/configcheck.h"
#include "support/runner.h"

#include <stddef.h>
#include <string.h>

static bp_queue_route_t *
add_route(bp_catalog_t *catalog, const char *name, const char *host,
    const char *prefix, const char *service)
{
	bp_queue_route_t *route = g_new0(bp_queue_route_t, 1);

	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	route->service = g_strdup(service);
	route->objective_ms = 2500;
	route->timeout_ms = 3000;
	g_ptr_array_add(catalog->routes, route);
	return route;
}

static bp_pool_t *
add_pool(bp_catalog_t *catalog, const char *name)
{
	bp_pool_t *pool = g_new0(bp_pool_t, 1);

	pool->name = g_strdup(name);
	g_ptr_array_add(catalog->pools, pool);
	return pool;
}

/* keys are separated by spaces; two spaces give an empty one. */
static bp_customer_t *
add_customer(bp_catalog_t *catalog, const char *name, const char *keys)
{
	bp_customer_t *customer = bp_customer_new();
	char **list = g_strsplit(keys, " ", -1);
	guint i;

	customer->name = g_strdup(name);
	for (i = 0; list[i] != NULL; i++)
		g_ptr_array_add(customer->keys, g_strdup(list[i]));
	g_strfreev(list);
	g_ptr_array_add(catalog->customers, customer);
	return customer;
}

/* A configuration of version 7 without problems. */
static bp_catalog_t *
good_catalog(void)
{
	bp_catalog_t *catalog = bp_catalog_new();

	catalog->version = 7;
	catalog->header_bytes = 16384;
	add_route(catalog, "r-1", "a.example", "/a/", "s");
	add_route(catalog, "r-2", "a.example", "/a/b/", "s");
	add_route(catalog, "r-3", "b.example", "/a/", "s");
	add_pool(catalog, "s");
	add_customer(catalog, "c1", "key-1 key-2")->weight = 18;
	add_customer(catalog, "c2", "key-3");
	return catalog;
}

/* Checks the only finding: its place and a part of its text. */
static void
expect_one(const bp_catalog_t *catalog, size_t list, guint index, size_t member,
    int item, const char *part)
{
	GPtrArray *findings = bp_config_check(catalog, NULL);
	const bp_config_finding_t *finding;

	CU_ASSERT_EQUAL_FATAL(findings->len, 1);
	finding = findings->pdata[0];
	CU_ASSERT_EQUAL(finding->place.list, list);
	CU_ASSERT_EQUAL(finding->place.index, index);
	CU_ASSERT_EQUAL(finding->place.member, member);
	CU_ASSERT_EQUAL(finding->place.item, item);
	CU_ASSERT_PTR_NOT_NULL(strstr(finding->text, part));
	CU_ASSERT_PTR_NULL(strstr(finding->text, "key-"));
	g_ptr_array_unref(findings);
}

#define ROUTES offsetof(bp_catalog_t, routes)
#define POOLS offsetof(bp_catalog_t, pools)
#define CUSTOMERS offsetof(bp_catalog_t, customers)

/* A false alarm would keep operators from sending a good configuration. */
static void
test_a_good_configuration_has_no_findings(void)
{
	bp_catalog_t *catalog = good_catalog();
	GPtrArray *findings = bp_config_check(catalog, NULL);

	CU_ASSERT_EQUAL(findings->len, 0);
	g_ptr_array_unref(findings);
	bp_catalog_free(catalog);
}

/* Guards against queues that exist in a configuration but get no calls. */
static void
test_routes_that_never_match(void)
{
	static const struct {
		const char *host;
		const char *prefix;
		size_t member;
		const char *part;
	} cases[] = {
	    {"A.Example", "/a/b/", offsetof(bp_queue_route_t, prefix),
		"those of entry 1 (r-2)"},
	    {"c.example", "a/", offsetof(bp_queue_route_t, prefix),
		"does not begin with /"},
	    {"c.example:80", "/a/", offsetof(bp_queue_route_t, host),
		"has a port"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		bp_catalog_t *catalog = good_catalog();

		add_route(catalog, "r-4", cases[i].host, cases[i].prefix, "s");
		CU_ASSERT_PTR_NULL(i > 0
			? bp_catalog_route(catalog, "c.example", "/a/x")
			: NULL);
		expect_one(catalog, ROUTES, 3, cases[i].member,
		    BP_CONFIG_NO_ITEM, cases[i].part);
		bp_catalog_free(catalog);
	}
}

/* Guards against names that several entries have or that none has. */
static void
test_names_are_unique_and_known(void)
{
	bp_catalog_t *catalog = good_catalog();

	add_route(catalog, "r-2", "c.example", "/", "s");
	expect_one(catalog, ROUTES, 3, offsetof(bp_queue_route_t, name),
	    BP_CONFIG_NO_ITEM, "entry 1");
	bp_catalog_free(catalog);
	catalog = good_catalog();
	add_route(catalog, "r-4", "c.example", "/", "other");
	expect_one(catalog, ROUTES, 3, offsetof(bp_queue_route_t, service),
	    BP_CONFIG_NO_ITEM, "no service is named \"other\"");
	bp_catalog_free(catalog);
	catalog = good_catalog();
	add_pool(catalog, "s");
	expect_one(catalog, POOLS, 1, offsetof(bp_pool_t, name),
	    BP_CONFIG_NO_ITEM, "entry 0");
	bp_catalog_free(catalog);
	catalog = good_catalog();
	add_pool(catalog, "spare");
	expect_one(catalog, POOLS, 1, offsetof(bp_pool_t, name),
	    BP_CONFIG_NO_ITEM, "no queue uses");
	bp_catalog_free(catalog);
	catalog = good_catalog();
	add_customer(catalog, "c1", "key-4");
	expect_one(catalog, CUSTOMERS, 2, offsetof(bp_customer_t, name),
	    BP_CONFIG_NO_ITEM, "entry 0");
	bp_catalog_free(catalog);
}

/* A key of two customers would charge one for the calls of the other. */
static void
test_keys_belong_to_one_customer(void)
{
	static const struct {
		const char *keys;
		int item;
		const char *part;
	} cases[] = {
	    {"key-4 key-2", 1, "entry 0, too"},
	    {"key-4 key-5 key-4", 2, "twice"},
	    {"", BP_CONFIG_NO_ITEM, "no keys"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		bp_catalog_t *catalog = good_catalog();

		add_customer(catalog, "c3", cases[i].keys);
		expect_one(catalog, CUSTOMERS, 2, offsetof(bp_customer_t, keys),
		    cases[i].item, cases[i].part);
		bp_catalog_free(catalog);
	}
}

/* Guards against limits of which one makes the other useless. */
static void
test_limits_do_not_contradict(void)
{
	bp_catalog_t *catalog = good_catalog();
	bp_queue_route_t *route = catalog->routes->pdata[1];
	GPtrArray *findings;

	route->objective_ms = 3001;
	expect_one(catalog, ROUTES, 1, offsetof(bp_queue_route_t, objective_ms),
	    BP_CONFIG_NO_ITEM, "3001 ms are above the time-out of 3000 ms");
	route->objective_ms = 3000;
	catalog->header_bytes = BP_CONFIG_HEADER_BYTES_MAX + 1;
	expect_one(catalog, BP_CONFIG_NO_LIST, 0,
	    offsetof(bp_catalog_t, header_bytes), BP_CONFIG_NO_ITEM, "65536");
	catalog->header_bytes = BP_CONFIG_HEADER_BYTES_MAX;
	/* A missing time-out is no bound. */
	route->timeout_ms = 0;
	findings = bp_config_check(catalog, NULL);
	CU_ASSERT_EQUAL(findings->len, 0);
	g_ptr_array_unref(findings);
	bp_catalog_free(catalog);
}

/* Entries that could not be read do not look like duplicates. */
static void
test_empty_names_are_not_judged(void)
{
	bp_catalog_t *catalog = good_catalog();
	GPtrArray *findings;
	int i;

	for (i = 0; i < 2; i++) {
		add_route(catalog, "", "", "", "")->timeout_ms = 0;
		add_pool(catalog, "");
		add_customer(catalog, "", "  ");
	}
	findings = bp_config_check(catalog, NULL);
	CU_ASSERT_EQUAL(findings->len, 0);
	g_ptr_array_unref(findings);
	bp_catalog_free(catalog);
}

/* Nodes ignore a version that is not above theirs, without an error. */
static void
test_the_version_is_above_the_one_in_force(void)
{
	bp_catalog_t *catalog = good_catalog();
	bp_catalog_t *in_force = good_catalog();
	GPtrArray *findings = bp_config_check(catalog, in_force);
	const bp_config_finding_t *finding;

	CU_ASSERT_EQUAL_FATAL(findings->len, 1);
	finding = findings->pdata[0];
	CU_ASSERT_EQUAL(finding->place.list, BP_CONFIG_NO_LIST);
	CU_ASSERT_PTR_NOT_NULL(strstr(finding->text, "7 is not above 7"));
	g_ptr_array_unref(findings);
	catalog->version = 8;
	findings = bp_config_check(catalog, in_force);
	CU_ASSERT_EQUAL(findings->len, 0);
	g_ptr_array_unref(findings);
	bp_catalog_free(catalog);
	bp_catalog_free(in_force);
}

static char *
join(GPtrArray *lines)
{
	GString *text = g_string_new("");
	guint i;

	for (i = 0; i < lines->len; i++)
		g_string_append_printf(
		    text, "%s\n", (const char *)lines->pdata[i]);
	g_ptr_array_unref(lines);
	return g_string_free(text, FALSE);
}

/* Guards against changes that are not shown, and keys that are. */
static void
test_differences_are_listed_without_keys(void)
{
	bp_catalog_t *old = good_catalog();
	bp_catalog_t *new = good_catalog();
	bp_customer_t *customer = new->customers->pdata[0];
	bp_queue_route_t *route = new->routes->pdata[0];
	char *text = join(bp_config_differences(old, new));

	CU_ASSERT_STRING_EQUAL(text, "");
	g_free(text);
	new->body_bytes = 1000;
	route->is_public = true;
	g_free(route->host);
	route->host = g_strdup("c.example");
	g_ptr_array_remove_index(new->routes, 2);
	add_route(new, "r-4", "b.example", "/a/", "s");
	((bp_pool_t *)new->pools->pdata[0])->standby = true;
	g_ptr_array_remove_index(customer->keys, 0);
	g_ptr_array_add(customer->keys, g_strdup("key-8"));
	g_ptr_array_add(customer->keys, g_strdup("key-9"));
	/* Neither an unreadable key nor a repeated one counts. */
	g_ptr_array_add(customer->keys, g_strdup(""));
	g_ptr_array_add(customer->keys, g_strdup("key-9"));
	customer->weight = 20;
	customer->cap_cpu_milli = 4000;
	g_ptr_array_remove_index(new->customers, 1);
	add_customer(new, "c3", "key-3");
	/* Second entries of a name and those without one make no lines. */
	add_customer(new, "c3", "key-5");
	add_customer(new, "c1", "key-5");
	add_customer(new, "", "");
	add_customer(old, "", "");
	add_customer(old, "c2", "");
	text = join(bp_config_differences(old, new));
	CU_ASSERT_STRING_EQUAL(text,
	    "limits: largest body in bytes changed from 262144 to 1000\n"
	    "queue r-1: host changed from \"a.example\" to \"c.example\"\n"
	    "queue r-1: public changed from no to yes\n"
	    "queue r-4: added\n"
	    "queue r-3: removed\n"
	    "queue r-4: has host, path prefix and jobs of r-3\n"
	    "service s: standby changed from no to yes\n"
	    "customer c1: weight changed from 18 to 20\n"
	    "customer c1: cap of CPU in thousandths of a core changed from "
	    "none to 4000\n"
	    "customer c1: keys added: 2, removed: 1\n"
	    "customer c3: added\n"
	    "customer c2: removed\n");
	g_free(text);
	bp_catalog_free(old);
	bp_catalog_free(new);
}

/* Guards against a renamed queue that looks like a removed one, whose jobs
 * would be out of reach. */
static void
test_renamed_queues_keep_their_jobs(void)
{
	bp_catalog_t *old = good_catalog();
	bp_catalog_t *new = good_catalog();
	bp_queue_route_t *route = new->routes->pdata[0];
	char *text;

	g_free(route->name);
	route->name = g_strdup("r-9");
	text = join(bp_config_differences(old, new));
	CU_ASSERT_STRING_EQUAL(text,
	    "queue r-9: added\n"
	    "queue r-1: removed\n"
	    "queue r-9: has host, path prefix and jobs of r-1\n");
	g_free(text);
	bp_catalog_free(old);
	bp_catalog_free(new);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a good configuration", test_a_good_configuration_has_no_findings},
	    {"routes that never match", test_routes_that_never_match},
	    {"names", test_names_are_unique_and_known},
	    {"keys", test_keys_belong_to_one_customer},
	    {"limits", test_limits_do_not_contradict},
	    {"empty names", test_empty_names_are_not_judged},
	    {"version", test_the_version_is_above_the_one_in_force},
	    {"differences", test_differences_are_listed_without_keys},
	    {"renamed queues", test_renamed_queues_keep_their_jobs},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/configcheck", tests);
}
