#include "node/httpgate.h"

#include "bulrushpost/listen.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define STREAM_KEY "bp-gate-stream"
/* Largest head, and what libsoup reads ahead of it in one read. */
#define HEAD_BYTES_MAX (16384 + 8192)
/* libsoup keeps a field as two strings and an array's entry. */
#define FIELD_BYTES 128
/* Of a body that nobody wants. */
#define DROPPED_BYTES_MAX 65536
/* Connections accepted in one iteration of the main loop. Those accepted are
 * read from in the next one, before a crowd can push them out as idle. */
#define ACCEPTED_AT_ONCE 8
/* Pause after an accept that failed, such as for lack of descriptors. */
#define ACCEPT_RETRY_MS 100

struct bp_httpgate {
	bp_httpgate_options_t options;
	GSocket *socket;
	GSource *source; /* of the socket; NULL in a pause */
	guint retry; /* timer that ends the pause */
};

/* The connection of a caller, and its input, which is counted. */
typedef struct {
	GIOStream parent;
	GSocketConnection *base;
	GInputStream *input;
	GSocketAddress *remote;
	bp_admitted_t *admitted;
	uint32_t head_bytes; /* read since the last request ended */
	uint64_t dropped_bytes; /* of the body of this request */
	GByteArray *body; /* of this request; NULL for none */
	uint64_t before_body; /* bytes counted before the body */
	SoupServerMessage *message; /* of this request; weak; NULL for none */
} BpGateStream;

typedef struct {
	GIOStreamClass parent_class;
} BpGateStreamClass;

typedef struct {
	GInputStream parent;
	BpGateStream *stream; /* NULL once it is gone */
	GInputStream *base;
} BpGateInput;

typedef struct {
	GInputStreamClass parent_class;
} BpGateInputClass;

static void init_pollable(GPollableInputStreamInterface *iface);

static GType bp_gate_stream_get_type(void);
static GType bp_gate_input_get_type(void);

/* GLib's macros define these with names of their own style. */
G_DEFINE_TYPE(BpGateStream, bp_gate_stream, G_TYPE_IO_STREAM)
G_DEFINE_TYPE_WITH_CODE(BpGateInput, bp_gate_input, G_TYPE_INPUT_STREAM,
    G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM, init_pollable))

static void
drop_body(BpGateStream *stream)
{
	g_clear_pointer(&stream->body, g_byte_array_unref);
}

static void
shut(void *data)
{
	BpGateStream *stream = data;

	drop_body(stream);
	/* libsoup frees the message only once it notices the shutdown. */
	if (stream->message != NULL)
		soup_message_headers_clear(
		    soup_server_message_get_request_headers(stream->message));
	(void)g_socket_shutdown(
	    g_socket_connection_get_socket(stream->base), TRUE, TRUE, NULL);
}

static bool
has_unread(void *data)
{
	BpGateStream *stream = data;

	return g_socket_get_available_bytes(
		   g_socket_connection_get_socket(stream->base)) > 0;
}

static void
refuse(BpGateStream *stream, const char *reason)
{
	bp_admitted_refused(stream->admitted, reason);
	shut(stream);
}

/* Counts bytes that have arrived. */
static void
on_bytes(BpGateStream *stream, gssize n)
{
	bp_admitted_phase_t phase = bp_admitted_phase(stream->admitted);

	if (n <= 0 || (phase != BP_ADMITTED_IDLE && phase != BP_ADMITTED_HEAD))
		return;
	bp_admitted_set_phase(stream->admitted, BP_ADMITTED_HEAD);
	stream->head_bytes += (uint32_t)n;
	if (stream->head_bytes > HEAD_BYTES_MAX)
		refuse(stream, "head too large");
	else if (!bp_admitted_set_bytes(stream->admitted, stream->head_bytes))
		shut(stream);
}

static gssize
input_read_nonblocking(
    GPollableInputStream *pollable, void *buffer, gsize size, GError **error)
{
	BpGateInput *input = (BpGateInput *)pollable;
	gssize n;

	/* What has arrived on a connection that is closed is not read. */
	if (input->stream != NULL &&
	    bp_admitted_closing(input->stream->admitted))
		return 0;
	n = g_pollable_input_stream_read_nonblocking(
	    G_POLLABLE_INPUT_STREAM(input->base), buffer, size, NULL, error);
	if (input->stream != NULL)
		on_bytes(input->stream, n);
	return n;
}

static gboolean
input_is_readable(GPollableInputStream *pollable)
{
	return g_pollable_input_stream_is_readable(
	    G_POLLABLE_INPUT_STREAM(((BpGateInput *)pollable)->base));
}

static GSource *
input_create_source(GPollableInputStream *pollable, GCancellable *cancellable)
{
	GSource *base = g_pollable_input_stream_create_source(
	    G_POLLABLE_INPUT_STREAM(((BpGateInput *)pollable)->base),
	    cancellable);
	GSource *source =
	    g_pollable_source_new_full(pollable, base, cancellable);

	g_source_unref(base);
	return source;
}

static void
init_pollable(GPollableInputStreamInterface *iface)
{
	iface->is_readable = input_is_readable;
	iface->create_source = input_create_source;
	iface->read_nonblocking = input_read_nonblocking;
}

static gssize
input_read(GInputStream *base, void *buffer, gsize size,
    GCancellable *cancellable, GError **error)
{
	BpGateInput *input = (BpGateInput *)base;
	gssize n =
	    g_input_stream_read(input->base, buffer, size, cancellable, error);

	if (input->stream != NULL)
		on_bytes(input->stream, n);
	return n;
}

static void
input_finalize(GObject *object)
{
	g_object_unref(((BpGateInput *)object)->base);
	G_OBJECT_CLASS(bp_gate_input_parent_class)->finalize(object);
}

static void
bp_gate_input_class_init(BpGateInputClass *klass)
{
	G_INPUT_STREAM_CLASS(klass)->read_fn = input_read;
	G_OBJECT_CLASS(klass)->finalize = input_finalize;
}

static void
bp_gate_input_init(BpGateInput *input)
{
	(void)input;
}

static GInputStream *
stream_input(GIOStream *base)
{
	return ((BpGateStream *)base)->input;
}

static GOutputStream *
stream_output(GIOStream *base)
{
	return g_io_stream_get_output_stream(
	    G_IO_STREAM(((BpGateStream *)base)->base));
}

static void
leave(BpGateStream *stream)
{
	bp_admitted_leave(stream->admitted);
	stream->admitted = NULL;
	if (stream->remote != NULL)
		g_object_set_data(G_OBJECT(stream->remote), STREAM_KEY, NULL);
}

static gboolean
stream_close(GIOStream *base, GCancellable *cancellable, GError **error)
{
	BpGateStream *stream = (BpGateStream *)base;

	leave(stream);
	return g_io_stream_close(G_IO_STREAM(stream->base), cancellable, error);
}

static void
stream_finalize(GObject *object)
{
	BpGateStream *stream = (BpGateStream *)object;

	leave(stream);
	drop_body(stream);
	g_clear_weak_pointer(&stream->message);
	((BpGateInput *)stream->input)->stream = NULL;
	g_object_unref(stream->input);
	g_clear_object(&stream->remote);
	g_object_unref(stream->base);
	G_OBJECT_CLASS(bp_gate_stream_parent_class)->finalize(object);
}

static void
bp_gate_stream_class_init(BpGateStreamClass *klass)
{
	G_IO_STREAM_CLASS(klass)->get_input_stream = stream_input;
	G_IO_STREAM_CLASS(klass)->get_output_stream = stream_output;
	G_IO_STREAM_CLASS(klass)->close_fn = stream_close;
	G_OBJECT_CLASS(klass)->finalize = stream_finalize;
}

static void
bp_gate_stream_init(BpGateStream *stream)
{
	(void)stream;
}

static BpGateStream *
stream_of(SoupServerMessage *message)
{
	GSocketAddress *remote =
	    soup_server_message_get_remote_address(message);

	return remote != NULL ? g_object_get_data(G_OBJECT(remote), STREAM_KEY)
			      : NULL;
}

/* See the header. */
bp_admitted_t *
bp_httpgate_admitted(SoupServerMessage *message)
{
	BpGateStream *stream = stream_of(message);

	return stream != NULL ? stream->admitted : NULL;
}

/* See the header. */
GSocket *
bp_httpgate_socket(SoupServerMessage *message)
{
	BpGateStream *stream = stream_of(message);

	return stream != NULL ? g_socket_connection_get_socket(stream->base)
			      : NULL;
}

/* A byte array's capacity is a power of two. */
static uint64_t
capacity_of(uint64_t size_bytes)
{
	uint64_t capacity = 1;

	while (capacity < size_bytes)
		capacity *= 2;
	return capacity;
}

/* See the header. */
bool
bp_httpgate_keep(SoupServerMessage *message, GBytes *piece)
{
	BpGateStream *stream = stream_of(message);
	gsize size_bytes = 0;
	const guint8 *data = g_bytes_get_data(piece, &size_bytes);

	if (stream == NULL || bp_admitted_closing(stream->admitted))
		return false;
	if (stream->body == NULL) {
		stream->body = g_byte_array_new();
		stream->before_body = bp_admitted_bytes(stream->admitted);
	}
	if (!bp_admitted_set_bytes(stream->admitted,
		stream->before_body +
		    capacity_of(stream->body->len + size_bytes))) {
		drop_body(stream);
		return false;
	}
	g_byte_array_append(stream->body, data, (guint)size_bytes);
	return true;
}

/* See the header. */
const GByteArray *
bp_httpgate_kept(SoupServerMessage *message)
{
	BpGateStream *stream = stream_of(message);

	return stream != NULL ? stream->body : NULL;
}

/* See the header. */
void
bp_httpgate_drop(SoupServerMessage *message)
{
	BpGateStream *stream = stream_of(message);

	if (stream == NULL || stream->body == NULL)
		return;
	drop_body(stream);
	(void)bp_admitted_set_bytes(stream->admitted, stream->before_body);
}

static void
add_field(const char *name, const char *value, gpointer data)
{
	(void)name;
	(void)value;
	*(uint64_t *)data += FIELD_BYTES;
}

/* The fields of a head take more memory than its bytes. */
static void
on_headers(SoupServerMessage *message, gpointer data)
{
	BpGateStream *stream = stream_of(message);
	uint64_t bytes;

	(void)data;
	if (stream == NULL)
		return;
	g_set_weak_pointer(&stream->message, message);
	bytes = MAX(stream->head_bytes, bp_admitted_bytes(stream->admitted));
	soup_message_headers_foreach(
	    soup_server_message_get_request_headers(message), add_field,
	    &bytes);
	if (bp_admitted_phase(stream->admitted) <= BP_ADMITTED_HEAD)
		bp_admitted_set_phase(stream->admitted, BP_ADMITTED_BODY);
	if (!bp_admitted_set_bytes(stream->admitted, bytes))
		shut(stream);
}

static void
on_dropped(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
	BpGateStream *stream = stream_of(message);

	(void)data;
	if (stream == NULL)
		return;
	stream->dropped_bytes += g_bytes_get_size(chunk);
	if (stream->dropped_bytes > DROPPED_BYTES_MAX)
		refuse(stream, "body not wanted");
}

static void
on_started(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	const bp_httpgate_t *gate = data;

	(void)server;
	(void)g_signal_connect(
	    message, "got-headers", G_CALLBACK(on_headers), NULL);
	if (!gate->options.no_bodies)
		return;
	soup_message_body_set_accumulate(
	    soup_server_message_get_request_body(message), FALSE);
	(void)g_signal_connect(
	    message, "got-chunk", G_CALLBACK(on_dropped), NULL);
}

static void
on_read(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	const bp_httpgate_t *gate = data;

	(void)server;
	if (gate->options.no_bodies)
		bp_admitted_set_phase(
		    bp_httpgate_admitted(message), BP_ADMITTED_ANSWER);
}

static void
on_finished(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	BpGateStream *stream = stream_of(message);

	(void)server;
	(void)data;
	if (stream == NULL)
		return;
	stream->head_bytes = 0;
	stream->dropped_bytes = 0;
	drop_body(stream);
	g_clear_weak_pointer(&stream->message);
	bp_admitted_set_phase(stream->admitted, BP_ADMITTED_IDLE);
	(void)bp_admitted_set_bytes(stream->admitted, 0);
}

static BpGateStream *
new_stream(bp_httpgate_t *gate, GSocket *socket)
{
	BpGateStream *stream = g_object_new(bp_gate_stream_get_type(), NULL);
	BpGateInput *input = g_object_new(bp_gate_input_get_type(), NULL);

	/* An answer's head and body are written apart; Nagle's algorithm would
	 * delay the body. */
	(void)g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	stream->base = g_socket_connection_factory_create_connection(socket);
	stream->remote =
	    g_socket_connection_get_remote_address(stream->base, NULL);
	input->stream = stream;
	input->base = g_object_ref(
	    g_io_stream_get_input_stream(G_IO_STREAM(stream->base)));
	stream->input = G_INPUT_STREAM(input);
	if (gate->options.admission != NULL)
		stream->admitted = bp_admission_enter(
		    gate->options.admission, gate->options.kind, shut, stream);
	bp_admitted_set_unread(stream->admitted, has_unread);
	return stream;
}

static void
serve(bp_httpgate_t *gate, GSocket *socket)
{
	BpGateStream *stream = new_stream(gate, socket);
	GSocketAddress *local = g_socket_get_local_address(socket, NULL);
	bool counted =
	    gate->options.admission == NULL || stream->admitted != NULL;

	/* A caller that has closed already has no address. */
	if (counted && stream->remote != NULL && local != NULL) {
		g_object_set_data(G_OBJECT(stream->remote), STREAM_KEY, stream);
		(void)soup_server_accept_iostream(gate->options.server,
		    G_IO_STREAM(stream), local, stream->remote, NULL);
	}
	g_clear_object(&local);
	g_object_unref(stream);
}

static void start_accepting(bp_httpgate_t *gate);

static gboolean
on_retry(gpointer data)
{
	bp_httpgate_t *gate = data;

	gate->retry = 0;
	start_accepting(gate);
	return G_SOURCE_REMOVE;
}

static gboolean
on_incoming(GSocket *listening, GIOCondition condition, gpointer data)
{
	bp_httpgate_t *gate = data;
	GError *error = NULL;
	GSocket *socket = NULL;
	uint32_t i;

	(void)condition;
	for (i = 0; i < ACCEPTED_AT_ONCE && error == NULL; i++) {
		socket = g_socket_accept(listening, NULL, &error);
		if (socket != NULL)
			serve(gate, socket);
		g_clear_object(&socket);
	}
	if (error == NULL ||
	    g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_clear_error(&error);
		return G_SOURCE_CONTINUE;
	}
	g_error_free(error);
	g_clear_pointer(&gate->source, g_source_unref);
	gate->retry = g_timeout_add(ACCEPT_RETRY_MS, on_retry, gate);
	return G_SOURCE_REMOVE;
}

static void
start_accepting(bp_httpgate_t *gate)
{
	gate->source = g_socket_create_source(gate->socket, G_IO_IN, NULL);
	g_source_set_callback(
	    gate->source, G_SOURCE_FUNC(on_incoming), gate, NULL);
	(void)g_source_attach(gate->source, NULL);
}

/*
 * libsoup closes the connections of a server without listeners after each
 * request. It gets the socket in a context of its own, which never runs, and
 * so accepts nothing.
 */
static int
add_listener(const bp_httpgate_t *gate, bp_error_t *err)
{
	GMainContext *never = g_main_context_new();
	GError *error = NULL;
	int rc = BP_OK;

	g_main_context_push_thread_default(never);
	if (!soup_server_listen_socket(
		gate->options.server, gate->socket, 0, &error))
		rc = bp_error_set(
		    err, BP_EUNREACHABLE, "listening: %s", error->message);
	g_main_context_pop_thread_default(never);
	g_main_context_unref(never);
	g_clear_error(&error);
	return rc;
}

/* See the header. */
int
bp_httpgate_new(
    bp_httpgate_t **out, const bp_httpgate_options_t *options, bp_error_t *err)
{
	bp_httpgate_t *gate = g_new0(bp_httpgate_t, 1);
	int rc =
	    bp_listen(&gate->socket, options->address, options->backlog, err);

	*out = NULL;
	if (rc != BP_OK) {
		g_free(gate);
		return rc;
	}
	gate->options = *options;
	gate->options.address = NULL;
	rc = add_listener(gate, err);
	if (rc != BP_OK) {
		g_object_unref(gate->socket);
		g_free(gate);
		return rc;
	}
	g_socket_set_blocking(gate->socket, FALSE);
	(void)g_signal_connect(
	    options->server, "request-started", G_CALLBACK(on_started), gate);
	(void)g_signal_connect(
	    options->server, "request-read", G_CALLBACK(on_read), gate);
	(void)g_signal_connect(
	    options->server, "request-finished", G_CALLBACK(on_finished), gate);
	start_accepting(gate);
	*out = gate;
	return BP_OK;
}

/* See the header. */
void
bp_httpgate_free(bp_httpgate_t *gate)
{
	if (gate == NULL)
		return;
	if (gate->source != NULL) {
		g_source_destroy(gate->source);
		g_source_unref(gate->source);
	}
	g_clear_handle_id(&gate->retry, g_source_remove);
	g_signal_handlers_disconnect_by_data(gate->options.server, gate);
	(void)g_socket_close(gate->socket, NULL);
	g_object_unref(gate->socket);
	g_free(gate);
}
