#ifndef BULRUSHPOST_INTERFERENCE_H
#define BULRUSHPOST_INTERFERENCE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Learns from the workers' reports how much one batch task of a kind slows
 * down a service beside it. Kinds are job names. For each service it keeps a
 * linear model of the slowdown (Kalman filter with random walk), so that of
 * several batch tasks beside a service the one whose comings and goings
 * match the slowdown is blamed.
 */
typedef struct bp_interference bp_interference_t;

typedef struct {
	double noise; /* standard deviation of one reported slowdown */
	double prior; /* standard deviation of an effect before any report */
	uint32_t forget_ms; /* after this time an estimate is half forgotten */
	uint32_t kinds_max; /* batch kinds kept for one service */
} bp_interference_options_t;

/* One batch task beside a service, at the time that the report is about. */
typedef struct {
	const char *kind;
	double weight; /* 1 at full speed, less when throttled */
} bp_neighbour_t;

/* Slowdown added by one task at full speed: 0.5 means 50% slower. */
typedef struct {
	double mean;
	double sd;
} bp_estimate_t;

int bp_interference_options_init(bp_interference_options_t *options);
bp_interference_t *bp_interference_new(
    const bp_interference_options_t *options);
void bp_interference_free(bp_interference_t *interference);

/*
 * Takes one report: slowdown 1 is none, load is 0 to 1 of the service's own
 * capacity, at_ms is the monotonic time that the report is about.
 */
void bp_interference_report(bp_interference_t *interference,
    const char *service, double slowdown, double load,
    const bp_neighbour_t *neighbours, size_t n_neighbours, int64_t at_ms);
/* Estimate for a pair; an unknown pair has mean 0 and the prior's sd. */
bp_estimate_t bp_interference_estimate(const bp_interference_t *interference,
    const char *kind, const char *service);
/* Mean less one standard deviation, at least 0: what placement avoids. */
double bp_interference_expected(const bp_interference_t *interference,
    const char *kind, const char *service);

#endif
