#include "scheduler/private.h"

#include <string.h>

#define US_PER_MS 1000
#define PERMILLE 1000.0

static const char *
mitigation_name(bp_act_kind_t kind)
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
record_mitigation(
    bp_scheduler_t *self, const bp_act_t *mitigation, const char *vm)
{
	if (mitigation->service != NULL)
		bp_scheduler_event(self, mitigation_name(mitigation->kind),
		    mitigation->job, vm, NULL,
		    "task %u: service %s is slowed down to %.2f",
		    mitigation->task, mitigation->service,
		    mitigation->slowdown);
	else
		bp_scheduler_event(self, mitigation_name(mitigation->kind),
		    mitigation->job, vm, NULL,
		    "task %u: its zone is out of service", mitigation->task);
	if (mitigation->kind == BP_ACT_THROTTLE)
		self->counters.throttled++;
}

static void
carry_out(bp_scheduler_t *self, const bp_act_t *mitigation)
{
	const bp_job_t *job = bp_state_job(
	    bp_follower_state(self->options.follower), mitigation->job);
	Bp__Worker__TaskId id = BP__WORKER__TASK_ID__INIT;
	Bp__Worker__Action action = BP__WORKER__ACTION__INIT;
	const bp_task_t *task;
	bp_owned_vm_t *vm;

	if (job == NULL || mitigation->task >= job->n_tasks)
		return;
	task = &job->tasks[mitigation->task];
	if (task->vm == NULL || task->attempt != mitigation->attempt)
		return;
	/* Without a checkpoint the stop would end it permanently. */
	if (job->never_rerun && mitigation->kind == BP_ACT_STOP)
		return;
	vm = bp_racks_vm(self, task->vm->name);
	if (vm == NULL)
		return;
	id.job = job->id;
	id.task = mitigation->task;
	id.attempt = mitigation->attempt;
	action.id = &id;
	action.kind = action_kind(mitigation->kind);
	action.throttle_permille = mitigation->throttle_permille;
	bp_session_act(vm->session, &action);
	record_mitigation(self, mitigation, vm->name);
}

static void
carry_out_all(bp_scheduler_t *self, const GArray *mitigations)
{
	guint i;

	for (i = 0; i < mitigations->len; i++)
		carry_out(self, &g_array_index(mitigations, bp_act_t, i));
}

static void
classify_usage(const bp_owned_vm_t *vm, const Bp__Worker__TaskUsage *usage,
    GArray *services, GArray *batch_tasks)
{
	bp_job_t *job;

	if (!bp_ends_is_assigned(vm->scheduler, usage->id, vm->name, &job))
		return;
	if (job->klass == BP_CLASS_BATCH) {
		bp_suspect_t task = {
		    job->id, job->name, usage->id->task, usage->id->attempt};

		g_array_append_val(batch_tasks, task);
	} else if (usage->slowdown_permille > 0) {
		bp_victim_t service = {job->name,
		    usage->slowdown_permille / PERMILLE,
		    usage->load_permille / PERMILLE};

		g_array_append_val(services, service);
	}
}

/* Updates the estimates from a usage report and protects the services. */
void
bp_protection_report(bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *answer)
{
	bp_scheduler_t *self = vm->scheduler;
	int64_t now_ms = bp_scheduler_now_us(self) / US_PER_MS;
	GArray *services = g_array_new(FALSE, FALSE, sizeof(bp_victim_t));
	GArray *batch_tasks = g_array_new(FALSE, FALSE, sizeof(bp_suspect_t));
	GArray *mitigations = g_array_new(FALSE, FALSE, sizeof(bp_act_t));
	bp_vm_report_t report = {0};
	size_t i;

	for (i = 0; i < answer->n_usage; i++)
		classify_usage(vm, answer->usage[i], services, batch_tasks);
	report.vm = vm->name;
	report.at_ms = now_ms - (int64_t)answer->usage_age_ms;
	report.victims = (bp_victim_t *)(void *)services->data;
	report.n_victims = services->len;
	report.suspects = (bp_suspect_t *)(void *)batch_tasks->data;
	report.n_suspects = batch_tasks->len;
	bp_eviction_report(
	    self->eviction, self->interference, &report, now_ms, mitigations);
	carry_out_all(self, mitigations);
	g_array_unref(services);
	g_array_unref(batch_tasks);
	g_array_unref(mitigations);
}

/* Moves tasks out of zones that are out of service at a limited rate. */
void
bp_protection_tick(bp_scheduler_t *self)
{
	GArray *mitigations = g_array_new(FALSE, FALSE, sizeof(bp_act_t));

	bp_eviction_drain(self->eviction,
	    bp_follower_state(self->options.follower),
	    self->settings->node.name, self->options.incarnation,
	    bp_scheduler_now_us(self) / US_PER_MS, mitigations);
	carry_out_all(self, mitigations);
	g_array_unref(mitigations);
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
