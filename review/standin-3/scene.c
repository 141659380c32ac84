#include "standin-3/scene.h"

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define READY_WAIT_MS 20000

/* The settings template filled with the figures of swarmline-ne. */
static char *
write_settings(scene_t *scene, uint32_t node, const uint16_t *ports)
{
	char *path =
	    g_strdup_printf("%s/node-%u.yaml", scene->folder, node);
	char *text = g_strdup_printf(
	    "node:\n  name: edge-%u\n  zone: z%u\n  services: [queues]\n"
	    "  processor_share: 0.25\n  processors: 1\n"
	    "listen:\n  queues: 127.0.0.1:%u\n  ready: 127.0.0.1:%u\n"
	    "  control: 127.0.0.1:%u\n  metrics: 127.0.0.1:%u\n"
	    "platform:\n  store: 127.0.0.1:%u\n"
	    "queues:\n  lease_max_ms: 6000\n  stop_max_ms: 200\n"
	    "  early_ms: 250\n  status_keep_s: 120\n  grace_s: 6\n"
	    "  config_apply_ms: 2000\n  urgent_headroom: true\n"
	    "log:\n  level: info\n",
	    node, node % 3, ports[0], ports[1], ports[2], ports[3],
	    bp_queuehttp_port(scene->platform));

	if (!g_file_set_contents(path, text, -1, NULL))
		g_clear_pointer(&path, g_free);
	g_free(text);
	return path;
}

/* See the header. */
double
scene_s(const scene_t *scene)
{
	return (double)(bp_now_us() - scene->start_us) / 1e6;
}

/* See the header. */
void
scene_note(scene_t *scene, const char *format, ...)
{
	va_list args;

	fprintf(scene->record, "%8.3f s  ", scene_s(scene));
	va_start(args, format);
	vfprintf(scene->record, format, args);
	va_end(args);
	fputc('\n', scene->record);
	fflush(scene->record);
}

/* See the header. */
bp_reply_t *
scene_send(scene_t *scene, uint32_t node, const char *method, const char *path,
    const char *body)
{
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u%s", scene->fronts[node], path);
	bp_reply_t *reply = bp_http_send(scene->http, method, url, body, "Host",
	    "h", "X-Bulrushpost-Deadline-Ms", "3000", NULL);

	g_free(url);
	return reply;
}

/* See the header. */
uint32_t
scene_call(scene_t *scene, uint32_t node, const char *method, const char *path,
    const char *body, char **text)
{
	bp_reply_t *reply = scene_send(scene, node, method, path, body);
	uint32_t status;

	(void)bp_http_wait(reply);
	status = reply->status;
	scene_note(scene, "node %u: %s %s -> %u %s", node, method, path, status,
	    reply->body);
	if (text != NULL)
		*text = g_strdup(reply->body);
	bp_reply_free(reply);
	return status;
}

static bool
is_ready(scene_t *scene, uint16_t port)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/v1/readyz", port);
	bp_reply_t *reply =
	    bp_http_send(scene->http, "GET", url, NULL, NULL);
	bool ready = bp_http_wait(reply) && reply->status == 200;

	bp_reply_free(reply);
	g_free(url);
	return ready;
}

static bool
wait_ready(scene_t *scene, uint16_t port)
{
	int64_t until_us = bp_now_us() + READY_WAIT_MS * 1000;

	while (!is_ready(scene, port)) {
		if (bp_now_us() > until_us)
			return false;
		bp_run_for_ms(100);
	}
	return true;
}

/* See the header. */
bool
scene_open(scene_t *scene, const char *record_path, uint32_t executors)
{
	memset(scene, 0, sizeof(*scene));
	scene->record = fopen(record_path, "w");
	if (scene->record == NULL)
		return false;
	scene->start_us = bp_now_us();
	scene->held = g_ptr_array_new_with_free_func(g_object_unref);
	scene->folder = g_dir_make_tmp("review-3-XXXXXX", NULL);
	scene->http = bp_http_new();
	scene->platform = bp_queuehttp_new(executors);
	bp_queuehttp_configure(scene->platform, 3, "/q/");
	return true;
}

/* See the header. */
bool
scene_start_node(scene_t *scene, uint32_t node)
{
	const char *argv[] = {"target/bulrushpost", "serve", "--settings",
	    scene->settings[node], NULL};
	char *name = g_strdup_printf("review-3-%d-node-%u", getpid(), node);

	scene->nodes[node] =
	    argv[3] != NULL ? bp_process_start(name, argv) : NULL;
	g_free(name);
	return scene->nodes[node] != NULL;
}

/* See the header. */
bool
scene_start_nodes(scene_t *scene, uint32_t nodes)
{
	uint16_t ports[SCENE_NODES_MAX][4];
	uint32_t i;
	uint32_t k;

	scene->n_nodes = nodes;
	for (i = 0; i < nodes; i++) {
		for (k = 0; k < 4; k++)
			ports[i][k] = bp_process_reserve_port(scene->held);
		scene->fronts[i] = ports[i][0];
		scene->settings[i] = write_settings(scene, i, ports[i]);
		if (!scene_start_node(scene, i)) {
			scene_note(scene, "node %u did not start", i);
			return false;
		}
	}
	for (i = 0; i < nodes; i++) {
		if (!wait_ready(scene, ports[i][1])) {
			scene_note(scene, "node %u is not ready", i);
			return false;
		}
	}
	scene_note(scene, "%u nodes are ready", nodes);
	return true;
}

/* See the header. */
void
scene_end(scene_t *scene)
{
	uint32_t i;

	for (i = 0; i < scene->n_nodes; i++)
		bp_process_free(scene->nodes[i]);
	if (scene->folder != NULL) {
		for (i = 0; i < scene->n_nodes; i++) {
			(void)g_remove(scene->settings[i]);
			g_free(scene->settings[i]);
		}
		(void)g_rmdir(scene->folder);
	}
	if (scene->record != NULL)
		fclose(scene->record);
}

/* See the header. */
bool
scene_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}
