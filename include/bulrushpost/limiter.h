#ifndef BULRUSHPOST_LIMITER_H
#define BULRUSHPOST_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#define BP_EXECUTOR_SLOTS 8
#define BP_EXECUTOR_CONNECTIONS 60

/*
 * Adaptive limit of requests in flight: from one gateway to one endpoint, or
 * of an owner's starts that one node carries out.
 */
typedef struct {
	double limit;
	double floor;
	double ceiling;
	double increase; /* for as many samples as the limit */
	int64_t decreased_us; /* time of the latest decrease */
	uint32_t slots; /* of the endpoint, for all gateways together */
	uint32_t connections; /* of the endpoint, likewise */
} bp_limiter_t;

/* What one finished request tells about its endpoint. */
typedef struct {
	int64_t now_us;
	uint32_t in_flight; /* including this request */
	double latency_us; /* smoothed latency of the endpoint */
	double base_us; /* latency of the service without queueing; 0 unknown */
	bool overloaded; /* the endpoint refused for lack of capacity */
} bp_limiter_sample_t;

void bp_limiter_init(bp_limiter_t *limiter, uint32_t gateways);
void bp_limiter_init_bounds(bp_limiter_t *limiter, uint32_t gateways,
    uint32_t slots, uint32_t connections);
/* A limit of its own bounds that grows by increase for each full turn. */
void bp_limiter_init_range(
    bp_limiter_t *limiter, double floor, double ceiling, double increase);
void bp_limiter_set_range(
    bp_limiter_t *limiter, double floor, double ceiling, double increase);
void bp_limiter_set_gateways(bp_limiter_t *limiter, uint32_t gateways);
uint32_t bp_limiter_limit(const bp_limiter_t *limiter);
void bp_limiter_add(bp_limiter_t *limiter, const bp_limiter_sample_t *sample);

#endif
