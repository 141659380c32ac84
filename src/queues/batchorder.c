#include "queues/batchorder.h"

#include <stdlib.h>
#include <string.h>

#define PERCENT 100
/* Before all times; differences to it do not overflow. */
#define NEVER_MS (INT64_MIN / 2)
/* Of the claims of a round, those that go by the length of the wait. */
#define LONGEST_WAITS (BP_BATCH_CLAIMS_MAX / 2)

/* Batch jobs of one service. */
typedef struct {
	const char *service;
	uint32_t running; /* tasks */
	uint32_t claimed; /* jobs that a claim to go first started */
	int64_t accepted_ms; /* the latest */
} pool_t;

struct bp_batch_order {
	GArray *pools; /* pool_t */
	GArray *waiting; /* bp_batch_job_t with nothing running */
};

/* Creates an order without jobs. */
bp_batch_order_t *
bp_batch_order_new(void)
{
	bp_batch_order_t *order = g_new0(bp_batch_order_t, 1);

	order->pools = g_array_new(FALSE, FALSE, sizeof(pool_t));
	order->waiting = g_array_new(FALSE, FALSE, sizeof(bp_batch_job_t));
	return order;
}

/* See the header. */
void
bp_batch_order_free(bp_batch_order_t *order)
{
	if (order == NULL)
		return;
	g_array_unref(order->pools);
	g_array_unref(order->waiting);
	g_free(order);
}

static pool_t *
get_pool(bp_batch_order_t *order, const char *service)
{
	pool_t pool = {.service = service, .accepted_ms = NEVER_MS};
	guint i;

	for (i = 0; i < order->pools->len; i++) {
		pool_t *known = &g_array_index(order->pools, pool_t, i);

		if (strcmp(known->service, service) == 0)
			return known;
	}
	g_array_append_val(order->pools, pool);
	return &g_array_index(order->pools, pool_t, order->pools->len - 1);
}

/* See the header. */
void
bp_batch_order_add(bp_batch_order_t *order, const bp_batch_job_t *job)
{
	pool_t *pool = get_pool(order, job->service);

	pool->running += job->running;
	pool->claimed += job->claimed && job->running > 0;
	pool->accepted_ms = MAX(pool->accepted_ms, job->accepted_ms);
	if (job->running == 0 && job->ready != NULL)
		g_array_append_vals(order->waiting, job, 1);
}

/* See the header. */
void
bp_batch_order_add_acceptance(
    bp_batch_order_t *order, const char *service, int64_t accepted_ms)
{
	pool_t *pool = get_pool(order, service);

	pool->accepted_ms = MAX(pool->accepted_ms, accepted_ms);
}

/* Orders jobs by the time that they have had nothing running. By the time of
 * acceptance alone, the oldest would take each place again. */
static gint
compare_waits(gconstpointer a, gconstpointer b)
{
	const bp_batch_job_t *x = a;
	const bp_batch_job_t *y = b;

	if (x->idle_since_ms != y->idle_since_ms)
		return x->idle_since_ms < y->idle_since_ms ? -1 : 1;
	return (x->accepted_ms > y->accepted_ms) -
	    (x->accepted_ms < y->accepted_ms);
}

/* Orders jobs by the time at which their claims were last used. */
static int
compare_tries(const void *a, const void *b)
{
	const bp_batch_job_t *x = a;
	const bp_batch_job_t *y = b;

	return (x->tried_ms > y->tried_ms) - (x->tried_ms < y->tried_ms);
}

/* Sets the claim of a job with nothing running. */
static void
set_claim(bp_batch_order_t *order, bp_batch_job_t *job, int64_t now_ms)
{
	const pool_t *pool = get_pool(order, job->service);
	int64_t idle_ms = now_ms - job->idle_since_ms;

	bool ended = now_ms - pool->accepted_ms >= BP_BATCH_QUIET_MS;

	job->shares_processors = ended && idle_ms >= BP_BATCH_SHARE_AFTER_MS;
	if (idle_ms >= BP_BATCH_WAIT_MAX_MS &&
	    bp_batch_order_may_go_first(order, job->service))
		job->claim =
		    ended ? BP_BATCH_CLAIM_FIRST_OR_LATE : BP_BATCH_CLAIM_FIRST;
	else if (ended && idle_ms >= BP_BATCH_IDLE_MS)
		job->claim = BP_BATCH_CLAIM_LATE;
	else
		job->claim = BP_BATCH_CLAIM_NONE;
}

/* See the header. */
const GArray *
bp_batch_order_decide(bp_batch_order_t *order, int64_t now_ms)
{
	GArray *waiting = order->waiting;
	guint kept = 0;
	guint i;

	for (i = 0; i < waiting->len; i++) {
		bp_batch_job_t *job =
		    &g_array_index(waiting, bp_batch_job_t, i);

		set_claim(order, job, now_ms);
		if (job->claim != BP_BATCH_CLAIM_NONE)
			g_array_index(waiting, bp_batch_job_t, kept++) = *job;
	}
	g_array_set_size(waiting, kept);
	g_array_sort(waiting, compare_waits);
	if (kept > BP_BATCH_CLAIMS_MAX) {
		qsort(&g_array_index(waiting, bp_batch_job_t, LONGEST_WAITS),
		    kept - LONGEST_WAITS, sizeof(bp_batch_job_t),
		    compare_tries);
		g_array_set_size(waiting, BP_BATCH_CLAIMS_MAX);
	}
	return waiting;
}

/* See the header. */
bool
bp_batch_order_may_go_first(bp_batch_order_t *order, const char *service)
{
	const pool_t *pool = get_pool(order, service);

	/* The share of a small service would be less than one task. */
	return pool->claimed == 0 ||
	    (pool->claimed + 1) * PERCENT <=
	    pool->running * (PERCENT - BP_BATCH_IN_TIME_PERCENT);
}

/* See the header. */
void
bp_batch_order_went_first(bp_batch_order_t *order, const char *service)
{
	get_pool(order, service)->claimed++;
}

/*
 * Started jobs go first, by due time. Of the others those that interfere least
 * go first: the latency that serving tasks can spare is used up by few jobs
 * that interfere much. Of these the newest goes first. Under overload, earliest
 * due first would start each job when the least delay makes it late; without
 * overload hardly any job waits. Jobs that were passed over start when the load
 * falls, or by their claims.
 */
int
bp_batch_compare_in_time(
    const bp_batch_in_time_t *x, const bp_batch_in_time_t *y)
{
	if (x->started != y->started)
		return x->started ? -1 : 1;
	if (!x->started && x->interference != y->interference)
		return x->interference < y->interference ? -1 : 1;
	return x->started ? (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms)
			  : (x->due_ms < y->due_ms) - (x->due_ms > y->due_ms);
}
