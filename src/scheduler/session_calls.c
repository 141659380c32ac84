#include "scheduler/session_private.h"

#include "bulrushpost/message.h"

#include <string.h>

#define US_PER_MS 1000
/* Limits of the items in one call. */
#define STARTS_PER_CALL 64U
#define ACTIONS_PER_CALL 64U
#define ACKS_PER_CALL 256U

/* See the header. */
bool
bp_session_is_queued(const bp_session_t *session, const char *job,
    uint32_t task, uint32_t attempt)
{
	guint i;

	for (i = 0; i < session->starts->len; i++) {
		const bp_start_item_t *item =
		    g_ptr_array_index(session->starts, i);

		if (item->task->id->task == task &&
		    item->task->id->attempt == attempt &&
		    strcmp(item->task->id->job, job) == 0)
			return true;
	}
	return false;
}

/* Returns the number of starts that the worker has not answered yet. */
size_t
bp_session_queued(const bp_session_t *session)
{
	return session->starts->len;
}

/* See the header. */
size_t
bp_session_drop_queue(bp_session_t *session)
{
	size_t sent = 0;
	guint i;

	for (i = 0; i < session->starts->len; i++) {
		const bp_start_item_t *item =
		    g_ptr_array_index(session->starts, i);

		sent += item->sent ? 1 : 0;
	}
	g_ptr_array_set_size(session->starts, 0);
	session->starts_in_flight = 0;
	return sent;
}

/* See the header. */
bool
bp_session_drop_unsent(
    bp_session_t *session, const char *job, uint32_t task, uint32_t attempt)
{
	guint i;

	for (i = 0; i < session->starts->len; i++) {
		const bp_start_item_t *item =
		    g_ptr_array_index(session->starts, i);

		if (item->sent || item->in_flight ||
		    item->task->id->task != task ||
		    item->task->id->attempt != attempt ||
		    strcmp(item->task->id->job, job) != 0)
			continue;
		g_ptr_array_remove_index(session->starts, i);
		return true;
	}
	return false;
}

/*
 * Drops the starts that the worker may have received before it rebooted: an
 * attempt must not run again after the reboot.
 */
void
bp_session_drop_sent(bp_session_t *session)
{
	guint i = 0;

	while (i < session->starts->len) {
		const bp_start_item_t *item =
		    g_ptr_array_index(session->starts, i);

		if (item->sent || item->in_flight)
			g_ptr_array_remove_index(session->starts, i);
		else
			i++;
	}
	session->starts_in_flight = 0;
}

/* See the header. */
void
bp_session_start_task(bp_session_t *session, const Bp__Worker__StartTask *task)
{
	bp_start_item_t *item;

	if (bp_session_is_queued(
		session, task->id->job, task->id->task, task->id->attempt))
		return;
	item = g_new0(bp_start_item_t, 1);
	item->task = bp_message_copy(&task->base);
	g_ptr_array_add(session->starts, item);
}

/* See the header. */
void
bp_session_act(bp_session_t *session, const Bp__Worker__Action *action)
{
	g_ptr_array_add(session->actions, bp_message_copy(&action->base));
}

/* See the header. */
void
bp_session_ack_ended(bp_session_t *session, const Bp__Worker__TaskId *id)
{
	guint i;

	for (i = 0; i < session->acks->len; i++) {
		if (bp_task_id_equal(g_ptr_array_index(session->acks, i), id))
			return;
	}
	g_ptr_array_add(session->acks, bp_task_id_copy(id));
}

/* A refused epoch means that the worker rebooted or has a newer owner. */
static void
handle_stale_epoch(bp_session_t *session)
{
	if (session->status == BP_SESSION_OPEN)
		bp_session_reopen(session);
}

static void
apply_start_results(
    bp_session_t *session, const Bp__Worker__StartAnswer *answer)
{
	size_t n = MIN(session->starts_in_flight, answer->n_status);
	size_t i;

	session->starts_in_flight = 0;
	for (i = n; i > 0; i--) {
		Bp__Worker__Status status = answer->status[i - 1];
		bp_start_item_t *item;

		if (status == BP__WORKER__STATUS__STATUS_NONCE_EXPIRED ||
		    status == BP__WORKER__STATUS__STATUS_STALE_EPOCH)
			continue;
		item = g_ptr_array_steal_index(session->starts, (guint)(i - 1));
		session->events.started(
		    session, item->task->id, status, session->events.data);
		bp__worker__start_task__free_unpacked(item->task, NULL);
		g_free(item);
	}
}

static void
end_flight(bp_session_t *session)
{
	guint i;

	for (i = 0; i < session->starts->len; i++) {
		bp_start_item_t *item = g_ptr_array_index(session->starts, i);

		item->in_flight = false;
	}
	session->starts_in_flight = 0;
}

static void
on_start(
    const Bp__Worker__StartAnswer *answer, const bp_error_t *err, void *data)
{
	bp_session_t *session = data;
	uint64_t boot_id = session->boot_id;

	session->start_call = false;
	if (answer == NULL) {
		bool unsent = err->kind == BP_ENOTSENT;
		size_t i;

		for (i = 0; i < session->starts->len && !unsent; i++) {
			bp_start_item_t *item =
			    g_ptr_array_index(session->starts, (guint)i);

			item->sent = item->sent || item->in_flight;
		}
		end_flight(session);
		bp_session_call_failed(session);
		return;
	}
	bp_session_take_nonce(session, answer->nonce, answer->boot_id);
	if (answer->boot_id != boot_id)
		return;
	if (answer->n_status > 0 &&
	    answer->status[0] == BP__WORKER__STATUS__STATUS_STALE_EPOCH)
		handle_stale_epoch(session);
	apply_start_results(session, answer);
	end_flight(session);
}

/*
 * Drops queued starts that are no longer allowed and collects those for the
 * next call into out. Returns their number.
 */
static size_t
select_starts(bp_session_t *session, Bp__Worker__StartTask **out)
{
	size_t n = 0;

	while (n < session->starts->len && n < STARTS_PER_CALL) {
		bp_start_item_t *item =
		    g_ptr_array_index(session->starts, (guint)n);

		if (session->events.may_start(session, item->task->id,
			item->sent, session->events.data))
			out[n++] = item->task;
		else
			g_ptr_array_remove_index(session->starts, (guint)n);
	}
	return n;
}

static void
mark_in_flight(bp_session_t *session, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		bp_start_item_t *item =
		    g_ptr_array_index(session->starts, (guint)i);

		item->in_flight = true;
	}
	session->starts_in_flight = n;
}

/* Sends queued starts with a nonce that was confirmed at the log's head. */
void
bp_session_pump_starts(bp_session_t *session)
{
	Bp__Worker__StartRequest request = BP__WORKER__START_REQUEST__INIT;
	Bp__Worker__StartTask *tasks[STARTS_PER_CALL];

	if (session->start_call || session->starts->len == 0 ||
	    session->status != BP_SESSION_OPEN)
		return;
	if (!bp_session_nonce_young(session)) {
		bp_session_request_nonce(session);
		return;
	}
	if (!bp_session_confirmed(session)) {
		bp_follower_poke(session->follower);
		return;
	}
	request.n_tasks = select_starts(session, tasks);
	if (request.n_tasks == 0)
		return;
	request.tasks = tasks;
	request.epoch = session->epoch;
	request.nonce = session->nonce;
	mark_in_flight(session, request.n_tasks);
	session->start_call = true;
	bp_workerclient_start(
	    session->client, session->url, &request, on_start, session);
}

static void
on_act(const Bp__Worker__ActAnswer *answer, const bp_error_t *err, void *data)
{
	bp_session_t *session = data;

	(void)err;
	session->act_call = false;
	if (answer == NULL) {
		session->actions_in_flight = 0;
		bp_session_call_failed(session);
		return;
	}
	bp_session_take_nonce(session, answer->nonce, answer->boot_id);
	if (answer->n_status > 0 &&
	    answer->status[0] == BP__WORKER__STATUS__STATUS_STALE_EPOCH)
		handle_stale_epoch(session);
	else if (answer->n_status == 0 ||
	    answer->status[0] != BP__WORKER__STATUS__STATUS_NONCE_EXPIRED)
		g_ptr_array_remove_range(
		    session->actions, 0, (guint)session->actions_in_flight);
	session->actions_in_flight = 0;
}

/* Sends queued throttle, checkpoint and stop actions. */
void
bp_session_pump_actions(bp_session_t *session)
{
	Bp__Worker__ActRequest request = BP__WORKER__ACT_REQUEST__INIT;

	if (session->act_call || session->actions->len == 0 ||
	    session->status != BP_SESSION_OPEN)
		return;
	if (!bp_session_nonce_young(session)) {
		bp_session_request_nonce(session);
		return;
	}
	request.epoch = session->epoch;
	request.nonce = session->nonce;
	request.n_actions = MIN(session->actions->len, ACTIONS_PER_CALL);
	request.actions = (Bp__Worker__Action **)session->actions->pdata;
	session->actions_in_flight = request.n_actions;
	session->act_call = true;
	bp_workerclient_act(
	    session->client, session->url, &request, on_act, session);
}

static void
on_renew(
    const Bp__Worker__RenewAnswer *answer, const bp_error_t *err, void *data)
{
	bp_session_t *session = data;

	(void)err;
	session->renew_call = false;
	if (answer == NULL) {
		session->acks_in_flight = 0;
		bp_session_call_failed(session);
		return;
	}
	bp_session_take_nonce(session, answer->nonce, answer->boot_id);
	switch (answer->status) {
	case BP__WORKER__STATUS__STATUS_OK:
		g_ptr_array_remove_range(
		    session->acks, 0, (guint)session->acks_in_flight);
		session->acks_in_flight = 0;
		if (session->status == BP_SESSION_OPEN)
			session->events.report(
			    session, answer, session->events.data);
		return;
	case BP__WORKER__STATUS__STATUS_STALE_EPOCH:
		handle_stale_epoch(session);
		break;
	default:
		/* Retries at once with the nonce of this answer. */
		session->renewed_us = 0;
		break;
	}
	session->acks_in_flight = 0;
}

/*
 * Renews all leases of the VM in one message. It does not depend on reads of
 * the log, so that running tasks continue while the log is unavailable.
 */
void
bp_session_pump_renew(bp_session_t *session)
{
	Bp__Worker__RenewRequest request = BP__WORKER__RENEW_REQUEST__INIT;
	int64_t now_us = bp_clock_mono_us(session->clock);

	if (session->renew_call || !session->renewing ||
	    now_us - session->renewed_us <
		(int64_t)session->renew_ms * US_PER_MS)
		return;
	if (!bp_session_nonce_young(session)) {
		bp_session_request_nonce(session);
		return;
	}
	session->renewed_us = now_us;
	session->renew_call = true;
	session->acks_in_flight = MIN(session->acks->len, ACKS_PER_CALL);
	request.epoch = session->epoch;
	request.nonce = session->nonce;
	request.n_ack_ended = session->acks_in_flight;
	request.ack_ended = (Bp__Worker__TaskId **)session->acks->pdata;
	bp_workerclient_renew(
	    session->client, session->url, &request, on_renew, session);
}
