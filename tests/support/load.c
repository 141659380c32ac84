#include "support/load.h"

#include <stdio.h>
#include <string.h>

#define KINDS 3

static bp_reply_t *
send_kind(bp_load_t *load, guint kind, const bp_load_request_t *r)
{
	char *url = g_strdup_printf("%s%s",
	    bp_cluster_node(load->cluster, r->node)->gateway_url, r->path);
	char *key = g_strdup_printf("%" G_GINT64_FORMAT "-load-%u",
	    g_get_real_time() / G_USEC_PER_SEC, load->requests->len);
	bp_reply_t *reply;

	switch (kind) {
	case 0:
		reply = bp_http_send(load->cluster->http, "POST", url, NULL,
		    "X-Work-Ms", load->work_ms, "X-Idempotent", "no", NULL);
		break;
	case 1:
		reply = bp_http_send(load->cluster->http, "POST", url, NULL,
		    "X-Work-Ms", load->work_ms, "Idempotency-Key", key, NULL);
		break;
	default:
		reply = bp_http_send(load->cluster->http, "POST", url, NULL,
		    "X-Work-Ms", load->work_ms, "X-Idempotent", "yes", NULL);
		break;
	}
	g_free(key);
	g_free(url);
	return reply;
}

static gboolean
send_one(gpointer data)
{
	bp_load_t *load = data;
	bp_load_request_t *r = g_new0(bp_load_request_t, 1);
	guint number = load->requests->len;
	guint kind = number / load->cluster->nodes->len % KINDS;

	r->node = number % load->cluster->nodes->len;
	/* The trailing dot keeps one path from being a prefix of another. */
	r->path = g_strdup_printf(
	    "/book/%s/load-%u.", kind == KINDS - 1 ? "any" : "once", number);
	r->reply = send_kind(load, kind, r);
	g_ptr_array_add(load->requests, r);
	return G_SOURCE_CONTINUE;
}

static void
request_free(gpointer data)
{
	bp_load_request_t *r = data;

	bp_reply_free(r->reply);
	g_free(r->path);
	g_free(r);
}

/* Starts to send. */
bp_load_t *
bp_load_new(bp_cluster_t *cluster, guint interval_ms, const char *work_ms)
{
	bp_load_t *load = g_new0(bp_load_t, 1);

	load->cluster = cluster;
	load->work_ms = work_ms;
	load->requests = g_ptr_array_new_with_free_func(request_free);
	load->timer = g_timeout_add(interval_ms, send_one, load);
	return load;
}

/* Returns whether all replies came within the limit of a wait. */
bool
bp_load_stop(bp_load_t *load)
{
	bool all = true;
	guint i;

	g_source_remove(load->timer);
	load->timer = 0;
	for (i = 0; i < load->requests->len; i++) {
		const bp_load_request_t *r =
		    g_ptr_array_index(load->requests, i);

		all = bp_http_wait(r->reply) && all;
	}
	return all;
}

/* Frees a load that was stopped. */
void
bp_load_free(bp_load_t *load)
{
	g_ptr_array_unref(load->requests);
	g_free(load);
}

/* Returns what is wrong with the answer to a request, or NULL. */
static const char *
find_fault(const bp_load_request_t *r, guint executed, bool graceful)
{
	char *own = g_strdup_printf("path=%s ", r->path);
	bool is_own = strstr(r->reply->body, own) != NULL;
	const char *fault = NULL;

	g_free(own);
	if (r->reply->status == 200 && !is_own)
		fault = "got the answer of another request";
	else if (r->reply->status == 200 && executed == 0)
		fault = "was answered but not executed";
	else if (r->reply->status != 200 && executed > 0 &&
	    strcmp(r->reply->outcome, "not_run") == 0)
		fault = "was executed although it was said to be not run";
	else if (r->reply->status == 0 && graceful && executed > 0)
		fault = "was cut off";
	return fault;
}

/* At most one execution of a path is checked by the checker. */
guint
bp_load_check(bp_load_t *load, bool graceful)
{
	guint faults = 0;
	guint i;

	bp_cluster_read(load->cluster);
	for (i = 0; i < load->requests->len; i++) {
		const bp_load_request_t *r =
		    g_ptr_array_index(load->requests, i);
		const char *fault = find_fault(r,
		    bp_checker_executions(load->cluster->checker, r->path),
		    graceful);

		if (fault == NULL)
			continue;
		faults++;
		printf("REQUEST %s to node %u %s (status %u, %s, %s)\n",
		    r->path, r->node, fault, r->reply->status,
		    r->reply->outcome, r->reply->reason);
	}
	return faults;
}
