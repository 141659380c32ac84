#include "scheduler/placement_private.h"

#include "bulrushpost/hash.h"
#include "bulrushpost/resources.h"

#include <string.h>

#define PERCENT 100U
/* Hash seed that keeps the ranks of tasks independent of those of racks. */
#define TASK_RANK_SEED 0x7461736bU

static bp_owner_t *
owner_of(bp_round_t *round, const bp_rack_t *rack)
{
	bp_owner_t *owner;
	bp_owner_t fresh = {0};
	guint i;

	for (i = 0; i < round->owners->len; i++) {
		owner = &g_array_index(round->owners, bp_owner_t, i);
		if (owner->incarnation == rack->owner_incarnation &&
		    strcmp(owner->node, rack->owner) == 0)
			return owner;
	}
	fresh.node = rack->owner;
	fresh.incarnation = rack->owner_incarnation;
	fresh.hash = bp_hash_text(rack->owner, TASK_RANK_SEED);
	fresh.vms = g_ptr_array_new();
	g_array_append_val(round->owners, fresh);
	return &g_array_index(
	    round->owners, bp_owner_t, round->owners->len - 1);
}

static void
raise_to(bp_resources_t *most, const bp_resources_t *room)
{
	most->cpu_milli = MAX(most->cpu_milli, room->cpu_milli);
	most->memory_mib = MAX(most->memory_mib, room->memory_mib);
	most->accelerators = MAX(most->accelerators, room->accelerators);
}

/* Ignores reservations, so most_free is an upper bound. */
static void
add_vm(bp_owner_t *owner, bp_vm_t *vm, uint32_t headroom_percent)
{
	bp_resources_t free_resources =
	    bp_resources_excess(&vm->capacity, &vm->used);
	uint32_t headroom_milli = (uint32_t)((uint64_t)vm->capacity.cpu_milli *
	    MIN(headroom_percent, PERCENT) / PERCENT);

	g_ptr_array_add(owner->vms, vm);
	raise_to(&owner->most_free, &free_resources);
	free_resources.cpu_milli -=
	    MIN(free_resources.cpu_milli, headroom_milli);
	raise_to(&owner->most_free_batch, &free_resources);
}

static uint32_t
headroom_percent(const bp_state_t *state)
{
	const bp_rules_version_t *version = bp_state_rules(state);
	uint32_t percent = 0;
	size_t i;

	if (version == NULL)
		return 0;
	for (i = 0; i < bp_rules_count(version->rules); i++) {
		const bp_rule_t *rule = bp_rules_at(version->rules, i);

		if (rule->kind == BP_RULE_HEADROOM)
			percent = MAX(percent, rule->as.headroom_percent);
	}
	return percent;
}

/* Tells from the largest free amounts alone that no VM can fit a task. */
bool
bp_owner_is_full(const bp_owner_t *owner, const bp_job_t *job)
{
	return !bp_resources_fit(&job->size,
	    job->klass == BP_CLASS_BATCH ? &owner->most_free_batch
					 : &owner->most_free);
}

static bool
is_usable(const bp_vm_t *vm)
{
	return !vm->gone && vm->hold == BP__LOG__HOLD_CAUSE__HOLD_NONE;
}

static gint
compare_rack_names(gconstpointer a, gconstpointer b)
{
	return strcmp((*(const bp_rack_t *const *)a)->name,
	    (*(const bp_rack_t *const *)b)->name);
}

/* Sorts racks by name, so that equal states give equal plans. */
static GPtrArray *
sorted_racks(const bp_state_t *state)
{
	GPtrArray *racks = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bp_state_racks(state));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(racks, value);
	g_ptr_array_sort(racks, compare_rack_names);
	return racks;
}

/*
 * Collects the owners with the VMs that may take tasks now. Returns whether
 * the node itself owns racks.
 */
bool
bp_owners_load(bp_round_t *round, const char *node, uint64_t incarnation)
{
	GPtrArray *racks = sorted_racks(round->state);
	uint32_t percent = headroom_percent(round->state);
	const bp_rack_t *rack;
	bp_owner_t *owner;
	guint i;
	guint j;

	round->owners = g_array_new(FALSE, FALSE, sizeof(bp_owner_t));
	for (i = 0; i < racks->len; i++) {
		rack = g_ptr_array_index(racks, i);
		if (rack->owner == NULL || rack->zone->out)
			continue;
		owner = owner_of(round, rack);
		for (j = 0; j < rack->vms->len; j++) {
			if (is_usable(g_ptr_array_index(rack->vms, j)))
				add_vm(owner, g_ptr_array_index(rack->vms, j),
				    percent);
		}
	}
	g_ptr_array_unref(racks);
	round->own = NULL;
	for (i = 0; i < round->owners->len; i++) {
		owner = &g_array_index(round->owners, bp_owner_t, i);
		if (owner->incarnation == incarnation &&
		    strcmp(owner->node, node) == 0)
			round->own = owner;
	}
	return round->own != NULL;
}

/* Releases what bp_owners_load collected. */
void
bp_owners_clear(bp_round_t *round)
{
	guint i;

	for (i = 0; i < round->owners->len; i++)
		g_ptr_array_unref(
		    g_array_index(round->owners, bp_owner_t, i).vms);
	g_array_unref(round->owners);
	round->owners = NULL;
}

/* Tells whether any VM of the owner can run a task of the job. */
bool
bp_owner_eligible(const bp_round_t *round, const bp_owner_t *owner,
    const bp_constraints_t *constraints)
{
	const bp_reservations_t *reservations = round->placement->reservations;
	guint i;

	if (bp_owner_is_full(owner, constraints->job))
		return false;
	for (i = 0; i < owner->vms->len; i++) {
		if (bp_constraints_check(constraints,
			g_ptr_array_index(owner->vms, i), reservations, NULL,
			NULL) == 0)
			return true;
	}
	return false;
}

/* Returns the part of the rank hash that is common to the tasks of a job. */
uint64_t
bp_owner_job_hash(const bp_job_t *job)
{
	return bp_hash_text(job->id, TASK_RANK_SEED);
}

/*
 * Returns this node's rendezvous rank for a block of tasks of a job among
 * the owners with capacity; 0 is the highest.
 */
uint32_t
bp_owner_rank(const bp_round_t *round, uint64_t job_hash, uint32_t block)
{
	uint64_t key = bp_hash_mix(job_hash + block);
	uint64_t own = bp_hash_mix(key ^ round->own->hash);
	const bp_owner_t *owner;
	uint32_t rank = 0;
	guint i;

	for (i = 0; i < round->owners->len; i++) {
		owner = &g_array_index(round->owners, bp_owner_t, i);
		if (owner != round->own && owner->has_room &&
		    bp_hash_mix(key ^ owner->hash) > own)
			rank++;
	}
	return rank;
}
