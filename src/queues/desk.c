#include "queues/desk.h"

#include "bulrushpost/message.h"
#include "bulrushpost/error.h"

#include <stdio.h>
#include <string.h>

/* While no owner is known a call is kept this long, then refused. */
#define PATIENCE_MS 250
/* Between two looks for an owner; a takeover takes some 0.5 s. */
#define AGAIN_MS 60
/* An owner answers in some 20 ms; a slow store takes 250 ms. */
#define OWNER_TIMEOUT_MS 1200
/* Left of a caller's deadline for the way back. */
#define RETURN_MS 150
/* When a refused caller is to come back. */
#define RETRY_AFTER_MS 1000
#define MODULE "desk"

typedef enum { CALL_SUBMIT, CALL_STATUS, CALL_CANCEL, CALL_COUNT } kind_t;

struct bp_queuedesk {
	bp_queuedesk_options_t options;
	const bp_catalog_t *catalog;
	GHashTable *calls; /* call_t that are open */
};

/* One call of a caller; it may be tried at several owners. */
typedef struct {
	bp_queuedesk_t *desk; /* NULL once the desk is gone */
	kind_t kind;
	uint32_t shard;
	char *queue;
	char *id;
	Bp__Work__Job *job;
	int64_t start_ms;
	int64_t deadline_ms; /* mono */
	bool uncertain; /* an earlier try may have taken effect */
	bool trying;
	bp_desk_done_t done;
	void *data;
	guint timer;
} call_t;

static void try_call(call_t *call);

static int64_t
now_ms(const bp_queuedesk_t *desk)
{
	return bp_clock_mono_ms(desk->options.clock);
}

static void
clear(gpointer data)
{
	call_t *call = data;

	g_free(call->queue);
	g_free(call->id);
	if (call->job != NULL)
		bp__work__job__free_unpacked(call->job, NULL);
}

/* A call is kept by the desk and by a try in flight. */
static void
unref(call_t *call)
{
	g_rc_box_release_full(call, clear);
}

static const char *
kind_text(kind_t kind)
{
	switch (kind) {
	case CALL_SUBMIT:
		return "submit";
	case CALL_STATUS:
		return "status";
	case CALL_CANCEL:
		return "cancel";
	case CALL_COUNT:
		return "count";
	}
	return "";
}

static const char *
outcome_text(bp_desk_outcome_t outcome)
{
	switch (outcome) {
	case BP_DESK_OK:
		return "ok";
	case BP_DESK_GONE:
		return "gone";
	case BP_DESK_NOT_RUN:
		return "not_run";
	case BP_DESK_INVALID:
		return "invalid";
	case BP_DESK_NOT_KNOWN:
		return "not_known";
	}
	return "";
}

static void
log_answer(const call_t *call, const bp_desk_answer_t *answer)
{
	char took[32];
	bool refused = answer->outcome == BP_DESK_NOT_RUN ||
	    answer->outcome == BP_DESK_NOT_KNOWN ||
	    answer->outcome == BP_DESK_INVALID;

	if (call->kind == CALL_STATUS && !refused)
		return;
	snprintf(took, sizeof(took), "%" G_GINT64_FORMAT,
	    now_ms(call->desk) - call->start_ms);
	bp_log(call->desk->options.logger,
	    refused ? BP_LOG_NOTICE : BP_LOG_INFO, MODULE,
	    refused ? "call not served" : "call served", "call",
	    kind_text(call->kind), "job", call->id, "queue", call->queue,
	    "outcome", outcome_text(answer->outcome), "reason", answer->reason,
	    "took_ms", took, NULL);
}

static void
finish(call_t *call, const bp_desk_answer_t *answer)
{
	bp_queuedesk_t *desk = call->desk;

	if (desk == NULL)
		return;
	log_answer(call, answer);
	if (answer->outcome == BP_DESK_OK)
		bp_histogram_observe(
		    desk->options.latency, now_ms(desk) - call->start_ms);
	call->desk = NULL;
	bp_clock_cancel(desk->options.clock, &call->timer);
	g_hash_table_remove(desk->calls, call);
	call->done(answer, call->data);
	unref(call);
}

/* What may have taken effect is never told to be not run. */
static void
give_up(call_t *call, const char *reason)
{
	bp_desk_answer_t answer = {BP_DESK_NOT_RUN,
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0, RETRY_AFTER_MS, reason};

	if (call->uncertain)
		answer.outcome = BP_DESK_NOT_KNOWN;
	finish(call, &answer);
}

static gboolean
on_timer(void *data)
{
	call_t *call = data;

	call->timer = 0;
	if (call->trying) {
		/* The try in flight is left alone; its answer is late. */
		call->uncertain = true;
		give_up(call, "the owner did not answer in time");
		return G_SOURCE_REMOVE;
	}
	try_call(call);
	return G_SOURCE_REMOVE;
}

static void
plan(call_t *call, int64_t delay_ms)
{
	bp_clock_cancel(call->desk->options.clock, &call->timer);
	call->timer = bp_clock_after(
	    call->desk->options.clock, (guint)MAX(delay_ms, 1), on_timer, call);
}

/* No owner took the call: waits a little for one, then refuses. */
static void
again_or_refuse(call_t *call, const char *reason)
{
	int64_t waited_ms = now_ms(call->desk) - call->start_ms;
	int64_t left_ms = call->deadline_ms - now_ms(call->desk);

	bp_membership_refresh(call->desk->options.membership);
	if ((waited_ms < PATIENCE_MS || call->uncertain) && left_ms > AGAIN_MS)
		plan(call, AGAIN_MS);
	else
		give_up(call, reason);
}

static void
take_answer(call_t *call, int kind, Bp__Work__JobState state, uint64_t waiting,
    const char *reason)
{
	bp_desk_answer_t answer = {
	    BP_DESK_OK, state, waiting, RETRY_AFTER_MS, reason};

	switch (kind) {
	case BP_OK:
		break;
	case BP_ENOTFOUND:
		answer.outcome = BP_DESK_GONE;
		break;
	case BP_EINVALID:
	case BP_EREFUSED:
		answer.outcome = BP_DESK_INVALID;
		break;
	case BP_ESTATE:
		again_or_refuse(call, reason);
		return;
	case BP_ELOGDOWN:
	case BP_EOVERLOAD:
	case BP_EDRAINING:
		give_up(call, reason);
		return;
	default:
		call->uncertain = true;
		again_or_refuse(call, reason);
		return;
	}
	finish(call, &answer);
}

static void
on_local(const bp_shard_answer_t *answer, void *data)
{
	call_t *call = data;

	call->trying = false;
	if (call->desk != NULL)
		take_answer(call, answer->kind, answer->state, answer->waiting,
		    answer->reason);
	unref(call);
}

static void
try_local(call_t *call, bp_shard_t *shard)
{
	bp_shard_answer_t answer = {
	    BP_OK, BP__WORK__JOB_STATE__JOB_QUEUED, 0, ""};

	(void)g_rc_box_acquire(call);
	switch (call->kind) {
	case CALL_SUBMIT:
		bp_shard_submit(
		    shard, bp_message_copy(&call->job->base), on_local, call);
		return;
	case CALL_CANCEL:
		bp_shard_cancel(shard, call->queue, call->id, on_local, call);
		return;
	case CALL_STATUS:
		bp_shard_status(shard, call->queue, call->id, &answer);
		break;
	case CALL_COUNT:
		if (!bp_shard_ready(shard))
			answer.kind = BP_ESTATE;
		answer.waiting = bp_shard_waiting(shard, call->queue);
		break;
	}
	on_local(&answer, call);
}

static uint64_t
arg_number(const Bp__Peer__Frame *frame)
{
	return frame->n_args > 0 ? g_ascii_strtoull(frame->args[0], NULL, 10)
				 : 0;
}

static void
on_remote(const Bp__Peer__Frame *frame, const bp_error_t *err, void *data)
{
	call_t *call = data;
	uint64_t number;

	call->trying = false;
	if (call->desk == NULL) {
		unref(call);
		return;
	}
	if (frame == NULL) {
		if (err->kind != BP_EUNREACHABLE)
			call->uncertain = true;
		again_or_refuse(call, err->message);
		unref(call);
		return;
	}
	number = arg_number(frame);
	take_answer(call, frame->error,
	    call->kind == CALL_COUNT ? BP__WORK__JOB_STATE__JOB_QUEUED
				     : (Bp__Work__JobState)number,
	    call->kind == CALL_COUNT ? number : 0, frame->message);
	unref(call);
}

static void
try_remote(call_t *call, const char *address)
{
	Bp__Peer__Frame frame = BP__PEER__FRAME__INIT;
	int64_t left_ms = call->deadline_ms - now_ms(call->desk);
	char shard[16];
	char *args[] = {call->queue, call->id};
	GBytes *bytes = NULL;

	snprintf(shard, sizeof(shard), "%u", call->shard);
	frame.args = args;
	frame.n_args = G_N_ELEMENTS(args);
	switch (call->kind) {
	case CALL_SUBMIT:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_SUBMIT;
		bytes = bp_message_pack(&call->job->base);
		bp_message_refer(&frame.body, bytes);
		break;
	case CALL_STATUS:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_STATUS;
		break;
	case CALL_CANCEL:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_CANCEL;
		break;
	case CALL_COUNT:
		frame.verb = BP__PEER__VERB__VERB_QUEUE_COUNT;
		args[1] = shard;
		break;
	}
	(void)g_rc_box_acquire(call);
	bp_peer_client_call(call->desk->options.client, address, &frame,
	    (uint32_t)CLAMP(left_ms, 1, OWNER_TIMEOUT_MS), on_remote, call);
	g_clear_pointer(&bytes, g_bytes_unref);
}

static void
try_call(call_t *call)
{
	const bp_queuedesk_options_t *options = &call->desk->options;
	bp_shard_t *shard = options->owned[call->shard];
	const char *address =
	    bp_membership_owner(options->membership, call->shard);
	int64_t left_ms = call->deadline_ms - now_ms(call->desk);

	if (left_ms <= 0) {
		give_up(call, "the caller's deadline has passed");
		return;
	}
	if (shard != NULL && bp_shard_ready(shard)) {
		call->trying = true;
		plan(call, left_ms);
		try_local(call, shard);
	} else if (shard == NULL && address != NULL &&
	    strcmp(address, options->address) != 0) {
		call->trying = true;
		plan(call, left_ms);
		try_remote(call, address);
	} else {
		again_or_refuse(call, "the owner of the shard is changing");
	}
}

/* Returns the time (mono) at which a caller's answer has to leave. */
static int64_t
due_ms(const bp_queuedesk_t *desk, uint32_t deadline_ms)
{
	return now_ms(desk) + MAX((int64_t)deadline_ms - RETURN_MS, RETURN_MS);
}

static call_t *
call_new(bp_queuedesk_t *desk, kind_t kind, const char *queue, const char *id,
    bp_desk_done_t done, void *data)
{
	call_t *call = g_rc_box_new0(call_t);

	call->desk = desk;
	call->kind = kind;
	call->queue = g_strdup(queue);
	call->id = g_strdup(id);
	call->shard = bp_shard_of_job(id, desk->options.shards);
	call->start_ms = now_ms(desk);
	call->done = done;
	call->data = data;
	g_hash_table_add(desk->calls, call);
	return call;
}

static void
start_call(bp_queuedesk_t *desk, kind_t kind, const char *queue, const char *id,
    Bp__Work__Job *job, uint32_t deadline_ms, bp_desk_done_t done, void *data)
{
	call_t *call = call_new(desk, kind, queue, id, done, data);

	call->job = job;
	call->deadline_ms = due_ms(desk, deadline_ms);
	try_call(call);
}

/* See the header. */
void
bp_queuedesk_submit(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, Bp__Work__Job *job, uint32_t deadline_ms,
    bp_desk_done_t done, void *data)
{
	free(job->id == protobuf_c_empty_string ? NULL : job->id);
	job->id = strdup(id);
	job->queue = strdup(route->name);
	job->service = strdup(route->service);
	job->priority = route->priority;
	job->attempts = MAX(route->attempts, 1);
	job->stretch_permille = route->stretch_permille;
	job->objective_ms = route->objective_ms;
	job->accepted_ms = bp_clock_wall_ms(desk->options.clock);
	start_call(
	    desk, CALL_SUBMIT, route->name, id, job, deadline_ms, done, data);
}

/* See the header. */
void
bp_queuedesk_status(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_desk_done_t done, void *data)
{
	start_call(
	    desk, CALL_STATUS, route->name, id, NULL, deadline_ms, done, data);
}

/* See the header. */
void
bp_queuedesk_cancel(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_desk_done_t done, void *data)
{
	start_call(
	    desk, CALL_CANCEL, route->name, id, NULL, deadline_ms, done, data);
}

/* Adds up the shards one after the other. */
typedef struct {
	bp_queuedesk_t *desk;
	char *queue;
	uint32_t next;
	int64_t deadline_ms;
	uint64_t waiting;
	bp_desk_done_t done;
	void *data;
} count_t;

static void count_next(count_t *count);

static void
on_counted(const bp_desk_answer_t *answer, void *data)
{
	count_t *count = data;
	bp_desk_answer_t sum = *answer;

	count->waiting += answer->waiting;
	sum.waiting = count->waiting;
	count->next++;
	if (answer->outcome == BP_DESK_OK &&
	    count->next < count->desk->options.shards) {
		count_next(count);
		return;
	}
	count->done(&sum, count->data);
	g_free(count->queue);
	g_free(count);
}

static void
count_next(count_t *count)
{
	call_t *call = call_new(
	    count->desk, CALL_COUNT, count->queue, "", on_counted, count);

	call->shard = count->next;
	call->deadline_ms = count->deadline_ms;
	try_call(call);
}

/* See the header. */
void
bp_queuedesk_count(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    uint32_t deadline_ms, bp_desk_done_t done, void *data)
{
	count_t *count = g_new0(count_t, 1);

	count->desk = desk;
	count->queue = g_strdup(route->name);
	count->deadline_ms = due_ms(desk, deadline_ms);
	count->done = done;
	count->data = data;
	count_next(count);
}

/* Creates a desk without a configuration. */
bp_queuedesk_t *
bp_queuedesk_new(const bp_queuedesk_options_t *options)
{
	bp_queuedesk_t *desk = g_new0(bp_queuedesk_t, 1);

	desk->options = *options;
	desk->calls = g_hash_table_new(NULL, NULL);
	return desk;
}

/* Frees the desk; open calls get the answer that nothing is known. */
void
bp_queuedesk_free(bp_queuedesk_t *desk)
{
	GList *calls;
	GList *node;

	if (desk == NULL)
		return;
	calls = g_hash_table_get_keys(desk->calls);
	for (node = calls; node != NULL; node = node->next) {
		call_t *call = node->data;

		call->uncertain = true;
		give_up(call, "the node stops");
	}
	g_list_free(calls);
	g_hash_table_unref(desk->calls);
	g_free(desk);
}

/* See the header. */
void
bp_queuedesk_set_catalog(bp_queuedesk_t *desk, const bp_catalog_t *catalog)
{
	desk->catalog = catalog;
}

/* See the header. */
const bp_catalog_t *
bp_queuedesk_catalog(const bp_queuedesk_t *desk)
{
	return desk->catalog;
}

/* See the header. */
bool
bp_queuedesk_ready(const bp_queuedesk_t *desk)
{
	return desk->catalog != NULL;
}

/* Returns the number of calls without an answer. */
uint32_t
bp_queuedesk_open(const bp_queuedesk_t *desk)
{
	return g_hash_table_size(desk->calls);
}

/* Returns what the desk was made with. */
const bp_queuedesk_options_t *
bp_queuedesk_options(const bp_queuedesk_t *desk)
{
	return &desk->options;
}
