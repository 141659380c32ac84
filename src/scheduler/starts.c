#include "scheduler/private.h"

#include <string.h>

static void
queue_action(bp_owned_vm_t *vm, const Bp__Worker__TaskId *id,
    Bp__Worker__ActionKind kind)
{
	Bp__Worker__Action action = BP__WORKER__ACTION__INIT;

	action.id = (Bp__Worker__TaskId *)id;
	action.kind = kind;
	bp_session_act(vm->session, &action);
}

static bool
is_listed(const Bp__Worker__NonceAnswer *answer, const char *job, uint32_t task,
    uint32_t attempt)
{
	size_t i;

	for (i = 0; i < answer->n_running; i++) {
		if (answer->running[i]->task == task &&
		    answer->running[i]->attempt == attempt &&
		    strcmp(answer->running[i]->job, job) == 0)
			return true;
	}
	return false;
}

/*
 * Stops tasks that run on the worker but are not assigned to it or belong to
 * a cancelled job.
 */
static void
stop_unassigned(bp_owned_vm_t *vm, const Bp__Worker__NonceAnswer *answer)
{
	bp_job_t *job;
	size_t i;

	for (i = 0; i < answer->n_running; i++) {
		if (!bp_ends_is_assigned(
			vm->scheduler, answer->running[i], vm->name, &job) ||
		    job->cancelled)
			queue_action(vm, answer->running[i],
			    BP__WORKER__ACTION_KIND__ACTION_STOP);
	}
}

/*
 * Ends assigned attempts that the worker neither runs nor reports as ended.
 * Once the session is open, previous owners can start nothing, so these were
 * lost in a reboot or never started. The first renewal, which lists the ended
 * tasks, comes before this decision.
 */
static void
end_unlisted(bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *report)
{
	const bp_vm_t *logged_vm = bp_state_vm(
	    bp_follower_state(vm->scheduler->options.follower), vm->name);
	GArray *missing = vm->missing;
	guint i;
	size_t k;

	if (missing == NULL || logged_vm == NULL)
		return;
	for (i = 0; i < missing->len; i++) {
		bp_missing_t *attempt =
		    &g_array_index(missing, bp_missing_t, i);
		Bp__Worker__TaskId id = BP__WORKER__TASK_ID__INIT;
		bp_job_t *job;
		bool ended = false;

		id.job = attempt->job;
		id.task = attempt->task;
		id.attempt = attempt->attempt;
		for (k = 0; k < report->n_ended; k++) {
			const Bp__Worker__TaskId *other = report->ended[k]->id;

			ended = ended ||
			    (other->task == id.task &&
				other->attempt == id.attempt &&
				strcmp(other->job, id.job) == 0);
		}
		if (!ended &&
		    bp_ends_is_assigned(vm->scheduler, &id, vm->name, &job))
			bp_ends_submit(vm->scheduler, job, id.task,
			    BP__LOG__TASK_OUTCOME__OUTCOME_LOST, NULL,
			    "the worker does not know the task");
	}
	g_clear_pointer(&vm->missing, g_array_unref);
}

static void
free_unlisted(void *data)
{
	g_free(((bp_missing_t *)data)->job);
}

static void
record_unlisted(bp_owned_vm_t *vm, const Bp__Worker__NonceAnswer *answer)
{
	const bp_vm_t *logged_vm = bp_state_vm(
	    bp_follower_state(vm->scheduler->options.follower), vm->name);
	guint i;

	g_clear_pointer(&vm->missing, g_array_unref);
	if (logged_vm == NULL)
		return;
	vm->missing = g_array_new(FALSE, FALSE, sizeof(bp_missing_t));
	g_array_set_clear_func(vm->missing, free_unlisted);
	for (i = 0; i < logged_vm->tasks->len; i++) {
		const bp_task_ref_t *ref =
		    &g_array_index(logged_vm->tasks, bp_task_ref_t, i);
		uint32_t attempt = ref->job->tasks[ref->task].attempt;
		bp_missing_t unlisted = {NULL, ref->task, attempt};

		if (is_listed(answer, ref->job->id, ref->task, attempt) ||
		    bp_session_is_queued(
			vm->session, ref->job->id, ref->task, attempt))
			continue;
		unlisted.job = g_strdup(ref->job->id);
		g_array_append_val(vm->missing, unlisted);
	}
}

static void
on_opened(
    bp_session_t *session, const Bp__Worker__NonceAnswer *answer, void *data)
{
	bp_owned_vm_t *vm = data;

	(void)session;
	stop_unassigned(vm, answer);
	record_unlisted(vm, answer);
	bp_vmstate_opened(vm, answer);
}

static void
on_report(
    bp_session_t *session, const Bp__Worker__RenewAnswer *answer, void *data)
{
	bp_owned_vm_t *vm = data;

	(void)session;
	bp_ends_report(vm, answer);
	end_unlisted(vm, answer);
	bp_protection_report(vm, answer);
	bp_sizes_report(vm, answer);
}

/*
 * Checks the state once more before a start is sent. A start that may have
 * reached the worker is not recorded as "not started": the worker's list of
 * tasks decides.
 */
static bool
may_start(bp_session_t *session, const Bp__Worker__TaskId *id, bool sent_before,
    void *data)
{
	bp_owned_vm_t *vm = data;
	bp_job_t *job;
	const char *reason = NULL;

	if (!bp_ends_is_assigned(vm->scheduler, id, vm->name, &job))
		return false;
	if (job->cancelled)
		reason = "the job was cancelled before the start";
	else if (job->tasks[id->task].vm->rack->zone->out)
		reason = "the zone was taken out before the start";
	if (reason == NULL)
		return true;
	if (sent_before)
		bp_session_relist(session);
	else
		bp_ends_submit(vm->scheduler, job, id->task,
		    BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED, NULL, reason);
	return false;
}

static void
on_started(bp_session_t *session, const Bp__Worker__TaskId *id,
    Bp__Worker__Status status, void *data)
{
	bp_owned_vm_t *vm = data;
	bp_scheduler_t *self = vm->scheduler;
	bp_job_t *job;

	(void)session;
	if (status == BP__WORKER__STATUS__STATUS_OK ||
	    status == BP__WORKER__STATUS__STATUS_ALREADY) {
		self->counters.started++;
		bp_scheduler_event(self, "task_started", id->job, vm->name,
		    NULL, "task %u attempt %u", id->task, id->attempt);
		return;
	}
	if (status == BP__WORKER__STATUS__STATUS_ENDED ||
	    !bp_ends_is_assigned(self, id, vm->name, &job))
		return;
	bp_ends_submit(self, job, id->task,
	    BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED, NULL,
	    "the worker refused the start for lack of capacity");
}

/* Fills in the callbacks of a VM's session. */
void
bp_starts_session_events(bp_session_events_t *events, bp_owned_vm_t *vm)
{
	events->opened = on_opened;
	events->report = on_report;
	events->may_start = may_start;
	events->started = on_started;
	events->data = vm;
}

static void
queue_start(bp_scheduler_t *self, bp_owned_vm_t *vm, const bp_job_t *job,
    uint32_t index)
{
	const bp_task_t *task = &job->tasks[index];
	Bp__Worker__TaskId id = BP__WORKER__TASK_ID__INIT;
	Bp__Worker__StartTask start = BP__WORKER__START_TASK__INIT;

	id.job = job->id;
	id.task = index;
	id.attempt = task->attempt;
	start.id = &id;
	start.cpu_milli = task->size.cpu_milli;
	start.memory_mib = task->size.memory_mib;
	start.accelerators = task->size.accelerators;
	start.lease_ms = bp_scheduler_lease_ms(self, job->klass);
	start.klass = (uint32_t)job->klass;
	start.checkpoint =
	    task->checkpoint != NULL ? task->checkpoint : (char *)"";
	start.command = job->command;
	start.kind = job->name;
	bp_session_start_task(vm->session, &start);
}

static void
on_assign(bp_scheduler_t *self, const Bp__Log__Assign *assign)
{
	const bp_job_t *job = bp_state_job(
	    bp_follower_state(self->options.follower), assign->job);
	bp_owned_vm_t *vm;
	uint32_t i;

	/* The rack may have been claimed by the same record. */
	bp_racks_sync(self);
	vm = bp_racks_vm(self, assign->vm);
	if (vm == NULL || job == NULL)
		return;
	for (i = 0; i < assign->count; i++)
		queue_start(self, vm, job, assign->first_task + i);
	self->counters.assigned += assign->count;
	bp_session_tick(vm->session);
}

static void
on_cancel(bp_scheduler_t *self, const Bp__Log__JobCancel *cancel)
{
	const bp_job_t *job = bp_state_job(
	    bp_follower_state(self->options.follower), cancel->job);
	uint32_t i;

	for (i = 0; job != NULL && i < job->n_tasks; i++) {
		const bp_task_t *task = &job->tasks[i];
		Bp__Worker__TaskId id = BP__WORKER__TASK_ID__INIT;
		bp_owned_vm_t *vm;

		if (task->state != BP_TASK_ASSIGNED)
			continue;
		vm = bp_racks_vm(self, task->vm->name);
		if (vm == NULL ||
		    bp_session_is_queued(
			vm->session, job->id, i, task->attempt))
			continue;
		id.job = job->id;
		id.task = i;
		id.attempt = task->attempt;
		queue_action(vm, &id, BP__WORKER__ACTION_KIND__ACTION_STOP);
	}
}

/* Observes the log and queues starts for own valid assign entries. */
void
bp_starts_observe(const bp_applied_t *applied, void *data)
{
	bp_scheduler_t *self = data;

	if (applied->kind != BP_OK)
		return;
	switch (applied->entry->body_case) {
	case BP__LOG__ENTRY__BODY_CLAIM:
	case BP__LOG__ENTRY__BODY_RELEASE:
		self->racks_changed = true;
		break;
	case BP__LOG__ENTRY__BODY_ASSIGN:
		if (applied->incarnation == self->options.incarnation)
			on_assign(self, applied->entry->assign);
		break;
	case BP__LOG__ENTRY__BODY_JOB_CANCEL:
		on_cancel(self, applied->entry->job_cancel);
		break;
	default:
		break;
	}
}
