#ifndef BULRUSHPOST_LIMITER_H
#define BULRUSHPOST_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#define BP_EXECUTOR_SLOTS 8
#define BP_EXECUTOR_CONNECTIONS 60

/*
 * Adaptive limit of requests in flight: from one gateway to one endpoint, or
 * of the starts from an owner of a shard through one proxy.
 */
typedef struct {
	double limit;
	double floor;
	double ceiling;
	double increase; /* per as many samples as the limit */
	int64_t decreased_us; /* time of the latest decrease */
	uint32_t slots; /* of the endpoint, for all gateways */
	uint32_t connections; /* of the endpoint, for all gateways */
} bp_limiter_t;

/* Measurement from one finished request. */
typedef struct {
	int64_t now_us;
	uint32_t in_flight; /* including this request */
	double latency_us; /* moving average of the endpoint */
	double base_us; /* latency of the service without queueing; 0 unknown */
	bool overloaded; /* refused by the endpoint for lack of capacity */
} bp_limiter_sample_t;

void bp_limiter_init(bp_limiter_t *limiter, uint32_t gateways);
void bp_limiter_init_bounds(bp_limiter_t *limiter, uint32_t gateways,
    uint32_t slots, uint32_t connections);
/*
 * Initializes a limiter with explicit bounds. The limit grows by increase
 * each time that as many requests as the limit have finished.
 */
void bp_limiter_init_range(
    bp_limiter_t *limiter, double floor, double ceiling, double increase);
void bp_limiter_set_range(
    bp_limiter_t *limiter, double floor, double ceiling, double increase);
void bp_limiter_set_gateways(bp_limiter_t *limiter, uint32_t gateways);
uint32_t bp_limiter_limit(const bp_limiter_t *limiter);
void bp_limiter_add(bp_limiter_t *limiter, const bp_limiter_sample_t *sample);

#endif
