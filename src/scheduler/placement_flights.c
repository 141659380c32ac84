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

/* Frees a bp_flight_t. */
void
bp_flight_free(void *data)
{
	bp_flight_t *pending = data;

	g_free(pending->job);
	g_free(pending->vm);
	g_free(pending);
}

static bp_flight_t *
new_pending(const char *job, const char *vm)
{
	bp_flight_t *pending = g_new0(bp_flight_t, 1);

	pending->job = g_strdup(job);
	pending->vm = g_strdup(vm);
	return pending;
}

/* Records an assignment as pending until the state shows it. */
void
bp_flights_add(bp_placement_t *placement, const bp_assignment_t *assignment)
{
	bp_flight_t *pending =
	    new_pending(assignment->job->id, assignment->vm->name);

	pending->known = assignment->job;
	pending->first_task = assignment->first_task;
	pending->count = assignment->count;
	pending->attempt = assignment->attempt;
	g_ptr_array_add(placement->flights, pending);
}

/* Tells whether the task is part of a pending assignment. */
bool
bp_flights_hold(
    const bp_placement_t *placement, const bp_job_t *job, uint32_t task)
{
	const bp_flight_t *pending;
	guint i;

	for (i = 0; i < placement->flights->len; i++) {
		pending = g_ptr_array_index(placement->flights, i);
		if (pending->known == job && task >= pending->first_task &&
		    task - pending->first_task < pending->count)
			return true;
	}
	return false;
}

static bool
still_waiting(const bp_job_t *job, const bp_flight_t *pending)
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
bp_flights_load(bp_round_t *round)
{
	bp_placement_t *placement = round->placement;
	bp_flight_t *pending;
	const bp_job_t *job;
	const bp_vm_t *vm;
	guint i = 0;

	bp_reservations_clear(placement->reservations);
	while (i < placement->flights->len) {
		pending = g_ptr_array_index(placement->flights, i);
		job = bp_state_job(round->state, pending->job);
		vm = bp_state_vm(round->state, pending->vm);
		if (vm == NULL || !still_waiting(job, pending)) {
			g_ptr_array_remove_index_fast(placement->flights, i);
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
		    !bp_flights_hold(placement, job, i))
			return i;
	}
	return -1;
}

/*
 * Assigns a task to a reserved VM if it fits. Returns true if the VM has to
 * stay reserved.
 */
static bool
serve_reserved(bp_round_t *round, const bp_flight_t *reservation)
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
	if (causes == 0 && bp_emit(round, job, vm, (uint32_t)task, 1))
		return false;
	if ((causes & ~(uint32_t)(BP_CAUSE_NO_CAPACITY | BP_CAUSE_HEADROOM)) !=
	    0)
		return false;
	bp_reservations_add(round->placement->reservations, job, vm, 1);
	return true;
}

/* Runs before the queue, whose small jobs would fill the reserved VMs. */
void
bp_kept_load(bp_round_t *round)
{
	GPtrArray *reserved = round->placement->kept;
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
	const bp_flight_t *reservation;
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
collect_causes(const bp_obstacle_t *obstacle, void *data)
{
	*(uint32_t *)data |= obstacle->cause;
}

static bp_vm_t *
vm_to_reserve(const bp_round_t *round, const bp_job_t *job)
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
		    bp_resources_dominant(&job->size, &vm->capacity) <
			RESERVED_VM_MIN_SHARE ||
		    is_reserved(round->placement->kept, NULL, vm->name))
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
bp_kept_add(bp_round_t *round, const bp_job_t *job)
{
	GPtrArray *reserved = round->placement->kept;
	bp_vm_t *vm;
	guint i;

	if (reserved->len >= RESERVED_VMS_MAX ||
	    is_reserved(reserved, job->id, NULL))
		return;
	for (i = 0; i < round->owners->len; i++)
		g_array_index(round->owners, bp_owner_t, i).has_room = true;
	if (bp_owner_rank(round, bp_owner_job_hash(job), 0) != 0)
		return;
	vm = vm_to_reserve(round, job);
	if (vm == NULL)
		return;
	g_ptr_array_add(reserved, new_pending(job->id, vm->name));
	bp_reservations_add(round->placement->reservations, job, vm, 1);
}
