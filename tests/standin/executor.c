#include "bulrushpost/clock.h"
#include "standin/executor.h"
#include "standin/server.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
#define CONNECTIONS_MAX 60
#define PORT_TRIES 200
/* Below the range from which systems take ports of outgoing connections. */
#define PORT_LOW 10240
#define PORT_HIGH 32000
#define ANSWER_PAD_MAX (1024 * 1024)

static const char *
header(SoupServerMessage *message, const char *name)
{
	return soup_message_headers_get_one(
	    soup_server_message_get_request_headers(message), name);
}

static uint64_t
header_uint(SoupServerMessage *message, const char *name, uint64_t fallback)
{
	const char *text = header(message, name);

	return text != NULL ? strtoull(text, NULL, 10) : fallback;
}

/* The answer names its request, so that a caller can tell whose it is. */
static char *
answer_body(const execution_t *x, SoupServerMessage *message)
{
	uint64_t pad =
	    MIN(header_uint(message, "X-Answer-Bytes", 0), ANSWER_PAD_MAX);
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "executed path=%s port=%u key=%s\n",
	    x->path, (unsigned int)x->port, x->key != NULL ? x->key : "");
	while (text->len < pad)
		g_string_append_c(text, '.');
	return g_string_free(text, FALSE);
}

static void
answer(executor_t *ex, execution_t *x, SoupServerMessage *message)
{
	const char *id = ex->wrong_echo ? "another-request" : x->request_id;
	char *body = answer_body(x, message);
	char *echo;

	if (ex->lose_answers > 0) {
		ex->lose_answers--;
		standin_drop(message);
	} else if (ex->truncate) {
		echo = g_strdup_printf(
		    "X-Request-Id: %s\r\n", id != NULL ? id : "");
		standin_reply_truncated(message, echo, body);
		g_free(echo);
	} else {
		if (id != NULL)
			soup_message_headers_replace(
			    soup_server_message_get_response_headers(message),
			    "X-Request-Id", id);
		standin_reply_text(message, SOUP_STATUS_OK, body);
	}
	g_free(body);
}

static void start_queued(executor_t *ex);

static gboolean
on_done(gpointer data)
{
	running_t *running = data;
	executor_t *ex = running->executor;
	execution_t *x = running->execution;

	x->end_us = bp_clock_mono_us(ex->service->clock);
	ex->busy--;
	answer(ex, x, running->pending->message);
	standin_release(running->pending);
	g_free(running);
	start_queued(ex);
	return G_SOURCE_REMOVE;
}

static void
start_one(executor_t *ex, running_t *running)
{
	SoupServerMessage *message = running->pending->message;
	uint64_t work_ms =
	    header_uint(message, "X-Work-Ms", (uint64_t)ex->service->work_ms) +
	    (uint64_t)ex->delay_ms;

	ex->busy++;
	running->execution = executor_history_add(ex, message);
	g_timeout_add((guint)MIN(work_ms, G_MAXINT), on_done, running);
}

static void
start_queued(executor_t *ex)
{
	running_t *running;

	while (ex->busy < ex->service->slots &&
	    (running = g_queue_pop_head(&ex->queue)) != NULL)
		start_one(ex, running);
}

static void
handle_request(executor_t *ex, SoupServerMessage *message, const char *path)
{
	running_t *running;

	if (ex->fail_fast) {
		standin_reply_text(
		    message, SOUP_STATUS_INTERNAL_SERVER_ERROR, "failed\n");
		if (header(message, "X-Request-Id") != NULL)
			soup_message_headers_replace(
			    soup_server_message_get_response_headers(message),
			    "X-Request-Id", header(message, "X-Request-Id"));
		return;
	}
	running = g_new0(running_t, 1);
	running->executor = ex;
	running->pending = standin_hold(message, path);
	g_queue_push_tail(&ex->queue, running);
	start_queued(ex);
}

static executor_t *
find_port(executor_service_t *service, int64_t port)
{
	guint i;

	for (i = 0; i < service->executors->len; i++) {
		executor_t *ex = g_ptr_array_index(service->executors, i);

		if (ex->port == port)
			return ex;
	}
	return NULL;
}

/* Members that are missing leave their fault as it is. */
static void
handle_fault(executor_service_t *service, SoupServerMessage *message)
{
	JsonParser *parser = standin_body_json(message);
	JsonObject *o = standin_body_object(parser);
	executor_t *ex = o != NULL
	    ? find_port(service, standin_json_int(o, "port", 0))
	    : NULL;
	bool leaving;

	if (ex == NULL) {
		standin_reply_text(
		    message, SOUP_STATUS_NOT_FOUND, "no such port\n");
		g_clear_object(&parser);
		return;
	}
	ex->fail_fast = standin_json_bool(o, "fail_fast", ex->fail_fast);
	ex->truncate = standin_json_bool(o, "truncate", ex->truncate);
	ex->wrong_echo = standin_json_bool(o, "wrong_echo", ex->wrong_echo);
	ex->delay_ms = standin_json_int(o, "delay_ms", ex->delay_ms);
	ex->lose_answers = standin_json_int(o, "lose_answer", ex->lose_answers);
	leaving = standin_json_bool(
	    o, "leaving_but_answering", ex->leaving_since_us != 0);
	if (leaving != (ex->leaving_since_us != 0))
		ex->leaving_since_us =
		    leaving ? bp_clock_mono_us(service->clock) : 0;
	if (json_object_has_member(o, "refuse"))
		standin_server_refuse(
		    ex->server, standin_json_bool(o, "refuse", false));
	g_object_unref(parser);
	standin_reply_text(message, SOUP_STATUS_OK, "ok\n");
}

static void
handle_admin(executor_service_t *service, SoupServerMessage *message,
    const char *path, GHashTable *query)
{
	JsonBuilder *b;

	if (strcmp(path, "/admin/executor") == 0) {
		handle_fault(service, message);
	} else if (strcmp(path, "/admin/history") == 0) {
		b = json_builder_new();
		executor_history_build(
		    service, b, (uint32_t)standin_query_uint(query, "from", 0));
		standin_reply_json(message, b);
	} else if (strcmp(path, "/admin/counts") == 0) {
		b = json_builder_new();
		executor_counts_build(service, b);
		standin_reply_json(message, b);
	} else {
		standin_reply_text(
		    message, SOUP_STATUS_NOT_FOUND, "no such path\n");
	}
}

static void
handle_executor(
    SoupServerMessage *message, const char *path, GHashTable *query, void *data)
{
	executor_t *ex = data;

	if (g_str_has_prefix(path, "/admin/"))
		handle_admin(ex->service, message, path, query);
	else
		handle_request(ex, message, path);
}

static void
handle_admin_only(
    SoupServerMessage *message, const char *path, GHashTable *query, void *data)
{
	handle_admin(data, message, path, query);
}

static void
executor_free(gpointer data)
{
	executor_t *ex = data;

	standin_server_free(ex->server);
	g_free(ex);
}

static int
add_executor(executor_service_t *service, int port)
{
	executor_t *ex = g_new0(executor_t, 1);

	ex->service = service;
	g_queue_init(&ex->queue);
	if (standin_server_new(&ex->server, (uint16_t)port, CONNECTIONS_MAX,
		handle_executor, ex) != 0) {
		g_free(ex);
		return -1;
	}
	ex->port = standin_server_port(ex->server);
	g_ptr_array_add(service->executors, ex);
	return ex->port;
}

/* Takes count consecutive ports; with port 0 it tries several first ones. */
static int
add_executors(executor_service_t *service, int port, int count)
{
	int first;
	int tries;
	int i;

	for (tries = port == 0 ? PORT_TRIES : 1; tries > 0; tries--) {
		first = port != 0
		    ? port
		    : g_random_int_range(PORT_LOW, PORT_HIGH - count);
		g_ptr_array_set_size(service->executors, 0);
		for (i = 0; i < count; i++) {
			if (add_executor(service, first + i) < 0)
				break;
		}
		if (i == count)
			return first;
	}
	return -1;
}

/* Executors on consecutive ports, with an admin port that takes no faults. */
int
standin_executor_main(int argc, char **argv)
{
	executor_service_t service = {.slots = 8, .work_ms = 5};
	standin_server_t *admin = NULL;
	int port = 0;
	int admin_port = 0;
	int count = 1;
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, "First port", "P"},
	    {"admin-port", 0, 0, G_OPTION_ARG_INT, &admin_port, "Port", "P"},
	    {"count", 0, 0, G_OPTION_ARG_INT, &count, "Executors", "N"},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &service.slots, "Slots", "N"},
	    {"work-ms", 0, 0, G_OPTION_ARG_INT, &service.work_ms,
		"Time of a request without X-Work-Ms", "N"},
	    G_OPTION_ENTRY_NULL,
	};
	int first;
	int rc = 1;

	if (!standin_options(&argc, &argv, entries))
		return 2;
	service.clock = bp_clock_system();
	service.executors = g_ptr_array_new_with_free_func(executor_free);
	executor_history_init(&service);
	first = add_executors(&service, port, count);
	if (first > 0 &&
	    standin_server_new(&admin, (uint16_t)admin_port, 0,
		handle_admin_only, &service) == 0) {
		standin_announce("ADMIN", standin_server_port(admin));
		standin_announce("LISTENING", (uint16_t)first);
		rc = standin_run();
	}
	standin_server_free(admin);
	g_ptr_array_unref(service.executors);
	executor_history_clear(&service);
	return rc;
}
