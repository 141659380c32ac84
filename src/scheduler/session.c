#include "scheduler/session_private.h"

#include "bulrushpost/message.h"

#include <string.h>

#define US_PER_MS 1000
#define RETRY_MS 300
/* Share of a nonce's lifetime in which it is used, to allow for latency. */
#define NONCE_FRESH_PERCENT 85
#define PERCENT 100

/* Copies a task id; free with bp__worker__task_id__free_unpacked. */
Bp__Worker__TaskId *
bp_task_id_copy(const Bp__Worker__TaskId *id)
{
	return bp_message_copy(&id->base);
}

/* Compares job, task and attempt. */
bool
bp_task_id_equal(const Bp__Worker__TaskId *a, const Bp__Worker__TaskId *b)
{
	return a->task == b->task && a->attempt == b->attempt &&
	    strcmp(a->job, b->job) == 0;
}

static void
free_queued_start(void *data)
{
	bp_start_item_t *start = data;

	bp__worker__start_task__free_unpacked(start->task, NULL);
	g_free(start);
}

static void
free_action(void *data)
{
	bp__worker__action__free_unpacked(data, NULL);
}

static void
free_id(void *data)
{
	bp__worker__task_id__free_unpacked(data, NULL);
}

/*
 * Creates a session in status OPENING; strings are copied. The first call is
 * sent by bp_session_tick.
 */
int
bp_session_new(
    bp_session_t **out, const bp_session_options_t *options, bp_error_t *err)
{
	bp_session_t *session = g_new0(bp_session_t, 1);

	(void)err;
	session->clock = options->clock;
	session->logger = options->logger;
	session->client = options->client;
	session->follower = options->follower;
	session->node = g_strdup(options->node);
	session->incarnation = options->incarnation;
	session->vm = g_strdup(options->vm);
	session->rack = g_strdup(options->rack);
	session->url = g_strdup(options->url);
	session->epoch = options->epoch;
	session->permit_ms = options->permit_ms;
	session->renew_ms = options->renew_ms;
	session->events = options->events;
	session->renewing = true;
	session->created_us = bp_clock_mono_us(options->clock);
	session->starts = g_ptr_array_new_with_free_func(free_queued_start);
	session->actions = g_ptr_array_new_with_free_func(free_action);
	session->acks = g_ptr_array_new_with_free_func(free_id);
	*out = session;
	return BP_OK;
}

/* Frees a session and cancels its calls. NULL is allowed. */
void
bp_session_free(bp_session_t *session)
{
	if (session == NULL)
		return;
	bp_workerclient_cancel(session->client, session);
	g_ptr_array_unref(session->starts);
	g_ptr_array_unref(session->actions);
	g_ptr_array_unref(session->acks);
	g_free(session->node);
	g_free(session->vm);
	g_free(session->rack);
	g_free(session->url);
	g_free(session);
}

/* Restarts the handshake with a new nonce, for example after a reboot. */
void
bp_session_reopen(bp_session_t *session)
{
	session->status = BP_SESSION_OPENING;
	session->accepted = false;
	session->nonce_us = 0;
}

/*
 * Stores the nonce of an answer. A different boot id means that the worker
 * rebooted and lost its state, including the session.
 */
void
bp_session_take_nonce(bp_session_t *session, uint64_t nonce, uint64_t boot_id)
{
	int64_t now_us = bp_clock_mono_us(session->clock);

	session->answer_us = now_us;
	session->failing = false;
	session->retry_us = 0;
	if (session->boot_id != 0 && session->boot_id != boot_id) {
		bp_session_drop_sent(session);
		bp_session_reopen(session);
	}
	session->boot_id = boot_id;
	session->nonce = nonce;
	session->nonce_us = now_us;
}

/* Delays the next call after one that failed. */
void
bp_session_call_failed(bp_session_t *session)
{
	session->failing = true;
	session->retry_us =
	    bp_clock_mono_us(session->clock) + (int64_t)RETRY_MS * US_PER_MS;
}

/* Tells whether the nonce is fresh enough to reach the worker in time. */
bool
bp_session_nonce_young(const bp_session_t *session)
{
	int64_t age_us = bp_clock_mono_us(session->clock) - session->nonce_us;

	return session->nonce_us != 0 &&
	    age_us < (int64_t)session->permit_ms * US_PER_MS *
		NONCE_FRESH_PERCENT / PERCENT;
}

static bool
still_owner(const bp_session_t *session)
{
	const bp_rack_t *rack =
	    bp_state_rack(bp_follower_state(session->follower), session->rack);

	return rack != NULL && rack->owner != NULL &&
	    rack->epoch == session->epoch &&
	    rack->owner_incarnation == session->incarnation &&
	    strcmp(rack->owner, session->node) == 0;
}

/*
 * Tells whether a read of the log that began after the nonce was received
 * has reached the head and shows this node as the owner.
 */
bool
bp_session_confirmed(const bp_session_t *session)
{
	return session->nonce_us != 0 &&
	    bp_follower_status(session->follower) == BP_FOLLOWER_CURRENT &&
	    bp_follower_fresh_us(session->follower) >= session->nonce_us &&
	    still_owner(session);
}

static void
on_listed(bp_session_t *session, const Bp__Worker__NonceAnswer *answer)
{
	session->status = BP_SESSION_OPEN;
	session->ever_open = true;
	session->renewed_us = 0;
	bp_log(session->logger, BP_LOG_INFO, "session", "session opened", "vm",
	    session->vm, "rack", session->rack, NULL);
	session->events.opened(session, answer, session->events.data);
}

static void
on_nonce(
    const Bp__Worker__NonceAnswer *answer, const bp_error_t *err, void *data)
{
	bp_session_t *session = data;
	bool accepted = session->accepted;

	session->nonce_call = false;
	if (answer == NULL) {
		bp_session_call_failed(session);
		return;
	}
	(void)err;
	bp_session_take_nonce(session, answer->nonce, answer->boot_id);
	if (answer->session_epoch > session->epoch) {
		session->status = BP_SESSION_FENCED;
		return;
	}
	if (session->status == BP_SESSION_OPENING && accepted &&
	    session->accepted && answer->session_epoch == session->epoch)
		on_listed(session, answer);
	else if (session->status == BP_SESSION_OPENING)
		session->accepted = false;
	if (session->status == BP_SESSION_OPENING || session->starts->len > 0)
		bp_follower_poke(session->follower);
}

/* Requests a nonce unless a request is in flight or a call just failed. */
void
bp_session_request_nonce(bp_session_t *session)
{
	Bp__Worker__NonceRequest request = BP__WORKER__NONCE_REQUEST__INIT;

	if (session->nonce_call ||
	    bp_clock_mono_us(session->clock) < session->retry_us)
		return;
	request.owner = session->node;
	session->nonce_call = true;
	bp_workerclient_nonce(
	    session->client, session->url, &request, on_nonce, session);
}

static void
on_session(
    const Bp__Worker__SessionAnswer *answer, const bp_error_t *err, void *data)
{
	bp_session_t *session = data;

	(void)err;
	session->session_call = false;
	if (answer == NULL) {
		bp_session_call_failed(session);
		return;
	}
	bp_session_take_nonce(session, answer->nonce, answer->boot_id);
	switch (answer->status) {
	case BP__WORKER__STATUS__STATUS_OK:
	case BP__WORKER__STATUS__STATUS_ALREADY:
		/* Previous owners can no longer start tasks: list them now. */
		session->accepted = true;
		bp_session_request_nonce(session);
		break;
	case BP__WORKER__STATUS__STATUS_STALE_EPOCH:
		if (answer->session_epoch > session->epoch)
			session->status = BP_SESSION_FENCED;
		break;
	default:
		break;
	}
}

static void
open_session(bp_session_t *session)
{
	Bp__Worker__SessionRequest request = BP__WORKER__SESSION_REQUEST__INIT;

	if (session->session_call || session->nonce_call)
		return;
	if (session->accepted || !bp_session_nonce_young(session)) {
		bp_session_request_nonce(session);
		return;
	}
	if (!bp_session_confirmed(session))
		return;
	request.epoch = session->epoch;
	request.owner = session->node;
	request.nonce = session->nonce;
	session->session_call = true;
	bp_workerclient_session(
	    session->client, session->url, &request, on_session, session);
}

/* See the header. */
void
bp_session_tick(bp_session_t *session)
{
	if (bp_clock_mono_us(session->clock) < session->retry_us)
		return;
	if (session->relist && session->status == BP_SESSION_OPEN)
		bp_session_reopen(session);
	session->relist = false;
	switch (session->status) {
	case BP_SESSION_OPENING:
		open_session(session);
		break;
	case BP_SESSION_OPEN:
		bp_session_pump_renew(session);
		bp_session_pump_starts(session);
		bp_session_pump_actions(session);
		break;
	case BP_SESSION_FENCED:
		break;
	}
}

/* See the header. */
void
bp_session_set_interval(bp_session_t *session, uint32_t interval_ms)
{
	session->renew_ms = interval_ms;
}

/* Returns the time between renewals in milliseconds. */
uint32_t
bp_session_interval_ms(const bp_session_t *session)
{
	return session->renew_ms;
}

/* See the header. */
bool
bp_session_failing(const bp_session_t *session)
{
	return session->failing;
}

/* See the header. */
void
bp_session_relist(bp_session_t *session)
{
	session->relist = true;
}

/* See the header. */
void
bp_session_set_renewing(bp_session_t *session, bool renewing)
{
	session->renewing = renewing;
}

/* Returns the status of the session. */
bp_session_status_t
bp_session_status(const bp_session_t *session)
{
	return session->status;
}

/* Returns the VM's name. */
const char *
bp_session_vm(const bp_session_t *session)
{
	return session->vm;
}

/* Returns the name of the VM's rack. */
const char *
bp_session_rack(const bp_session_t *session)
{
	return session->rack;
}

/* Returns the epoch under which the session is opened. */
uint64_t
bp_session_epoch(const bp_session_t *session)
{
	return session->epoch;
}

/* See the header. */
int64_t
bp_session_silent_ms(const bp_session_t *session)
{
	int64_t since_us =
	    session->answer_us != 0 ? session->answer_us : session->created_us;

	return (bp_clock_mono_us(session->clock) - since_us) / US_PER_MS;
}

/* See the header. */
int64_t
bp_session_nonce_us(const bp_session_t *session)
{
	return session->nonce_us != 0 ? session->nonce_us : session->answer_us;
}

/* Tells whether this session was ever open on the worker. */
bool
bp_session_ever_open(const bp_session_t *session)
{
	return session->ever_open;
}
