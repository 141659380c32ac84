#include "queues/orderqueue.h"

/* Time from one turn to the next, in which the loop reads answers. */
#define TURN_MS 2
/* Most orders given to other nodes in one turn; each costs far less. */
#define TURN_REROUTED 64
/* Most orders that are open before more are sent. One that was not answered in
 * OPEN_MS waits for its executor, not for this node. */
#define OPEN_ORDERS 64
#define OPEN_MS 250
/* Longest wait of an order that is not a poll: sending it takes up to 1.08 s
 * (incarnationguard.c), and a start is refused BP_SHARD_START_WINDOW_MS after
 * it was ordered. */
#define WAIT_MAX_MS 400
/* Longest wait of a poll that renews a lease; then its shard checks again
 * whether it may send orders. Longer than that of starts, or a poll would never
 * be the one that has waited longest. */
#define LEASE_POLL_WAIT_MAX_MS 1000
/* The same of other polls: a new owner's first polls of 500 executors that do
 * not answer take 7 times OPEN_MS. */
#define POLL_WAIT_MAX_MS 2500

/* Orders of a higher class go first. */
typedef enum {
	CLASS_URGENT, /* starts and stops */
	CLASS_SHORT_POLL, /* the executor answers at once */
	CLASS_LONG_POLL,
	CLASS_THROTTLE,
	CLASSES
} class_t;

/* An order that waits, with copies of its texts. */
typedef struct {
	bp_order_t order;
	int64_t accepted_ms; /* mono */
	bp_exec_done_t done;
	void *data;
} waiting_t;

/* An order that was sent. */
typedef struct {
	bp_order_queue_t *queue;
	int64_t sent_ms; /* mono */
	bool waits; /* a poll that the executor answers later */
	bp_exec_done_t done;
	void *data;
} flight_t;

struct bp_order_queue {
	bp_order_queue_options_t options;
	GQueue waiting[CLASSES]; /* waiting_t, oldest first */
	GHashTable *flights; /* set of flight_t */
	uint64_t sent;
	uint32_t turn_sent; /* orders sent in this turn */
	/* Orders sent by class since the one that had waited longest was. */
	uint32_t sent_by_class;
	guint turn_timer; /* 0: the last turn sent nothing and none waits */
};

static class_t
class_of(const bp_order_t *order)
{
	switch (order->kind) {
	case BP_ORDER_START:
	case BP_ORDER_STOP:
		return CLASS_URGENT;
	case BP_ORDER_POLL:
		return order->poll.wait_ms == 0 ? CLASS_SHORT_POLL
						: CLASS_LONG_POLL;
	case BP_ORDER_THROTTLE:
		break;
	}
	return CLASS_THROTTLE;
}

static void
copy_order(bp_order_t *to, const bp_order_t *from)
{
	*to = *from;
	to->target.address = g_strdup(from->target.address);
	to->target.id = g_strdup(from->target.id);
	to->target.zone = g_strdup(from->target.zone);
	switch (from->kind) {
	case BP_ORDER_START:
		to->start.task = g_strdup(from->start.task);
		to->start.payload = g_strdup(from->start.payload);
		to->start.checkpoint = g_strdup(from->start.checkpoint);
		to->start.ticket = g_strdup(from->start.ticket);
		break;
	case BP_ORDER_STOP:
		to->stop.task = g_strdup(from->stop.task);
		break;
	case BP_ORDER_POLL:
		break;
	case BP_ORDER_THROTTLE:
		to->throttle.task = g_strdup(from->throttle.task);
		break;
	}
}

static void
waiting_free(gpointer data)
{
	waiting_t *waiting = data;
	bp_order_t *order = &waiting->order;

	g_free((char *)order->target.address);
	g_free((char *)order->target.id);
	g_free((char *)order->target.zone);
	switch (order->kind) {
	case BP_ORDER_START:
		g_free((char *)order->start.task);
		g_free((char *)order->start.payload);
		g_free((char *)order->start.checkpoint);
		g_free((char *)order->start.ticket);
		break;
	case BP_ORDER_STOP:
		g_free((char *)order->stop.task);
		break;
	case BP_ORDER_POLL:
		break;
	case BP_ORDER_THROTTLE:
		g_free((char *)order->throttle.task);
		break;
	}
	g_free(waiting);
}

static void
on_sent(const bp_exec_result_t *result, void *data)
{
	flight_t *flight = data;

	g_hash_table_steal(flight->queue->flights, flight);
	flight->done(result, flight->data);
	g_free(flight);
}

static void
send_order(bp_order_queue_t *queue, const bp_order_t *order,
    bp_exec_done_t done, void *data)
{
	bp_executors_t *executors = queue->options.executors;
	flight_t *flight = g_new0(flight_t, 1);

	flight->queue = queue;
	flight->sent_ms = bp_clock_mono_ms(queue->options.clock);
	flight->done = done;
	flight->data = data;
	g_hash_table_add(queue->flights, flight);
	queue->sent++;
	queue->turn_sent++;
	switch (order->kind) {
	case BP_ORDER_START:
		executors->start(
		    executors, &order->target, &order->start, on_sent, flight);
		break;
	case BP_ORDER_STOP:
		executors->stop(executors, &order->target, order->stop.task,
		    order->stop.run, on_sent, flight);
		break;
	case BP_ORDER_POLL:
		flight->waits = order->poll.wait_ms > 0;
		executors->poll(
		    executors, &order->target, &order->poll, on_sent, flight);
		break;
	case BP_ORDER_THROTTLE:
		executors->throttle(executors, &order->target,
		    order->throttle.task, order->throttle.run,
		    order->throttle.percent, on_sent, flight);
		break;
	}
}

/* Returns whether this turn may send another order. */
static bool
may_send(const bp_order_queue_t *queue)
{
	int64_t now_ms = bp_clock_mono_ms(queue->options.clock);
	uint32_t open = 0;
	GHashTableIter iter;
	gpointer key;

	if (queue->turn_sent >= BP_ORDER_QUEUE_TURN_ORDERS)
		return false;
	g_hash_table_iter_init(&iter, queue->flights);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const flight_t *flight = key;

		open += !flight->waits && now_ms - flight->sent_ms < OPEN_MS;
	}
	return open < OPEN_ORDERS;
}

/* Returns whether the next order is the one that has waited longest. */
static bool
is_turn_of_oldest(const bp_order_queue_t *queue)
{
	return queue->sent_by_class + 1 >= BP_ORDER_QUEUE_TURN_ORDERS;
}

/*
 * Returns the class whose first order is next. One in
 * BP_ORDER_QUEUE_TURN_ORDERS orders is the one that has waited longest, so that
 * no class is held up for good. They are counted across turns, since a turn may
 * send fewer while many orders are open.
 */
static class_t
next_class(bp_order_queue_t *queue)
{
	bool oldest = is_turn_of_oldest(queue);
	class_t next = CLASSES;
	int64_t next_ms = 0;
	uint32_t i;

	for (i = 0; i < CLASSES; i++) {
		const waiting_t *first = g_queue_peek_head(&queue->waiting[i]);

		if (first == NULL ||
		    (next < CLASSES &&
			(!oldest || first->accepted_ms >= next_ms)))
			continue;
		next = (class_t)i;
		next_ms = first->accepted_ms;
	}
	return next;
}

static int64_t
wait_max_ms(const bp_order_t *order)
{
	if (order->kind != BP_ORDER_POLL)
		return WAIT_MAX_MS;
	return order->poll.deadline_ms > 0 ? LEASE_POLL_WAIT_MAX_MS
					   : POLL_WAIT_MAX_MS;
}

/* Removes the first order of a class that has waited too long; NULL: none. */
static waiting_t *
take_overdue(const bp_order_queue_t *queue, GQueue *class)
{
	int64_t now_ms = bp_clock_mono_ms(queue->options.clock);
	GList *link;

	for (link = class->head; link != NULL; link = link->next) {
		waiting_t *waiting = link->data;
		int64_t waited_ms = now_ms - waiting->accepted_ms;

		if (waited_ms <= WAIT_MAX_MS)
			break;
		if (waited_ms <= wait_max_ms(&waiting->order))
			continue;
		g_queue_delete_link(class, link);
		return waiting;
	}
	return NULL;
}

/* Ends the orders that have waited too long. */
static void
end_overdue(bp_order_queue_t *queue)
{
	bp_exec_result_t result = {0};
	uint32_t i;

	result.outcome = BP_EXEC_NOT_SENT;
	result.proxy_failed = true;
	for (i = 0; i < CLASSES; i++) {
		GQueue *class = &queue->waiting[i];
		waiting_t *waiting;

		/* A callback may change the queue. */
		while ((waiting = take_overdue(queue, class)) != NULL) {
			waiting->done(&result, waiting->data);
			waiting_free(waiting);
		}
	}
}

/* Sends an order whose turn has come. */
static void
send_first(bp_order_queue_t *queue, const waiting_t *first)
{
	queue->sent_by_class =
	    is_turn_of_oldest(queue) ? 0 : queue->sent_by_class + 1;
	send_order(queue, &first->order, first->done, first->data);
}

/* Sends waiting orders or gives them to other nodes, as far as this turn
 * allows. */
static void
send_waiting(bp_order_queue_t *queue)
{
	const bp_order_queue_options_t *options = &queue->options;
	uint32_t rerouted = 0;
	class_t next = next_class(queue);

	while (next < CLASSES && rerouted < TURN_REROUTED) {
		GQueue *class = &queue->waiting[next];
		waiting_t *first = g_queue_peek_head(class);

		if (options->reroute(
			&first->order, first->done, first->data, options->data))
			rerouted++;
		else if (may_send(queue))
			send_first(queue, first);
		else
			return;
		waiting_free(g_queue_pop_head(class));
		next = next_class(queue);
	}
}

static gboolean
on_turn(void *data)
{
	bp_order_queue_t *queue = data;
	bool idle = queue->turn_sent == 0;

	queue->turn_sent = 0;
	end_overdue(queue);
	send_waiting(queue);
	if (!idle || bp_order_queue_waiting(queue) > 0)
		return G_SOURCE_CONTINUE;
	queue->turn_timer = 0;
	return G_SOURCE_REMOVE;
}

/* Creates an empty queue. */
bp_order_queue_t *
bp_order_queue_new(const bp_order_queue_options_t *options)
{
	bp_order_queue_t *queue = g_new0(bp_order_queue_t, 1);
	uint32_t i;

	queue->options = *options;
	queue->flights = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	for (i = 0; i < CLASSES; i++)
		g_queue_init(&queue->waiting[i]);
	return queue;
}

/* Frees a queue; its orders are dropped. NULL is allowed. */
void
bp_order_queue_free(bp_order_queue_t *queue)
{
	bp_executors_t *executors;
	GHashTableIter iter;
	gpointer key;
	uint32_t i;

	if (queue == NULL)
		return;
	executors = queue->options.executors;
	bp_clock_cancel_timer(queue->options.clock, &queue->turn_timer);
	g_hash_table_iter_init(&iter, queue->flights);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		executors->forget(executors, key);
	g_hash_table_unref(queue->flights);
	for (i = 0; i < CLASSES; i++)
		g_queue_clear_full(&queue->waiting[i], waiting_free);
	g_free(queue);
}

/* See the header. */
void
bp_order_queue_add(bp_order_queue_t *queue, const bp_order_t *order,
    bp_exec_done_t done, void *data)
{
	waiting_t *waiting;

	if (queue->turn_timer == 0)
		queue->turn_timer = bp_clock_add_timer(
		    queue->options.clock, TURN_MS, on_turn, queue);
	if (bp_order_queue_waiting(queue) == 0 && may_send(queue)) {
		send_order(queue, order, done, data);
		return;
	}
	waiting = g_new0(waiting_t, 1);
	copy_order(&waiting->order, order);
	waiting->accepted_ms = bp_clock_mono_ms(queue->options.clock);
	waiting->done = done;
	waiting->data = data;
	g_queue_push_tail(&queue->waiting[class_of(order)], waiting);
}

static void
drop_waiting(GQueue *class, const void *data)
{
	GList *link = class->head;

	while (link != NULL) {
		GList *next = link->next;
		waiting_t *waiting = link->data;

		if (waiting->data == data) {
			g_queue_delete_link(class, link);
			waiting_free(waiting);
		}
		link = next;
	}
}

/* See the header. */
void
bp_order_queue_forget(bp_order_queue_t *queue, void *data)
{
	bp_executors_t *executors = queue->options.executors;
	GHashTableIter iter;
	gpointer key;
	uint32_t i;

	for (i = 0; i < CLASSES; i++)
		drop_waiting(&queue->waiting[i], data);
	g_hash_table_iter_init(&iter, queue->flights);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		flight_t *flight = key;

		if (flight->data != data)
			continue;
		executors->forget(executors, flight);
		g_hash_table_iter_remove(&iter);
	}
}

/* See the header. */
uint32_t
bp_order_queue_waiting(const bp_order_queue_t *queue)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < CLASSES; i++)
		sum += queue->waiting[i].length;
	return sum;
}

/* See the header. */
uint64_t
bp_order_queue_sent(const bp_order_queue_t *queue)
{
	return queue->sent;
}
