#include "bulrushpost/eligibility.h"
#include "state/private.h"

#include <string.h>

#define JOB_TASKS_MAX 10000U
#define JOB_WEIGHT_DEFAULT 1U
#define FIRST_ATTEMPT 1U
/* A task that has failed this many times is not run again. */
#define TASK_FAILURES_MAX 3U

static bp_resources_t
add(bp_resources_t a, const bp_resources_t *b)
{
	a.cpu_milli += b->cpu_milli;
	a.memory_mib += b->memory_mib;
	a.accelerators += b->accelerators;
	return a;
}

static bp_resources_t
subtract(bp_resources_t a, const bp_resources_t *b)
{
	a.cpu_milli -= b->cpu_milli;
	a.memory_mib -= b->memory_mib;
	a.accelerators -= b->accelerators;
	return a;
}

/* Adds a job with all tasks waiting; the caller has validated the spec. */
bp_job_t *
bp_state_add_job(bp_state_t *state, const Bp__Log__JobSpec *spec)
{
	bp_job_t *job = g_new0(bp_job_t, 1);
	uint32_t i;

	job->id = g_strdup(spec->id);
	job->name = g_strdup(spec->name);
	job->team = bp_state_add_team(state, spec->team);
	job->klass = (bp_task_class_t)spec->klass;
	job->size.cpu_milli = spec->cpu_milli;
	job->size.memory_mib = spec->memory_mib;
	job->size.accelerators = spec->accelerators;
	job->declared_size = job->size;
	job->run_ms = spec->run_ms;
	job->weight = spec->weight != 0 ? spec->weight : JOB_WEIGHT_DEFAULT;
	job->never_rerun = spec->never_rerun;
	job->command = g_strdup(spec->command);
	job->submitted_by = g_strdup(spec->submitted_by);
	job->n_tasks = spec->tasks;
	job->n_waiting = spec->tasks;
	job->max_attempt = FIRST_ATTEMPT;
	job->tasks = g_new0(bp_task_t, spec->tasks);
	for (i = 0; i < spec->tasks; i++)
		job->tasks[i].attempt = FIRST_ATTEMPT;
	g_hash_table_insert(state->jobs, job->id, job);
	g_ptr_array_add(state->waiting, job);
	return job;
}

static int
check_spec(bp_apply_t *ctx, const Bp__Log__JobSpec *spec)
{
	if (spec == NULL || spec->id[0] == '\0' || spec->team[0] == '\0')
		return bp_error_set(
		    ctx->err, BP_EINVALID, "a job needs an id and a team");
	if (spec->tasks == 0 || spec->tasks > JOB_TASKS_MAX)
		return bp_error_set(ctx->err, BP_EINVALID,
		    "a job has 1 to %u tasks", JOB_TASKS_MAX);
	if (spec->klass < BP__LOG__TASK_CLASS__CLASS_SERVICE ||
	    spec->klass > BP__LOG__TASK_CLASS__CLASS_BATCH)
		return bp_error_set(ctx->err, BP_EINVALID,
		    "the class is service, urgent or batch");
	if (spec->cpu_milli == 0 || spec->memory_mib == 0)
		return bp_error_set(ctx->err, BP_EINVALID,
		    "a task needs processors and memory");
	return BP_OK;
}

/* Accepts a job. A repeated submission has no effect, as its id is known. */
int
bp_apply_job_submit(bp_apply_t *ctx, const Bp__Log__JobSubmit *submit)
{
	const Bp__Log__JobSpec *spec = submit->spec;
	bp_job_t *job;
	uint32_t i;
	int rc = check_spec(ctx, spec);

	if (rc != BP_OK)
		return rc;
	if (bp_state_job(ctx->state, spec->id) != NULL)
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "job %s was submitted before", spec->id);
	job = bp_state_add_job(ctx->state, spec);
	job->submit_offset = ctx->offset;
	job->submit_ms = (int64_t)ctx->record->time_ms;
	for (i = 0; i < job->n_tasks; i++) {
		job->tasks[i].since_offset = ctx->offset;
		job->tasks[i].since_ms = job->submit_ms;
	}
	return BP_OK;
}

/* Assigns a waiting task to a VM. */
void
bp_task_assign(bp_state_t *state, bp_job_t *job, uint32_t index, bp_vm_t *vm,
    uint64_t epoch)
{
	bp_task_t *task = &job->tasks[index];
	bp_task_ref_t ref = {job, index};

	task->state = BP_TASK_ASSIGNED;
	task->vm = vm;
	task->epoch = epoch;
	task->size = job->size;
	vm->used = add(vm->used, &task->size);
	g_array_append_val(vm->tasks, ref);
	job->team->used = add(job->team->used, &task->size);
	job->team->assigned++;
	job->n_waiting--;
	job->n_assigned++;
	if (job->n_waiting == 0)
		g_ptr_array_remove(state->waiting, job);
}

/* Removes an assigned task from its VM; the caller sets its next state. */
void
bp_task_unassign(bp_job_t *job, uint32_t index)
{
	bp_task_t *task = &job->tasks[index];
	GArray *refs = task->vm->tasks;
	guint i;

	for (i = 0; i < refs->len; i++) {
		bp_task_ref_t *ref = &g_array_index(refs, bp_task_ref_t, i);

		if (ref->job == job && ref->task == index) {
			g_array_remove_index(refs, i);
			break;
		}
	}
	task->vm->used = subtract(task->vm->used, &task->size);
	job->team->used = subtract(job->team->used, &task->size);
	job->team->assigned--;
	job->n_assigned--;
	task->vm = NULL;
}

/* Makes a task that is not assigned wait for its next attempt. */
void
bp_task_wait(bp_state_t *state, bp_job_t *job, uint32_t index)
{
	job->tasks[index].state = BP_TASK_WAITING;
	job->first_waiting = MIN(job->first_waiting, index);
	job->n_waiting++;
	if (job->n_waiting == 1)
		g_ptr_array_add(state->waiting, job);
}

/* Ends a task that is neither assigned nor counted as waiting. */
void
bp_task_finish(bp_state_t *state, bp_job_t *job, uint32_t index,
    Bp__Log__TaskOutcome outcome)
{
	job->tasks[index].state = BP_TASK_ENDED;
	job->tasks[index].outcome = (uint8_t)outcome;
	job->n_ended++;
	if (job->n_ended == job->n_tasks)
		job->ended_ms = state->now_ms;
}

/*
 * Raises the amounts reserved for later attempts of a job. Assigned tasks
 * keep their reserved size, so that no VM becomes over-committed.
 */
int
bp_apply_job_resize(bp_apply_t *ctx, const Bp__Log__JobResize *resize)
{
	bp_job_t *job = bp_state_job(ctx->state, resize->job);

	if (job == NULL)
		return bp_error_set(
		    ctx->err, BP_ENOTFOUND, "no job has id %s", resize->job);
	if (resize->cpu_milli < job->size.cpu_milli ||
	    resize->memory_mib < job->size.memory_mib ||
	    resize->accelerators < job->size.accelerators)
		return bp_error_set(ctx->err, BP_EINVALID,
		    "the size of job %s can only be raised", job->id);
	job->size.cpu_milli = resize->cpu_milli;
	job->size.memory_mib = resize->memory_mib;
	job->size.accelerators = resize->accelerators;
	return BP_OK;
}

/* Cancels a job: waiting tasks end at once, assigned ones when they stop. */
int
bp_apply_job_cancel(bp_apply_t *ctx, const Bp__Log__JobCancel *cancel)
{
	bp_job_t *job = bp_state_job(ctx->state, cancel->job);
	uint32_t i;

	if (job == NULL)
		return bp_error_set(
		    ctx->err, BP_ENOTFOUND, "no job has id %s", cancel->job);
	if (job->cancelled)
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "job %s was cancelled before by %s", job->id,
		    job->cancelled_by);
	if (job->n_ended == job->n_tasks)
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "job %s has ended already", job->id);
	job->cancelled = true;
	job->cancelled_by = g_strdup(cancel->by);
	if (job->n_waiting > 0)
		g_ptr_array_remove(ctx->state->waiting, job);
	job->n_waiting = 0;
	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].state != BP_TASK_WAITING)
			continue;
		job->tasks[i].since_offset = ctx->offset;
		bp_task_finish(ctx->state, job, i,
		    BP__LOG__TASK_OUTCOME__OUTCOME_CANCELLED);
	}
	return BP_OK;
}

static int
check_assign_task(bp_apply_t *ctx, const Bp__Log__Assign *assign,
    const bp_job_t *job, const bp_vm_t *vm, uint32_t index)
{
	const bp_task_t *task = &job->tasks[index];
	uint32_t causes;

	if (task->state != BP_TASK_WAITING)
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "task %u of job %s does not wait", index, job->id);
	if (task->attempt != assign->attempt)
		return bp_error_set(ctx->err, BP_ESTALE,
		    "task %u of job %s is at attempt %u, not %u", index,
		    job->id, task->attempt, assign->attempt);
	causes = bp_eligibility_check(ctx->state, job, vm, NULL);
	if (causes != 0)
		return bp_error_set(ctx->err, BP_EREFUSED,
		    "VM %s cannot take job %s: %s", vm->name, job->id,
		    bp_cause_name((bp_cause_t)(causes & -causes)));
	return BP_OK;
}

static void
undo_assign(bp_state_t *state, bp_job_t *job, uint32_t first, uint32_t end)
{
	uint32_t i;

	for (i = first; i < end; i++) {
		bp_task_unassign(job, i);
		bp_task_wait(state, job, i);
	}
}

static void
skip_assigned(bp_job_t *job)
{
	while (job->first_waiting < job->n_tasks &&
	    job->tasks[job->first_waiting].state != BP_TASK_WAITING)
		job->first_waiting++;
}

/*
 * Assigns a range of waiting tasks to a VM: all of them, or none if a check
 * fails. Each task counts against capacity and quota before the next check.
 */
int
bp_apply_assign(bp_apply_t *ctx, const Bp__Log__Assign *assign)
{
	bp_job_t *job = bp_state_job(ctx->state, assign->job);
	bp_vm_t *vm = bp_state_vm(ctx->state, assign->vm);
	uint32_t end = assign->first_task + assign->count;
	uint32_t i;
	int rc;

	if (job == NULL || vm == NULL)
		return bp_error_set(
		    ctx->err, BP_ENOTFOUND, "unknown job or VM");
	rc = bp_apply_check_owner(ctx, vm->rack, assign->epoch);
	if (rc != BP_OK)
		return rc;
	if (assign->count == 0 || end < assign->first_task ||
	    end > job->n_tasks)
		return bp_error_set(
		    ctx->err, BP_EINVALID, "task range out of bounds");
	for (i = assign->first_task; i < end; i++) {
		rc = check_assign_task(ctx, assign, job, vm, i);
		if (rc != BP_OK) {
			undo_assign(ctx->state, job, assign->first_task, i);
			return rc;
		}
		bp_task_assign(ctx->state, job, i, vm, assign->epoch);
	}
	for (i = assign->first_task; i < end; i++) {
		job->tasks[i].since_offset = ctx->offset;
		job->tasks[i].since_ms = (int64_t)ctx->record->time_ms;
	}
	skip_assigned(job);
	return BP_OK;
}

static void
count_failure(bp_vm_t *vm, const bp_job_t *job)
{
	vm->consecutive_failures++;
	if (vm->last_failed_job != NULL &&
	    strcmp(vm->last_failed_job, job->id) != 0)
		vm->failures_of_several_jobs = true;
	g_free(vm->last_failed_job);
	vm->last_failed_job = g_strdup(job->id);
}

static void
count_success(bp_vm_t *vm)
{
	vm->consecutive_failures = 0;
	vm->failures_of_several_jobs = false;
	g_clear_pointer(&vm->last_failed_job, g_free);
}

static bool
runs_again(
    const bp_job_t *job, const bp_task_t *task, Bp__Log__TaskOutcome outcome)
{
	if (job->cancelled)
		return false;
	switch (outcome) {
	case BP__LOG__TASK_OUTCOME__OUTCOME_FAILED:
		return task->failures < TASK_FAILURES_MAX;
	case BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED:
		return true;
	case BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED:
		/* Without a checkpoint it would run again from the start. */
		return !job->never_rerun || task->checkpoint != NULL;
	case BP__LOG__TASK_OUTCOME__OUTCOME_LOST:
		return !job->never_rerun;
	default:
		return false;
	}
}

static void
end_or_requeue(bp_apply_t *ctx, bp_job_t *job, uint32_t index,
    Bp__Log__TaskOutcome outcome)
{
	bp_task_t *task = &job->tasks[index];

	task->outcome = (uint8_t)outcome;
	task->since_offset = ctx->offset;
	task->since_ms = (int64_t)ctx->record->time_ms;
	if (runs_again(job, task, outcome)) {
		task->attempt++;
		job->max_attempt = MAX(job->max_attempt, task->attempt);
		bp_task_wait(ctx->state, job, index);
		return;
	}
	if (job->cancelled &&
	    (outcome == BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED ||
		outcome == BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED))
		outcome = BP__LOG__TASK_OUTCOME__OUTCOME_CANCELLED;
	bp_task_finish(ctx->state, job, index, outcome);
}

/*
 * Ends an attempt. Only the rack's owner may write the entry. The attempt
 * number makes a repeated end of the same attempt fail, so that an evicted
 * task resumes only once.
 */
int
bp_apply_task_end(bp_apply_t *ctx, const Bp__Log__TaskEnd *end)
{
	bp_job_t *job = bp_state_job(ctx->state, end->job);
	bp_task_t *task;
	int rc;

	if (job == NULL || end->task >= job->n_tasks)
		return bp_error_set(ctx->err, BP_ENOTFOUND, "unknown task");
	task = &job->tasks[end->task];
	if (task->state != BP_TASK_ASSIGNED || task->attempt != end->attempt)
		return bp_error_set(ctx->err, BP_ESTALE,
		    "attempt %u of task %u of job %s is not assigned",
		    end->attempt, end->task, job->id);
	rc = bp_apply_check_owner(ctx, task->vm->rack, end->epoch);
	if (rc != BP_OK)
		return rc;
	if (end->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_FAILED) {
		task->failures++;
		count_failure(task->vm, job);
	} else if (end->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED) {
		count_success(task->vm);
	}
	if (end->checkpoint[0] != '\0') {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(end->checkpoint);
	}
	bp_task_unassign(job, end->task);
	end_or_requeue(ctx, job, end->task, end->outcome);
	return BP_OK;
}
