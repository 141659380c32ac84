#ifndef BP_BENCH_BALANCER_MODEL_H
#define BP_BENCH_BALANCER_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
	POLICY_TWO_CHOICES, /* as shipped: own zone preferred */
	POLICY_TWO_CHOICES_FLAT, /* the same without zones */
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_LEAST_OWN, /* fewest own requests in flight, ties at random */
	POLICY_LEAST_STALE, /* least load of all gateways, known late */
	POLICIES
} bench_policy_t;

typedef enum {
	CONDITION_STEADY,
	CONDITION_SHIFTING,
	CONDITION_SLOW,
	CONDITION_FAILING,
	CONDITION_ZONE_OUT,
	CONDITIONS
} bench_condition_t;

typedef struct {
	bench_policy_t policy;
	bench_condition_t condition;
	uint64_t seed;
	double seconds;
	bool exponential; /* service times, instead of uniform ones */
	bool plain; /* baselines without limits and ejection */
} bench_run_t;

typedef struct {
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double failed_percent; /* answered with an error at last */
	size_t requests;
} bench_result_t;

void bench_balancer_run(const bench_run_t *run, bench_result_t *out);

#endif
