#include "standin/server.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define BACKLOG 1024

/* libsoup does not give the socket of a connection that it did not accept. */
#define SOCKET_KEY "standin-socket"

struct standin_server {
	SoupServer *soup;
	GSocketService *service;
	standin_handler_t handler;
	void *data;
	uint32_t max_connections; /* 0 for no limit */
	uint32_t connections;
	bool listening; /* without a limit, libsoup listens itself */
	uint16_t port;
};

static void
handle(SoupServer *soup, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	standin_server_t *server = data;

	(void)soup;
	server->handler(message, path, query, server->data);
}

static void
on_connection_closed(gpointer data, GObject *connection)
{
	standin_server_t *server = data;

	(void)connection;
	server->connections--;
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer data)
{
	standin_server_t *server = data;
	GSocket *socket = g_socket_connection_get_socket(connection);
	GSocketAddress *local;
	GSocketAddress *remote;

	(void)service;
	(void)source;
	if (server->max_connections > 0 &&
	    server->connections >= server->max_connections) {
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
		return TRUE;
	}
	server->connections++;
	g_object_weak_ref(G_OBJECT(connection), on_connection_closed, server);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	local = g_socket_get_local_address(socket, NULL);
	remote = g_socket_get_remote_address(socket, NULL);
	if (local != NULL && remote != NULL) {
		g_object_set_data_full(G_OBJECT(remote), SOCKET_KEY,
		    g_object_ref(socket), g_object_unref);
		soup_server_accept_iostream(
		    server->soup, G_IO_STREAM(connection), local, remote, NULL);
	}
	g_clear_object(&local);
	g_clear_object(&remote);
	return TRUE;
}

/*
 * libsoup keeps a connection open after an answer only when it has accepted
 * the connection itself.
 */
static int
listen_unlimited(standin_server_t *server, GSocketAddress *address)
{
	GError *error = NULL;
	GSList *uris;

	if (!soup_server_listen(server->soup, address, 0, &error)) {
		fprintf(stderr, "standin: port %u: %s\n",
		    (unsigned int)server->port, error->message);
		g_clear_error(&error);
		return -1;
	}
	uris = soup_server_get_uris(server->soup);
	if (uris != NULL)
		server->port = (uint16_t)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	server->listening = true;
	return 0;
}

static int
server_listen(standin_server_t *server)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address =
	    g_inet_socket_address_new(loopback, server->port);
	GSocketAddress *bound = NULL;
	GError *error = NULL;
	int rc = -1;

	if (server->max_connections == 0) {
		rc = listen_unlimited(server, address);
		g_object_unref(address);
		g_object_unref(loopback);
		return rc;
	}
	server->service = g_socket_service_new();
	g_socket_listener_set_backlog(
	    G_SOCKET_LISTENER(server->service), BACKLOG);
	if (g_socket_listener_add_address(G_SOCKET_LISTENER(server->service),
		address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
		&bound, &error)) {
		server->port = g_inet_socket_address_get_port(
		    G_INET_SOCKET_ADDRESS(bound));
		g_signal_connect(server->service, "incoming",
		    G_CALLBACK(on_incoming), server);
		rc = 0;
	} else {
		fprintf(stderr, "standin: port %u: %s\n",
		    (unsigned int)server->port, error->message);
		g_clear_error(&error);
		g_clear_object(&server->service);
	}
	g_clear_object(&bound);
	g_object_unref(address);
	g_object_unref(loopback);
	return rc;
}

/*
 * Starts to listen on a port of 127.0.0.1; port 0 takes a free one. More than
 * max_connections at once are closed on arrival; 0 means no limit. Returns 0,
 * or -1 after a message on standard error.
 */
int
standin_server_new(standin_server_t **out, uint16_t port,
    uint32_t max_connections, standin_handler_t handler, void *data)
{
	standin_server_t *server = g_new0(standin_server_t, 1);

	server->soup = g_object_new(SOUP_TYPE_SERVER, NULL);
	server->handler = handler;
	server->data = data;
	server->max_connections = max_connections;
	server->port = port;
	soup_server_add_handler(server->soup, NULL, handle, server, NULL);
	if (server_listen(server) != 0) {
		standin_server_free(server);
		return -1;
	}
	*out = server;
	return 0;
}

/* Closes the listener and frees the server. NULL is allowed. */
void
standin_server_free(standin_server_t *server)
{
	if (server == NULL)
		return;
	standin_server_refuse(server, true);
	g_object_unref(server->soup);
	g_free(server);
}

/* Returns the port that the server listens on. */
uint16_t
standin_server_port(const standin_server_t *server)
{
	return server->port;
}

/*
 * With refuse, closes the listener and all connections, so that callers get
 * "connection refused"; without, listens on the same port again.
 */
void
standin_server_refuse(standin_server_t *server, bool refuse)
{
	if (refuse && server->listening) {
		server->listening = false;
		soup_server_disconnect(server->soup);
	} else if (!refuse && server->max_connections == 0) {
		if (!server->listening)
			server_listen(server);
	} else if (refuse && server->service != NULL) {
		g_socket_service_stop(server->service);
		g_socket_listener_close(G_SOCKET_LISTENER(server->service));
		g_clear_object(&server->service);
		soup_server_disconnect(server->soup);
	} else if (!refuse && server->service == NULL) {
		server_listen(server);
	}
}

static GSocket *
message_socket(SoupServerMessage *message)
{
	GSocketAddress *remote =
	    soup_server_message_get_remote_address(message);
	GSocket *socket = remote != NULL
	    ? g_object_get_data(G_OBJECT(remote), SOCKET_KEY)
	    : NULL;

	return socket != NULL ? socket
			      : soup_server_message_get_socket(message);
}

/* Answers with a body, which is copied. */
void
standin_reply(SoupServerMessage *message, uint32_t status, const char *type,
    const void *body, size_t size_bytes)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(
	    message, type, SOUP_MEMORY_COPY, body, size_bytes);
}

/* Answers with plain text. */
void
standin_reply_text(
    SoupServerMessage *message, uint32_t status, const char *text)
{
	standin_reply(message, status, "text/plain", text, strlen(text));
}

/* Answers 200 with the JSON that was built, and frees the builder. */
void
standin_reply_json(SoupServerMessage *message, JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);

	standin_reply(
	    message, SOUP_STATUS_OK, "application/json", text, strlen(text));
	g_free(text);
	json_node_unref(root);
	g_object_unref(builder);
}

/*
 * Sends a head that promises twice the size of the body, then the body, and
 * closes the connection. headers are complete lines with CR LF.
 */
void
standin_reply_truncated(
    SoupServerMessage *message, const char *headers, const char *body)
{
	GSocket *socket = message_socket(message);
	char *text = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n%s\r\n%s",
	    2 * strlen(body) + 1, headers, body);

	if (socket != NULL)
		g_socket_send(socket, text, strlen(text), NULL, NULL);
	g_free(text);
	standin_drop(message);
}

/* Closes the connection without an answer. */
void
standin_drop(SoupServerMessage *message)
{
	GSocket *socket = message_socket(message);

	if (socket != NULL)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	soup_server_message_set_status(
	    message, SOUP_STATUS_INTERNAL_SERVER_ERROR, NULL);
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
	standin_pending_t *pending = data;

	(void)message;
	pending->gone = true;
}

/* Keeps a request to be answered later, see standin_release. */
standin_pending_t *
standin_hold(SoupServerMessage *message, const char *path)
{
	standin_pending_t *pending = g_new0(standin_pending_t, 1);

	pending->message = g_object_ref(message);
	pending->path = g_strdup(path);
	g_signal_connect(message, "finished", G_CALLBACK(on_finished), pending);
	soup_server_message_pause(message);
	return pending;
}

/* Sends the answer that was set on a held request, and frees it. */
void
standin_release(standin_pending_t *pending)
{
	g_signal_handlers_disconnect_by_data(pending->message, pending);
	if (!pending->gone)
		soup_server_message_unpause(pending->message);
	g_object_unref(pending->message);
	g_free(pending->path);
	g_free(pending);
}

/* Announces a port on standard output, which the starting process reads. */
void
standin_announce(const char *what, uint16_t port)
{
	printf("%s %u\n", what, (unsigned int)port);
	fflush(stdout);
}

static gboolean
on_terminate(gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_CONTINUE;
}

/* Runs the main loop until SIGTERM or SIGINT. Returns the exit status. */
int
standin_run(void)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	guint term = g_unix_signal_add(SIGTERM, on_terminate, loop);
	guint interrupt = g_unix_signal_add(SIGINT, on_terminate, loop);

	g_main_loop_run(loop);
	g_source_remove(term);
	g_source_remove(interrupt);
	g_main_loop_unref(loop);
	return 0;
}

/* Parses the options of a subcommand; prints an error when it fails. */
bool
standin_options(int *argc, char ***argv, const GOptionEntry *entries)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok) {
		fprintf(stderr, "standin: %s\n", error->message);
		g_clear_error(&error);
	}
	g_option_context_free(context);
	return ok;
}
