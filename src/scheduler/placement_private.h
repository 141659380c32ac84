#ifndef BP_SCHEDULER_PLACEMENT_PRIVATE_H
#define BP_SCHEDULER_PLACEMENT_PRIVATE_H

#include "bulrushpost/constraints.h"
#include "bulrushpost/placement.h"

/* A node that owns racks, as ranked in one scheduling round. */
typedef struct {
	const char *node;
	uint64_t incarnation;
	uint64_t hash;
	GPtrArray *vms; /* bp_vm_t */
	bp_resources_t most_free; /* per resource, largest on any VM */
	bp_resources_t most_free_batch; /* the same, less the headroom */
	bool has_room; /* for the job considered now */
} bp_owner_t;

/*
 * An assignment whose log entry was not read back yet, or a VM reserved for
 * an overdue job.
 */
typedef struct {
	char *job;
	char *vm;
	const bp_job_t *known; /* in the state of this round */
	uint32_t first_task;
	uint32_t count;
	uint32_t attempt;
} bp_flight_t;

/* Placement history of a job, kept between rounds. */
typedef struct {
	uint32_t n_waiting;
	int64_t progress_ms; /* n_waiting changed or capacity appeared */
	int64_t seen_ms; /* last round with capacity on owned racks */
	int64_t blocked_until_ms; /* not tried before; no VM was found */
	int64_t avoided_ms; /* fitted only where it would interfere */
} bp_track_t;

struct bp_placement {
	bp_placement_options_t options;
	bp_queue_t *queue;
	bp_reservations_t *reservations;
	GPtrArray *flights; /* bp_flight_t */
	GPtrArray *kept; /* bp_flight_t: VMs reserved for overdue jobs */
	GHashTable *tracks; /* const bp_job_t * -> bp_track_t */
	int64_t ordered_ms; /* when batch jobs were sorted last */
	int64_t forgot_ms; /* when old histories were removed last */
	GPtrArray *considered; /* bp_job_t since batch jobs were sorted */
	const bp_state_t *state; /* of the last plan */
	bp_resources_t most_free; /* on owned VMs in the last plan */
	bp_resources_t most_free_batch;
	size_t left; /* jobs not considered, as the budget ran out */
};

/* One scheduling round. */
typedef struct {
	bp_placement_t *placement;
	const bp_state_t *state;
	GArray *owners; /* bp_owner_t */
	bp_owner_t *own;
	GArray *services; /* double: share of each owned VM used by services */
	GArray *out;
	uint32_t budget_tasks;
	int64_t now_ms;
	int64_t state_now_ms;
} bp_round_t;

/* A VM that can run a task of the job, with its score; lower is better. */
typedef struct {
	bp_vm_t *vm;
	guint index; /* in the owner's vms */
	double penalty; /* expected interference on the VM */
	double score;
} bp_candidate_t;

/* Number of tasks of a job in each rack and zone. */
typedef struct {
	GHashTable *racks;
	GHashTable *zones;
	uint32_t total;
} bp_spread_t;

bool bp_owners_load(bp_round_t *round, const char *node, uint64_t incarnation);
void bp_owners_clear(bp_round_t *round);
bool bp_owner_is_full(const bp_owner_t *owner, const bp_job_t *job);
bool bp_owner_eligible(const bp_round_t *round, const bp_owner_t *owner,
    const bp_constraints_t *constraints);
uint32_t bp_owner_rank(
    const bp_round_t *round, uint64_t job_hash, uint32_t block);
uint64_t bp_owner_job_hash(const bp_job_t *job);

void bp_spread_init(
    bp_spread_t *spread, const bp_round_t *round, const bp_job_t *job);
void bp_spread_clear(bp_spread_t *spread);
void bp_spread_add(bp_spread_t *spread, const bp_vm_t *vm, uint32_t count);
/* Sets *avoided if VMs were excluded to protect services on them. */
GArray *bp_candidates(const bp_round_t *round,
    const bp_constraints_t *constraints, const bp_spread_t *spread,
    bool *avoided);
void bp_candidates_rescore(const bp_round_t *round, GArray *candidates,
    const bp_job_t *job, const bp_spread_t *spread);
void bp_services_load(bp_round_t *round);
void bp_services_add(const bp_round_t *round, const bp_candidate_t *candidate,
    const bp_job_t *job, uint32_t count);
int bp_candidates_best(const GArray *candidates);

bool bp_flights_hold(
    const bp_placement_t *placement, const bp_job_t *job, uint32_t task);
void bp_flights_load(bp_round_t *round);
void bp_flights_add(bp_placement_t *placement, const bp_assignment_t *one);
void bp_flight_free(void *data);
void bp_kept_load(bp_round_t *round);
void bp_kept_add(bp_round_t *round, const bp_job_t *job);

bool bp_emit(bp_round_t *round, bp_job_t *job, bp_vm_t *vm, uint32_t first_task,
    uint32_t count);

#endif
