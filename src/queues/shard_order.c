#include "queues/shard_private.h"

/* A job that is late by this factor of its objective earns nothing more. */
#define LATE_FACTOR 3

/* What a step's job can still earn; lower goes first. */
typedef enum {
	CHANCE_IN_TIME, /* it can still meet its objective */
	CHANCE_LASTING, /* holds its room for long once it has it */
	CHANCE_LATE, /* it earns a little */
	CHANCE_NONE
} chance_t;

typedef struct {
	bp_qstep_t *step;
	uint32_t priority;
	chance_t chance;
	bool filler;
	bool begun; /* some task of its job has started */
	int64_t due_ms;
} candidate_t;

/*
 * What a job earns if its step starts now. With more work than room, earliest
 * due first starts each job at the last moment that this still calls in
 * time, so its rest is taken for as long as such steps have really been.
 */
static chance_t
chance_of(const bp_shard_t *shard, const bp_qstep_t *step, int64_t wall_ms)
{
	const bp_qjob_t *job = step->job;
	int64_t objective_ms = job->due_ms - job->spec->accepted_ms;
	double factor = bp_estimates_factor(shard->estimates, job->spec->queue);
	int64_t end_ms =
	    wall_ms + (int64_t)((double)job->tails_ms[step->number] * factor);

	if (step->spec->lasting)
		return CHANCE_LASTING;
	if (job->spec->times > 0 || end_ms <= job->due_ms)
		return CHANCE_IN_TIME;
	return end_ms - job->spec->accepted_ms <= LATE_FACTOR * objective_ms
	    ? CHANCE_LATE
	    : CHANCE_NONE;
}

/*
 * Batch that can still be in time. A job that has begun is finished first;
 * of the others the newest goes first. With more work than can be started,
 * earliest due first would begin each job when the least delay makes it late;
 * with less, hardly any job waits. Those passed over go when load falls.
 */
static gint
compare_batch(const candidate_t *x, const candidate_t *y)
{
	if (x->begun != y->begun)
		return x->begun ? -1 : 1;
	return x->begun ? (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms)
			: (x->due_ms < y->due_ms) - (x->due_ms > y->due_ms);
}

/* Of what has the same priority and chance, fillers go last: they need only
 * what the others leave. */
static gint
compare(gconstpointer a, gconstpointer b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->chance != y->chance)
		return x->chance < y->chance ? -1 : 1;
	if (x->filler != y->filler)
		return x->filler ? 1 : -1;
	if (x->filler && x->chance == CHANCE_IN_TIME)
		return compare_batch(x, y);
	return (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms);
}

static void
add_candidates(GArray *candidates, const bp_shard_t *shard, bp_qjob_t *job,
    int64_t wall_ms)
{
	int64_t early_ms = wall_ms + shard->options.limits.early_ms / 2;
	uint32_t i;

	if (!job->accepted || job->cancelling || bp_qjob_ended(job))
		return;
	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		bp_qstep_t *step = &job->steps[i];
		candidate_t candidate = {step, job->spec->priority, CHANCE_NONE,
		    step->spec->filler, job->begun,
		    MAX(job->due_ms, bp_qstep_due_ms(step))};

		if (step->waiting == 0)
			continue;
		if (!bp_qstep_open(step, early_ms)) {
			step->reason = "dependency";
			continue;
		}
		candidate.chance = chance_of(shard, step, wall_ms);
		g_array_append_val(candidates, candidate);
	}
}

/*
 * Returns the steps with waiting tasks that may start, bp_qstep_t, in the
 * order in which they get room.
 */
GPtrArray *
bp_shard_open_steps(bp_shard_t *shard)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GPtrArray *steps = g_ptr_array_new();
	int64_t wall_ms = bp_shard_wall_ms(shard);
	guint i;

	for (i = 0; i < shard->going->len; i++)
		add_candidates(
		    candidates, shard, shard->going->pdata[i], wall_ms);
	g_array_sort(candidates, compare);
	for (i = 0; i < candidates->len; i++)
		g_ptr_array_add(
		    steps, g_array_index(candidates, candidate_t, i).step);
	g_array_unref(candidates);
	return steps;
}
