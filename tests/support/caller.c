#include "support/caller.h"

#include <CUnit/CUnit.h>
#include <gio/gio.h>
#include <string.h>
#include <sys/socket.h>

#define WAIT_MAX_MS 20000

/* Prepares a caller; clear it with caller_clear. */
void
caller_init(caller_t *caller, uint16_t port)
{
	caller->session = soup_session_new_with_options("max-conns", 200,
	    "max-conns-per-host", 200, "proxy-resolver", NULL, NULL);
	caller->port = port;
}

/* Closes the connections of the caller. */
void
caller_clear(caller_t *caller)
{
	soup_session_abort(caller->session);
	g_clear_object(&caller->session);
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

	for (line = list; *line != NULL; line++) {
		char **pair = g_strsplit(*line, ": ", 2);

		if (pair[0] != NULL && pair[1] != NULL)
			soup_message_headers_append(
			    soup_message_get_request_headers(message), pair[0],
			    pair[1]);
		g_strfreev(pair);
	}
	g_strfreev(list);
}

/* Starts a request; wait for it with call_wait. */
call_t *
caller_send(caller_t *caller, const char *method, const char *path,
    const char *headers, const char *body)
{
	char *url =
	    g_strdup_printf("http://127.0.0.1:%u%s", caller->port, path);
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
	soup_session_send_and_read_async(caller->session, call->message,
	    G_PRIORITY_DEFAULT, NULL, on_done, call);
	return call;
}

/* Runs the main context until the call has ended. */
void
call_wait(call_t *call)
{
	gint64 end_us = g_get_monotonic_time() + WAIT_MAX_MS * 1000;

	while (!call->done && g_get_monotonic_time() < end_us) {
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(200);
	}
	CU_ASSERT_TRUE(call->done);
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
	gsize size;
	const char *bytes;

	if (call->body == NULL)
		return false;
	bytes = g_bytes_get_data(call->body, &size);
	return bytes != NULL && memmem(bytes, size, text, strlen(text)) != NULL;
}

/* Sends, waits and checks; prints what differs. */
bool
caller_expect(caller_t *caller, const char *method, const char *path,
    const char *headers, guint status, const char *outcome)
{
	call_t *call = caller_send(caller, method, path, headers, NULL);
	const char *seen;
	bool same;

	call_wait(call);
	seen = call_header(call, "X-Outcome");
	same = call_status(call) == status && g_strcmp0(seen, outcome) == 0;
	/* Answers of our own always state a reason. */
	if (outcome != NULL && call_header(call, "X-Reason") == NULL)
		same = false;
	if (!same)
		printf("%s %s: status %u (expected %u), outcome %s (expected "
		       "%s), reason %s\n",
		    method, path, call_status(call), status,
		    seen != NULL ? seen : "none",
		    outcome != NULL ? outcome : "none",
		    call_header(call, "X-Reason"));
	call_free(call);
	return same;
}

/* Runs the main context for a time. */
void
caller_run_ms(int ms)
{
	gint64 end_us = g_get_monotonic_time() + (gint64)ms * 1000;

	while (g_get_monotonic_time() < end_us) {
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(200);
	}
}

/*
 * Sends bytes over a raw connection and returns what comes back within
 * wait_ms or until the gateway closes the connection; "" for nothing.
 */
char *
caller_raw(uint16_t port, const void *bytes, size_t size, int wait_ms)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
	    client, "127.0.0.1", port, NULL, NULL);
	GString *answer = g_string_new(NULL);
	gint64 end_us = g_get_monotonic_time() + (gint64)wait_ms * 1000;
	const char *next = bytes;
	char buffer[4096];
	int fd;

	g_object_unref(client);
	if (connection == NULL)
		return g_string_free(answer, FALSE);
	fd = g_socket_get_fd(g_socket_connection_get_socket(connection));
	while (g_get_monotonic_time() < end_us) {
		ssize_t n = size > 0
		    ? send(fd, next, size, MSG_DONTWAIT | MSG_NOSIGNAL)
		    : 0;

		if (n > 0) {
			next += n;
			size -= (size_t)n;
		}
		while (g_main_context_iteration(NULL, FALSE))
			;
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len(answer, buffer, n);
		else if (n == 0 || errno != EAGAIN)
			break;
		else
			g_usleep(100);
	}
	(void)g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
	g_object_unref(connection);
	return g_string_free(answer, FALSE);
}
