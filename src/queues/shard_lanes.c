#include "queues/shard_private.h"

/* Starts on their way at a time in all lanes together, at least; the most is
 * one an executor. */
#define STARTS_MIN 64
/* Growth of that for each turn of starts without congestion. */
#define STARTS_INCREASE 64
/* A lane's part of these bounds is no smaller than this. */
#define LANE_MIN 2
/* A start is answered in this time without queues (CAPACITY.md); the limit
 * of a lane falls from twice that on. */
#define START_BASE_MS 100
/* Weight of one answer in the smoothed latency of a lane. */
#define LATENCY_RATE 0.2
/* Part of a lane that starts which yield may take. */
#define YIELD_PERCENT 70
#define US_PER_MS 1000

/* Frees a lane. */
void
bp_qlane_free(gpointer data)
{
	bp_qlane_t *lane = data;

	g_free(lane->carrier);
	g_free(lane);
}

static bp_qlane_t *
get_lane(bp_shard_t *shard, const char *carrier)
{
	bp_qlane_t *lane = g_hash_table_lookup(shard->lanes, carrier);

	if (lane != NULL)
		return lane;
	lane = g_new0(bp_qlane_t, 1);
	lane->carrier = g_strdup(carrier);
	bp_limiter_init_range(&lane->limit, LANE_MIN, LANE_MIN, LANE_MIN);
	g_hash_table_insert(shard->lanes, lane->carrier, lane);
	return lane;
}

/* Notes which node carries out the orders to an executor now. */
void
bp_qexec_find_lane(bp_qexec_t *exec)
{
	bp_executors_t *executors = exec->shard->options.executors;
	bp_exec_target_t target = {exec->info->address, exec->info->id,
	    exec->info->zone, exec->shard->epoch};

	exec->lane = get_lane(exec->shard,
	    executors->carrier != NULL ? executors->carrier(executors, &target)
				       : "");
}

/* Divides the bounds among the lanes by the executors that may get work. */
void
bp_shard_count_lanes(bp_shard_t *shard, const GPtrArray *execs)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, shard->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((bp_qlane_t *)value)->executors = 0;
	for (i = 0; i < execs->len; i++)
		((bp_qexec_t *)execs->pdata[i])->lane->executors++;
	g_hash_table_iter_init(&iter, shard->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qlane_t *lane = value;
		double part = (double)lane->executors / MAX(execs->len, 1);

		bp_limiter_set_range(&lane->limit,
		    MAX(STARTS_MIN * part, LANE_MIN), lane->executors,
		    MAX(STARTS_INCREASE * part, LANE_MIN));
	}
}

/* Returns the limits of all lanes with executors, added up. */
uint32_t
bp_shard_starts_limit(const bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t limit = 0;

	g_hash_table_iter_init(&iter, shard->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qlane_t *lane = value;

		if (lane->executors > 0)
			limit += bp_limiter_limit(&lane->limit);
	}
	return limit;
}

/*
 * Tells whether no further start may take this way now; one that yields leaves
 * a part of it to others. Most starts are those of fillers, and urgent tasks
 * would wait for their answers.
 */
bool
bp_qlane_full(const bp_qlane_t *lane, bool yields)
{
	uint32_t limit = bp_limiter_limit(&lane->limit);

	if (yields)
		limit = MAX(limit * YIELD_PERCENT / 100, 1);
	return lane->in_flight >= limit;
}

/* The start of a run is planned. */
void
bp_qrun_enter_lane(bp_qrun_t *run)
{
	run->lane = run->exec->lane;
	run->lane->in_flight++;
	run->exec->shard->starts_in_flight++;
}

/* The start of a run was answered, or is not sent after all. */
void
bp_qrun_leave_lane(bp_qrun_t *run)
{
	run->lane->in_flight--;
	run->exec->shard->starts_in_flight--;
}

/*
 * Late answers mean that starts queue on their way; more at a time would only
 * grow the queue.
 */
void
bp_qrun_learn_latency(const bp_qrun_t *run, int64_t latency_ms, bool answered)
{
	bp_qlane_t *lane = run->lane;
	bp_limiter_sample_t sample = {0};

	lane->latency_us +=
	    LATENCY_RATE * ((double)latency_ms * US_PER_MS - lane->latency_us);
	sample.now_us = bp_shard_now_ms(run->exec->shard) * US_PER_MS;
	sample.in_flight = lane->in_flight;
	sample.latency_us = lane->latency_us;
	sample.base_us = START_BASE_MS * US_PER_MS;
	sample.overloaded = !answered;
	bp_limiter_add(&lane->limit, &sample);
}
