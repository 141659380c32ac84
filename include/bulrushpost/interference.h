#ifndef BULRUSHPOST_INTERFERENCE_H
#define BULRUSHPOST_INTERFERENCE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Estimates from the workers' reports how much a batch task of a kind slows
 * down a co-located service. Kinds are job names. Each service has a linear
 * model of its slowdown (Kalman filter with random walk), which attributes
 * the slowdown to those of several co-located tasks whose presence
 * correlates with it.
 */
typedef struct bp_interference bp_interference_t;

typedef struct {
	double noise; /* standard deviation of one reported slowdown */
	double prior; /* standard deviation of an effect before any report */
	uint32_t forget_ms; /* half-life of an estimate */
	uint32_t kinds_max; /* batch kinds tracked per service */
} bp_interference_options_t;

/* A batch task co-located with a service at the time of the sample. */
typedef struct {
	const char *kind;
	double weight; /* 1 at full speed, less when throttled */
} bp_neighbour_t;

/* Slowdown added by one task at full speed; 0.5 is 50% slower. */
typedef struct {
	double mean;
	double sd;
} bp_estimate_t;

int bp_interference_options_init(bp_interference_options_t *options);
bp_interference_t *bp_interference_new(
    const bp_interference_options_t *options);
void bp_interference_free(bp_interference_t *interference);

/*
 * Updates the model of a service from one report. slowdown is a factor, 1 for
 * none; load is the used share of the service's own capacity, 0 to 1; at_ms
 * is the monotonic time of the sample.
 */
void bp_interference_report(bp_interference_t *interference,
    const char *service, double slowdown, double load,
    const bp_neighbour_t *neighbours, size_t n_neighbours, int64_t at_ms);
/* Estimate for a pair; an unknown pair has mean 0 and the prior's sd. */
bp_estimate_t bp_interference_estimate(const bp_interference_t *interference,
    const char *kind, const char *service);
/* Mean less one standard deviation, at least 0; used by placement. */
double bp_interference_expected(const bp_interference_t *interference,
    const char *kind, const char *service);

#endif
