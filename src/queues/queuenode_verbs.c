#include "queues/queuenode_private.h"

#include <string.h>

/* Timeout of a forwarded why request, which an owner answers from memory. */
#define WHY_TIMEOUT_MS 2000
/* Arguments of a heartbeat: address and zone of the sender, shard, kind of the
 * sender's membership, its processors in thousandths. */
#define HEARTBEAT_ARGS 5
/* Shortest interval at which nodes are asked to probe the store: the partition
 * handles one append at a time, and it may be slow already. */
#define PROBE_INTERVAL_MS 300
/* Largest size of the timeline in an answer, which is less than a frame's. */
#define TIMELINE_BYTES_MAX (512 * 1024)

static void
answer_text(
    bp_peer_request_t *request, int kind, const char *message, const char *body)
{
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;

	answer.error = kind;
	answer.outcome = bp_error_info(kind)->outcome;
	answer.message = (char *)message;
	answer.body.data = (uint8_t *)body;
	answer.body.len = body != NULL ? strlen(body) : 0;
	bp_peer_request_answer(request, &answer);
}

static void
on_why_answer(const Bp__Peer__Frame *frame, const bp_error_t *err, void *data)
{
	bp_peer_request_t *request = data;

	if (frame != NULL)
		bp_peer_request_answer(request, frame);
	else
		answer_text(request, err->kind, err->message, NULL);
}

static void
on_why_dropped(gpointer data)
{
	answer_text(data, BP_EUNKNOWN, "the node is stopping", NULL);
}

/* Forwards a why request to the owner of the shard, as any node accepts it. */
static void
forward_why(bp_queuenode_t *node, bp_peer_request_t *request, const char *owner)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	Bp__Peer__Frame copy = BP__PEER__FRAME__INIT;

	copy.verb = frame->verb;
	copy.args = frame->args;
	copy.n_args = frame->n_args;
	bp_peer_client_call_full(node->client, owner, &copy, WHY_TIMEOUT_MS,
	    on_why_answer, request, on_why_dropped);
}

static void
serve_why(bp_queuenode_t *node, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	uint32_t number;
	const char *owner;
	char *json;
	char *text;

	if (frame->n_args < 1) {
		answer_text(request, BP_EINVALID, "a job ID is required", NULL);
		return;
	}
	number = bp_sharding_shard_of_job(
	    frame->args[0], bp_sharding_count(node->sharding));
	owner = bp_membership_owner(node->membership, number);
	if (bp_owned_shards_by_number(node->shards)[number] == NULL) {
		if (owner == NULL ||
		    strcmp(owner, node->settings->listen.control) == 0)
			answer_text(request, BP_ESTATE,
			    "the owner of the job's shard is changing", NULL);
		else
			forward_why(node, request, owner);
		return;
	}
	json = bp_shard_why(
	    bp_owned_shards_by_number(node->shards)[number], frame->args[0]);
	text = bp_shard_why_text(
	    bp_owned_shards_by_number(node->shards)[number], frame->args[0]);
	if (text == NULL)
		answer_text(request, BP_ENOTFOUND, "no such job", NULL);
	else
		answer_text(request, BP_OK, text, json);
	g_free(json);
	g_free(text);
}

static void
serve_status(bp_queuenode_t *node, bp_peer_request_t *request)
{
	GString *text = g_string_new("{\"shards\":[");
	uint32_t i;
	bool first = true;

	for (i = 0; i < bp_sharding_count(node->sharding); i++) {
		char *part;

		if (bp_owned_shards_by_number(node->shards)[i] == NULL)
			continue;
		part = bp_shard_describe(
		    bp_owned_shards_by_number(node->shards)[i]);
		g_string_append_printf(text, "%s%s", first ? "" : ",", part);
		first = false;
		g_free(part);
	}
	g_string_append_printf(text, "],\"version\":%" G_GUINT64_FORMAT "}",
	    node->catalog != NULL ? node->catalog->version : 0);
	answer_text(request, BP_OK, text->str, text->str);
	g_string_free(text, TRUE);
}

static void
serve_timeline(bp_queuenode_t *node, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	bp_timeline_filter_t filter;
	bp_error_t err = {BP_OK, ""};
	char *lines;

	if (bp_timeline_filter_parse(
		&filter, frame->args, frame->n_args, &err) != BP_OK) {
		answer_text(request, err.kind, err.message, NULL);
		return;
	}
	lines = bp_timeline_lines(node->timeline, &filter, TIMELINE_BYTES_MAX);
	answer_text(request, BP_OK, "", lines);
	g_free(lines);
}

/*
 * Returns whether this node does an owner's work for a shard. One that takes a
 * shard over, or has lost the store, may have a successor that needs the
 * sender's heartbeats.
 */
static bool
owns(const bp_queuenode_t *node, uint64_t number)
{
	const bp_shard_t *shard =
	    bp_owned_shards_by_number(node->shards)[number];

	return shard != NULL && bp_shard_ready(shard) &&
	    bp_shard_membership_valid(shard);
}

/* Returns whether the sender of a heartbeat is to find out if the store answers
 * its appends, as those of this node have no answer. */
static bool
needs_probe(bp_queuenode_t *node, uint64_t number)
{
	const bp_shard_t *shard =
	    bp_owned_shards_by_number(node->shards)[number];
	int64_t now_ms = bp_clock_mono_ms(node->clock);

	if (shard == NULL || !bp_shard_store_unanswered(shard) ||
	    now_ms - node->probe_asked_ms < PROBE_INTERVAL_MS)
		return false;
	node->probe_asked_ms = now_ms;
	return true;
}

static void
serve_heartbeat(bp_queuenode_t *node, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	char *args[] = {BP_QUEUENODE_OWNS_NOT, BP_QUEUENODE_UNANSWERED};
	bool storing;
	bool preferred;
	uint64_t shard = 0;
	uint64_t processor_milli = 0;

	if (frame->n_args != HEARTBEAT_ARGS ||
	    !g_ascii_string_to_unsigned(frame->args[2], 10, 0,
		bp_sharding_count(node->sharding) - 1, &shard, NULL) ||
	    !g_ascii_string_to_unsigned(
		frame->args[4], 10, 1, UINT32_MAX, &processor_milli, NULL)) {
		answer_text(request, BP_EINVALID,
		    "a hello takes address, zone, shard, membership kind and "
		    "processors",
		    NULL);
		return;
	}
	bp_order_router_heartbeat(node->order_router, frame->args[0],
	    frame->args[1], (uint32_t)processor_milli);
	storing = strcmp(frame->args[3], BP_QUEUENODE_STORING) == 0;
	preferred =
	    storing || strcmp(frame->args[3], BP_QUEUENODE_PREFERRED) == 0;
	if (storing)
		node->storing_heartbeat_ms = bp_clock_mono_ms(node->clock);
	if (preferred) {
		node->preferred_heartbeat_ms = bp_clock_mono_ms(node->clock);
		bp_membership_yield_to_preferred(node->membership);
	}
	answer.outcome = bp_error_info(BP_OK)->outcome;
	answer.args = args;
	if (owns(node, shard)) {
		args[0] = BP_QUEUENODE_OWNS;
		answer.n_args = 1;
	}
	if (preferred && needs_probe(node, shard))
		answer.n_args = G_N_ELEMENTS(args);
	bp_peer_request_answer(request, &answer);
}

/* See the header. */
void
bp_queuenode_serve(bp_peer_request_t *request, void *data)
{
	bp_queuenode_t *node = data;
	char *text;

	if (node->shards == NULL) {
		answer_text(request, BP_ESTATE, "starting", NULL);
		return;
	}
	switch (bp_peer_request_frame(request)->verb) {
	case BP__PEER__VERB__VERB_QUEUE_SUBMIT:
	case BP__PEER__VERB__VERB_QUEUE_STATUS:
	case BP__PEER__VERB__VERB_QUEUE_CANCEL:
	case BP__PEER__VERB__VERB_QUEUE_COUNT:
		bp_job_router_serve(node->job_router, request);
		return;
	case BP__PEER__VERB__VERB_QUEUE_ORDER:
		bp_order_proxy_serve(node->order_proxy, request);
		return;
	case BP__PEER__VERB__VERB_QUEUE_HELLO:
		serve_heartbeat(node, request);
		return;
	case BP__PEER__VERB__VERB_QUEUE_OWNER:
		bp_queuenode_serve_owner(node, request);
		return;
	case BP__PEER__VERB__VERB_WHY:
		serve_why(node, request);
		return;
	case BP__PEER__VERB__VERB_STATUS:
		serve_status(node, request);
		return;
	case BP__PEER__VERB__VERB_TIMELINE:
		serve_timeline(node, request);
		return;
	case BP__PEER__VERB__VERB_METRICS:
		text = bp_metrics_text(node->metrics);
		answer_text(request, BP_OK, "", text);
		g_free(text);
		return;
	default:
		answer_text(request, BP_EINVALID,
		    "a node that runs the service queues does not support this "
		    "verb",
		    NULL);
		return;
	}
}
