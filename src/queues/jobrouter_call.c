#include "queues/jobrouter_private.h"

#include "bulrushpost/error.h"
#include "bulrushpost/message.h"
#include "queues/sharding.h"

#include <stdio.h>
#include <string.h>

/* Longest wait of a call for an owner, after which it is refused. */
#define OWNER_WAIT_MAX_MS 250
/* Interval between attempts to find the owner; a takeover takes 0.5 s. */
#define OWNER_RETRY_MS 60
/* An owner answers in about 20 ms, or in 250 ms with a slow store. */
#define OWNER_TIMEOUT_MS 1200
/* Part of a caller's deadline that is reserved for sending the answer. */
#define RESPONSE_MARGIN_MS 150
/* Time after which a refused caller is to retry. */
#define RETRY_AFTER_MS 1000
/* Longest such time that the owner of a shard may ask for. */
#define RETRY_AFTER_MAX_MS 120000
#define MODULE "desk"

static int64_t
now_ms(const bp_job_router_t *router)
{
	return bp_clock_mono_ms(router->options.clock);
}

static void
call_clear(gpointer data)
{
	bp_job_call_t *call = data;

	g_free(call->queue);
	g_free(call->id);
	if (call->job != NULL)
		bp__work__job__free_unpacked(call->job, NULL);
}

/* The job router and an attempt in flight each hold a reference. */
static void
unref(bp_job_call_t *call)
{
	g_rc_box_release_full(call, call_clear);
}

static const char *
kind_text(bp_job_call_kind_t kind)
{
	switch (kind) {
	case BP_JOB_CALL_SUBMIT:
		return "submit";
	case BP_JOB_CALL_STATUS:
		return "status";
	case BP_JOB_CALL_CANCEL:
		return "cancel";
	case BP_JOB_CALL_COUNT:
		return "count";
	}
	return "";
}

static const char *
outcome_text(bp_job_router_outcome_t outcome)
{
	switch (outcome) {
	case BP_JOB_ROUTER_OK:
		return "ok";
	case BP_JOB_ROUTER_NOT_FOUND:
		return "gone";
	case BP_JOB_ROUTER_NOT_RUN:
		return "not_run";
	case BP_JOB_ROUTER_INVALID:
		return "invalid";
	case BP_JOB_ROUTER_NOT_KNOWN:
		return "not_known";
	}
	return "";
}

static void
log_answer(const bp_job_call_t *call, const bp_job_router_answer_t *answer)
{
	char elapsed_text[32];
	bool refused = answer->outcome == BP_JOB_ROUTER_NOT_RUN ||
	    answer->outcome == BP_JOB_ROUTER_NOT_KNOWN ||
	    answer->outcome == BP_JOB_ROUTER_INVALID;

	if (call->kind == BP_JOB_CALL_STATUS && !refused)
		return;
	snprintf(elapsed_text, sizeof(elapsed_text), "%" G_GINT64_FORMAT,
	    now_ms(call->router) - call->start_ms);
	bp_log(call->router->options.logger,
	    refused ? BP_LOG_NOTICE : BP_LOG_INFO, MODULE,
	    refused ? "call not served" : "call served", "call",
	    kind_text(call->kind), "job", call->id, "queue", call->queue,
	    "outcome", outcome_text(answer->outcome), "reason", answer->reason,
	    "took_ms", elapsed_text, NULL);
}

static void
finish(bp_job_call_t *call, const bp_job_router_answer_t *answer)
{
	bp_job_router_t *router = call->router;

	if (router == NULL)
		return;
	log_answer(call, answer);
	if (answer->outcome == BP_JOB_ROUTER_OK)
		bp_histogram_observe(
		    router->options.latency, now_ms(router) - call->start_ms);
	call->router = NULL;
	bp_clock_cancel_timer(router->options.clock, &call->timer);
	g_hash_table_remove(router->calls, call);
	call->done(answer, call->data);
	unref(call);
}

/* A call that may have taken effect is never reported as not run. */
static void
fail(bp_job_call_t *call, const char *reason, uint32_t retry_after_ms)
{
	bp_job_router_answer_t answer = {BP_JOB_ROUTER_NOT_RUN,
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0, retry_after_ms, reason};

	if (call->maybe_applied)
		answer.outcome = BP_JOB_ROUTER_NOT_KNOWN;
	finish(call, &answer);
}

/* Ends a call that was not served; the caller is to retry soon. */
void
bp_job_call_fail(bp_job_call_t *call, const char *reason)
{
	fail(call, reason, RETRY_AFTER_MS);
}

static gboolean
on_timer(void *data)
{
	bp_job_call_t *call = data;

	call->timer = 0;
	if (call->attempt_pending) {
		/* The attempt in flight goes on, but its answer is ignored. */
		call->maybe_applied = true;
		bp_job_call_fail(call, "the owner did not answer in time");
		return G_SOURCE_REMOVE;
	}
	bp_job_call_try(call);
	return G_SOURCE_REMOVE;
}

static void
set_timer(bp_job_call_t *call, int64_t delay_ms)
{
	bp_clock_cancel_timer(call->router->options.clock, &call->timer);
	call->timer = bp_clock_add_timer(call->router->options.clock,
	    (guint)MAX(delay_ms, 1), on_timer, call);
}

/* No owner took the call: retries shortly, or fails it after the longest wait.
 * An uncertain call is retried up to its deadline. */
static void
retry_or_fail(bp_job_call_t *call, const char *reason)
{
	int64_t elapsed_ms = now_ms(call->router) - call->start_ms;
	int64_t left_ms = call->deadline_ms - now_ms(call->router);

	bp_membership_refresh_owners(call->router->options.membership);
	if ((elapsed_ms < OWNER_WAIT_MAX_MS || call->maybe_applied) &&
	    left_ms > OWNER_RETRY_MS)
		set_timer(call, OWNER_RETRY_MS);
	else
		bp_job_call_fail(call, reason);
}

static void
handle_answer(bp_job_call_t *call, int kind, Bp__Work__JobState state,
    uint64_t waiting, uint32_t retry_after_ms, const char *reason)
{
	bp_job_router_answer_t answer = {
	    BP_JOB_ROUTER_OK, state, waiting, RETRY_AFTER_MS, reason};

	switch (kind) {
	case BP_OK:
		break;
	case BP_ENOTFOUND:
		answer.outcome = BP_JOB_ROUTER_NOT_FOUND;
		break;
	case BP_EINVALID:
	case BP_EREFUSED:
		answer.outcome = BP_JOB_ROUTER_INVALID;
		break;
	case BP_ESTATE:
		retry_or_fail(call, reason);
		return;
	case BP_ELOGDOWN:
	case BP_EOVERLOAD:
	case BP_EDRAINING:
		fail(call, reason,
		    retry_after_ms > 0 ? retry_after_ms : RETRY_AFTER_MS);
		return;
	default:
		call->maybe_applied = true;
		retry_or_fail(call, reason);
		return;
	}
	finish(call, &answer);
}

static void
on_local(const bp_shard_answer_t *answer, void *data)
{
	bp_job_call_t *call = data;

	call->attempt_pending = false;
	if (call->router != NULL)
		handle_answer(call, answer->kind, answer->state,
		    answer->waiting, answer->retry_after_ms, answer->reason);
	unref(call);
}

static void
try_local(bp_job_call_t *call, bp_shard_t *shard)
{
	bp_shard_answer_t answer = {
	    BP_OK, BP__WORK__JOB_STATE__JOB_QUEUED, 0, "", 0};

	(void)g_rc_box_acquire(call);
	switch (call->kind) {
	case BP_JOB_CALL_SUBMIT:
		bp_shard_submit(
		    shard, bp_message_copy(&call->job->base), on_local, call);
		return;
	case BP_JOB_CALL_CANCEL:
		bp_shard_cancel(shard, call->queue, call->id, on_local, call);
		return;
	case BP_JOB_CALL_STATUS:
		bp_shard_status(shard, call->queue, call->id, &answer);
		break;
	case BP_JOB_CALL_COUNT:
		if (!bp_shard_ready(shard))
			answer.kind = BP_ESTATE;
		answer.waiting = bp_shard_count_waiting(shard, call->queue);
		break;
	}
	on_local(&answer, call);
}

static uint64_t
arg_number(const Bp__Peer__Frame *frame, size_t index)
{
	return frame->n_args > index
	    ? g_ascii_strtoull(frame->args[index], NULL, 10)
	    : 0;
}

static void
on_remote(const Bp__Peer__Frame *frame, const bp_error_t *err, void *data)
{
	bp_job_call_t *call = data;
	uint64_t number;

	call->attempt_pending = false;
	if (call->router == NULL) {
		unref(call);
		return;
	}
	if (frame == NULL && err->kind == BP_ETOOLARGE) {
		handle_answer(call, BP_EINVALID,
		    BP__WORK__JOB_STATE__JOB_QUEUED, 0, 0, err->message);
		unref(call);
		return;
	}
	if (frame == NULL) {
		if (err->kind != BP_EUNREACHABLE)
			call->maybe_applied = true;
		retry_or_fail(call, err->message);
		unref(call);
		return;
	}
	number = arg_number(frame, 0);
	handle_answer(call, frame->error,
	    call->kind == BP_JOB_CALL_COUNT ? BP__WORK__JOB_STATE__JOB_QUEUED
					    : (Bp__Work__JobState)number,
	    call->kind == BP_JOB_CALL_COUNT ? number : 0,
	    (uint32_t)MIN(arg_number(frame, 1), RETRY_AFTER_MAX_MS),
	    frame->message);
	unref(call);
}

static void
on_dropped(gpointer data)
{
	unref(data);
}

static void
try_remote(bp_job_call_t *call, const char *address)
{
	Bp__Peer__Frame frame = BP__PEER__FRAME__INIT;
	int64_t left_ms = call->deadline_ms - now_ms(call->router);
	char shard[16];
	char *args[] = {call->queue, call->id};
	GBytes *bytes = NULL;

	snprintf(shard, sizeof(shard), "%u", call->shard);
	frame.args = args;
	frame.n_args = G_N_ELEMENTS(args);
	switch (call->kind) {
	case BP_JOB_CALL_SUBMIT:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_SUBMIT;
		bytes = bp_message_pack(&call->job->base);
		bp_message_refer(&frame.body, bytes);
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
	(void)g_rc_box_acquire(call);
	bp_peer_client_call_full(call->router->options.client, address, &frame,
	    (uint32_t)CLAMP(left_ms, 1, OWNER_TIMEOUT_MS), on_remote, call,
	    on_dropped);
	g_clear_pointer(&bytes, g_bytes_unref);
}

/* See the header. */
void
bp_job_call_try(bp_job_call_t *call)
{
	const bp_job_router_options_t *options = &call->router->options;
	bp_shard_t *shard = options->owned[call->shard];
	const char *address =
	    bp_membership_owner(options->membership, call->shard);
	int64_t left_ms = call->deadline_ms - now_ms(call->router);

	if (call->router->stopped) {
		bp_job_call_fail(call, BP_JOB_ROUTER_STOPPING);
		return;
	}
	if (left_ms <= 0) {
		bp_job_call_fail(call, "the caller's deadline has passed");
		return;
	}
	if (shard != NULL && bp_shard_ready(shard)) {
		call->attempt_pending = true;
		set_timer(call, left_ms);
		try_local(call, shard);
	} else if (shard == NULL && address != NULL &&
	    strcmp(address, options->address) != 0) {
		call->attempt_pending = true;
		set_timer(call, left_ms);
		try_remote(call, address);
	} else {
		retry_or_fail(call, "the owner of the shard is changing");
	}
}

/* See the header. */
int64_t
bp_job_router_answer_deadline_ms(
    const bp_job_router_t *router, uint32_t deadline_ms)
{
	return bp_pause_watch_arrival_ms(router->options.pauses) +
	    MAX((int64_t)deadline_ms - RESPONSE_MARGIN_MS, RESPONSE_MARGIN_MS);
}

/* See the header. */
bp_job_call_t *
bp_job_call_new(bp_job_router_t *router, bp_job_call_kind_t kind,
    const char *queue, const char *id, bp_job_router_done_t done, void *data)
{
	bp_job_call_t *call = g_rc_box_new0(bp_job_call_t);

	call->router = router;
	call->kind = kind;
	call->queue = g_strdup(queue);
	call->id = g_strdup(id);
	call->shard = bp_sharding_shard_of_job(id, router->options.shards);
	call->start_ms = now_ms(router);
	call->done = done;
	call->data = data;
	g_hash_table_add(router->calls, call);
	return call;
}
