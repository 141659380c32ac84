#include "queues/orderrouter.h"

#include "bulrushpost/message.h"
#include "bulrushpost/hash.h"
#include "proto/work.pb-c.h"
#include "queues/orderqueue.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* A node without a heartbeat for this time gets no orders. */
#define HEARTBEAT_TIMEOUT_MS 2500
/* Time for which a node gets no orders after it failed to answer one. */
#define BACKOFF_MS 1500
/* An order takes up to 0.9 s at the proxy; a poll also takes its wait. */
#define CALL_TIMEOUT_MS 1100
/* Period of the timer that measures by how much the event loop is late. */
#define PROBE_MS 50
/* A probe that is less late than this shows an ordinary turn of the loop. */
#define LATE_TURN_MS 100
/* Sum of late turns within a call that may have cost its answer: each step of
 * the call waits for a turn of the loop. */
#define BUSY_MS 300
/* Failures in a row, each of a later call, that are put down to a busy loop:
 * the node may be down, too. */
#define EXCUSED_MAX 3
/* Part of its processors that an owner uses to send orders itself. */
#define OWNER_PROXY_SHARE 0.25
/* Number of upper bits of a hash that make a fraction. */
#define UNIT_BITS 53
#define UNIT_SHIFT (64 - UNIT_BITS)
#define SEED_PROXY 0x636f7572

#define MODULE "relay"
/* Interval of the log lines on orders and the latency of starts. */
#define SUMMARY_MS 2000

/* Starts that a proxy answered since the last summary. */
typedef struct {
	uint32_t starts;
	uint64_t total_ms; /* sum of the times from sending to the answer */
	uint64_t proxy_ms; /* the part of total_ms spent at the proxy */
} start_stats_t;

/* Another node that can send orders. */
typedef struct {
	char *address;
	char *zone;
	uint64_t hash;
	uint32_t processor_milli;
	int64_t last_heartbeat_ms; /* mono */
	int64_t backoff_until_ms; /* mono */
	/* It refused an order or its connections since its last heartbeat. */
	bool refuses;
	/* Value of calls_sent when a connection failed first; 0: none failed
	 * since the last answer. */
	uint64_t failed_at_call;
	/* Value of calls_sent when a failure was last put down to this
	 * process. */
	uint64_t excused_at_call;
	uint32_t excused; /* such failures since its last answer */
	start_stats_t stats;
} proxy_t;

struct bp_order_router {
	bp_executors_t interface;
	bp_order_router_options_t options;
	GHashTable *proxies; /* address to proxy_t */
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

static void
proxy_free(gpointer data)
{
	proxy_t *proxy = data;

	g_free(proxy->address);
	g_free(proxy->zone);
	g_free(proxy);
}

/* See the header. */
void
bp_order_router_heartbeat(bp_order_router_t *router, const char *address,
    const char *zone, uint32_t processor_milli)
{
	proxy_t *proxy = g_hash_table_lookup(router->proxies, address);

	if (proxy == NULL) {
		proxy = g_new0(proxy_t, 1);
		proxy->address = g_strdup(address);
		proxy->zone = g_strdup(zone);
		proxy->hash = bp_hash_text(address, SEED_PROXY);
		g_hash_table_insert(router->proxies, proxy->address, proxy);
	}
	proxy->processor_milli = processor_milli;
	proxy->last_heartbeat_ms = bp_clock_mono_ms(router->options.clock);
	proxy->refuses = false;
}

/* Weighted rendezvous hashing: the highest score wins, and nodes win in
 * proportion to their weight. */
static double
rendezvous_score(uint64_t hash, double weight)
{
	double unit = ((double)(bp_hash_mix(hash) >> UNIT_SHIFT) + 0.5) /
	    (double)(1ULL << UNIT_BITS);

	return -MAX(weight, 1) / log(unit);
}

/* Returns whether a node lives as far as its heartbeats tell. */
static bool
is_alive(const proxy_t *proxy, int64_t now_ms)
{
	return now_ms - proxy->last_heartbeat_ms <= HEARTBEAT_TIMEOUT_MS;
}

/* Returns whether a node gets orders. */
static bool
is_usable(const proxy_t *proxy, int64_t now_ms)
{
	return is_alive(proxy, now_ms) && proxy->backoff_until_ms <= now_ms;
}

/* Returns whether a node gets orders if none is usable. */
static bool
is_last_resort(const proxy_t *proxy, int64_t now_ms)
{
	return is_alive(proxy, now_ms) && !proxy->refuses;
}

static bool
any_usable(const bp_order_router_t *router)
{
	int64_t now_ms = bp_clock_mono_ms(router->options.clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->proxies);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_usable(value, now_ms))
			return true;
	}
	return false;
}

/* Returns the number of nodes that currently get orders. */
static uint32_t
usable_proxies(const bp_order_router_t *router)
{
	int64_t now_ms = bp_clock_mono_ms(router->options.clock);
	uint32_t usable = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->proxies);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		usable += is_usable(value, now_ms);
	return usable;
}

/*
 * Returns the address of an executor's proxy, NULL for this node: the highest
 * rendezvous score, weighted by processors, among the usable nodes of the
 * executor's zone, or among all usable nodes if that zone has none. If no node
 * is usable, one that is backed off is better than this node alone: calls also
 * time out because this node is too busy to read their answers, and sending
 * all orders itself would keep it so.
 */
static const char *
choose_proxy(bp_order_router_t *router, const bp_exec_target_t *target)
{
	bool (*may_send)(const proxy_t *, int64_t) =
	    any_usable(router) ? is_usable : is_last_resort;
	int64_t now_ms = bp_clock_mono_ms(router->options.clock);
	uint64_t executor_hash = bp_hash_text(target->id, SEED_PROXY);
	bool best_in_zone = strcmp(router->options.zone, target->zone) == 0;
	uint64_t own_hash = bp_hash_text(router->options.address, SEED_PROXY);
	double best_score = rendezvous_score(executor_hash ^ own_hash,
	    router->options.processor_milli * OWNER_PROXY_SHARE);
	const char *best_address = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->proxies);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const proxy_t *proxy = value;
		bool in_zone = strcmp(proxy->zone, target->zone) == 0;
		double score = rendezvous_score(
		    executor_hash ^ proxy->hash, proxy->processor_milli);

		if (!may_send(proxy, now_ms))
			continue;
		if (in_zone == best_in_zone ? score > best_score : in_zone) {
			best_address = proxy->address;
			best_score = score;
			best_in_zone = in_zone;
		}
	}
	return best_address;
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

static void
record_start(const call_t *call, const Bp__Work__OrderResult *body)
{
	bp_order_router_t *router = call->router;
	proxy_t *proxy = g_hash_table_lookup(router->proxies, call->proxy);

	if (!call->start || proxy == NULL)
		return;
	proxy->stats.starts++;
	proxy->stats.total_ms +=
	    (uint64_t)(bp_clock_mono_ms(router->options.clock) - call->sent_ms);
	proxy->stats.proxy_ms += body->took_ms;
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

/*
 * Returns whether the failure of a call may be due to this process. A time-out
 * that was missed here also closes the connection, and the calls that had been
 * sent on it fail although they themselves were not delayed. All calls that
 * were in flight at an excused failure share its excuse.
 */
static bool
is_excused(const call_t *call, proxy_t *proxy, bool connection_failed)
{
	bool busy = was_busy(call);

	if (call->call_number <= proxy->excused_at_call)
		return busy || connection_failed;
	if (!busy || proxy->excused >= EXCUSED_MAX)
		return false;
	proxy->excused++;
	proxy->excused_at_call = call->router->calls_sent;
	return true;
}

static void
back_off(const bp_order_router_t *router, proxy_t *proxy)
{
	proxy->backoff_until_ms =
	    bp_clock_mono_ms(router->options.clock) + BACKOFF_MS;
}

/* The node backs off, and is no last resort before its next heartbeat. */
static void
refuse(const bp_order_router_t *router, proxy_t *proxy)
{
	back_off(router, proxy);
	proxy->refuses = true;
}

/* A broken connection fails all calls on it, which does not prove that the node
 * failed: it backs off only if a call that was sent later fails as well. */
static void
note_connection_failure(const call_t *call, proxy_t *proxy)
{
	if (proxy->failed_at_call == 0)
		proxy->failed_at_call = call->router->calls_sent;
	else if (call->call_number > proxy->failed_at_call)
		refuse(call->router, proxy);
}

/*
 * A proxy that does not answer in time, or answers with an error, gets no
 * orders for a while, unless this process was too busy to read the answer. err
 * is NULL if the proxy answered.
 */
static void
update_health(
    const call_t *call, const Bp__Peer__Frame *frame, const bp_error_t *err)
{
	proxy_t *proxy =
	    g_hash_table_lookup(call->router->proxies, call->proxy);

	if (proxy == NULL)
		return;
	if (frame != NULL && frame->error == BP_OK) {
		proxy->failed_at_call = 0;
		proxy->excused = 0;
	} else if (frame != NULL) {
		refuse(call->router, proxy);
	} else if (is_excused(call, proxy, err->kind != BP_EDEADLINE)) {
		return;
	} else if (err->kind != BP_EDEADLINE) {
		note_connection_failure(call, proxy);
	} else {
		back_off(call->router, proxy);
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
	const char *proxy = choose_proxy(router, &order->target);
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
	const char *proxy = choose_proxy((bp_order_router_t *)self, target);

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

static uint32_t
mean_ms(uint64_t sum_ms, uint32_t count)
{
	return count > 0 ? (uint32_t)(sum_ms / count) : 0;
}

static void
add_stats(start_stats_t *sum, const start_stats_t *stats)
{
	sum->starts += stats->starts;
	sum->total_ms += stats->total_ms;
	sum->proxy_ms += stats->proxy_ms;
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
	    direct, proxied, usable_proxies(router),
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
	start_stats_t sum = {0, 0, 0};
	start_stats_t worst = {0, 0, 0};
	char *slowest = NULL;
	GHashTableIter iter;
	gpointer value;
	char text[256];

	log_orders(router);
	g_hash_table_iter_init(&iter, router->proxies);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		proxy_t *proxy = value;

		add_stats(&sum, &proxy->stats);
		if (slowest == NULL ||
		    mean_ms(proxy->stats.total_ms, proxy->stats.starts) >
			mean_ms(worst.total_ms, worst.starts)) {
			worst = proxy->stats;
			slowest = proxy->address;
		}
		memset(&proxy->stats, 0, sizeof(proxy->stats));
	}
	if (sum.starts == 0)
		return G_SOURCE_CONTINUE;
	snprintf(text, sizeof(text),
	    "starts=%u mean_ms=%u carried_ms=%u slowest=%s its_starts=%u "
	    "its_ms=%u its_carried_ms=%u",
	    sum.starts, mean_ms(sum.total_ms, sum.starts),
	    mean_ms(sum.proxy_ms, sum.starts), slowest, worst.starts,
	    mean_ms(worst.total_ms, worst.starts),
	    mean_ms(worst.proxy_ms, worst.starts));
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

	router->options = *options;
	queue.clock = options->clock;
	queue.executors = options->direct;
	queue.reroute = send_proxied;
	queue.data = router;
	router->queue = bp_order_queue_new(&queue);
	router->proxies =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, proxy_free);
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
	g_hash_table_unref(router->proxies);
	g_free(router);
}

/* Returns the interface, which lives as long as the order router. */
bp_executors_t *
bp_order_router_interface(bp_order_router_t *router)
{
	return &router->interface;
}
