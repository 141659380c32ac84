#include "scheduler/private.h"

#define CHANGE_APPEND_TIMEOUT_MS 5000

typedef struct {
	bp_scheduler_t *scheduler;
	char *rack;
} change_call_t;

static void
on_step(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	change_call_t *call = data;

	(void)applied;
	(void)err;
	g_hash_table_remove(call->scheduler->steps, call->rack);
	g_free(call->rack);
	g_free(call);
}

/* Keeps the previous owner; recovery needs to know when it has ended. */
static void
keep_previous_owner(bp_scheduler_t *self, const bp_ownership_step_t *change)
{
	const bp_state_t *state = bp_follower_state(self->options.follower);
	const bp_rack_t *rack = bp_state_rack(state, change->rack);
	const bp_node_t *node;
	bp_owned_rack_t *owned;

	if (rack == NULL || rack->owner == NULL)
		return;
	node = bp_state_node(state, rack->owner);
	owned = g_hash_table_lookup(self->racks, change->rack);
	if (owned != NULL)
		return;
	owned = g_new0(bp_owned_rack_t, 1);
	owned->name = g_strdup(change->rack);
	owned->epoch = rack->epoch;
	owned->superseded = true;
	owned->superseded_us = bp_scheduler_now_us(self);
	owned->foreign = true;
	owned->vms = g_hash_table_new(g_str_hash, g_str_equal);
	owned->earlier_owner = g_strdup(rack->owner);
	owned->earlier_incarnation = rack->owner_incarnation;
	owned->earlier_address = node != NULL ? g_strdup(node->address) : NULL;
	g_hash_table_replace(self->racks, owned->name, owned);
}

static bool
all_sessions_were_open(const bp_scheduler_t *self, const char *rack)
{
	const bp_owned_rack_t *owned = g_hash_table_lookup(self->racks, rack);
	GHashTableIter iter;
	gpointer value;

	if (owned == NULL)
		return false;
	g_hash_table_iter_init(&iter, owned->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!bp_session_ever_open(((bp_owned_vm_t *)value)->session))
			return false;
	}
	return true;
}

static void
append_change(bp_scheduler_t *self, const bp_ownership_step_t *change)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Claim claim = BP__LOG__CLAIM__INIT;
	Bp__Log__Release release = BP__LOG__RELEASE__INIT;
	change_call_t *call;

	if (!g_hash_table_add(self->steps, g_strdup(change->rack)))
		return;
	switch (change->kind) {
	case BP_OWNERSHIP_CLAIM:
		keep_previous_owner(self, change);
		claim.rack = change->rack;
		claim.epoch = change->epoch;
		claim.ground = change->as.ground;
		entry.body_case = BP__LOG__ENTRY__BODY_CLAIM;
		entry.claim = &claim;
		break;
	case BP_OWNERSHIP_RELEASE:
		release.rack = change->rack;
		release.epoch = change->epoch;
		release.cleared = all_sessions_were_open(self, change->rack);
		if (change->as.successor != NULL)
			release.successor = change->as.successor;
		entry.body_case = BP__LOG__ENTRY__BODY_RELEASE;
		entry.release = &release;
		break;
	}
	call = g_new0(change_call_t, 1);
	call->scheduler = self;
	call->rack = g_strdup(change->rack);
	if (bp_appender_add(self->options.appender, &entry,
		CHANGE_APPEND_TIMEOUT_MS, on_step, call, NULL) != BP_OK)
		on_step(NULL, NULL, call);
}

static void
add_rack_name(const bp_vmlist_vm_t *listed, void *data)
{
	GHashTable *names = data;

	if (listed->state == BP_VMLIST_LIVE)
		g_hash_table_add(names,
		    g_strdup_printf("%s/%s", listed->zone, listed->rack));
}

/* A release waits until the rack's workers have answered all starts. */
static bool
change_ready(const bp_scheduler_t *self, const bp_ownership_step_t *change)
{
	const bp_owned_rack_t *owned =
	    g_hash_table_lookup(self->racks, change->rack);

	return change->kind == BP_OWNERSHIP_CLAIM || owned == NULL ||
	    bp_racks_queued(owned) == 0;
}

/* Reads the rack names from the VM list if it has changed. */
void
bp_claims_check_list(bp_scheduler_t *self)
{
	uint64_t version = bp_vmlist_version(self->options.vmlist);
	GHashTable *names;
	GHashTableIter iter;
	gpointer key;

	if (version == self->listed_version)
		return;
	self->listed_version = version;
	self->racks_changed = true;
	names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bp_vmlist_each(
	    self->options.vmlist, BP_ROLE_WORKER, add_rack_name, names);
	g_ptr_array_set_size(self->listed_racks, 0);
	g_hash_table_iter_init(&iter, names);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(self->listed_racks, g_strdup(key));
	g_ptr_array_add(self->listed_racks, NULL);
	g_hash_table_unref(names);
}

/* Appends the claims and releases that are due and not in flight. */
void
bp_claims_plan(bp_scheduler_t *self)
{
	GPtrArray *changes;
	guint i;

	changes = bp_ownership_plan(self->ownership,
	    bp_follower_state(self->options.follower),
	    (const char *const *)self->listed_racks->pdata, self->draining,
	    bp_scheduler_now_us(self));
	for (i = 0; i < changes->len; i++) {
		const bp_ownership_step_t *change =
		    g_ptr_array_index(changes, i);

		if (change_ready(self, change))
			append_change(self, change);
	}
	g_ptr_array_unref(changes);
}
