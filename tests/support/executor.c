#include "support/executor.h"

#include <gio/gio.h>
#include <string.h>

#define MAX_THREADS 64
#define LARGE_BYTES (9 * 1024 * 1024)
#define TEST_ANSWER "the whole answer to "

struct executor {
	GSocketService *service;
	char *url;
	GMutex lock;
	executor_mode_t mode;
	int delay_ms;
	int connections;
	int open; /* connections */
	int busy; /* requests */
	int peak;
	GPtrArray *heads; /* of all requests */
};

/* Reads a request head and its body; returns NULL at the end. */
static char *
read_request(GInputStream *in)
{
	GString *head = g_string_new(NULL);
	const char *length;
	char byte;

	while (strstr(head->str, "\r\n\r\n") == NULL) {
		if (g_input_stream_read(in, &byte, 1, NULL, NULL) != 1) {
			g_string_free(head, TRUE);
			return NULL;
		}
		g_string_append_c(head, byte);
	}
	length = strstr(head->str, "Content-Length: ");
	if (length != NULL) {
		gint64 n = g_ascii_strtoll(length + 16, NULL, 10);
		char *body = g_malloc((gsize)n + 1);

		(void)g_input_stream_read_all(
		    in, body, (gsize)n, NULL, NULL, NULL);
		g_free(body);
	}
	return g_string_free(head, FALSE);
}

static char *
header_of(const char *head, const char *name)
{
	char *start = g_strdup_printf("\r\n%s: ", name);
	const char *found = strstr(head, start);
	char *value = NULL;

	if (found != NULL) {
		found += strlen(start);
		value = g_strndup(found, strcspn(found, "\r"));
	}
	g_free(start);
	return value;
}

static gboolean
send_text(GOutputStream *out, const char *text)
{
	return g_output_stream_write_all(
	    out, text, strlen(text), NULL, NULL, NULL);
}

static gboolean
send_answer(GOutputStream *out, const char *status, const char *echo,
    const char *framing, const char *body)
{
	char *head =
	    g_strdup_printf("HTTP/1.1 %s\r\n%s%s%s%s\r\n\r\n%s", status,
		echo != NULL ? "X-Request-Id: " : "", echo != NULL ? echo : "",
		echo != NULL ? "\r\n" : "", framing, body);
	gboolean sent = send_text(out, head);

	g_free(head);
	return sent;
}

static void
send_large(GOutputStream *out, const char *id)
{
	char *body = g_strnfill(LARGE_BYTES, 'x');
	char *framing = g_strdup_printf("Content-Length: %d", LARGE_BYTES);

	send_answer(out, "200 OK", id, framing, body);
	g_free(framing);
	g_free(body);
}

/* Answers as the mode says; returns whether the connection is kept. */
static gboolean
answer(executor_mode_t mode, GOutputStream *out, const char *id)
{
	char *body = g_strconcat(TEST_ANSWER, id, NULL);
	char *length = g_strdup_printf("Content-Length: %zu", strlen(body));
	gboolean kept = FALSE;

	switch (mode) {
	case EXECUTOR_SLOW:
	case EXECUTOR_OK:
		kept = send_answer(out, "200 OK", id, length, body);
		break;
	case EXECUTOR_TWICE:
		kept = send_answer(out, "200 OK", id, length, body);
		send_answer(out, "200 OK", id, length, body);
		break;
	case EXECUTOR_WRONG_ECHO:
		kept = send_answer(out, "200 OK", "another", length, body);
		break;
	case EXECUTOR_NO_ECHO:
		kept = send_answer(out, "200 OK", NULL, length, body);
		break;
	case EXECUTOR_TRUNCATED:
		send_answer(out, "200 OK", id, length, "the whole");
		break;
	case EXECUTOR_CUT_CHUNKS:
		send_answer(out, "200 OK", id, "Transfer-Encoding: chunked",
		    "9\r\nthe whole\r\n");
		break;
	case EXECUTOR_CHUNKED:
		kept =
		    send_answer(out, "200 OK", id, "Transfer-Encoding: chunked",
			"9\r\nthe whole\r\n7\r\n answer\r\n0\r\n\r\n");
		break;
	case EXECUTOR_NO_LENGTH:
		send_answer(out, "200 OK", id, "Connection: close", body);
		break;
	case EXECUTOR_CLOSE:
		break;
	case EXECUTOR_ERROR:
		kept = send_answer(out, "500 Error", id, length, body);
		break;
	case EXECUTOR_BUSY:
		kept = send_answer(out, "503 Busy", id, length, body);
		break;
	case EXECUTOR_LARGE:
		send_large(out, id);
		break;
	}
	g_free(length);
	g_free(body);
	return kept;
}

static gboolean
on_run(GThreadedSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer data)
{
	executor_t *executor = data;
	GInputStream *in =
	    g_io_stream_get_input_stream(G_IO_STREAM(connection));
	GOutputStream *out =
	    g_io_stream_get_output_stream(G_IO_STREAM(connection));
	gboolean kept = TRUE;
	char *head;

	g_mutex_lock(&executor->lock);
	executor->connections++;
	executor->open++;
	g_mutex_unlock(&executor->lock);
	while (kept && (head = read_request(in)) != NULL) {
		executor_mode_t mode;
		int delay_ms;
		char *id = header_of(head, "X-Request-Id");

		g_mutex_lock(&executor->lock);
		g_ptr_array_add(executor->heads, head);
		executor->busy++;
		executor->peak = MAX(executor->peak, executor->busy);
		mode = executor->mode;
		delay_ms = executor->delay_ms;
		g_mutex_unlock(&executor->lock);
		if (mode == EXECUTOR_SLOW)
			g_usleep((gulong)delay_ms * 1000);
		g_mutex_lock(&executor->lock);
		executor->busy--;
		g_mutex_unlock(&executor->lock);
		kept = answer(mode, out, id != NULL ? id : "");
		g_free(id);
	}
	(void)g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
	g_mutex_lock(&executor->lock);
	executor->open--;
	g_mutex_unlock(&executor->lock);
	return TRUE;
}

/* Starts a stand-in on a free port of the loopback interface. */
executor_t *
executor_new(executor_mode_t mode)
{
	executor_t *executor = g_new0(executor_t, 1);
	guint16 port;

	g_mutex_init(&executor->lock);
	executor->mode = mode;
	executor->heads = g_ptr_array_new_with_free_func(g_free);
	executor->service = g_threaded_socket_service_new(MAX_THREADS);
	port = g_socket_listener_add_any_inet_port(
	    G_SOCKET_LISTENER(executor->service), NULL, NULL);
	executor->url = g_strdup_printf("http://127.0.0.1:%u", port);
	g_signal_connect(
	    executor->service, "run", G_CALLBACK(on_run), executor);
	g_socket_service_start(executor->service);
	return executor;
}

static int
open_connections(executor_t *executor)
{
	int n;

	g_mutex_lock(&executor->lock);
	n = executor->open;
	g_mutex_unlock(&executor->lock);
	return n;
}

/* Stops listening and waits for the threads, which end with their peers. */
void
executor_free(executor_t *executor)
{
	g_socket_service_stop(executor->service);
	g_socket_listener_close(G_SOCKET_LISTENER(executor->service));
	while (open_connections(executor) > 0) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
	g_object_unref(executor->service);
	g_ptr_array_unref(executor->heads);
	g_mutex_clear(&executor->lock);
	g_free(executor->url);
	g_free(executor);
}

/* Changes the behaviour from the next request on. */
void
executor_set_mode(executor_t *executor, executor_mode_t mode)
{
	g_mutex_lock(&executor->lock);
	executor->mode = mode;
	g_mutex_unlock(&executor->lock);
}

/* Sets the delay of EXECUTOR_SLOW. */
void
executor_set_delay(executor_t *executor, int delay_ms)
{
	g_mutex_lock(&executor->lock);
	executor->delay_ms = delay_ms;
	g_mutex_unlock(&executor->lock);
}

/* Returns the base url. */
const char *
executor_url(const executor_t *executor)
{
	return executor->url;
}

/* Returns the most requests that were being answered at one time. */
int
executor_peak(executor_t *executor)
{
	int n;

	g_mutex_lock(&executor->lock);
	n = executor->peak;
	g_mutex_unlock(&executor->lock);
	return n;
}

/* Returns the number of connections accepted so far. */
int
executor_connections(executor_t *executor)
{
	int n;

	g_mutex_lock(&executor->lock);
	n = executor->connections;
	g_mutex_unlock(&executor->lock);
	return n;
}

/* Returns the number of requests read so far. */
int
executor_requests(executor_t *executor)
{
	return executor_count(executor, "");
}

/* Returns the number of requests whose head holds the text. */
int
executor_count(executor_t *executor, const char *text)
{
	int n = 0;
	guint i;

	g_mutex_lock(&executor->lock);
	for (i = 0; i < executor->heads->len; i++)
		n += strstr(executor->heads->pdata[i], text) != NULL;
	g_mutex_unlock(&executor->lock);
	return n;
}

/* Returns the value of a header of the latest request. */
char *
executor_header(executor_t *executor, const char *name)
{
	char *value = NULL;

	g_mutex_lock(&executor->lock);
	if (executor->heads->len > 0)
		value = header_of(
		    executor->heads->pdata[executor->heads->len - 1], name);
	g_mutex_unlock(&executor->lock);
	return value;
}

/* Returns the url of a port that was free a moment ago. */
char *
executor_dead_url(void)
{
	GSocketListener *listener = g_socket_listener_new();
	guint16 port =
	    g_socket_listener_add_any_inet_port(listener, NULL, NULL);

	g_socket_listener_close(listener);
	g_object_unref(listener);
	return g_strdup_printf("http://127.0.0.1:%u", port);
}
