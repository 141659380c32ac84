#include "queues/jobrouter.h"

#include "bulrushpost/error.h"
#include "bulrushpost/message.h"
#include "queues/sharding.h"

#include <stdio.h>

/* The second argument, the time after which to retry, is left out when it is
 * 0. */
static void
answer_with_retry(bp_peer_request_t *request, int kind, uint64_t number,
    uint32_t retry_after_ms, const char *reason)
{
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	char text[32];
	char retry_text[32];
	char *args[] = {text, retry_text};

	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, number);
	snprintf(retry_text, sizeof(retry_text), "%u", retry_after_ms);
	answer.error = kind;
	answer.outcome = bp_error_info(kind)->outcome;
	answer.message = (char *)reason;
	answer.args = args;
	answer.n_args = retry_after_ms > 0 ? 2 : 1;
	bp_peer_request_answer(request, &answer);
}

static void
answer_frame(
    bp_peer_request_t *request, int kind, uint64_t number, const char *reason)
{
	answer_with_retry(request, kind, number, 0, reason);
}

static void
on_served(const bp_shard_answer_t *answer, void *data)
{
	answer_with_retry(data, answer->kind, answer->state,
	    answer->retry_after_ms, answer->reason);
}

static void
serve_submit(const bp_job_router_options_t *options, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	Bp__Work__Job *job =
	    bp__work__job__unpack(NULL, frame->body.len, frame->body.data);
	bp_shard_t *shard;

	if (job == NULL) {
		answer_frame(request, BP_EINVALID, 0, "cannot decode the job");
		return;
	}
	shard =
	    options->owned[bp_sharding_shard_of_job(job->id, options->shards)];
	if (shard == NULL) {
		answer_frame(request, BP_ESTATE, 0, "not the owner");
		bp__work__job__free_unpacked(job, NULL);
		return;
	}
	bp_shard_submit(shard, job, on_served, request);
}

/* Returns the job or queue that a call is for, or NULL if it cannot be decoded.
 * Nodes of earlier releases send its name and ID only. */
static Bp__Work__JobRef *
read_ref(const Bp__Peer__Frame *frame)
{
	Bp__Work__JobRef ref = BP__WORK__JOB_REF__INIT;

	if (frame->body.len > 0)
		return bp__work__job_ref__unpack(
		    NULL, frame->body.len, frame->body.data);
	ref.queue = frame->args[0];
	if (frame->verb != BP__PEER__VERB__VERB_QUEUE_COUNT)
		ref.id = frame->args[1];
	return bp_message_copy(&ref.base);
}

static void
serve_count(const bp_job_router_options_t *options, bp_peer_request_t *request,
    const Bp__Work__JobRef *queue)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	uint64_t number = g_ascii_strtoull(frame->args[1], NULL, 10);
	bp_shard_t *shard =
	    number < options->shards ? options->owned[number] : NULL;

	if (shard == NULL || !bp_shard_ready(shard))
		answer_frame(request, BP_ESTATE, 0, "not the owner");
	else
		answer_frame(
		    request, BP_OK, bp_shard_count_waiting(shard, queue), "");
}

/* Serves a call on a known or unknown job. */
static void
serve_job(const bp_job_router_options_t *options, bp_peer_request_t *request,
    const Bp__Work__JobRef *call)
{
	bp_shard_t *shard =
	    options->owned[bp_sharding_shard_of_job(call->id, options->shards)];
	bp_shard_answer_t answer;

	if (shard == NULL) {
		answer_frame(request, BP_ESTATE, 0, "not the owner");
	} else if (bp_peer_request_frame(request)->verb ==
	    BP__PEER__VERB__VERB_QUEUE_CANCEL) {
		bp_shard_cancel(shard, call, on_served, request);
	} else {
		bp_shard_status(shard, call, &answer);
		on_served(&answer, request);
	}
}

/* See the header. */
void
bp_job_router_serve(const bp_job_router_t *router, bp_peer_request_t *request)
{
	const bp_job_router_options_t *options = bp_job_router_options(router);
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	bool count = frame->verb == BP__PEER__VERB__VERB_QUEUE_COUNT;
	Bp__Work__JobRef *ref;

	if (frame->verb == BP__PEER__VERB__VERB_QUEUE_SUBMIT) {
		serve_submit(options, request);
		return;
	}
	if (frame->n_args != 2) {
		answer_frame(request, BP_EINVALID, 0, "two arguments expected");
		return;
	}
	ref = read_ref(frame);
	if (ref == NULL) {
		answer_frame(
		    request, BP_EINVALID, 0, "cannot decode the reference");
		return;
	}
	if (count)
		serve_count(options, request, ref);
	else
		serve_job(options, request, ref);
	bp__work__job_ref__free_unpacked(ref, NULL);
}
