#ifndef BULRUSHPOST_QUEUE_H
#define BULRUSHPOST_QUEUE_H

#include "bulrushpost/state.h"

/*
 * Orders waiting jobs: urgent before service before batch; within a class,
 * the team with the lowest weighted dominant share first (dominant resource
 * fairness); within a team, by the selected order.
 */
typedef struct bp_queue bp_queue_t;

typedef enum {
	BP_ORDER_FIFO,
	BP_ORDER_WEIGHT_OVER_COST, /* batch only; other classes stay FIFO */
	BP_ORDER_ARRIVAL /* one FIFO queue for all; comparison baseline */
} bp_order_t;

typedef struct {
	bp_order_t order;
	/* A batch job that has waited longer goes first, oldest first. */
	uint32_t wait_bound_ms;
	/* Expected run time of one task in ms; NULL for the declared one. */
	uint64_t (*expected_run_ms)(const bp_job_t *job, void *data);
	void *data;
} bp_queue_options_t;

int bp_queue_options_init(bp_queue_options_t *options);
bp_queue_t *bp_queue_new(const bp_queue_options_t *options);
void bp_queue_free(bp_queue_t *queue);

/* Tells whether a job is considered in the round. */
typedef bool (*bp_queue_filter_t)(const bp_job_t *job, void *data);

/*
 * Starts a round with the waiting jobs that pass the filter, which may be
 * NULL, and the current shares of the teams. keep_batch keeps the remaining
 * batch jobs of the previous round in their order, which avoids sorting
 * thousands of jobs to place a few tasks.
 */
void bp_queue_load(bp_queue_t *queue, const bp_state_t *state, bool keep_batch,
    bp_queue_filter_t filter, void *data);
/* Removes and returns the next job to consider; NULL if none remains. */
bp_job_t *bp_queue_next(bp_queue_t *queue);
/* Charges planned tasks of a job to the share of its team. */
void bp_queue_charge(bp_queue_t *queue, const bp_job_t *job, uint32_t count);
/* Requeues the job returned last as the next one of its team. */
void bp_queue_put_back(bp_queue_t *queue, bp_job_t *job);
/* Weighted dominant share of a team, including charges of this round. */
double bp_queue_share(const bp_queue_t *queue, const bp_team_t *team);
/* Number of jobs not considered yet in this round. */
size_t bp_queue_left(const bp_queue_t *queue);
/* Tells whether a batch job has waited longer than wait_bound_ms. */
bool bp_queue_overdue(
    const bp_queue_t *queue, const bp_state_t *state, const bp_job_t *job);
/* Returns BP_EINVALID for an unknown name. */
int bp_order_parse(bp_order_t *out, const char *name);

#endif
