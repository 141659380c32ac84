#ifndef BULRUSHPOST_SHED_H
#define BULRUSHPOST_SHED_H

#include "bulrushpost/rules.h"

#include <stdbool.h>
#include <stdint.h>

#define BP_SHED_RANKS 3
#define BP_SHED_REASON_BYTES 256
/* Bounds the memory of queued requests, which may be 1 MiB each. */
#define BP_SHED_MAX_QUEUED 256

typedef enum { BP_SHED_SEND, BP_SHED_QUEUE, BP_SHED_REFUSE } bp_shed_verdict_t;

/* Load of one service on this gateway. */
typedef struct {
	uint32_t in_flight;
	uint32_t limit; /* of requests in flight */
	uint32_t queued[BP_SHED_RANKS];
	double latency_us; /* mean of a request; 0 if unknown */
} bp_shed_load_t;

/* Returns the rank of a class: 0 urgent, 1 service, 2 batch. */
uint32_t bp_shed_rank(bp_task_class_t klass);
const char *bp_shed_rank_name(uint32_t rank);
int64_t bp_shed_max_wait_ms(uint32_t rank);
bool bp_shed_may_send(const bp_shed_load_t *load, uint32_t rank);
/*
 * left_ms is the remaining time to the deadline. reason, a buffer of
 * BP_SHED_REASON_BYTES, is set only for BP_SHED_REFUSE.
 */
bp_shed_verdict_t bp_shed_decide(
    const bp_shed_load_t *load, uint32_t rank, int64_t left_ms, char *reason);

#endif
