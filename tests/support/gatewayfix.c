#include "support/gatewayfix.h"

#include <CUnit/CUnit.h>
#include <string.h>
#include <sys/socket.h>

#define WAIT_MAX_MS 20000
#define SEED 7

static const char *const names[FIX_MAX_EXECUTORS] = {"e0", "e1", "e2", "e3"};

/* Starts n executors, a gateway that knows them, and a caller. */
void
fix_start(
    fix_t *f, int n, executor_mode_t mode, const bp_key_claimer_t *claimer)
{
	bp_gateway_options_t options;

	bp_gateway_options_init(&options);
	options.claimer = claimer;
	fix_start_options(f, n, mode, &options);
}

/* Does the same with options of the test; the seed is fixed. */
void
fix_start_options(
    fix_t *f, int n, executor_mode_t mode, bp_gateway_options_t *options)
{
	int i;

	memset(f, 0, sizeof(*f));
	options->seed = SEED;
	CU_ASSERT_EQUAL_FATAL(
	    bp_gateway_new(&f->gateway, options, NULL), BP_OK);
	f->port = bp_gateway_port(f->gateway);
	f->session = soup_session_new_with_options("max-conns", 200,
	    "max-conns-per-host", 200, "proxy-resolver", NULL, NULL);
	for (f->n = n, i = 0; i < n; i++) {
		f->executors[i] = executor_new(mode);
		f->endpoints[i].name = names[i];
		f->endpoints[i].url = f->executors[i]->url;
		f->endpoints[i].service = "s";
	}
	fix_set_endpoints(f);
}

/* Stops everything, callers first. */
void
fix_stop(fix_t *f)
{
	int i;

	soup_session_abort(f->session);
	g_object_unref(f->session);
	bp_gateway_free(f->gateway);
	for (i = 0; i < f->n; i++)
		executor_free(f->executors[i]);
}

/* Tells the gateway of changes in f->endpoints. */
void
fix_set_endpoints(fix_t *f)
{
	CU_ASSERT_EQUAL(bp_gateway_set_endpoints(
			    f->gateway, f->endpoints, (size_t)f->n, NULL),
	    BP_OK);
}

/* Returns the counters of the gateway. */
bp_gateway_counters_t
fix_counters(const fix_t *f)
{
	bp_gateway_counters_t out;

	bp_gateway_counters(f->gateway, &out);
	return out;
}

/* Runs the main context for a time. */
void
fix_run_ms(int ms)
{
	gint64 end_us = g_get_monotonic_time() + (gint64)ms * 1000;

	while (g_get_monotonic_time() < end_us) {
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(200);
	}
}

static void
on_done(GObject *source, GAsyncResult *result, gpointer data)
{
	call_t *call = data;

	call->body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	call->done = true;
}

static void
add_headers(SoupMessage *message, const char *lines)
{
	char **list = g_strsplit(lines != NULL ? lines : "", "\n", -1);
	char **line;
	char *value;

	for (line = list; *line != NULL; line++) {
		if ((value = strstr(*line, ": ")) == NULL)
			continue;
		*value = '\0';
		soup_message_headers_append(
		    soup_message_get_request_headers(message), *line,
		    value + 2);
	}
	g_strfreev(list);
}

/* Starts a request; wait for it with call_wait. */
call_t *
call_new(fix_t *f, const char *method, const char *path, const char *headers,
    const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", f->port, path);
	call_t *call = g_new0(call_t, 1);

	call->message = soup_message_new(method, url);
	g_free(url);
	add_headers(call->message, headers);
	if (body != NULL) {
		GBytes *bytes = g_bytes_new(body, strlen(body));

		soup_message_set_request_body_from_bytes(
		    call->message, "text/plain", bytes);
		g_bytes_unref(bytes);
	}
	soup_session_send_and_read_async(
	    f->session, call->message, G_PRIORITY_DEFAULT, NULL, on_done, call);
	return call;
}

/* Runs the main context until the call has ended; returns the call. */
call_t *
call_wait(call_t *call)
{
	gint64 end_us = g_get_monotonic_time() + WAIT_MAX_MS * 1000;

	while (!call->done && g_get_monotonic_time() < end_us)
		fix_run_ms(1);
	CU_ASSERT_TRUE(call->done);
	return call;
}

/* Frees a call that has ended. */
void
call_free(call_t *call)
{
	g_object_unref(call->message);
	g_clear_pointer(&call->body, g_bytes_unref);
	g_free(call);
}

/* Returns the status, 0 when there was no answer. */
guint
call_status(const call_t *call)
{
	return call->body != NULL ? soup_message_get_status(call->message) : 0;
}

/* Returns a header of the answer, or NULL. */
const char *
call_header(const call_t *call, const char *name)
{
	return soup_message_headers_get_list(
	    soup_message_get_response_headers(call->message), name);
}

/* Returns whether the body of the answer holds a text. */
bool
call_body_has(const call_t *call, const char *text)
{
	gsize size = 0;
	const char *bytes =
	    call->body != NULL ? g_bytes_get_data(call->body, &size) : NULL;

	return bytes != NULL && memmem(bytes, size, text, strlen(text)) != NULL;
}

/* Sends, waits and checks; an answer of our own must state a reason. */
bool
fix_expect(fix_t *f, const char *method, const char *path, const char *headers,
    guint status, const char *outcome)
{
	call_t *call = call_wait(call_new(f, method, path, headers, NULL));
	const char *seen = call_header(call, "X-Outcome");
	const char *reason = call_header(call, "X-Reason");
	bool same = call_status(call) == status &&
	    g_strcmp0(seen, outcome) == 0 &&
	    (outcome == NULL) == (reason == NULL);

	if (!same)
		printf("%s %s: status %u, expected %u; outcome %s, expected "
		       "%s; reason %s\n",
		    method, path, call_status(call), status,
		    seen != NULL ? seen : "none",
		    outcome != NULL ? outcome : "none",
		    reason != NULL ? reason : "none");
	call_free(call);
	return same;
}

/* Returns what comes back within wait_ms or until the gateway closes. */
char *
fix_raw(fix_t *f, const void *bytes, size_t size, int wait_ms)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
	    client, "127.0.0.1", f->port, NULL, NULL);
	GString *answer = g_string_new(NULL);
	gint64 end_us = g_get_monotonic_time() + (gint64)wait_ms * 1000;
	char buffer[4096];
	ssize_t n;
	int fd;

	g_object_unref(client);
	fd = g_socket_get_fd(g_socket_connection_get_socket(connection));
	while (g_get_monotonic_time() < end_us) {
		n = send(fd, bytes, size, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n > 0) {
			bytes = (const char *)bytes + n;
			size -= (size_t)n;
		}
		while (g_main_context_iteration(NULL, FALSE))
			;
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		if (n > 0)
			g_string_append_len(answer, buffer, n);
		else
			g_usleep(100);
	}
	(void)g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
	g_object_unref(connection);
	return g_string_free(answer, FALSE);
}
