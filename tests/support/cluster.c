#include "support/cluster.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define STANDIN "build/standin"
#define BINARY "build/bulrushpost"
#define MEMORY_MIB 61440

/* Sets a small cluster: 2 zones, 3 nodes, 4 workers in 2 racks per zone. */
void
bp_cluster_options_init(bp_cluster_options_t *options)
{
	*options = (bp_cluster_options_t){.name = "cluster",
	    .zones = 2,
	    .nodes = 3,
	    .workers = 4,
	    .workers_per_rack = 2,
	    .executors = 2,
	    .cpu_milli = 16000};
}

static bool
start_server(bp_cluster_t *c, bp_cluster_server_t *server, const char *kind,
    const char *zone, const char *const *options)
{
	GPtrArray *argv = g_ptr_array_new();
	char *name = g_strdup_printf("%s-%s%s%s", c->options.name, kind,
	    zone != NULL ? "-" : "", zone != NULL ? zone : "");
	uint16_t admin;

	g_ptr_array_add(argv, (gpointer)STANDIN);
	g_ptr_array_add(argv, (gpointer)kind);
	g_ptr_array_add(argv, (gpointer) "--port");
	g_ptr_array_add(argv, (gpointer) "0");
	for (; options != NULL && *options != NULL; options++)
		g_ptr_array_add(argv, (gpointer)*options);
	g_ptr_array_add(argv, NULL);
	server->process =
	    bp_process_start(name, (const char *const *)argv->pdata);
	g_ptr_array_unref(argv);
	g_free(name);
	if (server->process == NULL)
		return false;
	server->zone = g_strdup(zone);
	server->port = bp_process_port(server->process, "LISTENING");
	admin = strcmp(kind, "executor") == 0
	    ? bp_process_port(server->process, "ADMIN")
	    : server->port;
	server->url = g_strdup_printf("http://127.0.0.1:%u", server->port);
	server->admin_url = g_strdup_printf("http://127.0.0.1:%u/admin", admin);
	return server->port != 0;
}

static void
clear_server(bp_cluster_server_t *server)
{
	bp_process_free(server->process);
	g_free(server->zone);
	g_free(server->url);
	g_free(server->admin_url);
}

static void
server_free(gpointer data)
{
	clear_server(data);
	g_free(data);
}

static void
node_free(gpointer data)
{
	bp_cluster_node_t *node = data;

	bp_process_free(node->process);
	g_free(node->name);
	g_free(node->zone);
	g_free(node->gateway_url);
	g_free(node->control);
	g_free(node->settings_path);
	g_free(node);
}

static bool
start_zone(bp_cluster_t *c, guint index)
{
	const bp_cluster_options_t *o = &c->options;
	bp_cluster_server_t *workers = g_new0(bp_cluster_server_t, 1);
	bp_cluster_server_t *executors = g_new0(bp_cluster_server_t, 1);
	char *zone = g_strdup_printf("z%u", index);
	char *prefix = g_strdup_printf("z%u-w", index);
	char *vms = g_strdup_printf("--vms=%u", o->workers);
	char *rack = g_strdup_printf("--vms-per-rack=%u", o->workers_per_rack);
	char *cpu = g_strdup_printf("--cpu-milli=%u", o->cpu_milli);
	char *count = g_strdup_printf("--count=%u", o->executors);
	const char *worker_options[] = {
	    "--zone", zone, "--prefix", prefix, vms, rack, cpu, NULL};
	const char *executor_options[] = {count, NULL};
	bool ok;

	g_ptr_array_add(c->workers, workers);
	g_ptr_array_add(c->executors, executors);
	ok = start_server(c, workers, "worker", zone, worker_options) &&
	    (o->executors == 0 ||
		start_server(c, executors, "executor", zone, executor_options));
	g_free(zone);
	g_free(prefix);
	g_free(vms);
	g_free(rack);
	g_free(cpu);
	g_free(count);
	return ok;
}

static void
add_member(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

static void
add_number(JsonBuilder *b, const char *name, guint value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, value);
}

/* Adds one VM unless it is gone. Workers get their size. */
static void
add_vm(bp_cluster_t *c, JsonBuilder *b, const char *name, const char *role,
    const char *zone, const char *rack, const char *url)
{
	const char *state = g_hash_table_lookup(c->states, name);
	bool worker = strcmp(role, "worker") == 0;

	if (state != NULL && strcmp(state, "gone") == 0)
		return;
	json_builder_begin_object(b);
	add_member(b, "name", name);
	add_member(b, "role", role);
	add_member(b, "state", state != NULL ? state : "live");
	add_member(b, "zone", zone);
	add_member(b, "rack", rack);
	add_member(b, "url", url);
	add_member(b, "service", strcmp(role, "executor") == 0 ? "book" : "");
	add_number(b, "cpu_milli", worker ? c->options.cpu_milli : 0);
	add_number(b, "memory_mib", worker ? MEMORY_MIB : 0);
	add_number(b, "accelerators", 0);
	json_builder_end_object(b);
}

static void
add_zone_vms(bp_cluster_t *c, JsonBuilder *b, guint zone)
{
	const bp_cluster_server_t *workers =
	    g_ptr_array_index(c->workers, zone);
	const bp_cluster_server_t *executors =
	    g_ptr_array_index(c->executors, zone);
	guint i;

	for (i = 0; i < c->options.workers; i++) {
		char *name = g_strdup_printf("z%u-w-%u", zone, i);
		char *rack = g_strdup_printf(
		    "z%u-w-r%u", zone, i / c->options.workers_per_rack);
		char *url = g_strdup_printf("%s/w/%s", workers->url, name);

		add_vm(c, b, name, "worker", workers->zone, rack, url);
		g_free(name);
		g_free(rack);
		g_free(url);
	}
	for (i = 0; i < c->options.executors; i++) {
		char *name = g_strdup_printf("z%u-x-%u", zone, i);
		char *url =
		    g_strdup_printf("http://127.0.0.1:%u", executors->port + i);

		add_vm(c, b, name, "executor", executors->zone, "x", url);
		g_free(name);
		g_free(url);
	}
}

static bool
publish_vms(bp_cluster_t *c)
{
	JsonBuilder *b = json_builder_new();
	char *url = g_strdup_printf("%s/vms", c->vmlist.admin_url);
	JsonNode *root;
	char *json;
	char *answer;
	guint i;

	json_builder_begin_array(b);
	for (i = 0; i < c->options.zones; i++)
		add_zone_vms(c, b, i);
	for (i = 0; i < c->nodes->len; i++) {
		bp_cluster_node_t *node = g_ptr_array_index(c->nodes, i);

		add_vm(c, b, node->name, "entry", node->zone, "entry",
		    node->gateway_url);
	}
	json_builder_end_array(b);
	root = json_builder_get_root(b);
	json = json_to_string(root, FALSE);
	answer = bp_http_call(c->http, "PUT", url, json);
	json_node_unref(root);
	g_object_unref(b);
	g_free(json);
	g_free(url);
	g_free(answer);
	return answer != NULL;
}

/* Changes what the VM list tells about one VM. */
void
bp_cluster_set_vm_state(
    bp_cluster_t *cluster, const char *vm, const char *state)
{
	g_hash_table_replace(cluster->states, g_strdup(vm), g_strdup(state));
	publish_vms(cluster);
}

/* Sets faults of the log service. */
void
bp_cluster_log_faults(bp_cluster_t *cluster, const char *json)
{
	char *url = g_strdup_printf("%s/faults", cluster->log.admin_url);

	g_free(bp_http_call(cluster->http, "POST", url, json));
	g_free(url);
}

/* Sends a fault to all worker processes; the one with the VM takes it. */
void
bp_cluster_vm_fault(bp_cluster_t *cluster, const char *json)
{
	guint i;

	for (i = 0; i < cluster->workers->len; i++) {
		const bp_cluster_server_t *server =
		    g_ptr_array_index(cluster->workers, i);
		char *url = g_strdup_printf("%s/vm", server->admin_url);

		g_free(bp_http_call(cluster->http, "POST", url, json));
		g_free(url);
	}
}

/* members are JSON members such as "refuse":true. */
void
bp_cluster_executor_fault(
    bp_cluster_t *cluster, guint zone, guint index, const char *members)
{
	const bp_cluster_server_t *server =
	    g_ptr_array_index(cluster->executors, zone);
	char *url = g_strdup_printf("%s/executor", server->admin_url);
	char *json =
	    g_strdup_printf("{\"port\":%u,%s}", server->port + index, members);

	g_free(bp_http_call(cluster->http, "POST", url, json));
	g_free(json);
	g_free(url);
}

static void
add_node(bp_cluster_t *c, guint index)
{
	bp_cluster_node_t *node = g_new0(bp_cluster_node_t, 1);

	node->name = g_strdup_printf("n%u", index);
	node->zone = g_strdup_printf("z%u", index % MAX(c->options.zones, 1));
	node->gateway_url = g_strdup_printf(
	    "http://127.0.0.1:%u", bp_process_reserve_port(c->held));
	node->control =
	    g_strdup_printf("127.0.0.1:%u", bp_process_reserve_port(c->held));
	node->settings_path = g_strdup_printf(
	    BP_PROCESS_LOG_DIR "/%s-%s.yaml", c->options.name, node->name);
	g_ptr_array_add(c->nodes, node);
}

static bool
write_settings(bp_cluster_t *c, const bp_cluster_node_t *node)
{
	GString *text = g_string_new(NULL);
	bool ok;
	guint i;

	g_string_append_printf(text,
	    "node:\n  name: %s\n  zone: %s\n"
	    "  services: [gateway, scheduler]\n"
	    "listen:\n  gateway: %s\n  control: %s\n"
	    "platform:\n  log_url: %s\n  vm_list_url: %s\n"
	    "log: {level: debug}\npeers:\n",
	    node->name, node->zone, node->gateway_url + strlen("http://"),
	    node->control, c->log.url, c->vmlist.url);
	for (i = 0; i < c->nodes->len; i++) {
		bp_cluster_node_t *peer = g_ptr_array_index(c->nodes, i);

		if (peer != node)
			g_string_append_printf(text, "  - %s\n", peer->control);
	}
	ok = g_file_set_contents(
	    node->settings_path, text->str, (gssize)text->len, NULL);
	g_string_free(text, TRUE);
	return ok;
}

/* Returns a node by its number. */
bp_cluster_node_t *
bp_cluster_node(bp_cluster_t *cluster, guint index)
{
	return g_ptr_array_index(cluster->nodes, index);
}

/* Starts a node, also again after its process has ended. */
bool
bp_cluster_start_node(bp_cluster_t *cluster, guint index)
{
	bp_cluster_node_t *node = bp_cluster_node(cluster, index);
	const char *argv[] = {
	    BINARY, "serve", "--settings", node->settings_path, NULL};
	char *name = g_strdup_printf(
	    "%s-%s-%u", cluster->options.name, node->name, node->starts++);

	bp_process_free(node->process);
	node->process =
	    write_settings(cluster, node) ? bp_process_start(name, argv) : NULL;
	g_free(name);
	return node->process != NULL;
}

static bool
node_ready(bp_cluster_t *cluster, const bp_cluster_node_t *node)
{
	char *url = g_strdup_printf("%s/healthz", node->gateway_url);
	char *answer = bp_http_call(cluster->http, "GET", url, NULL);

	g_free(url);
	g_free(answer);
	return answer != NULL;
}

static bool
nodes_ready(void *data)
{
	bp_cluster_t *cluster = data;
	guint i;

	for (i = 0; i < cluster->nodes->len; i++) {
		bp_cluster_node_t *node = bp_cluster_node(cluster, i);

		if (node->process != NULL && !node_ready(cluster, node))
			return false;
	}
	return true;
}

/* Tells whether every running gateway passes on a request. */
static bool
requests_pass(void *data)
{
	bp_cluster_t *cluster = data;
	bool ok = true;
	guint i;

	for (i = 0; ok && i < cluster->nodes->len; i++) {
		bp_reply_t *reply =
		    bp_cluster_request(cluster, i, "GET", "ready", NULL, NULL);

		ok = bp_http_wait(reply) && reply->status == 200;
		bp_reply_free(reply);
	}
	return ok;
}

/* Waits until the gateways of all running nodes answer. */
bool
bp_cluster_nodes_ready(bp_cluster_t *cluster)
{
	return bp_wait_until(nodes_ready, cluster);
}

static bool
start_all(bp_cluster_t *c)
{
	char *limit =
	    g_strdup_printf("--appends-per-s=%u", c->options.log_appends_per_s);
	const char *log_options[] = {limit, NULL};
	bool ok = c->options.zones > 0 &&
	    start_server(c, &c->log, "log", NULL, log_options) &&
	    start_server(c, &c->vmlist, "vmlist", NULL, NULL);
	guint i;

	g_free(limit);
	for (i = 0; ok && i < c->options.zones; i++)
		ok = start_zone(c, i);
	for (i = 0; ok && i < c->options.nodes; i++)
		add_node(c, i);
	ok = ok && publish_vms(c);
	for (i = 0; ok && i < c->nodes->len; i++)
		ok = bp_cluster_start_node(c, i);
	return ok && bp_cluster_nodes_ready(c) &&
	    (c->options.executors == 0 || bp_wait_until(requests_pass, c));
}

/* Starts a cluster; each part is a child process of the test. */
bp_cluster_t *
bp_cluster_new(const bp_cluster_options_t *options)
{
	bp_cluster_t *c = g_new0(bp_cluster_t, 1);

	c->options = *options;
	c->http = bp_http_new();
	c->workers = g_ptr_array_new_with_free_func(server_free);
	c->executors = g_ptr_array_new_with_free_func(server_free);
	c->nodes = g_ptr_array_new_with_free_func(node_free);
	c->held = g_ptr_array_new_with_free_func(g_object_unref);
	c->states =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->outages = g_array_new(FALSE, FALSE, sizeof(bp_cluster_outage_t));
	if (start_all(c))
		return c;
	printf("the cluster %s did not start; see %s\n", options->name,
	    BP_PROCESS_LOG_DIR);
	bp_cluster_free(c);
	return NULL;
}

/* Ends all processes of the cluster. NULL is allowed. */
void
bp_cluster_free(bp_cluster_t *cluster)
{
	guint i;

	if (cluster == NULL)
		return;
	g_ptr_array_unref(cluster->nodes);
	g_ptr_array_unref(cluster->held);
	g_ptr_array_unref(cluster->workers);
	g_ptr_array_unref(cluster->executors);
	clear_server(&cluster->log);
	clear_server(&cluster->vmlist);
	g_hash_table_unref(cluster->states);
	for (i = 0; i < cluster->outages->len; i++)
		g_free(g_array_index(cluster->outages, bp_cluster_outage_t, i)
			   .zone);
	g_array_unref(cluster->outages);
	bp_checker_free(cluster->checker);
	bp_http_free(cluster->http);
	g_free(cluster);
}
