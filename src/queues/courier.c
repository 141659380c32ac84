#include "queues/courier.h"

#include "bulrushpost/message.h"
#include "proto/work.pb-c.h"

/* Time after which an owner gives up on an order; see relay.c. */
#define ORDER_TIMEOUT_MS 1100
#define TICK_MS 200
/* Time after a pause in which requests that arrived during it are read. */
#define STALE_PERIOD_MS 500

struct bp_courier {
	const bp_clock_t *clock;
	int64_t last_active_ms; /* mono, of the last tick or order */
	int64_t stale_until_ms; /* mono; orders are refused until then */
	guint timer;
	bp_executors_t *direct;
	const char *zone;
	GHashTable *pending_orders; /* set of pending_order_t */
};

/* An order that this node has sent for an owner. */
typedef struct {
	bp_courier_t *courier;
	bp_peer_request_t *request;
	int64_t received_ms; /* mono */
} pending_order_t;

static void
put_poll_rows(
    const bp_exec_result_t *from, Bp__Work__OrderResult *to, GPtrArray *rows)
{
	guint i;

	to->lists = true;
	to->running = g_new0(Bp__Work__RunningRow *, from->running->len);
	to->ended = g_new0(Bp__Work__EndedRow *, from->ended->len);
	g_ptr_array_add(rows, to->running);
	g_ptr_array_add(rows, to->ended);
	for (i = 0; i < from->running->len; i++) {
		const bp_look_running_t *row =
		    &g_array_index(from->running, bp_look_running_t, i);
		Bp__Work__RunningRow *out = g_new(Bp__Work__RunningRow, 1);

		bp__work__running_row__init(out);
		out->task = (char *)row->task;
		out->run = row->run;
		out->checkpoint = (char *)row->checkpoint;
		out->percent = row->percent;
		out->figure = row->figure;
		to->running[to->n_running++] = out;
		g_ptr_array_add(rows, out);
	}
	for (i = 0; i < from->ended->len; i++) {
		const bp_look_ended_t *row =
		    &g_array_index(from->ended, bp_look_ended_t, i);
		Bp__Work__EndedRow *out = g_new(Bp__Work__EndedRow, 1);

		bp__work__ended_row__init(out);
		out->number = row->number;
		out->task = (char *)row->task;
		out->run = row->run;
		out->kind = row->kind;
		out->checkpoint = (char *)row->checkpoint;
		to->ended[to->n_ended++] = out;
		g_ptr_array_add(rows, out);
	}
}

static void
on_served(const bp_exec_result_t *result, void *data)
{
	pending_order_t *pending = data;
	Bp__Work__OrderResult body = BP__WORK__ORDER_RESULT__INIT;
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	GPtrArray *rows = g_ptr_array_new_with_free_func(g_free);
	GBytes *bytes;

	body.outcome = result->outcome;
	body.clock_ms = result->clock_ms;
	body.born_ms = result->born_ms;
	body.took_ms = (uint32_t)(bp_clock_mono_ms(pending->courier->clock) -
	    pending->received_ms);
	if (result->running != NULL && result->ended != NULL)
		put_poll_rows(result, &body, rows);
	answer.outcome = BP_OUTCOME_RAN;
	bytes = bp_message_pack(&body.base);
	bp_message_refer(&answer.body, bytes);
	g_hash_table_remove(pending->courier->pending_orders, pending);
	bp_peer_request_answer(pending->request, &answer);
	g_bytes_unref(bytes);
	g_ptr_array_unref(rows);
	g_free(pending);
}

static void
execute_order(bp_courier_t *courier, const Bp__Work__Order *order,
    pending_order_t *pending)
{
	bp_executors_t *direct = courier->direct;
	bp_exec_target_t target = {
	    order->address, order->id, courier->zone, order->fence};
	bp_exec_start_t start = {order->task, order->run, order->payload,
	    order->deadline_ms, order->checkpoint,
	    order->ticket[0] != '\0' ? order->ticket : NULL};
	bp_exec_look_t look = {
	    order->deadline_ms, order->cursor, order->wait_ms};

	switch (order->kind) {
	case BP__WORK__ORDER_KIND__ORDER_START:
		direct->start(direct, &target, &start, on_served, pending);
		break;
	case BP__WORK__ORDER_KIND__ORDER_STOP:
		direct->stop(direct, &target, order->task, order->run,
		    on_served, pending);
		break;
	case BP__WORK__ORDER_KIND__ORDER_PACE:
		direct->pace(direct, &target, order->task, order->run,
		    order->percent, on_served, pending);
		break;
	case BP__WORK__ORDER_KIND__ORDER_LOOK:
	case _BP__WORK__ORDER_KIND_IS_INT_SIZE:
		direct->look(direct, &target, &look, on_served, pending);
		break;
	}
}

/* Records that this process runs, and detects the end of a pause. */
static void
note_activity(bp_courier_t *courier)
{
	int64_t now_ms = bp_clock_mono_ms(courier->clock);

	if (now_ms - courier->last_active_ms > ORDER_TIMEOUT_MS)
		courier->stale_until_ms = now_ms + STALE_PERIOD_MS;
	courier->last_active_ms = now_ms;
}

static gboolean
on_tick(void *data)
{
	note_activity(data);
	return G_SOURCE_CONTINUE;
}

/*
 * Returns whether an order that is read now may have been delayed by a pause
 * of this process. Its owner has given up on it. The executor may have a new
 * incarnation, which knows no fencing token, while the order's deadline and
 * cursor belong to the previous one.
 */
static bool
may_be_stale(bp_courier_t *courier)
{
	note_activity(courier);
	return courier->last_active_ms < courier->stale_until_ms;
}

static void
refuse(bp_peer_request_t *request, bp_error_kind_t kind)
{
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;

	answer.error = kind;
	answer.outcome = BP_OUTCOME_NOT_RUN;
	bp_peer_request_answer(request, &answer);
}

/* See the header. */
void
bp_courier_serve(bp_courier_t *courier, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	Bp__Work__Order *order =
	    bp__work__order__unpack(NULL, frame->body.len, frame->body.data);
	pending_order_t *pending;

	if (order == NULL) {
		refuse(request, BP_EINVALID);
		return;
	}
	if (may_be_stale(courier)) {
		refuse(request, BP_ESTATE);
		bp__work__order__free_unpacked(order, NULL);
		return;
	}
	pending = g_new0(pending_order_t, 1);
	pending->courier = courier;
	pending->request = request;
	pending->received_ms = bp_clock_mono_ms(courier->clock);
	g_hash_table_add(courier->pending_orders, pending);
	execute_order(courier, order, pending);
	bp__work__order__free_unpacked(order, NULL);
}

/* See the header. */
bp_courier_t *
bp_courier_new(
    const bp_clock_t *clock, bp_executors_t *direct, const char *zone)
{
	bp_courier_t *courier = g_new0(bp_courier_t, 1);

	courier->clock = clock;
	courier->direct = direct;
	courier->zone = zone;
	courier->pending_orders = g_hash_table_new(NULL, NULL);
	courier->last_active_ms = bp_clock_mono_ms(clock);
	courier->timer = bp_clock_after(clock, TICK_MS, on_tick, courier);
	return courier;
}

/* See the header. */
void
bp_courier_free(bp_courier_t *courier)
{
	GList *keys;
	GList *node;

	if (courier == NULL)
		return;
	bp_clock_cancel(courier->clock, &courier->timer);
	keys = g_hash_table_get_keys(courier->pending_orders);
	for (node = keys; node != NULL; node = node->next) {
		Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
		pending_order_t *pending = node->data;

		courier->direct->forget(courier->direct, pending);
		answer.error = BP_EUNKNOWN;
		answer.outcome = BP_OUTCOME_NOT_KNOWN;
		bp_peer_request_answer(pending->request, &answer);
		g_free(pending);
	}
	g_list_free(keys);
	g_hash_table_unref(courier->pending_orders);
	g_free(courier);
}
