#include "standin/server.h"
#include "standin/worker_vm.h"

#include <string.h>

#define CLASS_SERVICE 1

/* Allocates a task id as the unpack functions do. */
Bp__Worker__TaskId *
vm_task_id_new(const char *job, uint32_t task, uint32_t attempt)
{
	Bp__Worker__TaskId *id = g_new(Bp__Worker__TaskId, 1);

	bp__worker__task_id__init(id);
	id->job = g_strdup(job);
	id->task = task;
	id->attempt = attempt;
	return id;
}

/* Slowdown of a service: what the other tasks on its VM add to 1,000. */
static uint32_t
slowdown(const vm_t *vm, const vm_task_t *task)
{
	uint32_t sum = PERMILLE;
	guint i;

	if (task->klass != CLASS_SERVICE)
		return sum;
	for (i = 0; i < vm->running->len; i++) {
		const vm_task_t *other = g_ptr_array_index(vm->running, i);

		if (other != task)
			sum += other->command.slowdown_permille *
			    (PERMILLE - other->throttle_permille) / PERMILLE;
	}
	return sum;
}

static uint32_t
progress(const vm_task_t *task, int64_t time_us)
{
	int64_t run_us = (int64_t)task->command.run_ms * US_PER_MS;

	if (run_us == 0)
		return 0;
	return (uint32_t)(MIN(vm_task_work_us(task, time_us), run_us) *
	    PERMILLE / run_us);
}

static void
sample_usage(vm_t *vm, int64_t time_us)
{
	guint i;

	g_ptr_array_set_size(vm->usage, 0);
	vm->usage_us = time_us;
	for (i = 0; i < vm->running->len; i++) {
		const vm_task_t *t = g_ptr_array_index(vm->running, i);
		Bp__Worker__TaskUsage *u = g_new(Bp__Worker__TaskUsage, 1);

		bp__worker__task_usage__init(u);
		u->id = vm_task_id_new(t->job, t->task, t->attempt);
		u->cpu_milli = t->command.cpu_milli *
		    (PERMILLE - t->throttle_permille) / PERMILLE;
		u->memory_mib = t->command.memory_mib;
		u->slowdown_permille = slowdown(vm, t);
		u->load_permille = t->command.load_permille;
		u->progress_permille = progress(t, time_us);
		u->throttle_permille = t->throttle_permille;
		g_ptr_array_add(vm->usage, u);
	}
}

static gboolean
same_task(gconstpointer ended, gconstpointer id)
{
	const Bp__Worker__TaskId *a =
	    ((const Bp__Worker__EndedTask *)ended)->id;
	const Bp__Worker__TaskId *b = id;

	return strcmp(a->job, b->job) == 0 && a->task == b->task &&
	    a->attempt == b->attempt;
}

static void
acknowledge(vm_t *vm, const Bp__Worker__RenewRequest *request)
{
	size_t i;
	guint index;

	for (i = 0; i < request->n_ack_ended; i++) {
		if (g_ptr_array_find_with_equal_func(
			vm->ended, request->ack_ended[i], same_task, &index))
			g_ptr_array_remove_index(vm->ended, index);
	}
}

/*
 * Renews the leases of all tasks and fills in the answer but for status and
 * nonce. Usage and ended tasks stay in possession of the VM until its next
 * call. The usage is the previous sample, which is at least usage_lag_ms old
 * once one exists: a report always lags.
 */
Bp__Worker__Status
vm_renew(vm_t *vm, const Bp__Worker__RenewRequest *request,
    Bp__Worker__RenewAnswer *answer)
{
	int64_t time_us = bp_clock_mono_us(vm->options.clock);
	Bp__Worker__Status status;
	guint i;

	vm_advance(vm);
	status = vm_check(vm, request->epoch, request->nonce);
	if (status != BP__WORKER__STATUS__STATUS_OK)
		return status;
	for (i = 0; i < vm->running->len; i++) {
		vm_task_t *t = g_ptr_array_index(vm->running, i);

		t->lease_until_us = time_us + t->lease_us;
	}
	acknowledge(vm, request);
	if (time_us - vm->usage_us >=
	    (int64_t)vm->options.usage_lag_ms * US_PER_MS) {
		g_ptr_array_unref(vm->reported);
		vm->reported = vm->usage;
		vm->reported_us = vm->usage_us;
		vm->usage = g_ptr_array_new_with_free_func(
		    (GDestroyNotify)vm_usage_free);
		sample_usage(vm, time_us);
	}
	answer->n_usage = vm->reported->len;
	answer->usage = (Bp__Worker__TaskUsage **)vm->reported->pdata;
	answer->usage_age_ms =
	    (uint64_t)(time_us - vm->reported_us) / US_PER_MS;
	answer->n_ended = vm->ended->len;
	answer->ended = (Bp__Worker__EndedTask **)vm->ended->pdata;
	return status;
}

/* Adds the present state of a VM as one JSON object. */
void
vm_build(const vm_t *vm, JsonBuilder *builder)
{
	json_builder_begin_object(builder);
	standin_build_text(builder, "vm", vm->options.name);
	standin_build_text(builder, "zone", vm->options.zone);
	standin_build_text(builder, "rack", vm->options.rack);
	standin_build_int(builder, "running", vm->running->len);
	standin_build_int(builder, "unacknowledged", vm->ended->len);
	standin_build_int(builder, "epoch", (int64_t)vm->epoch);
	standin_build_text(builder, "owner", vm->owner);
	standin_build_int(builder, "cpu_used", vm->cpu_used);
	standin_build_int(builder, "cpu_milli", vm->options.cpu_milli);
	standin_build_int(builder, "memory_mib", vm->options.memory_mib);
	standin_build_int(builder, "accelerators", vm->options.accelerators);
	json_builder_end_object(builder);
}
