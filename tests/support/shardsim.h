#ifndef BP_TESTS_SHARDSIM_H
#define BP_TESTS_SHARDSIM_H

#include "bulrushpost/shard.h"
#include "support/queuestore.h"

#define BP_SHARDSIM_ORDERS_MAX 256

typedef enum {
	BP_SIM_START,
	BP_SIM_STOP,
	BP_SIM_POLL,
	BP_SIM_THROTTLE
} bp_sim_order_kind_t;

/* An order to a simulated executor, until the test answers it. */
typedef struct {
	bp_sim_order_kind_t kind;
	char *executor; /* its ID */
	char *task; /* NULL for polls */
	uint64_t run;
	uint32_t percent; /* of the throttle order */
	uint32_t wait_ms; /* of the poll */
	bp_exec_done_t done;
	void *data;
	bool answered;
	int64_t born_ms; /* told by the answer to a poll, 0: 1 */
} bp_sim_order_t;

/* A shard and executors whose answers the test determines. */
typedef struct {
	bp_executors_t interface;
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	bp_shard_t *shard;
	bp_sim_order_t orders[BP_SHARDSIM_ORDERS_MAX];
	uint32_t n_orders;
} bp_shardsim_t;

/* Creates a shard that owns its partition and has met the executor i-1. */
bp_shardsim_t *bp_shardsim_new(void);
void bp_shardsim_free(bp_shardsim_t *sim);
/* Lists one more executor, which has answered its first poll. */
void bp_shardsim_list(bp_shardsim_t *sim, const char *executor);
/* Lists an executor with the time of its start. */
void bp_shardsim_list_born(
    bp_shardsim_t *sim, const char *executor, int64_t born_ms);
/*
 * Replaces the shard by that of another node, which reads the records of the
 * first one. Orders of the first one stay unanswered. i-1 is listed, and its
 * first poll is open.
 */
void bp_shardsim_take_over(bp_shardsim_t *sim);
/* Advances the clock while the shard's membership stays confirmed. */
void bp_shardsim_run_ms(bp_shardsim_t *sim, int64_t duration_ms);
/* Returns the oldest unanswered order of a kind, of a task unless task is NULL;
 * NULL for none. */
bp_sim_order_t *bp_shardsim_open_order(
    bp_shardsim_t *sim, bp_sim_order_kind_t kind, const char *task);
/* Returns the oldest unanswered order of a kind to an executor. */
bp_sim_order_t *bp_shardsim_open_order_to(
    bp_shardsim_t *sim, bp_sim_order_kind_t kind, const char *executor);
/* Answers an order; running is a start whose task a poll lists, or NULL. */
void bp_shardsim_answer(bp_sim_order_t *order, bp_exec_outcome_t outcome,
    int64_t clock_ms, const bp_sim_order_t *running);
/* Answers a poll with these running tasks, bp_exec_running_t. */
void bp_shardsim_answer_poll(
    bp_sim_order_t *poll, int64_t clock_ms, GArray *running);
/* The same with ended runs, bp_exec_ended_t. */
void bp_shardsim_answer_lists(
    bp_sim_order_t *poll, int64_t clock_ms, GArray *running, GArray *ended);
/* Creates a step of tasks that take 5 s. */
Bp__Work__Step *bp_shardsim_step(uint32_t tasks, uint32_t cpu_milli);
/* Submits a job of one step, and takes ownership of the step. */
void bp_shardsim_submit_step(
    bp_shardsim_t *sim, const char *id, Bp__Work__Step *step);
/* Submits a job of one task. */
void bp_shardsim_submit(bp_shardsim_t *sim, const char *id);

#endif
