#include "queues/jobrouter_private.h"

#include "bulrushpost/error.h"
#include "bulrushpost/message.h"

#include <stdio.h>

/* An owner answers in about 20 ms, or in 250 ms with a slow store. */
#define OWNER_TIMEOUT_MS 1200
/* Longest time to retry after that the owner of a shard may ask for. */
#define RETRY_AFTER_MAX_MS 120000

static uint64_t
arg_number(const Bp__Peer__Frame *frame, size_t index)
{
	return frame->n_args > index
	    ? g_ascii_strtoull(frame->args[index], NULL, 10)
	    : 0;
}

/* An attempt at an owner on another node. */
typedef struct {
	bp_job_call_t *call;
	char *address;
} attempt_t;

static void
free_attempt(attempt_t *attempt)
{
	bp_job_call_unref(attempt->call);
	g_free(attempt->address);
	g_free(attempt);
}

static void
on_no_answer(bp_job_call_t *call, const bp_error_t *err)
{
	switch (err->kind) {
	case BP_ETOOLARGE:
		bp_job_call_handle_answer(call, BP_EINVALID,
		    BP__WORK__JOB_STATE__JOB_QUEUED, 0, 0, err->message);
		return;
	case BP_EUNREACHABLE:
		bp_job_call_handle_answer(call, BP_ESTATE,
		    BP__WORK__JOB_STATE__JOB_QUEUED, 0, 0, err->message);
		return;
	default:
		bp_job_call_handle_answer(call, BP_EINTERNAL,
		    BP__WORK__JOB_STATE__JOB_QUEUED, 0, 0, err->message);
		return;
	}
}

static void
on_remote(const Bp__Peer__Frame *frame, const bp_error_t *err, void *data)
{
	attempt_t *attempt = data;
	bp_job_call_t *call = attempt->call;
	uint64_t number;

	call->open_attempts--;
	if (call->router == NULL) {
		free_attempt(attempt);
		return;
	}
	if (frame == NULL) {
		on_no_answer(call, err);
		free_attempt(attempt);
		return;
	}
	bp_call_retry_answered(
	    call->router->retry, call->shard, attempt->address);
	if (g_strcmp0(attempt->address, call->address) == 0)
		call->refused = true;
	number = arg_number(frame, 0);
	bp_job_call_handle_answer(call, frame->error,
	    call->kind == BP_JOB_CALL_COUNT ? BP__WORK__JOB_STATE__JOB_QUEUED
					    : (Bp__Work__JobState)number,
	    call->kind == BP_JOB_CALL_COUNT ? number : 0,
	    (uint32_t)MIN(arg_number(frame, 1), RETRY_AFTER_MAX_MS),
	    frame->message);
	free_attempt(attempt);
}

static void
on_dropped(gpointer data)
{
	free_attempt(data);
}

/* See the header. */
void
bp_job_call_send(bp_job_call_t *call, const char *address)
{
	Bp__Peer__Frame frame = BP__PEER__FRAME__INIT;
	int64_t left_ms =
	    call->deadline_ms - bp_clock_mono_ms(call->router->options.clock);
	char shard[16];
	char *args[] = {call->ref->queue, call->ref->id};
	GBytes *bytes;
	attempt_t *attempt = g_new0(attempt_t, 1);

	snprintf(shard, sizeof(shard), "%u", call->shard);
	frame.args = args;
	frame.n_args = G_N_ELEMENTS(args);
	bytes = bp_message_pack(call->kind == BP_JOB_CALL_SUBMIT
		? &call->job->base
		: &call->ref->base);
	bp_message_refer(&frame.body, bytes);
	switch (call->kind) {
	case BP_JOB_CALL_SUBMIT:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_SUBMIT;
		break;
	case BP_JOB_CALL_STATUS:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_STATUS;
		break;
	case BP_JOB_CALL_CANCEL:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_CANCEL;
		break;
	case BP_JOB_CALL_COUNT:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_COUNT;
		args[1] = shard;
		break;
	}
	attempt->call = g_rc_box_acquire(call);
	attempt->address = g_strdup(address);
	g_free(call->address);
	call->address = g_strdup(address);
	call->open_attempts++;
	call->refused = false;
	bp_peer_client_call_full(call->router->options.client, address, &frame,
	    (uint32_t)CLAMP(left_ms, 1, OWNER_TIMEOUT_MS), on_remote, attempt,
	    on_dropped);
	g_bytes_unref(bytes);
}
