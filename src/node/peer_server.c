#include "bulrushpost/peer.h"

#include "node/link.h"

#include <string.h>

#define MODULE "peer"
#define CONNECTIONS_MAX 64
/* A crowd that connects at once must not keep other nodes out. */
#define LISTEN_BACKLOG 128
#define REQUESTS_MAX 64
#define IDLE_MS 60000
#define STALL_MS 10000
#define UNSENT_BYTES_MAX (8 * 1024 * 1024)
/* Memory of a decoded frame beside its body, and of each argument. */
#define FRAME_BYTES 256
#define ARG_BYTES 64

struct bp_peer_server {
	bp_peer_server_options_t options;
	GSocketService *service;
	GPtrArray *connections; /* connection_t, one reference each */
	uint16_t port;
};

/* One accepted connection, referenced by the server and open requests. */
typedef struct {
	bp_peer_server_t *server; /* NULL once closed */
	bp_link_t *link;
	uint32_t requests; /* unanswered */
	uint64_t bytes; /* of their frames */
} connection_t;

struct bp_peer_request {
	connection_t *connection;
	Bp__Peer__Frame *frame;
	uint64_t bytes; /* of the frame */
};

/* Sets limits for a node of the expected size. */
int
bp_peer_server_options_init(bp_peer_server_options_t *options)
{
	memset(options, 0, sizeof(*options));
	options->clock = bp_clock_system();
	options->connections_max = CONNECTIONS_MAX;
	options->requests_max = REQUESTS_MAX;
	options->idle_timeout_ms = IDLE_MS;
	options->write_timeout_ms = STALL_MS;
	options->unsent_bytes_max = UNSENT_BYTES_MAX;
	return BP_OK;
}

static void
clear_connection(gpointer data)
{
	connection_t *connection = data;

	bp_link_unref(connection->link);
}

static void
connection_unref(gpointer data)
{
	g_rc_box_release_full(data, clear_connection);
}

static void
answer_error(
    bp_peer_request_t *request, bp_error_kind_t kind, const char *message)
{
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;

	answer.error = kind;
	answer.message = (char *)message;
	answer.outcome = bp_error_info(kind)->outcome;
	bp_peer_request_answer(request, &answer);
}

static void
on_frame(bp_link_t *link, Bp__Peer__Frame *frame, void *data)
{
	connection_t *connection = data;
	bp_peer_server_t *server = connection->server;
	bp_peer_request_t *request;

	/* Only clients receive answers; one that arrives here is ignored. */
	if (server == NULL || frame->answer) {
		bp__peer__frame__free_unpacked(frame, NULL);
		return;
	}
	request = g_new0(bp_peer_request_t, 1);
	request->frame = frame;
	request->connection = g_rc_box_acquire(connection);
	request->bytes =
	    FRAME_BYTES + frame->body.len + ARG_BYTES * frame->n_args;
	connection->requests++;
	connection->bytes += request->bytes;
	if (!bp_link_set_held(link, connection->bytes, connection->requests))
		answer_error(request, BP_EOVERLOAD, "no memory for a request");
	else if (connection->requests > server->options.requests_max)
		answer_error(request, BP_EOVERLOAD,
		    "too many unanswered requests on this connection");
	else
		server->options.handler(request, server->options.data);
}

static void
on_closed(bp_link_t *link, const bp_error_t *err, void *data)
{
	connection_t *connection = data;
	bp_peer_server_t *server = connection->server;

	if (server == NULL)
		return;
	connection->server = NULL;
	if (err->kind != BP_EUNKNOWN)
		bp_log(server->options.logger, BP_LOG_NOTICE, MODULE,
		    "closed a control connection", "reason", err->message,
		    NULL);
	g_ptr_array_remove_fast(server->connections, connection);
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *stream, GObject *source,
    gpointer data)
{
	bp_peer_server_t *server = data;
	bp_link_options_t options = {server->options.clock,
	    server->options.idle_timeout_ms, server->options.unsent_bytes_max,
	    server->options.write_timeout_ms, on_frame, on_closed, NULL,
	    server->options.admission};
	connection_t *connection;

	/* An admission closes an idle connection for a new one. */
	if (options.admission == NULL &&
	    server->connections->len >= server->options.connections_max) {
		bp_log(server->options.logger, BP_LOG_WARNING, MODULE,
		    "refused a control connection", "reason",
		    "connection limit", NULL);
		return TRUE;
	}
	connection = g_rc_box_new0(connection_t);
	connection->server = server;
	options.data = connection;
	connection->link = bp_link_new(stream, &options);
	if (!bp_link_admitted(connection->link)) {
		bp_link_close(connection->link);
		connection_unref(connection);
		return TRUE;
	}
	g_ptr_array_add(server->connections, connection);
	return TRUE;
}

/* Resolves host:port synchronously, as it runs only at start. */
static int
resolve(GSocketAddress **out, const char *address, bp_error_t *err)
{
	GError *error = NULL;
	GSocketConnectable *parsed =
	    g_network_address_parse(address, 0, &error);
	GSocketAddressEnumerator *addresses = NULL;

	*out = NULL;
	if (parsed != NULL) {
		addresses = g_socket_connectable_enumerate(parsed);
		*out =
		    g_socket_address_enumerator_next(addresses, NULL, &error);
		g_object_unref(addresses);
		g_object_unref(parsed);
	}
	if (*out != NULL)
		return BP_OK;
	(void)bp_error_set(err, BP_EINVALID, "%s: %s", address,
	    error != NULL ? error->message : "no such address");
	g_clear_error(&error);
	return BP_EINVALID;
}

static int
listen_on(bp_peer_server_t *server, const char *text, bp_error_t *err)
{
	GSocketAddress *address = NULL;
	GSocketAddress *effective = NULL;
	GError *error = NULL;
	int rc = resolve(&address, text, err);

	if (rc != BP_OK)
		return rc;
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(server->service),
		address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
		&effective, &error)) {
		rc = bp_error_set(
		    err, BP_EUNREACHABLE, "%s: %s", text, error->message);
		g_error_free(error);
	} else {
		server->port = g_inet_socket_address_get_port(
		    G_INET_SOCKET_ADDRESS(effective));
		g_object_unref(effective);
	}
	g_object_unref(address);
	return rc;
}

/*
 * Listens on the address of the options and serves from the main loop.
 * Returns BP_EINVALID for a bad address, BP_EUNREACHABLE for one that cannot
 * be bound.
 */
int
bp_peer_server_new(bp_peer_server_t **out,
    const bp_peer_server_options_t *options, bp_error_t *err)
{
	bp_peer_server_t *server = g_new0(bp_peer_server_t, 1);
	int rc;

	server->options = *options;
	server->options.address = NULL;
	server->connections = g_ptr_array_new_with_free_func(connection_unref);
	server->service = g_socket_service_new();
	g_socket_listener_set_backlog(
	    G_SOCKET_LISTENER(server->service), LISTEN_BACKLOG);
	rc = listen_on(server, options->address, err);
	if (rc != BP_OK) {
		bp_peer_server_free(server);
		server = NULL;
	} else {
		g_signal_connect(server->service, "incoming",
		    G_CALLBACK(on_incoming), server);
		g_socket_service_start(server->service);
	}
	*out = server;
	return rc;
}

/* Frees a server. NULL is allowed. */
void
bp_peer_server_free(bp_peer_server_t *server)
{
	guint i;

	if (server == NULL)
		return;
	g_signal_handlers_disconnect_by_data(server->service, server);
	g_socket_service_stop(server->service);
	g_socket_listener_close(G_SOCKET_LISTENER(server->service));
	g_object_unref(server->service);
	for (i = 0; i < server->connections->len; i++) {
		connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		connection->server = NULL;
		bp_link_close(connection->link);
	}
	g_ptr_array_unref(server->connections);
	g_free(server);
}

/* Returns the port that the server listens on. */
uint16_t
bp_peer_server_port(const bp_peer_server_t *server)
{
	return server->port;
}

/* Returns the number of open connections. */
uint32_t
bp_peer_server_connections(const bp_peer_server_t *server)
{
	return server->connections->len;
}

/* Returns the request's frame; valid until it is answered. */
const Bp__Peer__Frame *
bp_peer_request_frame(const bp_peer_request_t *request)
{
	return request->frame;
}

/* Sends the answer, or drops it if the connection is closed. */
void
bp_peer_request_answer(
    bp_peer_request_t *request, const Bp__Peer__Frame *answer)
{
	connection_t *connection = request->connection;
	Bp__Peer__Frame frame = *answer;
	bp_error_t err;

	frame.correlation = request->frame->correlation;
	frame.verb = request->frame->verb;
	frame.answer = 1;
	connection->requests--;
	connection->bytes -= request->bytes;
	(void)bp_link_set_held(
	    connection->link, connection->bytes, connection->requests);
	if (connection->server != NULL &&
	    bp_link_send(connection->link, &frame, &err) == BP_ETOOLARGE) {
		frame.error = BP_ETOOLARGE;
		frame.message = err.message;
		frame.n_args = 0;
		frame.body.len = 0;
		(void)bp_link_send(connection->link, &frame, NULL);
	}
	bp__peer__frame__free_unpacked(request->frame, NULL);
	connection_unref(connection);
	g_free(request);
}
