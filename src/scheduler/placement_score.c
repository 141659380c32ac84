#include "scheduler/placement_private.h"

#include "bulrushpost/hash.h"
#include "bulrushpost/resources.h"

/*
 * Enough to find a good VM. A node that owns all 1,600 VMs after the loss
 * of the others would otherwise score each of them for each small job.
 */
#define CANDIDATES_MAX 128U
/*
 * A further task in the same rack or zone weighs more than any difference
 * of load (at most 1), and a rack weighs less than a zone.
 */
#define RACK_WEIGHT 1.0
#define ZONE_WEIGHT 2.0
/* A slowdown of 50% outweighs a full VM against an empty one. */
#define PENALTY_WEIGHT 2.0
/* A zone that has just returned is as bad as one that is quite full. */
#define RETURN_WEIGHT 1.0
/* Each failure in a row counts, so that a retry goes to another VM. */
#define FAILURE_WEIGHT 0.5
#define FAILURES_MAX 5U

/* Counts the tasks of a job in each rack and zone, planned ones included. */
void
bp_spread_init(
    bp_spread_t *spread, const bp_round_t *round, const bp_job_t *job)
{
	const GArray *reserved =
	    bp_reservations_of(round->placement->reservations, job);
	const bp_reservation_t *one;
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
		one = &g_array_index(reserved, bp_reservation_t, i);
		bp_spread_add(spread, one->vm, one->count);
	}
}

/* Releases the counts. */
void
bp_spread_clear(bp_spread_t *spread)
{
	g_hash_table_unref(spread->racks);
	g_hash_table_unref(spread->zones);
}

static void
count(GHashTable *table, gpointer key, uint32_t more)
{
	guint value = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));

	g_hash_table_insert(table, key, GUINT_TO_POINTER(value + more));
}

/* Counts further tasks on a VM. */
void
bp_spread_add(bp_spread_t *spread, const bp_vm_t *vm, uint32_t more)
{
	count(spread->racks, vm->rack, more);
	count(spread->zones, vm->rack->zone, more);
	spread->total += more;
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
crowding(const bp_spread_t *spread, const bp_vm_t *vm)
{
	guint rack =
	    GPOINTER_TO_UINT(g_hash_table_lookup(spread->racks, vm->rack));
	guint zone = GPOINTER_TO_UINT(
	    g_hash_table_lookup(spread->zones, vm->rack->zone));

	return RACK_WEIGHT * rack + ZONE_WEIGHT * zone;
}

/* 1 when the zone has just come back into service, 0 after the ramp. */
static double
returned(const bp_round_t *round, const bp_zone_t *zone)
{
	uint32_t ramp_ms = round->placement->options.return_ramp_ms;
	int64_t age_ms = round->state_now_ms - zone->time_ms;

	if (zone->version == 0 || zone->out || ramp_ms == 0 ||
	    age_ms >= (int64_t)ramp_ms)
		return 0;
	return 1.0 - (double)MAX(age_ms, (int64_t)0) / ramp_ms;
}

/*
 * Services and urgent work go where there is room to grow and services
 * apart from their own tasks; batch fills the fullest VM first, so that
 * whole VMs stay free for large tasks.
 */
double
bp_score(const bp_round_t *round, const bp_job_t *job, const bp_vm_t *vm,
    const bp_spread_t *spread)
{
	const bp_placement_options_t *options = &round->placement->options;
	double load;
	double score;

	load = load_of(round, job, vm);
	if (options->score != NULL)
		return options->score(job, vm, load, options->data);
	score = job->klass == BP_CLASS_BATCH ? 1.0 - load : load;
	if (job->klass == BP_CLASS_SERVICE)
		score += crowding(spread, vm);
	if (job->klass != BP_CLASS_URGENT)
		score += RETURN_WEIGHT * returned(round, vm->rack->zone);
	score += FAILURE_WEIGHT * MIN(vm->failed_streak, FAILURES_MAX);
	if (options->penalty != NULL)
		score +=
		    PENALTY_WEIGHT * options->penalty(job, vm, options->data);
	return score;
}

static bool
reachable(const bp_round_t *round, const bp_vm_t *vm)
{
	const bp_placement_options_t *options = &round->placement->options;

	return options->reachable == NULL ||
	    options->reachable(vm, options->data);
}

/*
 * Finds own VMs that can take a task of the job now. The search starts at a
 * place that differs between jobs and ends after CANDIDATES_MAX hits.
 */
GArray *
bp_candidates(const bp_round_t *round, const bp_constraints_t *constraints,
    const bp_spread_t *spread)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(bp_candidate_t));
	const GPtrArray *vms = round->own->vms;
	const bp_job_t *job = constraints->job;
	guint start = 0;
	guint i;

	if (vms->len > CANDIDATES_MAX)
		start = (guint)(bp_owner_job_hash(job) % vms->len);
	for (i = 0; i < vms->len && found->len < CANDIDATES_MAX; i++) {
		bp_vm_t *vm = g_ptr_array_index(vms, (start + i) % vms->len);
		bp_candidate_t one = {vm, 0};

		if (bp_constraints_check(constraints, vm,
			round->placement->reservations, NULL, NULL) != 0 ||
		    !reachable(round, vm))
			continue;
		one.score = bp_score(round, job, vm, spread);
		g_array_append_val(found, one);
	}
	return found;
}

/* Scores again after a task was planned. */
void
bp_candidates_rescore(const bp_round_t *round, GArray *candidates,
    const bp_job_t *job, const bp_spread_t *spread)
{
	guint i;

	for (i = 0; i < candidates->len; i++) {
		bp_candidate_t *one =
		    &g_array_index(candidates, bp_candidate_t, i);

		one->score = bp_score(round, job, one->vm, spread);
	}
}

/* Returns the index of the best candidate, the first of equals, or -1. */
int
bp_candidates_best(const GArray *candidates)
{
	const bp_candidate_t *one;
	double score = 0;
	int best = -1;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		one = &g_array_index(candidates, bp_candidate_t, i);
		if (best < 0 || one->score < score) {
			best = (int)i;
			score = one->score;
		}
	}
	return best;
}
