#ifndef BULRUSHPOST_EXECUTORS_H
#define BULRUSHPOST_EXECUTORS_H

#include "bulrushpost/error.h"

#include <stdbool.h>

/* What an executor says of itself in the executors' list. */
typedef struct {
	char *id;
	char *service;
	char *address; /* HOST:PORT */
	char *zone;
	char *rack; /* "" when not named */
	GStrv labels;
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
	bool draining;
	int64_t born_ms; /* Unix ms of this life's start; 0: not told */
} bp_executor_info_t;

/* One row of what runs on an executor. */
typedef struct {
	const char *task;
	uint64_t run;
	const char *checkpoint; /* "" for none */
	uint32_t percent; /* of the work; 100 of a lasting task is at work */
	int64_t figure; /* tail in ms of a serving task, else cpu in use */
} bp_look_running_t;

typedef enum {
	BP_END_DONE,
	BP_END_FAILED, /* by the task's or the executor's fault */
	BP_END_STOPPED,
	BP_END_LAPSED, /* the lease expired */
	BP_END_BROKEN, /* another member of the gang ended */
	BP_END_ALONE, /* the gang was not complete in time */
	BP_END_OTHER /* a word that this release does not know */
} bp_end_kind_t;

typedef struct {
	uint64_t number; /* of the end, in this life */
	const char *task;
	uint64_t run;
	bp_end_kind_t kind;
	const char *checkpoint;
} bp_look_ended_t;

typedef enum {
	BP_EXEC_OK,
	BP_EXEC_FENCED, /* a later epoch gave orders there */
	BP_EXEC_OLD, /* this or a later run was there before */
	BP_EXEC_LATE, /* its time had passed */
	BP_EXEC_NO_ROOM,
	BP_EXEC_TICKET,
	BP_EXEC_OTHER_LIFE, /* another executor answers at the address */
	BP_EXEC_UNHEALTHY, /* nothing was done */
	BP_EXEC_INVALID, /* the order is malformed */
	BP_EXEC_NOT_SENT, /* not connected; nothing was done */
	BP_EXEC_UNKNOWN /* no answer: done, not done or done later */
} bp_exec_outcome_t;

/* Valid during the callback. */
typedef struct {
	bp_exec_outcome_t outcome;
	int64_t clock_ms; /* of the executor; 0 when not told */
	int64_t born_ms; /* 0 when not told */
	const GArray *running; /* bp_look_running_t; of looks, else NULL */
	const GArray *ended; /* bp_look_ended_t; of looks, else NULL */
	bool courier_failed; /* says nothing of the executor */
} bp_exec_result_t;

typedef void (*bp_exec_done_t)(const bp_exec_result_t *result, void *data);

typedef struct {
	const char *address;
	const char *id;
	const char *zone;
	uint64_t fence;
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
	int64_t deadline_ms; /* new end of the lease; 0: leaves it */
	uint64_t cursor; /* ends up to it are forgotten */
	uint32_t wait_ms; /* the answer waits so long for an end */
} bp_exec_look_t;

/* Orders to executors. done is called once, later, not after forget(). */
typedef struct bp_executors bp_executors_t;
struct bp_executors {
	void (*start)(bp_executors_t *self, const bp_exec_target_t *target,
	    const bp_exec_start_t *start, bp_exec_done_t done, void *data);
	void (*stop)(bp_executors_t *self, const bp_exec_target_t *target,
	    const char *task, uint64_t run, bp_exec_done_t done, void *data);
	void (*look)(bp_executors_t *self, const bp_exec_target_t *target,
	    const bp_exec_look_t *look, bp_exec_done_t done, void *data);
	void (*pace)(bp_executors_t *self, const bp_exec_target_t *target,
	    const char *task, uint64_t run, uint32_t percent,
	    bp_exec_done_t done, void *data);
	/*
	 * Names the node that would carry out an order, "" for this one; valid
	 * until the next call. NULL when all orders go from here.
	 */
	const char *(*carrier)(
	    bp_executors_t *self, const bp_exec_target_t *target);
	/* Drops calls whose data is this pointer. */
	void (*forget)(bp_executors_t *self, void *data);
};

void bp_executor_info_free(gpointer info);

#endif
