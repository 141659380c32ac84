#include "queues/jobrouter_private.h"

#include "bulrushpost/error.h"
#include "bulrushpost/message.h"
#include "queues/sharding.h"

#include <stdio.h>
#include <string.h>

/* Longest wait of a call for an owner, after which it is refused. A takeover
 * takes 0.3 to 1 s. */
#define OWNER_WAIT_MAX_MS 700
/* Time after which a call without an answer asks the store for the owner, and
 * the interval from then on. */
#define FOLLOW_DELAY_MS 600
#define FOLLOW_INTERVAL_MS 150
/* A call is repeated twice at most after an unknown outcome. */
#define UNKNOWN_ATTEMPTS_MAX 3
/* Part of a caller's deadline that is reserved for sending the answer. */
#define RESPONSE_MARGIN_MS 150
/* Time after which a refused caller is to retry. */
#define RETRY_AFTER_MS 1000
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

	bp__work__job_ref__free_unpacked(call->ref, NULL);
	g_free(call->address);
	if (call->job != NULL)
		bp__work__job__free_unpacked(call->job, NULL);
}

/* See the header. */
void
bp_job_call_unref(bp_job_call_t *call)
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
	    kind_text(call->kind), "job", call->ref->id, "queue",
	    call->ref->queue, "outcome", outcome_text(answer->outcome),
	    "reason", answer->reason, "took_ms", elapsed_text, NULL);
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
	bp_job_call_unref(call);
}

/* A call that may have taken effect, or may yet, is never reported as not
 * run. */
static void
fail(bp_job_call_t *call, const char *reason, uint32_t retry_after_ms)
{
	bp_job_router_answer_t answer = {BP_JOB_ROUTER_NOT_RUN,
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0, retry_after_ms, reason};

	if (call->maybe_applied || call->open_attempts > 0)
		answer.outcome = BP_JOB_ROUTER_NOT_KNOWN;
	finish(call, &answer);
}

/* Ends a call that was not served; the caller is to retry soon. */
void
bp_job_call_fail(bp_job_call_t *call, const char *reason)
{
	fail(call, reason, RETRY_AFTER_MS);
}

static void set_timer(bp_job_call_t *call, int64_t delay_ms);
static void try_local(bp_job_call_t *call, bp_shard_t *shard);

static bool
may_repeat(const bp_job_call_t *call)
{
	return call->unknown_attempts + call->open_attempts <
	    UNKNOWN_ATTEMPTS_MAX;
}

/* The attempt in flight goes on beside one at the owner that the store names
 * now, if that is another one: a job has an ID and remains one job. */
static void
follow_owner(bp_job_call_t *call)
{
	const bp_job_router_options_t *options = &call->router->options;
	bp_shard_t *shard = options->owned[call->shard];
	int64_t left_ms = call->deadline_ms - now_ms(call->router);
	const char *address;

	bp_membership_refresh_owners(options->membership);
	address = bp_membership_owner(options->membership, call->shard);
	set_timer(call, MIN(left_ms, FOLLOW_INTERVAL_MS));
	if (call->address == NULL || !may_repeat(call))
		return;
	if (shard != NULL && bp_shard_ready(shard)) {
		g_clear_pointer(&call->address, g_free);
		try_local(call, shard);
	} else if (shard == NULL && address != NULL &&
	    strcmp(address, options->address) != 0 &&
	    (call->refused || strcmp(address, call->address) != 0) &&
	    bp_call_retry_send(call->router->retry, call->shard, address,
		BP_CALL_RETRY_REPEATED)) {
		bp_job_call_send(call, address);
	}
}

static gboolean
on_timer(void *data)
{
	bp_job_call_t *call = data;

	call->timer = 0;
	if (call->open_attempts == 0)
		bp_job_call_try(call);
	else if (now_ms(call->router) < call->deadline_ms)
		follow_owner(call);
	else
		/* Attempts in flight go on, but their answers are ignored. */
		bp_job_call_fail(call, "the owner did not answer in time");
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
	int64_t now = now_ms(call->router);
	int64_t wait_ms = call->start_ms + OWNER_WAIT_MAX_MS - now;
	int64_t delay_ms = bp_call_retry_delay_ms(call->tries);

	bp_membership_refresh_owners(call->router->options.membership);
	if (!call->maybe_applied)
		delay_ms = MIN(delay_ms, wait_ms);
	if (delay_ms > 0 && may_repeat(call) &&
	    call->deadline_ms - now > delay_ms)
		set_timer(call, delay_ms);
	else
		bp_job_call_fail(call, reason);
}

static bool
is_final(int kind)
{
	return kind == BP_OK || kind == BP_ENOTFOUND || kind == BP_EINVALID ||
	    kind == BP_EREFUSED;
}

/* The outcome of an attempt is not known. */
static void
note_unknown(bp_job_call_t *call)
{
	call->maybe_applied = true;
	call->unknown_attempts++;
}

/* See the header. */
void
bp_job_call_handle_answer(bp_job_call_t *call, int kind,
    Bp__Work__JobState state, uint64_t waiting, uint32_t retry_after_ms,
    const char *reason)
{
	bp_job_router_answer_t answer = {
	    BP_JOB_ROUTER_OK, state, waiting, RETRY_AFTER_MS, reason};

	if (call->open_attempts > 0 && !is_final(kind)) {
		/* Another attempt may still be answered; its timer runs. */
		if (kind != BP_ESTATE && kind != BP_ELOGDOWN &&
		    kind != BP_EOVERLOAD && kind != BP_EDRAINING)
			note_unknown(call);
		return;
	}
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
		note_unknown(call);
		retry_or_fail(call, reason);
		return;
	}
	finish(call, &answer);
}

static void
on_local(const bp_shard_answer_t *answer, void *data)
{
	bp_job_call_t *call = data;

	call->open_attempts--;
	if (call->router != NULL)
		bp_job_call_handle_answer(call, answer->kind, answer->state,
		    answer->waiting, answer->retry_after_ms, answer->reason);
	bp_job_call_unref(call);
}

static void
try_local(bp_job_call_t *call, bp_shard_t *shard)
{
	bp_shard_answer_t answer = {
	    BP_OK, BP__WORK__JOB_STATE__JOB_QUEUED, 0, "", 0};

	(void)g_rc_box_acquire(call);
	call->open_attempts++;
	switch (call->kind) {
	case BP_JOB_CALL_SUBMIT:
		bp_shard_submit(
		    shard, bp_message_copy(&call->job->base), on_local, call);
		return;
	case BP_JOB_CALL_CANCEL:
		bp_shard_cancel(shard, call->ref, on_local, call);
		return;
	case BP_JOB_CALL_STATUS:
		bp_shard_status(shard, call->ref, &answer);
		break;
	case BP_JOB_CALL_COUNT:
		if (!bp_shard_ready(shard))
			answer.kind = BP_ESTATE;
		answer.waiting = bp_shard_count_waiting(shard, call->ref);
		break;
	}
	on_local(&answer, call);
}

static bp_call_retry_kind_t
retry_kind(const bp_job_call_t *call)
{
	if (call->maybe_applied)
		return BP_CALL_RETRY_REPEATED;
	return call->tries > 1 ? BP_CALL_RETRY_WAITED : BP_CALL_RETRY_NEW;
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
	call->tries++;
	if (shard != NULL && bp_shard_ready(shard)) {
		set_timer(call, left_ms);
		g_clear_pointer(&call->address, g_free);
		try_local(call, shard);
	} else if (shard != NULL || address == NULL ||
	    strcmp(address, options->address) == 0) {
		retry_or_fail(call, "the owner of the shard is changing");
	} else if (!bp_call_retry_send(call->router->retry, call->shard,
		       address, retry_kind(call))) {
		retry_or_fail(call, "the owner does not answer");
	} else {
		set_timer(call, MIN(left_ms, FOLLOW_DELAY_MS));
		bp_job_call_send(call, address);
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
    Bp__Work__JobRef *ref, bp_job_router_done_t done, void *data)
{
	bp_job_call_t *call = g_rc_box_new0(bp_job_call_t);

	call->router = router;
	call->kind = kind;
	call->ref = ref;
	call->shard = bp_sharding_shard_of_job(ref->id, router->options.shards);
	call->start_ms = now_ms(router);
	call->done = done;
	call->data = data;
	g_hash_table_add(router->calls, call);
	return call;
}
