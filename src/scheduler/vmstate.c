#include "scheduler/private.h"

#include <string.h>

#define VM_APPEND_TIMEOUT_MS 10000
/* Renewals within a lease and within the expected run time of a task. */
#define RENEWALS_PER_LEASE 4
#define RENEWALS_PER_RUN 20
#define RENEW_MIN_MS 500
#define RENEW_MAX_MS 5000
#define QUARANTINE_US (10LL * 60 * 1000000)
/* Renewal intervals without an answer until a VM is held as unreachable. */
#define UNRESPONSIVE_RENEWALS 3
#define HOLD_DETAIL_BYTES 64

/* Context of an append; it may outlive the VM when the rack changes owner. */
typedef struct {
	bp_scheduler_t *scheduler;
	char *vm;
	uint64_t epoch;
} vm_call_t;

static vm_call_t *
new_call(const bp_owned_vm_t *vm)
{
	vm_call_t *call = g_new0(vm_call_t, 1);

	call->scheduler = vm->scheduler;
	call->vm = g_strdup(vm->name);
	call->epoch = vm->rack->epoch;
	return call;
}

static bp_owned_vm_t *
end_call(vm_call_t *call)
{
	bp_owned_vm_t *vm = bp_racks_vm(call->scheduler, call->vm);

	if (vm != NULL && vm->rack->epoch != call->epoch)
		vm = NULL;
	g_free(call->vm);
	g_free(call);
	return vm;
}

static void
on_upsert(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	bp_owned_vm_t *vm = end_call(data);

	(void)applied;
	(void)err;
	if (vm != NULL)
		vm->upsert_in_flight = false;
}

static void
append_upsert(bp_owned_vm_t *vm, bool gone)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__VmUpsert upsert = BP__LOG__VM_UPSERT__INIT;
	bp_owned_rack_t *rack = vm->rack;
	vm_call_t *call;
	char *zone = g_strndup(rack->name, strcspn(rack->name, "/"));

	upsert.vm = vm->name;
	upsert.rack = rack->name;
	upsert.zone = zone;
	upsert.epoch = rack->epoch;
	upsert.cpu_milli = vm->capacity.cpu_milli;
	upsert.memory_mib = vm->capacity.memory_mib;
	upsert.accelerators = vm->capacity.accelerators;
	upsert.gone = gone;
	entry.body_case = BP__LOG__ENTRY__BODY_VM_UPSERT;
	entry.vm_upsert = &upsert;
	vm->upsert_in_flight = true;
	call = new_call(vm);
	if (bp_appender_add(vm->scheduler->options.appender, &entry,
		VM_APPEND_TIMEOUT_MS, on_upsert, call, NULL) != BP_OK)
		on_upsert(NULL, NULL, call);
	g_free(zone);
}

static bool
capacity_changed(const bp_vm_t *logged, const bp_owned_vm_t *vm)
{
	return logged == NULL ||
	    strcmp(logged->rack->name, vm->rack->name) != 0 ||
	    logged->capacity.cpu_milli != vm->capacity.cpu_milli ||
	    logged->capacity.memory_mib != vm->capacity.memory_mib ||
	    logged->capacity.accelerators != vm->capacity.accelerators;
}

/* Stores the capacity that the worker reports when its session opens. */
void
bp_vmstate_opened(bp_owned_vm_t *vm, const Bp__Worker__NonceAnswer *answer)
{
	vm->capacity.cpu_milli = answer->cpu_milli;
	vm->capacity.memory_mib = answer->memory_mib;
	vm->capacity.accelerators = answer->accelerators;
	vm->capacity_known = true;
}

static void
on_hold(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	bp_owned_vm_t *vm = end_call(data);

	(void)applied;
	(void)err;
	if (vm != NULL)
		vm->hold_in_flight = false;
}

static void
append_hold(bp_owned_vm_t *vm, Bp__Log__HoldCause cause, const char *detail)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__VmHold hold = BP__LOG__VM_HOLD__INIT;
	vm_call_t *call;

	hold.vm = vm->name;
	hold.epoch = vm->rack->epoch;
	hold.cause = cause;
	hold.detail = (char *)detail;
	entry.body_case = BP__LOG__ENTRY__BODY_VM_HOLD;
	entry.vm_hold = &hold;
	vm->hold_in_flight = true;
	call = new_call(vm);
	if (bp_appender_add(vm->scheduler->options.appender, &entry,
		VM_APPEND_TIMEOUT_MS, on_hold, call, NULL) != BP_OK)
		on_hold(NULL, NULL, call);
	bp_scheduler_event(
	    vm->scheduler, "vm_hold", NULL, vm->name, NULL, "%s", detail);
}

static bool
is_unresponsive(const bp_owned_vm_t *vm)
{
	return bp_session_silent_ms(vm->session) >
	    (int64_t)UNRESPONSIVE_RENEWALS *
	    bp_session_interval_ms(vm->session);
}

/* Quarantine ends after QUARANTINE_US, when the worker is tried again. */
static bool
must_quarantine(const bp_owned_vm_t *vm, const bp_vm_t *logged)
{
	int64_t held_us =
	    bp_scheduler_now_us(vm->scheduler) - vm->hold_since_us;

	if (!bp_eviction_quarantine_due(
		logged, vm->scheduler->settings->policy.quarantine_failures))
		return false;
	return vm->hold_since_us == 0 || held_us < QUARANTINE_US;
}

/* Returns the most severe hold that applies; detail receives the reason. */
static Bp__Log__HoldCause
required_hold(const bp_owned_vm_t *vm, const bp_vm_t *logged, char *detail)
{
	const bp_vmlist_vm_t *listed =
	    bp_vmlist_find(vm->scheduler->options.vmlist, vm->name);

	if (listed != NULL && listed->state != BP_VMLIST_LIVE) {
		g_strlcpy(detail, "the VM list shows the VM as leaving",
		    HOLD_DETAIL_BYTES);
		return BP__LOG__HOLD_CAUSE__HOLD_LEAVING;
	}
	if (must_quarantine(vm, logged)) {
		g_snprintf(detail, HOLD_DETAIL_BYTES,
		    "the worker failed %u tasks in a row",
		    logged->failed_streak);
		return BP__LOG__HOLD_CAUSE__HOLD_QUARANTINED;
	}
	if (is_unresponsive(vm)) {
		g_strlcpy(detail, "the VM does not answer its rack's owner",
		    HOLD_DETAIL_BYTES);
		return BP__LOG__HOLD_CAUSE__HOLD_UNREACHABLE;
	}
	detail[0] = '\0';
	return BP__LOG__HOLD_CAUSE__HOLD_NONE;
}

static void
update_hold(bp_owned_vm_t *vm, const bp_vm_t *logged)
{
	char detail[HOLD_DETAIL_BYTES];
	Bp__Log__HoldCause required;

	if (logged->hold != BP__LOG__HOLD_CAUSE__HOLD_QUARANTINED)
		vm->hold_since_us = 0;
	else if (vm->hold_since_us == 0)
		vm->hold_since_us = bp_scheduler_now_us(vm->scheduler);
	if (vm->hold_in_flight)
		return;
	required = required_hold(vm, logged, detail);
	if (required != logged->hold)
		append_hold(vm, required, detail);
}

static bool
is_gone(const bp_owned_vm_t *vm)
{
	const bp_vmlist_vm_t *listed =
	    bp_vmlist_find(vm->scheduler->options.vmlist, vm->name);

	return listed != NULL && listed->state == BP_VMLIST_GONE;
}

/*
 * Ended tasks are reported with a renewal, so their processors stay idle for
 * half an interval on average: a small share of a long run, but a large one
 * of a short run or one of unknown length, which get shorter intervals.
 */
static uint32_t
interval_for_task(const bp_scheduler_t *self, const bp_job_t *job)
{
	uint32_t lease_ms = bp_scheduler_lease_ms(self, job->klass);
	uint32_t share_ms = lease_ms / RENEWALS_PER_LEASE;

	if (job->klass == BP_CLASS_SERVICE)
		return share_ms;
	if (job->run_ms == 0)
		return MIN(share_ms, self->settings->timing.renew_ms);
	return (uint32_t)CLAMP(job->run_ms / RENEWALS_PER_RUN,
	    (uint64_t)RENEW_MIN_MS, (uint64_t)share_ms);
}

/*
 * Returns the longest interval that the leases and expected run times on the
 * VM allow, since renewals are most of a node's control overhead.
 */
static uint32_t
renew_interval_ms(const bp_owned_vm_t *vm, const bp_vm_t *logged)
{
	const bp_scheduler_t *self = vm->scheduler;
	uint32_t interval_ms = RENEW_MAX_MS;
	guint i;

	for (i = 0; logged != NULL && i < logged->tasks->len; i++) {
		const bp_job_t *job =
		    g_array_index(logged->tasks, bp_task_ref_t, i).job;

		interval_ms = MIN(interval_ms, interval_for_task(self, job));
	}
	return interval_ms;
}

/* Appends changes of the VM (capacity, hold, removal) to the log. */
void
bp_vmstate_update(bp_owned_vm_t *vm)
{
	const bp_vm_t *logged = bp_state_vm(
	    bp_follower_state(vm->scheduler->options.follower), vm->name);

	bp_session_set_interval(vm->session, renew_interval_ms(vm, logged));
	if (logged != NULL && logged->rack->epoch == vm->rack->epoch)
		update_hold(vm, logged);
	if (vm->upsert_in_flight)
		return;
	if (is_gone(vm)) {
		if (logged != NULL && logged->tasks->len == 0)
			append_upsert(vm, true);
		return;
	}
	if (vm->capacity_known && capacity_changed(logged, vm))
		append_upsert(vm, false);
}
