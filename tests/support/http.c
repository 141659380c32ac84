#include "support/http.h"

#include "support/process.h"

#include <libsoup/soup.h>
#include <string.h>

#define CONNECTIONS_MAX 512
#define TIMEOUT_S 60

struct bp_http {
	SoupSession *session;
};

typedef struct {
	bp_reply_t *reply;
	SoupMessage *message;
} call_t;

/* Creates a client. */
bp_http_t *
bp_http_new(void)
{
	bp_http_t *http = g_new0(bp_http_t, 1);

	http->session = soup_session_new_with_options("max-conns",
	    CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_MAX, "timeout",
	    TIMEOUT_S, NULL);
	return http;
}

/* Frees a client whose replies are all done. NULL is allowed. */
void
bp_http_free(bp_http_t *http)
{
	if (http == NULL)
		return;
	soup_session_abort(http->session);
	g_object_unref(http->session);
	g_free(http);
}

/* Headers of an answer that is not complete do not count. */
static char *
header(SoupMessage *message, const GBytes *body, const char *name)
{
	const char *value = body != NULL
	    ? soup_message_headers_get_one(
		  soup_message_get_response_headers(message), name)
	    : NULL;

	return g_strdup(value != NULL ? value : "");
}

static void
on_reply(GObject *source, GAsyncResult *result, gpointer data)
{
	call_t *call = data;
	bp_reply_t *reply = call->reply;
	GBytes *bytes = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	gsize size = 0;
	const char *text = "";

	if (bytes != NULL) {
		text = g_bytes_get_data(bytes, &size);
		reply->status = soup_message_get_status(call->message);
	}
	reply->body = g_malloc0(size + 1);
	if (size > 0)
		memcpy(reply->body, text, size);
	reply->body_bytes = size;
	reply->outcome = header(call->message, bytes, "X-Outcome");
	reply->reason = header(call->message, bytes, "X-Reason");
	if (bytes != NULL)
		g_bytes_unref(bytes);
	reply->done_us = bp_now_us();
	reply->done = true;
	g_object_unref(call->message);
	g_free(call);
}

static bp_reply_t *
send_message(
    bp_http_t *http, SoupMessage *message, const void *data, size_t size_bytes)
{
	bp_reply_t *reply = g_new0(bp_reply_t, 1);
	call_t *call = g_new0(call_t, 1);
	GBytes *bytes;

	call->reply = reply;
	call->message = message;
	if (data != NULL) {
		bytes = g_bytes_new(data, size_bytes);
		soup_message_set_request_body_from_bytes(
		    message, "application/octet-stream", bytes);
		g_bytes_unref(bytes);
	}
	reply->sent_us = bp_now_us();
	soup_session_send_and_read_async(
	    http->session, message, G_PRIORITY_DEFAULT, NULL, on_reply, call);
	return reply;
}

/* Sends a request; the reply is freed by the caller once it is done. */
bp_reply_t *
bp_http_send(
    bp_http_t *http, const char *method, const char *url, const char *body, ...)
{
	SoupMessage *message = soup_message_new(method, url);
	const char *name;
	va_list args;

	va_start(args, body);
	while ((name = va_arg(args, const char *)) != NULL)
		soup_message_headers_replace(
		    soup_message_get_request_headers(message), name,
		    va_arg(args, const char *));
	va_end(args);
	return send_message(
	    http, message, body, body != NULL ? strlen(body) : 0);
}

/* Posts binary data; an empty message has size 0. */
bp_reply_t *
bp_http_post(
    bp_http_t *http, const char *url, const void *data, size_t size_bytes)
{
	bp_reply_t *reply =
	    send_message(http, soup_message_new("POST", url), data, size_bytes);

	bp_http_wait(reply);
	return reply;
}

static gboolean
on_limit(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Waits for a reply; unlike bp_wait_until without a poll interval. */
bool
bp_http_wait(bp_reply_t *reply)
{
	bool elapsed = false;
	guint limit = g_timeout_add(BP_WAIT_LIMIT_MS, on_limit, &elapsed);

	while (!reply->done && !elapsed)
		g_main_context_iteration(NULL, TRUE);
	if (!elapsed)
		g_source_remove(limit);
	return reply->done;
}

/* Frees a reply that is done. NULL is allowed. */
void
bp_reply_free(bp_reply_t *reply)
{
	if (reply == NULL)
		return;
	g_free(reply->body);
	g_free(reply->outcome);
	g_free(reply->reason);
	g_free(reply);
}

/* Makes a call to an admin interface; the text is freed with g_free. */
char *
bp_http_call(
    bp_http_t *http, const char *method, const char *url, const char *body)
{
	bp_reply_t *reply = bp_http_send(http, method, url, body, NULL);
	char *text = NULL;

	if (!bp_http_wait(reply))
		return NULL;
	if (reply->status == SOUP_STATUS_OK)
		text = g_steal_pointer(&reply->body);
	bp_reply_free(reply);
	return text;
}
