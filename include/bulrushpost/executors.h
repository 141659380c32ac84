#ifndef BULRUSHPOST_EXECUTORS_H
#define BULRUSHPOST_EXECUTORS_H

#include "bulrushpost/error.h"

#include <stdbool.h>

/* An entry of the executors' list. */
typedef struct {
	char *id;
	char *service;
	char *address; /* HOST:PORT */
	char *zone;
	char *rack; /* "" if unknown */
	GStrv labels;
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
	bool draining;
	int64_t born_ms; /* Unix ms, start of the incarnation */
} bp_executor_info_t;

/* A task that runs on an executor. */
typedef struct {
	const char *task;
	uint64_t run;
	const char *checkpoint; /* "" for none */
	uint32_t percent; /* progress; a long-running task at work has 100 */
	int64_t measured; /* tail latency in ms if serving, else CPU in use */
} bp_exec_running_t;

typedef enum {
	BP_END_DONE,
	BP_END_FAILED, /* by a fault of the task or the executor */
	BP_END_STOPPED,
	BP_END_LEASE_EXPIRED, /* the lease expired */
	BP_END_GANG_FAILED, /* another member of the gang ended */
	BP_END_GANG_INCOMPLETE, /* the gang was not complete in time */
	BP_END_OTHER /* a kind that this release does not know */
} bp_end_kind_t;

/* A run that has ended on an executor. */

typedef struct {
	uint64_t number; /* of the end, counted by incarnation */
	const char *task;
	uint64_t run;
	bp_end_kind_t kind;
	const char *checkpoint;
} bp_exec_ended_t;

typedef enum {
	BP_EXEC_OK,
	BP_EXEC_FENCED, /* orders with a later fencing token were there */
	BP_EXEC_STALE_RUN, /* this or a later run of the task was there before
			    */
	BP_EXEC_EXPIRED, /* the deadline of the order had passed */
	BP_EXEC_NO_CAPACITY, /* not enough free capacity */
	BP_EXEC_BAD_TICKET, /* the executor did not accept the ticket */
	BP_EXEC_OTHER_INCARNATION, /* another executor answers at the address */
	BP_EXEC_UNHEALTHY, /* nothing was done */
	BP_EXEC_INVALID, /* the order is malformed */
	BP_EXEC_NOT_SENT, /* not connected; nothing was done */
	BP_EXEC_UNKNOWN, /* no answer: may take effect, also later */
	BP_EXEC_UNCONFIRMED /* not sent: there is no connection on which the
			     * target's incarnation has answered */
} bp_exec_outcome_t;

/* Valid during the callback. */
typedef struct {
	bp_exec_outcome_t outcome;
	int64_t clock_ms; /* of the executor; 0: unknown */
	int64_t born_ms; /* start of the incarnation; 0: unknown */
	const GArray *running; /* bp_exec_running_t of a poll, else NULL */
	const GArray *ended; /* bp_exec_ended_t of a poll, else NULL */
	bool proxy_failed; /* says nothing about the executor */
} bp_exec_result_t;

typedef void (*bp_exec_done_t)(const bp_exec_result_t *result, void *data);

typedef struct {
	const char *address;
	const char *id;
	const char *zone;
	uint64_t fence; /* fencing token */
	/* Unix ms, the incarnation that the order is for; 0: any. */
	int64_t born_ms;
} bp_exec_target_t;

typedef struct {
	const char *task;
	uint64_t run;
	const char *payload;
	int64_t deadline_ms; /* on the executor's clock */
	const char *checkpoint; /* NULL for none */
	const char *ticket; /* NULL for none */
} bp_exec_start_t;

typedef struct {
	int64_t deadline_ms; /* new end of the lease; 0: does not renew it */
	uint64_t cursor; /* ends up to this number are acknowledged */
	uint32_t wait_ms; /* longest wait of the executor for another end */
} bp_exec_poll_t;

/* Sends orders to executors. done is called once, after the call has returned
 * and not after forget(). */
typedef struct bp_executors bp_executors_t;
struct bp_executors {
	void (*start)(bp_executors_t *self, const bp_exec_target_t *target,
	    const bp_exec_start_t *start, bp_exec_done_t done, void *data);
	void (*stop)(bp_executors_t *self, const bp_exec_target_t *target,
	    const char *task, uint64_t run, bp_exec_done_t done, void *data);
	/* Polls running and ended tasks, and renews the lease if poll names a
	 * deadline. */
	void (*poll)(bp_executors_t *self, const bp_exec_target_t *target,
	    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data);
	/* Throttles a task to a percentage of its full speed. */
	void (*throttle)(bp_executors_t *self, const bp_exec_target_t *target,
	    const char *task, uint64_t run, uint32_t percent,
	    bp_exec_done_t done, void *data);
	/*
	 * Returns the address of the node that would send an order, "" for this
	 * one; valid until the next call. The member is NULL if this node
	 * sends all orders.
	 */
	const char *(*proxy_address)(
	    bp_executors_t *self, const bp_exec_target_t *target);
	/* Cancels the pending callbacks whose data is this pointer. */
	void (*forget)(bp_executors_t *self, void *data);
};

/* Returns BP_EINVALID, with the field and its limits, for an entry that cannot
 * be that of an executor. */
int bp_executor_info_check(const bp_executor_info_t *info, bp_error_t *err);
void bp_executor_info_free(gpointer info);

#endif
