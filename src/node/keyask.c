#include "node/keyask.h"

/* A caller waits for the answer, which a live node gives in a few ms. */
#define ANSWER_TIMEOUT_MS 300

typedef struct {
	char *node;
	bp_keyask_done_t done;
	void *data;
} key_query_t;

static void
finish(key_query_t *query, bp_key_holder_t *holder)
{
	holder->node = query->node;
	query->done(holder, query->data);
	g_free(query->node);
	g_free(query);
}

static void
finish_not_known(gpointer data)
{
	bp_key_holder_t holder = {.outcome = BP_OUTCOME_NOT_KNOWN};

	finish(data, &holder);
}

static void
on_answer(const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	bp_key_holder_t holder = {.outcome = BP_OUTCOME_NOT_KNOWN};

	if (err != NULL || answer->error != BP_OK || answer->n_args != 2) {
		finish_not_known(data);
		return;
	}
	if (answer->outcome == BP_OUTCOME_RAN ||
	    answer->outcome == BP_OUTCOME_NOT_RUN)
		holder.outcome = (bp_outcome_t)answer->outcome;
	holder.http_status =
	    (uint32_t)g_ascii_strtoull(answer->args[0], NULL, 10);
	holder.in_flight = answer->args[1][0] == '1';
	finish(data, &holder);
}

/* See the header. */
void
bp_keyask(bp_peer_client_t *client, const bp_state_t *state, const char *node,
    const char *full_key, bp_keyask_done_t done, void *data)
{
	const bp_node_t *known = bp_state_node(state, node);
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[] = {(char *)full_key, BP_KEYASK_OWN};
	key_query_t *query = g_new0(key_query_t, 1);

	query->node = g_strdup(node);
	query->done = done;
	query->data = data;
	if (known == NULL || known->address[0] == '\0') {
		finish_not_known(query);
		return;
	}
	request.verb = BP__PEER__VERB__VERB_KEY_OUTCOME;
	request.args = args;
	request.n_args = G_N_ELEMENTS(args);
	bp_peer_client_call_full(client, known->address, &request,
	    ANSWER_TIMEOUT_MS, on_answer, query, finish_not_known);
}
