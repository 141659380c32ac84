#include "scheduler/private.h"

#include <gio/gio.h>
#include <string.h>

#define US_PER_MS 1000
#define US_PER_S 1000000
/* Clock drift allowance: 1%. */
#define DRIFT_NUM 101
#define DRIFT_DEN 100
#define PROBE_TIMEOUT_S 2

static int64_t
with_drift_us(int64_t ms)
{
	return ms * US_PER_MS * DRIFT_NUM / DRIFT_DEN;
}

/*
 * A VM that answers is not gone, whatever the VM list says: a wrong list must
 * not make running tasks start a second time.
 */
static bool
vm_gone(const bp_owned_vm_t *vm)
{
	const bp_vmlist_vm_t *listed =
	    bp_vmlist_find(vm->scheduler->options.vmlist, vm->name);

	return listed != NULL && listed->state == BP_VMLIST_GONE &&
	    (bp_session_failing(vm->session) ||
		bp_session_status(vm->session) != BP_SESSION_OPEN) &&
	    bp_session_silent_ms(vm->session) >
	    vm->scheduler->settings->timing.permit_ms;
}

/*
 * Returns the latest monotonic time (us) at which any owner can have renewed
 * a lease on the VM. It follows from the last nonce if this node had the
 * session, otherwise from the time at which previous owners were known to
 * have ended, or from the longest time that an owner renews leases without
 * reading the log.
 */
static int64_t
last_renewal_us(const bp_owned_vm_t *vm)
{
	const bp_owned_rack_t *rack = vm->rack;
	const bp_settings_timing_t *timing = &vm->scheduler->settings->timing;
	int64_t permit_us = with_drift_us(timing->permit_ms);

	if (bp_session_ever_open(vm->session))
		return bp_session_nonce_us(vm->session) + permit_us;
	if (rack->earlier_ended_us != 0)
		return rack->earlier_ended_us + permit_us;
	return rack->claimed_us +
	    with_drift_us((int64_t)timing->hold_max_s * 1000) + permit_us;
}

static void
end_if_expired(bp_owned_vm_t *vm, const bp_task_ref_t *ref, int64_t renewed_us,
    int64_t now_us, bool gone)
{
	bp_scheduler_t *self = vm->scheduler;
	int64_t lease_us =
	    with_drift_us(bp_scheduler_lease_ms(self, ref->job->klass));

	if (gone)
		bp_ends_submit(self, ref->job, ref->task,
		    BP__LOG__TASK_OUTCOME__OUTCOME_LOST, NULL,
		    "the VM is gone from the VM list");
	else if (now_us > renewed_us + lease_us)
		bp_ends_submit(self, ref->job, ref->task,
		    BP__LOG__TASK_OUTCOME__OUTCOME_LOST, NULL,
		    "the VM does not answer and the lease has expired");
}

/* Ends attempts whose start was never sent; these have no lease to expire. */
static void
end_unsent(bp_owned_vm_t *vm, const bp_vm_t *logged_vm)
{
	guint i;

	for (i = 0; i < logged_vm->tasks->len; i++) {
		const bp_task_ref_t *ref =
		    &g_array_index(logged_vm->tasks, bp_task_ref_t, i);

		if (bp_session_drop_unsent(vm->session, ref->job->id, ref->task,
			ref->job->tasks[ref->task].attempt))
			bp_ends_submit(vm->scheduler, ref->job, ref->task,
			    BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED, NULL,
			    "the VM stopped answering before the start was "
			    "sent");
	}
}

static void
recover_vm(bp_owned_vm_t *vm, int64_t now_us)
{
	const bp_vm_t *logged_vm = bp_state_vm(
	    bp_follower_state(vm->scheduler->options.follower), vm->name);
	bool gone = vm_gone(vm);
	int64_t silent_ms = bp_session_silent_ms(vm->session);
	int64_t renewed_us;
	guint i;

	if (logged_vm == NULL || logged_vm->tasks->len == 0 ||
	    logged_vm->rack->epoch != vm->rack->epoch)
		return;
	/* A start that was never sent need not wait for more failures. */
	if (bp_session_failing(vm->session))
		end_unsent(vm, logged_vm);
	if (!gone && bp_session_status(vm->session) == BP_SESSION_OPEN &&
	    silent_ms < 2 * (int64_t)bp_session_interval_ms(vm->session))
		return;
	/* A session being reopened decides by the worker's list of tasks. */
	if (!gone && silent_ms < vm->scheduler->settings->timing.permit_ms)
		return;
	end_unsent(vm, logged_vm);
	renewed_us = last_renewal_us(vm);
	for (i = 0; i < logged_vm->tasks->len; i++)
		end_if_expired(vm,
		    &g_array_index(logged_vm->tasks, bp_task_ref_t, i),
		    renewed_us, now_us, gone);
}

typedef struct {
	bp_scheduler_t *scheduler;
	char *rack;
	uint64_t epoch;
} probe_t;

/*
 * A refused connection proves that the process of the previous owner has
 * ended, since its control port closes with it.
 */
static void
on_probe(GObject *source, GAsyncResult *result, void *data)
{
	probe_t *probe = data;
	GError *error = NULL;
	GSocketConnection *connection = g_socket_client_connect_to_host_finish(
	    G_SOCKET_CLIENT(source), result, &error);
	bp_owned_rack_t *rack;

	if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		rack =
		    g_hash_table_lookup(probe->scheduler->racks, probe->rack);
		if (rack != NULL && rack->epoch == probe->epoch) {
			rack->probing = false;
			if (g_error_matches(error, G_IO_ERROR,
				G_IO_ERROR_CONNECTION_REFUSED))
				rack->earlier_ended_us =
				    bp_scheduler_now_us(probe->scheduler);
		}
	}
	g_clear_object(&connection);
	g_clear_error(&error);
	g_free(probe->rack);
	g_free(probe);
}

static void
start_probe(bp_scheduler_t *self, bp_owned_rack_t *rack)
{
	GSocketClient *client = g_socket_client_new();
	probe_t *probe = g_new0(probe_t, 1);

	probe->scheduler = self;
	probe->rack = g_strdup(rack->name);
	probe->epoch = rack->epoch;
	rack->probing = true;
	g_socket_client_set_timeout(client, PROBE_TIMEOUT_S);
	g_socket_client_connect_to_host_async(client, rack->earlier_address, 0,
	    self->cancellable, on_probe, probe);
	g_object_unref(client);
}

static bool
previous_owner_vm_gone(const bp_scheduler_t *self, const bp_owned_rack_t *rack)
{
	const bp_vmlist_vm_t *listed = rack->earlier_owner != NULL
	    ? bp_vmlist_find(self->options.vmlist, rack->earlier_owner)
	    : NULL;

	return listed != NULL && listed->state == BP_VMLIST_GONE;
}

/* A new incarnation under the same name means that the process ended. */
static bool
previous_owner_restarted(
    const bp_scheduler_t *self, const bp_owned_rack_t *rack)
{
	const bp_node_t *node = rack->earlier_owner != NULL
	    ? bp_state_node(bp_follower_state(self->options.follower),
		  rack->earlier_owner)
	    : NULL;

	return node != NULL && node->incarnation != rack->earlier_incarnation;
}

/* Checks whether all previous owners of the rack are known to have ended. */
static void
check_previous_owners(
    bp_scheduler_t *self, bp_owned_rack_t *rack, int64_t now_us)
{
	const bp_rack_t *logged_rack = bp_state_rack(
	    bp_follower_state(self->options.follower), rack->name);

	if (rack->earlier_ended_us != 0 || logged_rack == NULL)
		return;
	if (logged_rack->ended_epoch + 1 >= rack->epoch) {
		rack->earlier_ended_us = now_us;
		return;
	}
	/* The checks below cover only the immediately previous owner. */
	if (logged_rack->ended_epoch + 2 < rack->epoch)
		return;
	if (previous_owner_vm_gone(self, rack) ||
	    previous_owner_restarted(self, rack))
		rack->earlier_ended_us = now_us;
	else if (rack->earlier_address != NULL && !rack->probing)
		start_probe(self, rack);
}

static bool
has_unopened_session(const bp_owned_rack_t *rack)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rack->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!bp_session_ever_open(((bp_owned_vm_t *)value)->session))
			return true;
	}
	return false;
}

/* Ends attempts whose leases have expired and that no owner can renew. */
void
bp_recovery_tick(bp_scheduler_t *self)
{
	int64_t now_us = bp_scheduler_now_us(self);
	GHashTableIter racks;
	GHashTableIter vms;
	gpointer value;

	if (bp_follower_status(self->options.follower) != BP_FOLLOWER_CURRENT)
		return;
	g_hash_table_iter_init(&racks, self->racks);
	while (g_hash_table_iter_next(&racks, NULL, &value)) {
		bp_owned_rack_t *rack = value;

		if (rack->superseded)
			continue;
		if (has_unopened_session(rack))
			check_previous_owners(self, rack, now_us);
		g_hash_table_iter_init(&vms, rack->vms);
		while (g_hash_table_iter_next(&vms, NULL, &value))
			recover_vm(value, now_us);
	}
}
