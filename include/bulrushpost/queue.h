#ifndef BULRUSHPOST_QUEUE_H
#define BULRUSHPOST_QUEUE_H

#include "bulrushpost/state.h"

/*
 * The order in which waiting jobs are considered: urgent, service, batch;
 * in a class the team with the lowest weighted dominant share; in a team by
 * the selected order.
 */
typedef struct bp_queue bp_queue_t;

typedef enum {
	BP_ORDER_FIFO,
	BP_ORDER_WEIGHT_OVER_COST, /* batch only; other classes stay FIFO */
	BP_ORDER_ARRIVAL /* one line for all; baseline for comparisons */
} bp_order_t;

typedef struct {
	bp_order_t order;
	/* A batch job that has waited this long goes first, oldest first. */
	uint32_t wait_bound_ms;
	/* Expected run time of one task; NULL for the declared one. */
	uint64_t (*expected_run_ms)(const bp_job_t *job, void *data);
	void *data;
} bp_queue_options_t;

int bp_queue_options_init(bp_queue_options_t *options);
bp_queue_t *bp_queue_new(const bp_queue_options_t *options);
void bp_queue_free(bp_queue_t *queue);

/* Tells whether a job takes part in the round. */
typedef bool (*bp_queue_filter_t)(const bp_job_t *job, void *data);

/*
 * Starts a round: takes over the waiting jobs that pass the filter, which
 * may be NULL, and the shares of the teams. With keep_batch the batch jobs
 * of the round before that were not considered yet stay as they are, which
 * spares ordering thousands of jobs to place a few tasks.
 */
void bp_queue_load(bp_queue_t *queue, const bp_state_t *state, bool keep_batch,
    bp_queue_filter_t filter, void *data);
/* Next job to consider, or NULL; it leaves the queue of this round. */
bp_job_t *bp_queue_next(bp_queue_t *queue);
/* Charges planned tasks of a job to its team, which moves its next turn. */
void bp_queue_charge(bp_queue_t *queue, const bp_job_t *job, uint32_t count);
/* Puts the job returned last back as the next one of its team. */
void bp_queue_put_back(bp_queue_t *queue, bp_job_t *job);
/* Weighted dominant share of a team, with what was charged in this round. */
double bp_queue_share(const bp_queue_t *queue, const bp_team_t *team);
/* Jobs not considered yet in this round. */
size_t bp_queue_left(const bp_queue_t *queue);
/* Tells whether a batch job has waited longer than the bound. */
bool bp_queue_overdue(
    const bp_queue_t *queue, const bp_state_t *state, const bp_job_t *job);
int bp_order_parse(bp_order_t *out, const char *name);

#endif
