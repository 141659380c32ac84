#include "support/queuenodes.h"

#include "support/runner.h"

#include <gio/gio.h>
#include <stdio.h>
#include <string.h>

#define EXECUTORS 6

static char *
write_settings(const bp_queuenodes_t *fixture, uint32_t node)
{
	char *path = g_strdup_printf("%s/queues-%s-node-%u.yaml",
	    BP_PROCESS_LOG_DIR, fixture->name, node);
	char *text = g_strdup_printf(
	    "node: {name: n%u, zone: z%u, services: [queues]}\n"
	    "listen:\n  queues: 127.0.0.1:%u\n  ready: 127.0.0.1:%u\n"
	    "  control: 127.0.0.1:%u\n  metrics: 127.0.0.1:%u\n"
	    "platform: {store: \"127.0.0.1:%u\"}\n%s",
	    node, node, fixture->ports[node][BP_LISTEN_CALLERS],
	    fixture->ports[node][BP_LISTEN_READY],
	    fixture->ports[node][BP_LISTEN_CONTROL],
	    fixture->ports[node][BP_LISTEN_METRICS],
	    bp_queuehttp_port(fixture->platform),
	    fixture->more != NULL ? fixture->more : "");

	(void)g_mkdir_with_parents(BP_PROCESS_LOG_DIR, 0755);
	CU_ASSERT_TRUE(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	return path;
}

/* Starts a node, also again. */
void
bp_queuenodes_start(bp_queuenodes_t *fixture, uint32_t node)
{
	const char *argv[] = {"build/bulrushpost", "serve", "--settings",
	    fixture->settings[node], NULL};
	char *name = g_strdup_printf("queues-%s-node-%u", fixture->name, node);

	fixture->nodes[node] = bp_process_start(name, argv);
	CU_ASSERT_PTR_NOT_NULL(fixture->nodes[node]);
	g_free(name);
}

static bp_listener_t
listener_of(const char *path)
{
	if (strcmp(path, "/v1/readyz") == 0)
		return BP_LISTEN_READY;
	return strcmp(path, "/metrics") == 0 ? BP_LISTEN_METRICS
					     : BP_LISTEN_CALLERS;
}

/* See the header. */
bool
bp_queuenodes_asked(void *data)
{
	bp_queuenodes_ask_t *ask = data;
	bp_listener_t listener = listener_of(ask->path);
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
	    ask->fixture->ports[ask->node][listener], ask->path);
	bp_reply_t *reply = bp_http_send(ask->fixture->http, ask->method, url,
	    ask->body, "Host", "h",
	    ask->fixture->key != NULL ? "X-Bulrushpost-Credential" : NULL,
	    ask->fixture->key, NULL);
	bool good = bp_http_wait(reply) && reply->status == ask->status &&
	    (ask->text == NULL || strstr(reply->body, ask->text) != NULL);

	ask->seen = reply->status;
	bp_reply_free(reply);
	g_free(url);
	return good;
}

/* See the header. */
bool
bp_queuenodes_expect(bp_queuenodes_t *fixture, uint32_t node,
    const char *method, const char *path, const char *body, uint32_t status,
    const char *text)
{
	bp_queuenodes_ask_t ask = {
	    fixture, node, method, path, body, status, text, 0};
	bool good = bp_wait_until(bp_queuenodes_asked, &ask);

	if (!good)
		printf("%s %s at node %u: %u, not %u with %s\n", method, path,
		    node, ask.seen, status, text != NULL ? text : "any body");
	return good;
}

static void
setup(bp_queuenodes_t *fixture, const char *name, uint32_t nodes,
    const char *more, void (*prepare)(bp_queuehttp_t *platform))
{
	uint32_t i;
	uint32_t k;

	memset(fixture, 0, sizeof(*fixture));
	fixture->name = name;
	fixture->more = more;
	fixture->held = g_ptr_array_new_with_free_func(g_object_unref);
	fixture->platform = bp_queuehttp_new(EXECUTORS);
	bp_queuehttp_configure(fixture->platform, 3, "/q/");
	if (prepare != NULL)
		prepare(fixture->platform);
	fixture->http = bp_http_new();
	for (i = 0; i < nodes; i++) {
		for (k = 0; k < BP_LISTENERS; k++)
			fixture->ports[i][k] =
			    bp_process_reserve_port(fixture->held);
		fixture->settings[i] = write_settings(fixture, i);
		bp_queuenodes_start(fixture, i);
	}
	for (i = 0; i < nodes; i++)
		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    fixture, i, "GET", "/v1/readyz", NULL, 200, NULL));
}

/* Starts the platform and all nodes; returns once they are ready. */
void
bp_queuenodes_setup_with(bp_queuenodes_t *fixture, const char *name,
    void (*prepare)(bp_queuehttp_t *platform))
{
	setup(fixture, name, BP_QUEUENODES, NULL, prepare);
}

/* See the header. */
void
bp_queuenodes_setup_settings(bp_queuenodes_t *fixture, const char *name,
    uint32_t nodes, const char *more)
{
	setup(fixture, name, nodes, more, NULL);
}

/* See the header. */
void
bp_queuenodes_setup(bp_queuenodes_t *fixture, const char *name)
{
	bp_queuenodes_setup_with(fixture, name, NULL);
}

/* See the header. */
void
bp_queuenodes_teardown(bp_queuenodes_t *fixture)
{
	uint32_t i;

	for (i = 0; i < BP_QUEUENODES; i++) {
		bp_process_free(fixture->nodes[i]);
		g_free(fixture->settings[i]);
	}
	g_ptr_array_unref(fixture->held);
	bp_http_free(fixture->http);
	if (bp_qfleet_broken(bp_queuehttp_fleet(fixture->platform)) > 0)
		printf("rule broken: %s\n",
		    bp_qfleet_first_broken(
			bp_queuehttp_fleet(fixture->platform)));
	CU_ASSERT_EQUAL(
	    bp_qfleet_broken(bp_queuehttp_fleet(fixture->platform)), 0);
	bp_queuehttp_free(fixture->platform);
}
