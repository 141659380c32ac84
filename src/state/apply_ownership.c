#include "state/private.h"

#include <string.h>

/* Fails with BP_ESTALE unless the record's writer owns the rack. */
int
bp_apply_check_owner(bp_apply_t *ctx, const bp_rack_t *rack, uint64_t epoch)
{
	if (rack == NULL)
		return bp_error_set(ctx->err, BP_ENOTFOUND, "unknown rack");
	if (rack->owner == NULL || rack->epoch != epoch ||
	    rack->owner_incarnation != ctx->record->incarnation ||
	    strcmp(rack->owner, ctx->record->node) != 0)
		return bp_error_set(ctx->err, BP_ESTALE,
		    "rack %s is owned by %s at epoch %" G_GUINT64_FORMAT
		    ", not by %s at epoch %" G_GUINT64_FORMAT,
		    rack->name, rack->owner != NULL ? rack->owner : "nobody",
		    rack->epoch, ctx->record->node, epoch);
	return BP_OK;
}

static int
check_ground(
    bp_apply_t *ctx, const bp_rack_t *rack, Bp__Log__ClaimGround ground)
{
	bool ok = false;

	switch (ground) {
	case BP__LOG__CLAIM_GROUND__GROUND_UNOWNED:
		ok = rack->owner == NULL && !rack->released;
		break;
	case BP__LOG__CLAIM_GROUND__GROUND_RELEASED:
		ok = rack->released;
		break;
	case BP__LOG__CLAIM_GROUND__GROUND_OWNER_DEAD:
		ok = rack->owner != NULL &&
		    rack->owner_incarnation != ctx->record->incarnation;
		break;
	case _BP__LOG__CLAIM_GROUND_IS_INT_SIZE:
		break;
	}
	if (ok)
		return BP_OK;
	return bp_error_set(ctx->err, BP_ECONFLICT,
	    "the stated ground for claiming rack %s does not hold", rack->name);
}

/* Makes the writer the owner if the epoch that it read is still current. */
int
bp_apply_claim(bp_apply_t *ctx, const Bp__Log__Claim *claim)
{
	bp_rack_t *rack;
	int rc;

	if (claim->rack[0] == '\0' || strchr(claim->rack, '/') == NULL)
		return bp_error_set(ctx->err, BP_EINVALID,
		    "rack names have the form zone/rack");
	rack = bp_state_add_rack(ctx->state, claim->rack);
	if (rack->epoch != claim->epoch)
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "rack %s is at epoch %" G_GUINT64_FORMAT
		    ", the claim read %" G_GUINT64_FORMAT,
		    rack->name, rack->epoch, claim->epoch);
	rc = check_ground(ctx, rack, claim->ground);
	if (rc != BP_OK)
		return rc;
	g_free(rack->owner);
	rack->owner = g_strdup(ctx->record->node);
	rack->owner_incarnation = ctx->record->incarnation;
	rack->epoch++;
	rack->released = false;
	g_clear_pointer(&rack->successor, g_free);
	return BP_OK;
}

/*
 * Records that the owner of an epoch renews no more leases; if cleared, this
 * holds for all earlier epochs too. An epoch that ends out of order is stored
 * separately until all epochs before it have ended.
 */
static void
note_ended(bp_rack_t *rack, uint64_t epoch, bool cleared)
{
	guint i = 0;

	if (cleared)
		rack->leases_ended_epoch = MAX(rack->leases_ended_epoch, epoch);
	else if (epoch > rack->leases_ended_epoch)
		g_array_append_val(rack->leases_ended_out_of_order, epoch);
	while (i < rack->leases_ended_out_of_order->len) {
		uint64_t later =
		    g_array_index(rack->leases_ended_out_of_order, uint64_t, i);

		if (later > rack->leases_ended_epoch + 1) {
			i++;
			continue;
		}
		rack->leases_ended_epoch = MAX(rack->leases_ended_epoch, later);
		g_array_remove_index(rack->leases_ended_out_of_order, i);
		i = 0;
	}
}

/*
 * Releases the rack for its owner, or records that an earlier owner has
 * stopped renewing leases.
 */
int
bp_apply_release(bp_apply_t *ctx, const Bp__Log__Release *release)
{
	bp_rack_t *rack = bp_state_rack(ctx->state, release->rack);
	int rc;

	if (rack == NULL)
		return bp_error_set(ctx->err, BP_ENOTFOUND, "unknown rack");
	if (release->epoch < rack->epoch) {
		note_ended(rack, release->epoch, false);
		return BP_OK;
	}
	rc = bp_apply_check_owner(ctx, rack, release->epoch);
	if (rc != BP_OK)
		return rc;
	note_ended(rack, release->epoch, release->cleared);
	g_clear_pointer(&rack->owner, g_free);
	rack->owner_incarnation = 0;
	rack->released = true;
	g_free(rack->successor);
	rack->successor =
	    release->successor[0] != '\0' ? g_strdup(release->successor) : NULL;
	return BP_OK;
}

static int
move_vm(bp_apply_t *ctx, bp_vm_t *vm, bp_rack_t *rack)
{
	if (vm->rack == rack)
		return BP_OK;
	if (vm->tasks->len > 0)
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "VM %s has tasks in rack %s", vm->name, vm->rack->name);
	g_ptr_array_remove(vm->rack->vms, vm);
	vm->rack = rack;
	g_ptr_array_add(rack->vms, vm);
	return BP_OK;
}

/* Records a VM's capacity, or its removal once no task is assigned to it. */
int
bp_apply_vm_upsert(bp_apply_t *ctx, const Bp__Log__VmUpsert *upsert)
{
	bp_rack_t *rack = bp_state_rack(ctx->state, upsert->rack);
	bp_vm_t *vm = bp_state_vm(ctx->state, upsert->vm);
	int rc = bp_apply_check_owner(ctx, rack, upsert->epoch);

	if (rc != BP_OK)
		return rc;
	if (upsert->vm[0] == '\0')
		return bp_error_set(ctx->err, BP_EINVALID, "VM without name");
	if (upsert->gone) {
		if (vm == NULL)
			return BP_OK;
		if (vm->tasks->len > 0)
			return bp_error_set(ctx->err, BP_ECONFLICT,
			    "VM %s still has tasks", vm->name);
		bp_state_remove_vm(ctx->state, vm);
		return BP_OK;
	}
	if (vm == NULL)
		vm = bp_state_add_vm(ctx->state, upsert->vm, rack);
	rc = move_vm(ctx, vm, rack);
	if (rc != BP_OK)
		return rc;
	vm->capacity.cpu_milli = upsert->cpu_milli;
	vm->capacity.memory_mib = upsert->memory_mib;
	vm->capacity.accelerators = upsert->accelerators;
	return BP_OK;
}

/* Sets or clears the hold that excludes a VM from new assignments. */
int
bp_apply_vm_hold(bp_apply_t *ctx, const Bp__Log__VmHold *hold)
{
	bp_vm_t *vm = bp_state_vm(ctx->state, hold->vm);
	int rc;

	if (vm == NULL)
		return bp_error_set(ctx->err, BP_ENOTFOUND, "unknown VM");
	rc = bp_apply_check_owner(ctx, vm->rack, hold->epoch);
	if (rc != BP_OK)
		return rc;
	vm->hold = hold->cause;
	g_free(vm->hold_detail);
	vm->hold_detail = g_strdup(hold->detail);
	if (hold->cause == BP__LOG__HOLD_CAUSE__HOLD_NONE) {
		vm->consecutive_failures = 0;
		vm->failures_of_several_jobs = false;
		g_clear_pointer(&vm->last_failed_job, g_free);
	}
	return BP_OK;
}
