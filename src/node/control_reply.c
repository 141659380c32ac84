#include "node/control_private.h"

#include <stdarg.h>
#include <string.h>

#define MS_PER_S 1000

/* Answers a request. body may be NULL. */
void
bp_control_reply(bp_peer_request_t *request, int error, bp_outcome_t outcome,
    const char *message, const char *body)
{
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;

	answer.error = error;
	answer.outcome = outcome;
	answer.message = (char *)message;
	if (body != NULL) {
		answer.body.data = (uint8_t *)body;
		answer.body.len = strlen(body);
	}
	bp_peer_request_answer(request, &answer);
}

/* Answers with success and one argument. */
void
bp_control_reply_arg(bp_peer_request_t *request, const char *message,
    const char *body, const char *arg)
{
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	char *args[] = {(char *)arg};

	answer.outcome = BP_OUTCOME_RAN;
	answer.message = (char *)message;
	answer.body.data = (uint8_t *)body;
	answer.body.len = strlen(body);
	answer.args = args;
	answer.n_args = G_N_ELEMENTS(args);
	bp_peer_request_answer(request, &answer);
}

/* Refuses a request that had no effect. */
void
bp_control_refuse(
    bp_peer_request_t *request, int error, const char *format, ...)
{
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	bp_control_reply(request, error, BP_OUTCOME_NOT_RUN, message, NULL);
	g_free(message);
}

/* Answers with an error and the outcome of the request as far as known. */
void
bp_control_reply_error(
    bp_peer_request_t *request, const bp_error_t *err, bp_outcome_t outcome)
{
	bp_control_reply(request, err->kind, outcome, err->message, NULL);
}

/* See the header. A log outage does not count: the last state is known. */
bool
bp_control_refuse_unknown_state(
    const bp_control_t *control, bp_peer_request_t *request)
{
	switch (bp_follower_status(control->options.follower)) {
	case BP_FOLLOWER_CURRENT:
	case BP_FOLLOWER_LOG_DOWN:
		return false;
	case BP_FOLLOWER_VERSION_UNKNOWN:
		bp_control_refuse(request, BP_EVERSION,
		    "this node does not understand a record of the log");
		return true;
	case BP_FOLLOWER_STARTING:
	case BP_FOLLOWER_STATE_UNKNOWN:
		break;
	}
	bp_control_refuse(request, BP_ESTATE,
	    "this node has not read the log up to its head yet");
	return true;
}

/* Returns an argument of the request, or "" when it is missing. */
const char *
bp_control_arg(const bp_peer_request_t *request, size_t index)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);

	return index < frame->n_args ? frame->args[index] : "";
}

/* Returns the body as text without NUL bytes, or NULL when it has some. */
char *
bp_control_body(const bp_peer_request_t *request)
{
	const ProtobufCBinaryData *body = &bp_peer_request_frame(request)->body;

	if (body->len == 0)
		return g_strdup("");
	if (memchr(body->data, '\0', body->len) != NULL)
		return NULL;
	return g_strndup((const char *)body->data, body->len);
}

/* Appends an entry; done is called once, with a bp_control_call_t. */
void
bp_control_append(bp_control_t *control, bp_peer_request_t *request,
    const Bp__Log__Entry *entry, const char *name, const char *text,
    bp_append_done_t done)
{
	bp_control_call_t *call = g_new0(bp_control_call_t, 1);
	bp_error_t err;

	call->control = control;
	call->request = request;
	call->name = g_strdup(name);
	call->text = g_strdup(text);
	if (bp_appender_add(control->options.appender, entry,
		BP_CONTROL_GIVE_UP_MS, done, call, &err) == BP_OK)
		return;
	bp_control_reply_error(request, &err, BP_OUTCOME_NOT_RUN);
	bp_control_call_free(call);
}

/* Frees a call; its request was answered before. */
void
bp_control_call_free(bp_control_call_t *call)
{
	g_free(call->name);
	g_free(call->text);
	g_free(call);
}

/*
 * See the header. An entry that was read back as without effect, or that was
 * never sent, did not run. One that was sent but not read back may still take
 * effect.
 */
bool
bp_control_failed(
    bp_control_call_t *call, const bp_applied_t *applied, const bp_error_t *err)
{
	if (applied != NULL && applied->kind == BP_OK)
		return false;
	if (applied != NULL)
		bp_control_reply(call->request, applied->kind,
		    BP_OUTCOME_NOT_RUN, applied->message, NULL);
	else
		bp_control_reply_error(call->request, err,
		    err->kind == BP_ELOGDOWN ? BP_OUTCOME_NOT_RUN
					     : BP_OUTCOME_NOT_KNOWN);
	bp_control_call_free(call);
	return true;
}

/* Adds a text member; NULL counts as "". */
void
bp_control_put_text(JsonBuilder *json, const char *name, const char *value)
{
	json_builder_set_member_name(json, name);
	json_builder_add_string_value(json, value != NULL ? value : "");
}

/* Adds a number member. */
void
bp_control_put_number(JsonBuilder *json, const char *name, int64_t value)
{
	json_builder_set_member_name(json, name);
	json_builder_add_int_value(json, value);
}

/* Adds a boolean member. */
void
bp_control_put_flag(JsonBuilder *json, const char *name, bool value)
{
	json_builder_set_member_name(json, name);
	json_builder_add_boolean_value(json, value);
}

/* Adds an array of texts. */
void
bp_control_put_texts(
    JsonBuilder *json, const char *name, const GPtrArray *values)
{
	guint i;

	json_builder_set_member_name(json, name);
	json_builder_begin_array(json);
	for (i = 0; i < values->len; i++)
		json_builder_add_string_value(
		    json, g_ptr_array_index(values, i));
	json_builder_end_array(json);
}

/* See the header. Free the result with g_free. */
char *
bp_control_finish_json(JsonBuilder *json)
{
	JsonNode *root;
	char *text;

	json_builder_end_object(json);
	root = json_builder_get_root(json);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(json);
	return text;
}

/* Appends a wall time in UTC. */
void
bp_control_append_time(GString *text, int64_t wall_ms)
{
	GDateTime *at = g_date_time_new_from_unix_utc(wall_ms / MS_PER_S);
	char *formatted = at != NULL
	    ? g_date_time_format(at, "%Y-%m-%dT%H:%M:%SZ")
	    : g_strdup("an unknown time");

	g_string_append(text, formatted);
	g_free(formatted);
	if (at != NULL)
		g_date_time_unref(at);
}
