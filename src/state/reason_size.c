#include "bulrushpost/reason.h"
#include "bulrushpost/resources.h"

#include <string.h>

#define CPU_MILLI 1000.0
#define MIB_PER_GIB 1024.0

/* Returns the size of the task, limited to the capacity of the VM. */
static bp_resources_t
limit_to_vm(const bp_resources_t *size, const bp_vm_t *vm)
{
	bp_resources_t over = bp_resources_excess(size, &vm->capacity);

	return bp_resources_excess(size, &over);
}

/* Returns the largest share of a resource that exceeds the VM. */
static double
excess_share(const bp_resources_t *size, const bp_vm_t *vm)
{
	bp_resources_t over = bp_resources_excess(size, &vm->capacity);

	return bp_resources_dominant_share(&over, size);
}

static const bp_vm_t *
find_nearest_vm(const bp_state_t *state, const bp_resources_t *size)
{
	const bp_vm_t *best = NULL;
	double least_excess = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bp_state_vms(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_vm_t *vm = value;
		double excess = excess_share(size, vm);

		if (best == NULL || excess < least_excess ||
		    (!(excess > least_excess) &&
			strcmp(vm->name, best->name) < 0)) {
			best = vm;
			least_excess = excess;
		}
	}
	return best;
}

/*
 * See the header. Rules and quotas are not checked, since they can change
 * while the job waits. If no VM is known, no job is rejected.
 */
int
bp_reason_check_size(
    const bp_state_t *state, const bp_job_t *job, bp_error_t *err)
{
	const bp_vm_t *vm = find_nearest_vm(state, &job->size);
	bp_resources_t fits;

	if (vm == NULL || bp_resources_fit(&job->size, &vm->capacity))
		return BP_OK;
	fits = limit_to_vm(&job->size, vm);
	return bp_error_set(err, BP_EREFUSED,
	    "never_fits: a task needs %.4g processors, %.4g GiB and %u "
	    "accelerators, more than any VM has; the nearest size that fits is "
	    "%.4g processors, %.4g GiB and %u accelerators (VM %s)",
	    job->size.cpu_milli / CPU_MILLI, job->size.memory_mib / MIB_PER_GIB,
	    job->size.accelerators, fits.cpu_milli / CPU_MILLI,
	    fits.memory_mib / MIB_PER_GIB, fits.accelerators, vm->name);
}
