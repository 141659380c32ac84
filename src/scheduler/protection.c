#include "scheduler/private.h"

#include <string.h>

#define US_PER_MS 1000
#define PERMILLE 1000.0

static const char *
act_name(bp_act_kind_t kind)
{
	switch (kind) {
	case BP_ACT_THROTTLE:
		return "throttle";
	case BP_ACT_CHECKPOINT_STOP:
		return "checkpoint_stop";
	case BP_ACT_STOP:
		return "stop";
	}
	return "unknown";
}

static Bp__Worker__ActionKind
action_kind(bp_act_kind_t kind)
{
	switch (kind) {
	case BP_ACT_THROTTLE:
		return BP__WORKER__ACTION_KIND__ACTION_THROTTLE;
	case BP_ACT_CHECKPOINT_STOP:
		return BP__WORKER__ACTION_KIND__ACTION_CHECKPOINT_STOP;
	case BP_ACT_STOP:
		break;
	}
	return BP__WORKER__ACTION_KIND__ACTION_STOP;
}

static void
note_act(bp_scheduler_t *self, const bp_act_t *act, const char *vm)
{
	if (act->service != NULL)
		bp_scheduler_event(self, act_name(act->kind), act->job, vm,
		    NULL, "task %u: service %s is slowed down to %.2f",
		    act->task, act->service, act->slowdown);
	else
		bp_scheduler_event(self, act_name(act->kind), act->job, vm,
		    NULL, "task %u: its zone is out of service", act->task);
	if (act->kind == BP_ACT_THROTTLE)
		self->counters.throttled++;
}

static void
carry_out(bp_scheduler_t *self, const bp_act_t *act)
{
	const bp_job_t *job =
	    bp_state_job(bp_follower_state(self->options.follower), act->job);
	Bp__Worker__TaskId id = BP__WORKER__TASK_ID__INIT;
	Bp__Worker__Action action = BP__WORKER__ACTION__INIT;
	const bp_task_t *task;
	bp_owned_vm_t *vm;

	if (job == NULL || act->task >= job->n_tasks)
		return;
	task = &job->tasks[act->task];
	if (task->vm == NULL || task->attempt != act->attempt)
		return;
	/* Without a checkpoint the stop would end it permanently. */
	if (job->never_rerun && act->kind == BP_ACT_STOP)
		return;
	vm = bp_racks_vm(self, task->vm->name);
	if (vm == NULL)
		return;
	id.job = job->id;
	id.task = act->task;
	id.attempt = act->attempt;
	action.id = &id;
	action.kind = action_kind(act->kind);
	action.throttle_permille = act->throttle_permille;
	bp_session_act(vm->session, &action);
	note_act(self, act, vm->name);
}

static void
carry_out_all(bp_scheduler_t *self, const GArray *acts)
{
	guint i;

	for (i = 0; i < acts->len; i++)
		carry_out(self, &g_array_index(acts, bp_act_t, i));
}

static void
sort_usage(const bp_owned_vm_t *vm, const Bp__Worker__TaskUsage *usage,
    GArray *victims, GArray *suspects)
{
	bp_job_t *job;

	if (!bp_ends_is_assigned(vm->scheduler, usage->id, vm->name, &job))
		return;
	if (job->klass == BP_CLASS_BATCH) {
		bp_suspect_t suspect = {
		    job->id, job->name, usage->id->task, usage->id->attempt};

		g_array_append_val(suspects, suspect);
	} else if (usage->slowdown_permille > 0) {
		bp_victim_t victim = {job->name,
		    usage->slowdown_permille / PERMILLE,
		    usage->load_permille / PERMILLE};

		g_array_append_val(victims, victim);
	}
}

/* Updates the estimates from a usage report and protects the services. */
void
bp_protection_report(bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *answer)
{
	bp_scheduler_t *self = vm->scheduler;
	int64_t now_ms = bp_scheduler_now_us(self) / US_PER_MS;
	GArray *victims = g_array_new(FALSE, FALSE, sizeof(bp_victim_t));
	GArray *suspects = g_array_new(FALSE, FALSE, sizeof(bp_suspect_t));
	GArray *acts = g_array_new(FALSE, FALSE, sizeof(bp_act_t));
	bp_vm_report_t report = {0};
	size_t i;

	for (i = 0; i < answer->n_usage; i++)
		sort_usage(vm, answer->usage[i], victims, suspects);
	report.vm = vm->name;
	report.at_ms = now_ms - (int64_t)answer->usage_age_ms;
	report.victims = (bp_victim_t *)(void *)victims->data;
	report.n_victims = victims->len;
	report.suspects = (bp_suspect_t *)(void *)suspects->data;
	report.n_suspects = suspects->len;
	bp_eviction_report(
	    self->eviction, self->interference, &report, now_ms, acts);
	carry_out_all(self, acts);
	g_array_unref(victims);
	g_array_unref(suspects);
	g_array_unref(acts);
}

/* Moves tasks out of zones that are out of service at a limited rate. */
void
bp_protection_tick(bp_scheduler_t *self)
{
	GArray *acts = g_array_new(FALSE, FALSE, sizeof(bp_act_t));

	bp_eviction_drain(self->eviction,
	    bp_follower_state(self->options.follower),
	    self->settings->node.name, self->options.incarnation,
	    bp_scheduler_now_us(self) / US_PER_MS, acts);
	carry_out_all(self, acts);
	g_array_unref(acts);
}

/*
 * Returns the expected slowdown between a job and the tasks on a VM: that of
 * the services there for a batch job, otherwise that of the job.
 */
double
bp_protection_penalty(const bp_job_t *job, const bp_vm_t *vm, void *data)
{
	const bp_scheduler_t *self = data;
	double sum = 0;
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		const bp_job_t *other =
		    g_array_index(vm->tasks, bp_task_ref_t, i).job;
		bool batch = job->klass == BP_CLASS_BATCH;

		if (batch == (other->klass == BP_CLASS_BATCH))
			continue;
		sum += bp_interference_expected(self->interference,
		    batch ? job->name : other->name,
		    batch ? other->name : job->name);
	}
	return sum;
}
