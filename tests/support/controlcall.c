#include "support/controlcall.h"

#include <CUnit/CUnit.h>
#include <json-glib/json-glib.h>
#include <string.h>

void
controlcall_init(controlcall_t *call)
{
	controlcall_init_gateway(call, NULL);
}

void
controlcall_init_gateway(controlcall_t *call, bp_gateway_t *gateway)
{
	memset(call, 0, sizeof(*call));
	controlrig_init_gateway(&call->rig, gateway);
	call->client = bp_peer_client_new(bp_clock_system(), NULL);
}

static void
clear_answer(controlcall_t *call)
{
	g_clear_pointer(&call->message, g_free);
	g_clear_pointer(&call->body, g_free);
	g_clear_pointer(&call->arg, g_free);
}

void
controlcall_clear(controlcall_t *call)
{
	bp_peer_client_free(call->client);
	controlrig_clear(&call->rig);
	clear_answer(call);
}

static bool
is_json(const char *text)
{
	JsonNode *node = json_from_string(text, NULL);

	if (node == NULL)
		return false;
	json_node_unref(node);
	return true;
}

void
controlcall_done(
    const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	controlcall_t *call = data;

	call->done++;
	clear_answer(call);
	call->error = err != NULL ? (int)err->kind : answer->error;
	if (answer == NULL)
		return;
	call->outcome = (bp_outcome_t)answer->outcome;
	call->message = g_strdup(answer->message);
	call->body = answer->body.len == 0
	    ? g_strdup("")
	    : g_strndup((const char *)answer->body.data, answer->body.len);
	call->arg = g_strdup(answer->n_args > 0 ? answer->args[0] : "");
	if (answer->verb != BP__PEER__VERB__VERB_STATE &&
	    answer->verb != BP__PEER__VERB__VERB_TIMELINE &&
	    call->body[0] != '\0')
		CU_ASSERT_TRUE(is_json(call->body));
}

static bool
is_done(void *data)
{
	return ((controlcall_t *)data)->done > 0;
}

/* Sends a request with up to five arguments and waits for the answer. */
int
controlcall_ask(controlcall_t *call, Bp__Peer__Verb verb, const uint8_t *body,
    size_t body_bytes, char **args)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;

	request.verb = verb;
	request.args = args;
	request.n_args = args != NULL ? g_strv_length(args) : 0;
	request.body.data = (uint8_t *)body;
	request.body.len = body_bytes;
	call->done = 0;
	bp_peer_client_call(call->client, call->rig.address, &request,
	    CONTROLCALL_MS, controlcall_done, call);
	CU_ASSERT_TRUE(wait_until(is_done, call, CONTROLCALL_MS + 1000));
	return call->error;
}

int
controlcall_ask_for(controlcall_t *call, Bp__Peer__Verb verb, char *arg)
{
	char *args[] = {arg, NULL};

	return controlcall_ask(call, verb, NULL, 0, args);
}
