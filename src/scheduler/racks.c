#include "scheduler/private.h"

#include <string.h>

#define US_PER_MS 1000
/*
 * A superseded owner renews leases for this long, so that its successor can
 * take over the sessions before they expire.
 */
#define SUPERSEDED_RENEW_MS 10000
#define RELEASE_APPEND_TIMEOUT_MS 60000

static void
free_owned_vm(void *data)
{
	bp_owned_vm_t *vm = data;

	bp_session_free(vm->session);
	g_clear_pointer(&vm->missing, g_array_unref);
	g_free(vm->name);
	g_free(vm->url);
	g_free(vm);
}

/* Frees a rack with its sessions. */
void
bp_racks_free(void *data)
{
	bp_owned_rack_t *rack = data;

	g_hash_table_unref(rack->vms);
	g_free(rack->name);
	g_free(rack->earlier_owner);
	g_free(rack->earlier_address);
	g_free(rack);
}

/* Tells whether the state names this process as the rack's owner. */
bool
bp_racks_is_own(const bp_scheduler_t *self, const bp_rack_t *rack)
{
	return rack->owner != NULL &&
	    rack->owner_incarnation == self->options.incarnation &&
	    strcmp(rack->owner, self->settings->node.name) == 0;
}

/* Returns the VM if this node owns its rack, or NULL. */
bp_owned_vm_t *
bp_racks_vm(const bp_scheduler_t *self, const char *name)
{
	const bp_vm_t *vm =
	    bp_state_vm(bp_follower_state(self->options.follower), name);
	bp_owned_rack_t *rack;

	if (vm == NULL)
		return NULL;
	rack = g_hash_table_lookup(self->racks, vm->rack->name);
	if (rack == NULL || rack->superseded)
		return NULL;
	return g_hash_table_lookup(rack->vms, name);
}

/* Returns the number of starts not answered yet by the rack's workers. */
size_t
bp_racks_queued(const bp_owned_rack_t *rack)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, rack->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += bp_session_queued(((bp_owned_vm_t *)value)->session);
	return n;
}

static bp_session_t *
new_session(bp_scheduler_t *self, bp_owned_vm_t *vm)
{
	bp_session_options_t options = {0};
	bp_session_t *session = NULL;

	options.clock = self->clock;
	options.logger = self->options.logger;
	options.client = self->options.client;
	options.follower = self->options.follower;
	options.node = self->settings->node.name;
	options.incarnation = self->options.incarnation;
	options.vm = vm->name;
	options.rack = vm->rack->name;
	options.url = vm->url;
	options.epoch = vm->rack->epoch;
	options.permit_ms = self->settings->timing.permit_ms;
	options.renew_ms = self->settings->timing.renew_ms;
	bp_starts_session_events(&options.events, vm);
	(void)bp_session_new(&session, &options, NULL);
	return session;
}

static void
add_vm(bp_scheduler_t *self, bp_owned_rack_t *rack, const char *name,
    const char *url)
{
	bp_owned_vm_t *vm = g_hash_table_lookup(rack->vms, name);

	if (vm != NULL && strcmp(vm->url, url) == 0)
		return;
	vm = g_new0(bp_owned_vm_t, 1);
	vm->scheduler = self;
	vm->rack = rack;
	vm->name = g_strdup(name);
	vm->url = g_strdup(url);
	vm->session = new_session(self, vm);
	g_hash_table_replace(rack->vms, vm->name, vm);
}

static void
add_listed_vm(const bp_vmlist_vm_t *listed, void *data)
{
	bp_scheduler_t *self = data;
	char *name = g_strdup_printf("%s/%s", listed->zone, listed->rack);
	bp_owned_rack_t *rack = g_hash_table_lookup(self->racks, name);

	if (rack != NULL && !rack->superseded &&
	    listed->state != BP_VMLIST_GONE && listed->url[0] != '\0')
		add_vm(self, rack, listed->name, listed->url);
	g_free(name);
}

static bp_owned_rack_t *
new_rack(bp_scheduler_t *self, const bp_rack_t *rack)
{
	bp_owned_rack_t *owned = g_new0(bp_owned_rack_t, 1);

	owned->name = g_strdup(rack->name);
	owned->epoch = rack->epoch;
	owned->claimed_us = bp_scheduler_now_us(self);
	owned->vms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_owned_vm);
	return owned;
}

static void
add_owned_rack(bp_scheduler_t *self, const bp_rack_t *rack)
{
	bp_owned_rack_t *owned = g_hash_table_lookup(self->racks, rack->name);
	bp_owned_rack_t *new_owned;

	if (owned != NULL && owned->epoch == rack->epoch)
		return;
	new_owned = new_rack(self, rack);
	/* The replaced entry holds the previous owner, noted at the claim. */
	if (owned != NULL && owned->epoch + 1 == rack->epoch) {
		new_owned->earlier_owner = g_strdup(owned->earlier_owner);
		new_owned->earlier_address = g_strdup(owned->earlier_address);
		new_owned->earlier_incarnation = owned->earlier_incarnation;
	}
	g_hash_table_replace(self->racks, new_owned->name, new_owned);
	bp_scheduler_event(self, "rack_owned", NULL, NULL, rack->zone->name,
	    "rack %s at epoch %" G_GUINT64_FORMAT, rack->name, rack->epoch);
}

static void
supersede_rack(bp_scheduler_t *self, bp_owned_rack_t *owned)
{
	GHashTableIter iter;
	gpointer value;

	owned->superseded = true;
	owned->superseded_us = bp_scheduler_now_us(self);
	g_hash_table_iter_init(&iter, owned->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_owned_vm_t *vm = value;

		(void)bp_session_drop_queue(vm->session);
	}
	bp_scheduler_event(self, "rack_given_up", NULL, NULL, NULL,
	    "rack %s at epoch %" G_GUINT64_FORMAT, owned->name, owned->epoch);
}

/*
 * Updates the sessions to match the racks that this node owns in the state
 * and their VMs in the VM list.
 */
void
bp_racks_sync(bp_scheduler_t *self)
{
	bp_state_t *state = bp_follower_state(self->options.follower);
	GHashTableIter iter;
	gpointer value;

	/* With 1,600 VMs and 200 records per second, scanning all racks and
	 * VMs for each record is too expensive. */
	if (!self->racks_changed)
		return;
	self->racks_changed = false;
	g_hash_table_iter_init(&iter, bp_state_racks(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (bp_racks_is_own(self, value))
			add_owned_rack(self, value);
	}
	g_hash_table_iter_init(&iter, self->racks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_owned_rack_t *owned = value;
		const bp_rack_t *rack = bp_state_rack(state, owned->name);

		if (!owned->superseded &&
		    (rack == NULL || rack->epoch != owned->epoch ||
			!bp_racks_is_own(self, rack)))
			supersede_rack(self, owned);
	}
	bp_vmlist_each(
	    self->options.vmlist, BP_ROLE_WORKER, add_listed_vm, self);
}

/*
 * An owner that cannot read the log must stop renewing leases before its
 * successors may assume that it has stopped.
 */
static bool
may_renew(const bp_scheduler_t *self)
{
	int64_t age_us = bp_scheduler_now_us(self) -
	    bp_follower_fresh_us(self->options.follower);

	return age_us <
	    (int64_t)self->settings->timing.hold_max_s * 1000 * US_PER_MS;
}

static bool
all_fenced(const bp_owned_rack_t *rack)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rack->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (bp_session_status(((bp_owned_vm_t *)value)->session) !=
		    BP_SESSION_FENCED)
			return false;
	}
	return true;
}

/* Records in the log that leases are no longer renewed under the old epoch. */
static void
append_release(bp_scheduler_t *self, const bp_owned_rack_t *rack)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Release release = BP__LOG__RELEASE__INIT;

	release.rack = rack->name;
	release.epoch = rack->epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_RELEASE;
	entry.release = &release;
	(void)bp_appender_add(self->options.appender, &entry,
	    RELEASE_APPEND_TIMEOUT_MS, NULL, NULL, NULL);
}

static bool
release_recorded(const bp_scheduler_t *self, const bp_owned_rack_t *owned)
{
	const bp_rack_t *rack = bp_state_rack(
	    bp_follower_state(self->options.follower), owned->name);

	return rack != NULL && rack->ended_epoch >= owned->epoch;
}

static bool
may_drop_superseded(bp_scheduler_t *self, bp_owned_rack_t *rack)
{
	int64_t age_us = bp_scheduler_now_us(self) - rack->superseded_us;

	if ((rack->foreign || !all_fenced(rack)) &&
	    age_us < (int64_t)SUPERSEDED_RENEW_MS * US_PER_MS &&
	    !release_recorded(self, rack))
		return false;
	if (!rack->foreign && !release_recorded(self, rack))
		append_release(self, rack);
	return true;
}

static void
poll_rack(bp_owned_rack_t *rack, bool renewing)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rack->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_owned_vm_t *vm = value;

		bp_session_set_renewing(vm->session, renewing);
		bp_session_tick(vm->session);
	}
}

/* Runs all sessions and drops racks whose successor has taken over. */
void
bp_racks_tick(bp_scheduler_t *self)
{
	bool renewing = may_renew(self);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, self->racks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_owned_rack_t *rack = value;

		if (rack->superseded && may_drop_superseded(self, rack)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		poll_rack(rack, renewing);
	}
}
