#include "gateway/exchange.h"

#include "gateway/headers.h"

#include <glib-unix.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>

#define US_PER_MS 1000
/* Bodies of all requests in flight; a node may use 64 MB for control. */
#define MAX_BUFFERED_BYTES (32 * 1024 * 1024)
/* Discarded of a body beyond its limit before the connection is closed. */
#define MAX_DISCARDED_BYTES (3 * 1024 * 1024)
/* A caller that does not read its response would otherwise stall a drain. */
#define WRITE_TIMEOUT_MS 30000

/* Returns the time left until the deadline, negative after it. */
int64_t
bp_exchange_left_ms(const bp_exchange_t *exchange)
{
	return bp_request_left_ms(&exchange->request,
	    bp_clock_mono_us(exchange->gateway->options.clock));
}

/*
 * Returns the most specific outcome that is certain for an exchange without a
 * response. While a claim is pending, an earlier copy of the request may have
 * run.
 */
bp_outcome_t
bp_exchange_outcome(const bp_exchange_t *exchange)
{
	bool written = exchange->written ||
	    (exchange->attempt != NULL &&
		bp_attempt_written(exchange->attempt));

	return written || exchange->claiming ? BP_OUTCOME_NOT_KNOWN
					     : BP_OUTCOME_NOT_RUN;
}

/*
 * Adds an event to the timeline. The text includes the request id that the
 * caller sent, since the caller may not know the one of the gateway.
 */
void
bp_exchange_event(
    const bp_exchange_t *exchange, const char *kind, const char *format, ...)
{
	bp_timeline_t *timeline = exchange->gateway->options.timeline;
	const char *caller_id = soup_message_headers_get_list(
	    soup_server_message_get_request_headers(exchange->message),
	    BP_HEADER_REQUEST_ID);
	GString *text;
	va_list args;
	char *valid;

	if (timeline == NULL)
		return;
	text = g_string_new(NULL);
	va_start(args, format);
	g_string_append_vprintf(text, format, args);
	va_end(args);
	if (caller_id != NULL && strlen(caller_id) <= BP_CALLER_ID_MAX_BYTES)
		g_string_append_printf(text, BP_CALLER_ID_MARK "%s", caller_id);
	valid = g_utf8_make_valid(text->str, (gssize)text->len);
	bp_timeline_add(timeline, kind, exchange->id, NULL, NULL, "%s", valid);
	g_free(valid);
	g_string_free(text, TRUE);
}

/* Takes a reference, for a callback that may run after the exchange ended. */
bp_exchange_t *
bp_exchange_ref(bp_exchange_t *exchange)
{
	exchange->refs++;
	return exchange;
}

/* Drops a reference and frees the exchange with the last one. */
void
bp_exchange_unref(bp_exchange_t *exchange)
{
	if (--exchange->refs > 0)
		return;
	if (exchange->body != NULL)
		g_bytes_unref(exchange->body);
	g_object_unref(exchange->message);
	bp_arena_free(exchange->arena);
	g_free(exchange);
}

static void
stop_timer(bp_exchange_t *exchange)
{
	if (exchange->timer != 0)
		g_source_remove(exchange->timer);
	exchange->timer = 0;
}

static void
stop_disconnect_watch(bp_exchange_t *exchange)
{
	if (exchange->watch == NULL)
		return;
	g_source_destroy(exchange->watch);
	g_source_unref(exchange->watch);
	exchange->watch = NULL;
}

/*
 * Ends an exchange whose response was written or whose connection was closed.
 * For a claimed key without a response the outcome known so far is recorded.
 */
void
bp_exchange_end(bp_exchange_t *exchange)
{
	bp_gateway_t *gateway = exchange->gateway;

	if (gateway == NULL)
		return;
	bp_dispatch_forget(exchange);
	if (exchange->claimed && !exchange->answered)
		bp_keytable_end(gateway->keys, exchange->request.service,
		    exchange->request.key, bp_exchange_outcome(exchange), 0);
	stop_timer(exchange);
	stop_disconnect_watch(exchange);
	g_signal_handlers_disconnect_by_data(exchange->message, exchange);
	gateway->body_bytes -= exchange->body_bytes;
	exchange->gateway = NULL;
	g_hash_table_remove(gateway->exchanges, exchange->message);
	bp_exchange_unref(exchange);
	bp_gateway_exchange_ended(gateway);
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
	bp_exchange_end(data);
}

static void
shutdown_connection(bp_exchange_t *exchange)
{
	GSocket *socket = soup_server_message_get_socket(exchange->message);

	if (socket != NULL)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

static void start_timer(bp_exchange_t *exchange, int64_t delay_ms);

/*
 * Runs at the deadline, and again if the response is not written in time. While
 * the body is still being read no response can be sent.
 */
static gboolean
on_timer(gpointer data)
{
	bp_exchange_t *exchange = data;

	exchange->timer = 0;
	if (exchange->answered || !exchange->body_read) {
		shutdown_connection(exchange);
		return G_SOURCE_REMOVE;
	}
	start_timer(exchange, WRITE_TIMEOUT_MS);
	bp_dispatch_forget(exchange);
	bp_answer_error(exchange, BP_EDEADLINE, bp_exchange_outcome(exchange),
	    "no response within the deadline after %u attempts",
	    exchange->attempts);
	return G_SOURCE_REMOVE;
}

static void
start_timer(bp_exchange_t *exchange, int64_t delay_ms)
{
	stop_timer(exchange);
	exchange->timer =
	    g_timeout_add((guint)MAX(delay_ms, 1), on_timer, exchange);
}

/*
 * Detects that the caller closed its connection: libsoup does not read from the
 * connection while a response is pending.
 */
static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
	bp_exchange_t *exchange = data;
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return G_SOURCE_CONTINUE;
	stop_disconnect_watch(exchange);
	/* These bytes are the caller's next request, which is read later. */
	if (n > 0)
		return G_SOURCE_REMOVE;
	if (exchange->answered)
		return G_SOURCE_REMOVE;
	exchange->gateway->counters.cancelled++;
	start_timer(exchange, WRITE_TIMEOUT_MS);
	bp_dispatch_forget(exchange);
	bp_answer_error(exchange, BP_EUNKNOWN, bp_exchange_outcome(exchange),
	    "the caller closed its connection");
	return G_SOURCE_REMOVE;
}

static void
start_disconnect_watch(bp_exchange_t *exchange)
{
	GSocket *socket = soup_server_message_get_socket(exchange->message);

	if (socket == NULL)
		return;
	/* A GSocket source would apply the timeout of the socket. */
	exchange->watch = g_unix_fd_source_new(
	    g_socket_get_fd(socket), G_IO_IN | G_IO_HUP | G_IO_ERR);
	g_source_set_callback(
	    exchange->watch, G_SOURCE_FUNC(on_readable), exchange, NULL);
	g_source_attach(exchange->watch, g_main_context_get_thread_default());
}

/* Discards the rest of the body after a response that was sent early. */
static void
discard_body(bp_exchange_t *exchange)
{
	soup_message_body_set_accumulate(
	    soup_server_message_get_request_body(exchange->message), FALSE);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(exchange->message),
	    "Connection", "close");
}

static void
refuse_body(bp_exchange_t *exchange)
{
	bp_answer_error(exchange, BP_ETOOLARGE, BP_OUTCOME_NOT_RUN,
	    "the body is larger than %u bytes",
	    exchange->gateway->options.body_bytes);
	discard_body(exchange);
}

static void
on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
	bp_exchange_t *exchange = data;
	bp_gateway_t *gateway = exchange->gateway;
	size_t bytes = g_bytes_get_size(chunk);

	exchange->received_bytes += bytes;
	if (exchange->received_bytes >
	    (uint64_t)gateway->options.body_bytes + MAX_DISCARDED_BYTES)
		shutdown_connection(exchange);
	if (exchange->answered)
		return;
	exchange->body_bytes += bytes;
	gateway->body_bytes += bytes;
	if (exchange->body_bytes > gateway->options.body_bytes) {
		refuse_body(exchange);
	} else if (gateway->body_bytes > MAX_BUFFERED_BYTES) {
		bp_answer_error(exchange, BP_EOVERLOAD, BP_OUTCOME_NOT_RUN,
		    "the bodies of all requests in flight exceed %d bytes",
		    MAX_BUFFERED_BYTES);
		discard_body(exchange);
	}
}

static int
check_size(bp_exchange_t *exchange, bp_error_t *err)
{
	const bp_gateway_options_t *options = &exchange->gateway->options;
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(exchange->message);
	GUri *uri = soup_server_message_get_uri(exchange->message);
	const char *query = g_uri_get_query(uri);
	size_t bytes = bp_headers_bytes(headers) + strlen(g_uri_get_path(uri)) +
	    (query != NULL ? strlen(query) : 0);

	if (bytes > options->header_bytes)
		return bp_error_set(err, BP_ETOOLARGE,
		    "path and headers have %zu bytes, more than %u", bytes,
		    options->header_bytes);
	if (!bp_headers_framing_ok(headers))
		return bp_error_set(err, BP_EINVALID,
		    "Content-Length or Transfer-Encoding is not valid");
	if (soup_message_headers_get_encoding(headers) ==
		SOUP_ENCODING_CONTENT_LENGTH &&
	    soup_message_headers_get_content_length(headers) >
		options->body_bytes)
		return bp_error_set(err, BP_ETOOLARGE,
		    "the body is larger than %u bytes", options->body_bytes);
	return BP_OK;
}

static int
parse_headers(bp_exchange_t *exchange, bp_error_t *err)
{
	const bp_gateway_options_t *options = &exchange->gateway->options;
	SoupServerMessage *message = exchange->message;
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(message);
	bp_request_t *request = &exchange->request;
	bp_request_source_t source = {
	    .method = soup_server_message_get_method(message),
	    .path = g_uri_get_path(soup_server_message_get_uri(message)),
	    .klass = soup_message_headers_get_list(headers, "X-Class"),
	    .deadline_ms =
		soup_message_headers_get_list(headers, BP_HEADER_DEADLINE),
	    .idempotent =
		soup_message_headers_get_list(headers, "X-Idempotent"),
	    .key = soup_message_headers_get_list(headers, "Idempotency-Key"),
	};
	int rc;

	rc = bp_request_parse(request, exchange->arena, &source,
	    options->default_deadline_ms, bp_clock_mono_us(options->clock),
	    err);
	exchange->rank = bp_shed_rank(request->klass);
	if (rc != BP_OK || request->key == NULL)
		return rc;
	return bp_request_check_key(&request->key_issued_s, request->key,
	    bp_clock_wall_ms(options->clock), err);
}

static int
check_request(bp_exchange_t *exchange, bp_error_t *err)
{
	int rc;

	if (exchange->gateway->draining)
		return bp_error_set(err, BP_EDRAINING,
		    "this gateway finishes its requests and exits");
	if ((rc = check_size(exchange, err)) != BP_OK)
		return rc;
	return parse_headers(exchange, err);
}

/* Starts an exchange once the headers of a request are read. */
void
bp_exchange_headers(bp_gateway_t *gateway, SoupServerMessage *message)
{
	bp_exchange_t *exchange = g_new0(bp_exchange_t, 1);
	bp_error_t err = {BP_OK, ""};
	int rc;

	exchange->refs = 1;
	exchange->gateway = gateway;
	exchange->message = g_object_ref(message);
	exchange->arena = bp_arena_new();
	exchange->id = bp_arena_printf(exchange->arena, "%s-%" G_GUINT64_FORMAT,
	    gateway->id_prefix, ++gateway->last_id);
	g_hash_table_insert(gateway->exchanges, message, exchange);
	g_signal_connect(
	    message, "finished", G_CALLBACK(on_finished), exchange);
	g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), exchange);
	gateway->counters.requests++;
	rc = check_request(exchange, &err);
	if (rc != BP_OK) {
		start_timer(exchange, WRITE_TIMEOUT_MS);
		bp_answer_error(
		    exchange, rc, BP_OUTCOME_NOT_RUN, "%s", err.message);
		discard_body(exchange);
		return;
	}
	start_timer(exchange, bp_exchange_left_ms(exchange));
}

/* libsoup reports a truncated chunked body as complete, see bp_socket_ended. */
static bool
is_truncated(const bp_exchange_t *exchange)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(exchange->message);

	return soup_message_headers_get_encoding(headers) ==
	    SOUP_ENCODING_CHUNKED &&
	    bp_socket_ended(soup_server_message_get_socket(exchange->message));
}

/* Claims the key or dispatches the request once its body is read. */
void
bp_exchange_body(bp_exchange_t *exchange)
{
	SoupMessageBody *body =
	    soup_server_message_get_request_body(exchange->message);

	if (exchange->answered)
		return;
	exchange->body_read = true;
	exchange->body = soup_message_body_flatten(body);
	if (g_bytes_get_size(exchange->body) == 0)
		g_clear_pointer(&exchange->body, g_bytes_unref);
	soup_server_message_pause(exchange->message);
	bp_exchange_ref(exchange);
	start_disconnect_watch(exchange);
	if (is_truncated(exchange))
		bp_answer_error(exchange, BP_EINVALID, BP_OUTCOME_NOT_RUN,
		    "the connection ended within the chunked body");
	else if (exchange->request.key != NULL)
		bp_claim_start(exchange);
	else
		bp_dispatch_admit(exchange);
	bp_exchange_unref(exchange);
}
