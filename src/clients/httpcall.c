#include "clients/httpcall.h"

#include "clients/connections.h"

#include <string.h>

#define READ_MIN_BYTES 4096
#define READ_MAX_BYTES 65536
/* Shorter than the usual idle timeouts of servers. */
#define IDLE_TIMEOUT_S 30
/* A timer this late shows that the process was stalled. */
#define STALL_THRESHOLD_US 100000
/* Extension to read responses that arrived while the process was stalled. */
#define STALL_GRACE_MS 50
#define US_PER_MS 1000

struct bp_http {
	SoupSession *session;
	GHashTable *calls; /* call_t, not owned */
	bp_connections_t *connections;
};

/*
 * Freed by the last callback of its asynchronous operation; removed from the
 * client's table when it is finished or cancelled.
 */
typedef struct {
	bp_httpcall_client_t *http; /* NULL once finished or cancelled */
	bp_httpcall_done_t done;
	void *data;
	GDestroyNotify free_data;
	const void *owner;
	SoupMessage *message; /* NULL for an invalid URL */
	GCancellable *cancellable;
	GInputStream *stream;
	GByteArray *body;
	size_t answer_bytes;
	int priority;
	size_t received_bytes;
	bp_error_t failure; /* of reading the body */
	int64_t deadline_us; /* monotonic deadline */
	gboolean extended; /* the deadline was extended once */
	guint source;
	gboolean started; /* an operation of libsoup frees it */
	gboolean sent;
	int64_t incarnation; /* of the server; 0: any */
	gboolean mismatch; /* its connection is not of that incarnation */
	char *host; /* with the port */
	uint64_t connection; /* in use; 0: none */
} call_t;

static void
call_free(call_t *call)
{
	g_clear_object(&call->stream);
	g_clear_object(&call->message);
	g_object_unref(call->cancellable);
	g_byte_array_unref(call->body);
	g_free(call->host);
	g_free(call);
}

/* The host and the port of a URL, by which connections are known. */
static char *
host_of(const char *url)
{
	const char *start = strstr(url, "://");
	size_t bytes;

	start = start != NULL ? start + strlen("://") : url;
	bytes = strcspn(start, "/?#");
	return g_strndup(start, bytes);
}

/* The call uses no connection any more. */
static void
release_connection(call_t *call)
{
	if (call->connection != 0)
		bp_connections_set_busy(call->http->connections, call->host,
		    call->connection, false);
	call->connection = 0;
}

/* Removes the call from its client. Returns FALSE if it was removed before. */
static gboolean
detach(call_t *call)
{
	if (call->http == NULL)
		return FALSE;
	g_hash_table_remove(call->http->calls, call);
	release_connection(call);
	call->http = NULL;
	if (call->source != 0)
		g_source_remove(call->source);
	call->source = 0;
	return TRUE;
}

static void
finish(
    call_t *call, const bp_httpcall_response_t *answer, const bp_error_t *err)
{
	if (!detach(call))
		return;
	call->done(answer, err, call->data);
	if (call->free_data != NULL)
		call->free_data(call->data);
}

static void
cancel_call(call_t *call)
{
	if (!detach(call))
		return;
	if (call->free_data != NULL)
		call->free_data(call->data);
	g_cancellable_cancel(call->cancellable);
	if (!call->started)
		call_free(call);
}

/*
 * Creates a client without a proxy. Content encodings are not decoded, so that
 * the size limit applies to the bytes kept in memory.
 */
bp_httpcall_client_t *
bp_httpcall_new(uint32_t connections, uint32_t connections_per_host)
{
	bp_httpcall_client_t *http = g_new0(bp_httpcall_client_t, 1);

	http->session =
	    g_object_new(SOUP_TYPE_SESSION, "max-conns", (int)connections,
		"max-conns-per-host", (int)connections_per_host, "timeout", 0,
		"idle-timeout", IDLE_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	soup_session_remove_feature_by_type(
	    http->session, SOUP_TYPE_CONTENT_DECODER);
	http->calls = g_hash_table_new(NULL, NULL);
	http->connections =
	    bp_connections_new(connections, connections_per_host);
	return http;
}

static void
cancel_calls(bp_httpcall_client_t *http, const void *owner, gboolean all)
{
	GList *calls = g_hash_table_get_keys(http->calls);
	GList *node;

	for (node = calls; node != NULL; node = node->next) {
		call_t *call = node->data;

		if (all || call->owner == owner)
			cancel_call(call);
	}
	g_list_free(calls);
}

/* Cancels all calls and frees the client; no callback runs afterwards. */
void
bp_httpcall_free(bp_httpcall_client_t *http)
{
	if (http == NULL)
		return;
	cancel_calls(http, NULL, TRUE);
	g_hash_table_unref(http->calls);
	bp_connections_free(http->connections);
	g_object_unref(http->session);
	g_free(http);
}

/* Cancels the calls of an owner without running their callbacks. */
void
bp_httpcall_cancel(bp_httpcall_client_t *http, const void *owner)
{
	cancel_calls(http, owner, FALSE);
}

/*
 * Reports a failure whose kind depends on the progress of the call. libsoup
 * emits "starting" on a connected socket before it writes the first byte.
 */
static void
fail(call_t *call, const char *reason)
{
	bp_error_t err;

	bp_error_set(&err,
	    !call->sent && call->mismatch ? BP_EMISMATCH
		: !call->sent		  ? BP_ENOTSENT
		: call->stream == NULL	  ? BP_EUNKNOWN
					  : BP_ETRUNCATED,
	    "%s", reason);
	finish(call, NULL, &err);
}

/*
 * In a process that was paused or busy, timers may fire before responses that
 * arrived in time are read. Such a call gets one extension.
 */
static gboolean
on_timeout(void *data)
{
	call_t *call = data;

	call->source = 0;
	if (!call->extended &&
	    g_get_monotonic_time() - call->deadline_us > STALL_THRESHOLD_US) {
		call->extended = TRUE;
		call->source = g_timeout_add(STALL_GRACE_MS, on_timeout, call);
		return G_SOURCE_REMOVE;
	}
	g_cancellable_cancel(call->cancellable);
	fail(call, "no answer in time");
	return G_SOURCE_REMOVE;
}

static gboolean
on_invalid(void *data)
{
	call_t *call = data;
	bp_error_t err;

	call->source = 0;
	bp_error_set(&err, BP_EINVALID, "invalid URL");
	finish(call, NULL, &err);
	call_free(call);
	return G_SOURCE_REMOVE;
}

/* Nothing was sent: no connection of the incarnation is idle. */
static gboolean
on_no_connection(void *data)
{
	call_t *call = data;

	call->source = 0;
	call->mismatch = TRUE;
	fail(call, "no connection of the expected incarnation");
	call_free(call);
	return G_SOURCE_REMOVE;
}

/*
 * libsoup has a connection for the message and has written nothing to it yet.
 * This happens again when it repeats a message whose connection was closed.
 * Cancelling here keeps it from writing.
 */
static void
on_starting(SoupMessage *message, void *data)
{
	call_t *call = data;
	uint64_t connection = soup_message_get_connection_id(message);

	if (call->http == NULL)
		return;
	release_connection(call);
	if (call->incarnation != 0 &&
	    !bp_connections_is_confirmed(call->http->connections, call->host,
		connection, call->incarnation)) {
		call->mismatch = TRUE;
		g_cancellable_cancel(call->cancellable);
		return;
	}
	call->sent = TRUE;
	call->connection = connection;
	bp_connections_set_busy(
	    call->http->connections, call->host, connection, true);
}

static void
finish_complete(call_t *call)
{
	bp_httpcall_response_t answer = {
	    .status = soup_message_get_status(call->message),
	    .headers = soup_message_get_response_headers(call->message),
	    .body = call->body->data,
	    .size_bytes = call->received_bytes,
	    .connection = soup_message_get_connection_id(call->message),
	};

	finish(call, &answer, NULL);
}

static void on_read(GObject *source, GAsyncResult *result, void *data);

/* Reads up to one byte beyond the limit to detect an oversized response. */
static void
read_more(call_t *call)
{
	size_t remaining = call->answer_bytes + 1 - call->received_bytes;
	size_t want =
	    CLAMP(call->received_bytes, READ_MIN_BYTES, READ_MAX_BYTES);

	want = MIN(want, remaining);
	g_byte_array_set_size(call->body, (guint)(call->received_bytes + want));
	g_input_stream_read_async(call->stream,
	    call->body->data + call->received_bytes, want, call->priority,
	    call->cancellable, on_read, call);
}

/*
 * The response is delivered after the stream is closed, when libsoup has
 * returned the connection to its pool: calls by the callback can reuse it.
 */
static void
on_closed(GObject *source, GAsyncResult *result, void *data)
{
	call_t *call = data;

	(void)g_input_stream_close_finish(call->stream, result, NULL);
	if (call->failure.kind != BP_OK)
		finish(call, NULL, &call->failure);
	else
		finish_complete(call);
	call_free(call);
}

static void
on_read(GObject *source, GAsyncResult *result, void *data)
{
	call_t *call = data;
	GError *error = NULL;
	gssize n = g_input_stream_read_finish(call->stream, result, &error);

	if (n > 0)
		call->received_bytes += (size_t)n;
	if (call->http != NULL && n > 0 &&
	    call->received_bytes <= call->answer_bytes) {
		read_more(call);
		return;
	}
	if (n < 0)
		bp_error_set(
		    &call->failure, BP_ETRUNCATED, "%s", error->message);
	else if (call->received_bytes > call->answer_bytes)
		bp_error_set(&call->failure, BP_ETOOLARGE,
		    "the response exceeds %zu bytes", call->answer_bytes);
	g_clear_error(&error);
	g_input_stream_close_async(
	    call->stream, call->priority, call->cancellable, on_closed, call);
}

static void
on_sent(GObject *source, GAsyncResult *result, void *data)
{
	call_t *call = data;
	GError *error = NULL;

	call->stream =
	    soup_session_send_finish(SOUP_SESSION(source), result, &error);
	if (call->stream != NULL && call->http != NULL) {
		read_more(call);
		return;
	}
	if (call->stream == NULL)
		fail(call, error->message);
	g_clear_error(&error);
	call_free(call);
}

static void
set_message(call_t *call, const bp_httpcall_request_t *request)
{
	SoupMessageHeaders *headers =
	    soup_message_get_request_headers(call->message);

	/*
	 * Duplicate requests are harmless: records carry sequence numbers, and
	 * starts carry attempts. Without the idempotent flag libsoup opens a
	 * connection per POST.
	 */
	soup_message_add_flags(
	    call->message, SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_IDEMPOTENT);
	if (request->body != NULL)
		soup_message_set_request_body_from_bytes(
		    call->message, request->content_type, request->body);
	if (request->if_none_match != NULL)
		soup_message_headers_replace(
		    headers, "If-None-Match", request->if_none_match);
	if (request->header != NULL)
		soup_message_headers_replace(
		    headers, request->header, request->header_value);
	g_signal_connect(
	    call->message, "starting", G_CALLBACK(on_starting), call);
}

/* See the header. */
void
bp_httpcall_confirm(bp_httpcall_client_t *http, const char *url,
    uint64_t connection, int64_t incarnation)
{
	char *host = host_of(url);

	bp_connections_confirm(
	    http->connections, host, connection, incarnation);
	g_free(host);
}

/*
 * Starts a call. done runs later from the main loop, exactly once unless the
 * call is cancelled. free_data, if not NULL, frees data in either case.
 */
void
bp_httpcall_start(bp_httpcall_client_t *http,
    const bp_httpcall_request_t *request, bp_httpcall_done_t done, void *data,
    GDestroyNotify free_data, const void *owner)
{
	call_t *call = g_new0(call_t, 1);

	call->http = http;
	call->done = done;
	call->data = data;
	call->free_data = free_data;
	call->owner = owner;
	call->answer_bytes = request->max_response_bytes;
	call->priority = request->priority;
	call->cancellable = g_cancellable_new();
	call->body = g_byte_array_new();
	g_hash_table_add(http->calls, call);
	call->message = soup_message_new(request->method, request->url);
	if (call->message == NULL) {
		call->source =
		    g_idle_add_full(call->priority, on_invalid, call, NULL);
		return;
	}
	call->host = host_of(request->url);
	call->incarnation = request->incarnation;
	if (call->incarnation != 0 &&
	    !bp_connections_may_send(
		http->connections, call->host, call->incarnation)) {
		call->source = g_idle_add_full(
		    call->priority, on_no_connection, call, NULL);
		return;
	}
	set_message(call, request);
	call->deadline_us =
	    g_get_monotonic_time() + (int64_t)request->timeout_ms * US_PER_MS;
	call->source = g_timeout_add(request->timeout_ms, on_timeout, call);
	call->started = TRUE;
	soup_session_send_async(http->session, call->message, call->priority,
	    call->cancellable, on_sent, call);
}
