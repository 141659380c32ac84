#include "bulrushpost/limiter.h"

/* A latency above this multiple of the baseline is a sign of queueing. */
#define CONGESTED_LATENCY_RATIO 2.0
#define DECREASE_FACTOR 0.75
/* The effect of a decrease is visible only after a few responses. */
#define DECREASE_INTERVAL_US 200000

static double
clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

/*
 * Sets the bounds of the limit for a number of gateways that share each
 * endpoint. The floor is an equal share of the slots, so that a false sign of
 * congestion never leaves slots idle. The ceiling keeps all gateways together
 * within the connections of the endpoint, since each request uses one.
 */
void
bp_limiter_set_gateways(bp_limiter_t *limiter, uint32_t gateways)
{
	uint32_t n_gateways = gateways > 0 ? gateways : 1;
	uint32_t slot_share = (limiter->slots + n_gateways - 1) / n_gateways;
	uint32_t connection_share = limiter->connections / n_gateways;

	limiter->ceiling = connection_share < limiter->slots
	    ? (double)connection_share
	    : (double)limiter->slots;
	if (limiter->ceiling < 1)
		limiter->ceiling = 1;
	limiter->floor =
	    slot_share < limiter->ceiling ? slot_share : limiter->ceiling;
	limiter->limit =
	    clamp(limiter->limit, limiter->floor, limiter->ceiling);
}

/*
 * Initializes a limiter for an endpoint that takes the given number of requests
 * and connections from all gateways together. The limit starts at twice the
 * equal share: most endpoints are not used by all gateways at once, and the
 * limit falls quickly when they are.
 */
void
bp_limiter_init_bounds(bp_limiter_t *limiter, uint32_t gateways, uint32_t slots,
    uint32_t connections)
{
	limiter->slots = slots;
	limiter->connections = connections;
	limiter->limit = 0;
	limiter->decreased_us = INT64_MIN / 2;
	limiter->increase = 1;
	bp_limiter_set_gateways(limiter, gateways);
	limiter->limit = clamp(limiter->floor * 2, 1, limiter->ceiling);
}

/* Initializes a limiter with the default slots and connections. */
void
bp_limiter_init(bp_limiter_t *limiter, uint32_t gateways)
{
	bp_limiter_init_bounds(
	    limiter, gateways, BP_EXECUTOR_SLOTS, BP_EXECUTOR_CONNECTIONS);
}

/* Initializes a limiter with explicit bounds; the limit starts at the floor. */
void
bp_limiter_init_range(
    bp_limiter_t *limiter, double floor, double ceiling, double increase)
{
	limiter->slots = 0;
	limiter->connections = 0;
	limiter->floor = floor;
	limiter->ceiling = ceiling;
	limiter->increase = increase;
	limiter->limit = floor;
	limiter->decreased_us = INT64_MIN / 2;
}

/* Changes the bounds; a ceiling below the floor is raised to the floor. */
void
bp_limiter_set_range(
    bp_limiter_t *limiter, double floor, double ceiling, double increase)
{
	limiter->floor = floor;
	limiter->ceiling = ceiling < floor ? floor : ceiling;
	limiter->increase = increase;
	limiter->limit =
	    clamp(limiter->limit, limiter->floor, limiter->ceiling);
}

/* Returns how many requests may be in flight to the endpoint; at least 1. */
uint32_t
bp_limiter_limit(const bp_limiter_t *limiter)
{
	return (uint32_t)limiter->limit;
}

/*
 * Adjusts the limit after a finished request: additive increase if the limit
 * was reached without congestion, multiplicative decrease on congestion, at
 * most once in DECREASE_INTERVAL_US.
 */
void
bp_limiter_add(bp_limiter_t *limiter, const bp_limiter_sample_t *sample)
{
	bool congested = sample->overloaded ||
	    (sample->base_us > 0 &&
		sample->latency_us > CONGESTED_LATENCY_RATIO * sample->base_us);

	if (congested) {
		if (sample->now_us - limiter->decreased_us <
		    DECREASE_INTERVAL_US)
			return;
		limiter->decreased_us = sample->now_us;
		limiter->limit = clamp(limiter->limit * DECREASE_FACTOR,
		    limiter->floor, limiter->ceiling);
		return;
	}
	if (sample->in_flight >= bp_limiter_limit(limiter))
		limiter->limit =
		    clamp(limiter->limit + limiter->increase / limiter->limit,
			limiter->floor, limiter->ceiling);
}
