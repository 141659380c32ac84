#include "support/executor.h"

#include <string.h>

#define MAX_THREADS 64
#define LARGE_BYTES (9 * 1024 * 1024)

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
		gsize n = (gsize)g_ascii_strtoull(length + 16, NULL, 10);
		char *body = g_malloc(n + 1);

		(void)g_input_stream_read_all(in, body, n, NULL, NULL, NULL);
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
send_answer(GOutputStream *out, const char *status, const char *echo,
    const char *framing, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %s\r\n%s%s\r\n%s\r\n\r\n%s",
	    status, echo != NULL ? "X-Request-Id: " : "X-Other: ",
	    echo != NULL ? echo : "", framing, body);
	gboolean sent = g_output_stream_write_all(
	    out, text, strlen(text), NULL, NULL, NULL);

	g_free(text);
	return sent;
}

/* Answers as the mode says; returns whether the connection is kept. */
static gboolean
answer(gint mode, GOutputStream *out, const char *id)
{
	const char *status = "200 OK";
	const char *echo = id;
	gboolean kept = mode != EXECUTOR_CLOSE && mode != EXECUTOR_TRUNCATED &&
	    mode != EXECUTOR_CUT_CHUNKS && mode != EXECUTOR_NO_LENGTH;
	char *body = mode == EXECUTOR_LARGE
	    ? g_strnfill(LARGE_BYTES, 'x')
	    : g_strconcat("the whole answer to ", id, NULL);
	char *framing = g_strdup_printf("Content-Length: %zu", strlen(body));

	if (mode == EXECUTOR_ERROR)
		status = "500 Error";
	if (mode == EXECUTOR_BUSY)
		status = "503 Busy";
	if (mode == EXECUTOR_WRONG_ECHO)
		echo = "another";
	if (mode == EXECUTOR_NO_ECHO)
		echo = NULL;
	if (mode == EXECUTOR_TRUNCATED)
		body[strlen(body) / 2] = '\0';
	if (mode == EXECUTOR_NO_LENGTH)
		framing[0] = 'X';
	if (mode == EXECUTOR_CHUNKED || mode == EXECUTOR_CUT_CHUNKS) {
		g_free(body);
		g_free(framing);
		framing = g_strdup("Transfer-Encoding: chunked");
		body = g_strconcat("9\r\nthe whole\r\n",
		    mode == EXECUTOR_CHUNKED ? "0\r\n\r\n" : "", NULL);
	}
	if (mode != EXECUTOR_CLOSE)
		kept &= send_answer(out, status, echo, framing, body);
	if (mode == EXECUTOR_TWICE)
		send_answer(out, status, echo, framing, body);
	g_free(framing);
	g_free(body);
	return kept;
}

static gboolean
serve(executor_t *executor, GInputStream *in, GOutputStream *out)
{
	char *head = read_request(in);
	gboolean kept;
	char *id;
	gint mode;
	gint busy;

	if (head == NULL)
		return FALSE;
	id = header_of(head, "X-Request-Id");
	busy = g_atomic_int_add(&executor->busy, 1) + 1;
	g_mutex_lock(&executor->lock);
	g_ptr_array_add(executor->heads, head);
	executor->peak = MAX(executor->peak, busy);
	g_mutex_unlock(&executor->lock);
	mode = g_atomic_int_get(&executor->mode);
	if (mode == EXECUTOR_SLOW)
		g_usleep((gulong)g_atomic_int_get(&executor->delay_ms) * 1000);
	g_atomic_int_add(&executor->busy, -1);
	kept = answer(mode, out, id != NULL ? id : "");
	g_free(id);
	return kept;
}

static gboolean
on_run(GThreadedSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer data)
{
	GIOStream *stream = G_IO_STREAM(connection);
	executor_t *executor = data;

	g_atomic_int_inc(&executor->connections);
	g_atomic_int_inc(&executor->open);
	while (serve(executor, g_io_stream_get_input_stream(stream),
	    g_io_stream_get_output_stream(stream)))
		;
	(void)g_io_stream_close(stream, NULL, NULL);
	g_atomic_int_add(&executor->open, -1);
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
	g_socket_listener_set_backlog(
	    G_SOCKET_LISTENER(executor->service), MAX_THREADS);
	port = g_socket_listener_add_any_inet_port(
	    G_SOCKET_LISTENER(executor->service), NULL, NULL);
	executor->url = g_strdup_printf("http://127.0.0.1:%u", port);
	g_signal_connect(
	    executor->service, "run", G_CALLBACK(on_run), executor);
	g_socket_service_start(executor->service);
	return executor;
}

/* Stops listening and waits for the threads, which end with their peers. */
void
executor_free(executor_t *executor)
{
	g_socket_service_stop(executor->service);
	g_socket_listener_close(G_SOCKET_LISTENER(executor->service));
	while (g_atomic_int_get(&executor->open) > 0) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
	g_object_unref(executor->service);
	g_ptr_array_unref(executor->heads);
	g_mutex_clear(&executor->lock);
	g_free(executor->url);
	g_free(executor);
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
	GPtrArray *heads = executor->heads;
	char *value = NULL;

	g_mutex_lock(&executor->lock);
	if (heads->len > 0)
		value = header_of(heads->pdata[heads->len - 1], name);
	g_mutex_unlock(&executor->lock);
	return value;
}

/*
 * Returns a URL that refuses connections as long as holder lives: its port is
 * bound without listening, so that no other socket gets the same port.
 */
char *
executor_dead_url(GSocket **holder)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *any = g_inet_socket_address_new(loopback, 0);
	GSocketAddress *bound;
	char *url;

	*holder = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, NULL);
	(void)g_socket_bind(*holder, any, FALSE, NULL);
	bound = g_socket_get_local_address(*holder, NULL);
	url = g_strdup_printf("http://127.0.0.1:%u",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	g_object_unref(bound);
	g_object_unref(any);
	g_object_unref(loopback);
	return url;
}
