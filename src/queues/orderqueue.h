#ifndef BP_QUEUES_ORDERQUEUE_H
#define BP_QUEUES_ORDERQUEUE_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"

/*
 * Orders that this node sends to executors itself. Each costs some
 * milliseconds, so that few are sent in one turn of the event loop; the others
 * wait for later turns, starts and stops before polls.
 */
typedef struct bp_order_queue bp_order_queue_t;

/* Most orders sent in one turn of the event loop. */
#define BP_ORDER_QUEUE_TURN_ORDERS 4

typedef enum {
	BP_ORDER_START,
	BP_ORDER_STOP,
	BP_ORDER_POLL,
	BP_ORDER_THROTTLE
} bp_order_kind_t;

typedef struct {
	bp_order_kind_t kind;
	bp_exec_target_t target;
	union {
		bp_exec_start_t start;
		struct {
			const char *task;
			uint64_t run;
		} stop;
		bp_exec_poll_t poll;
		struct {
			const char *task;
			uint64_t run;
			uint32_t percent;
		} throttle;
	};
} bp_order_t;

typedef struct {
	const bp_clock_t *clock;
	bp_executors_t *executors; /* sends the orders; outlives the queue */
	/* Gives an order whose turn has come to another node, which calls done
	 * with done_data. Returns whether there is one. */
	bool (*reroute)(const bp_order_t *order, bp_exec_done_t done,
	    void *done_data, void *data);
	void *data;
} bp_order_queue_options_t;

bp_order_queue_t *bp_order_queue_new(const bp_order_queue_options_t *options);
void bp_order_queue_free(bp_order_queue_t *queue);
/* Sends an order now or in a later turn. One that waited too long ends as not
 * sent: 0.4 s, a poll 1 s if it renews a lease and else 2.5 s. */
void bp_order_queue_add(bp_order_queue_t *queue, const bp_order_t *order,
    bp_exec_done_t done, void *data);
/* Drops the orders and pending callbacks whose data is this pointer. */
void bp_order_queue_forget(bp_order_queue_t *queue, void *data);
/* Returns the number of orders that wait. */
uint32_t bp_order_queue_waiting(const bp_order_queue_t *queue);
/* Returns the number of orders sent so far. */
uint64_t bp_order_queue_sent(const bp_order_queue_t *queue);

#endif
