#ifndef BULRUSHPOST_BALANCER_H
#define BULRUSHPOST_BALANCER_H

#include "bulrushpost/endpoint.h"
#include "bulrushpost/hash.h"

#define BP_MAX_ATTEMPTS 3

/* Chooses the endpoint of each attempt by the power of two choices. */
typedef struct {
	bp_random_t random;
	char *zone; /* availability zone of this gateway */
} bp_balancer_t;

/* The input of one choice: the request and the endpoints tried for it. */
typedef struct {
	int64_t now_us;
	bool idempotent;
	const bp_endpoint_t *tried[BP_MAX_ATTEMPTS]; /* excluded */
	uint32_t n_tried;
} bp_choice_t;

void bp_balancer_init(bp_balancer_t *balancer, const char *zone, uint64_t seed);
void bp_balancer_clear(bp_balancer_t *balancer);
bp_endpoint_t *bp_balancer_choose(
    bp_balancer_t *balancer, bp_pool_t *pool, const bp_choice_t *choice);

#endif
