#include "queues/shard_private.h"

/* Least limit on the starts in flight through all proxies together; the
 * greatest is one for each executor. */
#define STARTS_MIN 64
/* Increase of that limit for each window of starts without congestion. */
#define STARTS_INCREASE 64
/* Least share of one proxy in these bounds. */
#define PROXY_LIMIT_MIN 2
/* Latency of a start without queueing (CAPACITY.md); the limit of a proxy is
 * reduced from twice that on. */
#define START_BASE_MS 100
/* Weight of one answer in the smoothed latency of a proxy. */
#define LATENCY_RATE 0.2
/* Part of a limit that starts which yield to others may use. */
#define YIELDING_PERCENT 70
#define US_PER_MS 1000

/* Frees a start limiter. */
void
bp_qstart_limiter_free(gpointer data)
{
	bp_qstart_limiter_t *limiter = data;

	g_free(limiter->proxy);
	g_free(limiter);
}

static bp_qstart_limiter_t *
get_start_limiter(bp_shard_t *shard, const char *proxy)
{
	bp_qstart_limiter_t *limiter =
	    g_hash_table_lookup(shard->start_limiters, proxy);

	if (limiter != NULL)
		return limiter;
	limiter = g_new0(bp_qstart_limiter_t, 1);
	limiter->proxy = g_strdup(proxy);
	bp_limiter_init_range(
	    &limiter->limit, PROXY_LIMIT_MIN, PROXY_LIMIT_MIN, PROXY_LIMIT_MIN);
	g_hash_table_insert(shard->start_limiters, limiter->proxy, limiter);
	return limiter;
}

/* Sets an executor's start limiter to that of the node which currently sends
 * the orders to it. */
void
bp_qexec_set_start_limiter(bp_qexec_t *exec)
{
	bp_executors_t *executors = exec->shard->options.executors;
	bp_exec_target_t target = bp_qexec_target(exec);

	exec->start_limiter = get_start_limiter(exec->shard,
	    executors->proxy_address != NULL
		? executors->proxy_address(executors, &target)
		: "");
}

/* Divides the bounds among the proxies by their executors that may get work. */
void
bp_shard_divide_start_limits(bp_shard_t *shard, const GPtrArray *execs)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, shard->start_limiters);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((bp_qstart_limiter_t *)value)->executors = 0;
	for (i = 0; i < execs->len; i++)
		((bp_qexec_t *)execs->pdata[i])->start_limiter->executors++;
	g_hash_table_iter_init(&iter, shard->start_limiters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qstart_limiter_t *limiter = value;
		double part = (double)limiter->executors / MAX(execs->len, 1);

		bp_limiter_set_range(&limiter->limit,
		    MAX(STARTS_MIN * part, PROXY_LIMIT_MIN), limiter->executors,
		    MAX(STARTS_INCREASE * part, PROXY_LIMIT_MIN));
	}
}

/* Returns the sum of the limits of all proxies with executors. */
uint32_t
bp_shard_starts_limit(const bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t limit = 0;

	g_hash_table_iter_init(&iter, shard->start_limiters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qstart_limiter_t *limiter = value;

		if (limiter->executors > 0)
			limit += bp_limiter_limit(&limiter->limit);
	}
	return limit;
}

/*
 * Tells whether the limit for further starts is reached. Starts that yield
 * leave a part of the limit to others: most starts are those of fillers, and
 * urgent tasks would wait for their answers.
 */
bool
bp_qstart_limiter_full(const bp_qstart_limiter_t *limiter, bool yields)
{
	uint32_t limit = bp_limiter_limit(&limiter->limit);

	if (yields)
		limit = MAX(limit * YIELDING_PERCENT / 100, 1);
	return limiter->in_flight >= limit;
}

/* Counts the planned start of a run as in flight. */
void
bp_qrun_acquire_start(bp_qrun_t *run)
{
	run->start_limiter = run->exec->start_limiter;
	run->start_limiter->in_flight++;
	run->exec->shard->starts_in_flight++;
}

/* Ends the count of a start that was answered or will not be sent. */
void
bp_qrun_release_start(bp_qrun_t *run)
{
	run->start_limiter->in_flight--;
	run->exec->shard->starts_in_flight--;
}

/*
 * Adapts the limit to the latency of a start. Late answers mean that starts
 * queue before they are carried out; more in flight would only lengthen the
 * queue.
 */
void
bp_qrun_record_start_latency(
    const bp_qrun_t *run, int64_t latency_ms, bool answered)
{
	bp_qstart_limiter_t *limiter = run->start_limiter;
	bp_limiter_sample_t sample = {0};

	limiter->latency_us += LATENCY_RATE *
	    ((double)latency_ms * US_PER_MS - limiter->latency_us);
	sample.now_us = bp_shard_now_ms(run->exec->shard) * US_PER_MS;
	sample.in_flight = limiter->in_flight;
	sample.latency_us = limiter->latency_us;
	sample.baseline_us = START_BASE_MS * US_PER_MS;
	sample.overloaded = !answered;
	bp_limiter_add_sample(&limiter->limit, &sample);
}
