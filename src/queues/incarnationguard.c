#include "queues/incarnationguard.h"

/* Polls for one order. Another order may take the connection that a poll has
 * confirmed. */
#define CONFIRMATIONS_MAX 3
/* An order is sent no later than this after it was accepted: whoever waits for
 * it allows this much beyond the time-out of the client. */
#define SEND_UNTIL_MS 180

typedef enum { ORDER_START, ORDER_STOP, ORDER_POLL, ORDER_THROTTLE } kind_t;

struct bp_incarnation_guard {
	bp_executors_t interface;
	const bp_clock_t *clock;
	bp_executors_t *client;
	GHashTable *orders; /* order_t, pending */
};

/* An order with copies of its texts. */
typedef struct {
	bp_incarnation_guard_t *guard;
	kind_t kind;
	bp_exec_target_t target;
	bp_exec_start_t start; /* also the task and the run of other orders */
	bp_exec_poll_t poll;
	uint32_t percent;
	int64_t accepted_ms; /* monotonic */
	uint32_t confirmations;
	bp_exec_done_t done;
	void *data;
} order_t;

static void
order_free(gpointer data)
{
	order_t *order = data;

	g_free((char *)order->target.address);
	g_free((char *)order->target.id);
	g_free((char *)order->target.zone);
	g_free((char *)order->start.task);
	g_free((char *)order->start.payload);
	g_free((char *)order->start.checkpoint);
	g_free((char *)order->start.ticket);
	g_free(order);
}

static order_t *
order_new(bp_executors_t *self, kind_t kind, const bp_exec_target_t *target,
    bp_exec_done_t done, void *data)
{
	bp_incarnation_guard_t *guard = (bp_incarnation_guard_t *)self;
	order_t *order = g_new0(order_t, 1);

	order->guard = guard;
	order->kind = kind;
	order->target = *target;
	order->target.address = g_strdup(target->address);
	order->target.id = g_strdup(target->id);
	order->target.zone = g_strdup(target->zone);
	order->accepted_ms = bp_clock_mono_ms(guard->clock);
	order->done = done;
	order->data = data;
	g_hash_table_add(guard->orders, order);
	return order;
}

static void
end(order_t *order, const bp_exec_result_t *result)
{
	g_hash_table_steal(order->guard->orders, order);
	order->done(result, order->data);
	order_free(order);
}

static void
end_with(order_t *order, bp_exec_outcome_t outcome)
{
	bp_exec_result_t result = {0};

	result.outcome = outcome;
	end(order, &result);
}

static void send(order_t *order);

static bool
may_try_again(const order_t *order)
{
	return order->confirmations <= CONFIRMATIONS_MAX &&
	    bp_clock_mono_ms(order->guard->clock) - order->accepted_ms <
	    SEND_UNTIL_MS;
}

/* The poll that confirms a connection has ended. */
static void
on_confirmed(const bp_exec_result_t *result, void *data)
{
	order_t *order = data;

	if (order->kind == ORDER_POLL)
		end(order, result);
	else if (result->outcome == BP_EXEC_FENCED)
		end_with(order, BP_EXEC_FENCED);
	else if (result->outcome != BP_EXEC_OK || result->running == NULL)
		end_with(order, BP_EXEC_NOT_SENT);
	else if (result->born_ms != order->target.born_ms)
		end_with(order, BP_EXEC_OTHER_INCARNATION);
	else if (may_try_again(order))
		send(order);
	else
		end_with(order, BP_EXEC_UNCONFIRMED);
}

/*
 * Polls the executor over any connection. The poll acknowledges no end and
 * renews no lease, which is harmless to every incarnation; a poll that was
 * ordered is answered by it.
 */
static void
confirm(order_t *order)
{
	bp_exec_target_t target = order->target;
	bp_exec_poll_t poll = {0};

	order->confirmations++;
	target.born_ms = 0;
	order->guard->client->poll(
	    order->guard->client, &target, &poll, on_confirmed, order);
}

static void
on_result(const bp_exec_result_t *result, void *data)
{
	order_t *order = data;

	if (result->outcome != BP_EXEC_UNCONFIRMED)
		end(order, result);
	else if (may_try_again(order))
		confirm(order);
	else
		end(order, result);
}

static void
send(order_t *order)
{
	bp_executors_t *client = order->guard->client;

	switch (order->kind) {
	case ORDER_START:
		client->start(
		    client, &order->target, &order->start, on_result, order);
		break;
	case ORDER_STOP:
		client->stop(client, &order->target, order->start.task,
		    order->start.run, on_result, order);
		break;
	case ORDER_POLL:
		client->poll(
		    client, &order->target, &order->poll, on_result, order);
		break;
	case ORDER_THROTTLE:
		client->throttle(client, &order->target, order->start.task,
		    order->start.run, order->percent, on_result, order);
		break;
	}
}

static void
guard_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	order_t *order = order_new(self, ORDER_START, target, done, data);

	order->start = *start;
	order->start.task = g_strdup(start->task);
	order->start.payload = g_strdup(start->payload);
	order->start.checkpoint = g_strdup(start->checkpoint);
	order->start.ticket = g_strdup(start->ticket);
	send(order);
}

static void
guard_stop(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, bp_exec_done_t done, void *data)
{
	order_t *order = order_new(self, ORDER_STOP, target, done, data);

	order->start.task = g_strdup(task);
	order->start.run = run;
	send(order);
}

static void
guard_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	order_t *order = order_new(self, ORDER_POLL, target, done, data);

	order->poll = *poll;
	send(order);
}

static void
guard_throttle(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, uint32_t percent, bp_exec_done_t done,
    void *data)
{
	order_t *order = order_new(self, ORDER_THROTTLE, target, done, data);

	order->start.task = g_strdup(task);
	order->start.run = run;
	order->percent = percent;
	send(order);
}

static void
guard_forget(bp_executors_t *self, void *data)
{
	bp_incarnation_guard_t *guard = (bp_incarnation_guard_t *)self;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, guard->orders);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		order_t *order = key;

		if (order->data != data)
			continue;
		guard->client->forget(guard->client, order);
		g_hash_table_iter_remove(&iter);
	}
}

/* Creates a guard in front of a client. */
bp_incarnation_guard_t *
bp_incarnation_guard_new(const bp_clock_t *clock, bp_executors_t *client)
{
	bp_incarnation_guard_t *guard = g_new0(bp_incarnation_guard_t, 1);

	guard->clock = clock;
	guard->client = client;
	guard->orders = g_hash_table_new_full(NULL, NULL, order_free, NULL);
	guard->interface.start = guard_start;
	guard->interface.stop = guard_stop;
	guard->interface.poll = guard_poll;
	guard->interface.throttle = guard_throttle;
	guard->interface.forget = guard_forget;
	return guard;
}

/* See the header. */
void
bp_incarnation_guard_free(bp_incarnation_guard_t *guard)
{
	GHashTableIter iter;
	gpointer key;

	if (guard == NULL)
		return;
	g_hash_table_iter_init(&iter, guard->orders);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		guard->client->forget(guard->client, key);
	g_hash_table_unref(guard->orders);
	g_free(guard);
}

/* Returns the interface, which lives as long as the guard. */
bp_executors_t *
bp_incarnation_guard_interface(bp_incarnation_guard_t *guard)
{
	return &guard->interface;
}
