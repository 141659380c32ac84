#include "support/cluster.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define BINARY "build/bulrushpost"

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
