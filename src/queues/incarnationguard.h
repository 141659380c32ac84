#ifndef BP_QUEUES_INCARNATIONGUARD_H
#define BP_QUEUES_INCARNATIONGUARD_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"

/*
 * Sends orders only to the incarnation of an executor that they are meant for.
 * The client below it sends such an order only over a connection on which this
 * incarnation has answered a poll, and reports BP_EXEC_UNCONFIRMED without one;
 * the guard then polls the executor and sends the order again.
 */
typedef struct bp_incarnation_guard bp_incarnation_guard_t;

/* Both outlive the guard. */
bp_incarnation_guard_t *bp_incarnation_guard_new(
    const bp_clock_t *clock, bp_executors_t *client);
/* Pending orders end without a callback. NULL is allowed. */
void bp_incarnation_guard_free(bp_incarnation_guard_t *guard);
bp_executors_t *bp_incarnation_guard_interface(bp_incarnation_guard_t *guard);

#endif
