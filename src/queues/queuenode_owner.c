#include "queues/queuenode_private.h"

#include <stdio.h>
#include <string.h>

/* Time for which an earlier owner is waited for; it is asked again. */
#define OWNER_QUESTION_TIMEOUT_MS 1000
/* The clocks of two nodes may differ so much in rate. */
#define CLOCK_DRIFT_PERMILLE 20
#define PERMILLE 1000

/* A question to an earlier owner of a shard. */
typedef struct {
	bp_queuenode_t *node;
	char *address;
	uint32_t shard;
	uint64_t epoch; /* of the later owner, which asks */
} owner_question_t;

static void
free_question(gpointer data)
{
	owner_question_t *question = data;

	g_free(question->address);
	g_free(question);
}

static void
on_owner_answer(
    const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	owner_question_t *question = data;
	bp_queuenode_t *node = question->node;
	uint64_t for_ms = 0;

	(void)err;
	if (answer != NULL && answer->error == BP_OK && answer->n_args == 2 &&
	    strcmp(answer->args[0], BP_QUEUENODE_STOPPED) == 0 &&
	    g_ascii_string_to_unsigned(
		answer->args[1], 10, 0, UINT32_MAX, &for_ms, NULL))
		bp_owned_shards_owner_stopped(node->shards, question->address,
		    question->shard, question->epoch,
		    bp_clock_mono_ms(node->clock) -
			(int64_t)for_ms * (PERMILLE - CLOCK_DRIFT_PERMILLE) /
			    PERMILLE);
	free_question(question);
}

/* See the header. */
void
bp_queuenode_ask_owner(
    const char *address, uint32_t number, uint64_t epoch, void *data)
{
	bp_queuenode_t *node = data;
	owner_question_t *question = g_new0(owner_question_t, 1);
	Bp__Peer__Frame frame = BP__PEER__FRAME__INIT;
	char shard[16];
	char *args[] = {shard};

	question->node = node;
	question->address = g_strdup(address);
	question->shard = number;
	question->epoch = epoch;
	snprintf(shard, sizeof(shard), "%u", number);
	frame.verb = BP__PEER__VERB__VERB_QUEUE_OWNER;
	frame.args = args;
	frame.n_args = G_N_ELEMENTS(args);
	bp_peer_client_call_full(node->client, address, &frame,
	    OWNER_QUESTION_TIMEOUT_MS, on_owner_answer, question,
	    free_question);
}

/* See the header. */
void
bp_queuenode_serve_owner(bp_queuenode_t *node, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	char text[32];
	char *args[] = {BP_QUEUENODE_OWNS, text};
	uint64_t shard = 0;
	int64_t stopped_ms = 0;

	if (frame->n_args != 1 ||
	    !g_ascii_string_to_unsigned(frame->args[0], 10, 0,
		bp_sharding_count(node->sharding) - 1, &shard, NULL)) {
		answer.error = BP_EINVALID;
		answer.outcome = bp_error_info(BP_EINVALID)->outcome;
		answer.message = (char *)"a shard is required";
		bp_peer_request_answer(request, &answer);
		return;
	}
	answer.outcome = bp_error_info(BP_OK)->outcome;
	answer.args = args;
	answer.n_args = 1;
	if (bp_owned_shards_stopped(
		node->shards, (uint32_t)shard, &stopped_ms)) {
		args[0] = BP_QUEUENODE_STOPPED;
		snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		    bp_clock_mono_ms(node->clock) - stopped_ms);
		answer.n_args = G_N_ELEMENTS(args);
	}
	bp_peer_request_answer(request, &answer);
}
