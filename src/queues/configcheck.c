#include "bulrushpost/configcheck.h"

#include <stddef.h>
#include <string.h>

#define PLACE(list_, index_, struct_, member_)                    \
	(bp_config_place_t)                                       \
	{                                                         \
		offsetof(bp_catalog_t, list_), index_,            \
		    offsetof(struct_, member_), BP_CONFIG_NO_ITEM \
	}

static void
free_problem(gpointer data)
{
	bp_config_problem_t *problem = data;

	g_free(problem->place);
	g_free(problem->text);
	g_free(problem);
}

/* Creates an empty list of problems. */
GPtrArray *
bp_config_problems_new(void)
{
	return g_ptr_array_new_with_free_func(free_problem);
}

/* See the header. */
void
bp_config_problem_add(GPtrArray *problems, char *place, char *text)
{
	bp_config_problem_t *problem = g_new0(bp_config_problem_t, 1);

	problem->place = place;
	problem->text = text;
	g_ptr_array_add(problems, problem);
}

static void
free_finding(gpointer data)
{
	g_free(((bp_config_finding_t *)data)->text);
	g_free(data);
}

static void report(GPtrArray *findings, bp_config_place_t place,
    const char *format, ...) G_GNUC_PRINTF(3, 4);

static void
report(GPtrArray *findings, bp_config_place_t place, const char *format, ...)
{
	bp_config_finding_t *finding = g_new0(bp_config_finding_t, 1);
	va_list args;

	va_start(args, format);
	finding->place = place;
	finding->text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(findings, finding);
}

/* All entries of the three lists begin with their name. */
G_STATIC_ASSERT(offsetof(bp_queue_route_t, name) == 0);
G_STATIC_ASSERT(offsetof(bp_pool_t, name) == 0);
G_STATIC_ASSERT(offsetof(bp_customer_t, name) == 0);

static const char *
name_of(const GPtrArray *list, guint index)
{
	return *(char *const *)g_ptr_array_index(list, index);
}

/* Returns the first entry of a name, or the length of the list. */
static guint
find(const GPtrArray *list, const char *name)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		if (strcmp(name_of(list, i), name) == 0)
			break;
	}
	return i;
}

static void
check_names(GPtrArray *findings, const bp_catalog_t *catalog, size_t at)
{
	const GPtrArray *list =
	    *(GPtrArray *const *)(const void *)((const char *)catalog + at);
	guint i;

	for (i = 0; i < list->len; i++) {
		const char *name = name_of(list, i);
		guint first = find(list, name);

		if (name[0] != '\0' && first < i)
			report(findings,
			    (bp_config_place_t){at, i, 0, BP_CONFIG_NO_ITEM},
			    "\"%s\" is the name of entry %u, too", name, first);
	}
}

/* The first of several routes with the same host and prefix gets the calls. */
static void
check_match(GPtrArray *findings, const bp_catalog_t *catalog, guint index)
{
	const bp_queue_route_t *route = catalog->routes->pdata[index];
	guint i;

	if (strchr(route->host, ':') != NULL)
		report(findings, PLACE(routes, index, bp_queue_route_t, host),
		    "has a port, but calls are matched by their host alone: "
		    "no call matches");
	if (route->prefix[0] == '\0')
		return;
	if (route->prefix[0] != '/')
		report(findings, PLACE(routes, index, bp_queue_route_t, prefix),
		    "does not begin with /: no call matches");
	for (i = 0; i < index; i++) {
		const bp_queue_route_t *other = catalog->routes->pdata[i];

		if (route->host[0] == '\0' ||
		    g_ascii_strcasecmp(route->host, other->host) != 0 ||
		    strcmp(route->prefix, other->prefix) != 0)
			continue;
		report(findings, PLACE(routes, index, bp_queue_route_t, prefix),
		    "host and prefix are those of entry %u (%s), which gets "
		    "all calls",
		    i, other->name);
		return;
	}
}

static void
check_routes(GPtrArray *findings, const bp_catalog_t *catalog)
{
	guint i;

	check_names(findings, catalog, offsetof(bp_catalog_t, routes));
	for (i = 0; i < catalog->routes->len; i++) {
		const bp_queue_route_t *route = catalog->routes->pdata[i];

		check_match(findings, catalog, i);
		if (route->service[0] != '\0' &&
		    find(catalog->pools, route->service) == catalog->pools->len)
			report(findings,
			    PLACE(routes, i, bp_queue_route_t, service),
			    "no service is named \"%s\"", route->service);
		if (route->timeout_ms > 0 &&
		    route->objective_ms > route->timeout_ms)
			report(findings,
			    PLACE(routes, i, bp_queue_route_t, objective_ms),
			    "%u ms are above the time-out of %u ms",
			    route->objective_ms, route->timeout_ms);
	}
}

static void
check_pools(GPtrArray *findings, const bp_catalog_t *catalog)
{
	guint i;
	guint k;

	check_names(findings, catalog, offsetof(bp_catalog_t, pools));
	for (i = 0; i < catalog->pools->len; i++) {
		const char *name = name_of(catalog->pools, i);
		bool used = name[0] == '\0';

		for (k = 0; k < catalog->routes->len && !used; k++) {
			const bp_queue_route_t *route =
			    catalog->routes->pdata[k];

			used = strcmp(route->service, name) == 0;
		}
		if (!used)
			report(findings, PLACE(pools, i, bp_pool_t, name),
			    "no queue uses the service \"%s\"", name);
	}
}

/* first_of maps a key to the index of its first customer, plus 1. */
static void
check_keys(GPtrArray *findings, const bp_customer_t *customer, guint index,
    GHashTable *first_of)
{
	bp_config_place_t place = PLACE(customers, index, bp_customer_t, keys);
	guint i;

	if (customer->keys->len == 0)
		report(findings, place,
		    "the customer has no keys: no call matches");
	for (i = 0; i < customer->keys->len; i++) {
		char *key = customer->keys->pdata[i];
		guint first =
		    GPOINTER_TO_UINT(g_hash_table_lookup(first_of, key));

		place.item = (int)i;
		if (key[0] == '\0')
			continue;
		if (first == 0)
			g_hash_table_insert(
			    first_of, key, GUINT_TO_POINTER(index + 1));
		else if (first == index + 1)
			report(findings, place, "is listed twice");
		else
			report(findings, place,
			    "is a key of entry %u, too: it cannot tell the "
			    "customers apart",
			    first - 1);
	}
}

static void
check_customers(GPtrArray *findings, const bp_catalog_t *catalog)
{
	GHashTable *first_of = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	check_names(findings, catalog, offsetof(bp_catalog_t, customers));
	for (i = 0; i < catalog->customers->len; i++)
		check_keys(findings, catalog->customers->pdata[i], i, first_of);
	g_hash_table_unref(first_of);
}

/* See the header. */
GPtrArray *
bp_config_check(const bp_catalog_t *catalog, const bp_catalog_t *in_force)
{
	GPtrArray *findings = g_ptr_array_new_with_free_func(free_finding);
	bp_config_place_t place = {BP_CONFIG_NO_LIST, 0,
	    offsetof(bp_catalog_t, version), BP_CONFIG_NO_ITEM};

	/* Version 0 stands for a missing one, which the reader reports. */
	if (in_force != NULL && catalog->version > 0 &&
	    catalog->version <= in_force->version)
		report(findings, place,
		    "%" G_GUINT64_FORMAT " is not above %" G_GUINT64_FORMAT
		    ", the version in force: nodes ignore it",
		    catalog->version, in_force->version);
	check_routes(findings, catalog);
	check_pools(findings, catalog);
	check_customers(findings, catalog);
	place.member = offsetof(bp_catalog_t, header_bytes);
	if (catalog->header_bytes > BP_CONFIG_HEADER_BYTES_MAX)
		report(findings, place,
		    "%u bytes are above the %d that a node accepts",
		    catalog->header_bytes, BP_CONFIG_HEADER_BYTES_MAX);
	return findings;
}

/* A member whose values are compared, with its name in the differences. */
typedef struct {
	const char *name;
	size_t at;
	enum { TEXT, NUMBER, LIMIT, FLAG } kind; /* LIMIT: 0 is none */
} member_t;

static const member_t route_members[] = {
    {"host", offsetof(bp_queue_route_t, host), TEXT},
    {"path prefix", offsetof(bp_queue_route_t, prefix), TEXT},
    {"service", offsetof(bp_queue_route_t, service), TEXT},
    {"priority", offsetof(bp_queue_route_t, priority), NUMBER},
    {"attempts", offsetof(bp_queue_route_t, attempts), NUMBER},
    {"stretch in thousandths", offsetof(bp_queue_route_t, stretch_permille),
	NUMBER},
    {"objective in ms", offsetof(bp_queue_route_t, objective_ms), NUMBER},
    {"time-out in ms", offsetof(bp_queue_route_t, timeout_ms), NUMBER},
    {"advice", offsetof(bp_queue_route_t, advised), FLAG},
    {"public", offsetof(bp_queue_route_t, is_public), FLAG},
    {NULL, 0, TEXT},
};
static const member_t pool_members[] = {
    {"admission check", offsetof(bp_pool_t, guards), FLAG},
    {"standby", offsetof(bp_pool_t, standby), FLAG},
    {NULL, 0, TEXT},
};
static const member_t customer_members[] = {
    {"weight", offsetof(bp_customer_t, weight), NUMBER},
    {"cap of CPU in thousandths of a core",
	offsetof(bp_customer_t, cap_cpu_milli), LIMIT},
    {"cap of memory in MiB", offsetof(bp_customer_t, cap_memory_mib), LIMIT},
    {"cap of accelerators", offsetof(bp_customer_t, cap_accelerators), LIMIT},
    {NULL, 0, TEXT},
};
static const member_t limit_members[] = {
    {"largest head in bytes", offsetof(bp_catalog_t, header_bytes), LIMIT},
    {"largest body in bytes", offsetof(bp_catalog_t, body_bytes), LIMIT},
    {"time for a head in ms", offsetof(bp_catalog_t, header_timeout_ms), LIMIT},
    {"time of idle connections in ms", offsetof(bp_catalog_t, idle_timeout_ms),
	LIMIT},
    {NULL, 0, TEXT},
};

static char *
value_of(const void *entry, const member_t *member)
{
	const void *at = (const char *)entry + member->at;

	if (member->kind == TEXT)
		return g_strdup_printf("\"%s\"", *(char *const *)at);
	if (member->kind == LIMIT && *(const uint32_t *)at == 0)
		return g_strdup("none");
	if (member->kind != FLAG)
		return g_strdup_printf("%u", *(const uint32_t *)at);
	return g_strdup(*(const bool *)at ? "yes" : "no");
}

static void
compare_members(GPtrArray *lines, const char *title, const void *before,
    const void *after, const member_t *members)
{
	for (; members->name != NULL; members++) {
		char *old = value_of(before, members);
		char *new = value_of(after, members);

		if (strcmp(old, new) != 0)
			g_ptr_array_add(lines,
			    g_strdup_printf("%s: %s changed from %s to %s",
				title, members->name, old, new));
		g_free(old);
		g_free(new);
	}
}

/* Counts the different keys of a list that another one lacks; empty ones are
 * none. */
static guint
count_missing(const GPtrArray *keys, const GPtrArray *other)
{
	GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
	guint n = 0;
	guint i;

	(void)g_hash_table_add(known, (gpointer) "");
	for (i = 0; i < other->len; i++)
		(void)g_hash_table_add(known, other->pdata[i]);
	for (i = 0; i < keys->len; i++) {
		if (g_hash_table_add(known, keys->pdata[i]))
			n++;
	}
	g_hash_table_unref(known);
	return n;
}

static void
compare_keys(GPtrArray *lines, const char *title, const bp_customer_t *before,
    const bp_customer_t *after)
{
	guint added = count_missing(after->keys, before->keys);
	guint removed = count_missing(before->keys, after->keys);

	if (added > 0 || removed > 0)
		g_ptr_array_add(lines,
		    g_strdup_printf("%s: keys added: %u, removed: %u", title,
			added, removed));
}

/* Later entries of a name, and those without one, are not compared. */
static bool
is_first(const GPtrArray *list, guint index)
{
	const char *name = name_of(list, index);

	return name[0] != '\0' && find(list, name) == index;
}

/* Entries are the same if their names are. */
static void
compare_lists(GPtrArray *lines, const char *kind, const GPtrArray *before,
    const GPtrArray *after, const member_t *members)
{
	bool customers = members == customer_members;
	guint i;

	for (i = 0; i < after->len; i++) {
		char *title = g_strdup_printf("%s %s", kind, name_of(after, i));
		guint at = find(before, name_of(after, i));
		bool first = is_first(after, i);

		if (first && at == before->len) {
			g_ptr_array_add(
			    lines, g_strdup_printf("%s: added", title));
		} else if (first) {
			compare_members(lines, title, before->pdata[at],
			    after->pdata[i], members);
			if (customers)
				compare_keys(lines, title, before->pdata[at],
				    after->pdata[i]);
		}
		g_free(title);
	}
	for (i = 0; i < before->len; i++) {
		if (is_first(before, i) &&
		    find(after, name_of(before, i)) == after->len)
			g_ptr_array_add(lines,
			    g_strdup_printf(
				"%s %s: removed", kind, name_of(before, i)));
	}
}

/* Queues are the same if their hosts and prefixes are, whatever their names. */
static void
compare_names(GPtrArray *lines, const GPtrArray *before, const GPtrArray *after)
{
	guint i;
	guint k;

	for (i = 0; i < after->len; i++) {
		const bp_queue_route_t *route = after->pdata[i];

		for (k = 0; k < before->len; k++) {
			const bp_queue_route_t *old = before->pdata[k];

			if (route->prefix[0] == '\0' ||
			    strcmp(route->prefix, old->prefix) != 0 ||
			    g_ascii_strcasecmp(route->host, old->host) != 0)
				continue;
			if (strcmp(route->name, old->name) != 0)
				g_ptr_array_add(lines,
				    g_strdup_printf("queue %s: has host, path "
						    "prefix and jobs of %s",
					route->name, old->name));
			break;
		}
	}
}

/* See the header. */
GPtrArray *
bp_config_differences(const bp_catalog_t *in_force, const bp_catalog_t *catalog)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);

	compare_members(lines, "limits", in_force, catalog, limit_members);
	compare_lists(
	    lines, "queue", in_force->routes, catalog->routes, route_members);
	compare_names(lines, in_force->routes, catalog->routes);
	compare_lists(
	    lines, "service", in_force->pools, catalog->pools, pool_members);
	compare_lists(lines, "customer", in_force->customers,
	    catalog->customers, customer_members);
	return lines;
}
