#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static GPtrArray *conns;

conn_t *
conn_ref(conn_t *conn)
{
	conn->refs++;
	return conn;
}

void
conn_unref(conn_t *conn)
{
	if (--conn->refs > 0)
		return;
	g_string_free(conn->in, TRUE);
	g_string_free(conn->out, TRUE);
	g_string_free(conn->body, TRUE);
	g_free(conn->method);
	g_free(conn->path);
	g_free(conn->query);
	g_free(conn->instance);
	g_free(conn);
}

static void
conn_close(conn_t *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	g_ptr_array_remove_fast(conns, conn);
	if (conn->source != 0)
		g_source_remove(conn->source);
	if (conn->writer != 0)
		g_source_remove(conn->writer);
	close(conn->fd);
	conn_unref(conn);
}

/* Ends the connection with a reset instead of an answer. */
void
conn_reset(conn_t *conn)
{
	struct linger now = {1, 0};

	if (conn->closed)
		return;
	(void)setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	conn_close(conn);
}

static void take_request(conn_t *conn);

static gboolean
on_writable(gint fd, GIOCondition condition, gpointer data)
{
	conn_t *conn = data;
	ssize_t n = send(fd, conn->out->str, conn->out->len, MSG_NOSIGNAL);

	(void)condition;
	if (n < 0 && errno != EAGAIN) {
		conn->writer = 0;
		conn_close(conn);
		return G_SOURCE_REMOVE;
	}
	if (n > 0)
		g_string_erase(conn->out, 0, n);
	if (conn->out->len > 0)
		return G_SOURCE_CONTINUE;
	conn->writer = 0;
	return G_SOURCE_REMOVE;
}

void
conn_answer(
    conn_t *conn, int status, const char *type, const void *body, size_t size)
{
	if (conn->closed)
		return;
	g_string_append_printf(conn->out,
	    "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
	    status, type, size);
	g_string_append_len(conn->out, body, size);
	conn->busy = false;
	if (conn->writer == 0)
		conn->writer =
		    g_unix_fd_add(conn->fd, G_IO_OUT, on_writable, conn);
	take_request(conn);
}

void
conn_json(conn_t *conn, int status, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	conn_answer(conn, status, "application/json", text, strlen(text));
	g_free(text);
}

static char *
header(const char *head, const char *name)
{
	char **lines = g_strsplit(head, "\r\n", -1);
	char *value = NULL;
	size_t i;

	for (i = 1; lines[i] != NULL && value == NULL; i++) {
		char *colon = strchr(lines[i], ':');

		if (colon == NULL)
			continue;
		*colon = '\0';
		if (g_ascii_strcasecmp(lines[i], name) == 0)
			value = g_strstrip(g_strdup(colon + 1));
	}
	g_strfreev(lines);
	return value;
}

static void
take_request(conn_t *conn)
{
	char *end = strstr(conn->in->str, "\r\n\r\n");
	char *head;
	char *length;
	char **words;
	char *mark;
	size_t body_size;
	size_t head_size;

	if (conn->busy || conn->closed || end == NULL)
		return;
	head_size = (size_t)(end - conn->in->str) + 4;
	head = g_strndup(conn->in->str, head_size);
	length = header(head, "Content-Length");
	body_size = length != NULL ? strtoul(length, NULL, 10) : 0;
	g_free(length);
	if (conn->in->len < head_size + body_size) {
		g_free(head);
		return;
	}
	words = g_strsplit(head, " ", 3);
	g_free(conn->method);
	g_free(conn->path);
	g_free(conn->query);
	g_free(conn->instance);
	conn->method = g_strdup(words[0]);
	conn->path = g_strdup(words[1] != NULL ? words[1] : "");
	mark = strchr(conn->path, '?');
	conn->query = g_strdup(mark != NULL ? mark + 1 : "");
	if (mark != NULL)
		*mark = '\0';
	conn->instance = header(head, "X-Bulrushpost-Expect-Instance");
	g_string_truncate(conn->body, 0);
	g_string_append_len(
	    conn->body, conn->in->str + head_size, body_size);
	g_string_erase(conn->in, 0, head_size + body_size);
	g_strfreev(words);
	g_free(head);
	conn->busy = true;
	conn->handler(conn, conn->data);
}

static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
	conn_t *conn = data;
	char buffer[65536];
	ssize_t n = recv(fd, buffer, sizeof(buffer), 0);

	(void)condition;
	if (n < 0 && errno == EAGAIN)
		return G_SOURCE_CONTINUE;
	if (n <= 0) {
		conn->source = 0;
		conn_close(conn);
		return G_SOURCE_REMOVE;
	}
	g_string_append_len(conn->in, buffer, n);
	conn_ref(conn);
	take_request(conn);
	n = conn->closed;
	conn_unref(conn);
	return n ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

typedef struct {
	void (*handler)(conn_t *, void *);
	void *data;
	const bool *up;
} server_t;

static gboolean
on_accept(gint fd, GIOCondition condition, gpointer data)
{
	server_t *server = data;
	int one = 1;
	int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	conn_t *conn;

	(void)condition;
	if (accepted < 0)
		return G_SOURCE_CONTINUE;
	if (server->up != NULL && !*server->up) {
		struct linger now = {1, 0};

		(void)setsockopt(
		    accepted, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		close(accepted);
		return G_SOURCE_CONTINUE;
	}
	(void)setsockopt(
	    accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn = g_new0(conn_t, 1);
	conn->refs = 1;
	conn->fd = accepted;
	conn->in = g_string_new(NULL);
	conn->out = g_string_new(NULL);
	conn->body = g_string_new(NULL);
	conn->handler = server->handler;
	conn->data = server->data;
	conn->source = g_unix_fd_add(accepted, G_IO_IN, on_readable, conn);
	g_ptr_array_add(conns, conn);
	return G_SOURCE_CONTINUE;
}

uint16_t
serve_http(
    void (*handler)(conn_t *, void *), void *data, const bool *up)
{
	struct sockaddr_in address = {0};
	socklen_t size = sizeof(address);
	server_t *server = g_new0(server_t, 1);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) != 0)
		rig_fail("no port to listen on");
	server->handler = handler;
	server->data = data;
	server->up = up;
	if (conns == NULL)
		conns = g_ptr_array_new();
	(void)g_unix_fd_add(fd, G_IO_IN, on_accept, server);
	return ntohs(address.sin_port);
}

void
reset_conns_of(const void *data)
{
	guint i;

	for (i = conns->len; i > 0; i--) {
		conn_t *conn = conns->pdata[i - 1];

		if (conn->data == data)
			conn_reset(conn);
	}
}

static void
call_done(call_t *call, int status)
{
	call->status = status;
	if (call->source != 0)
		g_source_remove(call->source);
	if (call->timer != 0)
		g_source_remove(call->timer);
	call->source = call->timer = 0;
	close(call->fd);
	if (!call->quiet || status != 200)
		note("client: %s answered %d %s after %" G_GINT64_FORMAT " ms",
		    call->what, status, call->text != NULL ? call->text : "",
		    now_ms() - call->sent_ms);
}

static gboolean
on_call_timeout(gpointer data)
{
	call_t *call = data;

	call->timer = 0;
	call_done(call, -1);
	return G_SOURCE_REMOVE;
}

static gboolean
on_call(gint fd, GIOCondition condition, gpointer data)
{
	call_t *call = data;
	char buffer[65536];
	ssize_t n;
	char *end;

	if (call->out->len > 0) {
		n = send(fd, call->out->str, call->out->len, MSG_NOSIGNAL);
		if (n > 0)
			g_string_erase(call->out, 0, n);
		if (n < 0 && errno != EAGAIN) {
			call->source = 0;
			call_done(call, -1);
			return G_SOURCE_REMOVE;
		}
		if (call->out->len > 0)
			return G_SOURCE_CONTINUE;
		call->source = g_unix_fd_add(fd, G_IO_IN, on_call, call);
		return G_SOURCE_REMOVE;
	}
	(void)condition;
	n = recv(fd, buffer, sizeof(buffer), 0);
	if (n < 0 && errno == EAGAIN)
		return G_SOURCE_CONTINUE;
	if (n > 0)
		g_string_append_len(call->in, buffer, n);
	end = strstr(call->in->str, "\r\n\r\n");
	if (end != NULL) {
		char *head = g_strndup(call->in->str, end - call->in->str + 4);
		char *length = header(head, "Content-Length");
		size_t size = length != NULL ? strtoul(length, NULL, 10) : 0;

		g_free(head);
		g_free(length);
		if (call->in->len >= (size_t)(end - call->in->str) + 4 + size) {
			call->text = g_strndup(end + 4, size);
			call->source = 0;
			call_done(call, atoi(call->in->str + 9));
			return G_SOURCE_REMOVE;
		}
	}
	if (n <= 0) {
		call->source = 0;
		call_done(call, -1);
		return G_SOURCE_REMOVE;
	}
	return G_SOURCE_CONTINUE;
}

/* Starts a call; its answer waits in the structure. */
call_t *
call_start(node_t *node, const char *method, const char *path,
    const char *body, uint32_t timeout_ms)
{
	struct sockaddr_in address = {0};
	call_t *call = g_new0(call_t, 1);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(node->front);
	call->in = g_string_new(NULL);
	call->out = g_string_new(NULL);
	g_string_printf(call->out,
	    "%s %s HTTP/1.1\r\nHost: nony24.example\r\nContent-Type: "
	    "application/json\r\nX-Bulrushpost-Deadline-Ms: 3000\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    method, path, body != NULL ? strlen(body) : 0);
	if (body != NULL)
		g_string_append(call->out, body);
	call->what = g_strdup_printf("%s %s at %s", method, path, node->name);
	call->quiet = strcmp(method, "GET") == 0;
	call->sent_ms = now_ms();
	if (!call->quiet)
		note("client: sends %s", call->what);
	call->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connect(call->fd, (struct sockaddr *)&address, sizeof(address)) !=
		0 &&
	    errno != EINPROGRESS) {
		call_done(call, -1);
		return call;
	}
	call->source = g_unix_fd_add(call->fd, G_IO_OUT, on_call, call);
	call->timer = g_timeout_add(timeout_ms, on_call_timeout, call);
	return call;
}

void
call_free(call_t *call)
{
	if (call->status == 0)
		call_done(call, -1);
	g_string_free(call->in, TRUE);
	g_string_free(call->out, TRUE);
	g_free(call->text);
	g_free(call->what);
	g_free(call);
}

static bool
is_done(void *data)
{
	return ((call_t *)data)->status != 0;
}

int
call_wait(node_t *node, const char *method, const char *path,
    const char *body, uint32_t timeout_ms, char **text)
{
	call_t *call = call_start(node, method, path, body, timeout_ms);
	int status;

	(void)pump_until(is_done, call, timeout_ms + 1000);
	status = call->status;
	if (text != NULL)
		*text = g_strdup(call->text != NULL ? call->text : "");
	call_free(call);
	return status;
}
