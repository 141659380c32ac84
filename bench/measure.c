#include "decisions.h"

#include <math.h>
#include <stdlib.h>

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y ? 1 : 0;
}

static double
quantile(GArray *values, double q)
{
	guint index;

	if (values->len == 0)
		return 0;
	qsort(values->data, values->len, sizeof(double), compare);
	index = (guint)(q * values->len);
	return g_array_index(values, double, MIN(index, values->len - 1));
}

/* 1 when all teams got the same, 1/n when one got everything. */
static double
jain(const double *values, size_t n)
{
	double sum = 0;
	double squares = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		sum += values[i];
		squares += values[i] * values[i];
	}
	return squares > 0 ? sum * sum / (squares * (double)n) : 1.0;
}

/*
 * A job whose start fell into an outage of the log counts from its end:
 * nothing may start in between.
 */
static int64_t
accepted_ms(const world_t *world, const truth_job_t *job)
{
	int64_t start = job->first_start_ms[0];

	if (world->condition == COND_LOG_DOWN && job->submit_ms < LOG_UP_MS &&
	    (start < 0 || start > LOG_DOWN_MS))
		return MAX(job->submit_ms, LOG_UP_MS);
	return job->submit_ms;
}

/* A task that never started counts with the time that it has waited. */
static void
measure_urgent(const world_t *world, result_t *result)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));
	guint i;

	for (i = 0; i < world->jobs->len; i++) {
		const truth_job_t *job =
		    &g_array_index(world->jobs, truth_job_t, i);
		int64_t start = job->first_start_ms[0];
		double wait;

		if (job->klass != BP_CLASS_URGENT || job->cancelled ||
		    job->submit_ms < WARM_MS)
			continue;
		if (start < 0)
			start = world->now_ms;
		wait = (double)(start - accepted_ms(world, job)) / 1000;
		g_array_append_val(waits, wait);
	}
	result->of[M_URGENT_P99] = quantile(waits, 0.99);
	result->of[M_URGENT_MAX] = quantile(waits, 1.0);
	g_array_unref(waits);
}

/* A job that did not end counts with its age, so that none is left out. */
static void
measure_jobs(const world_t *world, result_t *result)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	double sum = 0;
	guint i;

	for (i = 0; i < world->jobs->len; i++) {
		const truth_job_t *job =
		    &g_array_index(world->jobs, truth_job_t, i);
		int64_t end = job->done_ms < 0 ? world->now_ms : job->done_ms;
		double time = (double)(end - job->submit_ms) / 1000;

		if (job->klass != BP_CLASS_BATCH || job->cancelled ||
		    job->cpu_milli > world->deployment->cpu_milli)
			continue;
		g_array_append_val(times, time);
		sum += time;
	}
	result->of[M_JOB_MEAN] = times->len > 0 ? sum / times->len : 0;
	result->of[M_JOB_P95] = quantile(times, 0.95);
	g_array_unref(times);
}

/* Large tasks need a VM that is nearly empty, so small ones can starve them. */
static void
measure_large(const world_t *world, result_t *result)
{
	uint32_t large = world->deployment->cpu_milli / UNITS * LARGE_UNITS;
	uint32_t started = 0;
	uint32_t all = 0;
	guint i;
	uint32_t t;

	for (i = 0; i < world->jobs->len; i++) {
		const truth_job_t *job =
		    &g_array_index(world->jobs, truth_job_t, i);

		if (job->cpu_milli != large || job->cancelled)
			continue;
		for (t = 0; t < job->n_tasks; t++) {
			all++;
			started += job->first_start_ms[t] >= 0 ? 1 : 0;
		}
	}
	result->of[M_LARGE] = all > 0 ? (double)started / all : 1.0;
}

/* Fills in all metrics at the end of a run. */
void
world_measure(const world_t *world, result_t *result)
{
	double cores = (double)world->deployment->vms *
	    world->deployment->cpu_milli / 1000;
	double measured_s = (double)(world->now_ms - WARM_MS) / 1000;
	double window_s = (double)(ZONE_WINDOW_END_MS - ZONE_OUT_MS) / 1000;

	result->of[M_SLOW_P99] = quantile(world->slowdowns, 0.99);
	result->of[M_SLOW_P999] = quantile(world->slowdowns, 0.999);
	result->of[M_THROUGHPUT] = world->work / (cores * measured_s);
	result->of[M_ZONE_WORK] = world->zone_work / (cores * window_s);
	result->of[M_EVICTIONS] = world->evictions;
	result->of[M_FAIRNESS] = jain(world->team_work, TEAMS);
	result->of[M_OVERCOMMIT] = world->overcommit;
	result->of[M_TWICE] = world->twice;
	result->of[M_ZONE_LATE] = (double)world->zone_late_ms / 1000;
	result->of[M_LOST_RACES] =
	    world->entries > 0 ? (double)world->lost / world->entries : 0;
	measure_urgent(world, result);
	measure_jobs(world, result);
	measure_large(world, result);
}
