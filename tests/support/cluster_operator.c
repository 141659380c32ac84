#include "support/cluster.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define BINARY "build/bulrushpost"
#define MILLI 1000

/* Runs the command line tool to its end. */
int
bp_cluster_cli(bp_cluster_t *cluster, char **output, ...)
{
	GPtrArray *argv = g_ptr_array_new();
	char *name = g_strdup_printf("%s-cli", cluster->options.name);
	const char *word;
	va_list args;
	int status;

	g_ptr_array_add(argv, (gpointer)BINARY);
	va_start(args, output);
	while ((word = va_arg(args, const char *)) != NULL)
		g_ptr_array_add(argv, (gpointer)word);
	va_end(args);
	g_ptr_array_add(argv, NULL);
	status = bp_process_run(name, (const char *const *)argv->pdata, output);
	g_ptr_array_unref(argv);
	g_free(name);
	return status;
}

/* Sends a request; the caller waits for the reply and frees it. */
bp_reply_t *
bp_cluster_request(bp_cluster_t *cluster, guint node, const char *method,
    const char *path, const char *header, const char *value)
{
	char *url = g_strdup_printf(
	    "%s/book/%s", bp_cluster_node(cluster, node)->gateway_url, path);
	bp_reply_t *reply =
	    bp_http_send(cluster->http, method, url, NULL, header, value, NULL);

	g_free(url);
	return reply;
}

/*
 * Submits a job of team "club" under an id made here. A job whose outcome is
 * not known counts as not accepted.
 */
char *
bp_cluster_submit(bp_cluster_t *cluster, guint node, const char *klass,
    guint tasks, guint cpu_milli, const char *command)
{
	char *job = g_uuid_string_random();
	char *count = g_strdup_printf("%u", tasks);
	char *cpu =
	    g_strdup_printf("%u.%03u", cpu_milli / MILLI, cpu_milli % MILLI);
	int status = bp_cluster_cli(cluster, NULL, "job", "submit", "--node",
	    bp_cluster_node(cluster, node)->control, "--id", job, "--team",
	    "club", "--name", "roster", "--class", klass, "--tasks", count,
	    "--cpu", cpu, "--memory", "100M", "--command", command, NULL);

	g_free(count);
	g_free(cpu);
	if (status == 0)
		return job;
	g_free(job);
	return NULL;
}

static bool
change_zone(bp_cluster_t *cluster, guint node, const char *zone, bool out)
{
	return bp_cluster_cli(cluster, NULL, "zone", out ? "out" : "in", zone,
		   "--node", bp_cluster_node(cluster, node)->control,
		   "--author", "tester", "--reason", "test", NULL) == 0;
}

/* Changes a zone as the operator "tester". */
bool
bp_cluster_zone(bp_cluster_t *cluster, guint node, const char *zone, bool out)
{
	bp_cluster_outage_t outage = {NULL, 0, INT64_MAX};
	int64_t before_us = bp_now_us();
	guint i;

	if (!change_zone(cluster, node, zone, out))
		return false;
	if (out) {
		outage.zone = g_strdup(zone);
		outage.out_us = bp_now_us();
		g_array_append_val(cluster->outages, outage);
		return true;
	}
	for (i = 0; i < cluster->outages->len; i++) {
		bp_cluster_outage_t *o =
		    &g_array_index(cluster->outages, bp_cluster_outage_t, i);

		if (strcmp(o->zone, zone) == 0 && o->back_us == INT64_MAX)
			o->back_us = before_us;
	}
	return true;
}

/* Returns whether the tool gave an answer. */
bool
bp_cluster_why(
    bp_cluster_t *cluster, guint node, const char *job, char **output)
{
	return bp_cluster_cli(cluster, output, "why", job, "--node",
		   bp_cluster_node(cluster, node)->control, NULL) == 0;
}
