#include "queues/shard_private.h"

#include <string.h>

/* Range of the mean weights of jobs whose interference counts as equal. */
#define INTERFERENCE_CLASS 0.5
/* A job that takes this multiple of its objective has no value any more. */
#define WORTHLESS_FACTOR 3
/* Share of its objective that a job is taken to need at most when it has just
 * arrived. */
#define OBJECTIVE_SHARE_MAX 0.75

typedef struct {
	bp_qstep_t *step;
	uint32_t priority;
	bp_outlook_t outlook;
	bool filler;
	bp_batch_in_time_t in_time; /* its job, of BP_OUTLOOK_IN_TIME */
	bp_batch_claim_t claim;
	guint rank; /* among claims */
	int64_t due_ms;
} candidate_t;

/* Returns how long a chain of work takes, as a multiple of it, where steps go
 * by due time. */
static double
delay_of(const bp_shard_t *shard, const bp_qjob_t *job)
{
	double objective_ms =
	    (double)(job->work_due_ms - job->spec->accepted_ms);
	double most =
	    OBJECTIVE_SHARE_MAX * objective_ms / (double)MAX(job->chain_ms, 1);
	double usual = bp_estimates_factor(shard->estimates, job->queue_key);

	return MAX(MIN(usual, most), 1);
}

/*
 * Returns the outlook of a job if its step starts now. It goes by the work of
 * the job. Of batch the newest goes first. Of other steps earliest due first
 * would start each at the last moment that still counts as in time, so their
 * work is scaled by how long such steps have actually taken; never so far that
 * all jobs are late when they arrive, as nothing would then keep the delays of
 * a backlog from lasting.
 */
static bp_outlook_t
outlook_of(const bp_shard_t *shard, const bp_qstep_t *step, int64_t wall_ms)
{
	const bp_qjob_t *job = step->job;
	int64_t objective_ms = job->work_due_ms - job->spec->accepted_ms;
	double delay = step->spec->filler ? 1 : delay_of(shard, job);
	int64_t end_ms =
	    wall_ms + (int64_t)((double)job->chains_ms[step->number] * delay);

	if (step->spec->lasting)
		return BP_OUTLOOK_LONG_RUNNING;
	if (job->spec->times > 0 || end_ms <= job->work_due_ms)
		return BP_OUTLOOK_IN_TIME;
	return end_ms - job->spec->accepted_ms <=
		WORTHLESS_FACTOR * objective_ms
	    ? BP_OUTLOOK_LATE
	    : BP_OUTLOOK_NONE;
}

/* Orders candidates. With the same priority and outlook, fillers go last: they
 * need only the processors that the others leave. Of these, jobs with a claim
 * go first. */
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
	if ((x->claim == BP_BATCH_CLAIM_NONE) !=
	    (y->claim == BP_BATCH_CLAIM_NONE))
		return x->claim != BP_BATCH_CLAIM_NONE ? -1 : 1;
	if (x->claim != BP_BATCH_CLAIM_NONE)
		return (x->rank > y->rank) - (x->rank < y->rank);
	if (x->filler && x->outlook == BP_OUTLOOK_IN_TIME)
		return bp_batch_compare_in_time(&x->in_time, &y->in_time);
	return (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms);
}

/* Returns the first step of fillers of a job that may start; with a limit, only
 * one that the cap of its customer allows. NULL for none. */
static bp_qstep_t *
first_filler_step(bp_qjob_t *job, int64_t start_until_ms, bool limited)
{
	uint32_t i;

	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		bp_qstep_t *step = &job->steps[i];

		if (step->spec->filler && step->waiting_tasks > 0 &&
		    bp_qstep_ready(step, start_until_ms) &&
		    (!limited || bp_qstep_within_cap(step)))
			return step;
	}
	return NULL;
}

/*
 * Sets the times of a job that an earlier owner accepted. Only the wall clock
 * tells for how long it has waited, so that the wait counts up to the one that
 * gives each claim.
 */
static void
set_earlier_wait(
    bp_qjob_t *job, const bp_qstep_t *ready, int64_t now_ms, int64_t wall_ms)
{
	int64_t accepted_ms = job->spec->accepted_ms;
	int64_t waiting_ms = ready != NULL
	    ? MAX(accepted_ms, bp_qstep_not_before_ms(ready))
	    : accepted_ms;

	job->arrived_ms = now_ms - MAX(wall_ms - accepted_ms, 0);
	job->idle_since_ms =
	    now_ms - CLAMP(wall_ms - waiting_ms, 0, BP_BATCH_WAIT_MAX_MS);
}

/* Keeps the time of the latest acceptance of a service for later rounds, in
 * which the job may have ended. */
static void
keep_acceptance(bp_shard_t *shard, const char *service, int64_t accepted_ms)
{
	int64_t *latest_ms =
	    g_hash_table_lookup(shard->batch_accepted_ms, service);

	if (latest_ms != NULL) {
		*latest_ms = MAX(*latest_ms, accepted_ms);
		return;
	}
	latest_ms = g_new(int64_t, 1);
	*latest_ms = accepted_ms;
	g_hash_table_insert(
	    shard->batch_accepted_ms, g_strdup(service), latest_ms);
}

static void
add_acceptances(bp_batch_order_t *order, const bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer service;
	gpointer accepted_ms;

	g_hash_table_iter_init(&iter, shard->batch_accepted_ms);
	while (g_hash_table_iter_next(&iter, &service, &accepted_ms))
		bp_batch_order_add_acceptance(
		    order, service, *(const int64_t *)accepted_ms);
}

/*
 * Adds a job with steps of fillers to the order of batch jobs. Waits go by the
 * monotonic clock: the wall clock may step.
 */
static void
add_batch_job(
    bp_batch_order_t *order, bp_shard_t *shard, bp_qjob_t *job, int64_t wall_ms)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	int64_t start_until_ms =
	    wall_ms + shard->options.limits.start_early_ms / 2;
	bp_qstep_t *ready = first_filler_step(job, start_until_ms, false);
	bp_batch_job_t added = {.service = bp_shard_service_of(shard, job),
	    .running = bp_qjob_placed_tasks(job)};

	if (job->arrived_ms == 0)
		set_earlier_wait(job, ready, now_ms, wall_ms);
	if (added.running > 0 || ready == NULL)
		job->idle_since_ms = now_ms;
	if (added.running == 0)
		job->claimed = false;
	if (bp_customers_limit_starts(shard->customers))
		ready = first_filler_step(job, start_until_ms, true);
	added.accepted_ms = job->arrived_ms;
	added.claimed = job->claimed;
	added.idle_since_ms = job->idle_since_ms;
	added.tried_ms = job->claim_tried_ms;
	added.ready = ready;
	keep_acceptance(shard, added.service, added.accepted_ms);
	bp_batch_order_add(order, &added);
}

static bool
has_fillers(const bp_qjob_t *job)
{
	size_t i;

	for (i = 0; i < job->spec->n_steps; i++) {
		if (job->spec->steps[i]->filler)
			return true;
	}
	return false;
}

static void
add_claim(
    GArray *candidates, bp_qstep_t *step, bp_batch_claim_t claim, guint rank)
{
	candidate_t candidate = {.step = step,
	    .priority = step->job->spec->priority,
	    .outlook = claim == BP_BATCH_CLAIM_LATE ? BP_OUTLOOK_LATE
						    : BP_OUTLOOK_IN_TIME,
	    .filler = true,
	    .claim = claim,
	    .rank = rank};

	g_array_append_val(candidates, candidate);
}

/* Adds the steps with a claim, in addition to their places by due time. */
static void
add_claims(GArray *candidates, bp_batch_order_t *order, int64_t now_ms)
{
	const GArray *jobs = bp_batch_order_decide(order, now_ms);
	guint i;

	for (i = 0; i < jobs->len; i++) {
		const bp_batch_job_t *job =
		    &g_array_index(jobs, bp_batch_job_t, i);
		bp_qstep_t *step = job->ready;

		step->shares_processors = job->shares_processors;
		if (job->claim != BP_BATCH_CLAIM_LATE)
			add_claim(candidates, step, BP_BATCH_CLAIM_FIRST, i);
		if (job->claim != BP_BATCH_CLAIM_FIRST)
			add_claim(candidates, step, BP_BATCH_CLAIM_LATE, i);
	}
}

/*
 * Returns the class of a job's interference: the mean weight of its fillers'
 * images, by the processor time that they request.
 */
static uint32_t
interference_of(bp_shard_t *shard, const bp_qjob_t *job)
{
	double weights = 0;
	double work = 0;
	uint32_t i;

	for (i = 0; i < job->n_steps; i++) {
		bp_qstep_t *step = &job->steps[i];
		const Bp__Work__Step *spec = step->spec;
		double part =
		    (double)spec->tasks * spec->cpu_milli * spec->expected_ms;

		if (!spec->filler)
			continue;
		work += part;
		weights += part *
		    bp_filler_model_mean_weight(shard->filler_model,
			bp_qstep_filler_index(shard, step));
	}
	return work > 0 ? (uint32_t)(weights / work / INTERFERENCE_CLASS) : 0;
}

/* Counts the ready batch tasks by the outlook of their jobs. */
static void
count_ready(bp_shard_t *shard, bp_qstep_t *step, bp_outlook_t outlook)
{
	step->outlook = outlook;
	if (!step->spec->filler)
		return;
	if (step->job->started)
		shard->ready_begun[outlook] += step->waiting_tasks;
	else
		shard->ready_new[outlook] += step->waiting_tasks;
}

static void
add_candidates(
    GArray *candidates, bp_shard_t *shard, bp_qjob_t *job, int64_t wall_ms)
{
	int64_t start_until_ms =
	    wall_ms + shard->options.limits.start_early_ms / 2;
	uint32_t i;

	if (bp_customers_enabled(shard->customers) &&
	    bp_qjob_waits_for_room(job, wall_ms))
		bp_customer_add_waiting_job(job->account);
	if (!job->accepted || job->cancelling || bp_qjob_ended(job))
		return;
	bp_qjob_update_work(
	    job, bp_estimates_work(shard->estimates, job->queue_key));
	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		bp_qstep_t *step = &job->steps[i];
		candidate_t candidate = {.step = step,
		    .priority = job->spec->priority,
		    .outlook = BP_OUTLOOK_NONE,
		    .filler = step->spec->filler,
		    .due_ms = MAX(job->due_ms, bp_qstep_not_before_ms(step))};

		if (step->waiting_tasks == 0 ||
		    bp_qstep_awaits_retry(step, bp_shard_now_ms(shard)))
			continue;
		if (!bp_qstep_ready(step, start_until_ms)) {
			step->reason = "dependency";
			continue;
		}
		candidate.outlook = outlook_of(shard, step, wall_ms);
		bp_qstep_note_ready(step, bp_shard_now_ms(shard));
		count_ready(shard, step, candidate.outlook);
		candidate.in_time.started = job->started;
		if (candidate.filler && !job->started)
			candidate.in_time.interference =
			    interference_of(shard, job);
		if (!step->spec->lasting && job->spec->times == 0)
			candidate.due_ms = job->work_due_ms;
		candidate.in_time.due_ms = candidate.due_ms;
		g_array_append_val(candidates, candidate);
	}
}

/*
 * Returns the steps with waiting tasks that may start, bp_qready_t, in the
 * order in which they are placed. A step with a claim comes once or twice more,
 * for one task; the order of batch jobs, which is empty, tells whether it may
 * use the claim.
 */
GArray *
bp_shard_ready_steps(bp_shard_t *shard, bp_batch_order_t *order)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GArray *steps = g_array_new(FALSE, FALSE, sizeof(bp_qready_t));
	int64_t wall_ms = bp_shard_wall_ms(shard);
	guint i;

	memset(shard->ready_begun, 0, sizeof(shard->ready_begun));
	memset(shard->ready_new, 0, sizeof(shard->ready_new));
	for (i = 0; i < shard->active_jobs->len; i++) {
		bp_qjob_t *job = shard->active_jobs->pdata[i];

		add_candidates(candidates, shard, job, wall_ms);
		if (job->accepted && !job->cancelling && !bp_qjob_ended(job) &&
		    has_fillers(job))
			add_batch_job(order, shard, job, wall_ms);
	}
	add_acceptances(order, shard);
	add_claims(candidates, order, bp_shard_now_ms(shard));
	g_array_sort(candidates, compare);
	for (i = 0; i < candidates->len; i++) {
		const candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);
		bp_qready_t ready = {candidate->step, candidate->claim};

		g_array_append_val(steps, ready);
	}
	g_array_unref(candidates);
	return steps;
}
