#include "scheduler/placement_private.h"

#include "bulrushpost/resources.h"

#include <string.h>

/* VMs that a node reserves at a time for overdue jobs. */
#define RESERVED_VMS_MAX 1U
/*
 * A VM is reserved only for tasks of at least this share of it. Smaller tasks
 * find capacity soon enough by their queue position, and a reserved VM idles.
 */
#define RESERVED_VM_MIN_SHARE 0.5

/* Frees a bp_pending_assignment_t. */
void
bp_pending_assignment_free(void *data)
{
	bp_pending_assignment_t *pending = data;

	g_free(pending->job);
	g_free(pending->vm);
	g_free(pending);
}

static bp_pending_assignment_t *
new_pending(const char *job, const char *vm)
{
	bp_pending_assignment_t *pending = g_new0(bp_pending_assignment_t, 1);

	pending->job = g_strdup(job);
	pending->vm = g_strdup(vm);
	return pending;
}

/* Records an assignment as pending until the state shows it. */
void
bp_pending_add(bp_placement_t *placement, const bp_assignment_t *assignment)
{
	bp_pending_assignment_t *pending =
	    new_pending(assignment->job->id, assignment->vm->name);

	pending->known = assignment->job;
	pending->first_task = assignment->first_task;
	pending->count = assignment->count;
	pending->attempt = assignment->attempt;
	g_ptr_array_add(placement->pending, pending);
}

/* Tells whether the task is part of a pending assignment. */
bool
bp_pending_contains(
    const bp_placement_t *placement, const bp_job_t *job, uint32_t task)
{
	const bp_pending_assignment_t *pending;
	guint i;

	for (i = 0; i < placement->pending->len; i++) {
		pending = g_ptr_array_index(placement->pending, i);
		if (pending->known == job && task >= pending->first_task &&
		    task - pending->first_task < pending->count)
			return true;
	}
	return false;
}

static bool
still_waiting(const bp_job_t *job, const bp_pending_assignment_t *pending)
{
	const bp_task_t *task;

	if (job == NULL || pending->first_task >= job->n_tasks)
		return false;
	task = &job->tasks[pending->first_task];
	return task->state == BP_TASK_WAITING &&
	    task->attempt == pending->attempt;
}

/*
 * Drops pending assignments that the state shows by now and reserves the
 * resources of the others.
 */
void
bp_pending_refresh(bp_placement_round_t *round)
{
	bp_placement_t *placement = round->placement;
	bp_pending_assignment_t *pending;
	const bp_job_t *job;
	const bp_vm_t *vm;
	guint i = 0;

	bp_reservations_clear(placement->reservations);
	while (i < placement->pending->len) {
		pending = g_ptr_array_index(placement->pending, i);
		job = bp_state_job(round->state, pending->job);
		vm = bp_state_vm(round->state, pending->vm);
		if (vm == NULL || !still_waiting(job, pending)) {
			g_ptr_array_remove_index_fast(placement->pending, i);
			continue;
		}
		pending->known = job;
		bp_reservations_add(
		    placement->reservations, job, vm, pending->count);
		i++;
	}
}

static int64_t
first_unplanned_task(const bp_placement_t *placement, const bp_job_t *job)
{
	uint32_t i;

	for (i = job->first_waiting; i < job->n_tasks; i++) {
		if (job->tasks[i].state == BP_TASK_WAITING &&
		    !bp_pending_contains(placement, job, i))
			return i;
	}
	return -1;
}

/*
 * Assigns a task to a reserved VM if it fits. Returns true if the VM has to
 * stay reserved.
 */
static bool
serve_reserved(
    bp_placement_round_t *round, const bp_pending_assignment_t *reservation)
{
	bp_job_t *job = bp_state_job(round->state, reservation->job);
	bp_vm_t *vm = bp_state_vm(round->state, reservation->vm);
	bp_constraints_t constraints;
	uint32_t causes;
	int64_t task;

	if (job == NULL || vm == NULL || job->n_waiting == 0)
		return false;
	task = first_unplanned_task(round->placement, job);
	if (task < 0)
		return false;
	bp_constraints_init(&constraints, round->state, job);
	causes = bp_constraints_check(
	    &constraints, vm, round->placement->reservations, NULL, NULL);
	bp_constraints_clear(&constraints);
	if (causes == 0 &&
	    bp_placement_assign(round, job, vm, (uint32_t)task, 1))
		return false;
	if ((causes & ~(uint32_t)(BP_CAUSE_NO_CAPACITY | BP_CAUSE_HEADROOM)) !=
	    0)
		return false;
	bp_reservations_add(round->placement->reservations, job, vm, 1);
	return true;
}

/* Runs before the queue, whose small jobs would fill the reserved VMs. */
void
bp_vm_reservations_serve(bp_placement_round_t *round)
{
	GPtrArray *reserved = round->placement->vm_reservations;
	guint i = 0;

	while (i < reserved->len) {
		if (serve_reserved(round, g_ptr_array_index(reserved, i)))
			i++;
		else
			g_ptr_array_remove_index(reserved, i);
	}
}

static bool
is_reserved(const GPtrArray *reserved, const char *job, const char *vm)
{
	const bp_pending_assignment_t *reservation;
	guint i;

	for (i = 0; i < reserved->len; i++) {
		reservation = g_ptr_array_index(reserved, i);
		if ((job != NULL && strcmp(reservation->job, job) == 0) ||
		    (vm != NULL && strcmp(reservation->vm, vm) == 0))
			return true;
	}
	return false;
}

static void
collect_causes(const bp_exclusion_t *exclusion, void *data)
{
	*(uint32_t *)data |= exclusion->cause;
}

static bp_vm_t *
vm_to_reserve(const bp_placement_round_t *round, const bp_job_t *job)
{
	const GPtrArray *vms = round->own->vms;
	bp_constraints_t constraints;
	bp_vm_t *best = NULL;
	double best_load = 0;
	uint32_t causes;
	guint i;

	bp_constraints_init(&constraints, round->state, job);
	for (i = 0; i < vms->len; i++) {
		bp_vm_t *vm = g_ptr_array_index(vms, i);
		double load = (double)vm->used.cpu_milli /
		    MAX(vm->capacity.cpu_milli, 1U);

		causes = 0;
		bp_constraints_check(&constraints, vm,
		    round->placement->reservations, collect_causes, &causes);
		if ((causes &
			~(uint32_t)(BP_CAUSE_NO_CAPACITY |
			    BP_CAUSE_HEADROOM)) != 0 ||
		    bp_resources_dominant_share(&job->size, &vm->capacity) <
			RESERVED_VM_MIN_SHARE ||
		    is_reserved(
			round->placement->vm_reservations, NULL, vm->name))
			continue;
		if (best == NULL || load < best_load) {
			best = vm;
			best_load = load;
		}
	}
	bp_constraints_clear(&constraints);
	return best;
}

/*
 * Reserves the least loaded VM that is large enough for an overdue job, so
 * that a stream of small jobs cannot starve a large one.
 */
void
bp_vm_reservations_add(bp_placement_round_t *round, const bp_job_t *job)
{
	GPtrArray *reserved = round->placement->vm_reservations;
	bp_vm_t *vm;
	guint i;

	if (reserved->len >= RESERVED_VMS_MAX ||
	    is_reserved(reserved, job->id, NULL))
		return;
	for (i = 0; i < round->owners->len; i++)
		g_array_index(round->owners, bp_owner_t, i).has_capacity = true;
	if (bp_owner_rank(round, bp_owner_job_hash(job), 0) != 0)
		return;
	vm = vm_to_reserve(round, job);
	if (vm == NULL)
		return;
	g_ptr_array_add(reserved, new_pending(job->id, vm->name));
	bp_reservations_add(round->placement->reservations, job, vm, 1);
}
