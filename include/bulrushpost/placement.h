#ifndef BULRUSHPOST_PLACEMENT_H
#define BULRUSHPOST_PLACEMENT_H

#include "bulrushpost/queue.h"

/* Chooses VMs of the own racks for waiting tasks; see design section 4. */
typedef struct bp_placement bp_placement_t;

/* Expected slowdown that a job adds on a VM, or suffers there; 0 for none. */
typedef double (*bp_placement_penalty_t)(
    const bp_job_t *job, const bp_vm_t *vm, void *data);

/*
 * Replaces the policy's score in comparisons; lower is better. load is the
 * dominant share of the VM in use with the task, planned ones included.
 */
typedef double (*bp_placement_score_t)(
    const bp_job_t *job, const bp_vm_t *vm, double load, void *data);

typedef struct {
	bp_queue_options_t queue;
	bp_placement_score_t score; /* NULL for the policy */
	uint32_t rank_wait_ms; /* rank r waits r times this */
	uint32_t turn_tasks; /* tasks of one job before the next turn */
	uint32_t return_ramp_ms; /* a returned zone is avoided this long */
	uint64_t seed;
	/* NULL means that all VMs are reachable. */
	bool (*reachable)(const bp_vm_t *vm, void *data);
	bp_placement_penalty_t penalty; /* NULL without estimates */
	void *data;
} bp_placement_options_t;

/*
 * Tasks first_task .. first_task+count-1 of one attempt for one VM. The
 * pointers refer to the state given to the plan.
 */
typedef struct {
	bp_job_t *job;
	bp_vm_t *vm;
	uint32_t first_task;
	uint32_t count;
	uint32_t attempt;
	uint64_t epoch; /* of the rack of the VM */
} bp_assignment_t;

int bp_placement_options_init(bp_placement_options_t *options);
int bp_placement_new(bp_placement_t **out,
    const bp_placement_options_t *options, bp_error_t *err);
void bp_placement_free(bp_placement_t *placement);

/*
 * Appends to out (an array of bp_assignment_t) what to assign now, at most
 * budget_tasks tasks. now_ms is the local monotonic time. What is returned
 * stays reserved until the state shows the attempt or until
 * bp_placement_settled is called for an entry that had no effect.
 */
int bp_placement_plan(GArray *out, bp_placement_t *placement,
    const bp_state_t *state, const char *node, uint64_t incarnation,
    uint32_t budget_tasks, int64_t now_ms, bp_error_t *err);
void bp_placement_settled(
    bp_placement_t *placement, const char *job, uint32_t first_task);
size_t bp_placement_in_flight(const bp_placement_t *placement);
/*
 * Number of jobs that took the turn of this one in the last plan; 0 when it
 * was considered or does not wait. The state of that plan must still exist.
 */
uint32_t bp_placement_ahead(const bp_placement_t *placement, const char *job);
/*
 * Tells whether the job was passed over lately because it would disturb a
 * service on every own VM with room. now_ms is the local monotonic time.
 */
bool bp_placement_avoids(
    const bp_placement_t *placement, const char *job, int64_t now_ms);

#endif
