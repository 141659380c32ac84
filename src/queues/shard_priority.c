#include "queues/shard_private.h"

/* A job that takes this multiple of its objective has no value any more. */
#define WORTHLESS_FACTOR 3

/* Outlook of a step's job on its objective; the lowest value goes first. */
typedef enum {
	OUTLOOK_IN_TIME, /* it can still meet its objective */
	OUTLOOK_LONG_RUNNING, /* long-running: occupies its capacity for long */
	OUTLOOK_LATE, /* late, but has some value left */
	OUTLOOK_NONE
} outlook_t;

typedef struct {
	bp_qstep_t *step;
	uint32_t priority;
	outlook_t outlook;
	bool filler;
	bool started; /* a task of its job has started */
	int64_t due_ms;
} candidate_t;

/*
 * Returns the outlook of a job if its step starts now. Under overload, earliest
 * due first starts each job at the last moment that still counts as in time, so
 * its critical path is scaled by how long such steps have actually taken.
 */
static outlook_t
outlook_of(const bp_shard_t *shard, const bp_qstep_t *step, int64_t wall_ms)
{
	const bp_qjob_t *job = step->job;
	int64_t objective_ms = job->due_ms - job->spec->accepted_ms;
	double factor = bp_estimates_factor(shard->estimates, job->spec->queue);
	int64_t end_ms = wall_ms +
	    (int64_t)((double)job->critical_paths_ms[step->number] * factor);

	if (step->spec->lasting)
		return OUTLOOK_LONG_RUNNING;
	if (job->spec->times > 0 || end_ms <= job->due_ms)
		return OUTLOOK_IN_TIME;
	return end_ms - job->spec->accepted_ms <=
		WORTHLESS_FACTOR * objective_ms
	    ? OUTLOOK_LATE
	    : OUTLOOK_NONE;
}

/*
 * Orders batch jobs that can still be in time. Started jobs go first, by due
 * time; of the others the newest goes first. Under overload, earliest due first
 * would start each job when the least delay makes it late; without overload
 * hardly any job waits. Jobs that were passed over start when the load falls.
 */
static gint
compare_batch_jobs(const candidate_t *x, const candidate_t *y)
{
	if (x->started != y->started)
		return x->started ? -1 : 1;
	return x->started ? (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms)
			  : (x->due_ms < y->due_ms) - (x->due_ms > y->due_ms);
}

/* Orders candidates. With the same priority and outlook, fillers go last: they
 * need only the processors that the others leave. */
static gint
compare(gconstpointer a, gconstpointer b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->outlook != y->outlook)
		return x->outlook < y->outlook ? -1 : 1;
	if (x->filler != y->filler)
		return x->filler ? 1 : -1;
	if (x->filler && x->outlook == OUTLOOK_IN_TIME)
		return compare_batch_jobs(x, y);
	return (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms);
}

static void
add_candidates(GArray *candidates, const bp_shard_t *shard, bp_qjob_t *job,
    int64_t wall_ms)
{
	int64_t start_until_ms =
	    wall_ms + shard->options.limits.start_early_ms / 2;
	uint32_t i;

	if (bp_customers_enabled(shard->customers) &&
	    bp_qjob_waits_for_room(job, wall_ms))
		bp_customer_add_waiting_job(job->account);
	if (!job->accepted || job->cancelling || bp_qjob_ended(job))
		return;
	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		bp_qstep_t *step = &job->steps[i];
		candidate_t candidate = {step, job->spec->priority,
		    OUTLOOK_NONE, step->spec->filler, job->started,
		    MAX(job->due_ms, bp_qstep_not_before_ms(step))};

		if (step->waiting_tasks == 0)
			continue;
		if (!bp_qstep_ready(step, start_until_ms)) {
			step->reason = "dependency";
			continue;
		}
		candidate.outlook = outlook_of(shard, step, wall_ms);
		g_array_append_val(candidates, candidate);
	}
}

/*
 * Returns the steps with waiting tasks that may start, bp_qstep_t, in the order
 * in which they are placed.
 */
GPtrArray *
bp_shard_ready_steps(bp_shard_t *shard)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GPtrArray *steps = g_ptr_array_new();
	int64_t wall_ms = bp_shard_wall_ms(shard);
	guint i;

	for (i = 0; i < shard->active_jobs->len; i++)
		add_candidates(
		    candidates, shard, shard->active_jobs->pdata[i], wall_ms);
	g_array_sort(candidates, compare);
	for (i = 0; i < candidates->len; i++)
		g_ptr_array_add(
		    steps, g_array_index(candidates, candidate_t, i).step);
	g_array_unref(candidates);
	return steps;
}
