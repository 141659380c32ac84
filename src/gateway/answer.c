#include "gateway/exchange.h"
#include "gateway/headers.h"

#include <json-glib/json-glib.h>
#include <stdarg.h>
#include <string.h>

#define HEADER_OUTCOME "X-Outcome"
#define HEADER_REASON "X-Reason"
#define RETRY_AFTER_S "1"

/* Replaces control characters, since a line break would end the header. */
static char *
header_value(const char *name, const char *text)
{
	char *value = g_strdup_printf("%s: %s", name, text);
	char *p;

	for (p = value; *p != '\0'; p++) {
		if (g_ascii_iscntrl(*p))
			*p = ' ';
	}
	return value;
}

static void
set_outcome(SoupServerMessage *message, bp_outcome_t outcome, const char *name,
    const char *text)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);
	char *reason = header_value(name, text);

	soup_message_headers_replace(
	    headers, HEADER_OUTCOME, bp_outcome_name(outcome));
	soup_message_headers_replace(headers, HEADER_REASON, reason);
	g_free(reason);
}

/*
 * Sets the headers of the responses that libsoup itself sends to requests that
 * it cannot parse. Any response of the gateway replaces them.
 */
void
bp_answer_set_default(SoupServerMessage *message)
{
	set_outcome(message, BP_OUTCOME_NOT_RUN,
	    bp_error_answer(BP_EINVALID)->name,
	    "the request is not valid HTTP/1.1");
}

static void
add_member(JsonBuilder *builder, const char *name, const char *value)
{
	char *valid = g_utf8_make_valid(value, -1);

	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, valid);
	g_free(valid);
}

static char *
error_body(const bp_error_answer_t *error_answer, bp_outcome_t outcome,
    const char *text, const char *id)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *body;

	json_builder_begin_object(builder);
	add_member(builder, "error", error_answer->name);
	add_member(builder, "outcome", bp_outcome_name(outcome));
	add_member(builder, "reason", text);
	add_member(builder, "advice", error_answer->advice);
	add_member(builder, "request_id", id);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	body = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return body;
}

static void
count_error(bp_exchange_t *exchange, int kind)
{
	bp_gateway_counters_t *counters = &exchange->gateway->counters;

	switch (kind) {
	case BP_EINVALID:
		counters->refused_invalid++;
		break;
	case BP_ETOOLARGE:
		counters->refused_too_large++;
		break;
	case BP_EDRAINING:
		counters->refused_draining++;
		break;
	case BP_ENOTFOUND:
	case BP_ENOCAPACITY:
		counters->refused_no_endpoint++;
		break;
	case BP_ELOGDOWN:
		counters->refused_log_unavailable++;
		break;
	case BP_EEXPIRED:
		counters->refused_key_expired++;
		break;
	case BP_ECONFLICT:
		counters->key_conflicts++;
		break;
	case BP_EDEADLINE:
		counters->deadline_exceeded++;
		break;
	case BP_EOVERLOAD:
		if (exchange->rank == 0)
			counters->shed_urgent++;
		else if (exchange->rank == 1)
			counters->shed_service++;
		else
			counters->shed_batch++;
		break;
	default:
		break;
	}
}

static const char *
event_kind(int kind, bp_outcome_t outcome)
{
	if (outcome == BP_OUTCOME_NOT_KNOWN)
		return "request_not_known";
	return kind == BP_EOVERLOAD ? "request_shed" : "request_refused";
}

static void
record_key_outcome(bp_exchange_t *exchange, bp_outcome_t outcome, guint status)
{
	if (exchange->claimed)
		bp_keytable_end(exchange->gateway->keys,
		    exchange->request.service, exchange->request.key, outcome,
		    status);
}

/* Echoes the caller's own request id, if any, since it may compare it. */
static void
set_common_headers(bp_exchange_t *exchange)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(exchange->message);
	const char *caller_id = soup_message_headers_get_list(
	    soup_server_message_get_request_headers(exchange->message),
	    BP_HEADER_REQUEST_ID);

	soup_message_headers_replace(headers, BP_HEADER_REQUEST_ID,
	    caller_id != NULL ? caller_id : exchange->id);
	if (exchange->gateway->draining)
		soup_message_headers_replace(headers, "Connection", "close");
}

/* Lets libsoup write the response, which it defers until the body is read. */
static void
send_response(bp_exchange_t *exchange)
{
	exchange->answered = true;
	if (exchange->body_read)
		soup_server_message_unpause(exchange->message);
}

/*
 * Responds with the status and advice of an error kind, an outcome and a
 * reason. The outcome must be proven; that of bp_exchange_outcome always is.
 */
void
bp_answer_error(bp_exchange_t *exchange, int kind, bp_outcome_t outcome,
    const char *format, ...)
{
	const bp_error_answer_t *error_answer = bp_error_answer(kind);
	SoupServerMessage *message = exchange->message;
	va_list args;
	char *text;
	char *body;

	if (exchange->answered || exchange->gateway == NULL)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	body = error_body(error_answer, outcome, text, exchange->id);
	set_common_headers(exchange);
	set_outcome(message, outcome, error_answer->name, text);
	if (error_answer->http_status == SOUP_STATUS_SERVICE_UNAVAILABLE)
		soup_message_headers_replace(
		    soup_server_message_get_response_headers(message),
		    "Retry-After", RETRY_AFTER_S);
	soup_server_message_set_status(
	    message, error_answer->http_status, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_TAKE, body, strlen(body));
	count_error(exchange, kind);
	record_key_outcome(exchange, outcome, error_answer->http_status);
	bp_log(exchange->gateway->options.logger, BP_LOG_INFO, "gateway",
	    "request not answered by an executor", "request", exchange->id,
	    "error", error_answer->name, "outcome", bp_outcome_name(outcome),
	    "reason", text, NULL);
	bp_exchange_event(exchange, event_kind(kind, outcome),
	    "%s, outcome %s: %s", error_answer->name, bp_outcome_name(outcome),
	    text);
	g_free(text);
	send_response(exchange);
}

static void
free_body(gpointer data)
{
	g_byte_array_unref(data);
}

static void
set_body(SoupServerMessage *message, const bp_attempt_answer_t *response)
{
	SoupMessageBody *body = soup_server_message_get_response_body(message);
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);
	GBytes *bytes;

	/* The length of a HEAD response is that of the omitted body. */
	if (strcmp(soup_server_message_get_method(message), "HEAD") == 0) {
		if (soup_message_headers_get_encoding(response->headers) ==
		    SOUP_ENCODING_CONTENT_LENGTH)
			soup_message_headers_set_content_length(headers,
			    soup_message_headers_get_content_length(
				response->headers));
		return;
	}
	bytes = g_bytes_new_with_free_func(response->body->data,
	    response->body->len, free_body, g_byte_array_ref(response->body));
	soup_message_body_append_bytes(body, bytes);
	g_bytes_unref(bytes);
}

/* Forwards the complete response of an executor to the caller. */
void
bp_answer_pass(bp_exchange_t *exchange, const bp_attempt_answer_t *response)
{
	SoupServerMessage *message = exchange->message;
	SoupMessageHeaders *headers;

	if (exchange->answered || exchange->gateway == NULL)
		return;
	headers = soup_server_message_get_response_headers(message);
	soup_message_headers_remove(headers, HEADER_OUTCOME);
	soup_message_headers_remove(headers, HEADER_REASON);
	bp_headers_copy(headers, response->headers);
	set_common_headers(exchange);
	soup_server_message_set_status(message, response->status, NULL);
	set_body(message, response);
	exchange->gateway->counters.passed++;
	record_key_outcome(exchange, BP_OUTCOME_RAN, response->status);
	send_response(exchange);
}

/*
 * Responds to the health check of the platform's load balancer: 503 while the
 * gateway drains, and until its endpoints are known.
 */
void
bp_answer_health(SoupServerMessage *message, const char *not_ready_reason)
{
	const bp_error_answer_t *error_answer =
	    bp_error_answer(not_ready_reason != NULL ? BP_EDRAINING : BP_OK);
	const char *text = not_ready_reason != NULL ? "not ready\n" : "ok\n";

	set_outcome(message,
	    not_ready_reason != NULL ? BP_OUTCOME_NOT_RUN : BP_OUTCOME_RAN,
	    error_answer->name,
	    not_ready_reason != NULL ? not_ready_reason
				     : "this gateway takes requests");
	if (not_ready_reason != NULL)
		soup_message_headers_replace(
		    soup_server_message_get_response_headers(message),
		    "Connection", "close");
	soup_server_message_set_status(
	    message, error_answer->http_status, NULL);
	soup_server_message_set_response(
	    message, "text/plain", SOUP_MEMORY_STATIC, text, strlen(text));
}
