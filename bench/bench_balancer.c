#include "bench_balancer.h"

#include "balancer_model.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_SEEDS 10
#define DEFAULT_SECONDS 10.0
#define METRICS 3

static const char *const policy_names[POLICIES] = {"two choices",
    "two choices, no zones", "random", "round robin", "least own",
    "least, 500 ms stale"};
static const char *const condition_names[CONDITIONS] = {
    "steady", "shifting", "slow", "failing", "zone out"};
static const char *const metric_names[METRICS] = {"p50", "p99", "p99.9"};

typedef struct {
	int seeds;
	double seconds;
	gboolean exponential;
	gboolean plain;
} settings_t;

static double
metric(const bench_result_t *result, int m)
{
	if (m == 0)
		return result->p50_ms;
	return m == 1 ? result->p99_ms : result->p999_ms;
}

/* The lowest value of a baseline with the same seed. */
static double
best_baseline(const bench_result_t *results, int m)
{
	double best = metric(&results[POLICY_RANDOM], m);
	int p;

	for (p = POLICY_RANDOM; p < POLICIES; p++)
		best = MIN(best, metric(&results[p], m));
	return best;
}

static void
print_policy(const bench_result_t *results, const settings_t *settings, int p)
{
	double failed = 0;
	int m;
	int s;

	printf("  %-22s", policy_names[p]);
	for (m = 0; m < METRICS; m++) {
		double sum = 0;
		double low = 0;
		double high = 0;
		double sum_ms = 0;

		for (s = 0; s < settings->seeds; s++) {
			const bench_result_t *row = results + s * POLICIES;
			double value = metric(&row[p], m);
			double ratio = value / best_baseline(row, m);

			sum += ratio;
			sum_ms += value;
			low = s == 0 ? ratio : MIN(low, ratio);
			high = s == 0 ? ratio : MAX(high, ratio);
		}
		printf("  %7.1f ms %5.2f (%4.2f-%5.2f)",
		    sum_ms / settings->seeds, sum / settings->seeds, low, high);
	}
	for (s = 0; s < settings->seeds; s++)
		failed += results[s * POLICIES + p].failed_percent;
	printf("  %6.3f%%\n", failed / settings->seeds);
}

static void
run_condition(const settings_t *settings, bench_condition_t condition)
{
	bench_result_t *results =
	    g_new0(bench_result_t, (gsize)settings->seeds * POLICIES);
	int s;
	int p;

	for (s = 0; s < settings->seeds; s++) {
		for (p = 0; p < POLICIES; p++) {
			bench_run_t run = {
			    .policy = (bench_policy_t)p,
			    .condition = condition,
			    .seed = (uint64_t)s + 1,
			    .seconds = settings->seconds,
			    .exponential = settings->exponential != FALSE,
			    .plain = settings->plain != FALSE,
			};

			bench_balancer_run(&run, &results[s * POLICIES + p]);
		}
	}
	printf("%s (about %zu requests a run)\n", condition_names[condition],
	    results[0].requests);
	for (p = 0; p < POLICIES; p++)
		print_policy(results, settings, p);
	fflush(stdout);
	g_free(results);
}

static int
parse(settings_t *settings, int argc, char **argv)
{
	char **args = g_new0(char *, (gsize)argc + 1);
	GOptionEntry entries[] = {
	    {"seeds", 0, 0, G_OPTION_ARG_INT, &settings->seeds,
		"runs of each policy and condition", "N"},
	    {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &settings->seconds,
		"virtual time of a run", "S"},
	    {"exponential", 0, 0, G_OPTION_ARG_NONE, &settings->exponential,
		"exponential service times", NULL},
	    {"plain-baselines", 0, 0, G_OPTION_ARG_NONE, &settings->plain,
		"baselines without limits and ejection", NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	int rc = 0;

	memcpy(args, argv, (size_t)argc * sizeof(*args));
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &args, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		rc = 2;
	}
	g_option_context_free(context);
	g_free(args);
	return rc;
}

/*
 * Compares the shipped choice of endpoints with simple ones. For each
 * condition, policy and quantile it prints the mean over all seeds and the
 * ratio to the best baseline of the same seed, as mean (lowest-highest).
 */
int
bp_bench_balancer(int argc, char **argv)
{
	settings_t settings = {DEFAULT_SEEDS, DEFAULT_SECONDS, FALSE, FALSE};
	int c;
	int m;

	if (parse(&settings, argc, argv) != 0)
		return 2;
	if (settings.seeds < 1 || settings.seconds < 5) {
		fprintf(stderr, "at least 1 seed and 5 s are needed\n");
		return 2;
	}
	printf("%-24s", "condition, policy");
	for (m = 0; m < METRICS; m++)
		printf("  %5s: mean, ratio (range)  ", metric_names[m]);
	printf("  failed\n");
	for (c = 0; c < CONDITIONS; c++)
		run_condition(&settings, (bench_condition_t)c);
	return 0;
}
