#include "scheduler/private.h"

#define RESIZE_APPEND_TIMEOUT_MS 10000
/* Reported usage is coarse and varies, so only a clear excess counts. */
#define EXCESS_PERCENT 110
#define PERCENT 100

typedef struct {
	bp_scheduler_t *scheduler;
	char *job;
} resize_call_t;

static void
on_resized(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	resize_call_t *call = data;

	(void)applied;
	(void)err;
	g_hash_table_remove(call->scheduler->resizes, call->job);
	g_free(call->job);
	g_free(call);
}

static void
append_resize(
    bp_scheduler_t *self, const bp_job_t *job, const bp_resources_t *size)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobResize resize = BP__LOG__JOB_RESIZE__INIT;
	resize_call_t *call;

	if (!g_hash_table_add(self->resizes, g_strdup(job->id)))
		return;
	resize.job = job->id;
	resize.cpu_milli = size->cpu_milli;
	resize.memory_mib = size->memory_mib;
	resize.accelerators = size->accelerators;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_RESIZE;
	entry.job_resize = &resize;
	call = g_new0(resize_call_t, 1);
	call->scheduler = self;
	call->job = g_strdup(job->id);
	bp_scheduler_event(self, "job_resized", job->id, NULL, NULL,
	    "declared %u mCPU and %u MiB, used up to %u mCPU and %u MiB",
	    job->declared.cpu_milli, job->declared.memory_mib, size->cpu_milli,
	    size->memory_mib);
	if (bp_appender_add(self->options.appender, &entry,
		RESIZE_APPEND_TIMEOUT_MS, on_resized, call, NULL) != BP_OK)
		on_resized(NULL, NULL, call);
}

static uint32_t
raised_size(uint32_t reserved, uint32_t used, uint32_t capacity)
{
	if ((uint64_t)used * PERCENT <= (uint64_t)reserved * EXCESS_PERCENT)
		return reserved;
	/* A size above the VM's capacity could never be placed. */
	return MAX(reserved, MIN(used, capacity));
}

/*
 * Raises the size reserved for later attempts of a job when a task uses more.
 * Sizes are never lowered: a task may use all that it declared.
 */
void
bp_sizes_report(bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *answer)
{
	const bp_vm_t *logged_vm = bp_state_vm(
	    bp_follower_state(vm->scheduler->options.follower), vm->name);
	size_t i;

	for (i = 0; logged_vm != NULL && i < answer->n_usage; i++) {
		const Bp__Worker__TaskUsage *usage = answer->usage[i];
		bp_resources_t size;
		bp_job_t *job;

		if (!bp_ends_is_assigned(
			vm->scheduler, usage->id, vm->name, &job))
			continue;
		size = job->size;
		size.cpu_milli = raised_size(size.cpu_milli, usage->cpu_milli,
		    logged_vm->capacity.cpu_milli);
		size.memory_mib = raised_size(size.memory_mib,
		    usage->memory_mib, logged_vm->capacity.memory_mib);
		if (size.cpu_milli != job->size.cpu_milli ||
		    size.memory_mib != job->size.memory_mib)
			append_resize(vm->scheduler, job, &size);
	}
}
