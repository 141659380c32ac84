#include "queues/orderrouter.h"

#include "bulrushpost/message.h"
#include "proto/work.pb-c.h"
#include "queues/orderqueue.h"
#include "queues/proxyset.h"

#include <stdio.h>

/* An order takes up to 0.9 s at the proxy; a poll also takes its wait. */
#define CALL_TIMEOUT_MS 1100
/* Period of the timer that measures by how much the event loop is late. */
#define PROBE_MS 50
/* A probe that is less late than this shows an ordinary turn of the loop. */
#define LATE_TURN_MS 100
/* Sum of late turns within a call that may have cost its answer: each step of
 * the call waits for a turn of the loop. */
#define BUSY_MS 300

#define MODULE "relay"
/* Interval of the log lines on orders and the latency of starts. */
#define SUMMARY_MS 2000

struct bp_order_router {
	bp_executors_t interface;
	bp_order_router_options_t options;
	bp_proxy_set_t *proxies;
	GHashTable *calls; /* set of call_t in flight */
	uint64_t calls_sent;
	bp_order_queue_t *queue; /* of orders that this node sends itself */
	uint64_t calls_summarized; /* calls_sent at the last summary */
	uint64_t direct_summarized; /* sent by queue at the last summary */
	guint summary_timer;
	int64_t late_ms; /* sum of the lateness of all late turns */
	int64_t probe_due_ms; /* mono */
	guint probe_timer;
};

/* An order in flight through a proxy. */
typedef struct {
	bp_order_router_t *router;
	char *proxy; /* address */
	bool start; /* the order is a start */
	uint64_t call_number; /* of this order router, from 1 */
	int64_t sent_ms; /* mono */
	int64_t late_ms; /* lateness_ms() when it was sent */
	bp_exec_done_t done; /* NULL after forget() */
	void *data;
} call_t;

/* See the header. */
void
bp_order_router_heartbeat(bp_order_router_t *router, const char *address,
    const char *zone, uint32_t processor_milli)
{
	bp_proxy_set_heartbeat(router->proxies, address, zone, processor_milli);
}

static void
copy_poll_rows(const Bp__Work__OrderResult *from, bp_exec_result_t *to)
{
	GArray *running = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	GArray *ended = g_array_new(FALSE, TRUE, sizeof(bp_exec_ended_t));
	size_t i;

	for (i = 0; i < from->n_running; i++) {
		const Bp__Work__RunningRow *row = from->running[i];
		bp_exec_running_t copy = {row->task, row->run, row->checkpoint,
		    row->percent, row->figure};

		g_array_append_val(running, copy);
	}
	for (i = 0; i < from->n_ended; i++) {
		const Bp__Work__EndedRow *row = from->ended[i];
		bp_exec_ended_t copy = {row->number, row->task, row->run,
		    row->kind <= BP_END_OTHER ? (bp_end_kind_t)row->kind
					      : BP_END_OTHER,
		    row->checkpoint};

		g_array_append_val(ended, copy);
	}
	to->running = running;
	to->ended = ended;
}

/* Returns by how much the event loop has been late in all late turns, including
 * the probe that is due. */
static int64_t
lateness_ms(const bp_order_router_t *router)
{
	int64_t overdue_ms =
	    bp_clock_mono_ms(router->options.clock) - router->probe_due_ms;

	if (router->probe_timer == 0 || overdue_ms < LATE_TURN_MS)
		return router->late_ms;
	return router->late_ms + overdue_ms;
}

static gboolean
on_probe(void *data)
{
	bp_order_router_t *router = data;

	router->late_ms = lateness_ms(router);
	router->probe_due_ms =
	    bp_clock_mono_ms(router->options.clock) + PROBE_MS;
	if (g_hash_table_size(router->calls) > 0)
		return G_SOURCE_CONTINUE;
	router->probe_timer = 0;
	return G_SOURCE_REMOVE;
}

/* Measures the event loop while calls are in flight; most nodes send none. */
static void
start_probe(bp_order_router_t *router)
{
	if (router->probe_timer != 0)
		return;
	router->probe_due_ms =
	    bp_clock_mono_ms(router->options.clock) + PROBE_MS;
	router->probe_timer = bp_clock_add_timer(
	    router->options.clock, PROBE_MS, on_probe, router);
}

/* Returns whether this process may have been too busy to read the answer. */
static bool
was_busy(const call_t *call)
{
	return lateness_ms(call->router) - call->late_ms >= BUSY_MS;
}

static void
record_start(const call_t *call, const Bp__Work__OrderResult *body)
{
	bp_order_router_t *router = call->router;

	if (call->start)
		bp_proxy_set_record_start(router->proxies, call->proxy,
		    (uint64_t)(bp_clock_mono_ms(router->options.clock) -
			call->sent_ms),
		    body->took_ms);
}

/* err is NULL if the proxy answered. */
static void
update_health(
    const call_t *call, const Bp__Peer__Frame *frame, const bp_error_t *err)
{
	bp_order_router_t *router = call->router;
	bp_proxy_failure_t failure = {
	    call->call_number, router->calls_sent, false, was_busy(call)};

	if (frame == NULL) {
		failure.timed_out = err->kind == BP_EDEADLINE;
		bp_proxy_set_failed(router->proxies, call->proxy, &failure);
	} else if (frame->error == BP_OK) {
		bp_proxy_set_answered(router->proxies, call->proxy);
	} else {
		bp_proxy_set_refused(router->proxies, call->proxy);
	}
}

static void
deliver_result(call_t *call, const Bp__Peer__Frame *frame)
{
	Bp__Work__OrderResult *body = bp__work__order_result__unpack(
	    NULL, frame->body.len, frame->body.data);
	bp_exec_result_t result = {0};

	result.outcome = BP_EXEC_UNKNOWN;
	if (body != NULL && body->outcome <= BP_EXEC_UNCONFIRMED) {
		record_start(call, body);
		result.outcome = (bp_exec_outcome_t)body->outcome;
		result.clock_ms = body->clock_ms;
		result.born_ms = body->born_ms;
		if (body->lists)
			copy_poll_rows(body, &result);
	}
	call->done(&result, call->data);
	if (result.running != NULL)
		g_array_unref((GArray *)result.running);
	if (result.ended != NULL)
		g_array_unref((GArray *)result.ended);
	if (body != NULL)
		bp__work__order_result__free_unpacked(body, NULL);
}

/* The proxy failed, which says nothing about the executor. */
static void
fail_order(call_t *call, bool maybe_applied)
{
	bp_exec_result_t result = {0};

	result.outcome = maybe_applied ? BP_EXEC_UNKNOWN : BP_EXEC_NOT_SENT;
	result.proxy_failed = true;
	call->done(&result, call->data);
}

static void
call_free(gpointer data)
{
	call_t *call = data;

	g_free(call->proxy);
	g_free(call);
}

static void
on_answer(const Bp__Peer__Frame *frame, const bp_error_t *err, void *data)
{
	call_t *call = data;

	g_hash_table_steal(call->router->calls, call);
	update_health(call, frame, err);
	if (call->done != NULL && frame == NULL)
		fail_order(call, err->kind != BP_EUNREACHABLE);
	else if (call->done != NULL && frame->error != BP_OK)
		fail_order(call, frame->outcome != BP_OUTCOME_NOT_RUN);
	else if (call->done != NULL)
		deliver_result(call, frame);
	call_free(call);
}

/* Sends the frame of an order to a node. */
static void
call_proxy(bp_order_router_t *router, const char *proxy,
    const Bp__Work__Order *message, uint32_t timeout_ms, bp_exec_done_t done,
    void *data)
{
	Bp__Peer__Frame frame = BP__PEER__FRAME__INIT;
	call_t *call = g_new0(call_t, 1);
	GBytes *bytes;

	call->router = router;
	call->proxy = g_strdup(proxy);
	call->start = message->kind == BP__WORK__ORDER_KIND__ORDER_START;
	call->call_number = ++router->calls_sent;
	start_probe(router);
	call->late_ms = lateness_ms(router);
	call->sent_ms = bp_clock_mono_ms(router->options.clock);
	call->done = done;
	call->data = data;
	g_hash_table_add(router->calls, call);
	frame.verb = BP__PEER__VERB__VERB_QUEUE_ORDER;
	bytes = bp_message_pack(&message->base);
	bp_message_refer(&frame.body, bytes);
	bp_peer_client_call(
	    router->options.client, proxy, &frame, timeout_ms, on_answer, call);
	g_bytes_unref(bytes);
}

/* Sends an order through the executor's proxy. Returns false if that is this
 * node. */
static bool
send_proxied(
    const bp_order_t *order, bp_exec_done_t done, void *done_data, void *data)
{
	bp_order_router_t *router = data;
	const char *proxy =
	    bp_proxy_set_choose(router->proxies, &order->target);
	Bp__Work__Order message = BP__WORK__ORDER__INIT;
	uint32_t timeout_ms = CALL_TIMEOUT_MS;

	if (proxy == NULL)
		return false;
	message.address = (char *)order->target.address;
	message.id = (char *)order->target.id;
	message.fence = order->target.fence;
	message.born_ms = order->target.born_ms;
	switch (order->kind) {
	case BP_ORDER_START:
		message.kind = BP__WORK__ORDER_KIND__ORDER_START;
		message.task = (char *)order->start.task;
		message.run = order->start.run;
		message.payload = (char *)order->start.payload;
		message.deadline_ms = order->start.deadline_ms;
		if (order->start.checkpoint != NULL)
			message.checkpoint = (char *)order->start.checkpoint;
		if (order->start.ticket != NULL)
			message.ticket = (char *)order->start.ticket;
		break;
	case BP_ORDER_STOP:
		message.kind = BP__WORK__ORDER_KIND__ORDER_STOP;
		message.task = (char *)order->stop.task;
		message.run = order->stop.run;
		break;
	case BP_ORDER_POLL:
		message.kind = BP__WORK__ORDER_KIND__ORDER_LOOK;
		message.deadline_ms = order->poll.deadline_ms;
		message.cursor = order->poll.cursor;
		message.wait_ms = order->poll.wait_ms;
		timeout_ms += order->poll.wait_ms;
		break;
	case BP_ORDER_THROTTLE:
		message.kind = BP__WORK__ORDER_KIND__ORDER_PACE;
		message.task = (char *)order->throttle.task;
		message.run = order->throttle.run;
		message.percent = order->throttle.percent;
		break;
	}
	call_proxy(router, proxy, &message, timeout_ms, done, done_data);
	return true;
}

static void
route(bp_executors_t *self, const bp_order_t *order, bp_exec_done_t done,
    void *data)
{
	bp_order_router_t *router = (bp_order_router_t *)self;

	if (!send_proxied(order, done, data, router))
		bp_order_queue_add(router->queue, order, done, data);
}

static void
router_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	bp_order_t order = {.kind = BP_ORDER_START, .target = *target};

	order.start = *start;
	route(self, &order, done, data);
}

static void
router_stop(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, bp_exec_done_t done, void *data)
{
	bp_order_t order = {.kind = BP_ORDER_STOP, .target = *target};

	order.stop.task = task;
	order.stop.run = run;
	route(self, &order, done, data);
}

static void
router_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	bp_order_t order = {.kind = BP_ORDER_POLL, .target = *target};

	order.poll = *poll;
	route(self, &order, done, data);
}

static void
router_throttle(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, uint32_t percent, bp_exec_done_t done,
    void *data)
{
	bp_order_t order = {.kind = BP_ORDER_THROTTLE, .target = *target};

	order.throttle.task = task;
	order.throttle.run = run;
	order.throttle.percent = percent;
	route(self, &order, done, data);
}

static const char *
router_proxy_address(bp_executors_t *self, const bp_exec_target_t *target)
{
	const char *proxy =
	    bp_proxy_set_choose(((bp_order_router_t *)self)->proxies, target);

	return proxy != NULL ? proxy : "";
}

static void
router_forget(bp_executors_t *self, void *data)
{
	bp_order_router_t *router = (bp_order_router_t *)self;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, router->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		call_t *call = key;

		if (call->data == data)
			call->done = NULL;
	}
	bp_order_queue_forget(router->queue, data);
}

/* Logs how many orders this node sends itself, as each costs far more than one
 * that a proxy sends. */
static void
log_orders(bp_order_router_t *router)
{
	uint64_t sent = bp_order_queue_sent(router->queue);
	uint64_t direct = sent - router->direct_summarized;
	uint64_t proxied = router->calls_sent - router->calls_summarized;
	char text[128];

	router->direct_summarized = sent;
	router->calls_summarized = router->calls_sent;
	if (direct == 0 && proxied == 0)
		return;
	snprintf(text, sizeof(text),
	    "direct=%" G_GUINT64_FORMAT " proxied=%" G_GUINT64_FORMAT
	    " proxies=%u unanswered=%u waiting=%u",
	    direct, proxied, bp_proxy_set_usable(router->proxies),
	    g_hash_table_size(router->calls),
	    bp_order_queue_waiting(router->queue));
	bp_log(router->options.logger, BP_LOG_INFO, MODULE, "orders sent",
	    "state", text, NULL);
}

/* Logs what tells one slow proxy from slow proxies everywhere and from a busy
 * owner. */
static gboolean
on_summary(void *data)
{
	bp_order_router_t *router = data;
	bp_proxy_starts_t sum;
	bp_proxy_starts_t worst;
	const char *slowest;
	char text[256];

	log_orders(router);
	slowest = bp_proxy_set_take_starts(router->proxies, &sum, &worst);
	if (sum.starts == 0)
		return G_SOURCE_CONTINUE;
	snprintf(text, sizeof(text),
	    "starts=%u mean_ms=%u carried_ms=%u slowest=%s its_starts=%u "
	    "its_ms=%u its_carried_ms=%u",
	    sum.starts, bp_proxy_starts_mean_ms(sum.total_ms, sum.starts),
	    bp_proxy_starts_mean_ms(sum.proxy_ms, sum.starts), slowest,
	    worst.starts, bp_proxy_starts_mean_ms(worst.total_ms, worst.starts),
	    bp_proxy_starts_mean_ms(worst.proxy_ms, worst.starts));
	bp_log(router->options.logger, BP_LOG_INFO, MODULE,
	    "starts carried out", "state", text, NULL);
	return G_SOURCE_CONTINUE;
}

/* Creates an order router that knows no other node yet. */
bp_order_router_t *
bp_order_router_new(const bp_order_router_options_t *options)
{
	bp_order_router_t *router = g_new0(bp_order_router_t, 1);
	bp_order_queue_options_t queue = {0};
	bp_proxy_set_options_t proxies = {0};

	router->options = *options;
	queue.clock = options->clock;
	queue.executors = options->direct;
	queue.reroute = send_proxied;
	queue.data = router;
	router->queue = bp_order_queue_new(&queue);
	proxies.clock = options->clock;
	proxies.address = options->address;
	proxies.zone = options->zone;
	proxies.processor_milli = options->processor_milli;
	router->proxies = bp_proxy_set_new(&proxies);
	router->calls = g_hash_table_new_full(NULL, NULL, call_free, NULL);
	router->summary_timer =
	    bp_clock_add_timer(options->clock, SUMMARY_MS, on_summary, router);
	router->interface.start = router_start;
	router->interface.stop = router_stop;
	router->interface.poll = router_poll;
	router->interface.throttle = router_throttle;
	router->interface.proxy_address = router_proxy_address;
	router->interface.forget = router_forget;
	return router;
}

/* Frees an order router. The client whose calls refer to it has to be freed
 * before. NULL is allowed. */
void
bp_order_router_free(bp_order_router_t *router)
{
	if (router == NULL)
		return;
	bp_clock_cancel_timer(router->options.clock, &router->summary_timer);
	bp_clock_cancel_timer(router->options.clock, &router->probe_timer);
	bp_order_queue_free(router->queue);
	g_hash_table_unref(router->calls);
	bp_proxy_set_free(router->proxies);
	g_free(router);
}

/* Returns the interface, which lives as long as the order router. */
bp_executors_t *
bp_order_router_interface(bp_order_router_t *router)
{
	return &router->interface;
}
