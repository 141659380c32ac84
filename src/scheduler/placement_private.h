#ifndef BP_SCHEDULER_PLACEMENT_PRIVATE_H
#define BP_SCHEDULER_PLACEMENT_PRIVATE_H

#include "bulrushpost/constraints.h"
#include "bulrushpost/placement.h"

/* A node that owns racks, as it takes part in the ranking of one round. */
typedef struct {
	const char *node;
	uint64_t incarnation;
	uint64_t hash;
	GPtrArray *vms; /* bp_vm_t */
	bp_resources_t most_free; /* the largest free amount of each resource */
	bp_resources_t most_free_batch; /* the same below the headroom */
	bool has_room; /* for the job considered now */
} bp_owner_t;

/* Entries written and not read back yet, and the VM kept for a large job. */
typedef struct {
	char *job;
	char *vm;
	const bp_job_t *known; /* the job in this round's state */
	uint32_t first_task;
	uint32_t count;
	uint32_t attempt;
} bp_flight_t;

/* What is remembered of a job between rounds. */
typedef struct {
	uint32_t n_waiting;
	int64_t progress_ms; /* when n_waiting changed, or room came up */
	int64_t seen_ms; /* last round in which the own racks had room */
	int64_t blocked_until_ms; /* no VM was found; not searched before */
	int64_t avoided_ms; /* last time that only disturbed VMs had room */
} bp_track_t;

struct bp_placement {
	bp_placement_options_t options;
	bp_queue_t *queue;
	bp_reservations_t *reservations;
	GPtrArray *flights; /* bp_flight_t */
	GPtrArray *kept; /* bp_flight_t: VMs kept free for overdue jobs */
	GHashTable *tracks; /* const bp_job_t * -> bp_track_t */
	int64_t ordered_ms; /* when batch was put in order last */
	int64_t forgot_ms; /* when old tracks were removed last */
	GPtrArray *considered; /* bp_job_t since batch was put in order */
	const bp_state_t *state; /* of the last plan */
	bp_resources_t most_free; /* on own VMs in the last plan */
	bp_resources_t most_free_batch;
	size_t left; /* jobs not considered for lack of budget */
};

/* One round. */
typedef struct {
	bp_placement_t *placement;
	const bp_state_t *state;
	GArray *owners; /* bp_owner_t */
	bp_owner_t *own;
	GArray *services; /* double: share of each own VM held by services */
	GArray *out;
	uint32_t budget_tasks;
	int64_t now_ms;
	int64_t state_now_ms;
} bp_round_t;

/* One VM that can take a task of the job, with its score; lower is better. */
typedef struct {
	bp_vm_t *vm;
	guint index; /* in the own VMs */
	double penalty; /* expected slowdown of services there */
	double score;
} bp_candidate_t;

/* How many tasks of a job are in each rack and zone. */
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
/* avoided tells whether VMs were left out to protect services there. */
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
