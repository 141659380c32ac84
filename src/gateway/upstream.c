#include "gateway/upstream.h"

#include "gateway/headers.h"

#include <string.h>

#define READ_BUFFER_BYTES (64 * 1024)
#define IDLE_TIMEOUT_S 30
/* A VM that no longer exists does not respond to connection requests. */
#define CONNECT_TIMEOUT_MS 1000

struct bp_upstream {
	SoupSession *session;
	GHashTable *sockets; /* connection id to GSocket */
	uint32_t refs;
};

struct bp_attempt {
	bp_upstream_t *upstream;
	GSocket *socket; /* of the latest connection made for it */
	guint64 connection_id;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream;
	GByteArray *body;
	guint8 *buffer;
	char *id;
	guint connect_timer;
	bool idempotent;
	bool written;
	bool cancelled;
	bool timed_out; /* before the connection was made */
	bool restart_denied;
	bp_attempt_handler_t handler;
};

/*
 * Creates the HTTP client for executors. It adds no headers to messages,
 * decodes no content and follows no redirects; connections to an executor are
 * limited to this gateway's share.
 */
bp_upstream_t *
bp_upstream_new(uint32_t gateways, uint32_t connections)
{
	bp_upstream_t *upstream = g_new0(bp_upstream_t, 1);
	uint32_t connection_share = connections / MAX(gateways, 1);
	SoupSession *session = soup_session_new_with_options("max-conns",
	    G_MAXINT, "max-conns-per-host", (int)MAX(connection_share, 1),
	    "timeout", 0, "idle-timeout", IDLE_TIMEOUT_S, "proxy-resolver",
	    NULL, NULL);

	soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
	soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
	upstream->session = session;
	upstream->sockets = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_object_unref);
	upstream->refs = 1;
	return upstream;
}

/* Drops a reference; the last one closes all connections. */
void
bp_upstream_unref(bp_upstream_t *upstream)
{
	if (--upstream->refs > 0)
		return;
	soup_session_abort(upstream->session);
	g_object_unref(upstream->session);
	g_hash_table_destroy(upstream->sockets);
	g_free(upstream);
}

static gboolean
is_closed(gpointer key, gpointer value, gpointer data)
{
	return g_socket_is_closed(value);
}

static void
store_socket(bp_attempt_t *attempt)
{
	guint64 *id = g_new(guint64, 1);

	*id = attempt->connection_id;
	g_hash_table_foreach_remove(
	    attempt->upstream->sockets, is_closed, NULL);
	g_hash_table_replace(attempt->upstream->sockets, id, attempt->socket);
	attempt->socket = NULL;
}

static void
stop_connect_timer(bp_attempt_t *attempt)
{
	if (attempt->connect_timer != 0)
		g_source_remove(attempt->connect_timer);
	attempt->connect_timer = 0;
}

static void
attempt_free(bp_attempt_t *attempt)
{
	stop_connect_timer(attempt);
	g_signal_handlers_disconnect_by_data(attempt->message, attempt);
	g_clear_object(&attempt->stream);
	g_object_unref(attempt->message);
	g_object_unref(attempt->cancellable);
	g_clear_object(&attempt->socket);
	bp_upstream_unref(attempt->upstream);
	if (attempt->body != NULL)
		g_byte_array_unref(attempt->body);
	g_free(attempt->buffer);
	g_free(attempt->id);
	g_free(attempt);
}

/* The connection of a discarded response must not be reused. */
static void
close_connection(bp_attempt_t *attempt)
{
	soup_message_headers_replace(
	    soup_message_get_response_headers(attempt->message), "Connection",
	    "close");
	g_cancellable_cancel(attempt->cancellable);
}

static void
fail_attempt(
    bp_attempt_t *attempt, int kind, bp_result_t result, const char *message)
{
	bp_attempt_answer_t response = {
	    .kind = kind, .result = result, .message = message};

	close_connection(attempt);
	if (!attempt->cancelled)
		attempt->handler.done(&response, attempt->handler.data);
	attempt_free(attempt);
}

static void
complete_attempt(bp_attempt_t *attempt)
{
	guint status = soup_message_get_status(attempt->message);
	bp_attempt_answer_t response = {
	    .kind = BP_OK,
	    .status = status,
	    .headers = soup_message_get_response_headers(attempt->message),
	    .body = attempt->body,
	};

	if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
		response.result = BP_RESULT_OVERLOADED;
	else
		response.result =
		    status >= 500 ? BP_RESULT_FAILED : BP_RESULT_OK;
	if (!attempt->cancelled)
		attempt->handler.done(&response, attempt->handler.data);
	attempt_free(attempt);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data);

static void
read_more(bp_attempt_t *attempt)
{
	g_input_stream_read_async(attempt->stream, attempt->buffer,
	    READ_BUFFER_BYTES, G_PRIORITY_DEFAULT, attempt->cancellable,
	    on_read, attempt);
}

static bool
is_head(const bp_attempt_t *attempt)
{
	return strcmp(soup_message_get_method(attempt->message), "HEAD") == 0;
}

static bool
has_no_body(bp_attempt_t *attempt)
{
	guint status = soup_message_get_status(attempt->message);

	return is_head(attempt) || status == SOUP_STATUS_NO_CONTENT ||
	    status == SOUP_STATUS_NOT_MODIFIED;
}

static bool
is_complete(bp_attempt_t *attempt)
{
	SoupMessageHeaders *headers =
	    soup_message_get_response_headers(attempt->message);

	if (has_no_body(attempt))
		return true;
	if (soup_message_headers_get_encoding(headers) !=
	    SOUP_ENCODING_CONTENT_LENGTH)
		return !bp_socket_ended(g_hash_table_lookup(
		    attempt->upstream->sockets, &attempt->connection_id));
	return soup_message_headers_get_content_length(headers) ==
	    (goffset)attempt->body->len;
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	bp_attempt_t *attempt = data;
	gssize n = g_input_stream_read_finish(attempt->stream, result, NULL);

	if (attempt->cancelled) {
		attempt_free(attempt);
		return;
	}
	if (n < 0 || (n == 0 && !is_complete(attempt))) {
		fail_attempt(attempt, BP_ETRUNCATED, BP_RESULT_FAILED,
		    "the response ended before its stated length");
		return;
	}
	if (n == 0) {
		complete_attempt(attempt);
		return;
	}
	if (attempt->body->len + (gsize)n > BP_MAX_ANSWER_BYTES) {
		fail_attempt(attempt, BP_ETOOLARGE, BP_RESULT_ABANDONED,
		    "the response is larger than 8 MiB");
		return;
	}
	g_byte_array_append(attempt->body, attempt->buffer, (guint)n);
	read_more(attempt);
}

/* Checks the headers of a response; returns why it is discarded, or NULL. */
static const char *
check_response_headers(bp_attempt_t *attempt, int *kind)
{
	SoupMessageHeaders *headers =
	    soup_message_get_response_headers(attempt->message);
	const char *echoed_id =
	    soup_message_headers_get_list(headers, BP_HEADER_REQUEST_ID);

	*kind = BP_EMISMATCH;
	if (echoed_id == NULL)
		return "the response has no X-Request-Id";
	if (strcmp(echoed_id, attempt->id) != 0)
		return "the response has the X-Request-Id of another request";
	*kind = BP_ETRUNCATED;
	if (!bp_headers_framing_ok(headers))
		return "the length of the response is ambiguous";
	/* A response that ends with its connection may be truncated. */
	if (!has_no_body(attempt) &&
	    soup_message_headers_get_encoding(headers) == SOUP_ENCODING_EOF)
		return "the response does not state its length";
	*kind = BP_ETOOLARGE;
	if (!has_no_body(attempt) &&
	    soup_message_headers_get_content_length(headers) >
		BP_MAX_ANSWER_BYTES)
		return "the response is larger than 8 MiB";
	return NULL;
}

static void
fail_to_send(bp_attempt_t *attempt, const GError *error)
{
	if (attempt->timed_out)
		fail_attempt(attempt, BP_ENOTSENT, BP_RESULT_REFUSED,
		    "no connection within 1000 ms");
	else if (!attempt->written)
		fail_attempt(
		    attempt, BP_ENOTSENT, BP_RESULT_REFUSED, error->message);
	else
		fail_attempt(attempt, BP_EUNREACHABLE, BP_RESULT_FAILED,
		    attempt->restart_denied
			? "the connection was closed before the response"
			: error->message);
}

static void
on_sent(GObject *source, GAsyncResult *result, gpointer data)
{
	bp_attempt_t *attempt = data;
	GError *error = NULL;
	const char *reason;
	int kind;

	attempt->stream = soup_session_send_finish(
	    attempt->upstream->session, result, &error);
	if (attempt->cancelled) {
		attempt_free(attempt);
		goto out;
	}
	if (attempt->stream == NULL) {
		fail_to_send(attempt, error);
		goto out;
	}
	reason = check_response_headers(attempt, &kind);
	if (reason != NULL) {
		/* A large response is no sign of a faulty endpoint. */
		fail_attempt(attempt, kind,
		    kind == BP_ETOOLARGE ? BP_RESULT_ABANDONED
					 : BP_RESULT_FAILED,
		    reason);
		goto out;
	}
	attempt->body = g_byte_array_new();
	attempt->buffer = g_malloc(READ_BUFFER_BYTES);
	read_more(attempt);
out:
	g_clear_error(&error);
}

/* Emitted when the connection is ready, before the first byte is written. */
static void
on_starting(SoupMessage *message, gpointer data)
{
	bp_attempt_t *attempt = data;

	attempt->written = true;
	stop_connect_timer(attempt);
	attempt->connection_id = soup_message_get_connection_id(message);
	if (attempt->socket != NULL)
		store_socket(attempt);
}

static void
on_network_event(SoupMessage *message, GSocketClientEvent event,
    GIOStream *connection, gpointer data)
{
	bp_attempt_t *attempt = data;

	if (event != G_SOCKET_CLIENT_CONNECTED ||
	    !G_IS_SOCKET_CONNECTION(connection))
		return;
	g_set_object(&attempt->socket,
	    g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection)));
}

/*
 * libsoup resends a request if a reused connection was closed before the
 * response. This counts as a retry and needs the permission of the handler.
 */
static void
on_restarted(SoupMessage *message, gpointer data)
{
	bp_attempt_t *attempt = data;

	if (attempt->cancelled)
		return;
	if (attempt->idempotent &&
	    attempt->handler.may_restart(attempt->handler.data))
		return;
	attempt->restart_denied = true;
	g_cancellable_cancel(attempt->cancellable);
}

static gboolean
on_connect_timeout(gpointer data)
{
	bp_attempt_t *attempt = data;

	attempt->connect_timer = 0;
	attempt->timed_out = true;
	g_cancellable_cancel(attempt->cancellable);
	return G_SOURCE_REMOVE;
}

static SoupMessage *
new_message(const bp_attempt_options_t *options)
{
	GUri *base = g_uri_parse(options->url, SOUP_HTTP_URI_FLAGS, NULL);
	SoupMessage *message;
	SoupMessageHeaders *headers;
	char *left_ms;
	GUri *uri;

	if (base == NULL)
		return NULL;
	uri = soup_uri_copy(base, SOUP_URI_PATH, options->path, SOUP_URI_QUERY,
	    options->query, SOUP_URI_NONE);
	message = soup_message_new_from_uri(options->method, uri);
	headers = soup_message_get_request_headers(message);
	bp_headers_copy(headers, options->headers);
	soup_message_headers_replace(
	    headers, BP_HEADER_REQUEST_ID, options->id);
	left_ms =
	    g_strdup_printf("%" G_GINT64_FORMAT, MAX(options->left_ms, 1));
	soup_message_headers_replace(headers, BP_HEADER_DEADLINE, left_ms);
	g_free(left_ms);
	if (options->body != NULL)
		soup_message_set_request_body_from_bytes(
		    message, NULL, options->body);
	g_uri_unref(uri);
	g_uri_unref(base);
	return message;
}

/*
 * Sends a request; the handler is called later, never from within this call. A
 * request that is not idempotent gets a new connection: on a reused one, an
 * idle close by the executor is not distinguishable from a lost response.
 * Returns NULL if the url is not valid.
 */
bp_attempt_t *
bp_attempt_start(bp_upstream_t *upstream, const bp_attempt_options_t *options,
    const bp_attempt_handler_t *handler)
{
	SoupMessage *message = new_message(options);
	bp_attempt_t *attempt;

	if (message == NULL)
		return NULL;
	soup_message_add_flags(message,
	    SOUP_MESSAGE_NO_REDIRECT |
		(options->idempotent ? SOUP_MESSAGE_IDEMPOTENT
				     : SOUP_MESSAGE_NEW_CONNECTION));
	attempt = g_new0(bp_attempt_t, 1);
	attempt->upstream = upstream;
	upstream->refs++;
	attempt->message = message;
	attempt->cancellable = g_cancellable_new();
	attempt->id = g_strdup(options->id);
	attempt->idempotent = options->idempotent;
	attempt->handler = *handler;
	attempt->connect_timer =
	    g_timeout_add(CONNECT_TIMEOUT_MS, on_connect_timeout, attempt);
	g_signal_connect(message, "starting", G_CALLBACK(on_starting), attempt);
	g_signal_connect(
	    message, "restarted", G_CALLBACK(on_restarted), attempt);
	g_signal_connect(
	    message, "network-event", G_CALLBACK(on_network_event), attempt);
	soup_session_send_async(upstream->session, message, G_PRIORITY_DEFAULT,
	    attempt->cancellable, on_sent, attempt);
	return attempt;
}

/* Cancels the attempt, which is freed once libsoup has released it. */
void
bp_attempt_cancel(bp_attempt_t *attempt)
{
	attempt->cancelled = true;
	stop_connect_timer(attempt);
	close_connection(attempt);
}

/* Returns whether any byte may have reached the executor. */
bool
bp_attempt_written(const bp_attempt_t *attempt)
{
	return attempt->written;
}
