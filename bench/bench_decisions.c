#include "decisions.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS_DEFAULT 10
#define JOBS_DEFAULT 4
#define N_DEPLOYMENTS 2

int bp_bench_decisions(int argc, char **argv);

static const deployment_t deployments[N_DEPLOYMENTS] = {
    {"granite-comb", 3, 70, 64000, 256000, 8, 6},
    {"zielona-komora", 4, 50, 16000, 61440, 6, 6},
};

static const char *const condition_names[N_CONDITIONS] = {"steady", "shift",
    "burst", "pairs", "wrong", "fail", "bad-worker", "never", "cancel", "zone",
    "log-down"};

static const char *const policy_names[N_POLICIES] = {"policy", "policy+slope",
    "first-fit", "random", "least-loaded", "fifo", "no-guard", "perfect"};

typedef struct {
	const char *name;
	const char *unit;
	bool higher; /* is better */
} metric_info_t;

static const metric_info_t metrics[N_METRICS] = {
    {"slowdown-p99", "factor", false},
    {"slowdown-p99.9", "factor", false},
    {"batch-throughput", "share of processors", true},
    {"zone-window-work", "share of processors", true},
    {"evictions", "tasks", false},
    {"urgent-p99", "s", false},
    {"urgent-max", "s", false},
    {"fairness", "index", true},
    {"job-time-mean", "s", false},
    {"job-time-p95", "s", false},
    {"large-started", "share", true},
    {"overcommit", "starts", false},
    {"running-twice", "starts", false},
    {"zone-late", "s", false},
    {"lost-races", "share", false},
};

typedef struct {
	uint32_t seeds;
	uint32_t jobs;
	const char *plots; /* directory; NULL for none */
	const char *condition; /* NULL for all */
	const char *deployment;
	const char *policy;
	bool check;
	bool speed;
} options_t;

/* results[deployment][condition][policy][seed] */
typedef struct {
	const options_t *options;
	result_t *results;
} table_t;

typedef struct {
	table_t *table;
	uint32_t deployment;
	uint32_t condition;
	uint32_t policy;
	uint32_t seed;
} one_run_t;

static result_t *
cell(const table_t *table, uint32_t deployment, uint32_t condition,
    uint32_t policy, uint32_t seed)
{
	size_t index = deployment;

	index = index * N_CONDITIONS + condition;
	index = index * N_POLICIES + policy;
	return &table->results[index * table->options->seeds + seed];
}

static void
run_cell(gpointer data, gpointer unused)
{
	one_run_t *one = data;

	(void)unused;
	run_once(&deployments[one->deployment], (condition_t)one->condition,
	    (policy_t)one->policy, 1000 + one->seed,
	    cell(one->table, one->deployment, one->condition, one->policy,
		one->seed));
	g_free(one);
}

static bool
is_selected(const char *wanted, const char *name)
{
	return wanted == NULL || strcmp(wanted, name) == 0;
}

static void
run_all(table_t *table)
{
	const options_t *options = table->options;
	GThreadPool *pool =
	    g_thread_pool_new(run_cell, NULL, (gint)options->jobs, FALSE, NULL);
	one_run_t one = {table, 0, 0, 0, 0};

	for (one.deployment = 0; one.deployment < N_DEPLOYMENTS;
	     one.deployment++) {
		if (!is_selected(
			options->deployment, deployments[one.deployment].name))
			continue;
		for (one.condition = 0; one.condition < N_CONDITIONS;
		     one.condition++) {
			if (!is_selected(options->condition,
				condition_names[one.condition]))
				continue;
			for (one.policy = 0; one.policy < N_POLICIES;
			     one.policy++) {
				if (!is_selected(options->policy,
					policy_names[one.policy]))
					continue;
				for (one.seed = 0; one.seed < options->seeds;
				     one.seed++)
					g_thread_pool_push(pool,
					    g_memdup2(&one, sizeof(one)), NULL);
			}
		}
	}
	g_thread_pool_free(pool, FALSE, TRUE);
}

typedef struct {
	double mean;
	double sd;
} stat_t;

static stat_t
stat_of(const double *values, uint32_t n)
{
	stat_t stat = {0, 0};
	uint32_t i;

	for (i = 0; i < n; i++)
		stat.mean += values[i] / n;
	for (i = 0; i < n && n > 1; i++)
		stat.sd +=
		    (values[i] - stat.mean) * (values[i] - stat.mean) / (n - 1);
	stat.sd = sqrt(stat.sd);
	return stat;
}

static stat_t
metric_stat(const table_t *table, uint32_t deployment, uint32_t condition,
    uint32_t policy, uint32_t metric)
{
	uint32_t n = table->options->seeds;
	double *values = g_new(double, n);
	stat_t stat;
	uint32_t i;

	for (i = 0; i < n; i++)
		values[i] =
		    cell(table, deployment, condition, policy, i)->of[metric];
	stat = stat_of(values, n);
	g_free(values);
	return stat;
}

/* Ratio of two policies for each seed; a zero below counts as equal or not. */
static stat_t
ratio_stat(const table_t *table, uint32_t deployment, uint32_t condition,
    uint32_t policy, uint32_t other, uint32_t metric)
{
	uint32_t n = table->options->seeds;
	double *values = g_new(double, n);
	stat_t stat;
	uint32_t i;

	for (i = 0; i < n; i++) {
		double a =
		    cell(table, deployment, condition, policy, i)->of[metric];
		double b =
		    cell(table, deployment, condition, other, i)->of[metric];

		values[i] = b > 0 ? a / b : a > 0 ? INFINITY : 1.0;
	}
	stat = stat_of(values, n);
	g_free(values);
	return stat;
}

/* The simple baseline with the best mean. */
static uint32_t
best_baseline(const table_t *table, uint32_t deployment, uint32_t condition,
    uint32_t metric)
{
	uint32_t best = POLICY_FIRST_FIT;
	uint32_t i;

	for (i = POLICY_FIRST_FIT; i <= POLICY_NO_GUARD; i++) {
		double a =
		    metric_stat(table, deployment, condition, i, metric).mean;
		double b =
		    metric_stat(table, deployment, condition, best, metric)
			.mean;

		if (metrics[metric].higher ? a > b : a < b)
			best = i;
	}
	return best;
}

static void
print_metric(const table_t *table, uint32_t deployment, uint32_t condition,
    uint32_t metric)
{
	uint32_t best = best_baseline(table, deployment, condition, metric);
	stat_t to_best =
	    ratio_stat(table, deployment, condition, POLICY_FULL, best, metric);
	stat_t to_limit = ratio_stat(
	    table, deployment, condition, POLICY_FULL, POLICY_PERFECT, metric);
	uint32_t i;

	printf("  %-17s", metrics[metric].name);
	for (i = 0; i < N_POLICIES; i++) {
		stat_t stat =
		    metric_stat(table, deployment, condition, i, metric);

		printf(" %7.3f+-%-6.3f", stat.mean, stat.sd);
	}
	printf(" | %.3f+-%.3f of %s, %.3f+-%.3f of perfect\n", to_best.mean,
	    to_best.sd, policy_names[best], to_limit.mean, to_limit.sd);
}

static void
print_condition(const table_t *table, uint32_t deployment, uint32_t condition)
{
	uint32_t i;

	printf("\n%s, %s, %u seeds\n  %-17s", deployments[deployment].name,
	    condition_names[condition], table->options->seeds, "");
	for (i = 0; i < N_POLICIES; i++)
		printf(" %-15s", policy_names[i]);
	printf(" | policy to best baseline, to perfect knowledge\n");
	for (i = 0; i < N_METRICS; i++)
		print_metric(table, deployment, condition, i);
}

static int
write_plot(const table_t *table, uint32_t deployment, uint32_t metric)
{
	double *mean = g_new0(double, N_CONDITIONS *N_POLICIES);
	double *sd = g_new0(double, N_CONDITIONS *N_POLICIES);
	char *title = g_strdup_printf(
	    "%s: %s", deployments[deployment].name, metrics[metric].name);
	char *path = g_strdup_printf("%s/%s-%s.svg", table->options->plots,
	    deployments[deployment].name, metrics[metric].name);
	char *command = g_strdup_printf(
	    "scripts/bench decisions --seeds %u", table->options->seeds);
	plot_t plot = {title, metrics[metric].unit, condition_names,
	    policy_names, N_CONDITIONS, N_POLICIES, mean, sd, command};
	uint32_t c;
	uint32_t p;
	int rc;

	for (c = 0; c < N_CONDITIONS; c++) {
		for (p = 0; p < N_POLICIES; p++) {
			stat_t stat =
			    metric_stat(table, deployment, c, p, metric);

			mean[c * N_POLICIES + p] = stat.mean;
			sd[c * N_POLICIES + p] = stat.sd;
		}
	}
	rc = plot_write(&plot, path);
	g_free(mean);
	g_free(sd);
	g_free(title);
	g_free(path);
	g_free(command);
	return rc;
}

static int
write_plots(const table_t *table)
{
	static const uint32_t shown[] = {M_SLOW_P99, M_SLOW_P999, M_THROUGHPUT,
	    M_ZONE_WORK, M_EVICTIONS, M_URGENT_P99, M_FAIRNESS, M_JOB_MEAN};
	uint32_t d;
	size_t i;

	for (d = 0; d < N_DEPLOYMENTS; d++) {
		for (i = 0; i < G_N_ELEMENTS(shown); i++) {
			if (write_plot(table, d, shown[i]) != 0) {
				fprintf(stderr, "cannot write plots to %s\n",
				    table->options->plots);
				return 1;
			}
		}
	}
	return 0;
}

static void
print_all(const table_t *table)
{
	const options_t *options = table->options;
	uint32_t d;
	uint32_t c;

	for (d = 0; d < N_DEPLOYMENTS; d++) {
		for (c = 0; c < N_CONDITIONS; c++) {
			if (is_selected(
				options->deployment, deployments[d].name) &&
			    is_selected(options->condition, condition_names[c]))
				print_condition(table, d, c);
		}
	}
}

static int
parse(options_t *options, int argc, char **argv)
{
	int i;

	for (i = 1; i < argc; i++) {
		const char *value = i + 1 < argc ? argv[i + 1] : "";

		if (strcmp(argv[i], "--check") == 0)
			options->check = true;
		else if (strcmp(argv[i], "--speed") == 0)
			options->speed = true;
		else if (strcmp(argv[i], "--seeds") == 0)
			options->seeds = (uint32_t)strtoul(argv[++i], NULL, 10);
		else if (strcmp(argv[i], "--jobs") == 0)
			options->jobs = (uint32_t)strtoul(argv[++i], NULL, 10);
		else if (strcmp(argv[i], "--plots") == 0)
			options->plots = argv[++i];
		else if (strcmp(argv[i], "--condition") == 0)
			options->condition = argv[++i];
		else if (strcmp(argv[i], "--deployment") == 0)
			options->deployment = argv[++i];
		else if (strcmp(argv[i], "--policy") == 0)
			options->policy = argv[++i];
		else
			return 2;
		if (i >= argc || (*value == '\0' && i + 1 > argc))
			return 2;
	}
	return options->seeds > 0 && options->jobs > 0 ? 0 : 2;
}

/*
 * Compares the policy with baselines under the conditions of design section
 * 1. All runs of one seed have the same arrivals and events.
 */
int
bp_bench_decisions(int argc, char **argv)
{
	options_t options = {.seeds = SEEDS_DEFAULT, .jobs = JOBS_DEFAULT};
	table_t table = {&options, NULL};
	int rc = 0;

	if (parse(&options, argc, argv) != 0) {
		fprintf(stderr,
		    "usage: bench decisions [--check] [--speed] [--seeds N] "
		    "[--jobs N] [--plots DIR] [--condition NAME] "
		    "[--deployment NAME] [--policy NAME]\n");
		return 2;
	}
	if (options.speed)
		return bench_speed();
	table.results = g_new0(result_t,
	    (size_t)N_DEPLOYMENTS * N_CONDITIONS * N_POLICIES * options.seeds);
	run_all(&table);
	print_all(&table);
	if (options.plots != NULL)
		rc = write_plots(&table);
	g_free(table.results);
	return rc;
}
