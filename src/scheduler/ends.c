#include "scheduler/private.h"

#include <string.h>

#define END_APPEND_TIMEOUT_MS 30000

typedef struct {
	bp_scheduler_t *scheduler;
	char *key;
	Bp__Log__TaskOutcome outcome;
} end_call_t;

static void
on_end(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	end_call_t *call = data;
	bp_scheduler_counters_t *counters = &call->scheduler->counters;

	(void)err;
	g_hash_table_remove(call->scheduler->ends, call->key);
	if (applied != NULL && applied->kind == BP_OK) {
		counters->ended++;
		if (call->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_LOST)
			counters->lost++;
		if (call->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED)
			counters->evicted++;
		if (call->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED)
			counters->not_started++;
	}
	g_free(call->key);
	g_free(call);
}

static char *
outcome_name(Bp__Log__TaskOutcome outcome)
{
	const ProtobufCEnumValue *value = protobuf_c_enum_descriptor_get_value(
	    &bp__log__task_outcome__descriptor, (int)outcome);

	return g_ascii_strdown(value->name + strlen("OUTCOME_"), -1);
}

/*
 * Appends the end of a task's current attempt unless such an entry is in
 * flight. The state accepts only the first end of an attempt.
 */
void
bp_ends_submit(bp_scheduler_t *self, const bp_job_t *job, uint32_t index,
    Bp__Log__TaskOutcome outcome, const char *checkpoint, const char *detail)
{
	const bp_task_t *task = &job->tasks[index];
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__TaskEnd end = BP__LOG__TASK_END__INIT;
	end_call_t *call;
	char *name;
	char *key = g_strdup_printf("%s/%u/%u", job->id, index, task->attempt);

	if (task->vm == NULL || !g_hash_table_add(self->ends, g_strdup(key))) {
		g_free(key);
		return;
	}
	call = g_new0(end_call_t, 1);
	call->scheduler = self;
	call->key = key;
	call->outcome = outcome;
	end.job = job->id;
	end.task = index;
	end.attempt = task->attempt;
	end.outcome = outcome;
	end.checkpoint = (char *)(checkpoint != NULL ? checkpoint : "");
	end.detail = (char *)(detail != NULL ? detail : "");
	end.epoch = task->vm->rack->epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_TASK_END;
	entry.task_end = &end;
	name = outcome_name(outcome);
	bp_scheduler_event(self, "task_end", job->id, task->vm->name,
	    task->vm->rack->zone->name, "task %u attempt %u %s: %s", index,
	    task->attempt, name, end.detail);
	g_free(name);
	if (bp_appender_add(self->options.appender, &entry,
		END_APPEND_TIMEOUT_MS, on_end, call, NULL) != BP_OK)
		on_end(NULL, NULL, call);
}

/* Tells whether the attempt is assigned to the VM in the state. */
bool
bp_ends_is_assigned(const bp_scheduler_t *self, const Bp__Worker__TaskId *id,
    const char *vm, bp_job_t **job)
{
	const bp_task_t *task;

	*job = bp_state_job(bp_follower_state(self->options.follower), id->job);
	if (*job == NULL || id->task >= (*job)->n_tasks)
		return false;
	task = &(*job)->tasks[id->task];
	return task->state == BP_TASK_ASSIGNED &&
	    task->attempt == id->attempt && task->vm != NULL &&
	    strcmp(task->vm->name, vm) == 0;
}

/*
 * A lease that expired on the worker ends the attempt as lost: the task ran in
 * part, and none of its work was saved.
 */
static Bp__Log__TaskOutcome
outcome_of(const bp_job_t *job, const Bp__Worker__EndedTask *ended)
{
	switch (ended->cause) {
	case BP__WORKER__END_CAUSE__END_SUCCEEDED:
		return BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED;
	case BP__WORKER__END_CAUSE__END_FAILED:
		return BP__LOG__TASK_OUTCOME__OUTCOME_FAILED;
	case BP__WORKER__END_CAUSE__END_STOPPED:
		return job->cancelled ? BP__LOG__TASK_OUTCOME__OUTCOME_CANCELLED
				      : BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED;
	case BP__WORKER__END_CAUSE__END_CHECKPOINTED:
		return BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED;
	case BP__WORKER__END_CAUSE__END_LEASE_LAPSED:
	case _BP__WORKER__END_CAUSE_IS_INT_SIZE:
		break;
	}
	return BP__LOG__TASK_OUTCOME__OUTCOME_LOST;
}

/*
 * Records the attempts that the worker reports as ended. An end is
 * acknowledged only once it is in the log; until then the worker also reports
 * it to a later owner.
 */
void
bp_ends_report(bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *answer)
{
	bp_scheduler_t *self = vm->scheduler;
	size_t i;

	for (i = 0; i < answer->n_ended; i++) {
		const Bp__Worker__EndedTask *ended = answer->ended[i];
		bp_job_t *job;

		if (bp_ends_is_assigned(self, ended->id, vm->name, &job))
			bp_ends_submit(self, job, ended->id->task,
			    outcome_of(job, ended), ended->checkpoint,
			    ended->detail);
		else if (bp_follower_status(self->options.follower) ==
		    BP_FOLLOWER_CURRENT)
			bp_session_ack_ended(vm->session, ended->id);
	}
}
