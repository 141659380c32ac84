#include "decisions.h"

#include <stdio.h>

/* From design section 1: urgent work starts within 9.4 s. */
#define URGENT_S 9.4
/* Invariant 4: nothing starts in a zone more than 3 s after it was out. */
#define ZONE_LATE_S 3.0
/* Equal results differ by this much between seeds. */
#define TOLERANCE 0.02
#define CHECK_SEEDS 2

typedef struct {
	condition_t condition;
	metric_t metric;
} compared_t;

/* Where a baseline must not beat the policy. */
static const compared_t compared[] = {
    {COND_STEADY, M_THROUGHPUT},
    {COND_STEADY, M_FAIRNESS},
    {COND_PAIRS, M_SLOW_P99},
};

static int
at_most(const char *deployment, const char *condition, const char *metric,
    double value, double bound)
{
	if (value <= bound)
		return 0;
	printf("FAILED: %s, %s: %s is %.3f, bound %.3f\n", deployment,
	    condition, metric, value, bound);
	return 1;
}

static int
check_targets(const table_t *table, uint32_t d, uint32_t c)
{
	const result_t *result = table_cell(table, d, c, POLICY_FULL, 0);
	static const struct {
		metric_t metric;
		double bound;
	} targets[] = {
	    {M_URGENT_MAX, URGENT_S},
	    {M_ZONE_LATE, ZONE_LATE_S},
	    {M_OVERCOMMIT, 0},
	    {M_TWICE, 0},
	};
	int failed = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(targets); i++)
		failed += at_most(deployments[d].name, condition_names[c],
		    metrics[targets[i].metric].name,
		    result->of[targets[i].metric], targets[i].bound);
	return failed;
}

static int
check_all_targets(uint32_t jobs)
{
	options_t options = {.seeds = 1,
	    .jobs = jobs,
	    .deployments = ALL,
	    .conditions = ALL,
	    .policies = 1U << POLICY_FULL};
	table_t table = {&options, NULL, 0};
	int failed = 0;
	uint32_t d;
	uint32_t c;

	table_run(&table);
	for (d = 0; d < N_DEPLOYMENTS; d++) {
		for (c = 0; c < N_CONDITIONS; c++)
			failed += check_targets(&table, d, c);
	}
	table_clear(&table);
	return failed;
}

static int
check_against_baselines(const table_t *table, uint32_t d, const compared_t *one)
{
	uint32_t best =
	    table_best_baseline(table, d, one->condition, one->metric);
	double ratio = table_ratio(
	    table, d, one->condition, POLICY_FULL, best, one->metric)
			   .mean;
	bool higher = metrics[one->metric].higher;

	if (higher ? ratio >= 1 - TOLERANCE : ratio <= 1 + TOLERANCE)
		return 0;
	printf("FAILED: %s, %s: %s is %.3f of that of %s\n",
	    deployments[d].name, condition_names[one->condition],
	    metrics[one->metric].name, ratio, policy_names[best]);
	return 1;
}

static int
check_all_baselines(uint32_t jobs)
{
	options_t options = {.seeds = CHECK_SEEDS,
	    .jobs = jobs,
	    .deployments = ALL,
	    .conditions = (1U << COND_STEADY) | (1U << COND_PAIRS),
	    .policies = ALL & ~(1U << POLICY_PERFECT) & ~(1U << POLICY_SLOPE)};
	table_t table = {&options, NULL, 0};
	int failed = 0;
	uint32_t d;
	size_t i;

	table_run(&table);
	for (d = 0; d < N_DEPLOYMENTS; d++) {
		for (i = 0; i < G_N_ELEMENTS(compared); i++)
			failed +=
			    check_against_baselines(&table, d, &compared[i]);
	}
	table_clear(&table);
	return failed;
}

/* Checks the bounds that a change must not break; for CI. */
int
bench_check(uint32_t jobs)
{
	int failed = check_all_targets(jobs) + check_all_baselines(jobs);

	printf("decisions: %s\n", failed == 0 ? "all bounds hold" : "FAILED");
	return failed == 0 ? 0 : 1;
}
