#include "queues/orderproxy.h"

#include "bulrushpost/message.h"
#include "proto/work.pb-c.h"

/* Time after which an owner gives up on an order; see orderrouter.c. */
#define ORDER_TIMEOUT_MS 1100

struct bp_order_proxy {
	const bp_clock_t *clock;
	bp_pause_watch_t *pauses;
	bp_executors_t *direct;
	const char *zone;
	GHashTable *pending_orders; /* set of pending_order_t */
};

/* An order that this node has sent for an owner. */
typedef struct {
	bp_order_proxy_t *proxy;
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
		const bp_exec_running_t *row =
		    &g_array_index(from->running, bp_exec_running_t, i);
		Bp__Work__RunningRow *out = g_new(Bp__Work__RunningRow, 1);

		bp__work__running_row__init(out);
		out->task = (char *)row->task;
		out->run = row->run;
		out->checkpoint = (char *)row->checkpoint;
		out->percent = row->percent;
		out->figure = row->measured;
		to->running[to->n_running++] = out;
		g_ptr_array_add(rows, out);
	}
	for (i = 0; i < from->ended->len; i++) {
		const bp_exec_ended_t *row =
		    &g_array_index(from->ended, bp_exec_ended_t, i);
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
	body.took_ms = (uint32_t)(bp_clock_mono_ms(pending->proxy->clock) -
	    pending->received_ms);
	if (result->running != NULL && result->ended != NULL)
		put_poll_rows(result, &body, rows);
	answer.outcome = BP_OUTCOME_RAN;
	bytes = bp_message_pack(&body.base);
	bp_message_refer(&answer.body, bytes);
	g_hash_table_remove(pending->proxy->pending_orders, pending);
	bp_peer_request_answer(pending->request, &answer);
	g_bytes_unref(bytes);
	g_ptr_array_unref(rows);
	g_free(pending);
}

static void
execute_order(bp_order_proxy_t *proxy, const Bp__Work__Order *order,
    pending_order_t *pending)
{
	bp_executors_t *direct = proxy->direct;
	bp_exec_target_t target = {order->address, order->id, proxy->zone,
	    order->fence, order->born_ms};
	bp_exec_start_t start = {order->task, order->run, order->payload,
	    order->deadline_ms, order->checkpoint,
	    order->ticket[0] != '\0' ? order->ticket : NULL};
	bp_exec_poll_t poll = {
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
		direct->throttle(direct, &target, order->task, order->run,
		    order->percent, on_served, pending);
		break;
	case BP__WORK__ORDER_KIND__ORDER_LOOK:
	case _BP__WORK__ORDER_KIND_IS_INT_SIZE:
		direct->poll(direct, &target, &poll, on_served, pending);
		break;
	}
}

/*
 * Returns whether an order that is read now may have been delayed by a pause
 * of this process. Its owner has given up on it. The executor may have a new
 * incarnation, which knows no fencing token, while the order's deadline and
 * cursor belong to the previous one.
 */
static bool
may_be_stale(bp_order_proxy_t *proxy)
{
	bp_pause_t pause;

	return bp_pause_watch_recent(proxy->pauses, &pause) &&
	    pause.end_ms - pause.start_ms > ORDER_TIMEOUT_MS;
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
bp_order_proxy_serve(bp_order_proxy_t *proxy, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	Bp__Work__Order *order =
	    bp__work__order__unpack(NULL, frame->body.len, frame->body.data);
	pending_order_t *pending;

	if (order == NULL) {
		refuse(request, BP_EINVALID);
		return;
	}
	if (may_be_stale(proxy)) {
		refuse(request, BP_ESTATE);
		bp__work__order__free_unpacked(order, NULL);
		return;
	}
	pending = g_new0(pending_order_t, 1);
	pending->proxy = proxy;
	pending->request = request;
	pending->received_ms = bp_clock_mono_ms(proxy->clock);
	g_hash_table_add(proxy->pending_orders, pending);
	execute_order(proxy, order, pending);
	bp__work__order__free_unpacked(order, NULL);
}

/* See the header. */
bp_order_proxy_t *
bp_order_proxy_new(const bp_clock_t *clock, bp_pause_watch_t *pauses,
    bp_executors_t *direct, const char *zone)
{
	bp_order_proxy_t *proxy = g_new0(bp_order_proxy_t, 1);

	proxy->clock = clock;
	proxy->direct = direct;
	proxy->zone = zone;
	proxy->pending_orders = g_hash_table_new(NULL, NULL);
	proxy->pauses = pauses;
	return proxy;
}

/* See the header. */
void
bp_order_proxy_free(bp_order_proxy_t *proxy)
{
	GList *keys;
	GList *node;

	if (proxy == NULL)
		return;
	keys = g_hash_table_get_keys(proxy->pending_orders);
	for (node = keys; node != NULL; node = node->next) {
		Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
		pending_order_t *pending = node->data;

		proxy->direct->forget(proxy->direct, pending);
		answer.error = BP_EUNKNOWN;
		answer.outcome = BP_OUTCOME_NOT_KNOWN;
		bp_peer_request_answer(pending->request, &answer);
		g_free(pending);
	}
	g_list_free(keys);
	g_hash_table_unref(proxy->pending_orders);
	g_free(proxy);
}
