#include "node/control_private.h"

#include "gateway/request.h"
#include "node/keyask.h"

#include <string.h>

/* A key query that another node answers. */
typedef struct {
	bp_peer_request_t *request;
	char *full_key;
} key_query_t;

static char *
describe(bool claimed, const bp_key_holder_t *holder)
{
	if (!claimed && holder->outcome == BP_OUTCOME_NOT_RUN)
		return g_strdup("the key was never claimed and is too old to "
				"be claimed any more");
	if (!claimed)
		return g_strdup("the key is not claimed in the log as read so "
				"far, but may still be claimed");
	if (holder->http_status != 0)
		return g_strdup_printf(
		    "the key was claimed by node %s, which answered its "
		    "request with status %u",
		    holder->node, holder->http_status);
	if (holder->in_flight)
		return g_strdup_printf("the key was claimed by node %s, where "
				       "its request is in flight",
		    holder->node);
	if (holder->outcome != BP_OUTCOME_NOT_KNOWN)
		return g_strdup_printf("the key was claimed by node %s, whose "
				       "request ended without an answer",
		    holder->node);
	return g_strdup_printf("the key was claimed by node %s, which sent "
			       "its request at most once and does not "
			       "report the outcome",
	    holder->node);
}

static char *
answer_body(const char *full_key, bool claimed, const bp_key_holder_t *holder)
{
	JsonBuilder *json = json_builder_new();

	json_builder_begin_object(json);
	bp_control_put_text(json, "key", full_key);
	bp_control_put_flag(json, "claimed", claimed);
	bp_control_put_text(json, "node", claimed ? holder->node : "");
	bp_control_put_text(json, "outcome", bp_outcome_name(holder->outcome));
	bp_control_put_number(json, "http_status", holder->http_status);
	bp_control_put_flag(json, "in_flight", holder->in_flight);
	return bp_control_finish_json(json);
}

static void
reply(bp_peer_request_t *request, const char *full_key, bool claimed,
    const bp_key_holder_t *holder)
{
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	char *text = describe(claimed, holder);
	char *message = g_strdup_printf(
	    "%s\noutcome: %s", text, bp_outcome_name(holder->outcome));
	char *body = answer_body(full_key, claimed, holder);
	char *status = g_strdup_printf("%u", holder->http_status);
	char *args[] = {status, holder->in_flight ? "1" : "0"};

	answer.outcome = holder->outcome;
	answer.message = message;
	answer.body.data = (uint8_t *)body;
	answer.body.len = strlen(body);
	answer.args = args;
	answer.n_args = G_N_ELEMENTS(args);
	bp_peer_request_answer(request, &answer);
	g_free(status);
	g_free(body);
	g_free(message);
	g_free(text);
}

static void
on_holder(const bp_key_holder_t *holder, void *data)
{
	key_query_t *query = data;

	reply(query->request, query->full_key, true, holder);
	g_free(query->full_key);
	g_free(query);
}

static void
ask_holder(bp_control_t *control, bp_peer_request_t *request,
    const char *full_key, const char *node)
{
	key_query_t *query = g_new0(key_query_t, 1);

	query->request = request;
	query->full_key = g_strdup(full_key);
	bp_keyask(control->client, bp_control_state(control), node, full_key,
	    on_holder, query);
}

/* Only the process that claimed the key has a record of its request. */
static void
fill_own(const bp_control_t *control, const char *service, const char *key,
    uint64_t incarnation, bp_key_holder_t *holder)
{
	bp_key_holder_t own;

	if (incarnation != control->options.incarnation ||
	    control->options.gateway == NULL ||
	    !bp_gateway_key_outcome(
		control->options.gateway, service, key, &own))
		return;
	own.node = holder->node;
	*holder = own;
}

static void
reply_claimed(bp_control_t *control, bp_peer_request_t *request,
    const char *service, const char *key)
{
	const char *full_key = bp_control_arg(request, 0);
	bool own_only = strcmp(bp_control_arg(request, 1), BP_KEYASK_OWN) == 0;
	bp_key_holder_t holder = {.outcome = BP_OUTCOME_NOT_KNOWN};
	uint64_t incarnation = 0;

	(void)bp_state_key_claimed(bp_control_state(control), full_key,
	    &holder.node, &incarnation, NULL);
	if (own_only ||
	    strcmp(holder.node, control->options.settings->node.name) == 0) {
		fill_own(control, service, key, incarnation, &holder);
		reply(request, full_key, true, &holder);
	} else {
		ask_holder(control, request, full_key, holder.node);
	}
}

static bool
is_state_known(const bp_control_t *control)
{
	bp_follower_status_t status =
	    bp_follower_status(control->options.follower);

	return status == BP_FOLLOWER_CURRENT || status == BP_FOLLOWER_LOG_DOWN;
}

/*
 * VERB_KEY_OUTCOME: args service/key and, from another node, BP_KEYASK_OWN.
 * The outcome is that of the request with the key, so an error in the query
 * itself must not report that the request was not run.
 */
void
bp_control_key_outcome(bp_control_t *control, bp_peer_request_t *request)
{
	const bp_state_t *state = bp_control_state(control);
	bp_key_holder_t holder = {.outcome = BP_OUTCOME_NOT_KNOWN};
	const char *full_key = bp_control_arg(request, 0);
	const char *slash = strchr(full_key, '/');
	char *service = NULL;
	int64_t issued_s = 0;
	bp_error_t err;

	if (slash == NULL) {
		(void)bp_error_set(
		    &err, BP_EINVALID, "the argument is not service/key");
		bp_control_reply_error(request, &err, BP_OUTCOME_NOT_KNOWN);
	} else if (bp_request_parse_key(&issued_s, slash + 1, &err) != BP_OK) {
		bp_control_reply_error(request, &err, BP_OUTCOME_NOT_KNOWN);
	} else if (!is_state_known(control)) {
		(void)bp_error_set(&err, BP_ESTATE,
		    "this node does not know the state of the log");
		bp_control_reply_error(request, &err, BP_OUTCOME_NOT_KNOWN);
	} else if (bp_state_key_claimed(state, full_key, NULL, NULL, NULL)) {
		service = g_strndup(full_key, (gsize)(slash - full_key));
		reply_claimed(control, request, service, slash + 1);
	} else {
		if (bp_state_key_never_claimed(
			state, full_key, (uint64_t)issued_s))
			holder.outcome = BP_OUTCOME_NOT_RUN;
		reply(request, full_key, false, &holder);
	}
	g_free(service);
}
