#ifndef BULRUSHPOST_PLACEMENT_H
#define BULRUSHPOST_PLACEMENT_H

#include "bulrushpost/queue.h"

/*
 * Assigns waiting tasks to VMs of the racks that this node owns; see section
 * 4 of the design.
 */
typedef struct bp_placement bp_placement_t;

/*
 * Expected slowdown that a batch job causes on a VM, or that another job
 * suffers there; 0 for none, 0.5 for 50% slower.
 */
typedef double (*bp_placement_penalty_t)(
    const bp_job_t *job, const bp_vm_t *vm, void *data);

/*
 * Replaces the default score; lower is better. load is the dominant share of
 * the VM in use with the task, including planned tasks.
 */
typedef double (*bp_placement_score_t)(
    const bp_job_t *job, const bp_vm_t *vm, double load, void *data);

typedef struct {
	bp_queue_options_t queue;
	bp_placement_score_t score; /* NULL for the default */
	uint32_t rank_wait_ms; /* a node of rank r waits r times this */
	uint32_t turn_tasks; /* tasks of one job placed per turn */
	uint32_t return_ramp_ms; /* returned zones are avoided this long */
	uint64_t seed;
	/* NULL if all VMs are reachable. */
	bool (*reachable)(const bp_vm_t *vm, void *data);
	bp_placement_penalty_t penalty; /* NULL for no penalty */
	void *data;
} bp_placement_options_t;

/*
 * Assigns tasks first_task to first_task+count-1, all at the same attempt,
 * to one VM. The pointers belong to the state passed to bp_placement_plan.
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
 * Appends the assignments of one round, of at most budget_tasks tasks, to
 * out (an array of bp_assignment_t). now_ms is the local monotonic time. An
 * assignment stays pending and its resources reserved until the state shows
 * the attempt or until bp_placement_settled is called for it, because its
 * log entry had no effect.
 */
int bp_placement_plan(GArray *out, bp_placement_t *placement,
    const bp_state_t *state, const char *node, uint64_t incarnation,
    uint32_t budget_tasks, int64_t now_ms, bp_error_t *err);
void bp_placement_settled(
    bp_placement_t *placement, const char *job, uint32_t first_task);
size_t bp_placement_in_flight(const bp_placement_t *placement);
/*
 * Returns the number of jobs that used up the budget of the last plan before
 * this job was considered; 0 if it was considered, does not wait or does not
 * fit on any owned VM. The state of that plan must still exist.
 */
uint32_t bp_placement_ahead(const bp_placement_t *placement, const char *job);
/*
 * Tells whether the job was recently passed over because it would slow
 * services down on every owned VM with capacity. now_ms is the local monotonic
 * time.
 */
bool bp_placement_avoids(
    const bp_placement_t *placement, const char *job, int64_t now_ms);

#endif
