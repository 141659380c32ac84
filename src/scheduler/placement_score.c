#include "scheduler/placement_private.h"

#include "bulrushpost/hash.h"
#include "bulrushpost/resources.h"

/*
 * Bounds the VMs scored per job. A node that owns all 1,600 VMs after the
 * loss of the others would otherwise score each of them for each small job.
 */
#define CANDIDATES_MAX 128U
/*
 * One more task in the same rack or zone outweighs any difference in load
 * (at most 1). Sharing a rack weighs less than sharing a zone.
 */
#define RACK_WEIGHT 1.0
#define ZONE_WEIGHT 2.0
/* A slowdown of 50% weighs as much as a full VM against an empty one. */
#define PENALTY_WEIGHT 2.0
/*
 * Batch tasks avoid VMs where the expected slowdown of services is higher
 * than this until the job has waited AVOID_WAIT_BOUNDS times the bound.
 * An overdue job is considered first, but still avoids these VMs.
 */
#define PENALTY_MAX 0.2
#define AVOID_WAIT_BOUNDS 3LL
/*
 * Batch prefers VMs without services, and services prefer to share VMs, so
 * that fewer services are co-located with batch.
 */
#define COLOCATION_WEIGHT 0.7
/* A zone just returned to service scores like a full one. */
#define RETURN_WEIGHT 1.0
/* Per consecutive failure, so that a retry goes to another VM. */
#define FAILURE_WEIGHT 0.5
#define FAILURES_MAX 5U

/* Counts tasks of a service by rack and zone, including planned ones. */
void
bp_spread_init(
    bp_spread_t *spread, const bp_round_t *round, const bp_job_t *job)
{
	const GArray *reserved =
	    bp_reservations_of(round->placement->reservations, job);
	const bp_reservation_t *reservation;
	uint32_t i;

	spread->racks = g_hash_table_new(NULL, NULL);
	spread->zones = g_hash_table_new(NULL, NULL);
	spread->total = 0;
	if (job->klass != BP_CLASS_SERVICE)
		return;
	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].vm != NULL)
			bp_spread_add(spread, job->tasks[i].vm, 1);
	}
	for (i = 0; reserved != NULL && i < reserved->len; i++) {
		reservation = &g_array_index(reserved, bp_reservation_t, i);
		bp_spread_add(spread, reservation->vm, reservation->count);
	}
}

/* Frees the counts. */
void
bp_spread_clear(bp_spread_t *spread)
{
	g_hash_table_unref(spread->racks);
	g_hash_table_unref(spread->zones);
}

static void
count(GHashTable *table, gpointer key, uint32_t n)
{
	guint value = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));

	g_hash_table_insert(table, key, GUINT_TO_POINTER(value + n));
}

/* Adds tasks on a VM to the counts. */
void
bp_spread_add(bp_spread_t *spread, const bp_vm_t *vm, uint32_t n)
{
	count(spread->racks, vm->rack, n);
	count(spread->zones, vm->rack->zone, n);
	spread->total += n;
}

static double
load_of(const bp_round_t *round, const bp_job_t *job, const bp_vm_t *vm)
{
	bp_resources_t reserved =
	    bp_reservations_vm(round->placement->reservations, vm);
	bp_resources_t used = bp_resources_sum(&vm->used, &reserved);

	used = bp_resources_sum(&used, &job->size);
	return bp_resources_dominant(&used, &vm->capacity);
}

static double
spread_cost(const bp_spread_t *spread, const bp_vm_t *vm)
{
	guint same_rack =
	    GPOINTER_TO_UINT(g_hash_table_lookup(spread->racks, vm->rack));
	guint same_zone = GPOINTER_TO_UINT(
	    g_hash_table_lookup(spread->zones, vm->rack->zone));

	return RACK_WEIGHT * same_rack + ZONE_WEIGHT * same_zone;
}

/* Decays from 1, when the zone returned to service, to 0 after the ramp. */
static double
zone_return_cost(const bp_round_t *round, const bp_zone_t *zone)
{
	uint32_t ramp_ms = round->placement->options.return_ramp_ms;
	int64_t age_ms = round->state_now_ms - zone->time_ms;

	if (zone->version == 0 || zone->out || ramp_ms == 0 ||
	    age_ms >= (int64_t)ramp_ms)
		return 0;
	return 1.0 - (double)MAX(age_ms, (int64_t)0) / ramp_ms;
}

static double
service_share(const bp_round_t *round, guint index)
{
	return g_array_index(round->services, double, index);
}

static double
service_share_of(const bp_vm_t *vm)
{
	bp_resources_t held = {0, 0, 0};
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		const bp_job_t *job =
		    g_array_index(vm->tasks, bp_task_ref_t, i).job;

		if (job->klass == BP_CLASS_SERVICE)
			held = bp_resources_sum(&held, &job->size);
	}
	return bp_resources_dominant(&held, &vm->capacity);
}

/* Computes, once per round, the share of each owned VM used by services. */
void
bp_services_load(bp_round_t *round)
{
	guint i;

	round->services = g_array_sized_new(
	    FALSE, FALSE, sizeof(double), round->own->vms->len);
	for (i = 0; i < round->own->vms->len; i++) {
		double share =
		    service_share_of(g_ptr_array_index(round->own->vms, i));

		g_array_append_val(round->services, share);
	}
}

/* Adds planned tasks of a service to the share of the VM. */
void
bp_services_add(const bp_round_t *round, const bp_candidate_t *candidate,
    const bp_job_t *job, uint32_t count)
{
	if (job->klass == BP_CLASS_SERVICE)
		g_array_index(round->services, double, candidate->index) +=
		    count *
		    bp_resources_dominant(&job->size, &candidate->vm->capacity);
}

/*
 * Tasks of a service are spread, then packed onto VMs that already run
 * services. Urgent tasks go to the least loaded VM. Batch fills the most
 * loaded VM first, so that whole VMs stay free for large tasks.
 */
static double
score_class(const bp_job_t *job, const bp_candidate_t *candidate, double load,
    double services, const bp_spread_t *spread)
{
	switch (job->klass) {
	case BP_CLASS_SERVICE:
		return spread_cost(spread, candidate->vm) + 1.0 - services +
		    COLOCATION_WEIGHT * MAX(load - services, 0);
	case BP_CLASS_URGENT:
		return load;
	case BP_CLASS_BATCH:
		return 1.0 - load + (services > 0 ? COLOCATION_WEIGHT : 0);
	}
	return load;
}

static double
score(const bp_round_t *round, const bp_job_t *job,
    const bp_candidate_t *candidate, const bp_spread_t *spread)
{
	const bp_placement_options_t *options = &round->placement->options;
	const bp_vm_t *vm = candidate->vm;
	double load = load_of(round, job, vm);
	double sum;

	if (options->score != NULL)
		return options->score(job, vm, load, options->data);
	sum = score_class(job, candidate, load,
	    service_share(round, candidate->index), spread);
	if (job->klass != BP_CLASS_URGENT)
		sum += RETURN_WEIGHT * zone_return_cost(round, vm->rack->zone);
	sum += FAILURE_WEIGHT * MIN(vm->failed_streak, FAILURES_MAX);
	return sum + PENALTY_WEIGHT * candidate->penalty;
}

/* Batch interferes only on VMs that run services. */
static double
penalty(const bp_round_t *round, const bp_job_t *job, const bp_vm_t *vm,
    guint index)
{
	const bp_placement_options_t *options = &round->placement->options;

	if (options->penalty == NULL ||
	    (job->klass == BP_CLASS_BATCH &&
		!(service_share(round, index) > 0)))
		return 0;
	return options->penalty(job, vm, options->data);
}

static bool
reachable(const bp_round_t *round, const bp_vm_t *vm)
{
	const bp_placement_options_t *options = &round->placement->options;

	return options->reachable == NULL ||
	    options->reachable(vm, options->data);
}

static bool
must_avoid(const bp_round_t *round, const bp_job_t *job, double slowdown)
{
	int64_t bound_ms =
	    AVOID_WAIT_BOUNDS * round->placement->options.queue.wait_bound_ms;

	return job->klass == BP_CLASS_BATCH && slowdown > PENALTY_MAX &&
	    round->state_now_ms - job->submit_ms <= bound_ms;
}

/*
 * Finds owned VMs that can run a task of the job now. The search starts at an
 * index that depends on the job and stops after CANDIDATES_MAX matches.
 */
GArray *
bp_candidates(const bp_round_t *round, const bp_constraints_t *constraints,
    const bp_spread_t *spread, bool *avoided)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(bp_candidate_t));
	const GPtrArray *vms = round->own->vms;
	const bp_job_t *job = constraints->job;
	guint start = 0;
	guint i;

	*avoided = false;
	if (vms->len > CANDIDATES_MAX)
		start = (guint)(bp_owner_job_hash(job) % vms->len);
	for (i = 0; i < vms->len && found->len < CANDIDATES_MAX; i++) {
		guint index = (start + i) % vms->len;
		bp_vm_t *vm = g_ptr_array_index(vms, index);
		bp_candidate_t candidate = {vm, index, 0, 0};

		if (bp_constraints_check(constraints, vm,
			round->placement->reservations, NULL, NULL) != 0 ||
		    !reachable(round, vm))
			continue;
		candidate.penalty = penalty(round, job, vm, index);
		if (must_avoid(round, job, candidate.penalty)) {
			*avoided = true;
			continue;
		}
		candidate.score = score(round, job, &candidate, spread);
		g_array_append_val(found, candidate);
	}
	return found;
}

/* Recomputes the scores after a task was planned. */
void
bp_candidates_rescore(const bp_round_t *round, GArray *candidates,
    const bp_job_t *job, const bp_spread_t *spread)
{
	guint i;

	for (i = 0; i < candidates->len; i++) {
		bp_candidate_t *candidate =
		    &g_array_index(candidates, bp_candidate_t, i);

		candidate->score = score(round, job, candidate, spread);
	}
}

/* Returns the index of the first candidate with the lowest score, or -1. */
int
bp_candidates_best(const GArray *candidates)
{
	const bp_candidate_t *candidate;
	double lowest = 0;
	int best = -1;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		candidate = &g_array_index(candidates, bp_candidate_t, i);
		if (best < 0 || candidate->score < lowest) {
			best = (int)i;
			lowest = candidate->score;
		}
	}
	return best;
}
