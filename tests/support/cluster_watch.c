#include "support/cluster.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

typedef struct {
	bp_cluster_t *cluster;
	const char *job;
	guint starts;
	guint succeeded;
} count_wait_t;

typedef bool (*checker_add_t)(bp_checker_t *checker, const char *json);

static void
read_into(bp_cluster_t *cluster, const bp_cluster_server_t *server,
    const char *what, checker_add_t add)
{
	char *url = g_strdup_printf("%s/%s", server->admin_url, what);
	char *json = bp_http_call(cluster->http, "GET", url, NULL);

	if (!add(cluster->checker, json))
		printf("no %s from %s\n", what, server->admin_url);
	g_free(json);
	g_free(url);
}

/* Returns a checker that holds all that has happened so far. */
bp_checker_t *
bp_cluster_read(bp_cluster_t *cluster)
{
	guint i;

	bp_checker_free(cluster->checker);
	cluster->checker = bp_checker_new();
	for (i = 0; i < cluster->workers->len; i++) {
		const bp_cluster_server_t *server =
		    g_ptr_array_index(cluster->workers, i);

		read_into(cluster, server, "vms", bp_checker_add_vms);
		read_into(
		    cluster, server, "history", bp_checker_add_worker_history);
	}
	for (i = 0; i < cluster->executors->len; i++) {
		const bp_cluster_server_t *server =
		    g_ptr_array_index(cluster->executors, i);

		if (server->process != NULL)
			read_into(cluster, server, "history",
			    bp_checker_add_executions);
	}
	for (i = 0; i < cluster->outages->len; i++) {
		const bp_cluster_outage_t *o =
		    &g_array_index(cluster->outages, bp_cluster_outage_t, i);

		bp_checker_zone_out(
		    cluster->checker, o->zone, o->out_us, o->back_us);
	}
	bp_checker_once(cluster->checker, "/book/once/");
	return cluster->checker;
}

/* Checks all invariants that can be seen from outside. */
guint
bp_cluster_check(bp_cluster_t *cluster, bool complete)
{
	guint faults = bp_checker_run(bp_cluster_read(cluster), complete);

	bp_checker_print(cluster->checker);
	return faults;
}

/* Counts the events of a job so far; NULL counts all. */
void
bp_cluster_counts(
    bp_cluster_t *cluster, const char *job, bp_checker_counts_t *out)
{
	bp_checker_count(bp_cluster_read(cluster), job, out);
}

static bool
counts_reached(void *data)
{
	count_wait_t *wait = data;
	bp_checker_counts_t counts;

	bp_cluster_counts(wait->cluster, wait->job, &counts);
	return counts.starts >= wait->starts &&
	    counts.succeeded >= wait->succeeded;
}

static bool
wait_counts(count_wait_t *wait)
{
	bp_checker_counts_t counts;

	if (bp_wait_until(counts_reached, wait))
		return true;
	bp_cluster_counts(wait->cluster, wait->job, &counts);
	printf("job %s: %u starts, %u succeeded, expected %u and %u\n",
	    wait->job != NULL ? wait->job : "any", counts.starts,
	    counts.succeeded, wait->starts, wait->succeeded);
	return false;
}

/* Waits until tasks of a job have been started so many times. */
bool
bp_cluster_wait_starts(bp_cluster_t *cluster, const char *job, guint starts)
{
	count_wait_t wait = {cluster, job, starts, 0};

	return wait_counts(&wait);
}

/* Waits until so many tasks of a job have succeeded. */
bool
bp_cluster_wait_succeeded(
    bp_cluster_t *cluster, const char *job, guint succeeded)
{
	count_wait_t wait = {cluster, job, 0, succeeded};

	return wait_counts(&wait);
}

typedef struct {
	bp_cluster_t *cluster;
	const char *prefix;
	guint executions;
} executions_wait_t;

static bool
executions_seen(void *data)
{
	executions_wait_t *wait = data;
	char *prefix = g_strdup_printf("/book/%s", wait->prefix);
	guint seen =
	    bp_checker_executions(bp_cluster_read(wait->cluster), prefix);

	g_free(prefix);
	return seen >= wait->executions;
}

/* Waits for executors to start requests. */
bool
bp_cluster_wait_executions(
    bp_cluster_t *cluster, const char *prefix, guint executions)
{
	executions_wait_t wait = {cluster, prefix, executions};

	return bp_wait_until(executions_seen, &wait);
}

static int
owner_in(bp_cluster_t *cluster, JsonArray *vms, const char *vm)
{
	guint i;
	guint j;

	for (i = 0; i < json_array_get_length(vms); i++) {
		JsonObject *o = json_array_get_object_element(vms, i);
		const char *owner =
		    json_object_get_string_member_with_default(o, "owner", "");

		if (strcmp(
			json_object_get_string_member_with_default(o, "vm", ""),
			vm) != 0)
			continue;
		for (j = 0; j < cluster->nodes->len; j++) {
			if (strcmp(owner, bp_cluster_node(cluster, j)->name) ==
			    0)
				return (int)j;
		}
	}
	return -1;
}

/* Asks the workers who holds the session on a VM. */
int
bp_cluster_owner(bp_cluster_t *cluster, const char *vm)
{
	int owner = -1;
	guint i;

	for (i = 0; i < cluster->workers->len && owner < 0; i++) {
		const bp_cluster_server_t *server =
		    g_ptr_array_index(cluster->workers, i);
		char *url = g_strdup_printf("%s/vms", server->admin_url);
		char *json = bp_http_call(cluster->http, "GET", url, NULL);
		JsonParser *parser = json_parser_new();

		if (json != NULL &&
		    json_parser_load_from_data(parser, json, -1, NULL))
			owner = owner_in(cluster,
			    json_node_get_array(json_parser_get_root(parser)),
			    vm);
		g_object_unref(parser);
		g_free(json);
		g_free(url);
	}
	return owner;
}

typedef struct {
	bp_cluster_t *cluster;
	const char *vm;
	int owner;
} owner_wait_t;

static bool
owner_changed(void *data)
{
	owner_wait_t *wait = data;
	int owner = bp_cluster_owner(wait->cluster, wait->vm);

	return owner >= 0 && owner != wait->owner;
}

/* Waits for a takeover. */
bool
bp_cluster_wait_owner_not(bp_cluster_t *cluster, const char *vm, int owner)
{
	owner_wait_t wait = {cluster, vm, owner};

	return bp_wait_until(owner_changed, &wait);
}
